/**
 * A queue of future events in a simulation with virtual time.
 *
 * @module
 */

interface QueuedEvent {
    /** Time of the event, in milliseconds. */
    at: number;
    sequenceNumber: number;
    run: () => void;
}

/** A binary heap of events, ordered by time; events with equal times keep the order in which they were added. */
export class EventQueue {
    readonly #heap: QueuedEvent[] = [];
    #lastSequenceNumber = 0;

    /** Adds an event that runs at time `at`, in milliseconds. */
    addEvent(at: number, run: () => void): void {
        this.#lastSequenceNumber += 1;
        const event = { at, sequenceNumber: this.#lastSequenceNumber, run };
        let index = this.#heap.length;
        this.#heap.push(event);
        while (index > 0) {
            const parent = (index - 1) >> 1;
            const parentEvent = this.#heap[parent];
            if (parentEvent === undefined || isBefore(parentEvent, event)) {
                break;
            }
            this.#heap[index] = parentEvent;
            index = parent;
        }
        this.#heap[index] = event;
    }

    /** Removes and returns the earliest event that is not later than `limit`; `undefined` if there is none. */
    takeEvent(limit: number): QueuedEvent | undefined {
        const [first] = this.#heap;
        if (first === undefined || first.at > limit) {
            return undefined;
        }
        const last = this.#heap.pop();
        if (last !== undefined && this.#heap.length > 0) {
            this.#moveDown(last);
        }
        return first;
    }

    /** Places an event at the root and moves it down to its position in the heap. */
    #moveDown(event: QueuedEvent): void {
        let index = 0;
        for (;;) {
            let child = 2 * index + 1;
            const [left, right] = [this.#heap[child], this.#heap[child + 1]];
            if (left === undefined) {
                break;
            }
            const isRight = right !== undefined && isBefore(right, left);
            child += isRight ? 1 : 0;
            const smallest = isRight ? right : left;
            if (isBefore(event, smallest)) {
                break;
            }
            this.#heap[index] = smallest;
            index = child;
        }
        this.#heap[index] = event;
    }
}

function isBefore(first: QueuedEvent, second: QueuedEvent): boolean {
    return first.at < second.at || (first.at === second.at && first.sequenceNumber < second.sequenceNumber);
}
