/**
 * Requests to the platform's key-value store and its replies, and the parser of stored texts.
 *
 * @module
 */
export * from "./parse_by_schema.ts";
export * from "./platform_types.ts";
