/**
 * HTTP client of engines: starts generations, resumes their streams, and cancels them.
 *
 * @module
 */
import { createParser, type EventSourceMessage } from "eventsource-parser";
import { type IncomingMessage, request as startRequest } from "node:http";
import type { RoutedTarget } from "../core/inventory/mod.ts";
import { EndlessStreamError, StreamLimits } from "../core/serving/mod.ts";
import { AttemptProgress, findResponseDoubt } from "../core/verdict/mod.ts";
import { observeRequestFailure, parseAddress, waitMilliseconds } from "../network/mod.ts";

/** An event of an engine's stream: a token, or the end of the generation. */
export type EngineEvent =
    | { kind: "token"; generation: string; index: number; data: string; }
    | { kind: "done"; };

/** Thrown if an engine's stream ended before its `done` event. */
export class EngineStreamError extends Error {
    override name = "EngineStreamError";
    /** Stage that the attempt had reached. */
    readonly progress: AttemptProgress;
    /** HTTP status of the engine's response; 0 if there was none, or if the stream failed after the status 200. */
    readonly status: number;

    constructor(message: string, options: { progress: AttemptProgress; status?: number; }) {
        super(message);
        this.progress = options.progress;
        this.status = options.status ?? 0;
    }
}

/** A request for an engine's stream. */
export interface EngineStreamRequest {
    /** Engine to send the request to. */
    target: RoutedTarget;
    /** Path of the request. */
    path: string;
    /** Identifier of the generation, chosen by the gateway. */
    generation: string;
    /** Request body that starts a new generation; `undefined` to resume an existing one. */
    body?: Buffer | undefined;
    /** Index of the last token received; the stream continues after it. Defaults to -1, for the whole stream. */
    afterIndex?: number;
    /** Priority to pass to the engine; 0 is the highest. Defaults to 1. */
    priority?: number;
    /** Time within which the connection must be established, in milliseconds. */
    connectMilliseconds: number;
    /** Time without received data after which the stream is treated as failed, in milliseconds. */
    silenceMilliseconds: number;
    /** Ends the stream when aborted. */
    signal: AbortSignal;
}

/** Bytes that may come without an event: comments, and an event that is not complete. */
const MAX_IDLE_BYTES = 256 * 1024;
/** Data of the event that ends a stream. */
const DONE_DATA = "[DONE]";
const STATUS_OK = 200;
/** Header that carries the identifier of the generation, in requests and in responses. */
const GENERATION_HEADER = "x-generation-id";
/** Statuses with which an engine refuses a request before running any of it. */
const REFUSAL_STATUSES = new Set([400, 404, 409, 422, 429, 503]);

/**
 * Opens a stream over a new connection, and yields its events as they arrive.
 *
 * @param request Generation to start or resume.
 * @returns The events, the last of which is `done`.
 * @throws {EngineStreamError} If the engine refused the request, or the stream failed or timed out.
 */
export async function* openEngineStream(request: EngineStreamRequest): AsyncGenerator<EngineEvent> {
    const { response, progress } = await startStream(request);
    if (response.statusCode !== STATUS_OK) {
        response.destroy();
        const status = response.statusCode ?? 0;
        const doubt = findResponseDoubt({
            status,
            requestId: request.generation,
            namedRequestId: response.headers[GENERATION_HEADER]?.toString(),
            isReusedConnection: false,
        });
        const isRefusal = REFUSAL_STATUSES.has(status) && doubt === undefined;
        const statusProgress = isRefusal ? AttemptProgress.refused : AttemptProgress.answering;
        throw new EngineStreamError(`The engine answered with status ${status}.`, { progress: statusProgress, status });
    }
    const generation = String(response.headers[GENERATION_HEADER] ?? "");
    const events: EngineEvent[] = [];
    const parser = createParser({ onEvent: event => events.push(parseEvent(event, generation)) });
    const decoder = new TextDecoder();
    const limits = new StreamLimits();
    let idleBytes = 0;
    let eventCount = 0;
    try {
        for await (const chunk of response as AsyncIterable<Buffer>) {
            parser.feed(decoder.decode(chunk, { stream: true }));
            idleBytes = events.length > 0 ? 0 : idleBytes + chunk.length;
            if (idleBytes > MAX_IDLE_BYTES) {
                throw new EndlessStreamError(`${idleBytes} bytes came without an event`);
            }
            for (const event of events.splice(0)) {
                limits.recordEvent(true, eventCount);
                eventCount += 1;
                yield event;
                if (event.kind === "done") {
                    return;
                }
            }
            const delay = limits.recordPart(chunk.length, performance.now());
            if (delay > 0) {
                await waitMilliseconds(delay);
            }
        }
    }
    catch (error) {
        throw new EngineStreamError(`The engine's stream broke: ${String(error)}.`, { progress });
    }
    finally {
        response.destroy();
    }
    throw new EngineStreamError("The engine's stream ended early.", { progress });
}

function parseEvent(event: EventSourceMessage, generation: string): EngineEvent {
    if (event.data === DONE_DATA) {
        return { kind: "done" };
    }
    return { kind: "token", generation, index: Number(event.id ?? -1), data: event.data };
}

function startStream(request: EngineStreamRequest): Promise<{ response: IncomingMessage; progress: AttemptProgress; }> {
    const { target, generation, body, afterIndex = -1, priority = 1, signal } = request;
    const resumeHeaders: Record<string, string> = afterIndex < 0 ? {} : { "last-event-id": String(afterIndex) };
    return new Promise((resolve, reject) => {
        let progress: AttemptProgress = AttemptProgress.notConnected;
        const httpRequest = startRequest({
            ...parseAddress(target.address),
            agent: false,
            method: body === undefined ? "GET" : "POST",
            path: request.path,
            headers: {
                "content-type": "application/json",
                "content-length": body?.length ?? 0,
                [GENERATION_HEADER]: generation,
                "x-priority": String(priority),
                ...resumeHeaders,
            },
            signal,
        });
        const fail = (message: string): void => void httpRequest.destroy(new Error(message));
        const connectTimer = setTimeout(() => fail("no connection in time"), request.connectMilliseconds);
        httpRequest.on("socket", socket => {
            socket.once("connect", () => {
                progress = AttemptProgress.sent;
                clearTimeout(connectTimer);
                httpRequest.end(body);
            });
            socket.setNoDelay(true);
        });
        httpRequest.setTimeout(request.silenceMilliseconds, () => fail("silence"));
        observeRequestFailure(httpRequest, error => {
            clearTimeout(connectTimer);
            reject(new EngineStreamError(`The engine can't be asked: ${error.message}.`, { progress }));
        });
        httpRequest.on("response", response => resolve({ response, progress: AttemptProgress.answering }));
    });
}

/**
 * Cancels a generation, and waits for the engine's response.
 *
 * @param target Engine that runs the generation.
 * @param options Identifier of the generation, and the timeout in milliseconds.
 * @returns True if the engine confirmed that the generation is not running.
 */
export function cancelGeneration(
    target: RoutedTarget,
    options: { generation: string; timeoutMilliseconds: number; },
): Promise<boolean> {
    return new Promise(resolve => {
        const httpRequest = startRequest({
            ...parseAddress(target.address),
            agent: false,
            method: "DELETE",
            path: `/v1/generations/${encodeURIComponent(options.generation)}`,
            signal: AbortSignal.timeout(options.timeoutMilliseconds),
        }, response => {
            response.resume();
            resolve(response.statusCode === 204 || response.statusCode === 404);
        });
        observeRequestFailure(httpRequest, () => resolve(false));
        httpRequest.end();
    });
}
