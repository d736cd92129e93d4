/**
 * Sinks that write the tokens of a generation to the caller's response, either as they arrive or all at the end.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import { formatEventId } from "../core/relay/mod.ts";
import { sendJson } from "../network/mod.ts";
import { describeError, sendError, type ServingError } from "../network/serving_error.ts";

/** A token of a generation, as received from the engine. */
export interface SinkToken {
    /** Name of the target that runs the generation. */
    target: string;
    /** Identifier of the generation. */
    generation: string;
    /** Index of the token within the generation, from 0. */
    index: number;
    /** Data of the event, which is forwarded unchanged. */
    data: string;
}

/** Writes one response from the tokens of a generation. */
export interface ResponseSink {
    /** True if nothing is sent to the caller before the generation is complete. */
    readonly isBuffered: boolean;
    /** True once any part of the response has been sent to the caller. */
    readonly hasStarted: boolean;
    /** Accepts the next token. Resolves when the sink can accept another. */
    writeToken(token: SinkToken): Promise<void>;
    /** Discards the accepted tokens, because a new generation is started in place of this one. */
    dropTokens(): void;
    /** Ends the response after the last token. */
    finish(): void;
    /** Ends the response with an error. */
    fail(error: ServingError): void;
}

const STREAM_HEADERS = { "content-type": "text/event-stream", "cache-control": "no-store" };

function formatEvent(token: SinkToken): string {
    return `id: ${formatEventId(token)}\ndata: ${token.data}\n\n`;
}

/** Sends each token to the caller as soon as it arrives. */
export class StreamSink implements ResponseSink {
    readonly isBuffered = false;
    readonly #response: ServerResponse;

    /** @param response Response to write. */
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
        // This sink buffers nothing, and a new generation is only started if nothing was sent.
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

/** Buffers a generation, and sends it as an event stream once it is complete. */
export class BufferedStreamSink implements ResponseSink {
    readonly isBuffered = true;
    readonly hasStarted = false;
    readonly #response: ServerResponse;
    #tokens: SinkToken[] = [];

    /** @param response Response to write. */
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
        // Each write would take several times the bytes of its token until the caller has read it.
        this.#response.end(`${this.#tokens.map(formatEvent).join("")}data: [DONE]\n\n`);
    }

    fail(error: ServingError): void {
        sendError(this.#response, error);
    }
}

/** Buffers a generation, and sends it as one JSON completion once it is complete. */
export class CompletionSink implements ResponseSink {
    readonly isBuffered = true;
    readonly hasStarted = false;
    readonly #response: ServerResponse;
    readonly #isChat: boolean;
    #tokens: SinkToken[] = [];

    /** @param response Response to write. */
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

/** The fields of an engine's event data from which a completion is assembled. */
interface CompletionChunk {
    choices?: { text?: string; delta?: { content?: string; }; finish_reason?: string; }[];
}

/** Resolves when the response's write buffer has drained or its connection is closed. */
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
