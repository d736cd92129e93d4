/**
 * Orders that tell targets to load models: leases with fencing tokens decide which instance may send them, and
 * fleet-wide slots limit how many loads run at one time.
 *
 * @module
 */
export * from "./order_types.ts";
export * from "./target_orders.ts";
export * from "./weight_budget.ts";
