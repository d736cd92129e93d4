/**
 * Requests, permits, decisions and load reports that admission control exchanges with the rest of the system.
 *
 * @module
 */
import type { LengthDistribution } from "../prediction/mod.ts";

/** Capacity of a target, as configured in the inventory. */
export interface TargetSpec {
    /** Name of the target. */
    name: string;
    /** Size of the KV cache, in tokens; 0 for a service target, whose memory is not tracked. */
    memoryTokens: number;
    /** Maximum number of concurrent requests while the target is warm. */
    maxConcurrent: number;
    /** Maximum number of concurrent requests while the target is cold. */
    coldConcurrent: number;
}

/** A request for a permit to run one caller's request on a target. */
export interface PermitRequest {
    /** Unique identifier of the requested permit. */
    permitId: string;
    /** Name of the target. */
    target: string;
    /** Name of the instance whose gateway requests the permit. */
    origin: string;
    /** Name of the client account of the caller. */
    account: string;
    /** Weight of the client account in weighted fair queuing. */
    weight: number;
    /** Priority of the caller's request; 0 is the highest. */
    priority: number;
    /** Length of the prompt, in tokens. */
    promptTokens: number;
    /** Predicted distribution of the output length, in tokens; empty for a service target. */
    lengths: LengthDistribution;
    /** Maximum time for which the owner of the target may queue the request, in milliseconds. */
    waitMilliseconds: number;
}

/**
 * Maximum total network transit time of a permit request and its grant, in milliseconds.
 *
 * The gateway releases a permit whose grant took longer, because the target may have restarted in the meantime. A
 * restarting target must therefore take longer than this from closing its connections to accepting new ones.
 */
export const MAX_GRANT_TRANSIT_MILLISECONDS = 250;

/** A permit that a gateway holds: the right to run one caller's request on a target. */
export interface Permit {
    /** Unique identifier of the permit. */
    permitId: string;
    /** Name of the target. */
    target: string;
    /** Name of the instance whose gateway holds the permit. */
    origin: string;
    /** Length of the prompt, in tokens. */
    promptTokens: number;
    /** Predicted distribution of the output length, in tokens. */
    lengths: LengthDistribution;
    /** Number of output tokens produced by the time of the last renewal of the permit. */
    produced: number;
}

/** Reasons for refusing a permit. */
export const RefusalReason = {
    /** The target had no free capacity before the allowed waiting time ended. */
    busy: "busy",
    /** The owner's queue of permit requests is full. */
    queueFull: "queue-full",
    /** The target is withdrawn, drained or leaving, so it accepts no new requests. */
    closed: "closed",
    /** The owner may not grant permits: its settling period has not ended, or it may not start new requests. */
    settling: "settling",
    /** No owner of the target replied in time, or the target's ownership has moved to another instance. */
    noOwner: "no-owner",
} as const;

/** One of the values of {@linkcode RefusalReason}. */
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** The owner's decision on a {@linkcode PermitRequest}; `heldMilliseconds` is the time that the request was queued. */
export type PermitDecision =
    | { kind: "granted"; request: PermitRequest; headroom: Headroom; heldMilliseconds: number; }
    | { kind: "refused"; request: PermitRequest; reason: RefusalReason; headroom: Headroom; };

/** Spare capacity of a target, as predicted by its owner. */
export interface Headroom {
    /** Name of the target. */
    target: string;
    /** Free fraction of the target's scarcest resource, reduced by the queued requests; may be negative. */
    share: number;
    /** Number of requests queued at the owner. */
    waiting: number;
    /** True while the target is cold. */
    isCold: boolean;
    /** True if the target accepts new requests. */
    isOpen: boolean;
}

/** How an attempt to run a caller's request on a target ended. */
export const AttemptOutcome = {
    /** The target returned a complete response. */
    finished: "finished",
    /** The caller or the gateway cancelled the request. */
    cancelled: "cancelled",
    /** The target refused the request before running it. */
    refused: "refused",
    /** The connection failed, or the target lost the request. */
    broken: "broken",
} as const;

/** One of the values of {@linkcode AttemptOutcome}. */
export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

/** A target's report of its own load, which may lag behind the target's current state. */
export interface LoadReport {
    /** Identifier of the target's current process, which changes when the target restarts. */
    incarnation: string;
    /** True while the target reports that it is cold. */
    isCold: boolean;
    /** True if the target reports that it is leaving: it has announced its shutdown. */
    isLeaving: boolean;
    /** Number of requests at the target, running or queued. */
    running: number;
    /** Used part of the KV cache, in tokens. */
    memoryUsed: number;
    /** Number of preempted sequences since the target started. */
    preemptions: number;
    /** Duration of one decode step, in milliseconds; 0 if unknown. */
    stepMilliseconds: number;
    /** Names of the models that the target has loaded; absent if the target does not accept orders to load models. */
    models?: string[];
}
