/**
 * Bounds the requests that targets refuse for want of room, for targets that fall over when they refuse too many.
 *
 * Load pattern: a burst beyond what the targets have room for. Each instance alone knows its own requests only, so that
 * all of them go on sending, and a target refuses more requests per second than it survives.
 *
 * A request has surely room while an instance has fewer outstanding requests at the target than its share of the slots, or
 * all together have fewer than the slots where they tell each other, and no instance has been refused there lately. Beyond
 * its share of the slots, instances share the number of refusals that the target states, as they share a limit on the
 * request rate. After a refusal, which they tell each other, each goes on at a part of its own recent rate, which grows
 * again.
 *
 * @module
 */
import { hashText } from "../hashing/mod.ts";
import type { RecentSends } from "./recent_sends.ts";
import type { TargetStart } from "./serving_types.ts";
import {
    type RateShareInput,
    type RateStatement,
    TargetRateLimits,
    type ToldRateStatement,
} from "./target_rate_limits.ts";

/** A statement about refusals as instances tell it to each other, with the latest refusal. */
export interface ToldRefusalStatement extends ToldRateStatement {
    /** Time since the latest refusal that the teller knows of, in milliseconds; absent if there was none lately. */
    refusedAgoMilliseconds?: number | undefined;
}

/** Input of {@linkcode TargetRefusalLimits.computeDelay}. */
export interface RefusalDelayInput extends RateShareInput {
    /** Requests that this instance has outstanding at the target. */
    ownRequests: number;
    /** Requests that all instances have outstanding there; `undefined` if peers do not tell theirs. */
    totalRequests?: number | undefined;
    /** Requests that the target processes at the same time. */
    slots: number;
}

/** Window in which a target counts its refusals: turns end long before the next one begins. */
const REFUSAL_WINDOW = { milliseconds: 1000, excessShare: 0, excessRequests: 0.5, maxOpenCycleMilliseconds: 1000 };
/** Share of the bound that is used; the rest is for refusals that other instances do not know of yet. */
const REFUSAL_MARGIN = 0.5;
/** Window in which the requests before a refusal are counted, in milliseconds. */
const RECENT_MILLISECONDS = 4000;
/** Share of this instance's recent request rate that it goes on sending after a refusal. */
const REDUCED_SHARE = 0.8;
/** Latest sends that are held against the rate together, so that requests at irregular times use it. */
const COUNTED_SENDS = 3;
/** Growth of the rate in a second, as a share of what it was after the refusal. */
const GROWTH_PER_SECOND = 0.6;
/** Time for which further refusals count as the same one: they answer requests sent before it was known. */
const SAME_REFUSAL_MILLISECONDS = 300;
/** Time after a refusal from which the target is taken to have room again, in milliseconds. */
const RECOVERY_MILLISECONDS = 6000;

/** Latest refusal by a target, on the monotonic clock in milliseconds, and what this instance had sent before. */
interface KnownRefusal {
    refusedAt: number;
    /** Requests per second that this instance sends after it. */
    reducedRate: number;
}

/** Keeps the bound and the latest refusal of each target that states one, and computes this instance's share. */
export class TargetRefusalLimits {
    readonly #bounds: TargetRateLimits;
    readonly #sends: RecentSends;
    readonly #refusals = new Map<string, KnownRefusal>();

    /** @param sends Requests that this instance has sent. */
    constructor(sends: RecentSends) {
        this.#sends = sends;
        this.#bounds = new TargetRateLimits(sends, REFUSAL_WINDOW);
    }

    /** Records what a target has stated to this instance; returns true if its bound has changed. */
    recordStatement(target: TargetStart, statement: RateStatement): boolean {
        return this.#bounds.recordStatement(target, statement);
    }

    /**
     * Records that a target has refused a request for want of room.
     *
     * @returns True if peers need to know: the target states a bound.
     */
    recordRefusal(id: string, now: number): boolean {
        if (this.#bounds.findLimit(id) === undefined) {
            return false;
        }
        this.#adoptRefusal(id, { refusedAt: now, now });
        return true;
    }

    /** Merges a statement that a peer tells of; returns true if the target's bound has changed. */
    applyToldStatement(told: ToldRefusalStatement, now: number): boolean {
        const hasChanged = this.#bounds.applyToldStatement(told, now);
        if (told.refusedAgoMilliseconds !== undefined) {
            this.#adoptRefusal(told.id, { refusedAt: now - told.refusedAgoMilliseconds, now });
        }
        return hasChanged;
    }

    /** Lists the statements that the other instances need to know, those with a late refusal included. */
    listTold(now: number): ToldRefusalStatement[] {
        const refused = [...this.#refusals].filter(([, { refusedAt }]) => now - refusedAt <= RECOVERY_MILLISECONDS);
        return this.#bounds.listTold(now, new Set(refused.map(([id]) => id))).map(told => {
            const refusal = this.#refusals.get(told.id);
            return refusal === undefined ? told : { ...told, refusedAgoMilliseconds: now - refusal.refusedAt };
        });
    }

    /** Lists the bounds that targets state, in refusals per second by target. */
    listLimits(): Record<string, number> {
        return this.#bounds.listLimits();
    }

    /** Finds the bound that a target states, in refusals per second; `undefined` if it states none. */
    findLimit(id: string): number | undefined {
        return this.#bounds.findLimit(id);
    }

    /**
     * Computes the time for which this instance has to wait until it may send a target a request beyond its share of the
     * slots; 0 if it may now, or uses less than this share.
     */
    computeDelay(id: string, input: RefusalDelayInput): number {
        const limit = this.findLimit(id);
        const { instances, ownRequests, slots, totalRequests = slots } = input;
        const hasRoom = totalRequests < slots || ownRequests < Math.max(1, Math.ceil(slots / instances));
        return limit === undefined || hasRoom
            ? 0
            : this.#bounds.computeDelay(id, { ...input, requestsPerSecond: limit * REFUSAL_MARGIN });
    }

    /**
     * Finds the time until this instance may send a request to a target that has refused one lately, in milliseconds; 0
     * if it may now, `undefined` if no refusal is known.
     */
    findCrowdedDelay(id: string, { now, instances, rank }: RateShareInput): number | undefined {
        const limit = this.findLimit(id);
        const refusal = this.#refusals.get(id);
        if (limit === undefined || refusal === undefined || now - refusal.refusedAt >= RECOVERY_MILLISECONDS) {
            return undefined;
        }
        const seconds = (now - refusal.refusedAt) / 1000;
        const ownRate = refusal.reducedRate * (1 + GROWTH_PER_SECOND * seconds)
            + limit * REFUSAL_MARGIN / instances * (1 + seconds);
        const interval = 1000 / ownRate;
        const phase = (rank + hashText(id)) % instances / instances;
        const countedSince = this.#sends.findLast(id, COUNTED_SENDS) ?? Number.NEGATIVE_INFINITY;
        return Math.max(0, countedSince + COUNTED_SENDS * interval - now, refusal.refusedAt + phase * interval - now);
    }

    /** Checks whether a target that states a bound has refused a request lately. */
    isCrowded(id: string, now: number): boolean {
        const { refusedAt } = this.#refusals.get(id) ?? { refusedAt: Number.NEGATIVE_INFINITY };
        return this.findLimit(id) !== undefined && now - refusedAt < RECOVERY_MILLISECONDS;
    }

    /** Removes the statement of a target that has restarted or no longer exists. */
    removeTarget(id: string): void {
        this.#bounds.removeTarget(id);
        this.#refusals.delete(id);
    }

    #adoptRefusal(id: string, { refusedAt, now }: { refusedAt: number; now: number; }): void {
        const known = this.#refusals.get(id);
        if (known === undefined || refusedAt - known.refusedAt > SAME_REFUSAL_MILLISECONDS) {
            const recent = this.#sends.listSince(id, now - RECENT_MILLISECONDS).length;
            this.#refusals.set(id, { refusedAt, reducedRate: REDUCED_SHARE * recent * 1000 / RECENT_MILLISECONDS });
        }
    }
}
