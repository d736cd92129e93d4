/**
 * A stand-in for a target of the platform: a plain service, or a model engine whose running generations can be moved.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { sendJson, waitMilliseconds } from "../../network/mod.ts";
import type { FaultTable, StandIn } from "../stand_ins/mod.ts";

/** Faults of a {@linkcode TargetStandIn}. */
export interface TargetFaults extends FaultTable {
    /** Response to plain requests, and to new and resumed generations: a key of `RESPONSES`. */
    answer: string;
    /** Number of next requests that get the response `answer`; later requests get normal responses. */
    faultyAnswers: number;
    /** Step of a move to which `moveStatus` applies: `first` for the first copy, `last` for the final one, or empty. */
    moveStep: string;
    /** HTTP status of the response to that step; 0 to close the connection without a response. */
    moveStatus: number;
    /** Reports the state `draining` instead of `ready`. */
    isLeaving: boolean;
}

/** A running generation, or the copy of its KV cache. */
interface StandInGeneration {
    requestId: string;
    /** Events that have been sent, counted from the start of the generation. */
    sentEvents: number;
    /** Events of the whole stream. */
    totalEvents: number;
    /** Response that carries the stream; `undefined` in a copy. */
    response: ServerResponse | undefined;
}

/** Copied KV caches with the state of their generations, by handle. */
export type KvCopies = Map<string, StandInGeneration>;

/** Options of a {@linkcode TargetStandIn}. */
export interface TargetStandInOptions {
    /** Identifier of the target. */
    id: string;
    /** Copied KV caches, shared by all engines of a site. */
    kvCopies: KvCopies;
    /** Number of events in each stream. Defaults to 12. */
    streamEvents?: number;
    /** Interval between the events of a stream, in milliseconds. Defaults to 15. */
    eventMilliseconds?: number;
}

type SendResponse = (target: TargetStandIn, request: IncomingMessage, response: ServerResponse) => void;

/** Body of each complete response. */
const RESPONSE_BODY = "the whole answer";

/** Functions that send a normal or a faulty response, by the name that scenarios use. */
const RESPONSES: Record<string, SendResponse> = {
    ok: (target, request, response) => target.sendResponse(request, response, { status: 200 }),
    "a failure": (target, request, response) => target.sendResponse(request, response, { status: 500 }),
    "a failure that looks like a promise": (target, request, response) =>
        target.sendResponse(request, response, { status: 503 }),
    "a refusal": (_, __, response) => sendJson(response, { status: 503, value: {}, headers: { "not-executed": "1" } }),
    "a misdirection": (_, __, response) => sendJson(response, { status: 421, value: {} }),
    "another request's answer": (target, request, response) =>
        target.sendResponse(request, response, { status: 200, requestId: "0000000000000000" }),
    "no signature": (target, request, response) =>
        target.sendResponse(request, response, { status: 200, isSigned: false }),
    "an encoded body": (target, request, response) => {
        response.setHeader("content-encoding", "gzip");
        target.sendResponse(request, response, { status: 200 });
    },
    "half an answer": (target, request, response) => {
        target.writeHead(request, response, { "content-length": String(RESPONSE_BODY.length) });
        response.write(RESPONSE_BODY.slice(0, 4), () => response.destroy());
    },
    "an unframed answer": (target, request, response) => target.sendUnframedResponse(request, response, false),
    "half an unframed answer": (target, request, response) => target.sendUnframedResponse(request, response, true),
    "no HTTP": (_, request) => void request.socket.end("nonsense\r\n\r\n"),
    "a reset": (_, request) => request.socket.resetAndDestroy(),
    silence: () => undefined,
};

/** Serves requests as a target does, and records which requests it has run. */
export class TargetStandIn implements StandIn<TargetFaults> {
    readonly faults: TargetFaults = { answer: "ok", faultyAnswers: 0, moveStep: "", moveStatus: 0, isLeaving: false };
    readonly #options: TargetStandInOptions;
    /** Received requests, in order. */
    readonly arrivals: { requestId: string; headers: Record<string, unknown>; }[] = [];
    /** Identifiers of the requests that were run here from the start. */
    readonly started: string[] = [];
    /** Identifiers of the generations that were resumed here from a copied KV cache. */
    readonly resumed: string[] = [];
    readonly #generations = new Map<string, StandInGeneration>();

    constructor(options: TargetStandInOptions) {
        this.#options = options;
    }

    /** Number of running generations. */
    get activeGenerations(): number {
        return this.#generations.size;
    }

    async handleRequest(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
        if (request.url === "/report") {
            const runs = [...this.#generations.values()].map(
                generation => [generation.requestId, 100, generation.sentEvents, 5],
            );
            sendJson(response, {
                status: 200,
                value: { stage: "both", runs, state: this.faults.isLeaving ? "draining" : "ready" },
            });
            return;
        }
        if (request.url === "/kv-move") {
            await this.#answerMoveStep(response, JSON.parse(body.toString()) as { id: string; last: boolean; });
            return;
        }
        if (request.url?.startsWith("/kv-handle/")) {
            sendJson(response, { status: 200, value: {} });
            return;
        }
        await this.#serveRequest(request, response);
    }

    dumpState(): unknown {
        return { arrivals: this.arrivals.length, started: this.started, resumed: this.resumed };
    }

    close(): void {
        this.#generations.clear();
    }

    /** Aborts all running generations and closes their connections, as in a crash of the target. */
    abortGenerations(): void {
        for (const generation of this.#generations.values()) {
            generation.response?.destroy();
        }
        this.#generations.clear();
    }

    /** Writes status and headers of a signed response, which shows that this target has run the request. */
    writeHead(request: IncomingMessage, response: ServerResponse, headers: Record<string, string>): void {
        response.writeHead(200, { "attempt-id": readRequestId(request), "response-seal": "seal", ...headers });
    }

    /** Sends a complete response with the given status. */
    sendResponse(
        request: IncomingMessage,
        response: ServerResponse,
        options: { status: number; requestId?: string; isSigned?: boolean; },
    ): void {
        const { status, requestId = readRequestId(request), isSigned = true } = options;
        response.writeHead(status, {
            "attempt-id": requestId,
            ...isSigned ? { "response-seal": "seal" } : {},
            "content-length": String(RESPONSE_BODY.length),
        });
        response.end(RESPONSE_BODY);
    }

    /** Sends a response without a length, which ends with the connection; with `isReset`, a partial one and a reset. */
    sendUnframedResponse(request: IncomingMessage, response: ServerResponse, isReset: boolean): void {
        const head = `HTTP/1.1 200 OK\r\nattempt-id: ${
            readRequestId(request)
        }\r\nresponse-seal: seal\r\nconnection: close\r\n\r\n`;
        const { socket } = response;
        socket?.write(head + (isReset ? RESPONSE_BODY.slice(0, 4) : RESPONSE_BODY), () => {
            if (isReset) {
                setTimeout(() => socket.resetAndDestroy(), 5);
            }
            else {
                socket.end();
            }
        });
    }

    async #serveRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        this.arrivals.push({ requestId: readRequestId(request), headers: { ...request.headers } });
        if (this.faults.faultyAnswers > 0) {
            this.faults.faultyAnswers -= 1;
            RESPONSES[this.faults.answer]?.(this, request, response);
            return;
        }
        const handle = String(request.headers["kv-from"] ?? "").split("/")[1];
        if (handle !== undefined) {
            await this.#resumeGeneration(request, response, handle);
            return;
        }
        this.started.push(readRequestId(request));
        if (request.headers["token-counts"] === undefined) {
            this.sendResponse(request, response, { status: 200 });
            return;
        }
        const events = Number(request.headers["last-event-id"] ?? 0);
        await this.#sendEvents(request, response, {
            requestId: readRequestId(request),
            sentEvents: events,
            totalEvents: this.#options.streamEvents ?? 12,
            response,
        });
    }

    async #resumeGeneration(request: IncomingMessage, response: ServerResponse, handle: string): Promise<void> {
        const generation = this.#options.kvCopies.get(handle);
        if (generation === undefined) {
            sendJson(response, { status: 503, value: {}, headers: { "not-executed": "1" } });
            return;
        }
        this.#options.kvCopies.delete(handle);
        this.resumed.push(generation.requestId);
        await this.#sendEvents(request, response, { ...generation, response });
    }

    async #sendEvents(
        request: IncomingMessage,
        response: ServerResponse,
        generation: StandInGeneration,
    ): Promise<void> {
        this.#generations.set(generation.requestId, generation);
        this.writeHead(request, response, { "content-type": "text/event-stream" });
        response.on("close", () => {
            if (this.#generations.get(generation.requestId)?.response === response) {
                this.#generations.delete(generation.requestId);
            }
        });
        while (
            generation.sentEvents < generation.totalEvents && this.#generations.get(generation.requestId) === generation
            && !response.destroyed
        ) {
            await waitMilliseconds(this.#options.eventMilliseconds ?? 15);
            if (this.#generations.get(generation.requestId) === generation) {
                generation.sentEvents += 1;
                response.write(`id: ${generation.sentEvents}\ndata: piece ${generation.sentEvents}\n\n`);
            }
        }
        if (this.#generations.get(generation.requestId) === generation) {
            this.#generations.delete(generation.requestId);
            response.end();
        }
    }

    async #answerMoveStep(response: ServerResponse, step: { id: string; last: boolean; }): Promise<void> {
        const generation = this.#generations.get(step.id);
        if (this.faults.moveStep === (step.last ? "last" : "first")) {
            this.#answerFaultyMoveStep(response, { generation, isFinalCopy: step.last });
            return;
        }
        if (generation === undefined) {
            sendJson(response, { status: 404, value: {} });
            return;
        }
        const handle = `copy-${step.id}`;
        if (step.last) {
            this.#stopGeneration(generation, handle);
        }
        sendJson(response, { status: 200, value: { handle, created: generation.sentEvents } });
    }

    #answerFaultyMoveStep(
        response: ServerResponse,
        move: { generation: StandInGeneration | undefined; isFinalCopy: boolean; },
    ): void {
        const { generation, isFinalCopy } = move;
        const status = this.faults.moveStatus;
        this.faults.moveStep = "";
        if (status === 0) {
            response.destroy();
            return;
        }
        const handle = generation === undefined ? undefined : `copy-${generation.requestId}`;
        if (isFinalCopy && generation !== undefined && handle !== undefined && status === 503) {
            this.#stopGeneration(generation, handle);
            sendJson(response, { status, value: { handle } });
            return;
        }
        sendJson(response, { status, value: {} });
    }

    /** Stops a generation, keeps the copy of its KV cache and closes its stream before the end. */
    #stopGeneration(generation: StandInGeneration, handle: string): void {
        this.#generations.delete(generation.requestId);
        this.#options.kvCopies.set(handle, { ...generation, response: undefined });
        generation.response?.destroy();
    }
}

function readRequestId(request: IncomingMessage): string {
    return String(request.headers["attempt-id"]);
}
