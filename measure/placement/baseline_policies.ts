/**
 * Baseline policies for the comparison with the product's policy: least outstanding requests and round robin, each with
 * a fixed limit of concurrent requests on a target.
 *
 * Unlike the product's gateways, both know without delay every start and end of a request and every restart of a target.
 * They apply a lower limit to a cold target.
 *
 * @module
 */
import type { Work } from "./deployments.ts";
import type { PlacementPolicy, PolicyBuilder, PolicyContext } from "./placement_policy.ts";

/** Interval at which waiting work is tried again. */
const RETRY_INTERVAL_MILLISECONDS = 50;
/** Time after a closed connection for which a target is treated as cold, because its reports do not show it yet. */
const COLD_AFTER_CLOSE_MILLISECONDS = 1500;

/** Chooses one of the targets that are below their limits; `undefined` if there are none. */
type TargetChooser = (targets: string[], outstanding: ReadonlyMap<string, number>) => string | undefined;

/** Places work on targets that are below a fixed limit of concurrent requests; other work waits in order of arrival. */
class FixedLimitPolicy implements PlacementPolicy {
    readonly #context: PolicyContext;
    readonly #limit: number;
    readonly #choose: TargetChooser;
    readonly #outstanding = new Map<string, number>();
    /** Time until which a target is treated as cold after it closed its connections, in milliseconds. */
    readonly #coldUntil = new Map<string, number>();
    #waiting: Work[] = [];

    constructor(context: PolicyContext, options: { limit: number; choose: TargetChooser; }) {
        this.#context = context;
        this.#limit = options.limit;
        this.#choose = options.choose;
        this.#startTimer();
    }

    handleArrival(work: Work): void {
        this.#waiting.push(work);
        this.#placeWaiting();
    }

    handleProgress(): void {
        // A fixed limit does not depend on progress.
    }

    handleEnd(_work: Work, end: { target: string; }): void {
        this.#outstanding.set(end.target, (this.#outstanding.get(end.target) ?? 1) - 1);
        this.#placeWaiting();
    }

    handleConnectionClosed(target: string): void {
        this.#coldUntil.set(target, this.#context.getNow() + COLD_AFTER_CLOSE_MILLISECONDS);
    }

    #startTimer(): void {
        this.#context.queue.addEvent(this.#context.getNow() + RETRY_INTERVAL_MILLISECONDS, () => {
            this.#placeWaiting();
            this.#startTimer();
        });
    }

    #placeWaiting(): void {
        const now = this.#context.getNow();
        const expired = this.#waiting.filter(work => work.arrivedAt + work.kind.maxWaitMilliseconds <= now);
        this.#waiting = this.#waiting.filter(work => work.arrivedAt + work.kind.maxWaitMilliseconds > now);
        expired.forEach(work => this.#context.refuseWork(work));
        for (let work = this.#waiting[0]; work !== undefined; work = this.#waiting[0]) {
            const target = this.#choose(this.#listAvailable(), this.#outstanding);
            if (target === undefined) {
                return;
            }
            this.#waiting.shift();
            this.#outstanding.set(target, (this.#outstanding.get(target) ?? 0) + 1);
            this.#context.startWork(work, target);
        }
    }

    #listAvailable(): string[] {
        const { targets, isOpen, getReport, coldConcurrent } = this.#context;
        return targets.filter(target => {
            const isRecentlyClosed = (this.#coldUntil.get(target) ?? 0) > this.#context.getNow();
            const isCold = isRecentlyClosed || getReport(target)?.isCold === true;
            const limit = isCold ? coldConcurrent : this.#limit;
            return isOpen(target) && (this.#outstanding.get(target) ?? 0) < limit;
        });
    }
}

/**
 * Creates the policy that chooses the target with the fewest outstanding requests.
 *
 * @param limit Maximum number of concurrent requests on one target.
 * @returns A builder of the policy.
 */
export function createLeastOutstanding(limit: number): PolicyBuilder {
    const choose: TargetChooser = (targets, outstanding) => {
        let best: string | undefined;
        for (const target of targets) {
            if (best === undefined || (outstanding.get(target) ?? 0) < (outstanding.get(best) ?? 0)) {
                best = target;
            }
        }
        return best;
    };
    return context => new FixedLimitPolicy(context, { limit, choose });
}

/**
 * Creates the policy that chooses targets in turn (round robin).
 *
 * @param limit Maximum number of concurrent requests on one target.
 * @returns A builder of the policy.
 */
export function createRoundRobin(limit: number): PolicyBuilder {
    let selections = 0;
    const choose: TargetChooser = targets => {
        selections += 1;
        return targets[selections % Math.max(1, targets.length)];
    };
    return context => new FixedLimitPolicy(context, { limit, choose });
}
