/**
 * Measures durations without the time in which the machine gave this process no core.
 *
 * A test that runs instances, stand-ins and callers in one process measures its own wait for a core too, which is as long
 * as the machine is busy and says nothing about an instance.
 *
 * @module
 */
import { readFileSync } from "node:fs";

/** Main thread's statistics of the scheduler: nanoseconds on a core, nanoseconds ready without one, and time slices. */
const STATISTICS_PATH = `/proc/self/task/${process.pid}/schedstat`;
const NANOSECONDS_PER_MILLISECOND = 1e6;

/** Starts to measure; the returned function reads the duration so far, in milliseconds. */
export function startOwnTimer(): () => number {
    const startedAt = performance.now();
    const waited = readWaitMilliseconds();
    return () => performance.now() - startedAt - (readWaitMilliseconds() - waited);
}

/** Reads for how long the main thread has been ready without a core; 0 if the system does not count it. */
function readWaitMilliseconds(): number {
    try {
        return Number(readFileSync(STATISTICS_PATH, "utf8").split(" ")[1]) / NANOSECONDS_PER_MILLISECOND;
    }
    catch {
        // Without these statistics, the duration includes the wait.
        return 0;
    }
}
