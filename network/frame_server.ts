/**
 * A server of frame connections whose clients first say who they are.
 *
 * @module
 */
import { createServer, type Server } from "node:net";
import type { Address } from "./address.ts";
import { FrameConnection } from "./frame_connection.ts";

/** The first message on every connection. */
export interface HelloMessage {
    kind: "hello";
    /** Name of the client. */
    from: string;
}

/** Options of a {@linkcode FrameServer}. */
export interface FrameServerOptions {
    /** True where heartbeats only answer messages. Defaults to false. */
    isQuietWhenIdle?: boolean;
    /** Called when a client has said who it is. */
    onOpen?: (client: FrameClient) => void;
    /** Called with each message after the first. */
    onMessage: (client: FrameClient, message: { kind: string; }) => void;
    /** Called when a client that said who it is has gone. */
    onClose?: (client: FrameClient) => void;
}

/** A client of a {@linkcode FrameServer}. */
export interface FrameClient {
    /** Unique name of the connection. */
    id: string;
    /** Name that the client gave. */
    from: string;
    /** Connection to the client. */
    connection: FrameConnection;
}

/** Accepts frame connections. */
export class FrameServer {
    readonly #options: FrameServerOptions;
    readonly #server: Server;
    readonly #connections = new Set<FrameConnection>();
    #count = 0;

    constructor(options: FrameServerOptions) {
        this.#options = options;
        this.#server = createServer(socket => {
            this.#count += 1;
            const id = String(this.#count);
            let client: FrameClient | undefined;
            const connection: FrameConnection = new FrameConnection(socket, {
                isQuietWhenIdle: this.#options.isQuietWhenIdle ?? false,
                onMessage: message => {
                    if (client !== undefined) {
                        this.#options.onMessage(client, message);
                    }
                    else if (message.kind === "hello") {
                        client = { id, from: (message as HelloMessage).from, connection };
                        this.#options.onOpen?.(client);
                    }
                    else {
                        connection.close();
                    }
                },
                onClose: () => {
                    this.#connections.delete(connection);
                    if (client !== undefined) {
                        this.#options.onClose?.(client);
                    }
                },
            });
            this.#connections.add(connection);
        });
    }

    /** Starts to listen. */
    async open(address: Address): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(address.port, address.host, resolve);
        });
    }

    /** Stops to listen and closes all connections. */
    close(): void {
        this.#server.close();
        for (const connection of this.#connections) {
            connection.close();
        }
    }
}
