/**
 * The control logic of one instance's agent, which turns events into effects and does no input or output itself.
 *
 * @module
 */
export * from "./agent_core.ts";
export * from "./agent_messages.ts";
export * from "./agent_options.ts";
export * from "./outbox.ts";
