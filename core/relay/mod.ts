/**
 * Relay: every token of one generation reaches its caller once and in order.
 *
 * @module
 */
export * from "./event_id.ts";
export * from "./stream_relay.ts";
