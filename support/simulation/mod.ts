/**
 * A simulation of a small fleet: real agent cores in virtual time, with a simulated network, platform and targets.
 *
 * @module
 */
export * from "./core_simulation.ts";
export * from "./event_queue.ts";
export * from "./simulated_network.ts";
export * from "./simulated_platform.ts";
export * from "./simulated_target.ts";
