/**
 * Polls targets for load reports over persistent connections. The close of a connection signals that the target may
 * have restarted.
 *
 * @module
 */
import { Agent, request as startRequest } from "node:http";
import * as v from "valibot";
import type { LoadReport } from "../core/admission/mod.ts";
import { observeRequestFailure, parseAddress, readBody } from "../network/mod.ts";

/** Options of a {@linkcode LoadPoller}. */
export interface LoadPollerOptions {
    /** Called when the connection to the target at `address` was closed by the target or because of a timeout. */
    onConnectionClosed: (address: string) => void;
    /** Time within which a report must arrive, in milliseconds. Defaults to 1000. */
    timeoutMilliseconds?: number;
    /** Time without a poll after which a connection is closed, in milliseconds. Defaults to 5000. */
    idleMilliseconds?: number;
}

interface PolledTarget {
    /** HTTP connection pool of the target, limited to one connection. */
    httpAgent: Agent;
    /** Monotonic time of the last poll, in milliseconds. */
    polledAt: number;
    /** True if the poller closed the connection itself, which does not signal a restart of the target. */
    isClosedByPoller: boolean;
}

const DEFAULT_TIMEOUT_MILLISECONDS = 1000;
const DEFAULT_IDLE_MILLISECONDS = 5000;
const MAX_REPORT_BYTES = 65_536;

const LoadReportSchema = v.object({
    incarnation: v.string(),
    isCold: v.boolean(),
    isLeaving: v.boolean(),
    running: v.number(),
    memoryUsed: v.number(),
    preemptions: v.number(),
    stepMilliseconds: v.number(),
    models: v.optional(v.array(v.string())),
});

/** Polls the load of targets over one connection per target. */
export class LoadPoller {
    readonly #options: LoadPollerOptions;
    readonly #targets = new Map<string, PolledTarget>();

    constructor(options: LoadPollerOptions) {
        this.#options = options;
    }

    /** Polls the target at `address`. @returns The report, or `undefined` if no valid report arrived in time. */
    async requestLoad(address: string): Promise<LoadReport | undefined> {
        this.#closeIdleConnections();
        const target = this.#targets.get(address) ?? this.#addTarget(address);
        target.polledAt = performance.now();
        try {
            return await this.#fetchReport(address, target.httpAgent);
        }
        catch {
            return undefined;
        }
    }

    /** Closes all connections. */
    close(): void {
        for (const address of [...this.#targets.keys()]) {
            this.#closeConnection(address);
        }
    }

    #fetchReport(address: string, httpAgent: Agent): Promise<LoadReport> {
        return new Promise((resolve, reject) => {
            const request = startRequest({
                ...parseAddress(address),
                agent: httpAgent,
                path: "/load",
                signal: AbortSignal.timeout(this.#options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS),
            }, response => {
                readBody(response, { maxBytes: MAX_REPORT_BYTES })
                    .then(body => resolve(v.parse(LoadReportSchema, JSON.parse(body.toString()))))
                    .catch(reject);
            });
            observeRequestFailure(request, reject);
            request.end();
        });
    }

    #addTarget(address: string): PolledTarget {
        const httpAgent = new Agent({ keepAlive: true, maxSockets: 1 });
        const target: PolledTarget = { httpAgent, polledAt: 0, isClosedByPoller: false };
        const createConnection = httpAgent.createConnection.bind(httpAgent);
        httpAgent.createConnection = (...rest) => {
            const socket = createConnection(...rest);
            socket?.once("close", () => {
                if (!target.isClosedByPoller) {
                    this.#options.onConnectionClosed(address);
                }
            });
            return socket;
        };
        this.#targets.set(address, target);
        return target;
    }

    #closeIdleConnections(): void {
        const oldestPollAt = performance.now() - (this.#options.idleMilliseconds ?? DEFAULT_IDLE_MILLISECONDS);
        for (const [address, target] of this.#targets) {
            if (target.polledAt < oldestPollAt) {
                this.#closeConnection(address);
            }
        }
    }

    #closeConnection(address: string): void {
        const target = this.#targets.get(address);
        this.#targets.delete(address);
        if (target !== undefined) {
            target.isClosedByPoller = true;
            target.httpAgent.destroy();
        }
    }
}
