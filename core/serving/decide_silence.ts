/**
 * Decides what follows when a stream has been silent for longer than it should.
 *
 * Load pattern: engines whose queues are long answer late, and one that is gone never does. A stream that is given up at a
 * busy engine waits again elsewhere, and its prompt is read twice; so the engine is asked first.
 *
 * @module
 */

/** What is known of a silent stream. */
export interface SilenceQuestion {
    /** True where the engine has answered a question on a new connection. */
    isEngineHeard: boolean;
    /** Requests that the engine holds without an event yet; the one in question may be among them. */
    waitingRequests: number;
    /** Events that the engine has made for the request; `undefined` where it does not list the request. */
    engineEvents: number | undefined;
    /** Events that have arrived. */
    arrivedEvents: number;
    /** True where the stream may start or go on at another engine. */
    mayRepeat: boolean;
    /** True where its run can be moved to another engine. */
    canMove: boolean;
}

/** What to do about a silent stream. */
export const SilenceAction = {
    /** Waits on: the engine lives and has sent all that it made. */
    wait: "wait",
    /** Gives the attempt up and goes on elsewhere. */
    leave: "leave",
    /** Moves the run, whose engine lives but whose connection does not. */
    move: "move",
} as const;

/** One of the values of {@linkcode SilenceAction}. */
export type SilenceAction = (typeof SilenceAction)[keyof typeof SilenceAction];

/** Events by which an engine must be ahead for the connection to count as lost: about the age of its report. */
const LOST_EVENTS = 8;

/** Decides what to do about a silent stream. */
export function decideSilence(question: SilenceQuestion): SilenceAction {
    const { isEngineHeard, waitingRequests, engineEvents, arrivedEvents, mayRepeat, canMove } = question;
    const isConnectionLost = engineEvents !== undefined && engineEvents >= arrivedEvents + LOST_EVENTS;
    const isUnknownThere = engineEvents === undefined && waitingRequests === 0;
    if (!isEngineHeard || isUnknownThere || isConnectionLost) {
        if (mayRepeat) {
            return SilenceAction.leave;
        }
        return isConnectionLost && canMove ? SilenceAction.move : SilenceAction.wait;
    }
    return SilenceAction.wait;
}
