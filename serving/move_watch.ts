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

/** Options of a {@linkcode MoveWatch}. */
export interface MoveWatchOptions {
    /** What the serving process shares. */
    context: ServingContext;
    /** Lists the streams that are being relayed. */
    listStreams: () => Iterable<ActiveStream>;
}

/** Engines of one service that leave together. */
interface Departure {
    leaving: { target: ServingTarget; report: EngineReport | undefined; }[];
    /** Time of the notice, on the monotonic clock in milliseconds. */
    noticedAt: number;
}

/** Time allowed for a report, in milliseconds; a move is planned without it rather than late. */
const REPORT_TIMEOUT = 100;
/** Time in which engines that leave together are gathered into one plan, in milliseconds. */
const GATHER_TIME = 12;
/** Notice assumed where an engine does not tell, in milliseconds; reclaimed engines have stayed 1.5 s and longer. */
const DEFAULT_NOTICE = 1500;
/** Time within which engines go together, in milliseconds: about half of their shortest notice. */
const SAME_DEPARTURE = 800;
/**
 * Share of a service's targets up to which runs move away from those that are no longer listed. They most likely go; where
 * more are missing, their entries have lapsed, and the rest could not take their runs.
 */
const MOST_MISSING = 0.34;
/** Time after the notice at which reports hold the runs that had begun by then, in milliseconds. */
const REPORT_AGE = 600;

/** Gathers engines that leave and starts the moves of their streams. */
export class MoveWatch {
    readonly #options: MoveWatchOptions;
    readonly #noticed = new Map<string, { target: ServingTarget; noticedAt: number; }>();
    #leaving: ServingTarget[] = [];

    constructor(options: MoveWatchOptions) {
        this.#options = options;
    }

    /** Takes note of a change to a target. */
    handleChange(change: TargetChange): void {
        const { context } = this.#options;
        if (change.kind === "added") {
            return;
        }
        this.#recordLeaving(change.target);
        if (!this.#hasStreams(change.target)) {
            return;
        }
        const { directory } = context.state;
        if (change.kind === "missing" && directory.computeMissingShare(change.target.service) > MOST_MISSING) {
            return;
        }
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

    #recordLeaving(target: ServingTarget): void {
        const now = this.#options.context.clock.getMonotonic();
        for (const [id, { noticedAt }] of this.#noticed) {
            if (now - noticedAt > SAME_DEPARTURE) {
                this.#noticed.delete(id);
            }
        }
        this.#noticed.set(target.id, { target, noticedAt: now });
    }

    #hasStreams(target: ServingTarget): boolean {
        return [...this.#options.listStreams()].some(stream => stream.targetId === target.id);
    }

    async #startMoves(targets: readonly ServingTarget[], noticedAt: number): Promise<void> {
        const all = await this.#fetchLeaving(targets);
        const services = new Set(targets.map(target => target.service));
        for (const name of services) {
            const service = this.#options.context.state.table?.findService(name);
            if (service?.engine?.canMove === true) {
                const leaving = all.filter(({ target }) => target.service === name);
                this.#startServiceMoves(service, { leaving, noticedAt });
            }
        }
    }

    #fetchLeaving(targets: readonly ServingTarget[]): Promise<Departure["leaving"]> {
        return Promise.all(
            targets.map(async target => ({ target, report: await fetchReport(target.address, REPORT_TIMEOUT) })),
        );
    }

    #startServiceMoves(
        service: ServiceDefinition,
        departure: Departure,
        stage: { round: "first" | "second"; offset: number; } = { round: "first", offset: 0 },
    ): void {
        const { leaving, noticedAt } = departure;
        const { round, offset } = stage;
        const notices = leaving.map(({ report }) => report?.leavesInMilliseconds ?? DEFAULT_NOTICE);
        const noticeMilliseconds = Math.min(...notices);
        const sources: DepartingEngine[] = leaving.map(({ target, report }) => ({
            id: target.id,
            zone: target.zone,
            runs: report?.runs ?? [],
        }));
        const relative = planDeparture({
            sources,
            leaving: this.#listLeaving(service, leaving),
            destinations: this.#listDestinations(service),
            millisecondsPerToken: service.engine?.copyMillisecondsPerToken ?? 0,
            noticeMilliseconds: noticeMilliseconds - offset,
        });
        const plan = new Map([...relative].map(([id, { destination, startAt, finalAt }]) => [
            id,
            { destination, startAt: startAt + offset, finalAt: finalAt + offset },
        ]));
        this.#startPlanned(plan, noticedAt);
        const isComplete = this.#listUnplanned(departure).length === 0;
        if (round === "first" && !isComplete) {
            const latest = Math.max(REPORT_AGE, ...[...plan.values()].map(move => move.finalAt));
            this.#scheduleSecondRound(service, { ...departure, latest });
        }
        else {
            for (const stream of this.#listUnplanned(departure)) {
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
        const { leaving, noticedAt, latest } = departure;
        const now = this.#options.context.clock.getMonotonic();
        setTimeout(() => {
            const targets = leaving.map(({ target }) => target);
            void this.#fetchLeaving(targets).then(again => {
                const planned = new Set(leaving.flatMap(({ report }) => report?.runs.map(run => run.requestId) ?? []));
                const fresh = again.map(({ target, report }) => ({
                    target,
                    report: report && { ...report, runs: report.runs.filter(run => !planned.has(run.requestId)) },
                }));
                this.#startServiceMoves(service, { leaving: fresh, noticedAt }, { round: "second", offset: latest });
            });
        }, Math.max(0, noticedAt + REPORT_AGE - now));
    }

    /** Lists all engines that go at about the same time, whether this instance has streams there or not. */
    #listLeaving(service: ServiceDefinition, own: Departure["leaving"]): ServingTarget[] {
        const noticed = [...this.#noticed.values()].map(({ target }) => target);
        const all = new Map([...noticed, ...own.map(({ target }) => target)].map(target => [target.id, target]));
        return [...all.values()].filter(target => target.service === service.name);
    }

    #startPlanned(plan: ReadonlyMap<string, PlannedMove>, noticedAt: number): void {
        for (const stream of this.#options.listStreams()) {
            const move = plan.get(stream.requestId);
            if (move !== undefined) {
                stream.startMove({ noticedAt, plan: move });
            }
        }
    }

    /** Lists the streams on engines that leave whose move has not begun. */
    #listUnplanned({ leaving }: Departure): ActiveStream[] {
        const ids = new Set(leaving.map(({ target }) => target.id));
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
