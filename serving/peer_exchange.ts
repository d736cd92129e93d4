/**
 * Exchanges digests of work and beliefs with the other instances.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import { type Address, FrameServer, PeerLinks } from "../network/mod.ts";
import type { DecisionLog } from "../telemetry/mod.ts";
import {
    type AskMessage,
    type BeliefMessage,
    type BeliefVersions,
    type DigestMessage,
    parsePeerMessage,
} from "./peer_messages.ts";
import type { ServingState } from "./serving_state.ts";

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
}

interface Peer {
    address: string;
    /** Time of the last digest; `undefined` before the first. */
    heardAt: number | undefined;
    /** Time at which the peer was last told of by anyone. */
    knownAt: number;
    /** Time of the last digest that was sent to a peer that does not answer. */
    triedAt: number;
    versions: BeliefVersions;
    isLost: boolean;
}

/** Time between digests to a few peers, in milliseconds; a placement seen this late rarely collides with another. */
const DIGEST_INTERVAL = 100;
/** Peers up to which the interval stays the same; with more, it grows so that the traffic of an instance does not. */
const PEERS_AT_FULL_RATE = 8;
/** Silence after which a peer counts as lost, in milliseconds, beside its interval. */
const LOST_AFTER = 1500;
/** Time between digests to a peer that does not answer, in milliseconds. */
const RETRY_LOST = 2000;
/** Time after which a peer that nobody tells of is forgotten, in milliseconds. */
const FORGET_AFTER = 60_000;
/** Time for which a belief that a peer has is awaited from the store, in milliseconds, before the peer is asked. */
const ASK_DELAY = 120;
/** Least time between two questions to peers, in milliseconds. */
const ASK_INTERVAL = 250;

/** Keeps links to the other instances. */
export class PeerExchange {
    readonly #options: PeerExchangeOptions;
    readonly #server: FrameServer;
    readonly #links: PeerLinks;
    readonly #peers = new Map<string, Peer>();
    readonly #ownAddress: string;
    #timer: NodeJS.Timeout | undefined;
    #lastDigest = "";
    #lastSentAt = 0;
    #askedAt = 0;
    #isListed = false;

    constructor(options: PeerExchangeOptions) {
        this.#options = options;
        this.#ownAddress = `${options.address.host}:${options.address.port}`;
        this.#links = new PeerLinks({ self: options.instance });
        this.#server = new FrameServer({
            isQuietWhenIdle: true,
            onMessage: (_, message) => this.#handleMessage(message),
        });
        options.state.setInstanceCounter(() => this.#isListed ? this.#peers.size + 1 : 0);
        options.state.beliefListeners.push(() => this.#sendDigests(true));
    }

    /** Starts to listen and to send digests. */
    async open(): Promise<void> {
        await this.#server.open(this.#options.address);
        this.#startTimer();
    }

    /** Closes all links. */
    close(): void {
        clearTimeout(this.#timer);
        this.#server.close();
        this.#links.close();
    }

    /** Adds peers that the store lists. */
    addListed(peers: readonly { instance: string; address: string; }[]): void {
        this.#isListed = true;
        for (const peer of peers) {
            this.#addPeer(peer.instance, peer.address);
        }
        this.#sendDigests(true);
    }

    /** Sends a digest to an address whose instance is not known yet. */
    sendGreeting(address: string): void {
        if (address !== this.#ownAddress) {
            this.#links.send(address, this.#buildAsk());
        }
    }

    /** Describes the peers, for a dump. */
    dumpState(): Record<string, unknown> {
        const now = this.#options.clock.getMonotonic();
        return Object.fromEntries([...this.#peers].map(([name, { address, heardAt, versions }]) => [
            name,
            { address, versions, ageMilliseconds: heardAt === undefined ? undefined : Math.round(now - heardAt) },
        ]));
    }

    #startTimer(): void {
        this.#timer = setTimeout(() => {
            this.#expirePeers();
            this.#sendDigests(false);
            this.#askIfBehind();
            this.#startTimer();
        }, this.#interval);
    }

    get #interval(): number {
        return DIGEST_INTERVAL * Math.max(1, this.#peers.size / PEERS_AT_FULL_RATE);
    }

    #handleMessage(raw: unknown): void {
        const message = parsePeerMessage(raw);
        switch (message?.kind) {
            case "digest":
                this.#handleDigest(message);
                return;
            case "ask":
                this.#answerAsk(message);
                return;
            case "belief":
                this.#handleBelief(message);
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
        if (peer.heardAt === undefined || peer.isLost) {
            this.#options.log.record("process", "peer reached", { peer: message.instance, address: peer.address });
        }
        peer.heardAt = now;
        peer.isLost = false;
        peer.versions = message.versions;
        this.#options.state.ledger.applyDigest(message.instance, { work: message.work, receivedAt: now });
    }

    #answerAsk(message: AskMessage): void {
        const { state, instance } = this.#options;
        const own = this.#getVersions();
        const { versions } = message;
        const answer: BeliefMessage = {
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
        this.#links.send(message.address, answer);
    }

    #handleBelief(message: BeliefMessage): void {
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
            known.knownAt = now;
            return known;
        }
        const versions = { configuration: -1, targets: 0, zones: 0 };
        const peer = {
            address,
            heardAt: undefined,
            knownAt: now,
            triedAt: Number.NEGATIVE_INFINITY,
            versions,
            isLost: false,
        };
        this.#peers.set(name, peer);
        return peer;
    }

    #expirePeers(): void {
        const now = this.#options.clock.getMonotonic();
        for (const [name, peer] of this.#peers) {
            const silence = now - (peer.heardAt ?? peer.knownAt);
            if (!peer.isLost && peer.heardAt !== undefined && silence > LOST_AFTER + 2 * this.#interval) {
                peer.isLost = true;
                this.#options.state.ledger.dropPeer(name);
                this.#options.log.record("process", "peer lost", {
                    peer: name,
                    silenceMilliseconds: Math.round(silence),
                });
            }
            if (silence > FORGET_AFTER) {
                this.#peers.delete(name);
            }
        }
    }

    /** Sends a digest to each peer; to one that does not answer only now and then. */
    #sendDigests(isUrgent: boolean): void {
        const now = this.#options.clock.getMonotonic();
        const digest: DigestMessage = {
            kind: "digest",
            instance: this.#options.instance,
            address: this.#ownAddress,
            work: this.#options.state.ledger.getDigest(),
            versions: this.#getVersions(),
        };
        const text = JSON.stringify(digest);
        const isDue = isUrgent || text !== this.#lastDigest || now - this.#lastSentAt >= LOST_AFTER / 3;
        for (const peer of this.#peers.values()) {
            const isSilent = peer.heardAt === undefined || peer.isLost;
            if (isSilent ? now - peer.triedAt >= RETRY_LOST : isDue) {
                peer.triedAt = now;
                this.#links.send(peer.address, digest);
            }
        }
        if (isDue) {
            this.#lastDigest = text;
            this.#lastSentAt = now;
        }
    }

    /** Asks a peer that is ahead, once the store had time to tell the same. */
    #askIfBehind(): void {
        const now = this.#options.clock.getMonotonic();
        const own = this.#getVersions();
        const { directory, zones } = this.#options.state;
        const ahead = [...this.#peers.values()].find(({ versions, isLost }) =>
            !isLost && (versions.configuration > own.configuration
                || versions.targets > directory.revision
                || versions.zones > (zones?.revision ?? -1))
        );
        if (ahead === undefined) {
            this.#askedAt = now - ASK_INTERVAL + ASK_DELAY;
            return;
        }
        if (now - this.#askedAt >= ASK_INTERVAL) {
            this.#askedAt = now;
            this.#links.send(ahead.address, this.#buildAsk());
        }
    }

    #buildAsk(): AskMessage {
        return { kind: "ask", address: this.#ownAddress, versions: this.#getVersions() };
    }

    #getVersions(): BeliefVersions {
        const { table, directory, zones } = this.#options.state;
        return {
            configuration: table?.configuration.version ?? -1,
            targets: directory.isKnown ? directory.changeRevision : 0,
            zones: zones?.changeRevision ?? -1,
        };
    }
}
