/**
 * Selects the target that a request is sent to: the least loaded one, with penalties for failures and for targets in
 * other zones.
 *
 * Load patterns: long generations whose KV cache grows while they run, so that an engine runs out of KV cache before it
 * runs out of slots; bursts in which several instances select a target at the same moment from the same load figures;
 * releases during which targets of several software versions serve side by side, and a stream that has begun goes on only
 * at one of them.
 *
 * @module
 */
import type { RequestLoad, TargetLoad } from "./load_tracker.ts";
import {
    type CandidatePace,
    computePacedScore,
    computePlainJitter,
    describeEstimate,
    type PacedObjectives,
    type PacedScore,
    type PlacementEstimate,
} from "./paced_selection.ts";
import { type EngineLimits, getSoftwareVersion, type ServingTarget } from "./serving_types.ts";

/** A target that a request could be sent to. */
export interface TargetCandidate {
    /** The target. */
    target: ServingTarget;
    /** Load that the requests of all instances put on the target. */
    load: TargetLoad;
    /** Penalty for failures, in units of a full target's load. */
    penalty: number;
    /**
     * True if this instance has used up its share of the target's connections, or of its request rate if it is cold.
     */
    isLimited: boolean;
    /**
     * Time until which the target wants no requests from this instance, on the monotonic clock in milliseconds;
     * `undefined` if it accepts requests.
     */
    pausedUntil?: number | undefined;
    /**
     * Time until which this instance has used up its share of the request rate that the target accepts, on the same
     * clock; `undefined` if it may send a request.
     */
    limitedUntil?: number | undefined;
    /**
     * Time from which this instance may send a request to a target that has lately refused one for want of room, on the
     * same clock; 0 if it may now, `undefined` if no such refusal is known. The requests held back are not sent to other
     * targets instead, which would refuse them next.
     */
    crowdedUntil?: number | undefined;
    /** What is known of how fast the target works; `undefined` unless its service is paced. */
    pace?: CandidatePace | undefined;
    /** Tokens of the prompt's leading parts that the engine is believed to have cached; 0 if absent. */
    heldTokens?: number | undefined;
}

/** Parts of a candidate's score, in units of a full target's load: the sum of all but the saving, less the saving. */
export interface ScoreParts {
    /**
     * Load of the target with the request, and prompts that wait there; if its service is paced, what the request meets
     * there.
     */
    load: number;
    /** Penalty for failures. */
    penalty: number;
    /** Cost of another zone. */
    zone: number;
    /** Random part, which keeps instances from selecting the same target. */
    jitter: number;
    /** Value of the cached parts of the prompt. */
    saving: number;
}

/** Why a candidate cannot be selected for a request. */
export type CandidateExclusion =
    /** The request has failed at the target. */
    | "failed before"
    /** The target has another software version than the stream. */
    | "other software version"
    /** A rollout sends the request to another software version. */
    | "rollout"
    /** The target has asked for a pause. */
    | "paused"
    /** This instance has used up its share of the target's request rate, or of its refusals. */
    | "rate limited"
    /** This instance has used up its share of the target's connections, or of its request rate while it is cold. */
    | "share used up"
    /** The target has no KV cache or no queue capacity for the request. */
    | "full";

/** Receives how a selection judges each candidate, in order to explain it. */
export interface SelectionObserver {
    /** Called with the score of each candidate that can be selected; the lowest is. */
    recordScore: (candidate: TargetCandidate, score: number, parts: ScoreParts) => void;
    /** Called with each other candidate. */
    recordExclusion: (candidate: TargetCandidate, reason: CandidateExclusion) => void;
}

/** Input of {@linkcode chooseLeastLoadedTarget}. */
export interface TargetSelectionInput {
    /** Load that the request adds to its target. */
    requestLoad: RequestLoad;
    /** Tokens of KV cache that the request leaves free at its target, beside its own. Defaults to 0. */
    headroomTokens?: number | undefined;
    /** Limits of the engine; `undefined` for a service whose targets are not engines. */
    engine: EngineLimits | undefined;
    /** Availability zone of this instance, or of the source engine if a running generation is copied. */
    zone: string;
    /** True if the KV cache of a running generation is copied to the target. Defaults to false. */
    isCopy?: boolean;
    /** Number of instances that send requests to the same targets. */
    instances: number;
    /** Identifiers of the targets at which the request has failed already. */
    avoid: ReadonlySet<string>;
    /** Software version that the target must have, since it began the stream. Defaults to any. */
    softwareVersion?: string | undefined;
    /** Objectives by which the targets of a paced service are compared. Defaults to none. */
    objectives?: PacedObjectives | undefined;
    /** Random number generator that returns numbers from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    /** Receives how each candidate is judged. Defaults to none. */
    observer?: SelectionObserver | undefined;
}

/** Result of {@linkcode chooseLeastLoadedTarget}. */
export type TargetSelection =
    /**
     * A target was selected; `score` is its load with all penalties, where 1 is a full target. `estimate` is what it was
     * selected by, if its service is paced. `heldTokens` are the tokens of the prompt that it is believed to have cached,
     * if any.
     */
    | { kind: "placed"; target: ServingTarget; score: number; estimate?: PlacementEstimate; heldTokens?: number; }
    /** There is no target, or the request has failed at all of them. */
    | { kind: "no-target"; }
    /** All targets are full or limited at present. */
    | { kind: "full"; }
    /** All targets want no requests from this instance; `until` is the time at which the first one accepts them. */
    | { kind: "paused"; until: number; }
    /** The same, and at least one target is only limited: this instance has used up its share of its request rate. */
    | { kind: "limited"; until: number; };

/** Weight of prompts that wait for prefill, relative to KV cache in use: prefill delays every stream of the engine. */
const PREFILL_WEIGHT = 1.2;
/** Prompt tokens that wait at one engine in a second of high load; an engine prefills them in about half a second. */
const PREFILL_SCALE_TOKENS = 7000;
/**
 * Maximum number of cached tokens that count for an engine: one long prompt. An engine is then chosen only while it is
 * fuller than another by no more than its saving, and one long prompt that waits there outweighs any saving.
 */
const MAX_HELD_TOKENS = 3000;
/**
 * Cost of a target in another zone, in units of a full target's load; about one request at a target of a plain service.
 */
const ZONE_COST = 0.04;
/** Zone cost for a copy, which takes twice as long between zones and delays the copies queued behind it. */
const COPY_ZONE_COST = 0.4;
/**
 * Range of the random part of a score, in units of a full target's load; keeps instances from selecting the same
 * target.
 */
const JITTER = 0.03;
/** Additional range for each further instance: the more instances send requests, the more load is not reported yet. */
const JITTER_PER_INSTANCE = 0.004;
/** Requests at which a target that is not an engine counts as full, in multiples of its slots. */
const PLAIN_QUEUE_FACTOR = 4;
/** Requests at which an engine counts as full, in multiples of its slots. */
const ENGINE_QUEUE_FACTOR = 2;
/** Share of an engine's KV cache that may be reserved; it exceeds 1, as outputs are often shorter than estimated. */
const MAX_MEMORY_SHARE = 1.1;
/** Objectives of a request whose route is not known. */
const NO_OBJECTIVES: PacedObjectives = {
    firstMilliseconds: Infinity,
    gapMilliseconds: undefined,
    strictestGapMilliseconds: undefined,
};

/**
 * Selects the least loaded target.
 *
 * @param candidates Targets that accept new requests.
 * @param input The request and the conditions of the selection.
 * @returns The target, or the reason why none can be used.
 */
export function chooseLeastLoadedTarget(
    candidates: readonly TargetCandidate[],
    input: TargetSelectionInput,
): TargetSelection {
    const untried = candidates.filter(({ target }) =>
        !input.avoid.has(target.id)
        && (input.softwareVersion === undefined || getSoftwareVersion(target) === input.softwareVersion)
    );
    const refusedBy = candidates.find(({ target, crowdedUntil }) =>
        crowdedUntil !== undefined && input.avoid.has(target.id)
    );
    if (untried.length > 0 && refusedBy !== undefined) {
        return { kind: "limited", until: refusedBy.crowdedUntil ?? 0 };
    }
    const accepting = untried.filter(candidate => findClosedUntil(candidate) === undefined);
    const usable = accepting.filter(candidate => !candidate.isLimited && !isFull(candidate, input));
    if (input.observer !== undefined) {
        recordExclusions(input.observer, { candidates, untried, accepting, usable, avoid: input.avoid });
    }
    let best: TargetCandidate | undefined;
    let bestScore = Infinity;
    let bestPaced: PacedScore | undefined;
    for (const candidate of usable) {
        const paced = estimatePacedScore(candidate, input);
        const parts = computeScoreParts(candidate, input, paced);
        const score = parts.load + parts.penalty + parts.zone + parts.jitter - parts.saving;
        input.observer?.recordScore(candidate, score, parts);
        if (score < bestScore) {
            best = candidate;
            bestScore = score;
            bestPaced = paced;
        }
    }
    if (best?.crowdedUntil !== undefined && best.crowdedUntil > 0) {
        return { kind: "limited", until: best.crowdedUntil };
    }
    if (best !== undefined) {
        const { target, pace, heldTokens = 0 } = best;
        return {
            kind: "placed",
            target,
            score: bestScore,
            ...bestPaced === undefined || pace === undefined ? {} : { estimate: describeEstimate(bestPaced, pace) },
            ...heldTokens > 0 ? { heldTokens } : {},
        };
    }
    if (untried.length === 0) {
        return { kind: "no-target" };
    }
    if (accepting.length === 0) {
        return {
            kind: untried.every(({ pausedUntil }) => pausedUntil !== undefined) ? "paused" : "limited",
            until: Math.min(...untried.map(candidate => findClosedUntil(candidate) ?? Infinity)),
        };
    }
    return { kind: "full" };
}

/** Tells an observer which candidates the steps of a selection have excluded, and by which step. */
function recordExclusions(
    observer: SelectionObserver,
    { candidates, untried, accepting, usable, avoid }: {
        candidates: readonly TargetCandidate[];
        untried: readonly TargetCandidate[];
        accepting: readonly TargetCandidate[];
        usable: readonly TargetCandidate[];
        avoid: ReadonlySet<string>;
    },
): void {
    for (const candidate of candidates.filter(other => !usable.includes(other))) {
        const { target, pausedUntil, isLimited } = candidate;
        const reason: CandidateExclusion = !untried.includes(candidate)
            ? avoid.has(target.id) ? "failed before" : "other software version"
            : !accepting.includes(candidate)
            ? pausedUntil === undefined ? "rate limited" : "paused"
            : isLimited
            ? "share used up"
            : "full";
        observer.recordExclusion(candidate, reason);
    }
}

function computeScoreParts(
    candidate: TargetCandidate,
    input: TargetSelectionInput,
    paced: PacedScore | undefined,
): ScoreParts {
    const saving = paced === undefined
        ? computeSaving(candidate, input)
        : computePacedSaving(candidate, { input, score: paced.score });
    return {
        load: paced === undefined ? computeLoad(candidate, input) : paced.score + saving,
        penalty: candidate.penalty,
        zone: candidate.target.zone === input.zone ? 0 : input.isCopy === true ? COPY_ZONE_COST : ZONE_COST,
        jitter: computeJitter(input, paced !== undefined),
        saving,
    };
}

/** Finds the time until which a target accepts no requests from this instance; `undefined` if it accepts them. */
function findClosedUntil({ pausedUntil, limitedUntil }: TargetCandidate): number | undefined {
    return pausedUntil === undefined || limitedUntil === undefined
        ? pausedUntil ?? limitedUntil
        : Math.max(pausedUntil, limitedUntil);
}

/**
 * Checks whether a target has no KV cache or no queue capacity for the request; the KV cache of an idle engine always
 * counts as sufficient.
 */
function isFull(
    { target, load }: TargetCandidate,
    { engine, requestLoad, headroomTokens = 0 }: TargetSelectionInput,
): boolean {
    const neededTokens = load.tokens + requestLoad.promptTokens + requestLoad.outputTokens + headroomTokens;
    if (engine !== undefined && load.requests > 0 && neededTokens > engine.memoryTokens * MAX_MEMORY_SHARE) {
        return true;
    }
    const factor = engine === undefined ? PLAIN_QUEUE_FACTOR : ENGINE_QUEUE_FACTOR;
    return load.requests >= Math.max(1, target.slots) * factor;
}

/** Computes the random part of a score. */
function computeJitter({ engine, instances, random }: TargetSelectionInput, isPaced: boolean): number {
    return isPaced && engine === undefined
        ? computePlainJitter(random())
        : random() * (JITTER + JITTER_PER_INSTANCE * (instances - 1));
}

/** Scores a target of a paced service by what the request meets there; `undefined` for other services. */
function estimatePacedScore(
    candidate: TargetCandidate,
    { requestLoad, engine, objectives = NO_OBJECTIVES }: TargetSelectionInput,
): PacedScore | undefined {
    const { target: { slots }, load, pace } = candidate;
    const heldTokens = computeSavedTokens(candidate, requestLoad);
    return pace && computePacedScore({ slots, load, pace, heldTokens }, { requestLoad, engine, objectives });
}

/** Computes how many tokens of cached parts count. */
function computeSavedTokens({ heldTokens = 0 }: TargetCandidate, { promptTokens }: RequestLoad): number {
    return Math.min(heldTokens, promptTokens, MAX_HELD_TOKENS);
}

/** Computes the value of the prefill that cached parts of the prompt save: as much as a wait for the same tokens costs. */
function computeSaving(candidate: TargetCandidate, { requestLoad }: TargetSelectionInput): number {
    return PREFILL_WEIGHT * computeSavedTokens(candidate, requestLoad) / PREFILL_SCALE_TOKENS;
}

/** Computes by how much cached parts of the prompt have lowered the given score of a paced service's target. */
function computePacedSaving(
    candidate: TargetCandidate,
    { input, score }: { input: TargetSelectionInput; score: number; },
): number {
    return (candidate.heldTokens ?? 0) > 0
        ? (estimatePacedScore({ ...candidate, heldTokens: 0 }, input)?.score ?? score) - score
        : 0;
}

/** Computes the load of a target including the request, where 1 is full; prompts that wait for prefill add to it. */
function computeLoad(
    { target, load }: TargetCandidate,
    { requestLoad, engine }: TargetSelectionInput,
): number {
    const slotShare = (load.requests + 1) / Math.max(1, target.slots);
    if (engine === undefined) {
        return slotShare;
    }
    const memoryShare = (load.tokens + requestLoad.promptTokens + requestLoad.outputTokens) / engine.memoryTokens;
    return Math.max(memoryShare, slotShare) + PREFILL_WEIGHT * load.waitingPromptTokens / PREFILL_SCALE_TOKENS;
}
