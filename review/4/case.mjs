// The store is silent to two of six instances, those that watch it for all, and the desired state changes 50 ms later.
// Counts the requests to the four others that are handled by the old version later than `config_apply_ms` after the store has
// confirmed the new one.
import { Client } from "../lib/client.mjs";
import { prepareInstance } from "../lib/instance.mjs";
import { startProxy } from "../lib/proxy.mjs";
import { API_KEY, buildConfiguration, buildRoute, HAS_TROUBLE, HOST, runCase, wait } from "../lib/site.mjs";
import { startWorker } from "../lib/worker.mjs";

const CONFIG_APPLY_MS = 2000;
const TIMEOUT_MS = 1000;
const INSTANCES = 6;
const TURNED_AWAY = 2;
const REVOKED_KEY = "key-to-revoke";
/** Requests a second with the key that is taken away, at each instance. */
const PER_SECOND = 10;
const WARM_UP_MS = 4000;
/** Time in which each instance that watches the store begins a watch anew: the second one waits for up to 12 s. */
const WATCHED_MS = 14_000;
/** Time from the last change before the outage to the outage, and from there to the change that counts. */
const BEFORE_MS = 100;
const AFTER_MS = 50;
const OUTAGE_MS = 9000;

await runCase(import.meta.url, async ({ store, folder, record, onEnd }) => {
    const routes = [
        buildRoute("push", "terrain", {
            kind: "unsafe",
            timeout_ms: TIMEOUT_MS,
            target_latency_ms: 121,
            max_attempts: 1,
        }),
    ];
    const services = [{ name: "terrain", health_path: "/healthz", max_connections: 96, protocol: "h1", tls: false }];
    const configuration = buildConfiguration({ routes, services });
    const other = { name: "tenant-b", api_keys: [REVOKED_KEY], priority: 1 };
    const putVersion = (version, tenants) => store.put("config", "main", { ...configuration, version, tenants });
    putVersion(7, [...configuration.tenants, other]);
    const workers = [];
    for (let index = 1; index <= 3; index += 1) {
        workers.push(await startWorker({ store, id: `terrain-${index}`, service: "terrain", workMs: 21 }));
    }
    onEnd(() => workers.forEach(worker => worker.close()));
    const instances = [];
    for (let index = 1; index <= INSTANCES; index += 1) {
        const proxy = await startProxy(store.address);
        onEnd(() => proxy.close());
        const instance = await prepareInstance({ root: process.cwd(), folder, name: `front-a-${index}`, store: proxy });
        onEnd(() => instance.end());
        instances.push({ instance, proxy });
    }
    const seeds = instances.slice(0, 3).map(({ instance }) => instance.peerAddress);
    instances.forEach(({ instance }) => instance.writeSettings(seeds));
    await Promise.all(instances.map(({ instance }) => instance.start()));
    record(`${INSTANCES} instances are ready`);
    await wait(WARM_UP_MS);
    const before = instances.map(({ proxy }) => proxy.countWatches());
    await wait(WATCHED_MS);

    const begun = instances.map(({ proxy }, index) => ({ index, watches: proxy.countWatches() - before[index] }));
    begun.sort((first, second) => second.watches - first.watches);
    const turnedAway = begun.slice(0, TURNED_AWAY).map(({ index }) => index);
    record(`watches begun in ${WATCHED_MS} ms: ${begun.map(({ index, watches }) =>
        `${instances[index].instance.name} ${watches}`
    ).join(", ")}`);

    const results = [];
    const pending = [];
    let count = 0;
    const startLoad = place => {
        const idle = [];
        return setInterval(() => {
            pending.push((async () => {
                count += 1;
                const id = `push-${String(count).padStart(5, "0")}`;
                const client = idle.pop() ?? new Client(instances[place].instance.front);
                const result = await client.send({
                    method: "POST",
                    path: `/push/${count}`,
                    host: HOST,
                    headers: {
                        "Attempt-Id": id,
                        "Deadline-Ms": TIMEOUT_MS,
                        Authorization: `Bearer ${REVOKED_KEY}`,
                    },
                    body: "a plan",
                    waitMs: 2 * TIMEOUT_MS,
                });
                results.push({ id, place, ...result });
                if (result.end === "whole") {
                    idle.push(client);
                }
                else {
                    client.close();
                }
            })());
        }, 1000 / PER_SECOND);
    };
    const timers = instances.map((_, place) => startLoad(place));
    await wait(1000);
    // An ordinary moment: a desired state, a zone that an operator empties, and a worker that says that it is warm.
    putVersion(8, [...configuration.tenants, other, { name: "tenant-c", api_keys: [API_KEY + "-c"], priority: 1 }]);
    store.put("evacuations", "zone-of-others", {});
    store.put("servers", "terrain-of-others", {
        service: "none",
        address: "127.0.0.1:9",
        zone: "zone-of-others",
        version: "v1",
        slots: 6,
        state: "ready",
        cold_remaining_ms: 0,
        sequence: 1,
        born: Date.now(),
    });
    await wait(BEFORE_MS);
    if (HAS_TROUBLE) {
        for (const index of turnedAway) {
            instances[index].proxy.setClosedToAll(true);
            instances[index].proxy.silence();
            record(`the store is silent to ${instances[index].instance.name}`);
        }
    }
    await wait(AFTER_MS);
    putVersion(9, configuration.tenants);
    const confirmedAt = performance.now();
    record(`the store has confirmed version 9, which lacks ${REVOKED_KEY}`);
    await wait(OUTAGE_MS);
    instances.forEach(({ proxy }) => proxy.setClosedToAll(false));
    timers.forEach(timer => clearInterval(timer));
    await Promise.all(pending);

    const runs = new Set(workers.flatMap(worker => worker.runs.map(({ attempt }) => attempt)));
    const inTouch = results.filter(({ place }) => !turnedAway.includes(place));
    const late = inTouch.filter(({ id, sentAt }) => sentAt > confirmedAt + CONFIG_APPLY_MS && runs.has(id));
    late.forEach(({ id, place, sentAt }) =>
        record(`${instances[place].instance.name} has ${id} run, sent ${Math.round(sentAt - confirmedAt)} ms after`)
    );
    const latest = Math.max(0, ...late.map(({ sentAt }) => Math.round(sentAt - confirmedAt)));
    return {
        isBroken: late.length > 0,
        summary: [
            `${inTouch.length} requests with the key to the instances that the store serves`,
            `run although sent more than ${CONFIG_APPLY_MS} ms after the confirmation: ${late.length}, `
            + `the last ${latest} ms after it`,
        ],
    };
});
