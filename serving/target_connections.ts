/**
 * Kept connections to targets, and one request on them.
 *
 * @module
 */
import { Agent, type ClientRequest, type IncomingMessage, request as startRequest } from "node:http";
import { connect, type Socket } from "node:net";
import type { AttemptProgress } from "../core/verdict/mod.ts";
import { parseAddress } from "../network/mod.ts";
import { decodeAnswerHead, type HeaderPair, type TargetAnswerHead } from "../platform/mod.ts";

/** Thrown where a request got no answer that belongs to it. */
export class TargetCallError extends Error {
    override name = "TargetCallError";
    /** How far the request had come. */
    readonly progress: AttemptProgress;

    /** @param message What happened. */
    constructor(message: string, progress: AttemptProgress) {
        super(message);
        this.progress = progress;
    }
}

/** Tells whether an error says that the target took no connection. */
export function isConnectFailure(error: unknown): boolean {
    return error instanceof TargetCallError && error.progress === "not-connected";
}

/** A request to a target. */
export interface TargetCall {
    /** Identity of the target; kept connections belong to one identity. */
    targetId: string;
    /** Address of the target, as `IP:port`. */
    address: string;
    /** Identity of the request, which the target repeats in its answer. */
    requestId: string;
    /** HTTP method. */
    method: string;
    /** Path with its query. */
    path: string;
    /** Headers. */
    headers: HeaderPair[];
    /** Whole body. */
    body: Buffer;
    /** Ends the call. */
    signal: AbortSignal;
}

/** An answer whose body has yet to be read. */
export interface TargetResponse {
    /** Decoded head. */
    head: TargetAnswerHead;
    /** Body. */
    response: IncomingMessage;
    /** Tells whether the whole body came; an answer without a length ends with its connection, unless that was reset. */
    isComplete: () => boolean;
    /** Closes the connection, so that the target stops its work. */
    close: () => void;
}

/** Targets answer a new connection within a few milliseconds; a lost packet is sent again after some hundred. */
const CONNECT_TIMEOUT_MILLISECONDS = 400;
/** Time for which an idle connection is kept, in milliseconds; targets close theirs later. */
const IDLE_TIMEOUT_MILLISECONDS = 4000;
/** Idle connections that are kept to one target. */
const MAX_IDLE_CONNECTIONS = 8;
/** Time for which connections to a target that sent bytes out of turn are not used again, in milliseconds. */
const REUSE_PAUSE_MILLISECONDS = 10_000;

/** An agent that never uses a connection again on which bytes came out of turn. */
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

    /** Stops to use connections twice for a while. */
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

const idleListeners = new WeakMap<Socket, () => void>();

/** Keeps connections to targets. */
export class TargetConnections {
    readonly #agents = new Map<string, TargetAgent>();

    /** Closes the idle connections to a target that is gone or leaving. */
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
     * Sends a request and waits for the head of its answer.
     *
     * @throws {TargetCallError} Where no answer to this request came.
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
                const head = decodeAnswerHead(response);
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
                    // Node.js counts an answer without a length as complete also where its connection was reset.
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
