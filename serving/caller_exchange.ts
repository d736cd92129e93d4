/**
 * One request of a caller with everything that its handling needs.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Clock } from "../core/clock/mod.ts";
import type { ClientAccount, Route, ServiceDefinition, ServingTarget, WorkItem } from "../core/serving/mod.ts";
import type { Verdict } from "../core/verdict/mod.ts";
import { sendJson } from "../network/mod.ts";
import { describeError, ERROR_STATUS, type ErrorCode, ServingError } from "../network/serving_error.ts";
import {
    type CallerRequest,
    encodeOwnAnswerHeaders,
    encodeTargetHeaders,
    type TargetAnswerHead,
    type TargetRequestOptions,
} from "../platform/mod.ts";
import type { DecisionLog } from "../telemetry/mod.ts";
import type { RequestScheduler, Reservation, ReservationResult } from "./place_finder.ts";
import type { ServingMetrics } from "./serving_metrics.ts";
import type { ServingState } from "./serving_state.ts";
import type { TargetCall, TargetConnections } from "./target_connections.ts";

/** What all handlers of a serving process share. */
export interface ServingContext {
    /** What is known. */
    state: ServingState;
    /** Finds places. */
    scheduler: RequestScheduler;
    /** Connections to targets. */
    connections: TargetConnections;
    /** Log of decisions. */
    log: DecisionLog;
    /** Counters. */
    metrics: ServingMetrics;
    /** Source of time. */
    clock: Clock;
    /** Source of random numbers from 0 up to 1. */
    random: () => number;
    /** Time until the process is killed, in milliseconds; `undefined` while it is not to stop. */
    getRemainingGraceMilliseconds: () => number | undefined;
}

/** A routed request of a caller and the answer to it. */
export interface CallerExchange {
    /** The request. */
    request: CallerRequest;
    /** The answer. */
    response: ServerResponse;
    /** Route of the request. */
    route: Route;
    /** Service that takes it. */
    service: ServiceDefinition;
    /** Account of the caller; `undefined` where none is asked for. */
    account: ClientAccount | undefined;
    /** Rank, the account's where it has one; 0 is the most urgent. */
    priority: number;
    /** Version of the configuration that decided. */
    version: number;
    /** Time of arrival, on the monotonic clock in milliseconds. */
    arrivedAt: number;
    /** Time at which the caller or the route gives up, on the same clock. */
    deadline: number;
    /** Aborted when the caller has gone or the deadline has passed. */
    signal: AbortSignal;
    /** True once the caller has gone. */
    isCallerDisconnected: () => boolean;
}

/** How one attempt at a target went, for the log. */
export interface AttemptRecord {
    /** Target. */
    target: string;
    /** How it ended. */
    result: string;
    /** Load of the target when it was chosen, 1 being full. */
    load: number;
    /** Duration, in milliseconds. */
    milliseconds: number;
}

/** Finds a place for an attempt at a request. */
export function reserveForAttempt(
    context: ServingContext,
    attempt: { exchange: CallerExchange; item: WorkItem; avoid: ReadonlySet<string>; },
): Promise<ReservationResult> {
    const { exchange, item, avoid } = attempt;
    const { service, route, priority, arrivedAt, deadline, signal } = exchange;
    const now = context.clock.getMonotonic();
    return context.scheduler.reserveTarget({
        service,
        item,
        priority,
        avoid,
        objectiveMilliseconds: Math.max(0, arrivedAt + route.objectiveMilliseconds - now),
        remainingMilliseconds: deadline - now,
        signal,
    });
}

/** Describes an attempt that has ended. */
export function describeAttempt(
    reservation: Reservation,
    attempt: { result: string; startedAt: number; now: number; },
): AttemptRecord {
    const { result, startedAt, now } = attempt;
    return {
        target: reservation.target.id,
        result,
        load: Number(reservation.score.toFixed(2)),
        milliseconds: Math.round(now - startedAt),
    };
}

/** Tells whether a status promises that the request did not run, although its target may have run it. */
export function isUnconfirmedRefusal(head: TargetAnswerHead): boolean {
    return [408, 421, 429, 503].includes(head.status) && !head.isRefusal;
}

/** Logs and counts the end of a request. */
export function recordOutcome(
    context: ServingContext,
    exchange: CallerExchange,
    outcome: { name: string; isAbnormal: boolean; attempts: AttemptRecord[]; detail?: Record<string, unknown>; },
): void {
    const { request, route, service, account, version, arrivedAt } = exchange;
    context.metrics.countRequest(route.name, outcome.name);
    context.log.record(outcome.isAbnormal ? "trouble" : "request", "request ended", {
        request: request.id,
        end: outcome.name,
        route: route.name,
        service: service.name,
        account: account?.name,
        configuration: version,
        targetsRevision: context.state.directory.revision,
        milliseconds: Math.round(context.clock.getMonotonic() - arrivedAt),
        attempts: outcome.attempts,
        ...outcome.detail,
    });
}

/**
 * Writes the head of a target's answer.
 *
 * An answer that ends with its connection is passed on in the same way: only the target knows where it ends, and a length
 * of this system's own would claim that it came whole.
 */
export function writeResponseHead(
    response: ServerResponse,
    answer: { head: TargetAnswerHead; length?: number; },
): void {
    const { head, length } = answer;
    const headers = head.headers.flat();
    if (!head.isFramed) {
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
    }
    else if (length !== undefined) {
        headers.push("Content-Length", String(length));
    }
    response.writeHead(head.status, headers);
}

/** Breaks an answer off so that it cannot look whole, however it is framed. */
export function abortResponse(response: ServerResponse): void {
    if (response.socket?.destroyed === false) {
        response.socket.resetAndDestroy();
    }
    response.destroy();
}

/** Answers a request with an error whose status is true to its verdict. */
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
    const headers = { ...encodeOwnAnswerHeaders(exchange.request), "x-verdict": error.verdict };
    sendJson(response, {
        status: ERROR_STATUS[error.code],
        value: describeError(new ServingError(message, props)),
        headers: error.retryAfterSeconds === undefined
            ? headers
            : { ...headers, "retry-after": error.retryAfterSeconds.toFixed(2) },
    });
}

/** Rank of the least urgent requests at an engine. */
const LOWEST_PRIORITY = 9;

/** Output tokens assumed where the caller gives no estimate, as a share of the most it allows. */
const DEFAULT_OUTPUT_SHARE = 0.5;

/** Computes what a request needs at its target; one that says nothing of its size counts as small. */
export function estimateWorkItem({ size }: Pick<CallerRequest, "size">): WorkItem {
    if (size === undefined) {
        return { promptTokens: 0, outputTokens: 0 };
    }
    const expected = size.hintTokens ?? size.maxOutputTokens * DEFAULT_OUTPUT_SHARE;
    return { promptTokens: size.promptTokens, outputTokens: Math.min(expected, size.maxOutputTokens) };
}

/** Builds the call that sends a request to the target of a place. */
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
