/**
 * Tells the failure of a request from what happens to its connection after the response has begun.
 *
 * Node.js reports both as an error of the request. Bytes that follow a complete response are one of them, although they
 * belong to no request. If the request were destroyed then, a body that has arrived in the same read would be
 * discarded, and the response would look complete and empty.
 *
 * After the head of an upgrade that was not requested, Node.js closes the connection and reports neither a response nor an
 * error.
 *
 * @module
 */
import type { ClientRequest } from "node:http";

/**
 * Calls `onFailure` once if a request fails or ends before its response begins; later errors end the body unless it is
 * complete.
 */
export function observeRequestFailure(request: ClientRequest, onFailure: (error: Error) => void): void {
    let isSettled = false;
    const fail = (error: Error): void => {
        if (!isSettled) {
            isSettled = true;
            onFailure(error);
        }
    };
    request.once("response", () => {
        isSettled = true;
    });
    request.on("error", fail);
    request.once("close", () => fail(new Error("The connection was closed without a response.")));
}

/** Gets the bytes after a complete response that have caused an error of its request; empty for other errors. */
export function getTrailingBytes(error: Error & { rawPacket?: Buffer; bytesParsed?: number; }): Buffer {
    return error.rawPacket?.subarray(error.bytesParsed) ?? Buffer.alloc(0);
}
