/**
 * Keeps how long work takes at each target at present, and the load that targets of plain services state.
 *
 * Load pattern: the machine of each target turns several times slower for moments of about 600 ms, and a target that
 * appears least loaded may then be the one that takes longest. The targets of plain services are loaded by all instances,
 * whose digests do not contain that load since the requests end too soon; only the targets' answers show it.
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
    /** Requests of this instance among those; counts as 0 if it is not known. */
    ownRequests?: number;
}

/**
 * A target's load as instances tell it to each other, by the target's identifier: requests that run and wait there, its
 * pace in percent, and the age of the statement in milliseconds.
 */
export type ToldLoads = Record<string, [running: number, waiting: number, pacePercent: number, age: number]>;

/** What is known of the pace of one target at one time. */
export interface PaceEstimate {
    /** Pace that the target stated last; its mean pace if it has stated none. */
    pace: number;
    /** Age of that statement, in milliseconds; `Infinity` if there is none. */
    ageMilliseconds: number;
    /** Mean pace of the target. */
    meanPace: number;
}

interface PaceRecord {
    service: string;
    pace: number;
    meanPace: number;
    /** Requests of other instances. */
    othersRequests: number;
    running: number;
    waiting: number;
    statedAt: number;
    /** Time at which the target has stated it to this instance; `undefined` if a peer has told of it, or it is told. */
    untoldSince: number | undefined;
}

/** Duration of a slow moment of a machine, in milliseconds: after it, a stated pace shows nothing. */
const MOMENT_MILLISECONDS = 600;
/** Mean pace of a target that has stated none: 2.5 in 15 % of the time. */
const USUAL_MEAN_PACE = 1.2;
/** Weight of a statement in the mean pace of a target, and in the mean load of a service. */
const MEAN_WEIGHT = 0.05;
/** Bounds of a pace that is believed. */
const MIN_PACE = 0.2;
const MAX_PACE = 10;
/** Requests at which a target counts as full, in multiples of its slots; a stated load beyond it counts as this one. */
const MAX_LOAD_FACTOR = 4;
/** Age at which a stated load counts a third: requests of plain services end within some tens of milliseconds. */
const LOAD_LIFETIME_MILLISECONDS = 60;
/** Age of a statement beyond which peers are not told of it, in milliseconds: they have had newer ones. */
const MAX_TOLD_AGE_MILLISECONDS = 150;
/** Number of targets in a message, which bounds its size. */
const MAX_TOLD_LOADS = 16;
const PERCENT = 100;

/** Keeps the stated pace and load of each target; a service whose targets state no pace is not paced. */
export class TargetPace {
    readonly #records = new Map<string, PaceRecord>();
    readonly #pacedServices = new Set<string>();
    /** Mean requests of other instances per slot, of each service. */
    readonly #meanLoads = new Map<string, number>();

    /** Records the load that a target has stated in a response. */
    recordStatedLoad(target: { id: string; service: string; }, load: StatedLoad, now: number): void {
        if (load.pace !== undefined) {
            this.#pacedServices.add(target.service);
        }
        if (this.#pacedServices.has(target.service)) {
            this.#recordLoad(target, load, { statedAt: now, isOwn: true });
        }
    }

    /** Records what a peer tells of the load of a target, unless a later statement is known. */
    applyToldLoad(
        target: { id: string; service: string; slots: number; },
        [running, waiting, pacePercent, age]: ToldLoads[string],
        { now, ownRequests }: { now: number; ownRequests: number; },
    ): void {
        const statedAt = now - Math.max(0, age);
        if (statedAt <= (this.#records.get(target.id)?.statedAt ?? Number.NEGATIVE_INFINITY)) {
            return;
        }
        this.#pacedServices.add(target.service);
        const load = { running, waiting, slots: target.slots, pace: pacePercent / PERCENT, ownRequests };
        this.#recordLoad(target, load, { statedAt, isOwn: false });
    }

    /**
     * Takes the latest statements of targets that peers have not been told of.
     *
     * @param now Time on the monotonic clock, in milliseconds.
     * @param isIncluded Checks whether peers are told of the targets of a service.
     */
    takeToldLoads(now: number, isIncluded: (service: string) => boolean): ToldLoads | undefined {
        const told: ToldLoads = {};
        let count = 0;
        for (const [id, record] of this.#records) {
            const { service, running, waiting, pace, untoldSince } = record;
            if (untoldSince === undefined || count >= MAX_TOLD_LOADS) {
                continue;
            }
            record.untoldSince = undefined;
            const age = Math.round(now - untoldSince);
            if (age <= MAX_TOLD_AGE_MILLISECONDS && isIncluded(service)) {
                told[id] = [running, waiting, Math.round(pace * PERCENT), age];
                count += 1;
            }
        }
        return count === 0 ? undefined : told;
    }

    /** Checks whether any target of a service has stated a pace, so that targets are compared by their pace. */
    isPaced(service: string): boolean {
        return this.#pacedServices.has(service);
    }

    /** Estimates how long work takes at a target at present, as a multiple of the usual duration; 1 if unknown. */
    estimateFactor(target: string, now: number): number {
        return this.#records.has(target) ? estimateMeanPace(this.getEstimate(target, now), 0) : 1;
    }

    /** Gets what is known of a target's pace. */
    getEstimate(target: string, now: number): PaceEstimate {
        const record = this.#records.get(target);
        return record === undefined
            ? { pace: USUAL_MEAN_PACE, ageMilliseconds: Infinity, meanPace: USUAL_MEAN_PACE }
            : { pace: record.pace, ageMilliseconds: Math.max(0, now - record.statedAt), meanPace: record.meanPace };
    }

    /**
     * Estimates the requests of other instances at a target of a plain service from its stated load, or, as that ages,
     * from the mean load of the service.
     */
    estimateOthersRequests(target: { id: string; service: string; slots: number; }, now: number): number {
        const record = this.#records.get(target.id);
        const mean = (this.#meanLoads.get(target.service) ?? 0) * Math.max(1, target.slots);
        if (record === undefined) {
            return mean;
        }
        const weight = Math.exp(-Math.max(0, now - record.statedAt) / LOAD_LIFETIME_MILLISECONDS);
        return mean + weight * (record.othersRequests - mean);
    }

    /** Finds the time at which a target last stated its pace; `undefined` if it has not. */
    findStatementTime(target: string): number | undefined {
        return this.#records.get(target)?.statedAt;
    }

    /** Removes what is known of a target that is gone or has restarted. */
    removeTarget(target: string): void {
        this.#records.delete(target);
    }

    #recordLoad(
        { id, service }: { id: string; service: string; },
        load: StatedLoad,
        { statedAt, isOwn }: { statedAt: number; isOwn: boolean; },
    ): void {
        const slots = Math.max(1, load.slots);
        const othersRequests = Math.min(
            MAX_LOAD_FACTOR * slots,
            Math.max(0, load.running + load.waiting - (load.ownRequests ?? 0)),
        );
        const known = this.#records.get(id);
        const meanPace = known?.meanPace ?? USUAL_MEAN_PACE;
        const pace = Math.min(MAX_PACE, Math.max(MIN_PACE, load.pace ?? meanPace));
        if (!Number.isFinite(othersRequests) || !Number.isFinite(pace)) {
            return;
        }
        const mean = this.#meanLoads.get(service) ?? othersRequests / slots;
        this.#meanLoads.set(service, mean + MEAN_WEIGHT * (othersRequests / slots - mean));
        const record: PaceRecord = known
            ?? { service, pace, meanPace, othersRequests, running: 0, waiting: 0, statedAt, untoldSince: undefined };
        record.pace = pace;
        record.meanPace = meanPace + MEAN_WEIGHT * (pace - meanPace);
        record.othersRequests = othersRequests;
        record.running = load.running;
        record.waiting = load.waiting;
        record.statedAt = statedAt;
        record.untoldSince = isOwn ? statedAt : undefined;
        this.#records.set(id, record);
    }
}

/**
 * Estimates the mean pace over the next `milliseconds`: the stated one while its moment may last, and the target's mean
 * afterwards.
 */
export function estimateMeanPace({ pace, ageMilliseconds, meanPace }: PaceEstimate, milliseconds: number): number {
    if (ageMilliseconds >= MOMENT_MILLISECONDS) {
        return meanPace;
    }
    // The moment ends at a time that is equally likely anywhere within its duration.
    const end = Math.min(MOMENT_MILLISECONDS, ageMilliseconds + Math.max(1, milliseconds));
    const share = (end - ageMilliseconds) * (1 - (end + ageMilliseconds) / (2 * MOMENT_MILLISECONDS));
    return meanPace + (pace - meanPace) * share / Math.max(1, milliseconds);
}
