/**
 * Exchanges digests of work and beliefs with the other instances.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import { decideWatching, DigestPace, DigestReason, isSentWhole, type SharePosition } from "../core/serving/mod.ts";
import { type Address, FrameServer, PeerLinks } from "../network/mod.ts";
import type { DecisionLog } from "../telemetry/mod.ts";
import {
    type DigestMessage,
    parsePeerMessage,
    type StateMessage,
    type StateRequestMessage,
    type StateVersions,
    type UpdateMessage,
} from "./peer_messages.ts";
import type { ServingState, StoreNews } from "./serving_state.ts";

/** Options of a {@linkcode PeerExchange}. */
export interface PeerExchangeOptions {
    /** Name of this instance. */
    instance: string;
    /** Address that peers reach this instance at. */
    address: Address;
    /** State that is shared. */
    state: ServingState;
    /** Log of decisions. */
    log: DecisionLog;
    /** Source of time. */
    clock: Clock;
    /** Tells whether the store answers this instance's watches. */
    isWatching: () => boolean;
    /** Source of random numbers from 0 up to 1. */
    random: () => number;
    /** Reads the configuration from the store; gives true where that worked. */
    readConfiguration: () => Promise<boolean>;
    /** Reads the list of targets from the store; gives true where that worked. */
    readTargets: () => Promise<boolean>;
}

interface Peer {
    address: string;
    /** Time of the last digest; `undefined` before the first. */
    lastDigestAt: number | undefined;
    /** Time at which the peer was last told of by anyone. */
    lastMentionedAt: number;
    /** Time of the last digest that was sent to a peer that does not answer. */
    lastSentAt: number;
    versions: StateVersions;
    isWatching: boolean;
    isLost: boolean;
}

/** Time between looks at the peers, in milliseconds. */
const MAINTENANCE_INTERVAL_MILLISECONDS = 100;
/** Time between digests that tell nothing new, in milliseconds, and the further time for each peer. */
const KEEP_ALIVE_MILLISECONDS = 500;
const KEEP_ALIVE_PER_PEER_MILLISECONDS = 15;
/** The same for an instance that watches the store, whose silence makes others watch. */
const WATCHER_KEEP_ALIVE_MILLISECONDS = 300;
/** Digests that may be missed before a peer counts as lost. */
const MAX_MISSED_DIGESTS = 3;
/** Time between digests to a peer that does not answer, in milliseconds. */
const LOST_PEER_RETRY_MILLISECONDS = 2000;
/** Time after which a peer that nobody tells of is forgotten, in milliseconds. */
const PEER_EXPIRY_MILLISECONDS = 60_000;
/** Time for which a belief that a peer has is awaited from the store, in milliseconds, before the peer is asked. */
const STATE_REQUEST_DELAY_MILLISECONDS = 120;
/** Time of being behind after which the store is read as well, in milliseconds: well below the time to stop sending. */
const STORE_READ_DELAY_MILLISECONDS = 800;
/** Age of a digest up to which its sender is asked, in milliseconds; an older sender may be gone. */
const MAX_DIGEST_AGE_MILLISECONDS = 2000;
/** Least time between two questions to peers, in milliseconds. */
const STATE_REQUEST_INTERVAL_MILLISECONDS = 250;

/** Keeps links to the other instances. */
export class PeerExchange {
    readonly #options: PeerExchangeOptions;
    readonly #server: FrameServer;
    readonly #links: PeerLinks;
    readonly #peers = new Map<string, Peer>();
    readonly #ownAddress: string;
    #timer: NodeJS.Timeout | undefined;
    readonly #pace = new DigestPace();
    #position: SharePosition | undefined;
    #digestTimer: NodeJS.Timeout | undefined;
    #digestDueAt = Infinity;
    #stateRequestedAt = 0;
    #behindSince: number | undefined;
    #isPeerListKnown = false;

    constructor(options: PeerExchangeOptions) {
        this.#options = options;
        this.#ownAddress = `${options.address.host}:${options.address.port}`;
        this.#links = new PeerLinks({ self: options.instance });
        this.#server = new FrameServer({
            isQuietWhenIdle: true,
            onMessage: (_, message) => this.#handleMessage(message),
        });
        options.state.setPositionFinder(() => this.#isPeerListKnown ? this.#findPosition() : undefined);
        options.state.newsListeners.push(news => this.#sendUpdate(news));
        options.state.ledger.onEngineChange = reason => this.#scheduleDigest(reason);
    }

    /** Starts to listen and to send digests. */
    async open(): Promise<void> {
        await this.#server.open(this.#options.address);
        this.#startTimer();
    }

    /** Closes all links. */
    close(): void {
        clearTimeout(this.#timer);
        clearTimeout(this.#digestTimer);
        this.#server.close();
        this.#links.close();
    }

    /** Adds peers that the store lists. */
    addListedPeers(peers: readonly { instance: string; address: string; }[]): void {
        this.#isPeerListKnown = true;
        for (const peer of peers) {
            this.#addPeer(peer.instance, peer.address);
        }
        this.#sendDigests();
    }

    /** Tells whether a peer that watches the store is heard. */
    hasWatcher(): boolean {
        return [...this.#peers.values()].some(peer => peer.isWatching && !peer.isLost);
    }

    /** Decides whether this instance is among those that watch the store for all. */
    decideWatching(): boolean {
        const now = this.#options.clock.getMonotonic();
        const peers = [...this.#peers].flatMap(([instance, { lastDigestAt: heardAt, isWatching, isLost }]) =>
            heardAt === undefined || isLost ? [] : [{ instance, isWatching, silenceMilliseconds: now - heardAt }]
        );
        return decideWatching({ instance: this.#options.instance, peers });
    }

    /** Sends a digest to an address whose instance is not known yet. */
    requestState(address: string): void {
        if (address !== this.#ownAddress) {
            this.#links.send(address, this.#buildStateRequest());
        }
    }

    /** Describes the peers, for a dump. */
    dumpState(): Record<string, unknown> {
        const now = this.#options.clock.getMonotonic();
        return Object.fromEntries([...this.#peers].map(([name, { address, lastDigestAt: heardAt, versions }]) => [
            name,
            { address, versions, ageMilliseconds: heardAt === undefined ? undefined : Math.round(now - heardAt) },
        ]));
    }

    /** Finds this instance's place among all; kept until the peers change, since each choice of a target asks. */
    #findPosition(): SharePosition {
        this.#position ??= {
            instances: this.#peers.size + 1,
            rank: [...this.#peers.keys()].filter(name => name < this.#options.instance).length,
        };
        return this.#position;
    }

    #startTimer(): void {
        this.#timer = setTimeout(() => {
            this.#expirePeers();
            if (this.#options.clock.getMonotonic() - this.#pace.lastSentAt >= this.#keepAliveMilliseconds) {
                this.#sendDigests();
            }
            void this.#requestMissingState();
            this.#startTimer();
        }, MAINTENANCE_INTERVAL_MILLISECONDS);
    }

    get #keepAliveMilliseconds(): number {
        return this.#options.isWatching()
            ? WATCHER_KEEP_ALIVE_MILLISECONDS
            : KEEP_ALIVE_MILLISECONDS + KEEP_ALIVE_PER_PEER_MILLISECONDS * this.#peers.size;
    }

    /** Sends a digest soon, but not too often. */
    #scheduleDigest(reason: DigestReason): void {
        const now = this.#options.clock.getMonotonic();
        const due = this.#pace.computeDue(reason, { now, peers: this.#peers.size });
        if (due >= this.#digestDueAt) {
            return;
        }
        clearTimeout(this.#digestTimer);
        this.#digestDueAt = due;
        this.#digestTimer = setTimeout(() => this.#sendDigests(), due - now);
    }

    /** Sends news to the peers that do not watch the store. */
    #sendUpdate(news: StoreNews): void {
        const { configuration, ...rest } = news;
        const recipients = [...this.#peers.values()].filter(({ isLost, lastDigestAt: heardAt, isWatching }) =>
            !isLost && heardAt !== undefined && !isWatching
        );
        const isConfigurationIncluded = configuration !== undefined
            && isSentWhole({ routes: configuration.routes.length, peers: recipients.length });
        const update = { ...rest, ...isConfigurationIncluded ? { configuration } : {} };
        if (Object.keys(update).length > 0) {
            const message: UpdateMessage = { kind: "news", instance: this.#options.instance, ...update };
            recipients.forEach(peer => this.#links.send(peer.address, message));
        }
        this.#scheduleDigest(DigestReason.learnt);
    }

    #handleMessage(raw: unknown): void {
        const message = parsePeerMessage(raw);
        switch (message?.kind) {
            case "digest":
                this.#handleDigest(message);
                return;
            case "ask":
                this.#answerStateRequest(message);
                return;
            case "news":
                this.#handleUpdate(message);
                return;
            case "belief":
                this.#handleState(message);
                return;
            default:
                this.#options.log.record("belief", "peer message unusable", {});
        }
    }

    #handleDigest(message: DigestMessage): void {
        const now = this.#options.clock.getMonotonic();
        const peer = this.#addPeer(message.instance, message.address);
        if (peer === undefined) {
            return;
        }
        if (peer.lastDigestAt === undefined || peer.isLost) {
            this.#options.log.record("process", "peer reached", { peer: message.instance, address: peer.address });
        }
        peer.lastDigestAt = now;
        peer.isLost = false;
        peer.versions = message.versions;
        peer.isWatching = message.isWatching;
        for (const target of message.unreachable) {
            this.#options.state.recordUnreachableByPeer(target);
        }
        this.#options.state.ledger.applyDigest(message.instance, { work: message.work, receivedAt: now });
    }

    #answerStateRequest(message: StateRequestMessage): void {
        const { state, instance } = this.#options;
        const own = this.#getVersions();
        const { versions } = message;
        const reply: StateMessage = {
            kind: "belief",
            instance,
            peers: {
                [instance]: this.#ownAddress,
                ...Object.fromEntries([...this.#peers].map(([name, peer]) => [name, peer.address])),
            },
            ...state.table !== undefined && own.configuration > versions.configuration
                ? { configuration: state.table.configuration }
                : {},
            ...state.directory.isKnown && own.targets > versions.targets
                ? { targets: state.directory.getSnapshot() }
                : {},
            ...state.zones !== undefined && own.zones > versions.zones ? { zones: state.zones } : {},
        };
        this.#links.send(message.address, reply);
    }

    #handleUpdate(message: UpdateMessage): void {
        const { state } = this.#options;
        const source = `peer ${message.instance}` as const;
        const { configuration, targets, zones } = message;
        if (configuration !== undefined) {
            state.adoptConfiguration(configuration, source);
        }
        if (zones !== undefined) {
            state.applyZones(zones, source);
        }
        // Events after a gap would leave the list wrong for good; the whole list is asked for in their place.
        const { directory } = state;
        const known = Math.max(directory.revision, directory.changeRevision);
        if (targets !== undefined && targets.from <= known && targets.changeRevision > directory.changeRevision) {
            state.applyEvents(targets, source);
        }
    }

    #handleState(message: StateMessage): void {
        const { state } = this.#options;
        const source = `peer ${message.instance}` as const;
        if (message.configuration !== undefined) {
            state.adoptConfiguration(message.configuration, source);
        }
        if (message.targets !== undefined) {
            state.applySnapshot(message.targets, source);
        }
        if (message.zones !== undefined) {
            state.applyZones(message.zones, source);
        }
        for (const [name, address] of Object.entries(message.peers)) {
            this.#addPeer(name, address);
        }
    }

    #addPeer(name: string, address: string): Peer | undefined {
        if (name === this.#options.instance) {
            return undefined;
        }
        const now = this.#options.clock.getMonotonic();
        const known = this.#peers.get(name);
        if (known !== undefined && known.address === address) {
            known.lastMentionedAt = now;
            return known;
        }
        const versions = { configuration: -1, targets: 0, zones: 0 };
        const peer = {
            address,
            lastDigestAt: undefined,
            lastMentionedAt: now,
            lastSentAt: Number.NEGATIVE_INFINITY,
            versions,
            isWatching: false,
            isLost: false,
        };
        this.#peers.set(name, peer);
        this.#position = undefined;
        return peer;
    }

    #expirePeers(): void {
        const now = this.#options.clock.getMonotonic();
        for (const [name, peer] of this.#peers) {
            const silence = now - (peer.lastDigestAt ?? peer.lastMentionedAt);
            const longest = MAX_MISSED_DIGESTS
                * (KEEP_ALIVE_MILLISECONDS + KEEP_ALIVE_PER_PEER_MILLISECONDS * this.#peers.size);
            if (!peer.isLost && peer.lastDigestAt !== undefined && silence > longest) {
                peer.isLost = true;
                this.#options.state.ledger.dropPeer(name);
                this.#options.log.record("process", "peer lost", {
                    peer: name,
                    silenceMilliseconds: Math.round(silence),
                });
            }
            if (silence > PEER_EXPIRY_MILLISECONDS) {
                this.#peers.delete(name);
                this.#position = undefined;
            }
        }
    }

    /** Sends a digest to each peer; to one that does not answer only now and then. */
    #sendDigests(): void {
        const now = this.#options.clock.getMonotonic();
        const digest: DigestMessage = {
            kind: "digest",
            instance: this.#options.instance,
            address: this.#ownAddress,
            work: this.#options.state.ledger.getDigest(),
            unreachable: this.#options.state.listUnreachable(),
            versions: this.#getVersions(),
            isWatching: this.#options.isWatching(),
        };
        clearTimeout(this.#digestTimer);
        this.#digestDueAt = Infinity;
        this.#pace.recordSend({ now, peers: this.#peers.size });
        for (const peer of this.#peers.values()) {
            const isUnresponsive = peer.lastDigestAt === undefined || peer.isLost;
            if (!isUnresponsive || now - peer.lastSentAt >= LOST_PEER_RETRY_MILLISECONDS) {
                peer.lastSentAt = now;
                this.#links.send(peer.address, digest);
            }
        }
    }

    /** Asks a peer that is ahead, once the store had time to tell the same; then the store itself. */
    async #requestMissingState(): Promise<void> {
        const now = this.#options.clock.getMonotonic();
        const ahead = this.#listPeersAhead(now);
        const peer = ahead[Math.floor(this.#options.random() * ahead.length)];
        if (peer === undefined) {
            this.#behindSince = undefined;
            return;
        }
        this.#behindSince ??= now;
        const behind = now - this.#behindSince;
        if (
            behind < STATE_REQUEST_DELAY_MILLISECONDS
            || now - this.#stateRequestedAt < STATE_REQUEST_INTERVAL_MILLISECONDS
        ) {
            return;
        }
        this.#stateRequestedAt = now;
        const isConfigurationBehind = peer.versions.configuration > this.#getVersions().configuration;
        if (isConfigurationBehind && await this.#options.readConfiguration()) {
            return;
        }
        if (behind > STORE_READ_DELAY_MILLISECONDS) {
            await this.#options.readTargets();
        }
        this.#links.send(peer.address, this.#buildStateRequest());
    }

    /** Lists the peers whose beliefs reach further than this instance's and that were heard a moment ago. */
    #listPeersAhead(now: number): Peer[] {
        const own = this.#getVersions();
        const { directory, zones } = this.#options.state;
        return [...this.#peers.values()].filter(({ versions, isLost, lastDigestAt: heardAt }) =>
            !isLost
            && now - (heardAt ?? Number.NEGATIVE_INFINITY) < MAX_DIGEST_AGE_MILLISECONDS
            && (versions.configuration > own.configuration
                || versions.targets > Math.max(directory.revision, own.targets)
                || versions.zones > (zones?.revision ?? -1))
        );
    }

    #buildStateRequest(): StateRequestMessage {
        return { kind: "ask", address: this.#ownAddress, versions: this.#getVersions() };
    }

    #getVersions(): StateVersions {
        const { table, directory, zones } = this.#options.state;
        return {
            configuration: table?.configuration.version ?? -1,
            targets: directory.isKnown ? directory.changeRevision : 0,
            zones: zones?.changeRevision ?? -1,
        };
    }
}
