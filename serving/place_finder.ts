/**
 * Finds places for requests; one that finds none waits in the line of its service, or is refused.
 *
 * @module
 */
import PQueue from "p-queue";
import type { Clock } from "../core/clock/mod.ts";
import {
    choosePlace,
    chooseReturn,
    decideWait,
    type PlaceResult,
    type ServiceDefinition,
    type ServingTarget,
    type WorkItem,
} from "../core/serving/mod.ts";
import { waitMilliseconds } from "../network/mod.ts";
import type { ServingState } from "./serving_state.ts";

/** A request that needs a place. */
export interface ReservationRequest {
    /** Service that the request is for. */
    service: ServiceDefinition;
    /** Size of the request. */
    item: WorkItem;
    /** Rank; 0 is the most urgent. */
    priority: number;
    /** Targets that have failed the request already. */
    avoid: ReadonlySet<string>;
    /** Time in which the answer is worth most, in milliseconds, counted from now. */
    objectiveMilliseconds: number;
    /** Time until the caller gives up, in milliseconds. */
    remainingMilliseconds: number;
    /** Aborted when the caller has gone. */
    signal: AbortSignal;
}

/** A place that a request holds. */
export interface Reservation {
    /** Target of the place. */
    target: ServingTarget;
    /** Load of the target when it was chosen, 1 being full. */
    score: number;
    /** Notes that the target has begun to answer. */
    markAnswered: () => void;
    /** Notes how many tokens the output has so far. */
    recordOutput: (tokens: number) => void;
    /** Gives the place back. */
    release: () => void;
}

/** A place, or the reason for having none. */
export type ReservationResult =
    | { kind: "placed"; reservation: Reservation; }
    | { kind: "refused"; reason: "no-target" | "full"; retryAfterSeconds: number; };

/** Options of a {@linkcode RequestScheduler}. */
export interface RequestSchedulerOptions {
    /** What is known of targets. */
    state: ServingState;
    /** Availability zone of this instance. */
    zone: string;
    /** Source of time. */
    clock: Clock;
    /** Source of random numbers from 0 up to 1. */
    random: () => number;
}

/** Pause between two looks for a place by the first in a line, in milliseconds. */
const RETRY_INTERVAL_MILLISECONDS = 10;
/** Length of the window in which places that became free are counted, in milliseconds. */
const RELEASE_WINDOW_MILLISECONDS = 1000;
/** Time after which a refused caller finds another target at the earliest, in milliseconds. */
const NO_TARGET_DELAY_MILLISECONDS = 400;

/** Finds places. */
export class RequestScheduler {
    readonly #options: RequestSchedulerOptions;
    readonly #queues = new Map<string, PQueue>();
    readonly #releaseTimes = new Map<string, number[]>();

    constructor(options: RequestSchedulerOptions) {
        this.#options = options;
    }

    /** Finds a place at once, or waits for one where that helps the caller. */
    async reserveTarget(request: ReservationRequest): Promise<ReservationResult> {
        const queue = this.#getQueue(request.service.name);
        if (queue.size === 0 && queue.pending === 0) {
            const result = this.#tryReserve(request);
            if (result !== undefined) {
                return result;
            }
        }
        const decision = decideWait({
            waiting: queue.size + queue.pending,
            freedPerSecond: this.#countReleases(request.service.name),
            objectiveMilliseconds: request.objectiveMilliseconds,
            remainingMilliseconds: request.remainingMilliseconds,
            random: this.#options.random,
        });
        if (decision.kind === "refuse") {
            return { kind: "refused", reason: "full", retryAfterSeconds: decision.retryAfterSeconds };
        }
        const until = this.#options.clock.getMonotonic() + decision.milliseconds;
        return queue.add(() => this.#waitForReservation(request, until), { priority: -request.priority });
    }

    /** Takes a place at a given target, for a run that moves there. */
    reserveGivenTarget(target: ServingTarget, item: WorkItem): Reservation {
        return this.#createReservation(target, { item, score: 0 });
    }

    /** Describes the lines, for a dump. */
    dumpState(): Record<string, unknown> {
        return Object.fromEntries([...this.#queues].map(([name, line]) => [name, line.size + line.pending]));
    }

    async #waitForReservation(request: ReservationRequest, until: number): Promise<ReservationResult> {
        for (;;) {
            const result = this.#tryReserve(request);
            if (result !== undefined) {
                return result;
            }
            if (this.#options.clock.getMonotonic() >= until || request.signal.aborted) {
                return this.#refuse(request, "full");
            }
            await waitMilliseconds(RETRY_INTERVAL_MILLISECONDS);
        }
    }

    /** Takes a place, or refuses where no target is left to wait for; `undefined` where waiting may help. */
    #tryReserve(request: ReservationRequest): ReservationResult | undefined {
        const result = this.chooseTarget(request);
        if (result.kind === "placed") {
            const { item } = request;
            return {
                kind: "placed",
                reservation: this.#createReservation(result.target, { item, score: result.score }),
            };
        }
        return result.kind === "no-target" ? this.#refuse(request, "no-target") : undefined;
    }

    /** Chooses a target without taking a place; near this instance, or near where a copy comes from. */
    chooseTarget(
        request: Pick<ReservationRequest, "service" | "item" | "avoid"> & { copyZone?: string; },
    ): PlaceResult {
        const { state, zone, random } = this.#options;
        return choosePlace(state.listCandidates(request.service), {
            item: request.item,
            engine: request.service.engine,
            zone: request.copyZone ?? zone,
            isCopy: request.copyZone !== undefined,
            instances: state.instances,
            avoid: request.avoid,
            random,
        });
    }

    #createReservation(target: ServingTarget, held: { item: WorkItem; score: number; }): Reservation {
        const { state, clock } = this.#options;
        const work = state.ledger.addWork(target.id, held.item);
        state.coldShare.recordSend(target.id, clock.getMonotonic());
        let isReleased = false;
        const release = (): void => {
            if (!isReleased) {
                isReleased = true;
                work.release();
                this.#recordRelease(target.service);
            }
        };
        const { markAnswered, recordOutput } = work;
        return { target, score: held.score, markAnswered, recordOutput, release };
    }

    #refuse(request: ReservationRequest, reason: "no-target" | "full"): ReservationResult {
        const freed = Math.max(1, this.#countReleases(request.service.name));
        const retryAfterSeconds = chooseReturn({
            expectedMilliseconds: reason === "full" ? 1000 / freed : NO_TARGET_DELAY_MILLISECONDS,
            remainingMilliseconds: request.remainingMilliseconds,
            random: this.#options.random,
        });
        return { kind: "refused", reason, retryAfterSeconds };
    }

    #getQueue(service: string): PQueue {
        const queue = this.#queues.get(service) ?? new PQueue({ concurrency: 1 });
        this.#queues.set(service, queue);
        return queue;
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
