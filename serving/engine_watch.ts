/**
 * Asks engines themselves whether they leave while nobody hears of it from the store.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import { fetchReport } from "../platform/mod.ts";
import type { ServingState } from "./serving_state.ts";
import type { ActiveStream } from "./stream_call.ts";

/** Options of an {@linkcode DeparturePoller}. */
export interface DeparturePollerOptions {
    /** What is known. */
    state: ServingState;
    /** Source of time. */
    clock: Clock;
    /** Lists the streams that are being relayed. */
    listStreams: () => Iterable<ActiveStream>;
    /** Tells whether news of the store still come, from the store or from peers. */
    receivesStoreUpdates: () => boolean;
}

/** Time between two questions to an engine, in milliseconds: reports are half a second old, and notice is short. */
const POLL_INTERVAL_MILLISECONDS = 350;
/** Time in which an engine that lives answers, in milliseconds. */
const REPORT_TIMEOUT_MILLISECONDS = 250;
/** Time without news from the store after which engines are asked, in milliseconds. */
const STORE_TIMEOUT_MILLISECONDS = 500;

/** Watches the engines that run this instance's streams. */
export class DeparturePoller {
    readonly #options: DeparturePollerOptions;
    #timer: NodeJS.Timeout | undefined;
    #lastStoreUpdateAt: number;

    constructor(options: DeparturePollerOptions) {
        this.#options = options;
        this.#lastStoreUpdateAt = options.clock.getMonotonic();
    }

    /** Starts to watch. */
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

    /** Stops to watch. */
    stop(): void {
        clearInterval(this.#timer);
    }

    #pollEngines(): void {
        const { state, listStreams } = this.#options;
        const ids = new Set([...listStreams()].filter(stream => stream.isMovable).map(stream => stream.targetId));
        for (const id of ids) {
            const target = state.directory.findTarget(id);
            if (target !== undefined && !target.isLeaving) {
                void fetchReport(target.address, REPORT_TIMEOUT_MILLISECONDS).then(report => {
                    if (report?.isLeaving === true) {
                        state.markLeaving(id);
                    }
                });
            }
        }
    }
}
