/**
 * Where the tokens of a generation go: to the caller at once, or into one whole answer.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import { formatEventId } from "../core/relay/mod.ts";
import { sendJson } from "../network/mod.ts";
import { describeError, sendError, type ServingError } from "../network/serving_error.ts";

/** A token as the engine sent it. */
export interface SinkToken {
    /** Name of the target that generates. */
    target: string;
    /** Name of the generation. */
    generation: string;
    /** Index of the token. */
    index: number;
    /** Text of the event, which is passed on as it is. */
    data: string;
}

/** Takes the tokens of one answer. */
export interface ResponseSink {
    /** True where nothing reaches the caller before the answer is whole. */
    readonly isBuffered: boolean;
    /** True once something has been sent to the caller. */
    readonly hasStarted: boolean;
    /** Takes the next token. */
    writeToken(token: SinkToken): Promise<void>;
    /** Drops the tokens taken so far, because another generation begins. */
    dropTokens(): void;
    /** Ends a whole answer. */
    finish(): void;
    /** Ends the answer with an error. */
    fail(error: ServingError): void;
}

const STREAM_HEADERS = { "content-type": "text/event-stream", "cache-control": "no-store" };

function formatEvent(token: SinkToken): string {
    return `id: ${formatEventId(token)}\ndata: ${token.data}\n\n`;
}

/** Passes each token on at once. */
export class StreamSink implements ResponseSink {
    readonly isBuffered = false;
    readonly #response: ServerResponse;

    /** @param response Answer to write. */
    constructor(response: ServerResponse) {
        this.#response = response;
    }

    get hasStarted(): boolean {
        return this.#response.headersSent;
    }

    async writeToken(token: SinkToken): Promise<void> {
        this.#writeHead();
        if (!this.#response.write(formatEvent(token)) && !this.#response.destroyed) {
            await waitForDrain(this.#response);
        }
    }

    dropTokens(): void {
        // Nothing has been kept, and a new generation only begins where nothing was sent.
    }

    finish(): void {
        this.#writeHead();
        this.#response.end("data: [DONE]\n\n");
    }

    fail(error: ServingError): void {
        if (!this.#response.headersSent) {
            sendError(this.#response, error);
            return;
        }
        this.#response.end(`event: error\ndata: ${JSON.stringify(describeError(error))}\n\n`);
    }

    #writeHead(): void {
        if (!this.#response.headersSent) {
            this.#response.writeHead(200, STREAM_HEADERS);
            this.#response.flushHeaders();
        }
    }
}

/** Buffers a generation and sends it as a stream once it is whole. */
export class BufferedStreamSink implements ResponseSink {
    readonly isBuffered = true;
    readonly hasStarted = false;
    readonly #response: ServerResponse;
    #tokens: SinkToken[] = [];

    /** @param response Answer to write. */
    constructor(response: ServerResponse) {
        this.#response = response;
    }

    async writeToken(token: SinkToken): Promise<void> {
        this.#tokens.push(token);
    }

    dropTokens(): void {
        this.#tokens = [];
    }

    finish(): void {
        this.#response.writeHead(200, STREAM_HEADERS);
        for (const token of this.#tokens) {
            this.#response.write(formatEvent(token));
        }
        this.#response.end("data: [DONE]\n\n");
    }

    fail(error: ServingError): void {
        sendError(this.#response, error);
    }
}

/** Buffers a generation and sends it as one JSON completion. */
export class CompletionSink implements ResponseSink {
    readonly isBuffered = true;
    readonly hasStarted = false;
    readonly #response: ServerResponse;
    readonly #isChat: boolean;
    #tokens: SinkToken[] = [];

    /** @param response Answer to write. */
    constructor(response: ServerResponse, options: { isChat: boolean; }) {
        this.#response = response;
        this.#isChat = options.isChat;
    }

    async writeToken(token: SinkToken): Promise<void> {
        this.#tokens.push(token);
    }

    dropTokens(): void {
        this.#tokens = [];
    }

    finish(): void {
        const chunks = this.#tokens.map(token => JSON.parse(token.data) as CompletionChunk);
        const text = chunks.map(chunk => chunk.choices?.[0]?.text ?? chunk.choices?.[0]?.delta?.content ?? "").join("");
        const { choices: _choices, ...envelope } = chunks[0] ?? {};
        const reason = chunks.at(-1)?.choices?.[0]?.finish_reason ?? "stop";
        const choice = this.#isChat
            ? { index: 0, message: { role: "assistant", content: text }, finish_reason: reason }
            : { index: 0, text, finish_reason: reason };
        const usage = { completion_tokens: chunks.length };
        sendJson(this.#response, { status: 200, value: { ...envelope, choices: [choice], usage } });
    }

    fail(error: ServingError): void {
        sendError(this.#response, error);
    }
}

interface CompletionChunk {
    choices?: { text?: string; delta?: { content?: string; }; finish_reason?: string; }[];
}

function waitForDrain(response: ServerResponse): Promise<void> {
    return new Promise(resolve => {
        const finish = (): void => {
            response.off("drain", finish);
            response.off("close", finish);
            resolve();
        };
        response.on("drain", finish);
        response.on("close", finish);
    });
}
