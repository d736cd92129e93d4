/**
 * Polls engines while the platform's store is unreachable, to detect those that are leaving.
 *
 * Normally the store reports that an engine is leaving. During an outage of the store, only the engine's own report
 * shows it.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import type { EngineClient } from "./engine_client.ts";
import type { ServingState } from "./serving_state.ts";
import type { ActiveStream } from "./stream_call.ts";

/** Options of an {@linkcode LeavingEnginePoller}. */
export interface LeavingEnginePollerOptions {
    /** State in which leaving engines are recorded. */
    state: ServingState;
    /** Calls to the control endpoints of engines. */
    engines: EngineClient;
    /** Source of time. */
    clock: Clock;
    /** Lists the streams that are being relayed. */
    listStreams: () => Iterable<ActiveStream>;
    /** Checks whether updates of the store still arrive, from the store itself or through peers. */
    receivesStoreUpdates: () => boolean;
}

/**
 * Interval between polls of an engine, in milliseconds; it is short, because reports are half a second old and a
 * leaving engine stops soon.
 */
const POLL_INTERVAL_MILLISECONDS = 350;
/** Timeout for fetching a report, in milliseconds; a live engine responds within this time. */
const REPORT_TIMEOUT_MILLISECONDS = 250;
/** Time without updates of the store after which engines are polled, in milliseconds. */
const STORE_TIMEOUT_MILLISECONDS = 500;

/** Polls the engines that run this instance's movable streams, and marks those that are leaving. */
export class LeavingEnginePoller {
    readonly #options: LeavingEnginePollerOptions;
    #timer: NodeJS.Timeout | undefined;
    #lastStoreUpdateAt: number;

    constructor(options: LeavingEnginePollerOptions) {
        this.#options = options;
        this.#lastStoreUpdateAt = options.clock.getMonotonic();
    }

    /** Starts the timer that polls engines during outages of the store. */
    start(): void {
        this.#timer = setInterval(() => {
            const now = this.#options.clock.getMonotonic();
            if (this.#options.receivesStoreUpdates()) {
                this.#lastStoreUpdateAt = now;
            }
            else if (now - this.#lastStoreUpdateAt > STORE_TIMEOUT_MILLISECONDS) {
                this.#pollEngines();
            }
        }, POLL_INTERVAL_MILLISECONDS);
    }

    /** Stops polling. */
    stop(): void {
        clearInterval(this.#timer);
    }

    #pollEngines(): void {
        const { state, engines, listStreams } = this.#options;
        const ids = new Set([...listStreams()].filter(stream => stream.isMovable).map(stream => stream.targetId));
        for (const id of ids) {
            const target = state.directory.findTarget(id);
            if (target !== undefined && !target.isLeaving) {
                void engines.fetchReport(target, REPORT_TIMEOUT_MILLISECONDS).then(report => {
                    if (report?.isLeaving === true) {
                        state.markLeaving(target, "target");
                    }
                });
            }
        }
    }
}
