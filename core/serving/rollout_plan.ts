/**
 * Plans a rollout: which share of the requests the new version gets, and when the rollout ends.
 *
 * Load pattern: a version that has been good for most of the rollout turns bad in the second in which it gets all
 * requests. What it gets by then and until the time limit must stay within the exposure that is allowed for a bad
 * version. The plan therefore holds the new version at a small share until so little time is left that all requests of
 * that time fit into the rest of the exposure. Long streams are moved first, since those that still run at targets of
 * the old version when the rollout is completed are cut off.
 *
 * @module
 */
import type { RolloutTally } from "./rollout_evidence.ts";
import type { RolloutBounds } from "./rollout_types.ts";

/** Stages of a running rollout. */
export const RolloutStage = {
    /** A small share of the requests goes to the new version. */
    hold: "hold",
    /** In addition, all new long streams go there. */
    streams: "streams",
    /** All requests go there. */
    all: "all",
} as const;

/** One of the values of {@linkcode RolloutStage}. */
export type RolloutStage = (typeof RolloutStage)[keyof typeof RolloutStage];

/** Input of {@linkcode planRollout}. */
export interface RolloutPlanInput {
    /** Time since the order, in milliseconds. */
    ageMilliseconds: number;
    /** Time from the order to its time limit, in milliseconds. */
    durationMilliseconds: number;
    /** Limits on the exposure. */
    bounds: RolloutBounds;
    /** Counts of all instances. */
    total: Readonly<Pick<RolloutTally, "requests" | "longRequests" | "sent">>;
    /** Requests per millisecond in the latest seconds, and those among them for long streams. */
    rates: { rate: number; longRate: number; };
    /** Answers of the new version. */
    answers: number;
    /** True if the new version is bad. */
    isBad: boolean;
    /** True if the check before completion finds it bad. */
    isDoubtful: boolean;
    /** Slots of the targets of the old version that accept requests. */
    oldSlots: number;
    /** Slots of the targets of the new version that accept requests, without cold ones. */
    newSlots: number;
    /** Targets of the old version that accept requests. */
    oldTargets: number;
    /** Time for which no target of the old version has accepted requests, in milliseconds. */
    oldGoneMilliseconds: number;
    /** Requests that run at targets of the old version. */
    oldRunning: number;
}

/** Result of {@linkcode planRollout}. */
export interface RolloutPlan {
    /** Stage of the rollout. */
    stage: RolloutStage;
    /** Share of the requests that the new version gets in the first stage. */
    share: number;
    /** Number of targets of the new version that get them. */
    canaries: number;
    /** What to do; `undefined` to go on. */
    action?: "complete" | "roll back";
    /** Why; empty without an action. */
    reason: string;
}

/** Share of the allowed exposure that is used: the counts of the others are up to two seconds old. */
const USED_EXPOSURE = 0.85;
/** Mean age of what is known of the others' counts, in milliseconds. */
const UNTOLD_MILLISECONDS = 1000;
/** Share of the requests that the new version gets at least, in multiples of the allowed share, and at most. */
const MIN_HOLD_FACTOR = 0.35;
const MAX_HOLD_FACTOR = 0.8;
/** Time before the limit at which a rollout is completed, in milliseconds: the store may refuse the first calls. */
const COMPLETION_RESERVE_MILLISECONDS = 700;
/** Longest and shortest time before the limit from which all requests go to the new version, in milliseconds. */
const MAX_ALL_MILLISECONDS = 1600;
const MIN_ALL_MILLISECONDS = 1100;
/** Longest time before the limit from which long streams go to the new version, in milliseconds. */
const MAX_STREAMS_MILLISECONDS = 10_000;
/** Time for which long streams should go there before all requests do, in milliseconds. */
const WANTED_STREAMS_MILLISECONDS = 4000;
/** Time after the order from which the rate of requests is known, in milliseconds. */
const MIN_RATE_MILLISECONDS = 1500;
/**
 * Time without a target of the old version after which the rollout counts as completed, in milliseconds: a restored store
 * may list none for a moment.
 */
const OLD_GONE_MILLISECONDS = 4000;
/** Answers of the new version without which it is not given more than the first share. */
const MIN_ANSWERS = 8;
/** Share of the old version's slots that the new one must have before it gets all requests. */
const MIN_SLOT_SHARE = 0.75;
/**
 * Interval and length of the periods in which the chosen targets get as much as one of the old version, in milliseconds:
 * some versions are bad only under load.
 */
const PULSE_INTERVAL_MILLISECONDS = 6000;
const PULSE_MILLISECONDS = 800;
/** Age at which the first of these periods begins, in milliseconds. */
const FIRST_PULSE_MILLISECONDS = 4000;
/** Largest share of the requests in these periods. */
const MAX_PULSE_SHARE = 0.3;
/** Ratio of a target's usual load to that of the chosen targets below which there are such periods. */
const MIN_PULSE_RATIO = 1.5;

/** Plans the next moment of a rollout. */
export function planRollout(input: RolloutPlanInput): RolloutPlan {
    const { ageMilliseconds, durationMilliseconds, newSlots, answers } = input;
    const remaining = durationMilliseconds - ageMilliseconds;
    const hold = planHold(input, remaining);
    if (input.isBad) {
        return { ...hold, share: 0, action: "roll back", reason: "the new version is bad" };
    }
    if (input.oldGoneMilliseconds >= OLD_GONE_MILLISECONDS && newSlots > 0 && answers > 0) {
        return { ...hold, stage: RolloutStage.all, action: "complete", reason: "no target of another version is left" };
    }
    const canCarry = newSlots >= MIN_SLOT_SHARE * input.oldSlots && newSlots > 0;
    const isProven = canCarry && !input.isDoubtful && answers >= MIN_ANSWERS;
    const { all, streams } = computeFinalTimes(input, remaining);
    // A service with few requests gives few answers; those that there are count.
    if (remaining <= COMPLETION_RESERVE_MILLISECONDS && !(canCarry && !input.isDoubtful && answers > 0)) {
        const reason = !canCarry
            ? newSlots === 0 ? "no target of the new version is ready" : "the new targets cannot carry the load"
            : input.isDoubtful
            ? "the new version is worse than the old one"
            : "the new version has not answered";
        return { ...hold, share: 0, action: "roll back", reason };
    }
    if (remaining <= COMPLETION_RESERVE_MILLISECONDS) {
        return { ...hold, stage: RolloutStage.all, action: "complete", reason: "proven" };
    }
    if (isProven && remaining <= streams) {
        return { ...hold, stage: remaining <= all ? RolloutStage.all : RolloutStage.streams };
    }
    return hold;
}

/** Requests per millisecond: since the order, and in the latest seconds if there are more. */
interface Rates {
    average: number;
    rate: number;
    longRate: number;
}

function computeRates({ total, rates, ageMilliseconds }: RolloutPlanInput): Rates {
    const age = Math.max(MIN_RATE_MILLISECONDS, ageMilliseconds);
    const average = total.requests / age;
    return {
        average,
        rate: Math.max(average, rates.rate),
        longRate: Math.max(total.longRequests / age, rates.longRate),
    };
}

/** Computes what is left of the exposure, as requests, with those expected until the time limit. */
function computeExposureLeft({ bounds, total }: RolloutPlanInput, remaining: number, { average }: Rates): number {
    const expected = total.requests + average * Math.max(0, remaining);
    return USED_EXPOSURE * (bounds.exposureShare * expected + bounds.exposureSlack) - total.sent;
}

/** Computes the times before the limit from which all requests, and long streams, go to the new version. */
function computeFinalTimes(input: RolloutPlanInput, remaining: number): { all: number; streams: number; } {
    const rates = computeRates(input);
    const { rate, longRate } = rates;
    // What the others have sent since their latest digests is not known yet.
    const left = computeExposureLeft(input, remaining, rates) - longRate * UNTOLD_MILLISECONDS;
    const all = Math.min(MAX_ALL_MILLISECONDS, Math.max(MIN_ALL_MILLISECONDS, rate > 0 ? left / rate : Infinity));
    const forStreams = left - rate * all;
    const streams = all + (longRate > 0 ? Math.max(0, forStreams / longRate) : 0);
    return { all, streams: Math.min(MAX_STREAMS_MILLISECONDS, streams) };
}

/** Plans the first stage: what the final one does not need of the exposure is used for evidence. */
function planHold(input: RolloutPlanInput, remaining: number): RolloutPlan {
    const { bounds, ageMilliseconds, oldTargets } = input;
    const rates = computeRates(input);
    const { rate, longRate } = rates;
    const reserved = rate * MAX_ALL_MILLISECONDS + longRate * WANTED_STREAMS_MILLISECONDS;
    const left = computeExposureLeft(input, remaining, rates) - reserved;
    const isRateKnown = ageMilliseconds >= MIN_RATE_MILLISECONDS && rate > 0 && remaining > 0;
    const wanted = isRateKnown ? left / (rate * remaining) : 0;
    const least = bounds.exposureShare * MIN_HOLD_FACTOR;
    const share = Math.min(bounds.exposureShare * MAX_HOLD_FACTOR, Math.max(least, wanted));
    const canaries = Math.max(1, Math.round(share * oldTargets));
    const usualShare = Math.min(MAX_PULSE_SHARE, canaries / Math.max(1, oldTargets));
    const isPulse = ageMilliseconds >= FIRST_PULSE_MILLISECONDS
        && (ageMilliseconds - FIRST_PULSE_MILLISECONDS) % PULSE_INTERVAL_MILLISECONDS < PULSE_MILLISECONDS
        && usualShare > share * MIN_PULSE_RATIO && oldTargets > 1
        && left + reserved > rate * (MIN_ALL_MILLISECONDS + usualShare * PULSE_MILLISECONDS);
    return { stage: RolloutStage.hold, share: isPulse ? usualShare : share, canaries, reason: "" };
}
