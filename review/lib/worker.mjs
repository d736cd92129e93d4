// Stand-in for a worker of a plain service, or of one that answers with streams of events. It runs `slots` requests at a time,
// queues a few more and refuses the rest, as a sound worker does; `fault` may answer a request in its place.
import { createServer } from "node:http";

/** Sends a stream of events, and ends it after the last one or when the connection is closed. */
function sendStream(response, { attempt, events, gapMs, eventBytes }) {
    response.writeHead(200, {
        "attempt-id": attempt,
        "response-seal": "seal",
        "content-type": "text/event-stream",
    });
    let sent = 0;
    return new Promise(resolve => {
        const timer = setInterval(() => {
            if (response.destroyed) {
                clearInterval(timer);
                resolve();
                return;
            }
            sent += 1;
            response.write(`id: ${sent}\ndata: ${`piece ${sent} of ${attempt} `.padEnd(eventBytes, "x")}\n\n`);
            if (sent === events) {
                clearInterval(timer);
                response.end();
                resolve();
            }
        }, gapMs);
    });
}

/**
 * Starts a worker on a free loopback port and enters it in the store. With `stream`, it answers with events: their number,
 * the pause between them and their size.
 */
export async function startWorker(options) {
    const { store, id, service, zone = "zone-a", slots = 6, queue = 24, workMs = 86, stream, fault } = options;
    const runs = [];
    const waiting = [];
    const inProgress = new Set();
    const born = Date.now();
    let active = 0;

    const runNext = () => {
        if (active < slots && waiting.length > 0) {
            active += 1;
            waiting.shift()();
        }
    };
    const serve = (request, response, body) => {
        const attempt = request.headers["attempt-id"];
        if (request.url === "/healthz") {
            response.writeHead(200, { "instance-id": id, "content-length": 0 }).end();
            return;
        }
        if (request.url === "/report" && stream !== undefined) {
            const running = [...inProgress].map(({ attempt: name }) => [name, 100, 1, 5]);
            const text = JSON.stringify({
                stage: "both",
                models: [{ name: "m", version: 1, adapters: [] }],
                busy: false,
                sequence: 1,
                queued: waiting.length,
                active,
                kv_used: 100 * active,
                kv_total: 34_196,
                handles: 0,
                state: "ready",
                runs: running,
                born,
            });
            response.writeHead(200, { "content-type": "application/json", "content-length": text.length }).end(text);
            return;
        }
        if (request.headers["expected-instance"] !== undefined && request.headers["expected-instance"] !== id) {
            response.writeHead(421, { "instance-id": id, "content-length": 0 }).end();
            return;
        }
        if (attempt === undefined) {
            response.writeHead(400, { "not-executed": "1", "content-length": 0 }).end();
            return;
        }
        if (waiting.length >= queue) {
            response.writeHead(503, { "attempt-id": attempt, "not-executed": "1", "content-length": 0 }).end();
            return;
        }
        waiting.push(() => {
            const run = { at: performance.now(), attempt, worker: id, method: request.method, path: request.url };
            runs.push(run);
            inProgress.add(run);
            const finish = () => {
                inProgress.delete(run);
                active -= 1;
                runNext();
            };
            setTimeout(() => {
                const isFaulty = fault?.(run, { request, response }) === true;
                if (!isFaulty && stream !== undefined) {
                    void sendStream(response, { attempt, ...stream }).then(finish);
                    return;
                }
                if (!isFaulty && !response.destroyed) {
                    const text = `answer of ${id} to ${attempt} with ${body.length} bytes`;
                    response.writeHead(200, {
                        "attempt-id": attempt,
                        "response-seal": "seal",
                        "content-length": text.length,
                    });
                    response.end(text);
                }
                finish();
            }, workMs);
        });
        runNext();
    };
    const server = createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => serve(request, response, Buffer.concat(chunks)));
    });
    server.keepAliveTimeout = 15_000;
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const entry = {
        service,
        address: `127.0.0.1:${server.address().port}`,
        zone,
        version: "v1",
        slots,
        state: "ready",
        cold_remaining_ms: 0,
        sequence: 1,
        born,
    };
    store.put("servers", id, entry);
    return {
        id,
        runs,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
