/**
 * Configuration: one generation in force, which never reverts.
 *
 * @module
 */
export * from "./configuration_state.ts";
export * from "./manifest.ts";
export * from "./part_store.ts";
