/**
 * Options and effects of a shard of the claim log.
 *
 * @module
 */
import type { PlatformRequest } from "../platform/mod.ts";
import type { ClaimResult } from "./claim_types.ts";

/** Options of a {@linkcode ClaimShard}. */
export interface ClaimShardOptions {
    /** Name of the instance that appends. */
    author: string;
    /** Makes a name that no other segment has. */
    createNonce: () => string;
    /** Time for which a key is remembered, in milliseconds. Defaults to 24 hours. */
    horizonMilliseconds?: number;
    /** Time after which an unsettled claim is answered as unavailable, in milliseconds. Defaults to 1500. */
    claimTimeout?: number;
    /** Least time between two appends, in milliseconds. Defaults to 15. */
    lingerMilliseconds?: number;
    /** Time after which the log's head is read again before an append, in milliseconds. Defaults to 10 minutes. */
    maxQuietMilliseconds?: number;
}

/** What the shard wants done. */
export type ClaimShardEffect =
    | { kind: "platform"; request: PlatformRequest; }
    | { kind: "result"; holder: string; result: ClaimResult; }
    | { kind: "settled"; holder: string; };

/** Times that a shard's decisions depend on, in milliseconds. */
export interface ShardTimes {
    /** Reading of the monotonic clock. */
    now: number;
    /** Milliseconds since the epoch. */
    wallTime: number;
}
