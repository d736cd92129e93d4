/**
 * A simulated network that delays, drops and duplicates messages, and that can be partitioned.
 *
 * @module
 */

/** Options of a {@linkcode SimulatedNetwork}. */
export interface SimulatedNetworkOptions {
    /** Source of random numbers from 0 up to 1. */
    random: () => number;
    /** Minimum delay of a message, in milliseconds. Defaults to 1. */
    minDelay?: number;
    /** Maximum delay of a message, in milliseconds. Defaults to 5. */
    maxDelay?: number;
}

/** Decides whether, when and how often each message between two nodes is delivered. */
export class SimulatedNetwork {
    /** Probability that a message is dropped, from 0 to 1. */
    dropProbability = 0;
    /** Probability that a message is delivered twice, from 0 to 1. */
    duplicateProbability = 0;
    /** Maximum delay of a message, in milliseconds. */
    maxDelay: number;
    /** Number of messages sent, including the dropped ones. */
    sentMessages = 0;
    readonly #options: SimulatedNetworkOptions;
    /** Partition of each node; 0 for a node that is not listed. */
    readonly #partitions = new Map<string, number>();
    /** Blocked directions, as `sender>receiver`. */
    readonly #blockedPaths = new Set<string>();

    constructor(options: SimulatedNetworkOptions) {
        this.#options = options;
        this.maxDelay = options.maxDelay ?? 5;
    }

    /** Puts `node` into a partition; nodes in different partitions cannot reach each other. */
    setPartition(node: string, partition: number): void {
        this.#partitions.set(node, partition);
    }

    /** Blocks or unblocks messages from one node to another; the opposite direction is not affected. */
    setPathBlocked(from: string, to: string, isBlocked: boolean): void {
        const path = `${from}>${to}`;
        if (isBlocked) {
            this.#blockedPaths.add(path);
        }
        else {
            this.#blockedPaths.delete(path);
        }
    }

    /** Removes all partitions and unblocks all directions. */
    removePartitions(): void {
        this.#partitions.clear();
        this.#blockedPaths.clear();
    }

    /** Tells whether messages from one node can reach another. */
    isReachable(from: string, to: string): boolean {
        const isSamePartition = (this.#partitions.get(from) ?? 0) === (this.#partitions.get(to) ?? 0);
        return isSamePartition && !this.#blockedPaths.has(`${from}>${to}`);
    }

    /** Computes the delays of each delivery of a message, in milliseconds; the list is empty if the message is lost. */
    computeDeliveryDelays(from: string, to: string): number[] {
        const { random } = this.#options;
        this.sentMessages += 1;
        if (!this.isReachable(from, to) || random() < this.dropProbability) {
            return [];
        }
        const count = random() < this.duplicateProbability ? 2 : 1;
        return Array.from({ length: count }, () => this.#pickDelay());
    }

    #pickDelay(): number {
        const minimum = this.#options.minDelay ?? 1;
        return minimum + this.#options.random() * Math.max(0, this.maxDelay - minimum);
    }
}
