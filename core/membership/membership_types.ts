/**
 * The messages and records of membership.
 *
 * @module
 */

/** What is known of one instance. */
export interface Member {
    /** Name of the instance. */
    id: string;
    /** Address of its agent, as `IP:port`. */
    address: string;
    /** Availability zone. */
    zone: string;
    /** Number of the instance's life; a later life has a greater one. */
    incarnation: number;
    /** True once the instance has said that it is leaving. */
    isLeaving: boolean;
}

/** A member with the age of the last sign of life, as gossip carries it. */
export interface MemberEntry extends Member {
    /** Time since the member is known to have lived, in milliseconds. */
    age: number;
}

/** Asks a peer what it knows. */
export interface GossipMessage {
    kind: "gossip";
    /** The sender. */
    sender: Member;
    /** Hash of the sender's roster. */
    roster: number;
    /** Reading of the sender's monotonic clock, which the answer echoes. */
    sentAt: number;
    /** Generation of the configuration in force at the sender. */
    generation: number;
}

/** Unit of the ages in gossip, in milliseconds; small numbers take few bytes. */
export const AGE_UNIT = 50;

/** Answers a {@linkcode GossipMessage}. */
export interface GossipReplyMessage {
    kind: "gossip-reply";
    /** The `sentAt` of the question; ages are counted from it, so a late answer can't make anybody look alive. */
    echo: number;
    /** Hash of the sender's roster. */
    roster: number;
    /** Ages of the members in the order of the roster, in units of {@linkcode AGE_UNIT}, rounded up; empty where `entries` is given. */
    ages: number[];
    /** Whole entries, where the rosters differ. */
    entries: MemberEntry[];
    /** Generation of the configuration in force at the sender. */
    generation: number;
    /** Age of the sender's last proof that its configuration is the newest, in milliseconds. */
    confirmedAge: number;
}

/** Says that the sender is leaving. */
export interface FarewellMessage {
    kind: "farewell";
    /** The sender. */
    sender: Member;
}

/** An instance as the platform lists it. */
export interface ListedInstance {
    /** Name of the instance. */
    id: string;
    /** Address of its agent, as `IP:port`; empty for a target's instance. */
    address: string;
    /** Availability zone. */
    zone: string;
    /** What the instance is. */
    role: "entry" | "target";
    /** True where the platform is taking the instance away. */
    isLeaving: boolean;
}
