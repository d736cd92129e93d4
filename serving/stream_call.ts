/**
 * Serves streams: relays whole events as they arrive, and goes on elsewhere where the stream may.
 *
 * @module
 */
import {
    estimateOutput,
    EventSplitter,
    isRepeatable,
    type RelayedEvent,
    StreamProgress,
    type WorkItem,
} from "../core/serving/mod.ts";
import { decideVerdict, mergeVerdicts, type Verdict } from "../core/verdict/mod.ts";
import { readBody } from "../network/mod.ts";
import { type MemoryCopy, type TargetAnswerHead } from "../platform/mod.ts";
import {
    answerError,
    type AttemptRecord,
    breakOff,
    buildTargetCall,
    type CallerExchange,
    computeWorkItem,
    describeAttempt,
    findPlace,
    isUntruePromise,
    recordEnd,
    type ServingContext,
    writeAnswerHead,
} from "./caller_exchange.ts";
import type { HeldPlace } from "./place_finder.ts";
import { type MovedRun, type MoveNotice, RunMove } from "./run_move.ts";
import { SilenceWatch } from "./silence_watch.ts";
import { isUnreachable, type TargetAnswer, TargetCallError } from "./target_connections.ts";

/** One attempt whose stream is relayed. */
interface RelayAttempt {
    place: HeldPlace;
    stall: AbortController;
    silence: SilenceWatch;
}

/** How one attempt at a target ended. */
type AttemptResult =
    /** The stream came to its end. */
    | { kind: "complete"; }
    /** The target answered with something else than a stream. */
    | { kind: "answered"; head: TargetAnswerHead; body: Buffer; }
    /** The run goes on at another target. */
    | { kind: "moved"; to: MovedRun; }
    /** The attempt gave no whole stream. */
    | { kind: "failed"; verdict: Verdict; reason: string; isUnreachable?: boolean; };

/** Streams that are being relayed, for those who move them. */
export interface ActiveStream {
    /** Identity of the target that runs the stream. */
    readonly targetId: string;
    /** Identity of the request. */
    readonly requestId: string;
    /** True where its run can be moved, and not started anew. */
    readonly isMovable: boolean;
    /** True once a move of its run has begun. */
    readonly isMoving: boolean;
    /** Moves the run away from its target, which leaves. */
    startMove(notice: MoveNotice): void;
}

/** Largest answer other than a stream, in bytes. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** Most targets that are asked while each refuses before running. */
const MAX_SENDS = 8;

/** Serves one stream. */
export async function handleStreamCall(
    context: ServingContext,
    options: { exchange: CallerExchange; active: Set<ActiveStream>; },
): Promise<void> {
    await new StreamCall(context, options).run();
}

class StreamCall implements ActiveStream {
    readonly #context: ServingContext;
    readonly #exchange: CallerExchange;
    readonly #active: Set<ActiveStream>;
    readonly #avoid = new Set<string>();
    readonly #attempts: AttemptRecord[] = [];
    readonly #item: WorkItem;
    #verdict: Verdict = "not-run";
    #runs = 0;
    #retryAfterSeconds = 0.3;
    readonly #progress: StreamProgress;
    #moves = 0;
    #isAfterMove = false;
    #isFramed = true;
    /** Set while a target runs the stream. */
    #place: HeldPlace | undefined;
    #move: RunMove | undefined;

    constructor(context: ServingContext, options: { exchange: CallerExchange; active: Set<ActiveStream>; }) {
        this.#context = context;
        this.#exchange = options.exchange;
        this.#active = options.active;
        this.#progress = new StreamProgress(options.exchange.request.resumeAfter);
        this.#item = computeWorkItem(options.exchange.request);
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
        return this.#place?.target.id ?? "";
    }

    startMove(notice: MoveNotice): void {
        const { service, request } = this.#exchange;
        const place = this.#place;
        if (place === undefined || !this.isMovable || this.#move !== undefined) {
            return;
        }
        this.#move = new RunMove(this.#context, {
            requestId: request.id,
            source: place.target,
            service,
            item: { ...this.#item, outputTokens: estimateOutput(this.#item.outputTokens, this.#outputTokens) },
            notice,
            countEvents: () => this.#progress.eventCount,
        });
        void this.#move.run();
    }

    async run(): Promise<void> {
        this.#active.add(this);
        try {
            await this.#runAttempts();
        }
        finally {
            this.#active.delete(this);
            this.#move?.cancel();
        }
    }

    async #runAttempts(): Promise<void> {
        const { state, clock } = this.#context;
        state.getRetryShare(this.#exchange.service.name).recordRequest(clock.getMonotonic());
        let reason = "";
        let moved: MovedRun | undefined;
        for (let sends = 0; sends < MAX_SENDS + this.#moves; sends += 1) {
            const place: HeldPlace | undefined = moved?.place ?? await this.#findPlace();
            if (place === undefined) {
                reason = "no target has room";
                break;
            }
            const result = await this.#runAttempt(place, moved?.copy);
            const origin: MovedRun | undefined = moved;
            moved = undefined;
            if (result.kind === "complete") {
                this.#finish();
                return;
            }
            if (result.kind === "answered") {
                this.#sendAnswer(result);
                return;
            }
            if (result.kind === "moved") {
                moved = result.to;
                this.#isAfterMove = true;
                this.#moves += 1;
                continue;
            }
            reason = result.reason;
            if (origin !== undefined && result.verdict === "not-run") {
                // The destination refused the copy; the source has stopped the run and still keeps its memory.
                moved = origin.takeBack?.();
                if (moved !== undefined) {
                    this.#moves += 1;
                    continue;
                }
            }
            if (!this.#mayRepeat(result)) {
                break;
            }
        }
        this.#fail(reason);
    }

    async #findPlace(): Promise<HeldPlace | undefined> {
        const attempt = { exchange: this.#exchange, item: this.#item, avoid: this.#avoid };
        const answer = await findPlace(this.#context, attempt);
        if (answer.kind === "placed") {
            return answer.place;
        }
        this.#retryAfterSeconds = answer.retryAfterSeconds;
        return undefined;
    }

    async #runAttempt(place: HeldPlace, copy: MemoryCopy | undefined): Promise<AttemptResult> {
        const startedAt = this.#now;
        this.#place = place;
        this.#move = undefined;
        const result = await this.#relay(place, copy).finally(() => {
            this.#place = undefined;
            place.release();
        });
        this.#recordAttempt(place, { result, startedAt });
        return result;
    }

    #recordAttempt(place: HeldPlace, attempt: { result: AttemptResult; startedAt: number; }): void {
        const { state, metrics } = this.#context;
        const { result, startedAt } = attempt;
        const name = result.kind === "failed" ? result.reason : result.kind;
        this.#attempts.push(describeAttempt(place, { result: name, startedAt, now: this.#now }));
        metrics.countAttempt(this.#exchange.service.name, result.kind === "failed" ? result.verdict : result.kind);
        if (result.kind === "moved" || this.#progress.eventCount > 0) {
            this.#verdict = mergeVerdicts(this.#verdict, "may-have-run");
        }
        const hasFailed = result.kind === "failed";
        if (!this.#exchange.isCallerGone()) {
            state.recordAttempt(place.target.id, {
                hasFailed,
                isUnreachable: hasFailed && result.isUnreachable === true,
            });
        }
        if (!hasFailed) {
            return;
        }
        this.#avoid.add(place.target.id);
        this.#verdict = mergeVerdicts(this.#verdict, result.verdict);
        this.#runs += result.verdict === "not-run" ? 0 : 1;
    }

    async #relay(place: HeldPlace, copy: MemoryCopy | undefined): Promise<AttemptResult> {
        const stall = new AbortController();
        const silence = new SilenceWatch(this.#context, {
            exchange: this.#exchange,
            place,
            countEvents: () => this.#progress.eventCount,
            mayRepeat: () => this.#runs + 1 < this.#exchange.route.maxAttempts,
            leave: () => stall.abort(),
            move: () => this.#moveSilentRun(stall),
        });
        try {
            const answer = await this.#context.connections.sendRequest(buildTargetCall(this.#exchange, {
                target: place.target,
                remainingMilliseconds: this.#remaining,
                resumeAfter: this.#progress.lastEventId,
                copy,
                signal: AbortSignal.any([this.#exchange.signal, stall.signal]),
            }));
            return await this.#handleAnswer(answer, { place, stall, silence });
        }
        catch (error) {
            const verdict = error instanceof TargetCallError ? decideVerdict(error.progress) : "may-have-run";
            const reason = stall.signal.aborted
                ? "stream is silent"
                : error instanceof Error
                ? error.message
                : String(error);
            const failure = { kind: "failed" as const, verdict, reason, isUnreachable: isUnreachable(error) };
            return await this.#awaitMove() ?? failure;
        }
        finally {
            silence.stop();
        }
    }

    async #handleAnswer(
        answer: TargetAnswer,
        attempt: RelayAttempt,
    ): Promise<AttemptResult> {
        const { head, response } = answer;
        if (head.status === 200 && head.isSealed && head.requestId === this.#exchange.request.id) {
            this.#writeHead(head);
            return this.#relayEvents(answer, attempt);
        }
        const body = await readBody(response, { maxBytes: MAX_ANSWER_BYTES });
        if (head.isRefusal) {
            return { kind: "failed", verdict: "not-run", reason: `refused with ${head.status}` };
        }
        if (!head.isSealed || !answer.isWhole() || head.requestId !== this.#exchange.request.id) {
            return { kind: "failed", verdict: "may-have-run", reason: `unsigned answer ${head.status}` };
        }
        if (head.status >= 500 && isRepeatable(this.#exchange.route)) {
            return { kind: "failed", verdict: "ran", reason: `failed with ${head.status}` };
        }
        return { kind: "answered", head, body };
    }

    async #relayEvents(
        answer: TargetAnswer,
        attempt: RelayAttempt,
    ): Promise<AttemptResult> {
        const { response: source } = answer;
        const splitter = new EventSplitter();
        let failure = "stream broke off";
        try {
            for await (const chunk of source as AsyncIterable<Buffer>) {
                const events = splitter.handleChunk(chunk);
                if (events.length > 0) {
                    attempt.place.markAnswered();
                    attempt.silence.restart();
                    await this.#sendEvents(events);
                    attempt.place.recordOutput(this.#outputTokens);
                }
            }
        }
        catch (error) {
            failure = error instanceof Error ? error.message : String(error);
        }
        finally {
            answer.close();
        }
        // A run that a move has stopped ends its stream too; only the move's answer tells which it was.
        const moved = await this.#awaitMove();
        if (moved !== undefined) {
            return moved;
        }
        // Where an answer in chunks goes on with one that only its connection ends, its end can't be told from a break.
        const isEndCertain = answer.head.isFramed || !this.#isFramed;
        if (isEndCertain && answer.isWhole() && splitter.getRest().length === 0 && !this.#exchange.signal.aborted) {
            return { kind: "complete" };
        }
        const reason = attempt.stall.signal.aborted ? "stream is silent" : failure;
        return { kind: "failed", verdict: "may-have-run", reason };
    }

    async #awaitMove(): Promise<AttemptResult | undefined> {
        const to = await this.#move?.waitForEnd();
        return to === undefined || this.#exchange.signal.aborted ? undefined : { kind: "moved", to };
    }

    #writeHead(head: TargetAnswerHead): void {
        const { response } = this.#exchange;
        if (response.headersSent || response.destroyed) {
            return;
        }
        writeAnswerHead(response, { head });
        response.flushHeaders();
        this.#isFramed = head.isFramed;
    }

    async #sendEvents(events: readonly RelayedEvent[]): Promise<void> {
        const { response, route, arrivedAt } = this.#exchange;
        for (const event of events) {
            if (!this.#progress.isNext(event.id)) {
                continue;
            }
            const pause = this.#progress.recordEvent(event.id, this.#now);
            if (pause === undefined) {
                this.#context.metrics.observeFirstByte(route.name, this.#now - arrivedAt);
            }
            else if (this.#isAfterMove) {
                this.#recordMovePause(pause);
            }
            if (!response.destroyed && !response.write(event.bytes)) {
                await waitForDrain(response);
            }
        }
    }

    #recordMovePause(pause: number): void {
        this.#isAfterMove = false;
        this.#context.metrics.observeMovePause(pause);
        this.#context.log.record("trouble", "stream went on after a move", {
            request: this.#exchange.request.id,
            target: this.targetId,
            pauseMilliseconds: Math.round(pause),
            events: this.#progress.eventCount,
        });
    }

    /** Moves a run whose connection is lost; only the move's end tells that it has stopped there. */
    #moveSilentRun(stall: AbortController): void {
        this.startMove({ noticedAt: this.#now, plan: { destination: undefined, startAt: 0, finalAt: 0 } });
        void this.#move?.waitForSteps().then(() => stall.abort());
    }

    #mayRepeat({ verdict, isUnreachable }: { verdict: Verdict; isUnreachable?: boolean; }): boolean {
        const { route, service, signal } = this.#exchange;
        const { state, clock } = this.#context;
        const isHarmless = verdict === "not-run" && this.#verdict === "not-run" || isRepeatable(route);
        if (signal.aborted || !isHarmless || this.#runs >= Math.max(1, route.maxAttempts)) {
            return false;
        }
        // A target that took no connection got nothing, so that nothing of the budget is used.
        return isUnreachable === true
            || state.getRetryShare(service.name).takeRepeat(clock.getMonotonic(), state.instances);
    }

    #finish(): void {
        this.#exchange.response.end();
        const detail = this.#describeEvents();
        const isTrouble = this.#attempts.length > 1;
        recordEnd(this.#context, this.#exchange, { name: "complete", isTrouble, attempts: this.#attempts, detail });
    }

    #sendAnswer(answer: { head: TargetAnswerHead; body: Buffer; }): void {
        const { response } = this.#exchange;
        const { head, body } = answer;
        if (response.headersSent || isUntruePromise(head)) {
            this.#verdict = "ran";
            this.#fail(`failed with ${head.status}`);
            return;
        }
        writeAnswerHead(response, { head, length: body.length });
        response.end(body);
        const name = `answered ${head.status}`;
        recordEnd(this.#context, this.#exchange, { name, isTrouble: true, attempts: this.#attempts });
    }

    #fail(reason: string): void {
        const { response } = this.#exchange;
        const isGone = this.#exchange.isCallerGone();
        const verdict = this.#verdict;
        const detail = { reason, verdict, ...this.#describeEvents() };
        if (response.headersSent) {
            breakOff(response);
        }
        else if (!isGone) {
            const code = verdict === "not-run"
                ? "busy" as const
                : this.#remaining <= 0
                ? "deadline" as const
                : "target_failed" as const;
            answerError(this.#exchange, {
                message: `Cannot serve the stream: ${reason}.`,
                code,
                verdict,
                ...verdict === "not-run" ? { retryAfterSeconds: this.#retryAfterSeconds } : {},
            });
        }
        const name = isGone
            ? "caller gone"
            : verdict === "not-run"
            ? "refused"
            : response.headersSent
            ? "broken off"
            : "failed";
        recordEnd(this.#context, this.#exchange, { name, isTrouble: true, attempts: this.#attempts, detail });
    }

    #describeEvents(): Record<string, unknown> {
        const { promptTokens, outputTokens } = this.#item;
        return {
            promptTokens,
            expectedTokens: Math.round(outputTokens),
            moves: this.#moves,
            ...this.#progress.describeEvents(this.#exchange.arrivedAt),
        };
    }

    /** Tokens of the output so far, as far as events tell. */
    get #outputTokens(): number {
        return this.#progress.eventCount * (this.#exchange.service.engine?.tokensPerEvent ?? 1);
    }

    get #now(): number {
        return this.#context.clock.getMonotonic();
    }

    get #remaining(): number {
        return this.#exchange.deadline - this.#now;
    }
}

/** Waits until a caller that reads slowly takes more, or has gone. */
function waitForDrain(response: CallerExchange["response"]): Promise<void> {
    return new Promise(resolve => {
        const end = (): void => {
            response.off("drain", end);
            response.off("close", end);
            resolve();
        };
        response.once("drain", end);
        response.once("close", end);
    });
}
