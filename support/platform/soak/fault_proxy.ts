/**
 * A TCP proxy that injects network faults: delays, resets, dropped responses and dropped connections.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import { type Address, checkListener, type ListenerState, waitMilliseconds } from "../../../network/mod.ts";

/** How a proxy treats its connections. */
export const ProxyMode = {
    /** Forwards all data. */
    forward: "pass",
    /** Forwards all data after a delay. */
    delay: "delay",
    /** Holds all data until another mode is set, and then forwards it at once. */
    hold: "hold",
    /** Resets open connections and all new ones. */
    reset: "reset",
    /** Forwards data from the client and drops data from the server. */
    oneWay: "one-way",
    /** Drops all data on the connections that are open when the mode is set; new connections work. */
    dropOpen: "silence",
} as const;

/** One of the values of {@linkcode ProxyMode}. */
export type ProxyMode = (typeof ProxyMode)[keyof typeof ProxyMode];

/** Delay of all data in the mode {@linkcode ProxyMode.delay}. */
const DELAY_MILLISECONDS = 40;
/** Interval at which a server that refused a connection is called until it accepts one, in milliseconds. */
const SERVER_CHECK_INTERVAL_MILLISECONDS = 20;

/** A client's connection, and the connection to the server on which its data is forwarded. */
interface ProxiedConnection {
    client: Socket;
    server: Socket;
    isDropping: boolean;
}

/** Options of a {@linkcode FaultProxy}. */
export interface FaultProxyOptions {
    /** True to accept connections, and to reset them, also while the server refuses them. Defaults to false. */
    acceptsAlways?: boolean;
}

/** Forwards connections to one address. Refuses them while the server there does. */
export class FaultProxy {
    readonly #target: Address;
    readonly #acceptsAlways: boolean;
    readonly #server: Server;
    #address: Address | undefined;
    readonly #connections = new Set<ProxiedConnection>();
    #mode: ProxyMode = ProxyMode.forward;
    /** Pending while data is held. */
    #held: Promise<void> = Promise.resolve();
    #releaseHeld: () => void = () => undefined;

    /** @param target Address that connections are forwarded to. */
    constructor(target: Address, { acceptsAlways = false }: FaultProxyOptions = {}) {
        this.#target = target;
        this.#acceptsAlways = acceptsAlways;
        this.#server = createServer(client => this.#handleConnection(client));
    }

    /** Starts listening. */
    async open(address: Address): Promise<void> {
        this.#address = address;
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(address.port, address.host, resolve);
        });
    }

    /** Sets how connections are treated from now on. */
    setMode(mode: ProxyMode): void {
        this.#releaseHeld();
        if (mode === ProxyMode.hold) {
            this.#held = new Promise(resolve => {
                this.#releaseHeld = resolve;
            });
        }
        this.#mode = mode;
        for (const connection of this.#connections) {
            connection.isDropping ||= mode === ProxyMode.dropOpen;
            if (mode === ProxyMode.reset) {
                connection.client.resetAndDestroy();
                connection.server.destroy();
            }
        }
    }

    /** Stops listening and closes all connections. */
    close(): void {
        this.#releaseHeld();
        this.#address = undefined;
        this.#server.close();
        for (const { client, server } of this.#connections) {
            client.destroy();
            server.destroy();
        }
    }

    #handleConnection(client: Socket): void {
        client.on("error", () => client.destroy());
        if (this.#mode === ProxyMode.reset) {
            client.resetAndDestroy();
            return;
        }
        const server = connect(this.#target);
        const connection = { client, server, isDropping: false };
        this.#connections.add(connection);
        server.on("error", ({ code }: NodeJS.ErrnoException) => {
            client.resetAndDestroy();
            if (code === "ECONNREFUSED" && !this.#acceptsAlways) {
                void this.#refuseUntilServerAccepts();
            }
        });
        this.#relay(connection, { from: client, to: server, isResponse: false });
        this.#relay(connection, { from: server, to: client, isResponse: true });
    }

    async #refuseUntilServerAccepts(): Promise<void> {
        if (!this.#server.listening) {
            return;
        }
        this.#server.close();
        const checkServer = (): Promise<ListenerState> =>
            checkListener(this.#target, { timeoutMilliseconds: SERVER_CHECK_INTERVAL_MILLISECONDS });
        while (this.#address !== undefined && await checkServer() !== "listening") {
            await waitMilliseconds(SERVER_CHECK_INTERVAL_MILLISECONDS);
        }
        if (this.#address !== undefined) {
            this.#server.listen(this.#address.port, this.#address.host);
        }
    }

    #relay(connection: ProxiedConnection, direction: { from: Socket; to: Socket; isResponse: boolean; }): void {
        const { from, to, isResponse } = direction;
        let pending = Promise.resolve();
        let isBlocked = false;
        const isDropped = (): boolean => {
            // A TCP stream cannot continue after lost bytes, so a direction stays blocked once data was dropped.
            isBlocked ||= connection.isDropping || (isResponse && this.#mode === ProxyMode.oneWay);
            return isBlocked;
        };
        const runInOrder = (action: () => void): void => {
            const isDelayed = this.#mode === ProxyMode.delay;
            pending = pending.then(() => isDelayed ? waitMilliseconds(DELAY_MILLISECONDS) : this.#held).then(action);
        };
        from.on("data", (chunk: Buffer) => {
            runInOrder(() => {
                if (!isDropped() && !to.destroyed) {
                    to.write(chunk);
                }
            });
        });
        from.on("end", () => runInOrder(() => void (isDropped() || to.end())));
        from.on("close", hadError => {
            this.#connections.delete(connection);
            runInOrder(() => {
                if (!isDropped()) {
                    void (hadError ? to.resetAndDestroy() : to.destroySoon());
                }
            });
        });
    }
}
