/**
 * Routes every event of one instance's control path to the part that handles it.
 *
 * @module
 */
import type { LoadReport } from "../admission/mod.ts";
import { buildRoutingTable, type RoutingTable } from "../inventory/mod.ts";
import { Membership } from "../membership/mod.ts";
import type { OrderReply } from "../orders/mod.ts";
import type { PlatformReply } from "../platform/mod.ts";
import type { AgentToGateway, GatewayToAgent, PeerMessage } from "./agent_messages.ts";
import type { AgentOptions } from "./agent_options.ts";
import { ClaimBook } from "./claim_book.ts";
import { ConfigurationSync } from "./configuration_sync.ts";
import { OrderDesk } from "./order_desk.ts";
import { type AgentEffect, Outbox } from "./outbox.ts";
import { PermitBroker } from "./permit_broker.ts";
import { TargetOwner } from "./target_owner.ts";

/** Something that happened to an agent. */
export type AgentEvent =
    | { kind: "tick"; }
    | { kind: "peer-message"; from: string; message: PeerMessage; }
    | { kind: "gateway-opened"; connection: string; }
    | { kind: "gateway-message"; connection: string; message: GatewayToAgent; }
    | { kind: "gateway-closed"; connection: string; }
    | { kind: "platform-reply"; callId: number; reply: PlatformReply; }
    | { kind: "target-report"; callId: number; report: LoadReport | undefined; }
    | { kind: "target-closed"; address: string; }
    | { kind: "order-reply"; callId: number; reply: OrderReply; }
    | { kind: "leave"; };

type EventHandlers = { [Kind in AgentEvent["kind"]]: (event: Extract<AgentEvent, { kind: Kind; }>) => void; };
type PeerHandlers = {
    [Kind in PeerMessage["kind"]]: (from: string, message: Extract<PeerMessage, { kind: Kind; }>) => void;
};
type GatewayHandlers = {
    [Kind in GatewayToAgent["kind"]]: (connection: string, message: Extract<GatewayToAgent, { kind: Kind; }>) => void;
};

/** The control path of one instance: takes events and gives effects. */
export class AgentCore {
    readonly #options: AgentOptions;
    readonly #membership: Membership;
    readonly #outbox: Outbox;
    readonly #configuration: ConfigurationSync;
    readonly #owner: TargetOwner;
    readonly #broker: PermitBroker;
    readonly #claims: ClaimBook;
    readonly #orders: OrderDesk;
    /** Addresses of the parts that each gateway was sent, by connection. */
    readonly #gateways = new Map<string, ReadonlySet<string>>();
    #table: RoutingTable = buildRoutingTable({
        zones: [],
        models: [],
        targets: [],
        kinds: [],
        accounts: [],
        rules: [],
    });
    #hasMetPeer = false;
    #lastServing = "";

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
            onAdopted: () => this.#handleAdopted(),
        });
        this.#owner = new TargetOwner({
            options,
            membership,
            outbox,
            send,
            getTable: () => this.#table,
            isServing: () => this.isServing,
            onReport: (target, report) => this.#orders.handleReport(target, report),
        });
        this.#orders = new OrderDesk({ options, outbox, findTarget: name => this.#table.targets.get(name) });
        this.#broker = new PermitBroker({
            self: options.self.id,
            findOwner: target => this.#owner.findOwner(target),
            send,
            sendGateway: (connection, message) => outbox.sendGateway(connection, message),
        });
        this.#claims = new ClaimBook({ options, outbox, send, findOwner: shard => this.#owner.findOwner(shard) });
    }

    /** Takes an event and gives what is to be done. */
    handle(event: AgentEvent): AgentEffect[] {
        const handler = this.#eventHandlers[event.kind] as (event: AgentEvent) => void;
        handler(event);
        return this.#outbox.takeEffects();
    }

    /** True where gateways of this instance may start new work. */
    get isServing(): boolean {
        return this.#describeServing() === "";
    }

    /** Generation of the configuration in force. */
    get generation(): number {
        return this.#configuration.state.generation;
    }

    /** True once nothing more is owed before the process may end. */
    get isDrained(): boolean {
        return this.#membership.self.isLeaving && this.#gateways.size === 0 && this.#claims.isIdle;
    }

    /** Names of the targets that this instance owns. */
    listOwned(): string[] {
        return this.#owner.listOwned();
    }

    /** Gets the counts of events so far. */
    getCounts(): ReadonlyMap<string, number> {
        return this.#outbox.getCounts();
    }

    /** Describes the whole state; it holds no secrets beyond the hashes of keys, which are left out. */
    dumpState(): Record<string, unknown> {
        const now = this.#now;
        const { manifest } = this.#configuration.state;
        return {
            self: this.#membership.self,
            serving: this.#describeServing() || "serving",
            configuration: {
                generation: this.generation,
                editId: manifest?.editId,
                author: manifest?.author,
                confirmedAgeMilliseconds: this.#configuration.state.getConfirmedAge(now),
                leaving: [...this.#configuration.leaving],
            },
            members: this.#membership.dumpState(now),
            targets: this.#owner.dumpState(now),
            permits: this.#broker.dumpState(),
            claims: this.#claims.dumpState(),
            orders: this.#orders.dumpState(),
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
        "order-reply": event => this.#outbox.handleOrderReply(event.callId, event.reply),
        "target-closed": event => this.#owner.handleTargetClosed(event.address, this.#now),
        "leave": () => this.#handleLeave(),
    };

    readonly #peerHandlers: PeerHandlers = {
        "gossip": (from, message) => {
            this.#configuration.handlePeerGeneration(from, message.generation);
            const context = { now: this.#now, payload: this.#buildPayload() };
            this.#outbox.sendPeer(from, this.#membership.handleGossip(message, context));
        },
        "gossip-reply": (from, message) => {
            this.#hasMetPeer = true;
            this.#membership.handleReply(message);
            this.#configuration.handlePeerGeneration(from, message.generation);
            const { generation, confirmedAge, echo } = message;
            const now = this.#now;
            this.#configuration.state.recordConfirmation(generation, { age: now - echo + confirmedAge, now });
        },
        "farewell": (_from, message) => this.#membership.handleFarewell(message, this.#now),
        "acquire": (_from, message) => this.#owner.handleAcquire(message.request, this.#now),
        "granted": (from, message) => this.#broker.handleGranted(from, message),
        "refused": (_from, message) => this.#broker.handleRefused(message),
        "release": (_from, message) => this.#owner.handleRelease(message, this.#now),
        "announce": (_from, message) => this.#owner.handleAnnounce(message.permits, this.#now),
        "handover-offer": (from, message) => this.#owner.requestHandover(message.target, { from, now: this.#now }),
        "handover-request": (from, message) => this.#owner.handleHandoverRequest(message, { from, now: this.#now }),
        "handover": (_from, message) => this.#owner.handleHandover(message, this.#now),
        "headroom": (_from, message) => this.#broker.handleHeadroom(message.items, this.#gateways.keys()),
        "claim": (from, message) => this.#claims.handleClaim(from, message.request),
        "claim-result": (_from, message) => this.#claims.handleResult(message.holder, message.result),
        "settle": (from, message) => this.#claims.handleSettle(from, message),
        "settled": (_from, message) => {
            this.#claims.handleSettled(message.holder);
            for (const connection of this.#gateways.keys()) {
                this.#outbox.sendGateway(connection, message);
            }
        },
        "manifest": (from, message) => this.#configuration.handlePeerManifest(from, message.manifest),
        "pull": (from, message) => this.#configuration.handlePull(from, message.hashes),
        "parts": (_from, message) => this.#configuration.handleParts(message.texts),
    };

    readonly #gatewayHandlers: GatewayHandlers = {
        acquire: (connection, message) => this.#broker.handleAcquire(connection, message.request, this.#now),
        release: (_connection, message) => this.#broker.handleRelease(message),
        progress: (_connection, message) => this.#broker.handleProgress(message),
        hold: (connection, message) => this.#broker.handleHold(connection, message.permits),
        claim: (connection, message) => this.#claims.handleGatewayClaim(connection, message.request, this.#now),
        settle: (_connection, message) => this.#claims.handleGatewaySettle(message, this.#now),
    };

    #handleTick(): void {
        const now = this.#now;
        const { peers, message } = this.#membership.handleTick(now, this.generation);
        for (const peer of peers) {
            this.#outbox.sendPeer(peer, message);
        }
        this.#configuration.handleTick(now);
        this.#owner.handleTick(now);
        this.#broker.handleTick(now);
        this.#claims.handleTick(now);
        this.#orders.handleTick(new Set(this.isServing ? this.#owner.listOwned() : []));
        this.#publishServing();
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
        this.#outbox.sendGateway(connection, this.#buildServing());
    }

    #handleGatewayClosed(connection: string): void {
        this.#gateways.delete(connection);
        this.#broker.handleGatewayClosed(connection);
    }

    #handleLeave(): void {
        const message = this.#membership.announceLeaving();
        this.#owner.releaseAll(this.#now);
        for (const { id } of this.#membership.listPresent(this.#now)) {
            if (id !== this.#options.self.id) {
                this.#outbox.sendPeer(id, message);
            }
        }
        this.#outbox.logChange("leaving");
    }

    #handleAdopted(): void {
        const { inventory } = this.#configuration.state;
        this.#table = buildRoutingTable(inventory, { leaving: this.#configuration.leaving });
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
        const sent = this.#gateways.get(connection);
        const parts = hashes.filter(hash => sent?.has(hash) !== true).map(hash => ({
            hash,
            text: state.getParts([hash])[0] ?? "",
        }));
        this.#gateways.set(connection, new Set(hashes));
        this.#outbox.sendGateway(connection, { kind: "leaving", names: [...leaving] });
        this.#outbox.sendGateway(connection, { kind: "configuration", generation: state.generation, hashes, parts });
    }

    #publishServing(): void {
        const reason = this.#describeServing();
        if (reason === this.#lastServing) {
            return;
        }
        this.#lastServing = reason;
        this.#outbox.logChange(reason === "" ? "serving" : "not serving", { reason });
        for (const connection of this.#gateways.keys()) {
            this.#outbox.sendGateway(connection, this.#buildServing());
        }
    }

    #buildServing(): AgentToGateway {
        const reason = this.#describeServing();
        return { kind: "serving", isServing: reason === "", reason };
    }

    /** Says why no new work may start here; empty where it may. */
    #describeServing(): string {
        const now = this.#now;
        if (this.generation === 0) {
            return "no configuration is known yet";
        }
        if (this.#configuration.state.isConfirmed(now)) {
            return "";
        }
        const hasFleet = this.#hasMetPeer || this.#configuration.hasInstanceList;
        if (hasFleet && this.#membership.hasMajority(now)) {
            return "";
        }
        return "neither the platform nor most peers are in reach";
    }

    #buildPayload(): { generation: number; confirmedAge: number; } {
        const { state } = this.#configuration;
        return { generation: state.generation, confirmedAge: Math.min(state.getConfirmedAge(this.#now), MAX_AGE) };
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

/** Age that stands for never, in milliseconds; it travels as an integer. */
const MAX_AGE = 1_000_000_000;
