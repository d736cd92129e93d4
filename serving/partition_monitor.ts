/**
 * Finds out whether this instance is partitioned from all targets, by connections to a few of them.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import { type ServingTarget, TargetReachability } from "../core/serving/mod.ts";
import { checkListener, type OpenConnection, parseAddress } from "../network/mod.ts";
import type { DecisionLog } from "../telemetry/mod.ts";
import type { ServingState } from "./serving_state.ts";
import type { TargetConnections } from "./target_connections.ts";

/** Options of a {@linkcode PartitionMonitor}. */
export interface PartitionMonitorOptions {
    /** State with the list of targets. */
    state: ServingState;
    /** Connections to targets, which know the requests without an answer. */
    connections: TargetConnections;
    /** Opens a connection to a target. */
    openConnection: OpenConnection;
    /** Decision log. */
    log: DecisionLog;
    /** Source of time. */
    clock: Clock;
    /** Random number generator that returns numbers from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    /** Called when a partition has begun or ended. */
    onChange: () => void;
}

/** Number of targets to which a check opens connections: a few may have ended at the same time. */
const CHECKED_TARGETS = 4;
/** Time within which a target accepts a connection, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 250;

/** Checks the reachability of targets when there is a doubt. */
export class PartitionMonitor {
    readonly #options: PartitionMonitorOptions;
    readonly #reachability = new TargetReachability();
    #check: Promise<boolean> | undefined;

    constructor(options: PartitionMonitorOptions) {
        this.#options = options;
        options.connections.onData = () => this.#reachability.recordData(options.clock.getMonotonic());
        options.connections.onConnectFailure = id => {
            this.#reachability.recordConnectFailure(id, options.clock.getMonotonic());
            this.update();
        };
    }

    /** True while this instance reaches no target. */
    get isPartitioned(): boolean {
        return this.#reachability.isPartitioned;
    }

    /** Decides whether a request goes to a target now, and not through another instance. */
    decideDirect(): boolean {
        return this.#reachability.decideDirect(this.#options.clock.getMonotonic(), this.#options.random());
    }

    /** Checks the reachability of targets if there is a doubt. */
    update(): void {
        const { connections, clock } = this.#options;
        if (this.#reachability.decideCheck(connections.listWaiting(), clock.getMonotonic())) {
            void this.checkTargets();
        }
    }

    /** Checks whether any target, other than one that is known to fail, accepts a connection. */
    checkTargets(failedTargetId?: string): Promise<boolean> {
        this.#check ??= this.#runCheck(failedTargetId).finally(() => {
            this.#check = undefined;
        });
        return this.#check;
    }

    async #runCheck(failedTargetId: string | undefined): Promise<boolean> {
        const { state, clock, log, onChange, random } = this.#options;
        const targets = state.directory.listTargets().filter(({ id }) => id !== failedTargetId);
        const picked = targets.map(target => ({ target, order: random() }))
            .sort((first, second) => first.order - second.order)
            .slice(0, CHECKED_TARGETS);
        const results = await Promise.all(picked.map(({ target }) => this.#hasAccepted(target)));
        const hasReachedTarget = picked.length === 0 || results.includes(true);
        if (this.#reachability.recordCheck(hasReachedTarget, clock.getMonotonic())) {
            log.record("process", this.isPartitioned ? "all targets lost" : "targets regained", {
                checked: picked.map(({ target }) => target.id),
            });
            onChange();
        }
        return hasReachedTarget;
    }

    async #hasAccepted({ address }: ServingTarget): Promise<boolean> {
        const { openConnection } = this.#options;
        const timeoutMilliseconds = CONNECT_TIMEOUT_MILLISECONDS;
        return await checkListener(parseAddress(address), { timeoutMilliseconds, openConnection }) === "listening";
    }
}
