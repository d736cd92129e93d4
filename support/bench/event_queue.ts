/**
 * Events in the order of virtual time.
 *
 * @module
 */

interface QueuedEvent {
    at: number;
    order: number;
    run: () => void;
}

/** A binary heap of events; events of one time run in the order of their adding. */
export class EventQueue {
    readonly #heap: QueuedEvent[] = [];
    #order = 0;

    /** Adds an event at time `at`, in milliseconds. */
    addEvent(at: number, run: () => void): void {
        this.#order += 1;
        const event = { at, order: this.#order, run };
        let index = this.#heap.length;
        this.#heap.push(event);
        while (index > 0) {
            const parent = (index - 1) >> 1;
            const other = this.#heap[parent];
            if (other === undefined || isBefore(other, event)) {
                break;
            }
            this.#heap[index] = other;
            index = parent;
        }
        this.#heap[index] = event;
    }

    /** Takes the earliest event that is not after `limit`. */
    takeEvent(limit: number): QueuedEvent | undefined {
        const [first] = this.#heap;
        if (first === undefined || first.at > limit) {
            return undefined;
        }
        const last = this.#heap.pop();
        if (last !== undefined && this.#heap.length > 0) {
            this.#setDown(last);
        }
        return first;
    }

    #setDown(event: QueuedEvent): void {
        let index = 0;
        for (;;) {
            let child = 2 * index + 1;
            const [left, right] = [this.#heap[child], this.#heap[child + 1]];
            if (left === undefined) {
                break;
            }
            const isRight = right !== undefined && isBefore(right, left);
            child += isRight ? 1 : 0;
            const least = isRight ? right : left;
            if (isBefore(event, least)) {
                break;
            }
            this.#heap[index] = least;
            index = child;
        }
        this.#heap[index] = event;
    }
}

function isBefore(first: QueuedEvent, second: QueuedEvent): boolean {
    return first.at < second.at || (first.at === second.at && first.order < second.order);
}
