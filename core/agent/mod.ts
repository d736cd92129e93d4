/**
 * The control logic of one instance's agent, without input or output: events go in, effects come out.
 *
 * @module
 */
export * from "./agent_core.ts";
export * from "./agent_messages.ts";
export * from "./agent_options.ts";
export * from "./outbox.ts";
