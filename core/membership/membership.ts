/**
 * Spreads heartbeats by gossip and judges members by the age of their last heartbeat.
 *
 * @module
 */
import { hashText } from "../hashing/mod.ts";
import type { GossipMessage, ListedInstance, Member, MemberEntry } from "./membership_types.ts";

/** Options of a {@linkcode Membership}. */
export interface MembershipOptions {
    /** Time between rounds of gossip, in milliseconds. Defaults to 300. */
    intervalMilliseconds?: number;
    /** Peers that each round is sent to. Defaults to 1. */
    fanout?: number;
    /** Time after which an unlisted dead member is forgotten, in milliseconds. Defaults to 45 000. */
    forgetMilliseconds?: number;
    /** Source of random numbers from 0 up to 1. */
    random: () => number;
}

/** A message to one peer. */
export interface GossipSend {
    /** Name of the peer. */
    to: string;
    /** Message to send. */
    message: GossipMessage;
}

/** What gossip carries on behalf of configuration. */
export interface GossipPayload {
    /** Generation in force here. */
    generation: number;
    /** Age of the last proof that it is the newest, in milliseconds. */
    confirmedAge: number;
}

interface MemberState extends Member {
    heartbeat: number;
    advancedAt: number;
}

const DEFAULT_INTERVAL = 300;
const DEFAULT_FORGET = 45_000;
/** Rounds after which a heartbeat counts as late, beside those that gossip needs to cross the fleet. */
const BASE_ROUNDS = 4;
/** Rounds that gossip needs for each doubling of the fleet. */
const ROUNDS_PER_DOUBLING = 1.5;
/** Ages, as multiples of the fresh age, at which a member counts as dead. */
const DEAD_FACTOR = 1.5;
/** Every this many rounds, one message goes to a member that seems dead, to heal a parted network. */
const ROUNDS_PER_HEALING = 5;

/** Knows the fleet's instances and which of them live. */
export class Membership {
    readonly #self: MemberState;
    readonly #options: MembershipOptions;
    readonly #members = new Map<string, MemberState>();
    readonly #listed = new Set<string>();
    #order: string[] = [];
    #roster = 0;
    #round = 0;
    #nextRoundAt = 0;

    constructor(self: Member, options: MembershipOptions) {
        this.#self = { ...self, heartbeat: 0, advancedAt: 0 };
        this.#options = options;
        this.#members.set(self.id, this.#self);
        this.#updateRoster();
    }

    get self(): Member {
        return this.#self;
    }

    /** Starts a round of gossip where one is due. */
    handleTick(now: number, payload: GossipPayload): GossipSend[] {
        if (now < this.#nextRoundAt) {
            return [];
        }
        this.#nextRoundAt = now + this.#interval;
        this.#round += 1;
        this.#self.heartbeat += 1;
        this.#self.advancedAt = now;
        this.#removeForgotten(now);
        const message = this.#buildMessage(payload, { isReply: false, now });
        return this.#pickPeers(now).map(to => ({ to, message }));
    }

    /** Takes a message from a peer, and answers it where an answer is due. */
    handleGossip(
        message: GossipMessage,
        context: { from: string; now: number; payload: GossipPayload; },
    ): GossipSend[] {
        const { from, now, payload } = context;
        const isSameRoster = message.entries.length === 0 && message.roster === this.#roster;
        if (isSameRoster) {
            this.#mergeHeartbeats(message.heartbeats, now);
        }
        else {
            this.#mergeEntries(message.entries, now);
        }
        const isUnreadable = !isSameRoster && message.entries.length === 0;
        if (message.isReply && !isUnreadable) {
            return [];
        }
        const isWhole = isUnreadable || message.roster !== this.#roster;
        return [{ to: from, message: this.#buildMessage(payload, { isReply: !isUnreadable, isWhole, now }) }];
    }

    /** Takes the platform's list of instances; it only adds members and keeps them from being forgotten. */
    handleInstanceList(instances: readonly ListedInstance[], now: number): void {
        this.#listed.clear();
        for (const { id, address, zone, role } of instances) {
            if (role !== "entry") {
                continue;
            }
            this.#listed.add(id);
            if (!this.#members.has(id)) {
                const entry = { id, address, zone, incarnation: 0, isLeaving: false, heartbeat: 0 };
                this.#members.set(id, { ...entry, advancedAt: now - this.deadAge });
            }
        }
        this.#updateRoster();
    }

    /** Says that this instance is leaving. */
    announceLeaving(): void {
        this.#self.isLeaving = true;
        this.#updateRoster();
    }

    /** Builds the message that tells a peer of this member alone. */
    buildFarewell(payload: GossipPayload, now: number): GossipMessage {
        const entries = [this.#buildEntry(this.#self, now)];
        return { kind: "gossip", roster: 0, heartbeats: [], entries, isReply: true, ...payload };
    }

    /** Age of a heartbeat above which its member is not counted as in contact, in milliseconds. */
    get freshAge(): number {
        return this.#interval * (BASE_ROUNDS + ROUNDS_PER_DOUBLING * Math.log2(Math.max(2, this.#members.size)));
    }

    /** Age of a heartbeat above which its member counts as dead, in milliseconds. */
    get deadAge(): number {
        return this.freshAge * DEAD_FACTOR;
    }

    /** Lists the members that live and stay; they own targets and shards. */
    listLive(now: number): Member[] {
        return this.#listYounger(this.deadAge, now).filter(member => !member.isLeaving);
    }

    /** Lists all members that live, leaving ones too. */
    listPresent(now: number): Member[] {
        return this.#listYounger(this.deadAge, now);
    }

    /** Tells whether more than half of the known members, this one too, are in contact. */
    hasMajority(now: number): boolean {
        return this.computeContactShare(now) > 0.5;
    }

    /** Computes the share of the known members that are in contact, this one too. */
    computeContactShare(now: number): number {
        const known = [...this.#members.values()].filter(member => !member.isLeaving || member === this.#self);
        const fresh = known.filter(member => this.#computeAge(member, now) < this.freshAge);
        return fresh.length / known.length;
    }

    /** Finds the member named `id`. */
    findMember(id: string): Member | undefined {
        return this.#members.get(id);
    }

    /** Describes every member, for a dump. */
    dumpState(now: number): Record<string, unknown>[] {
        return [...this.#members.values()].map(({ advancedAt: _advancedAt, ...member }) => ({
            ...member,
            ageMilliseconds: this.#computeAge(this.#members.get(member.id) ?? this.#self, now),
        }));
    }

    get #interval(): number {
        return this.#options.intervalMilliseconds ?? DEFAULT_INTERVAL;
    }

    get #forgetAge(): number {
        return Math.max(this.#options.forgetMilliseconds ?? DEFAULT_FORGET, this.deadAge * 2);
    }

    #computeAge(member: MemberState, now: number): number {
        return member === this.#self ? 0 : now - member.advancedAt;
    }

    #listYounger(age: number, now: number): MemberState[] {
        return [...this.#members.values()].filter(member => this.#computeAge(member, now) < age);
    }

    #pickPeers(now: number): string[] {
        const others = [...this.#members.values()].filter(member => member !== this.#self);
        const live = others.filter(member => this.#computeAge(member, now) < this.deadAge);
        const dead = others.filter(member => this.#computeAge(member, now) >= this.deadAge);
        const picked: string[] = [];
        for (let count = 0; count < (this.#options.fanout ?? 1); count += 1) {
            this.#movePick(live, picked);
        }
        if (live.length === 0 && picked.length === 0 || this.#round % ROUNDS_PER_HEALING === 0) {
            this.#movePick(dead, picked);
        }
        return picked;
    }

    #movePick(from: MemberState[], picked: string[]): void {
        const index = Math.floor(this.#options.random() * from.length);
        const [member] = from.splice(index, 1);
        if (member !== undefined) {
            picked.push(member.id);
        }
    }

    #buildEntry(member: MemberState, now: number): MemberEntry {
        const { advancedAt: _advancedAt, ...entry } = member;
        return { ...entry, age: this.#computeAge(member, now) };
    }

    #buildMessage(
        payload: GossipPayload,
        options: { isReply: boolean; isWhole?: boolean; now: number; },
    ): GossipMessage {
        const members = this.#order.map(id => this.#members.get(id)).filter(member => member !== undefined);
        const isWhole = options.isWhole ?? false;
        return {
            kind: "gossip",
            roster: this.#roster,
            heartbeats: isWhole ? [] : members.map(member => member.heartbeat),
            entries: isWhole ? members.map(member => this.#buildEntry(member, options.now)) : [],
            isReply: options.isReply,
            ...payload,
        };
    }

    #mergeHeartbeats(heartbeats: readonly number[], now: number): void {
        for (const [index, heartbeat] of heartbeats.entries()) {
            const member = this.#members.get(this.#order[index] ?? "");
            if (member !== undefined && member !== this.#self && heartbeat > member.heartbeat) {
                member.heartbeat = heartbeat;
                member.advancedAt = now;
            }
        }
    }

    #mergeEntries(entries: readonly MemberEntry[], now: number): void {
        for (const entry of entries) {
            this.#mergeEntry(entry, now);
        }
        this.#updateRoster();
    }

    #mergeEntry(entry: MemberEntry, now: number): void {
        if (entry.id === this.#self.id) {
            // An older life of this instance must not outlive it in the peers' rosters.
            this.#self.incarnation = Math.max(this.#self.incarnation, entry.incarnation);
            return;
        }
        const { age, ...seen } = entry;
        const advancedAt = now - age;
        const known = this.#members.get(entry.id);
        if (known === undefined) {
            if (age < this.#forgetAge) {
                this.#members.set(entry.id, { ...seen, advancedAt });
            }
            return;
        }
        if (entry.incarnation < known.incarnation) {
            return;
        }
        if (entry.incarnation > known.incarnation) {
            Object.assign(known, seen, { advancedAt });
            return;
        }
        known.isLeaving ||= entry.isLeaving;
        if (entry.heartbeat > known.heartbeat) {
            known.heartbeat = entry.heartbeat;
            known.advancedAt = Math.max(known.advancedAt, advancedAt);
        }
    }

    #removeForgotten(now: number): void {
        for (const member of [...this.#members.values()]) {
            const age = this.#computeAge(member, now);
            const limit = member.isLeaving ? this.deadAge * 2 : this.#forgetAge;
            const isListed = this.#listed.has(member.id) && !member.isLeaving;
            if (age > limit && !isListed) {
                this.#members.delete(member.id);
            }
        }
        this.#updateRoster();
    }

    #updateRoster(): void {
        this.#order = [...this.#members.keys()].sort();
        const parts = this.#order.map(id => {
            const member = this.#members.get(id);
            return `${id}/${member?.incarnation}/${member?.address}/${member?.isLeaving}`;
        });
        this.#roster = hashText(parts.join(","));
    }
}
