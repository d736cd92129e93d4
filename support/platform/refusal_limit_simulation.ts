/**
 * Simulates requests of many instances to targets that fall over when they refuse too many requests.
 *
 * Load pattern: for some seconds a service gets more requests than its targets have room for. Each of them processes
 * some requests at once and keeps a few more waiting; it refuses the others.
 *
 * @module
 */
import { RecentSends, TargetRefusalLimits } from "../../core/serving/mod.ts";
import { createRandom } from "../fixtures/random.ts";

/** Options of {@linkcode simulateRefusalLimits}. */
export interface RefusalLimitSimulationOptions {
    /** Number of instances. Defaults to 6. */
    instances?: number;
    /** Requests that arrive during the overload, as a share of what the targets process. Defaults to 1.5. */
    overload?: number;
    /** Refusals per second that a target survives. Defaults to 5. */
    refusalsPerSecond?: number;
    /** True if instances keep to the bound. Defaults to true. */
    isKept?: boolean;
    /** Seed of the random numbers. Defaults to 1. */
    seed?: number;
}

/** What happened at the targets. */
export interface RefusalLimitOutcome {
    /** Most refusals of one target in a second, as a share of what it survives. */
    peakShare: number;
    /** Requests that were processed during the overload, as a share of what the targets can process. */
    usedShare: number;
    /** Requests before the overload to which no target was open, as a share. */
    heldShare: number;
    /** Requests that arrive more than 4 seconds after the overload and to which no target was open, as a share. */
    heldLaterShare: number;
}

/** Length of a step, in milliseconds. */
const STEP_MILLISECONDS = 5;
/** Targets, and the requests that each processes at once and keeps waiting. */
const TARGETS = 4;
const SLOTS = 8;
const WAITING_ROOM = 4;
/** Time in which a target processes a request, in milliseconds. */
const SERVICE_MILLISECONDS = 100;
/** Time from a request to its arrival at a target and back, and from a change to the peers that are told of it. */
const NETWORK_MILLISECONDS = 5;
const DIGEST_MILLISECONDS = 40;
/** Requests outside the overload, as a share of what the targets process. */
const NORMAL_LOAD = 0.5;
/** Start and end of the overload, and of the simulation, in milliseconds. */
const OVERLOAD_START_MILLISECONDS = 4000;
const OVERLOAD_END_MILLISECONDS = 12_000;
const END_MILLISECONDS = 20_000;
/** Time after the overload from which requests have surely room, in milliseconds. */
const SETTLING_MILLISECONDS = 5000;

/** A request at a target; its end is unknown while it waits. */
interface SimulatedRequest {
    instance: number;
    endsAt: number;
    sentAt: number;
}

interface SimulatedInstance {
    limits: TargetRefusalLimits;
    sends: RecentSends;
    outstanding: number[];
    weight: number;
}

/** An event that reaches an instance, or its peers, later. */
interface DelayedEvent {
    at: number;
    run: (now: number) => void;
}

/** Simulates the requests and measures what the targets have refused and processed. */
export function simulateRefusalLimits(options: RefusalLimitSimulationOptions = {}): RefusalLimitOutcome {
    const { instances: count = 6, overload = 1.5, refusalsPerSecond = 5, isKept = true, seed = 1 } = options;
    const random = createRandom(seed);
    const instances = Array.from({ length: count }, (): SimulatedInstance => {
        const sends = new RecentSends();
        const limits = new TargetRefusalLimits(sends);
        return { sends, limits, outstanding: Array.from({ length: TARGETS }, () => 0), weight: 0.5 + random() };
    });
    const queues: SimulatedRequest[][] = Array.from({ length: TARGETS }, () => []);
    const refusals: number[][] = Array.from({ length: TARGETS }, () => []);
    const responses: DelayedEvent[] = [];
    const digests: DelayedEvent[] = [];
    const counts = { processed: 0, before: 0, heldBefore: 0, later: 0, heldLater: 0 };
    const capacityPerSecond = TARGETS * SLOTS * 1000 / SERVICE_MILLISECONDS;

    const announceNews = (from: SimulatedInstance, now: number): void => {
        const told = from.limits.listTold(now);
        digests.push({
            at: now + DIGEST_MILLISECONDS,
            run: at =>
                instances.forEach(instance =>
                    instance === from || told.forEach(statement =>
                        instance.limits.applyToldStatement({
                            ...statement,
                            ...statement.refusedAgoMilliseconds === undefined ? {} : {
                                refusedAgoMilliseconds: statement.refusedAgoMilliseconds + DIGEST_MILLISECONDS,
                            },
                        }, at)
                    )
                ),
        });
    };
    const answer = (request: SimulatedRequest, { target, now, isRefused, avoid }: {
        target: number;
        now: number;
        isRefused: boolean;
        avoid: ReadonlySet<number>;
    }): void => {
        responses.push({
            at: now + NETWORK_MILLISECONDS,
            run: at => {
                const instance = instances[request.instance];
                const id = `target-${target}`;
                if (instance === undefined) {
                    return;
                }
                instance.outstanding[target] = (instance.outstanding[target] ?? 0) - 1;
                const statement = { requestsPerSecond: refusalsPerSecond, sentAt: request.sentAt, heardAt: at };
                const isNew = instance.limits.recordStatement({ id, startedAt: 1 }, statement);
                if (isRefused ? instance.limits.recordRefusal(id, at) : isNew) {
                    announceNews(instance, at);
                }
                if (isRefused) {
                    send(request.instance, at, new Set([...avoid, target]));
                }
            },
        });
    };
    const send = (rank: number, now: number, avoid: ReadonlySet<number>): boolean => {
        const instance = instances[rank];
        if (instance === undefined) {
            return false;
        }
        const { limits, outstanding, sends } = instance;
        const share = { now, wallTime: now, instances: count, rank };
        const open = queues.map((_, target) => target).filter(target =>
            !avoid.has(target) && (!isKept || limits.computeDelay(`target-${target}`, {
                        ...share,
                        ownRequests: outstanding[target] ?? 0,
                        slots: SLOTS,
                    }) === 0)
        );
        const isRetryHeld = [...avoid].some(target => limits.isCrowded(`target-${target}`, now));
        const picked = open[Math.floor(random() * open.length)];
        const isHeld = isRetryHeld || (limits.findCrowdedDelay(`target-${picked}`, share) ?? 0) > 0;
        const target = isKept && isHeld ? undefined : picked;
        const queue = target === undefined ? undefined : queues[target];
        if (target === undefined || queue === undefined) {
            return false;
        }
        sends.recordSend(`target-${target}`, now);
        outstanding[target] = (outstanding[target] ?? 0) + 1;
        const request = { instance: rank, endsAt: Infinity, sentAt: now };
        if (queue.length >= SLOTS + WAITING_ROOM) {
            refusals[target]?.push(now);
            answer(request, { target, now: now + NETWORK_MILLISECONDS, isRefused: true, avoid });
        }
        else {
            queue.push(request);
        }
        return true;
    };

    for (let now = 0; now < END_MILLISECONDS; now += STEP_MILLISECONDS) {
        for (const events of [responses, digests]) {
            const due = events.filter(({ at }) => at <= now);
            events.splice(0, Infinity, ...events.filter(({ at }) => at > now));
            due.forEach(({ run }) => run(now));
        }
        const isOverload = now >= OVERLOAD_START_MILLISECONDS && now < OVERLOAD_END_MILLISECONDS;
        for (const [target, queue] of queues.entries()) {
            for (const request of queue.filter(({ endsAt }) => endsAt <= now)) {
                queue.splice(queue.indexOf(request), 1);
                counts.processed += isOverload ? 1 : 0;
                answer(request, { target, now, isRefused: false, avoid: new Set() });
            }
            for (const request of queue.slice(0, SLOTS)) {
                request.endsAt = Math.min(request.endsAt, now + SERVICE_MILLISECONDS);
            }
        }
        const stepRate = capacityPerSecond * (isOverload ? overload : NORMAL_LOAD) * STEP_MILLISECONDS / 1000 / count;
        for (const [rank, { weight }] of instances.entries()) {
            for (let arrivals = pickCount(stepRate * weight, random()); arrivals > 0; arrivals -= 1) {
                const isSent = send(rank, now, new Set());
                const isLater = now >= OVERLOAD_END_MILLISECONDS + SETTLING_MILLISECONDS;
                counts.before += now < OVERLOAD_START_MILLISECONDS ? 1 : 0;
                counts.heldBefore += now < OVERLOAD_START_MILLISECONDS && !isSent ? 1 : 0;
                counts.later += isLater ? 1 : 0;
                counts.heldLater += isLater && !isSent ? 1 : 0;
            }
        }
    }
    const overloadSeconds = (OVERLOAD_END_MILLISECONDS - OVERLOAD_START_MILLISECONDS) / 1000;
    const peak = Math.max(
        0,
        ...refusals.flatMap(times => times.map(end => times.filter(at => at > end - 1000 && at <= end).length)),
    );
    return {
        peakShare: peak / refusalsPerSecond,
        usedShare: counts.processed / (capacityPerSecond * overloadSeconds),
        heldShare: counts.heldBefore / counts.before,
        heldLaterShare: counts.heldLater / counts.later,
    };
}

/** Picks a whole number with the given mean: its two neighbours. */
function pickCount(mean: number, random: number): number {
    return Math.floor(mean) + (random < mean % 1 ? 1 : 0);
}
