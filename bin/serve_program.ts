/**
 * Command line and signal handling of `knapweed-serve`, the server that relays callers' requests to targets.
 *
 * @module
 */
import { Command } from "commander";
import { readFileSync } from "node:fs";
import { decodeSettingsFile, findSettingsPath, InstanceSettingsError } from "../platform/mod.ts";
import { ServingProcess, type ServingProcessOptions } from "../serving/mod.ts";
import { SETTING_EXIT_CODE } from "../settings/mod.ts";
import { DecisionLog, systemClock } from "../telemetry/mod.ts";
import { VERSION } from "./run_program.ts";
import { handleStopSignals } from "./stop_signals.ts";

/** Interval at which the settings file is polled, since it may change without a signal. */
const RELOAD_INTERVAL_MILLISECONDS = 5000;

/** Parts of the program that tests replace. */
type ServeProgramOptions = Pick<ServingProcessOptions, "openTargetConnection" | "isFleetAdmissionEnabled">;

/** Flags of the command line. */
interface ServeProgramFlags {
    settings: string;
    check?: boolean;
    fleetAdmission?: boolean;
}

/** Parses the command line and runs the program. */
export async function runServeProgram(options: ServeProgramOptions = {}): Promise<void> {
    const program = new Command("knapweed-serve")
        .description("Serves callers in front of the platform's targets.")
        .version(VERSION)
        .option("--settings <path>", "path of the settings file", findSettingsPath(process.env))
        .option("--fleet-admission", "admit requests to paced services by what the whole fleet serves")
        .option("--check", "check the settings file and exit");
    program.parse();
    try {
        const { fleetAdmission, ...flags } = program.opts<ServeProgramFlags>();
        await runServing({ ...options, ...flags, isFleetAdmissionEnabled: fleetAdmission });
    }
    catch (error) {
        process.stderr.write(`knapweed-serve: ${error instanceof Error ? error.message : String(error)}\n`);
        process.exit(error instanceof InstanceSettingsError ? SETTING_EXIT_CODE : 1);
    }
}

async function runServing(
    { settings: path, check, ...options }: ServeProgramOptions & { settings: string; check?: boolean; },
): Promise<void> {
    let text = readFileSync(path, "utf8");
    const settings = decodeSettingsFile(text);
    if (check === true) {
        return;
    }
    const log = new DecisionLog({ name: "knapweed-serve", clock: systemClock });
    const serving = new ServingProcess({ settings, log, ...options });
    handleStopSignals({
        drain: () => serving.drain(),
        onRepeated: signal => log.record("process", "already stopping", { signal }),
    });
    process.on("uncaughtExceptionMonitor", error => {
        log.record("process", "uncaught exception", { error: String(error.stack) });
    });
    process.on("unhandledRejection", error => log.record("process", "unhandled rejection", { error: String(error) }));
    const reload = (cause: string): void => {
        text = reloadSettings({ path, text, cause, serving, log });
    };
    process.on("SIGHUP", () => reload("signal"));
    setInterval(() => reload("poll"), RELOAD_INTERVAL_MILLISECONDS);
    await serving.start();
}

/**
 * Reads the settings file again and applies it if it has changed. If the file is unusable, the settings stay as they
 * are.
 *
 * @returns The text of the settings that are now in force.
 */
function reloadSettings(
    context: { path: string; text: string; cause: string; serving: ServingProcess; log: DecisionLog; },
): string {
    const { path, text, cause, serving, log } = context;
    try {
        const next = readFileSync(path, "utf8");
        if (next !== text) {
            serving.applySettings(decodeSettingsFile(next));
            log.record("process", "settings reloaded", { cause });
        }
        else if (cause === "signal") {
            log.record("process", "settings unchanged", { cause });
        }
        return next;
    }
    catch (error) {
        log.record("process", "settings unusable", { cause, error: String(error) });
        return text;
    }
}
