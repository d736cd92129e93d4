/**
 * The operators' command-line tool: checks, applies and shows configuration, and shows the state of processes.
 *
 * @module
 */
export * from "./build_command.ts";
export * from "./configuration_store.ts";
export * from "./diff_inventory.ts";
export * from "./document_file.ts";
export * from "./rule_edits.ts";
