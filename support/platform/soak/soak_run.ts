/**
 * One seeded soak: serving programs as processes, a load of callers, and a series of overlapping faults.
 *
 * @module
 */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { Agent, request as startRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type Address, parseAddress, waitMilliseconds } from "../../../network/mod.ts";
import { createRandom, pickExponential, type Random } from "../../fixtures/random.ts";
import { callHttp, collectAnswer, type HttpResult, type RunningChild, startChild } from "../../processes/mod.ts";
import { buildSiteConfiguration, formatSettingsText, ServingSite, SITE_KEY, type SiteTarget } from "../mod.ts";
import { FaultProxy, ProxyMode } from "./fault_proxy.ts";
import { SoakLedger } from "./soak_ledger.ts";

/** Options of {@linkcode runSoak}. */
export interface SoakOptions {
    /** Seed of all choices. */
    seed: number;
    /** Duration of load and faults, in milliseconds. */
    milliseconds: number;
    /** Number of instances. Defaults to 3. */
    instances?: number;
    /** Mean time between faults, in milliseconds. Defaults to 500. */
    faultInterval?: number;
}

/** How a soak ended. */
export interface SoakResult {
    /** Broken promises; none in a good soak. */
    broken: string[];
    /** Requests sent. */
    requests: number;
    /** Requests answered whole with 200. */
    served: number;
    /** Faults injected, by name. */
    faults: Record<string, number>;
}

interface SoakInstance {
    path: string;
    caller: string;
    ready: string;
    storeProxy: FaultProxy;
    child: RunningChild;
    /** True while a signal of the soak is to end the process. */
    isEnding: boolean;
    isPaused: boolean;
}

const KINDS = ["lookup", "stamp", "narrative", "verdict"];
const PATHS: Record<string, string> = {
    lookup: "/lookup/1",
    stamp: "/stamp/1",
    narrative: "/narrative/1",
    verdict: "/verdict/1",
};
const PROGRAM = "dist/bin/knapweed_serve.js";
const CALLERS = 6;
const FIRST_PORT = 10_000;
const PORTS = 20_000;
/** Ports given out by this process; a port is free until its server or program has started. */
const takenPorts = new Set<number>();
/** Time in which a site without faults serves everything again, in milliseconds. */
const RECOVERY = 4000;
/** Longest duration of a fault, in milliseconds. */
const LONGEST_FAULT = 1500;

/** Runs one soak. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const soak = new Soak(options);
    try {
        await soak.start();
        return await soak.run();
    }
    finally {
        await soak.close();
    }
}

class Soak {
    readonly #options: SoakOptions;
    readonly #random: Random;
    readonly #site = new ServingSite();
    readonly #ledger = new SoakLedger();
    readonly #instances: SoakInstance[] = [];
    readonly #proxies: FaultProxy[] = [];
    readonly #unexpected: string[] = [];
    #folder = "";
    #version = 5;
    #sent = 0;
    #isOver = false;

    constructor(options: SoakOptions) {
        this.#options = options;
        this.#random = createRandom(options.seed);
    }

    async start(): Promise<void> {
        this.#folder = await mkdtemp(join(tmpdir(), "knapweed-soak-"));
        await this.#site.openStore();
        for (const service of ["ledger", "ledger", "ledger", "engines", "engines", "engines"]) {
            await this.#addTarget(service);
        }
        const { instances = 3 } = this.#options;
        for (let index = 0; index < instances; index += 1) {
            await this.#addInstance(index);
        }
        for (const instance of this.#instances) {
            await this.#waitUntilReady(instance);
        }
    }

    async run(): Promise<SoakResult> {
        const until = performance.now() + this.#options.milliseconds;
        const callers = Array.from({ length: CALLERS }, () => this.#runCaller());
        const faults: Promise<void>[] = [];
        while (performance.now() < until) {
            await waitMilliseconds(pickExponential(this.#random, this.#options.faultInterval ?? 500));
            faults.push(this.#injectFault());
        }
        await Promise.all(faults);
        for (const { standIn } of this.#site.targets) {
            standIn.faults.faultyAnswers = 0;
        }
        await waitMilliseconds(RECOVERY);
        this.#isOver = true;
        await Promise.all(callers);
        await this.#checkRecovery();
        return this.#buildResult();
    }

    async close(): Promise<void> {
        this.#isOver = true;
        for (const instance of this.#instances) {
            instance.isEnding = true;
            instance.child.send("SIGKILL");
        }
        for (const proxy of this.#proxies) {
            proxy.close();
        }
        this.#site.close();
        await rm(this.#folder, { recursive: true, force: true });
    }

    async #addTarget(service: string): Promise<void> {
        const target = await this.#site.addTarget(service, { eventMilliseconds: 40 });
        const [address = ""] = await this.#findPorts(1);
        const proxy = new FaultProxy(parseAddress(target.address));
        await proxy.open(parseAddress(address));
        this.#proxies.push(proxy);
        target.address = address;
        this.#site.writeTarget(target);
    }

    async #addInstance(index: number): Promise<void> {
        const [caller = "", ready = "", peer = "", internal = "", store = ""] = await this.#findPorts(5);
        const storeProxy = new FaultProxy(parseAddress(this.#site.storeAddress));
        await storeProxy.open(parseAddress(store));
        this.#proxies.push(storeProxy);
        const path = join(this.#folder, `instance-${index}.conf`);
        const internalPort = Number(internal.split(":")[1]);
        await writeFile(
            path,
            formatSettingsText({ caller, ready, peer, internalPort, store }, { node_name: `instance-${index}` }),
        );
        const child = startChild(PROGRAM, { arguments: ["--settings", path] });
        const instance = { path, caller, ready, storeProxy, child, isEnding: false, isPaused: false };
        this.#instances.push(instance);
        this.#watchExit(instance);
    }

    /**
     * Finds free ports below those that the kernel gives to outgoing connections.
     *
     * A restarted process needs its ports again, which an outgoing connection may have taken meanwhile.
     */
    async #findPorts(count: number): Promise<string[]> {
        const addresses: string[] = [];
        while (addresses.length < count) {
            const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
            const address = { host: "127.0.0.1", port };
            if (!takenPorts.has(port) && await isFree(address) && !takenPorts.has(port)) {
                takenPorts.add(port);
                addresses.push(`${address.host}:${port}`);
            }
        }
        return addresses;
    }

    #watchExit(instance: SoakInstance): void {
        const { child } = instance;
        void child.waitForExit().then(code => {
            if (!instance.isEnding && !this.#isOver) {
                this.#unexpected.push(`a process ended by itself with code ${code}: ${child.getOutput().slice(-400)}`);
            }
        });
    }

    async #waitUntilReady(instance: SoakInstance): Promise<boolean> {
        for (let tries = 0; tries < 200; tries += 1) {
            const answer = await callHttp({ address: instance.ready, path: "/readyz" }).catch(() => undefined);
            if (answer?.status === 200) {
                return true;
            }
            await waitMilliseconds(25);
        }
        return false;
    }

    /** Sends requests on a kept connection until the soak is over or the process is gone, then connects anew. */
    async #runCaller(): Promise<void> {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        while (!this.#isOver) {
            const instance = this.#pick(this.#instances);
            for (let count = 0; count < 5 && !this.#isOver; count += 1) {
                await this.#sendRequest(instance, agent);
                await waitMilliseconds(20 + this.#random() * 60);
            }
        }
        agent.destroy();
    }

    async #sendRequest(instance: SoakInstance, agent: Agent): Promise<void> {
        this.#sent += 1;
        const id = `${this.#options.seed.toString(16)}-${this.#sent.toString(16).padStart(8, "0")}`;
        const kind = this.#pick(KINDS);
        const sentAt = performance.now();
        const end = await callOnAgent({ instance, agent, id, kind });
        // A caller that finds nobody to connect to has sent nothing.
        if (end !== "not connected") {
            this.#ledger.requests.push({ id, kind, sentAt, endedAt: performance.now(), result: end });
        }
    }

    #pick<Item>(items: readonly Item[]): Item {
        const item = items[Math.floor(this.#random() * items.length)];
        if (item === undefined) {
            throw new Error("Cannot pick from an empty list.");
        }
        return item;
    }

    async #injectFault(): Promise<void> {
        const name = this.#pick(Object.keys(this.#faultActions));
        const duration = 150 + this.#random() * LONGEST_FAULT;
        const end = this.#ledger.startFault(name);
        await this.#faultActions[name]?.(duration);
        end();
    }

    readonly #faultActions: Record<string, (duration: number) => Promise<void>> = {
        "delayed target": duration => this.#runProxyFault(ProxyMode.delay, duration),
        "reset target": duration => this.#runProxyFault(ProxyMode.reset, duration),
        "target cut one way": duration => this.#runProxyFault(ProxyMode.oneWay, duration),
        "silent connections": duration => this.#runProxyFault(ProxyMode.silence, duration),
        "store cut off": async duration => {
            const { storeProxy } = this.#pick(this.#instances);
            storeProxy.setMode(this.#pick([ProxyMode.reset, ProxyMode.oneWay, ProxyMode.silence]));
            await waitMilliseconds(duration);
            storeProxy.setMode(ProxyMode.pass);
        },
        "store refuses": async duration => {
            this.#site.store.faults.refuseWith = this.#pick([429, 503]);
            await waitMilliseconds(duration);
            this.#site.store.faults.refuseWith = 0;
        },
        "faulty answers": async () => {
            const { standIn } = this.#pick(this.#site.targets);
            standIn.faults.answer = this.#pick([
                "a failure",
                "a refusal",
                "half an answer",
                "a reset",
                "another request's answer",
            ]);
            standIn.faults.faultyAnswers = 3;
        },
        kill: duration => this.#restartInstance("SIGKILL", duration),
        term: () => this.#restartInstance("SIGTERM", 0),
        pause: async duration => {
            const instance = this.#pick(this.#instances);
            if (!instance.isEnding && !instance.isPaused) {
                instance.isPaused = true;
                instance.child.send("SIGSTOP");
                await waitMilliseconds(duration);
                instance.child.send("SIGCONT");
                instance.isPaused = false;
            }
        },
        hup: async () => this.#pick(this.#instances).child.send("SIGHUP"),
        configuration: async () => this.#writeConfiguration(),
        leaving: async duration => {
            const target = this.#pick(this.#site.targets);
            this.#site.writeTarget(target, { state: "draining" });
            await waitMilliseconds(duration);
            this.#site.writeTarget(target);
        },
        "emptied zone": async duration => {
            this.#site.store.putObject("evacuations", "zone-b", {});
            await waitMilliseconds(duration);
            this.#site.store.removeObject("evacuations", "zone-b");
        },
    };

    async #runProxyFault(mode: ProxyMode, duration: number): Promise<void> {
        const proxy = this.#pick(this.#proxies.slice(0, this.#site.targets.length));
        proxy.setMode(mode);
        await waitMilliseconds(duration);
        proxy.setMode(ProxyMode.pass);
    }

    async #restartInstance(signal: NodeJS.Signals, downTime: number): Promise<void> {
        const instance = this.#pick(this.#instances);
        if (instance.isEnding || instance.isPaused) {
            return;
        }
        instance.isEnding = true;
        instance.child.send(signal);
        await instance.child.waitForExit();
        await waitMilliseconds(downTime);
        instance.child = startChild(PROGRAM, { arguments: ["--settings", instance.path] });
        instance.isEnding = false;
        this.#watchExit(instance);
        await this.#waitUntilReady(instance);
    }

    #writeConfiguration(): void {
        this.#version += 1 + Math.floor(this.#random() * 3);
        const keys = [SITE_KEY, `key-${this.#version}`];
        this.#site.store.putObject("config", "main", buildSiteConfiguration(this.#version, { keys }));
    }

    /** After the last fault every instance serves every kind of request, by the newest configuration. */
    async #checkRecovery(): Promise<void> {
        for (const [index, instance] of this.#instances.entries()) {
            if (!await this.#waitUntilReady(instance)) {
                this.#unexpected.push(`instance ${index} is not ready after the faults`);
                continue;
            }
            for (const kind of KINDS) {
                const result = await callOnAgent({ instance, agent: new Agent(), id: `end-${index}-${kind}`, kind });
                const status = typeof result === "object" ? result.status : result;
                if (status !== 200) {
                    this.#unexpected.push(`instance ${index} answers a ${kind} with ${status} after the faults`);
                }
            }
        }
    }

    #buildResult(): SoakResult {
        const runs = new Map<string, number>();
        for (const id of this.#site.targets.flatMap((target: SiteTarget) => target.standIn.started)) {
            runs.set(id, (runs.get(id) ?? 0) + 1);
        }
        const faults: Record<string, number> = {};
        for (const { name } of this.#ledger.faults) {
            faults[name] = (faults[name] ?? 0) + 1;
        }
        const { requests } = this.#ledger;
        const served = requests.filter(({ result }) => result?.status === 200 && result.isComplete).length;
        const broken = [...this.#unexpected, ...this.#ledger.findBroken(runs)];
        return { broken, requests: requests.length, served, faults };
    }
}

function isFree(address: Address): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(address.port, address.host, () => server.close(() => resolve(true)));
    });
}

/** Makes one call on a caller's own connection. */
function callOnAgent(
    call: { instance: SoakInstance; agent: Agent; id: string; kind: string; },
): Promise<HttpResult | "not connected" | undefined> {
    const { instance, agent, id, kind } = call;
    const isStream = kind === "narrative" || kind === "verdict";
    return new Promise(resolve => {
        let isSent = false;
        const request = startRequest({
            ...parseAddress(instance.caller),
            agent,
            method: kind === "lookup" ? "GET" : "POST",
            path: PATHS[kind],
            headers: {
                host: "site.example",
                "attempt-id": id,
                "deadline-ms": "4000",
                authorization: `Bearer ${SITE_KEY}`,
                ...isStream ? { model: "m", "token-counts": "100,48" } : {},
                ...kind === "lookup" ? {} : { "content-length": "8" },
            },
            signal: AbortSignal.timeout(6000),
        }, response => void collectAnswer(response).then(resolve));
        request.on("socket", socket => {
            // A request that crosses the close of an idle connection was not read; its caller sends it again.
            if (socket.connecting) {
                socket.once("connect", () => {
                    isSent = true;
                });
            }
        });
        request.on("error", () => resolve(isSent ? undefined : "not connected"));
        request.end(kind === "lookup" ? undefined : "the body");
    });
}
