/**
 * The platform's store as the cores see it.
 *
 * @module
 */
export * from "./parse_by_schema.ts";
export * from "./platform_types.ts";
