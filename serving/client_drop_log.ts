/**
 * Counts and logs clients whose connections were closed, with at most one line per port, reason and interval.
 *
 * @module
 */
import type { ClientDrop } from "../core/serving/mod.ts";
import type { DecisionLog } from "../telemetry/mod.ts";
import type { ServingMetrics } from "./serving_metrics.ts";

/** Shortest time between two lines of the same port and reason, in milliseconds. */
const LINE_INTERVAL_MILLISECONDS = 5000;

interface DropCount {
    port: string;
    reason: ClientDrop;
    /** Clients since the last line. */
    clients: number;
    /** Time of the last line, on the monotonic clock in milliseconds. */
    loggedAt: number;
}

/** Counts closed clients by port and reason. */
export class ClientDropLog {
    readonly #log: DecisionLog;
    readonly #metrics: ServingMetrics;
    readonly #counts = new Map<string, DropCount>();

    constructor({ log, metrics }: { log: DecisionLog; metrics: ServingMetrics; }) {
        this.#log = log;
        this.#metrics = metrics;
    }

    /** Records a client whose connection was closed, or whose request was refused. */
    recordDrop(port: string, reason: ClientDrop): void {
        this.#metrics.countClientDrop(port, reason);
        const key = `${port} ${reason}`;
        const count = this.#counts.get(key);
        if (count === undefined) {
            this.#counts.set(key, { port, reason, clients: 1, loggedAt: Number.NEGATIVE_INFINITY });
        }
        else {
            count.clients += 1;
        }
    }

    /** Logs the counts whose interval has passed; `describe` adds the state of the port. */
    update(now: number, describe: (port: string) => Record<string, unknown>): void {
        for (const count of this.#counts.values()) {
            if (count.clients > 0 && now - count.loggedAt >= LINE_INTERVAL_MILLISECONDS) {
                const { port, reason, clients } = count;
                this.#log.record("process", "clients closed", { port, reason, clients, ...describe(port) });
                count.clients = 0;
                count.loggedAt = now;
            }
        }
    }
}
