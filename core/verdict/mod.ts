/**
 * Verdicts: whether a response belongs to its request, whether a failed request may have run, and whether it may be
 * retried.
 *
 * @module
 */
export * from "./response_doubt.ts";
export * from "./retry_decision.ts";
export * from "./verdict.ts";
