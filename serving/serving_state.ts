/**
 * What one serving process believes, from the store, its peers and its targets' answers.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import {
    ColdShare,
    DigestReason,
    LoadLedger,
    type PlaceCandidate,
    RetryShare,
    RouteTable,
    type ServiceDefinition,
    type ServingConfiguration,
    type ServingTarget,
    type SharePosition,
    type TargetChange,
    TargetDirectory,
    TargetHealth,
    type TargetSnapshot,
    UNREACHABLE_WEIGHT,
} from "../core/serving/mod.ts";
import type { InstanceSettings } from "../platform/mod.ts";
import type { DecisionLog } from "../telemetry/mod.ts";

/** Options of a {@linkcode ServingState}. */
export interface ServingStateOptions {
    /** Settings of the instance. */
    settings: InstanceSettings;
    /** Source of time. */
    clock: Clock;
    /** Log of decisions. */
    log: DecisionLog;
}

/** Zones that get no new work, at one revision of the store. */
export interface ZoneSnapshot {
    /** Revision of the store. */
    revision: number;
    /** Revision of the latest change. */
    changeRevision: number;
    /** Names of the zones. */
    zones: string[];
}

/** Changes to the list of targets between two revisions of the store. */
export interface TargetEvents {
    /** Revision of the latest change before these. */
    from: number;
    /** Revision of the latest of these. */
    changeRevision: number;
    /** Revision up to which it is known after. */
    revision: number;
    /** Targets that are new or changed. */
    changed: ServingTarget[];
    /** Identities of targets that are gone. */
    removed: string[];
}

/** What an instance has learnt from the store and tells its peers. */
export interface StoreNews {
    /** A newer configuration. */
    configuration?: ServingConfiguration;
    /** Changes to targets. */
    targets?: TargetEvents;
    /** Zones that get no new work. */
    zones?: ZoneSnapshot;
}

/** Where a belief came from; what a list of the store holds may have been told by others long ago. */
export type BeliefSource = "store" | "store list" | "target" | `peer ${string}`;

/** Instances assumed while it is not known how many there are: about the usual number, and some more. */
const DEFAULT_INSTANCE_COUNT = 10;
/** Time for which peers are told of a target that took no connection, in milliseconds. */
const UNREACHABLE_RETENTION_MILLISECONDS = 2000;
/** Penalty of a target that is no longer listed but may be back, in units of a full target's load. */
const MISSING_PENALTY = 0.5;
/** Part of a target's connections that is used; the rest covers connections that are being closed. */
const USABLE_CONNECTION_SHARE = 0.8;

/** Keeps beliefs and tells listeners of changes to targets. */
export class ServingState {
    readonly directory = new TargetDirectory();
    readonly ledger = new LoadLedger();
    readonly health = new TargetHealth();
    readonly coldShare: ColdShare;
    #settings: InstanceSettings;
    /** Called with each change to a target. */
    readonly targetListeners: ((change: TargetChange) => void)[] = [];
    /** Called with what the store has told; empty where peers need no more than this instance's new versions. */
    readonly newsListeners: ((news: StoreNews) => void)[] = [];
    readonly #options: ServingStateOptions;
    readonly #retryShares = new Map<string, RetryShare>();
    readonly #unreachable = new Map<string, number>();
    #table: RouteTable | undefined;
    #zones: ZoneSnapshot | undefined;
    #findPosition: () => SharePosition | undefined = () => undefined;

    constructor(options: ServingStateOptions) {
        this.#options = options;
        this.#settings = options.settings;
        const { coldOverage, coldSlack } = options.settings.bounds;
        this.coldShare = new ColdShare({ overage: coldOverage, slack: coldSlack });
    }

    /** Index of the configuration; `undefined` before the first one came. */
    get table(): RouteTable | undefined {
        return this.#table;
    }

    /** Zones that get no new work; `undefined` before they are known. */
    get zones(): ZoneSnapshot | undefined {
        return this.#zones;
    }

    /** Says what is missing before requests can be served; empty where nothing is. */
    get unreadyReason(): string {
        if (this.#table === undefined) {
            return "no configuration yet";
        }
        if (!this.directory.isKnown) {
            return "no list of targets yet";
        }
        return this.#zones === undefined ? "no list of emptied zones yet" : "";
    }

    /** Instances that share the common bounds. */
    get instances(): number {
        return this.#position.instances;
    }

    get #position(): SharePosition {
        return this.#findPosition() ?? { instances: DEFAULT_INSTANCE_COUNT, rank: 0 };
    }

    /** Sets the function that finds this instance's place among all; `undefined` stands for not known. */
    setPositionFinder(findPosition: () => SharePosition | undefined): void {
        this.#findPosition = findPosition;
    }

    /** Applies changed bounds. */
    applySettings(settings: InstanceSettings): void {
        const { coldOverage, coldSlack } = settings.bounds;
        this.#settings = settings;
        this.#retryShares.clear();
        this.coldShare.setOptions({ overage: coldOverage, slack: coldSlack });
    }

    /** Adopts a configuration if it is newer than the one in use. */
    adoptConfiguration(configuration: ServingConfiguration, source: BeliefSource): boolean {
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

    /** Replaces the list of targets by a newer one. */
    applySnapshot(snapshot: TargetSnapshot, source: BeliefSource): void {
        this.#publishChanges(this.directory.applySnapshot(snapshot, this.#now()), source);
    }

    /** Applies changes to the list of targets. */
    applyEvents(events: TargetEvents, source: BeliefSource): void {
        const changes = this.directory.applyEvents(events, this.#now());
        for (const target of events.changed) {
            this.#markCold(target);
        }
        this.#publishChanges(changes, source);
        if (events.changed.length > 0 || events.removed.length > 0) {
            this.#publishUpdate({ targets: events }, source);
        }
    }

    /** Notes that a target says itself that it leaves. */
    markLeaving(id: string): void {
        this.#publishChanges(this.directory.markLeaving(id), "target");
    }

    /** Notes how an attempt at a target ended; one that took no connection is told to peers. */
    recordAttempt(id: string, end: { hasFailed: boolean; isUnreachable: boolean; }): void {
        const now = this.#now();
        if (!end.hasFailed) {
            this.health.recordSuccess(id, now);
            this.#unreachable.delete(id);
            return;
        }
        this.health.recordFailure(id, { now, weight: end.isUnreachable ? UNREACHABLE_WEIGHT : 1 });
        if (end.isUnreachable) {
            this.#unreachable.set(id, now);
            this.ledger.onEngineChange(DigestReason.placed);
        }
    }

    /** Notes that a peer could not reach a target. */
    recordUnreachableByPeer(id: string): void {
        const now = this.#now();
        if (this.directory.findTarget(id) !== undefined && this.health.computePenalty(id, now) < 1) {
            this.health.recordFailure(id, { now, weight: UNREACHABLE_WEIGHT / 2 });
        }
    }

    /** Lists the targets that took no connection of this instance a moment ago. */
    listUnreachable(): string[] {
        const now = this.#now();
        for (const [id, time] of this.#unreachable) {
            if (now - time > UNREACHABLE_RETENTION_MILLISECONDS) {
                this.#unreachable.delete(id);
            }
        }
        return [...this.#unreachable.keys()];
    }

    /** Removes lapsed targets whose time is over. */
    expireLapsed(): void {
        this.#publishChanges(this.directory.expireLapsed(this.#now()), "store");
    }

    /** Replaces the zones that get no new work by a newer list. */
    applyZones(snapshot: ZoneSnapshot, source: BeliefSource): void {
        if (this.#zones !== undefined && snapshot.revision < this.#zones.revision) {
            return;
        }
        const previous = this.#zones?.zones.join(",") ?? "";
        this.#zones = snapshot;
        this.directory.setEmptiedZones(snapshot.zones);
        if (previous !== snapshot.zones.join(",")) {
            const { zones, revision } = snapshot;
            this.#options.log.record("belief", "emptied zones changed", { zones, revision, source });
            this.#publishUpdate({ zones: snapshot }, source);
        }
    }

    /** Gets this instance's share of the repeats to a service. */
    getRetryShare(service: string): RetryShare {
        const { retryRatio, retryWindowMilliseconds, retrySlack } = this.#settings.bounds;
        const share = this.#retryShares.get(service) ?? new RetryShare({
            ratio: retryRatio,
            windowMilliseconds: retryWindowMilliseconds,
            slack: retrySlack,
        });
        this.#retryShares.set(service, share);
        return share;
    }

    /** Lists the targets of a service with what is known of their load. */
    listCandidates(service: ServiceDefinition): PlaceCandidate[] {
        const now = this.#now();
        const { instances, rank } = this.#position;
        const wallTime = this.#options.clock.getWallTime();
        const cold = { now, wallTime, ratePerSecond: service.coldRequestsPerSecond, instances, rank };
        const connections = Math.max(1, Math.floor(service.maxConnections * USABLE_CONNECTION_SHARE / instances));
        return this.directory.listOpen(service.name).map(target => ({
            target,
            held: this.ledger.countWork(target.id, now),
            penalty: this.health.computePenalty(target.id, now)
                + (this.directory.isMissing(target.id) ? MISSING_PENALTY : 0),
            isLimited: this.ledger.countOwn(target.id).requests >= connections
                || this.coldShare.isFull(target.id, cold),
        }));
    }

    #publishChanges(changes: TargetChange[], source: BeliefSource): void {
        for (const change of changes) {
            const { id, service, zone, address } = change.target;
            const { revision } = this.directory;
            this.#options.log.record("belief", `target ${change.kind}`, {
                target: id,
                service,
                zone,
                address,
                revision,
                source,
            });
            if (change.kind === "removed") {
                this.health.removeTarget(id);
                this.coldShare.removeTarget(id);
            }
            this.#markCold(change.target);
            for (const listener of this.targetListeners) {
                listener(change);
            }
        }
    }

    #markCold(target: ServingTarget): void {
        this.coldShare.markCold(target.id, { now: this.#now(), milliseconds: target.coldMilliseconds });
    }

    /** Tells listeners what the store has told; what peers have told is theirs to spread. */
    #publishUpdate(news: StoreNews, source: BeliefSource): void {
        if (source === "store") {
            for (const listener of this.newsListeners) {
                listener(news);
            }
        }
    }

    #now(): number {
        return this.#options.clock.getMonotonic();
    }
}
