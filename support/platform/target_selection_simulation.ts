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
    type LoadReservation,
    LoadTracker,
    type ServingTarget,
} from "../../core/serving/mod.ts";
import { createRandom, pickLogNormal, type Random } from "../fixtures/random.ts";

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
    /** Creates the rate limiter of one instance's digests. Defaults to a {@linkcode DigestRateLimiter}. */
    createRateLimiter?: () => DigestLimiter;
}

/** Result of {@linkcode simulateTargetSelection}. */
export interface TargetSelectionOutcome {
    /** Times from arrival to first token of all generations that produced one, in milliseconds. */
    firstTokenMilliseconds: number[];
    /** Number of preemptions; each discards the KV cache of a generation, whose prefill is then repeated. */
    preemptions: number;
    /** Number of digests sent. */
    digests: number;
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
}

/** A simulated instance. */
interface SimulatedInstance {
    loadTracker: LoadTracker;
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
/** Time that a digest takes to reach the peers. */
const DIGEST_DELAY_MILLISECONDS = 2;

/** A simulated engine that prefills prompts in chunks (chunked prefill) while it decodes running generations. */
class SimulatedEngine {
    readonly target: ServingTarget;
    readonly #waiting: SimulatedGeneration[] = [];
    readonly #running: SimulatedGeneration[] = [];
    readonly #outcome: TargetSelectionOutcome;
    #stepEndsAt = 0;

    constructor(target: ServingTarget, outcome: TargetSelectionOutcome) {
        this.target = target;
        this.#outcome = outcome;
    }

    addGeneration(generation: SimulatedGeneration): void {
        this.#waiting.push(generation);
    }

    /** Runs the next step if the current one has ended. */
    step(now: number): void {
        if (now < this.#stepEndsAt || this.#waiting.length + this.#running.length === 0) {
            return;
        }
        this.#decodeTokens();
        const prefilledTokens = this.#runPrefill(now);
        this.#preemptGenerations();
        this.#stepEndsAt = now + STEP_MILLISECONDS + STEP_MILLISECONDS_PER_GENERATION * this.#running.length
            + prefilledTokens / PREFILL_TOKENS_PER_MILLISECOND;
    }

    /** Generates one token of each running generation and ends those that are finished. */
    #decodeTokens(): void {
        for (const generation of [...this.#running]) {
            generation.generatedTokens += 1;
            generation.reservation.recordOutput(generation.generatedTokens);
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
    const outcome: TargetSelectionOutcome = { firstTokenMilliseconds: [], preemptions: 0, digests: 0 };
    const engines = Array.from(
        { length: engineCount },
        (_, index) => new SimulatedEngine(createTarget(index), outcome),
    );
    let now = 0;
    const instances = Array.from({ length: count }, (): SimulatedInstance => {
        const instance = { loadTracker: new LoadTracker(), rateLimiter: createLimiter(), digestDueAt: Infinity };
        instance.loadTracker.onEngineLoadChange = reason => {
            const sendAt = instance.rateLimiter.computeSendTime(reason, { now, peers: count - 1 });
            instance.digestDueAt = Math.min(instance.digestDueAt, sendAt);
        };
        return instance;
    });
    const digestsInTransit: { arrivesAt: number; deliver: () => void; }[] = [];
    for (; now < seconds * 1000; now += 1) {
        while (digestsInTransit[0] !== undefined && digestsInTransit[0].arrivesAt <= now) {
            digestsInTransit.shift()?.deliver();
        }
        if (random() < rate / 1000) {
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
            const deliver = (): void => others.forEach(other => other.loadTracker.applyDigest(`${index}`, digest));
            digestsInTransit.push({ arrivesAt: now + DIGEST_DELAY_MILLISECONDS, deliver });
        }
    }
    return outcome;
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
