/**
 * Limits the rate at which an instance sends load digests to its peers.
 *
 * Load pattern: requests are sent to targets faster than digests may be sent, so that several instances select the same
 * target. An increase in load is reported at once while the token bucket is not empty. A decrease can wait, because a
 * target that appears fuller than it is does not receive excess requests.
 *
 * @module
 */

/** What has changed since the last digest. */
export const DigestReason = {
    /** A request was sent to a target, or a target refused a connection. */
    loadIncreased: "placed",
    /** A target has started to respond, or a request has ended. */
    loadDecreased: "eased",
    /** The store has reported a change. */
    storeChanged: "learnt",
} as const;

/** One of the values of {@linkcode DigestReason}. */
export type DigestReason = (typeof DigestReason)[keyof typeof DigestReason];

/** Delay of an urgent digest; it batches changes that occur together. */
const URGENT_DELAY_MILLISECONDS = 2;
/** Time in which the token bucket gains one digest. */
const BASE_SPACING_MILLISECONDS = 50;
/** Additional time per peer that receives the digests. */
const SPACING_PER_PEER_MILLISECONDS = 7;
/** The same if relays forward the digests, so that a peer receives many of them in one message. */
const RELAYED_SPACING_PER_PEER_MILLISECONDS = 3;
/** Size of the token bucket: digests that may be sent in a row after a pause. */
const MAX_BURST_DIGESTS = 5;

/** Peers that receive the digests of an instance. */
export interface DigestRecipients {
    /** Time, on the monotonic clock in milliseconds. */
    now: number;
    /** Number of peers. */
    peers: number;
    /** True if relays forward the digests. Defaults to false. */
    isRelayed?: boolean;
}

/**
 * Limits the digests of one instance to about 150 messages per second in the long run, independent of the number of
 * peers.
 */
export class DigestRateLimiter {
    #availableDigests = MAX_BURST_DIGESTS;
    #refilledAt = 0;
    #lastSentAt = Number.NEGATIVE_INFINITY;

    /** Time of the last digest, on the monotonic clock in milliseconds. */
    get lastSentAt(): number {
        return this.#lastSentAt;
    }

    /** Computes the time at which a digest about a change may be sent, on the monotonic clock in milliseconds. */
    computeSendTime(reason: DigestReason, recipients: DigestRecipients): number {
        const { now } = recipients;
        const spacing = computeSpacing(recipients);
        this.#refill(now, spacing);
        if (reason !== DigestReason.loadDecreased && this.#availableDigests >= 1) {
            return now + URGENT_DELAY_MILLISECONDS;
        }
        return Math.max(now + URGENT_DELAY_MILLISECONDS, this.#lastSentAt + spacing);
    }

    /** Records that a digest is sent to the peers. */
    recordSend(recipients: DigestRecipients): void {
        const { now } = recipients;
        this.#refill(now, computeSpacing(recipients));
        this.#availableDigests = Math.max(0, this.#availableDigests - 1);
        this.#lastSentAt = now;
    }

    #refill(now: number, spacing: number): void {
        this.#availableDigests = Math.min(
            MAX_BURST_DIGESTS,
            this.#availableDigests + (now - this.#refilledAt) / spacing,
        );
        this.#refilledAt = now;
    }
}

function computeSpacing({ peers, isRelayed = false }: DigestRecipients): number {
    const perPeer = isRelayed ? RELAYED_SPACING_PER_PEER_MILLISECONDS : SPACING_PER_PEER_MILLISECONDS;
    return BASE_SPACING_MILLISECONDS + perPeer * peers;
}
