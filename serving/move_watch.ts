/**
 * Starts moves for the streams of engines that leave.
 *
 * @module
 */
import {
    type DepartingEngine,
    type DestinationEngine,
    planDeparture,
    type PlannedMove,
    type ServiceDefinition,
    type ServingTarget,
    type TargetChange,
} from "../core/serving/mod.ts";
import { type EngineReport, fetchReport } from "../platform/mod.ts";
import type { ServingContext } from "./caller_exchange.ts";
import type { ActiveStream } from "./stream_call.ts";

/** Options of a {@linkcode MoveCoordinator}. */
export interface MoveCoordinatorOptions {
    /** What the serving process shares. */
    context: ServingContext;
    /** Lists the streams that are being relayed. */
    listStreams: () => Iterable<ActiveStream>;
}

/** Engines of one service that leave together. */
interface Departure {
    engines: { target: ServingTarget; report: EngineReport | undefined; }[];
    /** Time of the notice, on the monotonic clock in milliseconds. */
    noticedAt: number;
}

/** Time allowed for a report, in milliseconds; a move is planned without it rather than late. */
const REPORT_TIMEOUT_MILLISECONDS = 100;
/** Time in which engines that leave together are gathered into one plan, in milliseconds. */
const GROUPING_DELAY_MILLISECONDS = 12;
/** Notice assumed where an engine does not tell, in milliseconds; reclaimed engines have stayed 1.5 s and longer. */
const DEFAULT_NOTICE_MILLISECONDS = 1500;
/** Time within which engines go together, in milliseconds: about half of their shortest notice. */
const SAME_DEPARTURE_MILLISECONDS = 800;
/**
 * Share of a service's targets up to which runs move away from those that are no longer listed. They most likely go; where
 * more are missing, their entries have lapsed, and the rest could not take their runs.
 */
const MAX_MISSING_SHARE = 0.34;
/** Time after the notice at which reports hold the runs that had begun by then, in milliseconds. */
const REPORT_AGE_MILLISECONDS = 600;

/** Gathers engines that leave and starts the moves of their streams. */
export class MoveCoordinator {
    readonly #options: MoveCoordinatorOptions;
    readonly #recentDepartures = new Map<string, { target: ServingTarget; noticedAt: number; }>();
    #pendingDepartures: ServingTarget[] = [];

    constructor(options: MoveCoordinatorOptions) {
        this.#options = options;
    }

    /** Takes note of a change to a target. */
    handleChange(change: TargetChange): void {
        const { context } = this.#options;
        if (change.kind === "added") {
            return;
        }
        this.#recordDeparture(change.target);
        if (!this.#hasStreams(change.target)) {
            return;
        }
        const { directory } = context.state;
        if (change.kind === "missing" && directory.computeMissingShare(change.target.service) > MAX_MISSING_SHARE) {
            return;
        }
        this.#pendingDepartures.push(change.target);
        if (this.#pendingDepartures.length === 1) {
            const noticedAt = context.clock.getMonotonic();
            setTimeout(() => {
                const targets = this.#pendingDepartures;
                this.#pendingDepartures = [];
                this.#startMoves(targets, noticedAt).catch((error: unknown) => {
                    context.log.record("trouble", "moves not started", { error: String(error) });
                });
            }, GROUPING_DELAY_MILLISECONDS);
        }
    }

    #recordDeparture(target: ServingTarget): void {
        const now = this.#options.context.clock.getMonotonic();
        for (const [id, { noticedAt }] of this.#recentDepartures) {
            if (now - noticedAt > SAME_DEPARTURE_MILLISECONDS) {
                this.#recentDepartures.delete(id);
            }
        }
        this.#recentDepartures.set(target.id, { target, noticedAt: now });
    }

    #hasStreams(target: ServingTarget): boolean {
        return [...this.#options.listStreams()].some(stream => stream.targetId === target.id);
    }

    async #startMoves(targets: readonly ServingTarget[], noticedAt: number): Promise<void> {
        const all = await this.#fetchReports(targets);
        const services = new Set(targets.map(target => target.service));
        for (const name of services) {
            const service = this.#options.context.state.table?.findService(name);
            if (service?.engine?.canMove === true) {
                const engines = all.filter(({ target }) => target.service === name);
                this.#startServiceMoves(service, { engines, noticedAt });
            }
        }
    }

    #fetchReports(targets: readonly ServingTarget[]): Promise<Departure["engines"]> {
        return Promise.all(
            targets.map(async target => ({
                target,
                report: await fetchReport(target.address, REPORT_TIMEOUT_MILLISECONDS),
            })),
        );
    }

    #startServiceMoves(
        service: ServiceDefinition,
        departure: Departure,
        stage: { round: "first" | "second"; offset: number; } = { round: "first", offset: 0 },
    ): void {
        const { engines, noticedAt } = departure;
        const { round, offset } = stage;
        const notices = engines.map(({ report }) => report?.leavesInMilliseconds ?? DEFAULT_NOTICE_MILLISECONDS);
        const noticeMilliseconds = Math.min(...notices);
        const sources: DepartingEngine[] = engines.map(({ target, report }) => ({
            id: target.id,
            zone: target.zone,
            runs: report?.runs ?? [],
        }));
        const relative = planDeparture({
            sources,
            leaving: this.#listDeparting(service, engines),
            destinations: this.#listDestinations(service),
            millisecondsPerToken: service.engine?.copyMillisecondsPerToken ?? 0,
            noticeMilliseconds: noticeMilliseconds - offset,
        });
        const plan = new Map([...relative].map(([id, { destination, startAt, finalAt }]) => [
            id,
            { destination, startAt: startAt + offset, finalAt: finalAt + offset },
        ]));
        this.#startPlannedMoves(plan, noticedAt);
        const isComplete = this.#listStreamsWithoutMove(departure).length === 0;
        if (round === "first" && !isComplete) {
            const latest = Math.max(REPORT_AGE_MILLISECONDS, ...[...plan.values()].map(move => move.finalAt));
            this.#scheduleSecondRound(service, { ...departure, latest });
        }
        else {
            for (const stream of this.#listStreamsWithoutMove(departure)) {
                stream.startMove({ noticedAt, plan: { destination: undefined, startAt: offset, finalAt: offset } });
            }
        }
    }

    /**
     * Plans the runs that the first reports, which are some hundred milliseconds old, did not hold yet.
     *
     * Their copies go after those of the first plan.
     */
    #scheduleSecondRound(service: ServiceDefinition, departure: Departure & { latest: number; }): void {
        const { engines, noticedAt, latest } = departure;
        const now = this.#options.context.clock.getMonotonic();
        setTimeout(() => {
            const targets = engines.map(({ target }) => target);
            void this.#fetchReports(targets).then(updated => {
                const planned = new Set(engines.flatMap(({ report }) => report?.runs.map(run => run.requestId) ?? []));
                const newRuns = updated.map(({ target, report }) => ({
                    target,
                    report: report && { ...report, runs: report.runs.filter(run => !planned.has(run.requestId)) },
                }));
                this.#startServiceMoves(service, { engines: newRuns, noticedAt }, { round: "second", offset: latest });
            });
        }, Math.max(0, noticedAt + REPORT_AGE_MILLISECONDS - now));
    }

    /** Lists all engines that go at about the same time, whether this instance has streams there or not. */
    #listDeparting(service: ServiceDefinition, engines: Departure["engines"]): ServingTarget[] {
        const noticed = [...this.#recentDepartures.values()].map(({ target }) => target);
        const all = new Map([...noticed, ...engines.map(({ target }) => target)].map(target => [target.id, target]));
        return [...all.values()].filter(target => target.service === service.name);
    }

    #startPlannedMoves(plan: ReadonlyMap<string, PlannedMove>, noticedAt: number): void {
        for (const stream of this.#options.listStreams()) {
            const move = plan.get(stream.requestId);
            if (move !== undefined) {
                stream.startMove({ noticedAt, plan: move });
            }
        }
    }

    /** Lists the streams on engines that leave whose move has not begun. */
    #listStreamsWithoutMove({ engines }: Departure): ActiveStream[] {
        const ids = new Set(engines.map(({ target }) => target.id));
        return [...this.#options.listStreams()].filter(stream =>
            ids.has(stream.targetId) && stream.isMovable && !stream.isMoving
        );
    }

    #listDestinations(service: ServiceDefinition): DestinationEngine[] {
        const { engine } = service;
        const { state } = this.#options.context;
        return state.listCandidates(service).flatMap(({ target, held, penalty }) =>
            penalty > 1 || engine === undefined || state.directory.isMissing(target.id) ? [] : [{
                id: target.id,
                zone: target.zone,
                freeTokens: engine.memoryTokens - held.tokens,
            }]
        );
    }
}
