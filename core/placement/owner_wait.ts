/**
 * The time for which the owner of a target may queue a permit request.
 *
 * @module
 */

/** Waiting time allowed to the first owner, in milliseconds. */
const FIRST_WAIT_MILLISECONDS = 100;
/** Maximum waiting time allowed to an owner, in milliseconds. */
const MAX_WAIT_MILLISECONDS = 1000;

/**
 * Computes the waiting time allowed to the next owner, with exponential growth.
 *
 * The first waits are short, so that a poor choice of target costs little time. Later waits are longer, so that few
 * messages are exchanged when all targets are busy.
 *
 * @param attempts Number of owners that were asked before.
 * @returns The waiting time, in milliseconds.
 *
 * @example
 * ```ts
 * computeOwnerWait(0); // 100
 * ```
 */
export function computeOwnerWait(attempts: number): number {
    return Math.min(MAX_WAIT_MILLISECONDS, FIRST_WAIT_MILLISECONDS * 2 ** Math.min(attempts, 10));
}
