/**
 * Encodes and decodes frames: a four-byte big-endian length, followed by a CBOR value of that length.
 *
 * @module
 */
import { Encoder } from "cbor-x";

/** Options of a {@linkcode FrameDecoder}. */
export interface FrameDecoderOptions {
    /** Maximum accepted length of a frame's CBOR value, in bytes. Defaults to 16 MiB. */
    maxFrameBytes?: number;
    /** Maximum accepted length of the first frame's value, in bytes. Defaults to `maxFrameBytes`. */
    maxFirstFrameBytes?: number;
}

const LENGTH_BYTES = 4;
const DEFAULT_MAX_FRAME_BYTES = 16 * 1024 * 1024;
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });

/**
 * Encodes `message` as one frame.
 *
 * @param message Message to encode; must consist of plain data.
 * @returns The encoded frame.
 *
 * @example
 * ```ts
 * encodeFrame({ kind: "tick" }).readUInt32BE(0); // length of the CBOR value
 * ```
 */
export function encodeFrame(message: unknown): Buffer {
    const body = encoder.encode(message);
    const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, LENGTH_BYTES);
    return frame;
}

/** Encodes a value as CBOR, without a length before it. */
export function encodeValue(value: unknown): Buffer {
    return encoder.encode(value);
}

/** Decodes a CBOR value. @throws {Error} If the bytes are not one. */
export function decodeValue(bytes: Uint8Array): unknown {
    return encoder.decode(bytes);
}

/** Decodes messages from a byte stream that arrives in chunks of any size. */
export class FrameDecoder {
    readonly #maxFrameBytes: number;
    /** Maximum length of the next frame. */
    #maxNextBytes: number;
    #chunks: Buffer[] = [];
    #bufferedBytes = 0;

    constructor(options: FrameDecoderOptions = {}) {
        this.#maxFrameBytes = options.maxFrameBytes ?? DEFAULT_MAX_FRAME_BYTES;
        this.#maxNextBytes = options.maxFirstFrameBytes ?? this.#maxFrameBytes;
    }

    /**
     * Decodes the messages that `chunk` completes, and buffers the rest until the next chunk.
     *
     * @throws {RangeError} If a frame exceeds the allowed length.
     * @throws {TypeError} If a frame's value is not an object with a string field `kind`.
     */
    handleChunk(chunk: Buffer): { kind: string; }[] {
        this.#chunks.push(chunk);
        this.#bufferedBytes += chunk.length;
        const messages: { kind: string; }[] = [];
        for (let frame = this.#takeFrame(); frame !== undefined; frame = this.#takeFrame()) {
            messages.push(decodeBody(frame));
        }
        return messages;
    }

    /** Removes the next complete frame from the buffer and returns its body, or `undefined` if none is complete. */
    #takeFrame(): Buffer | undefined {
        if (this.#bufferedBytes < LENGTH_BYTES) {
            return undefined;
        }
        const length = this.#readLength();
        if (length > this.#maxNextBytes) {
            throw new RangeError(
                `Cannot decode frame: its length of ${length} bytes exceeds the limit of ${this.#maxNextBytes} bytes.`,
            );
        }
        if (this.#bufferedBytes < LENGTH_BYTES + length) {
            return undefined;
        }
        this.#maxNextBytes = this.#maxFrameBytes;
        const joined = this.#joinChunks();
        const end = LENGTH_BYTES + length;
        this.#chunks = joined.length > end ? [joined.subarray(end)] : [];
        this.#bufferedBytes = joined.length - end;
        return joined.subarray(LENGTH_BYTES, end);
    }

    #readLength(): number {
        const [first] = this.#chunks;
        const head = first !== undefined && first.length >= LENGTH_BYTES ? first : this.#joinChunks();
        return head.readUInt32BE(0);
    }

    #joinChunks(): Buffer {
        const [first] = this.#chunks;
        if (this.#chunks.length === 1 && first !== undefined) {
            return first;
        }
        const joined = Buffer.concat(this.#chunks);
        this.#chunks = [joined];
        return joined;
    }
}

function decodeBody(body: Buffer): { kind: string; } {
    const value: unknown = encoder.decode(body);
    if (typeof value !== "object" || !value || !("kind" in value) || typeof value.kind !== "string") {
        throw new TypeError("Cannot decode frame: expected an object with a string field \"kind\".");
    }
    return value as { kind: string; };
}
