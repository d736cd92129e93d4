/**
 * The serving process of one instance, put together from its parts.
 *
 * @module
 */
import type { Server } from "node:http";
import type { Clock } from "../core/clock/mod.ts";
import { openHttpServer, waitMilliseconds } from "../network/mod.ts";
import { decodePeer, encodePeer, type InstanceSettings, StoreClient, StoreKind } from "../platform/mod.ts";
import { type DecisionLog, openAdminServer, systemClock } from "../telemetry/mod.ts";
import type { ServingContext } from "./caller_exchange.ts";
import { CallerServer } from "./caller_server.ts";
import { EngineWatch } from "./engine_watch.ts";
import { MoveWatch } from "./move_watch.ts";
import { PeerExchange } from "./peer_exchange.ts";
import { PlaceFinder } from "./place_finder.ts";
import { ServingMetrics } from "./serving_metrics.ts";
import { ServingState } from "./serving_state.ts";
import { StoreWatcher } from "./store_watcher.ts";
import { TargetConnections } from "./target_connections.ts";

/** Options of a {@linkcode ServingProcess}. */
export interface ServingProcessOptions {
    /** Settings of the instance. */
    settings: InstanceSettings;
    /** Log of decisions. */
    log: DecisionLog;
    /** Source of time. Defaults to the machine's. */
    clock?: Clock;
    /** Source of random numbers from 0 up to 1. Defaults to the runtime's. */
    random?: () => number;
}

/** Time between two looks for lapsed targets and limits that changed, in milliseconds. */
const SWEEP_INTERVAL = 100;
/** Time for which callers are still accepted after a stop was asked for, in milliseconds: the balancer asks once a second and takes an instance out after two misses. */
const ROTATE_OUT = 2600;
/** Time before the kill at which a stopping process gives up what still runs, in milliseconds. */
const STOP_RESERVE = 350;
/** Time without a request after which a stopping process ends, in milliseconds: longer than a request is on its way. */
const QUIET_TIME = 150;
/** Pause between attempts to enter this instance into the store, in milliseconds. */
const ENTER_PAUSE = 1000;

/** Serves callers until it is told to stop. */
export class ServingProcess {
    #settings: InstanceSettings;
    readonly #log: DecisionLog;
    readonly #clock: Clock;
    readonly #state: ServingState;
    readonly #store: StoreClient;
    readonly #watcher: StoreWatcher;
    readonly #peers: PeerExchange;
    readonly #finder: PlaceFinder;
    readonly #connections = new TargetConnections();
    readonly #metrics: ServingMetrics;
    readonly #callers: CallerServer;
    readonly #engines: EngineWatch;
    readonly #context: ServingContext;
    readonly #servers: Server[] = [];
    #timer: NodeJS.Timeout | undefined;
    #stopAskedAt: number | undefined;
    #wasReady = false;

    constructor(options: ServingProcessOptions) {
        const { settings, log, clock = systemClock, random = Math.random } = options;
        this.#settings = settings;
        this.#log = log;
        this.#clock = clock;
        this.#state = new ServingState({ settings, clock, log });
        this.#metrics = new ServingMetrics({
            countActive: () => this.#callers.activeRequests,
            countDroppedLines: () => log.droppedTotal,
            getConfigurationVersion: () => this.#state.table?.configuration.version ?? -1,
        });
        this.#store = new StoreClient({
            address: settings.storeAddress,
            onMalformed: (kind, reason) => log.record("belief", "store object unreadable", { kind, reason }),
        });
        const shared = { state: this.#state, log, metrics: this.#metrics, clock, random };
        this.#watcher = new StoreWatcher({
            ...shared,
            store: this.#store,
            decideWatching: () => this.#peers.decideWatching(),
        });
        this.#peers = new PeerExchange({
            ...shared,
            instance: settings.instance,
            address: settings.peerAddress,
            isWatching: () => this.#watcher.isWatching,
            readConfiguration: () => this.#watcher.readKind(StoreKind.configuration),
            readTargets: () => this.#watcher.readKind(StoreKind.targets),
        });
        this.#finder = new PlaceFinder({ ...shared, zone: settings.zone });
        this.#context = {
            ...shared,
            finder: this.#finder,
            connections: this.#connections,
            getTimeToKill: () =>
                this.#stopAskedAt === undefined
                    ? undefined
                    : this.#stopAskedAt + this.#settings.stopGraceMilliseconds - this.#clock.getMonotonic(),
        };
        this.#callers = new CallerServer(this.#context);
        this.#engines = new EngineWatch({
            state: this.#state,
            clock,
            listStreams: () => this.#callers.activeStreams,
            hearsStore: () => this.#watcher.isWatching || this.#peers.hasWatcher(),
        });
        const moves = new MoveWatch({ context: this.#context, listStreams: () => this.#callers.activeStreams });
        this.#state.targetListeners.push(change => {
            moves.handleChange(change);
            if (change.kind === "leaving" || change.kind === "removed") {
                this.#connections.dropTarget(change.target.id);
            }
        });
    }

    /** Opens sockets and starts to keep up with the store. */
    async start(): Promise<void> {
        const settings = this.#settings;
        this.#watcher.start();
        await this.#callers.open(settings.callerAddress);
        await this.#openReadiness();
        await this.#peers.open();
        this.#servers.push(
            await openAdminServer({
                address: settings.adminAddress,
                registry: this.#metrics.registry,
                dumpState: () => this.dumpState(),
                describeReadiness: () => this.#describeUnreadiness(),
            }),
        );
        for (const seed of settings.seedAddresses) {
            this.#peers.sendGreeting(seed);
        }
        void this.#enterInstance();
        this.#engines.start();
        this.#startSweep();
        this.#log.record("process", "started", { instance: settings.instance, zone: settings.zone });
    }

    /** Applies changed bounds; addresses stay as they are until the next start. */
    applySettings(settings: InstanceSettings): void {
        this.#settings = settings;
        this.#state.applySettings(settings);
    }

    /** Takes callers out of rotation, finishes what runs, and closes. */
    async drain(): Promise<void> {
        this.#stopAskedAt = this.#clock.getMonotonic();
        const { stopGraceMilliseconds } = this.#settings;
        this.#log.record("process", "stopping", { active: this.#callers.activeRequests, stopGraceMilliseconds });
        await waitMilliseconds(Math.min(ROTATE_OUT, stopGraceMilliseconds / 2));
        const latest = this.#stopAskedAt + stopGraceMilliseconds - STOP_RESERVE;
        await this.#callers.drain({ quietMilliseconds: QUIET_TIME, until: latest });
        this.#log.record("process", "stopped", { cut: this.#callers.activeRequests });
        this.close();
    }

    /** Closes everything at once. */
    close(): void {
        this.#stopAskedAt ??= this.#clock.getMonotonic();
        this.#watcher.stop();
        this.#engines.stop();
        this.#callers.close();
        this.#peers.close();
        this.#connections.close();
        this.#store.close();
        for (const server of this.#servers) {
            server.close();
            server.closeAllConnections();
        }
        clearInterval(this.#timer);
    }

    /** Describes the whole state without keys. */
    dumpState(): Record<string, unknown> {
        return {
            instance: this.#settings.instance,
            zone: this.#settings.zone,
            readiness: this.#describeUnreadiness(),
            configuration: this.#state.table?.configuration.version,
            zones: this.#state.zones,
            targets: this.#state.directory.getSnapshot(),
            work: this.#state.ledger.getDigest(),
            instances: this.#state.instances,
            peers: this.#peers.dumpState(),
            store: this.#watcher.dumpState(),
            lines: this.#finder.dumpState(),
            active: this.#callers.activeRequests,
        };
    }

    async #openReadiness(): Promise<void> {
        this.#servers.push(
            await openHttpServer({
                address: this.#settings.readinessAddress,
                handler: (_, response) => {
                    const reason = this.#describeUnreadiness();
                    response.writeHead(reason === "" ? 200 : 503, { "content-length": Buffer.byteLength(reason) });
                    response.end(reason);
                },
            }),
        );
    }

    /** Says why this instance should get no new callers; empty where it should. */
    #describeUnreadiness(): string {
        return this.#stopAskedAt === undefined ? this.#state.missing : "stopping";
    }

    #startSweep(): void {
        this.#timer = setInterval(() => {
            this.#state.expireLapsed();
            const isReady = this.#describeUnreadiness() === "";
            if (isReady !== this.#wasReady) {
                this.#wasReady = isReady;
                this.#log.record("process", isReady ? "ready" : "not ready", { reason: this.#describeUnreadiness() });
            }
            const limits = this.#state.table?.configuration.limits;
            if (limits !== undefined) {
                this.#callers.applyLimits(limits);
            }
        }, SWEEP_INTERVAL);
    }

    /** Enters this instance into the store and learns of the others. */
    async #enterInstance(): Promise<void> {
        const { instance, peerAddress } = this.#settings;
        const address = `${peerAddress.host}:${peerAddress.port}`;
        let isEntered = false;
        while (this.#stopAskedAt === undefined) {
            if (!isEntered) {
                const reply = await this.#store.putObject(StoreKind.instances, encodePeer({ instance, address }));
                this.#metrics.countStoreCall(StoreKind.instances, reply.kind);
                isEntered = reply.kind === "ok";
            }
            if (!isEntered) {
                this.#log.record("process", "instance not entered", { kind: StoreKind.instances });
            }
            const listed = isEntered ? await this.#store.listObjects(StoreKind.instances) : undefined;
            if (listed?.kind === "ok") {
                const peers = listed.value.objects.flatMap(object => decodePeer(object) ?? []);
                this.#peers.addListed(peers);
                this.#log.record("process", "instances listed", {
                    count: peers.length,
                    revision: listed.value.revision,
                });
                return;
            }
            await waitMilliseconds(ENTER_PAUSE);
        }
    }
}
