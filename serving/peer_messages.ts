/**
 * Messages between the serving processes of different instances.
 *
 * @module
 */
import * as v from "valibot";
import {
    type CrashEvidence,
    EMPTY_CRASH_EVIDENCE,
    type LineStatement,
    type LoadDigest,
    type QuarantinedPart,
    type RolloutReport,
    type RolloutSnapshot,
    RolloutState,
    type ServingConfiguration,
    type StorePosition,
    type TargetSnapshot,
    type TargetStart,
    type ToldLoads,
    type ToldRateStatement,
    type ToldRefusalStatement,
    type ToldSpeeds,
    type ZoneSnapshot,
} from "../core/serving/mod.ts";
import {
    ColdTimeSchema,
    IdentifierSchema,
    NameSchema,
    SlotsSchema,
    TargetAddressSchema,
    UnixTimeSchema,
} from "../platform/mod.ts";
import type { StoreUpdate } from "./serving_state.ts";

/** Versions of the state that an instance has. */
export interface StateVersions {
    /** Version of the configuration; -1 if it has none. */
    configuration: number;
    /** Revision of the latest change to the list of targets; 0 if it is unknown. */
    targets: number;
    /** Era of the store for that revision; instances that do not know of eras leave it out, which counts as 0. */
    targetsEra: number;
    /** Revision of the latest change to the evacuated zones; -1 if they are unknown. */
    zones: number;
    /** Era of the store for that revision; instances that do not know of eras leave it out, which counts as 0. */
    zonesEra: number;
    /** Revision of the latest change to the rollouts, and its era; absent where there are none. */
    rollouts?: StorePosition | undefined;
}

/** Message with the load that the sender's requests put on engines and the versions of its state. */
export interface DigestMessage {
    /** Type of the message on the wire. */
    kind: "digest";
    /** Name of the sender. */
    instance: string;
    /** Address at which peers reach the sender. */
    address: string;
    /** Load that the sender's requests put on each engine. */
    work: LoadDigest;
    /** Identifiers of targets that the sender has recently failed to connect to. */
    unreachable: string[];
    /** Targets that have announced their shutdown in a response to the sender. */
    leaving: TargetStart[];
    /** Identifiers of targets that want no requests from the sender for now. */
    paused: string[];
    /** What targets have lately stated to the sender about the request rate that they accept. */
    rateStatements: ToldRateStatement[];
    /** What targets have lately stated to the sender about the requests that they refuse, and their latest refusals. */
    refusalStatements: ToldRefusalStatement[];
    /** Durations of a step that the sender has measured at engines since it last told; absent if there is nothing new. */
    speeds?: ToldSpeeds | undefined;
    /** Loads that targets of plain services have lately stated to the sender; absent likewise. */
    loads?: ToldLoads | undefined;
    /** Crashes that the sender has observed, and what it knows of parts of prompts under suspicion. */
    promptEvidence: CrashEvidence;
    /** What the sender has counted about rollouts; absent if that has not changed, or there are none. */
    rolloutReports?: RolloutReport[] | undefined;
    /** Software versions whose streams are not recorded, by service, as far as the sender relies on them. */
    baselines: Record<string, string>;
    /** Requests that wait or were refused at the sender, by service; empty while there is room. */
    lines: Record<string, LineStatement>;
    /** Versions of the sender's state. */
    versions: StateVersions;
    /** True if the sender watches the store and all its watches work. */
    isWatching: boolean;
    /** Address at which the sender takes requests of callers; empty while it reaches no target, or stops. */
    relayAddress: string;
    /** Availability zone of the sender; absent in messages of builds that relay no digests. */
    zone?: string | undefined;
}

/** Message that forwards an update of the store to peers that do not watch it. */
export interface UpdateMessage extends StoreUpdate {
    /** Type of the message on the wire. */
    kind: "news";
    /** Name of the sender. */
    instance: string;
}

/** Message that requests state newer than the sender's from a peer. */
export interface StateRequestMessage {
    /** Type of the message on the wire. */
    kind: "ask";
    /** Address at which peers reach the sender. */
    address: string;
    /** Versions of the sender's state. */
    versions: StateVersions;
}

/** Reply to a {@linkcode StateRequestMessage} with the state that is newer than the requester's. */
export interface StateMessage {
    /** Type of the message on the wire. */
    kind: "belief";
    /** Name of the sender. */
    instance: string;
    /** Configuration, if the sender's is newer. */
    configuration?: ServingConfiguration;
    /** List of targets, if the sender's is newer. */
    targets?: TargetSnapshot;
    /** Evacuated zones, if the sender's list is newer. */
    zones?: ZoneSnapshot;
    /** Rollouts, if the sender's list is newer. */
    rollouts?: RolloutSnapshot;
    /** Parts of prompts that the sender holds in quarantine; absent while it has not learnt them from the store. */
    quarantined?: QuarantinedPart[];
    /** Addresses of all instances known to the sender, by name. */
    peers: Record<string, string>;
    /** Availability zones of these instances, as far as they are known. */
    peerZones?: Record<string, string>;
}

/** Any message between instances. */
export type PeerMessage = DigestMessage | UpdateMessage | StateRequestMessage | StateMessage;

/** Version or revision; -1 if there is none. */
const VersionSchema = v.pipe(v.number(), v.safeInteger(), v.minValue(-1));
const CountSchema = v.pipe(v.number(), v.finite(), v.minValue(0));
const FiniteSchema = v.pipe(v.number(), v.finite());

const VersionsSchema = v.object({
    configuration: VersionSchema,
    targets: VersionSchema,
    targetsEra: v.optional(VersionSchema, 0),
    zones: VersionSchema,
    zonesEra: v.optional(VersionSchema, 0),
    rollouts: v.optional(v.object({ era: VersionSchema, revision: VersionSchema })),
});
const QuarantinedSchema = v.array(
    v.object({
        part: v.string(),
        remainingMilliseconds: FiniteSchema,
        crashes: CountSchema,
        firstCrashAgeMilliseconds: v.optional(FiniteSchema),
    }),
);
const CrashEvidenceSchema = v.object({
    crashes: v.array(v.object({
        part: v.string(),
        position: FiniteSchema,
        target: v.string(),
        startedAt: FiniteSchema,
        ageMilliseconds: FiniteSchema,
        runMilliseconds: v.optional(FiniteSchema, 0),
        repetition: v.optional(CountSchema, 0),
    })),
    sound: v.array(v.string()),
    soundAges: v.optional(v.array(FiniteSchema)),
    survivors: v.optional(v.array(v.object({ part: v.string(), count: CountSchema }))),
    quarantined: QuarantinedSchema,
});
const RateStatementSchema = v.object({
    id: v.string(),
    startedAt: FiniteSchema,
    requestsPerSecond: v.optional(CountSchema),
    sentAgoMilliseconds: FiniteSchema,
    heardAgoMilliseconds: FiniteSchema,
});
const RefusalStatementSchema = v.object({
    ...RateStatementSchema.entries,
    refusedAgoMilliseconds: v.optional(FiniteSchema),
});
/** Statement on one service; the limits are several times those of the sender. */
const LineStatementSchema = v.object({
    pressure: v.pipe(
        v.array(v.tuple([
            CountSchema,
            CountSchema,
            CountSchema,
            CountSchema,
            CountSchema,
            CountSchema,
            CountSchema,
            CountSchema,
        ])),
        v.maxLength(40),
    ),
    shares: v.pipe(v.array(v.tuple([v.string(), CountSchema, CountSchema])), v.maxLength(200)),
    refused: v.pipe(v.array(v.tuple([CountSchema, FiniteSchema, CountSchema, CountSchema])), v.maxLength(50)),
    sessions: v.pipe(v.array(CountSchema), v.maxLength(50)),
});
/** Statements by service; unusable ones count as none, so that the rest of the digest is used. */
const LineStatementsSchema = v.fallback(v.record(v.string(), LineStatementSchema), {});
/** Load on each target; one that is no load counts as none. */
const LoadDigestSchema = v.record(
    v.string(),
    v.fallback(v.tuple([CountSchema, CountSchema, CountSchema]), [0, 0, 0]),
);

/** Numbers on each target; those that are unusable count as none. */
const ToldSpeedsSchema = v.fallback(
    v.optional(v.record(v.string(), v.tuple([CountSchema, CountSchema, CountSchema]))),
    undefined,
);
const ToldLoadsSchema = v.fallback(
    v.optional(v.record(v.string(), v.tuple([CountSchema, CountSchema, CountSchema, CountSchema]))),
    undefined,
);

/** Targets; a peer of an earlier release may forward one that the store's adapter does not accept. */
const TargetsSchema = v.array(v.looseObject({ id: v.string() }));
const TargetSchema = v.object({
    id: IdentifierSchema,
    service: NameSchema,
    address: TargetAddressSchema,
    zone: NameSchema,
    slots: SlotsSchema,
    isLeaving: v.boolean(),
    coldMilliseconds: ColdTimeSchema,
    startedAt: UnixTimeSchema,
    softwareVersion: v.optional(v.string()),
    revision: v.optional(VersionSchema),
});
const SnapshotSchema = v.object({
    era: v.optional(VersionSchema),
    revision: VersionSchema,
    changeRevision: v.optional(VersionSchema),
    targets: v.pipe(TargetsSchema, v.filterItems(isUsableTarget)),
    missing: v.optional(v.array(v.object({ id: v.string(), remainingMilliseconds: CountSchema }))),
});
const TargetEventsSchema = v.pipe(
    v.object({
        era: v.optional(VersionSchema),
        from: VersionSchema,
        changeRevision: VersionSchema,
        revision: VersionSchema,
        changed: TargetsSchema,
        removed: v.array(v.string()),
    }),
    v.transform(events => {
        const changed = events.changed.filter(isUsableTarget);
        const unusable = events.changed.filter(target => !isUsableTarget(target)).map(({ id }) => id);
        return { ...events, changed, removed: [...events.removed, ...unusable] };
    }),
);
const ZonesSchema = v.object({
    era: v.optional(VersionSchema),
    revision: VersionSchema,
    changeRevision: VersionSchema,
    zones: v.array(v.string()),
    held: v.optional(v.array(v.string())),
});
const RolloutsSchema = v.object({
    era: VersionSchema,
    revision: VersionSchema,
    changeRevision: VersionSchema,
    orders: v.array(v.object({
        name: v.string(),
        revision: VersionSchema,
        service: NameSchema,
        softwareVersion: v.string(),
        durationMilliseconds: CountSchema,
        state: v.optional(v.enum(RolloutState)),
        ageMilliseconds: CountSchema,
    })),
});
const VersionCountsSchema = v.tuple([CountSchema, CountSchema, CountSchema, CountSchema, CountSchema]);
const RolloutReportSchema = v.object({
    name: v.string(),
    softwareVersion: v.string(),
    isBad: v.boolean(),
    requests: CountSchema,
    longRequests: CountSchema,
    sent: CountSchema,
    routes: v.record(v.string(), v.tuple([VersionCountsSchema, VersionCountsSchema])),
});
const ConfigurationSchema = v.looseObject({
    version: VersionSchema,
    routes: v.array(v.looseObject({ name: v.string(), host: v.string(), pathPrefix: v.string() })),
    services: v.array(v.looseObject({ name: v.string() })),
    limits: v.object({
        maxHeaderBytes: CountSchema,
        maxBodyBytes: CountSchema,
        headerTimeoutMilliseconds: CountSchema,
        idleTimeoutMilliseconds: CountSchema,
    }),
});

const MessageSchema = v.variant("kind", [
    v.object({
        kind: v.literal("digest"),
        instance: v.string(),
        address: TargetAddressSchema,
        work: LoadDigestSchema,
        unreachable: v.array(v.string()),
        leaving: v.optional(v.array(v.object({ id: v.string(), startedAt: v.number() })), []),
        paused: v.optional(v.array(v.string()), []),
        rateStatements: v.optional(v.array(RateStatementSchema), []),
        refusalStatements: v.optional(v.array(RefusalStatementSchema), []),
        speeds: ToldSpeedsSchema,
        loads: ToldLoadsSchema,
        promptEvidence: v.optional(CrashEvidenceSchema, EMPTY_CRASH_EVIDENCE),
        baselines: v.optional(v.record(v.string(), v.string()), {}),
        rolloutReports: v.optional(v.array(RolloutReportSchema)),
        lines: v.optional(LineStatementsSchema, {}),
        versions: VersionsSchema,
        isWatching: v.boolean(),
        relayAddress: v.fallback(v.union([v.literal(""), TargetAddressSchema]), ""),
        zone: v.optional(v.string()),
    }),
    v.object({
        kind: v.literal("news"),
        instance: v.string(),
        configuration: v.optional(ConfigurationSchema),
        targets: v.optional(TargetEventsSchema),
        zones: v.optional(ZonesSchema),
        rollouts: v.optional(RolloutsSchema),
    }),
    v.object({ kind: v.literal("ask"), address: TargetAddressSchema, versions: VersionsSchema }),
    v.object({
        kind: v.literal("belief"),
        instance: v.string(),
        configuration: v.optional(ConfigurationSchema),
        targets: v.optional(SnapshotSchema),
        zones: v.optional(ZonesSchema),
        rollouts: v.optional(RolloutsSchema),
        quarantined: v.optional(QuarantinedSchema),
        peers: v.pipe(v.record(v.string(), v.string()), v.transform(filterPeers)),
        peerZones: v.optional(v.record(v.string(), v.string())),
    }),
]);

function isUsableTarget(target: unknown): boolean {
    return v.is(TargetSchema, target);
}

/** Filters the peers with an address to which connections can be opened. */
function filterPeers(peers: Record<string, string>): Record<string, string> {
    return Object.fromEntries(Object.entries(peers).filter(([, address]) => v.is(TargetAddressSchema, address)));
}

/** Parses a message from a peer; returns `undefined` if it is malformed. */
export function parsePeerMessage(message: unknown): PeerMessage | undefined {
    const result = v.safeParse(MessageSchema, message);
    return result.success ? result.output as PeerMessage : undefined;
}
