/**
 * Carries out rollouts: updates the decisions, and writes the status of each order to the store.
 *
 * Every instance decides by itself that a version is bad and sends it nothing more. One instance writes the status: the
 * first in the order of the watchers whose watches of the store work. Before each write it reads the object again, and the
 * write holds only for the revision that it has read, so that one that was paused, or two at once, undo nothing.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import {
    describeEvidence,
    describeOrder,
    findWantedState,
    isFinalState,
    type Rollout,
    type RolloutOrder,
    RolloutStage,
    RolloutState,
} from "../core/serving/mod.ts";
import { decodeRollout, type StoreClient, StoreKind, type StoreReply } from "../platform/mod.ts";
import type { DecisionLog } from "../telemetry/mod.ts";
import type { ServingMetrics } from "./serving_metrics.ts";
import type { ServingState } from "./serving_state.ts";

/** Options of a {@linkcode RolloutController}. */
export interface RolloutControllerOptions {
    /** State with the orders. */
    state: ServingState;
    /** Client of the store. */
    store: StoreClient;
    /** Decision log. */
    log: DecisionLog;
    /** Metrics. */
    metrics: ServingMetrics;
    /** Source of time. */
    clock: Clock;
    /** True if this instance writes to the store on behalf of all. */
    isWriter: () => boolean;
    /** Checks whether enough peers are heard that one's verdict would arrive. */
    isConnected: () => boolean;
}

/** Delay after a write of a status, in milliseconds; it doubles with each further failure. */
const MIN_RETRY_MILLISECONDS = 250;
const MAX_RETRY_MILLISECONDS = 1000;
/** Time between two updates from which this process must have been paused, in milliseconds. */
const PAUSE_MILLISECONDS = 1000;
/** Time after a pause in which nothing is written, in milliseconds: digests of the peers arrive within it. */
const AFTER_PAUSE_MILLISECONDS = 700;

/** Time after its start in which an instance leaves decisions by counts to others, in milliseconds: digests repeat them. */
const STARTUP_MILLISECONDS = 3000;
/** Time after the limit from which it decides nevertheless, in milliseconds. */
const OVERDUE_MILLISECONDS = 2000;

/** Updates the rollouts and writes their status. */
export class RolloutController {
    readonly #options: RolloutControllerOptions;
    /** Names of the orders whose status is being written. */
    readonly #writing = new Set<string>();
    #retryAt = Number.NEGATIVE_INFINITY;
    /** Number of consecutive attempts to write that have failed. */
    #failures = 0;
    #updatedAt: number | undefined;
    readonly #startedAt: number;

    constructor(options: RolloutControllerOptions) {
        this.#options = options;
        this.#startedAt = options.clock.getMonotonic();
    }

    /** Updates the decisions, and writes the status of the orders if this instance is the writer. */
    update(): void {
        const { state, clock, isWriter, isConnected, metrics } = this.#options;
        const { rollouts } = state;
        if (rollouts === undefined) {
            return;
        }
        const now = clock.getMonotonic();
        if (now - (this.#updatedAt ?? now) > PAUSE_MILLISECONDS) {
            this.#retryAt = now + AFTER_PAUSE_MILLISECONDS;
        }
        this.#updatedAt = now;
        state.updateRollouts(isConnected());
        for (const rollout of rollouts.listRollouts()) {
            const { order, end } = rollout;
            metrics.setRollout(order.service, { ...rollout.verdict, share: computeShare(rollout) });
            const wanted = findWantedState(rollout);
            const isOutdated = order.state !== wanted && !isFinalState(order.state);
            // What the time limit demands depends on counts that may be incomplete here; some other instance knows more.
            const overdue = now - rollout.orderedAt - order.durationMilliseconds;
            const isInformed = end !== undefined || wanted === RolloutState.running || overdue > OVERDUE_MILLISECONDS
                || isConnected() && now - this.#startedAt > STARTUP_MILLISECONDS;
            if (!rollout.isIgnored && isOutdated && isInformed && now >= this.#retryAt && isWriter()) {
                void this.#writeStatus(rollout, wanted);
            }
        }
    }

    /** Reads an order and writes its status, unless it has changed or shows a final state. */
    async #writeStatus(rollout: Rollout, wanted: RolloutState): Promise<void> {
        const { store, log, metrics, clock, state } = this.#options;
        const { name, softwareVersion } = rollout.order;
        if (this.#writing.has(name)) {
            return;
        }
        this.#writing.add(name);
        const startedAt = clock.getMonotonic();
        const read = await this.#readOrder(rollout, wanted);
        const current = read.kind === "ok" ? read.value : undefined;
        const isSame = current?.softwareVersion === softwareVersion && current.service === rollout.order.service;
        const isLate = clock.getMonotonic() - startedAt > PAUSE_MILLISECONDS;
        if (
            isSame && !isFinalState(current.state) && !isLate && this.#isCurrent(rollout, wanted)
        ) {
            const { revision } = current;
            const status = { state: wanted, target: softwareVersion };
            const reply = await store.updateStatus(StoreKind.rollouts, { name, revision, status });
            metrics.countStoreCall(StoreKind.rollouts, reply.kind);
            metrics.countRolloutDecision(rollout.order.service, reply.kind === "ok" ? wanted : "not written");
            log.record("process", reply.kind === "ok" ? "rollout status written" : "rollout status not written", {
                ...describeOrder(rollout.order),
                ...describeEvidence(rollout),
                wanted,
                reason: findReason(rollout),
                failure: reply.kind === "ok" ? undefined : reply.kind,
                revision,
            });
            if (reply.kind === "ok") {
                state.markRolloutState(rollout, { state: wanted, revision: reply.value.revision });
            }
        }
        else {
            const found = isSame ? current.state : current?.softwareVersion;
            if (isSame && current.state !== undefined && isFinalState(current.state)) {
                // The reply to an earlier write was lost, or another instance has written first.
                state.markRolloutState(rollout, { state: current.state, revision: current.revision });
            }
            log.record("process", "rollout status not written", {
                ...describeOrder(rollout.order),
                wanted,
                failure: read.kind === "ok" ? "changed" : read.kind,
                found,
            });
        }
        this.#failures = rollout.order.state === wanted ? 0 : this.#failures + 1;
        const delay = Math.min(MAX_RETRY_MILLISECONDS, MIN_RETRY_MILLISECONDS * 2 ** Math.max(0, this.#failures - 1));
        this.#retryAt = Math.max(this.#retryAt, clock.getMonotonic() + delay);
        this.#writing.delete(name);
    }

    /** Reads an order as it is now. The first status undoes nothing, and is written for the revision that is known. */
    async #readOrder(rollout: Rollout, wanted: RolloutState): Promise<StoreReply<RolloutOrder | undefined>> {
        if (wanted === RolloutState.running && this.#failures === 0) {
            return { kind: "ok", value: rollout.order };
        }
        const { store, metrics } = this.#options;
        const read = await store.readObject(StoreKind.rollouts, rollout.order.name);
        metrics.countStoreCall(StoreKind.rollouts, read.kind);
        return read.kind === "ok"
            ? { kind: "ok", value: decodeRollout(read.value, { ageMilliseconds: 0 }) }
            : read;
    }

    /** Checks that the order still holds and its end is still the one that is to be written. */
    #isCurrent(rollout: Rollout, wanted: RolloutState): boolean {
        return this.#options.state.rollouts?.findRollout(rollout.order.service) === rollout
            && findWantedState(rollout) === wanted;
    }
}

function findReason({ end, plan, verdict }: Rollout): string | undefined {
    return end?.reason ?? (verdict.reason === "" ? plan?.reason : verdict.reason);
}

function computeShare({ plan, end }: Rollout): number {
    if (end !== undefined) {
        return end.state === RolloutState.completed ? 1 : 0;
    }
    return plan?.stage === RolloutStage.all ? 1 : plan?.share ?? 0;
}
