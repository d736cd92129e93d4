/**
 * Dispatches the events of one instance's agent to the components that handle them.
 *
 * @module
 */
import type { LoadReport } from "../admission/mod.ts";
import { buildRoutingTable, type RoutingTable } from "../inventory/mod.ts";
import { Membership } from "../membership/mod.ts";
import type { OrderResult } from "../orders/mod.ts";
import type { PlatformReply } from "../platform/mod.ts";
import type { AgentToGateway, GatewayToAgent, PeerMessage } from "./agent_messages.ts";
import type { AgentOptions } from "./agent_options.ts";
import { ClaimCoordinator } from "./claim_coordinator.ts";
import { ConfigurationSync } from "./configuration_sync.ts";
import { OrderDispatcher } from "./order_dispatcher.ts";
import { type AgentEffect, Outbox } from "./outbox.ts";
import { PermitBroker } from "./permit_broker.ts";
import { TargetOwner } from "./target_owner.ts";

/** An event that the agent's control logic handles. */
export type AgentEvent =
    /** The periodic timer has fired. */
    | { kind: "tick"; }
    | { kind: "peer-message"; from: string; message: PeerMessage; }
    | { kind: "gateway-opened"; connection: string; }
    | { kind: "gateway-message"; connection: string; message: GatewayToAgent; }
    | { kind: "gateway-closed"; connection: string; }
    | { kind: "platform-reply"; callId: number; reply: PlatformReply; }
    /** The reply to a poll of a target; the report is `undefined` if none arrived. */
    | { kind: "target-report"; callId: number; report: LoadReport | undefined; }
    /** A target has closed its load report connection, so it may have restarted. */
    | { kind: "target-closed"; address: string; }
    | { kind: "order-reply"; callId: number; reply: OrderResult; }
    /** The instance is about to shut down, and must announce that it is leaving. */
    | { kind: "leave"; };

type EventHandlers = { [Kind in AgentEvent["kind"]]: (event: Extract<AgentEvent, { kind: Kind; }>) => void; };
type PeerHandlers = {
    [Kind in PeerMessage["kind"]]: (from: string, message: Extract<PeerMessage, { kind: Kind; }>) => void;
};
type GatewayHandlers = {
    [Kind in GatewayToAgent["kind"]]: (connection: string, message: Extract<GatewayToAgent, { kind: Kind; }>) => void;
};

/** The control logic of one instance's agent, which turns events into effects. */
export class AgentCore {
    readonly #options: AgentOptions;
    readonly #membership: Membership;
    readonly #outbox: Outbox;
    readonly #configuration: ConfigurationSync;
    readonly #targetOwner: TargetOwner;
    readonly #permitBroker: PermitBroker;
    readonly #claimCoordinator: ClaimCoordinator;
    readonly #orderDispatcher: OrderDispatcher;
    /** Connected gateways: content hashes of the configuration parts that each one has, by connection. */
    readonly #gateways = new Map<string, ReadonlySet<string>>();
    #routingTable: RoutingTable = buildRoutingTable({
        zones: [],
        models: [],
        targets: [],
        kinds: [],
        accounts: [],
        rules: [],
    });
    /** True once a peer has replied to a gossip request. */
    #hasPeerReply = false;
    /** Reason in the serving state that gateways were last sent; empty if they may start new requests. */
    #lastNotServingReason = "";

    constructor(options: AgentOptions) {
        this.#options = options;
        this.#membership = new Membership(options.self, {
            random: options.random,
            ...options.gossipMilliseconds === undefined ? {} : { intervalMilliseconds: options.gossipMilliseconds },
        });
        const membership = this.#membership;
        const outbox = new Outbox({ findAddress: id => this.#membership.findMember(id)?.address });
        this.#outbox = outbox;
        const send = (to: string, message: PeerMessage): void => this.#send(to, message);
        this.#configuration = new ConfigurationSync({
            options,
            membership,
            outbox,
            onConfigurationChange: () => this.#handleConfigurationChange(),
        });
        this.#targetOwner = new TargetOwner({
            options,
            membership,
            outbox,
            send,
            getRoutingTable: () => this.#routingTable,
            isServing: () => this.isServing,
            onReport: (target, report) => this.#orderDispatcher.handleReport(target, report),
        });
        this.#orderDispatcher = new OrderDispatcher({
            options,
            outbox,
            findTarget: name => this.#routingTable.targets.get(name),
        });
        this.#permitBroker = new PermitBroker({
            self: options.self.id,
            findOwner: target => this.#targetOwner.findOwner(target),
            send,
            sendGateway: (connection, message) => outbox.sendGateway(connection, message),
        });
        this.#claimCoordinator = new ClaimCoordinator({
            options,
            outbox,
            send,
            findOwner: shard => this.#targetOwner.findOwner(shard),
        });
    }

    /** Handles an event and returns the effects to carry out. */
    handle(event: AgentEvent): AgentEffect[] {
        const handler = this.#eventHandlers[event.kind] as (event: AgentEvent) => void;
        handler(event);
        return this.#outbox.takeEffects();
    }

    /** True if the gateways of this instance may start new requests. */
    get isServing(): boolean {
        return this.#findNotServingReason() === "";
    }

    /** Generation of the configuration in force. */
    get generation(): number {
        return this.#configuration.state.generation;
    }

    /** True once this instance is leaving and has no connected gateways or unfinished claims, so that it may exit. */
    get isDrained(): boolean {
        return this.#membership.self.isLeaving && this.#gateways.size === 0 && this.#claimCoordinator.isIdle;
    }

    /** Lists the names of the targets that this instance owns. */
    listOwned(): string[] {
        return this.#targetOwner.listOwned();
    }

    /** Gets the event counts by name. */
    getCounts(): ReadonlyMap<string, number> {
        return this.#outbox.getCounts();
    }

    /** Describes the state for a state dump, without the hashes of API keys, which are its only secrets. */
    dumpState(): Record<string, unknown> {
        const now = this.#now;
        const { manifest } = this.#configuration.state;
        return {
            self: this.#membership.self,
            serving: this.#findNotServingReason() || "serving",
            configuration: {
                generation: this.generation,
                editId: manifest?.editId,
                author: manifest?.author,
                confirmedAgeMilliseconds: this.#configuration.state.getConfirmedAge(now),
                leaving: [...this.#configuration.leaving],
            },
            members: this.#membership.dumpState(now),
            targets: this.#targetOwner.dumpState(now),
            permits: this.#permitBroker.dumpState(),
            claims: this.#claimCoordinator.dumpState(),
            orders: this.#orderDispatcher.dumpState(),
            counts: Object.fromEntries(this.getCounts()),
        };
    }

    get #now(): number {
        return this.#options.clock.getMonotonic();
    }

    readonly #eventHandlers: EventHandlers = {
        "tick": () => this.#handleTick(),
        "peer-message": event => this.#handlePeerMessage(event.from, event.message),
        "gateway-opened": event => this.#handleGatewayOpened(event.connection),
        "gateway-message": event => this.#handleGatewayMessage(event.connection, event.message),
        "gateway-closed": event => this.#handleGatewayClosed(event.connection),
        "platform-reply": event => this.#outbox.handlePlatformReply(event.callId, event.reply),
        "target-report": event => this.#outbox.handleReport(event.callId, event.report),
        "order-reply": event => this.#outbox.handleOrderResult(event.callId, event.reply),
        "target-closed": event => this.#targetOwner.handleTargetClosed(event.address, this.#now),
        "leave": () => this.#handleLeave(),
    };

    readonly #peerHandlers: PeerHandlers = {
        "gossip": (from, message) => {
            this.#configuration.handlePeerGeneration(from, message.generation);
            const context = { now: this.#now, payload: this.#buildGossipPayload() };
            this.#outbox.sendPeer(from, this.#membership.handleGossip(message, context));
        },
        "gossip-reply": (from, message) => {
            this.#hasPeerReply = true;
            this.#membership.handleReply(message);
            this.#configuration.handlePeerGeneration(from, message.generation);
            const { generation, confirmedAge, echo } = message;
            const now = this.#now;
            this.#configuration.state.recordConfirmation(generation, { age: now - echo + confirmedAge, now });
        },
        "farewell": (_from, message) => this.#membership.handleShutdown(message, this.#now),
        "acquire": (_from, message) => this.#targetOwner.handleAcquire(message.request, this.#now),
        "granted": (from, message) => this.#permitBroker.handleGranted(from, message),
        "refused": (_from, message) => this.#permitBroker.handleRefused(message),
        "release": (_from, message) => this.#targetOwner.handleRelease(message, this.#now),
        "announce": (_from, message) => this.#targetOwner.handleAnnounce(message.permits, this.#now),
        "handover-offer": (from, message) =>
            this.#targetOwner.requestHandover(message.target, { from, now: this.#now }),
        "handover-request": (from, message) =>
            this.#targetOwner.handleHandoverRequest(message, { from, now: this.#now }),
        "handover": (_from, message) => this.#targetOwner.handleHandover(message, this.#now),
        "headroom": (_from, message) => this.#permitBroker.handleHeadroom(message.items, this.#gateways.keys()),
        "claim": (from, message) => this.#claimCoordinator.handleClaim(from, message.request),
        "claim-result": (_from, message) => this.#claimCoordinator.handleResult(message.holder, message.result),
        "settle": (from, message) => this.#claimCoordinator.handleSettle(from, message),
        "settled": (_from, message) => {
            this.#claimCoordinator.handleSettled(message.holder);
            for (const connection of this.#gateways.keys()) {
                this.#outbox.sendGateway(connection, message);
            }
        },
        "manifest": (from, message) => this.#configuration.handlePeerManifest(from, message.manifest),
        "pull": (from, message) => this.#configuration.handlePull(from, message.hashes),
        "parts": (_from, message) => this.#configuration.handleParts(message.texts),
    };

    readonly #gatewayHandlers: GatewayHandlers = {
        acquire: (connection, message) => this.#permitBroker.handleAcquire(connection, message.request, this.#now),
        release: (_connection, message) => this.#permitBroker.handleRelease(message),
        progress: (_connection, message) => this.#permitBroker.handleProgress(message),
        hold: (connection, message) => this.#permitBroker.handleHold(connection, message.permits),
        claim: (connection, message) =>
            this.#claimCoordinator.handleGatewayClaim(connection, message.request, this.#now),
        settle: (_connection, message) => this.#claimCoordinator.handleGatewaySettle(message, this.#now),
    };

    #handleTick(): void {
        const now = this.#now;
        const { peers, message } = this.#membership.handleTick(now, this.generation);
        for (const peer of peers) {
            this.#outbox.sendPeer(peer, message);
        }
        this.#configuration.handleTick(now);
        this.#targetOwner.handleTick(now);
        this.#permitBroker.handleTick(now);
        this.#claimCoordinator.handleTick(now);
        this.#orderDispatcher.handleTick(new Set(this.isServing ? this.#targetOwner.listOwned() : []));
        this.#publishServingState();
    }

    #handlePeerMessage(from: string, message: PeerMessage): void {
        const handler = this.#peerHandlers[message.kind] as ((from: string, message: PeerMessage) => void) | undefined;
        handler?.(from, message);
    }

    #handleGatewayMessage(connection: string, message: GatewayToAgent): void {
        const handler = this.#gatewayHandlers[message.kind] as
            | ((connection: string, message: GatewayToAgent) => void)
            | undefined;
        handler?.(connection, message);
    }

    #handleGatewayOpened(connection: string): void {
        this.#gateways.set(connection, new Set());
        this.#sendConfiguration(connection);
        this.#outbox.sendGateway(connection, this.#buildServingMessage());
    }

    #handleGatewayClosed(connection: string): void {
        this.#gateways.delete(connection);
        this.#permitBroker.handleGatewayClosed(connection);
    }

    #handleLeave(): void {
        const message = this.#membership.announceLeaving();
        this.#targetOwner.releaseAll(this.#now);
        for (const { id } of this.#membership.listLive(this.#now)) {
            if (id !== this.#options.self.id) {
                this.#outbox.sendPeer(id, message);
            }
        }
        this.#outbox.logChange("instance leaving the fleet");
    }

    #handleConfigurationChange(): void {
        const { inventory } = this.#configuration.state;
        this.#routingTable = buildRoutingTable(inventory, { leaving: this.#configuration.leaving });
        for (const connection of this.#gateways.keys()) {
            this.#sendConfiguration(connection);
        }
    }

    #sendConfiguration(connection: string): void {
        const { state, leaving } = this.#configuration;
        if (state.manifest === undefined) {
            return;
        }
        const hashes = Object.values(state.manifest.parts);
        const sentHashes = this.#gateways.get(connection);
        const parts = hashes.filter(hash => sentHashes?.has(hash) !== true).map(hash => ({
            hash,
            text: state.getParts([hash])[0] ?? "",
        }));
        this.#gateways.set(connection, new Set(hashes));
        this.#outbox.sendGateway(connection, { kind: "leaving", names: [...leaving] });
        this.#outbox.sendGateway(connection, { kind: "configuration", generation: state.generation, hashes, parts });
    }

    #publishServingState(): void {
        const reason = this.#findNotServingReason();
        if (reason === this.#lastNotServingReason) {
            return;
        }
        this.#lastNotServingReason = reason;
        this.#outbox.logChange(reason === "" ? "serving" : "not serving", { reason });
        for (const connection of this.#gateways.keys()) {
            this.#outbox.sendGateway(connection, this.#buildServingMessage());
        }
    }

    #buildServingMessage(): AgentToGateway {
        const reason = this.#findNotServingReason();
        return { kind: "serving", isServing: reason === "", reason };
    }

    /** Finds the reason why gateways may not start new requests; empty if they may. */
    #findNotServingReason(): string {
        const now = this.#now;
        if (this.generation === 0) {
            return "no configuration is known yet";
        }
        if (this.#configuration.state.isConfirmed(now)) {
            return "";
        }
        const knowsOtherMembers = this.#hasPeerReply || this.#configuration.hasInstanceList;
        if (knowsOtherMembers && this.#membership.hasMajority(now)) {
            return "";
        }
        return "neither the platform nor most peers are in reach";
    }

    #buildGossipPayload(): { generation: number; confirmedAge: number; } {
        const { state } = this.#configuration;
        return {
            generation: state.generation,
            confirmedAge: Math.min(state.getConfirmedAge(this.#now), MAX_SENT_CONFIRMED_AGE_MILLISECONDS),
        };
    }

    #send(to: string, message: PeerMessage): void {
        if (to === this.#options.self.id) {
            this.#handlePeerMessage(to, message);
        }
        else {
            this.#outbox.sendPeer(to, message);
        }
    }
}

/** Maximum confirmed age that gossip carries, in milliseconds; the age is infinite before the first confirmation. */
const MAX_SENT_CONFIRMED_AGE_MILLISECONDS = 1_000_000_000;
