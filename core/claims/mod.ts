/**
 * Claims: a request that may not be repeated is claimed durably before it is dispatched.
 *
 * @module
 */
export * from "./claim_index.ts";
export * from "./claim_shard.ts";
export * from "./claim_shard_types.ts";
export * from "./claim_types.ts";
