/**
 * Stand-ins for the platform's store and targets.
 *
 * @module
 */
export * from "./serving_site.ts";
export * from "./settings_text.ts";
export * from "./store_stand_in.ts";
export * from "./target_stand_in.ts";
