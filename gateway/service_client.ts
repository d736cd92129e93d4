/**
 * HTTP client of services: targets that return one complete response instead of a stream of tokens.
 *
 * @module
 */
import { type IncomingHttpHeaders, type IncomingMessage, request as startRequest } from "node:http";
import type { RoutedTarget } from "../core/inventory/mod.ts";
import { AttemptProgress, isFinalStatus } from "../core/verdict/mod.ts";
import {
    hasFailed,
    hasOwnEnd,
    observeRequestFailure,
    openObservedConnection,
    parseAddress,
    readBody,
} from "../network/mod.ts";

/** A request to a service. */
export interface ServiceRequest {
    /** Target to send the request to. */
    target: RoutedTarget;
    /** HTTP method. */
    method: string;
    /** Path with its query string. */
    path: string;
    /** Headers to send. */
    headers: Record<string, string | string[]>;
    /** Entire request body. */
    body: Buffer;
    /** Time within which the connection must be established, in milliseconds. */
    connectMilliseconds: number;
    /** Time within which the entire response must arrive, in milliseconds. */
    timeoutMilliseconds: number;
    /** Maximum accepted size of the response body, in bytes. */
    maxResponseBytes: number;
}

/** Complete response of a service. */
export interface ServiceResponse {
    /** HTTP status. */
    status: number;
    /** Headers to forward to the caller. */
    headers: Record<string, string | string[]>;
    /** Entire response body. */
    body: Buffer;
    /** True if the service's response itself shows where it ends; otherwise it ends with its connection. */
    isFramed: boolean;
}

/** Result of one attempt to call a service. */
export type ServiceAttempt =
    | { kind: "answered"; response: ServiceResponse; }
    | { kind: "failed"; progress: AttemptProgress; message: string; };

/** Headers that apply to one connection or are set anew for each request, and are never forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
    "content-length",
]);
/** Request headers that are meant for the gateway, and are not forwarded. */
const GATEWAY_HEADERS = new Set(["authorization", "x-deadline-milliseconds", "x-kind"]);
/** Response header with which a service states that it refused a request before running it. */
const VERDICT_HEADER = "x-verdict";
/** Header that a service may echo, which shows that the response belongs to the request. */
const REQUEST_ID_HEADER = "x-request-id";

/**
 * Picks the headers to forward.
 *
 * @param headers Headers as received.
 * @returns The headers without hop-by-hop headers and those meant for the gateway.
 */
export function pickForwardedHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
    const picked: Record<string, string | string[]> = {};
    const connectionHeaders = String(headers.connection ?? "").toLowerCase().split(/\s*,\s*/);
    for (const [name, value] of Object.entries(headers)) {
        if (
            value !== undefined && !HOP_BY_HOP_HEADERS.has(name) && !GATEWAY_HEADERS.has(name)
            && !connectionHeaders.includes(name)
        ) {
            picked[name] = value;
        }
    }
    return picked;
}

/**
 * Sends a request over a new connection, and reads the entire response.
 *
 * @param request Request to send.
 * @returns The response, or the stage that the attempt had reached when it failed.
 */
export function callService(request: ServiceRequest): Promise<ServiceAttempt> {
    return new Promise(resolve => {
        let progress: AttemptProgress = AttemptProgress.notConnected;
        const address = parseAddress(request.target.address);
        const httpRequest = startRequest({
            ...address,
            createConnection: () => openObservedConnection(address),
            method: request.method,
            path: request.path,
            headers: { ...request.headers, "content-length": request.body.length },
        });
        const fail = (message: string): void => void httpRequest.destroy(new Error(message));
        const timer = setTimeout(() => fail("no answer in time"), request.timeoutMilliseconds);
        const connectTimer = setTimeout(() => fail("no connection in time"), request.connectMilliseconds);
        const finish = (attempt: ServiceAttempt): void => {
            clearTimeout(timer);
            clearTimeout(connectTimer);
            httpRequest.destroy();
            resolve(attempt);
        };
        httpRequest.on("socket", socket => {
            socket.once("connect", () => {
                progress = AttemptProgress.sent;
                clearTimeout(connectTimer);
                httpRequest.end(request.body);
            });
        });
        observeRequestFailure(httpRequest, ({ message }) => finish({ kind: "failed", progress, message }));
        httpRequest.on("response", response => {
            progress = AttemptProgress.answering;
            readResponse(response, request).then(finish, (error: Error) => {
                finish({ kind: "failed", progress, message: error.message });
            });
        });
    });
}

async function readResponse(response: IncomingMessage, request: ServiceRequest): Promise<ServiceAttempt> {
    const { socket } = response;
    const body = await readBody(response, { maxBytes: request.maxResponseBytes });
    const status = response.statusCode ?? 0;
    if (!isFinalStatus(status)) {
        return { kind: "failed", progress: AttemptProgress.answering, message: `the answer has the status ${status}` };
    }
    const echoedRequestId = response.headers[REQUEST_ID_HEADER];
    if (echoedRequestId !== undefined && echoedRequestId !== request.headers[REQUEST_ID_HEADER]) {
        const message = `the answer belongs to request "${echoedRequestId}"`;
        return { kind: "failed", progress: AttemptProgress.answering, message };
    }
    if (status === 503 && response.headers[VERDICT_HEADER] === "not-run") {
        return { kind: "failed", progress: AttemptProgress.refused, message: "the service refused the request" };
    }
    const isEndShown = hasOwnEnd(response, request.method);
    // Node.js reports a response that ends with its connection as complete even if the connection was reset.
    if (!isEndShown && hasFailed(socket)) {
        const message = "the connection was reset before the end of the response";
        return { kind: "failed", progress: AttemptProgress.answering, message };
    }
    const headers = pickForwardedHeaders(response.headers);
    return { kind: "answered", response: { status, headers, body, isFramed: isEndShown } };
}
