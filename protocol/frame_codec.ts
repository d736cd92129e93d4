/**
 * Frames of a four-byte length and a CBOR value.
 *
 * @module
 */
import { Encoder } from "cbor-x";

/** Options of a {@linkcode FrameDecoder}. */
export interface FrameDecoderOptions {
    /** Largest frame accepted, in bytes. Defaults to 16 MiB. */
    maxFrameBytes?: number;
}

const LENGTH_BYTES = 4;
const DEFAULT_MAX_FRAME_BYTES = 16 * 1024 * 1024;
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });

/**
 * Encodes `message` as one frame.
 *
 * @param message Plain data.
 * @returns The bytes of the frame.
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

/** Takes bytes as they arrive and gives the messages in them. */
export class FrameDecoder {
    readonly #maxFrameBytes: number;
    #chunks: Buffer[] = [];
    #bufferedBytes = 0;

    constructor(options: FrameDecoderOptions = {}) {
        this.#maxFrameBytes = options.maxFrameBytes ?? DEFAULT_MAX_FRAME_BYTES;
    }

    /**
     * Takes `chunk` and gives the messages that it completes.
     *
     * @throws {RangeError} Where a frame is longer than allowed.
     * @throws {TypeError} Where a frame holds no object with a `kind`.
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

    #takeFrame(): Buffer | undefined {
        if (this.#bufferedBytes < LENGTH_BYTES) {
            return undefined;
        }
        const length = this.#readLength();
        if (length > this.#maxFrameBytes) {
            throw new RangeError(
                `Cannot read a frame: its length is ${length} bytes, more than ${this.#maxFrameBytes}.`,
            );
        }
        if (this.#bufferedBytes < LENGTH_BYTES + length) {
            return undefined;
        }
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
        throw new TypeError("Cannot read a frame: it holds no message with a kind.");
    }
    return value as { kind: string; };
}
