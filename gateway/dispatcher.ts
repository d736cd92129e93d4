/**
 * Finds a place for each piece of work: queues it, chooses a target, and gets a permit.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import PQueue, { type Queue, type QueueAddOptions } from "p-queue";
import { FairQueue, type FairQueueItemOptions, type WorkOutcome } from "../core/admission/mod.ts";
import type { RoutedTarget } from "../core/inventory/mod.ts";
import { type Candidate, chooseTarget, computeOwnerWait } from "../core/placement/mod.ts";
import type { LengthDistribution } from "../core/prediction/mod.ts";
import { waitMilliseconds } from "../network/mod.ts";
import { createRefusal, ServingError } from "../network/serving_error.ts";
import type { AgentLink } from "./agent_link.ts";
import type { RoutingState } from "./routing_state.ts";

/** A piece of work that needs a place. */
export interface PlacementRequest {
    /** Model or service that the work is for. */
    lane: string;
    /** Names of the targets that could do it. */
    targets: () => readonly string[];
    /** Client account. */
    account: string;
    /** Weight of the client account. */
    weight: number;
    /** Priority; 0 goes first. */
    priority: number;
    /** Length of the prompt, in tokens. */
    promptTokens: number;
    /** Expected output lengths, in tokens; empty for a plain service. */
    lengths: LengthDistribution;
    /** Hash of the prompt's prefix; `undefined` for none. */
    prefix?: string | undefined;
    /** Time until which a place is waited for, on the monotonic clock in milliseconds. */
    until: number;
    /** Aborted when the caller has gone or its deadline has passed. */
    signal: AbortSignal;
    /** Targets to avoid while others are open. Defaults to none. */
    avoid?: ReadonlySet<string>;
}

/** A permit with the target that it is for. */
export interface Placement {
    /** Name of the permit. */
    permitId: string;
    /** Target to send the work to. */
    target: RoutedTarget;
    /** Gives the permit back. */
    release: (outcome: WorkOutcome) => void;
}

/** Options of a {@linkcode Dispatcher}. */
export interface DispatcherOptions {
    /** Name of this instance. */
    instance: string;
    /** Link to the agent. */
    link: AgentLink;
    /** What is known of targets. */
    routing: RoutingState;
    /** Most requests that wait in a lane. */
    maxQueue: number;
    /** Requests of one lane that ask for permits at one time. Defaults to 64. */
    laneConcurrency?: number;
    /** Source of random numbers from 0 up to 1. */
    random: () => number;
}

type RunFunction = () => Promise<unknown>;
type LaneOptions = QueueAddOptions & FairQueueItemOptions;

/** A {@linkcode FairQueue} of the shape that `p-queue` takes. */
class LaneQueue extends FairQueue<RunFunction> implements Queue<RunFunction, LaneOptions> {
    override remove(id: string): RunFunction | undefined {
        return super.remove(id);
    }
}

const DEFAULT_LANE_CONCURRENCY = 64;
/** Longest patience that a timer can hold, in milliseconds. */
const MAX_PATIENCE = 2 ** 31 - 1;
const MIN_ROUND_PAUSE = 40;
const ROUND_PAUSE_SPREAD = 80;

/** Gives each piece of work a target and a permit. */
export class Dispatcher {
    readonly #options: DispatcherOptions;
    readonly #lanes = new Map<string, PQueue<LaneQueue, LaneOptions>>();

    constructor(options: DispatcherOptions) {
        this.#options = options;
    }

    /**
     * Waits for a place.
     *
     * @throws {ServingError} Where no place was found in time; the work did not run.
     */
    async requestPlacement(request: PlacementRequest): Promise<Placement> {
        const lane = this.#getLane(request);
        if (lane.size >= this.#options.maxQueue) {
            throw this.#refuse("queue_full", `Cannot queue the request: ${lane.size} wait for "${request.lane}".`);
        }
        const { account, weight, priority } = request;
        const cost = request.promptTokens / 8 + (request.lengths[2] ?? 1);
        // Work that is given up leaves the lane at once, whatever is before it.
        const patience = Math.ceil(Math.max(0, Math.min(MAX_PATIENCE, request.until - performance.now())));
        const signal = AbortSignal.any([request.signal, AbortSignal.timeout(patience)]);
        try {
            return await lane.add(() => this.#findPlace({ ...request, signal }), {
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
            throw request.signal.aborted ? this.#describeAbort(request.signal) : this.#refuseBusy(request);
        }
    }

    /** Describes the queues, for a dump. */
    dumpState(): Record<string, unknown> {
        return Object.fromEntries(
            [...this.#lanes].map(([name, lane]) => [name, { waiting: lane.size, asking: lane.pending }]),
        );
    }

    /** Gets the lane of a model or service and a priority; work that asks in one lane never holds up another. */
    #getLane(request: PlacementRequest): PQueue<LaneQueue, LaneOptions> {
        const name = `${request.lane}/${request.priority}`;
        const lane = this.#lanes.get(name) ?? new PQueue<LaneQueue, LaneOptions>({
            concurrency: this.#options.laneConcurrency ?? DEFAULT_LANE_CONCURRENCY,
            queueClass: LaneQueue,
        });
        this.#lanes.set(name, lane);
        return lane;
    }

    async #findPlace(request: PlacementRequest): Promise<Placement> {
        const tried = new Set<string>();
        let attempts = 0;
        for (;;) {
            this.#checkWait(request);
            const candidates = this.#listCandidates(request);
            const fresh = candidates.filter(candidate => !tried.has(candidate.name));
            if (fresh.length === 0) {
                tried.clear();
                await waitMilliseconds(MIN_ROUND_PAUSE + this.#options.random() * ROUND_PAUSE_SPREAD);
                continue;
            }
            const placement = await this.#tryCandidate(fresh, { request, attempts });
            attempts += 1;
            if (placement.kind === "placed") {
                return placement.placement;
            }
            tried.add(placement.name);
        }
    }

    #checkWait(request: PlacementRequest): void {
        const { routing } = this.#options;
        if (performance.now() >= request.until) {
            throw this.#refuseBusy(request);
        }
        if (request.signal.aborted) {
            throw this.#describeAbort(request.signal);
        }
        if (routing.notServing !== "") {
            throw this.#refuse("not_serving", `Cannot start new work: ${routing.notServing}.`);
        }
    }

    #refuseBusy(request: PlacementRequest): ServingError {
        return this.#refuse("busy", `Cannot find a place for "${request.lane}" in time.`);
    }

    #listCandidates(request: PlacementRequest): Candidate[] {
        const candidates = this.#options.routing.listCandidates(request.targets());
        if (candidates.length === 0) {
            throw this.#refuse("no_target", `Cannot serve "${request.lane}": no target of it takes new work.`);
        }
        const preferred = candidates.filter(candidate => !request.avoid?.has(candidate.name));
        return preferred.length > 0 ? preferred : candidates;
    }

    async #tryCandidate(
        candidates: Candidate[],
        asking: { request: PlacementRequest; attempts: number; },
    ): Promise<{ kind: "placed"; placement: Placement; } | { kind: "refused"; name: string; }> {
        const { instance, link, random } = this.#options;
        const { request, attempts } = asking;
        const { account, weight, priority, promptTokens, lengths, prefix } = request;
        const choice = chooseTarget(candidates, { random, ...prefix === undefined ? {} : { prefix } });
        const target = choice?.name ?? "";
        const permitId = `${instance}-${randomUUID()}`;
        const waitMilliseconds = Math.max(0, Math.min(computeOwnerWait(attempts), request.until - performance.now()));
        const result = await link.requestPermit({
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

    /** Uses a permit only if the target is still open and the caller still waits. */
    #acceptPermit(
        permit: { permitId: string; target: string; signal: AbortSignal; },
    ): { kind: "placed"; placement: Placement; } | { kind: "refused"; name: string; } {
        const { link, routing } = this.#options;
        const target = routing.findTarget(permit.target);
        const isOpen = target !== undefined && target.closedBy === undefined && routing.notServing === "";
        if (!isOpen || permit.signal.aborted) {
            link.releasePermit(permit, "cancelled");
            return { kind: "refused", name: permit.target };
        }
        const release = (outcome: WorkOutcome): void => link.releasePermit(permit, outcome);
        return { kind: "placed", placement: { permitId: permit.permitId, target, release } };
    }

    #describeAbort(signal: AbortSignal): ServingError {
        if (signal.reason instanceof ServingError) {
            return signal.reason;
        }
        return new ServingError("The caller has gone.", { code: "caller_gone", verdict: "not-run" });
    }

    #refuse(code: "queue_full" | "not_serving" | "busy" | "no_target", message: string): ServingError {
        return createRefusal(message, { code, random: this.#options.random });
    }
}
