/**
 * What all stand-ins share: a server on loopback with a table of faults.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { openHttpServer, parseAddress, readBody, sendJson } from "../../network/mod.ts";

/** Switches for faults; a stand-in documents the ones that it knows. */
export type FaultTable = Record<string, number | boolean | string>;

/** A stand-in that serves HTTP. */
export interface StandIn<Faults extends FaultTable = FaultTable> {
    /** Faults in force; they may be changed at any time. */
    readonly faults: Faults;
    /** Handles one request. */
    handleRequest(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> | void;
    /** Describes what has happened, for checks. */
    dumpState(): unknown;
    /** Stops timers. */
    close(): void;
}

/** A stand-in that listens. */
export interface OpenedStandIn {
    /** Stops listening and closes all connections. */
    close(): void;
}

const MAX_BODY_BYTES = 32 * 1024 * 1024;

/**
 * Opens a server for `standIn`, with `PUT /faults` to switch faults and `GET /state` to look at what has happened.
 *
 * With the fault `isSilent`, connections that are open then are never answered again, while new ones work.
 *
 * @param standIn Stand-in to serve.
 * @param options Address to listen on, as `IP:port`.
 * @returns The server.
 */
export async function openStandIn(standIn: StandIn, options: { address: string; }): Promise<OpenedStandIn> {
    const silencedSockets = new WeakSet<object>();
    const openSockets = new Set<import("node:net").Socket>();
    const server: Server = await openHttpServer({
        address: parseAddress(options.address),
        maxHeaderSize: 65_536,
        handler: async (request, response) => {
            const body = await readBody(request, { maxBytes: MAX_BODY_BYTES });
            if (request.url === "/faults" && request.method === "PUT") {
                const changes = JSON.parse(body.toString()) as FaultTable;
                Object.assign(standIn.faults, changes);
                if (changes["isSilent"] === true) {
                    openSockets.forEach(socket => silencedSockets.add(socket));
                    silencedSockets.delete(request.socket);
                }
                sendJson(response, { status: 200, value: standIn.faults });
                return;
            }
            if (request.url === "/state") {
                sendJson(response, { status: 200, value: standIn.dumpState() });
                return;
            }
            if (!silencedSockets.has(request.socket)) {
                await standIn.handleRequest(request, response, body);
            }
        },
    });
    server.on("connection", socket => {
        openSockets.add(socket);
        socket.on("close", () => openSockets.delete(socket));
        const write = socket.write.bind(socket) as (...rest: unknown[]) => boolean;
        // A silent connection swallows what is written to it.
        socket.write =
            ((...rest: unknown[]) => (silencedSockets.has(socket) ? true : write(...rest))) as typeof socket.write;
    });
    return {
        close: () => {
            standIn.close();
            server.close();
            server.closeAllConnections();
        },
    };
}
