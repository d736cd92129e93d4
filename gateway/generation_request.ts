/**
 * Reads a caller's request for a generation.
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

/** A request for a generation. */
export interface GenerationRequest {
    /** Name of the model. */
    model: string;
    /** True where the caller wants a stream. */
    isStream: boolean;
    /** True for a chat completion. */
    isChat: boolean;
    /** Estimated length of the prompt, in tokens. */
    promptTokens: number;
    /** Most tokens of the output; `undefined` where the caller sets no bound. */
    maxTokens: number | undefined;
    /** Hash of the prompt's first part. */
    prefixHash: string;
    /** Body for the engine, which is always asked for a stream. */
    body: Buffer;
}

/** Characters of a prompt that make one token, on average. */
const CHARACTERS_PER_TOKEN = 4;
/** Characters of a prompt that decide its affinity. */
const PREFIX_CHARACTERS = 256;

/**
 * Parses the body of a request for a generation.
 *
 * @param body Body as it came.
 * @param options Whether it is a chat completion.
 * @returns The request.
 * @throws {ServingError} Where the body is no such request.
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
