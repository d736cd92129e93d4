/**
 * Classifies the ends of attempts at targets, as evidence about their requests and the parts of their prompts.
 *
 * Load pattern: a target that crashes ends all its requests at the same moment, one of which may have crashed it: at any
 * time after its arrival, before the head of its response or after any number of events. On a connection that is reset
 * the head and the first events may be lost.
 *
 * @module
 */
import type { Verdict } from "../verdict/mod.ts";

/** What the end of an attempt shows. */
export const AttemptEvidence = {
    /** The target has answered to the end, so that neither the request nor a part of its prompt crashes it. */
    answered: "answered",
    /** The target may have crashed when it began to answer. */
    suspicious: "suspicious",
    /** The attempt was cut before the head of the response; the target may have crashed under it, or under another. */
    cut: "cut",
    /** The attempt was cut while the target answered, which may have crashed under it, or under another. */
    interrupted: "interrupted",
    /** Neither. */
    none: "none",
} as const;

/** One of the values of {@linkcode AttemptEvidence}. */
export type AttemptEvidence = (typeof AttemptEvidence)[keyof typeof AttemptEvidence];

/** End of an attempt at a target; the times are on the monotonic clock in milliseconds. */
export interface AttemptEnd {
    /**
     * How the attempt ended; `failed` if its connection was lost, `aborted` by this instance or by the caller, and `other`
     * if the target gave another answer or the generation was moved.
     */
    kind: "complete" | "failed" | "aborted" | "other";
    /** Time at which the attempt started. */
    startedAt: number;
    /** Time at which the head of the response arrived; `undefined` if none did. */
    headAt: number | undefined;
    /** Time at which the last complete event arrived; `undefined` if none did. */
    lastEventAt: number | undefined;
    /** Time at which the attempt ended. */
    endedAt: number;
}

/** Classifies how an attempt ended that failed. A target that has not run the request, or has run it, gave another answer. */
export function classifyFailure(
    { verdict, isAborted = false, isConnectionLost = false }: {
        verdict: Verdict;
        /** True if this instance, or the caller, has given the attempt up. */
        isAborted?: boolean;
        isConnectionLost?: boolean;
    },
): AttemptEnd["kind"] {
    if (verdict !== "may-have-run") {
        return "other";
    }
    if (isAborted) {
        return "aborted";
    }
    return isConnectionLost ? "failed" : "other";
}

/** Time from the head after which an engine no longer begins to answer, in milliseconds. */
const BEGINNING_MILLISECONDS = 300;

/** Classifies the end of an attempt. A request without a prompt is judged as if it were one with a single event. */
export function classifyAttemptEnd(
    { kind, headAt, lastEventAt, endedAt }: Omit<AttemptEnd, "startedAt">,
): AttemptEvidence {
    if (kind !== "failed") {
        return kind === "complete" && lastEventAt !== undefined ? AttemptEvidence.answered : AttemptEvidence.none;
    }
    if (headAt === undefined) {
        return AttemptEvidence.cut;
    }
    const hasJustBegun = lastEventAt === undefined || endedAt - headAt < BEGINNING_MILLISECONDS;
    return hasJustBegun ? AttemptEvidence.suspicious : AttemptEvidence.interrupted;
}
