/**
 * Decides whether a stopping instance still takes a request.
 *
 * Load pattern: callers on kept connections go on sending to an instance that has been told to stop. What can't be
 * finished before the kill is refused at once, so that its caller goes to another instance while nothing has run.
 *
 * @module
 */

/** What is known when a request comes to a stopping instance. */
export interface StopQuestion {
    /** Time until the kill, in milliseconds. */
    remainingMilliseconds: number;
    /** Time in which an answer is worth most, in milliseconds. */
    objectiveMilliseconds: number;
    /** Tokens that the output is expected to have; 0 for a plain request. */
    outputTokens: number;
}

/** Time for one token on a busy engine, in milliseconds. */
const TOKEN_TIME = 12;
/** Factor for outputs that are longer than expected; estimates are right at the median only. */
const LENGTH_MARGIN = 2;
/** Factor for answers that come later than their objective. */
const OBJECTIVE_MARGIN = 1.5;
/** Time kept free before the kill, in milliseconds. */
const KILL_RESERVE = 400;

/** Tells whether a request that begins now will most likely end before the kill. */
export function isWorthStarting(question: StopQuestion): boolean {
    const { remainingMilliseconds, objectiveMilliseconds, outputTokens } = question;
    const expected = objectiveMilliseconds * OBJECTIVE_MARGIN + outputTokens * TOKEN_TIME * LENGTH_MARGIN;
    return expected + KILL_RESERVE <= remainingMilliseconds;
}
