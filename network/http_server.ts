/**
 * Helpers for Node's HTTP server: opening it, reading bodies, and sending JSON.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { Address } from "./address.ts";
import type { ClientGuard } from "./client_guard.ts";
import { BodyTooLargeError, type ByteBudget } from "./response_limits.ts";

/** Pieces of fewer than `SMALL_PIECE_BYTES` bytes in which a body may arrive; each takes time to handle. */
const MAX_SMALL_PIECES = 8192;
const SMALL_PIECE_BYTES = 64;

/** Handles one HTTP request. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void> | void;

/** Options of {@linkcode openHttpServer}. */
export interface OpenHttpServerOptions {
    /** Address to listen on. */
    address: Address;
    /** Handler of the requests. */
    handler: HttpHandler;
    /** Time within which a request's headers must arrive, in milliseconds. Defaults to 5000. */
    headersTimeout?: number;
    /** Time within which the entire request must arrive, in milliseconds. Defaults to 30 000. */
    requestTimeout?: number;
    /** Maximum total size of a request's headers, in bytes. Defaults to 16 KiB. */
    maxHeaderSize?: number;
    /** Limits the clients of the server. Defaults to none. */
    guard?: ClientGuard;
}

/**
 * Opens an HTTP server. A request whose handler throws has its connection closed.
 *
 * @param options Address, handler and limits.
 * @returns The listening server.
 */
export async function openHttpServer(options: OpenHttpServerOptions): Promise<Server> {
    const { address, handler, headersTimeout = 5000, requestTimeout = 30_000, maxHeaderSize = 16_384, guard } = options;
    const server = createServer({ headersTimeout, requestTimeout, maxHeaderSize, connectionsCheckingInterval: 1000 });
    if (guard !== undefined) {
        guard.setServer(server);
        server.on("connection", socket => guard.handleConnection(socket));
    }
    server.on("clientError", (error, socket) => {
        if (guard?.hasActiveRequests(socket) === true) {
            // The client would take an error response for the one of the request that is running.
            socket.destroy();
            return;
        }
        sendClientError(error, socket);
        guard?.markRefused(socket);
    });
    server.on("request", (request, response) => {
        if (guard?.handleRequest(request, response) === false) {
            return;
        }
        const handle = (): void => {
            Promise.resolve(handler(request, response)).catch(() => response.destroy());
        };
        // eslint-disable-next-line no-restricted-syntax
        if (guard !== undefined && response.socket === null) {
            // A pipelined request waits for its turn, so that one connection does not take the room of many clients.
            response.once("socket", handle);
            return;
        }
        handle();
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, resolve);
    });
    return server;
}

/** Responses to requests that could not be parsed or did not arrive in time, by Node's error code. */
const CLIENT_ERRORS: Record<string, { status: string; code: string; message: string; }> = {
    HPE_HEADER_OVERFLOW: {
        status: "431 Request Header Fields Too Large",
        code: "headers_too_large",
        message: "Cannot read the request: its headers are too long.",
    },
    ERR_HTTP_REQUEST_TIMEOUT: {
        status: "408 Request Timeout",
        code: "body_timeout",
        message: "Cannot read the request: it was not whole in time.",
    },
};
const BAD_REQUEST = {
    status: "400 Bad Request",
    code: "bad_request",
    message: "Cannot read the request: it is no HTTP.",
};

/** Sends the response to a request that was not received completely. The request cannot have run. */
function sendClientError(error: Error, socket: Duplex): void {
    if (!socket.writable) {
        socket.destroy();
        return;
    }
    const { code = "" } = error as NodeJS.ErrnoException;
    const { status, ...rest } = CLIENT_ERRORS[code] ?? BAD_REQUEST;
    const body = JSON.stringify({ error: { ...rest, verdict: "not-run" } });
    const headers = `content-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close`;
    socket.end(`HTTP/1.1 ${status}\r\n${headers}\r\n\r\n${body}`);
}

/**
 * Reads the entire body of an HTTP message into memory.
 *
 * @param stream Message to read.
 * @param options Maximum accepted size, in bytes; budget of all bodies that are read at the same time, which defaults
 * to none; and a function that is called with the size of each chunk.
 * @returns The body.
 * @throws {BodyTooLargeError} If the body is longer than `maxBytes`, or than what is left of the budget.
 */
export function readBody(
    stream: IncomingMessage,
    options: { maxBytes: number; budget?: ByteBudget; onChunk?: (bytes: number) => void; },
): Promise<Buffer> {
    const { maxBytes, budget, onChunk } = options;
    return new Promise<Buffer>((resolve, reject) => {
        const chunks: Buffer[] = [];
        let taken = 0;
        let smallPieces = 0;
        const findExcess = (length: number): string | undefined => {
            smallPieces += length < SMALL_PIECE_BYTES ? 1 : 0;
            return taken + length > maxBytes
                ? `it is longer than ${maxBytes} bytes`
                : smallPieces > MAX_SMALL_PIECES
                ? `it arrives in more than ${MAX_SMALL_PIECES} small pieces`
                : budget?.take(length) === false
                ? `after ${taken} bytes, the memory for all bodies is used up`
                : undefined;
        };
        // Each piece is handled when it is parsed: a paused stream would be parsed further before its pieces are counted.
        const handleData = (chunk: Buffer): void => {
            const excess = findExcess(chunk.length);
            if (excess !== undefined) {
                finish(() => reject(new BodyTooLargeError(`Cannot read the body: ${excess}.`)));
                stream.destroy();
                return;
            }
            taken += chunk.length;
            onChunk?.(chunk.length);
            chunks.push(chunk);
        };
        const handleEnd = (): void => finish(() => resolve(Buffer.concat(chunks)));
        const handleClose = (): void => finish(() => reject(stream.errored ?? new Error("aborted")));
        const finish = (settle: () => void): void => {
            stream.off("data", handleData).off("end", handleEnd).off("error", handleClose).off("close", handleClose);
            budget?.release(taken);
            settle();
        };
        if (stream.destroyed && !stream.readableEnded) {
            handleClose();
            return;
        }
        stream.on("data", handleData).on("end", handleEnd).on("error", handleClose).on("close", handleClose);
    });
}

/**
 * Sends a complete JSON response.
 *
 * @param response Response to write.
 * @param content Status, value to encode, and additional headers.
 */
export function sendJson(
    response: ServerResponse,
    content: { status: number; value: unknown; headers?: Record<string, string>; },
): void {
    const body = Buffer.from(JSON.stringify(content.value));
    response.writeHead(content.status, {
        "content-type": "application/json",
        "content-length": body.length,
        ...content.headers,
    });
    response.end(body);
}
