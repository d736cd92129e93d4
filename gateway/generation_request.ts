/**
 * Parses callers' requests for generations in the format of the completions API.
 *
 * @module
 */
import * as v from "valibot";
import { hashText } from "../core/hashing/mod.ts";
import { ServingError } from "../network/serving_error.ts";

const MessageSchema = v.looseObject({ role: v.string(), content: v.optional(v.unknown()) });
const GenerationSchema = v.looseObject({
    model: v.string(),
    prompt: v.optional(v.union([v.string(), v.array(v.string())])),
    messages: v.optional(v.array(MessageSchema)),
    stream: v.optional(v.boolean(), false),
    max_tokens: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1))),
});

/** A parsed request for a generation. */
export interface GenerationRequest {
    /** Name of the model. */
    model: string;
    /** True if the caller asked for a stream of events. */
    isStream: boolean;
    /** True for a chat completion, false for a text completion. */
    isChat: boolean;
    /** Estimated length of the prompt, in tokens. */
    promptTokens: number;
    /** Maximum number of output tokens; `undefined` if the caller sets no limit. */
    maxTokens: number | undefined;
    /** Hash of the prompt's first characters, by which requests are routed to a target that may have them cached. */
    prefixHash: string;
    /** Request body for the engine; it always asks for a stream, whatever the caller asked for. */
    body: Buffer;
}

/** Assumed average number of characters per token, used to estimate a prompt's length. */
const CHARACTERS_PER_TOKEN = 4;
/** Number of leading characters of a prompt that determine its affinity to a target. */
const PREFIX_CHARACTERS = 256;

/**
 * Parses the body of a request for a generation.
 *
 * @param body Body as received.
 * @param options Whether the request is for a chat completion.
 * @returns The parsed request.
 * @throws {ServingError} If the body is not a valid request.
 */
export function parseGenerationRequest(body: Buffer, options: { isChat: boolean; }): GenerationRequest {
    const value = parseJson(body);
    const parsed = v.safeParse(GenerationSchema, value);
    if (!parsed.success) {
        const [issue] = parsed.issues;
        throw createBadRequest(`Cannot read the request: ${v.getDotPath(issue) ?? "the body"}: ${issue.message}.`);
    }
    const { model, prompt, messages, stream, max_tokens: maxTokens } = parsed.output;
    const isMissing = options.isChat ? messages === undefined : prompt === undefined;
    if (isMissing) {
        throw createBadRequest(`Cannot read the request: "${options.isChat ? "messages" : "prompt"}" is missing.`);
    }
    const text = options.isChat ? JSON.stringify(messages) : [prompt].flat().join("");
    return {
        model,
        isStream: stream,
        isChat: options.isChat,
        promptTokens: Math.ceil(text.length / CHARACTERS_PER_TOKEN),
        maxTokens,
        prefixHash: hashText(text.slice(0, PREFIX_CHARACTERS)).toString(16),
        body: Buffer.from(JSON.stringify({ ...parsed.output, stream: true })),
    };
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString());
    }
    catch {
        throw createBadRequest("Cannot read the request: its body is not JSON.");
    }
}

function createBadRequest(message: string): ServingError {
    return new ServingError(message, { code: "bad_request", verdict: "not-run" });
}
