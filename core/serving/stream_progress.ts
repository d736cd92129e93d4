/**
 * How far a stream has come at its caller.
 *
 * Load pattern: a stream that goes on at another engine, which may repeat events that the first one had sent.
 *
 * @module
 */

/** Keeps count of the events that have gone to a caller. */
export class StreamProgress {
    #eventCount = 0;
    #lastEventId: string | undefined;
    #firstEventAt = 0;
    #lastEventAt = 0;
    #longestPause = 0;

    /** @param resumeAfter Event after which the caller asked to go on; `undefined` for a new stream. */
    constructor(resumeAfter: string | undefined) {
        this.#lastEventId = resumeAfter;
    }

    /** Number of events that have gone to the caller. */
    get eventCount(): number {
        return this.#eventCount;
    }

    /** Identity of the last event; `undefined` before the first. */
    get lastEventId(): string | undefined {
        return this.#lastEventId;
    }

    /** Tells whether an event goes on from the last one. */
    isNext(id: string | undefined): boolean {
        if (id === undefined || this.#lastEventId === undefined) {
            return true;
        }
        return !(Number(id) <= Number(this.#lastEventId));
    }

    /**
     * Notes that an event goes to the caller.
     *
     * @param id Identity of the event.
     * @param now Time on the monotonic clock, in milliseconds.
     * @returns The pause since the last event, in milliseconds; `undefined` for the first.
     */
    recordEvent(id: string | undefined, now: number): number | undefined {
        const pause = this.#eventCount === 0 ? undefined : now - this.#lastEventAt;
        if (pause === undefined) {
            this.#firstEventAt = now;
        }
        this.#eventCount += 1;
        this.#lastEventId = id ?? this.#lastEventId;
        this.#lastEventAt = now;
        this.#longestPause = Math.max(this.#longestPause, pause ?? 0);
        return pause;
    }

    /** Describes the events for the log; times are in milliseconds. */
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
