/**
 * Plans how a running generation leaves an engine that goes away.
 *
 * Load pattern: several engines get notice at once, each with a handful of long generations that belong to different
 * instances. All copies of an engine share one link, so a last copy that queues behind others' first copies stalls its
 * caller for longer than the pause that still counts as timely. Every instance sees the notice at nearly the same time:
 * first copies go at once, and last copies, which are small, wait until the first ones are through.
 *
 * @module
 */

/** What is known when a move is planned. */
export interface MoveQuestion {
    /** Time of the notice, in milliseconds. */
    noticedAt: number;
    /** Time until the engine leaves as it tells itself, in milliseconds; `undefined` where it does not. */
    leavesInMilliseconds: number | undefined;
}

/** When the steps of a move are due, on the monotonic clock in milliseconds. */
export interface MovePlan {
    /** Earliest time of the last copy. */
    finalAt: number;
    /** Time after which no step is begun. */
    giveUpAt: number;
}

/** Notice assumed where the engine gives none, in milliseconds: targets serve two seconds after they say they leave. */
const DEFAULT_NOTICE = 1500;
/** Share of the notice after which the first copies of an engine's runs are expected to be through. */
const FINAL_SHARE = 0.55;
/** Time that a last copy and the resumed request need before the engine goes, in milliseconds. */
const FINAL_RESERVE = 60;
/** Longest time before the last copy, in milliseconds; later copies only grow. */
const MAX_FINAL_DELAY = 1500;

/** Plans the steps of a move. */
export function planMove(question: MoveQuestion): MovePlan {
    const notice = question.leavesInMilliseconds ?? DEFAULT_NOTICE;
    const { noticedAt } = question;
    return {
        finalAt: noticedAt + Math.min(MAX_FINAL_DELAY, notice * FINAL_SHARE),
        giveUpAt: noticedAt + Math.max(0, notice - FINAL_RESERVE),
    };
}

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
