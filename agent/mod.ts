/**
 * The agent: the control path of one instance, as a process.
 *
 * @module
 */
export * from "./agent_process.ts";
export * from "./agent_settings.ts";
export * from "./load_poller.ts";
