/**
 * A source of time, passed in so that tests run in virtual time.
 *
 * @module
 */

/** Tells the time in milliseconds. */
export interface Clock {
    /** Milliseconds on a clock that never steps back; only differences mean anything. */
    getMonotonic(): number;
    /** Milliseconds since the Unix epoch. */
    getWallTime(): number;
}

/** A clock that moves only when a test tells it to. */
export class VirtualClock implements Clock {
    #now: number;

    /** @param start First reading, in milliseconds. */
    constructor(start = 0) {
        this.#now = start;
    }

    getMonotonic(): number {
        return this.#now;
    }

    getWallTime(): number {
        return this.#now;
    }

    /** Moves the clock to `time`, in milliseconds; earlier times are ignored. */
    setTime(time: number): void {
        this.#now = Math.max(this.#now, time);
    }
}
