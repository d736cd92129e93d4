/**
 * Determines whether a failed request may have run at a target.
 *
 * @module
 */

/** Whether a failed request ran at a target. */
export const Verdict = {
    /** The request certainly did not run, so it had no effect at any target. */
    notRun: "not-run",
    /** The request may have run, in full or in part; it is unknown whether it did. */
    mayHaveRun: "may-have-run",
    /** The request ran. */
    ran: "ran",
} as const;

/** One of the values of {@linkcode Verdict}. */
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** The stage that an attempt at a target had reached when it failed. */
export const AttemptProgress = {
    /** No connection was established, so no byte of the request was sent. */
    notConnected: "not-connected",
    /** At least one byte of the request may have been sent. */
    sent: "sent",
    /** The target responded that it refused the request before running it. */
    refused: "refused",
    /** The target started to send its response. */
    answering: "answering",
    /** The target's response is complete. */
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
 * Determines the verdict for an attempt that failed at `progress`.
 *
 * @param progress Stage that the attempt had reached.
 * @returns The most definite verdict that is certainly correct.
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
 * Merges the verdicts of two attempts to run the same request.
 *
 * @param first Verdict of one attempt.
 * @param second Verdict of the other attempt.
 * @returns The verdict on the request as a whole: `ran`, if either is, else `may-have-run`, if either is.
 */
export function mergeVerdicts(first: Verdict, second: Verdict): Verdict {
    return VERDICT_RANK[first] >= VERDICT_RANK[second] ? first : second;
}
