/**
 * The gateway process, which runs the data path of one instance.
 *
 * @module
 */
export * from "./gateway_process.ts";
export * from "./gateway_settings.ts";
