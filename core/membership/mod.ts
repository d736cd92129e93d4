/**
 * Fleet membership and failure detection by gossip: which instances exist, and which of them are alive.
 *
 * @module
 */
export * from "./membership.ts";
export * from "./membership_types.ts";
