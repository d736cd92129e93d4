/**
 * Reads the bodies of requests into memory that is reserved for them.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { ClientDrop } from "../core/serving/client_limits.ts";
import { BodyTooLargeError } from "./response_limits.ts";

/** Thrown if a request is not read to its end because of the limits on clients. */
export class ClientDroppedError extends Error {
    override name = "ClientDroppedError";
    /** Limit that ended the request. */
    readonly reason: ClientDrop;

    /** @param reason Limit that ended the request. */
    constructor(reason: ClientDrop) {
        super(`Cannot read the body: ${reason}.`);
        this.reason = reason;
    }
}

/** Options of {@linkcode readRequestBody}. */
export interface ReadRequestBodyOptions {
    /** Maximum accepted size, in bytes. */
    maxBytes: number;
    /** Reserves memory, in bytes; returns false if there is not enough. */
    reserve: (bytes: number) => boolean;
    /** Called after each {@linkcode PIECES_PER_COUNT} small pieces. */
    onSmallPieces: (pieces: number) => void;
    /** Receives a function that ends the reading with an error, and `undefined` at the end of the body. */
    onRefusal: (refuse: ((error: Error) => void) | undefined) => void;
}

const NO_BYTES = Buffer.alloc(0);
/** Size of a piece that is kept as it is, in bytes; the overhead of a smaller one would exceed a tenth of it. */
const LARGE_PIECE_BYTES = 2048;
/** Small pieces that are counted together. */
const PIECES_PER_COUNT = 256;
/** Sizes of the buffers into which smaller pieces are copied, in bytes. */
const MIN_BUFFER_BYTES = 1024;
const MAX_BUFFER_BYTES = 65_536;

/**
 * Reads the body of a request. Small pieces are copied into larger buffers, since each piece alone has several hundred
 * bytes of overhead. After an error, the rest of the body is discarded.
 *
 * @throws {BodyTooLargeError} If the body is longer than `maxBytes`.
 * @throws {ClientDroppedError} If there is not enough memory.
 */
export function readRequestBody(request: IncomingMessage, options: ReadRequestBodyOptions): Promise<Buffer> {
    const { maxBytes, reserve, onSmallPieces, onRefusal } = options;
    const statedLength = Number(request.headers["content-length"] ?? Number.NaN);
    return new Promise((resolve, reject) => {
        const pieces: Buffer[] = [];
        let length = 0;
        let smallPieces = 0;
        /** Unused rest of the last buffer for small pieces. */
        let rest: Buffer = NO_BYTES;
        const stop = (): void => {
            onRefusal(undefined);
            request.off("data", handleChunk);
            request.off("end", handleEnd);
            request.off("close", handleClose);
        };
        const fail = (error: Error): void => {
            stop();
            pieces.length = 0;
            rest = NO_BYTES;
            request.resume();
            reject(error);
        };
        const handleChunk = (chunk: Buffer): void => {
            length += chunk.length;
            if (length > maxBytes) {
                fail(new BodyTooLargeError(`Cannot read the body: it is longer than ${maxBytes} bytes.`));
                return;
            }
            const isKept = length === chunk.length || chunk.length >= LARGE_PIECE_BYTES;
            smallPieces += isKept ? 0 : 1;
            if (smallPieces === PIECES_PER_COUNT) {
                smallPieces = 0;
                onSmallPieces(PIECES_PER_COUNT);
            }
            if (!isKept && chunk.length <= rest.length) {
                chunk.copy(rest);
                rest = rest.subarray(chunk.length);
                return;
            }
            const bufferBytes = Math.min(MAX_BUFFER_BYTES, Math.max(MIN_BUFFER_BYTES, chunk.length, length));
            if (!reserve(isKept ? chunk.length : bufferBytes)) {
                fail(new ClientDroppedError("memory"));
                return;
            }
            dropUnusedRest(pieces, rest);
            if (isKept) {
                pieces.push(chunk);
                rest = NO_BYTES;
                return;
            }
            const buffer = Buffer.allocUnsafeSlow(bufferBytes);
            chunk.copy(buffer);
            pieces.push(buffer);
            rest = buffer.subarray(chunk.length);
        };
        const handleEnd = (): void => {
            stop();
            dropUnusedRest(pieces, rest);
            resolve(pieces.length === 1 ? pieces[0] ?? NO_BYTES : Buffer.concat(pieces));
        };
        const handleClose = (): void => fail(new Error("Cannot read the body: its connection was closed."));
        if (statedLength > maxBytes) {
            fail(new BodyTooLargeError(`Cannot read the body: it is longer than ${maxBytes} bytes.`));
            return;
        }
        if (request.destroyed) {
            handleClose();
            return;
        }
        request.on("data", handleChunk);
        request.on("end", handleEnd);
        request.on("close", handleClose);
        onRefusal(fail);
    });
}

/** Cuts the unused rest of a buffer off the last piece. */
function dropUnusedRest(pieces: Buffer[], rest: Buffer): void {
    const last = pieces.at(-1);
    if (last !== undefined && rest.length > 0) {
        pieces[pieces.length - 1] = last.subarray(0, last.length - rest.length);
    }
}

/** Counts the bytes of a request's headers, including the separators and line endings. */
export function countHeaderBytes({ rawHeaders }: IncomingMessage): number {
    const separatorBytes = ": \r\n".length * rawHeaders.length / 2;
    return rawHeaders.reduce((sum, text) => sum + text.length, separatorBytes);
}
