/**
 * The platform's object API as the cores see it.
 *
 * @module
 */
export * from "./platform_types.ts";
