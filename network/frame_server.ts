/**
 * A TCP server for framed messages, whose clients identify themselves in their first message.
 *
 * @module
 */
import { createServer, type Server } from "node:net";
import type { Address } from "./address.ts";
import { FrameConnection } from "./frame_connection.ts";

/** First message that a client sends on every connection. */
export interface HelloMessage {
    kind: "hello";
    /** Name by which the client identifies itself. */
    from: string;
}

/** Options of a {@linkcode FrameServer}. */
export interface FrameServerOptions {
    /** True if heartbeats are only sent in reply to messages. Defaults to false. */
    suppressesIdleHeartbeats?: boolean;
    /** Called when a client has identified itself. */
    onOpen?: (client: FrameClient) => void;
    /** Called with each message after the identifying one. */
    onMessage: (client: FrameClient, message: { kind: string; }) => void;
    /** Called when data from a client or the handling of its message has failed; its connection is closed. */
    onError?: (error: Error) => void;
    /** Called when the connection of an identified client is closed. */
    onClose?: (client: FrameClient) => void;
}

/** An identified client of a {@linkcode FrameServer}. */
export interface FrameClient {
    /** Identifier of the connection, unique within the server. */
    id: string;
    /** Name by which the client identified itself. */
    from: string;
    /** Connection to the client. */
    connection: FrameConnection;
}

/** Connections whose clients have not identified themselves yet; a client does so as soon as it is connected. */
const MAX_UNIDENTIFIED_CONNECTIONS = 512;
/** Connections at the same time; the largest fleet has 340 instances. */
const MAX_CONNECTIONS = 2048;
/** Maximum length of the first message, in bytes: until then, anyone may have connected. */
const MAX_HELLO_BYTES = 4096;

/** Accepts connections that carry framed messages; closes those whose first message is not a hello. */
export class FrameServer {
    readonly #options: FrameServerOptions;
    readonly #server: Server;
    readonly #connections = new Set<FrameConnection>();
    /** Connections whose clients have not identified themselves, the oldest first. */
    readonly #unidentified = new Set<FrameConnection>();
    #count = 0;

    constructor(options: FrameServerOptions) {
        this.#options = options;
        this.#server = createServer(socket => {
            this.#count += 1;
            const id = String(this.#count);
            let client: FrameClient | undefined;
            const connection: FrameConnection = new FrameConnection(socket, {
                suppressesIdleHeartbeats: this.#options.suppressesIdleHeartbeats ?? false,
                maxFirstMessageBytes: MAX_HELLO_BYTES,
                onError: this.#options.onError,
                onMessage: message => {
                    if (client !== undefined) {
                        this.#options.onMessage(client, message);
                    }
                    else if (message.kind === "hello") {
                        this.#unidentified.delete(connection);
                        client = { id, from: (message as HelloMessage).from, connection };
                        this.#options.onOpen?.(client);
                    }
                    else {
                        connection.close();
                    }
                },
                onClose: () => {
                    this.#connections.delete(connection);
                    this.#unidentified.delete(connection);
                    if (client !== undefined) {
                        this.#options.onClose?.(client);
                    }
                },
            });
            this.#connections.add(connection);
            this.#unidentified.add(connection);
            const [oldest] = this.#unidentified;
            if (
                this.#unidentified.size > MAX_UNIDENTIFIED_CONNECTIONS || this.#connections.size > MAX_CONNECTIONS
            ) {
                oldest?.close();
            }
        });
    }

    /** Starts listening on `address`. */
    async open(address: Address): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(address.port, address.host, resolve);
        });
    }

    /** Stops listening and closes all connections. */
    close(): void {
        this.#server.close();
        for (const connection of this.#connections) {
            connection.close();
        }
    }
}
