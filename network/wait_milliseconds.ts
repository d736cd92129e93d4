/**
 * Delays asynchronous code.
 *
 * @module
 */

/**
 * Resolves after a delay.
 *
 * @param milliseconds Length of the delay; with 0 the promise is resolved already and no timer is started.
 */
export function waitMilliseconds(milliseconds: number): Promise<void> {
    return milliseconds === 0 ? Promise.resolve() : new Promise(resolve => setTimeout(resolve, milliseconds));
}
