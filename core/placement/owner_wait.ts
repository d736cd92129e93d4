/**
 * How long an owner may keep a request for a permit waiting.
 *
 * @module
 */

/** Wait that the first owner is allowed, in milliseconds. */
const FIRST_WAIT = 100;
/** Longest wait that an owner is allowed, in milliseconds. */
const MAX_WAIT = 1000;

/**
 * Computes the wait that the next owner is allowed.
 *
 * The first waits are short, so that a wrong choice costs little; later ones grow, so that a crowded fleet exchanges
 * few messages.
 *
 * @param attempts Owners asked before.
 * @returns A time in milliseconds.
 *
 * @example
 * ```ts
 * computeOwnerWait(0); // 100
 * ```
 */
export function computeOwnerWait(attempts: number): number {
    return Math.min(MAX_WAIT, FIRST_WAIT * 2 ** Math.min(attempts, 10));
}
