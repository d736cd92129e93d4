/**
 * HTTP client calls, each on a new connection and without retries.
 *
 * @module
 */
import { type IncomingMessage, request as startRequest } from "node:http";
import { hasFailed, openObservedConnection, parseAddress } from "../../network/mod.ts";

/** An HTTP request. */
export interface HttpCall {
    /** Address, as `IP:port`. */
    address: string;
    /** HTTP method. Defaults to "GET". */
    method?: string;
    /** Path, with the query if there is one. */
    path: string;
    /** Request headers. Defaults to none. */
    headers?: Record<string, string>;
    /** Request body. Defaults to none. */
    body?: string | Buffer;
    /** Called with each chunk of the response body. */
    onChunk?: (chunk: Buffer) => void;
    /** Aborts the call. */
    signal?: AbortSignal;
}

/** An HTTP response. */
export interface HttpResult {
    /** HTTP status code. */
    status: number;
    /** Response headers. */
    headers: Record<string, string>;
    /** Body; what was received of it if `isComplete` is false. */
    body: Buffer;
    /** False if the connection ended before the whole body was received. */
    isComplete: boolean;
}

/**
 * Sends a request on a new connection and waits for the end of the response.
 *
 * @param call Request to send.
 * @returns The response.
 * @throws {Error} If the connection fails before the response headers have been received.
 */
export function callHttp(call: HttpCall): Promise<HttpResult> {
    return new Promise((resolve, reject) => {
        const request = startRequest({
            createConnection: () => openObservedConnection(parseAddress(call.address)),
            method: call.method ?? "GET",
            path: call.path,
            headers: {
                ...call.headers,
                ...call.body === undefined ? {} : { "content-length": Buffer.byteLength(call.body) },
            },
            ...call.signal === undefined ? {} : { signal: call.signal },
        }, response => void collectResponse(response, call).then(resolve));
        request.on("error", reject);
        request.end(call.body);
    });
}

/**
 * Reads a response until its end, or until its connection fails.
 *
 * @param response Response whose headers have been received.
 * @param options Callback for the chunks of the body.
 * @returns The response.
 */
export function collectResponse(
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
        const { socket } = response;
        // Node.js reports a response without a length as complete even if its connection was reset.
        response.on("end", () => settle(response.complete && !hasFailed(socket)));
        response.on("error", () => settle(false));
    });
}
