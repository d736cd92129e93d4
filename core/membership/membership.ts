/**
 * Tracks the fleet's members and detects failed ones by pull gossip.
 *
 * Each round asks a few random peers for the liveness age of every member: the time since it was last known to be
 * alive. Ages are counted back from the time at which this instance sent its request, never from the arrival of the
 * reply. So neither a stalled link nor a pause of this process can make a dead member look alive.
 *
 * @module
 */
import { hashText } from "../hashing/mod.ts";
import {
    AGE_UNIT_MILLISECONDS,
    type GossipMessage,
    type GossipReplyMessage,
    type ListedInstance,
    type Member,
    type MemberEntry,
    type ShutdownMessage,
} from "./membership_types.ts";

/** Options of a {@linkcode Membership}. */
export interface MembershipOptions {
    /** Time between gossip rounds, in milliseconds. Defaults to 300. */
    intervalMilliseconds?: number;
    /** Number of live peers that each round asks. Defaults to 2. */
    fanout?: number;
    /** Time after which a dead member is removed unless the platform lists it, in milliseconds. Defaults to 45 000. */
    deadMemberRetentionMilliseconds?: number;
    /** Random number generator that returns numbers from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
}

/** Configuration status that gossip replies carry. */
export interface GossipPayload {
    /** Configuration generation in force at this instance. */
    generation: number;
    /** Time since this generation was last confirmed to be the newest, in milliseconds. */
    confirmedAge: number;
}

interface MemberState extends Member {
    /** Latest time at which the member is known to have been alive, on this instance's monotonic clock. */
    lastAliveAt: number;
}

const DEFAULT_INTERVAL_MILLISECONDS = 300;
const DEFAULT_FANOUT = 2;
const DEFAULT_DEAD_MEMBER_RETENTION_MILLISECONDS = 45_000;
/** Gossip rounds in the maximum reachable age, in addition to those that an update needs to spread in the fleet. */
const BASE_ROUNDS = 4;
/** Additional gossip rounds that an update needs to spread for each doubling of the fleet. */
const ROUNDS_PER_DOUBLING = 1.5;
/** Liveness age from which a member counts as dead, as a multiple of the maximum reachable age. */
const DEAD_AGE_FACTOR = 1.5;
/** Number of rounds between requests to a dead member, through which a partitioned fleet reconnects. */
const ROUNDS_PER_DEAD_PROBE = 5;
/** Time for which the computed share of reachable members is cached, in milliseconds. */
const SHARE_CACHE_MILLISECONDS = 40;
/** Upper limit of liveness ages, in milliseconds; an age that reaches it is unknown, and ignored in gossip replies. */
const MAX_AGE_MILLISECONDS = 1_000_000;

/** The members of the fleet and their liveness, as this instance knows them. */
export class Membership {
    readonly #self: MemberState;
    readonly #options: MembershipOptions;
    readonly #members = new Map<string, MemberState>();
    /** Names of the members in the platform's last instance list. */
    readonly #listedIds = new Set<string>();
    /** Names of all members in ascending order, to which the ages in gossip replies refer by index. */
    #sortedIds: string[] = [];
    /** Hash of the member list; equal at two instances that know the same members. */
    #memberListHash = 0;
    #maxReachableAge = 0;
    #deadAge = 0;
    /** Share of reachable members, as computed at `#shareComputedAt`. */
    #reachableShare = 0;
    #shareComputedAt = -Infinity;
    #round = 0;
    #nextRoundAt = 0;

    constructor(self: Member, options: MembershipOptions) {
        this.#self = { ...self, lastAliveAt: 0 };
        this.#options = options;
        this.#members.set(self.id, this.#self);
        this.#updateMemberList();
    }

    get self(): Member {
        const { lastAliveAt: _lastAliveAt, ...self } = this.#self;
        return self;
    }

    /** Starts a gossip round if one is due. @returns The peers to send the request to, and the request. */
    handleTick(now: number, generation: number): { peers: string[]; message: GossipMessage; } {
        const message: GossipMessage = {
            kind: "gossip",
            sender: this.self,
            roster: this.#memberListHash,
            sentAt: now,
            generation,
        };
        if (now < this.#nextRoundAt) {
            return { peers: [], message };
        }
        this.#nextRoundAt = now + this.#interval;
        this.#round += 1;
        this.#removeExpired(now);
        return { peers: this.#pickPeers(now), message };
    }

    /** Builds the reply to a peer's gossip request. */
    handleGossip(message: GossipMessage, context: { now: number; payload: GossipPayload; }): GossipReplyMessage {
        const { now, payload } = context;
        this.#mergeMember(message.sender, now - this.deadAge);
        const members = this.#sortedIds.flatMap(id => this.#members.get(id) ?? []);
        const isSameMemberList = message.roster === this.#memberListHash;
        return {
            kind: "gossip-reply",
            echo: message.sentAt,
            roster: this.#memberListHash,
            ages: isSameMemberList
                ? members.map(member => Math.ceil(this.#computeAge(member, now) / AGE_UNIT_MILLISECONDS))
                : [],
            entries: isSameMemberList ? [] : members.map(member => this.#buildEntry(member, now)),
            ...payload,
        };
    }

    /** Merges a peer's reply to a gossip request of this instance. */
    handleReply(message: GossipReplyMessage): void {
        const { echo, roster, ages, entries } = message;
        this.#shareComputedAt = -Infinity;
        if (roster === this.#memberListHash) {
            this.#mergeAges(ages, echo);
        }
        for (const { age, ...member } of entries) {
            this.#mergeMember(member, echo - age);
        }
        if (entries.length > 0) {
            this.#updateMemberList();
        }
    }

    /** Marks a member that announces its shutdown as leaving. */
    handleShutdown(message: ShutdownMessage, now: number): void {
        this.#mergeMember(message.sender, now - this.deadAge);
        this.#updateMemberList();
    }

    /** Applies the platform's instance list, which only adds members and prevents their removal. */
    handleInstanceList(instances: readonly ListedInstance[], now: number): void {
        this.#listedIds.clear();
        for (const { id, address, zone, role } of instances) {
            if (role !== "entry" || id === this.#self.id) {
                continue;
            }
            this.#listedIds.add(id);
            if (!this.#members.has(id)) {
                this.#mergeMember({ id, address, zone, incarnation: 0, isLeaving: false }, now - this.deadAge);
            }
        }
        this.#updateMemberList();
    }

    /** Marks this instance as leaving. @returns The message to send to every peer. */
    announceLeaving(): ShutdownMessage {
        this.#self.isLeaving = true;
        this.#updateMemberList();
        return { kind: "farewell", sender: this.self };
    }

    /** Liveness age from which a member no longer counts as reachable, in milliseconds. */
    get maxReachableAge(): number {
        return this.#maxReachableAge;
    }

    /** Liveness age from which a member counts as dead, in milliseconds. */
    get deadAge(): number {
        return this.#deadAge;
    }

    /** Lists the live members that are not leaving; only these own targets and shards. */
    listActive(now: number): Member[] {
        return this.listLive(now).filter(member => !member.isLeaving);
    }

    /** Computes a hash of the set of active members without building the list; it changes when the set changes. */
    computeActiveMembersHash(now: number): number {
        let hash = this.#memberListHash;
        for (const [index, id] of this.#sortedIds.entries()) {
            const member = this.#members.get(id);
            if (member !== undefined && !member.isLeaving && this.#computeAge(member, now) < this.#deadAge) {
                hash = Math.imul(hash, 31) + index | 0;
            }
        }
        return hash;
    }

    /** Lists all live members, including those that are leaving. */
    listLive(now: number): Member[] {
        return [...this.#members.values()].filter(member => this.#computeAge(member, now) < this.#deadAge);
    }

    /** Checks whether the share of reachable members is more than a half. */
    hasMajority(now: number): boolean {
        return this.computeReachableShare(now) > 0.5;
    }

    /** Computes the share of members that are reachable, counting this instance and all others that are not leaving. */
    computeReachableShare(now: number): number {
        if (now >= this.#shareComputedAt && now - this.#shareComputedAt < SHARE_CACHE_MILLISECONDS) {
            return this.#reachableShare;
        }
        const maxReachableAge = this.#maxReachableAge;
        let known = 0;
        let reachable = 0;
        for (const member of this.#members.values()) {
            if (!member.isLeaving || member === this.#self) {
                known += 1;
                reachable += this.#computeAge(member, now) < maxReachableAge ? 1 : 0;
            }
        }
        this.#shareComputedAt = now;
        this.#reachableShare = reachable / known;
        return this.#reachableShare;
    }

    /** Finds the member with the name `id`. */
    findMember(id: string): Member | undefined {
        return this.#members.get(id);
    }

    /** Describes every member for a state dump. */
    dumpState(now: number): MemberEntry[] {
        return [...this.#members.values()].map(member => this.#buildEntry(member, now));
    }

    get #interval(): number {
        return this.#options.intervalMilliseconds ?? DEFAULT_INTERVAL_MILLISECONDS;
    }

    get #removalAge(): number {
        return Math.max(
            this.#options.deadMemberRetentionMilliseconds ?? DEFAULT_DEAD_MEMBER_RETENTION_MILLISECONDS,
            this.deadAge * 2,
        );
    }

    #computeAge(member: MemberState, now: number): number {
        return member === this.#self
            ? 0
            : Math.min(MAX_AGE_MILLISECONDS, Math.max(0, Math.round(now - member.lastAliveAt)));
    }

    #buildEntry(member: MemberState, now: number): MemberEntry {
        const { lastAliveAt: _lastAliveAt, ...rest } = member;
        return { ...rest, age: this.#computeAge(member, now) };
    }

    #pickPeers(now: number): string[] {
        const others = [...this.#members.values()].filter(member => member !== this.#self);
        const live = others.filter(member => this.#computeAge(member, now) < this.deadAge);
        const dead = others.filter(member => this.#computeAge(member, now) >= this.deadAge);
        const picked: string[] = [];
        for (let count = 0; count < (this.#options.fanout ?? DEFAULT_FANOUT); count += 1) {
            this.#pickRandom(live, picked);
        }
        if (picked.length === 0 || this.#round % ROUNDS_PER_DEAD_PROBE === 0) {
            this.#pickRandom(dead, picked);
        }
        return picked;
    }

    #pickRandom(candidates: MemberState[], picked: string[]): void {
        const index = Math.floor(this.#options.random() * candidates.length);
        const [member] = candidates.splice(index, 1);
        if (member !== undefined) {
            picked.push(member.id);
        }
    }

    #mergeAges(ages: readonly number[], requestSentAt: number): void {
        for (const [index, units] of ages.entries()) {
            const member = this.#members.get(this.#sortedIds[index] ?? "");
            const age = units * AGE_UNIT_MILLISECONDS;
            if (member !== undefined && age < MAX_AGE_MILLISECONDS) {
                member.lastAliveAt = Math.max(member.lastAliveAt, requestSentAt - age);
            }
        }
    }

    #mergeMember(entry: Member, lastAliveAt: number): void {
        if (entry.id === this.#self.id) {
            return;
        }
        const known = this.#members.get(entry.id);
        if (known === undefined) {
            this.#members.set(entry.id, { ...entry, lastAliveAt });
            this.#updateMemberList();
        }
        else if (entry.incarnation > known.incarnation) {
            Object.assign(known, entry, { lastAliveAt: Math.max(known.lastAliveAt, lastAliveAt) });
            this.#updateMemberList();
        }
        else if (entry.incarnation === known.incarnation) {
            known.lastAliveAt = Math.max(known.lastAliveAt, lastAliveAt);
            if (entry.isLeaving && !known.isLeaving) {
                known.isLeaving = true;
                this.#updateMemberList();
            }
        }
    }

    #removeExpired(now: number): void {
        for (const member of [...this.#members.values()]) {
            const limit = member.isLeaving ? this.deadAge * 2 : this.#removalAge;
            const isListed = this.#listedIds.has(member.id) && !member.isLeaving;
            if (this.#computeAge(member, now) > limit && !isListed) {
                this.#members.delete(member.id);
                this.#updateMemberList();
            }
        }
    }

    #updateMemberList(): void {
        const rounds = BASE_ROUNDS + ROUNDS_PER_DOUBLING * Math.log2(Math.max(2, this.#members.size));
        this.#maxReachableAge = this.#interval * rounds;
        this.#deadAge = this.#maxReachableAge * DEAD_AGE_FACTOR;
        this.#shareComputedAt = -Infinity;
        this.#sortedIds = [...this.#members.keys()].sort();
        const parts = this.#sortedIds.map(id => {
            const member = this.#members.get(id);
            return `${id}/${member?.incarnation}/${member?.address}/${member?.isLeaving}`;
        });
        this.#memberListHash = hashText(parts.join(","));
    }
}
