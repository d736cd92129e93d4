/**
 * The control logic of one instance's agent, without input or output: it turns events into effects.
 *
 * @module
 */
export * from "./agent_core.ts";
export * from "./agent_messages.ts";
export * from "./agent_options.ts";
export * from "./outbox.ts";
