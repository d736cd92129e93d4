/**
 * Divides limits that hold for all instances together into a fixed share for each instance.
 *
 * Load patterns: many targets fail at once and every instance retries; a zone recovers, its targets are cold because
 * they have just started, and every instance sends requests to them. Fixed shares need no coordinator, so that the loss
 * of an instance does not block the others.
 *
 * @module
 */
import { computeTimeSinceTurn, type SharePosition } from "./instance_turns.ts";
import type { RecentSends } from "./recent_sends.ts";
import { TimeWindow } from "./time_window.ts";

/** Options of a {@linkcode RetryBudgetShare}. */
export interface RetryBudgetShareOptions {
    /** Retries allowed per request. */
    ratio: number;
    /** Length of the sliding window, in milliseconds. */
    windowMilliseconds: number;
    /** Retries allowed in each window in addition to the ratio, for all instances together. */
    slack: number;
}

/**
 * Share of the ratio that is used; the rest allows for requests that are counted in one window and retried in the next.
 */
const RATIO_MARGIN = 0.7;
/** Share of the slack that is used; the rest allows for instances that are not known yet. */
const SLACK_MARGIN = 0.8;

/** One instance's share of the retry budget of a service, over a sliding window. */
export class RetryBudgetShare {
    readonly #options: RetryBudgetShareOptions;
    readonly #requests: TimeWindow;
    readonly #retries: TimeWindow;

    constructor(options: RetryBudgetShareOptions) {
        this.#options = options;
        this.#requests = new TimeWindow(options.windowMilliseconds);
        this.#retries = new TimeWindow(options.windowMilliseconds);
    }

    /** Counts a request. */
    recordRequest(now: number): void {
        this.#requests.addEvent(now);
    }

    /** Takes one retry from the budget; returns false if this instance's share is used up. */
    takeRetry(now: number, instances: number): boolean {
        const { ratio, slack } = this.#options;
        const slackShare = slack * SLACK_MARGIN / Math.max(1, instances);
        const allowed = ratio * RATIO_MARGIN * this.#requests.countEvents(now) + slackShare;
        if (this.#retries.countEvents(now) + 1 > allowed) {
            return false;
        }
        this.#retries.addEvent(now);
        return true;
    }
}

/** Options of a {@linkcode ColdRateShare}. */
export interface ColdRateShareOptions {
    /** Factor by which all instances together may exceed the request rate of a cold target. */
    overage: number;
    /** Requests per second that all instances together may send in addition. */
    slack: number;
}

/** Length of the window in which requests to a cold target are counted: a second and some margin. */
const COLD_WINDOW_MILLISECONDS = 1250;
/** Share of the limit that is used; the rest is a safety margin. */
const COLD_MARGIN = 0.8;
/** Window for which the limit holds; its requests come from turns that start in it or up to one turn length before. */
const TURN_WINDOW_MILLISECONDS = 1000;
/** Length of an instance's turn, in which it may send one request. */
const TURN_LENGTH_MILLISECONDS = 200;

/** Input of {@linkcode ColdRateShare.isUsedUp}. */
export interface ColdRateInput extends SharePosition {
    /** Time on the monotonic clock, in milliseconds. */
    now: number;
    /** Unix time in milliseconds; the instances' clocks agree except for small errors. */
    wallTime: number;
    /** Requests per second that the target accepts while it is cold; 0 for no limit. */
    ratePerSecond: number;
}

/** One instance's share of the request rate of cold targets, which accept a limited rate only. */
export class ColdRateShare {
    #options: ColdRateShareOptions;
    readonly #sends: RecentSends;
    readonly #coldUntil = new Map<string, number>();

    /**
     * @param options Options of the share.
     * @param sends Requests that this instance has sent.
     */
    constructor(options: ColdRateShareOptions, sends: RecentSends) {
        this.#options = options;
        this.#sends = sends;
    }

    /** Replaces the options. */
    setOptions(options: ColdRateShareOptions): void {
        this.#options = options;
    }

    /** Records for how long a target will still be cold. */
    markCold(target: string, state: { now: number; milliseconds: number; }): void {
        if (state.milliseconds > 0) {
            this.#coldUntil.set(target, Math.max(this.#coldUntil.get(target) ?? 0, state.now + state.milliseconds));
        }
    }

    /** Checks whether a target is cold. */
    isCold(target: string, now: number): boolean {
        return (this.#coldUntil.get(target) ?? 0) > now;
    }

    /** Checks whether a target is cold and this instance's share of its request rate is used up. */
    isUsedUp(target: string, input: ColdRateInput): boolean {
        const { now, ratePerSecond, instances } = input;
        if (ratePerSecond <= 0 || !this.isCold(target, now)) {
            return false;
        }
        const limit = (ratePerSecond * this.#options.overage + this.#options.slack) * COLD_MARGIN;
        const share = Math.floor(limit / Math.max(1, instances));
        if (share >= 1) {
            return this.#sends.listSince(target, now - COLD_WINDOW_MILLISECONDS).length >= share;
        }
        return !this.#hasTurn(target, { limit, input });
    }

    /**
     * Checks whether it is this instance's turn to send a request to a target. Instances take turns if the limit is less
     * than one request per instance and second.
     */
    #hasTurn(target: string, { limit, input }: { limit: number; input: ColdRateInput; }): boolean {
        const { now, wallTime, instances, rank } = input;
        const sinceOwnTurn = computeTimeSinceTurn({
            target,
            wallTime,
            cycleMilliseconds: computeTurnInterval(limit) * instances,
            instances,
            rank,
        });
        const lastSendAt = this.#sends.findLast(target) ?? Number.NEGATIVE_INFINITY;
        return sinceOwnTurn <= TURN_LENGTH_MILLISECONDS && now - lastSendAt > sinceOwnTurn;
    }

    /** Computes the time after which {@linkcode isUsedUp} no longer holds, in milliseconds; 0 if it does not hold. */
    computeDelay(target: string, input: ColdRateInput): number {
        const { now, wallTime, ratePerSecond, instances, rank } = input;
        if (!this.isUsedUp(target, input)) {
            return 0;
        }
        const untilWarm = (this.#coldUntil.get(target) ?? now) - now;
        const limit = (ratePerSecond * this.#options.overage + this.#options.slack) * COLD_MARGIN;
        if (limit >= Math.max(1, instances)) {
            const oldest = this.#sends.listSince(target, now - COLD_WINDOW_MILLISECONDS)[0] ?? now;
            return Math.min(untilWarm, Math.max(1, oldest + COLD_WINDOW_MILLISECONDS - now));
        }
        const cycleMilliseconds = computeTurnInterval(limit) * instances;
        const sinceOwnTurn = computeTimeSinceTurn({ target, wallTime, cycleMilliseconds, instances, rank });
        return Math.min(untilWarm, Math.max(1, cycleMilliseconds - sinceOwnTurn));
    }

    /** Removes the state of a target that no longer exists. */
    removeTarget(target: string): void {
        this.#coldUntil.delete(target);
    }
}

/** Computes the time between the turns of two instances that follow each other, in milliseconds. */
function computeTurnInterval(limit: number): number {
    return (TURN_WINDOW_MILLISECONDS + TURN_LENGTH_MILLISECONDS) / Math.max(1, Math.floor(limit));
}
