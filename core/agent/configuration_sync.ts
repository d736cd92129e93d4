/**
 * Keeps the configuration of this instance up to date, and pushes new configurations to peers.
 *
 * A few instances watch the manifest in the platform's store, the others poll it. An instance that adopts a generation
 * pushes the manifest to random peers, which pull the parts that they lack. So a new generation also reaches instances
 * that cannot reach the platform.
 *
 * @module
 */
import {
    ConfigurationState,
    type Manifest,
    MANIFEST_KEY,
    type ManifestOutcome,
    parseManifest,
    PART_KEY_PREFIX,
} from "../configuration/mod.ts";
import { RendezvousHash } from "../hashing/mod.ts";
import type { ListedInstance, Member, Membership } from "../membership/mod.ts";
import type { PlatformReply } from "../platform/mod.ts";
import type { AgentOptions } from "./agent_options.ts";
import type { Outbox } from "./outbox.ts";

/** Dependencies of {@linkcode ConfigurationSync} on the rest of the agent. */
export interface ConfigurationSyncContext {
    /** Options of the agent. */
    options: AgentOptions;
    /** Members of the fleet. */
    membership: Membership;
    /** Collects the effects of the agent. */
    outbox: Outbox;
    /** Called when a generation comes into force, or when the set of leaving targets and instances changes. */
    onConfigurationChange: () => void;
}

/** Number of peers that an adopted manifest is pushed to. */
const PUSH_FANOUT = 4;
/** Maximum time that the platform waits for a change before it replies to a watch, in milliseconds. */
const WATCH_WAIT_MILLISECONDS = 1000;
/** Time before a failed call to the platform is repeated, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 250;
const DEFAULT_WATCHER_COUNT = 3;
/** Minimum time between two polls of the manifest by one instance, in milliseconds. */
const MIN_POLL_INTERVAL_MILLISECONDS = 2000;
/** Maximum number of manifest polls per second in the fleet; the instance list may be fetched 20 times as often. */
const MAX_FLEET_POLLS_PER_SECOND = 5;
/** Minimum time between two fetches of the instance list by one instance, in milliseconds. */
const MIN_LIST_INTERVAL_MILLISECONDS = 1000;
/** Time after a pull from which missing parts are read from the platform's store instead, in milliseconds. */
const PULL_TIMEOUT_MILLISECONDS = 400;

/** Synchronizes the configuration of this instance with the platform's store and with peers. */
export class ConfigurationSync {
    /** Configuration in force at this instance. */
    readonly state: ConfigurationState;
    readonly #context: ConfigurationSyncContext;
    /** Names of leaving targets and instances in the platform's last instance list. */
    #leaving: ReadonlySet<string> = new Set();
    #hasInstanceList = false;
    /** Version of the newest stored manifest that was read; 0 before the first. */
    #manifestVersion = 0;
    #isReading = false;
    #isListing = false;
    #nextReadAt = 0;
    #nextListAt = 0;
    #lastPullAt = -Infinity;
    /** Peer to pull missing parts from: the sender of the last manifest; `undefined` if the store returned it. */
    #pullSource: string | undefined;

    constructor(context: ConfigurationSyncContext) {
        this.#context = context;
        this.state = new ConfigurationState({ hashContent: context.options.hashContent });
    }

    /** Names of the leaving targets and instances, as the platform lists them. */
    get leaving(): ReadonlySet<string> {
        return this.#leaving;
    }

    /** True once the platform's instance list has been received. */
    get hasInstanceList(): boolean {
        return this.#hasInstanceList;
    }

    /** Starts the calls to the platform that are due: for the manifest, the instance list and missing parts. */
    handleTick(now: number): void {
        if (!this.#isReading && now >= this.#nextReadAt) {
            this.#readManifest(now);
        }
        if (!this.#isListing && now >= this.#nextListAt) {
            this.#listInstances();
        }
        if (this.state.listMissing().length > 0 && now - this.#lastPullAt > PULL_TIMEOUT_MILLISECONDS) {
            this.#readMissingParts(now);
        }
    }

    /** Requests a peer's manifest if its generation is newer than the one in force here. */
    handlePeerGeneration(from: string, generation: number): void {
        const now = this.#now;
        if (generation > this.state.generation && now - this.#lastPullAt > PULL_TIMEOUT_MILLISECONDS) {
            this.#lastPullAt = now;
            this.#context.outbox.sendPeer(from, { kind: "pull", hashes: [] });
        }
    }

    /** Handles a manifest that a peer has sent. */
    handlePeerManifest(from: string, manifest: Manifest): void {
        this.#pullSource = from;
        this.#handleOutcome(this.state.handleManifest(manifest));
    }

    /** Replies to a peer's pull with the parts that have `hashes`, or with the manifest if `hashes` is empty. */
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

    /** Handles configuration parts that a peer has sent. */
    handleParts(texts: readonly string[]): void {
        this.#handleOutcome(this.state.handleParts(texts));
    }

    get #now(): number {
        return this.#context.options.clock.getMonotonic();
    }

    /** Checks whether this instance is one of the few that watch the manifest. */
    #isWatcher(now: number): boolean {
        const { membership, options } = this.#context;
        const watchers = chooseWatchers(membership.listActive(now), options.watcherCount ?? DEFAULT_WATCHER_COUNT);
        return watchers.includes(options.self.id);
    }

    #readManifest(now: number): void {
        this.#isReading = true;
        const isWatching = this.#isWatcher(now) && this.#manifestVersion > 0;
        const request = isWatching
            ? {
                kind: "watch" as const,
                key: MANIFEST_KEY,
                version: this.#manifestVersion,
                waitMilliseconds: WATCH_WAIT_MILLISECONDS,
            }
            : { kind: "read" as const, key: MANIFEST_KEY };
        this.#context.outbox.callPlatform(request, reply => this.#handleManifestReply(reply, now));
    }

    #handleManifestReply(reply: PlatformReply, askedAt: number): void {
        const now = this.#now;
        this.#isReading = false;
        this.#nextReadAt = now + this.#chooseReadDelay(reply, now);
        if (reply.kind === "unchanged") {
            this.state.recordConfirmation(this.state.generation, { age: now - askedAt, now });
        }
        if (reply.kind !== "object") {
            return;
        }
        const manifest = parseManifest(reply.object.value);
        if (manifest === undefined) {
            this.#context.outbox.logChange("stored manifest cannot be parsed", { version: reply.object.version });
            return;
        }
        this.#manifestVersion = Math.max(this.#manifestVersion, reply.object.version);
        this.#pullSource = undefined;
        this.#handleOutcome(this.state.handleManifest(manifest));
        if (manifest.generation === this.state.generation) {
            this.state.recordConfirmation(manifest.generation, { age: now - askedAt, now });
        }
    }

    #chooseReadDelay(reply: PlatformReply, now: number): number {
        if (reply.kind === "unavailable") {
            return RETRY_DELAY_MILLISECONDS;
        }
        if (this.#isWatcher(now)) {
            return reply.kind === "missing" ? RETRY_DELAY_MILLISECONDS : 0;
        }
        return this.#computePollInterval(MIN_POLL_INTERVAL_MILLISECONDS, now);
    }

    #computePollInterval(minimum: number, now: number): number {
        const memberCount = this.#context.membership.listActive(now).length;
        return Math.max(minimum, memberCount * 1000 / MAX_FLEET_POLLS_PER_SECOND);
    }

    #listInstances(): void {
        this.#isListing = true;
        this.#context.outbox.callPlatform({ kind: "instances" }, reply => this.#handleInstances(reply));
    }

    #handleInstances(reply: PlatformReply): void {
        const now = this.#now;
        const { membership, options } = this.#context;
        this.#isListing = false;
        const memberCount = membership.listActive(now).length;
        const listInterval = Math.max(
            MIN_LIST_INTERVAL_MILLISECONDS,
            memberCount * 1000 / (MAX_FLEET_POLLS_PER_SECOND * 20),
        );
        this.#nextListAt = now + (reply.kind === "instances" ? listInterval : RETRY_DELAY_MILLISECONDS);
        if (reply.kind !== "instances") {
            return;
        }
        this.#hasInstanceList = true;
        membership.handleInstanceList(reply.instances.filter(each => each.id !== options.self.id), now);
        this.#updateLeaving(reply.instances);
    }

    #updateLeaving(instances: readonly ListedInstance[]): void {
        const leaving = new Set(instances.filter(each => each.isLeaving).map(each => each.id));
        const isSame = leaving.size === this.#leaving.size && [...leaving].every(id => this.#leaving.has(id));
        if (!isSame) {
            this.#leaving = leaving;
            this.#context.outbox.logChange("leaving instances changed", { leaving: [...leaving] });
            this.#context.onConfigurationChange();
        }
    }

    #handleOutcome(outcome: ManifestOutcome): void {
        if (outcome.kind === "adopted") {
            this.#handleAdopted(outcome.manifest);
        }
        else if (outcome.kind === "missing") {
            this.#pullMissingParts(outcome.hashes);
        }
    }

    #handleAdopted(manifest: Manifest): void {
        const { outbox, onConfigurationChange } = this.#context;
        outbox.logChange("configuration in force", { generation: manifest.generation, editId: manifest.editId });
        for (const to of this.#pickPushPeers()) {
            outbox.sendPeer(to, { kind: "manifest", manifest });
        }
        onConfigurationChange();
    }

    #pullMissingParts(hashes: string[]): void {
        const now = this.#now;
        if (this.#pullSource === undefined) {
            this.#readMissingParts(now);
            return;
        }
        this.#lastPullAt = now;
        this.#context.outbox.sendPeer(this.#pullSource, { kind: "pull", hashes });
    }

    #readMissingParts(now: number): void {
        this.#lastPullAt = now;
        for (const hash of this.state.listMissing()) {
            this.#context.outbox.callPlatform({ kind: "read", key: PART_KEY_PREFIX + hash }, reply => {
                if (reply.kind === "object") {
                    this.#handleOutcome(this.state.handleParts([reply.object.value]));
                }
            });
        }
    }

    #pickPushPeers(): string[] {
        const { membership, options } = this.#context;
        const others = membership.listLive(this.#now).filter(member => member.id !== options.self.id);
        const picked: string[] = [];
        while (picked.length < PUSH_FANOUT && others.length > 0) {
            const [member] = others.splice(Math.floor(options.random() * others.length), 1);
            picked.push(...member === undefined ? [] : [member.id]);
        }
        return picked;
    }
}

/**
 * Chooses the instances that watch the manifest, in as many zones as possible.
 *
 * @param members Candidates.
 * @param count Number of instances to choose.
 * @returns Names of the chosen instances.
 */
export function chooseWatchers(members: readonly Member[], count: number): string[] {
    const zones = new Map<string, string[]>();
    for (const member of members) {
        zones.set(member.zone, [...zones.get(member.zone) ?? [], member.id]);
    }
    const zoneWatchers = [...zones].map(([zone, ids]) => new RendezvousHash(ids).chooseOwner(`watch/${zone}`) ?? "");
    const ordered = new RendezvousHash(zoneWatchers).listByScore("watch");
    const rest = members.map(member => member.id).filter(id => !zoneWatchers.includes(id));
    return [...ordered, ...new RendezvousHash(rest).listByScore("watch")].slice(0, count);
}
