/**
 * Clock that reads the system time.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";

/** Clock of the operating system; both readings are in milliseconds. */
export const systemClock: Clock = {
    getMonotonic: () => performance.now(),
    getWallTime: () => Date.now(),
};
