/**
 * Relay: delivers each token of a generation to the caller exactly once and in order, across reconnections.
 *
 * @module
 */
export * from "./event_id.ts";
export * from "./relay_state.ts";
