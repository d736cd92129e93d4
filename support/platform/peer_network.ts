/**
 * Connections between the instances of a site, from which single instances can be cut off.
 *
 * @module
 */
import type { Socket } from "node:net";
import { type Address, openObservedConnection } from "../../network/mod.ts";
import { createHangingSocket, pauseSocket } from "./target_link.ts";

interface PeerLink {
    socket: Socket;
    /** Ports of the two instances. */
    ports: readonly [from: number, to: number];
}

/** Opens the connections between the instances of a site, which are known by the ports for their peers. */
export class PeerNetwork {
    readonly #cutPorts = new Set<number>();
    readonly #links = new Set<PeerLink>();

    /** Opens a connection of the instance with the port `from`. */
    openConnection(from: number, to: Address): Socket {
        if (this.#cutPorts.has(from) || this.#cutPorts.has(to.port)) {
            return createHangingSocket();
        }
        const socket = openObservedConnection(to);
        const link: PeerLink = { socket, ports: [from, to.port] };
        this.#links.add(link);
        socket.on("close", () => this.#links.delete(link));
        return socket;
    }

    /** Cuts an instance off from all others: its open connections fall silent, and new ones hang. */
    dropInstance(port: number): void {
        this.#cutPorts.add(port);
        for (const { socket, ports } of this.#links) {
            if (ports.includes(port)) {
                pauseSocket(socket);
                socket.write = () => true;
            }
        }
    }
}
