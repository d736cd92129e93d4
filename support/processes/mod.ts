/**
 * Runs a small fleet of real processes on loopback, for the demonstration, tests and measurements.
 *
 * @module
 */
export * from "./child_process.ts";
export * from "./find_addresses.ts";
export * from "./fleet.ts";
export * from "./http_call.ts";
export * from "./own_time.ts";
export * from "./wait_until.ts";
