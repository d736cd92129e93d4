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
    /** Random identifier of the start of the instance's process. */
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
    /** From an instance to a relay of its zone, which forwards it to the zone and to the relays of the other zones. */
    fleet: "fleet",
    /** From a relay to a relay of another zone, which forwards it to its zone. */
    zone: "zone",
    /** From a relay to the instances of its zone, which do not forward it. */
    none: "none",
} as const;

/** One of the values of {@linkcode DigestScope}. */
export type DigestScope = (typeof DigestScope)[keyof typeof DigestScope];

/** Collects the digests that a relay forwards with its next messages; of each instance only the latest. */
export class RelayOutbox<T extends { instance: string; }> {
    #forZone = new Map<string, T>();
    #forRelays = new Map<string, T>();

    /** True if no digest waits. */
    get isEmpty(): boolean {
        return this.#forZone.size === 0 && this.#forRelays.size === 0;
    }

    /** Adds a digest that has arrived with the given scope. */
    addDigest(digest: T, scope: DigestScope): void {
        if (scope !== DigestScope.none) {
            this.#forZone.set(digest.instance, digest);
        }
        if (scope === DigestScope.fleet) {
            this.#forRelays.set(digest.instance, digest);
        }
    }

    /** Takes all digests: those for the instances of the zone, and those for the relays of the other zones. */
    takeDigests(): { forZone: T[]; forRelays: T[]; } {
        const taken = { forZone: [...this.#forZone.values()], forRelays: [...this.#forRelays.values()] };
        this.#forZone = new Map();
        this.#forRelays = new Map();
        return taken;
    }
}
