/**
 * Decides when an instance tells its peers of its work.
 *
 * Load pattern: placements that follow one another faster than digests may be sent, so that instances choose the same
 * target. A placement is told at once while the allowance lasts; work that ends can wait, since a target that looks
 * fuller than it is gets nothing by mistake.
 *
 * @module
 */

/** What has changed since the last digest. */
export const DigestReason = {
    /** A request was placed, or a target could not be reached. */
    placed: "placed",
    /** A target has answered, or a request has ended. */
    eased: "eased",
    /** The store has told something. */
    learnt: "learnt",
} as const;

/** One of the values of {@linkcode DigestReason}. */
export type DigestReason = (typeof DigestReason)[keyof typeof DigestReason];

/** Delay of a digest that can't wait, in milliseconds; it gathers changes that come together. */
const URGENT_DELAY = 2;
/** Time in which the allowance grows by one digest, in milliseconds, and the further time for each peer. */
const BASE_SPACING = 50;
const SPACING_PER_PEER = 7;
/** Digests that may be sent in a row after a pause. */
const MOST_ALLOWED = 5;

/** Spaces the digests of one instance: about 150 messages a second in the long run, however many peers there are. */
export class DigestPace {
    #allowed = MOST_ALLOWED;
    #countedAt = 0;
    #lastSentAt = Number.NEGATIVE_INFINITY;

    /** Time of the last digest, on the monotonic clock in milliseconds. */
    get lastSentAt(): number {
        return this.#lastSentAt;
    }

    /** Computes the time at which a change is told, on the monotonic clock in milliseconds. */
    computeDue(reason: DigestReason, { now, peers }: { now: number; peers: number; }): number {
        const spacing = BASE_SPACING + SPACING_PER_PEER * peers;
        this.#refill(now, spacing);
        if (reason !== DigestReason.eased && this.#allowed >= 1) {
            return now + URGENT_DELAY;
        }
        return Math.max(now + URGENT_DELAY, this.#lastSentAt + spacing);
    }

    /** Notes that a digest goes out. */
    recordSend({ now, peers }: { now: number; peers: number; }): void {
        this.#refill(now, BASE_SPACING + SPACING_PER_PEER * peers);
        this.#allowed = Math.max(0, this.#allowed - 1);
        this.#lastSentAt = now;
    }

    #refill(now: number, spacing: number): void {
        this.#allowed = Math.min(MOST_ALLOWED, this.#allowed + (now - this.#countedAt) / spacing);
        this.#countedAt = now;
    }
}
