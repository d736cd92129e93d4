/**
 * Counts how often the requests of each account, kind, zone and size are served, over all instances.
 *
 * Load pattern: an overload in which some callers get nearly nothing: those of one zone, of a small account, or with
 * long prompts, because room for the others is found first. The counts decide the order only while there is no room.
 *
 * Counters decay, so that clocks of instances need not agree; peers state theirs in digests.
 *
 * @module
 */

/** Counters of one group of requests as instances tell each other of them: the group, requests asked for, and served. */
export type ToldShare = [group: string, asked: number, served: number];

interface ShareCounter {
    asked: number;
    served: number;
    updatedAt: number;
}

interface PeerShares {
    shares: readonly ToldShare[];
    receivedAt: number;
}

/** Time constant with which requests are forgotten, in milliseconds. */
const SHARE_TIME_CONSTANT_MILLISECONDS = 10_000;
/** Number of groups of each dimension that a digest contains: those with most requests. */
const MAX_TOLD_GROUPS = 8;
/** Number of groups that are counted; more of them push out the ones that have not been counted for longest. */
const MAX_GROUPS = 256;
/** Age of a peer's counters at which they no longer count: many of their intervals, since they are sent in need only. */
const PEER_LIFETIME_MILLISECONDS = 10_000;
/** Interval at which the counters of all instances are added up, in milliseconds; there may be hundreds of peers. */
const SUM_INTERVAL_MILLISECONDS = 500;
/** Requests added to both counts of a group, as served as often as all, so that few requests tell little. */
const PRIOR_REQUESTS = 4;
/**
 * Multiple of an equal part of all served requests above which an account gets no preference for being refused more
 * often than others: its own load is the reason.
 */
const LARGE_ACCOUNT_FACTOR = 2;
/** Prefix of the groups of accounts. */
const ACCOUNT_PREFIX = "a:";

/** Largest sizes of the classes by which requests are told apart, in tokens; the last class has no bound. */
const SIZE_CLASS_TOKENS = [1500, 3000, 4500, 6000];

/** Lists the groups that a request belongs to, one of each dimension. */
export function listShareGroups(
    request: { account: string; kind: string; zone: string; priority: number; size: number; },
): string[] {
    const { account, kind, zone, priority, size } = request;
    const sizeClass = SIZE_CLASS_TOKENS.filter(bound => size > bound).length;
    return [`${ACCOUNT_PREFIX}${account}`, `k:${kind}`, `z:${zone}`, `s:${kind}:${sizeClass}`, `p:${priority}`];
}

/** Shares of the groups of requests of one service. All times are on the monotonic clock in milliseconds. */
export class ServiceShares {
    readonly #own = new Map<string, ShareCounter>();
    readonly #peers = new Map<string, PeerShares>();
    #sums = new Map<string, { asked: number; served: number; }>();
    #total = { asked: 0, served: 0, count: 0 };
    #summedAt = Number.NEGATIVE_INFINITY;

    /** Counts a request that this instance has got. */
    recordAsked(groups: readonly string[], now: number): void {
        this.#add(groups, { asked: 1, served: 0, now });
    }

    /** Counts a request that this instance has sent to a target. */
    recordServed(groups: readonly string[], now: number): void {
        this.#add(groups, { asked: 0, served: 1, now });
    }

    /** Replaces what a peer has counted. */
    applyToldShares(peer: string, shares: readonly ToldShare[], now: number): void {
        this.#peers.set(peer, { shares, receivedAt: now });
    }

    /** Lists the counters for a digest: of each dimension the groups with most requests. */
    listTold(now: number): ToldShare[] {
        const told = [...this.#own].map(([group, counter]): ToldShare => {
            const factor = computeDecay(now - counter.updatedAt);
            return [group, formatCount(counter.asked * factor), formatCount(counter.served * factor)];
        }).filter(([, asked, served]) => asked + served > 0);
        const dimensions = new Map<string, ToldShare[]>();
        for (const share of told.sort((a, b) => b[1] - a[1])) {
            const dimension = share[0].slice(0, ACCOUNT_PREFIX.length);
            dimensions.set(dimension, [...dimensions.get(dimension) ?? [], share]);
        }
        return [...dimensions.values()].flatMap(shares => shares.slice(0, MAX_TOLD_GROUPS));
    }

    /**
     * Computes how often the least served group of a request has been served, relative to all requests: 1 if as often.
     */
    computeShare(groups: readonly string[], now: number): number {
        this.#updateSums(now);
        const all = this.#total;
        const overall = (all.served + 1) / (all.asked + 1);
        return Math.min(...groups.map(group => {
            const { asked, served } = this.#sums.get(group) ?? { asked: 0, served: 0 };
            const ratio = (served + PRIOR_REQUESTS * overall) / (asked + PRIOR_REQUESTS) / overall;
            const isLarge = group.startsWith(ACCOUNT_PREFIX) && served * all.count > LARGE_ACCOUNT_FACTOR * all.served;
            return isLarge ? Math.max(1, ratio) : ratio;
        }));
    }

    /** Computes how often the requests of a group are served, as a share of those asked for; 1 if there are none. */
    computeServedRatio(group: string, now: number): number {
        this.#updateSums(now);
        const { asked, served } = this.#sums.get(group) ?? { asked: 0, served: 0 };
        return asked <= 0 ? 1 : Math.min(1, served / asked);
    }

    #add(
        groups: readonly string[],
        { asked, served, now }: { asked: number; served: number; now: number; },
    ): void {
        for (const group of groups) {
            const counter = this.#own.get(group) ?? { asked: 0, served: 0, updatedAt: now };
            const factor = computeDecay(now - counter.updatedAt);
            this.#own.delete(group);
            this.#own.set(group, {
                asked: counter.asked * factor + asked,
                served: counter.served * factor + served,
                updatedAt: now,
            });
        }
        while (this.#own.size > MAX_GROUPS) {
            const [oldest] = this.#own.keys();
            this.#own.delete(oldest ?? "");
        }
    }

    #updateSums(now: number): void {
        if (now - this.#summedAt < SUM_INTERVAL_MILLISECONDS) {
            return;
        }
        this.#summedAt = now;
        this.#sums = new Map();
        for (const [group, { asked, served, updatedAt }] of this.#own) {
            this.#addToSum(group, { asked, served, factor: computeDecay(now - updatedAt) });
        }
        for (const [peer, { shares, receivedAt }] of this.#peers) {
            if (now - receivedAt > PEER_LIFETIME_MILLISECONDS) {
                this.#peers.delete(peer);
                continue;
            }
            const factor = computeDecay(now - receivedAt);
            shares.forEach(([group, asked, served]) => this.#addToSum(group, { asked, served, factor }));
        }
        this.#total = this.#sumAccounts();
    }

    #addToSum(group: string, { asked, served, factor }: { asked: number; served: number; factor: number; }): void {
        const sum = this.#sums.get(group);
        if (sum === undefined) {
            this.#sums.set(group, { asked: asked * factor, served: served * factor });
            return;
        }
        sum.asked += asked * factor;
        sum.served += served * factor;
    }

    #sumAccounts(): { asked: number; served: number; count: number; } {
        const total = { asked: 0, served: 0, count: 0 };
        for (const [group, { asked, served }] of this.#sums) {
            if (group.startsWith(ACCOUNT_PREFIX)) {
                total.asked += asked;
                total.served += served;
                total.count += 1;
            }
        }
        return total;
    }
}

function computeDecay(milliseconds: number): number {
    return Math.exp(-Math.max(0, milliseconds) / SHARE_TIME_CONSTANT_MILLISECONDS);
}

function formatCount(count: number): number {
    return Math.round(count * 10) / 10;
}
