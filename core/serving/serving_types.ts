/**
 * What the serving process knows: configuration, targets and requests, in the project's own words.
 *
 * @module
 */

/** What may be repeated when a request fails. */
export const RouteKind = {
    /** May run any number of times. */
    idempotent: "idempotent",
    /** Runs at most once for each request. */
    once: "once",
    /** Answers with a series of events. */
    stream: "stream",
} as const;

/** One of the values of {@linkcode RouteKind}. */
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service and its share of a route's requests. */
export interface WeightedService {
    /** Name of the service. */
    service: string;
    /** Share, relative to the other weights of the route. */
    weight: number;
}

/** Leads requests of a host and path to a service. */
export interface Route {
    /** Name of the route. */
    name: string;
    /** Host that callers name. */
    host: string;
    /** Start of the paths that belong to the route. */
    pathPrefix: string;
    /** What may be repeated. */
    kind: RouteKind;
    /** Longest time for which a request may be kept waiting, in milliseconds; `undefined` for no bound. */
    timeoutMilliseconds: number | undefined;
    /** Time in which an answer is worth most, in milliseconds. */
    objectiveMilliseconds: number;
    /** Rank; 0 is the most urgent. */
    priority: number;
    /** Services that take the requests. */
    services: WeightedService[];
    /** Most targets on which one request may run. */
    maxAttempts: number;
    /** True where no key is asked for. */
    isPublic: boolean;
    /** True where a stream may go on at another target. */
    isResumable: boolean;
    /** Longest pause between events of a timely stream, in milliseconds; `undefined` where none is set. */
    maxGapMilliseconds: number | undefined;
}

/** What a model engine of a service can hold and move. */
export interface EngineLimits {
    /** Requests that run at one time. */
    slots: number;
    /** Tokens that fit in memory. */
    memoryTokens: number;
    /** Tokens in one event of a stream. */
    tokensPerEvent: number;
    /** Time to copy one token's memory to another engine of the same zone, in milliseconds. */
    copyMillisecondsPerToken: number;
    /** True where a running request can be moved to another engine. */
    canMove: boolean;
}

/** A kind of target. */
export interface ServiceDefinition {
    /** Name of the service. */
    name: string;
    /** Connections that one target accepts from all instances together. */
    maxConnections: number;
    /** Requests a second that a cold target bears; 0 for no bound. */
    coldRequestsPerSecond: number;
    /** Limits of the engine; `undefined` for a plain service. */
    engine: EngineLimits | undefined;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
    /** Most bytes of headers. */
    maxHeaderBytes: number;
    /** Most bytes of a body. */
    maxBodyBytes: number;
    /** Time in which headers must be complete, in milliseconds. */
    headerTimeoutMilliseconds: number;
    /** Time for which an idle connection is kept, in milliseconds. */
    idleTimeoutMilliseconds: number;
}

/** A client account with its keys. */
export interface ClientAccount {
    /** Name of the account. */
    name: string;
    /** Rank, which goes before the route's; `undefined` where none is set. */
    priority: number | undefined;
    /** Bearer keys. */
    keys: string[];
}

/** The operators' configuration, whole. */
export interface ServingConfiguration {
    /** Version, which only grows. */
    version: number;
    /** Routes. */
    routes: Route[];
    /** Services. */
    services: ServiceDefinition[];
    /** Bounds on callers. */
    limits: CallerLimits;
    /** Client accounts; `undefined` where requests carry no keys. */
    accounts: ClientAccount[] | undefined;
}

/** One incarnation of a target, as the platform lists it. */
export interface ServingTarget {
    /** Identity of this incarnation. */
    id: string;
    /** Service that it belongs to. */
    service: string;
    /** Address as `IP:port`. */
    address: string;
    /** Availability zone. */
    zone: string;
    /** Requests that it processes at one time. */
    slots: number;
    /** True once it has said that it leaves. */
    isLeaving: boolean;
    /** How much longer it is cold, in milliseconds, when the entry was written. */
    coldMilliseconds: number;
    /** Start of the incarnation, in Unix milliseconds; 0 where unknown. */
    startedAt: number;
}

/** What a request for a generation says about its size. */
export interface GenerationSize {
    /** Tokens of the prompt. */
    promptTokens: number;
    /** Most tokens of the output. */
    maxOutputTokens: number;
    /** Caller's estimate of the output, in tokens; `undefined` where it gives none. */
    hintTokens: number | undefined;
}
