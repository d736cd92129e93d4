/**
 * The types that a setting can have.
 *
 * @module
 */
import { type Address, parseAddress } from "../network/mod.ts";

/** One setting: a flag, an environment variable of the same name, and a check. */
export interface Setting<Value> {
    /** What the setting is for, with its unit. */
    description: string;
    /** Text used where neither flag nor variable is given; `undefined` where one must be. */
    fallback?: string;
    /** What values are allowed, in words. */
    allowed: string;
    /** Parses a text. @throws Where the text is not allowed. */
    parse: (text: string) => Value;
}

/** Options of {@linkcode createNumberSetting}. */
export interface NumberSettingOptions {
    /** What the setting is for, with its unit. */
    description: string;
    /** Value used where none is given. */
    fallback: number;
    /** Least value. Defaults to 0. */
    min?: number;
    /** Greatest value. Defaults to 2³¹. */
    max?: number;
}

/**
 * Creates a setting that takes a whole number.
 *
 * @param options Description, fallback and bounds.
 * @returns The setting.
 */
export function createNumberSetting(options: NumberSettingOptions): Setting<number> {
    const { description, fallback, min = 0, max = 2 ** 31 } = options;
    return {
        description,
        fallback: String(fallback),
        allowed: `a whole number from ${min} to ${max}`,
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
 * Creates a setting that takes an address.
 *
 * @param description What the address is for.
 * @returns The setting, which must be given.
 */
export function createAddressSetting(description: string): Setting<Address> {
    return { description, allowed: "an address as IP:port", parse: parseAddress };
}

/**
 * Creates a setting that takes a name.
 *
 * @param description What is named.
 * @returns The setting, which must be given.
 */
export function createNameSetting(description: string): Setting<string> {
    return {
        description,
        allowed: "a name of letters, digits, '.', '_' and '-'",
        parse: text => {
            if (!/^[A-Za-z0-9][\w.-]{0,63}$/.test(text)) {
                throw new SyntaxError("not allowed");
            }
            return text;
        },
    };
}

/**
 * Creates a setting that takes one of a few words.
 *
 * @param description What is chosen.
 * @param options The words, the first of which is the fallback.
 * @returns The setting.
 */
export function createChoiceSetting<Choice extends string>(
    description: string,
    options: { choices: readonly [Choice, ...Choice[]]; },
): Setting<Choice> {
    return {
        description,
        fallback: options.choices[0],
        allowed: `one of ${options.choices.join(", ")}`,
        parse: text => {
            const choice = options.choices.find(each => each === text);
            if (choice === undefined) {
                throw new RangeError("not allowed");
            }
            return choice;
        },
    };
}
