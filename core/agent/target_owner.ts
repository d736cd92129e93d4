/**
 * Owns targets: grants permits for those that rendezvous hashing gives to this instance.
 *
 * @module
 */
import {
    type GrantScope,
    type Headroom,
    type Permit,
    type PermitDecision,
    type PermitRequest,
    TargetAdmission,
    type WorkOutcome,
} from "../admission/mod.ts";
import { Rendezvous } from "../hashing/mod.ts";
import type { RoutedTarget, RoutingTable } from "../inventory/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { HandoverMessage, PeerMessage } from "./agent_messages.ts";
import type { AgentOptions } from "./agent_options.ts";
import type { Outbox } from "./outbox.ts";

/** What ownership needs of the rest of the agent. */
export interface TargetOwnerContext {
    /** Options of the agent. */
    options: AgentOptions;
    /** Members of the fleet. */
    membership: Membership;
    /** Collector of effects. */
    outbox: Outbox;
    /** Gets the tables in force. */
    getTable: () => RoutingTable;
    /** Tells whether this instance knows the newest configuration. */
    isServing: () => boolean;
    /** Sends a message to an instance, this one too. */
    send: (to: string, message: PeerMessage) => void;
}

interface OwnedTarget {
    admission: TargetAdmission;
    settledAt: number;
    nextPollAt: number;
    lastShare: number;
    interested: Map<string, number>;
}

interface Handover {
    message: HandoverMessage;
    receivedAt: number;
}

const DEFAULT_SETTLE = 3000;
const DEFAULT_POLL = 500;
const DIGEST_INTERVAL = 300;
/** Change of headroom that is worth telling. */
const DIGEST_STEP = 0.03;
/** Time for which an instance that asked for a permit is told of headroom, in milliseconds. */
const INTEREST_MILLISECONDS = 15_000;
/** Time for which a handover that came early is kept, in milliseconds. */
const HANDOVER_MILLISECONDS = 5000;

/** Grants permits for the targets that this instance owns. */
export class TargetOwner {
    readonly #context: TargetOwnerContext;
    readonly #owned = new Map<string, OwnedTarget>();
    readonly #handovers = new Map<string, Handover>();
    #rendezvous = new Rendezvous([]);
    #liveKey = "";
    #table: RoutingTable | undefined;
    #nextDigestAt = 0;

    constructor(context: TargetOwnerContext) {
        this.#context = context;
    }

    /** Finds the instance that owns `target`. */
    findOwner(target: string): string | undefined {
        return this.#rendezvous.chooseOwner(target);
    }

    /** Takes up and gives up targets, polls them, and lets waits run out. */
    handleTick(now: number): void {
        this.#updateOwnership(now);
        for (const [name, owned] of this.#owned) {
            const target = this.#context.getTable().targets.get(name);
            if (target !== undefined) {
                this.#answer(owned.admission.setScope(this.#buildScope(target, { owned, now }), now));
                this.#pollTarget(target, { owned, now });
            }
            this.#answer(owned.admission.handleTick(now));
        }
        this.#sendDigests(now);
    }

    /** Takes a request for a permit from `request.origin`. */
    handleAcquire(request: PermitRequest, now: number): void {
        const owned = this.#owned.get(request.target);
        if (owned === undefined) {
            const { permitId } = request;
            this.#context.send(request.origin, { kind: "refused", permitId, reason: "no-owner" });
            return;
        }
        owned.interested.set(request.origin, now);
        this.#answer(owned.admission.handleRequest(request, now));
    }

    /** Takes a permit back. */
    handleRelease(release: { target: string; permitId: string; outcome: WorkOutcome; }, now: number): void {
        const { permitId, outcome } = release;
        const decisions = this.#owned.get(release.target)?.admission.releasePermit(permitId, { outcome, now });
        this.#answer(decisions ?? []);
    }

    /** Renews permits. */
    handleAnnounce(permits: readonly Permit[], now: number): void {
        for (const permit of permits) {
            const owned = this.#owned.get(permit.target);
            owned?.interested.set(permit.origin, now);
            owned?.admission.announcePermit(permit, now);
        }
    }

    /** Takes the permits of a target from its previous owner. */
    handleHandover(message: HandoverMessage, now: number): void {
        this.#handovers.set(message.target, { message, receivedAt: now });
        const owned = this.#owned.get(message.target);
        if (owned !== undefined) {
            this.#takeHandover(message.target, { owned, now });
        }
    }

    /** Gives all targets up, because this instance is leaving. */
    releaseAll(now: number): void {
        this.#updateOwnership(now);
    }

    /** Lists the headroom of the owned targets. */
    listHeadroom(now: number): Headroom[] {
        return [...this.#owned.values()].map(owned => owned.admission.estimateHeadroom(now));
    }

    /** Names of the owned targets. */
    listOwned(): string[] {
        return [...this.#owned.keys()];
    }

    /** Describes the owned targets, for a dump. */
    dumpState(now: number): Record<string, unknown> {
        const entries = [...this.#owned].map(([name, owned]) => [
            name,
            { ...owned.admission.dumpState(now), settlesInMilliseconds: Math.max(0, owned.settledAt - now) },
        ]);
        return Object.fromEntries(entries);
    }

    #updateOwnership(now: number): void {
        const { membership, options, getTable } = this.#context;
        const live = membership.listLive(now).map(member => member.id).sort();
        const liveKey = live.join(",");
        const table = getTable();
        if (liveKey === this.#liveKey && table === this.#table) {
            return;
        }
        this.#liveKey = liveKey;
        this.#table = table;
        this.#rendezvous = new Rendezvous(live);
        for (const [name, target] of table.targets) {
            const isMine = this.findOwner(name) === options.self.id;
            const owned = this.#owned.get(name);
            if (isMine && owned === undefined) {
                this.#takeTarget(target, now);
            }
            else if (isMine) {
                owned?.admission.setSpec(target);
            }
            else if (owned !== undefined) {
                this.#giveTarget(name, now);
            }
        }
        this.#dropUnlisted(table, now);
    }

    #dropUnlisted(table: RoutingTable, now: number): void {
        for (const [name, owned] of this.#owned) {
            if (!table.targets.has(name)) {
                this.#answer(owned.admission.closeWaiting(now));
                this.#owned.delete(name);
            }
        }
    }

    #takeTarget(target: RoutedTarget, now: number): void {
        const { options, outbox } = this.#context;
        const owned: OwnedTarget = {
            admission: new TargetAdmission(target, { ...options.admission, createdAt: now }),
            settledAt: now + (options.settleMilliseconds ?? DEFAULT_SETTLE),
            nextPollAt: now,
            lastShare: Infinity,
            interested: new Map(),
        };
        this.#owned.set(target.name, owned);
        this.#takeHandover(target.name, { owned, now });
        outbox.logChange("target taken", { target: target.name });
    }

    #takeHandover(target: string, context: { owned: OwnedTarget; now: number; }): void {
        const { owned, now } = context;
        const handover = this.#handovers.get(target);
        this.#handovers.delete(target);
        if (handover === undefined || now - handover.receivedAt > HANDOVER_MILLISECONDS) {
            return;
        }
        for (const permit of handover.message.permits) {
            owned.admission.announcePermit(permit, now);
        }
        if (handover.message.isSettled) {
            owned.settledAt = now;
        }
    }

    #giveTarget(target: string, now: number): void {
        const { outbox, send } = this.#context;
        const owned = this.#owned.get(target);
        const successor = this.findOwner(target);
        if (owned === undefined) {
            return;
        }
        this.#owned.delete(target);
        this.#answer(owned.admission.closeWaiting(now));
        outbox.logChange("target given up", { target, successor });
        if (successor !== undefined) {
            const permits = owned.admission.listPermits();
            send(successor, { kind: "handover", target, permits, isSettled: owned.settledAt <= now });
        }
    }

    #buildScope(target: RoutedTarget, context: { owned: OwnedTarget; now: number; }): GrantScope {
        const { owned, now } = context;
        const { membership, isServing } = this.#context;
        return {
            isSettled: owned.settledAt <= now && isServing(),
            hasMajority: membership.hasMajority(now),
            minorityShare: membership.computeContactShare(now),
            isOpen: target.closedBy === undefined,
        };
    }

    #pollTarget(target: RoutedTarget, context: { owned: OwnedTarget; now: number; }): void {
        const { owned, now } = context;
        if (now < owned.nextPollAt) {
            return;
        }
        const { options, outbox } = this.#context;
        owned.nextPollAt = now + (options.pollMilliseconds ?? DEFAULT_POLL);
        outbox.pollTarget(target.address, report => {
            const times = { askedAt: now, now: options.clock.getMonotonic() };
            this.#answer(owned.admission.handleReport(report, times));
        });
    }

    #answer(decisions: readonly PermitDecision[]): void {
        for (const decision of decisions) {
            const { permitId, origin } = decision.request;
            const { headroom } = decision;
            this.#context.send(
                origin,
                decision.kind === "granted"
                    ? { kind: "granted", permitId, headroom }
                    : { kind: "refused", permitId, reason: decision.reason, headroom },
            );
        }
    }

    #sendDigests(now: number): void {
        if (now < this.#nextDigestAt) {
            return;
        }
        this.#nextDigestAt = now + DIGEST_INTERVAL;
        const digests = new Map<string, Headroom[]>();
        for (const owned of this.#owned.values()) {
            const headroom = owned.admission.estimateHeadroom(now);
            if (Math.abs(headroom.share - owned.lastShare) < DIGEST_STEP) {
                continue;
            }
            owned.lastShare = headroom.share;
            for (const id of this.#listInterested(owned, now)) {
                digests.set(id, [...digests.get(id) ?? [], headroom]);
            }
        }
        for (const [id, items] of digests) {
            this.#context.send(id, { kind: "headroom", items });
        }
    }

    #listInterested(owned: OwnedTarget, now: number): string[] {
        for (const [id, at] of owned.interested) {
            if (now - at > INTEREST_MILLISECONDS) {
                owned.interested.delete(id);
            }
        }
        return [...owned.interested.keys()];
    }
}
