/**
 * HTTP server that accepts callers' requests, routes them, and dispatches them to the handlers of their routes' kinds.
 *
 * @module
 */
import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type CallerLimits, isAcceptedDuringShutdown, pickService, type RouteResult } from "../core/serving/mod.ts";
import { type Address, BodyTooLargeError, openHttpServer, readBody, waitMilliseconds } from "../network/mod.ts";
import { type CallerRequest, decodeCallerRequest } from "../platform/mod.ts";
import {
    abortResponse,
    type CallerExchange,
    computeDeadline,
    estimateRequestLoad,
    sendError,
    type ServingContext,
} from "./caller_exchange.ts";
import { sendThroughPeer } from "./peer_relay.ts";
import { buildRequestPrefix } from "./prompt_prefix.ts";
import { describeQuarantine, findQuarantine, getQuarantineCode } from "./quarantine_refusal.ts";
import { computeFingerprint } from "./request_fingerprint.ts";
import { type ActiveStream, handleStreamCall } from "./stream_call.ts";
import { handleUnaryCall } from "./unary_call.ts";

/** Interval at which a stopping process checks for active requests, in milliseconds. */
const DRAIN_POLL_INTERVAL_MILLISECONDS = 20;
/** Mean `retry-after` of an instance that has no configuration, targets or zones yet, in seconds. */
const NOT_READY_RETRY_SECONDS = 0.5;
/** Mean `retry-after` of a stopping instance, in seconds; short, since other instances can serve the caller at once. */
const STOPPING_RETRY_SECONDS = 0.1;
/** Maximum size of a request's headers, in bytes, whatever limit the configuration sets. */
const MAX_PARSED_HEADER_BYTES = 65_536;
/** Limits that apply until a configuration has been received. */
const INITIAL_LIMITS: CallerLimits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMilliseconds: 5000,
    idleTimeoutMilliseconds: 15_000,
};

type RouteFailure = Exclude<RouteResult, { kind: "routed"; }>["kind"];

const ROUTE_FAILURES: Record<RouteFailure, { code: "not_found" | "unauthorized"; message: string; }> = {
    "no-route": { code: "not_found", message: "Cannot find a route for this host and path." },
    "unknown-key": { code: "unauthorized", message: "Cannot accept the key: no account holds it." },
};

/** Serves callers' requests over HTTP. */
export class CallerServer {
    readonly #context: ServingContext;
    readonly #activeStreams = new Set<ActiveStream>();
    /**
     * One controller for each active request, which aborts it when the process is about to end. A signal that all
     * requests share would keep a reference to each of them.
     */
    readonly #stopAborts = new Set<AbortController>();
    /** True once the process is about to end. */
    #isAborting = false;
    #server: Server | undefined;

    constructor(context: ServingContext) {
        this.#context = context;
    }

    /** Streams that are being relayed to callers. */
    get activeStreams(): ReadonlySet<ActiveStream> {
        return this.#activeStreams;
    }

    /** Number of requests being served. */
    get activeRequests(): number {
        return this.#stopAborts.size;
    }

    /** Starts listening on an address. */
    async open(address: Address): Promise<void> {
        this.#server = await openHttpServer({
            address,
            handler: (request, response) => this.#handleRequest(request, response),
            maxHeaderSize: MAX_PARSED_HEADER_BYTES,
        });
        this.#server.requestTimeout = 0;
        this.applyLimits(INITIAL_LIMITS);
    }

    /** Applies the timeouts of the configuration to callers' connections. */
    applyLimits(limits: CallerLimits): void {
        if (this.#server !== undefined) {
            this.#server.headersTimeout = limits.headerTimeoutMilliseconds;
            this.#server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
        }
    }

    /**
     * Waits for the active requests to finish, closes the listening socket, and waits until no request has arrived on
     * open connections for `idleMilliseconds`, at the latest until `until`.
     */
    async drain(options: { idleMilliseconds: number; until: number; }): Promise<void> {
        const { clock } = this.#context;
        let idleSince: number | undefined;
        while (clock.getMonotonic() < options.until) {
            if (this.activeRequests > 0) {
                idleSince = undefined;
            }
            else if (idleSince === undefined) {
                idleSince = clock.getMonotonic();
                this.#server?.close();
            }
            else if (clock.getMonotonic() - idleSince >= options.idleMilliseconds) {
                return;
            }
            await waitMilliseconds(DRAIN_POLL_INTERVAL_MILLISECONDS);
        }
    }

    /**
     * Aborts the active requests, and waits until their callers have been answered, at the latest until `until`.
     *
     * A request without a response gets an error that tells whether it may have run; one whose response has begun is
     * broken off.
     */
    async abortRequests({ until }: { until: number; }): Promise<void> {
        this.#isAborting = true;
        this.#stopAborts.forEach(stopAbort => stopAbort.abort(new Error("this instance stops")));
        while (this.activeRequests > 0 && this.#context.clock.getMonotonic() < until) {
            await waitMilliseconds(DRAIN_POLL_INTERVAL_MILLISECONDS);
        }
    }

    /** Stops listening and closes idle connections. */
    close(): void {
        this.#server?.close();
        this.#server?.closeIdleConnections();
    }

    async #handleRequest(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        const arrivedAt = this.#context.clock.getMonotonic();
        const disconnect = new AbortController();
        response.on("close", () => disconnect.abort());
        response.on("error", () => disconnect.abort());
        const stopAbort = new AbortController();
        this.#stopAborts.add(stopAbort);
        if (this.#isAborting) {
            stopAbort.abort(new Error("this instance stops"));
        }
        if (this.#context.getRemainingGraceMilliseconds() !== undefined) {
            response.shouldKeepAlive = false;
        }
        try {
            const request = await this.#readRequest(incoming, response);
            if (request !== undefined) {
                await this.#serve({
                    request,
                    response,
                    arrivedAt,
                    disconnected: disconnect.signal,
                    stopped: stopAbort.signal,
                });
            }
        }
        catch (error) {
            this.#context.log.record("trouble", "request handler failed", {
                path: incoming.url,
                error: String(error),
            });
            abortResponse(response);
        }
        finally {
            this.#stopAborts.delete(stopAbort);
        }
    }

    async #readRequest(incoming: IncomingMessage, response: ServerResponse): Promise<CallerRequest | undefined> {
        const limits = this.#context.state.table?.configuration.limits ?? INITIAL_LIMITS;
        const maxBytes = limits.maxBodyBytes;
        const headerBytes = countHeaderBytes(incoming);
        if (headerBytes > limits.maxHeaderBytes) {
            this.#refuse({ request: decodeCallerRequest(incoming, Buffer.alloc(0)), response }, {
                code: "headers_too_large",
                message:
                    `Cannot read the request: its headers have ${headerBytes} bytes, over ${limits.maxHeaderBytes}.`,
            });
            return undefined;
        }
        try {
            const request = decodeCallerRequest(incoming, await readBody(incoming, { maxBytes }));
            if (request.id === "") {
                this.#refuse({ request, response }, {
                    code: "bad_request",
                    message: "Cannot serve a request without an id.",
                });
                return undefined;
            }
            return request;
        }
        catch (error) {
            if (error instanceof BodyTooLargeError) {
                const request = decodeCallerRequest(incoming, Buffer.alloc(0));
                this.#refuse({ request, response }, { code: "body_too_large", message: error.message });
                return undefined;
            }
            this.#context.log.record("trouble", "request not read", { error: String(error) });
            abortResponse(response);
            return undefined;
        }
    }

    async #serve(
        call: {
            request: CallerRequest;
            response: ServerResponse;
            arrivedAt: number;
            disconnected: AbortSignal;
            stopped: AbortSignal;
        },
    ): Promise<void> {
        const { request } = call;
        const { state } = this.#context;
        const { table } = state;
        if (table === undefined || state.unreadyReason !== "") {
            this.#refuse(call, {
                code: "not_serving",
                message: `Cannot serve requests: ${state.unreadyReason}.`,
                retryAfterSeconds: NOT_READY_RETRY_SECONDS * (0.7 + 0.6 * this.#context.random()),
            });
            return;
        }
        const result = table.findRoute({ host: request.host, path: request.path, key: request.key });
        if (result.kind !== "routed") {
            this.#refuse(call, ROUTE_FAILURES[result.kind]);
            return;
        }
        const service = table.findService(pickService(result.route, this.#context.random));
        if (service === undefined) {
            this.#refuse(call, { code: "no_target", message: "Cannot serve the route: it names no known service." });
            return;
        }
        const { route, account, priority } = result;
        const remainingGrace = this.#context.getRemainingGraceMilliseconds();
        if (
            remainingGrace !== undefined && !isAcceptedDuringShutdown({
                remainingMilliseconds: remainingGrace,
                objectiveMilliseconds: route.objectiveMilliseconds,
                outputTokens: estimateRequestLoad(request).outputTokens,
            })
        ) {
            this.#refuse(call, {
                code: "not_serving",
                message: `Cannot finish the request: this instance stops in ${Math.round(remainingGrace)} ms.`,
                retryAfterSeconds: STOPPING_RETRY_SECONDS * (0.5 + this.#context.random()),
            });
            return;
        }
        const fingerprint = computeFingerprint(request, account);
        const sharedPromptParts = service.engine === undefined ? [] : request.promptParts.slice(0, -1);
        const quarantined = findQuarantine(state, { fingerprint, sharedPromptParts });
        if (quarantined !== undefined) {
            const { part, crashes, remainingMilliseconds } = quarantined;
            this.#refuse(call, {
                code: getQuarantineCode(quarantined),
                message: `Cannot serve the request: ${describeQuarantine(quarantined)}.`,
                retryAfterSeconds: remainingMilliseconds / 1000,
            }, { fingerprint, part, crashes });
            return;
        }
        const { version } = table.configuration;
        const deadline = computeDeadline(call, route);
        const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(deadline - this.#context.clock.getMonotonic())));
        const exchange: CallerExchange = {
            ...call,
            route,
            service,
            sharedPromptParts,
            promptPrefix: buildRequestPrefix(state, { service, request }),
            fingerprint,
            account,
            priority,
            version,
            deadline,
            signal: AbortSignal.any([call.disconnected, call.stopped, timeout]),
            isCallerDisconnected: () => call.disconnected.aborted,
        };
        if (!this.#context.partitionMonitor.decideDirect() && await sendThroughPeer(this.#context, exchange)) {
            return;
        }
        await (route.kind === "stream"
            ? handleStreamCall(this.#context, { exchange, activeStreams: this.#activeStreams })
            : handleUnaryCall(this.#context, exchange));
    }

    /** Refuses a request that has not been sent to any target; `detail` is added to the log line. */
    #refuse(
        call: { request: CallerRequest; response: ServerResponse; },
        error: { code: Parameters<typeof sendError>[1]["code"]; message: string; retryAfterSeconds?: number; },
        detail: Record<string, unknown> = {},
    ): void {
        const { state, metrics, log } = this.#context;
        metrics.countRequest("none", error.code);
        log.record("trouble", "request refused", {
            request: call.request.id,
            code: error.code,
            host: call.request.host,
            path: call.request.path,
            configuration: state.table?.configuration.version ?? -1,
            reason: error.message,
            ...detail,
        });
        sendError(call, { ...error, verdict: "not-run" });
    }
}

/** Counts the bytes of a request's headers, including the separators and line endings. */
function countHeaderBytes({ rawHeaders }: IncomingMessage): number {
    const separatorBytes = ": \r\n".length * rawHeaders.length / 2;
    return rawHeaders.reduce((sum, text) => sum + text.length, separatorBytes);
}
