/**
 * What every program does at its start and end.
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

/** Version of the programs. */
export const VERSION = "0.1.0";

/** A part of the system that runs in a process. */
export interface RunningProgram {
    /** Opens sockets and starts timers. */
    start(): Promise<void>;
    /** Stops without cutting a request, and closes. */
    drain(): Promise<void>;
}

/** Options of {@linkcode runProgram}. */
export interface RunProgramOptions<Table extends SettingTable> {
    /** Name of the program. */
    program: string;
    /** What the program does, in a sentence. */
    description: string;
    /** Settings of the program. */
    table: Table;
    /** Builds the program from its checked settings. */
    build: (settings: SettingValues<Table>, logger: ReturnType<typeof createLogger>) => RunningProgram;
}

/**
 * Reads the settings, runs the program, and drains it at `SIGTERM` or `SIGINT`.
 *
 * @param options The program.
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
        const running = options.build(settings, logger);
        await running.start();
        const stop = (): void => {
            logger.logChange("stopping");
            void running.drain().then(() => process.exit(0));
        };
        process.once("SIGTERM", stop);
        process.once("SIGINT", stop);
    }
    catch (error) {
        const isSetting = error instanceof SettingError;
        process.stderr.write(`${program}: ${isSetting ? error.message : String(error)}\n`);
        process.exit(isSetting ? SETTING_EXIT_CODE : 1);
    }
}
