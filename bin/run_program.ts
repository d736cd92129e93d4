/**
 * Start-up and shutdown of the agent and the gateway.
 *
 * @module
 */
import {
    readSettings,
    SETTING_EXIT_CODE,
    SettingError,
    type SettingTable,
    type SettingValues,
} from "../settings/mod.ts";
import { createLogger } from "../telemetry/mod.ts";
import { handleStopSignals } from "./stop_signals.ts";

/** Version of all programs. */
export const VERSION = "0.1.0";

/** Long-running process component that a program starts and drains. */
export interface Daemon {
    /** Opens the sockets and starts the timers. */
    start(): Promise<void>;
    /** Stops accepting requests, waits for those in progress, and closes the sockets. */
    drain(): Promise<void>;
}

/** Options of {@linkcode runProgram}. */
export interface RunProgramOptions<Table extends SettingTable> {
    /** Name of the program. */
    program: string;
    /** Description of the program in one sentence, for the help text. */
    description: string;
    /** Definitions of the program's settings. */
    table: Table;
    /** Builds the daemon from the validated settings. */
    build: (settings: SettingValues<Table>, logger: ReturnType<typeof createLogger>) => Daemon;
}

/**
 * Reads the settings, starts the daemon, and drains it on `SIGTERM` or `SIGINT`.
 *
 * @param options Name, settings and daemon of the program.
 */
export async function runProgram<Table extends SettingTable>(options: RunProgramOptions<Table>): Promise<void> {
    const { program, description, table } = options;
    try {
        const settings = readSettings(table, {
            program,
            description,
            version: VERSION,
            arguments: process.argv.slice(2),
            environment: process.env,
        });
        const format = (settings as { logFormat?: "json" | "pretty" | "hidden"; }).logFormat ?? "json";
        const logger = createLogger({ name: program, format });
        const daemon = options.build(settings, logger);
        await daemon.start();
        handleStopSignals({
            drain: () => {
                logger.logChange("stopping");
                return daemon.drain();
            },
            onRepeated: signal => logger.logChange("already stopping", { signal }),
        });
    }
    catch (error) {
        const isSettingError = error instanceof SettingError;
        process.stderr.write(`${program}: ${isSettingError ? error.message : String(error)}\n`);
        process.exit(isSettingError ? SETTING_EXIT_CODE : 1);
    }
}
