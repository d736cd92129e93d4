/**
 * Tracks which targets fail more often than others although their health checks pass.
 *
 * Load pattern: one of three targets responds to each request immediately with an error and therefore appears least
 * loaded. Without outlier ejection, here in the form of a penalty for failures, it receives most of the requests.
 *
 * @module
 */

/** Options of a {@linkcode TargetHealth}. */
export interface TargetHealthOptions {
    /** Half-life of a failure's weight, in milliseconds. Defaults to 3000. */
    halfLifeMilliseconds?: number;
}

/** Failures decay within a few seconds, so that a target that recovers is tried again soon. */
const DEFAULT_HALF_LIFE_MILLISECONDS = 3000;
/** Penalty per unit of failure weight, in units of a full target's load. */
const FAILURE_PENALTY = 0.5;
/** Weight of a refused connection: nothing listens at the address, so it counts as much as several failures. */
export const UNREACHABLE_WEIGHT = 6;
/** Maximum penalty; it is bounded so that a failing target is still selected when the others are full. */
const MAX_PENALTY = 3;

interface FailureRecord {
    weight: number;
    updatedAt: number;
}

/** Keeps an exponentially decaying weight of the failures of each target. */
export class TargetHealth {
    readonly #halfLifeMilliseconds: number;
    readonly #records = new Map<string, FailureRecord>();

    constructor(options: TargetHealthOptions = {}) {
        this.#halfLifeMilliseconds = options.halfLifeMilliseconds ?? DEFAULT_HALF_LIFE_MILLISECONDS;
    }

    /** Records that a request failed at a target; `weight` defaults to 1, which is an ordinary failure. */
    recordFailure(target: string, event: { now: number; weight?: number; }): void {
        const weight = this.#computeWeight(target, event.now) + (event.weight ?? 1);
        this.#records.set(target, { weight, updatedAt: event.now });
    }

    /** Records that a request succeeded at a target, which reduces the weight of its failures. */
    recordSuccess(target: string, now: number): void {
        const weight = this.#computeWeight(target, now) * 0.8;
        if (weight < 0.05) {
            this.#records.delete(target);
            return;
        }
        this.#records.set(target, { weight, updatedAt: now });
    }

    /** Computes the penalty of a target for its failures, in units of a full target's load. */
    computePenalty(target: string, now: number): number {
        return Math.min(MAX_PENALTY, this.#computeWeight(target, now) * FAILURE_PENALTY);
    }

    /** Removes the failures of a target that no longer exists. */
    removeTarget(target: string): void {
        this.#records.delete(target);
    }

    #computeWeight(target: string, now: number): number {
        const record = this.#records.get(target);
        return record === undefined
            ? 0
            : record.weight * 0.5 ** ((now - record.updatedAt) / this.#halfLifeMilliseconds);
    }
}
