/**
 * Simulates target selection for generations by many instances, which learn of each other's load from delayed digests.
 *
 * Load pattern: requests arrive faster than digests may be sent, so that several instances select the same engine from
 * outdated load figures.
 *
 * @module
 */
import {
    chooseLeastLoadedTarget,
    DigestRateLimiter,
    DigestReason,
    EngineSpeeds,
    EventWindow,
    type LoadReservation,
    LoadTracker,
    type ServingTarget,
    type TargetCandidate,
    TargetPace,
} from "../../core/serving/mod.ts";
import { createRandom, pickExponential, pickLogNormal, type Random } from "../fixtures/random.ts";

/** Decides when an instance sends load digests to its peers; {@linkcode DigestRateLimiter} implements it. */
export interface DigestLimiter {
    /** Computes the time at which a digest about a change may be sent, in milliseconds. */
    computeSendTime(reason: DigestReason, state: { now: number; peers: number; }): number;
    /** Records that a digest is sent. */
    recordSend(state: { now: number; peers: number; }): void;
}

/** Sends digests at a fixed interval that depends only on the number of peers, whatever has changed. */
export class FixedIntervalLimiter implements DigestLimiter {
    #lastSentAt = Number.NEGATIVE_INFINITY;

    computeSendTime(_reason: DigestReason, { now, peers }: { now: number; peers: number; }): number {
        return Math.max(now + 1, this.#lastSentAt + 50 + 7 * peers);
    }

    recordSend({ now }: { now: number; }): void {
        this.#lastSentAt = now;
    }
}

/** Options of {@linkcode simulateTargetSelection}. */
export interface TargetSelectionSimulationOptions {
    /** Number of instances. Defaults to 73. */
    instances?: number;
    /** Number of engines. Defaults to 40. */
    engines?: number;
    /** Generations per second, about half of them long. Defaults to 47. */
    generationsPerSecond?: number;
    /** Simulated duration, in seconds. Defaults to 20. */
    seconds?: number;
    /** Seed of the random numbers. Defaults to 1. */
    seed?: number;
    /** True if instances update the load of a generation as its output grows. Defaults to true. */
    isOutputTracked?: boolean;
    /** Engines of different speed on noisy machines, with long streams and checks. Defaults to equal engines. */
    uneven?: UnevenLoad;
    /** Creates the rate limiter of one instance's digests. Defaults to a {@linkcode DigestRateLimiter}. */
    createRateLimiter?: () => DigestLimiter;
}

/** Load of engines of different speed, whose machines turn slower for moments. */
export interface UnevenLoad {
    /** True if targets are selected by their pace and speed. */
    isPaced: boolean;
    /** Speed of every fourth engine; that of the others is 1.2. Defaults to 0.55. */
    slowSpeed?: number;
    /** Share of the digests that do not arrive. Defaults to 0. */
    lostShare?: number;
    /** Replaces the pace that engines state. Defaults to the true one. */
    statePace?: (pace: number) => number | undefined;
}

/** Result of {@linkcode simulateTargetSelection}. */
export interface TargetSelectionOutcome {
    /** Times from arrival to first token of all generations that produced one, in milliseconds. */
    firstTokenMilliseconds: number[];
    /** Number of preemptions; each discards the KV cache of a generation, whose prefill is then repeated. */
    preemptions: number;
    /** Number of digests sent. */
    digests: number;
    /** What became of an uneven load; absent for others. */
    uneven?: UnevenOutcome;
}

/** What became of an uneven load. */
export interface UnevenOutcome {
    /** Streams that ended, and those with a gap above 180 ms or a first event after 1.8 s. */
    long: { started: number; ended: number; gaps: number; lateFirsts: number; };
    /** Checks, and those whose first event came after 1.5 s. */
    checks: { started: number; ended: number; lateFirsts: number; };
    /** Requests that got no engine within their objective. */
    refused: number;
    /** Long streams that were placed at slow engines. */
    atSlowEngines: number;
    /** Entries on the speed of engines in digests. */
    toldSpeeds: number;
    /** Step factors of the first and last engine, as the first instance estimates them at the end. */
    stepFactors: number[];
}

/** A simulated generation. */
interface SimulatedGeneration {
    promptTokens: number;
    outputTokens: number;
    arrivedAt: number;
    /** Tokens that still have to be prefilled; after a preemption these include the generated tokens. */
    remainingPrefillTokens: number;
    /** Output tokens generated so far. */
    generatedTokens: number;
    reservation: LoadReservation;
    /** Called with each event of an uneven load; the first one tells of the response's head. */
    handleEvent?: (now: number) => void;
}

/** A simulated instance. */
interface SimulatedInstance {
    loadTracker: LoadTracker;
    targetPace: TargetPace;
    speeds: EngineSpeeds;
    rateLimiter: DigestLimiter;
    /** Time at which the next digest is sent; `Infinity` if none is due. */
    digestDueAt: number;
}

/** Properties of every simulated engine. */
const ENGINE = {
    slots: 24,
    memoryTokens: 26_863,
    tokensPerEvent: 4,
    copyMillisecondsPerToken: 0.055,
    canMove: true,
};
/** Duration of a step without generations. */
const STEP_MILLISECONDS = 7;
/** Additional duration of a step for each running generation. */
const STEP_MILLISECONDS_PER_GENERATION = 0.12;
/** Largest number of prompt tokens that one step prefills. */
const PREFILL_CHUNK_TOKENS = 112;
/** Prompt tokens that an engine prefills in a millisecond. */
const PREFILL_TOKENS_PER_MILLISECOND = 14;
/** Standard deviation of the logarithm of a caller's output estimate relative to the true length. */
const ESTIMATE_SPREAD = 1.2;
/** Factor by which a machine is slower in a slow moment, the duration of one, and half the mean time between two. */
const SLOW_PACE = 2.5;
const SLOW_MOMENT_MILLISECONDS = 600;
const USUAL_MOMENT_MILLISECONDS = 1700;
/** Speeds of every fourth engine and of the others. */
const SLOW_SPEED = 0.55;
const USUAL_SPEED = 1.2;
/** Share of long streams, and the waves in which requests arrive. */
const LONG_SHARE = 0.36;
const WAVE_SHARE = 0.3;
const WAVE_MILLISECONDS = 4000;
/** Time for which the requests that arrive are not counted, as the instances start without any knowledge. */
const WARM_UP_MILLISECONDS = 3000;
/** Objectives of the long streams and checks of an uneven load, in milliseconds. */
const GAP_OBJECTIVE_MILLISECONDS = 180;
const LONG_OBJECTIVE_MILLISECONDS = 1800;
const CHECK_OBJECTIVE_MILLISECONDS = 1500;
/** Largest delay of an event on its way to an instance, and interval at which a request without an engine tries again. */
const EVENT_DELAY_MILLISECONDS = 3;
const RETRY_MILLISECONDS = 20;
/** Time that a digest takes to reach the peers. */
const DIGEST_DELAY_MILLISECONDS = 2;

/** A simulated engine that prefills prompts in chunks (chunked prefill) while it decodes running generations. */
class SimulatedEngine {
    readonly target: ServingTarget;
    readonly #waiting: SimulatedGeneration[] = [];
    readonly #running: SimulatedGeneration[] = [];
    readonly #outcome: TargetSelectionOutcome;
    #stepEndsAt = 0;
    /** Duration of work as a multiple of the usual one, apart from the moments in which the machine is slower. */
    readonly workFactor: number;
    readonly #random: Random | undefined;
    #isSlowMoment = false;
    #momentEndsAt = 0;

    /** A machine without `random` has no slow moments. */
    constructor(
        target: ServingTarget,
        outcome: TargetSelectionOutcome,
        { workFactor = 1, random }: { workFactor?: number; random?: Random | undefined; } = {},
    ) {
        this.target = target;
        this.#outcome = outcome;
        this.workFactor = workFactor;
        this.#random = random;
    }

    /** Gets the load that the engine states in a response. */
    getStatedLoad(now: number): { running: number; waiting: number; slots: number; pace: number; } {
        const running = this.#running.length;
        return { running, waiting: this.#waiting.length, slots: ENGINE.slots, pace: this.#getPace(now) };
    }

    #getPace(now: number): number {
        while (this.#random !== undefined && now >= this.#momentEndsAt) {
            this.#isSlowMoment = this.#random() < (this.#isSlowMoment ? 0 : 0.5);
            this.#momentEndsAt += this.#isSlowMoment
                ? SLOW_MOMENT_MILLISECONDS
                : pickExponential(this.#random, USUAL_MOMENT_MILLISECONDS);
        }
        return this.#isSlowMoment ? SLOW_PACE : 1;
    }

    addGeneration(generation: SimulatedGeneration): void {
        this.#waiting.push(generation);
    }

    /** Runs the next step if the current one has ended. */
    step(now: number): void {
        if (now < this.#stepEndsAt || this.#waiting.length + this.#running.length === 0) {
            return;
        }
        this.#decodeTokens(now);
        const prefilledTokens = this.#runPrefill(now);
        this.#preemptGenerations();
        const usualMilliseconds = STEP_MILLISECONDS + STEP_MILLISECONDS_PER_GENERATION * this.#running.length
            + prefilledTokens / PREFILL_TOKENS_PER_MILLISECOND;
        this.#stepEndsAt = now + usualMilliseconds * this.workFactor * this.#getPace(now);
    }

    /** Generates one token of each running generation and ends those that are finished. */
    #decodeTokens(now: number): void {
        for (const generation of [...this.#running]) {
            generation.generatedTokens += 1;
            generation.reservation.recordOutput(generation.generatedTokens);
            if (generation.generatedTokens % ENGINE.tokensPerEvent === 0) {
                generation.handleEvent?.(now);
            }
            if (generation.generatedTokens >= generation.outputTokens) {
                this.#running.splice(this.#running.indexOf(generation), 1);
                generation.reservation.release();
            }
        }
    }

    /** Prefills up to one chunk of prompt tokens. @returns The number of prefilled tokens. */
    #runPrefill(now: number): number {
        let remainingTokens = PREFILL_CHUNK_TOKENS;
        for (
            let generation = this.#waiting[0];
            generation !== undefined && remainingTokens > 0;
            generation = this.#waiting[0]
        ) {
            const isNew = generation.remainingPrefillTokens === generation.promptTokens + generation.generatedTokens;
            if (isNew && this.#computeUsedTokens() + generation.remainingPrefillTokens > ENGINE.memoryTokens) {
                break;
            }
            const chunkTokens = Math.min(remainingTokens, generation.remainingPrefillTokens);
            generation.remainingPrefillTokens -= chunkTokens;
            remainingTokens -= chunkTokens;
            if (generation.remainingPrefillTokens <= 0) {
                this.#waiting.shift();
                this.#running.push(generation);
                if (generation.generatedTokens === 0) {
                    this.#outcome.firstTokenMilliseconds.push(now - generation.arrivedAt);
                    generation.reservation.markResponseStarted();
                }
            }
        }
        return PREFILL_CHUNK_TOKENS - remainingTokens;
    }

    /** Preempts the newest generations until the KV cache is within its capacity. */
    #preemptGenerations(): void {
        while (this.#computeUsedTokens() > ENGINE.memoryTokens) {
            const newest = this.#running.pop();
            if (newest === undefined) {
                return;
            }
            this.#outcome.preemptions += 1;
            newest.remainingPrefillTokens = newest.promptTokens + newest.generatedTokens;
            this.#waiting.push(newest);
        }
    }

    /** Computes the KV cache that running generations occupy, in tokens. */
    #computeUsedTokens(): number {
        return this.#running.reduce((sum, generation) => sum + generation.promptTokens + generation.generatedTokens, 0);
    }
}

/** Simulates generations that arrive at a constant mean rate, with long prompts and either long or short outputs. */
export function simulateTargetSelection(options: TargetSelectionSimulationOptions = {}): TargetSelectionOutcome {
    const {
        instances: count = 73,
        engines: engineCount = 40,
        generationsPerSecond: rate = 47,
        seconds = 20,
        seed = 1,
    } = options;
    const { isOutputTracked = true, createRateLimiter: createLimiter = () => new DigestRateLimiter() } = options;
    const random = createRandom(seed);
    const { uneven } = options;
    const outcome: TargetSelectionOutcome = {
        firstTokenMilliseconds: [],
        preemptions: 0,
        digests: 0,
    };
    const unevenOutcome: UnevenOutcome = {
        long: { started: 0, ended: 0, gaps: 0, lateFirsts: 0 },
        checks: { started: 0, ended: 0, lateFirsts: 0 },
        refused: 0,
        atSlowEngines: 0,
        toldSpeeds: 0,
        stepFactors: [],
    };
    // Of its own, as that of each machine is, so that decisions are compared under the same arrivals and slow moments.
    const arrivalRandom = createRandom(seed + 500);
    const engines = Array.from(
        { length: engineCount },
        (_, index) =>
            new SimulatedEngine(
                createTarget(index),
                outcome,
                uneven && {
                    workFactor: 1 / (index % 4 === 0 ? uneven.slowSpeed ?? SLOW_SPEED : USUAL_SPEED),
                    random: createRandom(1000 * seed + index),
                },
            ),
    );
    let now = 0;
    const instances = Array.from({ length: count }, (): SimulatedInstance => {
        const instance = {
            loadTracker: new LoadTracker(),
            targetPace: new TargetPace(),
            speeds: new EngineSpeeds(),
            rateLimiter: createLimiter(),
            digestDueAt: Infinity,
        };
        instance.loadTracker.onEngineLoadChange = reason => {
            const sendAt = instance.rateLimiter.computeSendTime(reason, { now, peers: count - 1 });
            instance.digestDueAt = Math.min(instance.digestDueAt, sendAt);
        };
        return instance;
    });
    const retries: UnevenRequest[] = [];
    const digestsInTransit: { arrivesAt: number; deliver: () => void; }[] = [];
    for (; now < seconds * 1000; now += 1) {
        while (digestsInTransit[0] !== undefined && digestsInTransit[0].arrivesAt <= now) {
            digestsInTransit.shift()?.deliver();
        }
        if (uneven !== undefined) {
            startUnevenRequests({
                engines,
                now,
                random,
                arrivalRandom,
                instances,
                uneven,
                outcome: unevenOutcome,
                rate,
                retries,
            });
        }
        else if (random() < rate / 1000) {
            startGeneration(instances[Math.floor(random() * count)], {
                engines,
                now,
                random,
                instances: count,
                isOutputTracked,
            });
        }
        engines.forEach(engine => engine.step(now));
        for (const [index, instance] of instances.entries()) {
            if (instance.digestDueAt > now) {
                continue;
            }
            instance.digestDueAt = Infinity;
            instance.rateLimiter.recordSend({ now, peers: count - 1 });
            outcome.digests += 1;
            const digest = { work: instance.loadTracker.getDigest(), receivedAt: now };
            const others = instances.filter(other => other !== instance);
            const told = uneven?.isPaced === true ? instance.speeds.takeTold(now) ?? {} : {};
            unevenOutcome.toldSpeeds += Object.keys(told).length;
            const deliver = (): void =>
                others.forEach(other => {
                    if (uneven?.lostShare !== undefined && random() < uneven.lostShare) {
                        return;
                    }
                    other.loadTracker.applyDigest(`${index}`, digest);
                    for (const { target } of engines) {
                        const entry = told[target.id];
                        if (entry !== undefined) {
                            other.speeds.applyTold(target, entry);
                        }
                    }
                });
            digestsInTransit.push({ arrivesAt: now + DIGEST_DELAY_MILLISECONDS, deliver });
        }
    }
    unevenOutcome.stepFactors = engines.map(({ target }) => instances[0]?.speeds.estimateStepFactor(target, now) ?? 0);
    return uneven === undefined ? outcome : { ...outcome, uneven: unevenOutcome };
}

/** Selects an engine for a new generation from the instance's view of the load, and starts the generation there. */
function startGeneration(
    instance: SimulatedInstance | undefined,
    context: {
        engines: readonly SimulatedEngine[];
        now: number;
        random: Random;
        instances: number;
        isOutputTracked: boolean;
    },
): void {
    if (instance === undefined) {
        return;
    }
    const { engines, now, random, instances } = context;
    const load = pickRequestLoad(random);
    // Callers' estimates have the correct median and are often far off.
    const estimate = {
        ...load,
        outputTokens: load.outputTokens * pickLogNormal(random, { median: 1, spread: ESTIMATE_SPREAD }),
    };
    const candidates = engines.map(({ target }) => ({
        target,
        load: instance.loadTracker.computeTotalLoad(target.id, now),
        penalty: 0,
        isLimited: false,
    }));
    const selection = chooseLeastLoadedTarget(candidates, {
        requestLoad: estimate,
        engine: ENGINE,
        zone: "zone-a",
        instances,
        avoid: new Set(),
        random,
    });
    const engine = engines.find(({ target }) => selection.kind === "placed" && selection.target === target);
    if (engine === undefined) {
        return;
    }
    const reservation = instance.loadTracker.addRequest(engine.target.id, estimate);
    const recordOutput = context.isOutputTracked ? reservation.recordOutput : () => undefined;
    engine.addGeneration({
        ...load,
        arrivedAt: now,
        remainingPrefillTokens: load.promptTokens,
        generatedTokens: 0,
        reservation: { ...reservation, recordOutput },
    });
}

/** A long stream or a check of an uneven load. */
interface UnevenRequest {
    instance: SimulatedInstance;
    isLong: boolean;
    promptTokens: number;
    outputTokens: number;
    /** Caller's estimate of the output, as a multiple of the true one. */
    hintFactor: number;
    arrivedAt: number;
    triedAt: number;
}

interface UnevenContext {
    engines: readonly SimulatedEngine[];
    now: number;
    random: Random;
    arrivalRandom: Random;
    instances: readonly SimulatedInstance[];
    uneven: UnevenLoad;
    outcome: UnevenOutcome;
    rate: number;
    /** Requests for which no engine had room. */
    retries: UnevenRequest[];
}

/** Starts the requests of one millisecond, which arrive in waves of 4 s, and those that have waited for an engine. */
function startUnevenRequests(context: UnevenContext): void {
    const { now, arrivalRandom: random, instances, rate, retries } = context;
    const waiting = retries.splice(0);
    const wave = 1 + WAVE_SHARE * Math.sin(2 * Math.PI * now / WAVE_MILLISECONDS);
    for (let left = rate * wave / 1000; left > 0; left -= 1) {
        const instance = instances[Math.floor(random() * instances.length)];
        if (random() < left && instance !== undefined) {
            const isLong = random() < LONG_SHARE;
            waiting.push({
                instance,
                isLong,
                promptTokens: Math.round(pickLogNormal(random, { median: isLong ? 3000 : 2200, spread: 0.2 })),
                outputTokens: isLong ? 748 : 8,
                hintFactor: pickLogNormal(random, { median: 1, spread: 0.3 }),
                arrivedAt: now,
                triedAt: Number.NEGATIVE_INFINITY,
            });
        }
    }
    for (const request of waiting) {
        if (now - request.triedAt >= RETRY_MILLISECONDS) {
            request.triedAt = now;
            if (startUnevenRequest(request, context)) {
                continue;
            }
        }
        if (now - request.arrivedAt < CHECK_OBJECTIVE_MILLISECONDS) {
            retries.push(request);
        }
        else {
            context.outcome.refused += 1;
        }
    }
}

/** Selects an engine for a request and starts it there; returns false if there is none. */
function startUnevenRequest(request: UnevenRequest, context: UnevenContext): boolean {
    const { engines, now, random, uneven, outcome } = context;
    const { instance, isLong, promptTokens, outputTokens, arrivedAt } = request;
    const estimate = { promptTokens, outputTokens: outputTokens * request.hintFactor };
    const objective = isLong ? LONG_OBJECTIVE_MILLISECONDS : CHECK_OBJECTIVE_MILLISECONDS;
    const selection = chooseLeastLoadedTarget(
        engines.map(({ target }) => buildUnevenCandidate(target, request, context)),
        {
            requestLoad: estimate,
            engine: ENGINE,
            zone: "zone-a",
            instances: context.instances.length,
            avoid: new Set(),
            objectives: {
                firstMilliseconds: Math.max(0, arrivedAt + objective - now),
                gapMilliseconds: isLong ? GAP_OBJECTIVE_MILLISECONDS : undefined,
                strictestGapMilliseconds: GAP_OBJECTIVE_MILLISECONDS,
            },
            random,
        },
    );
    const engine = engines.find(({ target }) => selection.kind === "placed" && selection.target === target);
    if (engine === undefined) {
        return false;
    }
    const { target } = engine;
    const reservation = instance.loadTracker.addRequest(target.id, estimate);
    const window = new EventWindow();
    let lastEventAt: number | undefined;
    const isCounted = arrivedAt >= WARM_UP_MILLISECONDS;
    let hasGap = false;
    const handleEvent = (sentAt: number): void => {
        const at = sentAt + random() * EVENT_DELAY_MILLISECONDS;
        if (lastEventAt === undefined) {
            const load = engine.getStatedLoad(sentAt);
            const pace = uneven.statePace === undefined ? load.pace : uneven.statePace(load.pace);
            instance.targetPace.recordStatedLoad(target, { ...load, pace }, at);
            const counts = isLong ? outcome.long : outcome.checks;
            counts.started += isCounted ? 1 : 0;
            counts.lateFirsts += isCounted && at - arrivedAt > objective ? 1 : 0;
        }
        if (isLong && isCounted && !hasGap && at - (lastEventAt ?? at) > GAP_OBJECTIVE_MILLISECONDS) {
            hasGap = true;
            outcome.long.gaps += 1;
        }
        lastEventAt = at;
        const milliseconds = window.addEvents(1, at);
        if (milliseconds > 0 && uneven.isPaced) {
            const { pace, ageMilliseconds } = instance.targetPace.getEstimate(target.id, at);
            instance.speeds.recordSample(target, {
                millisecondsPerToken: milliseconds / ENGINE.tokensPerEvent,
                requests: instance.loadTracker.computeTotalLoad(target.id, at).requests,
                pace: ageMilliseconds <= 300 ? pace : 1,
            });
        }
    };
    const release = (): void => {
        reservation.release();
        (isLong ? outcome.long : outcome.checks).ended += isCounted ? 1 : 0;
    };
    outcome.atSlowEngines += isLong && isCounted && engine.workFactor > 1 ? 1 : 0;
    engine.addGeneration({
        promptTokens,
        outputTokens,
        arrivedAt,
        remainingPrefillTokens: promptTokens,
        generatedTokens: 0,
        reservation: { ...reservation, release },
        handleEvent,
    });
    return true;
}

function buildUnevenCandidate(
    target: ServingTarget,
    { instance }: UnevenRequest,
    { now, uneven }: UnevenContext,
): TargetCandidate {
    const { loadTracker, targetPace, speeds } = instance;
    const { pace, ageMilliseconds, meanPace } = targetPace.getEstimate(target.id, now);
    const stepFactor = speeds.estimateStepFactor(target, now);
    return {
        target,
        load: loadTracker.computeTotalLoad(target.id, now),
        penalty: 0,
        isLimited: false,
        pace: uneven.isPaced && targetPace.isPaced(target.service)
            ? { pace, ageMilliseconds, meanPace, stepFactor, othersRequests: 0 }
            : undefined,
    };
}

/** Picks the token counts of a generation: either a long output or a verdict with 8 tokens. */
function pickRequestLoad(random: Random): { promptTokens: number; outputTokens: number; } {
    const isLong = random() < 0.47;
    const promptTokens = Math.min(6000, pickLogNormal(random, { median: isLong ? 2800 : 1850, spread: 0.45 }));
    const outputTokens = isLong ? Math.min(1770, pickLogNormal(random, { median: 540, spread: 0.8 })) : 8;
    return { promptTokens: Math.round(promptTokens), outputTokens: Math.round(outputTokens) };
}

function createTarget(index: number): ServingTarget {
    return {
        id: `engine-${index}`,
        service: "engines",
        address: "127.0.0.1:1",
        zone: "zone-a",
        slots: ENGINE.slots,
        isLeaving: false,
        coldMilliseconds: 0,
        startedAt: 1,
    };
}
