/**
 * Handles streaming requests: relays complete events as they arrive, and after a failure or a move continues the stream
 * at another target where the route allows it.
 *
 * @module
 */
import {
    type AttemptEnd,
    classifyFailure,
    estimateOutputTokens,
    EventSplitter,
    EventWindow,
    getSoftwareVersion,
    isRepeatable,
    MalformedEventError,
    type QuarantinedPart,
    type RelayedEvent,
    type RequestLoad,
    ResponseOutcome,
    type ServingTarget,
    SEVERAL_VERSIONS,
    StreamLimits,
    StreamProgress,
} from "../core/serving/mod.ts";
import { decideVerdict, mergeVerdicts, type Verdict } from "../core/verdict/mod.ts";
import { LinkedSignal, waitMilliseconds } from "../network/mod.ts";
import { hasEmbeddedHead, type KvCacheCopy, type TargetResponseHead } from "../platform/mod.ts";
import {
    abortResponse,
    applyResponseNotice,
    type AttemptRecord,
    buildTargetCall,
    type CallerExchange,
    describeAttempt,
    estimateRequestLoad,
    isOwnAnswer,
    isUnconfirmedRefusal,
    listVersionChoices,
    recordOutcome,
    recordRolloutEnd,
    recordRolloutTime,
    reserveForAttempt,
    sendError,
    type ServingContext,
    writeBodyPart,
    writeResponseHead,
} from "./caller_exchange.ts";
import { CrashGuard } from "./crash_guard.ts";
import { type MovedGeneration, type MoveNotice, MoveOperation } from "./move_operation.ts";
import { sendUnreachableThroughPeer } from "./peer_relay.ts";
import { describeQuarantine, findQuarantine, getQuarantineCode } from "./quarantine_refusal.ts";
import type { Reservation, ReservationResult } from "./request_scheduler.ts";
import { checkBodyEnd, checkResponseEnd, INCOMPLETE_REASONS } from "./response_end_check.ts";
import { StallDetector } from "./stall_detector.ts";
import { isConnectFailure, isConnectionLoss, TargetCallError, type TargetResponse } from "./target_connections.ts";

/** Reservation, abort controller and stall detector of one attempt whose stream is relayed. */
interface RelayAttempt {
    reservation: Reservation;
    attemptAbort: AbortController;
    stallDetector: StallDetector;
    /** Time at which the request was sent, on the monotonic clock in milliseconds. */
    sentAt: number;
    /** Aborted when the attempt is given up. */
    signal: AbortSignal;
}

/** What is known of a response whose events are being relayed. */
interface RelayedResponse {
    splitter: EventSplitter;
    limits: StreamLimits;
    /** Number of events that the target has sent. */
    events: number;
}

/** Result of one attempt at a target. */
type AttemptResult =
    /** The stream is complete. */
    | { kind: "complete"; }
    /** The target sent a response other than a stream. */
    | { kind: "answered"; head: TargetResponseHead; body: Buffer; }
    /** The generation has been moved and resumes at the given reservation. */
    | { kind: "moved"; to: MovedGeneration; }
    /** The attempt produced no complete stream. */
    | { kind: "failed"; verdict: Verdict; reason: string; isUnreachable?: boolean; isConnectionLost?: boolean; };

/** A stream that is being relayed and whose generation may be moved. */
export interface ActiveStream {
    /** Identifier of the target that runs the generation; empty between attempts. */
    readonly targetId: string;
    /** Identifier of the request. */
    readonly requestId: string;
    /** True if the generation can be moved and its request may not be retried at another target. */
    readonly isMovable: boolean;
    /** True once a move of the generation has started. */
    readonly isMoving: boolean;
    /** Starts moving the generation to another engine; does nothing if a move has started already. */
    startMove(notice: MoveNotice): void;
}

/** Time after a final copy within which events of a stopped generation may still arrive, in milliseconds. */
const STOP_MILLISECONDS = 250;
/** Number of events whose time shows how fast a stream is: about half a second of one. */
const PACE_EVENTS = 16;
/** Maximum size of an event: many unfinished ones must fit into the memory of a small machine at once. */
const MAX_EVENT_BYTES = 64 * 1024;
/** Bytes of a response that are handled at a time, so that others are served in between. */
const MAX_HANDLED_BYTES = 8 * 1024;
/** Maximum number of targets that a request is sent to while each refuses it without running it. */
const MAX_SEND_ATTEMPTS = 8;

/** Handles one streaming request. */
export async function handleStreamCall(
    context: ServingContext,
    options: { exchange: CallerExchange; activeStreams: Set<ActiveStream>; },
): Promise<void> {
    await new StreamCall(context, options).run();
}

class StreamCall implements ActiveStream {
    readonly #context: ServingContext;
    readonly #exchange: CallerExchange;
    readonly #activeStreams: Set<ActiveStream>;
    readonly #avoid = new Set<string>();
    readonly #attempts: AttemptRecord[] = [];
    readonly #requestLoad: RequestLoad;
    /** Whether the request has run, as far as the attempts so far show. */
    #verdict: Verdict = "not-run";
    /** Number of failed attempts that ran or may have run the request. */
    #possibleRuns = 0;
    #retryAfterSeconds = 0.3;
    readonly #progress: StreamProgress;
    #moves = 0;
    #isAwaitingEventAfterMove = false;
    /** Time at which the head of the current attempt's response arrived; `undefined` before. */
    #headAt: number | undefined;
    /** Time of the last event of the current attempt; `undefined` before the first. */
    #lastEventAt: number | undefined;
    readonly #eventWindow = new EventWindow();
    /** Time of the first event of the current attempt; `undefined` before. */
    #firstEventAt: number | undefined;
    /** True once the time of the current attempt's events has been recorded for a rollout. */
    #isPaceRecorded = false;
    /** True if this instance has aborted the current attempt. */
    #isAttemptAborted = false;
    /** True once the response of the current attempt has ended. */
    #hasResponseEnded = false;
    /** Software version that began the stream; `undefined` before its first event. */
    #softwareVersion: string | undefined;
    /** Number of attempts whose target has accepted no connection. */
    #connectFailures = 0;
    readonly #crashGuard: CrashGuard;
    /** Quarantine for which the request is refused. */
    #quarantined: QuarantinedPart | undefined;
    /** Reservation at the target that runs the generation; `undefined` between attempts. */
    #reservation: Reservation | undefined;
    #move: MoveOperation | undefined;

    constructor(context: ServingContext, options: { exchange: CallerExchange; activeStreams: Set<ActiveStream>; }) {
        this.#context = context;
        this.#exchange = options.exchange;
        this.#activeStreams = options.activeStreams;
        this.#progress = new StreamProgress(options.exchange.request.resumeAfter);
        this.#requestLoad = estimateRequestLoad(options.exchange.request);
        this.#crashGuard = new CrashGuard(context, options.exchange);
    }

    get requestId(): string {
        return this.#exchange.request.id;
    }

    get isMovable(): boolean {
        return this.#exchange.service.engine?.canMove === true && !isRepeatable(this.#exchange.route);
    }

    get isMoving(): boolean {
        return this.#move !== undefined;
    }

    get targetId(): string {
        return this.#reservation?.target.id ?? "";
    }

    startMove(notice: MoveNotice): void {
        const { service, request } = this.#exchange;
        const reservation = this.#reservation;
        if (reservation === undefined || !this.isMovable || this.#move !== undefined || this.#hasResponseEnded) {
            return;
        }
        this.#move = new MoveOperation(this.#context, {
            requestId: request.id,
            source: reservation.target,
            service,
            requestLoad: {
                ...this.#requestLoad,
                outputTokens: estimateOutputTokens(this.#requestLoad.outputTokens, this.#outputTokens),
            },
            notice,
            countEvents: () => this.#progress.eventCount,
        });
        void this.#move.run();
    }

    async run(): Promise<void> {
        this.#activeStreams.add(this);
        try {
            await this.#runAttempts();
        }
        finally {
            this.#activeStreams.delete(this);
            this.#move?.cancel();
        }
    }

    async #runAttempts(): Promise<void> {
        const { state, clock } = this.#context;
        state.getRetryShare(this.#exchange.service.name).recordRequest(clock.getMonotonic());
        let reason = "";
        let moved: MovedGeneration | undefined;
        if (this.#exchange.request.resumeAfter !== undefined) {
            const resumption = await this.#context.streamVersions.findVersion(
                this.#exchange.request,
                this.#exchange.service.name,
            );
            if (resumption.kind === "unknown") {
                this.#fail(`the software version that began the stream is unknown: ${resumption.reason}`);
                return;
            }
            this.#softwareVersion = resumption.softwareVersion;
        }
        for (let sends = 0; sends < MAX_SEND_ATTEMPTS + this.#moves; sends += 1) {
            const reservation: Reservation | undefined = moved?.reservation ?? await this.#reserveTarget();
            if (reservation === undefined) {
                reason = "no target has room";
                break;
            }
            // Other requests may have crashed engines while this one was waiting. A moved generation is running already.
            this.#quarantined = moved === undefined
                ? findQuarantine(this.#context.state, this.#exchange)
                : undefined;
            if (this.#quarantined !== undefined) {
                reservation.release();
                reason = describeQuarantine(this.#quarantined);
                this.#retryAfterSeconds = this.#quarantined.remainingMilliseconds / 1000;
                break;
            }
            const result = await this.#runAttempt(reservation, moved?.copy);
            const previousMove: MovedGeneration | undefined = moved;
            moved = undefined;
            if (result.kind === "complete") {
                this.#finish();
                return;
            }
            if (result.kind === "answered") {
                this.#sendResponse(result);
                return;
            }
            if (result.kind === "moved") {
                moved = result.to;
                this.#isAwaitingEventAfterMove = true;
                this.#moves += 1;
                continue;
            }
            reason = result.reason;
            if (previousMove !== undefined && result.verdict === "not-run") {
                // The destination refused the request; the source has stopped the generation and holds its KV cache.
                moved = previousMove.returnToSource?.();
                if (moved !== undefined) {
                    this.#moves += 1;
                    continue;
                }
            }
            if (!this.#canRetry(result)) {
                break;
            }
        }
        const attempts = { verdict: this.#verdict, connectFailures: this.#connectFailures };
        if (!await sendUnreachableThroughPeer(this.#context, this.#exchange, attempts)) {
            this.#fail(reason);
        }
    }

    async #reserveTarget(): Promise<Reservation | undefined> {
        for (const softwareVersion of listVersionChoices(this.#context, this.#exchange, this.#softwareVersion)) {
            const result = await this.#reserveAtVersion(softwareVersion);
            if (result.kind === "placed") {
                return result.reservation;
            }
            this.#retryAfterSeconds = result.retryAfterSeconds;
        }
        return undefined;
    }

    /** Reserves a target of one software version; `undefined` for any. */
    #reserveAtVersion(softwareVersion: string | undefined): Promise<ReservationResult> {
        return reserveForAttempt(this.#context, {
            exchange: this.#exchange,
            requestLoad: this.#requestLoad,
            avoid: this.#avoid,
            softwareVersion,
        });
    }

    async #runAttempt(reservation: Reservation, copy: KvCacheCopy | undefined): Promise<AttemptResult> {
        const startedAt = this.#now;
        const previousEvents = this.#progress.eventCount;
        this.#reservation = reservation;
        this.#move = undefined;
        this.#headAt = undefined;
        this.#lastEventAt = undefined;
        this.#firstEventAt = undefined;
        this.#isPaceRecorded = false;
        this.#isAttemptAborted = false;
        this.#hasResponseEnded = false;
        this.#crashGuard.startAttempt();
        const result = await this.#sendAndRelay(reservation, copy).finally(() => {
            this.#reservation = undefined;
            reservation.release();
        });
        const endedAt = this.#now;
        const events = this.#progress.eventCount - previousEvents;
        const record = this.#recordAttempt(reservation, { result, startedAt, events });
        const end = {
            kind: this.#classifyEnd(result),
            startedAt,
            headAt: this.#headAt,
            lastEventAt: this.#lastEventAt,
            endedAt,
        };
        if (await this.#crashGuard.recordAttempt(reservation.target, end)) {
            record.hasCrashedTarget = true;
        }
        return result;
    }

    #classifyEnd(result: AttemptResult): AttemptEnd["kind"] {
        if (result.kind === "complete") {
            return "complete";
        }
        // A refusal and an error response have a head too, but are no generation.
        if (result.kind !== "failed") {
            return "other";
        }
        return classifyFailure({ ...result, isAborted: this.#isAttemptAborted || this.#exchange.signal.aborted });
    }

    #recordAttempt(
        reservation: Reservation,
        attempt: { result: AttemptResult; startedAt: number; events: number; },
    ): AttemptRecord {
        const { state, metrics } = this.#context;
        const { result, startedAt, events } = attempt;
        const name = result.kind === "failed" ? result.reason : result.kind;
        const times = { startedAt, headAt: this.#headAt, now: this.#now };
        const record = describeAttempt(reservation, { ...times, result: name, events });
        this.#attempts.push(record);
        metrics.countAttempt(this.#exchange.service.name, result.kind === "failed" ? result.verdict : result.kind);
        metrics.countHeldTokens(this.#exchange.service.name, reservation.heldTokens);
        if (result.kind === "complete") {
            this.#recordPromptRead(reservation);
        }
        if (result.kind === "moved" || this.#progress.eventCount > 0) {
            this.#verdict = mergeVerdicts(this.#verdict, "may-have-run");
        }
        const hasFailed = result.kind === "failed";
        this.#recordRolloutEnd(reservation, result);
        if (!this.#exchange.isCallerDisconnected()) {
            state.recordAttempt(reservation.target.id, {
                hasFailed,
                isUnreachable: hasFailed && result.isUnreachable === true,
            });
        }
        if (!hasFailed) {
            return record;
        }
        this.#avoid.add(reservation.target.id);
        this.#connectFailures += result.isUnreachable === true ? 1 : 0;
        this.#verdict = mergeVerdicts(this.#verdict, result.verdict);
        this.#possibleRuns += result.verdict === "not-run" ? 0 : 1;
        return record;
    }

    /** Records the answer for a rollout; one that a caller has given up, or that was refused, shows nothing. */
    #recordRolloutEnd({ target }: Reservation, result: AttemptResult): void {
        const hasRun = result.kind !== "failed" || result.verdict !== "not-run";
        if (this.#exchange.isCallerDisconnected() || result.kind === "moved" || !hasRun) {
            return;
        }
        const hasFailed = result.kind === "failed" || result.kind === "answered" && result.head.status >= 500;
        const isLost = result.kind === "failed" && result.isConnectionLost === true;
        const kind = isLost ? "lost" : hasFailed ? "failed" : "answered";
        recordRolloutEnd(this.#context, this.#exchange, { target, kind });
    }

    /** Records for a rollout the time to the first event of an attempt, and the time that its next events have taken. */
    #recordRolloutEvents(target: ServingTarget, { sentAt, events }: { sentAt: number; events: number; }): void {
        if (this.#firstEventAt === undefined && events > 0) {
            this.#firstEventAt = this.#now;
            recordRolloutTime(this.#context, this.#exchange, { target, milliseconds: this.#now - sentAt });
        }
        else if (this.#firstEventAt !== undefined && events >= PACE_EVENTS && !this.#isPaceRecorded) {
            this.#isPaceRecorded = true;
            const milliseconds = this.#now - this.#firstEventAt;
            recordRolloutTime(this.#context, this.#exchange, { target, milliseconds, part: " pace" });
        }
    }

    async #sendAndRelay(reservation: Reservation, copy: KvCacheCopy | undefined): Promise<AttemptResult> {
        const attemptAbort = new AbortController();
        const stallDetector = new StallDetector(this.#context, {
            exchange: this.#exchange,
            reservation,
            countEvents: () => this.#progress.eventCount,
            canRetry: () => this.#possibleRuns + 1 < this.#exchange.route.maxAttempts,
            abandonAttempt: () => attemptAbort.abort(),
            moveGeneration: () => this.#moveGenerationAfterStall(attemptAbort),
        });
        const sentAt = this.#now;
        const quarantineWatch = this.#crashGuard.watchQuarantine();
        const linked = new LinkedSignal([this.#exchange.signal, attemptAbort.signal, quarantineWatch.signal]);
        try {
            const targetResponse = await this.#context.connections.sendRequest(buildTargetCall(this.#exchange, {
                target: reservation.target,
                remainingMilliseconds: this.#remainingMilliseconds,
                resumeAfter: this.#progress.lastEventId,
                copy,
                signal: linked.signal,
            }));
            quarantineWatch.stop();
            this.#headAt = this.#now;
            return await this.#handleResponse(targetResponse, {
                reservation,
                attemptAbort,
                stallDetector,
                sentAt,
                signal: linked.signal,
            });
        }
        catch (error) {
            const verdict = error instanceof TargetCallError ? decideVerdict(error.progress) : "may-have-run";
            const cause: unknown = quarantineWatch.signal.aborted ? quarantineWatch.signal.reason : error;
            const reason = attemptAbort.signal.aborted
                ? "stream is silent"
                : cause instanceof Error
                ? cause.message
                : String(cause);
            const failure = {
                kind: "failed" as const,
                verdict,
                reason,
                isUnreachable: isConnectFailure(error),
                isConnectionLost: isConnectionLoss(error),
            };
            return await this.#waitForMove() ?? failure;
        }
        finally {
            stallDetector.stop();
            quarantineWatch.stop();
            linked.close();
            this.#isAttemptAborted = attemptAbort.signal.aborted || quarantineWatch.signal.aborted;
        }
    }

    async #handleResponse(
        targetResponse: TargetResponse,
        attempt: RelayAttempt,
    ): Promise<AttemptResult> {
        const { head } = targetResponse;
        const { target } = attempt.reservation;
        applyResponseNotice(this.#context, this.#exchange, { target, head, sentAt: attempt.sentAt });
        const isOwn = isOwnAnswer(head, this.#exchange.request);
        if (head.status === 200 && isOwn && head.isEventStream) {
            this.#writeHead(head);
            return this.#relayEvents(targetResponse, attempt);
        }
        const body = await this.#context.connections.readResponseBody(targetResponse);
        if (head.isRefusal) {
            return { kind: "failed", verdict: "not-run", reason: `refused with ${head.status}` };
        }
        if (!isOwn) {
            return { kind: "failed", verdict: "may-have-run", reason: `unsigned answer ${head.status}` };
        }
        const outcome = await checkBodyEnd(this.#context, this.#exchange, { target, targetResponse, body });
        if (outcome !== ResponseOutcome.complete) {
            return { kind: "failed", verdict: "may-have-run", reason: INCOMPLETE_REASONS[outcome] };
        }
        if (head.status >= 500 && isRepeatable(this.#exchange.route)) {
            return { kind: "failed", verdict: "ran", reason: `failed with ${head.status}` };
        }
        return { kind: "answered", head, body };
    }

    async #relayEvents(
        targetResponse: TargetResponse,
        attempt: RelayAttempt,
    ): Promise<AttemptResult> {
        const relayed: RelayedResponse = {
            splitter: new EventSplitter({ maxEventBytes: MAX_EVENT_BYTES }),
            limits: new StreamLimits({ maxOutputTokens: this.#exchange.request.size?.maxOutputTokens }),
            events: 0,
        };
        this.#eventWindow.restart();
        let failure: string | undefined;
        let endAge = 0;
        try {
            for await (const chunk of targetResponse.response as AsyncIterable<Buffer>) {
                // Bytes count as a part of the body once they have completed an event that the caller gets.
                targetResponse.recordBody(0);
                for (let start = 0; start < chunk.length; start += MAX_HANDLED_BYTES) {
                    attempt.signal.throwIfAborted();
                    const part = chunk.subarray(start, start + MAX_HANDLED_BYTES);
                    targetResponse.recordBody(await this.#relayPart(part, { relayed, attempt }));
                }
            }
        }
        catch (error) {
            failure = error instanceof Error ? error.message : String(error);
        }
        finally {
            endAge = targetResponse.computeEndAge();
            this.#hasResponseEnded = true;
            targetResponse.close();
        }
        const isClosedInOrder = failure === undefined && targetResponse.isComplete();
        // The stream also ends if a move has stopped the generation; only the result of the move shows whether it has.
        const moved = await this.#waitForMove();
        if (moved !== undefined) {
            return moved;
        }
        const shown = await checkResponseEnd(this.#context, this.#exchange, {
            target: attempt.reservation.target,
            end: {
                isFramed: targetResponse.head.hasOwnEnd,
                isClosedInOrder,
                events: relayed.events,
                unfinishedBytes: relayed.splitter.getPendingBytes().length,
                mayBeEmpty: this.#mayBeEmpty(),
                hasAllTokens: this.#hasAllTokens(),
                mayBeStopped: this.#mayBeStopped,
            },
            endAge,
            reason: failure,
        });
        const isTooLate = shown === ResponseOutcome.complete && this.#exchange.signal.aborted;
        const outcome = isTooLate ? ResponseOutcome.unknown : shown;
        if (outcome === ResponseOutcome.complete) {
            this.#finishPace(attempt.reservation.target);
            return { kind: "complete" };
        }
        const reason = attempt.attemptAbort.signal.aborted
            ? "stream is silent"
            : failure ?? INCOMPLETE_REASONS[outcome];
        return { kind: "failed", verdict: "may-have-run", reason, isConnectionLost: true };
    }

    /** Relays the events that a part of a response completes; returns the bytes of those that the caller did not have. */
    async #relayPart(
        part: Uint8Array,
        { relayed, attempt }: { relayed: RelayedResponse; attempt: RelayAttempt; },
    ): Promise<number> {
        const events = relayed.splitter.handleChunk(part);
        if (events.some(({ bytes }) => hasEmbeddedHead(bytes))) {
            throw new MalformedEventError("Cannot read an event: it holds the head of another response.");
        }
        const count = events.filter(event => !event.isComment).length;
        if (count > 0) {
            attempt.reservation.markResponseStarted();
            attempt.stallDetector.restart();
            if (relayed.events === 0) {
                this.#recordPromptRead(attempt.reservation);
            }
        }
        if (events.length === 0) {
            return 0;
        }
        relayed.events += count;
        const { target } = attempt.reservation;
        this.#recordPace(target, count);
        this.#recordRolloutEvents(target, { sentAt: attempt.sentAt, events: relayed.events });
        if (relayed.events > 0 && this.#softwareVersion === undefined) {
            await this.#recordBeginning(target);
        }
        const newBytes = await this.#sendEvents(events, relayed.limits);
        attempt.reservation.recordOutput(this.#outputTokens);
        const delay = relayed.limits.recordPart(part.length, this.#now);
        if (delay > 0) {
            await waitMilliseconds(delay);
        }
        return newBytes;
    }

    /** True if the events of the stream show how fast the engine is: its service is paced. */
    get #isPaceMeasured(): boolean {
        const { engine, name } = this.#exchange.service;
        return engine !== undefined && this.#context.state.targetPace.isPaced(name);
    }

    /** Adds events to what is known of an engine's speed. */
    #recordPace(target: ServingTarget, count: number): void {
        if (count > 0 && this.#isPaceMeasured) {
            const milliseconds = this.#eventWindow.addEvents(count, this.#now);
            if (milliseconds > 0) {
                this.#recordEventSample(target, { milliseconds });
            }
        }
    }

    /** Adds the last events of a stream to what is known of an engine's speed; short streams have no others. */
    #finishPace(target: ServingTarget): void {
        const window = this.#isPaceMeasured ? this.#eventWindow.finishWindow(this.#now) : undefined;
        if (window !== undefined) {
            this.#recordEventSample(target, window);
        }
    }

    #recordEventSample(target: ServingTarget, sample: { milliseconds: number; events?: number; }): void {
        const { milliseconds, ...rest } = sample;
        const tokensPerEvent = this.#exchange.service.engine?.tokensPerEvent ?? 1;
        this.#context.state.recordEventSample(target, {
            ...rest,
            millisecondsPerToken: milliseconds / tokensPerEvent,
        });
    }

    /** Records that a target has read the prompt; one that a generation was moved to has not. */
    #recordPromptRead({ target }: Reservation): void {
        const { service, promptPrefix } = this.#exchange;
        if (this.#moves > 0) {
            return;
        }
        this.#context.state.recordPromptRead(target, { service, prefix: promptPrefix });
    }

    /** Binds the stream to the software version of the target that sends its first event, which the caller gets after this. */
    async #recordBeginning(target: ServingTarget): Promise<void> {
        const { route, request, service } = this.#exchange;
        const { streamVersions, state } = this.#context;
        const listed = state.directory.findTarget(target.id) ?? target;
        // A target that has restarted at another version meanwhile may have answered before or after that.
        this.#softwareVersion = getSoftwareVersion(listed) === getSoftwareVersion(target)
            ? getSoftwareVersion(target)
            : SEVERAL_VERSIONS;
        if (route.isResumable) {
            await streamVersions.recordBeginning(request.id, {
                service: service.name,
                softwareVersion: this.#softwareVersion,
            });
        }
    }

    /** Checks whether the response may have no event: its caller may have had the last one, or asks for the head only. */
    #mayBeEmpty(): boolean {
        const { resumeAfter, method } = this.#exchange.request;
        return method === "HEAD" || resumeAfter !== undefined && this.#progress.eventCount === 0;
    }

    /**
     * Checks whether the events have all the tokens that the caller allows. Only those of a single run that was not moved
     * are known to be full.
     */
    #hasAllTokens(): boolean {
        const { size, resumeAfter } = this.#exchange.request;
        const earlierRuns = this.#attempts.filter(({ events = 0 }) => events > 0);
        const isSingleRun = this.#moves === 0
            && earlierRuns.every(({ events }) => events === this.#progress.eventCount);
        return isSingleRun && resumeAfter === undefined && size !== undefined
            && this.#outputTokens >= size.maxOutputTokens;
    }

    /** True if a move may have stopped the generation; later events show that it has not. */
    get #mayBeStopped(): boolean {
        const lostAt = this.#move?.finalCopyLostAt;
        return lostAt !== undefined
            && (this.#lastEventAt ?? Number.NEGATIVE_INFINITY) < lostAt + STOP_MILLISECONDS;
    }

    async #waitForMove(): Promise<AttemptResult | undefined> {
        const to = await this.#move?.finishOrCancel();
        return to === undefined || this.#exchange.signal.aborted ? undefined : { kind: "moved", to };
    }

    #writeHead(head: TargetResponseHead): void {
        const { response } = this.#exchange;
        if (response.headersSent || response.destroyed) {
            return;
        }
        writeResponseHead(response, { head });
        response.flushHeaders();
    }

    /** Sends comments and the events that the caller does not have yet; returns the bytes of these events. */
    async #sendEvents(events: readonly RelayedEvent[], limits: StreamLimits): Promise<number> {
        const sent: Uint8Array[] = [];
        let newBytes = 0;
        try {
            for (const event of events) {
                const isNew = this.#progress.isNew(event.id);
                limits.recordEvent(isNew && !event.isComment, this.#progress.eventCount);
                if (!isNew) {
                    continue;
                }
                if (!event.isComment) {
                    this.#recordEvent(event);
                    newBytes += event.bytes.length;
                }
                sent.push(event.bytes);
            }
        }
        finally {
            // One write for all: each holds several times the bytes of a small event until the caller has read it.
            if (sent.length > 0 && await writeBodyPart(this.#exchange.response, Buffer.concat(sent))) {
                this.#eventWindow.restart();
            }
        }
        return newBytes;
    }

    /** Records that the caller gets an event; throws if events before it are missing. */
    #recordEvent({ id }: RelayedEvent): void {
        const { route, arrivedAt } = this.#exchange;
        if (this.#lastEventAt === undefined && this.#progress.hasGap(id)) {
            throw new Error(`events after ${this.#progress.lastEventId} are missing before ${id}`);
        }
        const pause = this.#progress.recordEvent(id, this.#now);
        this.#lastEventAt = this.#now;
        if (pause === undefined) {
            this.#context.metrics.observeFirstByte(route.name, this.#now - arrivedAt);
        }
        else if (this.#isAwaitingEventAfterMove) {
            this.#recordMovePause(pause);
        }
    }

    #recordMovePause(pause: number): void {
        this.#isAwaitingEventAfterMove = false;
        this.#context.metrics.observeMovePause(pause);
        this.#context.log.record("trouble", "stream went on after a move", {
            request: this.#exchange.request.id,
            target: this.targetId,
            pauseMilliseconds: Math.round(pause),
            events: this.#progress.eventCount,
        });
    }

    /**
     * Moves a generation whose connection is lost. The attempt is abandoned only after the move, whose result shows
     * whether the generation was stopped.
     */
    #moveGenerationAfterStall(attemptAbort: AbortController): void {
        this.startMove({ noticedAt: this.#now, plan: { destination: undefined, startAt: 0, finalAt: 0 } });
        void this.#move?.waitForEnd().then(() => attemptAbort.abort());
    }

    #canRetry({ verdict, isUnreachable }: { verdict: Verdict; isUnreachable?: boolean; }): boolean {
        const { route, service, signal } = this.#exchange;
        const { state, clock, partitionMonitor } = this.#context;
        const isSafe = verdict === "not-run" && this.#verdict === "not-run" || isRepeatable(route);
        if (
            signal.aborted || !isSafe || isUnreachable === true && partitionMonitor.isPartitioned
            || !this.#crashGuard.isRetryAllowed()
            || this.#possibleRuns >= Math.max(1, route.maxAttempts)
        ) {
            return false;
        }
        // A target that accepted no connection received nothing, so the retry does not count against the budget.
        return isUnreachable === true
            || state.getRetryShare(service.name).takeRetry(clock.getMonotonic(), state.instances);
    }

    #finish(): void {
        this.#exchange.response.end();
        const detail = this.#describeEvents();
        const isAbnormal = this.#attempts.length > 1;
        recordOutcome(this.#context, this.#exchange, {
            name: "complete",
            isAbnormal,
            attempts: this.#attempts,
            detail,
        });
    }

    #sendResponse(targetResponse: { head: TargetResponseHead; body: Buffer; }): void {
        const { response } = this.#exchange;
        const { head, body } = targetResponse;
        if (response.headersSent || isUnconfirmedRefusal(head)) {
            this.#verdict = "ran";
            this.#fail(`failed with ${head.status}`);
            return;
        }
        writeResponseHead(response, { head, length: body.length });
        response.end(body);
        const name = `answered ${head.status}`;
        recordOutcome(this.#context, this.#exchange, { name, isAbnormal: true, attempts: this.#attempts });
    }

    #fail(reason: string): void {
        const { response } = this.#exchange;
        const isDisconnected = this.#exchange.isCallerDisconnected();
        const verdict = this.#verdict;
        const detail = { reason, verdict, ...this.#describeEvents() };
        if (response.headersSent) {
            abortResponse(response);
        }
        else if (!isDisconnected) {
            const code = verdict === "not-run"
                ? this.#quarantined === undefined ? "busy" as const : getQuarantineCode(this.#quarantined)
                : this.#remainingMilliseconds <= 0
                ? "deadline" as const
                : "target_failed" as const;
            sendError(this.#exchange, {
                message: `Cannot serve the stream: ${reason}.`,
                code,
                verdict,
                ...verdict === "not-run" ? { retryAfterSeconds: this.#retryAfterSeconds } : {},
            });
        }
        const name = isDisconnected
            ? "caller gone"
            : verdict === "not-run"
            ? "refused"
            : response.headersSent
            ? "broken off"
            : "failed";
        recordOutcome(this.#context, this.#exchange, { name, isAbnormal: true, attempts: this.#attempts, detail });
    }

    #describeEvents(): Record<string, unknown> {
        const { promptTokens, outputTokens } = this.#requestLoad;
        return {
            promptTokens,
            expectedTokens: Math.round(outputTokens),
            moves: this.#moves,
            ...this.#progress.describeEvents(this.#exchange.arrivedAt),
        };
    }

    /** Number of output tokens so far, estimated from the number of events. */
    get #outputTokens(): number {
        return this.#progress.eventCount * (this.#exchange.service.engine?.tokensPerEvent ?? 1);
    }

    get #now(): number {
        return this.#context.clock.getMonotonic();
    }

    get #remainingMilliseconds(): number {
        return this.#exchange.deadline - this.#now;
    }
}
