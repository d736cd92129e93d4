/**
 * A TCP proxy on loopback that delays, resets, cuts one way or silences connections.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import { type Address, waitMilliseconds } from "../../../network/mod.ts";

/** What a proxy does to its connections. */
export const ProxyMode = {
    /** Passes everything on. */
    pass: "pass",
    /** Passes everything on after a delay. */
    delay: "delay",
    /** Resets connections that are open and new ones. */
    reset: "reset",
    /** Passes on what the client sends, and drops what comes back. */
    oneWay: "one-way",
    /** Drops everything on connections that are open; new ones work. */
    silence: "silence",
} as const;

/** One of the values of {@linkcode ProxyMode}. */
export type ProxyMode = (typeof ProxyMode)[keyof typeof ProxyMode];

/** Delay of the mode `delay`, in milliseconds. */
const DELAY = 40;

interface ProxiedPair {
    client: Socket;
    server: Socket;
    isSilent: boolean;
}

/** Passes connections on to one address. */
export class FaultProxy {
    readonly #target: Address;
    readonly #server: Server;
    readonly #pairs = new Set<ProxiedPair>();
    #mode: ProxyMode = ProxyMode.pass;

    /** @param target Address to pass connections on to. */
    constructor(target: Address) {
        this.#target = target;
        this.#server = createServer(client => this.#handleConnection(client));
    }

    /** Starts to listen. */
    async open(address: Address): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(address.port, address.host, resolve);
        });
    }

    /** Sets what happens to connections from now on. */
    setMode(mode: ProxyMode): void {
        this.#mode = mode;
        for (const pair of this.#pairs) {
            pair.isSilent ||= mode === ProxyMode.silence;
            if (mode === ProxyMode.reset) {
                pair.client.resetAndDestroy();
                pair.server.destroy();
            }
        }
    }

    /** Stops to listen and closes all connections. */
    close(): void {
        this.#server.close();
        for (const { client, server } of this.#pairs) {
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
        const pair = { client, server, isSilent: false };
        this.#pairs.add(pair);
        server.on("error", () => client.resetAndDestroy());
        this.#passOn(pair, { from: client, to: server, isAnswer: false });
        this.#passOn(pair, { from: server, to: client, isAnswer: true });
    }

    #passOn(pair: ProxiedPair, way: { from: Socket; to: Socket; isAnswer: boolean; }): void {
        const { from, to, isAnswer } = way;
        let last = Promise.resolve();
        let isCut = false;
        const isDropped = (): boolean => {
            // TCP never goes on after bytes are lost, so a way that was cut once stays cut.
            isCut ||= pair.isSilent || (isAnswer && this.#mode === ProxyMode.oneWay);
            return isCut;
        };
        const runInOrder = (action: () => void): void => {
            const isDelayed = this.#mode === ProxyMode.delay;
            last = last.then(() => isDelayed ? waitMilliseconds(DELAY) : undefined).then(action);
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
            this.#pairs.delete(pair);
            runInOrder(() => {
                if (!isDropped()) {
                    void (hadError ? to.resetAndDestroy() : to.destroySoon());
                }
            });
        });
    }
}
