/**
 * Identifiers of server-sent events, with which a caller can resume its stream through any gateway.
 *
 * @module
 */

/** Identifies one token of one generation. */
export interface EventPosition {
    /** Name of the target that runs the generation. */
    target: string;
    /** Identifier of the generation. */
    generation: string;
    /** Index of the token, from 0. */
    index: number;
}

const SEPARATOR = "~";

/**
 * Formats `position` as an event id.
 *
 * @param position Token to identify.
 * @returns The event id.
 *
 * @example
 * ```ts
 * formatEventId({ target: "t", generation: "g", index: 3 }); // "t~g~3"
 * ```
 */
export function formatEventId(position: EventPosition): string {
    return [encodeURIComponent(position.target), encodeURIComponent(position.generation), position.index].join(
        SEPARATOR,
    );
}

/**
 * Parses an event id.
 *
 * @param text Event id to parse.
 * @returns The position, or `undefined` if `text` is not a valid event id of this system.
 */
export function parseEventId(text: string): EventPosition | undefined {
    const match = /^([\w.%-]+)~([\w.%-]+)~(\d{1,9})$/.exec(text);
    if (!match) {
        return undefined;
    }
    try {
        const [, target = "", generation = "", index = ""] = match;
        return {
            target: decodeURIComponent(target),
            generation: decodeURIComponent(generation),
            index: Number(index),
        };
    }
    catch {
        return undefined;
    }
}
