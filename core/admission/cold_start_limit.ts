/**
 * Adaptive concurrency limit of one target.
 *
 * A target that has just started (is cold) can handle only a few concurrent requests. The limit stays at the configured
 * cold value until load reports show that the target is warm, then grows while the target performs well, and shrinks
 * when its decode steps become slow.
 *
 * @module
 */
import type { LoadReport, TargetSpec } from "./admission_types.ts";

/** Options of a {@linkcode ColdStartLimit}. */
export interface ColdStartOptions {
    /** Maximum time by which a load report lags behind the target's state, in milliseconds. Defaults to 1500. */
    reportLagMilliseconds?: number;
    /** Duration of a decode step above which the limit shrinks, in milliseconds. Defaults to 48. */
    maxStepMilliseconds?: number;
}

const DEFAULT_REPORT_LAG_MILLISECONDS = 1500;
const DEFAULT_MAX_STEP_MILLISECONDS = 48;
/** Factor applied to the limit when a load report shows slow decode steps. */
const SLOW_STEP_LIMIT_FACTOR = 0.9;
/** Minimum time between two reductions of the limit because of slow decode steps, in milliseconds. */
const MIN_REDUCTION_INTERVAL_MILLISECONDS = 2000;

/** Limits a cold target to its cold concurrency; only load reports and finished requests raise the limit. */
export class ColdStartLimit {
    readonly #reportLagMilliseconds: number;
    readonly #maxStepMilliseconds: number;
    #spec: TargetSpec;
    #incarnation: string | undefined;
    #isCold = true;
    #limit: number;
    /** Earliest request time of a load report that can show that the target is warm. */
    #trustReportsFrom = 0;
    #lastReductionAt = -Infinity;

    constructor(spec: TargetSpec, options: ColdStartOptions = {}) {
        this.#spec = spec;
        this.#limit = spec.coldConcurrent;
        this.#reportLagMilliseconds = options.reportLagMilliseconds ?? DEFAULT_REPORT_LAG_MILLISECONDS;
        this.#maxStepMilliseconds = options.maxStepMilliseconds ?? DEFAULT_MAX_STEP_MILLISECONDS;
    }

    get isCold(): boolean {
        return this.#isCold;
    }

    /** Maximum number of concurrent requests that the target may currently have. */
    get limit(): number {
        return Math.floor(this.#limit);
    }

    /** Applies a changed target specification. */
    setSpec(spec: TargetSpec): void {
        this.#spec = spec;
        this.#limit = Math.min(this.#limit, spec.maxConcurrent);
        if (this.#isCold) {
            this.#limit = spec.coldConcurrent;
        }
    }

    /** Resets the limit to the cold value, and ignores warm reports that may describe the target before `now`. */
    markCold(now: number): void {
        this.#isCold = true;
        this.#limit = this.#spec.coldConcurrent;
        this.#trustReportsFrom = now + this.#reportLagMilliseconds;
    }

    /** Updates the limit from a load report that was requested at `askedAt`. */
    handleReport(report: LoadReport, times: { askedAt: number; now: number; }): void {
        if (report.incarnation !== this.#incarnation) {
            const isFirstReport = this.#incarnation === undefined;
            this.#incarnation = report.incarnation;
            if (!isFirstReport || report.isCold) {
                this.markCold(times.now);
                return;
            }
        }
        if (report.isCold) {
            this.#isCold = true;
            this.#limit = this.#spec.coldConcurrent;
            return;
        }
        if (times.askedAt >= this.#trustReportsFrom) {
            this.#handleWarmReport(report, times.now);
        }
    }

    /** Raises the limit by one after a request finished while `running` requests used at least half of the limit. */
    recordSuccess(running: number): void {
        if (this.#isCold || running < this.limit / 2) {
            return;
        }
        this.#limit = Math.min(this.#spec.maxConcurrent, this.#limit + 1);
    }

    /**
     * Updates the limit from a report of a warm target.
     *
     * The first such report ends the cold start, with a limit based on what the target is already running. Later ones
     * reduce the limit if decode steps are slow, and raise it if they are not and at least half of the limit is used.
     */
    #handleWarmReport(report: LoadReport, now: number): void {
        if (this.#isCold) {
            this.#isCold = false;
            const provenLimit = report.running + this.#spec.coldConcurrent;
            this.#limit = Math.min(this.#spec.maxConcurrent, Math.max(this.#spec.coldConcurrent * 2, provenLimit));
            return;
        }
        const isSlow = report.stepMilliseconds > this.#maxStepMilliseconds;
        if (isSlow && now - this.#lastReductionAt >= MIN_REDUCTION_INTERVAL_MILLISECONDS) {
            this.#lastReductionAt = now;
            this.#limit = Math.max(
                this.#spec.coldConcurrent,
                Math.min(this.#limit, report.running) * SLOW_STEP_LIMIT_FACTOR,
            );
        }
        else if (!isSlow && report.running >= this.limit / 2) {
            this.#limit = Math.min(this.#spec.maxConcurrent, this.#limit * 1.25 + 1);
        }
    }
}
