/**
 * Policies that today's policy is measured against: least outstanding requests and round robin, with a fixed limit.
 *
 * Both are told of every start, end and restart at once, and hold a cold target to what it bears.
 *
 * @module
 */
import type { Work } from "./deployments.ts";
import type { PlacementPolicy, PolicyBuilder, PolicyContext } from "./placement_policy.ts";

const RETRY_INTERVAL_MILLISECONDS = 50;
const COLD_AFTER_CLOSE_MILLISECONDS = 1500;

/** Chooses among targets with room. */
type TargetChooser = (targets: string[], outstanding: ReadonlyMap<string, number>) => string | undefined;

class FixedLimitPolicy implements PlacementPolicy {
    readonly #context: PolicyContext;
    readonly #limit: number;
    readonly #choose: TargetChooser;
    readonly #outstanding = new Map<string, number>();
    /** Time until which a target counts as cold because it has closed its connections, in milliseconds. */
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
        // A fixed limit needs no progress.
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
 * Creates the policy of least outstanding requests.
 *
 * @param limit Most requests of one target.
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
 * Creates the policy of taking targets in turn.
 *
 * @param limit Most requests of one target.
 * @returns A builder of the policy.
 */
export function createRoundRobin(limit: number): PolicyBuilder {
    let turn = 0;
    const choose: TargetChooser = targets => {
        turn += 1;
        return targets[turn % Math.max(1, targets.length)];
    };
    return context => new FixedLimitPolicy(context, { limit, choose });
}
