/**
 * Estimates what a request meets at each target of a paced service, and scores the targets by it.
 *
 * Load patterns: long streams whose callers count each gap between events, on engines of which some are so slow that a
 * prompt read beside the stream makes such a gap whenever the machine turns slower; short checks that need two events
 * within their objective, wherever they come from; plain calls that are refused by a full target.
 *
 * @module
 */
import { computeStepMilliseconds } from "./engine_speeds.ts";
import type { RequestLoad, TargetLoad } from "./load_tracker.ts";
import type { EngineLimits } from "./serving_types.ts";
import { estimateMeanPace, type PaceEstimate } from "./target_pace.ts";

/** What is known of how fast a target works. */
export interface CandidatePace extends PaceEstimate {
    /** Duration of an engine's step as a multiple of the usual one. */
    stepFactor: number;
    /** The same, close to that of slower engines while little is known of the engine. Defaults to `stepFactor`. */
    cautiousFactor?: number;
    /** Requests of other instances at a target of a plain service, whose digests do not contain them. */
    othersRequests: number;
}

/** Objectives by which the targets of a paced service are compared. */
export interface PacedObjectives {
    /** Time within which the first event should arrive, in milliseconds. */
    firstMilliseconds: number;
    /** Longest pause between events that the request's caller accepts, in milliseconds; `undefined` if any. */
    gapMilliseconds: number | undefined;
    /** The same of the strictest route to the service, which the streams beside the request may belong to. */
    strictestGapMilliseconds: number | undefined;
}

/** Estimates on which a target was selected; the log records them with these field names. */
export interface PlacementEstimate {
    /** Time to the first event, in milliseconds; 0 for a plain service. */
    firstMilliseconds: number;
    /** Time between events while prompts are read, in a slow moment of the machine, in milliseconds; 0 likewise. */
    gapMilliseconds: number;
    /** Duration of the engine's step as a multiple of the usual one. */
    stepFactor: number;
    /** Pace that the target stated last. */
    pace: number;
    /** Age of that statement, in milliseconds; absent if there is none. */
    ageMilliseconds?: number;
}

/** Score of a target, and the estimates behind it. */
export interface PacedScore {
    /** Score without penalties and zone cost, where 1 is a full target. */
    score: number;
    /** Time to the first event, in milliseconds. */
    firstMilliseconds: number;
    /** Time between events while prompts are read, in a slow moment, in milliseconds. */
    gapMilliseconds: number;
}

/** Prompt tokens that an engine reads in a millisecond, and between two steps of its streams. */
const PREFILL_TOKENS_PER_MILLISECOND = 14;
const CHUNK_TOKENS = 112;
/** Factor by which a machine is slower in a slow moment. */
const SLOW_PACE = 2.5;
/** Output events from which a stream counts as long: a slow moment falls into most of those. */
const LONG_EVENTS = 12;
/** Bounds of the objective for the first event that is compared with, in milliseconds. */
const MIN_FIRST_MILLISECONDS = 200;
const MAX_FIRST_MILLISECONDS = 4000;
/**
 * Share of the KV cache beyond which an engine may have to preempt streams, whose outputs are often longer than expected,
 * and the cost of each further part of it.
 */
const CROWDED_SHARE = 0.8;
const CROWDED_COST = 3;
/** Weight of the time to the first event as a share of its objective, and of the square of that share. */
const FIRST_WEIGHT = 1;
const FIRST_SQUARE_WEIGHT = 2;
/** Largest share of the objective that counts: beyond it, the request is late anyway. */
const MAX_FIRST_SHARE = 2;
/** Cost of an engine at which a long stream has to expect gaps, in units of a full target's load. */
const GAP_COST = 1.5;
/** Share of the gap objective from which an engine has that cost in part, and the further share at which it has all. */
const SAFE_GAP_SHARE = 0.9;
const GAP_SHARE_RANGE = 0.2;
/** Cost of a prompt for each stream that it makes gaps in, in units of a full target's load. */
const BESIDE_COST = 0.08;
/** Prompt with that cost, in tokens; a shorter one has a part of it. */
const BESIDE_PROMPT_TOKENS = 2500;
/**
 * Weights of a plain target's pace, as a logarithm, and of the share of its slots that requests of this instance and of
 * others have: the former is known exactly, the latter only as it was before most of those requests arrived.
 */
const PLAIN_PACE_WEIGHT = 0.5;
const PLAIN_OWN_WEIGHT = 4;
const PLAIN_OTHERS_WEIGHT = 0.7;
/** Range of the random part of a plain target's score: the score by which its share of the calls falls to a third. */
const PLAIN_RANGE = 0.25;
const MIN_EXPONENTIAL = 1e-6;
/** Duration of a plain call, in milliseconds, over which the pace of its target counts. */
const PLAIN_CALL_MILLISECONDS = 40;

/** Scores a target of a paced service for a request. */
export function computePacedScore(
    { slots, load, pace, heldTokens = 0 }: {
        slots: number;
        load: TargetLoad;
        pace: CandidatePace;
        heldTokens?: number | undefined;
    },
    { requestLoad, engine, objectives }: {
        requestLoad: RequestLoad;
        engine: EngineLimits | undefined;
        objectives: PacedObjectives;
    },
): PacedScore {
    if (engine === undefined) {
        return { score: computePlainScore({ slots, load, pace }), firstMilliseconds: 0, gapMilliseconds: 0 };
    }
    const { promptTokens, outputTokens } = requestLoad;
    const { stepFactor } = pace;
    const stepMilliseconds = computeStepMilliseconds(load.requests + 1);
    const prefillTokens = Math.max(0, load.waitingPromptTokens + promptTokens - heldTokens);
    const usualMilliseconds = prefillTokens / PREFILL_TOKENS_PER_MILLISECOND
        + (load.requests > 0 ? prefillTokens / CHUNK_TOKENS * stepMilliseconds : 0);
    const workMilliseconds = usualMilliseconds * stepFactor;
    const firstMilliseconds = workMilliseconds * estimateMeanPace(pace, workMilliseconds);
    const gapMilliseconds = estimateSlowGap({ load, pace, engine });
    const memoryShare = (load.tokens + promptTokens + outputTokens) / engine.memoryTokens;
    const slotShare = (load.requests + 1) / Math.max(1, slots);
    const firstObjective = Math.min(
        MAX_FIRST_MILLISECONDS,
        Math.max(MIN_FIRST_MILLISECONDS, objectives.firstMilliseconds),
    );
    const firstShare = Math.min(MAX_FIRST_SHARE, firstMilliseconds / firstObjective);
    const isLong = outputTokens >= LONG_EVENTS * engine.tokensPerEvent;
    const score = Math.max(memoryShare, slotShare)
        + CROWDED_COST * Math.max(0, memoryShare - CROWDED_SHARE)
        + firstShare * (FIRST_WEIGHT + FIRST_SQUARE_WEIGHT * firstShare)
        + (isLong ? GAP_COST * computeGapExcess(gapMilliseconds, objectives.gapMilliseconds) : 0)
        + BESIDE_COST * countStreams(load) * Math.min(1, promptTokens / BESIDE_PROMPT_TOKENS)
            * computeGapExcess(gapMilliseconds, objectives.strictestGapMilliseconds);
    return { score, firstMilliseconds, gapMilliseconds };
}

/** Estimates the time between events beside a prompt that is read, in a slow moment of the machine, in milliseconds. */
function estimateSlowGap(
    { load, pace, engine }: { load: TargetLoad; pace: CandidatePace; engine: EngineLimits; },
): number {
    return engine.tokensPerEvent * SLOW_PACE * (pace.cautiousFactor ?? pace.stepFactor)
        * (computeStepMilliseconds(load.requests + 1) + CHUNK_TOKENS / PREFILL_TOKENS_PER_MILLISECOND);
}

/** Describes the estimates behind a selection, for the log. */
export function describeEstimate(
    { firstMilliseconds, gapMilliseconds }: PacedScore,
    pace: CandidatePace,
): PlacementEstimate {
    return {
        firstMilliseconds: Math.round(firstMilliseconds),
        gapMilliseconds: Math.round(gapMilliseconds),
        stepFactor: Number(pace.stepFactor.toFixed(2)),
        pace: Number(pace.pace.toFixed(2)),
        ...Number.isFinite(pace.ageMilliseconds) ? { ageMilliseconds: Math.round(pace.ageMilliseconds) } : {},
    };
}

/**
 * Scores a target of a plain service by the time that a call takes there: in a slow moment the calls that run take longer
 * too, and one that finds no slot is refused.
 */
function computePlainScore(
    { slots, load, pace }: { slots: number; load: TargetLoad; pace: CandidatePace; },
): number {
    return PLAIN_PACE_WEIGHT * Math.log(estimateMeanPace(pace, PLAIN_CALL_MILLISECONDS))
        + (PLAIN_OWN_WEIGHT * load.requests + PLAIN_OTHERS_WEIGHT * pace.othersRequests) / Math.max(1, slots);
}

/**
 * Computes the random part of a plain target's score from a random number between 0 and 1. It gives each target a share of
 * the calls that falls exponentially with its score: all instances have the same figures, which are as old as a call is
 * long, and would otherwise send all calls to the target that looks best.
 */
export function computePlainJitter(random: number): number {
    return PLAIN_RANGE * Math.log(Math.max(MIN_EXPONENTIAL, -Math.log(1 - random)));
}

/** Computes how far a gap exceeds the safe part of its objective, from 0 to 1. */
function computeGapExcess(milliseconds: number, objective: number | undefined): number {
    return objective === undefined
        ? 0
        : Math.min(1, Math.max(0, milliseconds / objective - SAFE_GAP_SHARE) / GAP_SHARE_RANGE);
}

/** Estimates the number of streams that generate; the other requests wait for their prompts to be read. */
function countStreams({ requests, tokens, waitingPromptTokens }: TargetLoad): number {
    return tokens <= 0 ? 0 : requests * Math.max(0, 1 - waitingPromptTokens / tokens);
}
