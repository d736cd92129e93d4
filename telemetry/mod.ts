/**
 * Logs, the clock, and the administrative HTTP server of a process.
 *
 * @module
 */
export * from "./admin_server.ts";
export * from "./decision_log.ts";
export * from "./logger.ts";
export * from "./system_clock.ts";
