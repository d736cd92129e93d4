/**
 * The agent process, which runs the control logic of one instance.
 *
 * @module
 */
export * from "./agent_process.ts";
export * from "./agent_settings.ts";
export * from "./load_poller.ts";
