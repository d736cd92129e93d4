/**
 * Keeps one request from crashing further targets: records what its attempts show about crashes, and watches for a
 * quarantine of the request or of a part of its prompt.
 *
 * @module
 */
import {
    type AttemptEnd,
    AttemptEvidence,
    classifyAttemptEnd,
    type PartAttempt,
    type ServingTarget,
    TargetPresence,
} from "../core/serving/mod.ts";
import type { CallerExchange, ServingContext } from "./caller_exchange.ts";
import { describeQuarantine, findQuarantine } from "./quarantine_refusal.ts";

/** Watch for the start of a quarantine that concerns a request. */
export interface QuarantineWatch {
    /** Aborted, with a description as its reason, when such a quarantine begins. */
    signal: AbortSignal;
    /** Stops watching; further calls have no effect. */
    stop: () => void;
}

/** Number of targets that may crash under a request or a part of it before it is not sent to a further one. */
const MAX_CRASHES_OF_RETRIED_REQUEST = 1;
/** Number of parts in the log line of a lost connection: the last ones, which fewest requests share. */
const MAX_LOGGED_PARTS = 8;

/** Keeps one request from crashing further targets. */
export class CrashGuard {
    readonly #context: ServingContext;
    readonly #exchange: CallerExchange;
    #mayCrashAnother = false;
    /** The attempt that was started last. */
    #attempt: PartAttempt | undefined;

    constructor(context: ServingContext, exchange: CallerExchange) {
        this.#context = context;
        this.#exchange = exchange;
    }

    /** Records that an attempt starts. */
    startAttempt(): void {
        const { state, clock } = this.#context;
        this.#attempt = state.requestQuarantine.startAttempt(this.#suspectParts, clock.getMonotonic());
    }

    /** Checks whether the request may be sent to another target after its last attempt. */
    isRetryAllowed(): boolean {
        return !this.#mayCrashAnother && findQuarantine(this.#context.state, this.#exchange) === undefined;
    }

    /**
     * Records what the end of an attempt shows.
     *
     * @returns True if the target was found to have crashed.
     */
    async recordAttempt(target: ServingTarget, end: AttemptEnd): Promise<boolean> {
        const { state, metrics, targetProbe, partitionMonitor } = this.#context;
        const { service, sharedPromptParts } = this.#exchange;
        const evidence = classifyAttemptEnd(end);
        this.#mayCrashAnother = false;
        if (this.#attempt !== undefined) {
            this.#attempt.endedAt = end.endedAt;
        }
        if (evidence === AttemptEvidence.answered) {
            state.recordAnswered(this.#suspectParts, { sentAt: end.startedAt });
            return false;
        }
        // A target that is leaving ends as planned.
        const isExpectedToRun = state.directory.findTarget(target.id)?.isLeaving === false;
        const crash = {
            parts: this.#suspectParts,
            target: target.id,
            startedAt: target.startedAt,
            runMilliseconds: end.endedAt - end.startedAt,
            endedAt: end.endedAt,
        };
        if (end.kind === "aborted" && isExpectedToRun) {
            state.recordAbandonedAttempt(crash);
        }
        const presence = evidence === AttemptEvidence.none || !isExpectedToRun
            ? undefined
            : await targetProbe.findPresenceBriefly(target, service);
        const hasEnded = presence === TargetPresence.gone || presence === TargetPresence.replaced;
        // To an instance that is partitioned from all targets, each of them looks as if it had ended.
        const isPartitioned = presence === TargetPresence.gone && !await partitionMonitor.checkTargets(target.id);
        if (end.kind === "failed") {
            this.#logLostAttempt(target, { end, evidence, isExpectedToRun, presence, isPartitioned });
        }
        if (presence === undefined) {
            return false;
        }
        if (!hasEnded || isPartitioned) {
            state.recordUnsettledEnd(crash, presence);
            this.#mayCrashAnother = this.#isUnderSuspicion();
            return false;
        }
        if (this.#attempt !== undefined) {
            this.#attempt.hasCrashed = true;
        }
        metrics.countCrash(service.name);
        state.recordAttempt(target.id, { hasFailed: true, isUnreachable: true });
        state.recordTargetCrash(crash);
        this.#mayCrashAnother = evidence === AttemptEvidence.suspicious && !this.#isVouchedFor(sharedPromptParts)
            || this.#isUnderSuspicion();
        return true;
    }

    /** Starts watching for a quarantine, while the request is at a target that has not begun to answer it. */
    watchQuarantine(): QuarantineWatch {
        const { state } = this.#context;
        const controller = new AbortController();
        const listener = (): void => {
            const quarantine = findQuarantine(state, this.#exchange);
            if (quarantine !== undefined) {
                controller.abort(new Error(describeQuarantine(quarantine)));
            }
        };
        state.quarantineListeners.add(listener);
        return { signal: controller.signal, stop: () => void state.quarantineListeners.delete(listener) };
    }

    /** Checks whether several targets have crashed under the request or a part of it, and no attempt with it lives on. */
    #isUnderSuspicion(): boolean {
        const { state: { requestQuarantine }, clock } = this.#context;
        return this.#suspectParts.some(part =>
            requestQuarantine.countCrashes(part) > MAX_CRASHES_OF_RETRIED_REQUEST
            && requestQuarantine.countSurvivors(part, clock.getMonotonic()) === 0
        );
    }

    /** What a crash under the request puts under suspicion: the parts that others may share, and its fingerprint. */
    get #suspectParts(): string[] {
        return [...this.#exchange.sharedPromptParts, this.#exchange.fingerprint];
    }

    /** Logs what an attempt whose connection was lost shows, and from what this follows. */
    #logLostAttempt(
        target: ServingTarget,
        judgement: {
            end: AttemptEnd;
            evidence: AttemptEvidence;
            isExpectedToRun: boolean;
            presence: TargetPresence | undefined;
            isPartitioned: boolean;
        },
    ): void {
        const { end: { startedAt, headAt, lastEventAt, endedAt }, evidence, presence, ...rest } = judgement;
        const { log, metrics, state, clock } = this.#context;
        const { request, service, sharedPromptParts } = this.#exchange;
        const countMilliseconds = (time = startedAt): number => Math.round(time - startedAt);
        metrics.countLostAttempt(service.name, { evidence, presence: presence ?? "not checked" });
        log.record("trouble", "connection to target lost", {
            request: request.id,
            target: target.id,
            startedAt: target.startedAt,
            evidence,
            presence,
            ...rest,
            ...headAt === undefined ? {} : { headMilliseconds: countMilliseconds(headAt) },
            ...lastEventAt === undefined ? {} : { lastEventMilliseconds: countMilliseconds(lastEventAt) },
            milliseconds: countMilliseconds(endedAt),
            parts: sharedPromptParts.slice(-MAX_LOGGED_PARTS).map(part => ({
                part,
                earlierCrashes: state.requestQuarantine.countCrashes(part),
                isVouchedFor: this.#isVouchedFor([part]),
                survivors: state.requestQuarantine.countSurvivors(part, clock.getMonotonic()),
            })),
        });
    }

    /** Checks whether engines have recently answered prompts with each of the parts. */
    #isVouchedFor(parts: readonly string[]): boolean {
        const { state, clock } = this.#context;
        return state.requestQuarantine.isVouchedFor(parts, clock.getMonotonic());
    }
}
