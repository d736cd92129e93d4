/**
 * The segments of one shard's log, as far as they are known.
 *
 * @module
 */
import { parseBySchema, type PlatformObject } from "../platform/mod.ts";
import { type ClaimSegment, ClaimSegmentSchema } from "./claim_types.ts";

interface KnownSegment {
    sequence: number;
    at: number;
}

const SEQUENCE_DIGITS = 12;

/** Knows which segments exist, and the number that the next one takes. */
export class SegmentTrail {
    readonly #prefix: string;
    #segments: KnownSegment[] = [];
    #nextSequence = 0;

    /** @param shard Name of the shard. */
    constructor(shard: string) {
        this.#prefix = `claims/${shard}/`;
    }

    /** Prefix of the keys of all segments. */
    get prefix(): string {
        return this.#prefix;
    }

    /** Number that the next segment takes. */
    get nextSequence(): number {
        return this.#nextSequence;
    }

    /** Key of the last known segment; empty where there is none. */
    get lastKey(): string {
        return this.#nextSequence === 0 ? "" : this.formatKey(this.#nextSequence - 1);
    }

    /** Formats the key of the segment with `sequence`. */
    formatKey(sequence: number): string {
        return this.#prefix + String(sequence).padStart(SEQUENCE_DIGITS, "0");
    }

    /** Takes an object of the log. @returns Its segment, or `undefined` where it is unreadable. */
    addObject(object: PlatformObject): ClaimSegment | undefined {
        const segment = parseSegment(object.value);
        this.addSegment(Number(object.key.slice(this.#prefix.length)), segment?.at ?? 0);
        return segment;
    }

    /** Takes a segment that is known to exist, and the time of its making. */
    addSegment(sequence: number, at: number): void {
        this.#segments.push({ sequence, at });
        this.#nextSequence = Math.max(this.#nextSequence, sequence + 1);
    }

    /**
     * Takes the oldest segment where it was made before `horizon`; the newest one always stays, to show the head.
     *
     * @returns Key of the segment, or `undefined` where none is old enough.
     */
    takeOlder(horizon: number): string | undefined {
        const [oldest] = this.#segments;
        if (oldest === undefined || oldest.at >= horizon || this.#segments.length < 2) {
            return undefined;
        }
        this.#segments.shift();
        return this.formatKey(oldest.sequence);
    }
}

/**
 * Parses a segment.
 *
 * @param text JSON text of the segment.
 * @returns The segment, or `undefined` where `text` is none.
 */
export function parseSegment(text: string): ClaimSegment | undefined {
    return parseBySchema(ClaimSegmentSchema, text);
}
