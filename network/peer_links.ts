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

interface PeerLink {
    connection: FrameConnection;
    lastUsed: number;
}

const DEFAULT_IDLE = 30_000;
const SWEEP_INTERVAL = 5000;

/** Sends messages to peers by address; a message to a peer that can't be reached is lost. */
export class PeerLinks {
    readonly #options: PeerLinksOptions;
    readonly #links = new Map<string, PeerLink>();
    readonly #timer: NodeJS.Timeout;

    constructor(options: PeerLinksOptions) {
        this.#options = options;
        this.#timer = setInterval(() => this.#closeIdle(), SWEEP_INTERVAL);
    }

    /** Number of open links. */
    get size(): number {
        return this.#links.size;
    }

    /** Sends `message` to the peer at `address`. */
    send(address: string, message: { kind: string; }): void {
        const link = this.#links.get(address) ?? this.#openLink(address);
        link.lastUsed = performance.now();
        link.connection.send(message);
    }

    /** Closes all links. */
    close(): void {
        clearInterval(this.#timer);
        for (const link of [...this.#links.values()]) {
            link.connection.close();
        }
    }

    #openLink(address: string): PeerLink {
        const connection = new FrameConnection(connect(parseAddress(address)), {
            isQuietWhenIdle: true,
            // The server's heartbeats are the only traffic that comes this way.
            onMessage: () => undefined,
            onClose: () => this.#links.delete(address),
        });
        const link = { connection, lastUsed: performance.now() };
        this.#links.set(address, link);
        connection.send({ kind: "hello", from: this.#options.self } as { kind: string; });
        return link;
    }

    #closeIdle(): void {
        const idle = this.#options.idleMilliseconds ?? DEFAULT_IDLE;
        for (const link of [...this.#links.values()]) {
            if (performance.now() - link.lastUsed > idle) {
                link.connection.close();
            }
        }
    }
}
