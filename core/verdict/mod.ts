/**
 * Verdicts: whether a failed request may have run, and whether it may be retried.
 *
 * @module
 */
export * from "./retry_decision.ts";
export * from "./verdict.ts";
