/**
 * Stand-ins for the platform's store and targets, and a test site that runs serving processes in front of them.
 *
 * @module
 */
export * from "./crashing_site.ts";
export * from "./ending_site.ts";
export * from "./ending_target.ts";
export * from "./endless_load.ts";
export * from "./idle_metrics.ts";
export * from "./instance_process.ts";
export * from "./serving_site.ts";
export * from "./settings_text.ts";
export * from "./store_stand_in.ts";
export * from "./target_link.ts";
export * from "./target_stand_in.ts";
export * from "./version_record_load.ts";
