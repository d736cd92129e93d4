/**
 * Distributes digests in a large fleet: each instance sends its digest to two relays of its availability zone, which
 * forward the digests of many instances in one message.
 *
 * Load pattern: 84 to 340 instances that each send a digest several times a second. Sent by each to all, the messages
 * grow with the square of the fleet, and handling them takes more processor time than the requests do.
 *
 * @module
 */
import { MemberRanking } from "../hashing/mod.ts";

/** Number of peers from which digests go through relays; below it, a message to each peer costs less. */
const MIN_RELAYED_PEERS = 24;
/** Relays that each instance uses, so that the failure of one delays no digest. */
const RELAYS_PER_ZONE = 2;
/** Time without a message after which a relay counts as failed: several times the interval of its messages. */
const RELAY_SILENCE_MILLISECONDS = 1000;
/** Time for which a relay that has failed is not chosen again. */
const RELAY_AVOIDANCE_MILLISECONDS = 10_000;
/** Key by which rendezvous hashing ranks the instances of a zone. */
const RELAY_KEY = "relay-digests";

/** Checks whether the digests of a fleet with this number of peers go through relays. */
export function isDigestRelayed(peers: number): boolean {
    return peers >= MIN_RELAYED_PEERS;
}

interface RelayRecord {
    /** Time since which the relay has been chosen without a break; `undefined` while it is not. */
    chosenAt: number | undefined;
    lastHeardAt: number;
    avoidedUntil: number;
}

/** Chooses the relays of each zone, and others in place of those that send nothing. */
export class RelaySelection {
    readonly #records = new Map<string, RelayRecord>();
    readonly #rankings = new Map<string, MemberRanking>();

    /** Records a message that a relay has sent in this role. */
    recordMessage(relay: string, now: number): void {
        const record = this.#getRecord(relay);
        record.lastHeardAt = now;
        record.avoidedUntil = Number.NEGATIVE_INFINITY;
    }

    /**
     * Chooses the relays of a zone.
     *
     * @param members Instances of the zone that are not known to be lost.
     * @param options Name of the zone, name of this instance, which never counts as failed, and the time.
     * @returns Names of the relays, fewer than two only if the zone has fewer members.
     */
    chooseRelays(
        members: readonly string[],
        { zone, self, now }: { zone: string; self: string; now: number; },
    ): string[] {
        const ranking = this.#rankings.get(zone) ?? new MemberRanking(RELAY_KEY);
        this.#rankings.set(zone, ranking);
        const ranked = ranking.listMembers(members);
        for (const name of ranked) {
            const record = this.#records.get(name);
            const isSilent = name !== self && record?.chosenAt !== undefined
                && now - Math.max(record.chosenAt, record.lastHeardAt) > RELAY_SILENCE_MILLISECONDS;
            if (record !== undefined && isSilent) {
                record.chosenAt = undefined;
                record.avoidedUntil = now + RELAY_AVOIDANCE_MILLISECONDS;
            }
        }
        const usable = ranked.filter(name => name === self || (this.#records.get(name)?.avoidedUntil ?? 0) <= now);
        const chosen = [...usable, ...ranked.filter(name => !usable.includes(name))].slice(0, RELAYS_PER_ZONE);
        for (const name of ranked) {
            if (chosen.includes(name)) {
                this.#getRecord(name).chosenAt ??= now;
            }
            else {
                const record = this.#records.get(name);
                if (record !== undefined) {
                    record.chosenAt = undefined;
                }
            }
        }
        return chosen;
    }

    /** Gives all relays new time to send, after this instance itself has been paused. */
    restartTimeouts(now: number): void {
        for (const record of this.#records.values()) {
            record.chosenAt &&= now;
            record.avoidedUntil = Number.NEGATIVE_INFINITY;
        }
    }

    /** Removes an instance that no longer exists. */
    removeInstance(name: string): void {
        this.#records.delete(name);
    }

    #getRecord(name: string): RelayRecord {
        const known = this.#records.get(name);
        if (known !== undefined) {
            return known;
        }
        const record = {
            chosenAt: undefined,
            lastHeardAt: Number.NEGATIVE_INFINITY,
            avoidedUntil: Number.NEGATIVE_INFINITY,
        };
        this.#records.set(name, record);
        return record;
    }
}

/** Position of a digest among those of its instance. */
export interface DigestPosition {
    /** Identifier of the start of the instance's process. */
    start: string;
    /** Number of the digest since that start. */
    sequence: number;
}

interface KnownPosition extends DigestPosition {
    previousStart: string | undefined;
}

/**
 * Recognizes digests that have arrived already or are older than one that has: each arrives through two relays, in any
 * order.
 */
export class DigestOrder {
    readonly #known = new Map<string, KnownPosition>();

    /** Records a digest; returns whether it is newer than all earlier ones of its instance. */
    recordDigest(instance: string, { start, sequence }: DigestPosition): boolean {
        const known = this.#known.get(instance);
        if (
            known !== undefined && (start === known.start ? sequence <= known.sequence : start === known.previousStart)
        ) {
            return false;
        }
        const previousStart = known === undefined || known.start === start ? known?.previousStart : known.start;
        this.#known.set(instance, { start, sequence, previousStart });
        return true;
    }

    /** Removes an instance that no longer exists. */
    removeInstance(instance: string): void {
        this.#known.delete(instance);
    }
}

/** How far a message with digests is forwarded. */
export const DigestScope = {
    /** From an instance to the first relay of its zone, which forwards it to the zone and to the other zones' relays. */
    fleet: "fleet",
    /** The same to the second relay, which forwards only what the first one does not. */
    fleetBackup: "fleet-backup",
    /** From a relay to the first relay of another zone, which forwards it to its zone. */
    zone: "zone",
    /** The same to the second relay, which forwards only what the first one does not. */
    zoneBackup: "zone-backup",
    /** From a relay to the instances of its zone, which do not forward it. */
    none: "none",
} as const;

/** One of the values of {@linkcode DigestScope}. */
export type DigestScope = (typeof DigestScope)[keyof typeof DigestScope];

/** Checks whether a value is a scope. */
export function isDigestScope(value: unknown): value is DigestScope {
    return Object.values(DigestScope).some(scope => scope === value);
}

/** Time for which a first relay collects digests before it forwards them, in milliseconds. */
const FORWARD_DELAY_MILLISECONDS = 40;
/** Time that a second relay gives the first one to forward a digest, in milliseconds. */
const BACKUP_DELAY_MILLISECONDS = 250;

/** What a relay does with a digest that has arrived with a certain scope. */
export interface ForwardingRule {
    /** Time after which the digest is forwarded, in milliseconds. */
    delayMilliseconds: number;
    /** True if the digest also goes to the relays of the other zones. */
    isForOtherZones: boolean;
}

const FORWARDING_RULES: Record<DigestScope, ForwardingRule | undefined> = {
    [DigestScope.fleet]: { delayMilliseconds: FORWARD_DELAY_MILLISECONDS, isForOtherZones: true },
    [DigestScope.fleetBackup]: { delayMilliseconds: BACKUP_DELAY_MILLISECONDS, isForOtherZones: true },
    [DigestScope.zone]: { delayMilliseconds: FORWARD_DELAY_MILLISECONDS, isForOtherZones: false },
    [DigestScope.zoneBackup]: { delayMilliseconds: BACKUP_DELAY_MILLISECONDS, isForOtherZones: false },
    [DigestScope.none]: undefined,
};

/** Finds what a relay does with a digest of a scope; `undefined` if it does not forward it. */
export function findForwardingRule(scope: DigestScope): ForwardingRule | undefined {
    return FORWARDING_RULES[scope];
}

interface WaitingDigest<T> extends ForwardingRule {
    digest: T;
    dueAt: number;
}

/** Collects the digests that a relay forwards; of each instance only the latest. */
export class RelayOutbox<T extends DigestPosition & { instance: string; }> {
    readonly #waiting = new Map<string, WaitingDigest<T>>();

    /** Adds a digest; returns the time at which it is due. */
    addDigest(digest: T, { rule, now }: { rule: ForwardingRule; now: number; }): number {
        const waiting = this.#waiting.get(digest.instance);
        // An older digest that is due earlier is replaced by this one, which is then due at that time.
        const dueAt = Math.min(waiting?.dueAt ?? Infinity, now + rule.delayMilliseconds);
        const isForOtherZones = rule.isForOtherZones || waiting?.isForOtherZones === true;
        this.#waiting.set(digest.instance, { ...rule, digest, dueAt, isForOtherZones });
        return dueAt;
    }

    /** Drops a digest that another relay has forwarded. */
    dropForwarded({ instance, start, sequence }: T): void {
        const digest = this.#waiting.get(instance)?.digest;
        if (digest !== undefined && (digest.start !== start || digest.sequence <= sequence)) {
            this.#waiting.delete(instance);
        }
    }

    /** Takes the digests that are due: all for the instances of the zone, some also for the other zones. */
    takeDueDigests(now: number): { forZone: T[]; forOtherZones: T[]; nextDueAt: number; } {
        const forZone: T[] = [];
        const forOtherZones: T[] = [];
        let nextDueAt = Infinity;
        for (const [instance, { digest, dueAt, isForOtherZones }] of this.#waiting) {
            if (dueAt > now) {
                nextDueAt = Math.min(nextDueAt, dueAt);
                continue;
            }
            this.#waiting.delete(instance);
            forZone.push(digest);
            if (isForOtherZones) {
                forOtherZones.push(digest);
            }
        }
        return { forZone, forOtherZones, nextDueAt };
    }
}
