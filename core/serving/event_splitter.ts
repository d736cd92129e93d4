/**
 * Splits a byte stream of server-sent events into complete events, so that a caller does not receive a partial event if
 * the connection to the target breaks.
 *
 * Load pattern: a faulty target sends bytes without end that complete no event. The buffer is bounded, and each byte is
 * searched once, so that such a target neither fills the memory of the instance nor blocks its other streams.
 *
 * @module
 */

/** One server-sent event, as the target sent it. */
export interface RelayedEvent {
    /** Value of the event's `id` field; `undefined` if it has none. */
    id: string | undefined;
    /** True if the event consists of comments only, which targets send to keep a connection open. */
    isComment: boolean;
    /** All bytes of the event, including the blank line that ends it. */
    bytes: Uint8Array;
}

/** Thrown if received bytes are not a server-sent event. */
export class MalformedEventError extends Error {
    override name = "MalformedEventError";
}

/** Options of an {@linkcode EventSplitter}. */
export interface EventSplitterOptions {
    /** Maximum size of one event, in bytes. Defaults to 256 KiB. */
    maxEventBytes?: number;
}

/** An event holds a few tokens, and usually less than a kilobyte. */
const DEFAULT_MAX_EVENT_BYTES = 256 * 1024;
/** Pieces of fewer than `SMALL_PIECE_BYTES` bytes in which an event may arrive; each takes time to handle. */
const MAX_SMALL_PIECES = 4096;
const SMALL_PIECE_BYTES = 64;
const MIN_BUFFER_BYTES = 1024;
const COLON = 0x3a;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Maximum length of the blank line that ends an event, with the line ending before it: LF CR LF. */
const EVENT_END_BYTES = 3;
/** Maximum length of received text in an error message. */
const MAX_QUOTED_CHARACTERS = 40;
/** A line of an event: empty, a comment, a field name, or a field name and a value. */
const LINE_PATTERN = /^(?::.*|[\w-]{1,64}(?::.*)?|)$/;
/** A line with a field of server-sent events; an event may have others beside them. */
const STANDARD_FIELD_PATTERN = /^(?:data|event|id|retry)(?::|$)/;

/** Buffers received bytes and returns events as they become complete. */
export class EventSplitter {
    readonly #maxEventBytes: number;
    #buffer = new Uint8Array(0);
    /** Number of buffered bytes. */
    #length = 0;
    /** Number of buffered bytes that have been searched for the end of an event. */
    #searchedBytes = 0;
    /** Number of small pieces in which they have arrived. */
    #smallPieces = 0;

    constructor(options: EventSplitterOptions = {}) {
        this.#maxEventBytes = options.maxEventBytes ?? DEFAULT_MAX_EVENT_BYTES;
    }

    /**
     * Adds `chunk` to the buffered bytes and returns the events that it completes.
     *
     * @throws {MalformedEventError} If an event is longer than allowed or arrives in too many pieces, or its lines are not
     * those of an event.
     */
    handleChunk(chunk: Uint8Array): RelayedEvent[] {
        this.#append(chunk);
        const events: RelayedEvent[] = [];
        let start = 0;
        let searchFrom = this.#searchedBytes;
        const bytes = this.#buffer.subarray(0, this.#length);
        for (let end = findEventEnd(bytes, searchFrom); end > 0; end = findEventEnd(bytes, searchFrom)) {
            events.push(parseEvent(bytes.slice(start, end)));
            start = end;
            searchFrom = end;
        }
        this.#buffer.copyWithin(0, start, this.#length);
        this.#length -= start;
        this.#searchedBytes = Math.max(0, this.#length - EVENT_END_BYTES + 1);
        if (this.#length > this.#maxEventBytes) {
            throw new MalformedEventError(
                `Cannot read an event: ${this.#length} bytes without its end exceed the limit of ${this.#maxEventBytes}.`,
            );
        }
        this.#smallPieces = events.length > 0 ? 0 : this.#smallPieces + (chunk.length < SMALL_PIECE_BYTES ? 1 : 0);
        if (this.#smallPieces > MAX_SMALL_PIECES) {
            throw new MalformedEventError(`Cannot read an event: it arrives in more than ${MAX_SMALL_PIECES} pieces.`);
        }
        return events;
    }

    /** Returns the buffered bytes of an event that is not complete yet. */
    getPendingBytes(): Uint8Array {
        return this.#buffer.subarray(0, this.#length);
    }

    /** Copies `chunk` to the end of the buffer, whose capacity doubles when it is used up. */
    #append(chunk: Uint8Array): void {
        const length = this.#length + chunk.length;
        if (length > this.#buffer.length) {
            const buffer = new Uint8Array(Math.max(MIN_BUFFER_BYTES, length, 2 * this.#buffer.length));
            buffer.set(this.#buffer.subarray(0, this.#length));
            this.#buffer = buffer;
        }
        this.#buffer.set(chunk, this.#length);
        this.#length = length;
    }
}

/** Finds the end of the first event that ends after `from`: a blank line after an LF or CRLF; 0 if there is none. */
function findEventEnd(bytes: Uint8Array, from: number): number {
    for (let index = bytes.indexOf(LINE_FEED, from); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
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

/** Checks whether an event is a single comment line, which needs no decoding. */
function isSingleComment(bytes: Uint8Array): boolean {
    return bytes[0] === COLON && bytes.indexOf(LINE_FEED) >= bytes.length - EVENT_END_BYTES;
}

function parseEvent(bytes: Uint8Array): RelayedEvent {
    if (isSingleComment(bytes)) {
        return { id: undefined, isComment: true, bytes };
    }
    const lines = decoder.decode(bytes).split(/\r?\n/);
    const malformed = lines.find(line => !LINE_PATTERN.test(line));
    if (malformed !== undefined) {
        throw new MalformedEventError(
            `Cannot read an event: ${JSON.stringify(malformed.slice(0, MAX_QUOTED_CHARACTERS))} is no field.`,
        );
    }
    const isComment = lines.every(line => line === "" || line.startsWith(":"));
    if (!isComment && !lines.some(line => STANDARD_FIELD_PATTERN.test(line))) {
        const text = JSON.stringify(lines.join("\n").slice(0, MAX_QUOTED_CHARACTERS));
        throw new MalformedEventError(`Cannot read an event: ${text} has no field of an event.`);
    }
    const idLine = lines.find(line => line.startsWith("id:"));
    return { id: idLine?.slice("id:".length).replace(/^ /, ""), isComment, bytes };
}
