/**
 * Orders to targets: which instance may give them, with which fencing number, and how many loads run at one time.
 *
 * @module
 */
export * from "./order_types.ts";
export * from "./target_orders.ts";
export * from "./weight_budget.ts";
