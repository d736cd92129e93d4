/**
 * The configuration as content-addressed parts, the manifest that lists them, and the generation in force.
 *
 * @module
 */
export * from "./configuration_state.ts";
export * from "./manifest.ts";
export * from "./part_store.ts";
