/**
 * Decides whether a request that finds all targets full is queued, and when a refused caller should retry.
 *
 * Load pattern: a burst beyond the capacity of all targets. A request that would be queued beyond its latency objective
 * also delays the requests behind it. It is refused at once, and the retries of refused callers are spread over the
 * time until capacity is free again. If all targets have asked for a pause, no retry comes before its end.
 *
 * Load pattern: all targets limit their request rate below what arrives. A request that would wait for this instance's
 * next turn beyond its latency objective is refused at once. Other instances have their turns earlier, so that its
 * caller may return before that.
 *
 * @module
 */

/** Why no target accepts requests from this instance, and for how long. */
export interface Closure {
    /** All targets have asked for a pause, or limit the rate of requests. */
    reason: "paused" | "limited";
    /** Time until the first target accepts requests again, in milliseconds. */
    milliseconds: number;
}

/** Input of {@linkcode decideQueueAdmission}. */
export interface QueueAdmissionInput {
    /** Why no target accepts requests; `undefined` if they are merely full. */
    closure: Closure | undefined;
    /** Requests that are queued already. */
    waiting: number;
    /** Requests of the service that have released their target in the last second. */
    freedPerSecond: number;
    /** Time until the latency objective of the request is missed, in milliseconds. */
    objectiveMilliseconds: number;
    /** Time until the deadline of the request, in milliseconds. */
    remainingMilliseconds: number;
    /** Random number generator that returns numbers from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
}

/** Result of {@linkcode decideQueueAdmission}. */
export type QueueAdmission =
    /** The request may be queued for up to `milliseconds`. */
    | { kind: "wait"; milliseconds: number; }
    /** The request is refused, and its caller is told to retry after `retryAfterSeconds`. */
    | { kind: "refuse"; reason: "full" | Closure["reason"]; retryAfterSeconds: number; };

/** Share of the latency objective that a request may spend in the queue; the rest is for the response itself. */
const MAX_WAIT_OBJECTIVE_SHARE = 0.4;
/** Share of the time until its deadline that a request may spend in the queue. */
const MAX_WAIT_REMAINING_SHARE = 0.25;
/** Minimum of the estimated time until capacity is free; newly freed capacity is found within this time. */
const MIN_CAPACITY_WAIT_SECONDS = 0.15;
/** Latest retry of a refused caller, in multiples of the estimated time until capacity is free. */
const MAX_RETRY_AFTER_FACTOR = 1.3;
/** Share of the latest retry time over which the retries are spread at random. */
const RETRY_AFTER_JITTER_SHARE = 0.5;
/** Latest retry, as a share of the time until the deadline; callers ignore a retry time above a third of it. */
const MAX_RETRY_AFTER_SHARE = 0.3;

/** Share of the latency objective that a request may spend waiting, however soon targets respond. */
const MAX_TIMED_WAIT_OBJECTIVE_SHARE = 0.6;
/** Share of it that it may spend waiting if targets have responded late. */
const MIN_TIMED_WAIT_OBJECTIVE_SHARE = 0.1;
/** Estimated time until capacity is free if no release is known, in milliseconds. */
const UNKNOWN_WAIT_MILLISECONDS = 400;

/** Input of {@linkcode computeAllowedWait}. */
export interface AllowedWaitInput {
    /** Time until the latency objective of the request is missed, in milliseconds. */
    objectiveMilliseconds: number;
    /** Time until the deadline of the request, in milliseconds. */
    remainingMilliseconds: number;
    /** Time that targets need until their response starts, in milliseconds; `undefined` if it is not known. */
    responseMilliseconds: number | undefined;
}

/** Computes how long a request may wait for capacity so that its response still starts within its objective. */
export function computeAllowedWait(input: AllowedWaitInput): number {
    const { objectiveMilliseconds, remainingMilliseconds, responseMilliseconds } = input;
    const objectiveWait = responseMilliseconds === undefined
        ? objectiveMilliseconds * MAX_WAIT_OBJECTIVE_SHARE
        : Math.min(
            objectiveMilliseconds * MAX_TIMED_WAIT_OBJECTIVE_SHARE,
            Math.max(
                objectiveMilliseconds * MIN_TIMED_WAIT_OBJECTIVE_SHARE,
                objectiveMilliseconds - responseMilliseconds,
            ),
        );
    return Math.max(0, Math.min(objectiveWait, remainingMilliseconds * MAX_WAIT_REMAINING_SHARE));
}

/** Input of {@linkcode decideTimedAdmission}. */
export interface TimedAdmissionInput {
    /** Why no target accepts requests; `undefined` if they are merely full. */
    closure: Closure | undefined;
    /** Time for which the request may wait, in milliseconds. */
    allowedMilliseconds: number;
    /** Estimated time until there is capacity for it, in milliseconds; `undefined` if no release is known. */
    estimateMilliseconds: number | undefined;
}

/** Decides whether a request waits: the reason for refusing it, or `undefined` if it waits. */
export function decideTimedAdmission(input: TimedAdmissionInput): "full" | Closure["reason"] | undefined {
    const { closure, allowedMilliseconds, estimateMilliseconds } = input;
    if (closure !== undefined && closure.milliseconds > allowedMilliseconds) {
        return closure.reason;
    }
    return allowedMilliseconds <= 0 || (estimateMilliseconds ?? 0) > allowedMilliseconds ? "full" : undefined;
}

/**
 * Estimates when the fleet has capacity for the callers that it has refused, in milliseconds from now: they return, and
 * those refused before are served first.
 *
 * @param input Size that waits or is expected to return, at all instances, with the refused request, and the fleet's
 * release rate; `undefined` if it is not known.
 */
export function estimateReturnTime(input: { backlogSize: number; sizePerSecond: number | undefined; }): number {
    return input.sizePerSecond === undefined
        ? UNKNOWN_WAIT_MILLISECONDS
        : 1000 * input.backlogSize / input.sizePerSecond;
}

/** Decides whether a request is queued. */
export function decideQueueAdmission(input: QueueAdmissionInput): QueueAdmission {
    const { closure, waiting, freedPerSecond, objectiveMilliseconds, remainingMilliseconds } = input;
    const maxWait = Math.min(
        objectiveMilliseconds * MAX_WAIT_OBJECTIVE_SHARE,
        remainingMilliseconds * MAX_WAIT_REMAINING_SHARE,
    );
    const expectedWait = Math.max(closure?.milliseconds ?? 0, 1000 * (waiting + 1) / Math.max(1, freedPerSecond));
    const isClosedTooLong = (closure?.milliseconds ?? 0) > maxWait;
    if (maxWait > 0 && !isClosedTooLong && expectedWait <= Math.max(maxWait, 1000 / Math.max(1, freedPerSecond))) {
        return { kind: "wait", milliseconds: maxWait };
    }
    return {
        kind: "refuse",
        reason: isClosedTooLong && closure !== undefined ? closure.reason : "full",
        retryAfterSeconds: chooseRetryAfter({ ...input, expectedMilliseconds: expectedWait }),
    };
}

/**
 * Chooses the time after which a refused caller retries, at random to spread the retries.
 *
 * @param input Why no target accepts requests, estimated time until capacity is free and time until the deadline, in
 * milliseconds from now, and a random number generator that returns numbers from 0 (inclusive) to 1 (exclusive).
 * @returns Time from now, in seconds.
 */
export function chooseRetryAfter(
    input: {
        closure: Closure | undefined;
        expectedMilliseconds: number;
        remainingMilliseconds: number;
        random: () => number;
    },
): number {
    const maxRetryAfter = input.remainingMilliseconds * MAX_RETRY_AFTER_SHARE / 1000;
    const expectedWait = input.expectedMilliseconds / 1000;
    const latest = Math.min(
        maxRetryAfter,
        Math.max(MIN_CAPACITY_WAIT_SECONDS, expectedWait) * MAX_RETRY_AFTER_FACTOR,
    );
    const jitter = RETRY_AFTER_JITTER_SHARE * input.random();
    return input.closure?.reason === "paused" && input.closure.milliseconds > 0
        ? input.closure.milliseconds / 1000 * (1 + jitter)
        : Math.max(0, latest * (1 - jitter));
}
