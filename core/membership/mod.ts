/**
 * Membership: which instances live, learnt by gossip of heartbeats.
 *
 * @module
 */
export * from "./membership.ts";
export * from "./membership_types.ts";
