/**
 * Serves requests for generations: places each on an engine, relays its tokens, and retries it on another engine where
 * that is safe.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { hashText } from "../core/hashing/mod.ts";
import { type Account, classifyRequest, type Kind, type RoutedTarget } from "../core/inventory/mod.ts";
import type { LengthPredictor } from "../core/prediction/mod.ts";
import { type EventPosition, parseEventId, RelayState } from "../core/relay/mod.ts";
import { decideRetry, type RetryBudget, type Verdict } from "../core/verdict/mod.ts";
import { chooseRetryAfterSeconds, mergeVerdictIntoError, ServingError } from "../network/serving_error.ts";
import type { AgentClient } from "./agent_client.ts";
import type { Dispatcher, Placement } from "./dispatcher.ts";
import { cancelGeneration } from "./engine_client.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { relayGeneration, type RelayResult } from "./generation_relay.ts";
import { type GenerationRequest, parseGenerationRequest } from "./generation_request.ts";
import type { RequestContext } from "./request_context.ts";
import { BufferedStreamSink, CompletionSink, type ResponseSink, StreamSink } from "./response_sink.ts";
import type { RoutingState } from "./routing_state.ts";

/** Components of a gateway that its request handlers share. */
export interface HandlerDependencies {
    /** Validated settings. */
    settings: GatewaySettings;
    /** Client of the agent. */
    agentClient: AgentClient;
    /** Known targets, their headroom, and whether new requests may be started. */
    routing: RoutingState;
    /** Places requests on targets. */
    dispatcher: Dispatcher;
    /** Predicts output lengths from those observed. */
    predictor: LengthPredictor;
    /** Limits retries to a share of the first attempts. */
    retryBudget: RetryBudget;
    /** Metrics. */
    metrics: GatewayMetrics;
    /** Random number generator that returns numbers from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
}

/** A request for a generation, as it is being served. */
interface GenerationJob {
    context: RequestContext;
    request: GenerationRequest;
    /** Kind of the request, which determines its priority, its maximum wait, and whether it may be repeated. */
    kind: Kind;
    sink: ResponseSink;
    path: string;
    /** Aborted when the relay is to end. */
    stopSignal: AbortSignal;
}

/** Maximum number of attempts to serve one request. */
const MAX_ATTEMPTS = 6;
/** Time within which an engine must confirm a cancellation, in milliseconds. */
const CANCEL_TIMEOUT_MILLISECONDS = 1000;

/** Serves requests that start or resume a generation. */
export class GenerationHandler {
    readonly #dependencies: HandlerDependencies;

    constructor(dependencies: HandlerDependencies) {
        this.#dependencies = dependencies;
    }

    /** Serves a request for a new generation. */
    async handleGeneration(context: RequestContext, input: { path: string; body: Buffer; }): Promise<void> {
        const request = parseGenerationRequest(input.body, { isChat: input.path.endsWith("/chat/completions") });
        const kind = this.#classifyRequest(context);
        if (!this.#dependencies.routing.table.enginesByModel.has(request.model)) {
            throw new ServingError(`Cannot serve the model "${request.model}": it is not in the inventory.`, {
                code: "unknown_model",
                verdict: "not-run",
            });
        }
        const sink = createSink(context, { request, kind });
        const stop = this.#createStopSignal(context, sink);
        const job = { context, request, kind, sink, path: input.path, stopSignal: stop.signal };
        try {
            await this.#runAttempts(job);
        }
        catch (error) {
            if (!(error instanceof ServingError)) {
                throw error;
            }
            sink.fail(error);
            this.#dependencies.metrics.countRequestEnd(kind.name, error.code);
        }
        finally {
            stop.close();
        }
    }

    /** Serves a request to resume the stream of a generation, which this or another gateway started. */
    async handleResume(context: RequestContext, eventId: string): Promise<void> {
        const position = parseEventId(eventId);
        const target = this.#dependencies.routing.findTarget(position?.target ?? "");
        const isOwnGeneration = position?.generation.startsWith(formatAccountPrefix(context.account));
        if (position === undefined || target === undefined || !isOwnGeneration) {
            throw new ServingError(`Cannot resume the stream: "${eventId}" names no generation of this caller.`, {
                code: "generation_lost",
                verdict: "may-have-run",
            });
        }
        this.#dependencies.metrics.countResume();
        const sink = new StreamSink(context.response);
        const stop = this.#createStopSignal(context, sink);
        try {
            await this.#relayResumed(context, { position, target, sink, stopSignal: stop.signal });
        }
        finally {
            stop.close();
        }
    }

    async #relayResumed(
        context: RequestContext,
        resumed: { position: EventPosition; target: RoutedTarget; sink: ResponseSink; stopSignal: AbortSignal; },
    ): Promise<void> {
        const { position, target, sink, stopSignal } = resumed;
        const relay = new RelayState(position.generation, { firstIndex: position.index + 1 });
        const result = await this.#relay({ target, relay, sink, path: "", body: undefined, priority: 1, stopSignal });
        if (result.kind === "finished") {
            sink.finish();
            this.#dependencies.metrics.countRequestEnd("resume", "finished");
            return;
        }
        if (result.kind === "stopped") {
            await this.#cancel(target, relay.generation);
            if (!context.callerSignal.aborted) {
                sink.fail(this.#createStopError(context, { hasStarted: true }));
            }
            return;
        }
        sink.fail(createGenerationLostError(position.generation, "may-have-run"));
        this.#dependencies.metrics.countRequestEnd("resume", "generation_lost");
    }

    #classifyRequest(context: RequestContext): Kind {
        const header = context.request.headers["x-kind"];
        const description = {
            service: undefined,
            method: "POST",
            path: "/",
            kind: typeof header === "string" ? header : undefined,
        };
        return classifyRequest(description, { table: this.#dependencies.routing.table, account: context.account });
    }

    async #runAttempts(job: GenerationJob): Promise<void> {
        const { context, kind, sink } = job;
        const startedAt = performance.now();
        const waitDeadline = Math.min(context.deadline, startedAt + kind.patienceMilliseconds);
        const avoidedTargets = new Set<string>();
        let verdict: Verdict = "not-run";
        this.#dependencies.retryBudget.recordFirstAttempt();
        for (let attempts = 1;; attempts += 1) {
            const placement = await this.#requestPlacement(job, { waitDeadline, avoidedTargets, verdict });
            const attempt = await this.#runAttempt(job, placement);
            if (attempt.result.kind === "finished") {
                this.#dependencies.metrics.countRequestEnd(kind.name, "finished");
                return;
            }
            if (attempt.result.kind === "stopped") {
                throw this.#createStopError(context, { hasStarted: attempt.producedTokens > 0 });
            }
            avoidedTargets.add(placement.target.name);
            verdict = attempt.result.kind === "lost" ? "may-have-run" : verdict;
            if (!this.#isRetryAllowed(job, { attempts, verdict, result: attempt.result })) {
                throw attempt.result.kind === "lost" && sink.hasStarted
                    ? createGenerationLostError(attempt.generation, "may-have-run")
                    : this.#createTargetFailedError(attempt.result.error, verdict);
            }
            sink.dropTokens();
            this.#dependencies.metrics.countRetry();
        }
    }

    #isRetryAllowed(
        job: GenerationJob,
        state: { attempts: number; verdict: Verdict; result: RelayResult; },
    ): boolean {
        const canRestart = state.result.kind !== "lost" || state.result.decision === "restart";
        const isAllowed = decideRetry({
            verdict: state.verdict,
            isRepeatable: job.kind.isRepeatable,
            hasReachedCaller: job.sink.hasStarted,
            attempts: state.attempts,
            remainingMilliseconds: job.context.deadline - performance.now(),
        }, { maxAttempts: MAX_ATTEMPTS });
        // The retry budget does not apply to buffered responses, whose delivery must not fail for lack of it. Their
        // retries cannot multiply load, since each attempt waits for a permit.
        const isWithinBudget = job.sink.isBuffered || this.#dependencies.retryBudget.takeRetry();
        return canRestart && isAllowed && isWithinBudget;
    }

    async #requestPlacement(
        job: GenerationJob,
        options: { waitDeadline: number; avoidedTargets: ReadonlySet<string>; verdict: Verdict; },
    ): Promise<Placement> {
        const { context, request, kind } = job;
        const { routing, predictor, dispatcher } = this.#dependencies;
        const key = { account: context.account.name, kind: kind.name, model: request.model };
        const maxLength = request.maxTokens ?? Infinity;
        const placement = dispatcher.requestPlacement({
            modelOrService: request.model,
            targets: () => routing.table.enginesByModel.get(request.model) ?? [],
            account: context.account.name,
            weight: context.account.weight,
            priority: kind.priority,
            promptTokens: request.promptTokens,
            lengths: predictor.estimateLengths(key).map(length => Math.min(length, maxLength)),
            prefixHash: request.prefixHash,
            waitDeadline: options.waitDeadline,
            signal: context.signal,
            avoidedTargets: options.avoidedTargets,
        });
        return placement.catch((error: unknown) => {
            throw mergeVerdictIntoError(error, options.verdict);
        });
    }

    async #runAttempt(
        job: GenerationJob,
        placement: Placement,
    ): Promise<{ result: RelayResult; producedTokens: number; generation: string; }> {
        const { context, request, kind, sink, path, stopSignal } = job;
        const { target, permitId } = placement;
        const { agentClient, predictor, metrics } = this.#dependencies;
        const generation = `${formatAccountPrefix(context.account)}${randomUUID()}`;
        const relay = new RelayState(generation, { isBuffered: sink.isBuffered });
        const result = await this.#relay({
            target,
            relay,
            sink,
            path,
            body: request.body,
            priority: kind.priority,
            stopSignal,
            onToken: producedTokens => agentClient.recordProgress(permitId, producedTokens),
        });
        if (result.kind === "finished") {
            placement.release("finished");
            predictor.observeLength(
                { account: context.account.name, kind: kind.name, model: request.model },
                relay.nextIndex,
            );
            sink.finish();
        }
        else if (result.kind === "refused") {
            placement.release(result.error.progress === "refused" ? "refused" : "broken");
        }
        else {
            const isCancelled = await this.#cancel(target, generation);
            placement.release(isCancelled && result.kind === "stopped" ? "cancelled" : "broken");
        }
        metrics.countTokens(relay.nextIndex);
        return { result, producedTokens: relay.nextIndex, generation };
    }

    #relay(
        input: {
            target: RoutedTarget;
            relay: RelayState;
            sink: ResponseSink;
            path: string;
            body: Buffer | undefined;
            priority: number;
            stopSignal: AbortSignal;
            onToken?: (producedTokens: number) => void;
        },
    ): Promise<RelayResult> {
        const { settings, metrics } = this.#dependencies;
        const { stopSignal, onToken = () => undefined, ...rest } = input;
        return relayGeneration({
            ...rest,
            connectMilliseconds: settings.connectMilliseconds,
            silenceMilliseconds: settings.silenceMilliseconds,
            signal: stopSignal,
            onToken,
            onResume: () => metrics.countResume(),
        });
    }

    #cancel(target: RoutedTarget, generation: string): Promise<boolean> {
        return cancelGeneration(target, { generation, timeoutMilliseconds: CANCEL_TIMEOUT_MILLISECONDS });
    }

    /**
     * Creates a signal that ends the relay, at the deadline or when the caller has disconnected.
     *
     * If a stream has been started, the signal follows the disconnection after a grace period, in which the caller can
     * resume the generation through this or another gateway.
     */
    #createStopSignal(context: RequestContext, sink: ResponseSink): { signal: AbortSignal; close: () => void; } {
        const controller = new AbortController();
        let timer: NodeJS.Timeout | undefined;
        const stop = (): void => controller.abort();
        context.deadlineSignal.addEventListener("abort", stop);
        context.callerSignal.addEventListener("abort", () => {
            const graceMilliseconds = sink.isBuffered || !sink.hasStarted
                ? 0
                : this.#dependencies.settings.graceMilliseconds;
            timer = setTimeout(stop, graceMilliseconds);
        });
        return { signal: controller.signal, close: () => clearTimeout(timer) };
    }

    #createStopError(context: RequestContext, options: { hasStarted: boolean; }): ServingError {
        const verdict = options.hasStarted ? "may-have-run" : "not-run";
        return context.deadlineSignal.aborted
            ? new ServingError("Cannot finish the generation before its deadline.", {
                code: "deadline",
                verdict: "may-have-run",
            })
            : new ServingError("The caller has gone.", { code: "caller_gone", verdict });
    }

    #createTargetFailedError(cause: Error, verdict: Verdict): ServingError {
        const retryAfterSeconds = chooseRetryAfterSeconds(this.#dependencies.random);
        return new ServingError(`Cannot serve the generation: ${cause.message}`, {
            code: "target_failed",
            verdict,
            retryAfterSeconds,
        });
    }
}

function createSink(context: RequestContext, options: { request: GenerationRequest; kind: Kind; }): ResponseSink {
    const { request, kind } = options;
    if (!request.isStream) {
        return new CompletionSink(context.response, { isChat: request.isChat });
    }
    return kind.delivery === "whole" ? new BufferedStreamSink(context.response) : new StreamSink(context.response);
}

function createGenerationLostError(generation: string, verdict: Verdict): ServingError {
    const message = `The generation "${generation}" is lost; ask again for a new one.`;
    return new ServingError(message, { code: "generation_lost", verdict });
}

/** Formats the prefix of an account's generation identifiers, so that no other account can resume its streams. */
function formatAccountPrefix(account: Account): string {
    return `${hashText(account.name).toString(16)}-`;
}
