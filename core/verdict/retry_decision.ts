/**
 * Decides whether a failed request may be retried, and limits the rate of retries.
 *
 * @module
 */
import { Verdict } from "./verdict.ts";

/** State of a request after one of its attempts has failed. */
export interface RetryContext {
    /** Verdict on the attempts made so far. */
    verdict: Verdict;
    /** True if running the request twice does no harm. */
    isRepeatable: boolean;
    /** True once a token or a body byte of a response has been sent to the caller. */
    hasReachedCaller: boolean;
    /** Number of attempts made so far. */
    attempts: number;
    /** Time left before the caller's deadline, in milliseconds. */
    remainingMilliseconds: number;
}

/** Limits on the attempts for one request. */
export interface RetryOptions {
    /** Maximum number of attempts. Defaults to 4. */
    maxAttempts?: number;
    /** Minimum time left before the deadline for another attempt, in milliseconds. Defaults to 50. */
    minRemainingMilliseconds?: number;
}

/**
 * Decides whether another attempt may be made.
 *
 * A request that is not repeatable may be retried only if it certainly did not run.
 *
 * @param context State of the request.
 * @param options Limits on the attempts.
 * @returns True if another attempt may be made.
 */
export function decideRetry(context: RetryContext, options: RetryOptions = {}): boolean {
    const { maxAttempts = 4, minRemainingMilliseconds = 50 } = options;
    if (context.hasReachedCaller || context.attempts >= maxAttempts) {
        return false;
    }
    if (context.remainingMilliseconds < minRemainingMilliseconds) {
        return false;
    }
    return context.isRepeatable || context.verdict === Verdict.notRun;
}

/** Options of a {@linkcode RetryBudget}. */
export interface RetryBudgetOptions {
    /** Number of retries that each first attempt adds to the budget. Defaults to 0.2. */
    ratio?: number;
    /** Maximum number of retries in the budget. Defaults to 20. */
    capacity?: number;
}

/** A token bucket that limits retries to a share of first attempts, so that a failing zone does not multiply load. */
export class RetryBudget {
    readonly #ratio: number;
    readonly #capacity: number;
    #availableRetries: number;

    constructor(options: RetryBudgetOptions = {}) {
        this.#ratio = options.ratio ?? 0.2;
        this.#capacity = options.capacity ?? 20;
        this.#availableRetries = this.#capacity;
    }

    /** Records the first attempt of a request, which adds to the budget. */
    recordFirstAttempt(): void {
        this.#availableRetries = Math.min(this.#capacity, this.#availableRetries + this.#ratio);
    }

    /** Takes one retry from the budget. @returns False if no retry is left. */
    takeRetry(): boolean {
        if (this.#availableRetries < 1) {
            return false;
        }
        this.#availableRetries -= 1;
        return true;
    }
}
