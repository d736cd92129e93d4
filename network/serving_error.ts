/**
 * Errors that callers see, each with a verdict.
 *
 * @module
 */
import ModernError from "modern-errors";
import type { ServerResponse } from "node:http";
import { mergeVerdicts, type Verdict } from "../core/verdict/mod.ts";
import { sendJson } from "./http_server.ts";

/** Codes of errors, each with the HTTP status that it is sent with. */
export const ERROR_STATUS = {
    bad_request: 400,
    unauthorized: 401,
    not_found: 404,
    unknown_model: 404,
    unknown_service: 404,
    body_timeout: 408,
    in_progress: 409,
    generation_lost: 410,
    body_too_large: 413,
    key_mismatch: 422,
    headers_too_large: 431,
    caller_gone: 499,
    target_failed: 502,
    busy: 503,
    claim_unavailable: 503,
    no_target: 503,
    not_serving: 503,
    queue_full: 503,
    deadline: 504,
} as const;

/** One of the codes of {@linkcode ERROR_STATUS}. */
export type ErrorCode = keyof typeof ERROR_STATUS;

/** What an error tells its caller. */
export interface ServingErrorProps {
    /** Code of the error. */
    code: ErrorCode;
    /** Whether the request may have run. */
    verdict: Verdict;
    /** Seconds after which coming back helps; `undefined` where it doesn't. */
    retryAfterSeconds?: number | undefined;
}

class CustomServingError extends ModernError {
    declare readonly code: ErrorCode;
    declare readonly verdict: Verdict;
    declare readonly retryAfterSeconds: number | undefined;

    constructor(message: string, props: ServingErrorProps) {
        super(message, { props });
    }
}

/** An error that ends a request. */
export const ServingError = ModernError.subclass("ServingError", {
    // The library's type for custom classes knows only its own constructor options.
    custom: CustomServingError as never,
}) as unknown as typeof CustomServingError;

/** An error that ends a request. */
export type ServingError = CustomServingError;

/**
 * Creates an error for a request that did not run and may come back.
 *
 * @param message What happened, as a full sentence.
 * @param options Code, and the source of the spread over which callers come back.
 * @returns The error.
 */
export function createRetryableError(
    message: string,
    options: { code: ErrorCode; random: () => number; },
): ServingError {
    return new ServingError(message, {
        code: options.code,
        verdict: "not-run",
        retryAfterSeconds: chooseRetryAfterSeconds(options.random),
    });
}

/**
 * Merges what earlier attempts may have done into an error that ends a request.
 *
 * @param error Whatever a later attempt threw; what is no {@linkcode ServingError} is given back as it is.
 * @param verdict Verdict of the earlier attempts.
 * @returns The error to throw.
 */
export function mergeVerdictIntoError(error: unknown, verdict: Verdict): unknown {
    if (!(error instanceof ServingError)) {
        return error;
    }
    const { code, message, retryAfterSeconds } = error;
    return new ServingError(message, { code, verdict: mergeVerdicts(error.verdict, verdict), retryAfterSeconds });
}

const MIN_RETRY_AFTER_SECONDS = 1;
const RETRY_AFTER_JITTER_SECONDS = 4;

/** Chooses when a caller comes back, in seconds, spread so that callers don't come back together. */
export function chooseRetryAfterSeconds(random: () => number): number {
    return MIN_RETRY_AFTER_SECONDS + Math.floor(random() * RETRY_AFTER_JITTER_SECONDS);
}

/**
 * Describes an error as the JSON that callers get.
 *
 * @param error Error to describe.
 * @returns The value to send.
 */
export function describeError(error: ServingError): Record<string, unknown> {
    const { code, message, verdict, retryAfterSeconds } = error;
    return { error: { code, message, verdict, ...retryAfterSeconds === undefined ? {} : { retryAfterSeconds } } };
}

/**
 * Sends an error as the whole answer.
 *
 * @param response Answer to write; nothing may have been sent on it.
 * @param error Error to send.
 */
export function sendError(response: ServerResponse, error: ServingError): void {
    const headers: Record<string, string> = { "x-verdict": error.verdict };
    if (error.retryAfterSeconds !== undefined) {
        headers["retry-after"] = String(error.retryAfterSeconds);
    }
    sendJson(response, { status: ERROR_STATUS[error.code], value: describeError(error), headers });
}
