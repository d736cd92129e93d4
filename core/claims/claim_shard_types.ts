/**
 * Options and effects of a claim log shard.
 *
 * @module
 */
import type { PlatformRequest } from "../platform/mod.ts";
import type { ClaimResult } from "./claim_types.ts";

/** Options of a {@linkcode ClaimShard}. */
export interface ClaimShardOptions {
    /** Name of the instance that appends, recorded in each segment. */
    author: string;
    /** Creates a unique identifier for a segment. */
    createNonce: () => string;
    /** Time for which a claimed key is remembered, in milliseconds. Defaults to 24 hours. */
    retentionMilliseconds?: number;
    /** Time after which a claim that is not durable is reported as unavailable, in milliseconds. Defaults to 1500. */
    claimTimeoutMilliseconds?: number;
    /** Minimum time from the end of an append to the next call to the platform, in milliseconds. Defaults to 15. */
    appendPauseMilliseconds?: number;
    /** Age of the index above which the whole log is read again, in milliseconds. Defaults to 10 minutes. */
    maxIndexAgeMilliseconds?: number;
}

/** An action that the caller of the shard must perform: call the platform, or send a result or a confirmation. */
export type ClaimShardEffect =
    | { kind: "platform"; request: PlatformRequest; }
    | { kind: "result"; holder: string; result: ClaimResult; }
    | { kind: "settled"; holder: string; };

/** Readings of the two clocks that a shard uses, in milliseconds. */
export interface ShardTimes {
    /** Reading of the monotonic clock. */
    now: number;
    /** Reading of the wall clock, since the epoch. */
    wallTime: number;
}
