/**
 * Decides whether a request that finds no place waits for one, and when a refused caller should come back.
 *
 * Load pattern: a burst beyond what all targets can take. A request that would wait past the time in which its answer is
 * worth much keeps others waiting too; it is refused at once, and callers are spread over the time until there is room.
 *
 * @module
 */

/** What is known of a line of waiting requests. */
export interface WaitQuestion {
    /** Requests that wait already. */
    waiting: number;
    /** Places that became free in the last second. */
    freedPerSecond: number;
    /** Time in which the answer is worth most, in milliseconds, counted from now. */
    objectiveMilliseconds: number;
    /** Time until the caller gives up, in milliseconds. */
    remainingMilliseconds: number;
    /** Source of a number from 0 up to 1. */
    random: () => number;
}

/** The answer of {@linkcode decideWait}. */
export type WaitDecision =
    | { kind: "wait"; milliseconds: number; }
    | { kind: "refuse"; retryAfterSeconds: number; };

/** Share of the objective that may pass in line; the rest is for the answer itself. */
const OBJECTIVE_SHARE = 0.4;
/** Share of the caller's time that may pass in line. */
const REMAINING_SHARE = 0.25;
/** Least time after which a refused caller comes back, in seconds: new places are found within this time. */
const MIN_RETRY_AFTER = 0.15;
/** Latest return of a refused caller, in multiples of the time until there is room. */
const LONGEST_RETURN = 1.3;
/** Part of that time over which refused callers are spread. */
const RETURN_SPREAD = 0.5;
/** Callers follow a time to come back only up to a third of the time that they have left. */
const MAX_RETRY_SHARE = 0.3;

/** Decides whether a request waits. */
export function decideWait(question: WaitQuestion): WaitDecision {
    const { waiting, freedPerSecond, objectiveMilliseconds, remainingMilliseconds } = question;
    const bearable = Math.min(objectiveMilliseconds * OBJECTIVE_SHARE, remainingMilliseconds * REMAINING_SHARE);
    const expected = 1000 * (waiting + 1) / Math.max(1, freedPerSecond);
    if (bearable > 0 && expected <= Math.max(bearable, 1000 / Math.max(1, freedPerSecond))) {
        return { kind: "wait", milliseconds: bearable };
    }
    return { kind: "refuse", retryAfterSeconds: chooseReturn({ ...question, expectedMilliseconds: expected }) };
}

/** Chooses when a refused caller comes back, spread over the time until there is room, in seconds. */
export function chooseReturn(
    question: { expectedMilliseconds: number; remainingMilliseconds: number; random: () => number; },
): number {
    const latest = question.remainingMilliseconds * MAX_RETRY_SHARE / 1000;
    const expected = question.expectedMilliseconds / 1000;
    const longest = Math.min(latest, Math.max(MIN_RETRY_AFTER, expected) * LONGEST_RETURN);
    return Math.max(0, longest * (1 - RETURN_SPREAD * question.random()));
}
