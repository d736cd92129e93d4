/**
 * What the measurement asks of a policy.
 *
 * @module
 */
import type { LoadReport, WorkOutcome } from "../../core/admission/mod.ts";
import type { EventQueue } from "../../support/bench/mod.ts";
import type { Random } from "../../support/fixtures/random.ts";
import type { Work } from "./deployments.ts";

/** What a policy knows of the fleet it places work on. */
export interface PolicyContext {
    /** Names of the targets. */
    targets: readonly string[];
    /** Memory of a target, in tokens; 0 for a plain service. */
    memoryTokens: number;
    /** Requests that a cold target bears. */
    coldConcurrent: number;
    /** Most requests of a warm target. */
    maxConcurrent: number;
    /** Number of gateways. */
    gateways: number;
    /** Source of random numbers. */
    random: Random;
    /** Events to come. */
    queue: EventQueue;
    /** Tells the time, in milliseconds. */
    getNow: () => number;
    /** Tells whether the operators' rules leave a target open. */
    isOpen: (target: string) => boolean;
    /** Gives a target's lagging load report; `undefined` where it has none. */
    getReport: (target: string) => LoadReport | undefined;
    /** Sends work to a target. */
    startWork: (work: Work, target: string) => void;
    /** Gives work up, because no place was found in time. */
    refuseWork: (work: Work) => void;
}

/** A policy under measurement. */
export interface PlacementPolicy {
    /** Takes work that needs a place. */
    handleArrival(work: Work): void;
    /** Notes that a target has produced `produced` tokens of work. */
    handleProgress(work: Work, produced: number): void;
    /** Notes that work has left a target. */
    handleEnd(work: Work, end: { target: string; outcome: WorkOutcome; }): void;
    /** Notes that a target has closed its connections. */
    handleConnectionClosed(target: string): void;
}

/** Builds a policy. */
export type PolicyBuilder = (context: PolicyContext) => PlacementPolicy;
