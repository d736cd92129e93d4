/**
 * A target over TCP whose answers a scenario writes byte by byte.
 *
 * @module
 */
import { createServer, type Server, type Socket } from "node:net";

/** A connection that the target has accepted. */
export interface RawConnection {
    /** Socket of the target. */
    socket: Socket;
    /** Data received over the connection. */
    received: Buffer[];
}

/** Accepts connections and records what arrives; it answers only as a scenario tells it. */
export class RawTarget {
    /** Accepted connections, in order. */
    readonly connections: RawConnection[] = [];
    /** Called with each part of the data that has arrived. */
    onData: (connection: RawConnection) => void = () => undefined;
    readonly #server: Server = createServer(socket => this.#handleConnection(socket));

    /** Starts listening, and returns the address as `IP:port`. */
    async open(): Promise<string> {
        await new Promise<void>(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        const address = this.#server.address() ?? undefined;
        if (typeof address !== "object") {
            throw new Error("Cannot start the target: its server has no port.");
        }
        return `127.0.0.1:${address.port}`;
    }

    /** Stops listening and closes all connections. */
    close(): void {
        this.#server.close();
        this.connections.forEach(({ socket }) => socket.destroy());
    }

    #handleConnection(socket: Socket): void {
        const connection: RawConnection = { socket, received: [] };
        this.connections.push(connection);
        socket.on("error", () => socket.destroy());
        socket.on("data", data => {
            connection.received.push(data);
            this.onData(connection);
        });
    }
}

/** Splits what has arrived over a connection into whole requests and a rest; requests have a length or no body. */
export function splitRequests({ received }: RawConnection): { paths: string[]; rest: Buffer; } {
    const paths: string[] = [];
    let rest = Buffer.concat(received);
    for (;;) {
        const headEnd = rest.indexOf("\r\n\r\n");
        const head = headEnd < 0 ? "" : rest.subarray(0, headEnd).toString();
        const path = /^POST (\S+) HTTP\/1\.1\r\n/.exec(head)?.[1];
        const end = headEnd + 4 + Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
        if (path === undefined || rest.length < end) {
            return { paths, rest };
        }
        paths.push(path);
        rest = rest.subarray(end);
    }
}
