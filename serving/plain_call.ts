/**
 * Serves requests whose answers are short: places them, reads the whole answer, and repeats where that is allowed.
 *
 * @module
 */
import { isRepeatable } from "../core/serving/mod.ts";
import { decideRetry, decideVerdict, mergeVerdicts, type Verdict } from "../core/verdict/mod.ts";
import { readBody } from "../network/mod.ts";
import type { TargetAnswerHead } from "../platform/mod.ts";
import {
    answerError,
    type AttemptRecord,
    buildTargetCall,
    type CallerExchange,
    describeAttempt,
    findPlace,
    isUntruePromise,
    recordEnd,
    type ServingContext,
    writeAnswerHead,
} from "./caller_exchange.ts";
import type { HeldPlace } from "./place_finder.ts";
import { isUnreachable, TargetCallError } from "./target_connections.ts";

/** How one attempt ended. */
type AttemptResult =
    | { kind: "answered"; head: TargetAnswerHead; body: Buffer; }
    | { kind: "failed"; verdict: Verdict; reason: string; isUnreachable?: boolean; };

/** Size of a plain request, which says nothing of it. */
const NO_SIZE = { promptTokens: 0, outputTokens: 0 };
/** Largest answer that is held in memory, in bytes; plain answers are a few kilobytes. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** Most targets that are asked while each refuses before running. */
const MAX_SENDS = 8;
/** Time without an answer after which a repeatable request is tried elsewhere, in multiples of the objective. */
const PATIENCE_OBJECTIVES = 2;
/** Least time that an attempt gets, in milliseconds. */
const MIN_ATTEMPT = 120;

/** Serves one plain request. */
export async function handlePlainCall(context: ServingContext, exchange: CallerExchange): Promise<void> {
    await new PlainCall(context, exchange).run();
}

class PlainCall {
    readonly #context: ServingContext;
    readonly #exchange: CallerExchange;
    readonly #avoid = new Set<string>();
    readonly #attempts: AttemptRecord[] = [];
    #verdict: Verdict = "not-run";
    #runs = 0;
    #retryAfterSeconds = 0.2;
    /** Failure of a target that is passed on where no later attempt succeeds. */
    #failure: { head: TargetAnswerHead; body: Buffer; } | undefined;

    constructor(context: ServingContext, exchange: CallerExchange) {
        this.#context = context;
        this.#exchange = exchange;
    }

    async run(): Promise<void> {
        const { state, clock } = this.#context;
        state.getRetryShare(this.#exchange.service.name).recordRequest(clock.getMonotonic());
        let reason = "";
        for (let sends = 0; sends < MAX_SENDS; sends += 1) {
            const answer = await findPlace(this.#context, {
                exchange: this.#exchange,
                item: NO_SIZE,
                avoid: this.#avoid,
            });
            if (answer.kind === "refused") {
                reason = answer.reason;
                this.#retryAfterSeconds = answer.retryAfterSeconds;
                break;
            }
            const result = await this.#runAttempt(answer.place);
            if (result.kind === "answered") {
                this.#sendAnswer(result);
                return;
            }
            reason = result.reason;
            if (!this.#mayRepeat(result)) {
                break;
            }
        }
        this.#fail(reason);
    }

    async #runAttempt(place: HeldPlace): Promise<AttemptResult> {
        const { clock, state, metrics } = this.#context;
        const startedAt = clock.getMonotonic();
        const result = await this.#send(place).finally(place.release);
        const name = result.kind === "answered" ? String(result.head.status) : result.reason;
        this.#attempts.push(describeAttempt(place, { result: name, startedAt, now: clock.getMonotonic() }));
        metrics.countAttempt(this.#exchange.service.name, result.kind === "answered" ? "answered" : result.verdict);
        if (!this.#exchange.isCallerGone()) {
            const isUnreachable = result.kind === "failed" && result.isUnreachable === true;
            state.recordAttempt(place.target.id, { hasFailed: result.kind === "failed", isUnreachable });
        }
        if (result.kind === "failed") {
            this.#avoid.add(place.target.id);
            this.#verdict = mergeVerdicts(this.#verdict, result.verdict);
            this.#runs += result.verdict === "not-run" ? 0 : 1;
        }
        return result;
    }

    async #send(place: HeldPlace): Promise<AttemptResult> {
        const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(this.#attemptMilliseconds)));
        try {
            const answer = await this.#context.connections.sendRequest(buildTargetCall(this.#exchange, {
                target: place.target,
                remainingMilliseconds: this.#remaining,
                signal: AbortSignal.any([this.#exchange.signal, timeout]),
            }));
            const body = await readBody(answer.response, { maxBytes: MAX_ANSWER_BYTES });
            return this.#classifyAnswer({ head: answer.head, body, isComplete: answer.isWhole() });
        }
        catch (error) {
            const verdict = error instanceof TargetCallError ? decideVerdict(error.progress) : "may-have-run";
            const reason = timeout.aborted
                ? "no answer in time"
                : error instanceof Error
                ? error.message
                : String(error);
            return { kind: "failed", verdict, reason, isUnreachable: isUnreachable(error) };
        }
    }

    #classifyAnswer(answer: { head: TargetAnswerHead; body: Buffer; isComplete: boolean; }): AttemptResult {
        const { head, body, isComplete } = answer;
        if (head.isRefusal) {
            return { kind: "failed", verdict: "not-run", reason: `refused with ${head.status}` };
        }
        if (!isComplete) {
            return { kind: "failed", verdict: "may-have-run", reason: "answer broke off" };
        }
        if (!head.isSealed || head.requestId !== this.#exchange.request.id) {
            return { kind: "failed", verdict: "may-have-run", reason: `unsigned answer ${head.status}` };
        }
        if (head.status >= 500 && isRepeatable(this.#exchange.route)) {
            this.#failure = { head, body };
            return { kind: "failed", verdict: "ran", reason: `failed with ${head.status}` };
        }
        return { kind: "answered", head, body };
    }

    #mayRepeat({ verdict, isUnreachable }: { verdict: Verdict; isUnreachable?: boolean; }): boolean {
        const { route, service, signal } = this.#exchange;
        const { state, clock } = this.#context;
        const isAllowed = !signal.aborted
            && this.#runs < route.maxAttempts
            && decideRetry({
                verdict,
                isRepeatable: isRepeatable(route),
                hasReachedCaller: false,
                attempts: this.#attempts.length,
                remainingMilliseconds: this.#remaining,
            }, { maxAttempts: MAX_SENDS });
        // A target that took no connection got nothing, so that nothing of the budget is used.
        return isAllowed
            && (isUnreachable === true
                || state.getRetryShare(service.name).takeRepeat(clock.getMonotonic(), state.instances));
    }

    #sendAnswer(answer: { head: TargetAnswerHead; body: Buffer; }): void {
        const { response, route, arrivedAt } = this.#exchange;
        const { head, body } = answer;
        if (isUntruePromise(head)) {
            this.#verdict = "ran";
            this.#fail(`failed with ${head.status} after it may have run`);
            return;
        }
        if (!response.destroyed) {
            writeAnswerHead(response, { head, length: body.length });
            response.end(body);
        }
        this.#context.metrics.observeFirstByte(route.name, this.#context.clock.getMonotonic() - arrivedAt);
        const isTrouble = head.status >= 500 || this.#attempts.length > 1;
        recordEnd(this.#context, this.#exchange, {
            name: `answered ${head.status}`,
            isTrouble,
            attempts: this.#attempts,
        });
    }

    #fail(reason: string): void {
        if (this.#failure !== undefined && !isUntruePromise(this.#failure.head)) {
            const failure = this.#failure;
            this.#failure = undefined;
            this.#sendAnswer(failure);
            return;
        }
        const verdict = this.#verdict;
        const isLate = this.#remaining <= 0;
        const code = verdict === "not-run" ? "busy" as const : isLate ? "deadline" as const : "target_failed" as const;
        if (!this.#exchange.isCallerGone()) {
            answerError(this.#exchange, {
                message: `Cannot serve the request: ${reason}.`,
                code,
                verdict,
                ...verdict === "not-run" ? { retryAfterSeconds: this.#retryAfterSeconds } : {},
            });
        }
        const name = this.#exchange.isCallerGone() ? "caller gone" : verdict === "not-run" ? "refused" : "failed";
        const detail = { reason, verdict };
        recordEnd(this.#context, this.#exchange, { name, isTrouble: true, attempts: this.#attempts, detail });
    }

    get #remaining(): number {
        return this.#exchange.deadline - this.#context.clock.getMonotonic();
    }

    /** Time for one attempt: all that is left, unless the request can be tried elsewhere. */
    get #attemptMilliseconds(): number {
        const { route } = this.#exchange;
        const isLast = !isRepeatable(route) || this.#runs + 1 >= route.maxAttempts;
        if (isLast) {
            return this.#remaining;
        }
        const patience = Math.max(MIN_ATTEMPT, route.objectiveMilliseconds * PATIENCE_OBJECTIVES);
        return Math.min(this.#remaining, patience);
    }
}
