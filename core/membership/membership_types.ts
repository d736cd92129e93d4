/**
 * The gossip messages and the member records that they carry.
 *
 * @module
 */

/** One instance of the fleet, as its peers know it. */
export interface Member {
    /** Name of the instance. */
    id: string;
    /** Address of its agent, as `IP:port`. */
    address: string;
    /** Availability zone. */
    zone: string;
    /** Incarnation number of the instance's agent process; each restart has a greater one. */
    incarnation: number;
    /** True once the instance is leaving: it has announced its shutdown. */
    isLeaving: boolean;
}

/** A member with its liveness age, as gossip carries it. */
export interface MemberEntry extends Member {
    /** Liveness age: time since the member was last known to be alive, in milliseconds. */
    age: number;
}

/** Asks a peer for the liveness ages of all members. */
export interface GossipMessage {
    kind: "gossip";
    /** Member record of the sender. */
    sender: Member;
    /** Hash of the sender's member list; if it equals the receiver's, the reply carries only ages. */
    roster: number;
    /** Reading of the sender's monotonic clock, which the reply echoes. */
    sentAt: number;
    /** Generation of the configuration in force at the sender. */
    generation: number;
}

/** Unit of {@linkcode GossipReplyMessage.ages}, in milliseconds; small integers take fewer bytes when encoded. */
export const AGE_UNIT_MILLISECONDS = 50;

/** Reply to a {@linkcode GossipMessage}. */
export interface GossipReplyMessage {
    kind: "gossip-reply";
    /** The request's `sentAt`; ages count back from it, so that a late reply makes no dead member look alive. */
    echo: number;
    /** Hash of the sender's member list. */
    roster: number;
    /**
     * Liveness ages of the members sorted by name, in units of {@linkcode AGE_UNIT_MILLISECONDS}, rounded up; empty
     * if the member lists differ.
     */
    ages: number[];
    /** Full member entries; empty if the member lists are the same. */
    entries: MemberEntry[];
    /** Generation of the configuration in force at the sender. */
    generation: number;
    /** Time since the sender last had confirmation that its configuration is the newest, in milliseconds. */
    confirmedAge: number;
}

/** Announces that the sender is leaving. */
export interface ShutdownMessage {
    kind: "farewell";
    /** Member record of the sender, with `isLeaving` set. */
    sender: Member;
}

/** An instance in the platform's list. */
export interface ListedInstance {
    /** Name of the instance. */
    id: string;
    /** Address of its agent, as `IP:port`; empty for a target's instance. */
    address: string;
    /** Availability zone. */
    zone: string;
    /** `entry` for an instance that runs an agent and gateways, `target` for one that runs targets. */
    role: "entry" | "target";
    /** True if the platform lists the instance as leaving, because it is about to remove it. */
    isLeaving: boolean;
}
