/**
 * The control path of one instance, without input or output.
 *
 * @module
 */
export * from "./agent_core.ts";
export * from "./agent_messages.ts";
export * from "./agent_options.ts";
export * from "./outbox.ts";
