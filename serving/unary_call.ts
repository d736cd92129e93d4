/**
 * Handles unary requests: sends each to a target, reads the whole response, and retries where the route and the retry
 * budget allow it.
 *
 * Unary requests are those of routes of the kinds `idempotent` and `once`, which have short responses.
 *
 * @module
 */
import {
    type AttemptEnd,
    classifyFailure,
    isRepeatable,
    type QuarantinedPart,
    ResponseOutcome,
} from "../core/serving/mod.ts";
import { decideRetry, decideVerdict, mergeVerdicts, type Verdict } from "../core/verdict/mod.ts";
import { LinkedSignal, waitMilliseconds } from "../network/mod.ts";
import type { TargetResponseHead } from "../platform/mod.ts";
import {
    applyResponseNotice,
    type AttemptRecord,
    buildTargetCall,
    type CallerExchange,
    describeAttempt,
    isOwnAnswer,
    isUnconfirmedRefusal,
    recordOutcome,
    recordRolloutEnd,
    recordRolloutTime,
    reserveForAttempt,
    sendError,
    type ServingContext,
    writeResponseHead,
} from "./caller_exchange.ts";
import { CrashGuard } from "./crash_guard.ts";
import { sendUnreachableThroughPeer } from "./peer_relay.ts";
import { describeQuarantine, findQuarantine, getQuarantineCode } from "./quarantine_refusal.ts";
import type { Reservation } from "./request_scheduler.ts";
import { checkBodyEnd, INCOMPLETE_REASONS } from "./response_end_check.ts";
import { isConnectFailure, isConnectionLoss, TargetCallError } from "./target_connections.ts";

/** Result of one attempt at a target. */
type AttemptResult =
    /** The target sent a complete response, which is relayed to the caller. */
    | { kind: "answered"; head: TargetResponseHead; body: Buffer; }
    /** The attempt produced no response that may be relayed. */
    | {
        kind: "failed";
        verdict: Verdict;
        reason: string;
        isUnreachable?: boolean;
        isConnectionLost?: boolean;
        /** True if this instance, or the caller, has given the attempt up. */
        isAborted?: boolean;
        isForWantOfRoom?: boolean;
    };

/** Load that a unary request adds to its target, in tokens; such a request states no size. */
export const EMPTY_REQUEST_LOAD = { promptTokens: 0, outputTokens: 0 };
/** Maximum number of targets that a request is sent to while each refuses it without running it. */
const MAX_SEND_ATTEMPTS = 8;
/** Timeout of an attempt that may be followed by another, as a multiple of the route's latency objective. */
const ATTEMPT_TIMEOUT_FACTOR = 2;
/** Minimum timeout of an attempt that may be followed by another, in milliseconds. */
const MIN_ATTEMPT_MILLISECONDS = 120;

/** Response time assumed before any has been seen, as a share of the latency objective. */
const UNKNOWN_RESPONSE_SHARE = 0.25;
/** Shortest wait for a slot of a full target, as a share of the response time; the longest is all of it. */
const MIN_SLOT_WAIT_SHARE = 0.3;

/** Handles one unary request. */
export async function handleUnaryCall(context: ServingContext, exchange: CallerExchange): Promise<void> {
    await new UnaryCall(context, exchange).run();
}

class UnaryCall {
    readonly #context: ServingContext;
    readonly #exchange: CallerExchange;
    readonly #avoid = new Set<string>();
    /** Targets that refused the request for want of room; they may have room a moment later. */
    readonly #refusedBy = new Set<string>();
    readonly #attempts: AttemptRecord[] = [];
    /** Whether the request has run, as far as the attempts so far show. */
    #verdict: Verdict = "not-run";
    /** Number of failed attempts that ran or may have run the request. */
    #possibleRuns = 0;
    #retryAfterSeconds = 0.2;
    /** Last error response of a target, relayed to the caller if no later attempt succeeds. */
    #lastFailure: { head: TargetResponseHead; body: Buffer; } | undefined;
    /** Time at which the head of the current attempt's response arrived; `undefined` before. */
    #headAt: number | undefined;
    /** Number of attempts whose target has accepted no connection. */
    #connectFailures = 0;
    readonly #crashGuard: CrashGuard;
    /** Quarantine for which the request is refused. */
    #quarantined: QuarantinedPart | undefined;

    constructor(context: ServingContext, exchange: CallerExchange) {
        this.#context = context;
        this.#exchange = exchange;
        this.#crashGuard = new CrashGuard(context, exchange);
    }

    async run(): Promise<void> {
        const { state, clock } = this.#context;
        state.getRetryShare(this.#exchange.service.name).recordRequest(clock.getMonotonic());
        let reason = "";
        for (let sends = 0; sends < MAX_SEND_ATTEMPTS; sends += 1) {
            const reserved = await reserveForAttempt(this.#context, {
                exchange: this.#exchange,
                requestLoad: EMPTY_REQUEST_LOAD,
                avoid: this.#avoid,
            });
            if (reserved.kind === "refused") {
                if (reserved.reason === "no-target" && await this.#waitForRoom()) {
                    continue;
                }
                reason = reserved.reason;
                this.#retryAfterSeconds = reserved.retryAfterSeconds;
                break;
            }
            // Other requests may have crashed engines while this one was waiting.
            this.#quarantined = findQuarantine(this.#context.state, this.#exchange);
            if (this.#quarantined !== undefined) {
                reserved.reservation.release();
                reason = describeQuarantine(this.#quarantined);
                this.#retryAfterSeconds = this.#quarantined.remainingMilliseconds / 1000;
                break;
            }
            const result = await this.#runAttempt(reserved.reservation);
            if (result.kind === "answered") {
                this.#sendResponse(result);
                return;
            }
            reason = result.reason;
            if (!this.#canRetry(result)) {
                break;
            }
        }
        const attempts = { verdict: this.#verdict, connectFailures: this.#connectFailures };
        if (!await sendUnreachableThroughPeer(this.#context, this.#exchange, attempts)) {
            this.#fail(reason);
        }
    }

    async #runAttempt(reservation: Reservation): Promise<AttemptResult> {
        const { clock, state, metrics } = this.#context;
        const startedAt = clock.getMonotonic();
        this.#headAt = undefined;
        this.#crashGuard.startAttempt();
        const result = await this.#sendToTarget(reservation).finally(reservation.release);
        const name = result.kind === "answered" ? String(result.head.status) : result.reason;
        const endedAt = clock.getMonotonic();
        const record = describeAttempt(reservation, { startedAt, headAt: this.#headAt, now: endedAt, result: name });
        this.#attempts.push(record);
        metrics.countAttempt(this.#exchange.service.name, result.kind === "answered" ? "answered" : result.verdict);
        if (!this.#exchange.isCallerDisconnected()) {
            const isUnreachable = result.kind === "failed" && result.isUnreachable === true;
            this.#connectFailures += isUnreachable ? 1 : 0;
            state.recordAttempt(reservation.target.id, { hasFailed: result.kind === "failed", isUnreachable });
        }
        if (result.kind === "failed") {
            this.#avoid.add(reservation.target.id);
            if (result.isForWantOfRoom === true) {
                this.#refusedBy.add(reservation.target.id);
            }
            this.#verdict = mergeVerdicts(this.#verdict, result.verdict);
            this.#possibleRuns += result.verdict === "not-run" ? 0 : 1;
        }
        this.#recordRollout(reservation, { result, startedAt });
        const end = {
            kind: this.#classifyEnd(result),
            startedAt,
            headAt: this.#headAt,
            // The body counts as one event.
            lastEventAt: result.kind === "answered" && result.body.length > 0 ? endedAt : undefined,
            endedAt,
        };
        if (await this.#crashGuard.recordAttempt(reservation.target, end)) {
            record.hasCrashedTarget = true;
        }
        return result;
    }

    async #sendToTarget(reservation: Reservation): Promise<AttemptResult> {
        const { clock } = this.#context;
        const sentAt = clock.getMonotonic();
        const quarantineWatch = this.#crashGuard.watchQuarantine();
        const linked = new LinkedSignal([this.#exchange.signal, quarantineWatch.signal], {
            timeoutMilliseconds: Math.max(1, Math.ceil(this.#attemptTimeoutMilliseconds)),
        });
        try {
            const targetResponse = await this.#context.connections.sendRequest(buildTargetCall(this.#exchange, {
                target: reservation.target,
                remainingMilliseconds: this.#remainingMilliseconds,
                signal: linked.signal,
            }));
            quarantineWatch.stop();
            this.#headAt = clock.getMonotonic();
            if (!targetResponse.head.isRefusal) {
                reservation.markResponseStarted();
            }
            applyResponseNotice(this.#context, this.#exchange, {
                target: reservation.target,
                head: targetResponse.head,
                sentAt,
            });
            const body = await this.#context.connections.readResponseBody(targetResponse);
            const { head } = targetResponse;
            // The system closes the connections of a process that ends as a target does at the end of such a body.
            // The head of a refusal says all.
            const outcome = head.isRefusal
                ? ResponseOutcome.complete
                : await checkBodyEnd(this.#context, this.#exchange, {
                    target: reservation.target,
                    targetResponse,
                    body,
                });
            return this.#classifyResponse({ head, body, outcome });
        }
        catch (error) {
            const verdict = error instanceof TargetCallError ? decideVerdict(error.progress) : "may-have-run";
            const cause: unknown = quarantineWatch.signal.aborted ? quarantineWatch.signal.reason : error;
            const reason = linked.hasTimedOut
                ? "no answer in time"
                : cause instanceof Error
                ? cause.message
                : String(cause);
            const isUnreachable = isConnectFailure(error);
            const isConnectionLost = !linked.signal.aborted && isConnectionLoss(error);
            return {
                kind: "failed",
                verdict,
                reason,
                isUnreachable,
                isConnectionLost,
                isAborted: linked.signal.aborted,
            };
        }
        finally {
            quarantineWatch.stop();
            linked.close();
        }
    }

    /** Records the answer for a rollout; one that a caller has given up, or that was refused, shows nothing. */
    #recordRollout(
        { target }: Reservation,
        { result, startedAt }: { result: AttemptResult; startedAt: number; },
    ): void {
        if (this.#exchange.isCallerDisconnected() || result.kind === "failed" && result.verdict === "not-run") {
            return;
        }
        const hasFailed = result.kind === "failed" || result.head.status >= 500;
        const isLost = result.kind === "failed" && result.isConnectionLost === true;
        const kind = isLost ? "lost" : hasFailed ? "failed" : "answered";
        recordRolloutEnd(this.#context, this.#exchange, { target, kind });
        if (!hasFailed) {
            const milliseconds = this.#context.clock.getMonotonic() - startedAt;
            recordRolloutTime(this.#context, this.#exchange, { target, milliseconds });
        }
    }

    #classifyEnd(result: AttemptResult): AttemptEnd["kind"] {
        if (result.kind === "answered") {
            return result.head.status === 200 ? "complete" : "other";
        }
        return classifyFailure(result);
    }

    #classifyResponse(
        targetResponse: { head: TargetResponseHead; body: Buffer; outcome: ResponseOutcome; },
    ): AttemptResult {
        const { head, body, outcome } = targetResponse;
        if (head.isRefusal) {
            const { status, isForWantOfRoom } = head;
            return { kind: "failed", verdict: "not-run", reason: `refused with ${status}`, isForWantOfRoom };
        }
        if (outcome !== ResponseOutcome.complete) {
            return {
                kind: "failed",
                verdict: "may-have-run",
                reason: INCOMPLETE_REASONS[outcome],
                isConnectionLost: true,
            };
        }
        if (!isOwnAnswer(head, this.#exchange.request)) {
            return { kind: "failed", verdict: "may-have-run", reason: `unsigned answer ${head.status}` };
        }
        if (head.status >= 500 && isRepeatable(this.#exchange.route)) {
            this.#lastFailure = { head, body };
            return { kind: "failed", verdict: "ran", reason: `failed with ${head.status}` };
        }
        return { kind: "answered", head, body };
    }

    #canRetry({ verdict, isUnreachable }: { verdict: Verdict; isUnreachable?: boolean; }): boolean {
        const { route, service, signal } = this.#exchange;
        const { state, clock, partitionMonitor } = this.#context;
        const isAllowed = !signal.aborted && !(isUnreachable === true && partitionMonitor.isPartitioned)
            && this.#possibleRuns < route.maxAttempts
            && decideRetry({
                verdict,
                isRepeatable: isRepeatable(route),
                hasReachedCaller: false,
                attempts: this.#attempts.length,
                remainingMilliseconds: this.#remainingMilliseconds,
            }, { maxAttempts: MAX_SEND_ATTEMPTS });
        // A target that accepted no connection received nothing, so the retry does not count against the budget.
        return isAllowed && this.#crashGuard.isRetryAllowed()
            && (isUnreachable === true
                || state.getRetryShare(service.name).takeRetry(clock.getMonotonic(), state.instances));
    }

    /**
     * Waits until a target that refused the request for want of room has probably freed a slot, where targets state their
     * pace and the response would still start within the objective. A slot is free again sooner than a caller returns.
     *
     * @returns True if the request may be sent to these targets again.
     */
    async #waitForRoom(): Promise<boolean> {
        const { route, service, origin, arrivedAt, signal } = this.#exchange;
        const { state, clock, random } = this.#context;
        if (this.#refusedBy.size === 0 || service.engine !== undefined || !state.isFleetAdmitted(service.name)) {
            return false;
        }
        const responseMilliseconds = state.getAdmission(service.name).room.estimateResponseTime(origin.kind)
            ?? route.objectiveMilliseconds * UNKNOWN_RESPONSE_SHARE;
        const delay = responseMilliseconds * (MIN_SLOT_WAIT_SHARE + (1 - MIN_SLOT_WAIT_SHARE) * random());
        const untilObjective = arrivedAt + route.objectiveMilliseconds - clock.getMonotonic();
        if (delay + responseMilliseconds > untilObjective || signal.aborted) {
            return false;
        }
        await waitMilliseconds(delay);
        this.#refusedBy.forEach(target => this.#avoid.delete(target));
        this.#refusedBy.clear();
        return !signal.aborted;
    }

    #sendResponse(targetResponse: { head: TargetResponseHead; body: Buffer; }): void {
        const { response, route, arrivedAt } = this.#exchange;
        const { head, body } = targetResponse;
        if (isUnconfirmedRefusal(head)) {
            this.#verdict = "ran";
            this.#fail(`failed with ${head.status} after it may have run`);
            return;
        }
        if (!response.destroyed) {
            writeResponseHead(response, { head, length: body.length });
            response.end(body);
        }
        this.#context.metrics.observeFirstByte(route.name, this.#context.clock.getMonotonic() - arrivedAt);
        const isAbnormal = head.status >= 500 || this.#attempts.length > 1;
        recordOutcome(this.#context, this.#exchange, {
            name: `answered ${head.status}`,
            isAbnormal,
            attempts: this.#attempts,
        });
    }

    #fail(reason: string): void {
        if (this.#lastFailure !== undefined && !isUnconfirmedRefusal(this.#lastFailure.head)) {
            const failure = this.#lastFailure;
            this.#lastFailure = undefined;
            this.#sendResponse(failure);
            return;
        }
        const verdict = this.#verdict;
        const isLate = this.#remainingMilliseconds <= 0;
        const code = verdict === "not-run"
            ? this.#quarantined === undefined ? "busy" as const : getQuarantineCode(this.#quarantined)
            : isLate
            ? "deadline" as const
            : "target_failed" as const;
        if (!this.#exchange.isCallerDisconnected()) {
            sendError(this.#exchange, {
                message: `Cannot serve the request: ${reason}.`,
                code,
                verdict,
                ...verdict === "not-run" ? { retryAfterSeconds: this.#retryAfterSeconds } : {},
            });
        }
        const name = this.#exchange.isCallerDisconnected()
            ? "caller gone"
            : verdict === "not-run"
            ? "refused"
            : "failed";
        const detail = { reason, verdict };
        recordOutcome(this.#context, this.#exchange, { name, isAbnormal: true, attempts: this.#attempts, detail });
    }

    get #remainingMilliseconds(): number {
        return this.#exchange.deadline - this.#context.clock.getMonotonic();
    }

    /** Timeout of the next attempt: all remaining time, unless the request may be retried at another target. */
    get #attemptTimeoutMilliseconds(): number {
        const { route } = this.#exchange;
        const isLast = !isRepeatable(route) || this.#possibleRuns + 1 >= route.maxAttempts;
        if (isLast) {
            return this.#remainingMilliseconds;
        }
        const attemptTimeout = Math.max(
            MIN_ATTEMPT_MILLISECONDS,
            route.objectiveMilliseconds * ATTEMPT_TIMEOUT_FACTOR,
        );
        return Math.min(this.#remainingMilliseconds, attemptTimeout);
    }
}
