/**
 * Counts what has happened within the last moments.
 *
 * Load pattern: events are recorded for hours and counted rarely, such as requests that need no retry. Neither the memory
 * nor the time of a count may grow with their number.
 *
 * @module
 */

/** Forgotten times after which the list is copied without them. */
const MIN_FORGOTTEN_TIMES = 1024;

/** Times of events within a sliding window, on the monotonic clock in milliseconds. */
export class TimeWindow {
    readonly #milliseconds: number;
    #times: number[] = [];
    /** Number of times at the start of the list that are before the window. */
    #forgotten = 0;

    /** @param milliseconds Length of the window. */
    constructor(milliseconds: number) {
        this.#milliseconds = milliseconds;
    }

    /** Adds an event; times must not decrease. */
    addEvent(now: number): void {
        this.#removeExpired(now);
        this.#times.push(now);
    }

    /** Counts the events within the window that ends now. */
    countEvents(now: number): number {
        this.#removeExpired(now);
        return this.#times.length - this.#forgotten;
    }

    #removeExpired(now: number): void {
        const since = now - this.#milliseconds;
        while (this.#forgotten < this.#times.length && this.#times[this.#forgotten]! < since) {
            this.#forgotten += 1;
        }
        // Copies as many times as it drops at most, unlike an array that is shifted.
        if (this.#forgotten >= MIN_FORGOTTEN_TIMES && this.#forgotten * 2 >= this.#times.length) {
            this.#times = this.#times.slice(this.#forgotten);
            this.#forgotten = 0;
        }
    }
}
