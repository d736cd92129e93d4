/**
 * Waits for some time.
 *
 * @module
 */

/**
 * Waits for some time.
 *
 * @param milliseconds Time to wait; 0 goes on at once.
 */
export function waitMilliseconds(milliseconds: number): Promise<void> {
    return milliseconds === 0 ? Promise.resolve() : new Promise(resolve => setTimeout(resolve, milliseconds));
}
