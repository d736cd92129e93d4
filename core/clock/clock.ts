/**
 * Source of time, which is injected so that tests run in virtual time.
 *
 * @module
 */

/** Source of time in milliseconds. */
export interface Clock {
    /** Returns the time on a monotonic clock with an arbitrary origin, so that only differences are meaningful. */
    getMonotonic(): number;
    /** Returns the time since the Unix epoch. */
    getWallTime(): number;
}

/** Clock for tests, which advances only when its time is set. */
export class VirtualClock implements Clock {
    #now: number;

    /** @param start Initial time, in milliseconds. Defaults to 0. */
    constructor(start = 0) {
        this.#now = start;
    }

    getMonotonic(): number {
        return this.#now;
    }

    getWallTime(): number {
        return this.#now;
    }

    /** Advances the clock to `time`, in milliseconds; ignores times earlier than the current one. */
    setTime(time: number): void {
        this.#now = Math.max(this.#now, time);
    }
}
