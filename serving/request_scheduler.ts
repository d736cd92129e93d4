/**
 * Schedules requests on targets.
 *
 * A request for which no target has capacity is queued for its service, or refused if it would wait too long.
 *
 * @module
 */
import PQueue from "p-queue";
import type { Clock } from "../core/clock/mod.ts";
import {
    chooseLeastLoadedTarget,
    chooseRetryAfter,
    type Closure,
    decideQueueAdmission,
    type PrefixPart,
    type QueueAdmission,
    type RequestLoad,
    type SelectionObserver,
    type ServiceDefinition,
    type ServingTarget,
    type TargetSelection,
} from "../core/serving/mod.ts";
import { waitMilliseconds } from "../network/mod.ts";
import type { ServingState } from "./serving_state.ts";

/** A request that needs capacity at a target. */
export interface ReservationRequest {
    /** Service that the request is for. */
    service: ServiceDefinition;
    /** Load that the request adds to its target. */
    requestLoad: RequestLoad;
    /** Keys of the prompt's parts; absent or empty if cached parts do not count. */
    promptPrefix?: readonly PrefixPart[];
    /** Priority; 0 is the highest. */
    priority: number;
    /** Identifiers of the targets at which the request has failed already. */
    avoid: ReadonlySet<string>;
    /** Software version that the target must have, since it began the stream. Defaults to any. */
    softwareVersion?: string | undefined;
    /** Time until the latency objective of the request is missed, in milliseconds. */
    objectiveMilliseconds: number;
    /** Time until the deadline of the request, in milliseconds. */
    remainingMilliseconds: number;
    /** Aborted when the caller has disconnected or the deadline has passed. */
    signal: AbortSignal;
}

/** Capacity at a target reserved for one request. */
export interface Reservation {
    /** Target at which the capacity is reserved. */
    target: ServingTarget;
    /** Score of the target when it was selected: its load, where 1 is full, plus penalties; 0 for a given target. */
    score: number;
    /** Tokens of the prompt that the target is believed to have cached. */
    heldTokens: number;
    /** Records that the target has started to respond. */
    markResponseStarted: () => void;
    /** Records how many output tokens have been received so far. */
    recordOutput: (tokens: number) => void;
    /** Releases the capacity; further calls have no effect. */
    release: () => void;
}

/** A reservation, or the reason for refusing the request. */
export type ReservationResult =
    | { kind: "placed"; reservation: Reservation; }
    | { kind: "refused"; reason: RefusalReason; retryAfterSeconds: number; };

/** Why a request got no target: there is none, all are full, or none accepts requests from this instance. */
export type RefusalReason = "no-target" | "full" | Closure["reason"];

/** Where a request would go; `waiting` is the number of requests that wait already. */
export type PlacementDecision =
    & { waiting: number; }
    & (
        | { kind: "placed"; target: string; score: number; heldTokens: number; }
        | { kind: "waits"; milliseconds: number; }
        | { kind: "refused"; reason: RefusalReason; retryAfterSeconds: number; }
    );

/** Options of a {@linkcode RequestScheduler}. */
export interface RequestSchedulerOptions {
    /** State that targets and their loads are read from. */
    state: ServingState;
    /** Availability zone of this instance. */
    zone: string;
    /** Source of time. */
    clock: Clock;
    /** Random number generator that returns numbers from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
}

/** Interval at which the request at the head of a queue tries to reserve a target, in milliseconds. */
const RETRY_INTERVAL_MILLISECONDS = 10;
/** Length of the window in which released reservations are counted, in milliseconds. */
const RELEASE_WINDOW_MILLISECONDS = 1000;
/** Estimated time until a target is available again if there is none, in milliseconds. */
const NO_TARGET_DELAY_MILLISECONDS = 400;

/** Reserves capacity at targets for requests. */
export class RequestScheduler {
    readonly #options: RequestSchedulerOptions;
    readonly #queues = new Map<string, PQueue>();
    readonly #releaseTimes = new Map<string, number[]>();

    constructor(options: RequestSchedulerOptions) {
        this.#options = options;
    }

    /** Reserves a target at once if possible; otherwise queues the request, or refuses it if it would wait too long. */
    async reserveTarget(request: ReservationRequest): Promise<ReservationResult> {
        const selection = this.chooseTarget(request);
        const decision = this.#decideAdmission(request, selection);
        if (decision === undefined) {
            return this.#applySelection(request, selection);
        }
        if (decision.kind === "refuse") {
            return { kind: "refused", reason: decision.reason, retryAfterSeconds: decision.retryAfterSeconds };
        }
        const waitDeadline = this.#options.clock.getMonotonic() + decision.milliseconds;
        return this.#getQueue(request).add(() => this.#waitForReservation(request, waitDeadline), {
            priority: -request.priority,
        });
    }

    /** Decides as {@linkcode reserveTarget} does where a request goes, without reserving a target or queueing it. */
    decidePlacement(request: ReservationRequest, observer: SelectionObserver): PlacementDecision {
        const selection = this.chooseTarget({ ...request, observer });
        const admission = this.#decideAdmission(request, selection);
        const waiting = this.#countWaiting(request);
        if (admission?.kind === "wait") {
            return { kind: "waits", waiting, milliseconds: admission.milliseconds };
        }
        if (admission !== undefined) {
            const { reason, retryAfterSeconds } = admission;
            return { kind: "refused", waiting, reason, retryAfterSeconds };
        }
        if (selection.kind === "placed") {
            const { target, score, heldTokens = 0 } = selection;
            return { kind: "placed", waiting, target: target.id, score, heldTokens };
        }
        return { waiting, ...this.#refuse(request, selection) };
    }

    /** Reserves capacity at a given target without checking its load, for a generation that is moved there. */
    reserveGivenTarget(target: ServingTarget, requestLoad: RequestLoad): Reservation {
        return this.#createReservation(target, { requestLoad, score: 0 });
    }

    /** Counts the waiting requests of each service, for a state dump. */
    dumpState(): Record<string, unknown> {
        return Object.fromEntries([...this.#queues].map(([name, queue]) => [name, queue.size + queue.pending]));
    }

    /**
     * Decides whether a request is queued or refused; `undefined` if its selection applies at once: it is placed while no
     * other request waits, or there is no target.
     */
    #decideAdmission(request: ReservationRequest, selection: TargetSelection): QueueAdmission | undefined {
        const waiting = this.#countWaiting(request);
        if (selection.kind === "no-target" || selection.kind === "placed" && waiting === 0) {
            return undefined;
        }
        return decideQueueAdmission({
            closure: this.#findClosure(selection),
            waiting,
            freedPerSecond: this.#countReleases(request.service.name),
            objectiveMilliseconds: request.objectiveMilliseconds,
            remainingMilliseconds: request.remainingMilliseconds,
            random: this.#options.random,
        });
    }

    async #waitForReservation(request: ReservationRequest, waitDeadline: number): Promise<ReservationResult> {
        for (;;) {
            const selection = this.chooseTarget(request);
            const closedMilliseconds = this.#findClosure(selection)?.milliseconds ?? 0;
            const now = this.#options.clock.getMonotonic();
            const isWaitOver = now + closedMilliseconds >= waitDeadline || request.signal.aborted;
            if (selection.kind === "placed" || selection.kind === "no-target" || isWaitOver) {
                return this.#applySelection(request, selection);
            }
            await waitMilliseconds(RETRY_INTERVAL_MILLISECONDS);
        }
    }

    /** Reserves the selected target, or refuses the request if none was selected. */
    #applySelection(request: ReservationRequest, selection: TargetSelection): ReservationResult {
        if (selection.kind !== "placed") {
            return this.#refuse(request, selection);
        }
        const { target, score, heldTokens } = selection;
        const requestLoad = heldTokens === undefined ? request.requestLoad : { ...request.requestLoad, heldTokens };
        return { kind: "placed", reservation: this.#createReservation(target, { requestLoad, score }) };
    }

    /** Selects a target without reserving it; prefers the zone of this instance or, for a copy, that of the source. */
    chooseTarget(
        request: Pick<ReservationRequest, "service" | "requestLoad" | "promptPrefix" | "avoid" | "softwareVersion"> & {
            copyZone?: string;
            observer?: SelectionObserver;
        },
    ): TargetSelection {
        const { state, zone, random } = this.#options;
        return chooseLeastLoadedTarget(state.listCandidates(request.service, request.promptPrefix), {
            requestLoad: request.requestLoad,
            engine: request.service.engine,
            zone: request.copyZone ?? zone,
            isCopy: request.copyZone !== undefined,
            instances: state.instances,
            avoid: request.avoid,
            softwareVersion: request.softwareVersion,
            random,
            observer: request.observer,
        });
    }

    #createReservation(target: ServingTarget, options: { requestLoad: RequestLoad; score: number; }): Reservation {
        const { state, clock } = this.#options;
        const loadReservation = state.loadTracker.addRequest(target.id, options.requestLoad);
        state.recentSends.recordSend(target.id, clock.getMonotonic());
        let isReleased = false;
        const release = (): void => {
            if (!isReleased) {
                isReleased = true;
                loadReservation.release();
                this.#recordRelease(target.service);
            }
        };
        const { markResponseStarted, recordOutput } = loadReservation;
        const heldTokens = options.requestLoad.heldTokens ?? 0;
        return { target, score: options.score, heldTokens, markResponseStarted, recordOutput, release };
    }

    /** Finds out why no target accepts requests; `undefined` if one does or there is none. */
    #findClosure(selection: TargetSelection): Closure | undefined {
        if (selection.kind !== "paused" && selection.kind !== "limited") {
            return undefined;
        }
        const milliseconds = Math.max(0, selection.until - this.#options.clock.getMonotonic());
        return { reason: selection.kind, milliseconds };
    }

    #refuse(
        request: ReservationRequest,
        selection: Exclude<TargetSelection, { kind: "placed"; }>,
    ): Extract<ReservationResult, { kind: "refused"; }> {
        const reason = selection.kind;
        const closure = this.#findClosure(selection);
        const releases = Math.max(1, this.#countReleases(request.service.name));
        const expectedMilliseconds = reason === "no-target" ? NO_TARGET_DELAY_MILLISECONDS : 1000 / releases;
        const retryAfterSeconds = chooseRetryAfter({
            expectedMilliseconds: Math.max(expectedMilliseconds, closure?.milliseconds ?? 0),
            closure,
            remainingMilliseconds: request.remainingMilliseconds,
            random: this.#options.random,
        });
        return { kind: "refused", reason, retryAfterSeconds };
    }

    /** Gets the queue of a service, or of one software version: its full targets must not delay requests for others. */
    #getQueue(request: ReservationRequest): PQueue {
        const name = getQueueName(request);
        const queue = this.#queues.get(name) ?? new PQueue({ concurrency: 1 });
        this.#queues.set(name, queue);
        return queue;
    }

    #countWaiting(request: ReservationRequest): number {
        const queue = this.#queues.get(getQueueName(request));
        return queue === undefined ? 0 : queue.size + queue.pending;
    }

    #recordRelease(service: string): void {
        const times = this.#releaseTimes.get(service) ?? [];
        times.push(this.#options.clock.getMonotonic());
        this.#releaseTimes.set(service, times);
        this.#countReleases(service);
    }

    #countReleases(service: string): number {
        const times = this.#releaseTimes.get(service) ?? [];
        const now = this.#options.clock.getMonotonic();
        while (times[0] !== undefined && now - times[0] > RELEASE_WINDOW_MILLISECONDS) {
            times.shift();
        }
        return times.length;
    }
}

function getQueueName({ service, softwareVersion }: Pick<ReservationRequest, "service" | "softwareVersion">): string {
    return softwareVersion === undefined ? service.name : `${service.name} ${softwareVersion}`;
}
