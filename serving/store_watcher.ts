/**
 * Keeps the state up to date with the platform's store, with one watch for each kind of object.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import type { RolloutOrder, ServingTarget, StorePosition } from "../core/serving/mod.ts";
import { waitMilliseconds } from "../network/mod.ts";
import {
    decodeConfiguration,
    decodeRollout,
    decodeTarget,
    type StoreClient,
    type StoreEvents,
    type StoreFailure,
    StoreKind,
    type StoreList,
    type StoreObject,
    type StoreReply,
} from "../platform/mod.ts";
import type { DecisionLog } from "../telemetry/mod.ts";
import { MalformedObjectLog } from "./malformed_object_log.ts";
import type { ServingMetrics } from "./serving_metrics.ts";
import type { ServingState, StateSource } from "./serving_state.ts";

/** Options of a {@linkcode StoreWatcher}. */
export interface StoreWatcherOptions {
    /** Client of the store. */
    store: StoreClient;
    /** State to keep up to date. */
    state: ServingState;
    /** Decision log. */
    log: DecisionLog;
    /** Metrics, which count calls to the store. */
    metrics: ServingMetrics;
    /** Source of time. */
    clock: Clock;
    /** Random number generator that returns numbers from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    /**
     * Decides whether this instance watches the store on behalf of all; called before each call to the store and
     * repeatedly while a watch waits.
     */
    decideWatching: () => boolean;
    /** Waits until the state has arrived from a peer, or none can be expected. */
    waitForPeerState: () => Promise<void>;
    /** Checks whether no instance before this one in the order watches the store. */
    isFirstWatcher: () => boolean;
    /** Called when a watch of this instance has failed. */
    onWatchLost: () => void;
    /** Checks whether a peer watches the store and forwards its changes. */
    hasWatchingPeer: () => boolean;
}

/** Applies the objects of one kind to the state. */
interface KindHandler {
    applyList: (list: StoreList) => void;
    applyEvents: (events: StoreEvents) => void;
}

/** Longest wait of a watch, and the timeout of its call in addition to the wait, in milliseconds. */
interface WatchDuration {
    waitMilliseconds: number;
    timeoutMilliseconds?: number;
}

/** Kind whose watch shows whether the store still answers this instance; if it fails, all kinds are listed again. */
const LEADING_KIND = StoreKind.configuration;
/**
 * Watch of the first watcher for the leading kind. The store's silence is noticed after the sum. The instances that the
 * store still serves have to apply a change within two seconds, even if it stops to answer both watchers right before;
 * the rest of that time is for the instances that take over.
 */
const LEADING_WATCH: WatchDuration = { waitMilliseconds: 300, timeoutMilliseconds: 500 };
/**
 * Watch of the first watcher for other kinds. The failure of a single connection is detected after the wait and the timeout
 * of the client; the change that it has missed must have been applied everywhere when the instance counts as connected
 * again, three seconds after the failure.
 */
const FIRST_WATCH: WatchDuration = { waitMilliseconds: 1600 };
/** Watch of the other watchers, and for rollouts; the first watcher detects connections that have failed. */
const LONG_WATCH: WatchDuration = { waitMilliseconds: 12_000 };
/** Interval at which an instance checks whether it has to watch the store, in milliseconds. */
const ELECTION_INTERVAL_MILLISECONDS = 100;
/**
 * Time for which an instance must have lost its place before it ends its waiting watches, in milliseconds. To watch
 * again costs the store a list and a watch of each kind, so this is longer than the time for which one digest of a failed
 * peer counts, plus the time until the next instance takes over.
 */
const MAX_SURPLUS_WATCH_MILLISECONDS = 1500;
/** Delay after the first failed call, in milliseconds; it doubles with each further failure. */
const MIN_BACKOFF_MILLISECONDS = 40;
/** Maximum delay after failed calls, in milliseconds: a store that has recovered must be used within seconds. */
const MAX_BACKOFF_MILLISECONDS = 400;
/** Maximum delay after failed calls while a peer watches the store, in milliseconds. */
const MAX_BACKOFF_BESIDE_WATCHER_MILLISECONDS = 2000;

/** Length to which the reason of a failed update is truncated in log lines. */
const MAX_REASON_CHARACTERS = 200;

/** Watches the store and applies its changes to the state. */
export class StoreWatcher {
    readonly #options: StoreWatcherOptions;
    readonly #handlers: Record<string, KindHandler>;
    /** Position to watch from, by kind; absent if the kind has to be listed first. */
    readonly #positions = new Map<string, StorePosition>();
    /** Start and number of the current consecutive failures, by kind. */
    readonly #outages = new Map<string, { since: number; failures: number; }>();
    readonly #malformedObjects: MalformedObjectLog;
    /** Time at which the store last answered a call for the rollouts; `undefined` before. */
    #rolloutsReadAt: number | undefined;
    #isStopped = false;

    constructor(options: StoreWatcherOptions) {
        this.#options = options;
        this.#malformedObjects = new MalformedObjectLog(options.log);
        this.#handlers = {
            [StoreKind.configuration]: {
                applyList: list => this.#applyConfigurations(list.objects, "store list"),
                applyEvents: events => this.#applyConfigurations(events.events.map(event => event.object), "store"),
            },
            [StoreKind.targets]: {
                applyList: list => this.#applyTargetList(list),
                applyEvents: events => this.#applyTargetEvents(events),
            },
            [StoreKind.evacuatedZones]: {
                applyList: list => this.#applyZoneList(list),
                applyEvents: events => this.#applyZoneEvents(events),
            },
            ...options.state.rollouts === undefined ? {} : {
                [StoreKind.rollouts]: {
                    applyList: (list: StoreList) => this.#applyRolloutList(list),
                    applyEvents: (events: StoreEvents) => this.#applyRolloutEvents(events),
                },
            },
        };
    }

    /** Starts one watch loop for each kind. */
    start(): void {
        for (const kind of Object.keys(this.#handlers)) {
            void this.#runWatchLoop(kind);
        }
    }

    /** Stops the watch loops once their pending calls have ended. */
    stop(): void {
        this.#isStopped = true;
    }

    /** Describes the watches for a state dump. */
    dumpState(): Record<string, unknown> {
        return { positions: Object.fromEntries(this.#positions), failing: Object.fromEntries(this.#outages) };
    }

    /** True if this instance watches the store and all watches work. */
    get isWatching(): boolean {
        const kinds = Object.keys(this.#handlers);
        return this.#outages.size === 0 && kinds.every(kind => this.#positions.has(kind));
    }

    /** Lists all objects of a kind once and applies them; resolves to true on success. */
    async readKind(kind: string): Promise<boolean> {
        const reply = await this.#options.store.listObjects(kind);
        this.#options.metrics.countStoreCall(kind, reply.kind);
        if (reply.kind === "ok") {
            this.#handlers[kind]?.applyList(reply.value);
        }
        return reply.kind === "ok";
    }

    async #runWatchLoop(kind: string): Promise<void> {
        await this.#options.waitForPeerState();
        while (!this.#isStopped) {
            if (!this.#decideWatching()) {
                this.#positions.delete(kind);
                this.#outages.delete(kind);
                await waitMilliseconds(ELECTION_INTERVAL_MILLISECONDS);
                continue;
            }
            const failure = await this.#listOrWatch(kind).catch((error: unknown) =>
                this.#recordFailedUpdate(kind, error)
            );
            this.#options.metrics.countStoreCall(kind, failure?.kind ?? "ok");
            if (failure === undefined) {
                this.#recordRecovery(kind);
            }
            else if (failure.kind === "history-gone") {
                this.#options.log.record("belief", "store history lost", { kind, ...this.#positions.get(kind) });
                this.#positions.delete(kind);
            }
            else {
                // A watch from an old revision may report no changes after an outage, so the kind is listed again.
                this.#positions.delete(kind);
                await this.#recordFailureAndBackOff(kind, failure);
            }
        }
    }

    /** Logs an update that could not be applied; the kind is listed again, since the update is lost. */
    #recordFailedUpdate(kind: string, error: unknown): StoreFailure {
        const reason = String(error).slice(0, MAX_REASON_CHARACTERS);
        this.#options.log.record("process", "store update failed", { kind, reason });
        return { kind: "unanswered", reason };
    }

    async #listOrWatch(kind: string): Promise<StoreFailure | undefined> {
        const { store } = this.#options;
        const handler = this.#handlers[kind];
        const position = this.#positions.get(kind);
        if (position === undefined) {
            const reply = await store.listObjects(kind);
            if (reply.kind !== "ok") {
                return reply;
            }
            this.#recordRecovery(kind);
            handler?.applyList(reply.value);
            this.#positions.set(kind, { era: reply.value.era, revision: reply.value.revision });
            return undefined;
        }
        const reply = await this.#watchKind(kind, position);
        if (reply.kind !== "ok") {
            return reply;
        }
        this.#recordRecovery(kind);
        handler?.applyEvents(reply.value);
        this.#positions.set(kind, {
            era: position.era,
            revision: Math.max(position.revision, reply.value.revision),
        });
        return undefined;
    }

    /**
     * Waits for changes of a kind; the wait ends early once this instance has lost its place for some time, or has become
     * the first watcher, and fails if the watch of the leading kind does. Rollouts are rare: their watch is long, and ends
     * as soon as one of another kind shows that connections have failed.
     */
    async #watchKind(kind: string, position: StorePosition): Promise<StoreReply<StoreEvents>> {
        const { store, clock, isFirstWatcher } = this.#options;
        const abortController = new AbortController();
        let placeLostAt: number | undefined;
        const isRare = kind === StoreKind.rollouts;
        const isFirst = isFirstWatcher();
        const hadOutage = this.#outages.size > 0;
        const isLedAtStart = !this.#outages.has(LEADING_KIND);
        let hasLeaderFailed = false;
        const timer = setInterval(() => {
            const now = clock.getMonotonic();
            const hasBecomeFirst = !isRare && !isFirst && isFirstWatcher();
            hasLeaderFailed ||= !isRare && isLedAtStart && kind !== LEADING_KIND && this.#outages.has(LEADING_KIND);
            if (isRare && !hadOutage && this.#outages.size > 0 || hasBecomeFirst || hasLeaderFailed) {
                abortController.abort();
            }
            placeLostAt = this.#decideWatching() ? undefined : placeLostAt ?? now;
            if (placeLostAt !== undefined && now - placeLostAt >= MAX_SURPLUS_WATCH_MILLISECONDS) {
                abortController.abort();
            }
        }, ELECTION_INTERVAL_MILLISECONDS);
        const duration = isRare || !isFirst ? LONG_WATCH : kind === LEADING_KIND ? LEADING_WATCH : FIRST_WATCH;
        const reply = await store.watchObjects(kind, {
            ...position,
            ...duration,
            signal: abortController.signal,
        });
        clearInterval(timer);
        return hasLeaderFailed ? { kind: "unanswered", reason: `the watch of "${LEADING_KIND}" has failed` } : reply;
    }

    /** Decides whether to call the store: an instance that is not ready does so regardless of the order. */
    #decideWatching(): boolean {
        return this.#options.state.unreadyReason !== "" || this.#options.decideWatching();
    }

    #recordRecovery(kind: string): void {
        const outage = this.#outages.get(kind);
        if (outage === undefined) {
            return;
        }
        this.#outages.delete(kind);
        const now = this.#options.clock.getMonotonic();
        if (kind === StoreKind.targets) {
            this.#options.state.directory.markStoreRecovered(now);
        }
        const { failures } = outage;
        this.#options.log.record("process", "store regained", {
            kind,
            failures,
            outageMilliseconds: Math.round(now - outage.since),
        });
    }

    async #recordFailureAndBackOff(kind: string, failure: StoreFailure): Promise<void> {
        const { clock, log, random, hasWatchingPeer, onWatchLost } = this.#options;
        const outage = this.#outages.get(kind) ?? { since: clock.getMonotonic(), failures: 0 };
        outage.failures += 1;
        this.#outages.set(kind, outage);
        if (outage.failures === 1) {
            log.record("process", "store lost", { ...failure, kind, failure: failure.kind });
            onWatchLost();
        }
        const maxBackoff = hasWatchingPeer() ? MAX_BACKOFF_BESIDE_WATCHER_MILLISECONDS : MAX_BACKOFF_MILLISECONDS;
        const delay = Math.min(maxBackoff, MIN_BACKOFF_MILLISECONDS * 2 ** (outage.failures - 1));
        await waitMilliseconds(delay * (0.5 + random()));
    }

    #applyConfigurations(objects: StoreObject[], source: StateSource): void {
        for (const object of objects) {
            const configuration = decodeConfiguration(object);
            if (configuration === undefined) {
                this.#logMalformed(StoreKind.configuration, object);
                continue;
            }
            this.#options.state.adoptConfiguration(configuration, source);
        }
    }

    #applyTargetList(list: StoreList): void {
        const targets = list.objects.flatMap(object => this.#decodeTargets(object));
        const { era, revision } = list;
        this.#options.state.applySnapshot({ era, revision, targets }, "store");
    }

    #applyTargetEvents({ events, era, revision }: StoreEvents): void {
        const { directory } = this.#options.state;
        // A list received from a peer can be ahead of this watch; changes that it already includes must not be undone. A
        // removal has no revision of its own: it is included if the whole reply is, or if its target has been added again.
        if (era !== directory.era || revision <= directory.revision) {
            return;
        }
        const latest = [...new Map(events.map(event => [event.object.name, event])).values()];
        const changed = latest.filter(event => !event.isDeleted && event.object.revision > directory.revision);
        const removed = latest.filter(event => event.isDeleted).map(event => event.object.name);
        const decoded = changed.map(event => ({ event, targets: this.#decodeTargets(event.object) }));
        const unusable = decoded.filter(({ targets }) => targets.length === 0).map(({ event }) => event.object.name);
        const from = directory.changeRevision;
        const latestRevision = Math.max(from, ...latest.map(event => event.object.revision));
        // If a removal has no revision of its own, only the revision of the whole reply shows the change.
        const changeRevision = latestRevision > from ? latestRevision : revision;
        const changedTargets = decoded.flatMap(({ targets }) => targets);
        const targetEvents = {
            era,
            from,
            changeRevision,
            revision,
            changed: changedTargets,
            removed: [...removed, ...unusable],
        };
        this.#options.state.applyEvents(targetEvents, "store");
    }

    #decodeTargets(object: StoreObject): ServingTarget[] {
        const target = decodeTarget(object);
        if (target === undefined) {
            this.#logMalformed(StoreKind.targets, object);
            return [];
        }
        return [target];
    }

    #applyZoneList(list: StoreList): void {
        const zones = list.objects.map(object => object.name).sort();
        const { era, revision } = list;
        this.#options.state.applyZones({ era, revision, changeRevision: revision, zones }, "store");
    }

    #applyZoneEvents({ events, era, revision }: StoreEvents): void {
        const known = this.#options.state.zones;
        if (known === undefined || known.era !== era || revision <= known.revision) {
            return;
        }
        const zones = new Set(known.zones);
        for (const event of events) {
            if (event.isDeleted) {
                zones.delete(event.object.name);
            }
            else {
                zones.add(event.object.name);
            }
        }
        const changeRevision = events.length > 0 ? revision : known.changeRevision;
        this.#options.state.applyZones({ era, revision, changeRevision, zones: [...zones].sort() }, "store");
    }

    #applyRolloutList({ objects, era, revision }: StoreList): void {
        // An order that was written while the store could not be read is as old as the latest successful call.
        const now = this.#options.clock.getMonotonic();
        const ageMilliseconds = now - (this.#rolloutsReadAt ?? now);
        this.#rolloutsReadAt = now;
        const orders = objects.flatMap(object => this.#decodeRollouts(object, ageMilliseconds));
        this.#options.state.applyRollouts({ era, revision, changeRevision: revision, orders }, "store");
    }

    #applyRolloutEvents({ events, era, revision }: StoreEvents): void {
        this.#rolloutsReadAt = this.#options.clock.getMonotonic();
        const known = this.#options.state.rollouts?.getSnapshot(this.#rolloutsReadAt);
        if (known === undefined || known.era !== era || revision <= known.revision) {
            return;
        }
        const orders = new Map(known.orders.map(order => [order.name, order]));
        for (const { object, isDeleted } of events) {
            orders.delete(object.name);
            const [order] = isDeleted ? [] : this.#decodeRollouts(object, 0);
            if (order !== undefined) {
                orders.set(object.name, order);
            }
        }
        const changeRevision = events.length > 0 ? revision : known.changeRevision;
        const snapshot = { era, revision, changeRevision, orders: [...orders.values()] };
        this.#options.state.applyRollouts(snapshot, "store");
    }

    #decodeRollouts(object: StoreObject, ageMilliseconds: number): RolloutOrder[] {
        const order = decodeRollout(object, { ageMilliseconds });
        if (order === undefined) {
            this.#logMalformed(StoreKind.rollouts, object);
            return [];
        }
        return [order];
    }

    #logMalformed(kind: string, { name, revision }: StoreObject): void {
        this.#malformedObjects.record({ kind, name, revision });
    }
}
