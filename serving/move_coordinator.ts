/**
 * Starts the moves of running generations from leaving engines to other engines.
 *
 * @module
 */
import {
    type DestinationEngine,
    getSoftwareVersion,
    type LeavingEngine,
    planMoves,
    type PlannedMove,
    type ServiceDefinition,
    type ServingTarget,
    type TargetChange,
} from "../core/serving/mod.ts";
import type { EngineReport } from "../platform/mod.ts";
import type { ServingContext } from "./caller_exchange.ts";
import type { ActiveStream } from "./stream_call.ts";

/** Options of a {@linkcode MoveCoordinator}. */
export interface MoveCoordinatorOptions {
    /** Dependencies that all request handlers share. */
    context: ServingContext;
    /** Lists the streams that are being relayed. */
    listStreams: () => Iterable<ActiveStream>;
}

/** Engines of one service and software version that leave at about the same time; their moves are planned together. */
interface LeavingGroup {
    /** Leaving engines that run generations of this instance, with their reports where available. */
    engines: { target: ServingTarget; report: EngineReport | undefined; }[];
    /** Time of the notice that the first engine of the group is leaving, on the monotonic clock in milliseconds. */
    noticedAt: number;
    /** Version of the engines' software. */
    softwareVersion: string;
}

/** Timeout for fetching a report, in milliseconds. A move planned without a report is better than a late move. */
const REPORT_TIMEOUT_MILLISECONDS = 100;
/** Time for which leaving engines are collected before their moves are planned together, in milliseconds. */
const GROUPING_DELAY_MILLISECONDS = 12;
/**
 * Time from the notice to the shutdown of an engine that does not report it, in milliseconds; engines that were
 * reclaimed have stayed 1.5 s and longer.
 */
const DEFAULT_NOTICE_MILLISECONDS = 1500;
/** Time within which engines are considered to leave together, in milliseconds: about half of the shortest notice. */
const SAME_GROUP_MILLISECONDS = 800;
/**
 * Maximum share of a service's targets that may be missing from the store's list for generations to be moved off them.
 * A few missing targets are most likely leaving. If more are missing, their objects in the store have expired, and the
 * remaining targets could not take over the generations.
 */
const MAX_MISSING_SHARE = 0.34;
/** Time after the notice from which reports include all generations started before the notice, in milliseconds. */
const REPORT_AGE_MILLISECONDS = 600;

/** Collects leaving engines and starts the moves of this instance's generations on them. */
export class MoveCoordinator {
    readonly #options: MoveCoordinatorOptions;
    readonly #recentlyLeaving = new Map<string, { target: ServingTarget; noticedAt: number; }>();
    #pendingTargets: ServingTarget[] = [];

    constructor(options: MoveCoordinatorOptions) {
        this.#options = options;
    }

    /** Handles a change to a target; schedules the moves of its generations if it is leaving or no longer listed. */
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
        if (change.kind === "missing" && directory.computeMissingShare(change.target.service) > MAX_MISSING_SHARE) {
            return;
        }
        this.#pendingTargets.push(change.target);
        if (this.#pendingTargets.length === 1) {
            const noticedAt = context.clock.getMonotonic();
            setTimeout(() => {
                const targets = this.#pendingTargets;
                this.#pendingTargets = [];
                this.#startMoves(targets, noticedAt).catch((error: unknown) => {
                    context.log.record("trouble", "moves not started", { error: String(error) });
                });
            }, GROUPING_DELAY_MILLISECONDS);
        }
    }

    #recordLeaving(target: ServingTarget): void {
        const now = this.#options.context.clock.getMonotonic();
        for (const [id, { noticedAt }] of this.#recentlyLeaving) {
            if (now - noticedAt > SAME_GROUP_MILLISECONDS) {
                this.#recentlyLeaving.delete(id);
            }
        }
        this.#recentlyLeaving.set(target.id, { target, noticedAt: now });
    }

    #hasStreams(target: ServingTarget): boolean {
        return [...this.#options.listStreams()].some(stream => stream.targetId === target.id);
    }

    async #startMoves(targets: readonly ServingTarget[], noticedAt: number): Promise<void> {
        const all = await this.#fetchReports(targets);
        const services = new Set(targets.map(target => target.service));
        for (const name of services) {
            const service = this.#options.context.state.table?.findService(name);
            if (service?.engine?.canMove !== true) {
                continue;
            }
            const engines = all.filter(({ target }) => target.service === name);
            // A generation goes on only at its software version, so each version has a plan of its own.
            for (const version of new Set(engines.map(({ target }) => getSoftwareVersion(target)))) {
                this.#startServiceMoves(service, {
                    engines: engines.filter(({ target }) => getSoftwareVersion(target) === version),
                    noticedAt,
                    softwareVersion: version,
                });
            }
        }
    }

    #fetchReports(targets: readonly ServingTarget[]): Promise<LeavingGroup["engines"]> {
        return Promise.all(
            targets.map(async target => ({
                target,
                report: await this.#options.context.engines.fetchReport(target, REPORT_TIMEOUT_MILLISECONDS),
            })),
        );
    }

    /**
     * Plans and starts the moves of one service's generations at one software version.
     *
     * The first round plans the generations in the engines' reports, and schedules a second round if there are streams
     * whose move has not started. The second round plans the generations in newer reports, and then moves all other
     * remaining streams without a planned destination. `offset` is the earliest start of the moves, in milliseconds
     * after the notice.
     */
    #startServiceMoves(
        service: ServiceDefinition,
        group: LeavingGroup,
        stage: { round: "first" | "second"; offset: number; } = { round: "first", offset: 0 },
    ): void {
        const { engines, noticedAt, softwareVersion } = group;
        const { round, offset } = stage;
        const notices = engines.map(({ report }) => report?.leavesInMilliseconds ?? DEFAULT_NOTICE_MILLISECONDS);
        const noticeMilliseconds = Math.min(...notices);
        const sources: LeavingEngine[] = engines.map(({ target, report }) => ({
            id: target.id,
            zone: target.zone,
            generations: report?.runs ?? [],
        }));
        const relativePlan = planMoves({
            sources,
            leaving: this.#listLeaving(service, group),
            destinations: this.#listDestinations(service, softwareVersion),
            millisecondsPerToken: service.engine?.copyMillisecondsPerToken ?? 0,
            noticeMilliseconds: noticeMilliseconds - offset,
        });
        const plan = new Map([...relativePlan].map(([id, { destination, startAt, finalAt }]) => [
            id,
            { destination, startAt: startAt + offset, finalAt: finalAt + offset },
        ]));
        this.#startPlannedMoves(plan, noticedAt);
        const isComplete = this.#listStreamsWithoutMove(group).length === 0;
        if (round === "first" && !isComplete) {
            const latest = Math.max(REPORT_AGE_MILLISECONDS, ...[...plan.values()].map(move => move.finalAt));
            this.#scheduleSecondRound(service, { ...group, latest });
        }
        else {
            for (const stream of this.#listStreamsWithoutMove(group)) {
                stream.startMove({ noticedAt, plan: { destination: undefined, startAt: offset, finalAt: offset } });
            }
        }
    }

    /**
     * Schedules the second round, which plans the generations that are absent from the first reports.
     *
     * Reports are some hundred milliseconds old, so the first ones do not include the latest generations. The copies of
     * the second round start after those of the first.
     */
    #scheduleSecondRound(service: ServiceDefinition, group: LeavingGroup & { latest: number; }): void {
        const { engines, noticedAt, softwareVersion, latest } = group;
        const now = this.#options.context.clock.getMonotonic();
        setTimeout(() => {
            const targets = engines.map(({ target }) => target);
            void this.#fetchReports(targets).then(updated => {
                const planned = new Set(engines.flatMap(({ report }) => report?.runs.map(run => run.requestId) ?? []));
                const enginesWithNewRuns = updated.map(({ target, report }) => ({
                    target,
                    report: report && { ...report, runs: report.runs.filter(run => !planned.has(run.requestId)) },
                }));
                this.#startServiceMoves(service, { engines: enginesWithNewRuns, noticedAt, softwareVersion }, {
                    round: "second",
                    offset: latest,
                });
            });
        }, Math.max(0, noticedAt + REPORT_AGE_MILLISECONDS - now));
    }

    /**
     * Lists a service's engines of one software version that leave at about the same time, including those without
     * generations of this instance.
     */
    #listLeaving(service: ServiceDefinition, { engines, softwareVersion }: LeavingGroup): ServingTarget[] {
        const recentTargets = [...this.#recentlyLeaving.values()].map(({ target }) => target);
        const all = new Map(
            [...recentTargets, ...engines.map(({ target }) => target)].map(target => [target.id, target]),
        );
        return [...all.values()].filter(target =>
            target.service === service.name && getSoftwareVersion(target) === softwareVersion
        );
    }

    #startPlannedMoves(plan: ReadonlyMap<string, PlannedMove>, noticedAt: number): void {
        for (const stream of this.#options.listStreams()) {
            const move = plan.get(stream.requestId);
            if (move !== undefined) {
                stream.startMove({ noticedAt, plan: move });
            }
        }
    }

    /** Lists the movable streams on the leaving engines whose move has not started. */
    #listStreamsWithoutMove({ engines }: LeavingGroup): ActiveStream[] {
        const ids = new Set(engines.map(({ target }) => target.id));
        return [...this.#options.listStreams()].filter(stream =>
            ids.has(stream.targetId) && stream.isMovable && !stream.isMoving
        );
    }

    #listDestinations(service: ServiceDefinition, softwareVersion: string): DestinationEngine[] {
        const { engine } = service;
        const { state } = this.#options.context;
        return state.listCandidates(service).flatMap(({ target, load, penalty }) =>
            penalty > 1 || !state.isMoveDestination(target.id) || engine === undefined
                || state.directory.isMissing(target.id) || getSoftwareVersion(target) !== softwareVersion
                ? []
                : [{
                    id: target.id,
                    zone: target.zone,
                    freeTokens: engine.memoryTokens - load.tokens,
                }]
        );
    }
}
