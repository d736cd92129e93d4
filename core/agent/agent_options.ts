/**
 * Options of the agent's control logic.
 *
 * @module
 */
import type { TargetAdmissionOptions } from "../admission/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Member } from "../membership/mod.ts";
import type { TargetModelReconcilerOptions } from "../orders/mod.ts";

/** Options of an {@linkcode AgentCore}. */
export interface AgentOptions {
    /** Member record of this instance. */
    self: Member;
    /** Source of time. */
    clock: Clock;
    /** Random number generator that returns numbers from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    /** Creates a unique identifier. */
    createId: () => string;
    /** Computes the content hash of a configuration part. */
    hashContent: (text: string) => string;
    /** Time between gossip rounds, in milliseconds. Defaults to 300. */
    gossipMilliseconds?: number;
    /** Time between polls of a target's load report, in milliseconds. Defaults to 500. */
    pollMilliseconds?: number;
    /** Settling period, in which a new owner of a target grants nothing, in milliseconds. Defaults to 3000. */
    settleMilliseconds?: number;
    /** Number of shards of the claim log. Defaults to 8. */
    claimShards?: number;
    /** Time for which an idempotency key is kept, in milliseconds. Defaults to 24 hours. */
    claimRetentionMilliseconds?: number;
    /** Number of instances that watch the manifest; the others poll it. Defaults to 3. */
    watcherCount?: number;
    /** Maximum number of model loads from the weight store that may run at one time in the fleet. Defaults to 2. */
    maxLoads?: number;
    /** Durations of the order leases. Defaults to those of {@linkcode TargetModelReconcilerOptions}. */
    orders?: Pick<TargetModelReconcilerOptions, "leaseMilliseconds" | "maxPauseMilliseconds">;
    /** Options of admission control for each target. */
    admission?: TargetAdmissionOptions;
}
