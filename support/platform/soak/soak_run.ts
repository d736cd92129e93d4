/**
 * A soak test with one seed: instances as child processes, concurrent callers, and a series of overlapping faults.
 *
 * @module
 */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { Agent, request as startRequest } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseAddress, waitMilliseconds } from "../../../network/mod.ts";
import { createRandom, pickExponential, type Random } from "../../fixtures/random.ts";
import { collectResponse, findAddresses, type HttpResult, type RunningChild, startChild } from "../../processes/mod.ts";
import {
    buildSiteConfiguration,
    type InstanceProcess,
    LinkCut,
    ServingSite,
    SITE_API_KEY,
    type SiteTarget,
    startInstanceProcess,
} from "../mod.ts";
import { FaultProxy, ProxyMode } from "./fault_proxy.ts";
import { listEventNumbers, SoakRecorder } from "./soak_recorder.ts";

/** Options of {@linkcode runSoak}. */
export interface SoakOptions {
    /** Seed of the random choices. */
    seed: number;
    /** Time in which faults are injected, in milliseconds. */
    milliseconds: number;
    /** Number of instances. Defaults to 3. */
    instances?: number;
    /** Mean time between faults, in milliseconds. Defaults to 500. */
    faultIntervalMilliseconds?: number;
}

/** Result of a soak test. */
export interface SoakResult {
    /** Descriptions of violated guarantees; empty if the test has passed. */
    violations: string[];
    /** Number of requests sent. */
    requests: number;
    /** Number of requests that got a complete response with status 200. */
    served: number;
    /** Number of injected faults, by name. */
    faults: Record<string, number>;
}

/** An instance that runs as a child process. */
interface SoakInstance extends InstanceProcess {
    storeProxy: FaultProxy;
    /** Resolves once the process has logged its start, or has exited. */
    started: Promise<void>;
    /** True from the signal with which the test stops the process until its restart. */
    isStopping: boolean;
    /** True while the process is stopped with SIGSTOP. */
    isPaused: boolean;
    /** True while the process is cut off from all targets. */
    isCut: boolean;
}

const REQUEST_KINDS = ["lookup", "stamp", "narrative", "verdict"];
const REQUEST_PATHS: Record<string, string> = {
    lookup: "/lookup/1",
    stamp: "/stamp/1",
    narrative: "/narrative/1",
    verdict: "/verdict/1",
};
/** Part of the line that an instance logs once its sockets are open. */
const STARTED_EVENT = "\"event\":\"started\"";
const PROGRAM_PATH = "dist/support/platform/soak/run_cut_instance.js";
/** Shortest cut of an instance from all targets, in milliseconds: requests must be served through a peer meanwhile. */
const MIN_CUT_MILLISECONDS = 4000;
/** Limit that one target states until the last fault, in requests per second. */
const STATED_LIMIT = 1;
/** Longest time after which SIGTERM is sent again, in milliseconds. */
const MAX_REPEATED_STOP_MILLISECONDS = 1500;
/** Interval between requests with a prompt part that crashes engines, in milliseconds. */
const CRASHING_INTERVAL_MILLISECONDS = 150;
/** Number of concurrent callers. */
const CALLER_COUNT = 6;
/** Number of times that a caller resumes a stream. */
const MAX_RESUMPTIONS = 3;
/** Longest time after which a caller resumes a stream that broke off, in milliseconds. */
const RESUMPTION_DELAY_MILLISECONDS = 600;
/** Time from the last fault until the site must serve all requests again. */
const RECOVERY_MILLISECONDS = 4000;
/** Range of the random duration of a fault, which is added to its minimum duration of 150 ms. */
const FAULT_DURATION_RANGE_MILLISECONDS = 1500;

/** Runs a soak test with one seed. */
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

/** A running soak test. */
class Soak {
    readonly #options: SoakOptions;
    readonly #random: Random;
    readonly #site = new ServingSite();
    readonly #recorder = new SoakRecorder();
    readonly #instances: SoakInstance[] = [];
    readonly #proxies: FaultProxy[] = [];
    /** Violations that are not tied to a recorded request: unexpected exits, failed recovery and exceeded limits. */
    readonly #otherViolations: string[] = [];
    #directory = "";
    #configurationVersion = 5;
    #sentRequests = 0;
    #crashingParts = 0;
    #isFinished = false;

    constructor(options: SoakOptions) {
        this.#options = options;
        this.#random = createRandom(options.seed);
    }

    async start(): Promise<void> {
        this.#directory = await mkdtemp(join(tmpdir(), "knapweed-soak-"));
        await this.#site.openStore();
        for (let index = 0; index < 3; index += 1) {
            await this.#addTarget("ledger");
        }
        for (const softwareVersion of ["v1", "v1", "v2", "v2"]) {
            await this.#addTarget("engines", softwareVersion);
        }
        const unframedEngine = this.#site.targets.find(({ service }) => service === "engines");
        if (unframedEngine !== undefined) {
            unframedEngine.standIn.faults.isUnframed = true;
        }
        const { instances = 3 } = this.#options;
        for (let index = 0; index < instances; index += 1) {
            await this.#addInstance(index);
        }
        for (const instance of this.#instances) {
            await instance.waitUntilReady();
        }
    }

    async run(): Promise<SoakResult> {
        const faultsEndAt = performance.now() + this.#options.milliseconds;
        const limitedTarget = this.#site.targets[0];
        const statedFrom = performance.now();
        if (limitedTarget !== undefined) {
            limitedTarget.standIn.faults.statedLimit = String(STATED_LIMIT);
        }
        const callers = Array.from({ length: CALLER_COUNT }, () => this.#runCaller());
        const faults: Promise<void>[] = [];
        while (performance.now() < faultsEndAt) {
            await waitMilliseconds(pickExponential(this.#random, this.#options.faultIntervalMilliseconds ?? 500));
            faults.push(this.#injectFault());
        }
        await Promise.all(faults);
        const statedUntil = performance.now();
        for (const { standIn } of this.#site.targets) {
            standIn.faults.faultyAnswers = 0;
            standIn.faults.statedLimit = "";
        }
        await waitMilliseconds(RECOVERY_MILLISECONDS);
        // Other faults hide what a cut does; this one is alone.
        const recordEnd = this.#recorder.recordFault("cut from all targets");
        await this.#cutInstance(MIN_CUT_MILLISECONDS);
        recordEnd();
        this.#isFinished = true;
        await Promise.all(callers);
        await this.#checkRecovery();
        this.#otherViolations.push(...this.#recorder.findLimitViolations({
            requestsPerSecond: STATED_LIMIT,
            statedFrom,
            statedUntil,
            arrivals: limitedTarget?.standIn.arrivals.map(({ at }) => at) ?? [],
        }));
        return this.#buildResult();
    }

    async close(): Promise<void> {
        this.#isFinished = true;
        for (const instance of this.#instances) {
            instance.isStopping = true;
            instance.child.sendSignal("SIGKILL");
        }
        for (const proxy of this.#proxies) {
            proxy.close();
        }
        this.#site.close();
        await rm(this.#directory, { recursive: true, force: true });
    }

    /** Adds a target that instances reach through a fault proxy. */
    async #addTarget(service: string, softwareVersion?: string): Promise<void> {
        const target = await this.#site.addTarget(service, {
            eventMilliseconds: 40,
            ...softwareVersion === undefined ? {} : { softwareVersion },
        });
        const [address = ""] = await findAddresses(1);
        const proxy = new FaultProxy(parseAddress(target.address));
        await proxy.open(parseAddress(address));
        this.#proxies.push(proxy);
        target.address = address;
        this.#site.writeTarget(target);
    }

    /** Starts an instance that reaches the store through a fault proxy. */
    async #addInstance(index: number): Promise<void> {
        const [store = ""] = await findAddresses(1);
        const storeProxy = new FaultProxy(parseAddress(this.#site.storeAddress));
        await storeProxy.open(parseAddress(store));
        this.#proxies.push(storeProxy);
        const started = await startInstanceProcess(PROGRAM_PATH, { directory: this.#directory, index, store });
        const instance = {
            ...started,
            storeProxy,
            started: waitForStart(started.child),
            isStopping: false,
            isPaused: false,
            isCut: false,
        };
        this.#instances.push(instance);
        this.#watchExit(instance);
    }

    #watchExit(instance: SoakInstance): void {
        const { child } = instance;
        void child.waitForExit().then(code => {
            if (!instance.isStopping && !this.#isFinished) {
                this.#otherViolations.push(
                    `an instance process exited unexpectedly with code ${code}: ${child.getOutput().slice(-400)}`,
                );
            }
        });
    }

    /** Sends groups of five requests, each group to a random instance, on persistent connections until the test ends. */
    async #runCaller(): Promise<void> {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        while (!this.#isFinished) {
            const instance = this.#pick(this.#instances);
            for (let count = 0; count < 5 && !this.#isFinished; count += 1) {
                await this.#sendRequest(instance, agent);
                await waitMilliseconds(20 + this.#random() * 60);
            }
        }
        agent.destroy();
    }

    async #sendRequest(instance: SoakInstance, agent: Agent): Promise<void> {
        this.#sentRequests += 1;
        const id = `${this.#options.seed.toString(16)}-${this.#sentRequests.toString(16).padStart(8, "0")}`;
        const kind = this.#pick(REQUEST_KINDS);
        const sentAt = performance.now();
        const result = await callWithAgent({ instance, agent, id, kind });
        // A request that no instance has read has no outcome to check.
        if (result !== "not connected") {
            const index = this.#instances.indexOf(instance);
            this.#recorder.requests.push({ id, kind, instance: index, sentAt, endedAt: performance.now(), result });
        }
        if (kind === "verdict" && typeof result === "object" && result.status === 200 && !result.isComplete) {
            await this.#resumeStream(id, result.body.toString());
        }
    }

    /** Resumes a stream that broke off at random instances, as its caller does, and records the joined text. */
    async #resumeStream(firstId: string, firstText: string): Promise<void> {
        let text = firstText;
        for (let tries = 0; tries < MAX_RESUMPTIONS && !this.#isFinished; tries += 1) {
            // An event whose last bytes are lost comes again.
            text = text.slice(0, text.lastIndexOf("\n\n") + 2);
            const events = listEventNumbers(text);
            if (events.length === 0) {
                return;
            }
            await waitMilliseconds(RESUMPTION_DELAY_MILLISECONDS * this.#random());
            const result = await callWithAgent({
                instance: this.#pick(this.#instances),
                agent: new Agent(),
                id: `${firstId}-${tries}`,
                kind: "verdict",
                headers: { resumes: firstId, "last-event-id": String(events.at(-1)) },
            });
            text += typeof result === "object" && result.status === 200 ? result.body.toString() : "";
            if (typeof result === "object" && result.status === 200 && result.isComplete) {
                break;
            }
        }
        this.#recorder.joinedStreams.push({ id: firstId, text });
    }

    #pick<Item>(items: readonly Item[]): Item {
        const item = items[Math.floor(this.#random() * items.length)];
        if (item === undefined) {
            throw new Error("Cannot pick an item: the list is empty.");
        }
        return item;
    }

    async #injectFault(): Promise<void> {
        const name = this.#pick(Object.keys(this.#faultActions));
        const duration = 150 + this.#random() * FAULT_DURATION_RANGE_MILLISECONDS;
        const recordEnd = this.#recorder.recordFault(name);
        await this.#faultActions[name]?.(duration);
        recordEnd();
    }

    /** Faults by name; each action returns when the fault has ended. */
    readonly #faultActions: Record<string, (duration: number) => Promise<void>> = {
        "delayed target": duration => this.#runProxyFault(ProxyMode.delay, duration),
        "reset target": duration => this.#runProxyFault(ProxyMode.reset, duration),
        "target responses dropped": duration => this.#runProxyFault(ProxyMode.oneWay, duration),
        "open target connections dropped": duration => this.#runProxyFault(ProxyMode.dropOpen, duration),
        "store unreachable": async duration => {
            const { storeProxy } = this.#pick(this.#instances);
            storeProxy.setMode(this.#pick([ProxyMode.reset, ProxyMode.oneWay, ProxyMode.dropOpen]));
            await waitMilliseconds(duration);
            storeProxy.setMode(ProxyMode.forward);
        },
        "store refuses calls": async duration => {
            this.#site.store.faults.refuseWith = this.#pick([429, 503]);
            await waitMilliseconds(duration);
            this.#site.store.faults.refuseWith = 0;
        },
        "faulty responses": async () => {
            const { standIn } = this.#pick(this.#site.targets);
            standIn.faults.answer = this.#pick([
                "a failure",
                "a refusal",
                "half an answer",
                "a reset",
                "another request's answer",
                "its answer and other bytes at once",
                "the start of its answer and all of it",
                "an upgrade that nobody requested",
            ]);
            standIn.faults.faultyAnswers = 3;
        },
        SIGKILL: duration => this.#restartInstance("SIGKILL", duration),
        "SIGKILL of all instances": async duration => {
            await Promise.all(this.#instances.map(async instance => {
                const recordEnd = this.#recorder.recordFault("SIGKILL");
                await this.#restart(instance, "SIGKILL", duration);
                recordEnd();
            }));
        },
        SIGTERM: () => this.#restartInstance("SIGTERM", 0),
        SIGSTOP: async duration => {
            const instance = this.#pick(this.#instances);
            if (!instance.isStopping && !instance.isPaused) {
                instance.isPaused = true;
                instance.child.sendSignal("SIGSTOP");
                await waitMilliseconds(duration);
                instance.child.sendSignal("SIGCONT");
                instance.isPaused = false;
            }
        },
        "cut from all targets": duration => this.#cutInstance(MIN_CUT_MILLISECONDS + duration),
        SIGHUP: async () => {
            const instance = this.#pick(this.#instances);
            const { child } = instance;
            // A signal that arrives before Node.js runs the program ends the process.
            await instance.started;
            child.sendSignal("SIGHUP");
        },
        configuration: async () => this.#writeConfiguration(),
        "silent targets beside a configuration": async duration => {
            const proxies = this.#proxies.slice(0, this.#site.targets.length);
            proxies.forEach(proxy => proxy.setMode(ProxyMode.hold));
            this.#writeConfiguration();
            await waitMilliseconds(duration);
            proxies.forEach(proxy => proxy.setMode(ProxyMode.forward));
        },
        leaving: async duration => {
            const target = this.#pick(this.#site.targets);
            this.#site.writeTarget(target, { state: "draining" });
            await waitMilliseconds(duration);
            this.#site.writeTarget(target);
        },
        "prompt part that crashes engines": async duration => {
            this.#crashingParts += 1;
            const part = `c${this.#crashingParts.toString(16)}`;
            const engines = this.#site.targets.filter(({ service }) => service === "engines");
            engines.forEach(({ standIn }) => void (standIn.faults.crashingPart = part));
            const headers = { "prompt-prefix": `aa:50,${part}:30,bb:20` };
            const until = performance.now() + duration;
            const calls: Promise<unknown>[] = [];
            for (let index = 0; performance.now() < until; index += 1) {
                const id = `${this.#options.seed.toString(16)}-${part}-${index.toString(16)}`;
                const instance = this.#pick(this.#instances);
                calls.push(callWithAgent({ instance, agent: new Agent(), id, kind: "verdict", headers }));
                await waitMilliseconds(CRASHING_INTERVAL_MILLISECONDS);
            }
            await Promise.all(calls);
            engines.filter(({ standIn }) => standIn.faults.crashingPart === part)
                .forEach(({ standIn }) => void (standIn.faults.crashingPart = ""));
        },
        "evacuated zone": async duration => {
            this.#site.store.putObject("evacuations", "zone-b", {});
            await waitMilliseconds(duration);
            this.#site.store.removeObject("evacuations", "zone-b");
        },
    };

    /** Sets the mode of a random target's proxy for a time; the proxies of the targets are the first in the list. */
    async #runProxyFault(mode: ProxyMode, duration: number): Promise<void> {
        const proxy = this.#pick(this.#proxies.slice(0, this.#site.targets.length));
        proxy.setMode(mode);
        await waitMilliseconds(duration);
        proxy.setMode(ProxyMode.forward);
    }

    /** Cuts a random instance off from all targets for a time, while the others reach them. */
    async #cutInstance(duration: number): Promise<void> {
        const instance = this.#pick(this.#instances);
        const cut = this.#pick(Object.values(LinkCut));
        if (this.#instances.some(({ isCut }) => isCut)) {
            return;
        }
        instance.isCut = true;
        const recordEnd = this.#recorder.recordCut(this.#instances.indexOf(instance), cut);
        await setCut(instance, cut);
        await waitMilliseconds(duration);
        recordEnd();
        await setCut(instance, "");
        instance.isCut = false;
    }

    /** Stops a random instance with a signal, and starts it again after `downTime` milliseconds. */
    async #restartInstance(signal: NodeJS.Signals, downTime: number): Promise<void> {
        await this.#restart(this.#pick(this.#instances), signal, downTime);
    }

    async #restart(instance: SoakInstance, signal: NodeJS.Signals, downTime: number): Promise<void> {
        if (instance.isStopping || instance.isPaused) {
            return;
        }
        instance.isStopping = true;
        instance.child.sendSignal(signal);
        const hasExited = instance.child.waitForExit();
        if (signal === "SIGTERM") {
            // A stop may be requested again while requests run.
            await Promise.race([hasExited, waitMilliseconds(MAX_REPEATED_STOP_MILLISECONDS * this.#random())]);
            instance.child.sendSignal(signal);
        }
        await hasExited;
        await waitMilliseconds(downTime);
        instance.child = startChild(PROGRAM_PATH, { arguments: ["--settings", instance.settingsPath] });
        instance.started = waitForStart(instance.child);
        instance.isStopping = false;
        this.#watchExit(instance);
        await instance.waitUntilReady();
    }

    /** Writes a configuration with a higher version to the store. */
    #writeConfiguration(): void {
        this.#configurationVersion += 1 + Math.floor(this.#random() * 3);
        const keys = [SITE_API_KEY, `key-${this.#configurationVersion}`];
        this.#site.store.putObject("config", "main", buildSiteConfiguration(this.#configurationVersion, { keys }));
    }

    /** Checks that every instance serves every kind of request after the last fault. */
    async #checkRecovery(): Promise<void> {
        for (const [index, instance] of this.#instances.entries()) {
            if (!await instance.waitUntilReady()) {
                this.#otherViolations.push(`instance ${index} has not become ready after the last fault`);
                continue;
            }
            for (const kind of REQUEST_KINDS) {
                const result = await callWithAgent({ instance, agent: new Agent(), id: `end-${index}-${kind}`, kind });
                const status = typeof result === "object" ? result.status : result;
                if (status !== 200) {
                    this.#otherViolations.push(
                        `instance ${index} responds to a ${kind} with ${status} after the last fault`,
                    );
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
        for (const { name } of this.#recorder.faults) {
            faults[name] = (faults[name] ?? 0) + 1;
        }
        const { requests } = this.#recorder;
        const served = requests.filter(({ result }) => result?.status === 200 && result.isComplete).length;
        this.#otherViolations.push(...this.#recorder.findCutViolations());
        const violations = [...this.#otherViolations, ...this.#recorder.findViolations(runs)];
        return { violations, requests: requests.length, served, faults };
    }
}

/** Tells the process of an instance how it is cut off from all targets; empty if it is not. */
async function setCut(instance: SoakInstance, cut: LinkCut | ""): Promise<void> {
    await writeFile(`${instance.settingsPath}.cut`, cut);
    // A signal that arrives before Node.js runs the program ends the process.
    await instance.started;
    instance.child.sendSignal("SIGUSR2");
}

/** Waits until a process logs that it has started, or has exited. */
async function waitForStart(child: RunningChild): Promise<void> {
    while (child.isRunning() && !child.getOutput().includes(STARTED_EVENT)) {
        await waitMilliseconds(10);
    }
}

/** Sends one request through a caller's HTTP agent, which keeps at most one connection to each instance. */
function callWithAgent(
    call: { instance: SoakInstance; agent: Agent; id: string; kind: string; headers?: Record<string, string>; },
): Promise<HttpResult | "not connected" | undefined> {
    const { instance, agent, id, kind } = call;
    const isStream = kind === "narrative" || kind === "verdict";
    return new Promise(resolve => {
        let mayHaveBeenRead = false;
        const request = startRequest({
            ...parseAddress(instance.callerAddress),
            agent,
            method: kind === "lookup" ? "GET" : "POST",
            path: REQUEST_PATHS[kind],
            headers: {
                host: "site.example",
                "attempt-id": id,
                "deadline-ms": "4000",
                authorization: `Bearer ${SITE_API_KEY}`,
                ...isStream ? { model: "m", "token-counts": "100,48" } : {},
                ...kind === "lookup" ? {} : { "content-length": "8" },
                ...call.headers,
            },
            signal: AbortSignal.timeout(6000),
        }, response => void collectResponse(response).then(resolve));
        request.on("socket", socket => {
            // If an idle connection is closed while a request is sent on it, the request was not read and its caller may
            // send it again. Only a failure on a new connection therefore counts as an interrupted request.
            if (socket.connecting) {
                socket.once("connect", () => {
                    mayHaveBeenRead = true;
                });
            }
        });
        request.on("error", () => resolve(mayHaveBeenRead ? undefined : "not connected"));
        request.end(kind === "lookup" ? undefined : "the body");
    });
}
