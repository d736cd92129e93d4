/**
 * Clock interface from which all code reads the time, and its implementation for tests.
 *
 * @module
 */
export * from "./clock.ts";
