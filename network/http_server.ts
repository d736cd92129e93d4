/**
 * Small helpers round Node's HTTP server.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { Address } from "./address.ts";

/** Handles one HTTP request. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void> | void;

/** Options of {@linkcode openHttpServer}. */
export interface OpenHttpServerOptions {
    /** Address to listen on. */
    address: Address;
    /** Handles each request. */
    handler: HttpHandler;
    /** Time in which a request's headers must be complete, in milliseconds. Defaults to 5000. */
    headersTimeout?: number;
    /** Time in which a whole request must be complete, in milliseconds. Defaults to 30 000. */
    requestTimeout?: number;
    /** Most bytes of headers. Defaults to 16 KiB. */
    maxHeaderSize?: number;
}

/**
 * Opens an HTTP server.
 *
 * @param options What to serve and where.
 * @returns The listening server.
 */
export async function openHttpServer(options: OpenHttpServerOptions): Promise<Server> {
    const { address, handler, headersTimeout = 5000, requestTimeout = 30_000, maxHeaderSize = 16_384 } = options;
    const server = createServer({ headersTimeout, requestTimeout, maxHeaderSize, connectionsCheckingInterval: 1000 });
    server.on("clientError", (error, socket) => answerClientError(error, socket));
    server.on("request", (request, response) => {
        Promise.resolve(handler(request, response)).catch(() => response.destroy());
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, resolve);
    });
    return server;
}

/** Errors of a request that never became whole, by the code that Node.js gives. */
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

/** Answers a request that never became whole; nothing of it can have run. */
function answerClientError(error: Error, socket: Duplex): void {
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

/** Thrown where a body is longer than allowed. */
export class BodyTooLargeError extends Error {
    override name = "BodyTooLargeError";
}

/**
 * Reads a whole body.
 *
 * @param stream Message to read.
 * @param options Most bytes accepted.
 * @returns The bytes.
 * @throws {BodyTooLargeError} Where the body is longer than `maxBytes`.
 */
export async function readBody(stream: IncomingMessage, options: { maxBytes: number; }): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of stream as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > options.maxBytes) {
            throw new BodyTooLargeError(`Cannot read the body: it is longer than ${options.maxBytes} bytes.`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

/**
 * Sends `value` as a JSON answer.
 *
 * @param response Answer to write.
 * @param answer Status, value and further headers.
 */
export function sendJson(
    response: ServerResponse,
    answer: { status: number; value: unknown; headers?: Record<string, string>; },
): void {
    const body = Buffer.from(JSON.stringify(answer.value));
    response.writeHead(answer.status, {
        "content-type": "application/json",
        "content-length": body.length,
        ...answer.headers,
    });
    response.end(body);
}
