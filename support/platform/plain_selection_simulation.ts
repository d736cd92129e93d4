/**
 * Simulates plain calls of many instances to a few targets, which refuse a call when they are full.
 *
 * Load pattern: no digest contains the load on the targets of a plain service, and each instance calls a target about
 * once a second only, while the targets' machines turn slower for moments.
 *
 * @module
 */
import {
    chooseLeastLoadedTarget,
    LoadTracker,
    type ServingTarget,
    type TargetCandidate,
    TargetHealth,
    TargetPace,
} from "../../core/serving/mod.ts";
import { createRandom, pickExponential, type Random } from "../fixtures/random.ts";

/** Options of {@linkcode simulatePlainSelection}. */
export interface PlainSelectionOptions {
    /** Number of instances. */
    instances: number;
    /** True if targets are selected by their stated load and pace. */
    isPaced: boolean;
    /** Calls per second. Defaults to 330, about two thirds of what the targets process. */
    callsPerSecond?: number;
    /** Simulated duration, in seconds. Defaults to 20. */
    seconds?: number;
    /** Seed of the random numbers. Defaults to 1. */
    seed?: number;
    /** Share of the digests that do not arrive. Defaults to 0. */
    lostShare?: number;
    /** Age that is added to each statement before an instance learns of it, in milliseconds. Defaults to 0. */
    delayMilliseconds?: number;
    /** Replaces the requests that targets state. Defaults to the true ones. */
    stateRequests?: (requests: number) => number;
}

/** Result of {@linkcode simulatePlainSelection}. */
export interface PlainSelectionOutcome {
    /** Number of calls. */
    calls: number;
    /** Calls that were answered within their latency objective. */
    timely: number;
    /** Refusals by targets. */
    refusals: number;
    /** Largest share of the calls that one target got. */
    largestShare: number;
    /** Entries on the load of targets in digests. */
    toldLoads: number;
}

interface SimulatedCall {
    instance: SimulatedInstance;
    arrivedAt: number;
    workMilliseconds: number;
    avoid: Set<string>;
}

interface SimulatedInstance {
    loadTracker: LoadTracker;
    targetPace: TargetPace;
    health: TargetHealth;
    digestDueAt: number;
}

const TARGET_COUNT = 4;
const SLOTS = 6;
/** Calls that wait at a target which has no slot left; it refuses further ones. */
const MAX_WAITING = 2;
const MAX_SENDS = 3;
const OBJECTIVE_MILLISECONDS = 125;
const TRANSIT_MILLISECONDS = 1;
const SLOW_PACE = 2.5;
const SLOW_MOMENT_MILLISECONDS = 600;
const USUAL_MOMENT_MILLISECONDS = 3400;
/** Interval of an instance's digests, which its load on engines causes, and the part of it that each peer adds. */
const DIGEST_MILLISECONDS = 50;
const DIGEST_MILLISECONDS_PER_PEER = 7;

/** A target whose machine turns slower for moments; the work that is left of its calls then takes longer. */
class SimulatedTarget {
    readonly target: ServingTarget;
    readonly running: { call: SimulatedCall; leftMilliseconds: number; release: () => void; }[] = [];
    #isSlow = false;
    #changesAt = 0;

    constructor(index: number) {
        this.target = {
            id: `target-${index}`,
            service: "stamps",
            address: "127.0.0.1:1",
            zone: "zone-a",
            slots: SLOTS,
            isLeaving: false,
            coldMilliseconds: 0,
            startedAt: 1,
        };
    }

    get pace(): number {
        return this.#isSlow ? SLOW_PACE : 1;
    }

    get isFull(): boolean {
        return this.running.length >= SLOTS + MAX_WAITING;
    }

    /** Runs a millisecond of work and returns the calls that it ends. */
    step(now: number, random: Random): SimulatedCall[] {
        if (now >= this.#changesAt) {
            this.#isSlow = this.#changesAt > 0 && !this.#isSlow;
            const mean = this.#isSlow ? SLOW_MOMENT_MILLISECONDS : pickExponential(random, USUAL_MOMENT_MILLISECONDS);
            this.#changesAt = now + mean;
        }
        for (const run of this.running.slice(0, SLOTS)) {
            run.leftMilliseconds -= 1 / this.pace;
        }
        const ended = this.running.filter(run => run.leftMilliseconds <= 0);
        for (const run of ended) {
            this.running.splice(this.running.indexOf(run), 1);
            run.release();
        }
        return ended.map(({ call }) => call);
    }
}

/** Simulates plain calls at a constant mean rate; a refused call is sent to the next target. */
export function simulatePlainSelection(options: PlainSelectionOptions): PlainSelectionOutcome {
    const { instances: count, isPaced, callsPerSecond = 330, seconds = 20, seed = 1, lostShare = 0 } = options;
    const { delayMilliseconds = 0, stateRequests = requests => requests } = options;
    const random = createRandom(seed);
    const machineRandom = createRandom(seed + 1000);
    const targets = Array.from({ length: TARGET_COUNT }, (_, index) => new SimulatedTarget(index));
    const spacing = DIGEST_MILLISECONDS + DIGEST_MILLISECONDS_PER_PEER * (count - 1);
    const instances = Array.from({ length: count }, (): SimulatedInstance => ({
        loadTracker: new LoadTracker(),
        targetPace: new TargetPace(),
        health: new TargetHealth(),
        digestDueAt: random() * spacing,
    }));
    const outcome = { calls: 0, timely: 0, refusals: 0, largestShare: 0, toldLoads: 0 };
    const sentTo = new Map<SimulatedTarget, number>();
    const events: { at: number; run: () => void; }[] = [];
    let now = 0;
    const schedule = (milliseconds: number, run: () => void): void => {
        events.push({ at: now + milliseconds, run });
    };
    const buildCandidate = (instance: SimulatedInstance, target: ServingTarget): TargetCandidate => ({
        target,
        load: instance.loadTracker.computeTotalLoad(target.id, now),
        penalty: instance.health.computePenalty(target.id, now),
        isLimited: false,
        pace: isPaced && instance.targetPace.isPaced(target.service)
            ? {
                ...instance.targetPace.getEstimate(target.id, now),
                stepFactor: 1,
                othersRequests: instance.targetPace.estimateOthersRequests(target, now),
            }
            : undefined,
    });
    const handleHead = (instance: SimulatedInstance, { target, running, pace }: SimulatedTarget): void => {
        const requests = stateRequests(running.length);
        const load = { running: Math.min(SLOTS, requests), waiting: Math.max(0, requests - SLOTS), slots: SLOTS, pace };
        schedule(TRANSIT_MILLISECONDS + delayMilliseconds, () => {
            const ownRequests = instance.loadTracker.computeOwnLoad(target.id).requests;
            instance.targetPace.recordStatedLoad(target, { ...load, ownRequests }, now - delayMilliseconds);
        });
    };
    const sendCall = (call: SimulatedCall): void => {
        const { instance, avoid } = call;
        const selection = chooseLeastLoadedTarget(targets.map(({ target }) => buildCandidate(instance, target)), {
            requestLoad: { promptTokens: 0, outputTokens: 0 },
            engine: undefined,
            zone: "zone-a",
            instances: count,
            avoid,
            random,
        });
        const chosen = targets.find(({ target }) => selection.kind === "placed" && selection.target === target);
        if (chosen === undefined || avoid.size >= MAX_SENDS) {
            return;
        }
        const { id } = chosen.target;
        const { release } = instance.loadTracker.addRequest(id, { promptTokens: 0, outputTokens: 0 });
        sentTo.set(chosen, (sentTo.get(chosen) ?? 0) + 1);
        schedule(TRANSIT_MILLISECONDS, () => {
            if (chosen.isFull) {
                outcome.refusals += 1;
                release();
                instance.health.recordFailure(id, { now });
                handleHead(instance, chosen);
                avoid.add(id);
                schedule(TRANSIT_MILLISECONDS, () => sendCall(call));
            }
            else {
                chosen.running.push({ call, leftMilliseconds: call.workMilliseconds, release });
            }
        });
    };
    for (; now < seconds * 1000; now += 1) {
        const due = events.filter(({ at }) => at <= now);
        events.splice(0, events.length, ...events.filter(({ at }) => at > now));
        due.forEach(({ run }) => run());
        for (const target of targets) {
            for (const call of target.step(now, machineRandom)) {
                outcome.timely += now - call.arrivedAt <= OBJECTIVE_MILLISECONDS ? 1 : 0;
                call.instance.health.recordSuccess(target.target.id, now);
                handleHead(call.instance, target);
            }
        }
        if (random() < callsPerSecond / 1000) {
            const instance = instances[Math.floor(random() * count)];
            if (instance !== undefined) {
                outcome.calls += 1;
                sendCall({ instance, arrivedAt: now, workMilliseconds: 20 + 40 * random(), avoid: new Set() });
            }
        }
        for (const instance of instances) {
            if (isPaced && instance.digestDueAt <= now) {
                instance.digestDueAt = now + spacing;
                const told = Object.entries(instance.targetPace.takeToldLoads(now, () => true) ?? {});
                outcome.toldLoads += told.length;
                schedule(2 * TRANSIT_MILLISECONDS, () => {
                    for (const other of instances) {
                        if (other !== instance && random() >= lostShare) {
                            for (const [id, entry] of told) {
                                const ownRequests = other.loadTracker.computeOwnLoad(id).requests;
                                const target = { id, service: "stamps", slots: SLOTS };
                                other.targetPace.applyToldLoad(target, entry, { now, ownRequests });
                            }
                        }
                    }
                });
            }
        }
    }
    const total = [...sentTo.values()].reduce((sum, calls) => sum + calls, 0);
    return { ...outcome, largestShare: Math.max(...sentTo.values()) / Math.max(1, total) };
}
