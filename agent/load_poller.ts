/**
 * Asks targets for their load on kept connections, whose closing tells that a target may have restarted.
 *
 * @module
 */
import { Agent, request as startRequest } from "node:http";
import * as v from "valibot";
import type { LoadReport } from "../core/admission/mod.ts";
import { parseAddress, readBody } from "../network/mod.ts";

/** Options of a {@linkcode LoadPoller}. */
export interface LoadPollerOptions {
    /** Called when the target at `address` has closed its connection, or gone silent on it. */
    onConnectionClosed: (address: string) => void;
    /** Time in which a report must come, in milliseconds. Defaults to 1000. */
    timeoutMilliseconds?: number;
    /** Time without a poll after which a connection is dropped, in milliseconds. Defaults to 5000. */
    idleMilliseconds?: number;
}

interface PolledTarget {
    httpAgent: Agent;
    polledAt: number;
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

/** Polls targets, one connection each. */
export class LoadPoller {
    readonly #options: LoadPollerOptions;
    readonly #targets = new Map<string, PolledTarget>();

    constructor(options: LoadPollerOptions) {
        this.#options = options;
    }

    /** Asks the target at `address` for its load. @returns The report, or `undefined` where none came in time. */
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
            request.on("error", reject);
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
