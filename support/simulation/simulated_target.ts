/**
 * A simulated target in virtual time, which records how many requests it runs and which orders it receives.
 *
 * @module
 */
import type { LoadReport } from "../../core/admission/mod.ts";
import type { ModelOrder, OrderResult } from "../../core/orders/mod.ts";

/** Options of a {@linkcode SimulatedTarget}. */
export interface SimulatedTargetOptions {
    /** Maximum number of concurrent requests that the target can handle while cold. */
    coldConcurrent: number;
    /** Time after each start for which the target is cold, in milliseconds. */
    coldMilliseconds: number;
    /** Age of the load reports that the target returns, in milliseconds. */
    lagMilliseconds: number;
    /** Models that are loaded at the start. Defaults to `undefined`: the target accepts no orders to load models. */
    models?: string[];
    /** True if the target refuses orders with an outdated fencing token. Defaults to false. */
    checksFencing?: boolean;
    /** Time to load a model, in milliseconds. Defaults to 2000. */
    loadMilliseconds?: number;
    /** Time after a restart for which the target accepts no connections, in milliseconds. Defaults to 300. */
    bootMilliseconds?: number;
}

const DEFAULT_BOOT_MILLISECONDS = 300;
const DEFAULT_LOAD_MILLISECONDS = 2000;

/** A simulated target that records whether it ever ran more requests than it can handle while cold. */
export class SimulatedTarget {
    readonly #options: SimulatedTargetOptions;
    /** Running requests by identifier, each with the function to call if a restart loses the request. */
    readonly #runningRequests = new Map<string, () => void>();
    /** Instance that sent the last order. */
    #lastOrderFrom = "";
    #reports: { at: number; report: LoadReport; }[] = [];
    #incarnation = 1;
    #startedAt: number;
    /** Loaded models; `undefined` if the target accepts no orders. */
    readonly models: Set<string> | undefined;
    /** Models that are being loaded, with the times at which loading ends. */
    readonly loading = new Map<string, number>();
    /** Highest fencing token received. */
    highestFencingToken = 0;
    /** Number of orders that were accepted although their fencing token was outdated or used by another instance. */
    staleOrders = 0;
    /** True while the target returns no load reports. */
    suppressesReports = false;
    /** Highest number of concurrent requests while cold. */
    peakColdRequests = 0;
    /** Number of requests that were started. */
    startedRequests = 0;
    /** Time at which the last request was started, in milliseconds. */
    lastRequestStartedAt = -Infinity;

    constructor(options: SimulatedTargetOptions, now: number) {
        this.#options = options;
        this.#startedAt = now;
        this.models = options.models === undefined ? undefined : new Set(options.models);
    }

    /** Handles an order from the instance `from` to load a model. */
    handleOrder(order: ModelOrder, context: { from: string; now: number; }): OrderResult {
        const { from, now } = context;
        if (order.fence < this.highestFencingToken && this.#options.checksFencing === true) {
            return "stale";
        }
        const hasReusedToken = order.fence === this.highestFencingToken && from !== this.#lastOrderFrom;
        this.staleOrders += order.fence < this.highestFencingToken || hasReusedToken ? 1 : 0;
        this.#lastOrderFrom = from;
        this.highestFencingToken = Math.max(this.highestFencingToken, order.fence);
        this.loading.set(order.model, now + (this.#options.loadMilliseconds ?? DEFAULT_LOAD_MILLISECONDS));
        return "accepted";
    }

    /** Counts the models that are being loaded. */
    countLoadingModels(now: number): number {
        return [...this.loading.values()].filter(until => until > now).length;
    }

    /** Number of running requests. */
    get activeRequests(): number {
        return this.#runningRequests.size;
    }

    /** Tells whether the target is cold. */
    isCold(now: number): boolean {
        return now - this.#startedAt < this.#options.coldMilliseconds;
    }

    /** Restarts the target: it is cold again, and all running requests are lost. */
    restart(now: number): void {
        const listeners = [...this.#runningRequests.values()];
        this.#runningRequests.clear();
        this.#incarnation += 1;
        this.#startedAt = now;
        listeners.forEach(listener => listener());
    }

    /** Tells whether the target refuses connections because it is restarting. */
    isBooting(now: number): boolean {
        return this.#incarnation > 1
            && now - this.#startedAt < (this.#options.bootMilliseconds ?? DEFAULT_BOOT_MILLISECONDS);
    }

    /** Starts a request. @returns Number of the target's incarnation that runs it. */
    startRequest(id: string, now: number): number {
        this.#runningRequests.set(id, () => undefined);
        this.startedRequests += 1;
        this.lastRequestStartedAt = now;
        if (this.isCold(now)) {
            this.peakColdRequests = Math.max(this.peakColdRequests, this.#runningRequests.size);
        }
        return this.#incarnation;
    }

    /** Registers a function that is called if the request `id` is lost in a restart. */
    addLossListener(id: string, listener: () => void): void {
        if (this.#runningRequests.has(id)) {
            this.#runningRequests.set(id, listener);
        }
    }

    /** Ends a request. @returns False if the request was lost in a restart. */
    finishRequest(id: string): boolean {
        return this.#runningRequests.delete(id);
    }

    /** Returns a load report of the configured age; `undefined` while reports are suppressed or the target restarts. */
    getReport(now: number): LoadReport | undefined {
        this.#reports.push({ at: now, report: this.#buildReport(now) });
        while ((this.#reports[1]?.at ?? Infinity) <= now - this.#options.lagMilliseconds) {
            this.#reports.shift();
        }
        return this.suppressesReports || this.isBooting(now) ? undefined : this.#reports[0]?.report;
    }

    #buildReport(now: number): LoadReport {
        const models = this.models === undefined ? {} : { models: this.#listModels(now) };
        return {
            ...models,
            incarnation: `life-${this.#incarnation}`,
            isCold: this.isCold(now),
            isLeaving: false,
            running: this.#runningRequests.size,
            memoryUsed: 0,
            preemptions: 0,
            stepMilliseconds: 0,
        };
    }

    #listModels(now: number): string[] {
        for (const [model, until] of this.loading) {
            if (until <= now) {
                this.models?.add(model);
                this.loading.delete(model);
            }
        }
        return [...this.models ?? []];
    }
}
