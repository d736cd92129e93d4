/**
 * Keeps the times at which this instance has recently sent requests to each target.
 *
 * @module
 */

/** Time for which a send is kept, in milliseconds: the longest interval over which sends are counted. */
const RETENTION_MILLISECONDS = 12_000;

/** Times of requests that were sent, by target. All times are on the monotonic clock in milliseconds. */
export class RecentSends {
    readonly #times = new Map<string, number[]>();

    /** Records that a request is sent to a target. */
    recordSend(target: string, now: number): void {
        const times = this.#times.get(target) ?? [];
        while (times[0] !== undefined && now - times[0] > RETENTION_MILLISECONDS) {
            times.shift();
        }
        times.push(now);
        this.#times.set(target, times);
    }

    /** Lists the times after `since` at which requests were sent to a target, in order. */
    listSince(target: string, since: number): number[] {
        return (this.#times.get(target) ?? []).filter(time => time > since);
    }

    /** Finds the time of the last request to a target, or of the `position`-th last; `undefined` if there was none. */
    findLast(target: string, position = 1): number | undefined {
        return this.#times.get(target)?.at(-position);
    }

    /** Removes the times of a target that no longer exists. */
    removeTarget(target: string): void {
        this.#times.delete(target);
    }
}
