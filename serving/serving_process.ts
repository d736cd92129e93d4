/**
 * The serving process of one instance: creates its components, connects them, and starts and stops them.
 *
 * @module
 */
import type { Server } from "node:http";
import type { Clock } from "../core/clock/mod.ts";
import { type ClientCapacity, computeClientCapacity, DigestReason, type ShutdownState } from "../core/serving/mod.ts";
import {
    ClientGuard,
    type OpenConnection,
    openHttpServer,
    openObservedConnection,
    waitMilliseconds,
} from "../network/mod.ts";
import {
    decodePeer,
    encodePeer,
    type InstanceSettings,
    type PeerRegistration,
    StoreClient,
    StoreKind,
    type StoreObject,
} from "../platform/mod.ts";
import { type DecisionLog, openAdminServer, systemClock } from "../telemetry/mod.ts";
import type { ServingContext } from "./caller_exchange.ts";
import { CallerServer, getClientTimeouts } from "./caller_server.ts";
import { ClientDropLog } from "./client_drop_log.ts";
import { EngineClient } from "./engine_client.ts";
import { LeavingEnginePoller } from "./leaving_engine_poller.ts";
import { MalformedObjectLog } from "./malformed_object_log.ts";
import { MoveCoordinator } from "./move_coordinator.ts";
import { PartitionMonitor } from "./partition_monitor.ts";
import { PeerExchange } from "./peer_exchange.ts";
import { QuarantineStore } from "./quarantine_store.ts";
import { buildRequestExplanation } from "./request_explanation.ts";
import { RequestScheduler } from "./request_scheduler.ts";
import { RolloutController } from "./rollout_controller.ts";
import { ServingMetrics } from "./serving_metrics.ts";
import { ServingState } from "./serving_state.ts";
import { StoreWatcher } from "./store_watcher.ts";
import { StreamVersionStore } from "./stream_version_store.ts";
import { TargetConnections } from "./target_connections.ts";
import { TargetProbe } from "./target_probe.ts";

/** Options of a {@linkcode ServingProcess}. */
export interface ServingProcessOptions {
    /** Settings of the instance. */
    settings: InstanceSettings;
    /** Decision log. */
    log: DecisionLog;
    /** Source of time. Defaults to the system clock. */
    clock?: Clock;
    /** Random number generator that returns numbers from 0 (inclusive) to 1 (exclusive). Defaults to `Math.random`. */
    random?: () => number;
    /** Opens a connection to a target. Defaults to one over TCP. */
    openTargetConnection?: OpenConnection;
    /** Opens a connection to a peer. Defaults to one over TCP. */
    openPeerConnection?: OpenConnection | undefined;
    /** True if requests to paced services are admitted by what the whole fleet serves. Defaults to false. */
    isFleetAdmissionEnabled?: boolean | undefined;
}

/** Interval at which expired missing targets are removed and changed limits are applied, in milliseconds. */
const MAINTENANCE_INTERVAL_MILLISECONDS = 100;
/**
 * Time for which a stopping process still accepts callers' requests, in milliseconds. The load balancer checks
 * readiness once a second and removes an instance after two failed checks.
 */
const BALANCER_REMOVAL_MILLISECONDS = 2600;
/** Time before it is killed at which a stopping process abandons its active requests, in milliseconds. */
const STOP_RESERVE_MILLISECONDS = 350;
/** Time for which a stopping process waits until the callers of abandoned requests are answered, in milliseconds. */
const ABORT_MILLISECONDS = 150;
/** Time without a request after which a stopping process ends, in milliseconds: longer than a request is in transit. */
const IDLE_BEFORE_STOP_MILLISECONDS = 150;
/**
 * Time for which a starting instance waits for the state of a seed before it reads the store, in milliseconds. A store
 * that was restored from a copy may be older than the state of the peers.
 */
const PEER_STATE_WAIT_MILLISECONDS = 600;
/** Interval of requests to the seeds for their state during that time, in milliseconds. */
const SEED_REQUEST_INTERVAL_MILLISECONDS = 150;
/** Interval at which a starting instance checks whether the state has arrived, in milliseconds. */
const SEED_POLL_INTERVAL_MILLISECONDS = 10;
/** Times after the start at which the list of instances is requested from a peer, in milliseconds. */
const PEER_LIST_REQUEST_MILLISECONDS = [1000, 3000, 8000];
/** Time over which the instances spread their registrations after the store was restored, in milliseconds. */
const REGISTRATION_SPREAD_MILLISECONDS = 2000;
/** Delay between attempts to register this instance in the store, in milliseconds. */
const REGISTRATION_RETRY_MILLISECONDS = 1000;

/** Sizes for the clients of the readiness port; balancers keep a few connections and send small requests. */
const READINESS_CAPACITY: ClientCapacity = { maxBytes: 4_000_000, maxConnections: 64 };
/** Sizes for the clients of the administrative port. */
const ADMIN_CAPACITY: ClientCapacity = { maxBytes: 4_000_000, maxConnections: 32 };

/** Ports whose clients are limited. */
type GuardedPort = "callers" | "readiness" | "admin";

/** Serves callers until it is stopped. */
export class ServingProcess {
    #settings: InstanceSettings;
    readonly #log: DecisionLog;
    readonly #clock: Clock;
    readonly #state: ServingState;
    readonly #store: StoreClient;
    readonly #malformedObjects: MalformedObjectLog;
    readonly #storeWatcher: StoreWatcher;
    readonly #peerExchange: PeerExchange;
    readonly #quarantineStore: QuarantineStore;
    readonly #streamVersions: StreamVersionStore;
    readonly #scheduler: RequestScheduler;
    readonly #connections: TargetConnections;
    readonly #rolloutController: RolloutController;
    readonly #partitionMonitor: PartitionMonitor;
    readonly #metrics: ServingMetrics;
    readonly #guards: Record<GuardedPort, ClientGuard>;
    readonly #clientDrops: ClientDropLog;
    readonly #callerServer: CallerServer;
    readonly #leavingEnginePoller: LeavingEnginePoller;
    readonly #context: ServingContext;
    readonly #servers: Server[] = [];
    #timer: NodeJS.Timeout | undefined;
    #startedAt = 0;
    #seedsRequestedAt = Number.NEGATIVE_INFINITY;
    #stopRequestedAt: number | undefined;
    #wasReady = false;

    constructor(options: ServingProcessOptions) {
        const { settings, log, clock = systemClock, random = Math.random } = options;
        const { openTargetConnection = openObservedConnection } = options;
        this.#connections = new TargetConnections({
            openConnection: openTargetConnection,
            memoryMegabytes: settings.machine.memoryMegabytes,
        });
        this.#connections.onDoubtfulResponse = ({ call, head, reason }) =>
            log.record("trouble", "response proves nothing", {
                request: call.requestId,
                target: call.targetId,
                status: head.status,
                isRefusal: head.isRefusal,
                reason,
            });
        this.#settings = settings;
        this.#log = log;
        this.#clock = clock;
        const { isFleetAdmissionEnabled } = options;
        this.#state = new ServingState({ settings, clock, log, random, isFleetAdmissionEnabled });
        this.#metrics = new ServingMetrics({
            countActive: () => this.#callerServer.activeRequests,
            countDroppedLines: () => log.droppedTotal,
            getConfigurationVersion: () => this.#state.table?.configuration.version ?? -1,
            countLimitedTargets: () => Object.keys(this.#state.rateLimits.listLimits()).length,
            countWaiting: () => this.#scheduler.waiting,
            countClientConnections: () => this.#guards.callers.connectionCount,
            countClientBytes: () => this.#guards.callers.usedBytes,
        });
        this.#clientDrops = new ClientDropLog({ log, metrics: this.#metrics });
        this.#guards = {
            callers: this.#createGuard("callers", computeClientCapacity(settings.machine)),
            readiness: this.#createGuard("readiness", READINESS_CAPACITY),
            admin: this.#createGuard("admin", ADMIN_CAPACITY),
        };
        this.#malformedObjects = new MalformedObjectLog(log);
        this.#store = new StoreClient({
            address: settings.storeAddress,
            onMalformed: object => this.#malformedObjects.record(object),
        });
        const shared = { state: this.#state, log, metrics: this.#metrics, clock, random };
        this.#storeWatcher = new StoreWatcher({
            ...shared,
            store: this.#store,
            decideWatching: () => this.#peerExchange.decideWatching(),
            isFirstWatcher: () => this.#peerExchange.isFirstWatcher,
            onWatchLost: () => this.#peerExchange.announceWatching(),
            hasWatchingPeer: () => this.#peerExchange.hasWatcher(),
            waitForPeerState: () => this.#waitForPeerState(),
        });
        this.#peerExchange = new PeerExchange({
            ...shared,
            instance: settings.instance,
            zone: settings.zone,
            address: settings.peerAddress,
            isWatching: () => this.#storeWatcher.isWatching,
            getRelayAddress: () =>
                this.#partitionMonitor.isPartitioned || this.#stopRequestedAt !== undefined
                    ? ""
                    : `${settings.callerAddress.host}:${settings.callerAddress.port}`,
            readConfiguration: () => this.#storeWatcher.readKind(StoreKind.configuration),
            readTargets: () => this.#storeWatcher.readKind(StoreKind.targets),
            openConnection: options.openPeerConnection,
        });
        this.#quarantineStore = new QuarantineStore({
            ...shared,
            store: this.#store,
            isWriter: () => this.#peerExchange.isStoreWriter,
        });
        this.#streamVersions = new StreamVersionStore({
            ...shared,
            instance: settings.instance,
            store: this.#store,
            isWriter: () => this.#peerExchange.isStoreWriter,
            readTargets: () => this.#storeWatcher.readKind(StoreKind.targets),
            isInStepSince: time => this.#peerExchange.isInStepSince(time),
        });
        this.#rolloutController = new RolloutController({
            ...shared,
            store: this.#store,
            isWriter: () => this.#peerExchange.isStoreWriter,
            isConnected: () => this.#peerExchange.isConnected(),
        });
        this.#partitionMonitor = new PartitionMonitor({
            ...shared,
            connections: this.#connections,
            openConnection: openTargetConnection,
            onChange: () => this.#state.loadTracker.onEngineLoadChange(DigestReason.loadIncreased),
        });
        const engines = new EngineClient({ state: this.#state, clock });
        this.#scheduler = new RequestScheduler({ ...shared, zone: settings.zone });
        this.#context = {
            ...shared,
            zone: settings.zone,
            scheduler: this.#scheduler,
            connections: this.#connections,
            engines,
            targetProbe: new TargetProbe({
                engines,
                openConnection: openTargetConnection,
                findTarget: id => this.#state.directory.findTarget(id),
                clock,
            }),
            streamVersions: this.#streamVersions,
            partitionMonitor: this.#partitionMonitor,
            listRelayPeers: () => this.#peerExchange.listRelayPeers(),
            getShutdown: () => this.#getShutdown(),
        };
        this.#callerServer = new CallerServer(this.#context, this.#guards.callers);
        this.#leavingEnginePoller = new LeavingEnginePoller({
            state: this.#state,
            engines,
            clock,
            listStreams: () => this.#callerServer.activeStreams,
            receivesStoreUpdates: () => this.#storeWatcher.isWatching || this.#peerExchange.hasWatcher(),
        });
        const moveCoordinator = new MoveCoordinator({
            context: this.#context,
            listStreams: () => this.#callerServer.activeStreams,
        });
        this.#state.restoreListeners.push(() => this.#registerAgain(random() * REGISTRATION_SPREAD_MILLISECONDS));
        this.#state.restoreListeners.push(() => this.#quarantineStore.handleRestore());
        this.#state.restoreListeners.push(() => this.#streamVersions.handleRestore());
        this.#state.targetListeners.push(change => {
            moveCoordinator.handleChange(change);
            if (change.kind === "leaving" || change.kind === "removed") {
                this.#connections.closeIdleConnections(change.target.id);
            }
        });
    }

    /** Starts watching the store, opens all sockets, and registers this instance in the store. */
    async start(): Promise<void> {
        const settings = this.#settings;
        this.#startedAt = this.#clock.getMonotonic();
        await this.#callerServer.open(settings.callerAddress);
        await this.#openReadinessServer();
        await this.#peerExchange.open();
        this.#servers.push(
            await openAdminServer({
                address: settings.adminAddress,
                registry: this.#metrics.registry,
                dumpState: () => this.dumpState(),
                pages: {
                    "/explain": parameters =>
                        buildRequestExplanation(this.#context, { parameters, readiness: this.#getUnreadyReason() }),
                },
                getUnreadyReason: () => this.#getUnreadyReason(),
                guard: this.#guards.admin,
            }),
        );
        this.#storeWatcher.start();
        void this.#registerInstance();
        for (const delay of PEER_LIST_REQUEST_MILLISECONDS) {
            setTimeout(() => this.#peerExchange.requestPeerList(), delay).unref();
        }
        this.#leavingEnginePoller.start();
        this.#startMaintenance();
        this.#log.record("process", "started", { instance: settings.instance, zone: settings.zone });
    }

    /** Applies changed limits; addresses keep their values until the next start. */
    applySettings(settings: InstanceSettings): void {
        this.#settings = settings;
        this.#state.applySettings(settings);
        this.#guards.callers.setLimits({ capacity: computeClientCapacity(settings.machine) });
    }

    /**
     * Stops gracefully: fails the readiness check, waits for the load balancer to remove this instance, finishes active
     * requests, and closes.
     */
    async drain(): Promise<void> {
        this.#stopRequestedAt = this.#clock.getMonotonic();
        const { stopGraceMilliseconds } = this.#settings;
        this.#log.record("process", "stopping", { active: this.#callerServer.activeRequests, stopGraceMilliseconds });
        await waitMilliseconds(this.#rotationMilliseconds);
        const latest = this.#stopRequestedAt + stopGraceMilliseconds - STOP_RESERVE_MILLISECONDS;
        await this.#callerServer.drain({ idleMilliseconds: IDLE_BEFORE_STOP_MILLISECONDS, until: latest });
        const aborted = this.#callerServer.activeRequests;
        if (aborted > 0) {
            await this.#callerServer.abortRequests({ until: latest + ABORT_MILLISECONDS });
        }
        this.#log.record("process", "stopped", { aborted, cut: this.#callerServer.activeRequests });
        this.close();
    }

    /** Time after the request to stop for which the load balancer may send new callers, in milliseconds. */
    get #rotationMilliseconds(): number {
        return Math.min(BALANCER_REMOVAL_MILLISECONDS, this.#settings.stopGraceMilliseconds / 2);
    }

    #getShutdown(): ShutdownState | undefined {
        if (this.#stopRequestedAt === undefined) {
            return undefined;
        }
        const elapsedMilliseconds = this.#clock.getMonotonic() - this.#stopRequestedAt;
        return {
            remainingMilliseconds: this.#settings.stopGraceMilliseconds - elapsedMilliseconds,
            isInRotation: elapsedMilliseconds < this.#rotationMilliseconds,
        };
    }

    /** Stops all components at once, without waiting for active requests. */
    close(): void {
        this.#stopRequestedAt ??= this.#clock.getMonotonic();
        this.#storeWatcher.stop();
        this.#leavingEnginePoller.stop();
        this.#callerServer.close();
        this.#peerExchange.close();
        this.#streamVersions.close();
        this.#connections.close();
        this.#store.close();
        for (const server of this.#servers) {
            server.close();
            server.closeAllConnections();
        }
        clearInterval(this.#timer);
    }

    /** Describes the whole state, without API keys, for a state dump. */
    dumpState(): Record<string, unknown> {
        return {
            instance: this.#settings.instance,
            zone: this.#settings.zone,
            readiness: this.#getUnreadyReason(),
            configuration: this.#state.table?.configuration.version,
            zones: this.#state.zones,
            targets: this.#state.directory.getSnapshot(this.#clock.getMonotonic()),
            rateLimits: this.#state.rateLimits.listLimits(),
            refusalLimits: this.#state.refusalLimits.listLimits(),
            baselines: this.#state.softwareVersions.listBaselines(),
            quarantined: this.#state.requestQuarantine.listQuarantined(this.#clock.getMonotonic()),
            work: this.#state.loadTracker.getDigest(),
            instances: this.#state.instances,
            peers: this.#peerExchange.dumpState(),
            store: this.#storeWatcher.dumpState(),
            lines: this.#scheduler.dumpState(),
            active: this.#callerServer.activeRequests,
        };
    }

    #createGuard(port: GuardedPort, capacity: ClientCapacity): ClientGuard {
        return new ClientGuard({
            capacity,
            timeouts: getClientTimeouts(),
            onDrop: reason => this.#clientDrops.recordDrop(port, reason),
        });
    }

    /** Closes the clients whose time is over, and logs what was closed. */
    #updateGuards(): void {
        Object.values(this.#guards).forEach(guard => guard.update());
        this.#clientDrops.update(this.#clock.getMonotonic(), port => {
            const { connectionCount, usedBytes } = this.#guards[port as GuardedPort];
            return { connections: connectionCount, bytes: usedBytes };
        });
    }

    async #openReadinessServer(): Promise<void> {
        this.#servers.push(
            await openHttpServer({
                address: this.#settings.readinessAddress,
                guard: this.#guards.readiness,
                handler: (_, response) => {
                    const reason = this.#getUnreadyReason();
                    response.writeHead(reason === "" ? 200 : 503, { "content-length": Buffer.byteLength(reason) });
                    response.end(reason);
                },
            }),
        );
    }

    /** Gets the reason why this instance is not ready for callers; empty if it is ready. */
    #getUnreadyReason(): string {
        if (this.#stopRequestedAt !== undefined) {
            return "stopping";
        }
        const { unreadyReason } = this.#state;
        if (unreadyReason !== "") {
            return unreadyReason;
        }
        const isReplyExpected = this.#listOtherSeeds().length > 0 && !this.#peerExchange.hasPeerReplied
            && this.#clock.getMonotonic() - this.#startedAt < PEER_STATE_WAIT_MILLISECONDS;
        return isReplyExpected ? "no state of a peer yet" : "";
    }

    #listOtherSeeds(): string[] {
        const { host, port } = this.#settings.peerAddress;
        return this.#settings.seedAddresses.filter(seed => seed !== `${host}:${port}`);
    }

    /**
     * Requests the state from the seeds. An instance that is a seed itself reads the store at once; the others do so only
     * if no seed has replied with its state in time, since each instance that starts would cost the store several calls.
     */
    async #waitForPeerState(): Promise<void> {
        const seeds = this.#listOtherSeeds();
        const isSeed = seeds.length < this.#settings.seedAddresses.length;
        const isEnded = (): boolean =>
            this.#state.unreadyReason === "" || this.#stopRequestedAt !== undefined
            || this.#clock.getMonotonic() - this.#startedAt >= PEER_STATE_WAIT_MILLISECONDS;
        while (seeds.length > 0 && !isEnded()) {
            if (this.#clock.getMonotonic() >= this.#seedsRequestedAt + SEED_REQUEST_INTERVAL_MILLISECONDS) {
                this.#seedsRequestedAt = this.#clock.getMonotonic();
                seeds.forEach(seed => this.#peerExchange.requestState(seed));
            }
            if (isSeed) {
                return;
            }
            await waitMilliseconds(SEED_POLL_INTERVAL_MILLISECONDS);
        }
    }

    #startMaintenance(): void {
        this.#timer = setInterval(() => {
            this.#state.expireMissingTargets();
            this.#state.expireHeldZones();
            this.#state.settleEnds();
            this.#state.expireQuarantines();
            void this.#quarantineStore.update();
            this.#streamVersions.update();
            this.#rolloutController.update();
            this.#partitionMonitor.update();
            this.#updateGuards();
            const isReady = this.#getUnreadyReason() === "";
            if (isReady !== this.#wasReady) {
                this.#wasReady = isReady;
                this.#log.record("process", isReady ? "ready" : "not ready", { reason: this.#getUnreadyReason() });
            }
            const limits = this.#state.table?.configuration.limits;
            if (limits !== undefined) {
                this.#callerServer.applyLimits(limits);
            }
        }, MAINTENANCE_INTERVAL_MILLISECONDS);
    }

    /** Writes the registration of this instance again after `delay` milliseconds. */
    #registerAgain(delay: number): void {
        setTimeout(() => {
            if (this.#stopRequestedAt === undefined) {
                void this.#registerInstance();
            }
        }, delay).unref();
    }

    /** Registers this instance in the store, and adds the other registered instances unless a peer has listed them. */
    async #registerInstance(): Promise<void> {
        await this.#waitForPeerState();
        const { instance, peerAddress, zone } = this.#settings;
        const address = `${peerAddress.host}:${peerAddress.port}`;
        let isRegistered = false;
        while (this.#stopRequestedAt === undefined) {
            if (!isRegistered) {
                const reply = await this.#store.putObject(StoreKind.instances, encodePeer({ instance, address, zone }));
                this.#metrics.countStoreCall(StoreKind.instances, reply.kind);
                isRegistered = reply.kind === "ok";
            }
            if (!isRegistered) {
                this.#log.record("process", "instance not entered", { kind: StoreKind.instances });
            }
            if (isRegistered && this.#peerExchange.isPeerListKnown) {
                return;
            }
            const listed = isRegistered ? await this.#store.listObjects(StoreKind.instances) : undefined;
            if (listed?.kind === "ok") {
                const peers = listed.value.objects.flatMap(object => this.#decodePeers(object));
                this.#peerExchange.addListedPeers(peers);
                this.#log.record("process", "instances listed", {
                    count: peers.length,
                    revision: listed.value.revision,
                });
                return;
            }
            await waitMilliseconds(REGISTRATION_RETRY_MILLISECONDS);
        }
    }

    /** Decodes the registration of an instance, and logs one that cannot be used. */
    #decodePeers(object: StoreObject): PeerRegistration[] {
        const peer = decodePeer(object);
        if (peer === undefined) {
            const { name, revision } = object;
            this.#malformedObjects.record({ kind: StoreKind.instances, name, revision });
            return [];
        }
        return [peer];
    }
}
