/**
 * A worker leaves without a report, and the desired state changes, while the machine that watches the store for all is
 * frozen. When it wakes, it hands the worker's entry back to the machines that have removed it.
 *
 * @module
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
    buildAnswerHeaders,
    buildConfiguration,
    call,
    finish,
    HAS_TROUBLE,
    openWorker,
    record,
    sleep,
    startInstances,
    Store,
} from "../lib-2/site.mjs";

const directory = dirname(fileURLToPath(import.meta.url));
const DRAIN_TIMEOUT_MILLISECONDS = 2000;
/** Time for which the worker serves after its entry was removed. */
const STAY_MILLISECONDS = 9000;
const FREEZE_MILLISECONDS = 4000;
/** Times after the start of the freeze. */
const LEAVE_AT = 1000;
const CHANGE_AT = 2500;
const INSTANCES = 4;
/** Interval between the requests to one instance. */
const REQUEST_MILLISECONDS = 40;
const body = Buffer.from("stamped");

async function runCase() {
    const store = new Store();
    const buildState = version =>
        buildConfiguration({
            version,
            services: [{ name: "ledger", max_connections: 110 }],
            routes: [{
                name: "stamp",
                path_prefix: "/stamp/",
                kind: "unsafe",
                service: "ledger",
                target_latency_ms: 386,
                timeout_ms: 4000,
            }],
        });
    store.put("config", "main", buildState(3));
    const arrivals = [];
    const workers = [];
    for (const id of ["i-1", "i-2", "i-3"]) {
        const handle = (request, response) => {
            arrivals.push({ at: performance.now(), worker: id, id: request.headers["attempt-id"] });
            setTimeout(() => response.writeHead(200, buildAnswerHeaders(request, body)).end(body), 60);
        };
        workers.push(await openWorker({ store, id, service: "ledger", handle, entry: { slots: 6 } }));
    }
    const lastWatch = new Map();
    store.onCall = ({ port, url }) => {
        if (url.pathname === "/objects/config" && url.searchParams.has("watch")) {
            lastWatch.set(port, (lastWatch.get(port) ?? 0) + 1);
        }
    };
    const instances = await startInstances(store, INSTANCES);
    // All instances know each other, and two of them watch the store.
    await sleep(9000);
    const watches = [...instances].sort((a, b) =>
        (lastWatch.get(b.storePort) ?? 0) - (lastWatch.get(a.storePort) ?? 0)
    );
    const [watcher, ...others] = watches;
    record("watches of the desired state", {
        counts: instances.map(({ storePort }) => lastWatch.get(storePort) ?? 0),
        watcher: watcher.index + 1,
    });
    let isRunning = true;
    const results = [];
    const clients = others.map(async ({ caller, index }) => {
        const pending = [];
        while (isRunning) {
            pending.push(
                call({ port: caller, path: "/stamp/1", method: "POST", body: Buffer.from("batch") })
                    .then(result => results.push({ ...result, instance: index + 1 })),
            );
            await sleep(REQUEST_MILLISECONDS);
        }
        await Promise.all(pending);
    });
    await sleep(1000);
    if (HAS_TROUBLE) {
        watcher.sendSignal("SIGSTOP");
    }
    const frozenAt = performance.now();
    await sleep(LEAVE_AT);
    const leaving = workers[2];
    store.remove("servers", leaving.id);
    const goneAt = performance.now();
    record("entry removed, worker serves on", { worker: leaving.id });
    await sleep(frozenAt + CHANGE_AT - performance.now());
    store.put("config", "main", buildState(5));
    record("desired state changed", { version: 5 });
    await sleep(frozenAt + FREEZE_MILLISECONDS - performance.now());
    if (HAS_TROUBLE) {
        watcher.sendSignal("SIGCONT");
    }
    await sleep(goneAt + STAY_MILLISECONDS - performance.now());
    leaving.close();
    record("worker has ended", { worker: leaving.id });
    await sleep(500);
    isRunning = false;
    await Promise.all(clients);
    const sentAt = new Map(results.map(result => [result.id, result]));
    const atLeaving = arrivals.filter(({ worker, at }) => worker === leaving.id && at > goneAt);
    const late = atLeaving.filter(({ at }) => at > goneAt + DRAIN_TIMEOUT_MILLISECONDS);
    for (const { at, id } of late) {
        const result = sentAt.get(id);
        record("late request", {
            id,
            instance: result?.instance,
            sentAfterRemovalMilliseconds: Math.round((result?.sentAt ?? 0) - goneAt),
            arrivedAfterRemovalMilliseconds: Math.round(at - goneAt),
            status: result?.status,
        });
    }
    const cut = results.filter(({ status }) => status !== 200);
    record("requests", {
        sent: results.length,
        atLeavingWorker: atLeaving.length,
        laterThanDrainTimeout: late.length,
        notServed: cut.length,
        statuses: cut.map(({ status }) => status),
    });
    if (results.length === 0 || arrivals.every(({ worker }) => worker !== leaving.id)) {
        finish(directory, 2, "the case could not run");
    }
    const isBroken = late.length > 0;
    finish(directory, isBroken ? 1 : 0, isBroken ? `DRAIN broken: ${late.length} late requests` : "DRAIN held");
}

runCase().catch(error => {
    record("error", { error: String(error.stack) });
    finish(directory, 2, "the case could not run");
});
