/**
 * A stand-in for a target of the platform: a plain service, or a model engine whose runs can be moved.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { sendJson, waitMilliseconds } from "../../network/mod.ts";
import type { FaultTable, StandIn } from "../stand_ins/mod.ts";

/** Faults of a {@linkcode TargetStandIn}. */
export interface TargetFaults extends FaultTable {
    /** How plain requests and new runs end; a key of the stand-in's table of answers. */
    answer: string;
    /** Requests to which `answer` applies; later ones are answered in the usual way. */
    faultyAnswers: number;
    /** Step of a move to which `moveAnswer` applies: `first`, `last` or empty. */
    moveStep: string;
    /** Status of the answer to that step; 0 answers nothing. */
    moveAnswer: number;
    /** Says in its reports that it leaves. */
    isLeaving: boolean;
}

/** A run, with the memory that a copy of it holds. */
interface EngineRun {
    requestId: string;
    events: number;
    total: number;
    response: ServerResponse | undefined;
}

/** Memory that engines have copied to each other, by handle. */
export type CopyTable = Map<string, EngineRun>;

/** Options of a {@linkcode TargetStandIn}. */
export interface TargetStandInOptions {
    /** Identity of the target. */
    id: string;
    /** Copies that all engines share. */
    copies: CopyTable;
    /** Events of each stream. Defaults to 12. */
    streamEvents?: number;
    /** Time between two events, in milliseconds. Defaults to 15. */
    eventMilliseconds?: number;
}

type Answer = (target: TargetStandIn, request: IncomingMessage, response: ServerResponse) => void;

const BODY = "the whole answer";

/** Answers by name. */
const ANSWERS: Record<string, Answer> = {
    ok: (target, request, response) => target.sendSealed(request, response, { status: 200 }),
    "a failure": (target, request, response) => target.sendSealed(request, response, { status: 500 }),
    "a failure that looks like a promise": (target, request, response) =>
        target.sendSealed(request, response, { status: 503 }),
    "a refusal": (_, __, response) => sendJson(response, { status: 503, value: {}, headers: { "not-executed": "1" } }),
    "a misdirection": (_, __, response) => sendJson(response, { status: 421, value: {} }),
    "another request's answer": (target, request, response) =>
        target.sendSealed(request, response, { status: 200, requestId: "0000000000000000" }),
    "no signature": (target, request, response) =>
        target.sendSealed(request, response, { status: 200, isSealed: false }),
    "an encoded body": (target, request, response) => {
        response.setHeader("content-encoding", "gzip");
        target.sendSealed(request, response, { status: 200 });
    },
    "half an answer": (target, request, response) => {
        target.writeHead(request, response, { "content-length": String(BODY.length) });
        response.write(BODY.slice(0, 4), () => response.destroy());
    },
    "an unframed answer": (target, request, response) => target.sendUnframed(request, response, false),
    "half an unframed answer": (target, request, response) => target.sendUnframed(request, response, true),
    "no HTTP": (_, request) => void request.socket.end("nonsense\r\n\r\n"),
    "a reset": (_, request) => request.socket.resetAndDestroy(),
    silence: () => undefined,
};

/** Serves requests as a target does, and remembers what it ran. */
export class TargetStandIn implements StandIn<TargetFaults> {
    readonly faults: TargetFaults = { answer: "ok", faultyAnswers: 0, moveStep: "", moveAnswer: 0, isLeaving: false };
    readonly #options: TargetStandInOptions;
    /** Requests that reached this target, in order. */
    readonly arrivals: { requestId: string; headers: Record<string, unknown>; }[] = [];
    /** Identities of the requests that ran here from the start. */
    readonly started: string[] = [];
    /** Identities of the runs that went on here. */
    readonly resumed: string[] = [];
    readonly #runs = new Map<string, EngineRun>();

    constructor(options: TargetStandInOptions) {
        this.#options = options;
    }

    /** Number of runs at work. */
    get activeRuns(): number {
        return this.#runs.size;
    }

    async handleRequest(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
        if (request.url === "/report") {
            const runs = [...this.#runs.values()].map(run => [run.requestId, 100, run.events, 5]);
            sendJson(response, {
                status: 200,
                value: { stage: "both", runs, state: this.faults.isLeaving ? "draining" : "ready" },
            });
            return;
        }
        if (request.url === "/kv-move") {
            await this.#moveRun(response, JSON.parse(body.toString()) as { id: string; last: boolean; });
            return;
        }
        if (request.url?.startsWith("/kv-handle/")) {
            sendJson(response, { status: 200, value: {} });
            return;
        }
        await this.#serve(request, response);
    }

    dumpState(): unknown {
        return { arrivals: this.arrivals.length, started: this.started, resumed: this.resumed };
    }

    close(): void {
        this.#runs.clear();
    }

    /** Ends all connections of runs, as a target does that is gone. */
    failRuns(): void {
        for (const run of this.#runs.values()) {
            run.response?.destroy();
        }
        this.#runs.clear();
    }

    /** Writes the head of an answer that this target has run. */
    writeHead(request: IncomingMessage, response: ServerResponse, headers: Record<string, string>): void {
        response.writeHead(200, { "attempt-id": readId(request), "response-seal": "seal", ...headers });
    }

    /** Sends a whole answer. */
    sendSealed(
        request: IncomingMessage,
        response: ServerResponse,
        answer: { status: number; requestId?: string; isSealed?: boolean; },
    ): void {
        const { status, requestId = readId(request), isSealed = true } = answer;
        response.writeHead(status, {
            "attempt-id": requestId,
            ...isSealed ? { "response-seal": "seal" } : {},
            "content-length": String(BODY.length),
        });
        response.end(BODY);
    }

    /** Sends an answer that ends with its connection, whole or reset in the middle. */
    sendUnframed(request: IncomingMessage, response: ServerResponse, isReset: boolean): void {
        const head = `HTTP/1.1 200 OK\r\nattempt-id: ${
            readId(request)
        }\r\nresponse-seal: seal\r\nconnection: close\r\n\r\n`;
        const { socket } = response;
        socket?.write(head + (isReset ? BODY.slice(0, 4) : BODY), () => {
            if (isReset) {
                setTimeout(() => socket.resetAndDestroy(), 5);
            }
            else {
                socket.end();
            }
        });
    }

    async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        this.arrivals.push({ requestId: readId(request), headers: { ...request.headers } });
        if (this.faults.faultyAnswers > 0) {
            this.faults.faultyAnswers -= 1;
            ANSWERS[this.faults.answer]?.(this, request, response);
            return;
        }
        const copy = String(request.headers["kv-from"] ?? "").split("/")[1];
        if (copy !== undefined) {
            await this.#resumeRun(request, response, copy);
            return;
        }
        this.started.push(readId(request));
        if (request.headers["token-counts"] === undefined) {
            this.sendSealed(request, response, { status: 200 });
            return;
        }
        const events = Number(request.headers["last-event-id"] ?? 0);
        await this.#stream(request, response, {
            requestId: readId(request),
            events,
            total: this.#options.streamEvents ?? 12,
            response,
        });
    }

    async #resumeRun(request: IncomingMessage, response: ServerResponse, handle: string): Promise<void> {
        const run = this.#options.copies.get(handle);
        if (run === undefined) {
            sendJson(response, { status: 503, value: {}, headers: { "not-executed": "1" } });
            return;
        }
        this.#options.copies.delete(handle);
        this.resumed.push(run.requestId);
        await this.#stream(request, response, { ...run, response });
    }

    async #stream(request: IncomingMessage, response: ServerResponse, run: EngineRun): Promise<void> {
        this.#runs.set(run.requestId, run);
        this.writeHead(request, response, { "content-type": "text/event-stream" });
        response.on("close", () => {
            if (this.#runs.get(run.requestId)?.response === response) {
                this.#runs.delete(run.requestId);
            }
        });
        while (run.events < run.total && this.#runs.get(run.requestId) === run && !response.destroyed) {
            await waitMilliseconds(this.#options.eventMilliseconds ?? 15);
            if (this.#runs.get(run.requestId) === run) {
                run.events += 1;
                response.write(`id: ${run.events}\ndata: piece ${run.events}\n\n`);
            }
        }
        if (this.#runs.get(run.requestId) === run) {
            this.#runs.delete(run.requestId);
            response.end();
        }
    }

    async #moveRun(response: ServerResponse, step: { id: string; last: boolean; }): Promise<void> {
        const run = this.#runs.get(step.id);
        if (this.faults.moveStep === (step.last ? "last" : "first")) {
            this.#answerFaultyMove(response, { run, isLast: step.last });
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
        sendJson(response, { status: 200, value: { handle, created: run.events } });
    }

    #answerFaultyMove(response: ServerResponse, move: { run: EngineRun | undefined; isLast: boolean; }): void {
        const { run, isLast } = move;
        const status = this.faults.moveAnswer;
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

    /** Stops a run and keeps its memory; its stream ends without its end. */
    #stopRun(run: EngineRun, handle: string): void {
        this.#runs.delete(run.requestId);
        this.#options.copies.set(handle, { ...run, response: undefined });
        run.response?.destroy();
    }
}

function readId(request: IncomingMessage): string {
    return String(request.headers["attempt-id"]);
}
