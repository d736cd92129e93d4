/**
 * Options of an agent's core.
 *
 * @module
 */
import type { TargetAdmissionOptions } from "../admission/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Member } from "../membership/mod.ts";
import type { TargetOrdersOptions } from "../orders/mod.ts";

/** Options of an {@linkcode AgentCore}. */
export interface AgentOptions {
    /** This instance. */
    self: Member;
    /** Source of time. */
    clock: Clock;
    /** Source of random numbers from 0 up to 1. */
    random: () => number;
    /** Makes a name that no other call makes. */
    createId: () => string;
    /** Computes the content address of a configuration part. */
    hashContent: (text: string) => string;
    /** Time between rounds of gossip, in milliseconds. Defaults to 300. */
    gossipMilliseconds?: number;
    /** Time between polls of a target's load, in milliseconds. Defaults to 500. */
    pollMilliseconds?: number;
    /** Time for which a new owner grants nothing, in milliseconds. Defaults to 3000. */
    settleMilliseconds?: number;
    /** Number of shards of the claim log. Defaults to 8. */
    claimShards?: number;
    /** Time for which an idempotency key is remembered, in milliseconds. Defaults to 24 hours. */
    claimHorizon?: number;
    /** Instances that hold a watch on the manifest. Defaults to 3. */
    watchHolders?: number;
    /** Loads from the weight store that may run at one time in the whole fleet. Defaults to 2. */
    maxLoads?: number;
    /** Times of the leases on orders. Defaults to those of {@linkcode TargetOrdersOptions}. */
    orders?: Pick<TargetOrdersOptions, "leaseMilliseconds" | "maxPauseMilliseconds">;
    /** Options of each target's admission. */
    admission?: TargetAdmissionOptions;
}
