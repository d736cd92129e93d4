/**
 * Tracks which events of a stream have been sent to the caller.
 *
 * Load pattern: a stream is resumed at another engine, which may repeat events that the first engine has sent already, or
 * go on behind events that were lost with its connection.
 *
 * @module
 */

/** Number of events that show whether the identifiers of a stream are consecutive numbers. */
const MIN_CONSECUTIVE_EVENTS = 2;

/** Counts the events that have been sent to a caller. */
export class StreamProgress {
    #eventCount = 0;
    #lastEventId: string | undefined;
    /** Number of events in a row whose identifiers increase by one. */
    #consecutiveEvents = 0;
    #firstEventAt = 0;
    #lastEventAt = 0;
    #longestPause = 0;

    /**
     * @param resumeAfter Identifier of the event after which the caller asked to resume; `undefined` for a new stream.
     */
    constructor(resumeAfter: string | undefined) {
        this.#lastEventId = resumeAfter;
    }

    /** Number of events that have been sent to the caller. */
    get eventCount(): number {
        return this.#eventCount;
    }

    /**
     * Identifier of the last event sent to the caller, or else of the event to resume after; `undefined` if neither.
     */
    get lastEventId(): string | undefined {
        return this.#lastEventId;
    }

    /** Checks whether the caller does not have an event yet; an event without an identifier always counts as new. */
    isNew(id: string | undefined): boolean {
        if (id === undefined || this.#lastEventId === undefined) {
            return true;
        }
        return !(Number(id) <= Number(this.#lastEventId));
    }

    /**
     * Checks whether the first event of another response leaves out others: the stream's identifiers have been consecutive
     * numbers so far.
     */
    hasGap(id: string | undefined): boolean {
        return this.#eventCount >= MIN_CONSECUTIVE_EVENTS && this.#consecutiveEvents === this.#eventCount
            && Number(id) > Number(this.#lastEventId) + 1;
    }

    /**
     * Records that an event is sent to the caller.
     *
     * @param id Identifier of the event.
     * @param now Time on the monotonic clock, in milliseconds.
     * @returns The pause since the previous event, in milliseconds; `undefined` for the first event.
     */
    recordEvent(id: string | undefined, now: number): number | undefined {
        const pause = this.#eventCount === 0 ? undefined : now - this.#lastEventAt;
        if (pause === undefined) {
            this.#firstEventAt = now;
        }
        const isConsecutive = this.#eventCount === 0 || Number(id) === Number(this.#lastEventId) + 1;
        this.#consecutiveEvents = isConsecutive ? this.#consecutiveEvents + 1 : 0;
        this.#eventCount += 1;
        this.#lastEventId = id ?? this.#lastEventId;
        this.#lastEventAt = now;
        this.#longestPause = Math.max(this.#longestPause, pause ?? 0);
        return pause;
    }

    /**
     * Describes the events for the log; `arrivedAt` is the time at which the request arrived, on the monotonic clock in
     * milliseconds.
     */
    describeEvents(arrivedAt: number): Record<string, number> {
        return {
            events: this.#eventCount,
            ...this.#eventCount === 0 ? {} : {
                firstEventMilliseconds: Math.round(this.#firstEventAt - arrivedAt),
                longestPauseMilliseconds: Math.round(this.#longestPause),
            },
        };
    }
}
