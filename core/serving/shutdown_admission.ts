/**
 * Decides whether an instance that is shutting down still accepts a request.
 *
 * Load pattern: callers with keep-alive connections continue to send requests to an instance that has been told to
 * stop. A request that cannot finish before the process is killed is refused at once, so that its caller can retry it
 * at another instance without the risk that it runs twice.
 *
 * @module
 */

/** Input of {@linkcode isAcceptedDuringShutdown}. */
export interface ShutdownAdmissionInput {
    /** Time until the process is killed, in milliseconds. */
    remainingMilliseconds: number;
    /** Latency objective of the route, in milliseconds. */
    objectiveMilliseconds: number;
    /** Expected tokens of the output; 0 for a request that is not a generation. */
    outputTokens: number;
}

/** Time in which a busy engine generates one token. */
const TOKEN_TIME_MILLISECONDS = 12;
/** Safety factor for outputs that are longer than estimated: estimates are accurate at the median only. */
const OUTPUT_LENGTH_MARGIN = 2;
/** Safety factor for responses that exceed their latency objective. */
const OBJECTIVE_MARGIN = 1.5;
/** Time that is reserved before the kill. */
const KILL_RESERVE_MILLISECONDS = 400;

/** Checks whether a request that starts now is expected to finish before the process is killed. */
export function isAcceptedDuringShutdown(input: ShutdownAdmissionInput): boolean {
    const { remainingMilliseconds, objectiveMilliseconds, outputTokens } = input;
    const expectedMilliseconds = objectiveMilliseconds * OBJECTIVE_MARGIN
        + outputTokens * TOKEN_TIME_MILLISECONDS * OUTPUT_LENGTH_MARGIN;
    return expectedMilliseconds + KILL_RESERVE_MILLISECONDS <= remainingMilliseconds;
}
