/**
 * Repeats a call until its result is final.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import { waitMilliseconds } from "../network/mod.ts";

/** Options of {@linkcode runUntilFinal}. */
export interface RunUntilFinalOptions<Result> {
    /** Source of time. */
    clock: Clock;
    /** Gets the time for which a call with this result is repeated, from the first call on, in milliseconds. */
    getRepeatMilliseconds: (result: Result) => number;
}

/** Pause between two calls, in milliseconds. */
const PAUSE_MILLISECONDS = 50;

/** Repeats a call for as long as its latest result demands, and returns that result. */
export async function runUntilFinal<Result>(
    call: () => Promise<Result>,
    { clock, getRepeatMilliseconds }: RunUntilFinalOptions<Result>,
): Promise<Result> {
    const startedAt = clock.getMonotonic();
    for (;;) {
        const result = await call();
        if (clock.getMonotonic() - startedAt >= getRepeatMilliseconds(result)) {
            return result;
        }
        await waitMilliseconds(PAUSE_MILLISECONDS);
    }
}
