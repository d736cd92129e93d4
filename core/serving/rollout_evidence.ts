/**
 * Counts the answers of the old and of the new version of a rollout, over all instances, and decides whether the new one
 * is bad.
 *
 * Load patterns: a new version fails or is several times slower in a part of its answers, from the beginning or later,
 * under load, or on one route only. Meanwhile targets of either version are slow for a moment, differ in speed by a factor
 * of two, or disappear with all their requests. Both versions are therefore compared route by route, in total and within
 * the latest seconds, and a lost connection counts once for each target and second.
 *
 * @module
 */

/** Counts of one version on one route; a tuple, since digests hold it. */
export type VersionCounts = [answers: number, failures: number, timed: number, slow: number, logSum: number];

/** Counts of one route: of the old version and of the new one. */
export type RouteCounts = [old: VersionCounts, fresh: VersionCounts];

/** What one instance has counted since the order. */
export interface RolloutTally {
    /** Requests of callers to the service. */
    requests: number;
    /** Those among them that ask for a long stream. */
    longRequests: number;
    /** Requests sent to the new version. */
    sent: number;
    /** Counts by route. */
    routes: Record<string, RouteCounts>;
}

/** Result of {@linkcode RolloutEvidence.decideVerdict}. */
export interface RolloutVerdict {
    /** True if the new version is bad. */
    isBad: boolean;
    /** Route on which it is bad and what is wrong; empty if it is not bad. */
    reason: string;
    /** Answers of the new version that are known. */
    answers: number;
    /** Failed and slow answers of the new version that are known. */
    badAnswers: number;
}

/** How an attempt at a target has ended. */
export type AnswerKind = "answered" | "failed" | "lost";

/** Multiple of the old version's mean from which an answer counts as slow; "several times slower" is 3 and more. */
const SLOW_FACTOR = 2.5;
/** Answers of the old version on a route from which its mean counts. */
const MIN_TIMED_ANSWERS = 20;
/** Probability below which counts as high as those of the new version are not taken for chance. */
const CHANCE = 1e-4;
/**
 * The same in the last check before completion, after which there is no way back: for failures, which good versions hardly
 * have, and for slow answers, which they have at times.
 */
const LAST_FAILURE_CHANCE = 1e-2;
const LAST_SLOW_CHANCE = 4e-3;
/** Bad answers below which a version is not bad, and the same in the last check. */
const MIN_BAD_ANSWERS = 3;
const LAST_MIN_BAD_ANSWERS = 2;
/** Lowest assumed share of failures, and of slow answers, of a version that is not bad. */
const MIN_FAILURE_SHARE = 0.004;
const MIN_SLOW_SHARE = 0.03;
/** Factor by which a good version may exceed the old one's share of bad answers: it runs on few targets. */
const TOLERANCE = 1.5;
/**
 * Number of slow answers that count as one: those of a target whose machine is slow for a moment come together, and only a
 * few targets of the new version get requests.
 */
const SLOW_CLUSTER = 1.5;
/** Interval at which totals are kept, and number of those kept: the period of the second comparison. */
const KEEP_INTERVAL_MILLISECONDS = 1000;
const KEPT_TOTALS = 8;
/** Number of kept totals over which the rates of requests are computed: callers arrive in waves of seconds. */
const RATE_TOTALS = 4;
/** Time within which further lost connections to a target do not count, in milliseconds. */
const LOSS_INTERVAL_MILLISECONDS = 1000;

/** Creates counts of which all are 0. */
export function createTally(): RolloutTally {
    return { requests: 0, longRequests: 0, sent: 0, routes: {} };
}

/** Counts answers and compares the two versions. */
export class RolloutEvidence {
    readonly #own = createTally();
    readonly #peers = new Map<string, RolloutTally>();
    readonly #lostAt = new Map<string, number>();
    #kept: { time: number; total: RolloutTally; }[] = [];
    /** Sum over all instances, with the counts of earlier starts of peers. */
    readonly #total = createTally();

    /** What this instance has counted. */
    get own(): Readonly<RolloutTally> {
        return this.#own;
    }

    /** Sum over all instances. */
    get total(): Readonly<RolloutTally> {
        return this.#total;
    }

    /** Records a caller's request. */
    recordRequest(isLong: boolean): void {
        for (const tally of [this.#own, this.#total]) {
            tally.requests += 1;
            tally.longRequests += isLong ? 1 : 0;
        }
    }

    /** Records a request sent to the new version. */
    recordSend(): void {
        this.#own.sent += 1;
        this.#total.sent += 1;
    }

    /** Records how an attempt has ended; returns whether it counts as a failure. */
    recordEnd(end: { route: string; target: string; isNew: boolean; kind: AnswerKind; now: number; }): boolean {
        const { route, target, isNew, kind, now } = end;
        if (kind === "lost") {
            const lostAt = this.#lostAt.get(target);
            if (lostAt !== undefined && now - lostAt < LOSS_INTERVAL_MILLISECONDS) {
                return false;
            }
            this.#lostAt.set(target, now);
        }
        this.#addCounts(route, { isNew, counts: [1, kind === "answered" ? 0 : 1, 0, 0, 0] });
        return kind !== "answered";
    }

    /** Records how long an answer, or a part of it, has taken; returns whether it was slow. */
    recordTime(answer: { route: string; isNew: boolean; milliseconds: number; }): boolean {
        const { route, isNew, milliseconds } = answer;
        const logarithm = Math.log(Math.max(1, milliseconds));
        const [, , known = 0, , logSum = 0] = this.total.routes[route]?.[0] ?? [];
        const isCompared = known >= MIN_TIMED_ANSWERS;
        const isSlow = isCompared && logarithm - logSum / known > Math.log(SLOW_FACTOR);
        if (!isNew || isCompared) {
            this.#addCounts(route, { isNew, counts: [0, 0, 1, isSlow ? 1 : 0, Number(logarithm.toFixed(2))] });
        }
        return isSlow;
    }

    /** Replaces what a peer has counted. A peer that has restarted counts from 0; its former counts are kept. */
    applyPeerTally(instance: string, tally: RolloutTally): void {
        const known = this.#peers.get(instance);
        if (known !== undefined && tally.requests >= known.requests) {
            addTally(this.#total, known, -1);
        }
        addTally(this.#total, tally, 1);
        this.#peers.set(instance, tally);
    }

    /** Computes the requests per millisecond of the latest seconds, of all and of those for long streams. */
    computeRates(now: number): { rate: number; longRate: number; } {
        const earlier = this.#kept.at(-RATE_TOTALS) ?? this.#kept[0];
        if (earlier === undefined || now <= earlier.time) {
            return { rate: 0, longRate: 0 };
        }
        const { requests, longRequests } = earlier.total;
        const elapsed = Math.max(KEEP_INTERVAL_MILLISECONDS, now - earlier.time);
        return {
            rate: (this.#total.requests - requests) / elapsed,
            longRate: (this.#total.longRequests - longRequests) / elapsed,
        };
    }

    /** Compares the two versions; `isLast` for the check before completion. Called several times a second. */
    decideVerdict(now: number, { isLast = false }: { isLast?: boolean; } = {}): RolloutVerdict {
        const { total } = this;
        const earliest = this.#kept[0]?.total ?? createTally();
        const latest = this.#kept.at(-1);
        if (latest === undefined || now - latest.time >= KEEP_INTERVAL_MILLISECONDS) {
            const copy = createTally();
            addTally(copy, total, 1);
            this.#kept = [...this.#kept, { time: now, total: copy }].slice(-KEPT_TOTALS);
        }
        const all = createRouteCounts();
        const allRecent = createRouteCounts();
        let reason = "";
        const check = (name: string, counts: RouteCounts): void => {
            const problem = findProblem(counts, isLast);
            reason ||= problem === undefined ? "" : `${name}: ${problem}`;
        };
        for (const [route, counts] of Object.entries(total.routes)) {
            const recent = computeIncrease(counts, earliest.routes[route]);
            [0 as const, 1 as const].forEach(version => {
                addCounts(all[version], counts[version], 1);
                addCounts(allRecent[version], recent[version], 1);
            });
            check(route, counts);
            check(`${route}, lately`, recent);
        }
        check("all routes", all);
        check("all routes, lately", allRecent);
        const [, [answers, failures, , slow]] = all;
        return { isBad: reason !== "", reason, answers, badAnswers: failures + slow };
    }

    #addCounts(route: string, { isNew, counts }: { isNew: boolean; counts: VersionCounts; }): void {
        for (const tally of [this.#own, this.#total]) {
            const sums = tally.routes[route] ??= createRouteCounts();
            addCounts(sums[isNew ? 1 : 0], counts, 1);
        }
    }
}

/** Computes the probability of `count` or more hits in `trials`, each with the probability `share`. */
export function computeTail(count: number, trials: number, share: number): number {
    if (count <= trials * share) {
        return 1;
    }
    let term = trials * Math.log1p(-share);
    let below = 0;
    for (let hits = 0; hits < count; hits += 1) {
        below += Math.exp(term);
        term += Math.log((trials - hits) / (hits + 1)) + Math.log(share / (1 - share));
    }
    return Math.max(0, 1 - below);
}

/** Finds out what is wrong with the new version on a route; `undefined` if nothing is shown to be. */
function findProblem([old, fresh]: RouteCounts, isLast: boolean): string | undefined {
    const [oldAnswers, oldFailures, oldTimed, oldSlow] = old;
    const [answers, failures, timed, slow] = fresh;
    const failureLimits = { isLast, minimum: MIN_FAILURE_SHARE, lastChance: LAST_FAILURE_CHANCE };
    if (isWorse([failures, answers], [oldFailures, oldAnswers], failureLimits)) {
        return `${failures} of ${answers} failed, ${oldFailures} of ${oldAnswers} at the old version`;
    }
    const clusters: Share = [Math.floor(slow / SLOW_CLUSTER), Math.ceil(timed / SLOW_CLUSTER)];
    return isWorse(clusters, [oldSlow, oldTimed], { isLast, minimum: MIN_SLOW_SHARE, lastChance: LAST_SLOW_CHANCE })
        ? `${slow} of ${timed} slow, ${oldSlow} of ${oldTimed} at the old version`
        : undefined;
}

type Share = readonly [count: number, trials: number];

function isWorse(
    [count, trials]: Share,
    [oldCount, oldTrials]: Share,
    { isLast, minimum, lastChance }: { isLast: boolean; minimum: number; lastChance: number; },
): boolean {
    if (count < (isLast ? LAST_MIN_BAD_ANSWERS : MIN_BAD_ANSWERS) || count > trials) {
        return false;
    }
    const share = Math.max(minimum, TOLERANCE * (oldCount + 0.5) / (oldTrials + 1));
    return share < 1 && computeTail(count, trials, share) < (isLast ? lastChance : CHANCE);
}

function createRouteCounts(): RouteCounts {
    return [[0, 0, 0, 0, 0], [0, 0, 0, 0, 0]];
}

/** Adds the counts of `tally` to `sum`, or subtracts them if `sign` is -1. */
function addTally(sum: RolloutTally, tally: Readonly<RolloutTally>, sign: 1 | -1): void {
    sum.requests += sign * tally.requests;
    sum.longRequests += sign * tally.longRequests;
    sum.sent += sign * tally.sent;
    for (const [route, [old, fresh]] of Object.entries(tally.routes)) {
        const sums = sum.routes[route] ??= createRouteCounts();
        addCounts(sums[0], old, sign);
        addCounts(sums[1], fresh, sign);
    }
}

function addCounts(sums: VersionCounts, counts: Readonly<VersionCounts>, sign: 1 | -1): void {
    counts.forEach((count, index) => {
        sums[index] = (sums[index] ?? 0) + sign * count;
    });
}

function computeIncrease(counts: RouteCounts, earlier: RouteCounts | undefined): RouteCounts {
    const subtract = (version: 0 | 1): VersionCounts =>
        counts[version].map((count, index) => Math.max(0, count - (earlier?.[version][index] ?? 0))) as VersionCounts;
    return [subtract(0), subtract(1)];
}
