/**
 * Admission control: limits the requests that are sent to each target. The instance that owns a target decides by
 * granting permits.
 *
 * @module
 */
export * from "./admission_types.ts";
export * from "./cold_start_limit.ts";
export * from "./fair_queue.ts";
export * from "./memory_demand.ts";
export * from "./target_admission.ts";
