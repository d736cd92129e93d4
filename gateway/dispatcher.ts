/**
 * Places requests on targets: queues each request, chooses a target for it, and acquires a permit from the target's
 * owner, which is the instance whose agent admits requests to the target.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import PQueue, { type Queue, type QueueAddOptions } from "p-queue";
import { type AttemptOutcome, FairQueue, type FairQueueItemOptions } from "../core/admission/mod.ts";
import type { RoutedTarget } from "../core/inventory/mod.ts";
import { type Candidate, chooseTarget, computeOwnerWait } from "../core/placement/mod.ts";
import type { LengthDistribution } from "../core/prediction/mod.ts";
import { LinkedSignal, waitMilliseconds } from "../network/mod.ts";
import { createRetryableError, ServingError } from "../network/serving_error.ts";
import type { AgentClient } from "./agent_client.ts";
import type { RoutingState } from "./routing_state.ts";

/** A request to be placed on a target. */
export interface PlacementRequest {
    /** Name of the model or service that the request is for. */
    modelOrService: string;
    /** Lists the names of the targets that can serve the request. */
    targets: () => readonly string[];
    /** Client account of the caller. */
    account: string;
    /** Weight of the client account in fair queuing. */
    weight: number;
    /** Priority; 0 is the highest. */
    priority: number;
    /** Length of the prompt, in tokens. */
    promptTokens: number;
    /** Predicted distribution of the output length, in tokens; empty for a service. */
    lengths: LengthDistribution;
    /** Hash of the prompt's prefix, for cache affinity; `undefined` if the request has none. */
    prefixHash?: string | undefined;
    /** Monotonic time until which the request waits for a placement, in milliseconds. */
    waitDeadline: number;
    /** Aborted when the caller has disconnected or its deadline has passed. */
    signal: AbortSignal;
    /** Names of targets to use only if no other target is open. Defaults to none. */
    avoidedTargets?: ReadonlySet<string>;
}

/** A target, and the permit to send it one request. */
export interface Placement {
    /** Identifier of the permit. */
    permitId: string;
    /** Target to send the request to. */
    target: RoutedTarget;
    /** Releases the permit, with the outcome of the request. */
    release: (outcome: AttemptOutcome) => void;
}

/** Options of a {@linkcode Dispatcher}. */
export interface DispatcherOptions {
    /** Name of this instance. */
    instance: string;
    /** Client of the agent, which passes requests for permits to the targets' owners. */
    agentClient: AgentClient;
    /** Known targets, their headroom, and whether new requests may be started. */
    routing: RoutingState;
    /** Maximum number of requests in one queue. */
    maxQueue: number;
    /** Maximum number of requests of one queue that acquire permits concurrently. Defaults to 64. */
    queueConcurrency?: number;
    /** Random number generator that returns numbers from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
}

type RunFunction = () => Promise<unknown>;
type QueueOptions = QueueAddOptions & FairQueueItemOptions;

/** Adapts {@linkcode FairQueue} to the queue interface of `p-queue`. */
class RequestQueue extends FairQueue<RunFunction> implements Queue<RunFunction, QueueOptions> {
    override remove(id: string): RunFunction | undefined {
        return super.remove(id);
    }
}

const DEFAULT_QUEUE_CONCURRENCY = 64;
/** Maximum delay that a timer supports, in milliseconds. */
const MAX_TIMER_MILLISECONDS = 2 ** 31 - 1;
/** Minimum pause after all candidates refused a permit, before they are tried again, in milliseconds. */
const MIN_ROUND_PAUSE_MILLISECONDS = 40;
/** Maximum random addition to that pause, in milliseconds. */
const ROUND_PAUSE_JITTER_MILLISECONDS = 80;

/** Queues requests, and gives each of them a target and a permit. */
export class Dispatcher {
    readonly #options: DispatcherOptions;
    readonly #queues = new Map<string, PQueue<RequestQueue, QueueOptions>>();

    constructor(options: DispatcherOptions) {
        this.#options = options;
    }

    /**
     * Queues a request, and waits until it is placed.
     *
     * @throws {ServingError} If the queue is full or no target granted a permit in time; the request did not run.
     */
    async requestPlacement(request: PlacementRequest): Promise<Placement> {
        const queue = this.#getQueue(request);
        if (queue.size >= this.#options.maxQueue) {
            throw this.#createRetryableError(
                "queue_full",
                `Cannot queue the request: ${queue.size} wait for "${request.modelOrService}".`,
            );
        }
        const { account, weight, priority } = request;
        // A prompt token costs an eighth of an output token. `lengths[2]` is the median output length.
        const cost = request.promptTokens / 8 + (request.lengths[2] ?? 1);
        // A request that is cancelled or whose wait expires leaves the queue at once, regardless of its position.
        const timeoutMilliseconds = Math.ceil(
            Math.max(0, Math.min(MAX_TIMER_MILLISECONDS, request.waitDeadline - performance.now())),
        );
        const linked = new LinkedSignal([request.signal], { timeoutMilliseconds });
        const { signal } = linked;
        try {
            return await queue.add(() => this.#findPlacement({ ...request, signal }), {
                account,
                weight,
                priority,
                cost,
                signal,
            });
        }
        catch (error) {
            if (error instanceof ServingError) {
                throw error;
            }
            throw request.signal.aborted ? this.#createAbortError(request.signal) : this.#createBusyError(request);
        }
        finally {
            linked.close();
        }
    }

    /** Describes the queues for a state dump. */
    dumpState(): Record<string, unknown> {
        return Object.fromEntries(
            [...this.#queues].map(([name, queue]) => [name, { waiting: queue.size, asking: queue.pending }]),
        );
    }

    /**
     * Gets the queue of a model or service and a priority, creating it if needed. Queues are separate, so that requests
     * waiting for permits in one queue never block those in another.
     */
    #getQueue(request: PlacementRequest): PQueue<RequestQueue, QueueOptions> {
        const name = `${request.modelOrService}/${request.priority}`;
        const queue = this.#queues.get(name) ?? new PQueue<RequestQueue, QueueOptions>({
            concurrency: this.#options.queueConcurrency ?? DEFAULT_QUEUE_CONCURRENCY,
            queueClass: RequestQueue,
        });
        this.#queues.set(name, queue);
        return queue;
    }

    /** Tries candidates in rounds until one grants a permit or the wait ends; each round tries a candidate once. */
    async #findPlacement(request: PlacementRequest): Promise<Placement> {
        const tried = new Set<string>();
        let attempts = 0;
        for (;;) {
            this.#checkRequest(request);
            const candidates = this.#listCandidates(request);
            const untried = candidates.filter(candidate => !tried.has(candidate.name));
            if (untried.length === 0) {
                tried.clear();
                await waitMilliseconds(
                    MIN_ROUND_PAUSE_MILLISECONDS + this.#options.random() * ROUND_PAUSE_JITTER_MILLISECONDS,
                );
                continue;
            }
            const result = await this.#tryCandidates(untried, { request, attempts });
            attempts += 1;
            if (result.kind === "placed") {
                return result.placement;
            }
            tried.add(result.name);
        }
    }

    /** Throws if the request's wait has expired, if it was cancelled, or if no new requests may be started. */
    #checkRequest(request: PlacementRequest): void {
        const { routing } = this.#options;
        if (performance.now() >= request.waitDeadline) {
            throw this.#createBusyError(request);
        }
        if (request.signal.aborted) {
            throw this.#createAbortError(request.signal);
        }
        if (routing.notServingReason !== "") {
            throw this.#createRetryableError("not_serving", `Cannot start new work: ${routing.notServingReason}.`);
        }
    }

    #createBusyError(request: PlacementRequest): ServingError {
        return this.#createRetryableError("busy", `Cannot find a place for "${request.modelOrService}" in time.`);
    }

    #listCandidates(request: PlacementRequest): Candidate[] {
        const candidates = this.#options.routing.listCandidates(request.targets());
        if (candidates.length === 0) {
            throw this.#createRetryableError(
                "no_target",
                `Cannot serve "${request.modelOrService}": no target of it takes new work.`,
            );
        }
        const preferred = candidates.filter(candidate => !request.avoidedTargets?.has(candidate.name));
        return preferred.length > 0 ? preferred : candidates;
    }

    /** Chooses one of `candidates`, and asks its owner for a permit. */
    async #tryCandidates(
        candidates: Candidate[],
        state: { request: PlacementRequest; attempts: number; },
    ): Promise<{ kind: "placed"; placement: Placement; } | { kind: "refused"; name: string; }> {
        const { instance, agentClient, random } = this.#options;
        const { request, attempts } = state;
        const { account, weight, priority, promptTokens, lengths, prefixHash: prefix } = request;
        const chosen = chooseTarget(candidates, { random, ...prefix === undefined ? {} : { prefix } });
        const target = chosen?.name ?? "";
        const permitId = `${instance}-${randomUUID()}`;
        const waitMilliseconds = Math.max(
            0,
            Math.min(computeOwnerWait(attempts), request.waitDeadline - performance.now()),
        );
        const result = await agentClient.requestPermit({
            permitId,
            target,
            origin: instance,
            account,
            weight,
            priority,
            promptTokens,
            lengths,
            waitMilliseconds,
        });
        if (result.kind === "refused") {
            return { kind: "refused", name: target };
        }
        return this.#acceptPermit({ permitId, target, signal: request.signal });
    }

    /** Accepts a granted permit, or releases it if the target has closed or the request was cancelled meanwhile. */
    #acceptPermit(
        permit: { permitId: string; target: string; signal: AbortSignal; },
    ): { kind: "placed"; placement: Placement; } | { kind: "refused"; name: string; } {
        const { agentClient, routing } = this.#options;
        const target = routing.findTarget(permit.target);
        const isOpen = target !== undefined && target.closedBy === undefined && routing.notServingReason === "";
        if (!isOpen || permit.signal.aborted) {
            agentClient.releasePermit(permit, "cancelled");
            return { kind: "refused", name: permit.target };
        }
        const release = (outcome: AttemptOutcome): void => agentClient.releasePermit(permit, outcome);
        return { kind: "placed", placement: { permitId: permit.permitId, target, release } };
    }

    #createAbortError(signal: AbortSignal): ServingError {
        if (signal.reason instanceof ServingError) {
            return signal.reason;
        }
        return new ServingError("The caller has gone.", { code: "caller_gone", verdict: "not-run" });
    }

    #createRetryableError(code: "queue_full" | "not_serving" | "busy" | "no_target", message: string): ServingError {
        return createRetryableError(message, { code, random: this.#options.random });
    }
}
