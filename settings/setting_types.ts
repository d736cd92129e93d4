/**
 * Types of settings: numbers, addresses, names and choices.
 *
 * @module
 */
import { type Address, parseAddress } from "../network/mod.ts";

/** Definition of one setting, which is read from a flag or an environment variable and then validated. */
export interface Setting<Value> {
    /** Purpose of the setting, with its unit. */
    description: string;
    /** Text used if neither the flag nor the variable is set; `undefined` if the setting is required. */
    fallback?: string;
    /** Description of the allowed values, for the help text and error messages. */
    allowedValues: string;
    /** Parses a text. @throws If the text is not an allowed value. */
    parse: (text: string) => Value;
}

/** Options of {@linkcode createNumberSetting}. */
export interface NumberSettingOptions {
    /** Purpose of the setting, with its unit. */
    description: string;
    /** Value used if none is given. */
    fallback: number;
    /** Minimum allowed value. Defaults to 0. */
    min?: number;
    /** Maximum allowed value. Defaults to 2³¹. */
    max?: number;
}

/**
 * Creates a setting whose value is a non-negative integer.
 *
 * @param options Description, default value and limits.
 * @returns The setting.
 */
export function createNumberSetting(options: NumberSettingOptions): Setting<number> {
    const { description, fallback, min = 0, max = 2 ** 31 } = options;
    return {
        description,
        fallback: String(fallback),
        allowedValues: `a whole number from ${min} to ${max}`,
        parse: text => {
            const value = Number(text);
            if (!/^\d+$/.test(text) || value < min || value > max) {
                throw new RangeError("not allowed");
            }
            return value;
        },
    };
}

/**
 * Creates a setting whose value is an address.
 *
 * @param description What the address is for.
 * @returns The setting, which is required.
 */
export function createAddressSetting(description: string): Setting<Address> {
    return { description, allowedValues: "an address as IP:port", parse: parseAddress };
}

/**
 * Creates a setting whose value is a name.
 *
 * @param description What the name identifies.
 * @returns The setting, which is required.
 */
export function createNameSetting(description: string): Setting<string> {
    return {
        description,
        allowedValues: "a name of letters, digits, '.', '_' and '-'",
        parse: text => {
            if (!/^[A-Za-z0-9][\w.-]{0,63}$/.test(text)) {
                throw new SyntaxError("not allowed");
            }
            return text;
        },
    };
}

/**
 * Creates a setting whose value is one of a fixed set of choices.
 *
 * @param description What the choice determines.
 * @param options The choices, the first of which is the default.
 * @returns The setting.
 */
export function createChoiceSetting<Choice extends string>(
    description: string,
    options: { choices: readonly [Choice, ...Choice[]]; },
): Setting<Choice> {
    return {
        description,
        fallback: options.choices[0],
        allowedValues: `one of ${options.choices.join(", ")}`,
        parse: text => {
            const choice = options.choices.find(candidate => candidate === text);
            if (choice === undefined) {
                throw new RangeError("not allowed");
            }
            return choice;
        },
    };
}
