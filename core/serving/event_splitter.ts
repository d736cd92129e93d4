/**
 * Splits a stream of bytes into whole events, so that a caller never gets half an event of a target that broke off.
 *
 * @module
 */

/** One event, as its target sent it. */
export interface RelayedEvent {
    /** Identity of the event; `undefined` where it has none. */
    id: string | undefined;
    /** All bytes of the event, with the blank line that ends it. */
    bytes: Uint8Array;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Takes bytes as they arrive and gives the events that they complete. */
export class EventSplitter {
    #pending: Uint8Array = new Uint8Array(0);

    /** Takes `chunk` and gives the events that it completes. */
    handleChunk(chunk: Uint8Array): RelayedEvent[] {
        let rest = this.#pending.length === 0 ? chunk : mergeBytes(this.#pending, chunk);
        const events: RelayedEvent[] = [];
        for (let end = findEventEnd(rest); end > 0; end = findEventEnd(rest)) {
            const bytes = rest.subarray(0, end);
            events.push({ id: findEventId(bytes), bytes });
            rest = rest.subarray(end);
        }
        this.#pending = rest;
        return events;
    }

    /** Gives the bytes that belong to no whole event yet. */
    getRest(): Uint8Array {
        return this.#pending;
    }
}

function mergeBytes(first: Uint8Array, second: Uint8Array): Uint8Array {
    const joined = new Uint8Array(first.length + second.length);
    joined.set(first);
    joined.set(second, first.length);
    return joined;
}

/** Finds the end of the first event: a blank line, whichever line ends are used. */
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
