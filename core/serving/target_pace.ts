/**
 * Keeps how fast each target works at present.
 *
 * Load pattern: targets of one service differ in speed, and the machine of each turns several times slower for moments.
 * A target that appears least loaded may then be the one that takes longest.
 *
 * @module
 */

/** Load of a target, as it states it in a response. */
export interface StatedLoad {
    /** Requests that the target processes. */
    running: number;
    /** Requests that wait at the target. */
    waiting: number;
    /** Requests that the target can process at the same time. */
    slots: number;
    /** Duration of work on the target's machine at present, as a multiple of the usual one; `undefined` if not stated. */
    pace: number | undefined;
}

interface PaceRecord {
    pace: number;
    statedAt: number;
}

/** Time after which a stated pace no longer counts, in milliseconds; it changes many times a second. */
const PACE_LIFETIME_MILLISECONDS = 300;

/** Keeps the stated pace of each target; a service whose targets state none is not paced. */
export class TargetPace {
    readonly #records = new Map<string, PaceRecord>();
    readonly #pacedServices = new Set<string>();

    /** Records the load that a target has stated in a response. */
    recordStatedLoad(target: { id: string; service: string; }, load: StatedLoad, now: number): void {
        if (load.pace !== undefined) {
            this.#records.set(target.id, { pace: load.pace, statedAt: now });
            this.#pacedServices.add(target.service);
        }
    }

    /** Checks whether any target of a service has stated a pace, so that targets are compared by their pace. */
    isPaced(service: string): boolean {
        return this.#pacedServices.has(service);
    }

    /** Estimates how long work takes at a target at present, as a multiple of the usual duration; 1 if unknown. */
    estimateFactor(target: string, now: number): number {
        const record = this.#records.get(target);
        return record === undefined || now - record.statedAt > PACE_LIFETIME_MILLISECONDS ? 1 : record.pace;
    }

    /** Finds the time at which a target last stated its pace; `undefined` if it has not. */
    findStatementTime(target: string): number | undefined {
        return this.#records.get(target)?.statedAt;
    }

    /** Removes what is known of a target that is gone or has restarted. */
    removeTarget(target: string): void {
        this.#records.delete(target);
    }
}
