/**
 * Sends the digests of this instance through relays, and forwards those of other instances as one.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import type { Clock } from "../core/clock/mod.ts";
import { DigestOrder, DigestScope, findForwardingRule, RelayOutbox, RelaySelection } from "../core/serving/mod.ts";
import type { PeerConnectionPool } from "../network/mod.ts";
import { type DigestBundle, encodeDigestBundle, encodeForwardedDigest, type ForwardedDigest } from "./digest_bundle.ts";
import type { DigestMessage } from "./peer_messages.ts";

/** Another instance that digests can be relayed to. */
export interface RelayedPeer {
    /** Name of the instance. */
    instance: string;
    /** Address at which it accepts peers. */
    address: string;
    /** Availability zone; `undefined` for an instance of a build that relays no digests. */
    zone: string | undefined;
    /** True while it sends no digests. */
    isSilent: boolean;
}

/** Options of a {@linkcode DigestRelay}. */
export interface DigestRelayOptions {
    /** Name of this instance. */
    instance: string;
    /** Availability zone of this instance. */
    zone: string;
    /** Connections to peers. */
    connections: Pick<PeerConnectionPool, "sendFrame">;
    /** Source of time. */
    clock: Clock;
    /** Lists the other instances. */
    listPeers: () => Iterable<RelayedPeer>;
    /** Applies a digest of another instance. */
    onDigest: (digest: ForwardedDigest) => void;
}

/** Longest time between two messages of a relay, from which others see that it works, in milliseconds. */
const RELAY_KEEP_ALIVE_MILLISECONDS = 400;
/** Time since the last digest that an instance has sent to this one as its relay, after which this one is none. */
const RELAY_ROLE_MILLISECONDS = 4000;
/** Interval of messages to instances that send no digests, in milliseconds. */
const SILENT_PEER_INTERVAL_MILLISECONDS = 2000;

/** Sends and forwards digests through the relays of each zone. */
export class DigestRelay {
    readonly #options: DigestRelayOptions;
    readonly #selection = new RelaySelection();
    readonly #order = new DigestOrder();
    readonly #outbox = new RelayOutbox<ForwardedDigest>();
    readonly #start = randomBytes(6).toString("base64");
    #sequence = 0;
    #timer: NodeJS.Timeout | undefined;
    #forwardAt = Infinity;
    #roleEndsAt = Number.NEGATIVE_INFINITY;
    #lastForwardAt = Number.NEGATIVE_INFINITY;
    #silentPeersAt = Number.NEGATIVE_INFINITY;

    constructor(options: DigestRelayOptions) {
        this.#options = options;
    }

    /** Sends the digest of this instance to the relays of its zone. */
    sendDigest(digest: DigestMessage): void {
        const { instance, zone } = this.#options;
        this.#sequence += 1;
        const forwarded = encodeForwardedDigest(digest, { zone, start: this.#start, sequence: this.#sequence });
        this.#chooseRelays(zone).forEach((relay, rank) => {
            const scope = rank === 0 ? DigestScope.fleet : DigestScope.fleetBackup;
            if (relay === undefined) {
                this.#takeRole();
                this.#forwardDigest(forwarded, scope);
            }
            else {
                const frame = encodeDigestBundle({ from: instance, scope, digests: [forwarded] });
                this.#options.connections.sendFrame(relay.address, frame);
            }
        });
    }

    /** Applies the digests of a message that have not arrived yet, and forwards them if it asks for that. */
    handleBundle({ from, scope, digests }: DigestBundle): void {
        const { instance, clock, onDigest } = this.#options;
        if (scope === DigestScope.fleet || scope === DigestScope.fleetBackup) {
            this.#takeRole();
        }
        else {
            this.#selection.recordMessage(from, clock.getMonotonic());
        }
        for (const digest of digests) {
            if (scope === DigestScope.none) {
                this.#outbox.dropForwarded(digest);
            }
            if (digest.instance !== instance && this.#order.recordDigest(digest.instance, digest)) {
                onDigest(digest);
                this.#forwardDigest(digest, scope);
            }
        }
    }

    /** Gives all relays new time to send, after this process was paused. */
    handlePause(): void {
        this.#selection.restartTimeouts(this.#options.clock.getMonotonic());
    }

    /** Removes an instance that no longer exists. */
    removeInstance(name: string): void {
        this.#selection.removeInstance(name);
        this.#order.removeInstance(name);
    }

    /** Stops forwarding. */
    close(): void {
        clearTimeout(this.#timer);
        this.#forwardAt = Number.NEGATIVE_INFINITY;
    }

    /**
     * Chooses the relays of a zone; `undefined` stands for this instance. While no instance of another zone has sent a
     * digest, any of them may be chosen, so that the zones find each other.
     */
    #chooseRelays(zone: string): (RelayedPeer | undefined)[] {
        const { instance, clock, listPeers } = this.#options;
        const members = new Map<string, RelayedPeer | undefined>();
        const silentMembers = new Map<string, RelayedPeer>();
        if (zone === this.#options.zone) {
            members.set(instance, undefined);
        }
        for (const peer of listPeers()) {
            if (peer.zone === zone) {
                (peer.isSilent ? silentMembers : members).set(peer.instance, peer);
            }
        }
        if (members.size === 0) {
            silentMembers.forEach((peer, name) => members.set(name, peer));
        }
        const now = clock.getMonotonic();
        return this.#selection.chooseRelays([...members.keys()], { zone, self: instance, now })
            .map(name => members.get(name));
    }

    #takeRole(): void {
        const now = this.#options.clock.getMonotonic();
        this.#roleEndsAt = now + RELAY_ROLE_MILLISECONDS;
        this.#scheduleForwarding(now + RELAY_KEEP_ALIVE_MILLISECONDS);
    }

    #forwardDigest(digest: ForwardedDigest, scope: DigestScope): void {
        const rule = findForwardingRule(scope);
        if (rule !== undefined) {
            this.#scheduleForwarding(
                this.#outbox.addDigest(digest, { rule, now: this.#options.clock.getMonotonic() }),
            );
        }
    }

    #scheduleForwarding(at: number): void {
        if (at < this.#forwardAt) {
            clearTimeout(this.#timer);
            this.#forwardAt = at;
            this.#timer = setTimeout(
                () => this.#forwardDueDigests(),
                Math.max(0, at - this.#options.clock.getMonotonic()),
            );
        }
    }

    #forwardDueDigests(): void {
        const now = this.#options.clock.getMonotonic();
        this.#forwardAt = Infinity;
        // Timers fire up to a millisecond early.
        const { forZone, forOtherZones, nextDueAt } = this.#outbox.takeDueDigests(now + 1);
        const isKeepAliveDue = now < this.#roleEndsAt && now - this.#lastForwardAt >= RELAY_KEEP_ALIVE_MILLISECONDS;
        if (forZone.length > 0 || isKeepAliveDue) {
            this.#lastForwardAt = now;
            this.#sendToZone(forZone, now);
        }
        if (forOtherZones.length > 0 || isKeepAliveDue) {
            this.#sendToOtherZones(forOtherZones);
        }
        const keepAliveAt = now < this.#roleEndsAt ? this.#lastForwardAt + RELAY_KEEP_ALIVE_MILLISECONDS : Infinity;
        if (Math.min(nextDueAt, keepAliveAt) < Infinity) {
            this.#scheduleForwarding(Math.min(nextDueAt, keepAliveAt));
        }
    }

    #sendToZone(digests: ForwardedDigest[], now: number): void {
        const { instance, zone, connections, listPeers } = this.#options;
        const frame = encodeDigestBundle({ from: instance, scope: DigestScope.none, digests });
        const isSilentPeersDue = now - this.#silentPeersAt >= SILENT_PEER_INTERVAL_MILLISECONDS;
        if (isSilentPeersDue) {
            this.#silentPeersAt = now;
        }
        for (const peer of listPeers()) {
            if (peer.zone === zone && (!peer.isSilent || isSilentPeersDue)) {
                connections.sendFrame(peer.address, frame);
            }
        }
    }

    #sendToOtherZones(digests: ForwardedDigest[]): void {
        const { instance, zone: ownZone, connections, listPeers } = this.#options;
        const zones = new Set<string>();
        for (const { zone } of listPeers()) {
            if (zone !== undefined && zone !== ownZone) {
                zones.add(zone);
            }
        }
        const frames = [DigestScope.zone, DigestScope.zoneBackup].map(scope =>
            encodeDigestBundle({ from: instance, scope, digests })
        );
        for (const zone of zones) {
            this.#chooseRelays(zone).forEach((relay, rank) => {
                const frame = frames[rank];
                if (relay !== undefined && frame !== undefined) {
                    connections.sendFrame(relay.address, frame);
                }
            });
        }
    }
}
