/**
 * Estimates how fast the targets of a service free capacity, and how long they take to respond.
 *
 * Load pattern: a large fleet, of which one instance sees too few releases in a second to tell anything from them. The
 * load that all digests add up to tells more: each part of it is released at the rate at which this instance's own load
 * is. That rate is the released size divided by the running size integrated over time, so that long requests count
 * before the first of them has ended.
 *
 * Sizes are tokens of KV cache for engines, and 1 for each request of a plain service.
 *
 * @module
 */

/** Rate at which all targets of a service free capacity. */
export interface ReleaseRate {
    /** Size freed per second. */
    sizePerSecond: number;
    /** Time since this instance's last release, in milliseconds; `undefined` if there was none. */
    ageMilliseconds: number | undefined;
}

/** Time constant with which own releases are forgotten, in milliseconds: several seconds, as one sees few of them. */
const RATE_TIME_CONSTANT_MILLISECONDS = 5000;
/** Number of own releases at which they count as much as the load that the digests show. */
const PRIOR_RELEASES = 8;
/** Time constant for the rate at which running load is released, in milliseconds: a few times the longest requests. */
const HAZARD_TIME_CONSTANT_MILLISECONDS = 30_000;
/** Share of a new value in the mean of response times. */
const MEAN_WEIGHT = 0.1;

/** Smoothed mean and mean deviation of a time. */
interface SmoothedTime {
    mean: number;
    deviation: number;
}

/** Estimates the release rate of one service, and the response times of each kind of request. */
export class RoomEstimate {
    readonly #startedAt: number;
    #updatedAt: number;
    /** Size and number of own releases, which decay. */
    #size = 0;
    #count = 0;
    /** Own running size, and its integral over time and the released size, which decay more slowly. */
    #runningSize = 0;
    #exposure = 0;
    #releasedSize = 0;
    #lastReleaseAt: number | undefined;
    readonly #responseTimes = new Map<string, SmoothedTime>();

    /** @param now Time from which releases are observed. */
    constructor(now: number) {
        this.#startedAt = now;
        this.#updatedAt = now;
    }

    /** Records that this instance sends a request of a size to a target. */
    recordStart(size: number, now: number): void {
        this.#update(now);
        this.#runningSize += size;
    }

    /** Records that a request which this instance has sent releases its target; one that was refused frees nothing. */
    recordRelease(size: number, { now, hasResponded }: { now: number; hasResponded: boolean; }): void {
        this.#update(now);
        this.#runningSize = Math.max(0, this.#runningSize - size);
        if (!hasResponded) {
            return;
        }
        this.#size += size;
        this.#count += 1;
        this.#releasedSize += size;
        this.#lastReleaseAt = now;
    }

    /** Records the time from sending a request of a kind to the start of its response. */
    recordResponseTime(kind: string, milliseconds: number): void {
        const time = this.#responseTimes.get(kind);
        if (time === undefined) {
            this.#responseTimes.set(kind, { mean: milliseconds, deviation: milliseconds / 2 });
            return;
        }
        const error = milliseconds - time.mean;
        time.mean += MEAN_WEIGHT * error;
        time.deviation += MEAN_WEIGHT * (Math.abs(error) - time.deviation);
    }

    /** Estimates the time that requests of a kind need until their response starts; `undefined` if none has been seen. */
    estimateResponseTime(kind: string): number | undefined {
        const time = this.#responseTimes.get(kind);
        return time === undefined ? undefined : time.mean + time.deviation;
    }

    /**
     * Estimates the rate at which the requests of all instances free capacity; `undefined` if nothing is known of it.
     *
     * @param fleet Time, number of known instances, and size of all running requests; `undefined` if it is not known.
     * @returns The rate.
     */
    estimateRate(
        fleet: { now: number; instances: number; runningSize: number | undefined; },
    ): ReleaseRate | undefined {
        const { now, instances, runningSize } = fleet;
        this.#update(now);
        const observed = 1 - Math.exp(-(now - this.#startedAt) / RATE_TIME_CONSTANT_MILLISECONDS);
        const seconds = observed * RATE_TIME_CONSTANT_MILLISECONDS / 1000;
        const own = seconds > 0 ? this.#size * instances / seconds : 0;
        const prior = runningSize === undefined || this.#releasedSize <= 0 || this.#exposure <= 0
            ? undefined
            : runningSize * this.#releasedSize / this.#exposure * 1000;
        const ownWeight = prior === undefined ? 1 : this.#count / (this.#count + PRIOR_RELEASES);
        const sizePerSecond = ownWeight * own + (1 - ownWeight) * (prior ?? 0);
        const ageMilliseconds = this.#lastReleaseAt === undefined ? undefined : now - this.#lastReleaseAt;
        return sizePerSecond > 0 ? { sizePerSecond, ageMilliseconds } : undefined;
    }

    #update(now: number): void {
        const milliseconds = Math.max(0, now - this.#updatedAt);
        const factor = Math.exp(-milliseconds / RATE_TIME_CONSTANT_MILLISECONDS);
        const hazardFactor = Math.exp(-milliseconds / HAZARD_TIME_CONSTANT_MILLISECONDS);
        this.#size *= factor;
        this.#count *= factor;
        this.#releasedSize *= hazardFactor;
        this.#exposure = this.#exposure * hazardFactor
            + this.#runningSize * HAZARD_TIME_CONSTANT_MILLISECONDS * (1 - hazardFactor);
        this.#updatedAt = Math.max(now, this.#updatedAt);
    }
}
