/**
 * The interface between the placement measurement and a policy.
 *
 * @module
 */
import type { AttemptOutcome, LoadReport } from "../../core/admission/mod.ts";
import type { Random } from "../../support/fixtures/random.ts";
import type { EventQueue } from "../../support/simulation/mod.ts";
import type { Work } from "./deployments.ts";

/** The fleet as a policy sees it, and the actions that a policy can take. */
export interface PolicyContext {
    /** Names of the targets. */
    targets: readonly string[];
    /** Size of a target's KV cache, in tokens; 0 for a plain service. */
    memoryTokens: number;
    /** Maximum number of concurrent requests on a cold target. */
    coldConcurrent: number;
    /** Maximum number of concurrent requests on a warm target. */
    maxConcurrent: number;
    /** Number of gateways. */
    gateways: number;
    /** Source of random numbers. */
    random: Random;
    /** Queue of the simulation's future events. */
    queue: EventQueue;
    /** Returns the virtual time, in milliseconds. */
    getNow: () => number;
    /** Tells whether a target may receive work, that is, whether its zone is not withdrawn. */
    isOpen: (target: string) => boolean;
    /** Returns the last load report of a target, which is a fixed time old; `undefined` if there is none. */
    getReport: (target: string) => LoadReport | undefined;
    /** Starts work on a target. */
    startWork: (work: Work, target: string) => void;
    /** Refuses work, because no target was available within the caller's longest waiting time. */
    refuseWork: (work: Work) => void;
}

/** A placement policy: decides when and on which target work starts. */
export interface PlacementPolicy {
    /** Handles the arrival of work at its gateway. */
    handleArrival(work: Work): void;
    /** Records that `produced` tokens of the work's output exist. */
    handleProgress(work: Work, produced: number): void;
    /** Records that work has ended on a target. */
    handleEnd(work: Work, end: { target: string; outcome: AttemptOutcome; }): void;
    /** Records that a target has closed its connections, because it restarted. */
    handleConnectionClosed(target: string): void;
}

/** Creates a policy for a fleet. */
export type PolicyBuilder = (context: PolicyContext) => PlacementPolicy;
