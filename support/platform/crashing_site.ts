/**
 * A test site of real processes: instances, and for each of several prompt parts a service of its own whose engines end
 * under prompts with the part. Sound requests that share the other parts are sent beside them.
 *
 * @module
 */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseAddress, waitMilliseconds } from "../../network/mod.ts";
import {
    callHttp,
    findAddresses,
    type HttpResult,
    type RunningChild,
    startChild,
    waitUntil,
} from "../processes/mod.ts";
import type { CrashingTargetOptions, PartEnd } from "./crashing_target.ts";
import { buildServicesConfiguration } from "./ending_site.ts";
import { type InstanceProcess, SERVE_PROGRAM, startInstanceProcess } from "./instance_process.ts";
import { buildSiteHeaders, buildTargetEntry, ServingSite } from "./serving_site.ts";
import { FaultProxy } from "./soak/fault_proxy.ts";

/** A prompt part under which engines end. */
export interface CrashingCase {
    /** Kind of the requests: `narrative` or `verdict`. */
    kind: string;
    /** How engines end under the part. */
    end: PartEnd;
    /** Place of the part among those that requests share. */
    place: "first" | "middle" | "last";
    /** Time from the end of an engine until it is started again, in milliseconds. */
    restartMilliseconds: number;
    /** True if engines answer requests with the part before it begins to crash them. */
    isAnsweredBefore: boolean;
    /** True if instances reach engines through proxies that accept connections also while the engine is not running. */
    isBehindProxy: boolean;
    /** Time after which callers of requests with the part leave, in milliseconds; `undefined` if they never do. */
    patienceMilliseconds?: number;
}

/** A request of a {@linkcode CrashingCase}; the time is on the monotonic clock in milliseconds. */
export interface CrashingSiteRequest {
    sentAt: number;
    /** Response; `undefined` if its connection was lost before its end. */
    result: HttpResult | undefined;
}

/** Result of a {@linkcode CrashingCase}; times are on the monotonic clock in milliseconds. */
export interface CrashingCaseResult {
    /** Times at which engines ended. */
    crashes: number[];
    /** Times at which requests with the part reached engines that end under it. */
    arrivals: number[];
    /** Requests without the part. */
    soundRequests: CrashingSiteRequest[];
    /** Requests with the part that were sent once it crashed engines. */
    crashingRequests: CrashingSiteRequest[];
}

/** Options of {@linkcode runCrashingCases}. */
export interface CrashingSiteOptions {
    /** Number of instances. Defaults to 3. */
    instances?: number;
    /** Number of engines of each case. Defaults to 5. */
    engines?: number;
    /** Time with sound requests alone, in milliseconds. Defaults to 2000. */
    soundMilliseconds?: number;
    /** Time with the parts that crash engines, in milliseconds. Defaults to 11,000. */
    crashingMilliseconds?: number;
}

const TARGET_PROGRAM = new URL("./run_crashing_target.js", import.meta.url).pathname;
const FIRST_BORN = 1000;
/** Intervals between sound requests, and between those with the part, in milliseconds. */
const SOUND_INTERVAL_MILLISECONDS = 80;
const CRASHING_INTERVAL_MILLISECONDS = 150;
/** Number of parts of which each sound prompt has one after the first. */
const DOCUMENT_PARTS = 3;
const DEADLINE_MILLISECONDS = 3000;

/** An engine that is started again whenever it has ended. */
class SupervisedTarget {
    readonly #site: ServingSite;
    readonly #service: string;
    readonly #options: CrashingTargetOptions;
    readonly #restartMilliseconds: number;
    readonly #proxyAddress: string | undefined;
    #proxy: FaultProxy | undefined;
    #child: RunningChild | undefined;
    #isClosed = false;
    readonly crashes: number[] = [];
    /** Arrivals by identifier of the request, on the monotonic clock in milliseconds. */
    readonly arrivals: { requestId: string; at: number; }[] = [];

    constructor(
        site: ServingSite,
        target: {
            service: string;
            options: CrashingTargetOptions;
            restartMilliseconds: number;
            /** Address of a proxy that accepts connections also while the engine is not running. */
            proxyAddress?: string | undefined;
        },
    ) {
        this.#site = site;
        this.#service = target.service;
        this.#options = target.options;
        this.#restartMilliseconds = target.restartMilliseconds;
        this.#proxyAddress = target.proxyAddress;
    }

    async start(): Promise<void> {
        const options = { ...this.#options, born: FIRST_BORN + this.crashes.length };
        const address = await this.#openProxy();
        const child = startChild(TARGET_PROGRAM, { arguments: [JSON.stringify(options)] });
        this.#child = child;
        void child.waitForExit().then(() => void this.#handleExit(child));
        await waitUntil(() => child.getOutput().includes("listening") || !child.isRunning(), { label: options.id });
        if (!this.#isClosed && child.isRunning()) {
            this.#site.store.putObject(
                "servers",
                options.id,
                buildTargetEntry({ service: this.#service, address }, { born: options.born }),
            );
        }
    }

    close(): void {
        this.#isClosed = true;
        this.#child?.sendSignal("SIGKILL");
        this.#proxy?.close();
        this.#collectArrivals(this.#child);
    }

    /** Opens the proxy, unless it is open. @returns The address at which instances reach the engine. */
    async #openProxy(): Promise<string> {
        const { address } = this.#options;
        if (this.#proxyAddress !== undefined && this.#proxy === undefined) {
            this.#proxy = new FaultProxy(parseAddress(address), { acceptsAlways: true });
            await this.#proxy.open(parseAddress(this.#proxyAddress));
        }
        return this.#proxyAddress ?? address;
    }

    async #handleExit(child: RunningChild): Promise<void> {
        if (this.#isClosed) {
            return;
        }
        this.crashes.push(performance.now());
        await waitMilliseconds(this.#restartMilliseconds);
        this.#collectArrivals(child);
        if (!this.#isClosed) {
            await this.start();
        }
    }

    #collectArrivals(child: RunningChild | undefined): void {
        for (const [, requestId = "", at] of child?.getOutput().matchAll(/^arrived (\S+) (\d+)$/gm) ?? []) {
            this.arrivals.push({ requestId, at: Number(at) - performance.timeOrigin });
        }
    }
}

/** A case that is running. */
class RunningCase {
    readonly #case: CrashingCase;
    readonly #index: number;
    readonly #instances: readonly InstanceProcess[];
    readonly targets: SupervisedTarget[] = [];
    readonly #soundRequests: CrashingSiteRequest[] = [];
    readonly #crashingRequests: CrashingSiteRequest[] = [];
    readonly #crashingIds = new Set<string>();
    #requests = 0;

    constructor(crashingCase: CrashingCase, { index, instances }: { index: number; instances: InstanceProcess[]; }) {
        this.#case = crashingCase;
        this.#index = index;
        this.#instances = instances;
    }

    /** Identifier of the part under which engines end. */
    get part(): string {
        return `ba${this.#index.toString(16)}`;
    }

    async run({ crashesAt, endsAt }: { crashesAt: number; endsAt: number; }): Promise<CrashingCaseResult> {
        const calls: Promise<void>[] = [];
        const sound = this.#sendRequests(calls, {
            endsAt,
            interval: SOUND_INTERVAL_MILLISECONDS,
            getParts: index => this.#listSoundParts(index),
            requests: () => this.#soundRequests,
        });
        if (!this.#case.isAnsweredBefore) {
            await waitMilliseconds(crashesAt - performance.now());
        }
        const crashing = this.#sendRequests(calls, {
            endsAt,
            interval: CRASHING_INTERVAL_MILLISECONDS,
            getParts: index => this.#listCrashingParts(index),
            // Before that the part is as sound as the others.
            requests: () => performance.now() < crashesAt ? this.#soundRequests : this.#crashingRequests,
        });
        await Promise.all([sound, crashing]);
        await Promise.all(calls);
        this.targets.forEach(target => target.close());
        return {
            crashes: this.targets.flatMap(({ crashes }) => crashes).sort((a, b) => a - b),
            arrivals: this.targets.flatMap(({ arrivals }) => arrivals)
                .filter(({ requestId }) => this.#crashingIds.has(requestId)).map(({ at }) => at),
            soundRequests: this.#soundRequests,
            crashingRequests: this.#crashingRequests,
        };
    }

    #listSoundParts(index: number): string[] {
        return [this.#formatPart("a", 0), this.#formatPart("d", Math.floor(index / 4) % DOCUMENT_PARTS)];
    }

    #listCrashingParts(index: number): string[] {
        const [first = "", document = ""] = this.#listSoundParts(index);
        const documents = index % 2 === 0 ? [] : [document];
        const placed: Record<CrashingCase["place"], string[]> = {
            first: [this.part, first, ...documents],
            middle: [first, this.part, ...documents],
            last: [first, ...documents, this.part],
        };
        return placed[this.#case.place];
    }

    #formatPart(letter: string, number: number): string {
        return `${letter}${number}${this.#index.toString(16).padStart(2, "0")}`;
    }

    async #sendRequests(
        calls: Promise<void>[],
        load: {
            endsAt: number;
            interval: number;
            getParts: (index: number) => string[];
            requests: () => CrashingSiteRequest[];
        },
    ): Promise<void> {
        const startedAt = performance.now();
        for (let index = 0; performance.now() < load.endsAt; index += 1) {
            const requests = load.requests();
            const request: CrashingSiteRequest = { sentAt: performance.now(), result: undefined };
            requests.push(request);
            const id = this.#createRequestId();
            const isCrashing = requests === this.#crashingRequests;
            if (isCrashing) {
                this.#crashingIds.add(id);
            }
            const call = this.#call({ id, parts: load.getParts(index), instance: this.#requests, isCrashing });
            calls.push(call.then(result => void (request.result = result), () => undefined));
            await waitMilliseconds(startedAt + (index + 1) * load.interval - performance.now());
        }
    }

    #createRequestId(): string {
        this.#requests += 1;
        return `${this.#index.toString(16).padStart(2, "0")}${this.#requests.toString(16).padStart(14, "0")}`;
    }

    #call(
        { id, parts, instance, isCrashing }: {
            id: string;
            parts: readonly string[];
            instance: number;
            isCrashing: boolean;
        },
    ): Promise<HttpResult> {
        const { kind, patienceMilliseconds } = this.#case;
        return callHttp({
            address: this.#instances[instance % this.#instances.length]?.callerAddress ?? "",
            method: "POST",
            path: `/${kind}-${this.#index}/1`,
            headers: buildSiteHeaders({
                kind,
                id,
                deadlineMilliseconds: DEADLINE_MILLISECONDS,
                headers: { "prompt-prefix": [...parts, `e${id}`].map(part => `${part}:10`).join(",") },
            }),
            // Each prompt ends with a part of its own, and so does each body.
            body: `the body of ${id}`,
            ...isCrashing && patienceMilliseconds !== undefined
                ? { signal: AbortSignal.timeout(patienceMilliseconds) }
                : {},
        });
    }
}

/** Runs cases side by side, and returns their results. */
export async function runCrashingCases(
    cases: readonly CrashingCase[],
    options: CrashingSiteOptions = {},
): Promise<CrashingCaseResult[]> {
    const { instances: count = 3, engines = 5, soundMilliseconds = 2000, crashingMilliseconds = 11_000 } = options;
    const directory = await mkdtemp(join(tmpdir(), "knapweed-crashing-"));
    const site = new ServingSite();
    const instances: InstanceProcess[] = [];
    const running = cases.map((crashingCase, index) => new RunningCase(crashingCase, { index, instances }));
    try {
        await site.openStore();
        site.store.putObject("config", "main", buildServicesConfiguration(cases.length));
        for (let index = 0; index < count; index += 1) {
            instances.push(
                await startInstanceProcess(SERVE_PROGRAM, { directory, index, store: site.storeAddress }),
            );
        }
        // Engines start within this time.
        const crashesFrom = Date.now() + 4000 + soundMilliseconds;
        await Promise.all(running.map(async (runningCase, index) => {
            for (const [number, address] of (await findAddresses(engines)).entries()) {
                runningCase.targets.push(
                    new SupervisedTarget(site, {
                        service: `engines-${index}`,
                        options: {
                            id: `crashing-${index}-${number}`,
                            address,
                            born: FIRST_BORN,
                            part: runningCase.part,
                            crashesFrom,
                            end: cases[index]?.end ?? { endMilliseconds: 0 },
                        },
                        restartMilliseconds: cases[index]?.restartMilliseconds ?? 0,
                        proxyAddress: cases[index]?.isBehindProxy === true ? (await findAddresses(1))[0] : undefined,
                    }),
                );
            }
            await Promise.all(runningCase.targets.map(target => target.start()));
        }));
        await Promise.all(instances.map(instance => instance.waitUntilReady()));
        const crashesAt = crashesFrom - performance.timeOrigin;
        await waitMilliseconds(crashesAt - soundMilliseconds - performance.now());
        const endsAt = crashesAt + crashingMilliseconds;
        return await Promise.all(running.map(runningCase => runningCase.run({ crashesAt, endsAt })));
    }
    finally {
        running.forEach(({ targets }) => targets.forEach(target => target.close()));
        instances.forEach(({ child }) => child.sendSignal("SIGKILL"));
        site.close();
        await rm(directory, { recursive: true, force: true });
    }
}
