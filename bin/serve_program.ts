/**
 * The command line and the signals of the program that serves callers on the platform.
 *
 * @module
 */
import { Command } from "commander";
import { readFileSync } from "node:fs";
import { decodeSettingsFile, findSettingsPath, InstanceSettingsError } from "../platform/mod.ts";
import { ServingProcess } from "../serving/mod.ts";
import { SETTING_EXIT_CODE } from "../settings/mod.ts";
import { DecisionLog, systemClock } from "../telemetry/mod.ts";
import { VERSION } from "./run_program.ts";

/** Time between two looks at the settings file, in milliseconds; it may change without a signal. */
const RELOAD_INTERVAL = 5000;

/** Runs the program as its command line says. */
export async function runServeProgram(): Promise<void> {
    const program = new Command("knapweed-serve")
        .description("Serves callers in front of the platform's targets.")
        .version(VERSION)
        .option("--settings <path>", "path of the settings file", findSettingsPath(process.env))
        .option("--check", "check the settings file and exit");
    program.parse();
    try {
        await runServing(program.opts<{ settings: string; check?: boolean; }>());
    }
    catch (error) {
        process.stderr.write(`knapweed-serve: ${error instanceof Error ? error.message : String(error)}\n`);
        process.exit(error instanceof InstanceSettingsError ? SETTING_EXIT_CODE : 1);
    }
}

async function runServing({ settings: path, check }: { settings: string; check?: boolean; }): Promise<void> {
    let text = readFileSync(path, "utf8");
    const settings = decodeSettingsFile(text);
    if (check === true) {
        return;
    }
    const log = new DecisionLog({ name: "knapweed-serve", clock: systemClock });
    const serving = new ServingProcess({ settings, log });
    const stop = (): void => {
        void serving.drain().then(() => process.exit(0));
    };
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    process.on("uncaughtExceptionMonitor", error => {
        log.record("process", "uncaught exception", { error: String(error.stack) });
    });
    process.on("unhandledRejection", error => log.record("process", "unhandled rejection", { error: String(error) }));
    const reload = (cause: string): void => {
        text = reloadSettings({ path, text, cause, serving, log });
    };
    process.on("SIGHUP", () => reload("signal"));
    setInterval(() => reload("poll"), RELOAD_INTERVAL);
    await serving.start();
}

/** Reads the settings file again and applies what changed; a file that can't be used changes nothing. */
function reloadSettings(
    state: { path: string; text: string; cause: string; serving: ServingProcess; log: DecisionLog; },
): string {
    const { path, text, cause, serving, log } = state;
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
