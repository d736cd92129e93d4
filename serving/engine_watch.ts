/**
 * Asks engines themselves whether they leave while nobody hears of it from the store.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import { fetchReport } from "../platform/mod.ts";
import type { ServingState } from "./serving_state.ts";
import type { ActiveStream } from "./stream_call.ts";

/** Options of an {@linkcode EngineWatch}. */
export interface EngineWatchOptions {
    /** What is known. */
    state: ServingState;
    /** Source of time. */
    clock: Clock;
    /** Lists the streams that are being relayed. */
    listStreams: () => Iterable<ActiveStream>;
    /** Tells whether news of the store still come, from the store or from peers. */
    hearsStore: () => boolean;
}

/** Time between two questions to an engine, in milliseconds: reports are half a second old, and notice is short. */
const ASK_INTERVAL = 350;
/** Time in which an engine that lives answers, in milliseconds. */
const REPORT_TIMEOUT = 250;
/** Time without news from the store after which engines are asked, in milliseconds. */
const SILENCE = 500;

/** Watches the engines that run this instance's streams. */
export class EngineWatch {
    readonly #options: EngineWatchOptions;
    #timer: NodeJS.Timeout | undefined;
    #heardAt: number;

    constructor(options: EngineWatchOptions) {
        this.#options = options;
        this.#heardAt = options.clock.getMonotonic();
    }

    /** Starts to watch. */
    start(): void {
        this.#timer = setInterval(() => {
            const now = this.#options.clock.getMonotonic();
            if (this.#options.hearsStore()) {
                this.#heardAt = now;
            }
            else if (now - this.#heardAt > SILENCE) {
                this.#askEngines();
            }
        }, ASK_INTERVAL);
    }

    /** Stops to watch. */
    stop(): void {
        clearInterval(this.#timer);
    }

    #askEngines(): void {
        const { state, listStreams } = this.#options;
        const ids = new Set([...listStreams()].filter(stream => stream.isMovable).map(stream => stream.targetId));
        for (const id of ids) {
            const target = state.directory.findTarget(id);
            if (target !== undefined && !target.isLeaving) {
                void fetchReport(target.address, REPORT_TIMEOUT).then(report => {
                    if (report?.isLeaving === true) {
                        state.markLeaving(id);
                    }
                });
            }
        }
    }
}
