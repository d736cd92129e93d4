/**
 * A handful of real cores in virtual time, joined by a link that fails on request.
 *
 * @module
 */
export * from "./bench_target.ts";
export * from "./core_bench.ts";
export * from "./event_queue.ts";
export * from "./link_fake.ts";
export * from "./platform_fake.ts";
