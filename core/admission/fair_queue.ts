/**
 * A queue that orders items by priority and, within a priority, by weighted fair queuing between client accounts.
 *
 * @module
 */

/** Properties that determine an item's position in the queue. */
export interface FairQueueItemOptions {
    /** Unique identifier of the item. Defaults to its arrival number. */
    id?: string;
    /** Priority; 0 is the highest. Defaults to 1. */
    priority?: number;
    /** Name of the client account that the item belongs to. Defaults to "". */
    account?: string;
    /** Weight of the client account. Defaults to 1. */
    weight?: number;
    /** Cost of the item, in a unit that is the same for all items of the queue. Defaults to 1. */
    cost?: number;
}

interface QueuedItem<Element> {
    element: Element;
    id: string;
    priority: number;
    /** Virtual time at which fair queuing starts to serve the item. */
    virtualStart: number;
    /** Virtual time at which fair queuing has served the item; queue order within a priority. */
    virtualFinish: number;
    arrivalNumber: number;
}

/** One of this many dequeues returns the item that arrived first, so that low-priority items are not starved. */
const DEQUEUES_PER_OLDEST_ITEM = 8;

/**
 * Orders items by priority, then by virtual finish time within a priority.
 *
 * It implements the interface that `p-queue` requires of a queue class.
 *
 * @example
 * ```ts
 * const queue = new FairQueue<string>();
 * queue.enqueue("second", { account: "a", cost: 10 });
 * queue.enqueue("first", { account: "b", cost: 1 });
 * queue.dequeue(); // "first"
 * ```
 */
export class FairQueue<Element> {
    #items: QueuedItem<Element>[] = [];
    readonly #lastFinishByAccount = new Map<string, number>();
    #virtualTime = 0;
    #lastArrivalNumber = 0;
    #dequeueCount = 0;

    get size(): number {
        return this.#items.length;
    }

    /** Adds `element` to the queue. */
    enqueue(element: Element, options: FairQueueItemOptions = {}): void {
        const { account = "", weight = 1, cost = 1, priority = 1 } = options;
        const virtualStart = Math.max(this.#virtualTime, this.#lastFinishByAccount.get(account) ?? 0);
        const virtualFinish = virtualStart + cost / Math.max(weight, 0.001);
        this.#lastFinishByAccount.set(account, virtualFinish);
        this.#lastArrivalNumber += 1;
        const id = options.id ?? String(this.#lastArrivalNumber);
        const item = { element, id, priority, virtualStart, virtualFinish, arrivalNumber: this.#lastArrivalNumber };
        this.#items.splice(this.#findPosition(item), 0, item);
    }

    /** Removes and returns the next item, or `undefined` if the queue is empty. */
    dequeue(): Element | undefined {
        const index = this.#findNextIndex();
        if (index === undefined) {
            return undefined;
        }
        const [item] = this.#items.splice(index, 1);
        this.#dequeueCount += 1;
        this.#updateVirtualTime(item);
        return item?.element;
    }

    /** Lists the items in queue order without removing them; only those with `options.priority`, if it is given. */
    filter(options: Readonly<FairQueueItemOptions> = {}): Element[] {
        const { priority } = options;
        return this.#items.filter(item => priority === undefined || item.priority === priority).map(item =>
            item.element
        );
    }

    /** Changes the priority of the item with `id`. @throws {ReferenceError} If the queue has no such item. */
    setPriority(id: string, priority: number): void {
        const index = this.#items.findIndex(item => item.id === id);
        const item = this.#items[index];
        if (item === undefined) {
            throw new ReferenceError(`Cannot set a priority: the queue has no item "${id}".`);
        }
        this.#items.splice(index, 1);
        item.priority = priority;
        this.#items.splice(this.#findPosition(item), 0, item);
    }

    /** Removes the item with `id`. @returns The item, or `undefined` if the queue has no such item. */
    remove(id: string): Element | undefined {
        const index = this.#items.findIndex(item => item.id === id);
        if (index < 0) {
            return undefined;
        }
        const [item] = this.#items.splice(index, 1);
        this.#updateVirtualTime(item);
        return item?.element;
    }

    /** Removes and returns, in queue order, the items for which `isMatching` returns true. */
    removeMatching(isMatching: (element: Element) => boolean): Element[] {
        const removed = this.#items.filter(item => isMatching(item.element));
        this.#items = this.#items.filter(item => !removed.includes(item));
        return removed.map(item => item.element);
    }

    #updateVirtualTime(item: QueuedItem<Element> | undefined): void {
        if (item !== undefined) {
            this.#virtualTime = Math.max(this.#virtualTime, item.virtualStart);
        }
        if (this.#items.length === 0) {
            this.#lastFinishByAccount.clear();
            this.#virtualTime = 0;
        }
    }

    #findNextIndex(): number | undefined {
        if (this.#items.length === 0) {
            return undefined;
        }
        if (this.#dequeueCount % DEQUEUES_PER_OLDEST_ITEM !== DEQUEUES_PER_OLDEST_ITEM - 1) {
            return 0;
        }
        let oldest = 0;
        for (const [index, item] of this.#items.entries()) {
            if (item.arrivalNumber < (this.#items[oldest]?.arrivalNumber ?? Infinity)) {
                oldest = index;
            }
        }
        return oldest;
    }

    #findPosition(item: QueuedItem<Element>): number {
        let low = 0;
        let high = this.#items.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            const other = this.#items[middle];
            if (other !== undefined && isBefore(other, item)) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}

function isBefore(first: QueuedItem<unknown>, second: QueuedItem<unknown>): boolean {
    if (first.priority !== second.priority) {
        return first.priority < second.priority;
    }
    if (first.virtualFinish !== second.virtualFinish) {
        return first.virtualFinish < second.virtualFinish;
    }
    return first.arrivalNumber < second.arrivalNumber;
}
