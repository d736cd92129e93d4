/**
 * Plain HTTP calls, as a caller makes them.
 *
 * @module
 */
import { type IncomingMessage, request as startRequest } from "node:http";
import { parseAddress } from "../../network/mod.ts";

/** A call to make. */
export interface HttpCall {
    /** Address, as `IP:port`. */
    address: string;
    /** HTTP method. Defaults to "GET". */
    method?: string;
    /** Path. */
    path: string;
    /** Headers. Defaults to none. */
    headers?: Record<string, string>;
    /** Body. Defaults to none. */
    body?: string | Buffer;
    /** Called with each piece of the body. */
    onChunk?: (chunk: Buffer) => void;
    /** Ends the call. */
    signal?: AbortSignal;
}

/** An answer to a call. */
export interface HttpResult {
    /** HTTP status. */
    status: number;
    /** Headers. */
    headers: Record<string, string>;
    /** Whole body. */
    body: Buffer;
    /** False where the connection broke before the body was whole. */
    isComplete: boolean;
}

/**
 * Makes a call on a connection of its own.
 *
 * @param call Call to make.
 * @returns The answer.
 * @throws {Error} Where the connection fails before the headers have come.
 */
export function callHttp(call: HttpCall): Promise<HttpResult> {
    return new Promise((resolve, reject) => {
        const request = startRequest({
            ...parseAddress(call.address),
            agent: false,
            method: call.method ?? "GET",
            path: call.path,
            headers: {
                ...call.headers,
                ...call.body === undefined ? {} : { "content-length": Buffer.byteLength(call.body) },
            },
            ...call.signal === undefined ? {} : { signal: call.signal },
        }, response => void collectAnswer(response, call).then(resolve));
        request.on("error", reject);
        request.end(call.body);
    });
}

/**
 * Collects an answer up to its end, or to where its connection broke.
 *
 * @param response Answer whose headers have come.
 * @param options Who is told of each piece of the body.
 * @returns The answer.
 */
export function collectAnswer(
    response: IncomingMessage,
    { onChunk }: Pick<HttpCall, "onChunk"> = {},
): Promise<HttpResult> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        const settle = (isComplete: boolean): void =>
            resolve({
                status: response.statusCode ?? 0,
                headers: response.headers as Record<string, string>,
                body: Buffer.concat(chunks),
                isComplete,
            });
        response.on("data", (chunk: Buffer) => {
            chunks.push(chunk);
            onChunk?.(chunk);
        });
        response.on("end", () => settle(response.complete));
        response.on("error", () => settle(false));
    });
}
