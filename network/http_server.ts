/**
 * Small helpers round Node's HTTP server.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
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
    server.on("request", (request, response) => {
        Promise.resolve(handler(request, response)).catch(() => response.destroy());
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, resolve);
    });
    return server;
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
