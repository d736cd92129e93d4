/**
 * Decides what to do about a stalled stream, from which no event has arrived for longer than expected.
 *
 * Load pattern: an engine with a long queue responds late, and an engine that has crashed never responds. If a stream
 * at a busy engine is abandoned, its request has to queue again at another engine and its prompt is prefilled twice.
 * For this reason the engine's report is fetched before this decision.
 *
 * @module
 */

/** State of a stalled stream and of its engine. */
export interface StalledStreamState {
    /** True if the engine has sent its report on a new connection. */
    hasEngineReport: boolean;
    /** Requests at the engine that have generated no event yet; the stalled stream's request may be one of them. */
    waitingRequests: number;
    /** Events that the engine has generated for the request; `undefined` if the engine does not list the request. */
    engineEvents: number | undefined;
    /** Events that have been received. */
    arrivedEvents: number;
    /** True if the stream may be retried or resumed at another engine. */
    mayRetry: boolean;
    /** True if the running generation can be moved to another engine. */
    canMove: boolean;
}

/** What to do about a stalled stream. */
export const StallAction = {
    /**
     * Keeps waiting: the engine is alive and has sent all events that it has generated, or no other action is possible.
     */
    keepWaiting: "wait",
    /** Abandons the attempt and continues at another engine. */
    abandonAttempt: "leave",
    /** Moves the running generation to another engine: the engine is alive, but the connection to it is lost. */
    moveGeneration: "move",
} as const;

/** One of the values of {@linkcode StallAction}. */
export type StallAction = (typeof StallAction)[keyof typeof StallAction];

/**
 * Number of generated but not received events from which the connection counts as lost. The engine generates about as
 * many within the age of its report.
 */
const LOST_CONNECTION_EVENTS = 8;

/** Decides what to do about a stalled stream. */
export function decideStallAction(state: StalledStreamState): StallAction {
    const {
        hasEngineReport,
        waitingRequests,
        engineEvents,
        arrivedEvents,
        mayRetry,
        canMove,
    } = state;
    const isConnectionLost = engineEvents !== undefined && engineEvents >= arrivedEvents + LOST_CONNECTION_EVENTS;
    const isRequestUnknown = engineEvents === undefined && waitingRequests === 0;
    if (!hasEngineReport || isRequestUnknown || isConnectionLost) {
        if (mayRetry) {
            return StallAction.abandonAttempt;
        }
        return isConnectionLost && canMove ? StallAction.moveGeneration : StallAction.keepWaiting;
    }
    return StallAction.keepWaiting;
}
