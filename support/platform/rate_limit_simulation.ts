/**
 * Simulates requests of many instances to targets that limit their request rate.
 *
 * Load pattern: some of the targets of a service, or all, state for some seconds that they take fewer requests per second
 * from all instances together than they get.
 *
 * @module
 */
import { RecentSends, TargetRateLimits } from "../../core/serving/mod.ts";
import { createRandom, type Random } from "../fixtures/random.ts";

/** Options of {@linkcode simulateRateLimits}. */
export interface RateLimitSimulationOptions {
    /** Number of instances. Defaults to 6. */
    instances?: number;
    /** Requests per second that all instances get together. Defaults to 28. */
    requestsPerSecond?: number;
    /** Limits of the targets, in requests per second; `undefined` for a target without. Defaults to `[2.6, 4.2, undefined]`. */
    limits?: readonly (number | undefined)[];
    /** Time for which the targets state their limits, in seconds. Defaults to 20. */
    seconds?: number;
    /** True if instances tell each other of the statements. Defaults to true. */
    isTold?: boolean;
    /** True if instances keep to the limits. Defaults to true. */
    isKept?: boolean;
    /** Time after the first statement from which the limit holds, in milliseconds. Defaults to 3000. */
    contactMilliseconds?: number;
    /** Seed of the random numbers. Defaults to 1. */
    seed?: number;
}

/** What happened at one target. */
export interface RateLimitOutcome {
    /** Limit of the target, in requests per second. */
    limit: number;
    /**
     * Most requests in 4 seconds, as a share of one and a half times what the limit allows and 5 requests, from the contact
     * time after the first statement on.
     */
    peakShare: number;
    /** Requests from 6 seconds after the first statement on, as a share of what the limit allows. */
    usedShare: number;
    /** Time after the end of the limit in which the target got 5 requests per second again, in milliseconds. */
    recoveryMilliseconds: number;
}

/** An instance of the simulation. */
interface SimulatedInstance {
    limits: TargetRateLimits;
    sends: RecentSends;
    /** Share of the requests that the instance gets; the shares of all have a mean of 1. */
    weight: number;
}

interface SimulatedArrival {
    at: number;
    target: number;
    instance: number;
}

/** Length of a step, in milliseconds. */
const STEP_MILLISECONDS = 5;
/** Time before the first statement, and time that is simulated after the last one, in milliseconds. */
const WARM_UP_MILLISECONDS = 6000;
const RECOVERY_MILLISECONDS = 20_000;
/** Time from a request to its answer, and from a statement to the peers that are told of it, in milliseconds. */
const RESPONSE_MILLISECONDS = 30;
const DIGEST_MILLISECONDS = 40;
/** Length of the windows in which the limit holds, in milliseconds. */
const WINDOW_MILLISECONDS = 4000;
/** Time after the first statement from which the use of the limit is measured, in milliseconds. */
const SETTLED_MILLISECONDS = 6000;
/** Requests per second at which a target counts as used again. */
const RECOVERED_REQUESTS_PER_SECOND = 5;

/** Simulates the requests and measures, for each target with a limit, what it got. */
export function simulateRateLimits(options: RateLimitSimulationOptions = {}): RateLimitOutcome[] {
    const { limits = [2.6, 4.2, undefined], seconds = 20, contactMilliseconds = 3000 } = options;
    const arrivals = simulateArrivals({ ...options, limits, seconds });
    return limits.flatMap((limit, target) =>
        limit === undefined ? [] : [
            measureTarget(arrivals.filter(arrival => arrival.target === target).map(({ at }) => at), {
                limit,
                seconds,
                contactMilliseconds,
            }),
        ]
    );
}

function simulateArrivals(
    options: RateLimitSimulationOptions & { limits: readonly (number | undefined)[]; seconds: number; },
): SimulatedArrival[] {
    const { instances: count = 6, requestsPerSecond = 28, isTold = true, isKept = true, limits, seconds } = options;
    const random = createRandom(options.seed ?? 1);
    const instances = Array.from({ length: count }, () => createInstance(random));
    const limitEnd = WARM_UP_MILLISECONDS + seconds * 1000;
    const arrivals: SimulatedArrival[] = [];
    const pending: SimulatedArrival[] = [];
    const told: { at: number; from: number; }[] = [];
    const stepRate = requestsPerSecond / count * STEP_MILLISECONDS / 1000;
    for (let now = 0; now < limitEnd + RECOVERY_MILLISECONDS; now += STEP_MILLISECONDS) {
        while (pending[0] !== undefined && pending[0].at + RESPONSE_MILLISECONDS <= now) {
            const { at, target, instance } = pending.shift() ?? { at: 0, target: 0, instance: 0 };
            const isStating = at >= WARM_UP_MILLISECONDS && at < limitEnd;
            const hasChanged = instances[instance]?.limits.recordStatement(
                { id: `target-${target}`, startedAt: 1 },
                { requestsPerSecond: isStating ? limits[target] : undefined, sentAt: at, heardAt: now },
            );
            if (hasChanged === true) {
                told.push({ at: now + DIGEST_MILLISECONDS, from: instance });
            }
        }
        while (isTold && told[0] !== undefined && told[0].at <= now) {
            const { from } = told.shift() ?? { from: 0 };
            const statements = instances[from]?.limits.listTold(now) ?? [];
            instances.forEach((instance, index) =>
                index === from || statements.forEach(statement => instance.limits.applyToldStatement(statement, now))
            );
        }
        for (const [rank, { limits: known, sends, weight }] of instances.entries()) {
            if (random() >= stepRate * weight) {
                continue;
            }
            const share = { now, wallTime: now, instances: count, rank };
            const open = limits.map((_, target) => target).filter(target =>
                !isKept || known.computeDelay(`target-${target}`, share) === 0
            );
            const target = open[Math.floor(random() * open.length)];
            if (target !== undefined) {
                sends.recordSend(`target-${target}`, now);
                const arrival = { at: now, target, instance: rank };
                arrivals.push(arrival);
                pending.push(arrival);
            }
        }
    }
    return arrivals;
}

/** Creates an instance; instances get different shares of the requests. */
function createInstance(random: Random): SimulatedInstance {
    const sends = new RecentSends();
    return { sends, limits: new TargetRateLimits(sends), weight: 0.5 + random() };
}

function measureTarget(
    times: readonly number[],
    stated: { limit: number; seconds: number; contactMilliseconds: number; },
): RateLimitOutcome {
    const { limit, seconds, contactMilliseconds } = stated;
    const limitEnd = WARM_UP_MILLISECONDS + seconds * 1000;
    const countBetween = (start: number, end: number): number => times.filter(at => at > start && at <= end).length;
    const windowEnds = times.filter(at => at >= WARM_UP_MILLISECONDS + contactMilliseconds && at < limitEnd);
    const peak = Math.max(0, ...windowEnds.map(end => countBetween(end - WINDOW_MILLISECONDS, end)));
    const settledAt = WARM_UP_MILLISECONDS + SETTLED_MILLISECONDS;
    const recoveredAt = times.find(at =>
        at >= limitEnd && countBetween(at - 1000, at) >= RECOVERED_REQUESTS_PER_SECOND
    );
    return {
        limit,
        peakShare: peak / (1.5 * limit * WINDOW_MILLISECONDS / 1000 + 5),
        usedShare: countBetween(settledAt, limitEnd) / (limit * (limitEnd - settledAt) / 1000),
        recoveryMilliseconds: (recoveredAt ?? Infinity) - limitEnd,
    };
}
