/**
 * A queue that orders work by priority and by weighted fair shares of client accounts.
 *
 * @module
 */

/** What the queue orders an item by. */
export interface FairQueueItemOptions {
    /** Unique name of the item. */
    id?: string;
    /** Priority; 0 goes first. Defaults to 1. */
    priority?: number;
    /** Client account that the item belongs to. Defaults to "". */
    account?: string;
    /** Weight of the client account. Defaults to 1. */
    weight?: number;
    /** Cost of the item, in any one unit. Defaults to 1. */
    cost?: number;
}

interface QueuedItem<Element> {
    element: Element;
    id: string;
    priority: number;
    start: number;
    finish: number;
    order: number;
}

/**
 * Every this many items taken, one is taken by age alone, so that low priorities are never starved.
 */
const TAKES_PER_AGED_TAKE = 8;

/**
 * Orders items by priority, then by virtual finish time within a priority.
 *
 * It has the shape that `p-queue` asks of a queue class.
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
    readonly #lastFinish = new Map<string, number>();
    #virtualTime = 0;
    #order = 0;
    #takes = 0;

    get size(): number {
        return this.#items.length;
    }

    /** Adds `element`. */
    enqueue(element: Element, options: FairQueueItemOptions = {}): void {
        const { account = "", weight = 1, cost = 1, priority = 1 } = options;
        const start = Math.max(this.#virtualTime, this.#lastFinish.get(account) ?? 0);
        const finish = start + cost / Math.max(weight, 0.001);
        this.#lastFinish.set(account, finish);
        this.#order += 1;
        const id = options.id ?? String(this.#order);
        const item = { element, id, priority, start, finish, order: this.#order };
        this.#items.splice(this.#findPosition(item), 0, item);
    }

    /** Takes the item that is next, or `undefined` where the queue is empty. */
    dequeue(): Element | undefined {
        const index = this.#pickIndex();
        if (index === undefined) {
            return undefined;
        }
        const [item] = this.#items.splice(index, 1);
        this.#takes += 1;
        this.#recordTake(item);
        return item?.element;
    }

    /** Lists the items in order, without taking any; limited to those of `options.priority` where it is given. */
    filter(options: Readonly<FairQueueItemOptions> = {}): Element[] {
        const { priority } = options;
        return this.#items.filter(item => priority === undefined || item.priority === priority).map(item =>
            item.element
        );
    }

    /** Changes the priority of the item named `id`. @throws {ReferenceError} Where there is no such item. */
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

    /** Removes the item named `id`. @returns The item, or `undefined` where there is none. */
    remove(id: string): Element | undefined {
        const index = this.#items.findIndex(item => item.id === id);
        if (index < 0) {
            return undefined;
        }
        const [item] = this.#items.splice(index, 1);
        this.#recordTake(item);
        return item?.element;
    }

    /** Removes and returns the items that `isWanted` accepts, in order. */
    takeMatching(isWanted: (element: Element) => boolean): Element[] {
        const taken = this.#items.filter(item => isWanted(item.element));
        this.#items = this.#items.filter(item => !taken.includes(item));
        return taken.map(item => item.element);
    }

    #recordTake(item: QueuedItem<Element> | undefined): void {
        if (item !== undefined) {
            this.#virtualTime = Math.max(this.#virtualTime, item.start);
        }
        if (this.#items.length === 0) {
            this.#lastFinish.clear();
            this.#virtualTime = 0;
        }
    }

    #pickIndex(): number | undefined {
        if (this.#items.length === 0) {
            return undefined;
        }
        if (this.#takes % TAKES_PER_AGED_TAKE !== TAKES_PER_AGED_TAKE - 1) {
            return 0;
        }
        let oldest = 0;
        for (const [index, item] of this.#items.entries()) {
            if (item.order < (this.#items[oldest]?.order ?? Infinity)) {
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
    if (first.finish !== second.finish) {
        return first.finish < second.finish;
    }
    return first.order < second.order;
}
