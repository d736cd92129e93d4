/**
 * Detects that a connection ended with a reset instead of an orderly close.
 *
 * If a reset arrives together with the last data, Node.js reports the end of the stream and no error. A response
 * without a length would then count as complete although its sender broke it off.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import type { Address } from "./address.ts";

const resetSockets = new WeakSet<Socket>();

/** Observes the end of a connection, before any other listener. Must be called when the socket is created. */
function observeReset(socket: Socket): void {
    socket.prependOnceListener("end", () => {
        // A connection that was reset has no remote end any more; one that the remote end has closed still does.
        if (socket.remoteAddress === undefined) {
            resetSockets.add(socket);
        }
    });
}

/** Opens a connection to an address. */
export type OpenConnection = (address: Address) => Socket;

/** Opens a connection whose end is observed, and on which small writes are not delayed. */
export function openObservedConnection({ host, port }: Address): Socket {
    const socket = connect({ host, port, noDelay: true });
    observeReset(socket);
    return socket;
}

/** Checks whether an observed connection has ended with a reset or another error. */
export function hasFailed(socket: Socket): boolean {
    return Boolean(socket.errored) || resetSockets.has(socket);
}
