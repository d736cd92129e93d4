/**
 * Detects a stalled stream, and fetches its engine's report to decide whether to wait, retry the request or move the
 * generation.
 *
 * @module
 */
import { decideStallAction, isRepeatable, StallAction } from "../core/serving/mod.ts";
import type { CallerExchange, ServingContext } from "./caller_exchange.ts";
import type { Reservation } from "./request_scheduler.ts";

/** Options of a {@linkcode StallDetector}. */
export interface StallDetectorOptions {
    /** Request whose stream is watched. */
    exchange: CallerExchange;
    /** Reservation at the engine that runs the generation. */
    reservation: Reservation;
    /** Counts the events that have arrived. */
    countEvents: () => number;
    /** Checks whether a further attempt is allowed by the route's limit. */
    canRetry: () => boolean;
    /** Abandons the attempt. */
    abandonAttempt: () => void;
    /** Moves the generation to another engine. */
    moveGeneration: () => void;
}

/** Time without an event after which a stream counts as stalled, as a multiple of the objective for its pauses. */
const STALL_TIMEOUT_FACTOR = 4;
/** Objective for the pauses of a stream, for a route that sets none, in milliseconds. */
const DEFAULT_MAX_GAP_MILLISECONDS = 250;
/** Time without a first event after which a stream counts as stalled, as a share of the route's latency objective. */
const FIRST_EVENT_TIMEOUT_SHARE = 0.6;
/** Timeout for fetching a report, in milliseconds; a live engine responds within this time. */
const REPORT_TIMEOUT_MILLISECONDS = 200;

/** Fetches the report of an attempt's engine whenever its stream is stalled, and acts on it. */
export class StallDetector {
    readonly #context: ServingContext;
    readonly #options: StallDetectorOptions;
    #timer: NodeJS.Timeout | undefined;
    #isStopped = false;

    constructor(context: ServingContext, options: StallDetectorOptions) {
        this.#context = context;
        this.#options = options;
        this.restart();
    }

    /** Restarts the timeout; called when events have arrived. */
    restart(): void {
        clearTimeout(this.#timer);
        if (!this.#isStopped && this.#options.exchange.service.engine !== undefined) {
            this.#timer = setTimeout(() => {
                this.restart();
                void this.#handleStall();
            }, this.#stallTimeoutMilliseconds);
        }
    }

    /** Stops the detector. */
    stop(): void {
        this.#isStopped = true;
        clearTimeout(this.#timer);
    }

    get #stallTimeoutMilliseconds(): number {
        const { route } = this.#options.exchange;
        return this.#options.countEvents() === 0
            ? route.objectiveMilliseconds * FIRST_EVENT_TIMEOUT_SHARE
            : (route.maxGapMilliseconds ?? DEFAULT_MAX_GAP_MILLISECONDS) * STALL_TIMEOUT_FACTOR;
    }

    async #handleStall(): Promise<void> {
        const { exchange, reservation, countEvents, canRetry, abandonAttempt, moveGeneration } = this.#options;
        const { route, service, request } = exchange;
        const arrivedEvents = countEvents();
        const report = await this.#context.engines.fetchReport(reservation.target, REPORT_TIMEOUT_MILLISECONDS);
        if (this.#isStopped || countEvents() > arrivedEvents) {
            return;
        }
        const engineEvents = report?.runs.find(run => run.requestId === request.id)?.events;
        const action = decideStallAction({
            hasEngineReport: report !== undefined,
            waitingRequests: report?.waitingRequests ?? 0,
            engineEvents,
            arrivedEvents,
            mayRetry: isRepeatable(route) && canRetry(),
            canMove: service.engine?.canMove === true,
        });
        this.#context.log.record("trouble", "stream is silent", {
            request: request.id,
            target: reservation.target.id,
            action,
            arrivedEvents,
            engineEvents,
            isEngineHeard: report !== undefined,
        });
        // The keys are the values of `StallAction`.
        const handlers: Record<StallAction, () => void> = {
            wait: () => undefined,
            leave: abandonAttempt,
            move: moveGeneration,
        };
        handlers[action]();
    }
}
