/**
 * Counters and latency histograms of the serving process.
 *
 * @module
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Options of a {@linkcode ServingMetrics}. */
export interface ServingMetricsOptions {
    /** Counts the requests being served. */
    countActive: () => number;
    /** Counts the log lines dropped since the start. */
    countDroppedLines: () => number;
    /** Gets the version of the configuration in use. */
    getConfigurationVersion: () => number;
    /** Counts the targets that state a limit for their request rate. */
    countLimitedTargets: () => number;
    /** Counts the requests that wait for a target. */
    countWaiting: () => number;
    /** Counts the open connections of callers. */
    countClientConnections: () => number;
    /** Estimates the memory that is held for callers, in bytes. */
    countClientBytes: () => number;
}

/** Bucket bounds of the latency histogram, in seconds: from a fast unary request to the longest generation. */
const LATENCY_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6];

/** Age up to which a stated pace counts as recent, in milliseconds: half of a slow moment. */
const MAX_RECENT_MILLISECONDS = 300;

/** Registers and updates the metrics of the serving process. */
export class ServingMetrics {
    readonly registry = new Registry();
    readonly #requests: Counter<"route" | "end">;
    readonly #attempts: Counter<"service" | "result">;
    readonly #pacedSelections: Counter<"service" | "figure">;
    readonly #prefixRequests: Counter<"service">;
    readonly #prefixTokens: Counter<"service">;
    readonly #responseEnds: Counter<"framed" | "outcome">;
    readonly #crashes: Counter<"service">;
    readonly #lostAttempts: Counter<"service" | "evidence" | "presence">;
    readonly #moves: Counter<"result">;
    readonly #clientDrops: Counter<"port" | "reason">;
    readonly #storeCalls: Counter<"kind" | "result">;
    readonly #rolloutDecisions: Counter<"service" | "state">;
    readonly #rolloutShare: Gauge<"service">;
    readonly #refusals: Counter<"service" | "reason">;
    readonly #rolloutAnswers: Gauge<"service" | "result">;
    readonly #firstByteSeconds: Histogram<"route">;
    readonly #movePauseSeconds: Histogram;

    constructor(options: ServingMetricsOptions) {
        const registers = [this.registry];
        this.#requests = new Counter({
            name: "knapweed_serving_requests_total",
            help: "Requests by route and by how they ended.",
            labelNames: ["route", "end"],
            registers,
        });
        this.#attempts = new Counter({
            name: "knapweed_serving_attempts_total",
            help: "Attempts at targets by service and result.",
            labelNames: ["service", "result"],
            registers,
        });
        this.#pacedSelections = new Counter({
            name: "knapweed_serving_paced_selections_total",
            help:
                "Targets selected by their pace, by service and by whether the stated pace was recent, old or absent.",
            labelNames: ["service", "figure"],
            registers,
        });
        this.#prefixRequests = new Counter({
            name: "knapweed_serving_prefix_cache_requests_total",
            help: "Attempts at engines that were believed to have leading parts of the prompt cached, by service.",
            labelNames: ["service"],
            registers,
        });
        this.#prefixTokens = new Counter({
            name: "knapweed_serving_prefix_cache_tokens_total",
            help: "Prompt tokens of these attempts that were believed to be cached, by service.",
            labelNames: ["service"],
            registers,
        });
        this.#responseEnds = new Counter({
            name: "knapweed_serving_response_ends_total",
            help: "Ends of targets' responses, by whether they have a length or chunks and what they show.",
            labelNames: ["framed", "outcome"],
            registers,
        });
        this.#crashes = new Counter({
            name: "knapweed_serving_engine_crashes_total",
            help: "Attempts whose target, engine or not, was found to have crashed, by service.",
            labelNames: ["service"],
            registers,
        });
        this.#lostAttempts = new Counter({
            name: "knapweed_serving_lost_attempts_total",
            help: "Attempts whose connection was lost, by what their ends and checks of their targets show.",
            labelNames: ["service", "evidence", "presence"],
            registers,
        });
        this.#moves = new Counter({
            name: "knapweed_serving_moves_total",
            help: "Moves of running generations by result.",
            labelNames: ["result"],
            registers,
        });
        this.#storeCalls = new Counter({
            name: "knapweed_serving_store_calls_total",
            help: "Calls to the platform's store by kind and result.",
            labelNames: ["kind", "result"],
            registers,
        });
        this.#rolloutDecisions = new Counter({
            name: "knapweed_serving_rollout_statuses_total",
            help: "Statuses of rollouts that this instance has written or tried to write, by service and state.",
            labelNames: ["service", "state"],
            registers,
        });
        this.#rolloutShare = new Gauge({
            name: "knapweed_serving_rollout_share",
            help: "Share of this instance's requests that may go to the new version of a service.",
            labelNames: ["service"],
            registers,
        });
        this.#refusals = new Counter({
            name: "knapweed_serving_refusals_total",
            help: "Requests refused since they could not be served in time, by service and reason.",
            labelNames: ["service", "reason"],
            registers,
        });
        this.#clientDrops = new Counter({
            name: "knapweed_serving_clients_closed_total",
            help: "Clients whose connection was closed or whose request was refused by a limit on clients.",
            labelNames: ["port", "reason"],
            registers,
        });
        this.#rolloutAnswers = new Gauge({
            name: "knapweed_serving_rollout_answers",
            help:
                "Answers of the new version of a service that are known from all instances, and the bad ones among them.",
            labelNames: ["service", "result"],
            registers,
        });
        this.#firstByteSeconds = new Histogram({
            name: "knapweed_serving_first_byte_seconds",
            help: "Time from a request's arrival to the first byte of its answer's body.",
            labelNames: ["route"],
            buckets: LATENCY_BUCKETS_SECONDS,
            registers,
        });
        this.#movePauseSeconds = new Histogram({
            name: "knapweed_serving_move_pause_seconds",
            help: "Pause that a move makes in its caller's stream.",
            buckets: [0.02, 0.05, 0.1, 0.15, 0.18, 0.25, 0.5, 1, 2],
            registers,
        });
        addGauges(registers, options);
    }

    /** Counts a finished request by its outcome. */
    countRequest(route: string, end: string): void {
        this.#requests.inc({ route, end });
    }

    /** Counts an attempt at a target by its result. */
    countAttempt(service: string, result: string): void {
        this.#attempts.inc({ service, result });
    }

    /** Counts the selection of a target by its pace, which it stated some time ago; `undefined` if it has not. */
    countPacedSelection(service: string, ageMilliseconds: number | undefined): void {
        const figure = ageMilliseconds === undefined
            ? "absent"
            : ageMilliseconds <= MAX_RECENT_MILLISECONDS
            ? "recent"
            : "old";
        this.#pacedSelections.inc({ service, figure });
    }

    /** Counts an attempt at an engine that is believed to have tokens of the prompt cached, if there are any. */
    countHeldTokens(service: string, tokens: number): void {
        if (tokens > 0) {
            this.#prefixRequests.inc({ service });
            this.#prefixTokens.inc({ service }, tokens);
        }
    }

    /** Counts the end of a target's response. */
    countResponseEnd({ isFramed, outcome }: { isFramed: boolean; outcome: string; }): void {
        this.#responseEnds.inc({ framed: String(isFramed), outcome });
    }

    /** Counts an attempt whose target was found to have crashed. */
    countCrash(service: string): void {
        this.#crashes.inc({ service });
    }

    /** Counts an attempt whose connection was lost. */
    countLostAttempt(service: string, { evidence, presence }: { evidence: string; presence: string; }): void {
        this.#lostAttempts.inc({ service, evidence, presence });
    }

    /** Counts a move of a running generation by its result. */
    countMove(result: string): void {
        this.#moves.inc({ result });
    }

    /** Counts a call to the platform's store by its result. */
    countStoreCall(kind: string, result: string): void {
        this.#storeCalls.inc({ kind, result });
    }

    /** Counts a status of a rollout that was written, or could not be. */
    countRolloutDecision(service: string, state: string): void {
        this.#rolloutDecisions.inc({ service, state });
    }

    /** Sets the share of a service's requests that may go to its new version, and what is known of its answers. */
    setRollout(service: string, rollout: { share: number; answers: number; badAnswers: number; }): void {
        this.#rolloutShare.set({ service }, rollout.share);
        this.#rolloutAnswers.set({ service, result: "all" }, rollout.answers);
        this.#rolloutAnswers.set({ service, result: "bad" }, rollout.badAnswers);
    }

    /** Counts a request that is refused since it could not be served in time. */
    countRefusal(service: string, reason: string): void {
        this.#refusals.inc({ service, reason });
    }

    /** Counts a client that was dropped by a limit on clients. */
    countClientDrop(port: string, reason: string): void {
        this.#clientDrops.inc({ port, reason });
    }

    /** Observes the time from a request's arrival to the first byte of its response's body, in milliseconds. */
    observeFirstByte(route: string, milliseconds: number): void {
        this.#firstByteSeconds.observe({ route }, milliseconds / 1000);
    }

    /** Observes the pause in a caller's stream that a move caused, in milliseconds. */
    observeMovePause(milliseconds: number): void {
        this.#movePauseSeconds.observe(milliseconds / 1000);
    }
}

function addGauges(registers: Registry[], options: ServingMetricsOptions): void {
    const gauges: [name: string, help: string, read: () => number][] = [
        ["knapweed_serving_active", "Requests being served.", options.countActive],
        ["knapweed_serving_dropped_log_lines", "Log lines dropped since the start.", options.countDroppedLines],
        ["knapweed_serving_configuration_version", "Version in use.", options.getConfigurationVersion],
        ["knapweed_serving_limited_targets", "Targets that state a limit.", options.countLimitedTargets],
        ["knapweed_serving_waiting", "Requests that wait for a target.", options.countWaiting],
        ["knapweed_serving_client_connections", "Open connections of callers.", options.countClientConnections],
        ["knapweed_serving_client_bytes", "Memory held for callers, as estimated.", options.countClientBytes],
    ];
    for (const [name, help, read] of gauges) {
        const gauge: Gauge = new Gauge({ name, help, registers, collect: () => gauge.set(read()) });
    }
}
