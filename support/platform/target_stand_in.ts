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
    /** Response to plain requests and new generations: a key of `RESPONSES`. */
    answer: string;
    /** Number of next requests that get the response `answer`; later requests are processed normally. */
    faultyAnswers: number;
    /** Step of a move to which `moveStatus` applies: `first`, `last`, or empty for none. */
    moveStep: string;
    /** HTTP status of the response to that step; 0 to break the connection without a response. */
    moveStatus: number;
    /** Reports the state `draining` instead of `ready`. */
    isLeaving: boolean;
}

/** A running generation, or the copy of its KV cache. */
interface StandInRun {
    requestId: string;
    /** Events that have been sent, counted from the start of the generation. */
    sentEvents: number;
    /** Events of the whole stream. */
    totalEvents: number;
    /** Response that carries the stream; `undefined` in a copy. */
    response: ServerResponse | undefined;
}

/** KV caches that engines have copied to each other, by handle. */
export type KvCopies = Map<string, StandInRun>;

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

/** Senders of normal and faulty responses, by the name that scenarios use. */
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
    readonly #runs = new Map<string, StandInRun>();

    constructor(options: TargetStandInOptions) {
        this.#options = options;
    }

    /** Number of running generations. */
    get activeRuns(): number {
        return this.#runs.size;
    }

    async handleRequest(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
        if (request.url === "/report") {
            const runs = [...this.#runs.values()].map(run => [run.requestId, 100, run.sentEvents, 5]);
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
        this.#runs.clear();
    }

    /** Aborts all running generations and their connections, as in a crash of the target. */
    abortRuns(): void {
        for (const run of this.#runs.values()) {
            run.response?.destroy();
        }
        this.#runs.clear();
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

    /** Sends a response whose end is marked by the end of the connection; with `isReset`, a partial one and a reset. */
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
        const copy = String(request.headers["kv-from"] ?? "").split("/")[1];
        if (copy !== undefined) {
            await this.#resumeRun(request, response, copy);
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

    async #resumeRun(request: IncomingMessage, response: ServerResponse, handle: string): Promise<void> {
        const run = this.#options.kvCopies.get(handle);
        if (run === undefined) {
            sendJson(response, { status: 503, value: {}, headers: { "not-executed": "1" } });
            return;
        }
        this.#options.kvCopies.delete(handle);
        this.resumed.push(run.requestId);
        await this.#sendEvents(request, response, { ...run, response });
    }

    async #sendEvents(request: IncomingMessage, response: ServerResponse, run: StandInRun): Promise<void> {
        this.#runs.set(run.requestId, run);
        this.writeHead(request, response, { "content-type": "text/event-stream" });
        response.on("close", () => {
            if (this.#runs.get(run.requestId)?.response === response) {
                this.#runs.delete(run.requestId);
            }
        });
        while (run.sentEvents < run.totalEvents && this.#runs.get(run.requestId) === run && !response.destroyed) {
            await waitMilliseconds(this.#options.eventMilliseconds ?? 15);
            if (this.#runs.get(run.requestId) === run) {
                run.sentEvents += 1;
                response.write(`id: ${run.sentEvents}\ndata: piece ${run.sentEvents}\n\n`);
            }
        }
        if (this.#runs.get(run.requestId) === run) {
            this.#runs.delete(run.requestId);
            response.end();
        }
    }

    async #answerMoveStep(response: ServerResponse, step: { id: string; last: boolean; }): Promise<void> {
        const run = this.#runs.get(step.id);
        if (this.faults.moveStep === (step.last ? "last" : "first")) {
            this.#answerFaultyMoveStep(response, { run, isLast: step.last });
            return;
        }
        if (run === undefined) {
            sendJson(response, { status: 404, value: {} });
            return;
        }
        const handle = `copy-${step.id}`;
        if (step.last) {
            this.#stopRun(run, handle);
        }
        sendJson(response, { status: 200, value: { handle, created: run.sentEvents } });
    }

    #answerFaultyMoveStep(response: ServerResponse, move: { run: StandInRun | undefined; isLast: boolean; }): void {
        const { run, isLast } = move;
        const status = this.faults.moveStatus;
        this.faults.moveStep = "";
        if (status === 0) {
            response.destroy();
            return;
        }
        const handle = run === undefined ? undefined : `copy-${run.requestId}`;
        if (isLast && run !== undefined && handle !== undefined && status === 503) {
            this.#stopRun(run, handle);
            sendJson(response, { status, value: { handle } });
            return;
        }
        sendJson(response, { status, value: {} });
    }

    /** Stops a generation and keeps the copy of its KV cache; its stream breaks off before the end. */
    #stopRun(run: StandInRun, handle: string): void {
        this.#runs.delete(run.requestId);
        this.#options.kvCopies.set(handle, { ...run, response: undefined });
        run.response?.destroy();
    }
}

function readRequestId(request: IncomingMessage): string {
    return String(request.headers["attempt-id"]);
}
