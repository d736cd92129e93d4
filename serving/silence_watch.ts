/**
 * Watches one stream for silence, and asks its engine what it means.
 *
 * @module
 */
import { decideSilence, isRepeatable, SilenceAction } from "../core/serving/mod.ts";
import { fetchReport } from "../platform/mod.ts";
import type { CallerExchange, ServingContext } from "./caller_exchange.ts";
import type { Reservation } from "./place_finder.ts";

/** Options of a {@linkcode StallDetector}. */
export interface StallDetectorOptions {
    /** Request whose stream is watched. */
    exchange: CallerExchange;
    /** Place at the engine that runs it. */
    reservation: Reservation;
    /** Counts the events that have arrived. */
    countEvents: () => number;
    /** Tells whether the stream may start or go on at another engine. */
    canRetry: () => boolean;
    /** Gives the attempt up. */
    abandonAttempt: () => void;
    /** Moves the run to another engine. */
    moveRun: () => void;
}

/** Silence after which an engine is asked about a stream, in multiples of the route's longest timely pause. */
const SILENCE_TIMEOUT_GAPS = 4;
/** Pause assumed where the route names none, in milliseconds. */
const DEFAULT_GAP_MILLISECONDS = 250;
/** Part of the objective after which an engine is asked about a stream without a first event. */
const FIRST_EVENT_TIMEOUT_SHARE = 0.6;
/** Time in which an engine that lives answers, in milliseconds. */
const REPORT_TIMEOUT_MILLISECONDS = 200;

/** Asks the engine of one attempt whenever its stream has been silent for long. */
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

    /** Notes that something has arrived. */
    restart(): void {
        clearTimeout(this.#timer);
        if (!this.#isStopped && this.#options.exchange.service.engine !== undefined) {
            this.#timer = setTimeout(() => {
                this.restart();
                void this.#handleSilence();
            }, this.#silenceTimeoutMilliseconds);
        }
    }

    /** Ends the watch. */
    stop(): void {
        this.#isStopped = true;
        clearTimeout(this.#timer);
    }

    get #silenceTimeoutMilliseconds(): number {
        const { route } = this.#options.exchange;
        return this.#options.countEvents() === 0
            ? route.objectiveMilliseconds * FIRST_EVENT_TIMEOUT_SHARE
            : (route.maxGapMilliseconds ?? DEFAULT_GAP_MILLISECONDS) * SILENCE_TIMEOUT_GAPS;
    }

    async #handleSilence(): Promise<void> {
        const { exchange, reservation, countEvents, canRetry, abandonAttempt, moveRun } = this.#options;
        const { route, service, request } = exchange;
        const arrivedEvents = countEvents();
        const report = await fetchReport(reservation.target.address, REPORT_TIMEOUT_MILLISECONDS);
        if (this.#isStopped || countEvents() > arrivedEvents) {
            return;
        }
        const engineEvents = report?.runs.find(run => run.requestId === request.id)?.events;
        const action = decideSilence({
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
        const handlers: Record<SilenceAction, () => void> = {
            wait: () => undefined,
            leave: abandonAttempt,
            move: moveRun,
        };
        handlers[action]();
    }
}
