/**
 * The concurrency limit of a target that may be cold.
 *
 * @module
 */
import type { LoadReport, TargetSpec } from "./admission_types.ts";

/** Options of a {@linkcode ColdStartLimit}. */
export interface ColdStartOptions {
    /** Longest time by which a load report lags, in milliseconds. Defaults to 1500. */
    reportLagMilliseconds?: number;
    /** Time between decode steps above which a limit shrinks, in milliseconds. Defaults to 48. */
    maxStepMilliseconds?: number;
}

const DEFAULT_REPORT_LAG = 1500;
const DEFAULT_MAX_STEP = 48;
/** Factor by which a slow decode step shrinks the limit. */
const SLOW_STEP_FACTOR = 0.9;
/** Least time between two changes of the limit for slow decode steps, in milliseconds. */
const SLOW_STEP_INTERVAL = 2000;

/** Holds a target to what it bears while cold, and raises the limit only on evidence. */
export class ColdStartLimit {
    readonly #reportLag: number;
    readonly #maxStep: number;
    #spec: TargetSpec;
    #incarnation: string | undefined;
    #isCold = true;
    #limit: number;
    #distrustUntil = 0;
    #lastSlowStep = -Infinity;

    constructor(spec: TargetSpec, options: ColdStartOptions = {}) {
        this.#spec = spec;
        this.#limit = spec.coldConcurrent;
        this.#reportLag = options.reportLagMilliseconds ?? DEFAULT_REPORT_LAG;
        this.#maxStep = options.maxStepMilliseconds ?? DEFAULT_MAX_STEP;
    }

    get isCold(): boolean {
        return this.#isCold;
    }

    /** Most requests that the target may hold now. */
    get limit(): number {
        return Math.floor(this.#limit);
    }

    /** Takes over a changed specification. */
    setSpec(spec: TargetSpec): void {
        this.#spec = spec;
        this.#limit = Math.min(this.#limit, spec.maxConcurrent);
        if (this.#isCold) {
            this.#limit = spec.coldConcurrent;
        }
    }

    /** Restarts the limit, and distrusts reports that may be older than this. */
    markCold(now: number): void {
        this.#isCold = true;
        this.#limit = this.#spec.coldConcurrent;
        this.#distrustUntil = now + this.#reportLag;
    }

    /** Takes a load report that was asked for at `askedAt`. */
    handleReport(report: LoadReport, times: { askedAt: number; now: number; }): void {
        if (report.incarnation !== this.#incarnation) {
            const isFirst = this.#incarnation === undefined;
            this.#incarnation = report.incarnation;
            if (!isFirst || report.isCold) {
                this.markCold(times.now);
                return;
            }
        }
        if (report.isCold) {
            this.#isCold = true;
            this.#limit = this.#spec.coldConcurrent;
            return;
        }
        if (times.askedAt >= this.#distrustUntil) {
            this.#handleWarmReport(report, times.now);
        }
    }

    /** Counts a piece of work that ended well while the target held `running` requests. */
    recordSuccess(running: number): void {
        if (this.#isCold || running < this.limit / 2) {
            return;
        }
        this.#limit = Math.min(this.#spec.maxConcurrent, this.#limit + 1);
    }

    #handleWarmReport(report: LoadReport, now: number): void {
        if (this.#isCold) {
            this.#isCold = false;
            const proven = report.running + this.#spec.coldConcurrent;
            this.#limit = Math.min(this.#spec.maxConcurrent, Math.max(this.#spec.coldConcurrent * 2, proven));
            return;
        }
        const isSlow = report.stepMilliseconds > this.#maxStep;
        if (isSlow && now - this.#lastSlowStep >= SLOW_STEP_INTERVAL) {
            this.#lastSlowStep = now;
            this.#limit = Math.max(this.#spec.coldConcurrent, Math.min(this.#limit, report.running) * SLOW_STEP_FACTOR);
        }
        else if (!isSlow && report.running >= this.limit / 2) {
            this.#limit = Math.min(this.#spec.maxConcurrent, this.#limit * 1.25 + 1);
        }
    }
}
