/**
 * Decides what follows each step of a move, which is the live migration of a running generation to another engine.
 *
 * A move first copies the KV cache while the generation continues. The final copy then stops the generation at the
 * source and transfers the tokens that were generated in the meantime.
 *
 * Load pattern: an engine has no room, disappears during a copy, or sends a response that is lost, while the generation
 * still runs or has already been stopped. A generation must never run at two engines, and it must not be abandoned
 * while one engine can continue it.
 *
 * @module
 */

/** What to do after a step of a move. */
export const MoveAction = {
    /** Makes the final copy as soon as it is due. */
    makeFinalCopy: "copy-last",
    /** Resumes the generation at the destination. */
    resumeAtDestination: "go-on",
    /** Resumes the generation at the source, which has stopped it and still holds its KV cache. */
    resumeAtSource: "go-back",
    /** Retries the same step after a pause. */
    retryStep: "repeat",
    /** Starts over with another destination. */
    tryAnotherDestination: "choose-another",
    /** Ends the move and leaves the generation where it is. */
    endMove: "stay",
} as const;

/** One of the values of {@linkcode MoveAction}. */
export type MoveAction = (typeof MoveAction)[keyof typeof MoveAction];

/** Result of a step of a move. */
export type MoveStepResult =
    /** The destination holds a copy of the KV cache. */
    | "copied"
    /** The source is not running the generation. */
    | "no-run"
    /** The source is still performing an earlier step of the same move. */
    | "in-progress"
    /** The destination has no room, and the generation is not stopped. */
    | "no-room"
    /** The destination has no room, and the source has stopped the generation and keeps its KV cache. */
    | "stopped-without-room"
    /** No usable response was received; the step may have been carried out. */
    | "unanswered";

const ACTION_AFTER_FIRST_COPY: Record<MoveStepResult, MoveAction> = {
    copied: MoveAction.makeFinalCopy,
    // A request that is queued or whose prompt is being prefilled has no running generation yet, but may have one soon.
    "no-run": MoveAction.retryStep,
    "in-progress": MoveAction.retryStep,
    "no-room": MoveAction.tryAnotherDestination,
    "stopped-without-room": MoveAction.resumeAtSource,
    unanswered: MoveAction.endMove,
};

const ACTION_AFTER_FINAL_COPY: Record<MoveStepResult, MoveAction> = {
    copied: MoveAction.resumeAtDestination,
    // The generation has finished since the first copy.
    "no-run": MoveAction.endMove,
    "in-progress": MoveAction.retryStep,
    "no-room": MoveAction.tryAnotherDestination,
    "stopped-without-room": MoveAction.resumeAtSource,
    unanswered: MoveAction.endMove,
};

/** Decides what follows a step of a move; `isFinal` is true after the final copy. */
export function decideMoveAction(result: MoveStepResult, step: { isFinal: boolean; }): MoveAction {
    return (step.isFinal ? ACTION_AFTER_FINAL_COPY : ACTION_AFTER_FIRST_COPY)[result];
}
