/**
 * Admission: how much work a target is given, decided by the one instance that owns the target.
 *
 * @module
 */
export * from "./admission_types.ts";
export * from "./cold_start.ts";
export * from "./fair_queue.ts";
export * from "./memory_profile.ts";
export * from "./target_admission.ts";
