/**
 * Orders that tell targets to load models: leases with fencing tokens decide which instance may send them, and
 * fleet-wide slots limit how many loads run at one time.
 *
 * @module
 */
export * from "./model_load_slot.ts";
export * from "./order_types.ts";
export * from "./target_model_reconciler.ts";
