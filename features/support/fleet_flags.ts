/**
 * Flags that make real processes quick enough for scenarios.
 *
 * @module
 */

/** Flags of agents. */
export const AGENT_FLAGS = ["--settle-milliseconds", "1500"];

/** Flags of gateways. */
export const GATEWAY_FLAGS = ["--drain-delay-milliseconds", "500", "--silence-milliseconds", "1200"];
