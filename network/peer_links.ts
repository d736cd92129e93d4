/**
 * Outgoing links to peers, opened when first needed.
 *
 * @module
 */
import { connect } from "node:net";
import { parseAddress } from "./address.ts";
import { FrameConnection } from "./frame_connection.ts";

/** Options of {@linkcode PeerLinks}. */
export interface PeerLinksOptions {
    /** Name of this process. */
    self: string;
    /** Time without a message after which a link is closed, in milliseconds. Defaults to 30 000. */
    idleMilliseconds?: number;
}

interface PeerConnection {
    connection: FrameConnection;
    lastUsedAt: number;
}

const DEFAULT_IDLE_MILLISECONDS = 30_000;
const SWEEP_INTERVAL_MILLISECONDS = 5000;

/** Sends messages to peers by address; a message to a peer that can't be reached is lost. */
export class PeerLinks {
    readonly #options: PeerLinksOptions;
    readonly #connections = new Map<string, PeerConnection>();
    readonly #sweepTimer: NodeJS.Timeout;

    constructor(options: PeerLinksOptions) {
        this.#options = options;
        this.#sweepTimer = setInterval(() => this.#closeIdleConnections(), SWEEP_INTERVAL_MILLISECONDS);
    }

    /** Number of open links. */
    get size(): number {
        return this.#connections.size;
    }

    /** Sends `message` to the peer at `address`. */
    send(address: string, message: { kind: string; }): void {
        const peer = this.#connections.get(address) ?? this.#openConnection(address);
        peer.lastUsedAt = performance.now();
        peer.connection.send(message);
    }

    /** Closes all links. */
    close(): void {
        clearInterval(this.#sweepTimer);
        for (const peer of [...this.#connections.values()]) {
            peer.connection.close();
        }
    }

    #openConnection(address: string): PeerConnection {
        const connection = new FrameConnection(connect(parseAddress(address)), {
            isQuietWhenIdle: true,
            // The server's heartbeats are the only traffic that comes this way.
            onMessage: () => undefined,
            onClose: () => this.#connections.delete(address),
        });
        const peer = { connection, lastUsedAt: performance.now() };
        this.#connections.set(address, peer);
        connection.send({ kind: "hello", from: this.#options.self } as { kind: string; });
        return peer;
    }

    #closeIdleConnections(): void {
        const idleMilliseconds = this.#options.idleMilliseconds ?? DEFAULT_IDLE_MILLISECONDS;
        for (const peer of [...this.#connections.values()]) {
            if (performance.now() - peer.lastUsedAt > idleMilliseconds) {
                peer.connection.close();
            }
        }
    }
}
