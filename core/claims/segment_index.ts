/**
 * Index of the known segments of one shard's log.
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

/** Tracks the existing segments and the next sequence number. */
export class SegmentIndex {
    readonly #prefix: string;
    #segments: KnownSegment[] = [];
    #nextSequence = 0;

    /** @param shard Name of the shard. */
    constructor(shard: string) {
        this.#prefix = `claims/${shard}/`;
    }

    /** Common prefix of the keys of all segments in the store. */
    get prefix(): string {
        return this.#prefix;
    }

    /** Sequence number of the next segment. */
    get nextSequence(): number {
        return this.#nextSequence;
    }

    /** Key of the last known segment; empty if no segment is known. */
    get lastKey(): string {
        return this.#nextSequence === 0 ? "" : this.formatKey(this.#nextSequence - 1);
    }

    /** Formats the key of the segment with the given sequence number. */
    formatKey(sequence: number): string {
        return this.#prefix + String(sequence).padStart(SEQUENCE_DIGITS, "0");
    }

    /** Adds the segment that `object` contains. @returns The segment, or `undefined` if it cannot be parsed. */
    addObject(object: PlatformObject): ClaimSegment | undefined {
        const segment = parseSegment(object.value);
        this.addSegment(Number(object.key.slice(this.#prefix.length)), segment?.at ?? 0);
        return segment;
    }

    /** Adds a segment that exists, with its creation time in milliseconds since the epoch. */
    addSegment(sequence: number, at: number): void {
        this.#segments.push({ sequence, at });
        this.#nextSequence = Math.max(this.#nextSequence, sequence + 1);
    }

    /**
     * Removes the oldest segment from the index if it was created before `cutoff`.
     *
     * The newest segment is always kept, because it shows the sequence number that the log has reached.
     *
     * @returns Key of the removed segment, or `undefined` if none was removed.
     */
    takeExpired(cutoff: number): string | undefined {
        const [oldest] = this.#segments;
        if (oldest === undefined || oldest.at >= cutoff || this.#segments.length < 2) {
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
 * @returns The segment, or `undefined` if `text` is not a valid segment.
 */
export function parseSegment(text: string): ClaimSegment | undefined {
    return parseBySchema(ClaimSegmentSchema, text);
}
