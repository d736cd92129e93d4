/**
 * The messages that admission takes and gives.
 *
 * @module
 */
import type { LengthDistribution } from "../prediction/mod.ts";

/** What a target can take, from the inventory. */
export interface TargetSpec {
    /** Name of the target. */
    name: string;
    /** Memory for running sequences, in tokens; 0 where the target is a plain service. */
    memoryTokens: number;
    /** Most requests at one time while the target is warm. */
    maxConcurrent: number;
    /** Most requests at one time while the target is cold. */
    coldConcurrent: number;
}

/** A request for a permit to run one piece of work on a target. */
export interface PermitRequest {
    /** Unique name of the permit asked for. */
    permitId: string;
    /** Name of the target. */
    target: string;
    /** Instance whose gateway asks. */
    origin: string;
    /** Client account that the work belongs to. */
    account: string;
    /** Weight of the client account in fair shares. */
    weight: number;
    /** Priority of the work; 0 goes first. */
    priority: number;
    /** Length of the prompt, in tokens. */
    promptTokens: number;
    /** Expected output lengths, in tokens; empty for a plain service. */
    lengths: LengthDistribution;
    /** How long the owner may keep the request waiting, in milliseconds. */
    waitMilliseconds: number;
}

/**
 * Longest time that a request for a permit and its grant may spend on their way together, in milliseconds.
 *
 * A grant that took longer is given back, because the target may have restarted since. A target must take longer than
 * this from closing its connections to accepting new ones.
 */
export const MAX_GRANT_TRANSIT = 250;

/** A permit that a gateway holds. */
export interface Permit {
    /** Unique name of the permit. */
    permitId: string;
    /** Name of the target. */
    target: string;
    /** Instance whose gateway holds it. */
    origin: string;
    /** Length of the prompt, in tokens. */
    promptTokens: number;
    /** Expected output lengths, in tokens. */
    lengths: LengthDistribution;
    /** Tokens produced when last announced. */
    produced: number;
}

/** Why a permit was refused. */
export const RefusalReason = {
    /** The target has no room, and the wait is over. */
    busy: "busy",
    /** The owner's queue is full. */
    queueFull: "queue-full",
    /** The target is withdrawn, drained or leaving. */
    closed: "closed",
    /** The owner can't account for what runs on the target yet. */
    settling: "settling",
    /** No owner of the target is in reach. */
    noOwner: "no-owner",
} as const;

/** One of the values of {@linkcode RefusalReason}. */
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** The owner's answer to a {@linkcode PermitRequest}. */
export type PermitDecision =
    | { kind: "granted"; request: PermitRequest; headroom: Headroom; heldMilliseconds: number; }
    | { kind: "refused"; request: PermitRequest; reason: RefusalReason; headroom: Headroom; };

/** How much more a target can take, as its owner predicts. */
export interface Headroom {
    /** Name of the target. */
    target: string;
    /** Free share of the scarcest resource, less what waits; may be negative. */
    share: number;
    /** Requests waiting at the owner. */
    waiting: number;
    /** True while the target is cold. */
    isCold: boolean;
    /** True where the target takes new work. */
    isOpen: boolean;
}

/** How a piece of work ended at its target. */
export const WorkOutcome = {
    /** The answer came whole. */
    finished: "finished",
    /** The caller or the gateway gave it up. */
    cancelled: "cancelled",
    /** The target refused it before running it. */
    refused: "refused",
    /** The connection broke, or the target lost the work. */
    broken: "broken",
} as const;

/** One of the values of {@linkcode WorkOutcome}. */
export type WorkOutcome = (typeof WorkOutcome)[keyof typeof WorkOutcome];

/** A target's own report of its load; it lags. */
export interface LoadReport {
    /** Name of one life of the target; changes when it restarts. */
    incarnation: string;
    /** True while the target says that it is cold. */
    isCold: boolean;
    /** True where the target says that it is leaving. */
    isLeaving: boolean;
    /** Requests that the target holds, running or waiting. */
    running: number;
    /** Memory in use, in tokens. */
    memoryUsed: number;
    /** Preemptions since the target's start. */
    preemptions: number;
    /** Time of one decode step, in milliseconds; 0 where unknown. */
    stepMilliseconds: number;
    /** Models that the target holds; absent where it takes no orders. */
    models?: string[];
}
