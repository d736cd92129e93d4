/**
 * The machine's clock.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";

/** Reads the machine's clock. */
export const systemClock: Clock = {
    getMonotonic: () => performance.now(),
    getWallTime: () => Date.now(),
};
