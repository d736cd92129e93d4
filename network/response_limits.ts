/**
 * Limits on what a faulty server may send in response to a request.
 *
 * Load pattern: a server sends bytes without end, in the head or in the body of a response. Node's parser limits the
 * headers, the trailers and the extensions of a chunk. Interim responses and the sum of all buffered bodies are limited
 * here.
 *
 * @module
 */
import type { ClientRequest } from "node:http";

/** Interim (1xx) responses that a server may send before the final one; most servers send none, or one. */
const MAX_INTERIM_RESPONSES = 8;

/** Aborts `request` with an error if its server sends too many interim responses. */
export function applyInterimResponseLimit(request: ClientRequest): void {
    let count = 0;
    request.on("information", () => {
        count += 1;
        if (count > MAX_INTERIM_RESPONSES) {
            request.destroy(
                new Error(`Cannot read the response: more than ${MAX_INTERIM_RESPONSES} interim responses precede it.`),
            );
        }
    });
}

/** Thrown if a message body exceeds the allowed size. */
export class BodyTooLargeError extends Error {
    override name = "BodyTooLargeError";
}

/** Number of bytes that may be buffered at the same time by all reads that share the budget. */
export class ByteBudget {
    readonly #maxBytes: number;
    #usedBytes = 0;

    constructor(maxBytes: number) {
        this.#maxBytes = maxBytes;
    }

    /** Takes `bytes` from the budget; returns false, and takes nothing, if fewer are left. */
    take(bytes: number): boolean {
        if (this.#usedBytes + bytes > this.#maxBytes) {
            return false;
        }
        this.#usedBytes += bytes;
        return true;
    }

    /** Returns `bytes` to the budget. */
    release(bytes: number): void {
        this.#usedBytes -= bytes;
    }
}
