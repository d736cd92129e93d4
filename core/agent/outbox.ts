/**
 * Collects the effects that the agent's control logic requests, and routes their replies back to it.
 *
 * @module
 */
import type { LoadReport } from "../admission/mod.ts";
import type { ModelOrder, OrderResult } from "../orders/mod.ts";
import type { PlatformReply, PlatformRequest } from "../platform/mod.ts";
import type { AgentToGateway, PeerMessage } from "./agent_messages.ts";

/** An action that the process around the agent's control logic carries out. */
export type AgentEffect =
    | { kind: "send-peer"; to: string; address: string; message: PeerMessage; }
    | { kind: "send-gateway"; connection: string; message: AgentToGateway; }
    | { kind: "call-platform"; callId: number; request: PlatformRequest; }
    | { kind: "poll-target"; callId: number; address: string; }
    | { kind: "order-target"; callId: number; address: string; order: ModelOrder; }
    | { kind: "log"; message: string; fields: Record<string, unknown>; };

/** Handles the platform's reply to a call. */
export type PlatformReplyHandler = (reply: PlatformReply) => void;
/** Handles a target's load report, or `undefined` if none arrived. */
export type ReportHandler = (report: LoadReport | undefined) => void;

/** Handles the result of an order. */
export type OrderResultHandler = (reply: OrderResult) => void;

/** Options of an {@linkcode Outbox}. */
export interface OutboxOptions {
    /** Finds the address of a peer, or `undefined` if it is unknown. */
    findAddress: (id: string) => string | undefined;
}

/** Collects effects until the surrounding process takes them, and passes each reply to the handler of its call. */
export class Outbox {
    readonly #findAddress: (id: string) => string | undefined;
    readonly #platformHandlers = new Map<number, PlatformReplyHandler>();
    readonly #reportHandlers = new Map<number, ReportHandler>();
    readonly #orderHandlers = new Map<number, OrderResultHandler>();
    readonly #counts = new Map<string, number>();
    #effects: AgentEffect[] = [];
    #nextCallId = 1;

    constructor(options: OutboxOptions) {
        this.#findAddress = options.findAddress;
    }

    /** Sends `message` to the peer named `to`, or drops it if the peer's address is unknown. */
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

    /** Sends a request to the platform. */
    callPlatform(request: PlatformRequest, handler: PlatformReplyHandler): void {
        const callId = this.#createCallId();
        this.#platformHandlers.set(callId, handler);
        this.#effects.push({ kind: "call-platform", callId, request });
        this.countEvent(`platform_${request.kind}`);
    }

    /** Requests the load report of the target at `address`. */
    pollTarget(address: string, handler: ReportHandler): void {
        const callId = this.#createCallId();
        this.#reportHandlers.set(callId, handler);
        this.#effects.push({ kind: "poll-target", callId, address });
    }

    /** Sends an order to the target at `address`. */
    orderTarget(address: string, order: ModelOrder, handler: OrderResultHandler): void {
        const callId = this.#createCallId();
        this.#orderHandlers.set(callId, handler);
        this.#effects.push({ kind: "order-target", callId, address, order });
        this.countEvent("target_order");
    }

    /** Logs a change of state. */
    logChange(message: string, fields: Record<string, unknown> = {}): void {
        this.#effects.push({ kind: "log", message, fields });
    }

    /** Increments the count of the event `name`. */
    countEvent(name: string): void {
        this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
    }

    /** Gets the event counts by name. */
    getCounts(): ReadonlyMap<string, number> {
        return this.#counts;
    }

    /** Passes the platform's reply to the handler of the call. */
    handlePlatformReply(callId: number, reply: PlatformReply): void {
        const handler = this.#platformHandlers.get(callId);
        this.#platformHandlers.delete(callId);
        handler?.(reply);
    }

    /** Passes a load report to the handler of the poll. */
    handleReport(callId: number, report: LoadReport | undefined): void {
        const handler = this.#reportHandlers.get(callId);
        this.#reportHandlers.delete(callId);
        handler?.(report);
    }

    /** Passes the result of an order to the handler of the order. */
    handleOrderResult(callId: number, result: OrderResult): void {
        const handler = this.#orderHandlers.get(callId);
        this.#orderHandlers.delete(callId);
        handler?.(result);
    }

    /** Removes and returns the collected effects. */
    takeEffects(): AgentEffect[] {
        const effects = this.#effects;
        this.#effects = [];
        return effects;
    }

    #createCallId(): number {
        const callId = this.#nextCallId;
        this.#nextCallId += 1;
        return callId;
    }
}
