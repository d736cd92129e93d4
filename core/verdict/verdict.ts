/**
 * Tells whether a request may have run.
 *
 * @module
 */

/** The verdicts that a failure can carry. */
export const Verdict = {
    /** No part of the request can have had an effect at a target. */
    notRun: "not-run",
    /** The request may have had an effect; nobody can tell yet. */
    mayHaveRun: "may-have-run",
    /** The request ran. */
    ran: "ran",
} as const;

/** One of the values of {@linkcode Verdict}. */
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** How far an attempt at a target had come when it failed. */
export const AttemptProgress = {
    /** No connection was made, so no byte of the request left. */
    notConnected: "not-connected",
    /** At least one byte of the request may have been sent. */
    sent: "sent",
    /** The target answered that it refused the request before running it. */
    refused: "refused",
    /** The target began its answer. */
    answering: "answering",
    /** The target's answer is whole. */
    answered: "answered",
} as const;

/** One of the values of {@linkcode AttemptProgress}. */
export type AttemptProgress = (typeof AttemptProgress)[keyof typeof AttemptProgress];

const VERDICT_BY_PROGRESS: Record<AttemptProgress, Verdict> = {
    "not-connected": Verdict.notRun,
    sent: Verdict.mayHaveRun,
    refused: Verdict.notRun,
    answering: Verdict.mayHaveRun,
    answered: Verdict.ran,
};

/**
 * Gives the verdict for an attempt that failed at `progress`.
 *
 * @param progress How far the attempt had come.
 * @returns The strongest verdict that is certainly true.
 *
 * @example
 * ```ts
 * decideVerdict("not-connected"); // "not-run"
 * ```
 */
export function decideVerdict(progress: AttemptProgress): Verdict {
    return VERDICT_BY_PROGRESS[progress];
}

const VERDICT_RANK: Record<Verdict, number> = { "not-run": 0, "may-have-run": 1, ran: 2 };

/**
 * Merges the verdicts of two attempts at one request.
 *
 * @param first Verdict of one attempt.
 * @param second Verdict of the other attempt.
 * @returns The verdict that holds for the request as a whole.
 */
export function mergeVerdicts(first: Verdict, second: Verdict): Verdict {
    return VERDICT_RANK[first] >= VERDICT_RANK[second] ? first : second;
}
