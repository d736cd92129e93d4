/**
 * Brings the newest configuration to this instance, and on to its peers.
 *
 * @module
 */
import {
    ConfigurationState,
    type Manifest,
    MANIFEST_KEY,
    type ManifestOutcome,
    parseManifest,
    PART_PREFIX,
} from "../configuration/mod.ts";
import { Rendezvous } from "../hashing/mod.ts";
import type { ListedInstance, Member, Membership } from "../membership/mod.ts";
import type { PlatformReply } from "../platform/mod.ts";
import type { AgentOptions } from "./agent_options.ts";
import type { Outbox } from "./outbox.ts";

/** What configuration needs of the rest of the agent. */
export interface ConfigurationSyncContext {
    /** Options of the agent. */
    options: AgentOptions;
    /** Members of the fleet. */
    membership: Membership;
    /** Collector of effects. */
    outbox: Outbox;
    /** Called when a generation comes into force. */
    onAdopted: () => void;
}

/** Peers that an adopted manifest is pushed to. */
const PUSH_FANOUT = 4;
const WATCH_WAIT = 1000;
const FAILURE_PAUSE = 250;
const DEFAULT_WATCH_HOLDERS = 3;
/** Least time between two polls of the manifest, in milliseconds. */
const MIN_POLL_INTERVAL = 2000;
/** Polls of one kind that the whole fleet makes in a second, at most. */
const FLEET_POLLS_PER_SECOND = 5;
const MIN_LIST_INTERVAL = 1000;
/** Time after which an unanswered pull is sent to another source, in milliseconds. */
const PULL_TIMEOUT = 400;

/** Watches, polls, pushes and pulls the configuration. */
export class ConfigurationSync {
    readonly state: ConfigurationState;
    readonly #context: ConfigurationSyncContext;
    #leaving: ReadonlySet<string> = new Set();
    #hasList = false;
    #manifestVersion = 0;
    #isReading = false;
    #isListing = false;
    #nextReadAt = 0;
    #nextListAt = 0;
    #pullAt = -Infinity;
    #pullFrom: string | undefined;

    constructor(context: ConfigurationSyncContext) {
        this.#context = context;
        this.state = new ConfigurationState({ hashContent: context.options.hashContent });
    }

    /** Names of targets and instances that are leaving. */
    get leaving(): ReadonlySet<string> {
        return this.#leaving;
    }

    /** True once the platform has listed the fleet. */
    get hasInstanceList(): boolean {
        return this.#hasList;
    }

    /** Starts the reads and pulls that are due. */
    handleTick(now: number): void {
        if (!this.#isReading && now >= this.#nextReadAt) {
            this.#readManifest(now);
        }
        if (!this.#isListing && now >= this.#nextListAt) {
            this.#listInstances();
        }
        if (this.state.listMissing().length > 0 && now - this.#pullAt > PULL_TIMEOUT) {
            this.#pullFromPlatform(now);
        }
    }

    /** Asks a peer for its manifest where it is ahead. */
    handlePeerGeneration(from: string, generation: number): void {
        const now = this.#now;
        if (generation > this.state.generation && now - this.#pullAt > PULL_TIMEOUT) {
            this.#pullAt = now;
            this.#context.outbox.sendPeer(from, { kind: "pull", hashes: [] });
        }
    }

    /** Takes a manifest that a peer offers. */
    handlePeerManifest(from: string, manifest: Manifest): void {
        this.#pullFrom = from;
        this.#follow(this.state.handleManifest(manifest));
    }

    /** Answers a peer that asks for the manifest or for parts. */
    handlePull(from: string, hashes: readonly string[]): void {
        const { outbox } = this.#context;
        const { manifest } = this.state;
        if (hashes.length > 0) {
            outbox.sendPeer(from, { kind: "parts", texts: this.state.getParts(hashes) });
        }
        else if (manifest !== undefined) {
            outbox.sendPeer(from, { kind: "manifest", manifest });
        }
    }

    /** Takes parts from a peer. */
    handleParts(texts: readonly string[]): void {
        this.#follow(this.state.handleParts(texts));
    }

    get #now(): number {
        return this.#context.options.clock.getMonotonic();
    }

    /** Tells whether this instance is one of the few that hold a watch on the manifest. */
    #isWatchHolder(now: number): boolean {
        const { membership, options } = this.#context;
        const holders = chooseWatchHolders(membership.listLive(now), options.watchHolders ?? DEFAULT_WATCH_HOLDERS);
        return holders.includes(options.self.id);
    }

    #readManifest(now: number): void {
        this.#isReading = true;
        const isHolder = this.#isWatchHolder(now) && this.#manifestVersion > 0;
        const request = isHolder
            ? {
                kind: "watch" as const,
                key: MANIFEST_KEY,
                version: this.#manifestVersion,
                waitMilliseconds: WATCH_WAIT,
            }
            : { kind: "read" as const, key: MANIFEST_KEY };
        this.#context.outbox.callPlatform(request, reply => this.#handleManifestReply(reply, now));
    }

    #handleManifestReply(reply: PlatformReply, askedAt: number): void {
        const now = this.#now;
        this.#isReading = false;
        this.#nextReadAt = now + this.#choosePause(reply, now);
        if (reply.kind === "unchanged") {
            this.state.recordConfirmation(this.state.generation, { age: now - askedAt, now });
        }
        if (reply.kind !== "object") {
            return;
        }
        const manifest = parseManifest(reply.object.value);
        if (manifest === undefined) {
            this.#context.outbox.logChange("manifest is unreadable", { version: reply.object.version });
            return;
        }
        this.#manifestVersion = Math.max(this.#manifestVersion, reply.object.version);
        this.#pullFrom = undefined;
        this.#follow(this.state.handleManifest(manifest));
        if (manifest.generation === this.state.generation) {
            this.state.recordConfirmation(manifest.generation, { age: now - askedAt, now });
        }
    }

    #choosePause(reply: PlatformReply, now: number): number {
        if (reply.kind === "unavailable") {
            return FAILURE_PAUSE;
        }
        if (this.#isWatchHolder(now)) {
            return reply.kind === "missing" ? FAILURE_PAUSE : 0;
        }
        return this.#computeInterval(MIN_POLL_INTERVAL, now);
    }

    #computeInterval(least: number, now: number): number {
        const members = this.#context.membership.listLive(now).length;
        return Math.max(least, members * 1000 / FLEET_POLLS_PER_SECOND);
    }

    #listInstances(): void {
        this.#isListing = true;
        this.#context.outbox.callPlatform({ kind: "instances" }, reply => this.#handleInstances(reply));
    }

    #handleInstances(reply: PlatformReply): void {
        const now = this.#now;
        const { membership, options } = this.#context;
        this.#isListing = false;
        const members = membership.listLive(now).length;
        const listInterval = Math.max(MIN_LIST_INTERVAL, members * 1000 / (FLEET_POLLS_PER_SECOND * 20));
        this.#nextListAt = now + (reply.kind === "instances" ? listInterval : FAILURE_PAUSE);
        if (reply.kind !== "instances") {
            return;
        }
        this.#hasList = true;
        membership.handleInstanceList(reply.instances.filter(each => each.id !== options.self.id), now);
        this.#updateLeaving(reply.instances);
    }

    #updateLeaving(instances: readonly ListedInstance[]): void {
        const leaving = new Set(instances.filter(each => each.isLeaving).map(each => each.id));
        const isSame = leaving.size === this.#leaving.size && [...leaving].every(id => this.#leaving.has(id));
        if (!isSame) {
            this.#leaving = leaving;
            this.#context.outbox.logChange("leaving instances changed", { leaving: [...leaving] });
            this.#context.onAdopted();
        }
    }

    #follow(outcome: ManifestOutcome): void {
        if (outcome.kind === "adopted") {
            this.#handleAdopted(outcome.manifest);
        }
        else if (outcome.kind === "missing") {
            this.#pull(outcome.hashes);
        }
    }

    #handleAdopted(manifest: Manifest): void {
        const { outbox, onAdopted } = this.#context;
        outbox.logChange("configuration in force", { generation: manifest.generation, editId: manifest.editId });
        for (const to of this.#pickPeers()) {
            outbox.sendPeer(to, { kind: "manifest", manifest });
        }
        onAdopted();
    }

    #pull(hashes: string[]): void {
        const now = this.#now;
        if (this.#pullFrom === undefined) {
            this.#pullFromPlatform(now);
            return;
        }
        this.#pullAt = now;
        this.#context.outbox.sendPeer(this.#pullFrom, { kind: "pull", hashes });
    }

    #pullFromPlatform(now: number): void {
        this.#pullAt = now;
        for (const hash of this.state.listMissing()) {
            this.#context.outbox.callPlatform({ kind: "read", key: PART_PREFIX + hash }, reply => {
                if (reply.kind === "object") {
                    this.#follow(this.state.handleParts([reply.object.value]));
                }
            });
        }
    }

    #pickPeers(): string[] {
        const { membership, options } = this.#context;
        const others = membership.listPresent(this.#now).filter(member => member.id !== options.self.id);
        const picked: string[] = [];
        while (picked.length < PUSH_FANOUT && others.length > 0) {
            const [member] = others.splice(Math.floor(options.random() * others.length), 1);
            picked.push(...member === undefined ? [] : [member.id]);
        }
        return picked;
    }
}

/**
 * Chooses the instances that hold a watch on the manifest, in as many zones as possible.
 *
 * @param members Live members.
 * @param count Number of holders wanted.
 * @returns Names of the holders.
 */
export function chooseWatchHolders(members: readonly Member[], count: number): string[] {
    const zones = new Map<string, string[]>();
    for (const member of members) {
        zones.set(member.zone, [...zones.get(member.zone) ?? [], member.id]);
    }
    const firsts = [...zones].map(([zone, ids]) => new Rendezvous(ids).chooseOwner(`watch/${zone}`) ?? "");
    const ordered = new Rendezvous(firsts).listByScore("watch");
    const rest = members.map(member => member.id).filter(id => !firsts.includes(id));
    return [...ordered, ...new Rendezvous(rest).listByScore("watch")].slice(0, count);
}
