/**
 * Splits a byte stream of server-sent events into complete events, so that a caller does not receive a partial event if
 * the connection to the target breaks.
 *
 * @module
 */

/** One server-sent event, as the target sent it. */
export interface RelayedEvent {
    /** Value of the event's `id` field; `undefined` if it has none. */
    id: string | undefined;
    /** All bytes of the event, including the blank line that ends it. */
    bytes: Uint8Array;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Buffers received bytes and returns events as they become complete. */
export class EventSplitter {
    #pending: Uint8Array = new Uint8Array(0);

    /** Adds `chunk` to the buffered bytes and returns the events that it completes. */
    handleChunk(chunk: Uint8Array): RelayedEvent[] {
        let remaining = this.#pending.length === 0 ? chunk : mergeBytes(this.#pending, chunk);
        const events: RelayedEvent[] = [];
        for (let end = findEventEnd(remaining); end > 0; end = findEventEnd(remaining)) {
            const bytes = remaining.subarray(0, end);
            events.push({ id: findEventId(bytes), bytes });
            remaining = remaining.subarray(end);
        }
        this.#pending = remaining;
        return events;
    }

    /** Returns the buffered bytes of an event that is not complete yet. */
    getPendingBytes(): Uint8Array {
        return this.#pending;
    }
}

function mergeBytes(first: Uint8Array, second: Uint8Array): Uint8Array {
    const merged = new Uint8Array(first.length + second.length);
    merged.set(first);
    merged.set(second, first.length);
    return merged;
}

/** Finds the end of the first event, which is a blank line after an LF or CRLF line ending; 0 if there is none. */
function findEventEnd(bytes: Uint8Array): number {
    for (let index = bytes.indexOf(LINE_FEED); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
        const next = bytes[index + 1];
        if (next === LINE_FEED) {
            return index + 2;
        }
        if (next === CARRIAGE_RETURN && bytes[index + 2] === LINE_FEED) {
            return index + 3;
        }
    }
    return 0;
}

const decoder = new TextDecoder();

function findEventId(bytes: Uint8Array): string | undefined {
    return /^id: ?(.*?)\r?$/m.exec(decoder.decode(bytes))?.[1];
}
