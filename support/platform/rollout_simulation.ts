/**
 * Simulates a rollout over a whole fleet in virtual time: the decisions of each instance, the digests between them, and
 * the writer of the status. Targets answer with latencies that vary as those of real ones do.
 *
 * @module
 */
import {
    DigestRateLimiter,
    DigestReason,
    findWantedState,
    type RolloutReport,
    Rollouts,
    RolloutState,
    type ServingTarget,
} from "../../core/serving/mod.ts";
import { createRandom, pickExponential, type Random } from "../fixtures/random.ts";
import { EventQueue } from "../simulation/event_queue.ts";

/** How the new version behaves. */
export interface VersionBehaviour {
    /** Portion of its answers that are bad. Defaults to 0. */
    portion?: number;
    /** What its bad answers are. Defaults to `fail`. */
    kind?: "fail" | "slow";
    /** Time after the order from which there are bad answers, in milliseconds. Defaults to 0. */
    from?: number;
    /** Only route with bad answers. Defaults to all. */
    route?: string;
    /** Requests that run at a target from which its answers are bad. Defaults to 0. */
    load?: number;
}

/** Options of {@linkcode simulateRollout}. */
export interface RolloutSimulationOptions {
    /** Seed of the random numbers. */
    seed: number;
    /** Number of instances. Defaults to 65. */
    instances?: number;
    /** Service: `plain` has 4 targets and 90 requests a second, `pool` 42 engines and 51. */
    service: "plain" | "pool";
    /** Time limit of the order, in seconds. */
    seconds: number;
    /** How the new version behaves. Defaults to a good one. */
    behaviour?: VersionBehaviour;
    /** What happens meanwhile: a key of `SITUATIONS`. Defaults to nothing. */
    situation?: string;
    /** Number of targets of the new version. Defaults to that of the old one. */
    newTargets?: number;
    /** True if every request may go to any target, as without the decisions under test. Defaults to false. */
    isUnlimited?: boolean;
}

/** Result of {@linkcode simulateRollout}. */
export interface RolloutOutcome {
    /** State that the store shows at the time limit; `running` if none of the final ones. */
    state: RolloutState;
    /** Time of the final state after the order, in milliseconds. */
    endedAt: number;
    /** Requests of callers between the order and its time limit. */
    requests: number;
    /** Requests sent to the new version in that time. */
    sent: number;
    /** Time from the 50th bad answer to the latest request sent to the new version, in milliseconds; 0 if none was. */
    lateMilliseconds: number;
    /** Streams that were cut because they still ran at the old targets at completion. */
    cutStreams: number;
    /** Long streams that were started. */
    streams: number;
    /** Writes of the status. */
    writes: number;
}

interface SimulatedInstance {
    name: string;
    rollouts: Rollouts;
    weight: number;
    isAlive: boolean;
    /** Group of instances that reach each other. */
    group: number;
    reachesStore: boolean;
    heardAt: number[];
    limiter: DigestRateLimiter;
    digestDue: boolean;
    toldEnd: boolean;
    writing: boolean;
}

interface SimulatedTarget {
    target: ServingTarget;
    isNew: boolean;
    running: number;
    streams: number;
    factor: number;
    slowUntil: number;
    nextSlowAt: number;
}

interface Fleet {
    instances: SimulatedInstance[];
    createRollouts: () => Rollouts;
    isStoreDown: boolean;
}

/** Time of the order: the fleet has run for a while, so that digests have been exchanged. */
const ORDERED_AT = 2000;
/** Time after the order at which the targets of the new version are listed. */
const STARTUP_MILLISECONDS = 500;
/** Time for which the new targets stay listed after a rollback: longer than any request may still reach them. */
const AFTER_ROLLBACK_MILLISECONDS = 7000;
const STEP_MILLISECONDS = 50;
const UPDATE_MILLISECONDS = 100;
const DIGEST_MILLISECONDS = 500;
const DIGEST_PER_PEER_MILLISECONDS = 15;
const LINK_MILLISECONDS = 5;
const WRITE_MILLISECONDS = 20;
/** Portion of the answers with which the pace of their machine is known. */
const KNOWN_PACE_SHARE = 0.85;
const PLAIN_RATE = 90;
const LONG_RATE = 17;
const CHECK_RATE = 34;
const BOUNDS = { exposureShare: 0.1, exposureSlack: 50, rollbackMilliseconds: 5000 };

/** Functions that apply a situation at a time after the order, by its name. */
const SITUATIONS: Record<string, { at: number; apply: (fleet: Fleet) => void; }[]> = {
    "nothing else happens": [],
    "half of the instances are cut off from the others and the store": [{
        at: 3000,
        apply: ({ instances }) =>
            instances.forEach((instance, index) => {
                instance.group = index % 2;
                instance.reachesStore = index % 2 === 0;
            }),
    }],
    "every tenth instance is cut off from all others": [{
        at: 3000,
        apply: ({ instances }) =>
            instances.forEach((instance, index) => {
                if (index % 10 === 3) {
                    instance.group = index;
                    instance.reachesStore = false;
                }
            }),
    }],
    "no instance hears another": [{
        at: 3000,
        apply: ({ instances }) => instances.forEach((instance, index) => (instance.group = index)),
    }],
    "the first two instances die": [{
        at: 4000,
        apply: ({ instances }) => instances.slice(0, 2).forEach(instance => (instance.isAlive = false)),
    }],
    "all instances restart": [{
        at: 8000,
        apply: ({ instances, createRollouts }) => instances.forEach(instance => (instance.rollouts = createRollouts())),
    }],
    "the store is down for 6 s": [
        { at: 5000, apply: fleet => (fleet.isStoreDown = true) },
        { at: 11_000, apply: fleet => (fleet.isStoreDown = false) },
    ],
    "a few instances get most of the requests": [{
        at: 0,
        apply: ({ instances }) => instances.forEach((instance, index) => (instance.weight = index < 5 ? 10 : 0.3)),
    }],
};

/** Simulates a rollout. */
export function simulateRollout(options: RolloutSimulationOptions): RolloutOutcome {
    return new RolloutSimulation(options).run();
}

class RolloutSimulation {
    readonly #options: RolloutSimulationOptions;
    readonly #random: Random;
    readonly #events = new EventQueue();
    readonly #fleet: Fleet;
    readonly #targets: SimulatedTarget[];
    readonly #limitAt: number;
    #state: RolloutState = RolloutState.running;
    #revision = 1;
    #endedAt = 0;
    #requests = 0;
    #sent = 0;
    #streams = 0;
    #cutStreams = 0;
    #badAnswers = 0;
    #fiftiethAt = Infinity;
    #latestSentAt = 0;
    #writes = 0;
    #now = 0;

    constructor(options: RolloutSimulationOptions) {
        this.#options = options;
        this.#random = createRandom(options.seed);
        this.#limitAt = ORDERED_AT + options.seconds * 1000;
        const count = options.service === "plain" ? 4 : 42;
        this.#targets = Array.from({ length: count + (options.newTargets ?? count) }, (_, index) => ({
            target: createTarget(index, { isNew: index >= count, slots: options.service === "plain" ? 6 : 24 }),
            isNew: index >= count,
            running: 0,
            streams: 0,
            factor: options.service === "plain" ? 1 : 1 + this.#random(),
            slowUntil: 0,
            nextSlowAt: pickExponential(this.#random, 4000),
        }));
        const createRollouts = (): Rollouts => {
            const rollouts = new Rollouts({ bounds: BOUNDS, random: this.#random, now: this.#now });
            rollouts.applySnapshot(this.#buildSnapshot(), this.#now);
            return rollouts;
        };
        const instances = options.instances ?? 65;
        this.#fleet = {
            createRollouts,
            isStoreDown: false,
            instances: Array.from({ length: instances }, (_, index) => ({
                name: `instance-${index}`,
                rollouts: createRollouts(),
                weight: 1,
                isAlive: true,
                group: 0,
                reachesStore: true,
                heardAt: Array.from({ length: instances }, () => 0),
                limiter: new DigestRateLimiter(),
                digestDue: false,
                toldEnd: false,
                writing: false,
            })),
        };
    }

    run(): RolloutOutcome {
        this.#schedule(ORDERED_AT, () => this.#publishOrders(true));
        for (const { at, apply } of SITUATIONS[this.#options.situation ?? "nothing else happens"] ?? []) {
            this.#schedule(ORDERED_AT + at, () => apply(this.#fleet));
        }
        this.#scheduleArrivals();
        this.#fleet.instances.forEach(instance => {
            this.#schedule(this.#random() * STEP_MILLISECONDS, () => this.#stepInstance(instance, 0));
        });
        const end = this.#limitAt + 8000;
        for (let event = this.#events.takeEvent(end); event !== undefined; event = this.#events.takeEvent(end)) {
            this.#now = event.at;
            if (this.#state === RolloutState.rolledBack && this.#now > this.#endedAt + AFTER_ROLLBACK_MILLISECONDS) {
                break;
            }
            event.run();
        }
        return {
            state: this.#state,
            endedAt: this.#endedAt - ORDERED_AT,
            requests: this.#requests,
            sent: this.#sent,
            lateMilliseconds: Math.max(0, this.#latestSentAt - this.#fiftiethAt),
            cutStreams: this.#cutStreams,
            streams: this.#streams,
            writes: this.#writes,
        };
    }

    #schedule(at: number, run: () => void): void {
        this.#events.addEvent(at, run);
    }

    #buildSnapshot(): Parameters<Rollouts["applySnapshot"]>[0] {
        const order = {
            name: "service",
            revision: this.#revision,
            service: "service",
            softwareVersion: "v2",
            durationMilliseconds: this.#options.seconds * 1000,
            state: this.#state,
            ageMilliseconds: Math.max(0, this.#now - ORDERED_AT),
        };
        const isOrdered = this.#now >= ORDERED_AT;
        return { era: 1, revision: this.#revision, changeRevision: this.#revision, orders: isOrdered ? [order] : [] };
    }

    /** Sends the orders to the instances that reach the store, and through them to their group. */
    #publishOrders(isChanged: boolean): void {
        this.#revision += isChanged ? 1 : 0;
        const snapshot = this.#buildSnapshot();
        const watching = this.#fleet.instances.filter(({ isAlive, reachesStore }) => isAlive && reachesStore);
        const groups = new Set(watching.map(({ group }) => group));
        for (const instance of this.#fleet.instances) {
            if (groups.has(instance.group) && instance.isAlive) {
                this.#schedule(this.#now + LINK_MILLISECONDS, () => {
                    instance.rollouts.applySnapshot(snapshot, this.#now);
                });
            }
        }
    }

    #scheduleArrivals(): void {
        const rates: [route: string, rate: number][] = this.#options.service === "plain"
            ? [["lookup", PLAIN_RATE * 0.8], ["stamp", PLAIN_RATE * 0.2]]
            : [["long", LONG_RATE], ["check", CHECK_RATE]];
        for (const [route, rate] of rates) {
            const arrive = (): void => {
                this.#handleRequest(route);
                // Callers arrive in waves.
                const wave = 1 + 0.5 * Math.sin(this.#now / 3000);
                this.#schedule(this.#now + pickExponential(this.#random, 1000 / rate / wave), arrive);
            };
            this.#schedule(pickExponential(this.#random, 1000 / rate), arrive);
        }
    }

    #pickInstance(): SimulatedInstance | undefined {
        const alive = this.#fleet.instances.filter(({ isAlive }) => isAlive);
        let pick = this.#random() * alive.reduce((sum, { weight }) => sum + weight, 0);
        return alive.find(({ weight }) => (pick -= weight) < 0);
    }

    #handleRequest(route: string): void {
        const instance = this.#pickInstance();
        if (instance === undefined) {
            return;
        }
        const isTimed = this.#now >= ORDERED_AT && this.#now <= this.#limitAt;
        this.#requests += isTimed ? 1 : 0;
        this.#streams += isTimed && route === "long" ? 1 : 0;
        this.#sendAttempt(instance, { route, isFirst: true });
    }

    #listAvailable(): SimulatedTarget[] {
        const isOver = this.#state === RolloutState.completed;
        return this.#targets.filter(({ isNew }) =>
            this.#now >= ORDERED_AT + STARTUP_MILLISECONDS ? isNew || !isOver : !isNew
        );
    }

    #sendAttempt(instance: SimulatedInstance, { route, isFirst }: { route: string; isFirst: boolean; }): void {
        const available = this.#listAvailable();
        const input = {
            service: "service",
            route,
            isLong: route === "long",
            isFirst,
            isCounted: true,
            softwareVersion: undefined,
            now: this.#now,
        };
        const others = available.map(({ target }) => target);
        const choice = this.#options.isUnlimited === true
            ? undefined
            : instance.rollouts.chooseVersions(input, { others, baseline: "v1" });
        const preferred = available.filter(({ target }) => choice?.isPreferred?.(target) === true);
        const allowed = available.filter(({ target }) => choice?.isAllowed(target) ?? true);
        const candidates = preferred.length > 0 ? preferred : allowed;
        const picked = candidates.map(candidate => ({ candidate, load: candidate.running + this.#random() * 2 }))
            .sort((a, b) => a.load - b.load)[0]?.candidate;
        if (picked !== undefined) {
            this.#runAttempt(instance, { route, target: picked });
        }
    }

    #runAttempt(instance: SimulatedInstance, { route, target }: { route: string; target: SimulatedTarget; }): void {
        const { portion = 0, kind = "fail", from = 0, route: badRoute, load = 0 } = this.#options.behaviour ?? {};
        instance.rollouts.recordSend(route, target.target);
        if (target.isNew && this.#now <= this.#limitAt && this.#now >= ORDERED_AT) {
            this.#sent += 1;
        }
        if (target.isNew && this.#now >= ORDERED_AT) {
            this.#latestSentAt = this.#now;
        }
        const isBad = target.isNew && this.#now >= ORDERED_AT + from && target.running >= load
            && (badRoute === undefined || badRoute === route) && this.#random() < portion;
        target.running += 1;
        target.streams += route === "long" ? 1 : 0;
        const slow = isBad && kind === "slow" ? 4 : 1;
        const isFailed = isBad && kind === "fail";
        const machinePace = this.#findPace(target);
        const pace = machinePace * target.factor * slow;
        // The stated pace changes many times a second, so that it is not always that of the work.
        const statedPace = this.#random() < KNOWN_PACE_SHARE ? machinePace : 1;
        const first = pace * (route === "long"
            ? 250 + 500 * this.#random()
            : route === "check"
            ? 150 + 400 * this.#random()
            : 20 + 40 * this.#random());
        const total = isFailed || route !== "long" ? first : first + 187 * (32 + 16 * this.#random()) * target.factor;
        const record = { route, isNew: target.isNew };
        const tellIf = (isNews: boolean): void => {
            instance.digestDue ||= isNews;
        };
        this.#schedule(this.#now + first, () => {
            if (isBad && ++this.#badAnswers === 50) {
                this.#fiftiethAt = this.#now;
            }
            if (!isFailed) {
                tellIf(instance.rollouts.recordTime(target.target, { route, milliseconds: first / statedPace }));
            }
        });
        if (route === "long" && !isFailed) {
            const milliseconds = 16 * 40 * pace / statedPace;
            this.#schedule(
                this.#now + first + milliseconds,
                () =>
                    tellIf(
                        instance.rollouts.recordTime(target.target, { route: `${record.route} pace`, milliseconds }),
                    ),
            );
        }
        this.#schedule(this.#now + total, () => {
            target.running -= 1;
            target.streams -= route === "long" ? 1 : 0;
            const answer = isFailed ? "failed" : "answered";
            const end = { route, kind: answer, now: this.#now } as const;
            tellIf(instance.rollouts.recordEnd(target.target, end));
            if (isFailed && instance.isAlive) {
                this.#sendAttempt(instance, { route, isFirst: false });
            }
        });
    }

    /** Finds how long work takes on a target's machine: 15 % of the time two and a half times as long. */
    #findPace(target: SimulatedTarget): number {
        while (this.#now >= target.nextSlowAt) {
            target.slowUntil = target.nextSlowAt + 600;
            target.nextSlowAt = target.slowUntil + pickExponential(this.#random, 3400);
        }
        return this.#now < target.slowUntil ? 2.5 : 1;
    }

    #stepInstance(instance: SimulatedInstance, steps: number): void {
        this.#schedule(this.#now + STEP_MILLISECONDS, () => this.#stepInstance(instance, steps + 1));
        if (!instance.isAlive) {
            return;
        }
        if (steps % (UPDATE_MILLISECONDS / STEP_MILLISECONDS) === 0) {
            this.#updateInstance(instance);
        }
        const rollout = instance.rollouts.findRollout("service");
        const hasEnded = rollout?.end?.state === RolloutState.rolledBack;
        const peers = this.#fleet.instances.length - 1;
        const hasNews = instance.digestDue || hasEnded && !instance.toldEnd;
        const reason = hasNews ? DigestReason.loadIncreased : DigestReason.loadDecreased;
        const dueAt = instance.limiter.computeSendTime(reason, { now: this.#now, peers });
        const heartbeat = this.#isWatcher(instance) ? 300 : DIGEST_MILLISECONDS + DIGEST_PER_PEER_MILLISECONDS * peers;
        const isDue = hasNews && dueAt - this.#now < STEP_MILLISECONDS;
        const isOverdue = this.#now - instance.limiter.lastSentAt >= heartbeat;
        if (isOverdue || isDue) {
            instance.limiter.recordSend({ now: this.#now, peers });
            instance.digestDue = false;
            instance.toldEnd = hasEnded;
            this.#sendDigest(instance, structuredClone(instance.rollouts.listReports()));
        }
    }

    #isWatcher(instance: SimulatedInstance): boolean {
        const { instances, isStoreDown } = this.#fleet;
        const able = instances.filter(({ isAlive, reachesStore, group }) =>
            isAlive && reachesStore && group === instance.group
        );
        return !isStoreDown && able.indexOf(instance) < 2 && able.includes(instance);
    }

    #sendDigest(sender: SimulatedInstance, reports: readonly RolloutReport[]): void {
        const index = this.#fleet.instances.indexOf(sender);
        this.#schedule(this.#now + LINK_MILLISECONDS, () => {
            for (const receiver of this.#fleet.instances) {
                if (receiver !== sender && receiver.isAlive && receiver.group === sender.group) {
                    receiver.heardAt[index] = this.#now;
                    reports.forEach(report => receiver.rollouts.applyPeerReport(sender.name, report));
                }
            }
        });
    }

    #updateInstance(instance: SimulatedInstance): void {
        const { instances } = this.#fleet;
        const heard = instance.heardAt.filter(time => this.#now - time <= 2500).length;
        const available = this.#listAvailable().map(({ target }) => target);
        const oldRunning = this.#targets.filter(({ isNew }) => !isNew).reduce((sum, { running }) => sum + running, 0);
        const isConnected = heard * 2 >= instances.length - 1;
        instance.rollouts.update({
            now: this.#now,
            isConnected,
            findTargets: () => ({ available, cold: new Set(), countOldRunning: () => oldRunning }),
        });
        const rollout = instance.rollouts.findRollout("service");
        const wanted = rollout === undefined ? RolloutState.running : findWantedState(rollout);
        const isInformed = isConnected || rollout?.end !== undefined;
        const isFirst = this.#isWatcher(instance)
            && instances.find(other => other.group === instance.group && this.#isWatcher(other)) === instance;
        if (
            isInformed && wanted !== RolloutState.running && this.#state === RolloutState.running && isFirst
            && !instance.writing
        ) {
            instance.writing = true;
            this.#schedule(this.#now + WRITE_MILLISECONDS, () => this.#writeState(instance, wanted));
        }
    }

    #writeState(instance: SimulatedInstance, state: RolloutState): void {
        instance.writing = false;
        if (this.#state !== RolloutState.running || this.#fleet.isStoreDown || !instance.reachesStore) {
            return;
        }
        this.#writes += 1;
        this.#state = state;
        this.#endedAt = this.#now;
        this.#publishOrders(true);
        if (state === RolloutState.completed) {
            this.#cutStreams = this.#targets.filter(({ isNew }) => !isNew)
                .reduce((sum, { streams }) => sum + streams, 0);
        }
    }
}

function createTarget(index: number, { isNew, slots }: { isNew: boolean; slots: number; }): ServingTarget {
    return {
        id: `target-${index}`,
        service: "service",
        address: "192.0.2.1:80",
        zone: "zone-a",
        slots,
        isLeaving: false,
        coldMilliseconds: 0,
        startedAt: 1,
        softwareVersion: isNew ? "v2" : "v1",
    };
}
