/**
 * Which targets fail more than others, though their health checks pass.
 *
 * Load pattern: one target of three answers errors at once and so looks the least loaded; without ejection it draws most
 * of the requests.
 *
 * @module
 */

/** Options of a {@linkcode TargetHealth}. */
export interface TargetHealthOptions {
    /** Half-life of a failure's weight, in milliseconds. Defaults to 3000. */
    halfLifeMilliseconds?: number;
}

/** Failures fade within a few seconds, so that a target that recovers is tried again soon. */
const DEFAULT_HALF_LIFE = 3000;
/** Penalty for each remembered failure, in units of a full target's load. */
const FAILURE_PENALTY = 0.5;
/** Weight of a refused connection: nothing listens there, so it counts as much as many failures. */
export const UNREACHABLE_WEIGHT = 6;
/** Largest penalty, so that a failing target is still chosen when the others are full. */
const MAX_PENALTY = 3;

interface FailureRecord {
    weight: number;
    updatedAt: number;
}

/** Remembers failures for a while. */
export class TargetHealth {
    readonly #halfLife: number;
    readonly #records = new Map<string, FailureRecord>();

    constructor(options: TargetHealthOptions = {}) {
        this.#halfLife = options.halfLifeMilliseconds ?? DEFAULT_HALF_LIFE;
    }

    /** Notes that a request failed at a target; `weight` is 1 for an ordinary failure. */
    recordFailure(target: string, event: { now: number; weight?: number; }): void {
        const weight = this.#computeWeight(target, event.now) + (event.weight ?? 1);
        this.#records.set(target, { weight, updatedAt: event.now });
    }

    /** Notes that a request succeeded at a target; it takes off a part of the failures. */
    recordSuccess(target: string, now: number): void {
        const weight = this.#computeWeight(target, now) * 0.8;
        if (weight < 0.05) {
            this.#records.delete(target);
            return;
        }
        this.#records.set(target, { weight, updatedAt: now });
    }

    /** Computes by how much a target should be avoided, in units of a full target's load. */
    computePenalty(target: string, now: number): number {
        return Math.min(MAX_PENALTY, this.#computeWeight(target, now) * FAILURE_PENALTY);
    }

    /** Forgets a target that is gone. */
    removeTarget(target: string): void {
        this.#records.delete(target);
    }

    #computeWeight(target: string, now: number): number {
        const record = this.#records.get(target);
        return record === undefined ? 0 : record.weight * 0.5 ** ((now - record.updatedAt) / this.#halfLife);
    }
}
