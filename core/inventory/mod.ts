/**
 * Inventory: availability zones, targets, models, kinds of requests, client accounts and the operators' rules.
 *
 * @module
 */
export * from "./check_inventory.ts";
export * from "./configuration_parts.ts";
export * from "./inventory_schema.ts";
export * from "./routing_table.ts";
