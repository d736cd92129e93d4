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
export interface PlaceRequest {
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
export interface HeldPlace {
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
export type PlaceAnswer =
    | { kind: "placed"; place: HeldPlace; }
    | { kind: "refused"; reason: "no-target" | "full"; retryAfterSeconds: number; };

/** Options of a {@linkcode PlaceFinder}. */
export interface PlaceFinderOptions {
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
const LOOK_INTERVAL = 10;
/** Length of the window in which places that became free are counted, in milliseconds. */
const FREED_WINDOW = 1000;
/** Time after which a refused caller finds another target at the earliest, in milliseconds. */
const NO_TARGET_WAIT = 400;

/** Finds places. */
export class PlaceFinder {
    readonly #options: PlaceFinderOptions;
    readonly #lines = new Map<string, PQueue>();
    readonly #freed = new Map<string, number[]>();

    constructor(options: PlaceFinderOptions) {
        this.#options = options;
    }

    /** Finds a place at once, or waits for one where that helps the caller. */
    async findPlace(request: PlaceRequest): Promise<PlaceAnswer> {
        const line = this.#getLine(request.service.name);
        if (line.size === 0 && line.pending === 0) {
            const placed = this.#tryPlace(request);
            if (placed !== undefined) {
                return placed;
            }
        }
        const decision = decideWait({
            waiting: line.size + line.pending,
            freedPerSecond: this.#countFreed(request.service.name),
            objectiveMilliseconds: request.objectiveMilliseconds,
            remainingMilliseconds: request.remainingMilliseconds,
            random: this.#options.random,
        });
        if (decision.kind === "refuse") {
            return { kind: "refused", reason: "full", retryAfterSeconds: decision.retryAfterSeconds };
        }
        const until = this.#options.clock.getMonotonic() + decision.milliseconds;
        return line.add(() => this.#waitForPlace(request, until), { priority: -request.priority });
    }

    /** Takes a place at a given target, for a run that moves there. */
    takePlace(target: ServingTarget, item: WorkItem): HeldPlace {
        return this.#holdPlace(target, { item, score: 0 });
    }

    /** Describes the lines, for a dump. */
    dumpState(): Record<string, unknown> {
        return Object.fromEntries([...this.#lines].map(([name, line]) => [name, line.size + line.pending]));
    }

    async #waitForPlace(request: PlaceRequest, until: number): Promise<PlaceAnswer> {
        for (;;) {
            const placed = this.#tryPlace(request);
            if (placed !== undefined) {
                return placed;
            }
            if (this.#options.clock.getMonotonic() >= until || request.signal.aborted) {
                return this.#refuse(request, "full");
            }
            await waitMilliseconds(LOOK_INTERVAL);
        }
    }

    /** Takes a place, or refuses where no target is left to wait for; `undefined` where waiting may help. */
    #tryPlace(request: PlaceRequest): PlaceAnswer | undefined {
        const result = this.chooseTarget(request);
        if (result.kind === "placed") {
            const { item } = request;
            return { kind: "placed", place: this.#holdPlace(result.target, { item, score: result.score }) };
        }
        return result.kind === "no-target" ? this.#refuse(request, "no-target") : undefined;
    }

    /** Chooses a target without taking a place; near this instance, or near where a copy comes from. */
    chooseTarget(request: Pick<PlaceRequest, "service" | "item" | "avoid"> & { copyZone?: string; }): PlaceResult {
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

    #holdPlace(target: ServingTarget, held: { item: WorkItem; score: number; }): HeldPlace {
        const { state, clock } = this.#options;
        const work = state.ledger.addWork(target.id, held.item);
        state.cold.recordSend(target.id, clock.getMonotonic());
        let isReleased = false;
        const release = (): void => {
            if (!isReleased) {
                isReleased = true;
                work.release();
                this.#recordFreed(target.service);
            }
        };
        const { markAnswered, recordOutput } = work;
        return { target, score: held.score, markAnswered, recordOutput, release };
    }

    #refuse(request: PlaceRequest, reason: "no-target" | "full"): PlaceAnswer {
        const freed = Math.max(1, this.#countFreed(request.service.name));
        const retryAfterSeconds = chooseReturn({
            expectedMilliseconds: reason === "full" ? 1000 / freed : NO_TARGET_WAIT,
            remainingMilliseconds: request.remainingMilliseconds,
            random: this.#options.random,
        });
        return { kind: "refused", reason, retryAfterSeconds };
    }

    #getLine(service: string): PQueue {
        const line = this.#lines.get(service) ?? new PQueue({ concurrency: 1 });
        this.#lines.set(service, line);
        return line;
    }

    #recordFreed(service: string): void {
        const times = this.#freed.get(service) ?? [];
        times.push(this.#options.clock.getMonotonic());
        this.#freed.set(service, times);
        this.#countFreed(service);
    }

    #countFreed(service: string): number {
        const times = this.#freed.get(service) ?? [];
        const now = this.#options.clock.getMonotonic();
        while (times[0] !== undefined && now - times[0] > FREED_WINDOW) {
            times.shift();
        }
        return times.length;
    }
}
