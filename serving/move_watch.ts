/**
 * Starts moves for the streams of engines that leave.
 *
 * @module
 */
import {
    type DepartingEngine,
    type DestinationEngine,
    planDeparture,
    type ServiceDefinition,
    type ServingTarget,
    type TargetChange,
} from "../core/serving/mod.ts";
import { type EngineReport, fetchReport } from "../platform/mod.ts";
import type { ServingContext } from "./caller_exchange.ts";
import type { ActiveStream } from "./stream_call.ts";

/** Options of a {@linkcode MoveWatch}. */
export interface MoveWatchOptions {
    /** What the serving process shares. */
    context: ServingContext;
    /** Lists the streams that are being relayed. */
    listStreams: () => Iterable<ActiveStream>;
}

/** Time allowed for a report, in milliseconds; a move is planned without it rather than late. */
const REPORT_TIMEOUT = 100;
/** Time in which engines that leave together are gathered into one plan, in milliseconds. */
const GATHER_TIME = 12;
/** Notice assumed where an engine does not tell, in milliseconds; reclaimed engines have stayed 1.5 s and longer. */
const DEFAULT_NOTICE = 1500;
/** Share of an engine's memory that moved runs may fill. */
const MEMORY_SHARE = 1;

/** Gathers engines that leave and starts the moves of their streams. */
export class MoveWatch {
    readonly #options: MoveWatchOptions;
    #leaving: ServingTarget[] = [];

    constructor(options: MoveWatchOptions) {
        this.#options = options;
    }

    /** Takes note of a change to a target. */
    handleChange(change: TargetChange): void {
        if (change.kind === "added" || !this.#hasStreams(change.target)) {
            return;
        }
        const { context } = this.#options;
        this.#leaving.push(change.target);
        if (this.#leaving.length === 1) {
            const noticedAt = context.clock.getMonotonic();
            setTimeout(() => {
                const targets = this.#leaving;
                this.#leaving = [];
                this.#startMoves(targets, noticedAt).catch((error: unknown) => {
                    context.log.record("trouble", "moves not started", { error: String(error) });
                });
            }, GATHER_TIME);
        }
    }

    #hasStreams(target: ServingTarget): boolean {
        return [...this.#options.listStreams()].some(stream => stream.targetId === target.id);
    }

    async #startMoves(targets: readonly ServingTarget[], noticedAt: number): Promise<void> {
        const reports = await Promise.all(targets.map(target => fetchReport(target.address, REPORT_TIMEOUT)));
        const services = new Set(targets.map(target => target.service));
        for (const name of services) {
            const service = this.#options.context.state.table?.findService(name);
            if (service?.engine?.canMove === true) {
                const leaving = targets.flatMap((target, index) =>
                    target.service === name ? [{ target, report: reports[index] }] : []
                );
                this.#startServiceMoves(service, { leaving, noticedAt });
            }
        }
    }

    #startServiceMoves(
        service: ServiceDefinition,
        departure: { leaving: { target: ServingTarget; report: EngineReport | undefined; }[]; noticedAt: number; },
    ): void {
        const { leaving, noticedAt } = departure;
        const notices = leaving.map(({ report }) => report?.leavesInMilliseconds ?? DEFAULT_NOTICE);
        const noticeMilliseconds = Math.min(...notices);
        const sources: DepartingEngine[] = leaving.map(({ target, report }) => ({
            id: target.id,
            zone: target.zone,
            runs: report?.runs ?? [],
        }));
        const plan = planDeparture({
            sources,
            destinations: this.#listDestinations(service),
            millisecondsPerToken: service.engine?.copyMillisecondsPerToken ?? 0,
            noticeMilliseconds,
        });
        const ids = new Set(leaving.map(({ target }) => target.id));
        const latest = Math.max(0, ...[...plan.values()].map(move => move.finalAt));
        const unplanned = { destination: undefined, startAt: latest, finalAt: latest };
        for (const stream of this.#options.listStreams()) {
            if (ids.has(stream.targetId)) {
                stream.startMove({ noticedAt, plan: plan.get(stream.requestId) ?? unplanned });
            }
        }
    }

    #listDestinations(service: ServiceDefinition): DestinationEngine[] {
        const { engine } = service;
        return this.#options.context.state.listCandidates(service).flatMap(({ target, held, penalty }) =>
            penalty > 1 || engine === undefined ? [] : [{
                id: target.id,
                zone: target.zone,
                freeTokens: engine.memoryTokens * MEMORY_SHARE - held.tokens,
            }]
        );
    }
}
