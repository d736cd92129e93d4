/**
 * Explains where this instance would send a request at present, and why, without sending it.
 *
 * Routing, quarantines, selection and admission are those of callers' requests; the selection reports how it judges each
 * target.
 *
 * @module
 */
import {
    type CandidateExclusion,
    type ClientAccount,
    isAcceptedDuringShutdown,
    type Route,
    RouteKind,
    type ScoreParts,
    type ServiceDefinition,
    type ServingTarget,
    type TargetCandidate,
} from "../core/serving/mod.ts";
import { type CallerRequest, decodeDescribedRequest } from "../platform/mod.ts";
import {
    buildReservationRequest,
    chooseVersions,
    computeDeadline,
    estimateRequestLoad,
    listVersionChoices,
    type ServingContext,
} from "./caller_exchange.ts";
import { buildRequestPrefix } from "./prompt_prefix.ts";
import { describeQuarantine, findQuarantine } from "./quarantine_refusal.ts";
import { buildRequestOrigin } from "./request_origin.ts";
import type { PlacementDecision, ReservationRequest } from "./request_scheduler.ts";
import { EMPTY_REQUEST_LOAD } from "./unary_call.ts";

/** How the selection judges one target. */
export interface TargetExplanation {
    /** Identifier of the target. */
    target: string;
    /** Availability zone. */
    zone: string;
    /** Version of the target's software; absent if it is not known. */
    softwareVersion?: string | undefined;
    /** Score, of which the lowest is selected; absent if the target cannot be selected. */
    score?: number;
    /** Parts of the score; absent with it. */
    parts?: ScoreParts;
    /** Why the target cannot be selected; absent if it can. */
    exclusion?: CandidateExclusion | "leaving" | "zone evacuated";
    /** Load that the score is computed from; absent if the target accepts no new requests. */
    load?: TargetCandidate["load"];
    /** Tokens of the prompt that the target is believed to have cached. */
    heldTokens?: number;
    /** Duration of work on the target's machine at present, as a multiple of the usual one; 1 if unknown. */
    pace?: number;
    /** Mean of the paces that the target has stated; absent unless its service is paced. */
    meanPace?: number;
    /** Duration of an engine's step as a multiple of the usual one; absent likewise. */
    stepFactor?: number;
    /** Ages of what is known of the target, in milliseconds; an input that does not exist is absent. */
    agesMilliseconds?: { load?: number; pace?: number; cache?: number; };
}

/** Where a request would go if its route picked one of its services. */
export interface ServiceExplanation {
    /** Name of the service. */
    service: string;
    /** Share of the route's requests that the service gets. */
    share: number;
    /** True if targets of the service state their pace, so that cached parts count. */
    isPaced: boolean;
    /** Software version that the targets must have; absent for any. */
    softwareVersion?: string;
    /** Where the request would go, or why it would wait or be refused. */
    decision: PlacementDecision;
    /** How each target of the service is judged: those that can be selected first, by their score. */
    targets: TargetExplanation[];
}

/** Where a request would go, and why. */
export interface RequestExplanation {
    /** Reason why the instance is not ready; empty if it is. */
    readiness: string;
    /** True if the instance reaches no target, so that it hands requests over to a peer. */
    isPartitioned: boolean;
    /** The request as it was understood. */
    request: Pick<CallerRequest, "host" | "path" | "model" | "size" | "promptParts" | "promptPartTokens">;
    /** Name of the account; absent if none was given. */
    account?: string;
    /** Why the request would be refused before a target is selected; absent if it would not. */
    refusal?: string;
    /** Route; absent if none matches. */
    route?: Pick<Route, "name" | "kind" | "objectiveMilliseconds">;
    /** Priority; absent if no route matches. */
    priority?: number;
    /** Where the request would go, for each service of the route. */
    services: ServiceExplanation[];
    /** Versions and ages of what the decision is based on. */
    inputs: {
        configuration: number | undefined;
        targetsRevision: number;
        evacuatedZones: string[];
        instances: number;
        /** Number of peers with a digest, and the lowest and highest age of their latest ones, in milliseconds. */
        digests: { peers: number; newestMilliseconds?: number; oldestMilliseconds?: number; };
    };
}

/**
 * Explains where a request would go.
 *
 * The parameters are `host`, `path`, `account`, `model`, `prompt`, `output`, `parts` and `deadline`.
 */
export function buildRequestExplanation(
    context: ServingContext,
    { parameters, readiness }: { parameters: URLSearchParams; readiness: string; },
): RequestExplanation {
    const { state, partitionMonitor } = context;
    const accountName = parameters.get("account") ?? undefined;
    const account = state.table?.configuration.accounts?.find(({ name }) => name === accountName);
    const request = decodeDescribedRequest(parameters, account?.keys[0]);
    const { host, path, model, size, promptParts, promptPartTokens } = request;
    const explanation: RequestExplanation = {
        readiness,
        isPartitioned: partitionMonitor.isPartitioned,
        request: { host, path, model, size, promptParts, promptPartTokens },
        ...accountName === undefined ? {} : { account: accountName },
        services: [],
        inputs: describeInputs(context),
    };
    if (state.table === undefined || state.unreadyReason !== "") {
        return { ...explanation, refusal: state.unreadyReason };
    }
    if (accountName !== undefined && account === undefined) {
        return { ...explanation, refusal: `no account has the name ${accountName}` };
    }
    const result = state.table.findRoute(request);
    if (result.kind !== "routed") {
        const refusal = result.kind === "no-route"
            ? "no route matches this host and path"
            : "the route needs an account";
        return { ...explanation, refusal };
    }
    const { route, priority } = result;
    const { name, kind, objectiveMilliseconds } = route;
    const routed = { ...explanation, route: { name, kind, objectiveMilliseconds }, priority };
    const refusal = findEarlyRefusal(context, { request, route });
    if (refusal !== undefined) {
        return { ...routed, refusal };
    }
    const totalWeight = route.services.reduce((sum, { weight }) => sum + Math.max(0, weight), 0);
    const services = route.services.flatMap(({ service: serviceName, weight }) => {
        const service = state.table?.findService(serviceName);
        const share = totalWeight > 0 ? Math.max(0, weight) / totalWeight : 0;
        return service === undefined
            ? []
            : [buildServiceExplanation(context, { request, account, route, priority, service, share })];
    });
    return { ...routed, services, ...services.length > 0 ? {} : { refusal: "the route names no known service" } };
}

/** Finds out why a request would be refused before a target is selected. */
function findEarlyRefusal(
    { state, clock, getShutdown }: ServingContext,
    { request, route }: { request: CallerRequest; route: Route; },
): string | undefined {
    const shutdown = getShutdown();
    const { objectiveMilliseconds } = route;
    const { outputTokens } = estimateRequestLoad(request);
    const arrivedAt = clock.getMonotonic();
    const deadlineMilliseconds = computeDeadline({ request, arrivedAt }, route) - arrivedAt;
    if (
        shutdown !== undefined
        && !isAcceptedDuringShutdown({ ...shutdown, deadlineMilliseconds, objectiveMilliseconds, outputTokens })
    ) {
        return `this instance stops in ${Math.round(shutdown.remainingMilliseconds)} ms`;
    }
    // The body is not known, so that a quarantine of the whole request is not found.
    const quarantined = findQuarantine(state, {
        fingerprint: "",
        sharedPromptParts: request.promptParts.slice(0, -1),
    });
    return quarantined === undefined ? undefined : describeQuarantine(quarantined);
}

function buildServiceExplanation(
    context: ServingContext,
    options: {
        request: CallerRequest;
        account: ClientAccount | undefined;
        route: Route;
        priority: number;
        service: ServiceDefinition;
        share: number;
    },
): ServiceExplanation {
    const { request, account, route, priority, service, share } = options;
    const { state, clock, scheduler } = context;
    const arrivedAt = clock.getMonotonic();
    const exchange = {
        ...{ service, route, priority, arrivedAt },
        origin: buildRequestOrigin(request, {
            account: account?.name,
            route: route.name,
            zone: context.zone,
            fingerprint: "",
        }),
        promptPrefix: buildRequestPrefix(state, { service, request }),
        deadline: computeDeadline({ request, arrivedAt }, route),
        signal: new AbortController().signal,
    };
    const requestLoad = route.kind === RouteKind.stream ? estimateRequestLoad(request) : EMPTY_REQUEST_LOAD;
    let explanation: ServiceExplanation | undefined;
    for (const reservation of listReservationRequests(context, { exchange, requestLoad, avoid: new Set() })) {
        const { softwareVersion } = reservation;
        const targets: TargetExplanation[] = [];
        const decision = scheduler.decidePlacement(reservation, {
            recordScore: (candidate, score, parts) =>
                targets.push({ ...describeCandidate(context, candidate), score, parts }),
            recordExclusion: (candidate, exclusion) =>
                targets.push({ ...describeCandidate(context, candidate), exclusion }),
        });
        targets.sort((a, b) => (a.score ?? Infinity) - (b.score ?? Infinity));
        explanation = {
            service: service.name,
            share,
            isPaced: state.targetPace.isPaced(service.name),
            ...softwareVersion === undefined ? {} : { softwareVersion },
            decision,
            targets: [...targets, ...listUnavailableTargets(context, service)],
        };
        if (decision.kind === "placed") {
            break;
        }
    }
    if (explanation === undefined) {
        throw new Error(`Cannot explain the request: no version of ${service.name} is to be tried.`);
    }
    return explanation;
}

/** Lists the requests for a target that are tried one after the other; a rollout may prefer some targets. */
function* listReservationRequests(
    context: ServingContext,
    attempt: Omit<Parameters<typeof buildReservationRequest>[1], "softwareVersion">,
): Generator<ReservationRequest> {
    for (const softwareVersion of listVersionChoices(context, attempt.exchange)) {
        const versioned = { ...attempt, softwareVersion };
        const request = buildReservationRequest(context, versioned);
        const versions = chooseVersions(context, versioned, { isFirst: true, isCounted: false });
        if (versions?.isPreferred !== undefined) {
            yield { ...request, isAllowed: versions.isPreferred };
        }
        yield { ...request, isAllowed: versions?.isAllowed, allowedName: versions?.name };
    }
}

function describeCandidate(
    { state, clock }: ServingContext,
    { target, load, pace, heldTokens = 0 }: TargetCandidate,
): TargetExplanation {
    const now = clock.getMonotonic();
    const digestAges = state.loadTracker.listDigestAges(now, target.id);
    const statedAt = state.targetPace.findStatementTime(target.id);
    const readAt = state.prefixCache.findLastRead(target);
    return {
        ...describeTarget(target),
        load,
        heldTokens,
        pace: state.targetPace.estimateFactor(target.id, now),
        ...pace === undefined ? {} : { meanPace: pace.meanPace, stepFactor: pace.stepFactor },
        agesMilliseconds: {
            ...digestAges.length === 0 ? {} : { load: Math.round(Math.max(...digestAges)) },
            ...statedAt === undefined ? {} : { pace: Math.round(now - statedAt) },
            ...readAt === undefined ? {} : { cache: Math.round(now - readAt) },
        },
    };
}

function listUnavailableTargets({ state }: ServingContext, service: ServiceDefinition): TargetExplanation[] {
    return state.directory.listTargets().flatMap(target => {
        const exclusion = target.service === service.name ? state.directory.findUnavailability(target) : undefined;
        return exclusion === undefined ? [] : [{ ...describeTarget(target), exclusion }];
    });
}

function describeTarget(
    { id, zone, softwareVersion }: ServingTarget,
): Pick<TargetExplanation, "target" | "zone" | "softwareVersion"> {
    return { target: id, zone, ...softwareVersion === undefined ? {} : { softwareVersion } };
}

function describeInputs({ state, clock }: ServingContext): RequestExplanation["inputs"] {
    const ages = state.loadTracker.listDigestAges(clock.getMonotonic());
    return {
        configuration: state.table?.configuration.version,
        targetsRevision: state.directory.revision,
        evacuatedZones: [...state.directory.evacuatedZones],
        instances: state.instances,
        digests: {
            peers: ages.length,
            ...ages.length === 0 ? {} : {
                newestMilliseconds: Math.round(Math.min(...ages)),
                oldestMilliseconds: Math.round(Math.max(...ages)),
            },
        },
    };
}
