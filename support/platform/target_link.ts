/**
 * The link of one instance to all targets, which can be cut.
 *
 * @module
 */
import { Socket } from "node:net";
import { type Address, openObservedConnection } from "../../network/mod.ts";

/** How a cut link treats connections. */
export const LinkCut = {
    /** Open connections are reset, and new ones are refused. */
    reset: "reset",
    /** Open connections are silent, and new ones hang. */
    silent: "silent",
    /** Open connections live on, and new ones are refused. */
    closed: "closed",
} as const;

/** One of the values of {@linkcode LinkCut}. */
export type LinkCut = (typeof LinkCut)[keyof typeof LinkCut];

/** Address at which nothing listens. */
const REFUSING_ADDRESS: Address = { host: "127.0.0.1", port: 1 };

/** Creates a connection that is never established. */
export function createHangingSocket(): Socket {
    const socket = new Socket();
    // Node.js takes the connection for one that is being established.
    Object.assign(socket, { connecting: true });
    return socket;
}

/** Stops reading from a connection for good. */
export function pauseSocket(socket: Socket): void {
    // The parser of HTTP reads from the handle itself.
    (socket as unknown as { _handle: { readStop: () => void; } | null; })._handle?.readStop();
}

/** Opens the connections of one instance to targets. */
export class TargetLink {
    #cut: LinkCut | undefined;
    readonly #sockets = new Set<Socket>();

    /** Opens a connection to a target. */
    openConnection(address: Address): Socket {
        if (this.#cut === LinkCut.silent) {
            return createHangingSocket();
        }
        const socket = openObservedConnection(this.#cut === undefined ? address : REFUSING_ADDRESS);
        this.#sockets.add(socket);
        socket.on("close", () => this.#sockets.delete(socket));
        return socket;
    }

    /** Cuts the link. */
    breakConnections(kind: LinkCut): void {
        this.#cut = kind;
        for (const socket of this.#sockets) {
            if (kind === LinkCut.reset) {
                socket.destroy(Object.assign(new Error("read ECONNRESET"), { code: "ECONNRESET" }));
            }
            else if (kind === LinkCut.silent) {
                pauseSocket(socket);
            }
        }
    }

    /** Ends the cut; connections that were silent are lost. */
    resume(): void {
        if (this.#cut === LinkCut.silent) {
            this.#sockets.forEach(socket => socket.destroy());
        }
        this.#cut = undefined;
    }
}
