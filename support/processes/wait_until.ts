/**
 * Polls for a condition with a timeout.
 *
 * @module
 */
import { waitMilliseconds } from "../../network/mod.ts";

/** Options of {@linkcode waitUntil}. */
export interface WaitUntilOptions {
    /** Longest wait, in milliseconds. Defaults to 20,000. */
    timeoutMilliseconds?: number;
    /** Name of the condition in the error message. Defaults to "the condition". */
    label?: string;
}

const POLL_INTERVAL_MILLISECONDS = 50;

/**
 * Waits until `isMet` returns true.
 *
 * @param isMet Checks the condition; a rejection counts as not met.
 * @param options Timeout, and the name of the condition.
 * @throws {Error} If the condition is not met within the timeout.
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
        await waitMilliseconds(POLL_INTERVAL_MILLISECONDS);
    }
    throw new Error(`Cannot continue: the wait for "${label}" timed out after ${timeoutMilliseconds} ms.`);
}
