/**
 * Tells framed responses, whose own bytes show where they end, from unframed ones, which end with their connection.
 *
 * @module
 */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from "node:http";

/** A transfer encoding whose last step is chunks; a body with any other ends with its connection. */
const CHUNKED_PATTERN = /(?:^|,)\s*chunked\s*$/i;

/** Checks whether the headers of a response give its body a length or chunks. */
export function isFramed(headers: IncomingHttpHeaders): boolean {
    return headers["content-length"] !== undefined || CHUNKED_PATTERN.test(headers["transfer-encoding"] ?? "");
}

/** Statuses whose responses have no content. */
const STATUSES_WITHOUT_CONTENT: ReadonlySet<number> = new Set([204, 304]);

/** Checks whether a response to a request with the given method shows its end, rather than to end with its connection. */
export function hasOwnEnd({ statusCode = 0, headers }: IncomingMessage, method: string): boolean {
    return method === "HEAD" || STATUSES_WITHOUT_CONTENT.has(statusCode) || isFramed(headers);
}

/** Makes the body of a response whose head is not written yet end with its connection. */
export function setUnframed(response: ServerResponse): void {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
}
