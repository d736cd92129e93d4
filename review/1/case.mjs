// The open connections to the store go silent for good, three times, while new ones work. Ten seconds after the last time the
// operator takes a key away. Counts the requests with that key that still run later than `config_apply_ms` after the store
// has confirmed it.
import { Client } from "../lib/client.mjs";
import { prepareInstance } from "../lib/instance.mjs";
import { startProxy } from "../lib/proxy.mjs";
import { API_KEY, buildConfiguration, buildRoute, HAS_TROUBLE, HOST, runCase, wait } from "../lib/site.mjs";
import { startWorker } from "../lib/worker.mjs";

const CONFIG_APPLY_MS = 2000;
const CONTACT_MS = 3000;
/** Figures of the sheet for `plan-push`. */
const TIMEOUT_MS = 1000;
const WORK_MS = 21;
const OBJECTIVE_MS = 121;
const INSTANCES = 2;
/** Requests a second for both instances together, of the tenant whose key stays and of the one whose key is taken away. */
const RATES = { [API_KEY]: 140, "key-to-revoke": 4 };
const REVOKED_KEY = "key-to-revoke";
const WARM_UP_MS = 8000;
const SILENCES = 3;
const BETWEEN_MS = 9000;
const AFTER_MS = 14_000;

await runCase(import.meta.url, async ({ store, folder, record, onEnd }) => {
    const routes = [
        buildRoute("stamp", "ledger", {
            kind: "unsafe",
            timeout_ms: TIMEOUT_MS,
            target_latency_ms: OBJECTIVE_MS,
            max_attempts: 1,
        }),
    ];
    const services = [{ name: "ledger", health_path: "/healthz", max_connections: 110, protocol: "h1", tls: false }];
    const configuration = buildConfiguration({ routes, services });
    const other = { name: "tenant-b", api_keys: [REVOKED_KEY, "key-that-stays"], priority: 1 };
    store.put("config", "main", { ...configuration, tenants: [...configuration.tenants, other] });
    const workers = [];
    for (let index = 1; index <= 3; index += 1) {
        const worker = await startWorker({ store, id: `ledger-${index}`, service: "ledger", workMs: WORK_MS });
        workers.push(worker);
        onEnd(() => worker.close());
    }
    const proxy = await startProxy(store.address);
    onEnd(() => proxy.close());
    const instances = [];
    for (let index = 1; index <= INSTANCES; index += 1) {
        const name = `front-a-${index}`;
        const instance = await prepareInstance({ root: process.cwd(), folder, name, store: proxy });
        onEnd(() => instance.end());
        instances.push(instance);
    }
    instances.forEach(instance => instance.writeSettings(instances.map(({ peerAddress }) => peerAddress)));
    await Promise.all(instances.map(instance => instance.start()));
    record(`${INSTANCES} instances are ready`);

    const results = [];
    const pending = [];
    const idle = instances.map(() => []);
    let count = 0;
    const sendOne = async key => {
        count += 1;
        const place = count % INSTANCES;
        const id = `stamp-${String(count).padStart(5, "0")}`;
        const client = idle[place].pop() ?? new Client(instances[place].front);
        const result = await client.send({
            method: "POST",
            path: `/stamp/${count}`,
            host: HOST,
            headers: { "Attempt-Id": id, "Deadline-Ms": TIMEOUT_MS, Authorization: `Bearer ${key}` },
            body: "number of a batch",
            waitMs: 2 * TIMEOUT_MS,
        });
        results.push({ id, key, ...result });
        if (key === REVOKED_KEY) {
            record(`client ${id} with the key ${key}, sent to ${instances[place].name}: ${result.status ?? result.end}`);
        }
        if (result.end === "whole") {
            idle[place].push(client);
        }
        else {
            client.close();
        }
    };
    const timers = Object.entries(RATES).map(([key, perSecond]) =>
        setInterval(() => pending.push(sendOne(key)), 1000 / perSecond)
    );
    await wait(WARM_UP_MS);
    for (let time = 1; time <= SILENCES; time += 1) {
        if (HAS_TROUBLE) {
            record(`${proxy.silence()} open connections to the store go silent`);
        }
        await wait(BETWEEN_MS);
    }
    store.put("config", "main", { ...configuration, version: 9, tenants: [
        ...configuration.tenants,
        { ...other, api_keys: ["key-that-stays"] },
    ] });
    const confirmedAt = performance.now();
    record(`the store has confirmed version 9, which lacks ${REVOKED_KEY}`);
    await wait(AFTER_MS);
    timers.forEach(timer => clearInterval(timer));
    await Promise.all(pending);

    const runs = new Set(workers.flatMap(worker => worker.runs.map(({ attempt }) => attempt)));
    const late = results.filter(({ key, sentAt }) =>
        key === REVOKED_KEY && sentAt > confirmedAt + Math.max(CONFIG_APPLY_MS, CONTACT_MS)
    );
    const ran = late.filter(({ id }) => runs.has(id));
    return {
        isBroken: ran.length > 0,
        summary: [
            `${results.length} requests; ${results.filter(({ status }) => status === 200).length} were served`,
            `sent with the taken key more than ${Math.max(CONFIG_APPLY_MS, CONTACT_MS)} ms after the confirmation: `
            + `${late.length}, of which workers ran ${ran.length}`,
        ],
    };
});
