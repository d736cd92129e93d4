/**
 * Detects a stalled stream, and fetches its engine's report to decide whether to wait, retry or move the run.
 *
 * @module
 */
import { decideSilenceAction, isRepeatable, StallAction } from "../core/serving/mod.ts";
import { fetchReport } from "../platform/mod.ts";
import type { CallerExchange, ServingContext } from "./caller_exchange.ts";
import type { Reservation } from "./request_scheduler.ts";

/** Options of a {@linkcode StallDetector}. */
export interface StallDetectorOptions {
    /** Request whose stream is watched. */
    exchange: CallerExchange;
    /** Reservation at the engine that runs the stream. */
    reservation: Reservation;
    /** Counts the events that have arrived. */
    countEvents: () => number;
    /** Tells whether the stream may start or continue at another engine. */
    canRetry: () => boolean;
    /** Abandons the attempt. */
    abandonAttempt: () => void;
    /** Moves the run to another engine. */
    moveGeneration: () => void;
}

/** Time without an event after which the engine's report is fetched, as a multiple of the longest timely pause. */
const STALL_TIMEOUT_FACTOR = 4;
/** Longest pause of a timely stream, for a route that sets none, in milliseconds. */
const DEFAULT_MAX_GAP_MILLISECONDS = 250;
/** Share of the route's objective after which the engine's report is fetched for a stream without a first event. */
const FIRST_EVENT_TIMEOUT_SHARE = 0.6;
/** Time within which a live engine responds, in milliseconds. */
const REPORT_TIMEOUT_MILLISECONDS = 200;

/** Fetches the report of an attempt's engine whenever its stream has been silent for too long, and acts on it. */
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
        const report = await fetchReport(reservation.target.address, REPORT_TIMEOUT_MILLISECONDS);
        if (this.#isStopped || countEvents() > arrivedEvents) {
            return;
        }
        const engineEvents = report?.runs.find(run => run.requestId === request.id)?.events;
        const action = decideSilenceAction({
            isEngineHeard: report !== undefined,
            waitingRequests: report?.waitingRequests ?? 0,
            engineEvents,
            arrivedEvents,
            mayRepeat: isRepeatable(route) && canRetry(),
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
        const handlers: Record<StallAction, () => void> = {
            wait: () => undefined,
            leave: abandonAttempt,
            move: moveGeneration,
        };
        handlers[action]();
    }
}
