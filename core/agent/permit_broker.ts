/**
 * Requests permits from the owners of targets on behalf of the local gateways, and renews the permits in use.
 *
 * @module
 */
import type { AttemptOutcome, Headroom, Permit, PermitRequest } from "../admission/mod.ts";
import type {
    AgentToGateway,
    GrantedMessage,
    PeerMessage,
    ProgressMessage,
    RefusedMessage,
    ReleaseMessage,
} from "./agent_messages.ts";

/** Dependencies of {@linkcode PermitBroker} on the rest of the agent. */
export interface PermitBrokerContext {
    /** Name of this instance. */
    self: string;
    /** Finds the instance that owns a target. */
    findOwner: (target: string) => string | undefined;
    /** Sends a message to an instance, which may be this one. */
    send: (to: string, message: PeerMessage) => void;
    /** Sends a message to a gateway. */
    sendGateway: (connection: string, message: AgentToGateway) => void;
}

interface PendingRequest {
    connection: string;
    request: PermitRequest;
    expiresAt: number;
}

interface HeldPermit {
    connection: string;
    permit: Permit;
}

/** Time that an owner's reply may take beyond the request's own waiting time, in milliseconds. */
const OWNER_REPLY_MARGIN_MILLISECONDS = 700;
const ANNOUNCE_INTERVAL_MILLISECONDS = 1500;

/** Tracks the permits that the local gateways request and hold. */
export class PermitBroker {
    readonly #context: PermitBrokerContext;
    readonly #pendingRequests = new Map<string, PendingRequest>();
    readonly #heldPermits = new Map<string, HeldPermit>();
    /** Owner of each target when permits were last checked for new owners. */
    readonly #lastOwners = new Map<string, string | undefined>();
    #nextAnnounceAt = 0;

    constructor(context: PermitBrokerContext) {
        this.#context = context;
    }

    /** Forwards a gateway's permit request to the target's owner. */
    handleAcquire(connection: string, request: PermitRequest, now: number): void {
        const owner = this.#context.findOwner(request.target);
        const { permitId } = request;
        if (owner === undefined) {
            this.#context.sendGateway(connection, { kind: "refused", permitId, reason: "no-owner" });
            return;
        }
        const ownRequest = { ...request, origin: this.#context.self };
        const expiresAt = now + request.waitMilliseconds + OWNER_REPLY_MARGIN_MILLISECONDS;
        this.#pendingRequests.set(permitId, { connection, request: ownRequest, expiresAt });
        this.#context.send(owner, { kind: "acquire", request: ownRequest });
    }

    /** Forwards a granted permit to its gateway, or releases it if the request is no longer pending. */
    handleGranted(from: string, message: GrantedMessage): void {
        const pending = this.#pendingRequests.get(message.permitId);
        this.#pendingRequests.delete(message.permitId);
        if (pending === undefined) {
            const { permitId, headroom } = message;
            const isHeld = this.#heldPermits.has(permitId);
            if (!isHeld) {
                this.#context.send(from, { kind: "release", permitId, target: headroom.target, outcome: "cancelled" });
            }
            return;
        }
        const { connection, request } = pending;
        const { permitId, target, origin, promptTokens, lengths } = request;
        const permit = { permitId, target, origin, promptTokens, lengths, produced: 0 };
        this.#heldPermits.set(permitId, { connection, permit });
        this.#context.sendGateway(connection, message);
    }

    /** Forwards a refusal to its gateway. */
    handleRefused(message: RefusedMessage): void {
        const pending = this.#pendingRequests.get(message.permitId);
        this.#pendingRequests.delete(message.permitId);
        if (pending !== undefined) {
            this.#context.sendGateway(pending.connection, message);
        }
    }

    /** Forwards the release of a gateway's permit to the target's owner. */
    handleRelease(release: ReleaseMessage): void {
        const { permitId, target } = release;
        this.#heldPermits.delete(permitId);
        this.#pendingRequests.delete(permitId);
        const owner = this.#context.findOwner(target);
        if (owner !== undefined) {
            this.#context.send(owner, release);
        }
    }

    /** Records how many tokens the generation of each permit has produced. */
    handleProgress(message: ProgressMessage): void {
        for (const { permitId, produced } of message.permits) {
            const held = this.#heldPermits.get(permitId);
            if (held !== undefined) {
                held.permit.produced = produced;
            }
        }
    }

    /** Records the permits that a reconnected gateway holds, and announces them to their owners at the next tick. */
    handleHold(connection: string, permits: readonly Permit[]): void {
        for (const permit of permits) {
            this.#heldPermits.set(permit.permitId, { connection, permit: { ...permit, origin: this.#context.self } });
        }
        this.#nextAnnounceAt = 0;
    }

    /** Forwards headroom updates to the gateways on `connections`. */
    handleHeadroom(items: Headroom[], connections: Iterable<string>): void {
        for (const connection of connections) {
            this.#context.sendGateway(connection, { kind: "headroom", items });
        }
    }

    /** Cancels the requests of a disconnected gateway; the permits that it held expire at their owners. */
    handleGatewayClosed(connection: string): void {
        for (const [permitId, pending] of this.#pendingRequests) {
            if (pending.connection === connection) {
                this.#pendingRequests.delete(permitId);
                this.#sendRelease(pending.request, "cancelled");
            }
        }
        for (const [permitId, held] of this.#heldPermits) {
            if (held.connection === connection) {
                this.#heldPermits.delete(permitId);
            }
        }
    }

    /** Refuses requests to which the owner did not reply in time, and renews the held permits. */
    handleTick(now: number): void {
        for (const [permitId, pending] of this.#pendingRequests) {
            if (pending.expiresAt <= now) {
                this.#pendingRequests.delete(permitId);
                this.#context.sendGateway(pending.connection, { kind: "refused", permitId, reason: "no-owner" });
                this.#sendRelease(pending.request, "cancelled");
            }
        }
        this.#announceToNewOwners();
        if (now >= this.#nextAnnounceAt) {
            this.#nextAnnounceAt = now + ANNOUNCE_INTERVAL_MILLISECONDS;
            this.#announcePermits(() => true);
        }
    }

    /** Describes the permits for a state dump. */
    dumpState(): Record<string, unknown> {
        return {
            pending: [...this.#pendingRequests.keys()],
            held: [...this.#heldPermits.values()].map(held => held.permit),
        };
    }

    #sendRelease(request: PermitRequest, outcome: AttemptOutcome): void {
        const { permitId, target } = request;
        const owner = this.#context.findOwner(target);
        if (owner !== undefined) {
            this.#context.send(owner, { kind: "release", permitId, target, outcome });
        }
    }

    /** Announces permits at once to the new owners of their targets. */
    #announceToNewOwners(): void {
        const changedTargets = new Set<string>();
        const targets = new Set([...this.#heldPermits.values()].map(held => held.permit.target));
        for (const target of targets) {
            const owner = this.#context.findOwner(target);
            if (this.#lastOwners.get(target) !== owner) {
                this.#lastOwners.set(target, owner);
                changedTargets.add(target);
            }
        }
        if (changedTargets.size > 0) {
            this.#announcePermits(permit => changedTargets.has(permit.target));
        }
    }

    #announcePermits(isIncluded: (permit: Permit) => boolean): void {
        const byOwner = new Map<string, Permit[]>();
        for (const { permit } of this.#heldPermits.values()) {
            const owner = this.#context.findOwner(permit.target);
            if (owner !== undefined && isIncluded(permit)) {
                byOwner.set(owner, [...byOwner.get(owner) ?? [], permit]);
            }
        }
        for (const [owner, permits] of byOwner) {
            this.#context.send(owner, { kind: "announce", permits });
        }
    }
}
