/**
 * Simulates requests of many instances to engines that have no room for all of them, in virtual time.
 *
 * Load pattern: long answers and short checks beyond what the KV caches of all engines hold, refused callers that return
 * when told to or at once, an account that sends more than others, and callers that shift to one zone.
 *
 * @module
 */
import {
    type AdmissionEntry,
    chooseLeastLoadedTarget,
    chooseRetryAfter,
    decideQueueAdmission,
    DigestRateLimiter,
    LoadTracker,
    type RequestLoad,
    type RequestOrigin,
    ServiceAdmission,
    type ServingTarget,
    type TargetCandidate,
    WaitingLine,
} from "../../core/serving/mod.ts";
import { createRandom, pickLogNormal, type Random } from "../fixtures/random.ts";

/** Options of {@linkcode simulateWaitingLines}. */
export interface WaitingLineSimulationOptions {
    /** Number of instances. Defaults to 24. */
    instances?: number;
    /** Requests that arrive, as a multiple of what the engines have room for. Defaults to 1.7. */
    overload?: number;
    /** True for the decision that serves the head of a queue alone. Defaults to false. */
    isFormer?: boolean;
    /** True if digests contain no statements on waiting and refused requests. Defaults to false. */
    areStatementsLost?: boolean;
    /** Share of the requests that one account sends. Defaults to an equal one of 24. */
    largeAccountShare?: number;
    /** Share of the callers that return at once, three times, when they are refused. Defaults to 0. */
    hastyShare?: number;
    /** Share of the callers that are in the first of four zones. Defaults to 0.25. */
    zoneShare?: number;
    /** Measured time, in seconds. Defaults to 8. */
    seconds?: number;
    /** Time before it, and after it until callers have returned, in seconds. Defaults to 6 and 8. */
    marginSeconds?: readonly [before: number, after: number];
    /** Seed of the random numbers. Defaults to 1. */
    seed?: number;
}

/** Requests of one group, by how they ended. */
export interface GroupOutcome {
    /** Requests of different callers. */
    asked: number;
    /** Requests whose response started within the objective after the attempt that was served. */
    servedInTime: number;
}

/** Result of {@linkcode simulateWaitingLines}. */
export interface WaitingLineOutcome {
    /** Outcomes by group: all, kind, account size, patience and zone. */
    groups: Record<string, GroupOutcome>;
    /** Refused attempts, and those of them that were held for longer than an eighth of their objective. */
    refused: number;
    heldAndRefused: number;
    /** Size of the KV cache that was reserved on average, as a share of all. */
    usedShare: number;
}

/** A kind of request. */
const KINDS = {
    long: { priority: 0, promptTokens: 3000, outputTokens: 748, objective: 1800, deadline: 39_000 },
    check: { priority: 1, promptTokens: 2200, outputTokens: 8, objective: 1500, deadline: 6000 },
} as const;

interface Caller {
    id: number;
    kind: keyof typeof KINDS;
    account: string;
    groups: string[];
    isHasty: boolean;
    attempts: number;
    firstAskedAt: number;
    load: RequestLoad;
    zone: number;
}

interface Waiter extends AdmissionEntry {
    caller: Caller;
}

interface Instance {
    tracker: LoadTracker;
    limiter: DigestRateLimiter;
    admission: ServiceAdmission;
    line: WaitingLine<Waiter>;
    releases: number[];
    digestDueAt: number;
    wakeAt: number;
    wokenAt: number;
    zone: string;
}

interface Engine {
    target: ServingTarget;
    speed: number;
    prefillEndsAt: number;
    usedTokens: number;
    running: number;
}

const ENGINE = { slots: 24, memoryTokens: 26_900, tokensPerEvent: 4, copyMillisecondsPerToken: 0.055, canMove: true };
const ZONES = 4;
const ACCOUNTS = 24;
const ENGINES_PER_INSTANCE = 57 / 84;
/** Long answers per second for which one engine has room, from a mean duration of 9 s with a full batch. */
const LONG_PER_ENGINE = 0.75;
const PREFILL_TOKENS_PER_MILLISECOND = 14;
const STEP_MILLISECONDS = 5;
const DIGEST_MILLISECONDS = 3;
const HASTY_RETURNS = 3;
const MAX_ATTEMPTS = 6;
/** Interval at which the former decision tries to place the head, in milliseconds. */
const FORMER_POLL_MILLISECONDS = 10;
const DIGEST_WAKE_MILLISECONDS = 25;

/** Simulates one load; the same seed brings the same callers. */
export function simulateWaitingLines(options: WaitingLineSimulationOptions = {}): WaitingLineOutcome {
    return new Simulation(options).run();
}

class Simulation {
    readonly #options: Required<WaitingLineSimulationOptions>;
    readonly #random: Random;
    readonly #instances: Instance[];
    readonly #engines: Engine[];
    readonly #events = new Map<number, (() => void)[]>();
    readonly #outcome: WaitingLineOutcome = { groups: {}, refused: 0, heldAndRefused: 0, usedShare: 0 };
    #now = 0;
    #callers = 0;

    constructor(options: WaitingLineSimulationOptions) {
        this.#options = {
            instances: 24,
            overload: 1.7,
            isFormer: false,
            areStatementsLost: false,
            largeAccountShare: 1 / ACCOUNTS,
            hastyShare: 0,
            zoneShare: 1 / ZONES,
            seconds: 8,
            marginSeconds: [6, 8],
            seed: 1,
            ...options,
        };
        this.#random = createRandom(this.#options.seed);
        this.#instances = Array.from({ length: this.#options.instances }, (_, index) => this.#createInstance(index));
        const engines = Math.max(4, Math.round(this.#options.instances * ENGINES_PER_INSTANCE));
        this.#engines = Array.from({ length: engines }, (_, index) => ({
            target: createTarget(index),
            speed: 1 + this.#random(),
            prefillEndsAt: 0,
            usedTokens: 0,
            running: 0,
        }));
    }

    run(): WaitingLineOutcome {
        const end = this.#start + this.#options.seconds * 1000;
        const perStep = 2 * LONG_PER_ENGINE * this.#engines.length * this.#options.overload * STEP_MILLISECONDS / 1000;
        const measuredSteps = end / STEP_MILLISECONDS;
        for (; this.#now < end + 1000 * this.#options.marginSeconds[1]; this.#now += STEP_MILLISECONDS) {
            const arrivals = Math.floor(perStep + this.#random());
            for (let index = 0; index < arrivals; index += 1) {
                this.#startAttempt(this.#createCaller());
            }
            const due = this.#events.get(this.#now) ?? [];
            this.#events.delete(this.#now);
            due.forEach(run => run());
            this.#instances.forEach((instance, index) => this.#stepInstance(instance, index));
            this.#outcome.usedShare += this.#now >= end ? 0 : this.#engines.reduce(
                (sum, { usedTokens }) => sum + Math.min(1, usedTokens / ENGINE.memoryTokens),
                0,
            ) / this.#engines.length / measuredSteps;
        }
        return this.#outcome;
    }

    #createInstance(index: number): Instance {
        const admission = new ServiceAdmission(0);
        const instance: Instance = {
            tracker: new LoadTracker(),
            limiter: new DigestRateLimiter(),
            admission,
            line: this.#options.isFormer
                ? new WaitingLine<Waiter>({ isHeadOnly: true })
                : admission.line as WaitingLine<Waiter>,
            releases: [],
            digestDueAt: Infinity,
            wakeAt: Infinity,
            wokenAt: 0,
            zone: `zone-${index % ZONES}`,
        };
        const peers = this.#options.instances - 1;
        instance.tracker.onEngineLoadChange = reason => {
            const dueAt = instance.limiter.computeSendTime(reason, { now: this.#now, peers });
            instance.digestDueAt = Math.min(instance.digestDueAt, dueAt);
        };
        instance.tracker.onPeerLoadDecrease = () => {
            instance.wakeAt = Math.min(instance.wakeAt, instance.wokenAt + DIGEST_WAKE_MILLISECONDS);
        };
        return instance;
    }

    #createCaller(): Caller {
        const { largeAccountShare, hastyShare, zoneShare } = this.#options;
        const random = this.#random;
        const kind = random() < 0.5 ? "long" : "check";
        const isLarge = random() < largeAccountShare;
        const zone = random() < zoneShare ? 0 : 1 + Math.floor(random() * (ZONES - 1));
        const isHasty = random() < hastyShare;
        const { promptTokens, outputTokens } = KINDS[kind];
        const factor = Math.min(1.8, pickLogNormal(random, { median: 1, spread: 0.35 }));
        this.#callers += 1;
        return {
            id: this.#callers,
            kind,
            account: isLarge ? "large" : `small-${Math.floor(random() * (ACCOUNTS - 1))}`,
            groups: [
                "all",
                kind,
                isLarge ? "large account" : "small accounts",
                isHasty ? "hasty" : "patient",
                zone === 0 ? "first zone" : "other zones",
                ...kind === "long" && factor > 1.3 ? ["largest long"] : [],
            ],
            isHasty,
            attempts: 0,
            firstAskedAt: this.#now,
            load: { promptTokens: promptTokens * factor, outputTokens: kind === "long" ? outputTokens * factor : 8 },
            zone,
        };
    }

    #startAttempt(caller: Caller): void {
        const { instances: count, isFormer } = this.#options;
        caller.attempts += 1;
        if (caller.attempts === 1 && this.#isMeasured(caller)) {
            this.#countGroups(caller, "asked");
        }
        const position = Math.floor(this.#random() * Math.max(1, Math.floor(count / ZONES))) * ZONES + caller.zone;
        const instance = this.#instances[position % count];
        if (instance === undefined) {
            return;
        }
        const waiter = this.#buildWaiter(caller, instance);
        if (instance.line.length === 0 && this.#tryPlace(waiter, instance)) {
            return;
        }
        if (isFormer) {
            const decision = decideQueueAdmission({
                closure: undefined,
                waiting: instance.line.length,
                freedPerSecond: this.#countReleases(instance),
                objectiveMilliseconds: KINDS[caller.kind].objective,
                remainingMilliseconds: KINDS[caller.kind].deadline,
                random: this.#random,
            });
            if (decision.kind === "refuse") {
                this.#refuse(waiter, decision.retryAfterSeconds);
                return;
            }
            waiter.latestAt = this.#now + decision.milliseconds;
        }
        else {
            const fleet = this.#getFleetView(instance);
            const { reason } = instance.admission.decideAdmission(waiter, { closure: undefined, fleet });
            if (reason !== undefined) {
                this.#refuseByAdmission(waiter, instance);
                return;
            }
        }
        instance.line.add(waiter, this.#now);
        instance.wakeAt = this.#now;
    }

    #buildWaiter(caller: Caller, { admission, zone }: Instance): Waiter {
        const { priority, objective, deadline } = KINDS[caller.kind];
        const origin: RequestOrigin = {
            account: caller.account,
            kind: caller.kind,
            zone,
            session: undefined,
            getCaller: () => caller.id,
            returnKind: undefined,
        };
        const entry = admission.buildEntry({
            origin,
            priority,
            place: String(priority),
            size: caller.load.promptTokens + caller.load.outputTokens,
            objectiveMilliseconds: objective,
            remainingMilliseconds: deadline,
        }, this.#now);
        return { ...entry, caller };
    }

    #stepInstance(instance: Instance, index: number): void {
        const { instances: count, isFormer, areStatementsLost } = this.#options;
        if (instance.digestDueAt <= this.#now) {
            instance.digestDueAt = Infinity;
            instance.limiter.recordSend({ now: this.#now, peers: count - 1 });
            const digest = { work: instance.tracker.getDigest(), receivedAt: this.#now };
            const statement = isFormer || areStatementsLost ? undefined : instance.admission.takeStatement(this.#now);
            this.#schedule(DIGEST_MILLISECONDS, () => {
                for (const other of this.#instances) {
                    if (other !== instance) {
                        other.tracker.applyDigest(String(index), digest);
                        if (statement !== undefined) {
                            other.admission.applyStatement(String(index), statement, this.#now);
                        }
                    }
                }
            });
        }
        const isPolled = isFormer && this.#now % FORMER_POLL_MILLISECONDS === 0;
        const check = instance.line.findNextCheck() ?? Infinity;
        if (instance.line.length > 0 && (isFormer ? isPolled : Math.min(instance.wakeAt, check) <= this.#now)) {
            this.#stepLine(instance);
        }
    }

    #stepLine(instance: Instance): void {
        const { isFormer, random = this.#random } = { ...this.#options, random: this.#random };
        instance.wakeAt = Infinity;
        instance.wokenAt = this.#now;
        const refused = instance.line.step({
            now: this.#now,
            tryPlace: waiter => this.#tryPlace(waiter, instance),
            estimateWait: isFormer
                ? () => undefined
                : instance.admission.createWaitEstimate(this.#getFleetView(instance)),
        });
        for (const { entry } of refused) {
            if (!isFormer) {
                this.#refuseByAdmission(entry, instance);
                continue;
            }
            const expectedMilliseconds = 1000 / Math.max(1, this.#countReleases(instance));
            const remainingMilliseconds = entry.deadline - this.#now;
            const input = { closure: undefined, expectedMilliseconds, remainingMilliseconds, random };
            this.#refuse(entry, chooseRetryAfter(input));
        }
    }

    #listCandidates({ tracker }: Instance): TargetCandidate[] {
        return this.#engines.map(({ target }) => ({
            target,
            load: tracker.computeTotalLoad(target.id, this.#now),
            penalty: 0,
            isLimited: false,
        }));
    }

    #getFleetView(instance: Instance): { now: number; instances: number; runningSize: number; targets: number; } {
        const runningSize = this.#listCandidates(instance).reduce((sum, { load }) => sum + load.tokens, 0);
        return { now: this.#now, instances: this.#options.instances, runningSize, targets: this.#engines.length };
    }

    #tryPlace(waiter: Waiter, instance: Instance): boolean {
        const { isFormer, instances } = this.#options;
        const { caller } = waiter;
        const headroom = isFormer || !instance.admission.isShort(this.#now) ? 0 : instance.admission.computeHeadroom(
            waiter,
            { fleet: this.#getFleetView(instance), random: this.#random },
        );
        const { promptTokens, outputTokens } = caller.load;
        const selection = chooseLeastLoadedTarget(this.#listCandidates(instance), {
            requestLoad: { promptTokens, outputTokens: outputTokens + headroom },
            engine: ENGINE,
            zone: "zone-0",
            instances,
            avoid: new Set(),
            random: this.#random,
        });
        const engine = this.#engines.find(({ target }) => selection.kind === "placed" && selection.target === target);
        if (engine === undefined) {
            return false;
        }
        instance.admission.recordPlaced(waiter, this.#now);
        this.#runRequest(waiter, { instance, engine });
        return true;
    }

    #runRequest(waiter: Waiter, { instance, engine }: { instance: Instance; engine: Engine; }): void {
        const { caller, size, enqueuedAt } = waiter;
        const startedAt = this.#now;
        const reservation = instance.tracker.addRequest(engine.target.id, caller.load);
        instance.admission.room.recordStart(size, startedAt);
        engine.usedTokens += size;
        engine.running += 1;
        // An engine whose KV cache is over-committed starts the newest requests only after others have ended.
        const excess = Math.max(0, engine.usedTokens - ENGINE.memoryTokens * 1.1) / ENGINE.memoryTokens;
        const prefill = caller.load.promptTokens / PREFILL_TOKENS_PER_MILLISECOND * engine.speed;
        engine.prefillEndsAt = Math.max(this.#now, engine.prefillEndsAt) + prefill;
        const first = engine.prefillEndsAt - this.#now + excess * 5000;
        const decode = caller.load.outputTokens * (7 + 0.12 * engine.running) * engine.speed;
        this.#schedule(first, () => {
            reservation.markResponseStarted();
            instance.admission.room.recordResponseTime(caller.kind, this.#now - startedAt);
            if (this.#now - enqueuedAt <= KINDS[caller.kind].objective && this.#isMeasured(caller)) {
                this.#countGroups(caller, "servedInTime");
            }
        });
        this.#schedule(first + decode, () => {
            reservation.release();
            instance.admission.room.recordRelease(size, { now: this.#now, hasResponded: true });
            instance.releases.push(this.#now);
            instance.wakeAt = this.#now;
            engine.usedTokens -= size;
            engine.running -= 1;
        });
    }

    #refuseByAdmission(waiter: Waiter, instance: Instance): void {
        const fleet = this.#getFleetView(instance);
        const random = this.#random;
        this.#refuse(waiter, instance.admission.recordRefusal(waiter, { closure: undefined, fleet, random }));
    }

    #refuse({ caller, enqueuedAt }: Waiter, retryAfterSeconds: number): void {
        const { objective, deadline } = KINDS[caller.kind];
        if (this.#isMeasured(caller)) {
            this.#outcome.refused += 1;
            this.#outcome.heldAndRefused += this.#now - enqueuedAt > objective / 8 + STEP_MILLISECONDS ? 1 : 0;
        }
        const isHastyReturn = caller.isHasty && caller.attempts <= HASTY_RETURNS;
        const delay = isHastyReturn ? 20 + 30 * this.#random() : 1000 * retryAfterSeconds;
        const maxAttempts = MAX_ATTEMPTS + (caller.isHasty ? HASTY_RETURNS : 0);
        if (caller.attempts < maxAttempts && this.#now + delay < caller.firstAskedAt + deadline) {
            this.#schedule(delay, () => this.#startAttempt(caller));
        }
    }

    /** Time at which the measurement starts. */
    get #start(): number {
        return 1000 * this.#options.marginSeconds[0];
    }

    #isMeasured({ firstAskedAt }: Caller): boolean {
        return firstAskedAt >= this.#start && firstAskedAt < this.#start + this.#options.seconds * 1000;
    }

    #countReleases({ releases }: Instance): number {
        while (releases[0] !== undefined && this.#now - releases[0] > 1000) {
            releases.shift();
        }
        return releases.length;
    }

    #countGroups({ groups }: Caller, field: keyof GroupOutcome): void {
        for (const group of groups) {
            const outcome = this.#outcome.groups[group] ??= { asked: 0, servedInTime: 0 };
            outcome[field] += 1;
        }
    }

    #schedule(milliseconds: number, run: () => void): void {
        const at = this.#now + Math.max(1, Math.ceil(milliseconds / STEP_MILLISECONDS)) * STEP_MILLISECONDS;
        const runs = this.#events.get(at);
        if (runs === undefined) {
            this.#events.set(at, [run]);
            return;
        }
        runs.push(run);
    }
}

function createTarget(index: number): ServingTarget {
    return {
        id: `engine-${index}`,
        service: "engines",
        address: "127.0.0.1:1",
        zone: "zone-0",
        slots: ENGINE.slots,
        isLeaving: false,
        coldMilliseconds: 0,
        startedAt: 1,
    };
}
