/**
 * Collects what an agent's core wants done.
 *
 * @module
 */
import type { LoadReport } from "../admission/mod.ts";
import type { ModelOrder, OrderReply } from "../orders/mod.ts";
import type { PlatformReply, PlatformRequest } from "../platform/mod.ts";
import type { AgentToGateway, PeerMessage } from "./agent_messages.ts";

/** Something that an agent's core wants its shell to do. */
export type AgentEffect =
    | { kind: "send-peer"; to: string; address: string; message: PeerMessage; }
    | { kind: "send-gateway"; connection: string; message: AgentToGateway; }
    | { kind: "call-platform"; callId: number; request: PlatformRequest; }
    | { kind: "poll-target"; callId: number; address: string; }
    | { kind: "order-target"; callId: number; address: string; order: ModelOrder; }
    | { kind: "log"; message: string; fields: Record<string, unknown>; };

/** Handles the platform's answer to a call. */
export type PlatformReplyHandler = (reply: PlatformReply) => void;
/** Handles a target's load report, or its absence. */
export type ReportHandler = (report: LoadReport | undefined) => void;

/** Handles a target's answer to an order. */
export type OrderReplyHandler = (reply: OrderReply) => void;

/** Options of an {@linkcode Outbox}. */
export interface OutboxOptions {
    /** Finds the address of a peer; `undefined` where it is unknown. */
    findAddress: (id: string) => string | undefined;
}

/** Collects effects until the shell takes them, and routes the answers back. */
export class Outbox {
    readonly #findAddress: (id: string) => string | undefined;
    readonly #platformCalls = new Map<number, PlatformReplyHandler>();
    readonly #polls = new Map<number, ReportHandler>();
    readonly #orders = new Map<number, OrderReplyHandler>();
    readonly #counts = new Map<string, number>();
    #effects: AgentEffect[] = [];
    #nextCallId = 1;

    constructor(options: OutboxOptions) {
        this.#findAddress = options.findAddress;
    }

    /** Sends `message` to the peer named `to`; a peer whose address is unknown is skipped. */
    sendPeer(to: string, message: PeerMessage): void {
        const address = this.#findAddress(to);
        if (address !== undefined) {
            this.#effects.push({ kind: "send-peer", to, address, message });
            this.countEvent(`peer_sent_${message.kind}`);
        }
    }

    /** Sends `message` to the gateway on `connection`. */
    sendGateway(connection: string, message: AgentToGateway): void {
        this.#effects.push({ kind: "send-gateway", connection, message });
    }

    /** Calls the platform. */
    callPlatform(request: PlatformRequest, handler: PlatformReplyHandler): void {
        const callId = this.#takeCallId();
        this.#platformCalls.set(callId, handler);
        this.#effects.push({ kind: "call-platform", callId, request });
        this.countEvent(`platform_${request.kind}`);
    }

    /** Asks the target at `address` for its load. */
    pollTarget(address: string, handler: ReportHandler): void {
        const callId = this.#takeCallId();
        this.#polls.set(callId, handler);
        this.#effects.push({ kind: "poll-target", callId, address });
    }

    /** Gives an order to the target at `address`. */
    orderTarget(address: string, order: ModelOrder, handler: OrderReplyHandler): void {
        const callId = this.#takeCallId();
        this.#orders.set(callId, handler);
        this.#effects.push({ kind: "order-target", callId, address, order });
        this.countEvent("target_order");
    }

    /** Logs a change of state. */
    logChange(message: string, fields: Record<string, unknown> = {}): void {
        this.#effects.push({ kind: "log", message, fields });
    }

    /** Counts an event. */
    countEvent(name: string): void {
        this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
    }

    /** Gets the counts of events so far. */
    getCounts(): ReadonlyMap<string, number> {
        return this.#counts;
    }

    /** Routes the platform's answer to whoever called. */
    handlePlatformReply(callId: number, reply: PlatformReply): void {
        const handler = this.#platformCalls.get(callId);
        this.#platformCalls.delete(callId);
        handler?.(reply);
    }

    /** Routes a load report to whoever polled. */
    handleReport(callId: number, report: LoadReport | undefined): void {
        const handler = this.#polls.get(callId);
        this.#polls.delete(callId);
        handler?.(report);
    }

    /** Routes a target's answer to whoever gave the order. */
    handleOrderReply(callId: number, reply: OrderReply): void {
        const handler = this.#orders.get(callId);
        this.#orders.delete(callId);
        handler?.(reply);
    }

    /** Takes the effects collected so far. */
    takeEffects(): AgentEffect[] {
        const effects = this.#effects;
        this.#effects = [];
        return effects;
    }

    #takeCallId(): number {
        const callId = this.#nextCallId;
        this.#nextCallId += 1;
        return callId;
    }
}
