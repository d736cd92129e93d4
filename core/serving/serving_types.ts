/**
 * Types of the configuration, the targets and the requests that the serving process works with.
 *
 * Instances send configurations and targets to each other with these field names.
 *
 * @module
 */

/** Whether and how a failed request on a route may be retried. */
export const RouteKind = {
    /** Requests may run any number of times. */
    idempotent: "idempotent",
    /** Each request runs at most once. */
    once: "once",
    /** The response to each request is a stream of events. */
    stream: "stream",
} as const;

/** One of the values of {@linkcode RouteKind}. */
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service and its share of a route's requests. */
export interface WeightedService {
    /** Name of the service. */
    service: string;
    /** Share of the requests, relative to the other weights of the route. */
    weight: number;
}

/** Routes requests with a certain host and path prefix to services. */
export interface Route {
    /** Name of the route. */
    name: string;
    /** Host that callers request. */
    host: string;
    /** Prefix of the paths that belong to the route. */
    pathPrefix: string;
    /** Whether and how failed requests may be retried. */
    kind: RouteKind;
    /** Timeout of a request, from its arrival, in milliseconds; `undefined` for no limit. */
    timeoutMilliseconds: number | undefined;
    /** Latency objective: time within which a response should arrive, in milliseconds. */
    objectiveMilliseconds: number;
    /** Priority of the requests; 0 is the highest. */
    priority: number;
    /** Services that process the requests. */
    services: WeightedService[];
    /** Maximum number of targets on which one request may run. */
    maxAttempts: number;
    /** True if callers need no API key. */
    isPublic: boolean;
    /** True if a stream may be resumed at another target. */
    isResumable: boolean;
    /** Objective for the pause between events of a stream, in milliseconds; `undefined` if none is set. */
    maxGapMilliseconds: number | undefined;
}

/** Capacity of a service's engines, and whether they can move running generations. */
export interface EngineLimits {
    /** Requests that run at the same time. */
    slots: number;
    /** Capacity of the KV cache, in tokens. */
    memoryTokens: number;
    /** Tokens in one event of a stream. */
    tokensPerEvent: number;
    /** Time to copy the KV cache of one token to another engine of the same zone, in milliseconds. */
    copyMillisecondsPerToken: number;
    /** True if a running generation can be moved to another engine. */
    canMove: boolean;
}

/** A service, which is a set of interchangeable targets. */
export interface ServiceDefinition {
    /** Name of the service. */
    name: string;
    /** Connections that one target accepts from all instances together. */
    maxConnections: number;
    /**
     * Requests per second that one target accepts while it is cold, that is, for a time after its start; 0 for no
     * limit.
     */
    coldRequestsPerSecond: number;
    /** Limits of the service's engines; `undefined` for a plain service, whose targets are not engines. */
    engine: EngineLimits | undefined;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
    /** Maximum size of the headers, in bytes. */
    maxHeaderBytes: number;
    /** Maximum size of a body, in bytes. */
    maxBodyBytes: number;
    /** Time within which the headers have to be complete, in milliseconds. */
    headerTimeoutMilliseconds: number;
    /** Time after which an idle connection is closed, in milliseconds. */
    idleTimeoutMilliseconds: number;
}

/** A client account with its API keys. */
export interface ClientAccount {
    /** Name of the account. */
    name: string;
    /** Priority of the account's requests, which overrides the route's; `undefined` if none is set. */
    priority: number | undefined;
    /** API keys, which callers send as bearer tokens. */
    keys: string[];
}

/** A complete configuration, as set by the operators. */
export interface ServingConfiguration {
    /** Version, which increases with each change. */
    version: number;
    /** Routes. */
    routes: Route[];
    /** Services. */
    services: ServiceDefinition[];
    /** Limits on callers' requests and connections. */
    limits: CallerLimits;
    /** Client accounts; `undefined` if requests carry no API keys. */
    accounts: ClientAccount[] | undefined;
}

/** A target, as the platform lists it. */
export interface ServingTarget {
    /** Identifier of the target; a new start time under the same identifier means that the target has restarted. */
    id: string;
    /** Service that the target belongs to. */
    service: string;
    /** Address as `IP:port`. */
    address: string;
    /** Availability zone. */
    zone: string;
    /** Requests that the target processes at the same time. */
    slots: number;
    /** True if the target has announced that it is about to shut down. */
    isLeaving: boolean;
    /**
     * Time for which the target will still be cold, as of the last change to its object in the store, in milliseconds.
     */
    coldMilliseconds: number;
    /** Time at which the target last started, in Unix milliseconds; 0 if unknown. */
    startedAt: number;
    /**
     * Version of the target's software; `undefined` if it is not known. Targets of several versions may serve side by side,
     * and the parts of a stream that two of them generate do not fit together.
     */
    softwareVersion?: string | undefined;
    /** Revision of the store at which the target's object was last changed; `undefined` if it is not known. */
    revision?: number;
}

/** Gets the version of a target's software; an unknown one counts as a version of its own, which is empty. */
export function getSoftwareVersion({ softwareVersion }: Pick<ServingTarget, "softwareVersion">): string {
    return softwareVersion ?? "";
}

/** One start of a target. */
export type TargetStart = Pick<ServingTarget, "id" | "startedAt">;

/** Size of a generation, as its request states it. */
export interface GenerationSize {
    /** Tokens of the prompt. */
    promptTokens: number;
    /** Maximum number of output tokens. */
    maxOutputTokens: number;
    /** Caller's estimate of the output tokens; `undefined` if the caller gives none. */
    hintTokens: number | undefined;
}
