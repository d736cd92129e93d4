/**
 * Program that starts a call that gets no complete response, collects garbage several times, and prints how long the call has taken
 * in milliseconds, or `never`. Started with `--expose-gc --always-turbofan`: optimized code keeps no variables that it
 * does not use any more, as in a process that has served many requests.
 *
 *     node --expose-gc --always-turbofan run_time_limit_call.js NAME LIMIT_MILLISECONDS
 *
 * @module
 */
import { waitMilliseconds } from "../../network/mod.ts";
import { SILENT_CALLS } from "./time_limit_calls.ts";

/** Number of garbage collections within the time limit. */
const COLLECTIONS = 4;

const [name = "", limit = ""] = process.argv.slice(2);
const limitMilliseconds = Number(limit);
const startCall = await SILENT_CALLS[name]?.();
if (startCall === undefined || globalThis.gc === undefined) {
    throw new Error(`Cannot run the call "${name}": it is unknown, or --expose-gc is missing.`);
}
const startedAt = performance.now();
let result = "never";
const recordEnd = (): void => {
    result = String(Math.round(performance.now() - startedAt));
};
const ended = startCall(limitMilliseconds).then(recordEnd, recordEnd);
for (let count = 0; count < COLLECTIONS; count += 1) {
    await waitMilliseconds(limitMilliseconds / (COLLECTIONS + 1));
    globalThis.gc();
}
await Promise.race([ended, waitMilliseconds(2 * limitMilliseconds)]);
process.stdout.write(`${result}\n`, () => process.exit());
