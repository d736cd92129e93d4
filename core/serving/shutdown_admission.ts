/**
 * Decides whether an instance that is shutting down still accepts a request.
 *
 * Load pattern: callers with keep-alive connections continue to send requests to an instance that has been told to
 * stop. A request that cannot finish before the process is killed is refused at once, so that its caller can retry it
 * at another instance without the risk that it runs twice.
 *
 * @module
 */

/** State of an instance that is shutting down. */
export interface ShutdownState {
    /** Time until the process is killed, in milliseconds. */
    remainingMilliseconds: number;
    /** True while the load balancer may still send new callers to the instance. */
    isInRotation: boolean;
}

/** Input of {@linkcode isAcceptedDuringShutdown}. */
export interface ShutdownAdmissionInput extends ShutdownState {
    /** Time until the deadline of the request, in milliseconds. */
    deadlineMilliseconds: number;
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

/**
 * Checks whether a request that starts now finishes before the process is killed.
 *
 * As long as the load balancer sends new callers, it is enough if the request is expected to. Later, requests come on
 * open connections only, and their callers are served at once elsewhere; then the deadline decides, so that none is cut
 * off because it takes longer than expected.
 */
export function isAcceptedDuringShutdown(input: ShutdownAdmissionInput): boolean {
    const { remainingMilliseconds, isInRotation, deadlineMilliseconds, objectiveMilliseconds, outputTokens } = input;
    if (deadlineMilliseconds + KILL_RESERVE_MILLISECONDS <= remainingMilliseconds) {
        return true;
    }
    if (!isInRotation) {
        return false;
    }
    const expectedMilliseconds = objectiveMilliseconds * OBJECTIVE_MARGIN
        + outputTokens * TOKEN_TIME_MILLISECONDS * OUTPUT_LENGTH_MARGIN;
    return expectedMilliseconds + KILL_RESERVE_MILLISECONDS <= remainingMilliseconds;
}
