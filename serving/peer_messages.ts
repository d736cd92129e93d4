/**
 * Messages between the serving processes of different instances.
 *
 * @module
 */
import * as v from "valibot";
import type { ServingConfiguration, TargetSnapshot, WorkDigest } from "../core/serving/mod.ts";
import type { StoreNews, ZoneSnapshot } from "./serving_state.ts";

/** How far an instance's beliefs reach. */
export interface StateVersions {
    /** Version of the configuration; -1 for none. */
    configuration: number;
    /** Revision of the latest change to the list of targets. */
    targets: number;
    /** Revision of the latest change to the emptied zones. */
    zones: number;
}

/** Tells peers of this instance's work and of how far its beliefs reach. */
export interface DigestMessage {
    kind: "digest";
    /** Name of the sender. */
    instance: string;
    /** Address that peers reach the sender at. */
    address: string;
    /** Work that the sender has at each target. */
    work: WorkDigest;
    /** Targets that took no connection of the sender a moment ago. */
    unreachable: string[];
    /** How far the sender's beliefs reach. */
    versions: StateVersions;
    /** True where the sender watches the store and the store answers it. */
    isWatching: boolean;
}

/** Tells peers that do not watch the store what it has told the sender. */
export interface UpdateMessage extends StoreNews {
    kind: "news";
    /** Name of the sender. */
    instance: string;
}

/** Asks a peer for beliefs that are newer than the sender's. */
export interface StateRequestMessage {
    kind: "ask";
    /** Address that peers reach the sender at. */
    address: string;
    /** How far the sender's beliefs reach. */
    versions: StateVersions;
}

/** Gives beliefs to a peer that is behind. */
export interface StateMessage {
    kind: "belief";
    /** Name of the sender. */
    instance: string;
    /** Configuration, where the sender's is newer. */
    configuration?: ServingConfiguration;
    /** List of targets, where the sender's is newer. */
    targets?: TargetSnapshot;
    /** Emptied zones, where the sender's list is newer. */
    zones?: ZoneSnapshot;
    /** Addresses of the instances that the sender knows, by name. */
    peers: Record<string, string>;
}

/** Any message between instances. */
export type PeerMessage = DigestMessage | UpdateMessage | StateRequestMessage | StateMessage;

const VersionsSchema = v.object({ configuration: v.number(), targets: v.number(), zones: v.number() });
const WorkSchema = v.record(v.string(), v.tuple([v.number(), v.number(), v.number()]));

const MessageSchema = v.variant("kind", [
    v.object({
        kind: v.literal("digest"),
        instance: v.string(),
        address: v.string(),
        work: WorkSchema,
        unreachable: v.array(v.string()),
        versions: VersionsSchema,
        isWatching: v.boolean(),
    }),
    v.object({
        kind: v.literal("news"),
        instance: v.string(),
        configuration: v.optional(v.custom<ServingConfiguration>(value => typeof value === "object")),
        targets: v.optional(v.custom<NonNullable<StoreNews["targets"]>>(value => typeof value === "object")),
        zones: v.optional(v.custom<ZoneSnapshot>(value => typeof value === "object")),
    }),
    v.object({ kind: v.literal("ask"), address: v.string(), versions: VersionsSchema }),
    v.object({
        kind: v.literal("belief"),
        instance: v.string(),
        configuration: v.optional(v.custom<ServingConfiguration>(value => typeof value === "object")),
        targets: v.optional(v.custom<TargetSnapshot>(value => typeof value === "object")),
        zones: v.optional(v.custom<ZoneSnapshot>(value => typeof value === "object")),
        peers: v.record(v.string(), v.string()),
    }),
]);

/** Parses a message of a peer; `undefined` where it is none. */
export function parsePeerMessage(message: unknown): PeerMessage | undefined {
    const result = v.safeParse(MessageSchema, message);
    return result.success ? result.output as PeerMessage : undefined;
}
