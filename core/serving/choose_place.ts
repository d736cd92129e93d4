/**
 * Chooses the target for a request.
 *
 * Load patterns: long generations whose memory grows while they run, so that memory and not slots runs out first; bursts
 * in which instances choose at the same moment on the same figures.
 *
 * @module
 */
import type { HeldWork, WorkItem } from "./load_ledger.ts";
import type { EngineLimits, ServingTarget } from "./serving_types.ts";

/** A target that could take a request. */
export interface PlaceCandidate {
    /** The target. */
    target: ServingTarget;
    /** Work of all instances at it. */
    held: HeldWork;
    /** Penalty for failures, in units of a full target's load. */
    penalty: number;
    /** True where this instance's share of the target's connections or of its rate while cold is used up. */
    isLimited: boolean;
}

/** What is asked of {@linkcode choosePlace}. */
export interface PlaceQuestion {
    /** Size of the request. */
    item: WorkItem;
    /** Limits of the engine; `undefined` for a plain service. */
    engine: EngineLimits | undefined;
    /** Availability zone of this instance, or of the engine that a copy comes from. */
    zone: string;
    /** True where memory is copied to the target. Defaults to false. */
    isCopy?: boolean;
    /** Number of instances that place work on the same targets. */
    instances: number;
    /** Targets that have failed the request already. */
    avoid: ReadonlySet<string>;
    /** Source of a number from 0 up to 1. */
    random: () => number;
}

/** The answer of {@linkcode choosePlace}. */
export type PlaceResult =
    | { kind: "placed"; target: ServingTarget; score: number; }
    | { kind: "no-target"; }
    | { kind: "full"; };

/** Weight of prompts that wait to be read, against memory in use: reading holds up every stream of the engine. */
const PREFILL_WEIGHT = 1.2;
/** Prompt tokens that wait at one engine in a crowded second: what an engine reads in about half a second. */
const PREFILL_SCALE = 7000;
/** Cost of a target in another zone, in units of a full target's load; about one request of a plain service. */
const ZONE_COST = 0.04;
/** The same for a copy, which takes twice as long between zones and keeps the copies after it waiting meanwhile. */
const COPY_ZONE_COST = 0.4;
/** Spread of the random part, in units of a full target's load; it keeps instances from choosing alike. */
const JITTER = 0.03;
/** Further spread for each instance: the more instances place work, the more of it is not known of yet. */
const JITTER_PER_INSTANCE = 0.004;
/** Requests that a plain target may hold, in multiples of its slots, before it counts as full. */
const PLAIN_QUEUE_FACTOR = 4;
/** Requests that an engine may hold, in multiples of its slots, before it counts as full. */
const ENGINE_QUEUE_FACTOR = 2;
/** Share of an engine's memory that may be promised; outputs are often shorter than expected. */
const MAX_MEMORY = 1.1;

/**
 * Chooses the least loaded target.
 *
 * @param candidates Targets that take new work.
 * @param question The request.
 * @returns The target, or why there is none.
 */
export function choosePlace(candidates: readonly PlaceCandidate[], question: PlaceQuestion): PlaceResult {
    const fresh = candidates.filter(candidate => !question.avoid.has(candidate.target.id));
    const usable = fresh.filter(candidate => !candidate.isLimited && !isFull(candidate, question));
    let best: PlaceCandidate | undefined;
    let bestScore = Infinity;
    for (const candidate of usable) {
        const score = computeLoad(candidate, question)
            + candidate.penalty
            + (candidate.target.zone === question.zone ? 0 : question.isCopy === true ? COPY_ZONE_COST : ZONE_COST)
            + question.random() * (JITTER + JITTER_PER_INSTANCE * (question.instances - 1));
        if (score < bestScore) {
            best = candidate;
            bestScore = score;
        }
    }
    if (best !== undefined) {
        return { kind: "placed", target: best.target, score: bestScore };
    }
    return fresh.length === 0 ? { kind: "no-target" } : { kind: "full" };
}

function isFull({ target, held }: PlaceCandidate, { engine, item }: PlaceQuestion): boolean {
    const needed = held.tokens + item.promptTokens + item.outputTokens;
    if (engine !== undefined && held.requests > 0 && needed > engine.memoryTokens * MAX_MEMORY) {
        return true;
    }
    const factor = engine === undefined ? PLAIN_QUEUE_FACTOR : ENGINE_QUEUE_FACTOR;
    return held.requests >= Math.max(1, target.slots) * factor;
}

/** Computes the share of a target that is taken once it has the request; 1 is full. */
function computeLoad({ target, held }: PlaceCandidate, { item, engine }: PlaceQuestion): number {
    const places = (held.requests + 1) / Math.max(1, target.slots);
    if (engine === undefined) {
        return places;
    }
    const memory = (held.tokens + item.promptTokens + item.outputTokens) / engine.memoryTokens;
    return Math.max(memory, places) + PREFILL_WEIGHT * held.waitingPromptTokens / PREFILL_SCALE;
}
