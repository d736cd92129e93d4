/**
 * HTTP server that accepts callers' requests, routes them, and dispatches them to the handlers of their routes' kinds.
 *
 * @module
 */
import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import {
    type CallerLimits,
    ClientDrop,
    type ClientTimeouts,
    isAcceptedDuringShutdown,
    pickService,
    type RouteResult,
} from "../core/serving/mod.ts";
import {
    type Address,
    BodyTooLargeError,
    ClientDroppedError,
    type ClientGuard,
    countHeaderBytes,
    LinkedSignal,
    openHttpServer,
    readRequestBody,
    waitMilliseconds,
} from "../network/mod.ts";
import { type CallerRequest, decodeCallerRequest } from "../platform/mod.ts";
import {
    abortResponse,
    type CallerExchange,
    computeDeadline,
    DEFAULT_CALLER_TIMEOUT_MILLISECONDS,
    estimateRequestLoad,
    sendError,
    type ServingContext,
    waitUntilTaken,
} from "./caller_exchange.ts";
import { sendThroughPeer } from "./peer_relay.ts";
import { buildRequestPrefix } from "./prompt_prefix.ts";
import { describeQuarantine, findQuarantine, getQuarantineCode } from "./quarantine_refusal.ts";
import { computeFingerprint } from "./request_fingerprint.ts";
import { buildRequestOrigin } from "./request_origin.ts";
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
/**
 * Additional bytes of headers that are parsed, so that a request somewhat above the limit gets a response with its
 * identifier. Far above it, the parser refuses the request before it holds the memory of many fields.
 */
const HEADER_MARGIN_BYTES = 4096;
/** Mean `retry-after` of a request that was refused because the memory for callers is used up, in seconds. */
const NO_MEMORY_RETRY_SECONDS = 0.5;
/** Reason of the abort when a response is closed, whole or not; a new one for each would record its stack. */
const RESPONSE_CLOSED = new DOMException("This operation was aborted", "AbortError");
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

/** Gets the timeouts of a caller that follow from the configuration's limits. */
export function getClientTimeouts(limits: CallerLimits = INITIAL_LIMITS): ClientTimeouts {
    return {
        idleMilliseconds: limits.idleTimeoutMilliseconds,
        bodyMilliseconds: Math.max(DEFAULT_CALLER_TIMEOUT_MILLISECONDS, limits.idleTimeoutMilliseconds),
    };
}

/** Serves callers' requests over HTTP. */
export class CallerServer {
    readonly #context: ServingContext;
    readonly #guard: ClientGuard;
    readonly #activeStreams = new Set<ActiveStream>();
    /**
     * One controller for each active request, which aborts it when the process is about to end. A signal that all
     * requests share would keep a reference to each of them.
     */
    readonly #stopAborts = new Set<AbortController>();
    /** True once the process is about to end. */
    #isAborting = false;
    #server: Server | undefined;

    /** @param guard Limits on the callers. */
    constructor(context: ServingContext, guard: ClientGuard) {
        this.#context = context;
        this.#guard = guard;
    }

    /** Streams that are being relayed to callers. */
    get activeStreams(): ReadonlySet<ActiveStream> {
        return this.#activeStreams;
    }

    /** Number of requests whose answers the callers have not taken as a whole. */
    get activeRequests(): number {
        return this.#stopAborts.size;
    }

    /** Starts listening on an address. */
    async open(address: Address): Promise<void> {
        this.#server = await openHttpServer({
            address,
            handler: (request, response) => this.#handleRequest(request, response),
            maxHeaderSize: MAX_PARSED_HEADER_BYTES,
            guard: this.#guard,
        });
        // The guard limits the time of bodies, whose length a single caller may use up.
        this.#server.requestTimeout = 0;
        this.applyLimits(INITIAL_LIMITS);
    }

    /** Applies the timeouts of the configuration to callers' connections. */
    applyLimits(limits: CallerLimits): void {
        if (this.#server !== undefined) {
            this.#server.headersTimeout = limits.headerTimeoutMilliseconds;
            this.#server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
            // Node reads the property for each new connection, but does not declare it.
            Object.assign(this.#server, {
                maxHeaderSize: Math.min(MAX_PARSED_HEADER_BYTES, limits.maxHeaderBytes + HEADER_MARGIN_BYTES),
            });
            this.#guard.setLimits({ timeouts: getClientTimeouts(limits) });
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
        response.on("close", () => disconnect.abort(RESPONSE_CLOSED));
        response.on("error", () => disconnect.abort(RESPONSE_CLOSED));
        const stopAbort = new AbortController();
        this.#stopAborts.add(stopAbort);
        if (this.#isAborting) {
            stopAbort.abort(new Error("this instance stops"));
        }
        if (this.#context.getShutdown() !== undefined) {
            response.shouldKeepAlive = false;
        }
        try {
            const request = await this.#readRequest(incoming, response);
            if (request !== undefined) {
                await this.#serve(incoming, {
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
            // The caller may take its answer long after it was written, and loses the rest if the process ends before.
            await waitUntilTaken(response);
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
            const body = await readRequestBody(incoming, {
                maxBytes,
                reserve: bytes => this.#guard.reserveBody(incoming, response, bytes),
                onSmallPieces: pieces => this.#guard.countSmallPieces(incoming, pieces),
                onRefusal: refuse => this.#guard.setBodyRefusal(incoming, refuse),
            });
            const request = decodeCallerRequest(incoming, body);
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
            if (error instanceof ClientDroppedError && !this.#guard.hasDropped(incoming)) {
                this.#refuseUnreadBody(incoming, response, error);
                return undefined;
            }
            if (!this.#guard.hasDropped(incoming)) {
                this.#context.log.record("trouble", "request not read", { error: String(error) });
            }
            abortResponse(response);
            return undefined;
        }
    }

    /** Refuses a request whose body was not read to its end, so that it has not run. */
    #refuseUnreadBody(incoming: IncomingMessage, response: ServerResponse, error: ClientDroppedError): void {
        const call = { request: decodeCallerRequest(incoming, Buffer.alloc(0)), response };
        response.shouldKeepAlive = false;
        if (error.reason === ClientDrop.bodyTimeout) {
            this.#refuse(call, { code: "body_timeout", message: error.message });
            return;
        }
        this.#refuse(call, {
            code: "busy",
            message: error.message,
            retryAfterSeconds: NO_MEMORY_RETRY_SECONDS * (0.7 + 0.6 * this.#context.random()),
        });
    }

    async #serve(
        incoming: IncomingMessage,
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
        this.#guard.markAccepted(incoming);
        const { route, account, priority } = result;
        const deadline = computeDeadline(call, route);
        const shutdown = this.#context.getShutdown();
        if (
            shutdown !== undefined && !isAcceptedDuringShutdown({
                ...shutdown,
                deadlineMilliseconds: deadline - this.#context.clock.getMonotonic(),
                objectiveMilliseconds: route.objectiveMilliseconds,
                outputTokens: estimateRequestLoad(request).outputTokens,
            })
        ) {
            const stopMilliseconds = Math.round(shutdown.remainingMilliseconds);
            this.#refuse(call, {
                code: "not_serving",
                message: `Cannot finish the request: this instance stops in ${stopMilliseconds} ms.`,
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
        const remainingMilliseconds = Math.max(1, Math.ceil(deadline - this.#context.clock.getMonotonic()));
        const linked = new LinkedSignal([call.disconnected, call.stopped], {
            timeoutMilliseconds: remainingMilliseconds,
        });
        const exchange: CallerExchange = {
            ...call,
            route,
            service,
            sharedPromptParts,
            promptPrefix: buildRequestPrefix(state, { service, request }),
            fingerprint,
            origin: buildRequestOrigin(request, {
                account: account?.name,
                route: route.name,
                zone: this.#context.zone,
                fingerprint,
            }),
            account,
            priority,
            version,
            deadline,
            signal: linked.signal,
            isCallerDisconnected: () => call.disconnected.aborted,
        };
        try {
            await this.#serveExchange(exchange);
        }
        finally {
            linked.close();
        }
    }

    async #serveExchange(exchange: CallerExchange): Promise<void> {
        if (!this.#context.partitionMonitor.decideDirect() && await sendThroughPeer(this.#context, exchange)) {
            return;
        }
        await (exchange.route.kind === "stream"
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
