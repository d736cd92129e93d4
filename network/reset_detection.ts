/**
 * Detects that a connection ended with a reset instead of an orderly close.
 *
 * If a reset arrives together with the last data, Node.js reports the end of the stream and no error. A response
 * without a length would then count as complete although its sender broke it off.
 *
 * @module
 */
import type { Socket } from "node:net";

const resetSockets = new WeakSet<Socket>();

/** Observes the end of a connection, before any other listener. Must be called when the socket is created. */
export function observeReset(socket: Socket): void {
    socket.prependOnceListener("end", () => {
        // A connection that was reset has no remote end any more; one that the remote end has closed still does.
        if (socket.remoteAddress === undefined) {
            resetSockets.add(socket);
        }
    });
}

/** Checks whether an observed connection has ended with a reset or another error. */
export function hasFailed(socket: Socket): boolean {
    return Boolean(socket.errored) || resetSockets.has(socket);
}
