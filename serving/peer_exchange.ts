/**
 * Exchanges state with the other instances.
 *
 * Each instance sends digests to all others, with the load that its requests put on engines and the versions of its
 * state. An instance that watches the platform's store forwards the store's updates. An instance whose state is
 * outdated requests newer state from a peer.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import {
    classifyWatcher,
    comparePositions,
    createElectionRanking,
    DigestRateLimiter,
    DigestReason,
    type DigestRecipients,
    isDigestRelayed,
    isSentInFull,
    type SharePosition,
    type StorePosition,
    type WatcherElection,
} from "../core/serving/mod.ts";
import { type Address, FrameServer, type OpenConnection, PeerConnectionPool } from "../network/mod.ts";
import { encodeFrame } from "../protocol/mod.ts";
import type { DecisionLog } from "../telemetry/mod.ts";
import { decodeForwardedDigest, decodeLoad, type ForwardedDigest, parseDigestBundle } from "./digest_bundle.ts";
import { DigestRelay, type RelayedPeer } from "./digest_relay.ts";
import {
    type DigestMessage,
    parsePeerMessage,
    type StateMessage,
    type StateRequestMessage,
    type StateVersions,
    type UpdateMessage,
} from "./peer_messages.ts";
import type { ServingState, StoreUpdate } from "./serving_state.ts";

/** Options of a {@linkcode PeerExchange}. */
export interface PeerExchangeOptions {
    /** Name of this instance. */
    instance: string;
    /** Availability zone of this instance. */
    zone: string;
    /** Address at which peers reach this instance. */
    address: Address;
    /** State of this instance, which is shared with peers. */
    state: ServingState;
    /** Decision log. */
    log: DecisionLog;
    /** Source of time. */
    clock: Clock;
    /** Checks whether this instance watches the store and all its watches work. */
    isWatching: () => boolean;
    /** Gets the address at which this instance takes requests of callers; empty while it reaches no target, or stops. */
    getRelayAddress: () => string;
    /** Random number generator that returns numbers from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    /** Reads the configuration from the store; resolves to true on success. */
    readConfiguration: () => Promise<boolean>;
    /** Reads the list of targets from the store; resolves to true on success. */
    readTargets: () => Promise<boolean>;
    /** Opens a connection to a peer. Defaults to one over TCP. */
    openConnection?: OpenConnection | undefined;
}

/** Another instance, as known to this one. */
interface Peer {
    address: string;
    /** Availability zone; `undefined` until it is known, and for builds that relay no digests. */
    zone: string | undefined;
    /** Encoded notices of the last relayed digest, if they need not be applied again; `undefined` otherwise. */
    lastingNotices: Buffer | undefined;
    /** Encoded load of the last relayed digest. */
    load: Buffer | undefined;
    /** Time of the last digest; `undefined` before the first. */
    lastDigestAt: number | undefined;
    /** Time at which the store or any instance last listed this peer. */
    lastMentionedAt: number;
    /** Time at which the last digest was sent to this peer. */
    lastSentAt: number;
    /** Versions of the peer's state, from its last digest. */
    versions: StateVersions;
    /** True if the peer's last digest says that it watches the store. */
    isWatching: boolean;
    /** Address at which the peer takes requests of callers; empty if it takes none. */
    relayAddress: string;
    /** True once the peer has missed too many digests. */
    isLost: boolean;
}

/** Interval at which peers are checked for expiry and missing state is requested, in milliseconds. */
const MAINTENANCE_INTERVAL_MILLISECONDS = 100;
/** Interval of digests without new information, in milliseconds. */
const KEEP_ALIVE_MILLISECONDS = 500;
/** Time by which each peer lengthens that interval, in milliseconds. */
const KEEP_ALIVE_PER_PEER_MILLISECONDS = 15;
/**
 * Interval of digests without new information from an instance that watches the store, in milliseconds. It is shorter,
 * since the other instances start watching the store when these digests are missing.
 */
const WATCHER_KEEP_ALIVE_MILLISECONDS = 300;
/** Interval of digests without new information that go through relays, in milliseconds. */
const RELAYED_KEEP_ALIVE_MILLISECONDS = 1500;
/** Time after the start within which the digests of all peers arrive through relays, in milliseconds. */
const DISCOVERY_MILLISECONDS = 1500;
/** Delay of the maintenance timer from which it follows that this process was paused, in milliseconds. */
const PAUSE_MILLISECONDS = 600;
/** Silence up to which a peer counts as heard where a verdict has to arrive, in milliseconds, and in heartbeats. */
const MIN_SILENCE_MILLISECONDS = 2500;
const SILENCE_FACTOR = 1.5;
/** Longest such silence, in milliseconds: below the time within which a bad version must get nothing more. */
const MAX_SILENCE_MILLISECONDS = 4000;
/** The same for a peer that watches the store: a few of its heartbeats. */
const MAX_WATCHER_SILENCE_MILLISECONDS = 1200;
/** Digests that may be missed before a peer is considered lost. */
const MAX_MISSED_DIGESTS = 3;
/** Time after a digest to a peer within which the first digest of that peer is not answered, in milliseconds. */
const MIN_REPLY_INTERVAL_MILLISECONDS = 50;
/** Interval of digests to a peer that sends none, in milliseconds. */
const LOST_PEER_RETRY_MILLISECONDS = 2000;
/** Time since its last digest, or since it was last listed if it never sent one, after which a peer is removed. */
const PEER_EXPIRY_MILLISECONDS = 60_000;
/** Time for which newer state is expected from the store before it is requested from a peer, in milliseconds. */
const STATE_REQUEST_DELAY_MILLISECONDS = 120;
/**
 * Time for which the state of this instance may be outdated before it also reads the list of targets from the store, in
 * milliseconds: well below the time within which it must stop sending requests to a removed target.
 */
const STORE_READ_DELAY_MILLISECONDS = 800;
/**
 * Maximum age of the last digest of a peer from which state is requested, in milliseconds; a peer whose last digest is
 * older may have stopped.
 */
const MAX_DIGEST_AGE_MILLISECONDS = 2000;
/** Number of configurations of any size that an instance sends to peers in one interval of their requests. */
const MIN_CONFIGURATIONS_PER_INTERVAL = 4;
/** Minimum interval between state requests, in milliseconds. */
const STATE_REQUEST_INTERVAL_MILLISECONDS = 250;

/** Length to which texts of unusable messages are truncated in log lines. */
const MAX_REASON_CHARACTERS = 200;

/** Exchanges digests, updates and state with the other instances. */
export class PeerExchange {
    readonly #options: PeerExchangeOptions;
    readonly #server: FrameServer;
    readonly #connections: PeerConnectionPool;
    readonly #peers = new Map<string, Peer>();
    readonly #ownAddress: string;
    readonly #digestRelay: DigestRelay;
    readonly #electionRanking = createElectionRanking();
    #timer: NodeJS.Timeout | undefined;
    #maintainedAt = 0;
    #openedAt = 0;
    readonly #digestRateLimiter = new DigestRateLimiter();
    #position: SharePosition | undefined;
    /** True if the last digest says that this instance watches the store. */
    #isAnnouncedWatching = false;
    #digestTimer: NodeJS.Timeout | undefined;
    #digestDueAt = Infinity;
    #stateRequestedAt = 0;
    /** Time since which a peer has had newer state than this instance; `undefined` if none has. */
    #behindSince: number | undefined;
    #isPeerListKnown = false;
    #hasPeerReplied = false;
    /** Time since which too few instances before this one have watched the store; `undefined` while enough do. */
    #watchersMissingSince: number | undefined;
    #configurationsSent = { since: 0, count: 0 };

    constructor(options: PeerExchangeOptions) {
        this.#options = options;
        this.#ownAddress = `${options.address.host}:${options.address.port}`;
        this.#connections = new PeerConnectionPool({
            self: options.instance,
            openConnection: options.openConnection,
        });
        this.#digestRelay = new DigestRelay({
            instance: options.instance,
            zone: options.zone,
            connections: this.#connections,
            clock: options.clock,
            listPeers: () => this.#listRelayedPeers(),
            onDigest: digest => this.#handleForwardedDigest(digest),
        });
        this.#server = new FrameServer({
            suppressesIdleHeartbeats: true,
            onMessage: (client, message) => this.#handleMessage(message, client.from),
            onError: error => {
                const reason = String(error).slice(0, MAX_REASON_CHARACTERS);
                options.log.record("process", "peer connection failed", { reason });
            },
        });
        options.state.setPositionFinder(() => this.#isPeerListKnown ? this.#findPosition() : undefined);
        options.state.storeUpdateListeners.push(update => this.#sendUpdate(update));
        options.state.loadTracker.onEngineLoadChange = reason => this.#scheduleDigest(reason);
    }

    /** Starts listening and sending digests. */
    async open(): Promise<void> {
        this.#openedAt = this.#options.clock.getMonotonic();
        await this.#server.open(this.#options.address);
        this.#startTimer();
    }

    /** Closes the server and all connections, and stops the timers. */
    close(): void {
        clearTimeout(this.#timer);
        clearTimeout(this.#digestTimer);
        this.#digestRelay.close();
        this.#server.close();
        this.#connections.close();
    }

    /** Adds the peers that the store lists, and sends them a digest. */
    addListedPeers(peers: readonly { instance: string; address: string; zone?: string | undefined; }[]): void {
        this.#isPeerListKnown = true;
        for (const peer of peers) {
            this.#addPeer(peer.instance, peer.address, peer.zone);
        }
        this.#sendDigests();
    }

    /** True once the store or a peer has listed the instances. */
    get isPeerListKnown(): boolean {
        return this.#isPeerListKnown;
    }

    /** True once a peer has replied with its state, which may be newer than that of a restored store. */
    get hasPeerReplied(): boolean {
        return this.#hasPeerReplied;
    }

    /** Checks whether a peer that watches the store sends digests. */
    hasWatcher(): boolean {
        return [...this.#peers.values()].some(peer => peer.isWatching && !peer.isLost);
    }

    /**
     * Checks whether this instance would hear of what others find out: a peer that watches the store was heard lately, or
     * most of the known peers were.
     */
    isConnected(): boolean {
        const now = this.#options.clock.getMonotonic();
        const maxSilence = Math.min(
            MAX_SILENCE_MILLISECONDS,
            Math.max(MIN_SILENCE_MILLISECONDS, SILENCE_FACTOR * this.#ordinaryKeepAliveMilliseconds),
        );
        let heard = 0;
        for (const { lastDigestAt = Number.NEGATIVE_INFINITY, isWatching } of this.#peers.values()) {
            const silence = now - lastDigestAt;
            if (isWatching && silence <= MAX_WATCHER_SILENCE_MILLISECONDS) {
                return true;
            }
            heard += silence <= maxSilence ? 1 : 0;
        }
        return heard * 2 >= this.#peers.size;
    }

    /**
     * Checks whether most of the known peers have sent a digest since a time, and none of them knows newer state; true
     * without peers.
     */
    isInStepSince(time: number): boolean {
        const hasReported = ({ lastDigestAt = Number.NEGATIVE_INFINITY }: Peer): boolean => lastDigestAt >= time;
        const reported = [...this.#peers.values()].filter(hasReported).length;
        return reported * 2 >= this.#peers.size
            && !this.#listPeersAhead(this.#options.clock.getMonotonic()).some(hasReported);
    }

    /** Lists the addresses at which peers that reach targets take requests of callers. */
    listRelayPeers(): string[] {
        const now = this.#options.clock.getMonotonic();
        return [...this.#peers.values()]
            .filter(({ isLost, relayAddress, lastDigestAt = Number.NEGATIVE_INFINITY }) =>
                !isLost && relayAddress !== "" && now - lastDigestAt < MAX_DIGEST_AGE_MILLISECONDS
            )
            .map(({ relayAddress }) => relayAddress);
    }

    /** Decides whether this instance is one of the few that watch the store on behalf of all. */
    decideWatching(): boolean {
        const now = this.#options.clock.getMonotonic();
        const { takeoverMilliseconds } = this.#classifyWatcher();
        if (takeoverMilliseconds === undefined) {
            this.#watchersMissingSince = undefined;
            return false;
        }
        this.#watchersMissingSince ??= now;
        return now - this.#watchersMissingSince >= takeoverMilliseconds;
    }

    /** True if no instance before this one in the order watches the store. */
    get isFirstWatcher(): boolean {
        return this.#classifyWatcher(1).takeoverMilliseconds !== undefined;
    }

    /** True if this instance writes to the store on behalf of all: the first one whose watches of the store work. */
    get isStoreWriter(): boolean {
        return this.#options.isWatching() && this.isFirstWatcher;
    }

    /** Tells the peers at once whether this instance watches the store, so that others can take over. */
    announceWatching(): void {
        this.#scheduleDigest(DigestReason.storeChanged);
    }

    #classifyWatcher(watchers?: number): WatcherElection {
        const now = this.#options.clock.getMonotonic();
        // Digests of most peers arrive some time after the start if they come through relays. Until then the listed peers
        // count too, so that not every instance of a fleet that starts comes first in its own view.
        const isSilentPeerCounted = isDigestRelayed(this.#peers.size)
            && now - this.#openedAt < DISCOVERY_MILLISECONDS;
        const peers = [...this.#peers].flatMap(([instance, { lastDigestAt, isWatching, isLost }]) =>
            lastDigestAt === undefined && !isSilentPeerCounted || isLost
                ? []
                : [{ instance, isWatching, silenceMilliseconds: now - (lastDigestAt ?? Number.NEGATIVE_INFINITY) }]
        );
        return classifyWatcher({
            instance: this.#options.instance,
            peers,
            ranking: this.#electionRanking,
            ...watchers === undefined ? {} : { watchers },
        });
    }

    /** Requests state, with the list of all instances, from a random peer. */
    requestPeerList(): void {
        const peers = [...this.#peers.values()].filter(({ isLost }) => !isLost);
        const peer = peers[Math.floor(this.#options.random() * peers.length)];
        if (peer !== undefined) {
            this.#connections.send(peer.address, this.#buildStateRequest());
        }
    }

    /** Requests state from an address whose instance is not known yet. */
    requestState(address: string): void {
        if (address !== this.#ownAddress) {
            this.#connections.send(address, this.#buildStateRequest());
        }
    }

    /** Describes the peers for a state dump. */
    dumpState(): Record<string, unknown> {
        const now = this.#options.clock.getMonotonic();
        return Object.fromEntries([...this.#peers].map(([name, { address, lastDigestAt, versions }]) => [
            name,
            {
                address,
                versions,
                ageMilliseconds: lastDigestAt === undefined ? undefined : Math.round(now - lastDigestAt),
            },
        ]));
    }

    /**
     * Computes this instance's rank among all; cached until the peers change, as each selection of a target needs it.
     */
    #findPosition(): SharePosition {
        this.#position ??= {
            instances: this.#peers.size + 1,
            rank: [...this.#peers.keys()].filter(name => name < this.#options.instance).length,
        };
        return this.#position;
    }

    #startTimer(): void {
        this.#timer = setTimeout(() => {
            const now = this.#options.clock.getMonotonic();
            if (now - this.#maintainedAt > PAUSE_MILLISECONDS) {
                this.#digestRelay.handlePause();
            }
            this.#maintainedAt = now;
            this.#expirePeers();
            if (
                this.#options.clock.getMonotonic() - this.#digestRateLimiter.lastSentAt >= this.#keepAliveMilliseconds
            ) {
                this.#sendDigests();
            }
            void this.#requestMissingState();
            this.#startTimer();
        }, MAINTENANCE_INTERVAL_MILLISECONDS);
    }

    get #keepAliveMilliseconds(): number {
        return this.#options.isWatching() ? WATCHER_KEEP_ALIVE_MILLISECONDS : this.#ordinaryKeepAliveMilliseconds;
    }

    /** Interval of digests without new information from an instance that does not watch the store, in milliseconds. */
    get #ordinaryKeepAliveMilliseconds(): number {
        return isDigestRelayed(this.#peers.size)
            ? RELAYED_KEEP_ALIVE_MILLISECONDS
            : KEEP_ALIVE_MILLISECONDS + KEEP_ALIVE_PER_PEER_MILLISECONDS * this.#peers.size;
    }

    #getRecipients(now: number): Required<DigestRecipients> {
        const peers = this.#peers.size;
        const isUrgent = this.#options.isWatching() || this.#isAnnouncedWatching;
        return { now, peers, isRelayed: isDigestRelayed(peers) && !isUrgent };
    }

    /** Schedules a digest as soon as the rate limit allows. */
    #scheduleDigest(reason: DigestReason): void {
        const now = this.#options.clock.getMonotonic();
        const due = this.#digestRateLimiter.computeSendTime(reason, this.#getRecipients(now));
        if (due >= this.#digestDueAt) {
            return;
        }
        clearTimeout(this.#digestTimer);
        this.#digestDueAt = due;
        this.#digestTimer = setTimeout(() => this.#sendDigests(), due - now);
    }

    /** Sends an update of the store to the peers that do not watch the store. */
    #sendUpdate(storeUpdate: StoreUpdate): void {
        const { configuration, ...rest } = storeUpdate;
        const recipients = [...this.#peers.values()].filter(({ isLost, lastDigestAt, isWatching }) =>
            !isLost && lastDigestAt !== undefined && !isWatching
        );
        const isConfigurationIncluded = configuration !== undefined
            && isSentInFull({ routes: configuration.routes.length, peers: recipients.length });
        const update = { ...rest, ...isConfigurationIncluded ? { configuration } : {} };
        if (Object.keys(update).length > 0) {
            const message: UpdateMessage = { kind: "news", instance: this.#options.instance, ...update };
            const frame = encodeFrame(message);
            recipients.forEach(peer => this.#connections.sendFrame(peer.address, frame));
        }
        this.#scheduleDigest(DigestReason.storeChanged);
    }

    #handleMessage(raw: { kind: string; }, from: string): void {
        const bundle = parseDigestBundle(raw);
        if (bundle !== undefined) {
            this.#digestRelay.handleBundle(bundle);
            return;
        }
        const message = parsePeerMessage(raw);
        switch (message?.kind) {
            case "digest":
                this.#handleDigest(message);
                return;
            case "ask":
                this.#sendRequestedState(message);
                return;
            case "news":
                this.#handleUpdate(message);
                return;
            case "belief":
                this.#handleState(message);
                return;
            default:
                this.#options.log.record("belief", "peer message unusable", {
                    peer: String(from).slice(0, MAX_REASON_CHARACTERS),
                    kind: raw.kind.slice(0, MAX_REASON_CHARACTERS),
                });
        }
    }

    /** Applies a digest that has come through relays; one that repeats the last one is not decoded again. */
    #handleForwardedDigest(digest: ForwardedDigest): void {
        const { loadTracker } = this.#options.state;
        const now = this.#options.clock.getMonotonic();
        const known = this.#peers.get(digest.instance);
        const isRepeated = known !== undefined && !known.isLost && known.lastDigestAt !== undefined
            && known.address === digest.address && known.lastingNotices?.equals(digest.notices) === true;
        if (!isRepeated) {
            const message = decodeForwardedDigest(digest);
            if (message !== undefined) {
                this.#handleDigest(message, digest);
            }
            return;
        }
        known.lastDigestAt = now;
        if (known.load?.equals(digest.load) === true) {
            loadTracker.recordRepeatedDigest(digest.instance, now);
            return;
        }
        const work = decodeLoad(digest);
        if (work !== undefined) {
            known.load = Buffer.from(digest.load);
            loadTracker.applyDigest(digest.instance, { work, receivedAt: now });
        }
    }

    *#listRelayedPeers(): Generator<RelayedPeer> {
        for (const [instance, { address, zone, isLost, lastDigestAt }] of this.#peers) {
            yield { instance, address, zone, isSilent: isLost || lastDigestAt === undefined };
        }
    }

    #handleDigest(message: DigestMessage, forwarded?: ForwardedDigest): void {
        const now = this.#options.clock.getMonotonic();
        const peer = this.#addPeer(message.instance, message.address, message.zone);
        if (peer === undefined) {
            return;
        }
        peer.lastingNotices = forwarded === undefined || !hasLastingNotices(message)
            ? undefined
            : Buffer.from(forwarded.notices);
        peer.load = forwarded === undefined ? undefined : Buffer.from(forwarded.load);
        const isNewlyReached = peer.lastDigestAt === undefined || peer.isLost;
        if (isNewlyReached) {
            this.#options.log.record("process", "peer reached", { peer: message.instance, address: peer.address });
        }
        peer.lastDigestAt = now;
        peer.isLost = false;
        peer.versions = message.versions;
        const hasStoppedWatching = peer.isWatching && !message.isWatching;
        peer.isWatching = message.isWatching;
        if (hasStoppedWatching) {
            // The time until this instance takes over starts now.
            this.decideWatching();
        }
        peer.relayAddress = message.relayAddress;
        for (const target of message.unreachable) {
            this.#options.state.recordUnreachableByPeer(target);
        }
        for (const target of message.leaving) {
            this.#options.state.markLeaving(target, `peer ${message.instance}`);
        }
        for (const target of message.paused) {
            this.#options.state.recordPausedForPeer(target);
        }
        this.#options.state.applyRateStatements(message.instance, message.rateStatements);
        this.#options.state.applyRefusalStatements(message.instance, message.refusalStatements);
        this.#options.state.applyPaceNotice(message);
        this.#options.state.applyBaselines(message.baselines);
        this.#options.state.applyRolloutReports(message.instance, message.rolloutReports ?? []);
        this.#options.state.applyLineStatements(message.instance, message.lines);
        this.#options.state.applyCrashEvidence(message.instance, message.promptEvidence);
        this.#options.state.loadTracker.applyDigest(message.instance, { work: message.work, receivedAt: now });
        if (forwarded === undefined && isNewlyReached && now - peer.lastSentAt >= MIN_REPLY_INTERVAL_MILLISECONDS) {
            this.#sendDigest(peer, { frame: encodeFrame(this.#buildDigest(now)), now });
        }
    }

    #sendRequestedState(message: StateRequestMessage): void {
        const { state, instance } = this.#options;
        const ownVersions = this.#getVersions();
        const { versions } = message;
        const reply: StateMessage = {
            kind: "belief",
            instance,
            peers: {
                [instance]: this.#ownAddress,
                ...Object.fromEntries([...this.#peers].map(([name, peer]) => [name, peer.address])),
            },
            peerZones: {
                [instance]: this.#options.zone,
                ...Object.fromEntries(
                    [...this.#peers].flatMap(([name, { zone }]) => zone === undefined ? [] : [[name, zone]]),
                ),
            },
            ...state.table !== undefined && ownVersions.configuration > versions.configuration
                    && this.#takeConfigurationSend(state.table.configuration)
                ? { configuration: state.table.configuration }
                : {},
            ...state.directory.isLoaded
                    && comparePositions(getTargetsPosition(ownVersions), getTargetsPosition(versions)) > 0
                ? { targets: state.directory.getSnapshot(this.#options.clock.getMonotonic()) }
                : {},
            ...state.zones !== undefined
                    && comparePositions(getZonesPosition(ownVersions), getZonesPosition(versions)) > 0
                ? { zones: state.zones }
                : {},
            ...this.#isNewer(ownVersions.rollouts, versions.rollouts)
                ? { rollouts: state.rollouts?.getSnapshot(this.#options.clock.getMonotonic()) }
                : {},
            ...state.isQuarantineListKnown
                ? { quarantined: state.requestQuarantine.listQuarantined(this.#options.clock.getMonotonic()) }
                : {},
        };
        this.#connections.send(message.address, reply);
    }

    /**
     * Checks whether this instance may send a configuration to one more peer now. Peers that get none ask another one,
     * and those that got it send it on, so that a large configuration reaches a large fleet within a few such intervals.
     */
    #takeConfigurationSend({ routes }: { routes: readonly unknown[]; }): boolean {
        const now = this.#options.clock.getMonotonic();
        if (now - this.#configurationsSent.since >= STATE_REQUEST_INTERVAL_MILLISECONDS) {
            this.#configurationsSent = { since: now, count: 0 };
        }
        this.#configurationsSent.count += 1;
        return this.#configurationsSent.count <= MIN_CONFIGURATIONS_PER_INTERVAL
            || isSentInFull({ routes: routes.length, peers: this.#configurationsSent.count });
    }

    #handleUpdate(message: UpdateMessage): void {
        const { state } = this.#options;
        const source = `peer ${message.instance}` as const;
        const { configuration, targets, zones, rollouts } = message;
        if (rollouts !== undefined) {
            state.applyRollouts(rollouts, source);
        }
        if (configuration !== undefined) {
            state.adoptConfiguration(configuration, source);
        }
        if (zones !== undefined) {
            state.applyZones(zones, source);
        }
        // If earlier changes were missed, applying these would make the list permanently wrong. They are ignored, and
        // the complete list is requested.
        const { directory } = state;
        const known = Math.max(directory.revision, directory.changeRevision);
        if (targets !== undefined && targets.from <= known && targets.changeRevision > directory.changeRevision) {
            state.applyEvents(targets, source);
        }
    }

    #handleState(message: StateMessage): void {
        const { state } = this.#options;
        this.#hasPeerReplied = true;
        const source = `peer ${message.instance}` as const;
        if (message.configuration !== undefined) {
            state.adoptConfiguration(message.configuration, source);
        }
        if (message.targets !== undefined) {
            this.#isPeerListKnown = true;
            state.applySnapshot(message.targets, source);
        }
        if (message.zones !== undefined) {
            state.applyZones(message.zones, source);
        }
        if (message.rollouts !== undefined) {
            state.applyRollouts(message.rollouts, source);
        }
        if (message.quarantined !== undefined) {
            state.applyQuarantined(message.quarantined, source);
        }
        for (const [name, address] of Object.entries(message.peers)) {
            this.#addPeer(name, address, message.peerZones?.[name]);
        }
    }

    #addPeer(name: string, address: string, zone: string | undefined): Peer | undefined {
        if (name === this.#options.instance) {
            return undefined;
        }
        const now = this.#options.clock.getMonotonic();
        const known = this.#peers.get(name);
        if (known !== undefined && known.address === address) {
            known.lastMentionedAt = now;
            known.zone = zone ?? known.zone;
            return known;
        }
        const versions = { configuration: -1, targets: 0, targetsEra: 0, zones: -1, zonesEra: 0 };
        const peer = {
            address,
            zone,
            lastingNotices: undefined,
            load: undefined,
            lastDigestAt: undefined,
            lastMentionedAt: now,
            lastSentAt: Number.NEGATIVE_INFINITY,
            versions,
            isWatching: false,
            relayAddress: "",
            isLost: false,
        };
        this.#peers.set(name, peer);
        this.#position = undefined;
        return peer;
    }

    #expirePeers(): void {
        const now = this.#options.clock.getMonotonic();
        for (const [name, peer] of this.#peers) {
            const silenceMilliseconds = now - (peer.lastDigestAt ?? peer.lastMentionedAt);
            const maxSilenceMilliseconds = MAX_MISSED_DIGESTS * this.#ordinaryKeepAliveMilliseconds;
            if (!peer.isLost && peer.lastDigestAt !== undefined && silenceMilliseconds > maxSilenceMilliseconds) {
                peer.isLost = true;
                this.#options.state.loadTracker.removePeer(name);
                this.#options.log.record("process", "peer lost", {
                    peer: name,
                    silenceMilliseconds: Math.round(silenceMilliseconds),
                });
            }
            if (silenceMilliseconds > PEER_EXPIRY_MILLISECONDS) {
                this.#peers.delete(name);
                this.#digestRelay.removeInstance(name);
                this.#position = undefined;
            }
        }
    }

    /** Builds a digest; statements on what waits are taken once, and go to all peers. */
    #buildDigest(now: number, lines: DigestMessage["lines"] = {}): DigestMessage {
        const { state, instance, isWatching, getRelayAddress } = this.#options;
        return {
            kind: "digest",
            instance,
            address: this.#ownAddress,
            work: state.loadTracker.getDigest(),
            unreachable: state.listUnreachable(),
            leaving: state.directory.listAnnouncedLeaving(),
            paused: state.backpressure.listPaused(now),
            rateStatements: state.rateLimits.listTold(now),
            refusalStatements: state.refusalLimits.listTold(now),
            promptEvidence: state.requestQuarantine.getEvidence(now),
            baselines: state.softwareVersions.listBaselines(),
            lines,
            versions: this.#getVersions(),
            isWatching: isWatching(),
            relayAddress: getRelayAddress(),
            zone: this.#options.zone,
        };
    }

    #sendDigest(peer: Peer, { frame, now }: { frame: Buffer; now: number; }): void {
        peer.lastSentAt = now;
        this.#connections.sendFrame(peer.address, frame);
    }

    /**
     * Sends a digest to each peer, at a lower rate to peers that send none. In a large fleet it goes through relays, unless
     * this instance watches the store, or has stopped to: the loss of a watcher has to be noticed at once.
     */
    #sendDigests(): void {
        const now = this.#options.clock.getMonotonic();
        const { state } = this.#options;
        const digest = {
            ...this.#buildDigest(now, state.takeLineStatements()),
            ...state.takePaceNotice(),
            ...state.buildRolloutReports(now),
        };
        clearTimeout(this.#digestTimer);
        this.#digestDueAt = Infinity;
        const recipients = this.#getRecipients(now);
        this.#isAnnouncedWatching = digest.isWatching;
        this.#digestRateLimiter.recordSend(recipients);
        const { isRelayed } = recipients;
        if (isRelayed) {
            this.#digestRelay.sendDigest(digest);
        }
        let frame: Buffer | undefined;
        for (const peer of this.#peers.values()) {
            const isUnresponsive = peer.lastDigestAt === undefined || peer.isLost;
            const isDue = !isUnresponsive || now - peer.lastSentAt >= LOST_PEER_RETRY_MILLISECONDS;
            if (isDue && !(isRelayed && peer.zone !== undefined)) {
                frame ??= encodeFrame(digest);
                this.#sendDigest(peer, { frame, now });
            }
        }
    }

    /**
     * Requests state from a peer with newer versions if it does not arrive from the store in time.
     *
     * After a longer time the configuration and the list of targets are also read from the store.
     */
    async #requestMissingState(): Promise<void> {
        const now = this.#options.clock.getMonotonic();
        const peersAhead = this.#listPeersAhead(now);
        const peer = peersAhead[Math.floor(this.#options.random() * peersAhead.length)];
        if (peer === undefined) {
            this.#behindSince = undefined;
            return;
        }
        this.#behindSince ??= now;
        const behindMilliseconds = now - this.#behindSince;
        if (
            behindMilliseconds < STATE_REQUEST_DELAY_MILLISECONDS
            || now - this.#stateRequestedAt < STATE_REQUEST_INTERVAL_MILLISECONDS
        ) {
            return;
        }
        this.#stateRequestedAt = now;
        const isConfigurationBehind = (): boolean => peer.versions.configuration > this.#getVersions().configuration;
        if (behindMilliseconds > STORE_READ_DELAY_MILLISECONDS) {
            // A restored store may hold an older configuration than the peer.
            if (isConfigurationBehind() && await this.#options.readConfiguration() && !isConfigurationBehind()) {
                return;
            }
            await this.#options.readTargets();
        }
        this.#connections.send(peer.address, this.#buildStateRequest());
    }

    /** Lists the peers that have newer state than this instance and have recently sent a digest. */
    #listPeersAhead(now: number): Peer[] {
        const ownVersions = this.#getVersions();
        const { directory, zones } = this.#options.state;
        const ownTargets = { era: directory.era, revision: Math.max(directory.revision, ownVersions.targets) };
        const ownRollouts = this.#options.state.rollouts?.position;
        const ownZones = { era: zones?.era ?? 0, revision: zones?.revision ?? -1 };
        return [...this.#peers.values()].filter(({ versions, isLost, lastDigestAt }) =>
            !isLost
            && now - (lastDigestAt ?? Number.NEGATIVE_INFINITY) < MAX_DIGEST_AGE_MILLISECONDS
            && (versions.configuration > ownVersions.configuration
                || comparePositions(getTargetsPosition(versions), ownTargets) > 0
                || comparePositions(getZonesPosition(versions), ownZones) > 0
                || this.#isNewer(versions.rollouts, ownRollouts))
        );
    }

    /** Checks whether a list of rollouts is newer than another one, where this instance keeps such a list. */
    #isNewer(position: StorePosition | undefined, other: StorePosition | undefined): boolean {
        return this.#options.state.rollouts !== undefined && position !== undefined
            && (other === undefined || comparePositions(position, other) > 0);
    }

    #buildStateRequest(): StateRequestMessage {
        return { kind: "ask", address: this.#ownAddress, versions: this.#getVersions() };
    }

    #getVersions(): StateVersions {
        const { table, directory, zones, rollouts } = this.#options.state;
        const position = rollouts?.position;
        return {
            configuration: table?.configuration.version ?? -1,
            targets: directory.isLoaded ? directory.changeRevision : 0,
            targetsEra: directory.era,
            zones: zones?.changeRevision ?? -1,
            zonesEra: zones?.era ?? 0,
            ...position === undefined ? {} : { rollouts: { era: position.era, revision: position.changeRevision } },
        };
    }
}

/**
 * Checks whether the notices of a digest have no effect that ends after a time, so that they are applied only once. Those
 * about a rollout are applied again, since the order may have been unknown here the first time.
 */
function hasLastingNotices(digest: DigestMessage): boolean {
    const {
        unreachable,
        leaving,
        paused,
        rateStatements,
        refusalStatements,
        promptEvidence,
        speeds,
        loads,
        rolloutReports,
        lines,
    } = digest;
    const { crashes, sound, quarantined, survivors = [] } = promptEvidence;
    return speeds === undefined && loads === undefined && rolloutReports === undefined
        && Object.keys(lines).length === 0
        && [unreachable, leaving, paused, rateStatements, refusalStatements, crashes, sound, quarantined, survivors]
            .every(list => list.length === 0);
}

function getTargetsPosition(versions: StateVersions): StorePosition {
    return { era: versions.targetsEra, revision: versions.targets };
}

function getZonesPosition(versions: StateVersions): StorePosition {
    return { era: versions.zonesEra, revision: versions.zones };
}
