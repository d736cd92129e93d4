/**
 * The HTTP server that all stand-ins share, with endpoints to set faults and to read the stand-in's state.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { openHttpServer, parseAddress, readBody, sendJson } from "../../network/mod.ts";

/** Faults of a stand-in by name; each stand-in documents its own. */
export type FaultTable = Record<string, number | boolean | string>;

/** A stand-in (test double) that serves HTTP. */
export interface StandIn<Faults extends FaultTable = FaultTable> {
    /** Faults in effect; they may be changed at any time. */
    readonly faults: Faults;
    /** Handles one request. */
    handleRequest(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> | void;
    /** Returns the state and the recorded events, which tests check. */
    dumpState(): unknown;
    /** Stops timers. */
    close(): void;
}

/** A stand-in whose server is listening. */
export interface OpenedStandIn {
    /** Stops listening and closes all connections. */
    close(): void;
}

const MAX_BODY_BYTES = 32 * 1024 * 1024;

/**
 * Opens a server for `standIn`, with `PUT /faults` to set faults and `GET /state` to read its state.
 *
 * When the fault `isSilent` is set, no more data is sent on the connections that are open at that time, except on the one
 * that set it; new connections work.
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
        // Discards all data that is written to a silenced connection.
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
