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

/** A member with its heartbeat, as gossip carries it. */
export interface MemberEntry extends Member {
    /** Heartbeats counted in this life. */
    heartbeat: number;
    /** Time since the sender saw the heartbeat advance, in milliseconds. */
    age: number;
}

/** One round of gossip. */
export interface GossipMessage {
    kind: "gossip";
    /** Hash of the sender's roster; heartbeats can be matched by position where it is the receiver's too. */
    roster: number;
    /** Heartbeats in the roster's order; empty where `entries` is given. */
    heartbeats: number[];
    /** Whole entries, where the rosters differ. */
    entries: MemberEntry[];
    /** True in an answer, which is not answered again. */
    isReply: boolean;
    /** Generation of the configuration in force at the sender. */
    generation: number;
    /** Age of the sender's last proof that its configuration is the newest, in milliseconds. */
    confirmedAge: number;
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
