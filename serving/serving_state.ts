/**
 * State of one serving process: the configuration, targets and zones that it has received from the platform's store,
 * its peers and its targets, and the load and health of targets.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import {
    type CandidatePace,
    ColdRateShare,
    type CrashEvidence,
    DigestReason,
    EngineSpeeds,
    EvacuatedZones,
    type EventSample,
    getSoftwareVersion,
    type LineStatement,
    LoadTracker,
    PrefixCache,
    type PrefixPart,
    type QuarantinedPart,
    type RateShareInput,
    type RateStatement,
    RecentSends,
    type ReleasedPart,
    ReleaseReason,
    RequestQuarantine,
    RetryBudgetShare,
    type Rollout,
    type RolloutEvent,
    type RolloutReport,
    Rollouts,
    type RolloutSnapshot,
    type RolloutState,
    type RolloutTargets,
    RouteTable,
    ServiceAdmission,
    type ServiceDefinition,
    type ServingConfiguration,
    type ServingTarget,
    type SharePosition,
    SoftwareVersions,
    TargetBackpressure,
    type TargetCandidate,
    type TargetChange,
    type TargetCrash,
    TargetDirectory,
    TargetHealth,
    TargetPace,
    TargetPresence,
    TargetRateLimits,
    TargetRefusalLimits,
    type TargetSnapshot,
    type TargetStart,
    type ToldLoads,
    type ToldRateStatement,
    type ToldRefusalStatement,
    type ToldSpeeds,
    UNREACHABLE_WEIGHT,
    UnsettledEnds,
    type VersionChoice,
    type VersionChoiceInput,
    type ZoneSnapshot,
} from "../core/serving/mod.ts";
import type { InstanceSettings, TargetNotice } from "../platform/mod.ts";
import type { DecisionLog } from "../telemetry/mod.ts";
import { isFingerprint } from "./request_fingerprint.ts";

/** Options of a {@linkcode ServingState}. */
export interface ServingStateOptions {
    /** Settings of the instance. */
    settings: Pick<InstanceSettings, "bounds" | "rollout">;
    /** Source of time. */
    clock: Clock;
    /** Decision log. */
    log: DecisionLog;
    /** True if requests to paced services are admitted by what the whole fleet serves. Defaults to false. */
    isFleetAdmissionEnabled?: boolean | undefined;
    /** Random number generator that returns numbers from 0 (inclusive) to 1 (exclusive). Defaults to `Math.random`. */
    random?: () => number;
}

/** Changes to the list of targets between two revisions of the store, within one era. */
export interface TargetEvents {
    /** Era of the store; absent in messages of instances that do not know of eras, which counts as 0. */
    era?: number | undefined;
    /** Revision of the latest change before these changes. */
    from: number;
    /** Revision of the latest of these changes. */
    changeRevision: number;
    /** Revision of the store up to which the list is current once these changes are applied. */
    revision: number;
    /** Added and changed targets. */
    changed: ServingTarget[];
    /** Identifiers of removed targets. */
    removed: string[];
}

/** Update of the store that an instance has received and forwards to its peers. */
export interface StoreUpdate {
    /** Newer configuration. */
    configuration?: ServingConfiguration;
    /** Changes to the list of targets. */
    targets?: TargetEvents;
    /** Evacuated zones, if they changed. */
    zones?: ZoneSnapshot;
    /** Rollouts, if they changed. */
    rollouts?: RolloutSnapshot;
}

/**
 * Source of a change to the state: a watch of the store, a list read from the store, a target's own report, or a peer.
 *
 * A configuration from a list is not forwarded to peers: they may long have received it from other instances, while a
 * watch reports new changes.
 */
export type StateSource = "store" | "store list" | "target" | `peer ${string}`;

/** What an instance has learnt of the speed and load of targets, as it tells its peers. */
export interface PaceNotice {
    /** Durations of a step at engines. */
    speeds?: ToldSpeeds | undefined;
    /** Loads that targets of plain services have stated. */
    loads?: ToldLoads | undefined;
}

/** Age of a stated pace up to which it is that of the events that have just arrived, in milliseconds. */
const MAX_SAMPLE_PACE_AGE_MILLISECONDS = 300;
/** Number of instances assumed until it is known: slightly above the usual number. */
const DEFAULT_INSTANCE_COUNT = 10;
/** Time for which digests list a target after a failed connection to it, in milliseconds. */
const UNREACHABLE_RETENTION_MILLISECONDS = 2000;
/** Penalty of a target that is no longer listed but may reappear, in units of a full target's load. */
const MISSING_PENALTY = 0.5;
/** Penalty of a target that wants no requests from a peer, in units of a full target's load. */
const PAUSED_PENALTY = 0.4;
/** Share of a target's connections that is used; the rest covers connections that are being closed. */
const USABLE_CONNECTION_SHARE = 0.8;

/** Time after which digests tell of rollouts again although nothing has changed, in milliseconds: digests get lost. */
const REPORT_INTERVAL_MILLISECONDS = 2000;
/** Number of parts in the log line of a crash: the last ones, which fewest requests share. */
const MAX_LOGGED_PARTS = 12;

/** Names of a kind of limit in log lines. */
interface LimitNames {
    /** Field that holds the limit. */
    field: string;
    /** Event for a limit that a target has stated. */
    stated: string;
    /** Event for a limit that a target has ceased to state. */
    ended: string;
}

const RATE_LIMIT: LimitNames = {
    field: "requestsPerSecond",
    stated: "target limits requests",
    ended: "target limit ended",
};
const REFUSAL_LIMIT: LimitNames = {
    field: "refusalsPerSecond",
    stated: "target limits refusals",
    ended: "target refusal limit ended",
};

/** Keeps the state of a serving process and notifies listeners of changes to it. */
export class ServingState {
    /** List of targets. */
    readonly directory = new TargetDirectory();
    /** Load that the requests of all instances put on each target. */
    readonly loadTracker = new LoadTracker();
    /** Recent failures of each target. */
    readonly health = new TargetHealth();
    /** Pace at which each target works. */
    readonly targetPace = new TargetPace();
    /** Speed of each engine of the paced services. */
    readonly engineSpeeds = new EngineSpeeds();
    readonly #admissions = new Map<string, ServiceAdmission>();
    /** Parts of prompts that engines are believed to have cached. */
    readonly prefixCache = new PrefixCache();
    /** Targets that have asked this instance to send nothing for a time. */
    readonly backpressure = new TargetBackpressure();
    /** Requests that crash targets, and parts of prompts that crash engines. */
    readonly requestQuarantine = new RequestQuarantine();
    readonly #unsettledEnds = new UnsettledEnds();
    /** Attempts that were given up before their targets ended, if these did. */
    readonly #abandonedAttempts = new UnsettledEnds();
    /** Requests that this instance has sent. */
    readonly recentSends = new RecentSends();
    /** Limits that targets state for their request rates, and this instance's share of them. */
    readonly rateLimits = new TargetRateLimits(this.recentSends);
    /** Bounds that targets state for the requests that they refuse, and this instance's share of them. */
    readonly refusalLimits = new TargetRefusalLimits(this.recentSends);
    /** Software versions at which streams began. */
    readonly softwareVersions = new SoftwareVersions();
    /** This instance's share of the request rate of cold targets. */
    readonly coldRateShare: ColdRateShare;
    /** Orders to move services to other software versions; `undefined` where there are none. */
    readonly rollouts: Rollouts | undefined;
    #settings: Pick<InstanceSettings, "bounds">;
    /** Called with each change to a target. */
    readonly targetListeners: ((change: TargetChange) => void)[] = [];
    /**
     * Called with each update that this instance received from the store; the update is empty if peers need only the
     * new versions of this instance's state.
     */
    readonly storeUpdateListeners: ((update: StoreUpdate) => void)[] = [];
    /** Called when the store was restored from a copy, which may lack what this instance has written. */
    readonly restoreListeners: (() => void)[] = [];
    /** Called when a quarantine has begun. */
    readonly quarantineListeners = new Set<() => void>();
    readonly #options: ServingStateOptions;
    readonly #retryShares = new Map<string, RetryBudgetShare>();
    /** Time of the last failed connection, by target. */
    readonly #unreachable = new Map<string, number>();
    #table: RouteTable | undefined;
    readonly #zones = new EvacuatedZones();
    #isQuarantineListKnown = false;
    /** What the latest digest has told of rollouts. */
    #toldRollouts = { text: "", time: Number.NEGATIVE_INFINITY };
    #findPosition: () => SharePosition | undefined = () => undefined;

    constructor(options: ServingStateOptions) {
        this.#options = options;
        this.#settings = options.settings;
        const { coldOverage, coldSlack } = options.settings.bounds;
        this.coldRateShare = new ColdRateShare({ overage: coldOverage, slack: coldSlack }, this.recentSends);
        const { settings: { rollout: bounds }, random = Math.random } = options;
        this.rollouts = bounds === undefined ? undefined : new Rollouts({ bounds, random, now: this.#now() });
    }

    /** Routing table of the configuration; `undefined` until one has been received. */
    get table(): RouteTable | undefined {
        return this.#table;
    }

    /** Evacuated zones; `undefined` until they are known. */
    get zones(): ZoneSnapshot | undefined {
        return this.#zones.snapshot;
    }

    /** True once the store, or a peer that knows them, has listed the quarantined parts of prompts. */
    get isQuarantineListKnown(): boolean {
        return this.#isQuarantineListKnown;
    }

    /** Reason why requests cannot be served yet; empty if they can. */
    get unreadyReason(): string {
        if (this.#table === undefined) {
            return "no configuration yet";
        }
        if (!this.directory.isLoaded) {
            return "no list of targets yet";
        }
        return this.#zones.snapshot === undefined ? "no list of emptied zones yet" : "";
    }

    /** Number of instances that share the common limits. */
    get instances(): number {
        return this.#position.instances;
    }

    get #position(): SharePosition {
        return this.#findPosition() ?? { instances: DEFAULT_INSTANCE_COUNT, rank: 0 };
    }

    /** Sets the function that computes this instance's rank among all; it returns `undefined` while that is unknown. */
    setPositionFinder(findPosition: () => SharePosition | undefined): void {
        this.#findPosition = findPosition;
    }

    /** Applies the limits of changed settings. */
    applySettings(settings: InstanceSettings): void {
        const { coldOverage, coldSlack } = settings.bounds;
        this.#settings = settings;
        this.#retryShares.clear();
        this.coldRateShare.setOptions({ overage: coldOverage, slack: coldSlack });
    }

    /** Adopts a configuration if it is newer than the one in use; returns whether it did. */
    adoptConfiguration(configuration: ServingConfiguration, source: StateSource): boolean {
        const known = this.#table?.configuration.version ?? -1;
        if (configuration.version <= known) {
            return false;
        }
        this.#table = new RouteTable(configuration);
        this.#options.log.record("belief", "configuration adopted", {
            version: configuration.version,
            previous: known,
            source,
            routes: configuration.routes.length,
            accounts: configuration.accounts?.length ?? 0,
        });
        this.#publishUpdate({ configuration }, source);
        if (source === "store list") {
            this.#publishUpdate({}, "store");
        }
        return true;
    }

    /** Replaces the list of targets with a newer one. */
    applySnapshot(snapshot: TargetSnapshot, source: StateSource): void {
        const previousEra = this.directory.isLoaded ? this.directory.era : undefined;
        this.#publishChanges(this.directory.applySnapshot(snapshot, this.#now()), source);
        const { era, revision } = this.directory;
        if (previousEra !== undefined && era > previousEra) {
            this.#options.log.record("belief", "store restored from a copy", { era, previousEra, revision, source });
            this.#publishUpdate({}, source);
            this.restoreListeners.forEach(listener => listener());
        }
    }

    /** Applies changes to the list of targets. */
    applyEvents(events: TargetEvents, source: StateSource): void {
        if ((events.era ?? 0) !== this.directory.era) {
            return;
        }
        const changes = this.directory.applyEvents(events, this.#now());
        for (const target of events.changed) {
            this.#markCold(target);
        }
        this.#publishChanges(changes, source);
        if (events.changed.length > 0 || events.removed.length > 0) {
            this.#publishUpdate({ targets: events }, source);
        }
    }

    /** Marks one start of a target as leaving, as the target itself has reported to this instance or to a peer. */
    markLeaving(target: TargetStart, source: StateSource): void {
        const changes = this.directory.markLeaving(target, this.#now());
        this.#publishChanges(changes, source);
        if (changes.length > 0) {
            this.loadTracker.onEngineLoadChange(DigestReason.loadIncreased);
        }
    }

    /** Records the result of an attempt at a target; peers are informed of a target that accepted no connection. */
    recordAttempt(id: string, outcome: { hasFailed: boolean; isUnreachable: boolean; }): void {
        const now = this.#now();
        if (!outcome.hasFailed) {
            this.health.recordSuccess(id, now);
            this.#unreachable.delete(id);
            return;
        }
        // A target that has asked for a pause is to get its share of the requests again once the pause has ended;
        // one that has refused a request, and survives few refusals, gets this instance's share.
        if (this.backpressure.findPauseEnd(id, now) !== undefined || this.refusalLimits.isCrowded(id, now)) {
            return;
        }
        this.health.recordFailure(id, { now, weight: outcome.isUnreachable ? UNREACHABLE_WEIGHT : 1 });
        if (outcome.isUnreachable) {
            this.#unreachable.set(id, now);
            this.loadTracker.onEngineLoadChange(DigestReason.loadIncreased);
        }
    }

    /**
     * Applies what a target states about itself in a response: that it is about to shut down, that it wants no requests
     * from this instance for a time, or that it limits the rate of requests or of refusals.
     */
    applyTargetNotice(target: TargetStart & { service: string; }, notice: TargetNotice): void {
        const { isLeaving, backpressureMilliseconds, requestsPerSecond, refusalsPerSecond, statedLoad } = notice;
        if (statedLoad !== undefined) {
            const ownRequests = this.loadTracker.computeOwnLoad(target.id).requests;
            this.targetPace.recordStatedLoad(target, { ...statedLoad, ownRequests }, this.#now());
        }
        if (requestsPerSecond !== undefined) {
            this.recordRateStatement(target, { requestsPerSecond, sentAt: this.#now() });
        }
        if (refusalsPerSecond !== undefined) {
            this.recordRefusalStatement(target, { requestsPerSecond: refusalsPerSecond, sentAt: this.#now() });
        }
        if (isLeaving) {
            this.markLeaving(target, "target");
        }
        if (backpressureMilliseconds !== undefined) {
            const now = this.#now();
            const isNew = this.backpressure.findPauseEnd(target.id, now) === undefined;
            this.backpressure.recordPause(target.id, { now, milliseconds: backpressureMilliseconds });
            if (isNew) {
                this.#options.log.record("belief", "target wants no requests", {
                    target: target.id,
                    milliseconds: backpressureMilliseconds,
                });
                this.loadTracker.onEngineLoadChange(DigestReason.loadIncreased);
            }
        }
    }

    /** Records how long the events of a stream took that an engine of a paced service has sent. */
    recordEventSample(
        engine: ServingTarget,
        sample: Pick<EventSample, "millisecondsPerToken" | "events">,
    ): void {
        const now = this.#now();
        const { pace, ageMilliseconds } = this.targetPace.getEstimate(engine.id, now);
        this.engineSpeeds.recordSample(engine, {
            ...sample,
            requests: this.loadTracker.computeTotalLoad(engine.id, now).requests,
            pace: ageMilliseconds <= MAX_SAMPLE_PACE_AGE_MILLISECONDS ? pace : 1,
        });
    }

    /** Takes what this instance has learnt of targets' speed and load since it last told its peers. */
    takePaceNotice(): PaceNotice {
        const now = this.#now();
        const speeds = this.engineSpeeds.takeTold(now);
        const loads = this.targetPace.takeToldLoads(
            now,
            service => this.#table?.findService(service)?.engine === undefined,
        );
        return { ...speeds === undefined ? {} : { speeds }, ...loads === undefined ? {} : { loads } };
    }

    /** Merges what a peer has learnt of targets' speed and load. */
    applyPaceNotice({ speeds = {}, loads = {} }: PaceNotice): void {
        for (const [id, told] of Object.entries(speeds)) {
            const target = this.directory.findTarget(id);
            if (target !== undefined) {
                this.engineSpeeds.applyTold(target, told);
            }
        }
        for (const [id, told] of Object.entries(loads)) {
            const target = this.directory.findTarget(id);
            if (target !== undefined) {
                const ownRequests = this.loadTracker.computeOwnLoad(id).requests;
                this.targetPace.applyToldLoad(target, told, { now: this.#now(), ownRequests });
            }
        }
    }

    /**
     * Records what a target states in an answer about the request rate that it accepts: a limit, or none. `sentAt` is the
     * time at which the request was sent.
     */
    recordRateStatement(target: TargetStart, statement: Omit<RateStatement, "heardAt">): void {
        this.#recordStatement(RATE_LIMIT, { limits: this.rateLimits, target, statement });
    }

    /** Merges what targets have stated to a peer about the request rate that they accept. */
    applyRateStatements(instance: string, statements: readonly ToldRateStatement[]): void {
        this.#applyStatements(RATE_LIMIT, { limits: this.rateLimits, instance, statements });
    }

    /** Records what a target states in an answer about the requests that it refuses: a bound per second, or none. */
    recordRefusalStatement(target: TargetStart, statement: Omit<RateStatement, "heardAt">): void {
        this.#recordStatement(REFUSAL_LIMIT, { limits: this.refusalLimits, target, statement });
    }

    /** Merges what targets have stated to a peer about the requests that they refuse, and their latest refusals. */
    applyRefusalStatements(instance: string, statements: readonly ToldRefusalStatement[]): void {
        this.#applyStatements(REFUSAL_LIMIT, { limits: this.refusalLimits, instance, statements });
    }

    /** Records that a target has refused a request for want of room; peers are informed if it survives few refusals. */
    recordRefusal(target: TargetStart): void {
        this.prefixCache.removeTarget(target.id);
        if (this.#isCurrentStart(target) && this.refusalLimits.recordRefusal(target.id, this.#now())) {
            this.loadTracker.onEngineLoadChange(DigestReason.loadIncreased);
        }
    }

    /** Records the software versions of the targets that are listed now. */
    recordListedVersions(): void {
        const listed = this.directory.listSoftwareVersions();
        const now = this.#now();
        this.softwareVersions.recordListed(listed, now);
        this.rollouts?.recordListed(listed, {
            now,
            findBaseline: service => this.softwareVersions.findBaseline(service),
        });
    }

    /** Adopts the baselines on which a peer relies. */
    applyBaselines(baselines: Readonly<Record<string, string>>): void {
        const listed = this.directory.listSoftwareVersions();
        for (const [service, softwareVersion] of Object.entries(baselines)) {
            const isListed = listed.get(service)?.has(softwareVersion) === true;
            this.softwareVersions.adoptBaseline(service, { softwareVersion, isListed, now: this.#now() });
        }
    }

    /** Checks whether a running generation may be moved to an engine, which must be in no need of fewer requests. */
    isMoveDestination(id: string): boolean {
        const target = this.directory.findTarget(id);
        return !(target !== undefined && this.rollouts?.isStopped(target) === true)
            && this.backpressure.findPauseEnd(id, this.#now()) === undefined
            && this.rateLimits.findLimit(id) === undefined && !this.refusalLimits.isCrowded(id, this.#now());
    }

    /**
     * Records that a target has answered a request; `parts` are its fingerprint and those parts of its prompt that it may
     * share with others.
     */
    recordAnswered(parts: readonly string[], options: { sentAt?: number; } = {}): void {
        this.requestQuarantine.recordAnswered(parts, this.#now(), options);
        if (this.expireQuarantines().some(({ reason }) => reason === ReleaseReason.answered)) {
            this.loadTracker.onEngineLoadChange(DigestReason.loadIncreased);
        }
    }

    /** Records that a target crashed under a request; peers are informed at once. */
    recordTargetCrash(crash: TargetCrash): void {
        const { parts, target } = crash;
        this.prefixCache.removeTarget(target);
        this.#options.log.record("belief", "target crash observed", {
            target,
            parts: parts.slice(-MAX_LOGGED_PARTS),
            partCount: parts.length,
        });
        this.#publishQuarantined(this.requestQuarantine.recordCrash(crash, this.#now()), "target");
        this.expireQuarantines();
        this.loadTracker.onEngineLoadChange(DigestReason.loadIncreased);
    }

    /** Remembers an attempt that was lost with a target of which it is not known yet whether it has ended. */
    recordUnsettledEnd(crash: TargetCrash, presence: TargetPresence): void {
        this.#unsettledEnds.add(crash, { presence, now: this.#now() });
    }

    /** Remembers an attempt that was given up while its target ran it; the target may still end under it. */
    recordAbandonedAttempt(attempt: TargetCrash): void {
        this.#abandonedAttempts.add(attempt, { presence: TargetPresence.unknown, now: this.#now() });
    }

    /** Records the crashes that the list of targets, or a peer, has shown since the last call. */
    settleEnds(): void {
        const { directory, requestQuarantine } = this;
        const findTarget = (id: string): ServingTarget | undefined => directory.findTarget(id);
        const now = this.#now();
        const settled = [
            ...this.#unsettledEnds.takeSettled({
                findTarget,
                hasKnownEnd: crash => requestQuarantine.hasKnownEnd(crash),
            }, now),
            ...this.#abandonedAttempts.takeSettled({
                findTarget,
                hasKnownEnd: attempt => requestQuarantine.hasEndedSince(attempt),
            }, now),
        ];
        settled.forEach(crash => this.recordTargetCrash(crash));
    }

    /** Finds the quarantined one among the fingerprint of a request and the parts of its prompt. */
    findQuarantined(parts: readonly string[]): QuarantinedPart | undefined {
        return this.requestQuarantine.findQuarantined(parts, this.#now());
    }

    /** Merges what a peer has told of crashes and of parts of prompts. */
    applyCrashEvidence(instance: string, evidence: CrashEvidence): void {
        const now = this.#now();
        const quarantined = this.requestQuarantine.applyPeerEvidence(instance, evidence, now);
        this.#publishQuarantined(quarantined, `peer ${instance}`);
        this.expireQuarantines();
        // Many instances may have had answers on the part, so that none of them needs to send more digests than usual.
        if (this.requestQuarantine.hasUntoldAnswer(evidence, now)) {
            this.loadTracker.onEngineLoadChange(DigestReason.loadDecreased);
        }
    }

    /** Adopts the quarantines that the store lists, or a peer that knows them. */
    applyQuarantined(quarantined: readonly QuarantinedPart[], source: StateSource): void {
        this.#isQuarantineListKnown = true;
        this.#publishQuarantined(this.requestQuarantine.applyQuarantined(quarantined, this.#now()), source);
        this.expireQuarantines();
    }

    /** Logs and returns the quarantines that have ended since the last call. */
    expireQuarantines(): ReleasedPart[] {
        const released = this.requestQuarantine.takeReleased(this.#now());
        for (const { part, reason } of released) {
            const event = isFingerprint(part) ? "request released" : "prompt part released";
            this.#options.log.record("belief", event, { part, reason });
        }
        return released;
    }

    /** Records that a target wants no requests from a peer, which shows that it is overloaded. */
    recordPausedForPeer(id: string): void {
        const now = this.#now();
        if (this.directory.findTarget(id) !== undefined && this.health.computePenalty(id, now) < PAUSED_PENALTY) {
            this.health.recordFailure(id, { now });
        }
    }

    /** Records that a peer could not connect to a target. */
    recordUnreachableByPeer(id: string): void {
        const now = this.#now();
        if (this.directory.findTarget(id) !== undefined && this.health.computePenalty(id, now) < 1) {
            this.health.recordFailure(id, { now, weight: UNREACHABLE_WEIGHT / 2 });
        }
    }

    /** Lists the targets that this instance has recently failed to connect to. */
    listUnreachable(): string[] {
        const now = this.#now();
        for (const [id, time] of this.#unreachable) {
            if (now - time > UNREACHABLE_RETENTION_MILLISECONDS) {
                this.#unreachable.delete(id);
            }
        }
        return [...this.#unreachable.keys()];
    }

    /** Removes the targets that are no longer listed and whose grace period has ended. */
    expireMissingTargets(): void {
        this.#publishChanges(this.directory.expireMissing(this.#now()), "store");
    }

    /** Replaces the evacuated zones with a newer list. */
    applyZones(snapshot: ZoneSnapshot, source: StateSource): void {
        const previous = this.#zones.listZones();
        if (this.#zones.applySnapshot(snapshot, this.#now())) {
            this.#publishZones(previous, source);
        }
    }

    /** Ends the evacuations that a restored store does not list, once their hold has passed. */
    expireHeldZones(): void {
        const previous = this.#zones.listZones();
        if (this.#zones.expireHolds(this.#now())) {
            this.#publishZones(previous, "store");
        }
    }

    /** Replaces the list of rollouts with a newer one. */
    applyRollouts(snapshot: RolloutSnapshot, source: StateSource): void {
        const { rollouts } = this;
        const known = rollouts?.position;
        const now = this.#now();
        const events = rollouts?.applySnapshot(snapshot, now);
        if (rollouts === undefined || events === undefined) {
            return;
        }
        this.#logRollouts(events, source);
        const isChanged = known?.era !== snapshot.era || known.changeRevision !== snapshot.changeRevision;
        const newest = rollouts.getSnapshot(now);
        if (isChanged && newest !== undefined) {
            this.#publishUpdate({ rollouts: newest }, source);
        }
    }

    /** Updates the decisions about rollouts; `isConnected` tells whether this instance would hear of those of others. */
    updateRollouts(isConnected: boolean): void {
        const { rollouts } = this;
        const now = this.#now();
        const events = rollouts?.update({
            now,
            isConnected,
            findTargets: service => this.#findRolloutTargets(service, now),
        });
        this.#logRollouts(events ?? [], "target");
    }

    /** Chooses the targets to which an attempt may go; `undefined` for all. */
    chooseVersions(input: VersionChoiceInput): VersionChoice | undefined {
        return this.rollouts?.isConcerned(input.service, input.now) === true
            ? this.rollouts.chooseVersions(input, {
                others: this.directory.listAvailable(input.service),
                baseline: this.softwareVersions.findBaseline(input.service),
            })
            : undefined;
    }

    /** Records the state of a rollout that this instance has written to the store, or has read there. */
    markRolloutState(rollout: Rollout, { state, revision }: { state: RolloutState; revision: number; }): void {
        this.#logRollouts(this.rollouts?.recordState(rollout, state, revision) ?? [], "store");
    }

    /** Merges what a peer has counted and decided about rollouts. */
    applyRolloutReports(instance: string, reports: readonly RolloutReport[]): void {
        const events = reports.flatMap(report => this.rollouts?.applyPeerReport(instance, report) ?? []);
        this.#logRollouts(events, `peer ${instance}`);
    }

    /** Builds the part of a digest that tells of rollouts: empty if that has not changed lately. */
    buildRolloutReports(now: number): { rolloutReports?: RolloutReport[]; } {
        const rolloutReports = this.rollouts?.listReports() ?? [];
        const text = JSON.stringify(rolloutReports);
        const isKnown = text === this.#toldRollouts.text
            && now - this.#toldRollouts.time < REPORT_INTERVAL_MILLISECONDS;
        if (rolloutReports.length === 0 || isKnown) {
            return {};
        }
        this.#toldRollouts = { text, time: now };
        return { rolloutReports };
    }

    /**
     * Has peers informed that a new version has given a bad answer, at once as far as the rate limit of digests allows: the
     * last check before completion has less than a second to see what happens under the whole load.
     */
    publishBadAnswer(): void {
        this.loadTracker.onEngineLoadChange(DigestReason.loadIncreased);
    }

    #findRolloutTargets(service: string, now: number): RolloutTargets {
        const available = this.directory.listAvailable(service);
        return {
            available,
            cold: new Set(available.filter(({ id }) => this.coldRateShare.isCold(id, now)).map(({ id }) => id)),
            countOldRunning: softwareVersion =>
                this.directory.listTargets()
                    .filter(target => target.service === service && getSoftwareVersion(target) !== softwareVersion)
                    .reduce((sum, { id }) => sum + this.loadTracker.computeTotalLoad(id, now).requests, 0),
        };
    }

    #logRollouts(events: readonly RolloutEvent[], source: StateSource): void {
        for (const { event, fields } of events) {
            this.#options.log.record("belief", event, { ...fields, source });
        }
        // A verdict has to reach all instances within the time for which a bad version may still get requests.
        if (events.some(({ event }) => event === "rollout decided")) {
            this.loadTracker.onEngineLoadChange(DigestReason.loadIncreased);
        }
    }

    /** Gets this instance's share of the retry budget of a service. */
    getRetryShare(service: string): RetryBudgetShare {
        const { retryRatio, retryWindowMilliseconds, retrySlack } = this.#settings.bounds;
        const share = this.#retryShares.get(service) ?? new RetryBudgetShare({
            ratio: retryRatio,
            windowMilliseconds: retryWindowMilliseconds,
            slack: retrySlack,
        });
        this.#retryShares.set(service, share);
        return share;
    }

    /** Gets the admission of a service whose targets state their pace. */
    getAdmission(service: string): ServiceAdmission {
        const admission = this.#admissions.get(service) ?? new ServiceAdmission(this.#now());
        this.#admissions.set(service, admission);
        return admission;
    }

    /** Checks whether requests to a service are admitted by what the whole fleet serves. */
    isFleetAdmitted(service: string): boolean {
        return this.#options.isFleetAdmissionEnabled === true && this.targetPace.isPaced(service);
    }

    /** Builds the statement on each service for a digest, while there is no room. */
    takeLineStatements(): Record<string, LineStatement> {
        const now = this.#now();
        return Object.fromEntries([...this.#admissions].flatMap(([service, admission]) => {
            const statement = admission.takeStatement(now);
            return statement === undefined ? [] : [[service, statement]];
        }));
    }

    /** Applies what a peer states of the requests that wait or were refused there. */
    applyLineStatements(instance: string, statements: Readonly<Record<string, LineStatement>>): void {
        for (const [service, statement] of Object.entries(statements)) {
            if (this.isFleetAdmitted(service)) {
                this.getAdmission(service).applyStatement(instance, statement, this.#now());
            }
        }
    }

    /**
     * Records that an engine has read a prompt: it has begun to answer, or has ended an answer and given the KV cache of
     * the request back.
     */
    recordPromptRead(
        { id, startedAt }: TargetStart,
        { service, prefix }: { service: ServiceDefinition; prefix: readonly PrefixPart[]; },
    ): void {
        const target = this.directory.findTarget(id);
        if (target?.startedAt !== startedAt || service.engine === undefined || prefix.length === 0) {
            return;
        }
        const now = this.#now();
        const conditions = {
            now,
            freeTokens: service.engine.memoryTokens - this.loadTracker.computeTotalLoad(id, now).tokens,
            otherTokensPerMillisecond: this.#estimateOtherTokens(service, now),
        };
        this.prefixCache.recordRead(target, { prefix, conditions });
    }

    /**
     * Lists the targets of a service that accept new requests, with their load, penalties and limits; for a prompt also
     * with what they are believed to have cached of it.
     */
    listCandidates(service: ServiceDefinition, prefix: readonly PrefixPart[] = []): TargetCandidate[] {
        const candidates = this.#listLoadedTargets(service);
        if (prefix.length > 0) {
            this.setHeldTokens(candidates, { service, prefix });
        }
        return candidates;
    }

    /** Sets for each candidate how many tokens of a prompt it is believed to have cached. */
    setHeldTokens(
        candidates: readonly TargetCandidate[],
        { service, prefix }: { service: ServiceDefinition; prefix: readonly PrefixPart[]; },
    ): void {
        const memoryTokens = service.engine?.memoryTokens;
        if (memoryTokens === undefined || prefix.length === 0) {
            candidates.forEach(candidate => (candidate.heldTokens = 0));
            return;
        }
        const now = this.#now();
        const otherTokensPerMillisecond = this.#estimateOtherTokens(service, now);
        for (const candidate of candidates) {
            const { target, load } = candidate;
            const conditions = { now, freeTokens: memoryTokens - load.tokens, otherTokensPerMillisecond };
            candidate.heldTokens = this.prefixCache.estimateHeldTokens(target, { prefix, conditions });
        }
    }

    #estimateOtherTokens({ name }: ServiceDefinition, now: number): number {
        const engines = this.directory.listAvailable(name).length;
        return this.prefixCache.estimateOtherTokens(name, { now, instances: this.instances, engines });
    }

    #listLoadedTargets(service: ServiceDefinition): TargetCandidate[] {
        const now = this.#now();
        const { instances, rank } = this.#position;
        const wallTime = this.#options.clock.getWallTime();
        const share = { now, wallTime, instances, rank };
        const cold = { ...share, ratePerSecond: service.coldRequestsPerSecond };
        const connections = Math.max(1, Math.floor(service.maxConnections * USABLE_CONNECTION_SHARE / instances));
        return this.directory.listAvailable(service.name).map(target => ({
            target,
            load: this.loadTracker.computeTotalLoad(target.id, now),
            pace: this.targetPace.isPaced(service.name) ? this.#getCandidatePace(target, { service, now }) : undefined,
            penalty: this.health.computePenalty(target.id, now)
                + (this.directory.isMissing(target.id) ? MISSING_PENALTY : 0),
            pausedUntil: this.backpressure.findPauseEnd(target.id, now),
            limitedUntil: this.#findLimitEnd(target, { share, isEngine: service.engine !== undefined }),
            crowdedUntil: this.#findCrowdingEnd(target.id, share),
            isLimited: this.loadTracker.computeOwnLoad(target.id).requests >= connections
                || this.coldRateShare.isUsedUp(target.id, cold),
        }));
    }

    #getCandidatePace(
        target: ServingTarget,
        { service, now }: { service: ServiceDefinition; now: number; },
    ): CandidatePace {
        const { pace, ageMilliseconds, meanPace } = this.targetPace.getEstimate(target.id, now);
        const isEngine = service.engine !== undefined;
        return {
            pace,
            ageMilliseconds,
            meanPace,
            stepFactor: isEngine ? this.engineSpeeds.estimateStepFactor(target, now) : 1,
            ...isEngine ? { cautiousFactor: this.engineSpeeds.estimateCautiousFactor(target, now) } : {},
            othersRequests: isEngine ? 0 : this.targetPace.estimateOthersRequests(target, now),
        };
    }

    /** Finds the time at which the first target that takes no request from this instance now may take one again. */
    findNextOpening(service: ServiceDefinition, candidates: readonly TargetCandidate[]): number | undefined {
        const now = this.#now();
        const { instances, rank } = this.#position;
        const wallTime = this.#options.clock.getWallTime();
        const cold = { now, wallTime, instances, rank, ratePerSecond: service.coldRequestsPerSecond };
        const openings = candidates.flatMap(({ target, pausedUntil = now, limitedUntil = now, crowdedUntil = now }) => [
            Math.max(pausedUntil, limitedUntil),
            crowdedUntil,
            now + this.coldRateShare.computeDelay(target.id, cold),
        ]);
        const next = Math.min(...openings.filter(time => time > now));
        return Number.isFinite(next) ? next : undefined;
    }

    /** Finds the time until which this instance has used up its share of a target's request rate, or of its refusals. */
    #findLimitEnd(
        { id, slots }: ServingTarget,
        { share, isEngine }: { share: RateShareInput; isEngine: boolean; },
    ): number | undefined {
        const delay = Math.max(
            this.rateLimits.computeDelay(id, share),
            this.refusalLimits.findLimit(id) === undefined ? 0 : this.refusalLimits.computeDelay(id, {
                ...share,
                ownRequests: this.loadTracker.computeOwnLoad(id).requests,
                totalRequests: isEngine ? this.loadTracker.computeTotalLoad(id, share.now).requests : undefined,
                slots,
            }),
        );
        return delay > 0 ? share.now + delay : undefined;
    }

    /** Finds the time from which a request may be sent to a target that has lately refused one. */
    #findCrowdingEnd(id: string, share: RateShareInput): number | undefined {
        const delay = this.refusalLimits.findCrowdedDelay(id, share);
        return delay === undefined || delay === 0 ? delay : share.now + delay;
    }

    /** Checks whether the directory lists this start of a target. */
    #isCurrentStart({ id, startedAt }: TargetStart): boolean {
        return this.directory.findTarget(id)?.startedAt === startedAt;
    }

    #recordStatement(
        names: LimitNames,
        { limits, target, statement }: {
            limits: Pick<TargetRateLimits, "recordStatement">;
            target: TargetStart;
            statement: Omit<RateStatement, "heardAt">;
        },
    ): void {
        const isCurrent = this.#isCurrentStart(target);
        if (isCurrent && limits.recordStatement(target, { ...statement, heardAt: this.#now() })) {
            this.#logLimit(names, { id: target.id, limit: statement.requestsPerSecond, source: "target" });
            this.loadTracker.onEngineLoadChange(DigestReason.loadIncreased);
        }
    }

    #applyStatements<Statement extends ToldRateStatement>(
        names: LimitNames,
        { limits, instance, statements }: {
            limits: { applyToldStatement(told: Statement, now: number): boolean; };
            instance: string;
            statements: readonly Statement[];
        },
    ): void {
        for (const statement of statements) {
            if (this.#isCurrentStart(statement) && limits.applyToldStatement(statement, this.#now())) {
                const { id, requestsPerSecond: limit } = statement;
                this.#logLimit(names, { id, limit, source: `peer ${instance}` });
            }
        }
    }

    #logLimit(
        { field, stated, ended }: LimitNames,
        { id, limit, source }: { id: string; limit: number | undefined; source: StateSource; },
    ): void {
        this.#options.log.record("belief", limit === undefined ? ended : stated, {
            target: id,
            [field]: limit,
            source,
        });
    }

    #publishQuarantined(quarantined: readonly QuarantinedPart[], source: StateSource): void {
        for (const { part, crashes, remainingMilliseconds } of quarantined) {
            this.#options.log.record(
                "belief",
                isFingerprint(part) ? "request quarantined" : "prompt part quarantined",
                {
                    part,
                    crashes,
                    milliseconds: remainingMilliseconds,
                    source,
                },
            );
        }
        if (quarantined.length > 0) {
            this.quarantineListeners.forEach(listener => listener());
        }
    }

    #publishZones(previous: string[], source: StateSource): void {
        const zones = this.#zones.listZones();
        const { snapshot } = this.#zones;
        this.directory.setEvacuatedZones(zones);
        if (snapshot !== undefined && previous.join(",") !== zones.join(",")) {
            const { era, revision, held } = snapshot;
            this.#options.log.record("belief", "emptied zones changed", { zones, held, era, revision, source });
            this.#publishUpdate({ zones: snapshot }, source);
        }
    }

    #publishChanges(changes: TargetChange[], source: StateSource): void {
        // The first request after the list must know that a version is new.
        if (this.rollouts !== undefined && changes.some(({ kind }) => kind === "added")) {
            this.recordListedVersions();
        }
        for (const change of changes) {
            const { id, service, zone, address, softwareVersion } = change.target;
            const { revision } = this.directory;
            this.#options.log.record("belief", `target ${change.kind}`, {
                target: id,
                service,
                zone,
                address,
                softwareVersion,
                revision,
                source,
            });
            if (change.kind === "removed") {
                this.health.removeTarget(id);
                this.targetPace.removeTarget(id);
                this.engineSpeeds.removeTarget(id);
                this.prefixCache.removeTarget(id);
                this.coldRateShare.removeTarget(id);
                this.recentSends.removeTarget(id);
                this.backpressure.removeTarget(id);
                this.rateLimits.removeTarget(id);
                this.refusalLimits.removeTarget(id);
            }
            this.#markCold(change.target);
            for (const listener of this.targetListeners) {
                listener(change);
            }
        }
    }

    #markCold(target: ServingTarget): void {
        this.coldRateShare.markCold(target.id, { now: this.#now(), milliseconds: target.coldMilliseconds });
    }

    /** Notifies listeners of an update if it came from the store; peers forward their own updates themselves. */
    #publishUpdate(update: StoreUpdate, source: StateSource): void {
        if (source === "store") {
            for (const listener of this.storeUpdateListeners) {
                listener(update);
            }
        }
    }

    #now(): number {
        return this.#options.clock.getMonotonic();
    }
}
