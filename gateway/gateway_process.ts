/**
 * The gateway process: accepts callers' HTTP requests, authenticates them, and passes them to the handlers of
 * generations and of services.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { LengthPredictor } from "../core/prediction/mod.ts";
import { type ClientCapacity, ClientDrop, computeClientCapacity } from "../core/serving/mod.ts";
import { RetryBudget } from "../core/verdict/mod.ts";
import {
    BodyTooLargeError,
    ClientDroppedError,
    ClientGuard,
    openHttpServer,
    readRequestBody,
    waitMilliseconds,
} from "../network/mod.ts";
import { sendError, ServingError } from "../network/serving_error.ts";
import { type ChangeLogger, openAdminServer } from "../telemetry/mod.ts";
import { AgentClient } from "./agent_client.ts";
import { Dispatcher } from "./dispatcher.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { GenerationHandler, type HandlerDependencies } from "./generation_handler.ts";
import { buildContext, findAccount, type RequestContext } from "./request_context.ts";
import { RoutingState } from "./routing_state.ts";
import { ServiceHandler } from "./service_handler.ts";

/** Options of a {@linkcode GatewayProcess}. */
export interface GatewayProcessOptions {
    /** Validated settings. */
    settings: GatewaySettings;
    /** Logs changes of state. */
    logger: ChangeLogger;
    /** Random number generator that returns numbers from 0 (inclusive) to 1 (exclusive). Defaults to `Math.random`. */
    random?: () => number;
}

const GENERATION_PATHS = new Set(["/v1/completions", "/v1/chat/completions"]);
/** Path at which callers resume a stream without repeating the request that started it. */
const RESUME_PATH = "/v1/events";
/** Matches the path of a request to a service: the service's name, and the path to request from it. */
const SERVICE_PATH_PATTERN = /^\/services\/([\w.-]+)(\/.*)$/;
/** Interval between checks whether all settlements are durable, in milliseconds. */
const SETTLEMENT_POLL_MILLISECONDS = 50;
/** Maximum time for which a draining gateway waits for its settlements to become durable, in milliseconds. */
const MAX_SETTLEMENT_WAIT_MILLISECONDS = 30_000;

/** Time without progress of a body, or of a caller that reads its response, in milliseconds. */
const CLIENT_IDLE_MILLISECONDS = 15_000;
/** Sizes for the clients of the administrative port. */
const ADMIN_CAPACITY: ClientCapacity = { maxBytes: 4_000_000, maxConnections: 32 };
/** Interval at which the limits on callers are checked, in milliseconds. */
const GUARD_INTERVAL_MILLISECONDS = 200;
/** Shortest time between two log lines about callers that were closed, in milliseconds. */
const DROP_LINE_MILLISECONDS = 5000;
/** Mean `retry-after` of a request that was refused because the memory for callers is used up, in seconds. */
const NO_MEMORY_RETRY_SECONDS = 1;

/** Runs one gateway in this process. */
export class GatewayProcess {
    readonly #settings: GatewaySettings;
    readonly #logger: ChangeLogger;
    readonly #routing: RoutingState;
    readonly #agentClient: AgentClient;
    readonly #dispatcher: Dispatcher;
    readonly #metrics: GatewayMetrics;
    readonly #generationHandler: GenerationHandler;
    readonly #serviceHandler: ServiceHandler;
    readonly #activeResponses = new Set<ServerResponse>();
    readonly #guard: ClientGuard;
    readonly #adminGuard: ClientGuard;
    /** Callers that were closed since the last log line, by reason. */
    readonly #drops = new Map<ClientDrop, number>();
    #dropsLoggedAt = Number.NEGATIVE_INFINITY;
    #guardTimer: NodeJS.Timeout | undefined;
    #server: Server | undefined;
    #adminServer: Server | undefined;
    #isDraining = false;

    constructor(options: GatewayProcessOptions) {
        const { settings, logger, random = Math.random } = options;
        const { instance, zone, agentAddress, maxQueue } = settings;
        this.#settings = settings;
        this.#logger = logger;
        this.#routing = new RoutingState({ instance, zone });
        this.#agentClient = new AgentClient({
            instance,
            address: agentAddress,
            onMessage: message => this.#routing.handleMessage(message),
            onDisconnect: () => this.#routing.handleDisconnect(),
        });
        this.#dispatcher = new Dispatcher({
            instance,
            agentClient: this.#agentClient,
            routing: this.#routing,
            maxQueue,
            random,
        });
        this.#metrics = new GatewayMetrics({ countActive: () => this.#activeResponses.size });
        const timeouts = {
            idleMilliseconds: CLIENT_IDLE_MILLISECONDS,
            bodyMilliseconds: settings.bodyTimeoutMilliseconds,
        };
        const onDrop = (reason: ClientDrop): void => {
            this.#metrics.countClientDrop(reason);
            this.#drops.set(reason, (this.#drops.get(reason) ?? 0) + 1);
        };
        this.#guard = new ClientGuard({ capacity: computeClientCapacity(settings), timeouts, onDrop });
        this.#adminGuard = new ClientGuard({ capacity: ADMIN_CAPACITY, timeouts, onDrop });
        const dependencies: HandlerDependencies = {
            settings,
            agentClient: this.#agentClient,
            routing: this.#routing,
            dispatcher: this.#dispatcher,
            predictor: new LengthPredictor(),
            retryBudget: new RetryBudget(),
            metrics: this.#metrics,
            random,
        };
        this.#generationHandler = new GenerationHandler(dependencies);
        this.#serviceHandler = new ServiceHandler(dependencies);
    }

    /** Opens the servers. */
    async start(): Promise<void> {
        const { listenAddress, adminAddress, maxHeaderBytes, bodyTimeoutMilliseconds } = this.#settings;
        this.#server = await openHttpServer({
            address: listenAddress,
            handler: (request, response) => this.#handleRequest(request, response),
            maxHeaderSize: maxHeaderBytes,
            requestTimeout: bodyTimeoutMilliseconds,
            guard: this.#guard,
        });
        this.#adminServer = await openAdminServer({
            address: adminAddress,
            registry: this.#metrics.registry,
            dumpState: () => this.#dumpState(),
            getUnreadyReason: () => (this.#isDraining ? "draining" : this.#routing.notServingReason),
            guard: this.#adminGuard,
        });
        this.#guardTimer = setInterval(() => this.#updateGuards(), GUARD_INTERVAL_MILLISECONDS);
        this.#logger.logChange("gateway started", { instance: this.#settings.instance, zone: this.#settings.zone });
    }

    /**
     * Drains the gateway and closes it.
     *
     * It first reports itself as not ready but still accepts requests, so that the load balancer can stop sending them.
     * Then it stops listening, and waits for all requests to end and for their settlements to become durable.
     */
    async drain(): Promise<void> {
        this.#isDraining = true;
        await waitMilliseconds(this.#settings.drainDelayMilliseconds);
        await this.#drainServer();
        const deadline = performance.now() + MAX_SETTLEMENT_WAIT_MILLISECONDS;
        while (this.#agentClient.pendingSettlementCount > 0 && performance.now() < deadline) {
            await waitMilliseconds(SETTLEMENT_POLL_MILLISECONDS);
        }
        this.#logger.logChange("gateway drained");
        this.close();
    }

    /** Closes all servers and connections immediately. */
    close(): void {
        clearInterval(this.#guardTimer);
        this.#agentClient.close();
        this.#server?.close();
        this.#server?.closeAllConnections();
        this.#adminServer?.close();
        this.#adminServer?.closeAllConnections();
    }

    /** Closes the callers whose time is over, and logs what was closed. */
    #updateGuards(): void {
        this.#guard.update();
        this.#adminGuard.update();
        const now = performance.now();
        if (this.#drops.size > 0 && now - this.#dropsLoggedAt >= DROP_LINE_MILLISECONDS) {
            const { connectionCount: connections, usedBytes: bytes } = this.#guard;
            this.#logger.logChange("clients closed", { ...Object.fromEntries(this.#drops), connections, bytes });
            this.#drops.clear();
            this.#dropsLoggedAt = now;
        }
    }

    /** Stops listening, and waits for all started requests to end. */
    async #drainServer(): Promise<void> {
        const server = this.#server;
        if (server === undefined) {
            return;
        }
        const closed = new Promise<void>(resolve => void server.close(() => resolve()));
        server.closeIdleConnections();
        await closed;
    }

    async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        this.#activeResponses.add(response);
        response.once("close", () => this.#activeResponses.delete(response));
        if (this.#isDraining) {
            response.setHeader("connection", "close");
        }
        let context: RequestContext | undefined;
        try {
            const account = findAccount(request, this.#getTable());
            context = buildContext({ request, response }, account);
            await this.#serveRequest(context);
        }
        catch (error) {
            this.#sendErrorResponse(response, error);
        }
        finally {
            context?.close();
        }
    }

    /** Gets the routing table. @throws {ServingError} If no configuration has been received yet. */
    #getTable(): RoutingState["table"] {
        if (this.#routing.generation === 0) {
            throw new ServingError("Cannot start new work: no configuration is known yet.", {
                code: "not_serving",
                verdict: "not-run",
                retryAfterSeconds: 1,
            });
        }
        return this.#routing.table;
    }

    /** Passes a request to the handler for its path. */
    async #serveRequest(context: RequestContext): Promise<void> {
        const { request } = context;
        const url = request.url ?? "/";
        const path = url.split("?")[0] ?? "/";
        const lastEventId = request.headers["last-event-id"];
        const isGeneration = GENERATION_PATHS.has(path) && request.method === "POST";
        if (typeof lastEventId === "string" && (isGeneration || path === RESUME_PATH)) {
            request.resume();
            await this.#generationHandler.handleResume(context, lastEventId);
            return;
        }
        const [, service, servicePath] = SERVICE_PATH_PATTERN.exec(url) ?? [];
        if (!isGeneration && (service === undefined || servicePath === undefined)) {
            throw new ServingError(`Cannot serve ${request.method} ${path}: there is no such path.`, {
                code: "not_found",
                verdict: "not-run",
            });
        }
        const body = await this.#readBody(context);
        if (service !== undefined && servicePath !== undefined) {
            await this.#serviceHandler.handleService(context, { service, path: servicePath, body });
        }
        else {
            await this.#generationHandler.handleGeneration(context, { path, body });
        }
    }

    async #readBody({ request, response }: RequestContext): Promise<Buffer> {
        try {
            const body = await readRequestBody(request, {
                maxBytes: this.#settings.maxBodyBytes,
                reserve: bytes => this.#guard.reserveBody(request, response, bytes),
                onSmallPieces: pieces => this.#guard.countSmallPieces(request, pieces),
                onRefusal: refuse => this.#guard.setBodyRefusal(request, refuse),
            });
            this.#guard.markAccepted(request);
            return body;
        }
        catch (error) {
            if (error instanceof ClientDroppedError && !this.#guard.hasDropped(request)) {
                throw error.reason === ClientDrop.bodyTimeout
                    ? new ServingError(error.message, { code: "body_timeout", verdict: "not-run" })
                    : new ServingError(error.message, {
                        code: "busy",
                        verdict: "not-run",
                        retryAfterSeconds: NO_MEMORY_RETRY_SECONDS,
                    });
            }
            throw error instanceof BodyTooLargeError
                ? new ServingError(error.message, { code: "body_too_large", verdict: "not-run" })
                : new ServingError("The caller has gone.", { code: "caller_gone", verdict: "not-run" });
        }
    }

    /** Sends an error as the response, or closes the connection if the response has been started already. */
    #sendErrorResponse(response: ServerResponse, error: unknown): void {
        if (response.headersSent || response.destroyed) {
            response.destroy();
            return;
        }
        if (error instanceof ServingError) {
            if (error.code === "body_too_large") {
                response.setHeader("connection", "close");
            }
            sendError(response, error);
            return;
        }
        this.#logger.logFault("request failed unexpectedly", { error: String(error) });
        const message = "Cannot serve the request: the gateway failed unexpectedly.";
        sendError(response, new ServingError(message, { code: "target_failed", verdict: "may-have-run" }));
    }

    #dumpState(): Record<string, unknown> {
        return {
            instance: this.#settings.instance,
            zone: this.#settings.zone,
            isDraining: this.#isDraining,
            activeRequests: this.#activeResponses.size,
            routing: this.#routing.dumpState(),
            lanes: this.#dispatcher.dumpState(),
            permits: this.#agentClient.listHeldPermits(),
            unsettledClaims: this.#agentClient.pendingSettlementCount,
        };
    }
}
