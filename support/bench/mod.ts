/**
 * A simulation of a small fleet: real agent cores in virtual time, with a simulated network, platform and targets.
 *
 * @module
 */
export * from "./bench_target.ts";
export * from "./core_bench.ts";
export * from "./event_queue.ts";
export * from "./link_fake.ts";
export * from "./platform_fake.ts";
