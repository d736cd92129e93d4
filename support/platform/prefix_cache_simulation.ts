/**
 * Simulates engines that keep parts of prompts cached, and instances that select engines with or without estimates of
 * what is cached.
 *
 * Load pattern: prompts share a first part, some of them one that is far more popular than the others, and then a part of
 * their session. A few whole prompts return soon at another instance, as retries of their callers do. Engines differ in
 * speed, and instances learn of each other's load from delayed digests.
 *
 * @module
 */
import {
    buildPromptPrefix,
    chooseLeastLoadedTarget,
    DigestRateLimiter,
    type LoadReservation,
    LoadTracker,
    PrefixCache,
    type PrefixPart,
    type ServingTarget,
} from "../../core/serving/mod.ts";
import { createRandom, pickLogNormal, type Random } from "../fixtures/random.ts";

/** What instances know of the caches: nothing, what they have sent themselves, or what all instances have sent. */
export type CacheKnowledge = "none" | "own" | "all";

/** Options of {@linkcode simulatePrefixCache}. */
export interface PrefixCacheSimulationOptions {
    /** What instances know of the caches. */
    knowledge: CacheKnowledge;
    /** Number of instances. Defaults to 84. */
    instances?: number;
    /** Number of engines. Defaults to 57. */
    engines?: number;
    /** Generations per second. Defaults to 60. */
    generationsPerSecond?: number;
    /** Simulated duration, in seconds. Defaults to 20. */
    seconds?: number;
    /** Seed of the random numbers. Defaults to 1. */
    seed?: number;
    /** Share of the requests that have the most popular first part. Defaults to 0. */
    hotShare?: number;
    /** Tokens of the most popular first part. Defaults to 350. */
    hotTokens?: number;
    /** Share of the requests whose whole prompt returns within a second. Defaults to 0.02. */
    returnedShare?: number;
    /** True if a returned prompt arrives at the instance that it came to first. Defaults to false. */
    returnsToSameInstance?: boolean;
}

/** Result of {@linkcode simulatePrefixCache}. */
export interface PrefixCacheOutcome {
    /** Times from arrival to first token of all generations that produced one, in milliseconds. */
    firstTokenMilliseconds: number[];
    /** Prompt tokens of the generations that an engine has begun to run. */
    promptTokens: number;
    /** Those of them that were not cached. */
    readTokens: number;
    /** Tokens that instances believed to be cached at the engines that they chose. */
    believedTokens: number;
    /** Those of them that were cached. */
    confirmedTokens: number;
    /** Requests for which no engine had room. */
    refused: number;
    /** Requests at each engine. */
    requests: number[];
    /** Requests with the most popular first part at each engine. */
    hotRequests: number[];
}

interface Prompt {
    prefix: PrefixPart[];
    promptTokens: number;
    outputTokens: number;
    isHot: boolean;
}

interface Generation extends Prompt {
    arrivedAt: number;
    believedTokens: number;
    /** Prompt tokens still to be read; `undefined` until the engine has looked for cached parts. */
    unreadTokens: number | undefined;
    generatedTokens: number;
    reservation: LoadReservation;
    recordRead: () => void;
}

const ENGINE = { slots: 24, memoryTokens: 26_900, tokensPerEvent: 4, copyMillisecondsPerToken: 0.055, canMove: true };
/** Duration of a step without generations. */
const STEP_MILLISECONDS = 7;
/** Additional duration of a step for each running generation. */
const STEP_MILLISECONDS_PER_GENERATION = 0.12;
/** Largest number of prompt tokens that one step reads. */
const PREFILL_CHUNK_TOKENS = 112;
/** Prompt tokens that an engine reads in a millisecond. */
const PREFILL_TOKENS_PER_MILLISECOND = 14;
/** Every third engine takes this many times as long for all work. */
const SLOW_FACTOR = 2;
/** Time that a digest takes to reach the peers. */
const DIGEST_DELAY_MILLISECONDS = 2;
/** Longest time after which a returned prompt arrives again. */
const RETURN_MILLISECONDS = 1000;

/** An engine with chunked prefill, whose cached parts get the memory that running generations leave. */
class SimulatedEngine {
    readonly target: ServingTarget;
    readonly #slowness: number;
    readonly #outcome: PrefixCacheOutcome;
    readonly #waiting: Generation[] = [];
    readonly #running: Generation[] = [];
    /** Tokens of each cached part; the least recently used one comes first. */
    readonly #cached = new Map<number, number>();
    #stepEndsAt = 0;

    constructor(index: number, outcome: PrefixCacheOutcome) {
        this.target = {
            id: `engine-${index}`,
            service: "engines",
            address: "127.0.0.1:1",
            zone: "zone-a",
            slots: ENGINE.slots,
            isLeaving: false,
            coldMilliseconds: 0,
            startedAt: 1,
        };
        this.#slowness = index % 3 === 0 ? SLOW_FACTOR : 1;
        this.#outcome = outcome;
    }

    addGeneration(generation: Generation): void {
        this.#waiting.push(generation);
    }

    step(now: number): void {
        if (now < this.#stepEndsAt || this.#waiting.length + this.#running.length === 0) {
            return;
        }
        for (const generation of [...this.#running]) {
            generation.generatedTokens += 1;
            generation.reservation.recordOutput(generation.generatedTokens);
            if (generation.generatedTokens >= generation.outputTokens) {
                this.#running.splice(this.#running.indexOf(generation), 1);
                generation.reservation.release();
                this.#addParts(generation);
                generation.recordRead();
            }
        }
        const readTokens = this.#runPrefill(now);
        this.#expireParts();
        const milliseconds = STEP_MILLISECONDS + STEP_MILLISECONDS_PER_GENERATION * this.#running.length
            + readTokens / PREFILL_TOKENS_PER_MILLISECOND;
        this.#stepEndsAt = now + milliseconds * this.#slowness;
    }

    #runPrefill(now: number): number {
        let remaining = PREFILL_CHUNK_TOKENS;
        for (let next = this.#waiting[0]; next !== undefined && remaining > 0; next = this.#waiting[0]) {
            if (next.unreadTokens === undefined) {
                if (this.#countRunningTokens() + next.promptTokens > ENGINE.memoryTokens) {
                    break;
                }
                const cachedTokens = this.#countCachedTokens(next.prefix);
                next.unreadTokens = Math.max(1, next.promptTokens - cachedTokens);
                this.#outcome.promptTokens += next.promptTokens;
                this.#outcome.readTokens += next.unreadTokens;
                this.#outcome.confirmedTokens += Math.min(next.believedTokens, cachedTokens);
            }
            const chunk = Math.min(remaining, next.unreadTokens);
            next.unreadTokens -= chunk;
            remaining -= chunk;
            if (next.unreadTokens <= 0) {
                this.#waiting.shift();
                this.#running.push(next);
                this.#addParts(next);
                this.#outcome.firstTokenMilliseconds.push(now - next.arrivedAt);
                next.reservation.markResponseStarted();
                next.recordRead();
            }
        }
        return PREFILL_CHUNK_TOKENS - remaining;
    }

    #countCachedTokens(prefix: readonly PrefixPart[]): number {
        const missing = prefix.findIndex(({ key }) => !this.#cached.has(key));
        return prefix.slice(0, missing === -1 ? undefined : missing).reduce((sum, { tokens }) => sum + tokens, 0);
    }

    #addParts({ prefix }: Prompt): void {
        for (const { key, tokens } of prefix.toReversed()) {
            this.#cached.delete(key);
            this.#cached.set(key, tokens);
        }
    }

    #expireParts(): void {
        let excess = [...this.#cached.values()].reduce((sum, tokens) => sum + tokens, 0) + this.#countRunningTokens()
            - ENGINE.memoryTokens;
        for (const [key, tokens] of this.#cached) {
            if (excess <= 0) {
                return;
            }
            this.#cached.delete(key);
            excess -= tokens;
        }
    }

    #countRunningTokens(): number {
        return this.#running.reduce(
            (sum, { promptTokens, generatedTokens }) => sum + promptTokens + generatedTokens,
            0,
        );
    }
}

interface SimulatedInstance {
    loadTracker: LoadTracker;
    prefixCache: PrefixCache;
    rateLimiter: DigestRateLimiter;
    digestDueAt: number;
}

/** Simulates generations whose prompts share leading parts. */
export function simulatePrefixCache(options: PrefixCacheSimulationOptions): PrefixCacheOutcome {
    const { instances: count = 84, engines: engineCount = 57, generationsPerSecond: rate = 60 } = options;
    const { knowledge, seconds = 20, seed = 1, returnedShare = 0.02, returnsToSameInstance = false } = options;
    // The requests do not depend on the decisions.
    const workload = createRandom(seed);
    const random = createRandom(seed + 1000);
    const outcome: PrefixCacheOutcome = {
        firstTokenMilliseconds: [],
        promptTokens: 0,
        readTokens: 0,
        believedTokens: 0,
        confirmedTokens: 0,
        refused: 0,
        requests: Array.from({ length: engineCount }, () => 0),
        hotRequests: Array.from({ length: engineCount }, () => 0),
    };
    const engines = Array.from({ length: engineCount }, (_, index) => new SimulatedEngine(index, outcome));
    const sharedCache = new PrefixCache();
    let now = 0;
    const peers = count - 1;
    const instances = Array.from({ length: count }, (): SimulatedInstance => {
        const instance = {
            loadTracker: new LoadTracker(),
            prefixCache: knowledge === "all" ? sharedCache : new PrefixCache(),
            rateLimiter: new DigestRateLimiter(),
            digestDueAt: Infinity,
        };
        instance.loadTracker.onEngineLoadChange = reason => {
            const sendAt = instance.rateLimiter.computeSendTime(reason, { now, peers });
            instance.digestDueAt = Math.min(instance.digestDueAt, sendAt);
        };
        return instance;
    });
    const start = (instance: SimulatedInstance, prompt: Prompt): void => {
        const fleet = { now, instances: knowledge === "all" ? 1 : count, engines: engineCount };
        const computeConditions = (id: string): Parameters<PrefixCache["recordRead"]>[1]["conditions"] => ({
            now,
            freeTokens: ENGINE.memoryTokens - instance.loadTracker.computeTotalLoad(id, now).tokens,
            otherTokensPerMillisecond: instance.prefixCache.estimateOtherTokens("engines", { ...fleet, now }),
        });
        const { prefix, promptTokens, outputTokens } = prompt;
        const candidates = engines.map(({ target }) => ({
            target,
            load: instance.loadTracker.computeTotalLoad(target.id, now),
            penalty: 0,
            isLimited: false,
            ...knowledge === "none" ? {} : {
                heldTokens: instance.prefixCache.estimateHeldTokens(target, {
                    prefix,
                    conditions: computeConditions(target.id),
                }),
            },
        }));
        const selection = chooseLeastLoadedTarget(candidates, {
            requestLoad: { promptTokens, outputTokens },
            engine: ENGINE,
            zone: "zone-a",
            instances: count,
            avoid: new Set(),
            random,
        });
        if (selection.kind !== "placed") {
            outcome.refused += 1;
            return;
        }
        const { target, heldTokens = 0 } = selection;
        const index = engines.findIndex(engine => engine.target === target);
        outcome.requests[index] = (outcome.requests[index] ?? 0) + 1;
        outcome.hotRequests[index] = (outcome.hotRequests[index] ?? 0) + (prompt.isHot ? 1 : 0);
        outcome.believedTokens += heldTokens;
        engines[index]?.addGeneration({
            ...prompt,
            arrivedAt: now,
            believedTokens: heldTokens,
            unreadTokens: undefined,
            generatedTokens: 0,
            reservation: instance.loadTracker.addRequest(target.id, { promptTokens, outputTokens, heldTokens }),
            recordRead: () => {
                if (knowledge !== "none") {
                    instance.prefixCache.recordRead(target, { prefix, conditions: computeConditions(target.id) });
                }
            },
        });
    };
    const events: { at: number; run: () => void; }[] = [];
    for (; now < seconds * 1000; now += 1) {
        for (let index = events.length - 1; index >= 0; index -= 1) {
            if ((events[index]?.at ?? 0) <= now) {
                events.splice(index, 1)[0]?.run();
            }
        }
        if (workload() < rate / 1000) {
            const instance = instances[Math.floor(workload() * count)];
            const other = instances[Math.floor(workload() * count)];
            const prompt = pickPrompt(workload, { id: `${now}`, ...options });
            const isReturned = workload() < returnedShare;
            const returnAt = now + RETURN_MILLISECONDS * workload();
            if (instance !== undefined && other !== undefined) {
                start(instance, prompt);
                if (isReturned) {
                    events.push({
                        at: returnAt,
                        run: () => start(returnsToSameInstance ? instance : other, prompt),
                    });
                }
            }
        }
        engines.forEach(engine => engine.step(now));
        for (const [index, instance] of instances.entries()) {
            if (instance.digestDueAt > now) {
                continue;
            }
            instance.digestDueAt = Infinity;
            instance.rateLimiter.recordSend({ now, peers });
            const digest = { work: instance.loadTracker.getDigest(), receivedAt: now };
            events.push({
                at: now + DIGEST_DELAY_MILLISECONDS,
                run: () =>
                    instances.filter(other => other !== instance).forEach(other =>
                        other.loadTracker.applyDigest(`${index}`, digest)
                    ),
            });
        }
    }
    return outcome;
}

/** Numbers of first parts and of sessions. */
const FIRST_PARTS = 40;
const SESSIONS = 800;

/** Picks a prompt of a first part with 50 to 210 tokens, one of a session with 30 to 140, and one of its own. */
function pickPrompt(
    random: Random,
    { id, hotShare = 0, hotTokens = 350 }: { id: string; hotShare?: number; hotTokens?: number; },
): Prompt {
    const isHot = random() < hotShare;
    const session = Math.floor(random() * SESSIONS);
    const first = session % FIRST_PARTS;
    const isLong = random() < 0.47;
    const ownTokens = Math.round(2200 + 800 * random());
    const outputTokens = isLong ? Math.round(Math.min(1770, pickLogNormal(random, { median: 540, spread: 0.6 }))) : 8;
    const prefix = buildPromptPrefix("engines", [
        isHot ? { id: "hot", tokens: hotTokens } : { id: `first-${first}`, tokens: 50 + 4 * first },
        { id: `session-${session}`, tokens: 30 + session % 111 },
        { id: `own-${id}`, tokens: ownTokens },
    ]);
    const promptTokens = prefix.reduce((sum, { tokens }) => sum + tokens, 0);
    return { prefix, promptTokens, outputTokens, isHot };
}
