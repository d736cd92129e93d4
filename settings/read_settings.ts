/**
 * Reads a program's settings from its flags and environment.
 *
 * @module
 */
import { Command, Option } from "commander";
import type { Setting } from "./setting_types.ts";

/** Settings of a program, by name in camel case. */
export type SettingTable = Record<string, Setting<unknown>>;

/** The values that a table of settings gives. */
export type SettingValues<Table extends SettingTable> = { [Name in keyof Table]: ReturnType<Table[Name]["parse"]>; };

/** Options of {@linkcode readSettings}. */
export interface ReadSettingsOptions {
    /** Name of the program. */
    program: string;
    /** What the program does, in a sentence. */
    description: string;
    /** Version of the program. */
    version: string;
    /** Flags as given on the command line. */
    arguments: readonly string[];
    /** Environment variables. */
    environment: Readonly<Record<string, string | undefined>>;
}

/** Thrown where a setting is bad or missing. */
export class SettingError extends Error {
    override name = "SettingError";
}

/** Exit code of a program whose settings are bad. */
export const SETTING_EXIT_CODE = 2;

/**
 * Names the flag of a setting.
 *
 * @param name Name in camel case.
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
 * Names the environment variable of a setting.
 *
 * @param name Name in camel case.
 * @returns The variable.
 */
export function formatVariable(name: string): string {
    return `KNAPWEED_${name.replaceAll(/[A-Z]/g, letter => `_${letter}`).toUpperCase()}`;
}

/**
 * Reads and checks settings; a flag goes before its environment variable.
 *
 * @param table Settings of the program.
 * @param options Where the values come from.
 * @returns The checked values.
 * @throws {SettingError} Where a value is missing or not allowed; its message is one line.
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
        const text = `${setting.description} (${setting.allowed}; ${suffix}) [${formatVariable(name)}]`;
        command.addOption(new Option(`${formatFlag(name)} <value>`, text));
    }
    command.parse([...options.arguments], { from: "user" });
    const flags = command.opts<Record<string, string>>();
    const values = Object.entries(table).map(([name, setting]) => {
        const given = flags[name] ?? options.environment[formatVariable(name)];
        return [name, parseSetting(name, { setting, given })];
    });
    return Object.fromEntries(values) as SettingValues<Table>;
}

function parseSetting(name: string, input: { setting: Setting<unknown>; given: string | undefined; }): unknown {
    const { setting } = input;
    const text = input.given ?? setting.fallback;
    const place = `${formatFlag(name)} (${formatVariable(name)})`;
    if (text === undefined) {
        throw new SettingError(`Cannot start: setting ${place} is missing, expected ${setting.allowed}.`);
    }
    try {
        return setting.parse(text);
    }
    catch {
        throw new SettingError(`Cannot start: setting ${place} received "${text}", expected ${setting.allowed}.`);
    }
}
