/**
 * Runs each {@linkcode EndingTarget} of a list, which the first argument describes as JSON.
 *
 * @module
 */
import { writeSync } from "node:fs";
import { EndingTarget, type EndingTargetOptions } from "./ending_target.ts";

for (const options of JSON.parse(process.argv[2] ?? "") as EndingTargetOptions[]) {
    // A line is written at once, since the process may be killed or stopped right after it.
    await new EndingTarget(options, line => void writeSync(1, `${options.id} ${line}\n`)).open();
}
