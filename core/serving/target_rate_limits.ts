/**
 * Keeps the limits that targets state for their request rates, and divides each among all instances.
 *
 * Load pattern: an overloaded target states in its answers how many requests per second it takes from all instances
 * together, while every instance goes on sending it requests. The instances tell each other of such statements, so that
 * all of them keep to the limit after the first answer, and also learn of its end, which an instance alone would find out
 * late if its own share is one request in many seconds. Each instance sends its share in turns that are determined by
 * the clock, without a coordinator. What it has sent before it learnt of the limit counts too: the target has just
 * received more than it takes.
 *
 * @module
 */
import { computeTimeSinceTurn, type SharePosition } from "./instance_turns.ts";
import type { RecentSends } from "./recent_sends.ts";
import type { TargetStart } from "./serving_types.ts";

/** What a target states in an answer about the request rate that it accepts from all instances together. */
export interface RateStatement {
    /** Requests per second; `undefined` if the answer states no limit. */
    requestsPerSecond: number | undefined;
    /** Time at which the request was sent, on the monotonic clock in milliseconds. */
    sentAt: number;
    /** Time at which the answer arrived, on the same clock. */
    heardAt: number;
}

/** A statement as instances tell it to each other. */
export interface ToldRateStatement extends TargetStart {
    /** Requests per second; absent if the answer stated no limit. */
    requestsPerSecond?: number | undefined;
    /** Time since the request was sent, in milliseconds. */
    sentAgoMilliseconds: number;
    /** Time since the answer arrived, in milliseconds. */
    heardAgoMilliseconds: number;
}

/** Position of an instance among those that share a limit, at one time. */
export interface RateShareInput extends SharePosition {
    /** Time on the monotonic clock, in milliseconds. */
    now: number;
    /** Unix time in milliseconds; the instances' clocks agree except for small errors. */
    wallTime: number;
}

/** Input of {@linkcode TargetRateLimits.computeDelay}. */
export interface RateDelayInput extends RateShareInput {
    /** Limit that is divided, in requests per second. Defaults to the one that the target states. */
    requestsPerSecond?: number | undefined;
}

/** Latest statement of a target, and the start of the target that made it. */
interface KnownStatement extends RateStatement {
    startedAt: number;
    /** True if the target has made the statement to this instance. */
    isOwn: boolean;
}

/** Window in which a limit holds, and what a target takes beyond it for a moment. */
export interface RateWindow {
    /** Window in which the sends of an instance are counted, in milliseconds. */
    milliseconds: number;
    /**
     * What a target takes for a moment beyond its limit: this share of what the limit allows in a window, and some
     * requests. Instances that have their turns at different times may send their requests together within this bound.
     */
    excessShare: number;
    /** Requests that a target takes beyond this share. */
    excessRequests: number;
    /** Longest cycle in which an instance may send at any time: its share is at least one request in the window. */
    maxOpenCycleMilliseconds: number;
}

/** Window in which limits on all requests hold. */
const REQUEST_WINDOW: RateWindow = {
    milliseconds: 4000,
    excessShare: 0.4,
    excessRequests: 3,
    maxOpenCycleMilliseconds: 0,
};
/** Shortest interval between the turns of an instance; a turn has several requests if the limit allows more. */
const MIN_TURN_INTERVAL_MILLISECONDS = 1000;
/** Rate of requests to a target that takes fewer or none: their answers show when the limit has ended. */
const MIN_REQUESTS_PER_SECOND = 0.25;
/** Time for which an instance tells of a statement, in milliseconds: some digests of a large fleet. */
const TELLING_MILLISECONDS = 6000;
/** Number of statements in a message, which bounds its size. */
const MAX_TOLD_STATEMENTS = 64;

/** Keeps the latest statement of each target that has stated a limit, and computes this instance's share. */
export class TargetRateLimits {
    readonly #statements = new Map<string, KnownStatement>();
    readonly #sends: RecentSends;
    readonly #window: RateWindow;

    /**
     * @param sends Requests that this instance has sent.
     * @param window Window in which the limits hold. Defaults to that of limits on all requests.
     */
    constructor(sends: RecentSends, window: RateWindow = REQUEST_WINDOW) {
        this.#sends = sends;
        this.#window = window;
    }

    /**
     * Records what a target has stated to this instance.
     *
     * An answer without a limit ends an earlier one only if its request was sent after that one was heard: answers on
     * different connections may overtake each other.
     *
     * @returns True if the target's limit has changed.
     */
    recordStatement(target: TargetStart, statement: RateStatement): boolean {
        return this.#adoptStatement(target, { ...statement, isOwn: true });
    }

    /**
     * Merges a statement that a peer tells of.
     *
     * @returns True if the target's limit has changed.
     */
    applyToldStatement(told: ToldRateStatement, now: number): boolean {
        return this.#adoptStatement(told, {
            requestsPerSecond: told.requestsPerSecond,
            sentAt: now - told.sentAgoMilliseconds,
            heardAt: now - told.heardAgoMilliseconds,
            isOwn: false,
        });
    }

    /**
     * Lists the statements that the other instances need to know, the latest first.
     *
     * @param news Targets of which this instance has more to tell than their statements, whoever has heard these.
     */
    listTold(now: number, news: ReadonlySet<string> = new Set()): ToldRateStatement[] {
        return [...this.#statements]
            .filter(([id, { isOwn, heardAt }]) => (isOwn || news.has(id)) && now - heardAt <= TELLING_MILLISECONDS)
            .sort(([, a], [, b]) => b.heardAt - a.heardAt)
            .slice(0, MAX_TOLD_STATEMENTS)
            .map(([id, { startedAt, requestsPerSecond, sentAt, heardAt }]) => ({
                id,
                startedAt,
                ...requestsPerSecond === undefined ? {} : { requestsPerSecond },
                sentAgoMilliseconds: now - sentAt,
                heardAgoMilliseconds: now - heardAt,
            }));
    }

    /** Finds the limit that a target states, in requests per second; `undefined` if it states none. */
    findLimit(id: string): number | undefined {
        return this.#statements.get(id)?.requestsPerSecond;
    }

    /** Lists the limits that targets state, in requests per second by target. */
    listLimits(): Record<string, number> {
        return Object.fromEntries(
            [...this.#statements].flatMap(([id, { requestsPerSecond }]) =>
                requestsPerSecond === undefined ? [] : [[id, requestsPerSecond]]
            ),
        );
    }

    /**
     * Computes the time for which this instance has to wait until it may send a target a request; 0 if it may now.
     */
    computeDelay(id: string, { requestsPerSecond = this.findLimit(id), ...input }: RateDelayInput): number {
        if (requestsPerSecond === undefined) {
            return 0;
        }
        const share = {
            ...input,
            target: id,
            requestsPerSecond: Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond),
            window: this.#window,
        };
        const recent = this.#sends.listSince(id, input.now - this.#window.milliseconds);
        return Math.max(computeWindowDelay(recent, share), computeTurnDelay(recent, share));
    }

    /** Removes the statement of a target that has restarted or no longer exists. */
    removeTarget(id: string): void {
        this.#statements.delete(id);
    }

    #adoptStatement({ id, startedAt }: TargetStart, statement: Omit<KnownStatement, "startedAt">): boolean {
        const known = this.#statements.get(id);
        const previous = known?.startedAt === startedAt ? known : undefined;
        const { requestsPerSecond, sentAt, heardAt } = statement;
        const isOutdated = requestsPerSecond === undefined
            ? previous?.requestsPerSecond === undefined || sentAt <= previous.heardAt
            : previous !== undefined && heardAt <= previous.heardAt;
        if (isOutdated) {
            return false;
        }
        this.#statements.set(id, { ...statement, startedAt });
        return previous?.requestsPerSecond !== requestsPerSecond;
    }
}

/** An instance's share of a target's limit, at one time. */
interface RateShare extends RateShareInput {
    target: string;
    requestsPerSecond: number;
    window: RateWindow;
}

/** Computes the time until the instance has sent less in the window than its share of the limit. */
function computeWindowDelay(
    recent: readonly number[],
    { now, instances, requestsPerSecond, window }: RateShare,
): number {
    const allowed = Math.max(1, Math.ceil(requestsPerSecond * window.milliseconds / 1000 / instances));
    const lastCounted = recent.at(-allowed);
    return lastCounted === undefined ? 0 : lastCounted + window.milliseconds - now;
}

/** Computes the time until the instance has a turn that it has not used up. */
function computeTurnDelay(recent: readonly number[], share: RateShare): number {
    const { now, instances, requestsPerSecond, window } = share;
    const millisecondsPerRequest = instances * 1000 / requestsPerSecond;
    const requestsPerTurn = Math.max(1, Math.floor(MIN_TURN_INTERVAL_MILLISECONDS / millisecondsPerRequest));
    const cycleMilliseconds = requestsPerTurn * millisecondsPerRequest;
    const sinceTurn = computeTimeSinceTurn({ ...share, cycleMilliseconds });
    const turnMilliseconds = cycleMilliseconds <= window.maxOpenCycleMilliseconds ? cycleMilliseconds : Math.min(
        window.milliseconds,
        window.milliseconds * window.excessShare + window.excessRequests * 1000 / requestsPerSecond,
    );
    const sentInTurn = recent.filter(time => time > now - sinceTurn).length;
    const hasTurn = sinceTurn <= turnMilliseconds && sentInTurn < requestsPerTurn;
    return hasTurn ? 0 : cycleMilliseconds - sinceTurn;
}
