/**
 * A simulated run of one placement policy with engines and service targets in virtual time.
 *
 * @module
 */
import type { LoadReport } from "../../core/admission/mod.ts";
import { createRandom, pickExponential } from "../../support/fixtures/random.ts";
import { EventQueue } from "../../support/simulation/mod.ts";
import { EngineCore } from "../../support/stand_ins/mod.ts";
import {
    computeSaturationRate,
    createWork,
    type Deployment,
    ENGINE_SPEC,
    type Work,
    type WorkKind,
} from "./deployments.ts";
import type { PlacementPolicy, PolicyBuilder } from "./placement_policy.ts";

/** Options of {@linkcode runPlacement}. */
export interface PlacementRunOptions {
    /** Deployment to serve. */
    deployment: Deployment;
    /** Policy to measure. */
    policy: PolicyBuilder;
    /** Offered load as a share of the load that fills the engines' KV caches. */
    load: number;
    /** Seed of all random numbers. */
    seed: number;
    /** Length of the run, in milliseconds. */
    milliseconds: number;
}

/** Results of one run. */
export interface PlacementResult {
    /** Number of finished generations. */
    finished: number;
    /** Number of refused generations. */
    refused: number;
    /** Number of refused long generations. */
    refusedLong: number;
    /** Number of preemptions. */
    preemptions: number;
    /** Number of crashes of cold engines that received too many requests. */
    engineCrashes: number;
    /** Sum of the parts of token gaps that exceed the stall threshold, in milliseconds. */
    stallMilliseconds: number;
    /** Running time of generations that had produced tokens and were lost with their engine, in milliseconds. */
    lostMilliseconds: number;
    /** Times to the first token, in ascending order, in milliseconds. */
    firstTokenMilliseconds: number[];
    /** Times to the first token of short generations, in ascending order, in milliseconds. */
    shortFirstTokenMilliseconds: number[];
    /** Sampled gaps between tokens, in ascending order, in milliseconds. */
    gapMilliseconds: number[];
    /** Number of reads of the plain service while a zone was withdrawn and returned. */
    reads: number;
    /** Number of these reads that got their responses in time. */
    readsInTime: number;
    /** Number of tokens produced. */
    tokens: number;
}

/** Gap between two tokens above which a generation counts as stalled, in milliseconds. */
const STALL_THRESHOLD_MILLISECONDS = 250;
/** Age of the load reports that a policy sees, in milliseconds. */
const REPORT_LAG_MILLISECONDS = 1000;
/** Number of gaps between tokens of which one is kept for the percentiles. */
const GAP_SAMPLING_INTERVAL = 7;
/** Time after which work that was lost with its engine arrives again, in milliseconds. */
const RESTART_DELAY_MILLISECONDS = 150;
/** Time that a warm service target needs for a read, in milliseconds. */
const READ_MILLISECONDS = 15;
/** Time within which a read must get its response, in milliseconds. */
const READ_DEADLINE_MILLISECONDS = 500;
/** Maximum number of concurrent reads on a warm service target. */
const MAX_CONCURRENT_READS = 16;
const READ_KIND: WorkKind = {
    name: "read",
    priority: 0,
    maxWaitMilliseconds: 5000,
    isLong: false,
    shares: [1, 1],
    output: { median: 1, spread: 0 },
    prompt: { median: 1, spread: 0 },
};

/** Work that runs on an engine. */
interface RunningWork {
    work: Work;
    target: string;
    startedAt: number;
    lastTokenAt: number | undefined;
}

/** The state of one run. */
class PlacementRun {
    readonly result: PlacementResult;
    readonly #options: PlacementRunOptions;
    readonly #queue = new EventQueue();
    readonly #engines = new Map<string, EngineCore>();
    readonly #serviceTargets: string[];
    /** Times until which service targets are cold. */
    readonly #serviceTargetsColdUntil = new Map<string, number>();
    /** Numbers of running reads by service target. */
    readonly #activeReads = new Map<string, number>();
    readonly #reports = new Map<string, { at: number; report: LoadReport; }[]>();
    readonly #running = new Map<string, RunningWork>();
    /** Engines whose next step is scheduled. */
    readonly #steppingEngines = new Set<string>();
    /** Targets of a withdrawn zone. */
    readonly #withdrawnTargets = new Set<string>();
    readonly #policy: PlacementPolicy;
    readonly #readPolicy: PlacementPolicy;
    #now = 0;
    #gapCount = 0;

    constructor(options: PlacementRunOptions) {
        this.#options = options;
        const { deployment, policy, seed } = options;
        this.result = {
            finished: 0,
            refused: 0,
            refusedLong: 0,
            preemptions: 0,
            engineCrashes: 0,
            stallMilliseconds: 0,
            lostMilliseconds: 0,
            firstTokenMilliseconds: [],
            shortFirstTokenMilliseconds: [],
            gapMilliseconds: [],
            reads: 0,
            readsInTime: 0,
            tokens: 0,
        };
        for (let index = 0; index < deployment.engines; index += 1) {
            this.#engines.set(`engine-${index}`, new EngineCore(ENGINE_SPEC, -ENGINE_SPEC.coldMilliseconds));
        }
        this.#serviceTargets = Array.from({ length: deployment.serviceTargets }, (_unused, index) => `worker-${index}`);
        this.#recordReports();
        const common = {
            gateways: deployment.gateways,
            random: createRandom(seed + 1),
            queue: this.#queue,
            getNow: () => this.#now,
            isOpen: (target: string) => !this.#withdrawnTargets.has(target),
            getReport: (target: string) => this.#reports.get(target)?.[0]?.report,
        };
        this.#policy = policy({
            ...common,
            targets: [...this.#engines.keys()],
            memoryTokens: ENGINE_SPEC.memoryTokens,
            coldConcurrent: ENGINE_SPEC.coldConcurrent,
            maxConcurrent: ENGINE_SPEC.maxBatch,
            startWork: (work, target) => this.#startWork(work, target),
            refuseWork: work => this.#refuseWork(work),
        });
        this.#readPolicy = policy({
            ...common,
            targets: this.#serviceTargets,
            memoryTokens: 0,
            coldConcurrent: 2,
            maxConcurrent: MAX_CONCURRENT_READS,
            startWork: (work, target) => this.#startRead(work, target),
            refuseWork: () => undefined,
        });
    }

    /** Runs the simulation to its end. */
    run(): PlacementResult {
        const { deployment, load, seed, milliseconds } = this.#options;
        const random = createRandom(seed);
        const ratePerSecond = computeSaturationRate(deployment) * load;
        for (const work of createWork(deployment, { random, ratePerSecond, milliseconds })) {
            this.#queue.addEvent(work.arrivedAt, () => this.#policy.handleArrival(work));
        }
        this.#scheduleReads(seed);
        this.#scheduleFaults();
        for (
            let event = this.#queue.takeEvent(milliseconds);
            event !== undefined;
            event = this.#queue.takeEvent(milliseconds)
        ) {
            this.#now = event.at;
            event.run();
        }
        for (const engine of this.#engines.values()) {
            this.result.preemptions += engine.preemptions;
            this.result.engineCrashes += engine.crashes;
        }
        this.result.firstTokenMilliseconds.sort((a, b) => a - b);
        this.result.shortFirstTokenMilliseconds.sort((a, b) => a - b);
        this.result.gapMilliseconds.sort((a, b) => a - b);
        return this.result;
    }

    /** Schedules the arrivals of the plain service's reads. */
    #scheduleReads(seed: number): void {
        const { deployment, milliseconds } = this.#options;
        const random = createRandom(seed + 2);
        const meanGap = 1000 / deployment.readsPerSecond;
        for (let at = pickExponential(random, meanGap); at < milliseconds; at += pickExponential(random, meanGap)) {
            const gateway = Math.floor(random() * deployment.gateways);
            const work: Work = {
                id: `read-${at}`,
                kind: READ_KIND,
                account: "field",
                promptTokens: 0,
                outputTokens: 1,
                prefix: "",
                gateway,
                arrivedAt: at,
            };
            this.#queue.addEvent(at, () => {
                this.result.reads += this.#isZoneChanging() ? 1 : 0;
                this.#readPolicy.handleArrival(work);
            });
        }
    }

    /**
     * Schedules the faults by shares of the run: one engine restarts at 0.25 and another at 0.4; a zone is withdrawn
     * at 0.6 and returns at 0.8, cold except for engines that still run requests.
     */
    #scheduleFaults(): void {
        const { milliseconds } = this.#options;
        this.#queue.addEvent(milliseconds * 0.25, () => this.#restartEngine("engine-0"));
        this.#queue.addEvent(milliseconds * 0.4, () => this.#restartEngine("engine-5"));
        this.#queue.addEvent(
            milliseconds * 0.6,
            () => this.#listZoneTargets().forEach(name => this.#withdrawnTargets.add(name)),
        );
        this.#queue.addEvent(milliseconds * 0.8, () => {
            for (const name of this.#listZoneTargets()) {
                this.#withdrawnTargets.delete(name);
                if (this.#engines.get(name)?.activeRequests === 0) {
                    this.#restartEngine(name);
                }
                else if (!this.#engines.has(name)) {
                    this.#serviceTargetsColdUntil.set(name, this.#now + ENGINE_SPEC.coldMilliseconds);
                }
            }
        });
    }

    /** Tells whether reads are counted: while the zone is withdrawn, and for some time after its return. */
    #isZoneChanging(): boolean {
        const { milliseconds } = this.#options;
        return this.#now >= milliseconds * 0.6 && this.#now < milliseconds * 0.95;
    }

    /** Lists the engines and service targets of the zone that is withdrawn. */
    #listZoneTargets(): string[] {
        const { zones } = this.#options.deployment;
        return [...this.#engines.keys(), ...this.#serviceTargets].filter(name =>
            Number(name.split("-")[1]) % zones === 1
        );
    }

    #restartEngine(name: string): void {
        const lost = this.#engines.get(name)?.restart(this.#now) ?? [];
        this.#policy.handleConnectionClosed(name);
        lost.forEach(id => this.#restartLostWork(id));
    }

    /** Restarts work that was lost with its engine from the beginning, as the product does for buffered responses. */
    #restartLostWork(id: string): void {
        const running = this.#running.get(id);
        this.#running.delete(id);
        if (running === undefined) {
            return;
        }
        const { work, target, startedAt, lastTokenAt } = running;
        this.#policy.handleEnd(work, { target, outcome: "broken" });
        this.result.lostMilliseconds += lastTokenAt === undefined ? 0 : this.#now - startedAt;
        this.#queue.addEvent(this.#now + RESTART_DELAY_MILLISECONDS, () => this.#policy.handleArrival(work));
    }

    #startWork(work: Work, target: string): void {
        const engine = this.#engines.get(target);
        if (engine === undefined) {
            return;
        }
        this.#running.set(work.id, { work, target, startedAt: this.#now, lastTokenAt: undefined });
        const { id, promptTokens, outputTokens, prefix, kind } = work;
        const lost = engine.handleRequest(
            { id, promptTokens, outputTokens, prefix, priority: kind.priority },
            this.#now,
        );
        if (lost.length > 0) {
            this.#policy.handleConnectionClosed(target);
        }
        lost.forEach(each => this.#restartLostWork(each));
        this.#startStepping(target, engine);
    }

    #startStepping(name: string, engine: EngineCore): void {
        if (!this.#steppingEngines.has(name)) {
            this.#steppingEngines.add(name);
            this.#runStep(name, engine);
        }
    }

    #runStep(name: string, engine: EngineCore): void {
        const { events, duration } = engine.runStep();
        if (duration === 0) {
            this.#steppingEngines.delete(name);
            return;
        }
        this.#queue.addEvent(this.#now + duration, () => {
            for (const event of events) {
                if (event.kind === "token") {
                    this.#handleToken(event);
                }
            }
            this.#runStep(name, engine);
        });
    }

    #handleToken(event: { id: string; index: number; isLast: boolean; }): void {
        const running = this.#running.get(event.id);
        if (running === undefined) {
            return;
        }
        const { work, target, lastTokenAt } = running;
        this.result.tokens += 1;
        if (lastTokenAt === undefined) {
            this.result.firstTokenMilliseconds.push(this.#now - work.arrivedAt);
            if (!work.kind.isLong) {
                this.result.shortFirstTokenMilliseconds.push(this.#now - work.arrivedAt);
            }
        }
        else {
            this.#recordGap(this.#now - lastTokenAt);
        }
        running.lastTokenAt = this.#now;
        this.#policy.handleProgress(work, event.index + 1);
        if (event.isLast) {
            this.#running.delete(event.id);
            this.result.finished += 1;
            this.#policy.handleEnd(work, { target, outcome: "finished" });
        }
    }

    #recordGap(gap: number): void {
        this.#gapCount += 1;
        if (this.#gapCount % GAP_SAMPLING_INTERVAL === 0) {
            this.result.gapMilliseconds.push(gap);
        }
        if (gap > STALL_THRESHOLD_MILLISECONDS) {
            this.result.stallMilliseconds += gap - STALL_THRESHOLD_MILLISECONDS;
        }
    }

    #refuseWork(work: Work): void {
        this.result.refused += 1;
        this.result.refusedLong += work.kind.isLong ? 1 : 0;
    }

    #startRead(work: Work, target: string): void {
        const activeReads = (this.#activeReads.get(target) ?? 0) + 1;
        this.#activeReads.set(target, activeReads);
        const isCold = (this.#serviceTargetsColdUntil.get(target) ?? 0) > this.#now;
        const duration = READ_MILLISECONDS * (isCold ? 4 * activeReads : 1);
        const isCounted = this.#isZoneChanging();
        this.#queue.addEvent(this.#now + duration, () => {
            this.#activeReads.set(target, (this.#activeReads.get(target) ?? 1) - 1);
            this.#readPolicy.handleEnd(work, { target, outcome: "finished" });
            const isInTime = this.#now - work.arrivedAt <= READ_DEADLINE_MILLISECONDS;
            this.result.readsInTime += isCounted && isInTime ? 1 : 0;
        });
    }

    /** Records the load of all engines and service targets at a fixed interval. */
    #recordReports(): void {
        const interval = 100;
        for (const [name, engine] of this.#engines) {
            this.#addReport(name, engine.getReport(this.#now));
        }
        for (const name of this.#serviceTargets) {
            this.#addReport(name, this.#buildServiceReport(name));
        }
        this.#queue.addEvent(this.#now + interval, () => this.#recordReports());
    }

    #addReport(name: string, report: LoadReport): void {
        const reports = this.#reports.get(name) ?? [];
        reports.push({ at: this.#now, report });
        while ((reports[1]?.at ?? Infinity) <= this.#now - REPORT_LAG_MILLISECONDS) {
            reports.shift();
        }
        this.#reports.set(name, reports);
    }

    #buildServiceReport(name: string): LoadReport {
        const coldUntil = this.#serviceTargetsColdUntil.get(name) ?? 0;
        return {
            incarnation: String(coldUntil),
            isCold: coldUntil > this.#now,
            isLeaving: false,
            running: this.#activeReads.get(name) ?? 0,
            memoryUsed: 0,
            preemptions: 0,
            stepMilliseconds: 0,
        };
    }
}

/**
 * Runs one policy once.
 *
 * @param options Deployment, policy, load, seed and length of the run.
 * @returns Results of the run.
 */
export function runPlacement(options: PlacementRunOptions): PlacementResult {
    return new PlacementRun(options).run();
}
