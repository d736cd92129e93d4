/**
 * The serving process on the platform.
 *
 * @module
 */
export * from "./serving_process.ts";
export * from "./serving_state.ts";
