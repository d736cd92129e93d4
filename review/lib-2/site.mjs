/**
 * A small deployment for the cases of the second review: the store, workers and clients are small stand-ins in this
 * process; the instances are processes of their own, started with the run line of the deploy file.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer as createHttpServer } from "node:http";
import { Agent, request as startHttpRequest } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
export const HOST = "127.0.0.1";
export const KEY = "key-of-the-review";
export const HOSTNAME = "review.example";

/** True unless `TROUBLE=0` asks for the same run without its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

export const sleep = milliseconds => new Promise(done => setTimeout(done, milliseconds));

const startedAt = performance.now();
const lines = [];

/** Adds one line to the record: the time since the start, what happened, and its details. */
export function record(event, details = {}) {
    const seconds = ((performance.now() - startedAt) / 1000).toFixed(3);
    const text = Object.entries(details).map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(" ");
    lines.push(`${seconds} ${event} ${text}`.trimEnd());
}

/** Finds free ports of the loopback address. */
export async function findPorts(count) {
    const servers = await Promise.all(Array.from({ length: count }, () =>
        new Promise((done, fail) => {
            const server = createTcpServer();
            server.once("error", fail);
            server.listen(0, HOST, () => done(server));
        })));
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(done => server.close(done))));
    return ports;
}

/** A store that follows the protocol page: lists, objects, conditional writes and watches. */
export class Store {
    #objects = new Map();
    #changes = [];
    #revision = 10;
    #waiting = new Set();
    /** Called with the port and the URL of each call. */
    onCall = () => undefined;

    /** Opens a port; the store can tell its callers by their ports. */
    async open() {
        const [port] = await findPorts(1);
        const server = createHttpServer((request, response) => void this.#handle(request, response));
        server.keepAliveTimeout = 60_000;
        await new Promise(done => server.listen(port, HOST, done));
        return port;
    }

    put(kind, name, spec) {
        this.#revision += 1;
        const object = { metadata: { name, revision: this.#revision }, spec };
        if (!this.#objects.has(kind)) {
            this.#objects.set(kind, new Map());
        }
        this.#objects.get(kind).set(name, object);
        this.#publish({ kind, object, deleted: false });
        return object;
    }

    remove(kind, name) {
        const object = this.#objects.get(kind)?.get(name);
        if (object !== undefined) {
            this.#revision += 1;
            this.#objects.get(kind).delete(name);
            this.#publish({ kind, object, deleted: true });
        }
    }

    list(kind) {
        return [...this.#objects.get(kind)?.values() ?? []];
    }

    #publish(change) {
        this.#changes.push({ ...change, revision: this.#revision });
        [...this.#waiting].forEach(wake => wake());
    }

    async #handle(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const url = new URL(request.url, "http://store");
        this.onCall({ port: request.socket.localPort, url });
        const [, , kind, name, part] = url.pathname.split("/").map(decodeURIComponent);
        const send = (status, value) => {
            const text = JSON.stringify(value);
            response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
            response.end(text);
        };
        if (request.method === "GET" && url.searchParams.has("watch")) {
            const from = Number(url.searchParams.get("watch"));
            const find = () => this.#changes.filter(change => change.kind === kind && change.revision > from);
            if (find().length === 0) {
                await new Promise(done => {
                    const timer = setTimeout(() => wake(), Number(url.searchParams.get("wait_ms") ?? 0));
                    const wake = () => {
                        clearTimeout(timer);
                        this.#waiting.delete(wake);
                        done();
                    };
                    this.#waiting.add(wake);
                    response.on("close", wake);
                });
            }
            send(200, { events: find().map(({ object, deleted }) => ({ object, deleted })), as_of: this.#revision });
            return;
        }
        const stored = this.#objects.get(kind);
        if (request.method === "GET") {
            if (name === undefined) {
                const items = this.list(kind).sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1)
                    .filter(object => object.metadata.name > (url.searchParams.get("after") ?? ""));
                send(200, { items, more: false, as_of: this.#revision });
                return;
            }
            const object = stored?.get(name);
            send(object === undefined ? 404 : 200, object ?? {});
            return;
        }
        if (request.method === "DELETE") {
            const object = stored?.get(name);
            send(object === undefined ? 404 : 200, object ?? {});
            this.remove(kind, name);
            return;
        }
        const { metadata, spec, status } = JSON.parse(Buffer.concat(chunks).toString());
        const current = stored?.get(metadata.name);
        const isOutdated = metadata.revision !== undefined && metadata.revision !== current?.metadata.revision;
        if (current !== undefined && (request.method === "POST" || isOutdated)) {
            send(409, current);
        }
        else if (request.method === "PUT" && current === undefined) {
            send(404, {});
        }
        else if (part === "status") {
            const object = this.put(kind, metadata.name, current.spec);
            object.status = status;
            send(200, object);
        }
        else {
            send(200, this.put(kind, metadata.name, spec));
        }
    }
}

/** Limits of the desired state, as in the site files. */
const LIMITS = { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 5000, idle_timeout_ms: 15_000 };

/** Builds a desired state with one tenant; every route belongs to the host of the review. */
export function buildConfiguration({ version, routes, services, limits = {} }) {
    return {
        version,
        routes: routes.map(route => ({ host: HOSTNAME, priority: 1, public: false, max_attempts: 1, ...route })),
        services,
        limits: { ...LIMITS, ...limits },
        tenants: [{ name: "tenant-a", api_keys: [KEY] }],
    };
}

/** Builds the entry of a worker. */
export function buildEntry({ service, port, born, ...changes }) {
    return {
        service,
        address: `${HOST}:${port}`,
        zone: "zone-a",
        version: "v1",
        slots: 24,
        state: "ready",
        cold_remaining_ms: 0,
        sequence: 1,
        born,
        ...changes,
    };
}

const children = new Set();

/** Ends what was started, writes the record and exits. */
export function finish(directory, code, verdict) {
    record(verdict, { exit: code });
    children.forEach(child => child.kill("SIGKILL"));
    rmSync(temporary, { recursive: true, force: true });
    writeFileSync(join(directory, "record.txt"), `${lines.join("\n")}\n`);
    process.stdout.write(`${verdict} (exit ${code})\n`);
    process.exit(code);
}

const temporary = mkdtempSync(join(tmpdir(), "review-2-"));
process.on("exit", () => children.forEach(child => child.kill("SIGKILL")));

/** Settings of a process as on the settings page, with the bounds of the site files. */
const SETTINGS = {
    role: "serve",
    machine_class: "front",
    serves: "front,control",
    ip: HOST,
    zone: "zone-a",
    region: "area-a",
    "zones.zone-a": "area-a",
    bootstrap: "true",
    loss_counts: "false",
    "limits.cpu_share": "0.675",
    "limits.cpu_cores": "1",
    "limits.memory_mb": "350",
    "limits.max_fds": "4100",
    discovery: "platform",
    entry: "vip",
    heartbeat_ms: "1200",
    contracts: "base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform",
    "bounds.contact_ms": "3000",
    "bounds.drain_timeout_ms": "2000",
    "bounds.grace_s": "8",
    "bounds.loss_slack_ms": "200",
    "bounds.config_apply_ms": "2000",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.budget_window_s": "10",
    "bounds.budget_slack": "52",
    "bounds.cold_overage": "1.5",
    "bounds.cold_slack": "5",
    "platform.form": "objects",
};

/** Reads the run line of the deploy file. */
function readRunLine() {
    const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const line = /^run = "(.*)"$/m.exec(text)?.[1];
    return line.split(" ");
}

/** Starts instances of the serving program; the first ones are the seeds of all. */
export async function startInstances(store, count, changes = {}) {
    const ports = await Promise.all(Array.from({ length: count }, () => findPorts(4)));
    const seeds = ports.slice(0, 3).map(([, , peer]) => `${HOST}:${peer}`).join(",");
    const instances = [];
    for (const [index, [caller, ready, peer, internal]] of ports.entries()) {
        const path = join(temporary, `instance-${index}.conf`);
        const storePort = await store.open();
        const settings = {
            node_name: `front-${index + 1}`,
            ...SETTINGS,
            "listen.front": `${HOST}:${caller}`,
            "listen.ready": `${HOST}:${ready}`,
            "listen.control": `${HOST}:${peer}`,
            internal_ports: `${internal},${internal + 15}`,
            seeds,
            "platform.address": `${HOST}:${storePort}`,
            ...changes,
        };
        const writeSettings = (more = {}) =>
            writeFileSync(
                path,
                Object.entries({ ...settings, ...more }).map(([key, value]) => `${key}=${value}\n`).join(""),
            );
        writeSettings();
        const instance = { index, caller, ready, internal, storePort, writeSettings, output: "", exits: [] };
        const start = () => {
            const [program, ...rest] = readRunLine();
            const child = spawn(program === "node" ? process.execPath : program, rest, {
                cwd: ROOT,
                env: { PATH: process.env.PATH, HOME: process.env.HOME, KNAPWEEDCOURSE_SETTINGS: path },
                stdio: ["ignore", "pipe", "pipe"],
            });
            children.add(child);
            instance.child = child;
            instance.pid = child.pid;
            const collect = chunk => {
                instance.output = (instance.output + chunk).slice(-200_000);
            };
            child.stdout.on("data", collect);
            child.stderr.on("data", collect);
            child.on("exit", (code, signal) => {
                children.delete(child);
                instance.exits.push({ code, signal });
                record("instance ended", { instance: index + 1, code, signal });
            });
        };
        instance.start = start;
        instance.sendSignal = signal => {
            record("signal", { instance: index + 1, signal });
            instance.child.kill(signal);
        };
        start();
        instances.push(instance);
    }
    for (const instance of instances) {
        await waitUntilReady(instance);
    }
    return instances;
}

/** Waits until the readiness address answers 200. */
export async function waitUntilReady(instance, seconds = 10) {
    for (let tries = 0; tries < seconds * 20; tries += 1) {
        const { status } = await call({ port: instance.ready, path: "/readyz", isBare: true, timeout: 1000 });
        if (status === 200) {
            return;
        }
        await sleep(50);
    }
    throw new Error(`instance ${instance.index + 1} has not become ready`);
}

let requestCount = 0;

/** Creates the id of a client attempt. */
export function createId() {
    requestCount += 1;
    return requestCount.toString(16).padStart(16, "0");
}

/** Creates a client that sends one request after the other on one connection. */
export function createKeptConnection() {
    return new Agent({ keepAlive: true, maxSockets: 1 });
}

/** Sends a request as a client does; resolves with its status (0 without an answer), body and times, and never rejects. */
export function call(options) {
    const { port, path, method = "GET", body, headers = {}, isBare = false, timeout = 4000, agent, id = createId() } =
        options;
    const sentAt = performance.now();
    return new Promise(done => {
        let settled = false;
        const settle = result => {
            if (!settled) {
                settled = true;
                clearTimeout(timer);
                done({
                    id,
                    sentAt,
                    milliseconds: performance.now() - sentAt,
                    isKeptConnection: request.reusedSocket,
                    ...result,
                });
            }
        };
        const timer = setTimeout(() => {
            request.destroy();
            settle({ status: 0, reason: "time limit" });
        }, timeout);
        const request = startHttpRequest({
            host: HOST,
            port,
            path,
            method,
            agent: agent ?? false,
            headers: isBare ? {} : {
                host: HOSTNAME,
                "attempt-id": id,
                "deadline-ms": String(timeout),
                authorization: `Bearer ${KEY}`,
                ...headers,
                ...body === undefined ? {} : { "content-length": body.length },
            },
        }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", () => undefined);
            response.on("close", () =>
                settle({
                    status: response.statusCode,
                    headers: response.headers,
                    body: Buffer.concat(chunks),
                    isComplete: response.complete,
                }));
        });
        request.on("error", error => settle({ status: 0, reason: error.code ?? error.message }));
        request.end(body);
    });
}

/** Opens a worker whose answers are written by `handle`, which gets the request, its body, and the response. */
export async function openWorker({ store, id, service, handle, born = Date.now(), port, entry = {} }) {
    const chosen = port ?? (await findPorts(1))[0];
    const server = createHttpServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("error", () => undefined);
        response.on("error", () => undefined);
        request.on("end", () => {
            if (request.headers["expected-instance"] !== undefined && request.headers["expected-instance"] !== id) {
                response.writeHead(421, { "instance-id": id, "content-length": 0 }).end();
                return;
            }
            handle(request, response, Buffer.concat(chunks));
        });
    });
    server.keepAliveTimeout = 30_000;
    await new Promise(done => server.listen(chosen, HOST, done));
    const write = (changes = {}) => store.put("servers", id, buildEntry({ service, port: chosen, born, ...entry, ...changes }));
    write();
    return {
        id,
        port: chosen,
        server,
        write,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}

/** Headers of a worker's whole answer to a request. */
export function buildAnswerHeaders(request, body) {
    return {
        "attempt-id": request.headers["attempt-id"],
        "response-seal": "3e1b.07.5a2.600.0.c9f2a4d1",
        "content-type": "text/plain",
        ...body === undefined ? {} : { "content-length": body.length },
    };
}
