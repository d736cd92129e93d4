/**
 * Gets permits for the local gateways from the owners of targets, and keeps them renewed.
 *
 * @module
 */
import type { Headroom, Permit, PermitRequest, WorkOutcome } from "../admission/mod.ts";
import type {
    AgentToGateway,
    GrantedMessage,
    PeerMessage,
    ProgressMessage,
    RefusedMessage,
    ReleaseMessage,
} from "./agent_messages.ts";

/** What the broker needs of the rest of the agent. */
export interface PermitBrokerContext {
    /** Name of this instance. */
    self: string;
    /** Finds the instance that owns a target. */
    findOwner: (target: string) => string | undefined;
    /** Sends a message to an instance, this one too. */
    send: (to: string, message: PeerMessage) => void;
    /** Sends a message to a gateway. */
    sendGateway: (connection: string, message: AgentToGateway) => void;
}

interface PendingAcquire {
    connection: string;
    request: PermitRequest;
    expiresAt: number;
}

interface HeldPermit {
    connection: string;
    permit: Permit;
}

/** Time that an owner's answer may take beyond the wait it was allowed, in milliseconds. */
const ANSWER_MILLISECONDS = 700;
const ANNOUNCE_INTERVAL = 1500;

/** Keeps track of the permits that the local gateways ask for and hold. */
export class PermitBroker {
    readonly #context: PermitBrokerContext;
    readonly #pending = new Map<string, PendingAcquire>();
    readonly #held = new Map<string, HeldPermit>();
    readonly #owners = new Map<string, string | undefined>();
    #nextAnnounceAt = 0;

    constructor(context: PermitBrokerContext) {
        this.#context = context;
    }

    /** Passes a gateway's request to the target's owner. */
    handleAcquire(connection: string, request: PermitRequest, now: number): void {
        const owner = this.#context.findOwner(request.target);
        const { permitId } = request;
        if (owner === undefined) {
            this.#context.sendGateway(connection, { kind: "refused", permitId, reason: "no-owner" });
            return;
        }
        const own = { ...request, origin: this.#context.self };
        const expiresAt = now + request.waitMilliseconds + ANSWER_MILLISECONDS;
        this.#pending.set(permitId, { connection, request: own, expiresAt });
        this.#context.send(owner, { kind: "acquire", request: own });
    }

    /** Passes a grant to its gateway; one that comes too late is given back. */
    handleGranted(from: string, message: GrantedMessage): void {
        const pending = this.#pending.get(message.permitId);
        this.#pending.delete(message.permitId);
        if (pending === undefined) {
            const { permitId, headroom } = message;
            const isHeld = this.#held.has(permitId);
            if (!isHeld) {
                this.#context.send(from, { kind: "release", permitId, target: headroom.target, outcome: "cancelled" });
            }
            return;
        }
        const { connection, request } = pending;
        const { permitId, target, origin, promptTokens, lengths } = request;
        const permit = { permitId, target, origin, promptTokens, lengths, produced: 0 };
        this.#held.set(permitId, { connection, permit });
        this.#context.sendGateway(connection, message);
    }

    /** Passes a refusal to its gateway. */
    handleRefused(message: RefusedMessage): void {
        const pending = this.#pending.get(message.permitId);
        this.#pending.delete(message.permitId);
        if (pending !== undefined) {
            this.#context.sendGateway(pending.connection, message);
        }
    }

    /** Gives a gateway's permit back to the target's owner. */
    handleRelease(release: ReleaseMessage): void {
        const { permitId, target } = release;
        this.#held.delete(permitId);
        this.#pending.delete(permitId);
        const owner = this.#context.findOwner(target);
        if (owner !== undefined) {
            this.#context.send(owner, release);
        }
    }

    /** Takes a gateway's count of the tokens that its work has produced. */
    handleProgress(message: ProgressMessage): void {
        for (const { permitId, produced } of message.permits) {
            const held = this.#held.get(permitId);
            if (held !== undefined) {
                held.permit.produced = produced;
            }
        }
    }

    /** Takes the permits that a gateway held when its link was opened again. */
    handleHold(connection: string, permits: readonly Permit[]): void {
        for (const permit of permits) {
            this.#held.set(permit.permitId, { connection, permit: { ...permit, origin: this.#context.self } });
        }
        this.#nextAnnounceAt = 0;
    }

    /** Passes headroom on to the gateways on `connections`. */
    handleHeadroom(items: Headroom[], connections: Iterable<string>): void {
        for (const connection of connections) {
            this.#context.sendGateway(connection, { kind: "headroom", items });
        }
    }

    /** Drops what a gateway that is gone has asked for; the permits that it held lapse at their owners. */
    handleGatewayClosed(connection: string): void {
        for (const [permitId, pending] of this.#pending) {
            if (pending.connection === connection) {
                this.#pending.delete(permitId);
                this.#giveBack(pending.request, "cancelled");
            }
        }
        for (const [permitId, held] of this.#held) {
            if (held.connection === connection) {
                this.#held.delete(permitId);
            }
        }
    }

    /** Answers requests that got no answer, and renews the permits held. */
    handleTick(now: number): void {
        for (const [permitId, pending] of this.#pending) {
            if (pending.expiresAt <= now) {
                this.#pending.delete(permitId);
                this.#context.sendGateway(pending.connection, { kind: "refused", permitId, reason: "no-owner" });
                this.#giveBack(pending.request, "cancelled");
            }
        }
        this.#announceMoved();
        if (now >= this.#nextAnnounceAt) {
            this.#nextAnnounceAt = now + ANNOUNCE_INTERVAL;
            this.#announce(() => true);
        }
    }

    /** Describes the permits, for a dump. */
    dumpState(): Record<string, unknown> {
        return {
            pending: [...this.#pending.keys()],
            held: [...this.#held.values()].map(held => held.permit),
        };
    }

    #giveBack(request: PermitRequest, outcome: WorkOutcome): void {
        const { permitId, target } = request;
        const owner = this.#context.findOwner(target);
        if (owner !== undefined) {
            this.#context.send(owner, { kind: "release", permitId, target, outcome });
        }
    }

    /** Tells new owners of the permits at once. */
    #announceMoved(): void {
        const moved = new Set<string>();
        const targets = new Set([...this.#held.values()].map(held => held.permit.target));
        for (const target of targets) {
            const owner = this.#context.findOwner(target);
            if (this.#owners.get(target) !== owner) {
                this.#owners.set(target, owner);
                moved.add(target);
            }
        }
        if (moved.size > 0) {
            this.#announce(permit => moved.has(permit.target));
        }
    }

    #announce(isWanted: (permit: Permit) => boolean): void {
        const byOwner = new Map<string, Permit[]>();
        for (const { permit } of this.#held.values()) {
            const owner = this.#context.findOwner(permit.target);
            if (owner !== undefined && isWanted(permit)) {
                byOwner.set(owner, [...byOwner.get(owner) ?? [], permit]);
            }
        }
        for (const [owner, permits] of byOwner) {
            this.#context.send(owner, { kind: "announce", permits });
        }
    }
}
