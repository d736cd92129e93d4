/**
 * The clock that every core and shell reads time from.
 *
 * @module
 */
export * from "./clock.ts";
