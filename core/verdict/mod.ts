/**
 * Verdicts: whether a failed request may have run, and what may be done next.
 *
 * @module
 */
export * from "./retry_decision.ts";
export * from "./verdict.ts";
