/**
 * Tells the failure of a request from what happens to its connection after the response has begun.
 *
 * Node.js reports both as an error of the request. Bytes that follow a complete response are one of them, although they
 * belong to no request. If the request were destroyed then, a body that has arrived in the same read would be
 * discarded, and the response would look complete and empty.
 *
 * @module
 */
import type { ClientRequest } from "node:http";

/** Calls `onFailure` if a request fails before its response begins; later errors end the body unless it is complete. */
export function observeRequestFailure(request: ClientRequest, onFailure: (error: Error) => void): void {
    let hasResponse = false;
    request.once("response", () => {
        hasResponse = true;
    });
    request.on("error", error => {
        if (!hasResponse) {
            onFailure(error);
        }
    });
}

/** Gets the bytes after a complete response that have caused an error of its request; empty for other errors. */
export function getTrailingBytes(error: Error & { rawPacket?: Buffer; bytesParsed?: number; }): Buffer {
    return error.rawPacket?.subarray(error.bytesParsed) ?? Buffer.alloc(0);
}
