/**
 * Claims: durable locks on idempotency keys. A request that must run at most once is claimed before it is dispatched.
 *
 * @module
 */
export * from "./claim_index.ts";
export * from "./claim_shard.ts";
export * from "./claim_shard_types.ts";
export * from "./claim_types.ts";
