/**
 * Persistent HTTP connections to targets, with one request at a time on each.
 *
 * @module
 */
import { Agent, type ClientRequest, type IncomingMessage, request as startRequest } from "node:http";
import type { Socket } from "node:net";
import type { WaitingRequest } from "../core/serving/mod.ts";
import { type AttemptProgress, findResponseDoubt, type ResponseDoubt } from "../core/verdict/mod.ts";
import {
    applyInterimResponseLimit,
    BodyTooLargeError,
    ByteBudget,
    getTrailingBytes,
    hasFailed,
    observeRequestFailure,
    type OpenConnection,
    openObservedConnection,
    parseAddress,
    readBody,
} from "../network/mod.ts";
import { decodeResponseHead, type HeaderPair, type TargetResponseHead } from "../platform/mod.ts";

/** Thrown if a request received no response that belongs to it. */
export class TargetCallError extends Error {
    override name = "TargetCallError";
    /** Stage that the attempt had reached when it failed. */
    readonly progress: AttemptProgress;
    /** True if the caller of {@linkcode TargetConnections.sendRequest} aborted the attempt. */
    readonly isAborted: boolean;
    /** True if the connection was lost, other than by an abort. */
    readonly isConnectionLost: boolean;

    /**
     * @param message Description of the failure.
     * @param state Stage that the attempt had reached when it failed, whether it was aborted, and whether its connection
     * was lost.
     */
    constructor(message: string, state: { progress: AttemptProgress; isAborted: boolean; isConnectionLost: boolean; }) {
        super(message);
        this.progress = state.progress;
        this.isAborted = state.isAborted;
        this.isConnectionLost = state.isConnectionLost;
    }
}

/** Checks whether an error means that the target accepted no connection; an aborted attempt does not show this. */
export function isConnectFailure(error: unknown): boolean {
    return error instanceof TargetCallError && error.progress === "not-connected" && !error.isAborted;
}

/** Checks whether an error of an attempt that was not aborted means that its connection was lost. */
export function isConnectionLoss(error: unknown): boolean {
    return error instanceof TargetCallError ? error.isConnectionLost : !(error instanceof BodyTooLargeError);
}

/** A request to a target. */
export interface TargetCall {
    /** Identifier of the target; connections are reused only for requests to the same identifier. */
    targetId: string;
    /** Address of the target, as `IP:port`. */
    address: string;
    /** Identifier of the request, which the target repeats in its response. */
    requestId: string;
    /** HTTP method. */
    method: string;
    /** Path with query string. */
    path: string;
    /** Headers of the request. */
    headers: HeaderPair[];
    /** Complete body of the request. */
    body: Buffer;
    /** Aborts the call. */
    signal: AbortSignal;
}

/** A target's response whose body has not been read yet. */
export interface TargetResponse {
    /** Decoded head of the response. */
    head: TargetResponseHead;
    /** Response, from which the body is read. */
    response: IncomingMessage;
    /**
     * Checks whether the body is complete; a body without a length ends when its connection is closed without a reset.
     */
    isComplete: () => boolean;
    /** Gets the bytes that have arrived together with the end of the body and do not belong to it. */
    getTrailingBytes: () => Buffer;
    /**
     * Computes how long ago the connection may have ended, in milliseconds: the time since it was last known to be open.
     * It is long if this process was paused, or has not read on since the caller was slow.
     */
    computeEndAge: () => number;
    /** Records that `bytes` of the body have been read, which shows that the response makes progress. */
    recordBody: (bytes: number) => void;
    /** Closes the connection, so that the target stops processing the request. */
    close: () => void;
}

/** A response that proves nothing about the request on its connection. */
export interface DoubtfulResponse {
    /** Request that was sent over the connection last. */
    call: TargetCall;
    /** Head of the response. */
    head: TargetResponseHead;
    /** Why the response proves nothing. */
    reason: ResponseDoubt;
}

/** A request whose response is not complete yet. */
interface PendingResponse {
    request: ClientRequest;
    /** Bytes that had arrived on the connection before the response. */
    initialBytes: number;
    /** Bytes of the body that have been read. */
    bodyBytes: number;
    /** Identifier of the target. */
    targetId: string;
    /** Time at which the request was sent, on the monotonic clock in milliseconds. */
    sentAt: number;
    /** Response whose head has arrived; `undefined` before. */
    response: IncomingMessage | undefined;
    /** Time at which the connection was last known to be open. */
    openAt: ClockTime;
    /** True while bytes, or the end of the connection, may have arrived that have not been read. */
    isReadLate: boolean;
    /** Bytes that had been read at the last check. */
    checkedBytes: number;
}

/** A time on both clocks, in milliseconds: the monotonic one may stand still while the machine is suspended. */
interface ClockTime {
    monotonic: number;
    wall: number;
}

function readClocks(): ClockTime {
    return { monotonic: performance.now(), wall: Date.now() };
}

/** Computes the time since then, in milliseconds, by the clock by which it is longer. */
function computeAge({ monotonic, wall }: ClockTime): number {
    return Math.max(performance.now() - monotonic, Date.now() - wall);
}

/** Records until when the connection of a response is known to be open; `checkedAt` is the time of the last check. */
function updateOpenTime(pending: PendingResponse, checkedAt: ClockTime): void {
    const { response, checkedBytes } = pending;
    if (response === undefined || response.complete) {
        return;
    }
    pending.checkedBytes = response.socket.bytesRead;
    if (computeAge(checkedAt) > MAX_CHECK_GAP_MILLISECONDS || response.readableLength > 0) {
        pending.isReadLate = true;
    }
    else if (pending.checkedBytes === checkedBytes) {
        pending.isReadLate = false;
    }
    // Whatever had arrived by the last check has been read since.
    if (!pending.isReadLate) {
        pending.openAt = checkedAt;
    }
}

/**
 * Timeout for establishing a connection, in milliseconds. Targets accept a connection within a few milliseconds; a lost
 * packet is retransmitted after a few hundred milliseconds.
 */
const CONNECT_TIMEOUT_MILLISECONDS = 400;
/** Time for which an idle connection is kept open, in milliseconds; targets close idle connections later than this. */
const IDLE_TIMEOUT_MILLISECONDS = 4000;
/** Maximum number of idle connections kept open to one target. */
const MAX_IDLE_CONNECTIONS = 8;
/** Number of refused requests that are remembered for a target; its connections are replaced before any is forgotten. */
const MAX_REFUSED_REQUESTS = 512;
/** Time for which connections to a target are not reused after it sent unsolicited bytes, in milliseconds. */
const REUSE_PAUSE_MILLISECONDS = 10_000;

/** HTTP agent for one target that does not reuse a connection on which unsolicited bytes have arrived. */
class TargetAgent extends Agent {
    #reusePausedUntil = 0;
    readonly #refusedIds = new Set<string>();
    readonly #openConnection: OpenConnection;

    constructor(openConnection: OpenConnection) {
        super({
            keepAlive: true,
            maxFreeSockets: MAX_IDLE_CONNECTIONS,
            scheduling: "lifo",
            timeout: IDLE_TIMEOUT_MILLISECONDS,
        });
        this.#openConnection = openConnection;
    }

    /** Stops reusing connections for {@linkcode REUSE_PAUSE_MILLISECONDS}. */
    pauseReuse(): void {
        this.#reusePausedUntil = performance.now() + REUSE_PAUSE_MILLISECONDS;
    }

    /** Number of requests that the target has refused since the agent was created. */
    get refusedRequests(): number {
        return this.#refusedIds.size;
    }

    /** Records that the target has refused a request. */
    recordRefusal(requestId: string): void {
        this.#refusedIds.add(requestId);
    }

    /**
     * Checks whether a request may be sent over an idle connection. A copy of an earlier refusal of the same request would
     * name the right request.
     */
    isReusableFor(requestId: string): boolean {
        return !this.#isReusePaused && !this.#refusedIds.has(requestId);
    }

    override keepSocketAlive(socket: Socket): boolean {
        const isReusable = !this.#isReusePaused && socket.readableLength === 0;
        if (!isReusable || !(super.keepSocketAlive as (socket: Socket) => boolean).call(this, socket)) {
            return false;
        }
        const destroy = (): void => {
            this.pauseReuse();
            socket.destroy();
        };
        socket.once("data", destroy);
        idleListeners.set(socket, destroy);
        return true;
    }

    get #isReusePaused(): boolean {
        return performance.now() < this.#reusePausedUntil;
    }

    override createConnection(options: { host: string; port: number; }): Socket {
        const socket = this.#openConnection(options);
        const timer = setTimeout(
            () => socket.destroy(new Error("connection was not accepted in time")),
            CONNECT_TIMEOUT_MILLISECONDS,
        );
        socket.once("connect", () => clearTimeout(timer));
        socket.once("close", () => clearTimeout(timer));
        return socket;
    }

    override reuseSocket(socket: Socket, request: ClientRequest): void {
        const listener = idleListeners.get(socket);
        if (listener !== undefined) {
            socket.off("data", listener);
        }
        super.reuseSocket(socket, request);
    }
}

/** Listeners that destroy an idle connection when unsolicited bytes arrive on it. */
const idleListeners = new WeakMap<Socket, () => void>();

/** Maximum size of a response that is buffered, in bytes; most have a few kilobytes. */
const MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Interval at which pending responses are checked, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 25;
/** Time between two checks after which this process counts as having been paused, in milliseconds. */
const MAX_CHECK_GAP_MILLISECONDS = 250;
/** Maximum size of the head of a response and of unread data, in bytes. */
const MAX_OVERHEAD_BYTES = 1024 * 1024;
/** Maximum size of a chunked response, as a multiple of its body: a chunk of one byte takes six bytes. */
const MAX_OVERHEAD_FACTOR = 8;
/** Maximum size of all responses that are buffered at the same time, in bytes. */
const MAX_ALL_BUFFERED_RESPONSES_BYTES = 32 * 1024 * 1024;
/**
 * Share of the machine's memory that they may have. What is read and dropped again takes several times as much until
 * garbage is collected.
 */
const BUFFERED_RESPONSES_SHARE = 0.05;
const BYTES_PER_MEGABYTE = 1024 * 1024;

/** Options of {@linkcode TargetConnections}. */
export interface TargetConnectionsOptions {
    /** Opens a connection to a target. Defaults to one over TCP. */
    openConnection?: OpenConnection;
    /** Memory of the machine, in megabytes. Defaults to one on which responses are bounded by a fixed size alone. */
    memoryMegabytes?: number;
}

/** Computes the maximum size of all responses that are buffered at the same time: room for one of the largest, or more. */
function computeResponseBytes(memoryMegabytes: number): number {
    const share = memoryMegabytes * BYTES_PER_MEGABYTE * BUFFERED_RESPONSES_SHARE;
    return Math.min(MAX_ALL_BUFFERED_RESPONSES_BYTES, Math.max(MAX_BUFFERED_RESPONSE_BYTES, share));
}

/** Keeps a pool of connections for each target. */
export class TargetConnections {
    readonly #agents = new Map<string, TargetAgent>();
    readonly #responseBudget: ByteBudget;
    readonly #pending = new Set<PendingResponse>();
    #checkTimer: NodeJS.Timeout | undefined;
    /** Time of the last check of the pending responses. */
    #checkedAt = readClocks();
    readonly #openConnection: OpenConnection;
    /** Called when data of a response have arrived. */
    onData: () => void = () => undefined;
    /** Called when a target has accepted no connection. */
    onConnectFailure: (targetId: string) => void = () => undefined;
    /** Called when a response has arrived that proves nothing about its request. */
    onDoubtfulResponse: (response: DoubtfulResponse) => void = () => undefined;

    constructor(options: TargetConnectionsOptions = {}) {
        const { openConnection = openObservedConnection, memoryMegabytes = Infinity } = options;
        this.#openConnection = openConnection;
        this.#responseBudget = new ByteBudget(computeResponseBytes(memoryMegabytes));
    }

    /** Lists the requests that targets have not begun to answer. */
    listWaiting(): WaitingRequest[] {
        return [...this.#pending].filter(({ response }) => response === undefined);
    }

    /** Closes the idle connections to a target that was removed or is leaving. */
    closeIdleConnections(targetId: string): void {
        const agent = this.#agents.get(targetId);
        this.#agents.delete(targetId);
        for (const sockets of Object.values(agent?.freeSockets ?? {})) {
            sockets?.forEach(socket => socket.destroy());
        }
    }

    /** Closes all connections. */
    close(): void {
        clearTimeout(this.#checkTimer);
        for (const agent of this.#agents.values()) {
            agent.destroy();
        }
    }

    /**
     * Reads the whole body of a response into memory.
     *
     * @throws {BodyTooLargeError} If the body is too large.
     */
    readResponseBody({ response, recordBody }: TargetResponse): Promise<Buffer> {
        return readBody(response, {
            maxBytes: MAX_BUFFERED_RESPONSE_BYTES,
            budget: this.#responseBudget,
            onChunk: recordBody,
        });
    }

    /**
     * Sends a request and waits for the head of its response.
     *
     * @throws {TargetCallError} If no response to this request arrives.
     */
    sendRequest(call: TargetCall): Promise<TargetResponse> {
        const agent = this.#getAgent(call.targetId);
        return new Promise((resolve, reject) => {
            let progress: AttemptProgress = "not-connected";
            const isKept = agent.isReusableFor(call.requestId);
            const headers: [string, string][] = [...call.headers, ["Connection", isKept ? "keep-alive" : "close"]];
            let request: ClientRequest;
            try {
                const address = parseAddress(call.address);
                request = startRequest({
                    ...address,
                    ...isKept ? { agent } : { createConnection: () => agent.createConnection(address) },
                    method: call.method,
                    path: call.path,
                    headers: headers.flat() as unknown as Record<string, string>,
                    setHost: false,
                    signal: call.signal,
                });
            }
            catch (error) {
                // An address or a header is not valid, so nothing has been sent.
                const state = { progress, isAborted: call.signal.aborted, isConnectionLost: false };
                reject(new TargetCallError(error instanceof Error ? error.message : String(error), state));
                return;
            }
            const fail = (message: string, { isConnectionLost = false } = {}): void => {
                request.destroy();
                if (progress === "not-connected" && !call.signal.aborted) {
                    this.onConnectFailure(call.targetId);
                }
                reject(new TargetCallError(message, { progress, isAborted: call.signal.aborted, isConnectionLost }));
            };
            const pending: PendingResponse = {
                request,
                initialBytes: 0,
                bodyBytes: 0,
                targetId: call.targetId,
                sentAt: performance.now(),
                response: undefined,
                openAt: readClocks(),
                isReadLate: false,
                checkedBytes: 0,
            };
            request.on("close", () => this.#pending.delete(pending));
            request.on("socket", socket => {
                pending.initialBytes = socket.bytesRead;
                this.#pending.add(pending);
                this.#startCheckTimer();
                const markSent = (): void => {
                    progress = "sent";
                };
                if (socket.connecting) {
                    socket.once("connect", markSent);
                }
                else {
                    markSent();
                }
            });
            observeRequestFailure(
                request,
                error => fail(error.message, { isConnectionLost: !call.signal.aborted }),
            );
            let trailing: Buffer | undefined;
            request.on("error", error => {
                trailing = getTrailingBytes(error);
            });
            applyInterimResponseLimit(request);
            request.on("timeout", () => undefined);
            request.on("response", response => {
                const head = decodeResponseHead(response, call.method);
                progress = "answering";
                pending.response = response;
                // The end may have arrived together with the head, since the last check at the earliest.
                pending.openAt = this.#checkedAt;
                this.onData();
                const doubt = findResponseDoubt({
                    status: head.status,
                    requestId: call.requestId,
                    namedRequestId: head.requestId,
                    isReusedConnection: request.reusedSocket,
                });
                if (doubt !== undefined) {
                    agent.pauseReuse();
                    progress = "sent";
                    this.onDoubtfulResponse({ call, head, reason: doubt });
                    fail(`response with ${head.status} ${doubt}`);
                    return;
                }
                response.on("error", () => undefined);
                const { socket } = response;
                if (head.isRefusal) {
                    this.#recordRefusal(agent, call);
                }
                resolve({
                    head,
                    response,
                    // Node.js reports a response without a length as complete even if its connection was reset.
                    isComplete: () => response.complete && !hasFailed(socket),
                    computeEndAge: () => computeAge(pending.openAt),
                    getTrailingBytes: () => trailing ?? Buffer.alloc(0),
                    recordBody: bytes => {
                        this.onData();
                        pending.bodyBytes += bytes;
                    },
                    close: () => request.destroy(),
                });
            });
            request.end(call.body.length === 0 ? undefined : call.body);
        });
    }

    /** Starts the timer that checks the pending responses, and aborts those with too much overhead, unless it is running. */
    #startCheckTimer(): void {
        if (this.#checkTimer !== undefined) {
            return;
        }
        this.#checkedAt = readClocks();
        this.#checkTimer = setTimeout(() => {
            this.#checkTimer = undefined;
            for (const pending of this.#pending) {
                const { request, initialBytes, bodyBytes } = pending;
                updateOpenTime(pending, this.#checkedAt);
                const receivedBytes = (request.socket?.bytesRead ?? 0) - initialBytes;
                if (receivedBytes > MAX_OVERHEAD_BYTES + MAX_OVERHEAD_FACTOR * bodyBytes) {
                    request.destroy(new Error(`${receivedBytes} bytes arrived with a body of ${bodyBytes}`));
                }
            }
            if (this.#pending.size > 0) {
                this.#startCheckTimer();
            }
        }, CHECK_INTERVAL_MILLISECONDS);
    }

    /** Records a refusal; an agent that remembers enough of them is replaced together with its connections. */
    #recordRefusal(agent: TargetAgent, { targetId, requestId }: TargetCall): void {
        agent.recordRefusal(requestId);
        if (agent.refusedRequests >= MAX_REFUSED_REQUESTS && this.#agents.get(targetId) === agent) {
            this.closeIdleConnections(targetId);
        }
    }

    #getAgent(targetId: string): TargetAgent {
        const agent = this.#agents.get(targetId) ?? new TargetAgent(this.#openConnection);
        this.#agents.set(targetId, agent);
        return agent;
    }
}
