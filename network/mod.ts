/**
 * Connections between the system's own processes, and helpers for HTTP servers.
 *
 * @module
 */
export * from "./address.ts";
export * from "./client_guard.ts";
export * from "./frame_connection.ts";
export * from "./frame_server.ts";
export * from "./http_server.ts";
export * from "./linked_signal.ts";
export * from "./listener_probe.ts";
export * from "./message_hash.ts";
export * from "./peer_connection_pool.ts";
export * from "./request_body.ts";
export * from "./request_failure.ts";
export * from "./reset_detection.ts";
export * from "./response_framing.ts";
export * from "./response_limits.ts";
export * from "./wait_milliseconds.ts";
