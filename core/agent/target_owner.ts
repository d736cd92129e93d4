/**
 * Grants permits for the targets that rendezvous hashing assigns to this instance.
 *
 * Ownership moves when the fleet's members change. A new owner begins with a settling period, in which it grants
 * nothing because it does not know the permits of the previous owner. A handover from the previous owner ends it early.
 *
 * @module
 */
import {
    type AttemptOutcome,
    GrantExtent,
    type GrantScope,
    type Headroom,
    type Permit,
    type PermitDecision,
    type PermitRequest,
    TargetAdmission,
} from "../admission/mod.ts";
import { RendezvousHash } from "../hashing/mod.ts";
import type { RoutedTarget, RoutingTable } from "../inventory/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { HandoverMessage, HandoverRequestMessage, PeerMessage } from "./agent_messages.ts";
import type { AgentOptions } from "./agent_options.ts";
import type { Outbox } from "./outbox.ts";

/** Dependencies of {@linkcode TargetOwner} on the rest of the agent. */
export interface TargetOwnerContext {
    /** Options of the agent. */
    options: AgentOptions;
    /** Members of the fleet. */
    membership: Membership;
    /** Collects the effects of the agent. */
    outbox: Outbox;
    /** Gets the routing table of the configuration in force. */
    getRoutingTable: () => RoutingTable;
    /** Checks whether this instance may start new requests. */
    isServing: () => boolean;
    /** Called with the models that an owned target reports as loaded. */
    onReport: (target: RoutedTarget, report: { models: readonly string[]; askedAt: number; }) => void;
    /** Sends a message to an instance, which may be this one. */
    send: (to: string, message: PeerMessage) => void;
}

interface OwnedTarget {
    admission: TargetAdmission;
    /** End of the settling period, from which the whole limit may be granted. */
    settlingEndsAt: number;
    /** True once a settling period has ended. */
    hasSettled: boolean;
    nextPollAt: number;
    /** Free share in the last headroom update. */
    lastSentShare: number;
    /** Time of the last permit request or announcement of each instance that gets headroom updates. */
    subscribers: Map<string, number>;
}

/** State of a target at the release of its ownership, kept for a handover to the new owner. */
interface ReleasedTarget {
    releasedAt: number;
    permits: Permit[];
    /** True if this instance could grant the whole limit, so `permits` accounts for every request on the target. */
    isSettled: boolean;
}

const DEFAULT_SETTLING_MILLISECONDS = 3000;
const DEFAULT_POLL_INTERVAL_MILLISECONDS = 500;
const HEADROOM_UPDATE_INTERVAL_MILLISECONDS = 300;
/** Minimum change of a target's free share that causes a headroom update. */
const MIN_HEADROOM_CHANGE_SHARE = 0.03;
/** Time for which an instance gets headroom updates after its last permit request or announcement, in milliseconds. */
const SUBSCRIPTION_MILLISECONDS = 15_000;
/** Time for which the state of a released target is kept for a handover, in milliseconds. */
const RELEASED_TARGET_RETENTION_MILLISECONDS = 5000;
/** Age of a handover up to which no other instance can have owned the target in between, in milliseconds. */
const MAX_HANDOVER_AGE_MILLISECONDS = 2000;
const OWNERSHIP_CHECK_INTERVAL_MILLISECONDS = 200;

/** Grants permits for the targets that this instance owns. */
export class TargetOwner {
    readonly #context: TargetOwnerContext;
    readonly #owned = new Map<string, OwnedTarget>();
    readonly #released = new Map<string, ReleasedTarget>();
    /** Owners by key, as computed since the active members or the routing table last changed. */
    readonly #ownerCache = new Map<string, string | undefined>();
    #rendezvous = new RendezvousHash([]);
    /** Hash of the set of active members for which ownership was last computed. */
    #activeMembersHash: number | undefined;
    #activeInstances: string[] = [];
    #routingTable: RoutingTable | undefined;
    #nextHeadroomUpdateAt = 0;
    #nextOwnershipCheckAt = 0;

    constructor(context: TargetOwnerContext) {
        this.#context = context;
    }

    /** Finds the instance that owns `target`, or any other key that rendezvous hashing assigns. */
    findOwner(target: string): string | undefined {
        if (!this.#ownerCache.has(target)) {
            this.#ownerCache.set(target, this.#rendezvous.chooseOwner(target));
        }
        return this.#ownerCache.get(target);
    }

    /** Updates ownership, polls the owned targets, handles expired leases and requests, and sends headroom updates. */
    handleTick(now: number): void {
        if (now >= this.#nextOwnershipCheckAt || this.#context.getRoutingTable() !== this.#routingTable) {
            this.#nextOwnershipCheckAt = now + OWNERSHIP_CHECK_INTERVAL_MILLISECONDS;
            this.#updateOwnership(now);
        }
        for (const [name, owned] of this.#owned) {
            const target = this.#context.getRoutingTable().targets.get(name);
            if (target !== undefined) {
                this.#updateScope(target, { owned, now });
                this.#pollTarget(target, { owned, now });
            }
            this.#sendDecisions(owned.admission.handleTick(now));
        }
        this.#sendHeadroomUpdates(now);
    }

    /** Handles a permit request from the instance `request.origin`. */
    handleAcquire(request: PermitRequest, now: number): void {
        const owned = this.#findOwnedTarget(request.target, now);
        if (owned === undefined) {
            const { permitId } = request;
            this.#context.send(request.origin, { kind: "refused", permitId, reason: "no-owner" });
            return;
        }
        owned.subscribers.set(request.origin, now);
        this.#sendDecisions(owned.admission.handleRequest(request, now));
    }

    /** Releases a permit, or cancels the request for it. */
    handleRelease(release: { target: string; permitId: string; outcome: AttemptOutcome; }, now: number): void {
        const { permitId, outcome } = release;
        const owned = this.#findOwnedTarget(release.target, now);
        this.#sendDecisions(owned?.admission.releasePermit(permitId, { outcome, now }) ?? []);
    }

    /** Handles the closing of the load report connection by the target at `address`, which may have restarted. */
    handleTargetClosed(address: string, now: number): void {
        for (const [name, owned] of this.#owned) {
            if (this.#context.getRoutingTable().targets.get(name)?.address === address) {
                owned.admission.handleConnectionClosed(now);
                this.#context.outbox.logChange("target closed its load report connection", { target: name });
            }
        }
    }

    /** Renews announced permits, and records those that a previous owner granted. */
    handleAnnounce(permits: readonly Permit[], now: number): void {
        for (const permit of permits) {
            const owned = this.#owned.get(permit.target);
            owned?.subscribers.set(permit.origin, now);
            owned?.admission.recordPermit(permit, now);
        }
    }

    /** Requests a handover from `context.from`, a possible previous owner, while the settling period lasts. */
    requestHandover(target: string, context: { from: string; now: number; }): void {
        const owned = this.#owned.get(target);
        if (owned !== undefined && owned.settlingEndsAt > context.now) {
            this.#context.send(context.from, { kind: "handover-request", target, sentAt: context.now });
        }
    }

    /** Replies to the new owner's handover request if this instance has released the target. */
    handleHandoverRequest(message: HandoverRequestMessage, context: { from: string; now: number; }): void {
        const { target, sentAt } = message;
        const released = this.#released.get(target);
        if (released !== undefined && !this.#owned.has(target)) {
            const { permits, isSettled, releasedAt } = released;
            const age = context.now - releasedAt;
            this.#context.send(context.from, { kind: "handover", target, echo: sentAt, age, permits, isSettled });
        }
    }

    /** Takes over the permits of a target's previous owner, and ends the settling period if the handover is recent. */
    handleHandover(message: HandoverMessage, now: number): void {
        const owned = this.#owned.get(message.target);
        if (owned === undefined || owned.settlingEndsAt <= now) {
            return;
        }
        for (const permit of message.permits) {
            owned.admission.recordPermit(permit, now);
        }
        if (message.isSettled && now - message.echo + message.age <= MAX_HANDOVER_AGE_MILLISECONDS) {
            owned.settlingEndsAt = now;
        }
    }

    /** Releases all targets; called after this instance has been marked as leaving. */
    releaseAll(now: number): void {
        this.#updateOwnership(now);
    }

    /** Lists the names of the owned targets. */
    listOwned(): string[] {
        return [...this.#owned.keys()];
    }

    /** Describes the owned targets for a state dump. */
    dumpState(now: number): Record<string, unknown> {
        const entries = [...this.#owned].map(([name, owned]) => [
            name,
            { ...owned.admission.dumpState(now), settlesInMilliseconds: Math.max(0, owned.settlingEndsAt - now) },
        ]);
        return Object.fromEntries(entries);
    }

    #updateOwnership(now: number): void {
        const { membership, options, getRoutingTable } = this.#context;
        const activeMembersHash = membership.computeActiveMembersHash(now);
        const table = getRoutingTable();
        this.#removeExpiredReleases(now);
        if (activeMembersHash === this.#activeMembersHash && table === this.#routingTable) {
            return;
        }
        const active = membership.listActive(now).map(member => member.id);
        this.#activeMembersHash = activeMembersHash;
        this.#activeInstances = active;
        this.#routingTable = table;
        this.#rendezvous = new RendezvousHash(active);
        this.#ownerCache.clear();
        for (const [name, target] of table.targets) {
            const isOwner = this.findOwner(name) === options.self.id;
            const owned = this.#owned.get(name);
            if (isOwner && owned === undefined) {
                this.#takeOwnership(target, now);
            }
            else if (isOwner) {
                owned?.admission.setSpec(target);
            }
            else if (owned !== undefined) {
                this.#releaseOwnership(name, now);
            }
        }
        this.#removeUnconfigured(table, now);
    }

    #removeExpiredReleases(now: number): void {
        for (const [name, released] of this.#released) {
            if (now - released.releasedAt > RELEASED_TARGET_RETENTION_MILLISECONDS) {
                this.#released.delete(name);
            }
        }
    }

    #removeUnconfigured(table: RoutingTable, now: number): void {
        for (const [name, owned] of this.#owned) {
            if (!table.targets.has(name)) {
                this.#sendDecisions(owned.admission.refuseWaiting(now));
                this.#owned.delete(name);
            }
        }
    }

    #takeOwnership(target: RoutedTarget, now: number): void {
        const { options, outbox } = this.#context;
        const owned: OwnedTarget = {
            admission: new TargetAdmission(target, { ...options.admission, createdAt: now }),
            settlingEndsAt: now + this.#settlingMilliseconds,
            hasSettled: false,
            nextPollAt: now,
            lastSentShare: Infinity,
            subscribers: new Map(),
        };
        this.#owned.set(target.name, owned);
        const others = this.#activeInstances.filter(id => id !== options.self.id);
        const previous = new RendezvousHash(others).chooseOwner(target.name);
        if (previous !== undefined) {
            this.requestHandover(target.name, { from: previous, now });
        }
        outbox.logChange("target ownership taken", { target: target.name });
    }

    #releaseOwnership(target: string, now: number): void {
        const { outbox, send } = this.#context;
        const owned = this.#owned.get(target);
        const successor = this.findOwner(target);
        if (owned === undefined) {
            return;
        }
        this.#owned.delete(target);
        this.#sendDecisions(owned.admission.refuseWaiting(now));
        outbox.logChange("target ownership released", { target, successor });
        const permits = owned.admission.listPermits();
        // A process that resumes from a pause detects here that it has lost its majority in the meantime.
        const isSettled = this.#chooseExtent(owned, now) === GrantExtent.full;
        this.#released.set(target, { releasedAt: now, permits, isSettled });
        if (successor !== undefined) {
            send(successor, { kind: "handover-offer", target });
        }
    }

    /** Finds an owned target after updating how much may be granted for it. */
    #findOwnedTarget(name: string, now: number): OwnedTarget | undefined {
        const owned = this.#owned.get(name);
        const target = this.#context.getRoutingTable().targets.get(name);
        if (owned !== undefined && target !== undefined) {
            this.#updateScope(target, { owned, now });
        }
        return owned;
    }

    #updateScope(target: RoutedTarget, context: { owned: OwnedTarget; now: number; }): void {
        const { owned, now } = context;
        this.#sendDecisions(owned.admission.setScope(this.#buildScope(target, context), now));
    }

    #buildScope(target: RoutedTarget, context: { owned: OwnedTarget; now: number; }): GrantScope {
        return {
            extent: this.#chooseExtent(context.owned, context.now),
            share: this.#context.membership.computeReachableShare(context.now),
            isOpen: target.closedBy === undefined,
        };
    }

    /**
     * Chooses how much of the target's limit may be granted.
     *
     * Without a majority another instance may take ownership, so a new settling period begins.
     */
    #chooseExtent(owned: OwnedTarget, now: number): GrantExtent {
        const { membership, isServing } = this.#context;
        if (!membership.hasMajority(now)) {
            owned.settlingEndsAt = now + this.#settlingMilliseconds;
        }
        if (!isServing()) {
            return GrantExtent.none;
        }
        if (owned.settlingEndsAt <= now) {
            owned.hasSettled = true;
            return GrantExtent.full;
        }
        return owned.hasSettled ? GrantExtent.share : GrantExtent.none;
    }

    get #settlingMilliseconds(): number {
        return this.#context.options.settleMilliseconds ?? DEFAULT_SETTLING_MILLISECONDS;
    }

    #pollTarget(target: RoutedTarget, context: { owned: OwnedTarget; now: number; }): void {
        const { owned, now } = context;
        if (now < owned.nextPollAt) {
            return;
        }
        const { options, outbox } = this.#context;
        owned.nextPollAt = now + (options.pollMilliseconds ?? DEFAULT_POLL_INTERVAL_MILLISECONDS);
        outbox.pollTarget(target.address, report => {
            const times = { askedAt: now, now: options.clock.getMonotonic() };
            this.#findOwnedTarget(target.name, times.now);
            if (report?.models !== undefined && this.#owned.get(target.name) === owned) {
                this.#context.onReport(target, { models: report.models, askedAt: now });
            }
            this.#sendDecisions(owned.admission.handleReport(report, times));
        });
    }

    #sendDecisions(decisions: readonly PermitDecision[]): void {
        for (const decision of decisions) {
            const { permitId, origin } = decision.request;
            const { headroom } = decision;
            this.#context.send(
                origin,
                decision.kind === "granted"
                    ? { kind: "granted", permitId, headroom, heldMilliseconds: decision.heldMilliseconds }
                    : { kind: "refused", permitId, reason: decision.reason, headroom },
            );
        }
    }

    #sendHeadroomUpdates(now: number): void {
        if (now < this.#nextHeadroomUpdateAt) {
            return;
        }
        this.#nextHeadroomUpdateAt = now + HEADROOM_UPDATE_INTERVAL_MILLISECONDS;
        const updates = new Map<string, Headroom[]>();
        for (const owned of this.#owned.values()) {
            const headroom = owned.admission.estimateHeadroom(now);
            if (Math.abs(headroom.share - owned.lastSentShare) < MIN_HEADROOM_CHANGE_SHARE) {
                continue;
            }
            owned.lastSentShare = headroom.share;
            for (const id of this.#listSubscribers(owned, now)) {
                updates.set(id, [...updates.get(id) ?? [], headroom]);
            }
        }
        for (const [id, items] of updates) {
            this.#context.send(id, { kind: "headroom", items });
        }
    }

    #listSubscribers(owned: OwnedTarget, now: number): string[] {
        for (const [id, at] of owned.subscribers) {
            if (now - at > SUBSCRIPTION_MILLISECONDS) {
                owned.subscribers.delete(id);
            }
        }
        return [...owned.subscribers.keys()];
    }
}
