/**
 * Inventory: targets, zones, client accounts, kinds of work and the operators' rules.
 *
 * @module
 */
export * from "./check_inventory.ts";
export * from "./configuration_parts.ts";
export * from "./inventory_schema.ts";
export * from "./routing_table.ts";
