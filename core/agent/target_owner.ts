/**
 * Owns targets: grants permits for those that rendezvous hashing gives to this instance.
 *
 * @module
 */
import {
    GrantExtent,
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
import type { HandoverMessage, HandoverRequestMessage, PeerMessage } from "./agent_messages.ts";
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
    /** Called with the models that an owned target reports to hold. */
    onReport: (target: RoutedTarget, report: { models: readonly string[]; askedAt: number; }) => void;
    /** Sends a message to an instance, this one too. */
    send: (to: string, message: PeerMessage) => void;
}

interface OwnedTarget {
    admission: TargetAdmission;
    /** Time from which the whole limit may be granted. */
    settledAt: number;
    /** True once the whole limit could be granted. */
    wasSettled: boolean;
    nextPollAt: number;
    lastShare: number;
    interested: Map<string, number>;
}

/** A target that this instance has given up, as its new owner may ask. */
interface GivenTarget {
    givenAt: number;
    permits: Permit[];
    isSettled: boolean;
}

const DEFAULT_SETTLE = 3000;
const DEFAULT_POLL = 500;
const DIGEST_INTERVAL = 300;
/** Change of headroom that is worth telling. */
const DIGEST_STEP = 0.03;
/** Time for which an instance that asked for a permit is told of headroom, in milliseconds. */
const INTEREST_MILLISECONDS = 15_000;
/** Time for which a given target is remembered, in milliseconds. */
const GIVEN_MILLISECONDS = 5000;
/** Age of a handover up to which nobody else can have owned the target since, in milliseconds. */
const MAX_HANDOVER_AGE = 2000;
const OWNERSHIP_INTERVAL = 200;

/** Grants permits for the targets that this instance owns. */
export class TargetOwner {
    readonly #context: TargetOwnerContext;
    readonly #owned = new Map<string, OwnedTarget>();
    readonly #given = new Map<string, GivenTarget>();
    /** Owners found since the members changed last. */
    readonly #owners = new Map<string, string | undefined>();
    #rendezvous = new Rendezvous([]);
    #liveSignature: number | undefined;
    #live: string[] = [];
    #table: RoutingTable | undefined;
    #nextDigestAt = 0;
    #nextOwnershipAt = 0;

    constructor(context: TargetOwnerContext) {
        this.#context = context;
    }

    /** Finds the instance that owns `target`. */
    findOwner(target: string): string | undefined {
        if (!this.#owners.has(target)) {
            this.#owners.set(target, this.#rendezvous.chooseOwner(target));
        }
        return this.#owners.get(target);
    }

    /** Takes up and gives up targets, polls them, and lets waits run out. */
    handleTick(now: number): void {
        if (now >= this.#nextOwnershipAt || this.#context.getTable() !== this.#table) {
            this.#nextOwnershipAt = now + OWNERSHIP_INTERVAL;
            this.#updateOwnership(now);
        }
        for (const [name, owned] of this.#owned) {
            const target = this.#context.getTable().targets.get(name);
            if (target !== undefined) {
                this.#updateScope(target, { owned, now });
                this.#pollTarget(target, { owned, now });
            }
            this.#answer(owned.admission.handleTick(now));
        }
        this.#sendDigests(now);
    }

    /** Takes a request for a permit from `request.origin`. */
    handleAcquire(request: PermitRequest, now: number): void {
        const owned = this.#findOwned(request.target, now);
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
        const owned = this.#findOwned(release.target, now);
        this.#answer(owned?.admission.releasePermit(permitId, { outcome, now }) ?? []);
    }

    /** Notes that the target at `address` has closed the connection that it is polled on. */
    handleTargetClosed(address: string, now: number): void {
        for (const [name, owned] of this.#owned) {
            if (this.#context.getTable().targets.get(name)?.address === address) {
                owned.admission.handleClosed(now);
                this.#context.outbox.logChange("target closed its connection", { target: name });
            }
        }
    }

    /** Renews permits. */
    handleAnnounce(permits: readonly Permit[], now: number): void {
        for (const permit of permits) {
            const owned = this.#owned.get(permit.target);
            owned?.interested.set(permit.origin, now);
            owned?.admission.announcePermit(permit, now);
        }
    }

    /** Asks `context.from`, which may have owned the target, for its permits. */
    requestHandover(target: string, context: { from: string; now: number; }): void {
        const owned = this.#owned.get(target);
        if (owned !== undefined && owned.settledAt > context.now) {
            this.#context.send(context.from, { kind: "handover-request", target, sentAt: context.now });
        }
    }

    /** Tells the new owner of a target what this instance, which has given it up, knows. */
    handleHandoverRequest(message: HandoverRequestMessage, context: { from: string; now: number; }): void {
        const { target, sentAt } = message;
        const given = this.#given.get(target);
        if (given !== undefined && !this.#owned.has(target)) {
            const { permits, isSettled, givenAt } = given;
            const age = context.now - givenAt;
            this.#context.send(context.from, { kind: "handover", target, echo: sentAt, age, permits, isSettled });
        }
    }

    /** Takes the permits of a target from its previous owner, and grants at once where it gave the target up just now. */
    handleHandover(message: HandoverMessage, now: number): void {
        const owned = this.#owned.get(message.target);
        if (owned === undefined || owned.settledAt <= now) {
            return;
        }
        for (const permit of message.permits) {
            owned.admission.announcePermit(permit, now);
        }
        if (message.isSettled && now - message.echo + message.age <= MAX_HANDOVER_AGE) {
            owned.settledAt = now;
        }
    }

    /** Gives all targets up, because this instance is leaving. */
    releaseAll(now: number): void {
        this.#updateOwnership(now);
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
        const signature = membership.computeLiveSignature(now);
        const table = getTable();
        this.#dropGiven(now);
        if (signature === this.#liveSignature && table === this.#table) {
            return;
        }
        const live = membership.listLive(now).map(member => member.id);
        this.#liveSignature = signature;
        this.#live = live;
        this.#table = table;
        this.#rendezvous = new Rendezvous(live);
        this.#owners.clear();
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

    #dropGiven(now: number): void {
        for (const [name, given] of this.#given) {
            if (now - given.givenAt > GIVEN_MILLISECONDS) {
                this.#given.delete(name);
            }
        }
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
            settledAt: now + this.#settleMilliseconds,
            wasSettled: false,
            nextPollAt: now,
            lastShare: Infinity,
            interested: new Map(),
        };
        this.#owned.set(target.name, owned);
        const others = this.#live.filter(id => id !== options.self.id);
        const previous = new Rendezvous(others).chooseOwner(target.name);
        if (previous !== undefined) {
            this.requestHandover(target.name, { from: previous, now });
        }
        outbox.logChange("target taken", { target: target.name });
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
        const permits = owned.admission.listPermits();
        // A process that was paused learns here that it has lost its majority meanwhile.
        const isSettled = this.#chooseExtent(owned, now) === GrantExtent.full;
        this.#given.set(target, { givenAt: now, permits, isSettled });
        if (successor !== undefined) {
            send(successor, { kind: "handover-offer", target });
        }
    }

    /** Finds an owned target, with what may be granted for it brought up to date. */
    #findOwned(name: string, now: number): OwnedTarget | undefined {
        const owned = this.#owned.get(name);
        const target = this.#context.getTable().targets.get(name);
        if (owned !== undefined && target !== undefined) {
            this.#updateScope(target, { owned, now });
        }
        return owned;
    }

    #updateScope(target: RoutedTarget, context: { owned: OwnedTarget; now: number; }): void {
        const { owned, now } = context;
        this.#answer(owned.admission.setScope(this.#buildScope(target, context), now));
    }

    #buildScope(target: RoutedTarget, context: { owned: OwnedTarget; now: number; }): GrantScope {
        return {
            extent: this.#chooseExtent(context.owned, context.now),
            share: this.#context.membership.computeContactShare(context.now),
            isOpen: target.closedBy === undefined,
        };
    }

    /**
     * Chooses how much may be granted.
     *
     * Without a majority another instance may take the target over, so the owner has to settle again afterwards.
     */
    #chooseExtent(owned: OwnedTarget, now: number): GrantExtent {
        const { membership, isServing } = this.#context;
        if (!membership.hasMajority(now)) {
            owned.settledAt = now + this.#settleMilliseconds;
        }
        if (!isServing()) {
            return GrantExtent.none;
        }
        if (owned.settledAt <= now) {
            owned.wasSettled = true;
            return GrantExtent.full;
        }
        return owned.wasSettled ? GrantExtent.share : GrantExtent.none;
    }

    get #settleMilliseconds(): number {
        return this.#context.options.settleMilliseconds ?? DEFAULT_SETTLE;
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
            this.#findOwned(target.name, times.now);
            if (report?.models !== undefined && this.#owned.get(target.name) === owned) {
                this.#context.onReport(target, { models: report.models, askedAt: now });
            }
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
                    ? { kind: "granted", permitId, headroom, heldMilliseconds: decision.heldMilliseconds }
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
