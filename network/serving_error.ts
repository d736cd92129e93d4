/**
 * Errors that callers receive. Each carries a verdict that tells whether the request may have run.
 *
 * @module
 */
import ModernError from "modern-errors";
import type { ServerResponse } from "node:http";
import { mergeVerdicts, type Verdict } from "../core/verdict/mod.ts";
import { sendJson } from "./http_server.ts";

/** HTTP statuses by error code. */
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
    prompt_quarantined: 503,
    request_quarantined: 503,
    queue_full: 503,
    deadline: 504,
} as const;

/** One of the codes of {@linkcode ERROR_STATUS}. */
export type ErrorCode = keyof typeof ERROR_STATUS;

/** Machine-readable part of an error. */
export interface ServingErrorProps {
    /** Error code, which determines the HTTP status. */
    code: ErrorCode;
    /** Whether the request may have run. */
    verdict: Verdict;
    /** Seconds after which the caller may retry; `undefined` if a retry cannot succeed. */
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
    // The library's type for custom classes only accepts its own constructor options.
    custom: CustomServingError as never,
}) as unknown as typeof CustomServingError;

/** An error that ends a request. */
export type ServingError = CustomServingError;

/**
 * Creates an error for a request that did not run and may be retried later.
 *
 * @param message Description of the failure, as a full sentence.
 * @param options Error code, and the random number generator for the jitter of the retry time.
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
 * Merges the verdict of earlier attempts into the error that ends a request.
 *
 * @param error Error of the last attempt; returned unchanged unless it is a {@linkcode ServingError}.
 * @param verdict Merged verdict of the earlier attempts.
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

/** Chooses the time after which a caller may retry, in seconds, with jitter so that they do not all retry at once. */
export function chooseRetryAfterSeconds(random: () => number): number {
    return MIN_RETRY_AFTER_SECONDS + Math.floor(random() * RETRY_AFTER_JITTER_SECONDS);
}

/**
 * Describes an error as the JSON value that callers receive.
 *
 * @param error Error to describe.
 * @returns The value to encode.
 */
export function describeError(error: ServingError): Record<string, unknown> {
    const { code, message, verdict, retryAfterSeconds } = error;
    return { error: { code, message, verdict, ...retryAfterSeconds === undefined ? {} : { retryAfterSeconds } } };
}

/**
 * Sends an error as a complete response.
 *
 * @param response Response to write; its headers must not have been sent yet.
 * @param error Error to send.
 */
export function sendError(response: ServerResponse, error: ServingError): void {
    const headers: Record<string, string> = { "x-verdict": error.verdict };
    if (error.retryAfterSeconds !== undefined) {
        headers["retry-after"] = String(error.retryAfterSeconds);
    }
    sendJson(response, { status: ERROR_STATUS[error.code], value: describeError(error), headers });
}
