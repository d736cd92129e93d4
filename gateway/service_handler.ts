/**
 * Serves requests to services.
 *
 * A request that must not run twice is dispatched only under a durable claim on its idempotency key. Repeated requests
 * with the same key then receive the stored outcome.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { ClaimOutcome, ClaimRequest, ClaimResult } from "../core/claims/mod.ts";
import { classifyRequest, type Kind, type RoutedTarget } from "../core/inventory/mod.ts";
import { decideRetry, decideVerdict, mergeVerdicts, type Verdict } from "../core/verdict/mod.ts";
import { hashMessage, setUnframed } from "../network/mod.ts";
import {
    chooseRetryAfterSeconds,
    createRetryableError,
    mergeVerdictIntoError,
    ServingError,
} from "../network/serving_error.ts";
import type { Placement } from "./dispatcher.ts";
import type { HandlerDependencies } from "./generation_handler.ts";
import type { RequestContext } from "./request_context.ts";
import { callService, pickForwardedHeaders, type ServiceAttempt, type ServiceResponse } from "./service_client.ts";

/** A request to a service, as it is being served. */
interface ServiceJob {
    context: RequestContext;
    service: string;
    path: string;
    body: Buffer;
    /** Kind of the request, which determines its priority, its maximum wait, and whether it may be repeated. */
    kind: Kind;
    requestId: string;
    /** Monotonic time at which serving the request ends, in milliseconds. */
    deadline: number;
}

/** Why a job ended without a response. */
interface JobFailure {
    /** Merged verdict of all attempts. */
    verdict: Verdict;
    message: string;
    /** Target of the last attempt. */
    target: RoutedTarget;
}

type JobResult = { kind: "answered"; response: ServiceResponse; } | { kind: "failed"; failure: JobFailure; };

/** Maximum accepted size of a service's response body, in bytes. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
/** Maximum size of a response body that is stored for replay to repeated requests, in bytes. */
const MAX_STORED_BODY_BYTES = 65_536;
/** Maximum length of an idempotency key, in characters. */
const MAX_KEY_CHARACTERS = 255;
/** Time within which a target must return a stored outcome, in milliseconds. */
const OUTCOME_TIMEOUT_MILLISECONDS = 1000;
/** Header with the status of a stored outcome; the status of the call that fetches it tells only whether there is one. */
const OUTCOME_STATUS_HEADER = "x-outcome-status";

/** Serves requests to services. */
export class ServiceHandler {
    readonly #dependencies: HandlerDependencies;

    constructor(dependencies: HandlerDependencies) {
        this.#dependencies = dependencies;
    }

    /** Serves one request to `input.service`. */
    async handleService(
        context: RequestContext,
        input: { service: string; path: string; body: Buffer; },
    ): Promise<void> {
        const job = this.#buildJob(context, input);
        const key = parseIdempotencyKey(context.request.headers["idempotency-key"]);
        try {
            const response = job.kind.isRepeatable || key === undefined
                ? await this.#runWithoutClaim(job)
                : await this.#runWithClaim(job, key);
            sendServiceResponse(context, response);
            this.#dependencies.metrics.countRequestEnd(job.kind.name, "finished");
        }
        catch (error) {
            if (error instanceof ServingError) {
                this.#dependencies.metrics.countRequestEnd(job.kind.name, error.code);
            }
            throw error;
        }
    }

    #buildJob(context: RequestContext, input: { service: string; path: string; body: Buffer; }): ServiceJob {
        const { table } = this.#dependencies.routing;
        if (!table.targetsByService.has(input.service)) {
            throw new ServingError(`Cannot serve "${input.service}": the inventory has no such service.`, {
                code: "unknown_service",
                verdict: "not-run",
            });
        }
        const method = context.request.method ?? "GET";
        const description = { service: input.service, method, path: input.path, kind: undefined };
        const kind = classifyRequest(description, { table, account: context.account });
        const header = context.request.headers["x-request-id"];
        const requestId = typeof header === "string" ? header : randomUUID();
        const deadline = Math.min(context.deadline, performance.now() + kind.patienceMilliseconds);
        return { context, ...input, kind, requestId, deadline };
    }

    async #runWithoutClaim(job: ServiceJob): Promise<ServiceResponse> {
        const result = await this.#runAttempts(job);
        if (result.kind === "answered") {
            return result.response;
        }
        throw this.#createTargetFailedError(result.failure);
    }

    async #runWithClaim(job: ServiceJob, key: string): Promise<ServiceResponse> {
        const { agentClient, metrics, settings } = this.#dependencies;
        const request: ClaimRequest = {
            key: `${job.context.account.name}/${job.service}/${key}`,
            holder: `${settings.instance}-${randomUUID()}`,
            fingerprint: computeFingerprint(job),
        };
        this.#checkServing();
        const result = await agentClient.requestClaim(request);
        metrics.countClaim(result.kind);
        if (result.kind !== "claimed") {
            return this.#resolveWithoutClaim(job, { key, result });
        }
        const settleClaim = (outcome?: ClaimOutcome): void => {
            const { key: claimKey, holder } = request;
            agentClient.settleClaim({
                kind: "settle",
                key: claimKey,
                holder,
                ...outcome === undefined ? {} : { outcome },
            });
        };
        const end = await this.#runUnderClaim(job, settleClaim);
        if (end.kind === "answered") {
            settleClaim(encodeOutcome(end.response));
            return end.response;
        }
        return this.#resolveFailure(job, { failure: end.failure, key, settleClaim });
    }

    /** Runs a job under its claim, and settles the claim as not run if the job is known not to have run. */
    async #runUnderClaim(job: ServiceJob, settleClaim: (outcome?: ClaimOutcome) => void): Promise<JobResult> {
        try {
            return await this.#runAttempts(job);
        }
        catch (error) {
            if (error instanceof ServingError && error.verdict === "not-run") {
                settleClaim();
            }
            throw error;
        }
    }

    /**
     * Resolves the failure of a claimed job: settles the claim if the outcome is known or can be fetched from the
     * target, and otherwise leaves the claim held.
     */
    async #resolveFailure(
        job: ServiceJob,
        end: { failure: JobFailure; key: string; settleClaim: (outcome?: ClaimOutcome) => void; },
    ): Promise<ServiceResponse> {
        const { failure, key, settleClaim } = end;
        if (failure.verdict === "not-run") {
            settleClaim();
            throw this.#createTargetFailedError(failure);
        }
        const found = await this.#fetchOutcome(job, { target: failure.target, key });
        if (found === undefined) {
            throw this.#createTargetFailedError(failure);
        }
        settleClaim(encodeOutcome(found));
        return found;
    }

    /** Fetches the outcome of the request with `source.key` from a target, if the target stores outcomes and has it. */
    async #fetchOutcome(
        job: ServiceJob,
        source: { target: RoutedTarget; key: string; },
    ): Promise<ServiceResponse | undefined> {
        const { outcomePath } = source.target;
        if (outcomePath === undefined) {
            return undefined;
        }
        const attempt = await callService({
            target: source.target,
            method: "GET",
            path: outcomePath.replace("{key}", encodeURIComponent(source.key)),
            headers: { "x-request-id": job.requestId },
            body: Buffer.alloc(0),
            connectMilliseconds: this.#dependencies.settings.connectMilliseconds,
            timeoutMilliseconds: OUTCOME_TIMEOUT_MILLISECONDS,
            maxResponseBytes: MAX_RESPONSE_BYTES,
        });
        return attempt.kind === "answered" && attempt.response.status !== 404
            ? decodeFetchedOutcome(attempt.response)
            : undefined;
    }

    /**
     * Gets the response to a request that does not hold the claim on its key.
     *
     * @throws {ServingError} If there is no stored response, or the claim could not be made durable.
     */
    async #resolveWithoutClaim(
        job: ServiceJob,
        claim: { key: string; result: Exclude<ClaimResult, { kind: "claimed"; }>; },
    ): Promise<ServiceResponse> {
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
                return this.#resolveInProgress(job, key);
            case "unavailable":
                throw this.#createRetryableError(
                    "claim_unavailable",
                    "Cannot claim the idempotency key: the platform gives no answer. This attempt did not run.",
                );
        }
    }

    /**
     * Gets the response to a request whose key is held by another attempt. That attempt may still be running, or its
     * gateway may have stopped, so the outcome is fetched from the targets that store outcomes.
     *
     * @throws {ServingError} If no target has the outcome.
     */
    async #resolveInProgress(job: ServiceJob, key: string): Promise<ServiceResponse> {
        const { routing } = this.#dependencies;
        for (const name of routing.table.targetsByService.get(job.service) ?? []) {
            const target = routing.findTarget(name);
            const found = target === undefined ? undefined : await this.#fetchOutcome(job, { target, key });
            if (found !== undefined) {
                return found;
            }
        }
        throw new ServingError(`The request with the idempotency key "${key}" is running or may have run.`, {
            code: "in_progress",
            verdict: "may-have-run",
            retryAfterSeconds: chooseRetryAfterSeconds(this.#dependencies.random),
        });
    }

    async #runAttempts(job: ServiceJob): Promise<JobResult> {
        const avoidedTargets = new Set<string>();
        let verdict: Verdict = "not-run";
        this.#dependencies.retryBudget.recordFirstAttempt();
        for (let attempts = 1;; attempts += 1) {
            const placement = await this.#requestPlacement(job, { avoidedTargets, verdict });
            const attempt = await this.#runAttempt(job, placement);
            if (attempt.kind === "answered") {
                return attempt;
            }
            verdict = mergeVerdicts(verdict, decideVerdict(attempt.progress));
            avoidedTargets.add(placement.target.name);
            const isAllowed = decideRetry({
                verdict,
                isRepeatable: job.kind.isRepeatable,
                hasReachedCaller: false,
                attempts,
                remainingMilliseconds: job.deadline - performance.now(),
            });
            if (!isAllowed || !this.#dependencies.retryBudget.takeRetry()) {
                return { kind: "failed", failure: { verdict, message: attempt.message, target: placement.target } };
            }
            this.#dependencies.metrics.countRetry();
        }
    }

    async #requestPlacement(
        job: ServiceJob,
        state: { avoidedTargets: ReadonlySet<string>; verdict: Verdict; },
    ): Promise<Placement> {
        const { context, service, kind, deadline } = job;
        const { routing, dispatcher } = this.#dependencies;
        try {
            return await dispatcher.requestPlacement({
                modelOrService: service,
                targets: () => routing.table.targetsByService.get(service) ?? [],
                account: context.account.name,
                weight: context.account.weight,
                priority: kind.priority,
                promptTokens: 0,
                lengths: [],
                waitDeadline: deadline,
                signal: context.signal,
                avoidedTargets: state.avoidedTargets,
            });
        }
        catch (error) {
            throw mergeVerdictIntoError(error, state.verdict);
        }
    }

    async #runAttempt(job: ServiceJob, placement: Placement): Promise<ServiceAttempt> {
        const { settings } = this.#dependencies;
        const { request } = job.context;
        const remainingMilliseconds = job.deadline - performance.now();
        const timeoutMilliseconds = job.kind.isRepeatable
            ? settings.serviceMilliseconds
            : Math.max(settings.serviceMilliseconds, remainingMilliseconds);
        const attempt = await callService({
            target: placement.target,
            method: request.method ?? "GET",
            path: job.path,
            headers: { ...pickForwardedHeaders(request.headers), "x-request-id": job.requestId },
            body: job.body,
            connectMilliseconds: settings.connectMilliseconds,
            timeoutMilliseconds: Math.max(1, Math.min(timeoutMilliseconds, remainingMilliseconds)),
            maxResponseBytes: MAX_RESPONSE_BYTES,
        });
        const isRefused = attempt.kind === "failed" && attempt.progress === "refused";
        placement.release(attempt.kind === "answered" ? "finished" : isRefused ? "refused" : "broken");
        return attempt;
    }

    #checkServing(): void {
        const { notServingReason } = this.#dependencies.routing;
        if (notServingReason !== "") {
            throw this.#createRetryableError("not_serving", `Cannot start new work: ${notServingReason}.`);
        }
    }

    #createRetryableError(code: "claim_unavailable" | "not_serving", message: string): ServingError {
        return createRetryableError(message, { code, random: this.#dependencies.random });
    }

    #createTargetFailedError(failure: JobFailure): ServingError {
        return new ServingError(`Cannot serve the request: target "${failure.target.name}": ${failure.message}.`, {
            code: "target_failed",
            verdict: failure.verdict,
            retryAfterSeconds: chooseRetryAfterSeconds(this.#dependencies.random),
        });
    }
}

/**
 * Sends a service's response to the caller.
 *
 * An unframed response stays unframed: only the service knows where it ends, so a content length added here would
 * declare a truncated response complete.
 */
function sendServiceResponse({ response }: RequestContext, serviceResponse: ServiceResponse): void {
    const { status, headers, body } = serviceResponse;
    if (serviceResponse.isFramed) {
        response.writeHead(status, { ...headers, "content-length": body.length });
    }
    else {
        setUnframed(response);
        response.writeHead(status, headers);
    }
    response.end(body);
}

function parseIdempotencyKey(header: string | string[] | undefined): string | undefined {
    if (header === undefined) {
        return undefined;
    }
    if (typeof header !== "string" || header.length === 0 || header.length > MAX_KEY_CHARACTERS) {
        throw new ServingError(
            `Cannot read idempotency-key: it must be one text of 1 to ${MAX_KEY_CHARACTERS} characters.`,
            {
                code: "bad_request",
                verdict: "not-run",
            },
        );
    }
    return header;
}

function computeFingerprint(job: ServiceJob): string {
    return hashMessage(`${job.context.request.method} ${job.service} ${job.path}`, job.body).toString("base64");
}

/** Decodes an outcome that a target has returned: its headers and body, with its own status if the target tells it. */
function decodeFetchedOutcome(response: ServiceResponse): ServiceResponse {
    const { [OUTCOME_STATUS_HEADER]: header, ...headers } = response.headers;
    const status = Number(header);
    return { ...response, status: isFinalStatus(status) ? status : response.status, headers };
}

/** Checks whether a number is an HTTP status with which a response can end. */
function isFinalStatus(status: number): boolean {
    return Number.isInteger(status) && status >= 200 && status <= 599;
}

function encodeOutcome(response: ServiceResponse): ClaimOutcome {
    const headers = Object.fromEntries(Object.entries(response.headers).map(([name, value]) => [name, String(value)]));
    const isBodyStored = response.body.length <= MAX_STORED_BODY_BYTES;
    return {
        status: response.status,
        headers,
        ...isBodyStored ? { body: response.body.toString("base64") } : {},
        ...response.isFramed ? {} : { isFramed: false },
    };
}

function decodeOutcome(outcome: ClaimOutcome): ServiceResponse {
    if (outcome.body === undefined) {
        throw new ServingError("The request ran before; its answer was too large to keep.", {
            code: "in_progress",
            verdict: "ran",
        });
    }
    const headers = { ...outcome.headers, "idempotent-replayed": "true" };
    const body = Buffer.from(outcome.body, "base64");
    return { status: outcome.status, headers, body, isFramed: outcome.isFramed ?? true };
}
