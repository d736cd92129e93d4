// Starts the project's serving program as the deploy file says, with a settings file like that of a small deployment.
import { spawn } from "node:child_process";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { join } from "node:path";

const READY_MS = 15_000;

/** Ports below those that the system gives to outgoing connections, which could take a port before it is used. */
const FIRST_PORT = 10_240;
const LAST_PORT = 32_000;

/** Checks whether a process can listen on a loopback port. */
function checkPort(port) {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}

/** Finds free loopback ports. */
export async function findPorts(count) {
    const ports = new Set();
    while (ports.size < count) {
        const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
        if (await checkPort(port)) {
            ports.add(port);
        }
    }
    return [...ports];
}

/** Reads the words of the `run` line of the deploy file. */
function readRunLine(root) {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const line = /^run = "([^"]*)"$/m.exec(text)?.[1];
    if (line === undefined) {
        throw new Error("the deploy file has no run line");
    }
    return line.split(" ");
}

/** Prepares an instance; `start` starts its process and waits until it says that it is ready. */
export async function prepareInstance({ root, folder, name, zone = "zone-a", store, graceS = 8 }) {
    const [front, ready, control, internal] = await findPorts(4);
    const path = join(folder, `${name}.conf`);
    const build = seeds => ({
        node_name: name,
        role: "serve",
        machine_class: "front",
        serves: "front,control",
        ip: "127.0.0.1",
        zone,
        region: "region-a",
        [`zones.${zone}`]: "region-a",
        "listen.front": `127.0.0.1:${front}`,
        "listen.ready": `127.0.0.1:${ready}`,
        "listen.control": `127.0.0.1:${control}`,
        internal_ports: `${internal},${internal + 15}`,
        seeds: seeds.join(","),
        bootstrap: "true",
        "limits.cpu_share": "0.675",
        "limits.cpu_cores": "1",
        "limits.memory_mb": "200",
        "limits.max_fds": "4100",
        discovery: "platform",
        entry: "vip",
        heartbeat_ms: "1200",
        contracts: "base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform",
        "bounds.contact_ms": "3000",
        "bounds.drain_timeout_ms": "2000",
        "bounds.grace_s": String(graceS),
        "bounds.loss_slack_ms": "200",
        "bounds.config_apply_ms": "2000",
        "bounds.retry_budget_ratio": "0.2",
        "bounds.budget_window_s": "10",
        "bounds.budget_slack": "56",
        "bounds.cold_overage": "1.5",
        "bounds.cold_slack": "5",
        "platform.address": store.address,
        "platform.form": "objects",
    });
    const instance = {
        name,
        front,
        ready,
        peerAddress: `127.0.0.1:${control}`,
        child: undefined,
        /** Writes the settings file, as the platform does at each start. */
        writeSettings(seeds, changes = {}) {
            const lines = Object.entries({ ...build(seeds), ...changes }).map(([key, value]) => `${key}=${value}\n`);
            writeFileSync(path, lines.join(""));
        },
        /** Starts the process; resolves once its readiness address answers with 200. */
        async start() {
            const [command, ...words] = readRunLine(root);
            const { PATH, HOME, LANG } = process.env;
            const child = spawn(command === "node" ? process.execPath : command, words, {
                cwd: root,
                env: { PATH, HOME, ...LANG === undefined ? {} : { LANG }, KNAPWEEDCOURSE_SETTINGS: path },
                stdio: ["ignore", "pipe", "pipe"],
            });
            const log = createWriteStream(join(folder, `${name}.log`), { flags: "a" });
            child.stdout.pipe(log, { end: false });
            child.stderr.pipe(log, { end: false });
            instance.child = child;
            instance.ended = new Promise(resolve =>
                child.on("exit", (code, signal) => resolve({ at: performance.now(), code, signal }))
            );
            const until = performance.now() + READY_MS;
            while (performance.now() < until) {
                if (child.exitCode !== null || child.signalCode !== null) {
                    break;
                }
                if (await isReady(ready)) {
                    return;
                }
                await new Promise(resolve => setTimeout(resolve, 50));
            }
            throw new Error(`${name} has not become ready`);
        },
        /** Ends the process if it still runs. */
        async end() {
            if (instance.child !== undefined && instance.child.exitCode === null && instance.child.signalCode === null) {
                instance.child.kill("SIGKILL");
                await instance.ended;
            }
        },
    };
    return instance;
}

/** Checks whether a readiness address answers with 200. */
export function isReady(port) {
    return new Promise(resolve => {
        const call = request({ host: "127.0.0.1", port, path: "/readyz", agent: false, timeout: 900 }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        call.on("timeout", () => call.destroy());
        call.on("error", () => resolve(false));
        call.end();
    });
}
