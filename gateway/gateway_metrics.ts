/**
 * Prometheus metrics of the gateway.
 *
 * @module
 */
import { collectDefaultMetrics, Counter, Gauge, Registry } from "prom-client";

/** Options of a {@linkcode GatewayMetrics}. */
export interface GatewayMetricsOptions {
    /** Returns the number of requests that are being served. */
    countActive: () => number;
}

/** Registers and updates the gateway's metrics. */
export class GatewayMetrics {
    readonly registry = new Registry();
    readonly #requests: Counter<"kind" | "end">;
    readonly #retries: Counter;
    readonly #resumes: Counter;
    readonly #tokens: Counter;
    readonly #claims: Counter<"result">;
    readonly #clientDrops: Counter<"reason">;

    constructor(options: GatewayMetricsOptions) {
        const registers = [this.registry];
        collectDefaultMetrics({ register: this.registry });
        this.#requests = new Counter({
            name: "knapweed_gateway_requests_total",
            help: "Requests by kind of work and by how they ended.",
            labelNames: ["kind", "end"],
            registers,
        });
        this.#retries = new Counter({ name: "knapweed_gateway_retries_total", help: "Further attempts.", registers });
        this.#resumes = new Counter({ name: "knapweed_gateway_resumes_total", help: "Streams resumed.", registers });
        this.#tokens = new Counter({ name: "knapweed_gateway_tokens_total", help: "Tokens relayed.", registers });
        this.#claims = new Counter({
            name: "knapweed_gateway_claims_total",
            help: "Claims by result.",
            labelNames: ["result"],
            registers,
        });
        this.#clientDrops = new Counter({
            name: "knapweed_gateway_clients_closed_total",
            help: "Clients whose connection was closed or whose request was refused by a limit on clients.",
            labelNames: ["reason"],
            registers,
        });
        new Gauge({
            name: "knapweed_gateway_active_requests",
            help: "Requests being served.",
            registers,
            collect() {
                this.set(options.countActive());
            },
        });
    }

    /** Counts a request that has ended. `end` is "finished" or the request's error code. */
    countRequestEnd(kind: string, end: string): void {
        this.#requests.inc({ kind, end });
    }

    /** Counts a client that was dropped by a limit on clients. */
    countClientDrop(reason: string): void {
        this.#clientDrops.inc({ reason });
    }

    /** Counts a retry of a request. */
    countRetry(): void {
        this.#retries.inc();
    }

    /** Counts a resumption of a stream. */
    countResume(): void {
        this.#resumes.inc();
    }

    /** Adds `count` relayed tokens. */
    countTokens(count: number): void {
        this.#tokens.inc(count);
    }

    /** Counts a claim on an idempotency key by its result. */
    countClaim(result: string): void {
        this.#claims.inc({ result });
    }
}
