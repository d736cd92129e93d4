/**
 * Applies the limits on clients to the connections of an HTTP server.
 *
 * The guard counts what the server holds for each client and closes the connections that `ClientLimits` chooses. It
 * counts requests and bodies as they arrive. Heads that are not complete, unread responses and times are looked up in
 * {@linkcode ClientGuard.update}, which its owner calls at an interval.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
    type ClientCapacity,
    type ClientConnection,
    ClientDrop,
    ClientLimits,
    type ClientTimeouts,
    CONNECTION_BYTES,
    estimateRequestBytes,
    HEAD_FACTOR,
    MAX_FIELDS_UNDER_PRESSURE,
} from "../core/serving/client_limits.ts";
import { ClientDroppedError, countHeaderBytes } from "./request_body.ts";

/** Options of a {@linkcode ClientGuard}. */
export interface ClientGuardOptions {
    /** Sizes that limit all clients together. */
    capacity: ClientCapacity;
    /** Timeouts of one client. */
    timeouts: ClientTimeouts;
    /** Called for each client whose connection is closed, or whose request is refused. */
    onDrop: (reason: ClientDrop) => void;
}

/** Bytes that a client must read for progress: one that reads single bytes holds its response without end. */
const MIN_PROGRESS_BYTES = 1024;

/** Interval of the updates, in milliseconds. Until the next one, heads that are not complete count as nothing. */
const UPDATE_INTERVAL_MILLISECONDS = 200;

/** Bytes that are given to the parser at a time. */
const MAX_PARSED_BYTES = 4096;

/** A connection, with what is needed to find out whether it makes progress. */
class GuardedConnection implements ClientConnection {
    readonly socket: Socket;
    beganAt: number;
    progressAt: number;
    heldBytes = CONNECTION_BYTES;
    unsentBytes = 0;
    activeRequests = 0;
    isDiscarding = false;
    isAccepted = false;
    smallPieces = 0;
    isDropped = false;
    /** Request whose head has arrived last. */
    request: IncomingMessage | undefined;
    /** True if a request was arriving at the last update, or has begun since then. */
    wasArriving = false;
    /** Bytes of a head that is not complete, as of the last update. */
    headBytes = 0;
    /** Bytes that had been read at the last update. */
    readBytes = 0;
    /** Bytes that the client had taken at the last progress. */
    takenBytes = 0;
    /** Responses that are not complete, with the memory that their requests hold, in bytes. */
    readonly responses = new Map<ServerResponse, number>();
    /** True if nothing more of the client is read as a request. */
    isRefused = false;
    /** Ends the reading of a body. */
    refuseBody: ((error: ClientDroppedError) => void) | undefined;

    constructor(socket: Socket, now: number) {
        this.socket = socket;
        this.beganAt = now;
        this.progressAt = now;
    }

    get isArriving(): boolean {
        return this.isRefused || this.headBytes > 0 || this.request?.complete === false;
    }
}

/**
 * Gives the parser what is read in parts, and nothing more once the connection is dropped. Otherwise one read of 64 KB
 * with chunks of one byte, or with pipelined requests, occupies the process for tens of milliseconds. Parts cost large bodies
 * more time, so that only connections which are opened under such a load are read in parts.
 */
function splitReads(connection: GuardedConnection): void {
    const { socket } = connection;
    const [parse] = socket.listeners("data") as ((chunk: Buffer) => void)[];
    if (parse === undefined) {
        return;
    }
    socket.off("data", parse);
    socket.on("data", (chunk: Buffer) => {
        if (chunk.length <= MAX_PARSED_BYTES) {
            parse(chunk);
            return;
        }
        for (let start = 0; start < chunk.length && !socket.destroyed; start += MAX_PARSED_BYTES) {
            // The server pauses a connection whose responses are not read; its parser must get nothing then.
            if (socket.isPaused()) {
                socket.unshift(chunk.subarray(start));
                return;
            }
            parse(chunk.subarray(start, start + MAX_PARSED_BYTES));
        }
    });
}

/** Limits the clients of one HTTP server. */
export class ClientGuard {
    readonly #options: ClientGuardOptions;
    readonly #limits: ClientLimits<GuardedConnection>;
    readonly #bySocket = new WeakMap<object, GuardedConnection>();
    #timeouts: ClientTimeouts;
    #updatedAt = 0;
    #server: Server | undefined;

    constructor(options: ClientGuardOptions) {
        this.#options = options;
        this.#timeouts = options.timeouts;
        this.#limits = new ClientLimits(options.capacity);
    }

    /** Number of open connections. */
    get connectionCount(): number {
        return this.#limits.connections.size;
    }

    /** Memory that is held for all clients, in bytes, as estimated. */
    get usedBytes(): number {
        return this.#limits.usedBytes;
    }

    /** Applies other sizes, or other timeouts. */
    setLimits(limits: { capacity?: ClientCapacity; timeouts?: ClientTimeouts; }): void {
        if (limits.capacity !== undefined) {
            this.#limits.setCapacity(limits.capacity);
        }
        this.#timeouts = limits.timeouts ?? this.#timeouts;
    }

    /** Sets the server whose clients are limited; its parser keeps all header fields unless clients are being dropped. */
    setServer(server: Server): void {
        this.#server = server;
        server.maxHeadersCount = 0;
    }

    /** Counts a new connection; closes it or others if there are too many. */
    handleConnection(socket: Socket): void {
        const now = performance.now();
        const connection = new GuardedConnection(socket, now);
        this.#bySocket.set(socket, connection);
        socket.on("close", () => this.#handleClose(connection));
        if (this.#limits.isUnderProcessorPressure(now)) {
            splitReads(connection);
        }
        this.#dropAll(this.#limits.addConnection(connection, now, this.#timeouts));
    }

    /**
     * Counts a request until its response is complete.
     *
     * @returns False if its connection is closed, so that the request must not be handled.
     */
    handleRequest(request: IncomingMessage, response: ServerResponse): boolean {
        const connection = this.#bySocket.get(request.socket);
        if (connection === undefined) {
            return true;
        }
        if (connection.isDropped || connection.socket.destroyed) {
            return false;
        }
        const bytes = estimateRequestBytes({
            bytes: countHeaderBytes(request) + (request.url?.length ?? 0),
            fields: request.rawHeaders.length / 2,
        });
        connection.beganAt = connection.headBytes > 0 ? connection.beganAt : performance.now();
        this.#limits.addHeldBytes(connection, bytes - connection.headBytes * HEAD_FACTOR);
        connection.headBytes = 0;
        connection.request = request;
        connection.wasArriving = true;
        connection.isDiscarding = false;
        connection.activeRequests += 1;
        connection.responses.set(response, bytes);
        response.once("close", () => this.#handleResponseClose(connection, { request, response }));
        if (connection.activeRequests > 1) {
            this.#dropAll(this.#limits.dropForPipelining(connection, performance.now()));
            if (connection.isDropped) {
                return false;
            }
        }
        const fields = request.rawHeaders.length / 2;
        if (fields >= MAX_FIELDS_UNDER_PRESSURE && this.#limits.hasTooManyFields(fields, performance.now())) {
            this.#drop(connection, ClientDrop.headerFields);
            return false;
        }
        return !this.#relieve(connection);
    }

    /** Records that a request was accepted for a route. */
    markAccepted(request: IncomingMessage): void {
        const connection = this.#bySocket.get(request.socket);
        if (connection !== undefined) {
            connection.isAccepted = true;
        }
    }

    /** Records that no more of a client's request is used; what it still sends is discarded for a short time. */
    markRefused(socket: object): void {
        const connection = this.#bySocket.get(socket);
        if (connection !== undefined) {
            connection.isRefused = true;
            connection.isDiscarding = true;
            connection.beganAt = performance.now();
        }
    }

    /** Checks whether a connection has requests whose responses are not complete. */
    hasActiveRequests(socket: object): boolean {
        return (this.#bySocket.get(socket)?.activeRequests ?? 0) > 0;
    }

    /** Checks whether the guard has closed the connection of a request. */
    hasDropped(request: IncomingMessage): boolean {
        return this.#bySocket.get(request.socket)?.isDropped ?? false;
    }

    /**
     * Reserves memory for the body of a request until its response is complete. Closes other clients if necessary.
     *
     * @returns False if there is not enough.
     */
    reserveBody(request: IncomingMessage, response: ServerResponse, bytes: number): boolean {
        const connection = this.#bySocket.get(request.socket);
        const heldBytes = connection?.responses.get(response);
        if (connection === undefined || heldBytes === undefined) {
            return true;
        }
        connection.responses.set(response, heldBytes + bytes);
        this.#limits.addHeldBytes(connection, bytes);
        if (this.#relieve(connection)) {
            return false;
        }
        if (this.#limits.isOverBudget()) {
            this.#options.onDrop(ClientDrop.memory);
            return false;
        }
        return true;
    }

    /** Counts small pieces of a request's body; closes its connection if there are too many. */
    countSmallPieces(request: IncomingMessage, pieces: number): void {
        const connection = this.#bySocket.get(request.socket);
        if (connection !== undefined) {
            this.#dropAll(this.#limits.addSmallPieces(connection, pieces, performance.now()));
        }
    }

    /** Sets what ends the reading of a request's body when its time is over; `undefined` once the body is complete. */
    setBodyRefusal(request: IncomingMessage, refuseBody: ((error: ClientDroppedError) => void) | undefined): void {
        const connection = this.#bySocket.get(request.socket);
        if (connection !== undefined) {
            connection.refuseBody = refuseBody;
        }
    }

    /** Looks which clients make progress, and closes the connections of those whose time is over. */
    update(): void {
        const now = performance.now();
        if (now - this.#updatedAt < UPDATE_INTERVAL_MILLISECONDS) {
            return;
        }
        this.#updatedAt = now;
        this.#limits.restartPieceCount();
        this.#updateFieldLimit();
        for (const connection of this.#limits.connections) {
            this.#updateProgress(connection, now);
        }
        for (const { connection, reason } of this.#limits.chooseExpired(now, this.#timeouts)) {
            const { refuseBody } = connection;
            if (reason === ClientDrop.bodyTimeout && refuseBody !== undefined) {
                connection.isDropped = false;
                this.#options.onDrop(reason);
                refuseBody(new ClientDroppedError(reason));
            }
            else {
                this.#close(connection, reason);
            }
        }
        if (this.#limits.isOverBudget()) {
            this.#dropAll(this.#limits.chooseForMemory(now));
        }
    }

    #updateProgress(connection: GuardedConnection, now: number): void {
        const { socket } = connection;
        const unsentBytes = socket.writableLength;
        if (unsentBytes > 0) {
            const takenBytes = socket.bytesWritten - unsentBytes;
            if (takenBytes - connection.takenBytes >= MIN_PROGRESS_BYTES) {
                connection.takenBytes = takenBytes;
                connection.progressAt = now;
            }
        }
        this.#limits.updateUnsentBytes(connection, unsentBytes);
        const newBytes = socket.bytesRead - connection.readBytes;
        if (newBytes === 0) {
            return;
        }
        connection.readBytes += newBytes;
        if (unsentBytes === 0) {
            connection.progressAt = now;
        }
        const isHead = !connection.wasArriving && !connection.isRefused;
        connection.wasArriving = connection.request?.complete === false;
        connection.isDiscarding &&= connection.isArriving;
        if (isHead) {
            connection.beganAt = connection.headBytes > 0 ? connection.beganAt : now;
            connection.headBytes += newBytes;
            this.#limits.addHeldBytes(connection, newBytes * HEAD_FACTOR);
        }
    }

    #handleResponseClose(
        connection: GuardedConnection,
        { request, response }: { request: IncomingMessage; response: ServerResponse; },
    ): void {
        const bytes = connection.responses.get(response);
        if (bytes === undefined) {
            return;
        }
        connection.responses.delete(response);
        connection.activeRequests -= 1;
        this.#limits.addHeldBytes(connection, -bytes);
        const now = performance.now();
        connection.progressAt = now;
        if (connection.request === request && !request.complete) {
            connection.isDiscarding = true;
            connection.beganAt = now;
        }
    }

    #handleClose(connection: GuardedConnection): void {
        this.#limits.removeConnection(connection);
        connection.responses.clear();
    }

    /** Closes clients while too much memory is held. @returns True if `connection` is one of them. */
    #relieve(connection: GuardedConnection): boolean {
        if (this.#limits.isOverBudget()) {
            this.#dropAll(this.#limits.chooseForMemory(performance.now()));
        }
        return connection.isDropped;
    }

    /** Lets the parser drop surplus fields under pressure; the guard refuses the requests that have them. */
    #updateFieldLimit(): void {
        if (this.#server !== undefined) {
            const isLimited = this.#limits.isUnderPressure(performance.now());
            this.#server.maxHeadersCount = isLimited ? MAX_FIELDS_UNDER_PRESSURE : 0;
        }
    }

    #dropAll(dropped: readonly { connection: GuardedConnection; reason: ClientDrop; }[]): void {
        dropped.forEach(({ connection, reason }) => this.#close(connection, reason));
    }

    #drop(connection: GuardedConnection, reason: ClientDrop): void {
        connection.isDropped = true;
        this.#close(connection, reason);
    }

    #close(connection: GuardedConnection, reason: ClientDrop): void {
        this.#updateFieldLimit();
        this.#options.onDrop(reason);
        connection.socket.destroy();
        // The event "close" follows later; until then the memory would count twice against the clients that remain.
        this.#limits.removeConnection(connection);
    }
}
