/**
 * Each instance's fixed share of the bounds that hold for all instances together.
 *
 * Load patterns: many targets fail at once and every instance retries; a zone comes back cold and every instance sends it
 * work. Fixed shares need no owner, so that the loss of any instance stops nothing.
 *
 * @module
 */
import { hashText } from "../hashing/mod.ts";

/** Options of a {@linkcode RetryShare}. */
export interface RetryShareOptions {
    /** Repeats allowed for each request. */
    ratio: number;
    /** Length of the window, in milliseconds. */
    windowMilliseconds: number;
    /** Repeats allowed in each window beyond the ratio, for all instances together. */
    slack: number;
}

/** Part of the ratio that is used; the rest allows for requests that move between windows. */
const RATIO_MARGIN = 0.7;
/** Part of the slack that is used; the rest allows for instances that are not known yet. */
const SLACK_MARGIN = 0.8;

/** Limits repeats to one service within a sliding window. */
export class RetryShare {
    readonly #options: RetryShareOptions;
    readonly #requests: number[] = [];
    readonly #repeats: number[] = [];

    constructor(options: RetryShareOptions) {
        this.#options = options;
    }

    /** Counts a request. */
    recordRequest(now: number): void {
        this.#requests.push(now);
    }

    /** Takes one repeat; false where this instance's share is used up. */
    takeRepeat(now: number, instances: number): boolean {
        this.#dropOld(now);
        const share = this.#options.slack * SLACK_MARGIN / Math.max(1, instances);
        if (this.#repeats.length + 1 > this.#options.ratio * RATIO_MARGIN * this.#requests.length + share) {
            return false;
        }
        this.#repeats.push(now);
        return true;
    }

    #dropOld(now: number): void {
        for (const times of [this.#requests, this.#repeats]) {
            while (times[0] !== undefined && now - times[0] > this.#options.windowMilliseconds) {
                times.shift();
            }
        }
    }
}

/** Options of a {@linkcode ColdShare}. */
export interface ColdShareOptions {
    /** Factor by which all instances together may exceed a cold target's rate. */
    overage: number;
    /** Requests that all instances together may send beyond that in each second. */
    slack: number;
}

/** Length of the window in which requests to a cold target are counted, in milliseconds, with some margin. */
const COLD_WINDOW = 1250;
/** Part of the bound that is used. */
const COLD_MARGIN = 0.8;
/** Milliseconds over which the requests of one second may arrive: their own second and how long a turn lasts. */
const TURN_SPAN = 1000;
/** Time for which an instance's turn lasts, in milliseconds; a request that comes meanwhile can use it. */
const TURN_LENGTH = 200;

/** An instance's place among those that share the bounds. */
export interface SharePosition {
    /** Number of the instances. */
    instances: number;
    /** Number of the instances whose names sort before this one's. */
    rank: number;
}

/** The moment of a question to a {@linkcode ColdShare}. */
export interface ColdQuestion extends SharePosition {
    /** Time on the monotonic clock, in milliseconds. */
    now: number;
    /** Unix time in milliseconds, which all instances share but for small errors. */
    wallTime: number;
    /** Requests a second that the target bears while it is cold; 0 for no bound. */
    ratePerSecond: number;
}

/** Limits requests to cold targets. */
export class ColdShare {
    #options: ColdShareOptions;
    readonly #sent = new Map<string, number[]>();
    readonly #coldUntil = new Map<string, number>();

    constructor(options: ColdShareOptions) {
        this.#options = options;
    }

    /** Replaces the bound. */
    setOptions(options: ColdShareOptions): void {
        this.#options = options;
    }

    /** Notes how much longer a target is cold. */
    markCold(target: string, state: { now: number; milliseconds: number; }): void {
        if (state.milliseconds > 0) {
            this.#coldUntil.set(target, Math.max(this.#coldUntil.get(target) ?? 0, state.now + state.milliseconds));
        }
    }

    /** Tells whether a target is cold and this instance's share of it is used up. */
    isFull(target: string, question: ColdQuestion): boolean {
        const { now, ratePerSecond, instances } = question;
        if (ratePerSecond <= 0 || (this.#coldUntil.get(target) ?? 0) <= now) {
            return false;
        }
        const bound = (ratePerSecond * this.#options.overage + this.#options.slack) * COLD_MARGIN;
        const share = Math.floor(bound / Math.max(1, instances));
        if (share >= 1) {
            return this.#listRecent(target, now).length >= share;
        }
        return !this.#hasTurn(target, { bound, question });
    }

    /** Tells whether it is this instance's turn, where the bound is too small for a request of each in every second. */
    #hasTurn(target: string, { bound, question }: { bound: number; question: ColdQuestion; }): boolean {
        const { now, wallTime, instances, rank } = question;
        const interval = (TURN_SPAN + TURN_LENGTH) / Math.max(1, Math.floor(bound));
        const position = (rank + hashText(target)) % instances;
        const turn = Math.floor(wallTime / interval);
        const sinceOwn = (turn + instances - position) % instances * interval + wallTime % interval;
        const lastSend = this.#sent.get(target)?.at(-1) ?? Number.NEGATIVE_INFINITY;
        return sinceOwn <= TURN_LENGTH && now - lastSend > sinceOwn;
    }

    /** Counts a request that is sent to a target. */
    recordSend(target: string, now: number): void {
        const recent = this.#listRecent(target, now);
        recent.push(now);
        this.#sent.set(target, recent);
    }

    /** Forgets a target that is gone. */
    removeTarget(target: string): void {
        this.#sent.delete(target);
        this.#coldUntil.delete(target);
    }

    #listRecent(target: string, now: number): number[] {
        return (this.#sent.get(target) ?? []).filter(time => now - time < COLD_WINDOW);
    }
}
