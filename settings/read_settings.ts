/**
 * Reads a program's settings from command-line flags and environment variables.
 *
 * @module
 */
import { Command, Option } from "commander";
import type { Setting } from "./setting_types.ts";

/** Definitions of a program's settings, by setting name in camel case. */
export type SettingTable = Record<string, Setting<unknown>>;

/** Parsed values of a table of settings, by setting name. */
export type SettingValues<Table extends SettingTable> = { [Name in keyof Table]: ReturnType<Table[Name]["parse"]>; };

/** Options of {@linkcode readSettings}. */
export interface ReadSettingsOptions {
    /** Name of the program. */
    program: string;
    /** Description of the program in one sentence, for the help text. */
    description: string;
    /** Version of the program. */
    version: string;
    /** Command-line arguments, without the interpreter and the script. */
    arguments: readonly string[];
    /** Environment variables. */
    environment: Readonly<Record<string, string | undefined>>;
}

/** Thrown if a setting is missing or invalid. */
export class SettingError extends Error {
    override name = "SettingError";
}

/** Exit code of a program whose settings are missing or invalid. */
export const SETTING_EXIT_CODE = 2;

/**
 * Formats the command-line flag of a setting.
 *
 * @param name Name of the setting in camel case.
 * @returns The flag.
 *
 * @example
 * ```ts
 * formatFlag("peerAddress"); // "--peer-address"
 * ```
 */
export function formatFlag(name: string): string {
    return `--${name.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
}

/**
 * Formats the name of the environment variable of a setting.
 *
 * @param name Name of the setting in camel case.
 * @returns The name of the variable.
 */
export function formatVariable(name: string): string {
    return `KNAPWEED_${name.replaceAll(/[A-Z]/g, letter => `_${letter}`).toUpperCase()}`;
}

/**
 * Reads and validates settings. A flag takes precedence over its environment variable.
 *
 * @param table Definitions of the program's settings.
 * @param options Description of the program, and the sources of the values.
 * @returns The validated values.
 * @throws {SettingError} If a value is missing or invalid; its message is one line.
 */
export function readSettings<Table extends SettingTable>(
    table: Table,
    options: ReadSettingsOptions,
): SettingValues<Table> {
    const command = new Command(options.program)
        .description(options.description)
        .version(options.version)
        .allowExcessArguments(false);
    command.exitOverride(error => {
        if (error.exitCode !== 0) {
            throw new SettingError(error.message.replace(/^error: /, ""));
        }
        process.exit(0);
    });
    command.configureOutput({ writeErr: () => undefined });
    for (const [name, setting] of Object.entries(table)) {
        const suffix = setting.fallback === undefined ? "required" : `default: ${setting.fallback}`;
        const text = `${setting.description} (${setting.allowedValues}; ${suffix}) [${formatVariable(name)}]`;
        command.addOption(new Option(`${formatFlag(name)} <value>`, text));
    }
    command.parse([...options.arguments], { from: "user" });
    const flags = command.opts<Record<string, string>>();
    const values = Object.entries(table).map(([name, setting]) => {
        const suppliedText = flags[name] ?? options.environment[formatVariable(name)];
        return [name, parseSetting(name, { setting, suppliedText })];
    });
    return Object.fromEntries(values) as SettingValues<Table>;
}

function parseSetting(name: string, input: { setting: Setting<unknown>; suppliedText: string | undefined; }): unknown {
    const { setting } = input;
    const text = input.suppliedText ?? setting.fallback;
    const label = `${formatFlag(name)} (${formatVariable(name)})`;
    if (text === undefined) {
        throw new SettingError(`Cannot start: setting ${label} is missing, expected ${setting.allowedValues}.`);
    }
    try {
        return setting.parse(text);
    }
    catch {
        throw new SettingError(`Cannot start: setting ${label} received "${text}", expected ${setting.allowedValues}.`);
    }
}
