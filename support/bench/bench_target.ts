/**
 * A target in virtual time: it counts what it holds and checks what it bears.
 *
 * @module
 */
import type { LoadReport } from "../../core/admission/mod.ts";
import type { ModelOrder, OrderReply } from "../../core/orders/mod.ts";

/** Options of a {@linkcode BenchTarget}. */
export interface BenchTargetOptions {
    /** Most requests that it bears while cold. */
    coldConcurrent: number;
    /** Time for which a life is cold, in milliseconds. */
    coldMilliseconds: number;
    /** Time by which its reports lag, in milliseconds. */
    lagMilliseconds: number;
    /** Models that it holds at first; absent where it takes no orders. Defaults to absent. */
    models?: string[];
    /** True where it refuses old fencing numbers. Defaults to false. */
    checksFencing?: boolean;
    /** Time that a load takes, in milliseconds. Defaults to 2000. */
    loadMilliseconds?: number;
    /** Time after a restart for which it accepts no connections, in milliseconds. Defaults to 300. */
    bootMilliseconds?: number;
}

const DEFAULT_BOOT = 300;
const DEFAULT_LOAD = 2000;

/** A target that records whether it was ever given more than it bears. */
export class BenchTarget {
    readonly #options: BenchTargetOptions;
    /** What is told when a request is lost, by request. */
    readonly #held = new Map<string, () => void>();
    /** Instance that gave the last order. */
    #orderedBy = "";
    #reports: { at: number; report: LoadReport; }[] = [];
    #life = 1;
    #bornAt: number;
    /** Models that it holds. */
    readonly models: Set<string> | undefined;
    /** Models that it is loading, with the times at which they are held. */
    readonly loading = new Map<string, number>();
    /** Greatest fencing number seen. */
    fence = 0;
    /** Orders that were followed although their number was seen from another instance, or a higher one was. */
    oldOrders = 0;
    /** True while load reports do not come. */
    isMute = false;
    /** Most requests that it held at one time while cold. */
    greatestCold = 0;
    /** Requests that were begun. */
    starts = 0;
    /** Time of the last request that was begun. */
    lastStartAt = -Infinity;

    constructor(options: BenchTargetOptions, now: number) {
        this.#options = options;
        this.#bornAt = now;
        this.models = options.models === undefined ? undefined : new Set(options.models);
    }

    /** Takes an order from the instance `from`. */
    handleOrder(order: ModelOrder, context: { from: string; now: number; }): OrderReply {
        const { from, now } = context;
        if (order.fence < this.fence && this.#options.checksFencing === true) {
            return "stale";
        }
        const isShared = order.fence === this.fence && from !== this.#orderedBy;
        this.oldOrders += order.fence < this.fence || isShared ? 1 : 0;
        this.#orderedBy = from;
        this.fence = Math.max(this.fence, order.fence);
        this.loading.set(order.model, now + (this.#options.loadMilliseconds ?? DEFAULT_LOAD));
        return "accepted";
    }

    /** Counts the models that are being loaded. */
    countLoading(now: number): number {
        return [...this.loading.values()].filter(until => until > now).length;
    }

    get held(): number {
        return this.#held.size;
    }

    /** Tells whether the target is cold. */
    isCold(now: number): boolean {
        return now - this.#bornAt < this.#options.coldMilliseconds;
    }

    /** Starts a new, cold life; all that was held is lost. */
    startLife(now: number): void {
        const listeners = [...this.#held.values()];
        this.#held.clear();
        this.#life += 1;
        this.#bornAt = now;
        listeners.forEach(tell => tell());
    }

    /** Tells whether the target refuses connections because it is starting. */
    isBooting(now: number): boolean {
        return this.#life > 1 && now - this.#bornAt < (this.#options.bootMilliseconds ?? DEFAULT_BOOT);
    }

    /** Begins a request. @returns Name of the life that runs it. */
    startWork(id: string, now: number): number {
        this.#held.set(id, () => undefined);
        this.starts += 1;
        this.lastStartAt = now;
        if (this.isCold(now)) {
            this.greatestCold = Math.max(this.greatestCold, this.#held.size);
        }
        return this.#life;
    }

    /** Calls `tell` if the request `id` is lost with its life. */
    addLossListener(id: string, tell: () => void): void {
        if (this.#held.has(id)) {
            this.#held.set(id, tell);
        }
    }

    /** Ends a request. @returns False where the life that ran it is over. */
    finishWork(id: string): boolean {
        return this.#held.delete(id);
    }

    /** Gives a report that lags; `undefined` while the target is mute. */
    getReport(now: number): LoadReport | undefined {
        this.#reports.push({ at: now, report: this.#buildReport(now) });
        while ((this.#reports[1]?.at ?? Infinity) <= now - this.#options.lagMilliseconds) {
            this.#reports.shift();
        }
        return this.isMute || this.isBooting(now) ? undefined : this.#reports[0]?.report;
    }

    #buildReport(now: number): LoadReport {
        const models = this.models === undefined ? {} : { models: this.#listModels(now) };
        return {
            ...models,
            incarnation: `life-${this.#life}`,
            isCold: this.isCold(now),
            isLeaving: false,
            running: this.#held.size,
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
