/**
 * The adapter to a plain service's HTTP interface.
 *
 * @module
 */
import { type IncomingHttpHeaders, type IncomingMessage, request as startRequest } from "node:http";
import type { RoutedTarget } from "../core/inventory/mod.ts";
import { AttemptProgress } from "../core/verdict/mod.ts";
import { parseAddress, readBody } from "../network/mod.ts";

/** A request to a plain service. */
export interface ServiceRequest {
    /** Target to ask. */
    target: RoutedTarget;
    /** HTTP method. */
    method: string;
    /** Path with its query. */
    path: string;
    /** Headers to pass on. */
    headers: Record<string, string | string[]>;
    /** Whole body. */
    body: Buffer;
    /** Time in which the target must accept a connection, in milliseconds. */
    connectMilliseconds: number;
    /** Time in which the whole answer must come, in milliseconds. */
    timeoutMilliseconds: number;
    /** Most bytes of the answer. */
    maxAnswerBytes: number;
}

/** The whole answer of a plain service. */
export interface ServiceResponse {
    /** HTTP status. */
    status: number;
    /** Headers to pass on. */
    headers: Record<string, string | string[]>;
    /** Whole body. */
    body: Buffer;
}

/** Result of one attempt at a plain service. */
export type ServiceAttempt =
    | { kind: "answered"; answer: ServiceResponse; }
    | { kind: "failed"; progress: AttemptProgress; message: string; };

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
/** Headers for this system alone. */
const GATEWAY_HEADERS = new Set(["authorization", "x-deadline-milliseconds", "x-kind"]);
/** Header by which a service says that it refused a request before running it. */
const VERDICT_HEADER = "x-verdict";
const REQUEST_ID_HEADER = "x-request-id";

/**
 * Picks the headers that are passed on.
 *
 * @param headers Headers as they came.
 * @returns The headers without those of one connection and those of this system.
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
 * Sends a request on a connection of its own, and reads the whole answer.
 *
 * @param request Request to send.
 * @returns The answer, or how far the attempt had come when it failed.
 */
export function callService(request: ServiceRequest): Promise<ServiceAttempt> {
    return new Promise(resolve => {
        let progress: AttemptProgress = AttemptProgress.notConnected;
        const httpRequest = startRequest({
            ...parseAddress(request.target.address),
            agent: false,
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
        httpRequest.on("error", error => finish({ kind: "failed", progress, message: error.message }));
        httpRequest.on("response", response => {
            progress = AttemptProgress.answering;
            readResponse(response, request).then(finish, (error: Error) => {
                finish({ kind: "failed", progress, message: error.message });
            });
        });
    });
}

async function readResponse(response: IncomingMessage, request: ServiceRequest): Promise<ServiceAttempt> {
    const body = await readBody(response, { maxBytes: request.maxAnswerBytes });
    const status = response.statusCode ?? 0;
    const echoedRequestId = response.headers[REQUEST_ID_HEADER];
    if (echoedRequestId !== undefined && echoedRequestId !== request.headers[REQUEST_ID_HEADER]) {
        const message = `the answer belongs to request "${echoedRequestId}"`;
        return { kind: "failed", progress: AttemptProgress.answering, message };
    }
    if (status === 503 && response.headers[VERDICT_HEADER] === "not-run") {
        return { kind: "failed", progress: AttemptProgress.refused, message: "the service refused the request" };
    }
    return { kind: "answered", answer: { status, headers: pickForwardedHeaders(response.headers), body } };
}
