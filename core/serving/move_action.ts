/**
 * Decides what follows each step of a move of a running generation to another engine.
 *
 * Load pattern: engines that have no room, that leave in the middle of a copy, or whose answer is lost, while the
 * generation goes on or has already stopped. It must never run at two engines, nor be given up while one can go on.
 *
 * @module
 */

/** What a session does after a step of its move. */
export const MoveAction = {
    /** Waits for the last copy's time and makes it. */
    copyLast: "copy-last",
    /** Goes on at the destination. */
    goOn: "go-on",
    /** Goes on at the source, which has stopped the run. */
    goBack: "go-back",
    /** Tries the same step again after a pause. */
    repeat: "repeat",
    /** Tries another destination. */
    chooseAnother: "choose-another",
    /** Leaves the run where it is. */
    stay: "stay",
} as const;

/** One of the values of {@linkcode MoveAction}. */
export type MoveAction = (typeof MoveAction)[keyof typeof MoveAction];

/** How a step of a move ended. */
export type MoveStepResult = "copied" | "no-run" | "in-progress" | "no-room" | "stopped-without-room" | "unanswered";

const ACTION_AFTER_FIRST: Record<MoveStepResult, MoveAction> = {
    copied: MoveAction.copyLast,
    // A request that still waits or reads its prompt has no run yet; it may have one soon.
    "no-run": MoveAction.repeat,
    "in-progress": MoveAction.repeat,
    "no-room": MoveAction.chooseAnother,
    "stopped-without-room": MoveAction.goBack,
    unanswered: MoveAction.stay,
};

const ACTION_AFTER_LAST: Record<MoveStepResult, MoveAction> = {
    copied: MoveAction.goOn,
    // The run has ended by itself in the meantime.
    "no-run": MoveAction.stay,
    "in-progress": MoveAction.repeat,
    "no-room": MoveAction.chooseAnother,
    "stopped-without-room": MoveAction.goBack,
    unanswered: MoveAction.stay,
};

/** Decides what follows a step of a move. */
export function decideMoveAction(result: MoveStepResult, step: { isFinal: boolean; }): MoveAction {
    return (step.isFinal ? ACTION_AFTER_LAST : ACTION_AFTER_FIRST)[result];
}
