/**
 * Types and functions that the handlers of unary and of streaming requests share.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Clock } from "../core/clock/mod.ts";
import {
    type AnswerKind,
    type ClientAccount,
    type PlacementEstimate,
    type PrefixPart,
    type RequestLoad,
    type RequestOrigin,
    type Route,
    RouteKind,
    type ServiceDefinition,
    type ServingTarget,
    type ShutdownState,
    type VersionChoice,
} from "../core/serving/mod.ts";
import type { Verdict } from "../core/verdict/mod.ts";
import { sendJson } from "../network/mod.ts";
import { describeError, ERROR_STATUS, type ErrorCode, ServingError } from "../network/serving_error.ts";
import {
    type CallerRequest,
    encodeLocalResponseHeaders,
    encodeTargetHeaders,
    type TargetRequestOptions,
    type TargetResponseHead,
} from "../platform/mod.ts";
import type { DecisionLog } from "../telemetry/mod.ts";
import type { EngineClient } from "./engine_client.ts";
import type { PartitionMonitor } from "./partition_monitor.ts";
import type { RequestScheduler, Reservation, ReservationRequest, ReservationResult } from "./request_scheduler.ts";
import type { ServingMetrics } from "./serving_metrics.ts";
import type { ServingState } from "./serving_state.ts";
import type { StreamVersionStore } from "./stream_version_store.ts";
import type { TargetCall, TargetConnections } from "./target_connections.ts";
import type { TargetProbe } from "./target_probe.ts";

/** Dependencies that all request handlers of a serving process share. */
export interface ServingContext {
    /** Configuration, targets and zones as this instance knows them. */
    state: ServingState;
    /** Reserves targets for requests. */
    scheduler: RequestScheduler;
    /** Connections to targets. */
    connections: TargetConnections;
    /** Calls to the control endpoints of engines. */
    engines: EngineClient;
    /** Finds out whether targets have ended. */
    targetProbe: TargetProbe;
    /** Software versions of streams, which last in the store. */
    streamVersions: StreamVersionStore;
    /** Finds out whether this instance is partitioned from all targets. */
    partitionMonitor: PartitionMonitor;
    /** Lists the addresses at which other instances that reach targets take callers' requests. */
    listRelayPeers: () => string[];
    /** Decision log. */
    log: DecisionLog;
    /** Counters and histograms. */
    metrics: ServingMetrics;
    /** Availability zone of this instance. */
    zone: string;
    /** Source of time. */
    clock: Clock;
    /** Random number generator that returns numbers from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    /** State of the shutdown; `undefined` unless the process is stopping. */
    getShutdown: () => ShutdownState | undefined;
}

/** A caller's request after routing, together with its response. */
export interface CallerExchange {
    /** Request of the caller. */
    request: CallerRequest;
    /** Response to the caller. */
    response: ServerResponse;
    /** Route that matches the request. */
    route: Route;
    /** Service that handles the request. */
    service: ServiceDefinition;
    /**
     * Parts of the prompt that other requests may share: all but the last; empty unless engines handle the request.
     */
    sharedPromptParts: readonly string[];
    /** Keys of the prompt's parts, which tell the engines that have them cached; empty if the service is not paced. */
    promptPrefix: readonly PrefixPart[];
    /** Fingerprint of the request: the same for requests of one account with the same method, host, path and body. */
    fingerprint: string;
    /** Who sent the request, for the order in which requests are served. */
    origin: RequestOrigin;
    /** Account of the caller; `undefined` if the request needs no API key. */
    account: ClientAccount | undefined;
    /** Priority of the account or, if it has none, of the route; 0 is the highest. */
    priority: number;
    /** Version of the configuration that the request was routed by. */
    version: number;
    /** Time of arrival, on the monotonic clock in milliseconds. */
    arrivedAt: number;
    /** Time at which the timeout of the caller or of the route expires, on the same clock. */
    deadline: number;
    /** Aborted when the caller has disconnected or the deadline has passed. */
    signal: AbortSignal;
    /** Checks whether the caller has disconnected. */
    isCallerDisconnected: () => boolean;
}

/** Log entry for one attempt at a target. */
export interface AttemptRecord {
    /** Identifier of the target. */
    target: string;
    /** Version of the target's software; absent if it is not known. */
    softwareVersion?: string;
    /** Status of the response, result of the attempt, or reason for its failure. */
    result: string;
    /** Score of the target when it was selected: its load, where 1 is full, plus penalties. */
    load: number;
    /** Estimates that the target of a paced service was selected by; absent for others. */
    estimate?: PlacementEstimate;
    /** Tokens of the prompt that the target was believed to have cached; absent if none. */
    heldTokens?: number;
    /** Duration of the attempt, in milliseconds. */
    milliseconds: number;
    /** Time from the start of the attempt to the head of the response, in milliseconds; absent if no head arrived. */
    headMilliseconds?: number;
    /** Number of events that the attempt has sent to the caller; absent unless the response is a stream. */
    events?: number;
    /** True if the target was found to have crashed; absent otherwise. */
    hasCrashedTarget?: true;
}

/** Maximum number of a prompt's parts in a log line; a prompt may have many more. */
const MAX_LOGGED_PROMPT_PARTS = 12;

/** Requests whose first attempt has been counted for a rollout. */
const countedExchanges = new WeakSet<CallerExchange>();
/** Largest pace by which times are divided, so that a version that is slow itself still shows. */
const MAX_PACE = 2.5;
/** Output tokens from which a stream counts as long: it may run for longer than a rollout's last seconds. */
const LONG_OUTPUT_TOKENS = 100;
/** Part of a caller's timeout that is reserved for sending the response, in milliseconds. */
const RESPONSE_RESERVE_MILLISECONDS = 15;
/** Timeout of a request whose caller sets none, in milliseconds. */
export const DEFAULT_CALLER_TIMEOUT_MILLISECONDS = 60_000;

/** Computes the time at which the timeout of the caller or of the route expires. */
export function computeDeadline(
    call: { request: Pick<CallerRequest, "timeoutMilliseconds">; arrivedAt: number; },
    route: Route,
): number {
    const callerTimeout = call.request.timeoutMilliseconds ?? DEFAULT_CALLER_TIMEOUT_MILLISECONDS;
    const usableTime = Math.max(1, callerTimeout - RESPONSE_RESERVE_MILLISECONDS);
    return call.arrivedAt + Math.min(usableTime, route.timeoutMilliseconds ?? usableTime);
}

/** An attempt at a caller's request, as far as its target is selected by it. */
type PlannedAttempt = Pick<ReservationRequest, "requestLoad" | "avoid" | "softwareVersion"> & {
    exchange: Pick<
        CallerExchange,
        "service" | "route" | "priority" | "origin" | "promptPrefix" | "arrivedAt" | "deadline" | "signal"
    >;
};

/** Reserves a target for one attempt at a request. */
export async function reserveForAttempt(
    context: ServingContext,
    attempt: PlannedAttempt & { exchange: CallerExchange; },
): Promise<ReservationResult> {
    const { scheduler, state, metrics } = context;
    const { exchange } = attempt;
    const request = buildReservationRequest(context, attempt);
    const versions = chooseVersions(context, attempt, { isFirst: !countedExchanges.has(exchange), isCounted: true });
    countedExchanges.add(exchange);
    const preferred = versions?.isPreferred === undefined
        ? undefined
        : scheduler.reserveTargetNow({ ...request, isAllowed: versions.isPreferred });
    const result: ReservationResult = preferred === undefined
        ? await scheduler.reserveTarget({ ...request, isAllowed: versions?.isAllowed, allowedName: versions?.name })
        : { kind: "placed", reservation: preferred };
    if (result.kind === "placed") {
        const { target, estimate } = result.reservation;
        state.rollouts?.recordSend(exchange.route.name, target);
        if (estimate !== undefined) {
            metrics.countPacedSelection(exchange.service.name, estimate.ageMilliseconds);
        }
    }
    return result;
}

/**
 * Chooses the targets that a rollout allows for an attempt; `undefined` for all. The attempt counts as exposure and as a
 * request only if `isCounted` is true.
 */
export function chooseVersions(
    { state, clock }: Pick<ServingContext, "state" | "clock">,
    { exchange: { service, route }, requestLoad, softwareVersion }: PlannedAttempt,
    { isFirst, isCounted }: { isFirst: boolean; isCounted: boolean; },
): VersionChoice | undefined {
    return state.chooseVersions({
        service: service.name,
        route: route.name,
        isLong: route.kind === RouteKind.stream && !(requestLoad.outputTokens < LONG_OUTPUT_TOKENS),
        isFirst,
        isCounted,
        softwareVersion,
        now: clock.getMonotonic(),
    });
}

/**
 * Lists the software versions at which a target for a request is looked for, one after the other; `undefined` stands for
 * any. A stream that has begun stays at its version.
 */
export function listVersionChoices(
    { streamVersions }: Pick<ServingContext, "streamVersions">,
    { route, service }: Pick<CallerExchange, "route" | "service">,
    softwareVersion?: string,
): (string | undefined)[] {
    const preferred = softwareVersion === undefined && route.isResumable
        ? streamVersions.getPreferredVersion(service.name)
        : undefined;
    return preferred === undefined ? [softwareVersion] : [preferred, softwareVersion];
}

/** Builds the request for a target for one attempt at a caller's request. */
export function buildReservationRequest(
    context: Pick<ServingContext, "clock">,
    attempt: PlannedAttempt,
): ReservationRequest {
    const { exchange, ...rest } = attempt;
    const { service, route, priority, origin, promptPrefix, arrivedAt, deadline, signal } = exchange;
    const now = context.clock.getMonotonic();
    return {
        ...rest,
        service,
        priority,
        origin,
        promptPrefix,
        objectiveMilliseconds: Math.max(0, arrivedAt + route.objectiveMilliseconds - now),
        gapMilliseconds: route.maxGapMilliseconds,
        remainingMilliseconds: deadline - now,
        signal,
    };
}

/** Records for a rollout how an attempt has ended. */
export function recordRolloutEnd(
    { state, clock }: ServingContext,
    exchange: CallerExchange,
    { target, kind }: { target: ServingTarget; kind: AnswerKind; },
): void {
    const end = { route: exchange.route.name, kind, now: clock.getMonotonic() };
    if (state.rollouts?.recordEnd(target, end) === true) {
        state.publishBadAnswer();
    }
}

/** Records for a rollout how long an answer, or the part of it with the given name, has taken. */
export function recordRolloutTime(
    { state, clock }: ServingContext,
    exchange: CallerExchange,
    { target, milliseconds, part = "" }: { target: ServingTarget; milliseconds: number; part?: string; },
): void {
    // Either version may run on a machine that is slow for a moment.
    const pace = Math.min(MAX_PACE, Math.max(1, state.targetPace.estimateFactor(target.id, clock.getMonotonic())));
    const time = { route: exchange.route.name + part, milliseconds: milliseconds / pace };
    if (state.rollouts?.recordTime(target, time) === true) {
        state.publishBadAnswer();
    }
}

/** Describes a finished attempt for the log. */
export function describeAttempt(
    reservation: Reservation,
    attempt: { result: string; startedAt: number; now: number; headAt: number | undefined; events?: number; },
): AttemptRecord {
    const { result, startedAt, now, headAt, events } = attempt;
    const { id, softwareVersion } = reservation.target;
    return {
        target: id,
        ...softwareVersion === undefined ? {} : { softwareVersion },
        result,
        load: Number(reservation.score.toFixed(2)),
        ...reservation.estimate === undefined ? {} : { estimate: reservation.estimate },
        ...reservation.heldTokens > 0 ? { heldTokens: reservation.heldTokens } : {},
        milliseconds: Math.round(now - startedAt),
        ...headAt === undefined ? {} : { headMilliseconds: Math.round(headAt - startedAt) },
        ...events === undefined ? {} : { events },
    };
}

/**
 * Checks whether a response has a status that callers understand as a refusal, although the target does not state that
 * it refused the request and may have run it.
 *
 * Such a response is not relayed: the caller could retry the request, and it would run twice.
 */
export function isUnconfirmedRefusal(head: TargetResponseHead): boolean {
    return [408, 421, 429, 503].includes(head.status) && !head.isRefusal;
}

/** Checks whether a response is a target's answer to a request: it is signed, and names the request. */
export function isOwnAnswer(head: TargetResponseHead, request: Pick<CallerRequest, "id">): boolean {
    return head.isSigned && head.requestId === request.id;
}

/**
 * Applies what a target states about itself in the head of a response.
 *
 * Only a response that belongs to its request and is signed shows that the target no longer limits the request
 * rate, or refusals.
 */
export function applyResponseNotice(
    { state }: ServingContext,
    exchange: CallerExchange,
    response: { target: ServingTarget; head: TargetResponseHead; sentAt: number; },
): void {
    const { target, head, sentAt } = response;
    state.applyTargetNotice(target, head);
    if (head.isForWantOfRoom) {
        state.recordRefusal(target);
    }
    const isOwn = isOwnAnswer(head, exchange.request);
    if (head.requestsPerSecond === undefined && isOwn) {
        state.recordRateStatement(target, { requestsPerSecond: undefined, sentAt });
    }
    if (head.refusalsPerSecond === undefined && isOwn) {
        state.recordRefusalStatement(target, { requestsPerSecond: undefined, sentAt });
    }
}

/** Logs and counts a finished request. */
export function recordOutcome(
    context: ServingContext,
    exchange: CallerExchange,
    outcome: { name: string; isAbnormal: boolean; attempts: AttemptRecord[]; detail?: Record<string, unknown>; },
): void {
    const { request, route, service, account, version, arrivedAt } = exchange;
    context.metrics.countRequest(route.name, outcome.name);
    context.log.record(outcome.isAbnormal ? "trouble" : "request", "request ended", {
        request: request.id,
        resumedRequest: request.resumedRequestId,
        resumeAfter: request.resumeAfter,
        fingerprint: exchange.fingerprint,
        end: outcome.name,
        route: route.name,
        service: service.name,
        account: account?.name,
        configuration: version,
        targetsRevision: context.state.directory.revision,
        milliseconds: Math.round(context.clock.getMonotonic() - arrivedAt),
        attempts: outcome.attempts,
        ...service.engine === undefined ? {} : describePrompt(request),
        ...outcome.detail,
    });
}

/** Describes the parts of a request's prompt for the log; of a long prompt, the first ones and their number. */
function describePrompt({ promptParts }: Pick<CallerRequest, "promptParts">): Record<string, unknown> {
    return promptParts.length <= MAX_LOGGED_PROMPT_PARTS
        ? { promptParts }
        : { promptParts: promptParts.slice(0, MAX_LOGGED_PROMPT_PARTS), promptPartCount: promptParts.length };
}

/**
 * Writes the head of a target's response to the caller.
 *
 * A body that the target has sent without a length gets chunks: without them, the end of this process in the middle of it
 * would look like its end.
 */
export function writeResponseHead(
    response: ServerResponse,
    targetResponse: { head: TargetResponseHead; length?: number; },
): void {
    const { head, length } = targetResponse;
    const headers = head.headers.flat();
    if (head.isFramed && length !== undefined) {
        headers.push("Content-Length", String(length));
    }
    response.writeHead(head.status, headers);
}

/**
 * Writes a part of a body to the caller, and waits while the connection takes no more; does nothing if the caller has
 * disconnected.
 *
 * @returns True if it had to wait.
 */
export async function writeBodyPart(response: ServerResponse, bytes: Uint8Array): Promise<boolean> {
    if (response.destroyed || response.write(bytes)) {
        return false;
    }
    await new Promise<void>(resolve => {
        const end = (): void => {
            response.off("drain", end);
            response.off("close", end);
            resolve();
        };
        response.once("drain", end);
        response.once("close", end);
    });
    return true;
}

/** Waits until the system has taken a whole response for its caller, or the caller has disconnected. */
export async function waitUntilTaken(response: ServerResponse): Promise<void> {
    if (!response.writableFinished && !response.destroyed) {
        await new Promise<void>(resolve => {
            response.once("close", resolve);
        });
    }
}

/** Resets the caller's connection, so that a partial response cannot look complete, however it is framed. */
export function abortResponse(response: ServerResponse): void {
    if (response.socket?.destroyed === false) {
        response.socket.resetAndDestroy();
    }
    response.destroy();
}

/**
 * Sends an error response whose status and `x-verdict` header agree on whether the request has run.
 *
 * Resets the connection if the head of a response was sent already.
 */
export function sendError(
    exchange: Pick<CallerExchange, "response"> & { request: Pick<CallerRequest, "id">; },
    error: { message: string; code: ErrorCode; verdict: Verdict; retryAfterSeconds?: number; },
): void {
    const { response } = exchange;
    if (response.headersSent || response.destroyed) {
        abortResponse(response);
        return;
    }
    const { message, ...props } = error;
    const headers = { ...encodeLocalResponseHeaders(exchange.request), "x-verdict": error.verdict };
    sendJson(response, {
        status: ERROR_STATUS[error.code],
        value: describeError(new ServingError(message, props)),
        headers: error.retryAfterSeconds === undefined
            ? headers
            : { ...headers, "retry-after": error.retryAfterSeconds.toFixed(2) },
    });
}

/** Value of the lowest priority at an engine; larger values are reduced to it. */
const LOWEST_PRIORITY = 9;

/** Output tokens expected if the caller gives no estimate, as a share of the largest output of the request. */
const DEFAULT_OUTPUT_SHARE = 0.5;

/** Estimates the load that a request adds to its target; a request that states no size counts as 0 tokens. */
export function estimateRequestLoad({ size }: Pick<CallerRequest, "size">): RequestLoad {
    if (size === undefined) {
        return { promptTokens: 0, outputTokens: 0 };
    }
    const expected = size.hintTokens ?? size.maxOutputTokens * DEFAULT_OUTPUT_SHARE;
    return { promptTokens: size.promptTokens, outputTokens: Math.min(expected, size.maxOutputTokens) };
}

/** Builds the call that sends a caller's request to a target. */
export function buildTargetCall(
    exchange: CallerExchange,
    options: Pick<TargetRequestOptions, "remainingMilliseconds" | "resumeAfter" | "copy"> & {
        target: ServingTarget;
        signal: AbortSignal;
    },
): TargetCall {
    const { request, account, service } = exchange;
    const { target, signal, ...rest } = options;
    const priority = service.engine === undefined ? undefined : Math.min(LOWEST_PRIORITY, exchange.priority);
    return {
        targetId: target.id,
        address: target.address,
        requestId: request.id,
        method: request.method,
        path: request.path,
        headers: encodeTargetHeaders(request, { ...rest, targetId: target.id, account: account?.name, priority }),
        body: request.body,
        signal,
    };
}
