/**
 * Pulls signs of life from random peers and judges members by the age of their last one.
 *
 * An age only ever counts from the time at which this instance asked, never from the time at which an answer came. So
 * neither a stalled link nor a pause of this process can make a member look alive that is not.
 *
 * @module
 */
import { hashText } from "../hashing/mod.ts";
import {
    AGE_UNIT,
    type FarewellMessage,
    type GossipMessage,
    type GossipReplyMessage,
    type ListedInstance,
    type Member,
    type MemberEntry,
} from "./membership_types.ts";

/** Options of a {@linkcode Membership}. */
export interface MembershipOptions {
    /** Time between rounds of gossip, in milliseconds. Defaults to 300. */
    intervalMilliseconds?: number;
    /** Peers that each round asks. Defaults to 2. */
    fanout?: number;
    /** Time after which an unlisted dead member is forgotten, in milliseconds. Defaults to 45 000. */
    forgetMilliseconds?: number;
    /** Source of random numbers from 0 up to 1. */
    random: () => number;
}

/** What gossip carries on behalf of configuration. */
export interface GossipPayload {
    /** Generation in force here. */
    generation: number;
    /** Age of the last proof that it is the newest, in milliseconds. */
    confirmedAge: number;
}

interface MemberState extends Member {
    aliveAt: number;
}

const DEFAULT_INTERVAL = 300;
const DEFAULT_FANOUT = 2;
const DEFAULT_FORGET = 45_000;
/** Rounds after which a sign of life counts as late, beside those that gossip needs to cross the fleet. */
const BASE_ROUNDS = 4;
/** Rounds that gossip needs for each doubling of the fleet. */
const ROUNDS_PER_DOUBLING = 1.5;
/** Age at which a member counts as dead, as a multiple of the fresh age. */
const DEAD_FACTOR = 1.5;
/** Every this many rounds, one question goes to a member that seems dead, to heal a parted network. */
const ROUNDS_PER_HEALING = 5;
/** Time for which a computed share of members in contact is used again, in milliseconds. */
const SHARE_MILLISECONDS = 40;
/** Age that stands for never, in milliseconds. */
const MAX_AGE = 1_000_000;

/** Knows the fleet's instances and which of them live. */
export class Membership {
    readonly #self: MemberState;
    readonly #options: MembershipOptions;
    readonly #members = new Map<string, MemberState>();
    readonly #listed = new Set<string>();
    #order: string[] = [];
    #roster = 0;
    #freshAge = 0;
    #deadAge = 0;
    /** Share of members in contact, as computed at `#shareAt`. */
    #share = 0;
    #shareAt = -Infinity;
    #round = 0;
    #nextRoundAt = 0;

    constructor(self: Member, options: MembershipOptions) {
        this.#self = { ...self, aliveAt: 0 };
        this.#options = options;
        this.#members.set(self.id, this.#self);
        this.#updateRoster();
    }

    get self(): Member {
        const { aliveAt: _aliveAt, ...self } = this.#self;
        return self;
    }

    /** Starts a round of gossip where one is due. @returns The peers to ask, and the question. */
    handleTick(now: number, generation: number): { peers: string[]; message: GossipMessage; } {
        const message: GossipMessage = {
            kind: "gossip",
            sender: this.self,
            roster: this.#roster,
            sentAt: now,
            generation,
        };
        if (now < this.#nextRoundAt) {
            return { peers: [], message };
        }
        this.#nextRoundAt = now + this.#interval;
        this.#round += 1;
        this.#removeForgotten(now);
        return { peers: this.#pickPeers(now), message };
    }

    /** Answers a question. */
    handleGossip(message: GossipMessage, context: { now: number; payload: GossipPayload; }): GossipReplyMessage {
        const { now, payload } = context;
        this.#mergeMember(message.sender, now - this.deadAge);
        const members = this.#order.flatMap(id => this.#members.get(id) ?? []);
        const isSameRoster = message.roster === this.#roster;
        return {
            kind: "gossip-reply",
            echo: message.sentAt,
            roster: this.#roster,
            ages: isSameRoster ? members.map(member => Math.ceil(this.#computeAge(member, now) / AGE_UNIT)) : [],
            entries: isSameRoster ? [] : members.map(member => this.#buildEntry(member, now)),
            ...payload,
        };
    }

    /** Takes an answer to a question of this instance. */
    handleReply(message: GossipReplyMessage): void {
        const { echo, roster, ages, entries } = message;
        this.#shareAt = -Infinity;
        if (roster === this.#roster) {
            this.#mergeAges(ages, echo);
        }
        for (const { age, ...member } of entries) {
            this.#mergeMember(member, echo - age);
        }
        if (entries.length > 0) {
            this.#updateRoster();
        }
    }

    /** Takes a farewell. */
    handleFarewell(message: FarewellMessage, now: number): void {
        this.#mergeMember(message.sender, now - this.deadAge);
        this.#updateRoster();
    }

    /** Takes the platform's list of instances; it only adds members and keeps them from being forgotten. */
    handleInstanceList(instances: readonly ListedInstance[], now: number): void {
        this.#listed.clear();
        for (const { id, address, zone, role } of instances) {
            if (role !== "entry" || id === this.#self.id) {
                continue;
            }
            this.#listed.add(id);
            if (!this.#members.has(id)) {
                this.#mergeMember({ id, address, zone, incarnation: 0, isLeaving: false }, now - this.deadAge);
            }
        }
        this.#updateRoster();
    }

    /** Says that this instance is leaving. @returns The message for every peer. */
    announceLeaving(): FarewellMessage {
        this.#self.isLeaving = true;
        this.#updateRoster();
        return { kind: "farewell", sender: this.self };
    }

    /** Age of a sign of life above which its member is not counted as in contact, in milliseconds. */
    get freshAge(): number {
        return this.#freshAge;
    }

    /** Age of a sign of life above which its member counts as dead, in milliseconds. */
    get deadAge(): number {
        return this.#deadAge;
    }

    /** Lists the members that live and stay; they own targets and shards. */
    listLive(now: number): Member[] {
        return this.listPresent(now).filter(member => !member.isLeaving);
    }

    /** Computes a number that changes with the set of members that live and stay, without listing them. */
    computeLiveSignature(now: number): number {
        let signature = this.#roster;
        for (const [index, id] of this.#order.entries()) {
            const member = this.#members.get(id);
            if (member !== undefined && !member.isLeaving && this.#computeAge(member, now) < this.#deadAge) {
                signature = Math.imul(signature, 31) + index | 0;
            }
        }
        return signature;
    }

    /** Lists all members that live, leaving ones too. */
    listPresent(now: number): Member[] {
        return [...this.#members.values()].filter(member => this.#computeAge(member, now) < this.#deadAge);
    }

    /** Tells whether more than half of the known members, this one too, are in contact. */
    hasMajority(now: number): boolean {
        return this.computeContactShare(now) > 0.5;
    }

    /** Computes the share of the known members that are in contact, this one too. */
    computeContactShare(now: number): number {
        if (now >= this.#shareAt && now - this.#shareAt < SHARE_MILLISECONDS) {
            return this.#share;
        }
        const freshAge = this.#freshAge;
        let known = 0;
        let fresh = 0;
        for (const member of this.#members.values()) {
            if (!member.isLeaving || member === this.#self) {
                known += 1;
                fresh += this.#computeAge(member, now) < freshAge ? 1 : 0;
            }
        }
        this.#shareAt = now;
        this.#share = fresh / known;
        return this.#share;
    }

    /** Finds the member named `id`. */
    findMember(id: string): Member | undefined {
        return this.#members.get(id);
    }

    /** Describes every member, for a dump. */
    dumpState(now: number): MemberEntry[] {
        return [...this.#members.values()].map(member => this.#buildEntry(member, now));
    }

    get #interval(): number {
        return this.#options.intervalMilliseconds ?? DEFAULT_INTERVAL;
    }

    get #forgetAge(): number {
        return Math.max(this.#options.forgetMilliseconds ?? DEFAULT_FORGET, this.deadAge * 2);
    }

    #computeAge(member: MemberState, now: number): number {
        return member === this.#self ? 0 : Math.min(MAX_AGE, Math.max(0, Math.round(now - member.aliveAt)));
    }

    #buildEntry(member: MemberState, now: number): MemberEntry {
        const { aliveAt: _aliveAt, ...rest } = member;
        return { ...rest, age: this.#computeAge(member, now) };
    }

    #pickPeers(now: number): string[] {
        const others = [...this.#members.values()].filter(member => member !== this.#self);
        const live = others.filter(member => this.#computeAge(member, now) < this.deadAge);
        const dead = others.filter(member => this.#computeAge(member, now) >= this.deadAge);
        const picked: string[] = [];
        for (let count = 0; count < (this.#options.fanout ?? DEFAULT_FANOUT); count += 1) {
            this.#takeRandom(live, picked);
        }
        if (picked.length === 0 || this.#round % ROUNDS_PER_HEALING === 0) {
            this.#takeRandom(dead, picked);
        }
        return picked;
    }

    #takeRandom(from: MemberState[], picked: string[]): void {
        const index = Math.floor(this.#options.random() * from.length);
        const [member] = from.splice(index, 1);
        if (member !== undefined) {
            picked.push(member.id);
        }
    }

    #mergeAges(ages: readonly number[], echo: number): void {
        for (const [index, units] of ages.entries()) {
            const member = this.#members.get(this.#order[index] ?? "");
            const age = units * AGE_UNIT;
            if (member !== undefined && age < MAX_AGE) {
                member.aliveAt = Math.max(member.aliveAt, echo - age);
            }
        }
    }

    #mergeMember(entry: Member, aliveAt: number): void {
        if (entry.id === this.#self.id) {
            return;
        }
        const known = this.#members.get(entry.id);
        if (known === undefined) {
            this.#members.set(entry.id, { ...entry, aliveAt });
            this.#updateRoster();
        }
        else if (entry.incarnation > known.incarnation) {
            Object.assign(known, entry, { aliveAt: Math.max(known.aliveAt, aliveAt) });
            this.#updateRoster();
        }
        else if (entry.incarnation === known.incarnation) {
            known.aliveAt = Math.max(known.aliveAt, aliveAt);
            if (entry.isLeaving && !known.isLeaving) {
                known.isLeaving = true;
                this.#updateRoster();
            }
        }
    }

    #removeForgotten(now: number): void {
        for (const member of [...this.#members.values()]) {
            const limit = member.isLeaving ? this.deadAge * 2 : this.#forgetAge;
            const isListed = this.#listed.has(member.id) && !member.isLeaving;
            if (this.#computeAge(member, now) > limit && !isListed) {
                this.#members.delete(member.id);
                this.#updateRoster();
            }
        }
    }

    #updateRoster(): void {
        const rounds = BASE_ROUNDS + ROUNDS_PER_DOUBLING * Math.log2(Math.max(2, this.#members.size));
        this.#freshAge = this.#interval * rounds;
        this.#deadAge = this.#freshAge * DEAD_FACTOR;
        this.#shareAt = -Infinity;
        this.#order = [...this.#members.keys()].sort();
        const parts = this.#order.map(id => {
            const member = this.#members.get(id);
            return `${id}/${member?.incarnation}/${member?.address}/${member?.isLeaving}`;
        });
        this.#roster = hashText(parts.join(","));
    }
}
