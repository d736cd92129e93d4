/**
 * Decides whether the end of a target's response is the end of its answer.
 *
 * Load pattern: targets crash, are cut off or are replaced while their responses are on the way. A response with a length
 * or chunks shows its end itself. One that has neither ends with its connection, which the system also closes in order
 * when the process of the target ends; only a target that is known to run on has ended such a response itself.
 *
 * @module
 */
import { TargetPresence } from "./target_presence.ts";

/** What the end of a response shows about its answer. */
export const ResponseOutcome = {
    /** The whole answer has arrived. */
    complete: "complete",
    /** A part of the answer is missing, or the response is no answer. */
    brokenOff: "broken off",
    /** The whole answer may have arrived, but nothing shows it; it must not be passed on as complete. */
    unknown: "unknown",
} as const;

/** One of the values of {@linkcode ResponseOutcome}. */
export type ResponseOutcome = (typeof ResponseOutcome)[keyof typeof ResponseOutcome];

/** How the response of a target ended. */
export interface ResponseEnd {
    /** True if the response has a length or chunks, which show its end. */
    isFramed: boolean;
    /** True if the whole response arrived or, without a length and chunks, its connection was closed without a reset. */
    isClosedInOrder: boolean;
    /** Number of events that the response completed; the body of a response that is no stream counts as one. */
    events: number;
    /** Number of bytes after the last complete event. */
    unfinishedBytes: number;
    /** True if the answer may end without a further event: its caller may have had the last one before. */
    mayBeEmpty: boolean;
    /** True if the caller has all the tokens that it allows. */
    hasAllTokens: boolean;
    /** True if a move may have stopped the generation. */
    mayBeStopped: boolean;
}

/** Builds the end of a response that is no stream. */
export function buildBodyEnd(end: Pick<ResponseEnd, "isFramed" | "isClosedInOrder">): ResponseEnd {
    return { ...end, events: 1, unfinishedBytes: 0, mayBeEmpty: true, hasAllTokens: false, mayBeStopped: false };
}

const OUTCOME_BY_PRESENCE: Record<TargetPresence, ResponseOutcome> = {
    running: ResponseOutcome.complete,
    gone: ResponseOutcome.brokenOff,
    replaced: ResponseOutcome.brokenOff,
    unknown: ResponseOutcome.unknown,
};

/**
 * Decides whether an answer is complete.
 *
 * @param end How the response ended.
 * @param presence What is known about the target after the end. Defaults to nothing.
 */
export function decideResponseOutcome(
    end: ResponseEnd,
    presence: TargetPresence = TargetPresence.unknown,
): ResponseOutcome {
    if (!end.isClosedInOrder || end.unfinishedBytes > 0) {
        return ResponseOutcome.brokenOff;
    }
    if (end.hasAllTokens) {
        return ResponseOutcome.complete;
    }
    if (end.events === 0 && !end.mayBeEmpty) {
        return ResponseOutcome.brokenOff;
    }
    if (end.isFramed) {
        return ResponseOutcome.complete;
    }
    return end.mayBeStopped ? ResponseOutcome.brokenOff : OUTCOME_BY_PRESENCE[presence];
}
