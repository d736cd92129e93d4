/**
 * A pool of outgoing connections to peers, which opens each connection on first use and closes it when idle.
 *
 * @module
 */
import { connect } from "node:net";
import { encodeFrame } from "../protocol/mod.ts";
import { parseAddress } from "./address.ts";
import { FrameConnection } from "./frame_connection.ts";
import type { OpenConnection } from "./reset_detection.ts";

/** Options of {@linkcode PeerConnectionPool}. */
export interface PeerConnectionPoolOptions {
    /** Name by which this process identifies itself to peers. */
    self: string;
    /** Opens a connection to a peer. Defaults to one over TCP. */
    openConnection?: OpenConnection | undefined;
    /** Time without a sent message after which a connection is closed, in milliseconds. Defaults to 30 000. */
    idleMilliseconds?: number;
}

interface PeerConnection {
    connection: FrameConnection;
    /** Monotonic time of the last sent message, in milliseconds. */
    lastUsedAt: number;
}

const DEFAULT_IDLE_MILLISECONDS = 30_000;
/** Interval between searches for idle connections, in milliseconds. */
const SWEEP_INTERVAL_MILLISECONDS = 5000;

/** Sends messages to peers by address, without delivery guarantee: a message to an unreachable peer is lost. */
export class PeerConnectionPool {
    readonly #options: PeerConnectionPoolOptions;
    readonly #connections = new Map<string, PeerConnection>();
    readonly #sweepTimer: NodeJS.Timeout;

    constructor(options: PeerConnectionPoolOptions) {
        this.#options = options;
        this.#sweepTimer = setInterval(() => this.#closeIdleConnections(), SWEEP_INTERVAL_MILLISECONDS);
    }

    /** Number of open connections. */
    get size(): number {
        return this.#connections.size;
    }

    /** Sends `message` to the peer at `address`. */
    send(address: string, message: { kind: string; }): void {
        this.sendFrame(address, encodeFrame(message));
    }

    /** Sends a message that is encoded already, since it goes to several peers. */
    sendFrame(address: string, frame: Buffer): void {
        const peer = this.#connections.get(address) ?? this.#openConnection(address);
        peer.lastUsedAt = performance.now();
        peer.connection.sendFrame(frame);
    }

    /** Closes all connections and stops closing idle ones. */
    close(): void {
        clearInterval(this.#sweepTimer);
        for (const peer of [...this.#connections.values()]) {
            peer.connection.close();
        }
    }

    #openConnection(address: string): PeerConnection {
        const { openConnection = connect } = this.#options;
        const connection = new FrameConnection(openConnection(parseAddress(address)), {
            suppressesIdleHeartbeats: true,
            // Peers send their own messages over connections that they open; only heartbeats arrive on this one.
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
