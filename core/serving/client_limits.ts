/**
 * Decides which clients' connections are closed, and when, so that no crowd of clients fills the memory or the
 * descriptors of an instance.
 *
 * Load pattern: many clients send requests that are each inside the limits and stop short of their end, or do not read
 * their responses. Each holds little; together they hold more than the machine has. One budget covers what the instance
 * keeps for all of them. Once it is used up, the clients that hold most for longest without completing their request are
 * closed. A client whose request is complete is not closed while it reads its response.
 *
 * @module
 */

/** Why a client's connection is closed, or its request refused. */
export const ClientDrop = {
    /** The memory for all clients is used up. */
    memory: "memory",
    /** The connections for all clients are used up. */
    connections: "connections",
    /** A body was not complete in time, or none of it arrived for the idle timeout. */
    bodyTimeout: "body timeout",
    /** The client has read nothing of its response for the idle timeout. */
    readTimeout: "read timeout",
    /** The rest of a body is not sent to its end in time after the response to its request. */
    unusedBody: "unused body",
    /** More requests are pipelined on one connection than are served at the same time. */
    pipelining: "pipelining",
    /** The processor time for bodies in very small pieces is used up. */
    smallPieces: "small pieces",
    /** A request has very many header fields while clients are closed for other reasons. */
    headerFields: "header fields",
} as const;

/** One of the values of {@linkcode ClientDrop}. */
export type ClientDrop = (typeof ClientDrop)[keyof typeof ClientDrop];

/** What is known of a client's connection. Times are on the monotonic clock, in milliseconds. */
export interface ClientConnection {
    /** Time at which the request that is arriving began, or the connection was opened without one. */
    beganAt: number;
    /** Time of the last progress: bytes of a request, or bytes of a response that the client has read. */
    progressAt: number;
    /** Estimated memory that is held for the client, without unsent responses, in bytes. */
    heldBytes: number;
    /** Bytes of responses that the client has not read yet, as of the last update. */
    unsentBytes: number;
    /** Number of requests whose responses are not complete. */
    activeRequests: number;
    /** True while a request is arriving: its head has begun, or its body is incomplete. */
    readonly isArriving: boolean;
    /** True if the body that is arriving belongs to a request that has been answered already. */
    isDiscarding: boolean;
    /** True once a request of the client was accepted for a route. */
    isAccepted: boolean;
    /** Small pieces of bodies that have arrived since the last update. */
    smallPieces: number;
    /** True once the client is dropped. */
    isDropped: boolean;
}

/** Sizes that limit all clients together. */
export interface ClientCapacity {
    /** Memory for all clients, in bytes. */
    maxBytes: number;
    /** Connections at the same time. */
    maxConnections: number;
}

/** Timeouts of one client, in milliseconds. */
export interface ClientTimeouts {
    /** Time without progress of a body, or of a client that reads its response. */
    idleMilliseconds: number;
    /** Time in which a body must be complete. */
    bodyMilliseconds: number;
}

/** A client to drop. */
export interface DroppedClient<Connection extends ClientConnection> {
    /** Connection of the client. */
    connection: Connection;
    /** Why it is dropped. */
    reason: ClientDrop;
}

/** Memory of a connection and of its parser, in bytes, as estimated. */
export const CONNECTION_BYTES = 10_000;
/** Memory of a request and its response without headers and body, in bytes, as estimated. */
const REQUEST_BYTES = 8000;
/** Memory of one header field after parsing, in bytes: two strings, an entry of the table, and the forwarded pair. */
const FIELD_BYTES = 260;
/** Memory per byte of a head that is not complete. A short field of 8 bytes has two strings in a list. */
export const HEAD_FACTOR = 10;
/** Requests of one connection whose responses are not complete; callers that pipeline at all send a few. */
const MAX_PIPELINED_REQUESTS = 16;
/**
 * Small pieces of bodies between two updates, from several clients. A piece takes several microseconds whatever its size;
 * a single client may send the largest body byte by byte.
 */
const MAX_SMALL_PIECES = 10_000;
/** Small pieces of bodies between two updates while clients are being dropped. */
const MAX_SMALL_PIECES_UNDER_PRESSURE = 1000;
/**
 * Header fields of a request while clients are being dropped. Node takes about 1 us for each; ordinary requests have
 * fewer than 40.
 */
export const MAX_FIELDS_UNDER_PRESSURE = 128;
/** Time since a client was dropped for which the limits under pressure apply, in milliseconds. */
const PRESSURE_MILLISECONDS = 5000;
/** Memory of the process without clients, in bytes: 64 to 74 MB at rest, and the rest for responses and garbage. */
const PROCESS_BYTES = 105_000_000;
/** Share of the remaining memory that is used for clients; the collector frees what they held with a delay. */
const CLIENT_SHARE = 0.5;
const MIN_CLIENT_BYTES = 16_000_000;
const MAX_CLIENT_BYTES = 256_000_000;
const BYTES_PER_MEGABYTE = 1_000_000;
/** Descriptors for files, as the platform states them. */
const FILE_DESCRIPTORS = 200;
/** Share of the other descriptors for callers; the rest is for targets, peers, the store and readiness checks. */
const CALLER_SHARE = 0.5;
const MIN_CONNECTIONS = 64;
/** Share of a budget that is used after clients were dropped, so that a flood costs few searches. */
const RELIEVED_SHARE = 0.9;
/** Time without progress after which a client that reads slowly may be dropped for memory, in milliseconds. */
const SLOW_READER_MILLISECONDS = 1000;
/** Share of the idle timeout for which the balancer's clients keep connections open without a request. */
const BALANCER_IDLE_SHARE = 0.8;
/** Time in which the rest of a body must arrive after the response to its request, in milliseconds. */
const DISCARD_MILLISECONDS = 1000;

/** Resources of the machine, and the largest body, from which the sizes follow. */
export interface ClientCapacityInput {
    /** Memory, in MB. */
    memoryMegabytes: number;
    /** File descriptors. */
    maxDescriptors: number;
    /** Maximum size of a body, in bytes. Defaults to one far below the budget. */
    maxBodyBytes?: number;
}

/** Computes the sizes for callers' connections; two of the largest bodies have room in any case. */
export function computeClientCapacity(input: ClientCapacityInput): ClientCapacity {
    const memory = input.memoryMegabytes * BYTES_PER_MEGABYTE;
    const maxBytes = Math.max(
        2 * (input.maxBodyBytes ?? 0),
        Math.min(MAX_CLIENT_BYTES, Math.max(MIN_CLIENT_BYTES, (memory - PROCESS_BYTES) * CLIENT_SHARE)),
    );
    const byDescriptors = Math.floor((input.maxDescriptors - FILE_DESCRIPTORS) * CALLER_SHARE);
    const byMemory = Math.floor(maxBytes / (CONNECTION_BYTES + REQUEST_BYTES));
    return { maxBytes, maxConnections: Math.max(MIN_CONNECTIONS, Math.min(byDescriptors, byMemory)) };
}

/** Estimates the memory of a request without its body, in bytes. */
export function estimateRequestBytes(head: { bytes: number; fields: number; }): number {
    return REQUEST_BYTES + head.bytes + head.fields * FIELD_BYTES;
}

/** Keeps what is held for the clients of one port, and chooses those to drop. */
export class ClientLimits<Connection extends ClientConnection = ClientConnection> {
    readonly #connections = new Set<Connection>();
    #capacity: ClientCapacity;
    #heldBytes = 0;
    #unsentBytes = 0;
    /** Small pieces of all clients since the last update. */
    #smallPieces = 0;
    /** Time of the last drop for memory, connections or pieces; `undefined` before. */
    #pressureAt: number | undefined;
    /** Time of the last drop for small pieces or pipelining; `undefined` before. */
    #processorPressureAt: number | undefined;

    constructor(capacity: ClientCapacity) {
        this.#capacity = capacity;
    }

    /** Connections that are open. */
    get connections(): ReadonlySet<Connection> {
        return this.#connections;
    }

    /** Memory that is held for all clients, in bytes. */
    get usedBytes(): number {
        return this.#heldBytes + this.#unsentBytes;
    }

    /** Applies other sizes. */
    setCapacity(capacity: ClientCapacity): void {
        this.#capacity = capacity;
    }

    /** Adds a new connection; returns the clients to drop for it, which may include the new one. */
    addConnection(connection: Connection, now: number, timeouts: ClientTimeouts): DroppedClient<Connection>[] {
        this.#connections.add(connection);
        this.#heldBytes += connection.heldBytes;
        if (this.#connections.size <= this.#capacity.maxConnections) {
            return [];
        }
        const excess = this.#connections.size - Math.floor(this.#capacity.maxConnections * RELIEVED_SHARE);
        const candidates = [...this.#connections].filter(other =>
            other !== connection && !other.isDropped && isReplaceable(other, now, timeouts)
        );
        // Connections that have waited longest for a request come first.
        candidates.sort((first, second) => first.beganAt - second.beganAt);
        const dropped = candidates.slice(0, excess);
        return this.#drop(dropped.length === 0 ? [connection] : dropped, ClientDrop.connections, now);
    }

    /** Removes a closed connection. */
    removeConnection(connection: Connection): void {
        if (this.#connections.delete(connection)) {
            this.#heldBytes -= connection.heldBytes;
            this.#unsentBytes -= connection.unsentBytes;
            connection.heldBytes = 0;
            connection.unsentBytes = 0;
        }
    }

    /** Adds memory that is held for a client; a negative number releases it. */
    addHeldBytes(connection: Connection, bytes: number): void {
        if (this.#connections.has(connection)) {
            connection.heldBytes += bytes;
            this.#heldBytes += bytes;
        }
    }

    /** Records how many bytes of responses a client has not read. */
    updateUnsentBytes(connection: Connection, bytes: number): void {
        if (this.#connections.has(connection)) {
            this.#unsentBytes += bytes - connection.unsentBytes;
            connection.unsentBytes = bytes;
        }
    }

    /**
     * Counts small pieces of a client's body.
     *
     * @returns The client to drop if too many have arrived since the last update; in calm, one client may send any number.
     */
    addSmallPieces(connection: Connection, pieces: number, now: number): DroppedClient<Connection>[] {
        connection.smallPieces += pieces;
        this.#smallPieces += pieces;
        const isOver = this.isUnderPressure(now)
            ? this.#smallPieces > MAX_SMALL_PIECES_UNDER_PRESSURE
            : this.#smallPieces > MAX_SMALL_PIECES && connection.smallPieces < this.#smallPieces;
        return isOver && !connection.isDropped ? this.#drop([connection], ClientDrop.smallPieces, now) : [];
    }

    /** Starts a new interval for the small pieces. */
    restartPieceCount(): void {
        this.#smallPieces = 0;
        this.#connections.forEach(connection => {
            connection.smallPieces = 0;
        });
    }

    /** Checks whether clients had to be dropped lately, so that limits apply which a single client need not keep. */
    isUnderPressure(now: number): boolean {
        return this.#pressureAt !== undefined && now - this.#pressureAt < PRESSURE_MILLISECONDS;
    }

    /** Checks whether clients were dropped lately whose bytes take much processor time. */
    isUnderProcessorPressure(now: number): boolean {
        return this.#processorPressureAt !== undefined && now - this.#processorPressureAt < PRESSURE_MILLISECONDS;
    }

    /** Checks whether a request has more header fields than the processor time allows now. */
    hasTooManyFields(fields: number, now: number): boolean {
        return fields >= MAX_FIELDS_UNDER_PRESSURE && this.isUnderPressure(now);
    }

    /** Checks whether more is held than the machine has memory for; a single client may hold a whole request. */
    isOverBudget(): boolean {
        return this.usedBytes > this.#capacity.maxBytes && this.#connections.size > 1;
    }

    /** Drops a connection that has more pipelined requests than are kept waiting. */
    dropForPipelining(connection: Connection, now: number): DroppedClient<Connection>[] {
        return connection.activeRequests > MAX_PIPELINED_REQUESTS
            ? this.#drop([connection], ClientDrop.pipelining, now)
            : [];
    }

    /**
     * Chooses the clients to drop while the budget is exceeded: those that hold most for longest, until enough is free.
     * Requests that have arrived completely stay, unless their clients do not read.
     */
    chooseForMemory(now: number): DroppedClient<Connection>[] {
        const scored: { connection: Connection; score: number; }[] = [];
        for (const connection of this.#connections) {
            const milliseconds = computeHoldMilliseconds(connection, now);
            if (milliseconds !== undefined && !connection.isDropped) {
                scored.push({ connection, score: milliseconds * (connection.heldBytes + connection.unsentBytes) });
            }
        }
        scored.sort((first, second) => second.score - first.score);
        let excess = this.usedBytes - this.#capacity.maxBytes * RELIEVED_SHARE;
        const chosen: Connection[] = [];
        for (const { connection } of scored) {
            if (excess <= 0) {
                break;
            }
            excess -= connection.heldBytes + connection.unsentBytes;
            chosen.push(connection);
        }
        return this.#drop(chosen, ClientDrop.memory, now);
    }

    /** Chooses the clients whose time is over, whatever is held for the others. */
    chooseExpired(now: number, timeouts: ClientTimeouts): DroppedClient<Connection>[] {
        const expired: DroppedClient<Connection>[] = [];
        for (const connection of this.#connections) {
            const reason = connection.isDropped ? undefined : findExpiry(connection, now, timeouts);
            if (reason !== undefined) {
                expired.push(...this.#drop([connection], reason));
            }
        }
        return expired;
    }

    #drop(connections: readonly Connection[], reason: ClientDrop, now?: number): DroppedClient<Connection>[] {
        if (connections.length > 0) {
            this.#pressureAt = now ?? this.#pressureAt;
            if (reason === ClientDrop.smallPieces || reason === ClientDrop.pipelining) {
                this.#processorPressureAt = now;
            }
        }
        return connections.map(connection => {
            connection.isDropped = true;
            return { connection, reason };
        });
    }
}

/** Computes for how long a client holds memory without need; `undefined` if its request runs or it makes progress. */
function computeHoldMilliseconds(connection: ClientConnection, now: number): number | undefined {
    if (connection.isArriving) {
        // A body that trickles makes progress but does not end, so that the whole time counts.
        return Math.max(1, now - connection.beganAt);
    }
    const silence = now - connection.progressAt;
    return connection.unsentBytes > 0 && silence >= SLOW_READER_MILLISECONDS ? silence : undefined;
}

/** Checks whether a connection may be closed to make room for a new one. */
function isReplaceable(connection: ClientConnection, now: number, timeouts: ClientTimeouts): boolean {
    if (connection.isArriving || connection.activeRequests === 0 && !connection.isAccepted) {
        return true;
    }
    const silence = now - connection.progressAt;
    return connection.unsentBytes > 0
        ? silence >= SLOW_READER_MILLISECONDS
        : connection.activeRequests === 0 && silence > timeouts.idleMilliseconds * BALANCER_IDLE_SHARE;
}

function findExpiry(
    connection: ClientConnection,
    now: number,
    timeouts: ClientTimeouts,
): ClientDrop | undefined {
    const silence = now - connection.progressAt;
    if (connection.isDiscarding && now - connection.beganAt > DISCARD_MILLISECONDS) {
        return ClientDrop.unusedBody;
    }
    // The timeout of the server limits the time of a head.
    if (connection.isArriving && connection.activeRequests > 0) {
        const isLate = now - connection.beganAt > timeouts.bodyMilliseconds || silence > timeouts.idleMilliseconds;
        return isLate ? ClientDrop.bodyTimeout : undefined;
    }
    return connection.unsentBytes > 0 && silence > timeouts.idleMilliseconds ? ClientDrop.readTimeout : undefined;
}
