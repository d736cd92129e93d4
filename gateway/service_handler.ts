/**
 * Serves requests to plain services; those that may not be repeated are claimed first.
 *
 * @module
 */
import { createHash, randomUUID } from "node:crypto";
import type { ClaimOutcome, ClaimRequest, ClaimResult } from "../core/claims/mod.ts";
import { classifyWork, type Kind, type RoutedTarget } from "../core/inventory/mod.ts";
import { decideRetry, decideVerdict, mergeVerdicts, type Verdict } from "../core/verdict/mod.ts";
import { chooseRetryAfter, createRefusal, mergeIntoError, ServingError } from "../network/serving_error.ts";
import type { Placement } from "./dispatcher.ts";
import type { HandlerContext } from "./generation_handler.ts";
import type { RequestContext } from "./request_context.ts";
import { callService, pickHeaders, type ServiceAnswer, type ServiceAttempt } from "./service_client.ts";

interface ServiceJob {
    context: RequestContext;
    service: string;
    path: string;
    body: Buffer;
    kind: Kind;
    requestId: string;
    until: number;
}

/** How a job that made no answer ended. */
interface JobFailure {
    verdict: Verdict;
    message: string;
    target: RoutedTarget;
}

type JobResult = { kind: "answered"; answer: ServiceAnswer; } | { kind: "failed"; failure: JobFailure; };

const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** Longest body that is kept for those who repeat a key, in bytes. */
const MAX_KEPT_BODY = 65_536;
const MAX_KEY_LENGTH = 255;
const OUTCOME_TIMEOUT = 1000;

/** Serves requests to plain services. */
export class ServiceHandler {
    readonly #shared: HandlerContext;

    constructor(shared: HandlerContext) {
        this.#shared = shared;
    }

    /** Serves one request for `input.service`. */
    async handleService(
        context: RequestContext,
        input: { service: string; path: string; body: Buffer; },
    ): Promise<void> {
        const job = this.#buildJob(context, input);
        const key = parseKey(context.request.headers["idempotency-key"]);
        try {
            const answer = job.kind.isRepeatable || key === undefined
                ? await this.#runUnclaimed(job)
                : await this.#runClaimed(job, key);
            sendAnswer(context, answer);
            this.#shared.metrics.countEnd(job.kind.name, "finished");
        }
        catch (error) {
            if (error instanceof ServingError) {
                this.#shared.metrics.countEnd(job.kind.name, error.code);
            }
            throw error;
        }
    }

    #buildJob(context: RequestContext, input: { service: string; path: string; body: Buffer; }): ServiceJob {
        const { table } = this.#shared.routing;
        if (!table.targetsByService.has(input.service)) {
            throw new ServingError(`Cannot serve "${input.service}": the inventory has no such service.`, {
                code: "unknown_service",
                verdict: "not-run",
            });
        }
        const method = context.request.method ?? "GET";
        const work = { service: input.service, method, path: input.path, kind: undefined };
        const kind = classifyWork(work, { table, account: context.account });
        const header = context.request.headers["x-request-id"];
        const requestId = typeof header === "string" ? header : randomUUID();
        const until = Math.min(context.deadline, performance.now() + kind.patienceMilliseconds);
        return { context, ...input, kind, requestId, until };
    }

    async #runUnclaimed(job: ServiceJob): Promise<ServiceAnswer> {
        const result = await this.#runAttempts(job);
        if (result.kind === "answered") {
            return result.answer;
        }
        throw this.#createFailure(result.failure);
    }

    async #runClaimed(job: ServiceJob, key: string): Promise<ServiceAnswer> {
        const { link, metrics, settings } = this.#shared;
        const request: ClaimRequest = {
            key: `${job.context.account.name}/${job.service}/${key}`,
            holder: `${settings.instance}-${randomUUID()}`,
            fingerprint: computeFingerprint(job),
        };
        this.#checkServing();
        const result = await link.requestClaim(request);
        metrics.countClaim(result.kind);
        if (result.kind !== "claimed") {
            return this.#answerUnclaimed(job, { key, result });
        }
        const settle = (outcome?: ClaimOutcome): void => {
            const { key: claimKey, holder } = request;
            link.settleClaim({ kind: "settle", key: claimKey, holder, ...outcome === undefined ? {} : { outcome } });
        };
        const end = await this.#runHolding(job, settle);
        if (end.kind === "answered") {
            settle(encodeOutcome(end.answer));
            return end.answer;
        }
        return this.#resolveFailure(job, { failure: end.failure, key, settle });
    }

    /** Runs a job under its claim, and makes the claim void where the job did not run. */
    async #runHolding(job: ServiceJob, settle: (outcome?: ClaimOutcome) => void): Promise<JobResult> {
        try {
            return await this.#runAttempts(job);
        }
        catch (error) {
            if (error instanceof ServingError && error.verdict === "not-run") {
                settle();
            }
            throw error;
        }
    }

    async #resolveFailure(
        job: ServiceJob,
        end: { failure: JobFailure; key: string; settle: (outcome?: ClaimOutcome) => void; },
    ): Promise<ServiceAnswer> {
        const { failure, key, settle } = end;
        if (failure.verdict === "not-run") {
            settle();
            throw this.#createFailure(failure);
        }
        const found = await this.#findOutcome(job, { target: failure.target, key });
        if (found === undefined) {
            throw this.#createFailure(failure);
        }
        settle(encodeOutcome(found));
        return found;
    }

    /** Asks a target that keeps outcomes how the request with `key` ended. */
    async #findOutcome(
        job: ServiceJob,
        place: { target: RoutedTarget; key: string; },
    ): Promise<ServiceAnswer | undefined> {
        const { outcomePath } = place.target;
        if (outcomePath === undefined) {
            return undefined;
        }
        const attempt = await callService({
            target: place.target,
            method: "GET",
            path: outcomePath.replace("{key}", encodeURIComponent(place.key)),
            headers: { "x-request-id": job.requestId },
            body: Buffer.alloc(0),
            connectMilliseconds: this.#shared.settings.connectMilliseconds,
            timeoutMilliseconds: OUTCOME_TIMEOUT,
            maxAnswerBytes: MAX_ANSWER_BYTES,
        });
        return attempt.kind === "answered" && attempt.answer.status !== 404 ? attempt.answer : undefined;
    }

    /** Answers a request whose key is taken, or whose claim could not be made. */
    async #answerUnclaimed(
        job: ServiceJob,
        claim: { key: string; result: Exclude<ClaimResult, { kind: "claimed"; }>; },
    ): Promise<ServiceAnswer> {
        const { key, result } = claim;
        switch (result.kind) {
            case "answered":
                return decodeOutcome(result.outcome);
            case "mismatch":
                throw new ServingError(`Cannot accept the idempotency key "${key}": it was used for another request.`, {
                    code: "key_mismatch",
                    verdict: "not-run",
                });
            case "held":
                return this.#answerHeld(job, key);
            case "unavailable":
                throw this.#refuse(
                    "claim_unavailable",
                    "Cannot claim the idempotency key: the platform gives no answer. This attempt did not run.",
                );
        }
    }

    /** The key's request may be running, or its gateway may be gone; the targets that keep outcomes are asked. */
    async #answerHeld(job: ServiceJob, key: string): Promise<ServiceAnswer> {
        const { routing } = this.#shared;
        for (const name of routing.table.targetsByService.get(job.service) ?? []) {
            const target = routing.findTarget(name);
            const found = target === undefined ? undefined : await this.#findOutcome(job, { target, key });
            if (found !== undefined) {
                return found;
            }
        }
        throw new ServingError(`The request with the idempotency key "${key}" is running or may have run.`, {
            code: "in_progress",
            verdict: "may-have-run",
            retryAfterSeconds: chooseRetryAfter(this.#shared.random),
        });
    }

    async #runAttempts(job: ServiceJob): Promise<JobResult> {
        const avoid = new Set<string>();
        let verdict: Verdict = "not-run";
        this.#shared.retryBudget.recordAttempt();
        for (let attempts = 1;; attempts += 1) {
            const placement = await this.#place(job, { avoid, verdict });
            const attempt = await this.#runAttempt(job, placement);
            if (attempt.kind === "answered") {
                return attempt;
            }
            verdict = mergeVerdicts(verdict, decideVerdict(attempt.progress));
            avoid.add(placement.target.name);
            const isAllowed = decideRetry({
                verdict,
                isRepeatable: job.kind.isRepeatable,
                hasReachedCaller: false,
                attempts,
                remainingMilliseconds: job.until - performance.now(),
            });
            if (!isAllowed || !this.#shared.retryBudget.takeRetry()) {
                return { kind: "failed", failure: { verdict, message: attempt.message, target: placement.target } };
            }
            this.#shared.metrics.countRetry();
        }
    }

    async #place(
        job: ServiceJob,
        state: { avoid: ReadonlySet<string>; verdict: Verdict; },
    ): Promise<Placement> {
        const { context, service, kind, until } = job;
        const { routing, dispatcher } = this.#shared;
        try {
            return await dispatcher.requestPlacement({
                lane: service,
                targets: () => routing.table.targetsByService.get(service) ?? [],
                account: context.account.name,
                weight: context.account.weight,
                priority: kind.priority,
                promptTokens: 0,
                lengths: [],
                until,
                signal: AbortSignal.any([context.callerSignal, context.deadlineSignal]),
                avoid: state.avoid,
            });
        }
        catch (error) {
            throw mergeIntoError(error, state.verdict);
        }
    }

    async #runAttempt(job: ServiceJob, placement: Placement): Promise<ServiceAttempt> {
        const { settings } = this.#shared;
        const { request } = job.context;
        const remaining = job.until - performance.now();
        const limit = job.kind.isRepeatable
            ? settings.serviceMilliseconds
            : Math.max(settings.serviceMilliseconds, remaining);
        const attempt = await callService({
            target: placement.target,
            method: request.method ?? "GET",
            path: job.path,
            headers: { ...pickHeaders(request.headers), "x-request-id": job.requestId },
            body: job.body,
            connectMilliseconds: settings.connectMilliseconds,
            timeoutMilliseconds: Math.max(1, Math.min(limit, remaining)),
            maxAnswerBytes: MAX_ANSWER_BYTES,
        });
        const isRefused = attempt.kind === "failed" && attempt.progress === "refused";
        placement.release(attempt.kind === "answered" ? "finished" : isRefused ? "refused" : "broken");
        return attempt;
    }

    #checkServing(): void {
        const { notServing } = this.#shared.routing;
        if (notServing !== "") {
            throw this.#refuse("not_serving", `Cannot start new work: ${notServing}.`);
        }
    }

    #refuse(code: "claim_unavailable" | "not_serving", message: string): ServingError {
        return createRefusal(message, { code, random: this.#shared.random });
    }

    #createFailure(failure: JobFailure): ServingError {
        return new ServingError(`Cannot serve the request: target "${failure.target.name}": ${failure.message}.`, {
            code: "target_failed",
            verdict: failure.verdict,
            retryAfterSeconds: chooseRetryAfter(this.#shared.random),
        });
    }
}

function sendAnswer(context: RequestContext, answer: ServiceAnswer): void {
    const { response } = context;
    response.writeHead(answer.status, { ...answer.headers, "content-length": answer.body.length });
    response.end(answer.body);
}

function parseKey(header: string | string[] | undefined): string | undefined {
    if (header === undefined) {
        return undefined;
    }
    if (typeof header !== "string" || header.length === 0 || header.length > MAX_KEY_LENGTH) {
        throw new ServingError(
            `Cannot read idempotency-key: it must be one text of 1 to ${MAX_KEY_LENGTH} characters.`,
            {
                code: "bad_request",
                verdict: "not-run",
            },
        );
    }
    return header;
}

function computeFingerprint(job: ServiceJob): string {
    const hash = createHash("sha256");
    hash.update(`${job.context.request.method} ${job.service} ${job.path}\n`);
    return hash.update(job.body).digest("base64");
}

function encodeOutcome(answer: ServiceAnswer): ClaimOutcome {
    const headers = Object.fromEntries(Object.entries(answer.headers).map(([name, value]) => [name, String(value)]));
    const isKept = answer.body.length <= MAX_KEPT_BODY;
    return { status: answer.status, headers, ...isKept ? { body: answer.body.toString("base64") } : {} };
}

function decodeOutcome(outcome: ClaimOutcome): ServiceAnswer {
    if (outcome.body === undefined) {
        throw new ServingError("The request ran before; its answer was too large to keep.", {
            code: "in_progress",
            verdict: "ran",
        });
    }
    const headers = { ...outcome.headers, "idempotent-replayed": "true" };
    return { status: outcome.status, headers, body: Buffer.from(outcome.body, "base64") };
}
