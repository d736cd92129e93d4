/**
 * Limits the events of one response.
 *
 * Load pattern: a faulty engine sends comments, repeated events or new events without end, as fast as its connection
 * takes them. Handling each takes time, so that the requests of other callers would wait.
 *
 * @module
 */

/** Thrown if a response has more events than a stream can have. */
export class EndlessStreamError extends Error {
    override name = "EndlessStreamError";
}

/** Options of {@linkcode StreamLimits}. */
export interface StreamLimitsOptions {
    /** Maximum number of output tokens that the caller allows. Defaults to no limit. */
    maxOutputTokens?: number | undefined;
}

/** Comments and repeated events in a row; an engine sends a few comments a second while it has no event. */
const MAX_IDLE_EVENTS = 1024;
/** Events allowed for each output token, and in addition; an event usually holds several tokens. */
const EVENTS_PER_TOKEN = 2;
const EXTRA_EVENTS = 1024;
/** Rate at which events are handled; an engine sends a few hundred a second. */
const EVENTS_PER_MILLISECOND = 2;
/** Events handled without delay, such as those that have arrived while the caller was slow. */
const MAX_BURST_EVENTS = 1024;
/** Bytes that take about as much time as an event. */
const BYTES_PER_EVENT = 256;

/** Counts the events of one response, and limits the rate at which it is read. */
export class StreamLimits {
    readonly #maxEvents: number;
    /** Comments and repeated events since the last new event. */
    #idleEvents = 0;
    /** Events that have not been taken from the allowance. */
    #uncountedEvents = 0;
    /** Events that may be handled without delay at `#updatedAt`. */
    #allowance = MAX_BURST_EVENTS;
    #updatedAt = Number.NEGATIVE_INFINITY;

    constructor({ maxOutputTokens = Infinity }: StreamLimitsOptions = {}) {
        this.#maxEvents = maxOutputTokens * EVENTS_PER_TOKEN + EXTRA_EVENTS;
    }

    /**
     * Counts an event.
     *
     * @param isNew True if the caller gets it, and it is no comment.
     * @param sentEvents Number of events that the caller had before.
     * @throws {EndlessStreamError} If the response has more events than a stream can have.
     */
    recordEvent(isNew: boolean, sentEvents: number): void {
        this.#uncountedEvents += 1;
        this.#idleEvents = isNew ? 0 : this.#idleEvents + 1;
        // An engine that a stream was resumed at may repeat all events that the caller has.
        if (this.#idleEvents > MAX_IDLE_EVENTS + sentEvents) {
            throw new EndlessStreamError(
                `Cannot relay a stream: ${this.#idleEvents} comments or repeated events came in a row.`,
            );
        }
        if (isNew && sentEvents >= this.#maxEvents) {
            throw new EndlessStreamError(
                `Cannot relay a stream: its ${sentEvents + 1} events exceed the limit of ${this.#maxEvents}.`,
            );
        }
    }

    /**
     * Counts a part of the response whose events have been counted.
     *
     * @param bytes Size of the part, in bytes.
     * @param now Time on the monotonic clock, in milliseconds.
     * @returns Time to wait before more of the response is read, in milliseconds.
     */
    recordPart(bytes: number, now: number): number {
        const elapsed = Math.max(0, now - this.#updatedAt);
        this.#updatedAt = now;
        this.#allowance = Math.min(MAX_BURST_EVENTS, this.#allowance + elapsed * EVENTS_PER_MILLISECOND)
            - Math.max(this.#uncountedEvents, bytes / BYTES_PER_EVENT);
        this.#uncountedEvents = 0;
        return Math.max(0, -this.#allowance / EVENTS_PER_MILLISECOND);
    }
}
