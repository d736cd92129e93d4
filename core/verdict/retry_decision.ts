/**
 * Decides whether a failed attempt is followed by another one.
 *
 * @module
 */
import { Verdict } from "./verdict.ts";

/** What is known about a request when one of its attempts has failed. */
export interface RetryQuestion {
    /** Verdict of the attempt that failed. */
    verdict: Verdict;
    /** True where a second run does no harm. */
    isRepeatable: boolean;
    /** True once a token or a body byte of an answer has reached the caller. */
    hasReachedCaller: boolean;
    /** Attempts made so far. */
    attempts: number;
    /** Milliseconds left before the caller's deadline. */
    remainingMilliseconds: number;
}

/** Bounds on retrying. */
export interface RetryOptions {
    /** Most attempts for one request. Defaults to 4. */
    maxAttempts?: number;
    /** Least time left, in milliseconds, that a new attempt is worth. Defaults to 50. */
    minRemainingMilliseconds?: number;
}

/**
 * Decides whether another attempt may be made.
 *
 * @param question What is known about the request.
 * @param options Bounds on retrying.
 * @returns True where another attempt may be made.
 */
export function decideRetry(question: RetryQuestion, options: RetryOptions = {}): boolean {
    const { maxAttempts = 4, minRemainingMilliseconds = 50 } = options;
    if (question.hasReachedCaller || question.attempts >= maxAttempts) {
        return false;
    }
    if (question.remainingMilliseconds < minRemainingMilliseconds) {
        return false;
    }
    return question.isRepeatable || question.verdict === Verdict.notRun;
}

/** Options of a {@linkcode RetryBudget}. */
export interface RetryBudgetOptions {
    /** Retries earned by each first attempt. Defaults to 0.2. */
    ratio?: number;
    /** Most retries that can be saved up. Defaults to 20. */
    capacity?: number;
}

/** Limits retries to a share of first attempts, so that a failing zone does not multiply load. */
export class RetryBudget {
    readonly #ratio: number;
    readonly #capacity: number;
    #tokens: number;

    constructor(options: RetryBudgetOptions = {}) {
        this.#ratio = options.ratio ?? 0.2;
        this.#capacity = options.capacity ?? 20;
        this.#tokens = this.#capacity;
    }

    /** Counts a first attempt. */
    recordAttempt(): void {
        this.#tokens = Math.min(this.#capacity, this.#tokens + this.#ratio);
    }

    /** Takes one retry from the budget. @returns False where none is left. */
    takeRetry(): boolean {
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens -= 1;
        return true;
    }
}
