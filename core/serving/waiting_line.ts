/**
 * Keeps the requests of one service that wait for capacity, and decides which of them is placed or refused next.
 *
 * Load pattern: a burst of requests of several kinds and sizes beyond the capacity of all targets. A request that fits
 * nowhere must not hold up a smaller one behind it, smaller ones must not pass it for ever, and a request that has no
 * chance left is refused while its caller can still use the time.
 *
 * @module
 */

/** A request that waits for capacity. All times are on the monotonic clock in milliseconds. */
export interface LineEntry {
    /** Priority; 0 is the highest. */
    priority: number;
    /** Requests of the same place fit the same targets if they have the same size: version and excluded targets. */
    place: string;
    /** Size: tokens of KV cache for an engine, 1 for a plain service. */
    size: number;
    /** True if the request goes before others of its priority, for instance since it was refused before. */
    isPreferred: boolean;
    /** What the request's account, kind and zone have had lately, relative to all; less goes first. */
    share: number;
    /** Time at which the request began to wait. */
    enqueuedAt: number;
    /** Time at which its latency objective is missed. */
    objectiveAt: number;
    /** Time until which it may wait. */
    latestAt: number;
}

/** Conditions of one step of a line. */
export interface WaitingLineStep<Entry> {
    /** Current time. */
    now: number;
    /** Tries to place a request; returns true if it needs to wait no longer. */
    tryPlace: (entry: Entry) => boolean;
    /** Estimates the time until a size is free for a request, in milliseconds; `undefined` if it is not known. */
    estimateWait: (size: number, entry: Entry) => number | undefined;
}

/** A request that is refused, with the inputs of the decision. */
export interface RefusedEntry<Entry> {
    /** The request. */
    entry: Entry;
    /** Size of all requests before this one and of itself. */
    sizeAhead: number;
    /** Estimated time until there is capacity for it, in milliseconds; `undefined` if it was not estimated. */
    estimateMilliseconds: number | undefined;
}

/** Requests that may pass one that fits nowhere, before those behind it have to wait until it is placed or refused. */
const MAX_BYPASSES = 6;
/** Share of the latency objective after which a request is refused if its wait will probably not succeed. */
const EARLY_CHECK_SHARE = 1 / 8;
/**
 * Multiple of the time left that the estimated wait may reach before a waiting request is refused. Capacity is freed at
 * random, so that at twice the time left four of ten requests still get it.
 */
const HOPELESS_FACTOR = 2;
/**
 * The same after an eighth of the objective, when a refusal costs the caller least. With 1, 0.22 to 0.29 of the refused
 * requests had been held for longer than that, with 0.3 it is 0.04, and as many are served.
 */
const EARLY_CHECK_FACTOR = 0.3;
/** Time constant of the mean size that waits, in milliseconds. */
const MEAN_TIME_CONSTANT_MILLISECONDS = 2000;

interface LineRecord<Entry> {
    entry: Entry;
    /** Number of smaller requests that were placed although they were behind this one. */
    bypasses: number;
    /** True once the request has been checked after an eighth of its objective. */
    isChecked: boolean;
    checkAt: number;
    /** True once the request has left the line with a target. */
    isPlaced: boolean;
}

/** Requests of one service that wait for capacity. */
export class WaitingLine<Entry extends LineEntry> {
    readonly #isHeadOnly: boolean;
    #records: LineRecord<Entry>[] = [];
    #meanSize = 0;
    #meanUpdatedAt = Number.NEGATIVE_INFINITY;

    /**
     * @param options True if only the first request is placed, and none goes before it; this is how services are served
     * whose targets state no pace. Defaults to false.
     */
    constructor({ isHeadOnly = false }: { isHeadOnly?: boolean; } = {}) {
        this.#isHeadOnly = isHeadOnly;
    }

    /** Number of waiting requests. */
    get length(): number {
        return this.#records.length;
    }

    /** Lists the waiting requests in order. */
    listWaiting(): Entry[] {
        return this.#records.map(({ entry }) => entry);
    }

    /** Adds a request. */
    add(entry: Entry, now: number): void {
        this.#updateMean(now);
        const checkAt = now + EARLY_CHECK_SHARE * Math.max(0, entry.objectiveAt - now);
        const firstIndex = this.#isHeadOnly ? 1 : 0;
        const index = this.#records.findIndex((record, position) =>
            position >= firstIndex && compareEntries(record.entry, entry) > 0
        );
        const record = { entry, bypasses: 0, isChecked: false, checkAt, isPlaced: false };
        this.#records.splice(index === -1 ? this.#records.length : index, 0, record);
    }

    /** Removes a request, for instance since its caller has gone. */
    remove(entry: Entry, now: number): void {
        this.#updateMean(now);
        this.#records = this.#records.filter(record => record.entry !== entry);
    }

    /** Computes the size of all requests that a new one would wait behind. */
    computeSizeAhead(entry: Entry): number {
        return this.#records
            .filter(record => compareEntries(record.entry, entry) <= 0)
            .reduce((sum, record) => sum + record.entry.size, 0);
    }

    /** Estimates the size that waits at one instance of the fleet, from the mean size that has lately waited here. */
    estimateMeanSize(now: number): number {
        this.#updateMean(now);
        return this.#meanSize;
    }

    /** Finds the time at which the next request has to be checked; `undefined` if none waits. */
    findNextCheck(): number | undefined {
        return this.#records.length === 0
            ? undefined
            : Math.min(
                ...this.#records.map(({ entry, isChecked, checkAt }) =>
                    isChecked ? entry.latestAt : Math.min(checkAt, entry.latestAt)
                ),
            );
    }

    /**
     * Places every request that fits, in order, and lists those that have to be refused; both leave the line.
     *
     * @returns The refused requests.
     */
    step(step: WaitingLineStep<Entry>): RefusedEntry<Entry>[] {
        this.#updateMean(step.now);
        if (this.#isHeadOnly) {
            this.#placeHead(step);
        }
        else {
            this.#placeRequests(step);
        }
        const refused: RefusedEntry<Entry>[] = [];
        const kept: LineRecord<Entry>[] = [];
        let sizeAhead = 0;
        for (const record of this.#records) {
            const needed = sizeAhead + record.entry.size;
            const estimateMilliseconds = step.estimateWait(needed, record.entry);
            if (this.#isRefused(record, { now: step.now, estimateMilliseconds })) {
                refused.push({ entry: record.entry, sizeAhead: needed, estimateMilliseconds });
            }
            else {
                kept.push(record);
                sizeAhead = needed;
            }
        }
        this.#records = kept;
        return refused;
    }

    #placeRequests({ tryPlace }: WaitingLineStep<Entry>): void {
        /** Smallest size of each place that fits nowhere now. */
        const unfitting = new Map<string, number>();
        const passed: LineRecord<Entry>[] = [];
        const remaining: LineRecord<Entry>[] = [];
        for (const record of this.#records) {
            const { place, size } = record.entry;
            if (size < (unfitting.get(place) ?? Infinity) && tryPlace(record.entry)) {
                passed.forEach(other => {
                    other.bypasses += other.entry.place === place ? 1 : 0;
                });
                continue;
            }
            const isBlocking = record.bypasses >= MAX_BYPASSES;
            unfitting.set(place, isBlocking ? 0 : Math.min(size, unfitting.get(place) ?? Infinity));
            remaining.push(record);
            passed.push(record);
        }
        this.#records = remaining;
    }

    /** Places requests from the head on; others only when their time is over. */
    #placeHead({ now, tryPlace }: WaitingLineStep<Entry>): void {
        this.#records = this.#records.filter((record, index, records) => {
            const isHead = index === 0 || record === records.find(({ isPlaced }) => !isPlaced);
            record.isPlaced = (isHead || now >= record.entry.latestAt) && tryPlace(record.entry);
            return !record.isPlaced;
        });
    }

    #isRefused(
        record: LineRecord<Entry>,
        { now, estimateMilliseconds }: { now: number; estimateMilliseconds: number | undefined; },
    ): boolean {
        const remaining = record.entry.latestAt - now;
        if (remaining <= 0) {
            return true;
        }
        const isFirstCheck = !record.isChecked && now >= record.checkAt;
        record.isChecked ||= isFirstCheck;
        return estimateMilliseconds !== undefined
            && estimateMilliseconds > remaining * (isFirstCheck ? EARLY_CHECK_FACTOR : HOPELESS_FACTOR);
    }

    #updateMean(now: number): void {
        const size = this.#records.reduce((sum, { entry }) => sum + entry.size, 0);
        const factor = Math.exp(-Math.max(0, now - this.#meanUpdatedAt) / MEAN_TIME_CONSTANT_MILLISECONDS);
        this.#meanSize = size + (this.#meanSize - size) * factor;
        this.#meanUpdatedAt = now;
    }
}

/** Compares two requests by the order in which they are placed. */
function compareEntries(a: LineEntry, b: LineEntry): number {
    return a.priority - b.priority
        || Number(b.isPreferred) - Number(a.isPreferred)
        || a.share - b.share
        || a.objectiveAt - b.objectiveAt
        || a.enqueuedAt - b.enqueuedAt;
}
