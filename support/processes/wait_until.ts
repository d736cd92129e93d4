/**
 * Waits for a condition.
 *
 * @module
 */
import { waitMilliseconds } from "../../network/mod.ts";

/** Options of {@linkcode waitUntil}. */
export interface WaitUntilOptions {
    /** Longest wait, in milliseconds. Defaults to 20 000. */
    timeoutMilliseconds?: number;
    /** What is waited for, for the error. Defaults to "the condition". */
    label?: string;
}

const PAUSE = 50;

/**
 * Waits until `isMet` gives true.
 *
 * @param isMet Condition; where it rejects, it counts as not met.
 * @param options Bounds of the wait.
 * @throws {Error} Where the condition is not met in time.
 */
export async function waitUntil(
    isMet: () => Promise<boolean> | boolean,
    options: WaitUntilOptions = {},
): Promise<void> {
    const { timeoutMilliseconds = 20_000, label = "the condition" } = options;
    const deadline = performance.now() + timeoutMilliseconds;
    while (performance.now() < deadline) {
        if (await Promise.resolve().then(isMet).catch(() => false)) {
            return;
        }
        await waitMilliseconds(PAUSE);
    }
    throw new Error(`Cannot go on: ${label} did not come about in ${timeoutMilliseconds} ms.`);
}
