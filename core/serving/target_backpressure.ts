/**
 * Tracks which targets have asked this instance to send nothing for a time.
 *
 * Load pattern: a burst fills the queues of all targets of a service, and each refuses with a time at which it accepts
 * requests again. Requests that are sent earlier are refused as well and prolong the overload. Until then nothing is
 * sent to such a target, and if all targets of a service have asked for a pause, requests are refused at once with the
 * earliest time at which one accepts them again.
 *
 * @module
 */

/** Keeps the end of each target's pause, on the monotonic clock in milliseconds. */
export class TargetBackpressure {
    readonly #pausedUntil = new Map<string, number>();

    /** Records that a target asked for a pause; of several pauses the one that ends last holds. */
    recordPause(target: string, { now, milliseconds }: { now: number; milliseconds: number; }): void {
        const until = now + milliseconds;
        this.#pausedUntil.set(target, Math.max(until, this.#pausedUntil.get(target) ?? Number.NEGATIVE_INFINITY));
    }

    /** Finds the end of a target's pause; `undefined` if it accepts requests. */
    findPauseEnd(target: string, now: number): number | undefined {
        const until = this.#pausedUntil.get(target);
        if (until === undefined || until > now) {
            return until;
        }
        this.#pausedUntil.delete(target);
        return undefined;
    }

    /** Lists the targets that have asked for a pause that has not ended. */
    listPaused(now: number): string[] {
        return [...this.#pausedUntil.keys()].filter(target => this.findPauseEnd(target, now) !== undefined);
    }

    /** Removes the pause of a target that has restarted or no longer exists. */
    removeTarget(target: string): void {
        this.#pausedUntil.delete(target);
    }
}
