/**
 * Decides which requests go to the new version of a rollout, so that their sum over all instances stays within the share.
 *
 * Load pattern: each of 65 instances gets one request a second, and some instances cannot reach the others. An allowance
 * per instance would multiply with their number, and a view of the fleet may be wrong. Each instance therefore sends a
 * fixed share of its own requests, with a random start: the expected sum is exactly the share of all requests, whatever
 * an instance knows of the others and however often it restarts, and the deviation is below half a request per instance
 * and route.
 *
 * @module
 */

/** Sends that a route may be behind its share: requests that found no free target are not made up for later. */
const MAX_CREDIT = 1;

/** Counts for each route how many requests the new version may still get from this instance. */
export class RolloutExposure {
    readonly #random: () => number;
    readonly #credits = new Map<string, number>();

    /** @param random Random number generator that returns numbers from 0 (inclusive) to 1 (exclusive). */
    constructor(random: () => number) {
        this.#random = random;
    }

    /** Records a request of a route; returns whether it may go to the new version. */
    recordRequest(route: string, share: number): boolean {
        const credit = Math.min(MAX_CREDIT, this.#credits.get(route) ?? this.#random()) + share;
        this.#credits.set(route, credit);
        return share > 0 && credit >= 1;
    }

    /** Records that a request of a route was sent to the new version. */
    recordSend(route: string): void {
        this.#credits.set(route, (this.#credits.get(route) ?? 0) - 1);
    }
}
