/**
 * Runs a gateway on sockets.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { LengthPredictor } from "../core/prediction/mod.ts";
import { RetryBudget } from "../core/verdict/mod.ts";
import { BodyTooLargeError, openHttpServer, readBody, waitMilliseconds } from "../network/mod.ts";
import { sendError, ServingError } from "../network/serving_error.ts";
import { type ChangeLogger, openAdminServer } from "../telemetry/mod.ts";
import { AgentLink } from "./agent_link.ts";
import { Dispatcher } from "./dispatcher.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { GenerationHandler, type HandlerContext } from "./generation_handler.ts";
import { buildContext, findAccount, type RequestContext } from "./request_context.ts";
import { RoutingState } from "./routing_state.ts";
import { ServiceHandler } from "./service_handler.ts";

/** Options of a {@linkcode GatewayProcess}. */
export interface GatewayProcessOptions {
    /** Checked settings. */
    settings: GatewaySettings;
    /** Logs changes of state. */
    logger: ChangeLogger;
    /** Source of random numbers from 0 up to 1. Defaults to `Math.random`. */
    random?: () => number;
}

const GENERATION_PATHS = new Set(["/v1/completions", "/v1/chat/completions"]);
const RESUME_PATH = "/v1/events";
const SERVICE_PATH = /^\/services\/([\w.-]+)(\/.*)$/;
const SETTLE_POLL = 50;
/** Longest time that a stopping gateway waits for its settlements to become durable, in milliseconds. */
const MAX_SETTLE_WAIT = 30_000;

/** A gateway that runs in this process. */
export class GatewayProcess {
    readonly #settings: GatewaySettings;
    readonly #logger: ChangeLogger;
    readonly #routing: RoutingState;
    readonly #link: AgentLink;
    readonly #dispatcher: Dispatcher;
    readonly #metrics: GatewayMetrics;
    readonly #generations: GenerationHandler;
    readonly #services: ServiceHandler;
    readonly #active = new Set<ServerResponse>();
    #server: Server | undefined;
    #adminServer: Server | undefined;
    #isDraining = false;

    constructor(options: GatewayProcessOptions) {
        const { settings, logger, random = Math.random } = options;
        const { instance, zone, agentAddress, maxQueue } = settings;
        this.#settings = settings;
        this.#logger = logger;
        this.#routing = new RoutingState({ instance, zone });
        this.#link = new AgentLink({
            instance,
            address: agentAddress,
            onMessage: message => this.#routing.handleMessage(message),
            onLost: () => this.#routing.handleLost(),
        });
        this.#dispatcher = new Dispatcher({ instance, link: this.#link, routing: this.#routing, maxQueue, random });
        this.#metrics = new GatewayMetrics({ countActive: () => this.#active.size });
        const shared: HandlerContext = {
            settings,
            link: this.#link,
            routing: this.#routing,
            dispatcher: this.#dispatcher,
            predictor: new LengthPredictor(),
            retryBudget: new RetryBudget(),
            metrics: this.#metrics,
            random,
        };
        this.#generations = new GenerationHandler(shared);
        this.#services = new ServiceHandler(shared);
    }

    /** Opens the sockets. */
    async start(): Promise<void> {
        const { listenAddress, adminAddress, maxHeaderBytes, bodyTimeoutMilliseconds } = this.#settings;
        this.#server = await openHttpServer({
            address: listenAddress,
            handler: (request, response) => this.#handleRequest(request, response),
            maxHeaderSize: maxHeaderBytes,
            requestTimeout: bodyTimeoutMilliseconds,
        });
        this.#adminServer = await openAdminServer({
            address: adminAddress,
            registry: this.#metrics.registry,
            dumpState: () => this.#dumpState(),
            describeReadiness: () => (this.#isDraining ? "draining" : this.#routing.notServing),
        });
        this.#logger.logChange("gateway started", { instance: this.#settings.instance, zone: this.#settings.zone });
    }

    /** Fails readiness, serves until the balancer has noticed, and ends when every request has ended. */
    async drain(): Promise<void> {
        this.#isDraining = true;
        await waitMilliseconds(this.#settings.drainDelayMilliseconds);
        await this.#closeServer();
        const deadline = performance.now() + MAX_SETTLE_WAIT;
        while (this.#link.unsettledCount > 0 && performance.now() < deadline) {
            await waitMilliseconds(SETTLE_POLL);
        }
        this.#logger.logChange("gateway drained");
        this.close();
    }

    /** Closes everything at once. */
    close(): void {
        this.#link.close();
        this.#server?.close();
        this.#server?.closeAllConnections();
        this.#adminServer?.close();
        this.#adminServer?.closeAllConnections();
    }

    /** Stops to listen, and waits for every request that was begun. */
    async #closeServer(): Promise<void> {
        const server = this.#server;
        if (server === undefined) {
            return;
        }
        const closed = new Promise<void>(resolve => void server.close(() => resolve()));
        server.closeIdleConnections();
        await closed;
    }

    async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        this.#active.add(response);
        response.once("close", () => this.#active.delete(response));
        if (this.#isDraining) {
            response.setHeader("connection", "close");
        }
        let context: RequestContext | undefined;
        try {
            const account = findAccount(request, this.#checkTable());
            context = buildContext({ request, response }, account);
            await this.#route(context);
        }
        catch (error) {
            this.#answerError(response, error);
        }
        finally {
            context?.close();
        }
    }

    /** Refuses a request that comes before any configuration is known. */
    #checkTable(): RoutingState["table"] {
        if (this.#routing.generation === 0) {
            throw new ServingError("Cannot start new work: no configuration is known yet.", {
                code: "not_serving",
                verdict: "not-run",
                retryAfterSeconds: 1,
            });
        }
        return this.#routing.table;
    }

    async #route(context: RequestContext): Promise<void> {
        const { request } = context;
        const url = request.url ?? "/";
        const path = url.split("?")[0] ?? "/";
        const lastEventId = request.headers["last-event-id"];
        const isGeneration = GENERATION_PATHS.has(path) && request.method === "POST";
        if (typeof lastEventId === "string" && (isGeneration || path === RESUME_PATH)) {
            request.resume();
            await this.#generations.handleResume(context, lastEventId);
            return;
        }
        const [, service, rest] = SERVICE_PATH.exec(url) ?? [];
        if (!isGeneration && (service === undefined || rest === undefined)) {
            throw new ServingError(`Cannot serve ${request.method} ${path}: there is no such path.`, {
                code: "not_found",
                verdict: "not-run",
            });
        }
        const body = await this.#readBody(request);
        if (service !== undefined && rest !== undefined) {
            await this.#services.handleService(context, { service, path: rest, body });
        }
        else {
            await this.#generations.handleGeneration(context, { path, body });
        }
    }

    async #readBody(request: IncomingMessage): Promise<Buffer> {
        try {
            return await readBody(request, { maxBytes: this.#settings.maxBodyBytes });
        }
        catch (error) {
            throw error instanceof BodyTooLargeError
                ? new ServingError(error.message, { code: "body_too_large", verdict: "not-run" })
                : new ServingError("The caller has gone.", { code: "caller_gone", verdict: "not-run" });
        }
    }

    #answerError(response: ServerResponse, error: unknown): void {
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
            activeRequests: this.#active.size,
            routing: this.#routing.dumpState(),
            lanes: this.#dispatcher.dumpState(),
            permits: this.#link.listHeld(),
            unsettledClaims: this.#link.unsettledCount,
        };
    }
}
