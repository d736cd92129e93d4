/**
 * The agent process, which runs the control path of one instance.
 *
 * @module
 */
export * from "./agent_process.ts";
export * from "./agent_settings.ts";
export * from "./load_poller.ts";
