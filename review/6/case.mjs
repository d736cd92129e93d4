/**
 * A worker in trouble sends bytes without end in the body of a stream, as comments of the event format. The instance
 * writes them to its client's connection without waiting until they are taken, and runs out of memory.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { connect } from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
    buildAnswerHeaders,
    buildConfiguration,
    call,
    createId,
    createKeptConnection,
    finish,
    HAS_TROUBLE,
    HOST,
    HOSTNAME,
    KEY,
    openWorker,
    record,
    sleep,
    startInstances,
    Store,
    waitUntilReady,
} from "../lib-2/site.mjs";

const directory = dirname(fileURLToPath(import.meta.url));
const INSTANCES = 2;
const MEMORY_MEGABYTES = 350;
/** Streams that each instance gets one after the other, and the longest time for which one is observed. */
const STREAMS_PER_INSTANCE = 3;
const STREAM_MILLISECONDS = 8000;
const SAMPLE_MILLISECONDS = 50;
/** Time after which the platform starts a process again that has ended. */
const RESTART_MILLISECONDS = 500;
/** Events of a sound stream, and the interval between them. */
const EVENTS = 233;
const EVENT_MILLISECONDS = 25;
/** Ordinary clients of each instance, which send one stamp after the other on a kept connection. */
const ORDINARY_CLIENTS = 8;
const STAMP_MILLISECONDS = 86;
const THINKING_MILLISECONDS = 20;
/** Requests that may be cut, as the rule has it. */
const MAX_CUT = 3;
const TIME_LIMIT_MILLISECONDS = 39_000;
const COMMENTS = Buffer.from(": keep-alive\n\n".repeat(4096));
const BODY = Buffer.from("certificate 4711");

/** Attempts whose worker is in trouble. */
const troubledIds = new Set();
/** Bytes of comments that were sent. */
let commentBytes = 0;
/** Attempts at stamps that a sound worker has received. */
const passedOn = new Set();
let isRunning = true;

function answerReport(response) {
    const report = { stage: "both", state: "ready", models: [{ name: "m", version: 1, adapters: [] }], busy: false };
    const counts = { sequence: 1, queued: 0, active: 0, kv_used: 0, kv_total: 34_196, handles: 0, born: 1000, runs: [] };
    response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify({ ...report, ...counts }));
}

/** Sends comments as fast as the connection takes them, until it is closed. */
function sendCommentsWithoutEnd(response) {
    const send = () => {
        while (!response.destroyed) {
            commentBytes += COMMENTS.length;
            if (!response.write(COMMENTS)) {
                response.once("drain", send);
                return;
            }
        }
    };
    send();
}

/** Answers as an engine. */
function answerStream(request, response) {
    if (request.url === "/report") {
        answerReport(response);
        return;
    }
    response.writeHead(200, { ...buildAnswerHeaders(request), "content-type": "text/event-stream" });
    response.write("id: 1\ndata: first\n\n");
    if (HAS_TROUBLE && troubledIds.has(request.headers["attempt-id"])) {
        sendCommentsWithoutEnd(response);
        return;
    }
    let event = 1;
    const timer = setInterval(() => {
        event += 1;
        response.write(`id: ${event}\ndata: ${"text ".repeat(70)}\n\n`);
        if (event === EVENTS || response.destroyed) {
            clearInterval(timer);
            response.end();
        }
    }, EVENT_MILLISECONDS);
}

function answerStamp(request, response) {
    passedOn.add(request.headers["attempt-id"]);
    setTimeout(() => response.writeHead(200, buildAnswerHeaders(request, BODY)).end(BODY), STAMP_MILLISECONDS);
}

/** Requests a stream, and reads all that arrives until it ends. */
function readStream(port, id) {
    const socket = connect(port, HOST);
    const state = { bytes: 0, hasEnded: false, close: () => socket.destroy() };
    socket.on("error", () => undefined);
    const headers = Object.entries({
        "Host": HOSTNAME,
        "Attempt-Id": id,
        "Model": "m",
        "Token-Counts": "1460,932",
        "Prompt-Prefix": "5c1e07a2:800,91bd3f06:660",
        "Deadline-Ms": TIME_LIMIT_MILLISECONDS,
        "Authorization": `Bearer ${KEY}`,
        "Content-Length": 0,
    }).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`POST /narrative/1 HTTP/1.1\r\n${headers.join("")}\r\n`);
    socket.on("data", chunk => {
        state.bytes += chunk.length;
        state.hasEnded ||= chunk.toString("latin1").endsWith("0\r\n\r\n");
    });
    return state;
}

/** Reads the resident memory of a process, in kilobytes; 0 once it has ended. */
function readMemory(pid) {
    try {
        return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1] ?? 0);
    }
    catch {
        return 0;
    }
}

/** Sends streams to an instance, and starts its process again whenever it ends, as the platform does. */
async function observeStreams(instance) {
    let peak = 0;
    for (let count = 0; count < STREAMS_PER_INSTANCE; count += 1) {
        const id = createId();
        troubledIds.add(id);
        const endsBefore = instance.exits.length;
        const client = readStream(instance.caller, id);
        const sentAt = performance.now();
        let last = 0;
        while (
            performance.now() - sentAt < STREAM_MILLISECONDS && instance.exits.length === endsBefore && !client.hasEnded
        ) {
            const memory = readMemory(instance.pid);
            last = memory === 0 ? last : memory;
            peak = Math.max(peak, memory);
            await sleep(SAMPLE_MILLISECONDS);
        }
        client.close();
        record("stream", {
            instance: instance.index + 1,
            id,
            seconds: Number(((performance.now() - sentAt) / 1000).toFixed(2)),
            bytesRead: client.bytes,
            memoryKilobytes: last,
            hasProcessEnded: instance.exits.length > endsBefore,
        });
        if (instance.exits.length > endsBefore) {
            await sleep(RESTART_MILLISECONDS);
            instance.start();
            await waitUntilReady(instance);
        }
    }
    return peak;
}

/** Sends stamps on one kept connection, and lists those that a sound worker got and that were not answered. */
async function sendStamps(port) {
    const cut = [];
    const agent = createKeptConnection();
    while (isRunning) {
        const result = await call({ port, path: "/stamp/1", method: "POST", body: Buffer.from("batch 12"), agent });
        const isClosed = result.status === 0 && result.reason !== "time limit";
        if (isClosed && result.isKeptConnection && passedOn.has(result.id)) {
            cut.push(result);
        }
        await sleep(THINKING_MILLISECONDS);
    }
    return cut;
}

async function runCase() {
    const store = new Store();
    const engine = { slots: 24, kv_capacity: 34_196, stride: 4, moves: true, kv_token_bytes: 163_840, link_mbps: 24_000 };
    const narrative = { name: "narrative", path_prefix: "/narrative/", kind: "streaming", service: "model" };
    const stamp = { name: "stamp", path_prefix: "/stamp/", kind: "unsafe", service: "ledger" };
    store.put("config", "main", buildConfiguration({
        version: 3,
        services: [{ name: "model", max_connections: 222, engine }, { name: "ledger", max_connections: 110 }],
        routes: [
            {
                ...narrative,
                target_latency_ms: 1800,
                timeout_ms: TIME_LIMIT_MILLISECONDS,
                target_gap_ms: 180,
                stream_resume: false,
            },
            { ...stamp, target_latency_ms: 386, timeout_ms: 4000 },
        ],
    }));
    for (const id of ["i-1", "i-2", "i-3"]) {
        await openWorker({ store, id, service: "model", handle: answerStream, born: 1000 });
    }
    for (const id of ["i-4", "i-5", "i-6"]) {
        await openWorker({ store, id, service: "ledger", handle: answerStamp, entry: { slots: 6 } });
    }
    const instances = await startInstances(store, INSTANCES, { "limits.memory_mb": String(MEMORY_MEGABYTES) });
    const clients = instances.flatMap(({ caller }) => Array.from({ length: ORDINARY_CLIENTS }, () => sendStamps(caller)));
    await sleep(1000);
    const peaks = await Promise.all(instances.map(instance => observeStreams(instance)));
    isRunning = false;
    const cut = (await Promise.all(clients)).flat();
    for (const { id, reason, milliseconds } of cut) {
        record("stamp without an answer", { id, reason, milliseconds: Math.round(milliseconds) });
    }
    record("result", {
        endsOfProcesses: instances.map(({ exits }) => exits.map(({ signal, code }) => signal ?? code)),
        peakKilobytes: peaks,
        memoryMegabytes: MEMORY_MEGABYTES,
        commentBytes,
        stampsPassedOn: passedOn.size,
        stampsCut: cut.length,
    });
    if (passedOn.size === 0) {
        finish(directory, 2, "the case could not run");
    }
    const isBroken = cut.length > MAX_CUT;
    finish(directory, isBroken ? 1 : 0, isBroken ? `LOST broken: ${cut.length} requests were cut` : "LOST held");
}

runCase().catch(error => {
    record("error", { error: String(error.stack) });
    finish(directory, 2, "the case could not run");
});
