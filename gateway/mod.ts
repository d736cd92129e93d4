/**
 * The gateway: the data path of one instance, as a process.
 *
 * @module
 */
export * from "./gateway_process.ts";
export * from "./gateway_settings.ts";
