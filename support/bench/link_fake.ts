/**
 * A link that delivers, delays, drops, duplicates, cuts and goes silent.
 *
 * @module
 */

/** Options of a {@linkcode LinkFake}. */
export interface LinkFakeOptions {
    /** Source of random numbers from 0 up to 1. */
    random: () => number;
    /** Least delay of a message, in milliseconds. Defaults to 1. */
    minDelay?: number;
    /** Greatest delay of a message, in milliseconds. Defaults to 5. */
    maxDelay?: number;
}

/** Decides what becomes of each message between two nodes. */
export class LinkFake {
    /** Share of messages that are dropped. */
    dropShare = 0;
    /** Share of messages that arrive twice. */
    duplicateShare = 0;
    /** Greatest delay of a message, in milliseconds. */
    maxDelay: number;
    /** Messages sent, by pair of sender and receiver. */
    messages = 0;
    readonly #options: LinkFakeOptions;
    readonly #groups = new Map<string, number>();
    readonly #cuts = new Set<string>();

    constructor(options: LinkFakeOptions) {
        this.#options = options;
        this.maxDelay = options.maxDelay ?? 5;
    }

    /** Puts `node` into a group; nodes of different groups can't reach each other. */
    setGroup(node: string, group: number): void {
        this.#groups.set(node, group);
    }

    /** Cuts the way from one node to another; the way back stays open. */
    setCut(from: string, to: string, isCut: boolean): void {
        const name = `${from}>${to}`;
        if (isCut) {
            this.#cuts.add(name);
        }
        else {
            this.#cuts.delete(name);
        }
    }

    /** Joins all groups and mends all cuts. */
    closeCuts(): void {
        this.#groups.clear();
        this.#cuts.clear();
    }

    /** Tells whether messages pass from one node to another. */
    isOpen(from: string, to: string): boolean {
        const isSameGroup = (this.#groups.get(from) ?? 0) === (this.#groups.get(to) ?? 0);
        return isSameGroup && !this.#cuts.has(`${from}>${to}`);
    }

    /** Gives the delays, in milliseconds, after which a message arrives; none where it is lost. */
    computeArrivals(from: string, to: string): number[] {
        const { random } = this.#options;
        this.messages += 1;
        if (!this.isOpen(from, to) || random() < this.dropShare) {
            return [];
        }
        const count = random() < this.duplicateShare ? 2 : 1;
        return Array.from({ length: count }, () => this.#computeDelay());
    }

    #computeDelay(): number {
        const least = this.#options.minDelay ?? 1;
        return least + this.#options.random() * Math.max(0, this.maxDelay - least);
    }
}
