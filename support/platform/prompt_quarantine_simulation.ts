/**
 * Simulates a fleet whose engines crash on prompts with a certain part, in virtual time.
 *
 * Load pattern: requests with that part arrive at any instance, no two alike, beside sound requests that share their
 * other parts. A crash ends all requests of the engine, which is back after some seconds. Instances learn of each
 * other's observations from digests, which they may send only at a limited rate.
 *
 * @module
 */
import { VirtualClock } from "../../core/clock/mod.ts";
import { DigestRateLimiter, DigestReason, type PartAttempt } from "../../core/serving/mod.ts";
import { DEFAULT_MACHINE, type InstanceSettings } from "../../platform/mod.ts";
import { ServingState } from "../../serving/mod.ts";
import { DecisionLog } from "../../telemetry/mod.ts";
import { createRandom, pickExponential, type Random } from "../fixtures/random.ts";

/** Options of {@linkcode simulatePromptQuarantine}. */
export interface PromptQuarantineSimulationOptions {
    /** Number of instances. */
    instances: number;
    /** Number of engines. */
    engines: number;
    /** Seed of the random numbers. */
    seed: number;
    /** Time with sound requests alone, in seconds. */
    soundSeconds: number;
    /** Time after that, in seconds. Defaults to 15. */
    seconds?: number;
    /** Requests with the part that crashes engines, per second of that time. Defaults to 2. */
    crashingRequestsPerSecond?: number;
    /** Crashes of a share of all engines at once, whatever they run; the first at the start of that time. */
    simultaneousCrashes?: { times: number; share: number; };
}

/** Result of {@linkcode simulatePromptQuarantine}. All times are in milliseconds. */
export interface PromptQuarantineOutcome {
    /** Times at which engines crashed. */
    crashes: number[];
    /** Times at which requests with the crashing part were sent to engines. */
    crashingArrivals: number[];
    /** The other requests. */
    soundRequests: { sentAt: number; isServedAtOnce: boolean; }[];
    /** The parts that each instance holds in quarantine at the end. */
    quarantinedParts: string[][];
    /** All parts that an instance has quarantined at some time. */
    everQuarantined: string[];
}

/** The part that crashes engines. */
export const CRASHING_PART = "crashing";

/** Sound requests per second and engine. */
const SOUND_REQUESTS_PER_ENGINE = 4;
/** Number of parts with which prompts begin, and of parts that follow in some prompts. */
const ACCOUNT_PARTS = 12;
const DOCUMENT_PARTS = 80;
/** Attempts at engines that a request may make. */
const MAX_ATTEMPTS = 2;
/** Times from the arrival at an engine to the head of its response, and from there to its crash. */
const HEAD_MILLISECONDS = { min: 5, max: 60 };
const CRASH_MILLISECONDS = { min: 30, max: 120 };
/** Time from the head to the end of a response. */
const RESPONSE_MILLISECONDS = { min: 300, max: 3000 };
/** Time from a crash until an instance has found that the engine has ended. */
const PROBE_MILLISECONDS = { min: 1, max: 20 };
/** Time from a crash until the engine is back. */
const RESTART_MILLISECONDS = { min: 2000, max: 4000 };
/** Time that a digest takes to reach a peer. */
const DIGEST_MILLISECONDS = { min: 1, max: 60 };
/** Interval between simultaneous crashes: all engines are back by then. */
const SIMULTANEOUS_CRASH_INTERVAL_MILLISECONDS = 4500;
/** Intervals of digests without news, as in the peer exchange. */
const MAINTENANCE_INTERVAL_MILLISECONDS = 100;
const KEEP_ALIVE_MILLISECONDS = 500;
const KEEP_ALIVE_PER_PEER_MILLISECONDS = 15;

interface SimulatedInstance {
    name: string;
    state: ServingState;
    rateLimiter: DigestRateLimiter;
    digestDueAt: number;
}

interface SimulatedEngine {
    id: string;
    startedAt: number;
    /** Time from which the engine accepts requests. */
    upAt: number;
    attempts: Set<Attempt>;
}

interface SimulatedRequest {
    instance: SimulatedInstance;
    parts: string[];
    sentAt: number;
    attempts: number;
    isCrashing: boolean;
    isServedAtOnce: boolean;
}

interface Attempt {
    request: SimulatedRequest;
    /** What the instance remembers of the attempt. */
    known: PartAttempt;
    headAt: number;
}

/** Simulates requests of which some crash engines. */
export function simulatePromptQuarantine(options: PromptQuarantineSimulationOptions): PromptQuarantineOutcome {
    return new PromptQuarantineSimulation(options).run();
}

class PromptQuarantineSimulation {
    readonly #options: PromptQuarantineSimulationOptions;
    readonly #random: Random;
    readonly #clock = new VirtualClock();
    readonly #actions = new Map<number, (() => void)[]>();
    readonly #instances: SimulatedInstance[];
    readonly #engines: SimulatedEngine[];
    readonly #soundRequests: SimulatedRequest[] = [];
    readonly #crashes: number[] = [];
    readonly #crashingArrivals: number[] = [];
    readonly #everQuarantined: string[] = [];

    constructor(options: PromptQuarantineSimulationOptions) {
        this.#options = options;
        this.#random = createRandom(options.seed);
        this.#instances = Array.from({ length: options.instances }, (_, index) => this.#createInstance(index));
        this.#engines = Array.from({ length: options.engines }, (_, index) => ({
            id: `engine-${index}`,
            startedAt: 0,
            upAt: 0,
            attempts: new Set<Attempt>(),
        }));
    }

    run(): PromptQuarantineOutcome {
        const { soundSeconds, seconds = 15, crashingRequestsPerSecond = 2, simultaneousCrashes } = this.#options;
        const endsAt = (soundSeconds + seconds) * 1000;
        const soundRate = SOUND_REQUESTS_PER_ENGINE * this.#engines.length;
        this.#scheduleRequests({ from: 0, endsAt, ratePerSecond: soundRate, isCrashing: false });
        this.#scheduleRequests({
            from: soundSeconds * 1000,
            endsAt,
            ratePerSecond: crashingRequestsPerSecond,
            isCrashing: true,
        });
        for (let index = 0; index < (simultaneousCrashes?.times ?? 0); index += 1) {
            const at = soundSeconds * 1000 + index * SIMULTANEOUS_CRASH_INTERVAL_MILLISECONDS;
            this.#schedule(at, () => this.#crashEngines(simultaneousCrashes?.share ?? 0));
        }
        for (let now = 0; now <= endsAt; now += 1) {
            this.#clock.setTime(now);
            if (now % MAINTENANCE_INTERVAL_MILLISECONDS === 0) {
                this.#instances.forEach(instance => this.#maintain(instance));
            }
            this.#actions.get(now)?.forEach(action => action());
            this.#actions.delete(now);
        }
        return {
            crashes: this.#crashes,
            crashingArrivals: this.#crashingArrivals,
            // A request that was sent shortly before the end may not have been answered yet.
            soundRequests: this.#soundRequests.filter(({ sentAt }) => sentAt < endsAt - RESPONSE_MILLISECONDS.max),
            quarantinedParts: this.#instances.map(({ state }) =>
                state.requestQuarantine.listQuarantined(this.#now).map(({ part }) => part)
            ),
            everQuarantined: [...new Set(this.#everQuarantined)],
        };
    }

    get #now(): number {
        return this.#clock.getMonotonic();
    }

    #schedule(at: number, action: () => void): void {
        const time = Math.max(this.#now + 1, Math.ceil(at));
        const actions = this.#actions.get(time) ?? [];
        actions.push(action);
        this.#actions.set(time, actions);
    }

    #pickDelay({ min, max }: { min: number; max: number; }): number {
        return min + this.#random() * (max - min);
    }

    #pickOne<Item>(items: readonly Item[]): Item | undefined {
        return items[Math.floor(this.#random() * items.length)];
    }

    #createInstance(index: number): SimulatedInstance {
        const name = `instance-${index}`;
        const log = new DecisionLog({
            name,
            clock: this.#clock,
            writeLine: line => {
                const { event, part } = JSON.parse(line) as { event: string; part?: string; };
                if (event === "prompt part quarantined") {
                    this.#everQuarantined.push(part ?? "");
                }
                return true;
            },
        });
        const state = new ServingState({ settings: buildSimulatedSettings(name), clock: this.#clock, log });
        const instance = { name, state, rateLimiter: new DigestRateLimiter(), digestDueAt: Infinity };
        state.loadTracker.onEngineLoadChange = reason => this.#scheduleDigest(instance, reason);
        return instance;
    }

    #maintain(instance: SimulatedInstance): void {
        const keepAlive = KEEP_ALIVE_MILLISECONDS + KEEP_ALIVE_PER_PEER_MILLISECONDS * (this.#instances.length - 1);
        if (this.#now - instance.rateLimiter.lastSentAt >= keepAlive) {
            this.#sendDigest(instance);
        }
    }

    #scheduleDigest(instance: SimulatedInstance, reason: DigestReason): void {
        const peers = this.#instances.length - 1;
        const due = Math.ceil(instance.rateLimiter.computeSendTime(reason, { now: this.#now, peers }));
        if (due < instance.digestDueAt) {
            instance.digestDueAt = due;
            this.#schedule(due, () => {
                if (instance.digestDueAt === due) {
                    this.#sendDigest(instance);
                }
            });
        }
    }

    #sendDigest(instance: SimulatedInstance): void {
        instance.digestDueAt = Infinity;
        instance.rateLimiter.recordSend({ now: this.#now, peers: this.#instances.length - 1 });
        const evidence = instance.state.requestQuarantine.getEvidence(this.#now);
        for (const { state } of this.#instances.filter(peer => peer !== instance)) {
            this.#schedule(this.#now + this.#pickDelay(DIGEST_MILLISECONDS), () => {
                state.applyCrashEvidence(instance.name, evidence);
            });
        }
    }

    #scheduleRequests(
        load: { from: number; endsAt: number; ratePerSecond: number; isCrashing: boolean; },
    ): void {
        const { endsAt, ratePerSecond, isCrashing } = load;
        if (ratePerSecond === 0) {
            return;
        }
        for (let at = load.from; at < endsAt; at += pickExponential(this.#random, 1000 / ratePerSecond)) {
            this.#schedule(at, () => this.#startRequest(isCrashing));
        }
    }

    #startRequest(isCrashing: boolean): void {
        const instance = this.#pickOne(this.#instances);
        if (instance === undefined) {
            return;
        }
        const request = {
            instance,
            parts: this.#pickParts(isCrashing),
            sentAt: this.#now,
            attempts: 0,
            isCrashing,
            isServedAtOnce: false,
        };
        if (!isCrashing) {
            this.#soundRequests.push(request);
        }
        this.#startAttempt(request);
    }

    /** Picks the parts of a prompt but the last; the part that crashes engines may be anywhere after the first. */
    #pickParts(isCrashing: boolean): string[] {
        // Squaring makes some parts far more frequent than others.
        const account = `account-${Math.floor(this.#random() ** 2 * ACCOUNT_PARTS)}`;
        const document = `document-${Math.floor(this.#random() ** 2 * DOCUMENT_PARTS)}`;
        const rest = this.#random() < 0.5 ? [document] : [];
        rest.splice(Math.floor(this.#random() * (rest.length + 1)), 0, ...isCrashing ? [CRASHING_PART] : []);
        return [account, ...rest];
    }

    #startAttempt(request: SimulatedRequest): void {
        const { instance, parts, isCrashing } = request;
        const engine = this.#pickOne(this.#engines.filter(({ upAt }) => upAt <= this.#now));
        if (engine === undefined || instance.state.findQuarantined(parts) !== undefined) {
            return;
        }
        request.attempts += 1;
        if (isCrashing) {
            this.#crashingArrivals.push(this.#now);
        }
        const headAt = this.#now + this.#pickDelay(HEAD_MILLISECONDS);
        const known = instance.state.requestQuarantine.startAttempt(parts, this.#now);
        const attempt = { request, known, headAt };
        engine.attempts.add(attempt);
        instance.state.loadTracker.onEngineLoadChange(DigestReason.loadIncreased);
        if (isCrashing) {
            this.#scheduleIfRunning(engine, attempt, headAt + this.#pickDelay(CRASH_MILLISECONDS), () => {
                this.#crashEngine(engine);
            });
            return;
        }
        this.#scheduleIfRunning(engine, attempt, headAt + this.#pickDelay(RESPONSE_MILLISECONDS), () => {
            engine.attempts.delete(attempt);
            request.isServedAtOnce = request.attempts === 1;
            known.endedAt = this.#now;
            instance.state.recordAnswered(parts, { sentAt: known.startedAt });
            instance.state.loadTracker.onEngineLoadChange(DigestReason.loadDecreased);
        });
    }

    #scheduleIfRunning(engine: SimulatedEngine, attempt: Attempt, at: number, action: () => void): void {
        this.#schedule(at, () => {
            if (engine.attempts.has(attempt)) {
                action();
            }
        });
    }

    #crashEngines(share: number): void {
        const up = this.#engines.filter(({ upAt }) => upAt <= this.#now);
        for (let count = Math.round(share * this.#engines.length); count > 0; count -= 1) {
            const [engine] = up.splice(Math.floor(this.#random() * up.length), 1);
            if (engine !== undefined) {
                this.#crashEngine(engine);
            }
        }
    }

    #crashEngine(engine: SimulatedEngine): void {
        const attempts = [...engine.attempts];
        const { startedAt } = engine;
        this.#crashes.push(this.#now);
        engine.attempts.clear();
        engine.startedAt = this.#now;
        engine.upAt = this.#now + this.#pickDelay(RESTART_MILLISECONDS);
        const endedAt = this.#now;
        for (const { request, headAt, known } of attempts) {
            known.endedAt = endedAt;
            const { instance: { state }, parts } = request;
            const hasHead = headAt <= endedAt;
            this.#schedule(endedAt + this.#pickDelay(PROBE_MILLISECONDS), () => {
                known.hasCrashed = true;
                const runMilliseconds = endedAt - known.startedAt;
                state.recordTargetCrash({ parts, target: engine.id, startedAt, runMilliseconds, endedAt });
                const mayRepeat = !hasHead || state.requestQuarantine.isVouchedFor(parts, this.#now);
                if (request.attempts < MAX_ATTEMPTS && mayRepeat) {
                    this.#startAttempt(request);
                }
            });
        }
    }
}

/** Builds settings whose addresses are not used. */
export function buildSimulatedSettings(instance: string): InstanceSettings {
    const address = { host: "127.0.0.1", port: 1 };
    return {
        instance,
        zone: "zone-a",
        callerAddress: address,
        readinessAddress: address,
        peerAddress: address,
        adminAddress: address,
        seedAddresses: [],
        storeAddress: address,
        stopGraceMilliseconds: 0,
        bounds: { retryRatio: 0, retryWindowMilliseconds: 0, retrySlack: 0, coldOverage: 1, coldSlack: 0 },
        machine: DEFAULT_MACHINE,
    };
}
