/**
 * Persistent HTTP connections to targets, with one request at a time on each.
 *
 * @module
 */
import { Agent, type ClientRequest, type IncomingMessage, request as startRequest } from "node:http";
import { connect, type Socket } from "node:net";
import type { AttemptProgress } from "../core/verdict/mod.ts";
import { parseAddress } from "../network/mod.ts";
import { decodeResponseHead, type HeaderPair, type TargetResponseHead } from "../platform/mod.ts";

/** Thrown if a request received no response that belongs to it. */
export class TargetCallError extends Error {
    override name = "TargetCallError";
    /** Stage that the attempt had reached when it failed. */
    readonly progress: AttemptProgress;

    /**
     * @param message Description of the failure.
     * @param progress Stage that the attempt had reached when it failed.
     */
    constructor(message: string, progress: AttemptProgress) {
        super(message);
        this.progress = progress;
    }
}

/** Checks whether an error means that no connection to the target could be established. */
export function isConnectFailure(error: unknown): boolean {
    return error instanceof TargetCallError && error.progress === "not-connected";
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
    /** Closes the connection, so that the target stops processing the request. */
    close: () => void;
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
/** Time for which connections to a target are not reused after it sent unsolicited bytes, in milliseconds. */
const REUSE_PAUSE_MILLISECONDS = 10_000;

/** HTTP agent for one target that does not reuse a connection on which unsolicited bytes have arrived. */
class TargetAgent extends Agent {
    #reusePausedUntil = 0;

    constructor() {
        super({
            keepAlive: true,
            maxFreeSockets: MAX_IDLE_CONNECTIONS,
            scheduling: "lifo",
            timeout: IDLE_TIMEOUT_MILLISECONDS,
        });
    }

    /** Stops reusing connections for {@linkcode REUSE_PAUSE_MILLISECONDS}. */
    pauseReuse(): void {
        this.#reusePausedUntil = performance.now() + REUSE_PAUSE_MILLISECONDS;
    }

    override keepSocketAlive(socket: Socket): boolean {
        const isReusable = performance.now() >= this.#reusePausedUntil && socket.readableLength === 0;
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

    override createConnection(options: { host: string; port: number; }): Socket {
        const socket = connect({ host: options.host, port: options.port, noDelay: true });
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

/** Keeps a pool of connections for each target. */
export class TargetConnections {
    readonly #agents = new Map<string, TargetAgent>();

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
        for (const agent of this.#agents.values()) {
            agent.destroy();
        }
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
            const headers: [string, string][] = [...call.headers, ["Connection", "keep-alive"]];
            const request = startRequest({
                ...parseAddress(call.address),
                agent,
                method: call.method,
                path: call.path,
                headers: headers.flat() as unknown as Record<string, string>,
                setHost: false,
                signal: call.signal,
            });
            const fail = (message: string): void => {
                request.destroy();
                reject(new TargetCallError(message, progress));
            };
            request.on("socket", socket => {
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
            request.on("error", error => fail(error.message));
            request.on("timeout", () => undefined);
            request.on("response", response => {
                const head = decodeResponseHead(response);
                progress = "answering";
                if (head.requestId !== undefined && head.requestId !== call.requestId) {
                    agent.pauseReuse();
                    progress = "sent";
                    fail(`answer belongs to another request "${head.requestId}"`);
                    return;
                }
                response.on("error", () => undefined);
                const { socket } = response;
                resolve({
                    head,
                    response,
                    // Node.js reports a response without a length as complete even if its connection was reset.
                    isComplete: () => response.complete && !socket.errored,
                    close: () => request.destroy(),
                });
            });
            request.end(call.body.length === 0 ? undefined : call.body);
        });
    }

    #getAgent(targetId: string): TargetAgent {
        const agent = this.#agents.get(targetId) ?? new TargetAgent();
        this.#agents.set(targetId, agent);
        return agent;
    }
}
