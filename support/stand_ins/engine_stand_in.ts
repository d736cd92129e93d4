/**
 * A stand-in for a model engine: a simulated engine that serves streams over HTTP in real time.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { LoadReport } from "../../core/admission/mod.ts";
import { hashText } from "../../core/hashing/mod.ts";
import { sendJson } from "../../network/mod.ts";
import { EngineCore, type EngineSpec } from "./engine_core.ts";
import type { StandIn } from "./stand_in_server.ts";

/** Faults that a test can set on an engine. */
export interface EngineFaults extends Record<string, number | boolean | string> {
    /** Stops decoding and keep-alive messages, while connections stay open. */
    isFrozen: boolean;
    /** Restarts the engine once: all generations are lost, it resets connections for a moment, and is cold again. */
    turnCold: boolean;
    /** Number of streams that are closed after the third token of their generation. */
    cutStreams: number;
    /** Number of tokens that are sent a second time when a stream is resumed. */
    overlap: number;
    /** Number of responses that carry the identifier of another generation. */
    crossedStreams: number;
    /** Age of the load reports, in milliseconds. */
    lagMilliseconds: number;
    /** Sends no more data on the connections that are open when the fault is set. */
    isSilent: boolean;
}

/** A generation with its output, which is retained for a while after its end so that a client can resume it. */
interface Generation {
    id: string;
    model: string;
    tokens: string[];
    isDone: boolean;
    doneAt: number;
    /** Response that receives the tokens. */
    reader: ServerResponse | undefined;
    /** Index of the next token to send. */
    nextIndex: number;
    /** Number of requests to start this generation; a state dump contains it under this name. */
    starts: number;
}

/** Specification of a small engine for tests. */
export const SMALL_ENGINE: EngineSpec = {
    memoryTokens: 8000,
    maxBatch: 32,
    coldConcurrent: 2,
    coldMilliseconds: 0,
    baseStepMilliseconds: 4,
    sequenceStepMilliseconds: 0.1,
    prefillChunk: 512,
    prefillMilliseconds: 0.01,
    cachedPrefixes: 16,
};

/** Shortest time between two steps. */
const IDLE_STEP_MILLISECONDS = 4;
/** Time for which a finished generation can still be resumed. */
const RETENTION_MILLISECONDS = 20_000;
/** Length of the output if the request does not give one. */
const DEFAULT_OUTPUT_TOKENS = 20;
/** Number of tokens of a generation after which the fault `cutStreams` closes its stream. */
const TOKENS_BEFORE_CUT = 3;
const KEEP_ALIVE_INTERVAL_MILLISECONDS = 300;
/** Time from a restart until the engine accepts requests, in milliseconds: more than a permit's time in transit. */
const RESTART_MILLISECONDS = 300;

/** A stand-in for a model engine. */
export class EngineStandIn implements StandIn<EngineFaults> {
    readonly faults: EngineFaults = {
        isFrozen: false,
        turnCold: false,
        cutStreams: 0,
        overlap: 0,
        crossedStreams: 0,
        lagMilliseconds: 0,
        isSilent: false,
    };
    readonly #core: EngineCore;
    readonly #generations = new Map<string, Generation>();
    readonly #keepAliveTimer: NodeJS.Timeout;
    /** Recent load reports; the oldest is returned while `lagMilliseconds` is set. */
    #reports: { at: number; report: LoadReport; }[] = [];
    /** Timer of the next step. */
    #timer: NodeJS.Timeout;
    #peakColdRequests = 0;
    /** Time from which the engine accepts requests again after a restart. */
    #acceptsFrom = 0;
    #cancelledGenerations = 0;

    constructor(spec: EngineSpec = SMALL_ENGINE) {
        this.#core = new EngineCore(spec, performance.now());
        this.#timer = setTimeout(() => this.#runStep(), IDLE_STEP_MILLISECONDS);
        this.#keepAliveTimer = setInterval(() => this.#sendKeepAlives(), KEEP_ALIVE_INTERVAL_MILLISECONDS);
    }

    handleRequest(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
        if (performance.now() < this.#acceptsFrom) {
            request.socket.resetAndDestroy();
            return;
        }
        const path = request.url ?? "/";
        const [, id = "", action] = /^\/v1\/generations\/([^/]+)(\/events)?$/.exec(path) ?? [];
        if (path === "/load") {
            sendJson(response, { status: 200, value: this.#getDelayedReport() });
        }
        else if (action === "/events") {
            this.#handleResume(request, response, decodeURIComponent(id));
        }
        else if (id !== "" && request.method === "DELETE") {
            this.#handleCancel(response, decodeURIComponent(id));
        }
        else if (path === "/v1/completions" || path === "/v1/chat/completions") {
            this.#handleCompletion(request, response, body);
        }
        else {
            sendJson(response, { status: 404, value: {} });
        }
    }

    dumpState(): unknown {
        return {
            falls: this.#core.crashes,
            preemptions: this.#core.preemptions,
            held: this.#core.activeRequests,
            greatestCold: this.#peakColdRequests,
            cancelled: this.#cancelledGenerations,
            generations: [...this.#generations.values()].map(({ id, tokens, starts }) => ({
                id,
                tokens: tokens.length,
                starts,
            })),
        };
    }

    close(): void {
        clearTimeout(this.#timer);
        clearInterval(this.#keepAliveTimer);
    }

    #handleCompletion(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
        const id = String(request.headers["x-generation-id"]);
        const input = JSON.parse(body.toString()) as { model: string; output_tokens?: number; max_tokens?: number; };
        const text = body.toString();
        const existing = this.#generations.get(id);
        if (existing !== undefined) {
            existing.starts += 1;
            sendJson(response, { status: 409, value: {} });
            return;
        }
        const generation: Generation = {
            id,
            model: input.model,
            tokens: [],
            isDone: false,
            doneAt: 0,
            reader: undefined,
            nextIndex: 0,
            starts: 1,
        };
        this.#generations.set(id, generation);
        const lost = this.#core.handleRequest({
            id,
            promptTokens: Math.ceil(text.length / 4),
            outputTokens: Math.min(input.output_tokens ?? DEFAULT_OUTPUT_TOKENS, input.max_tokens ?? Infinity),
            priority: Number(request.headers["x-priority"] ?? 1),
            prefix: hashText(text.slice(0, 256)).toString(16),
        }, performance.now());
        this.#recordPeakColdRequests();
        this.#dropGenerations(lost);
        this.#attachReader(generation, { response, from: 0 });
    }

    #handleResume(request: IncomingMessage, response: ServerResponse, id: string): void {
        const generation = this.#generations.get(id);
        if (generation === undefined) {
            sendJson(response, { status: 404, value: {} });
            return;
        }
        const after = Number(request.headers["last-event-id"] ?? -1);
        this.#attachReader(generation, { response, from: Math.max(0, after + 1 - this.faults.overlap) });
    }

    #handleCancel(response: ServerResponse, id: string): void {
        const generation = this.#generations.get(id);
        this.#core.cancelRequest(id);
        this.#generations.delete(id);
        generation?.reader?.destroy();
        this.#cancelledGenerations += generation === undefined ? 0 : 1;
        response.writeHead(generation === undefined ? 404 : 204).end();
    }

    /** Streams the generation to a new response, and closes the previous one. */
    #attachReader(generation: Generation, stream: { response: ServerResponse; from: number; }): void {
        const { response, from } = stream;
        generation.reader?.destroy();
        generation.reader = response;
        generation.nextIndex = from;
        const hasWrongId = this.faults.crossedStreams > 0;
        this.faults.crossedStreams -= hasWrongId ? 1 : 0;
        response.writeHead(200, {
            "content-type": "text/event-stream",
            "x-generation-id": hasWrongId ? "another-generation" : generation.id,
        });
        response.write(": open\n\n");
        this.#sendTokens(generation);
    }

    #sendTokens(generation: Generation): void {
        const { reader } = generation;
        if (reader === undefined || reader.destroyed) {
            return;
        }
        while (generation.nextIndex < generation.tokens.length) {
            reader.write(`id: ${generation.nextIndex}\ndata: ${generation.tokens[generation.nextIndex]}\n\n`);
            generation.nextIndex += 1;
            if (generation.nextIndex === TOKENS_BEFORE_CUT && this.faults.cutStreams > 0) {
                this.faults.cutStreams -= 1;
                reader.destroy();
                return;
            }
        }
        if (generation.isDone) {
            reader.end("data: [DONE]\n\n");
        }
    }

    #runStep(): void {
        if (this.faults.turnCold) {
            this.faults.turnCold = false;
            this.#acceptsFrom = performance.now() + RESTART_MILLISECONDS;
            this.#dropGenerations(this.#core.restart(performance.now()));
        }
        let duration = 0;
        if (!this.faults.isFrozen) {
            const step = this.#core.runStep();
            duration = step.duration;
            for (const event of step.events) {
                const generation = this.#generations.get(event.id);
                if (event.kind === "token" && generation !== undefined) {
                    generation.tokens.push(formatToken(generation, event));
                    generation.isDone = event.isLast;
                    generation.doneAt = performance.now();
                    this.#sendTokens(generation);
                }
            }
        }
        this.#recordReport();
        this.#removeExpired();
        this.#timer = setTimeout(() => this.#runStep(), Math.max(IDLE_STEP_MILLISECONDS, duration));
    }

    #sendKeepAlives(): void {
        for (const { reader, isDone } of this.#generations.values()) {
            if (!isDone && !this.faults.isFrozen && reader !== undefined && !reader.destroyed) {
                reader.write(": waiting\n\n");
            }
        }
    }

    #recordPeakColdRequests(): void {
        if (this.#core.isCold(performance.now())) {
            this.#peakColdRequests = Math.max(this.#peakColdRequests, this.#core.activeRequests);
        }
    }

    #dropGenerations(ids: readonly string[]): void {
        for (const id of ids) {
            this.#generations.get(id)?.reader?.destroy();
            this.#generations.delete(id);
        }
    }

    /** Removes generations whose retention time is over. */
    #removeExpired(): void {
        for (const generation of this.#generations.values()) {
            if (generation.isDone && performance.now() - generation.doneAt > RETENTION_MILLISECONDS) {
                this.#generations.delete(generation.id);
            }
        }
    }

    #recordReport(): void {
        const now = performance.now();
        const last = this.#reports.at(-1);
        if (last === undefined || now - last.at > 50) {
            this.#reports.push({ at: now, report: this.#core.getReport(now) });
        }
        while ((this.#reports[1]?.at ?? Infinity) < now - this.faults.lagMilliseconds) {
            this.#reports.shift();
        }
    }

    #getDelayedReport(): LoadReport {
        const now = performance.now();
        return this.faults.lagMilliseconds > 0
            ? this.#reports[0]?.report ?? this.#core.getReport(now)
            : this.#core.getReport(now);
    }
}

/** Formats a token as a chunk of a completion, with a text that is unique to the generation and the index. */
function formatToken(generation: Generation, event: { index: number; isLast: boolean; }): string {
    return JSON.stringify({
        id: generation.id,
        object: "text_completion",
        model: generation.model,
        choices: [{
            index: 0,
            text: ` ${hashText(generation.id).toString(36)}.${event.index}`,
            finish_reason: event.isLast ? "stop" : undefined,
        }],
    });
}
