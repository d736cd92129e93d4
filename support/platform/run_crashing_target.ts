/**
 * Runs a {@linkcode CrashingTarget}, which the first argument describes as JSON.
 *
 * @module
 */
import { writeSync } from "node:fs";
import { CrashingTarget, type CrashingTargetOptions } from "./crashing_target.ts";

const options = JSON.parse(process.argv[2] ?? "") as CrashingTargetOptions;
// A line is written at once, since the process may end right after it.
await new CrashingTarget(options, line => void writeSync(1, `${line}\n`)).open();
