/**
 * The agent process: passes network messages and timer ticks to the agent's control logic, and carries out the effects
 * that it returns. The control logic itself does no input or output.
 *
 * @module
 */
import { createHash, randomUUID } from "node:crypto";
import type { Server } from "node:http";
import { collectDefaultMetrics, Gauge, Registry } from "prom-client";
import {
    AgentCore,
    type AgentEffect,
    type AgentEvent,
    type GatewayToAgent,
    type PeerMessage,
} from "../core/agent/mod.ts";
import type { Clock } from "../core/clock/mod.ts";
import { type FrameClient, FrameServer, PeerConnectionPool, waitMilliseconds } from "../network/mod.ts";
import { KeyValueStore, type PlatformClient } from "../platform/mod.ts";
import { type ChangeLogger, openAdminServer, systemClock } from "../telemetry/mod.ts";
import type { AgentSettings } from "./agent_settings.ts";
import { LoadPoller } from "./load_poller.ts";
import { sendOrder } from "./order_client.ts";

/** Options of an {@linkcode AgentProcess}. */
export interface AgentProcessOptions {
    /** Validated settings. */
    settings: AgentSettings;
    /** Logs changes of state. */
    logger: ChangeLogger;
    /** Source of time. Defaults to the system clock. */
    clock?: Clock;
}

/** Interval between the ticks that make the control logic do its periodic tasks, in milliseconds. */
const TICK_MILLISECONDS = 100;
/** Sampling interval of the event loop's lag, in milliseconds; every sample costs CPU time. */
const EVENT_LOOP_SAMPLE_MILLISECONDS = 200;
/** Interval between checks whether draining is complete, in milliseconds. */
const DRAIN_POLL_MILLISECONDS = 100;
/** Time left for sending the last messages before connections are closed, in milliseconds. */
const FINAL_FLUSH_MILLISECONDS = 300;

/** Runs one agent in this process. */
export class AgentProcess {
    readonly #settings: AgentSettings;
    readonly #logger: ChangeLogger;
    readonly #core: AgentCore;
    readonly #clock: Clock;
    readonly #peerConnections: PeerConnectionPool;
    readonly #platform: PlatformClient;
    readonly #loadPoller: LoadPoller;
    readonly #peerServer: FrameServer;
    readonly #gatewayServer: FrameServer;
    readonly #gateways = new Map<string, FrameClient>();
    #adminServer: Server | undefined;
    #tickTimer: NodeJS.Timeout | undefined;

    constructor(options: AgentProcessOptions) {
        const { settings, logger, clock = systemClock } = options;
        this.#settings = settings;
        this.#logger = logger;
        this.#clock = clock;
        this.#peerConnections = new PeerConnectionPool({ self: settings.instance });
        this.#platform = new KeyValueStore({
            address: settings.platform,
            onFailure: (request, reason) => logger.logChange("platform call failed", { call: request.kind, reason }),
        });
        this.#core = createCore(settings, clock);
        this.#loadPoller = new LoadPoller({
            onConnectionClosed: address => this.#handleEvent({ kind: "target-closed", address }),
        });
        this.#peerServer = new FrameServer({
            suppressesIdleHeartbeats: true,
            onMessage: (client, message) => {
                this.#handleEvent({ kind: "peer-message", from: client.from, message: message as PeerMessage });
            },
        });
        this.#gatewayServer = new FrameServer({
            onOpen: client => this.#handleGatewayOpened(client),
            onMessage: (client, message) => {
                this.#handleEvent({
                    kind: "gateway-message",
                    connection: client.id,
                    message: message as GatewayToAgent,
                });
            },
            onClose: client => this.#handleGatewayClosed(client),
        });
    }

    /** Opens the servers and starts the timer. */
    async start(): Promise<void> {
        const { peerAddress, gatewayAddress, adminAddress } = this.#settings;
        await this.#peerServer.open(peerAddress);
        await this.#gatewayServer.open(gatewayAddress);
        this.#adminServer = await openAdminServer({
            address: adminAddress,
            registry: this.#createRegistry(),
            dumpState: () => this.#core.dumpState(),
            getUnreadyReason: () => (this.#core.isServing ? "" : "not serving"),
        });
        this.#tickTimer = setInterval(() => this.#handleEvent({ kind: "tick" }), TICK_MILLISECONDS);
        this.#logger.logChange("agent started", { instance: this.#settings.instance, zone: this.#settings.zone });
    }

    /** Announces that the instance is leaving, waits until it is drained or the time limit passes, and closes. */
    async drain(): Promise<void> {
        this.#handleEvent({ kind: "leave" });
        const deadline = this.#clock.getMonotonic() + this.#settings.drainSeconds * 1000;
        while (!this.#core.isDrained && this.#clock.getMonotonic() < deadline) {
            await waitMilliseconds(DRAIN_POLL_MILLISECONDS);
        }
        await waitMilliseconds(FINAL_FLUSH_MILLISECONDS);
        this.close();
    }

    /** Closes all servers and connections immediately. */
    close(): void {
        clearInterval(this.#tickTimer);
        this.#peerConnections.close();
        this.#loadPoller.close();
        this.#peerServer.close();
        this.#gatewayServer.close();
        this.#adminServer?.close();
        this.#adminServer?.closeAllConnections();
    }

    #handleEvent(event: AgentEvent): void {
        for (const effect of this.#core.handle(event)) {
            this.#applyEffect(effect);
        }
    }

    #applyEffect(effect: AgentEffect): void {
        switch (effect.kind) {
            case "send-peer":
                this.#peerConnections.send(effect.address, effect.message);
                return;
            case "send-gateway":
                this.#gateways.get(effect.connection)?.connection.send(effect.message);
                return;
            case "call-platform":
                void this.#platform.call(effect.request).then(reply => {
                    this.#handleEvent({ kind: "platform-reply", callId: effect.callId, reply });
                });
                return;
            case "poll-target":
                void this.#loadPoller.requestLoad(effect.address).then(report => {
                    this.#handleEvent({ kind: "target-report", callId: effect.callId, report });
                });
                return;
            case "order-target":
                void sendOrder(effect.address, effect.order).then(reply => {
                    this.#handleEvent({ kind: "order-reply", callId: effect.callId, reply });
                });
                return;
            case "log":
                this.#logger.logChange(effect.message, effect.fields);
                return;
        }
    }

    #handleGatewayOpened(client: FrameClient): void {
        this.#gateways.set(client.id, client);
        this.#handleEvent({ kind: "gateway-opened", connection: client.id });
    }

    #handleGatewayClosed(client: FrameClient): void {
        this.#gateways.delete(client.id);
        this.#handleEvent({ kind: "gateway-closed", connection: client.id });
    }

    #createRegistry(): Registry {
        const registry = new Registry();
        collectDefaultMetrics({ register: registry, eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_MILLISECONDS });
        const core = this.#core;
        new Gauge({
            name: "knapweed_agent_events_total",
            help: "Messages sent and platform calls made, by name.",
            labelNames: ["event"],
            registers: [registry],
            collect() {
                for (const [event, count] of core.getCounts()) {
                    this.set({ event }, count);
                }
            },
        });
        new Gauge({
            name: "knapweed_agent_generation",
            help: "Generation of the configuration in force.",
            registers: [registry],
            collect() {
                this.set(core.generation);
            },
        });
        new Gauge({
            name: "knapweed_agent_owned_targets",
            help: "Targets that this instance owns.",
            registers: [registry],
            collect() {
                this.set(core.listOwned().length);
            },
        });
        return registry;
    }
}

function createCore(settings: AgentSettings, clock: Clock): AgentCore {
    const { host, port } = settings.peerAddress;
    return new AgentCore({
        self: {
            id: settings.instance,
            address: `${host}:${port}`,
            zone: settings.zone,
            incarnation: clock.getWallTime(),
            isLeaving: false,
        },
        clock,
        random: Math.random,
        createId: randomUUID,
        hashContent: text => createHash("sha256").update(text).digest("hex"),
        gossipMilliseconds: settings.gossipMilliseconds,
        pollMilliseconds: settings.pollMilliseconds,
        settleMilliseconds: settings.settleMilliseconds,
        claimShards: settings.claimShards,
        maxLoads: settings.maxLoads,
        claimRetentionMilliseconds: settings.claimHorizonSeconds * 1000,
    });
}
