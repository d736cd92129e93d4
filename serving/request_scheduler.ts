/**
 * Schedules requests on targets.
 *
 * A request for which no target has capacity is queued for its service, or refused if it would wait too long.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import {
    type AdmissionEntry,
    chooseLeastLoadedTarget,
    chooseRetryAfter,
    type Closure,
    decideQueueAdmission,
    decideTimedAdmission,
    type FleetView,
    type PlacementEstimate,
    type PrefixPart,
    type QueueAdmission,
    type RefusalInputs,
    type RequestLoad,
    type RequestOrigin,
    ReturnKind,
    type SelectionObserver,
    type ServiceAdmission,
    type ServiceDefinition,
    type ServingTarget,
    type TargetCandidate,
    type TargetSelection,
    TimeWindow,
    WaitingLine,
} from "../core/serving/mod.ts";
import type { DecisionLog } from "../telemetry/mod.ts";
import type { ServingMetrics } from "./serving_metrics.ts";
import type { ServingState } from "./serving_state.ts";

/** A request that needs capacity at a target. */
export interface ReservationRequest {
    /** Service that the request is for. */
    service: ServiceDefinition;
    /** Load that the request adds to its target. */
    requestLoad: RequestLoad;
    /** Keys of the prompt's parts; absent or empty if cached parts do not count. */
    promptPrefix?: readonly PrefixPart[];
    /** Who sent the request. */
    origin: RequestOrigin;
    /** Priority; 0 is the highest. */
    priority: number;
    /** Identifiers of the targets at which the request has failed already. */
    avoid: ReadonlySet<string>;
    /** Software version that the target must have, since it began the stream. Defaults to any. */
    softwareVersion?: string | undefined;
    /** Accepts the targets that may be used. Defaults to all. */
    isAllowed?: ((target: ServingTarget) => boolean) | undefined;
    /** Name of those targets: requests of a service with the same name may use the same ones. */
    allowedName?: string | undefined;
    /** Time until the latency objective of the request is missed, in milliseconds. */
    objectiveMilliseconds: number;
    /** Longest pause between the events of the stream, in milliseconds; `undefined` if none is set. */
    gapMilliseconds?: number | undefined;
    /** Time until the deadline of the request, in milliseconds. */
    remainingMilliseconds: number;
    /** Aborted when the caller has disconnected or the deadline has passed. */
    signal: AbortSignal;
}

/** Capacity at a target reserved for one request. */
export interface Reservation {
    /** Target at which the capacity is reserved. */
    target: ServingTarget;
    /** Score of the target when it was selected: its load, where 1 is full, plus penalties; 0 for a given target. */
    score: number;
    /** What the target of a paced service was selected by. */
    estimate?: PlacementEstimate | undefined;
    /** Tokens of the prompt that the target is believed to have cached. */
    heldTokens: number;
    /** Records that the target has started to respond. */
    markResponseStarted: () => void;
    /** Records how many output tokens have been received so far. */
    recordOutput: (tokens: number) => void;
    /** Releases the capacity; further calls have no effect. */
    release: () => void;
}

/** A reservation, or the reason for refusing the request. */
export type ReservationResult =
    | { kind: "placed"; reservation: Reservation; }
    | { kind: "refused"; reason: RefusalReason; retryAfterSeconds: number; };

/** Why a request got no target: there is none, all are full, or none accepts requests from this instance. */
export type RefusalReason = "no-target" | "full" | Closure["reason"];

/** Where a request would go; `waiting` is the number of requests that wait already. */
export type PlacementDecision =
    & { waiting: number; }
    & (
        | { kind: "placed"; target: string; score: number; heldTokens: number; }
        | { kind: "waits"; milliseconds: number; }
        | { kind: "refused"; reason: RefusalReason; retryAfterSeconds: number; }
    );

/** What a target is selected for. */
type SelectionRequest =
    & Pick<ReservationRequest, "service" | "requestLoad" | "promptPrefix" | "avoid" | "softwareVersion" | "isAllowed">
    & Partial<Pick<ReservationRequest, "objectiveMilliseconds" | "gapMilliseconds">>
    & {
        /** Zone of the engine that a running generation is copied from; absent unless one is copied. */
        copyZone?: string;
        /** Tokens of KV cache that the request leaves free at its target, beside its own. Defaults to 0. */
        headroomTokens?: number;
        /** Receives how each candidate is judged. Defaults to none. */
        observer?: SelectionObserver;
    };

type DistributiveOmit<Union, Key extends PropertyKey> = Union extends unknown ? Omit<Union, Key> : never;

/** Options of a {@linkcode RequestScheduler}. */
export interface RequestSchedulerOptions {
    /** State that targets and their loads are read from. */
    state: ServingState;
    /** Availability zone of this instance. */
    zone: string;
    /** Decision log. */
    log: DecisionLog;
    /** Counters of refused requests. */
    metrics: ServingMetrics;
    /** Source of time. */
    clock: Clock;
    /** Random number generator that returns numbers from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
}

/** Length of the window in which released reservations are counted, in milliseconds. */
const RELEASE_WINDOW_MILLISECONDS = 1000;
/** Estimated time until a target is available again if there is none, in milliseconds. */
const NO_TARGET_DELAY_MILLISECONDS = 400;
/**
 * Interval at which digests of peers wake waiting requests, in milliseconds. A large fleet sends a hundred digests a
 * second, and each look at the targets takes a tenth of a millisecond.
 */
const DIGEST_WAKE_INTERVAL_MILLISECONDS = 25;
/**
 * Interval at which waiting requests of a paced service without engines try again, in milliseconds: about the time in
 * which one of the slots of a target is freed.
 */
const PLAIN_RETRY_MILLISECONDS = 15;
/** Shortest time until a queue is woken by the timer, in milliseconds. */
const MIN_TIMER_MILLISECONDS = 2;

/** A waiting request and what ends its wait. */
interface QueueEntry extends AdmissionEntry {
    request: ReservationRequest;
    settle: (result: ReservationResult) => void;
}

/** Requests that wait for targets of one service or, if its targets state no pace, of one software version of it. */
interface Queue {
    service: ServiceDefinition;
    line: WaitingLine<QueueEntry>;
    /** Admission of the service; `undefined` unless its targets state a pace. */
    admission: ServiceAdmission | undefined;
    /** Time at which the queue is woken by the timer; `Infinity` if nothing waits. */
    dueAt: number;
    isWakeScheduled: boolean;
}

/** Reserves capacity at targets for requests. */
export class RequestScheduler {
    readonly #options: RequestSchedulerOptions;
    readonly #queues = new Map<string, Queue>();
    readonly #releases = new Map<string, TimeWindow>();
    #timer: NodeJS.Timeout | undefined;
    #timerDueAt = Infinity;
    #wokenByDigestAt = Number.NEGATIVE_INFINITY;

    constructor(options: RequestSchedulerOptions) {
        this.#options = options;
        options.state.loadTracker.onPeerLoadDecrease = () => this.#handlePeerLoadDecrease();
        options.state.targetListeners.push(({ target }) => this.#wakeQueues(target.service));
    }

    /** Reserves a target at once if possible; otherwise queues the request, or refuses it if it would wait too long. */
    async reserveTarget(request: ReservationRequest): Promise<ReservationResult> {
        return this.#options.state.isFleetAdmitted(request.service.name)
            ? this.#reservePaced(request)
            : this.#reserveUnpaced(request);
    }

    /** Reserves a target of a service whose targets state no pace; only the first waiting request is placed. */
    #reserveUnpaced(request: ReservationRequest): ReservationResult | Promise<ReservationResult> {
        const selection = this.chooseTarget(request);
        const decision = this.#decideUnpaced(request, selection);
        if (decision === undefined) {
            return this.#applySelection(request, selection);
        }
        const now = this.#options.clock.getMonotonic();
        const { remainingMilliseconds, priority, origin } = request;
        if (decision.kind === "refuse") {
            return { kind: "refused", reason: decision.reason, retryAfterSeconds: decision.retryAfterSeconds };
        }
        return this.#enqueue(this.#getQueue(request, undefined), request, {
            priority,
            place: "",
            size: 1,
            isPreferred: false,
            share: 1,
            enqueuedAt: now,
            objectiveAt: now,
            latestAt: now + decision.milliseconds,
            origin,
            groups: [],
            deadline: now + remainingMilliseconds,
        });
    }

    /**
     * Decides whether a request is queued or refused; `undefined` if its selection applies at once: it is placed while no
     * other request waits, or there is no target.
     */
    #decideUnpaced(request: ReservationRequest, selection: TargetSelection): QueueAdmission | undefined {
        const waiting = this.#countWaiting(request, undefined);
        if (selection.kind === "no-target" || selection.kind === "placed" && waiting === 0) {
            return undefined;
        }
        const { objectiveMilliseconds, remainingMilliseconds } = request;
        return decideQueueAdmission({
            closure: this.#findClosure(selection),
            waiting,
            freedPerSecond: this.#countReleases(request.service.name),
            objectiveMilliseconds,
            remainingMilliseconds,
            random: this.#options.random,
        });
    }

    /** Reserves a target of a service whose targets state their pace; every waiting request that fits is placed. */
    #reservePaced(request: ReservationRequest): ReservationResult | Promise<ReservationResult> {
        const { state, clock } = this.#options;
        const { service } = request;
        const admission = state.getAdmission(service.name);
        const queue = this.#getQueue(request, admission);
        const now = clock.getMonotonic();
        const entry = buildAdmissionEntry(request, { admission, now });
        const candidates = state.listCandidates(service, request.promptPrefix);
        const selection = this.#choosePacedTarget(request, { entry, admission, candidates });
        if (selection.kind === "no-target") {
            return this.#applySelection(request, selection);
        }
        if (selection.kind === "placed" && admission.line.length === 0) {
            admission.recordPlaced(entry, now);
            return this.#applySelection(request, selection);
        }
        if (selection.kind !== "placed") {
            const closure = this.#findClosure(selection);
            const fleet = this.#getFleetView(service, candidates);
            const { reason, inputs } = admission.decideAdmission(entry, { closure, fleet });
            if (reason !== undefined) {
                return this.#refusePaced(request, { entry, admission, reason, closure, inputs, fleet });
            }
        }
        return this.#enqueue(queue, request, entry);
    }

    /** Reserves a target if one has room now, ahead of the requests that wait. */
    reserveTargetNow(request: ReservationRequest): Reservation | undefined {
        const { state, clock } = this.#options;
        const { service } = request;
        const now = clock.getMonotonic();
        const candidates = state.listCandidates(service, request.promptPrefix);
        const admission = state.isFleetAdmitted(service.name) ? state.getAdmission(service.name) : undefined;
        const entry = admission && buildAdmissionEntry(request, { admission, now });
        const selection = admission === undefined || entry === undefined
            ? this.#chooseAmong(candidates, request)
            : this.#choosePacedTarget(request, { entry, admission, candidates });
        if (selection.kind !== "placed") {
            return undefined;
        }
        if (entry !== undefined) {
            admission?.recordPlaced(entry, now);
        }
        return this.#reserveSelected(request, selection);
    }

    /** Reserves capacity at a given target without checking its load, for a generation that is moved there. */
    reserveGivenTarget(target: ServingTarget, requestLoad: RequestLoad): Reservation {
        return this.#createReservation(target, { requestLoad, score: 0 });
    }

    /** Decides as {@linkcode reserveTarget} does where a request goes, without reserving a target or queueing it. */
    decidePlacement(request: ReservationRequest, observer: SelectionObserver): PlacementDecision {
        const { state } = this.#options;
        const { name } = request.service;
        return state.isFleetAdmitted(name)
            ? this.#decidePacedPlacement(request, { observer, admission: state.getAdmission(name) })
            : this.#decideUnpacedPlacement(request, observer);
    }

    #decideUnpacedPlacement(request: ReservationRequest, observer: SelectionObserver): PlacementDecision {
        const selection = this.chooseTarget({ ...request, observer });
        const decision = this.#decideUnpaced(request, selection);
        const waiting = this.#countWaiting(request, undefined);
        if (decision?.kind === "wait") {
            return { kind: "waits", waiting, milliseconds: decision.milliseconds };
        }
        if (decision !== undefined) {
            const { reason, retryAfterSeconds } = decision;
            return { kind: "refused", waiting, reason, retryAfterSeconds };
        }
        return { waiting, ...this.#describeSelection(request, selection) };
    }

    #decidePacedPlacement(
        request: ReservationRequest,
        { observer, admission }: { observer: SelectionObserver; admission: ServiceAdmission; },
    ): PlacementDecision {
        const { state, clock, random } = this.#options;
        const { service } = request;
        const waiting = admission.line.length;
        // The request of a newcomer whose kind is known is not counted.
        const origin = { ...request.origin, returnKind: ReturnKind.newcomer };
        const entry = buildAdmissionEntry({ ...request, origin }, { admission, now: clock.getMonotonic() });
        const candidates = state.listCandidates(service, request.promptPrefix);
        const selection = this.#choosePacedTarget({ ...request, observer }, { entry, admission, candidates });
        if (selection.kind === "no-target" || selection.kind === "placed" && waiting === 0) {
            return { waiting, ...this.#describeSelection(request, selection) };
        }
        const closure = this.#findClosure(selection);
        const fleet = this.#getFleetView(service, candidates);
        const ownSize = admission.line.computeSizeAhead(entry) + entry.size;
        const { allowedMilliseconds, estimateMilliseconds } = admission.describeWait(entry, { fleet, ownSize });
        const reason = selection.kind === "placed"
            ? undefined
            : decideTimedAdmission({ closure, allowedMilliseconds, estimateMilliseconds });
        return reason === undefined
            ? { kind: "waits", waiting, milliseconds: allowedMilliseconds }
            : {
                kind: "refused",
                waiting,
                reason,
                retryAfterSeconds: admission.chooseReturnTime(entry, { closure, fleet, random }),
            };
    }

    #describeSelection(
        request: ReservationRequest,
        selection: TargetSelection,
    ): DistributiveOmit<PlacementDecision, "waiting"> {
        if (selection.kind !== "placed") {
            return this.#refuse(request, selection);
        }
        const { target, score, heldTokens = 0 } = selection;
        return { kind: "placed", target: target.id, score, heldTokens };
    }

    /** Counts the waiting requests of each service, for a state dump. */
    dumpState(): Record<string, unknown> {
        return Object.fromEntries([...this.#queues].map(([name, { line }]) => [name, line.length]));
    }

    /** Number of requests that wait for a target. */
    get waiting(): number {
        return [...this.#queues.values()].reduce((sum, { line }) => sum + line.length, 0);
    }

    /** True while a timer is set, which it is only while requests wait. */
    get hasTimer(): boolean {
        return this.#timerDueAt < Infinity;
    }

    #enqueue(queue: Queue, request: ReservationRequest, entry: AdmissionEntry): Promise<ReservationResult> {
        return new Promise(resolve => {
            const { clock } = this.#options;
            const abort = (): void => {
                queue.line.remove(queued, clock.getMonotonic());
                queued.settle({ kind: "refused", reason: "full", retryAfterSeconds: 0 });
                this.#wakeQueue(queue);
            };
            const settle = (result: ReservationResult): void => {
                request.signal.removeEventListener("abort", abort);
                resolve(result);
            };
            const queued: QueueEntry = { ...entry, request, settle };
            if (request.signal.aborted) {
                settle({ kind: "refused", reason: "full", retryAfterSeconds: 0 });
                return;
            }
            request.signal.addEventListener("abort", abort);
            queue.line.add(queued, clock.getMonotonic());
            this.#stepQueue(queue);
        });
    }

    /** Places the waiting requests that fit, refuses those that have no chance, and sets the time of the next look. */
    #stepQueue(queue: Queue): void {
        const { state, clock } = this.#options;
        const { line, service, admission } = queue;
        if (line.length === 0) {
            queue.dueAt = Infinity;
            return;
        }
        const now = clock.getMonotonic();
        let candidates = state.listCandidates(service);
        const fleet = this.#getFleetView(service, candidates);
        const refused = line.step({
            now,
            tryPlace: entry => {
                if (admission !== undefined) {
                    state.setHeldTokens(candidates, { service, prefix: entry.request.promptPrefix ?? [] });
                }
                const isSettled = this.#trySettle(entry, { candidates, admission });
                candidates = isSettled ? state.listCandidates(service) : candidates;
                return isSettled;
            },
            estimateWait: admission?.createWaitEstimate(fleet) ?? (() => undefined),
        });
        for (const { entry, sizeAhead, estimateMilliseconds } of refused) {
            this.#refuseWaiting(entry, { admission, fleet, sizeAhead, estimateMilliseconds });
        }
        const nextCheck = line.findNextCheck();
        // No digest tells of a slot that a request of a peer frees at a target that is no engine.
        const isReleaseUnseen = admission !== undefined && service.engine === undefined;
        const nextRelease = isReleaseUnseen ? now + PLAIN_RETRY_MILLISECONDS : Infinity;
        queue.dueAt = nextCheck === undefined
            ? Infinity
            : Math.max(
                now + MIN_TIMER_MILLISECONDS,
                Math.min(nextCheck, nextRelease, state.findNextOpening(service, candidates) ?? Infinity),
            );
        this.#scheduleTimer();
    }

    /** Settles a waiting request if there is a target for it, or none can be for as long as it may wait. */
    #trySettle(
        entry: QueueEntry,
        { candidates, admission }: {
            candidates: readonly TargetCandidate[];
            admission: ServiceAdmission | undefined;
        },
    ): boolean {
        const now = this.#options.clock.getMonotonic();
        const { request } = entry;
        const selection = admission === undefined
            ? this.#chooseAmong(candidates, request)
            : this.#choosePacedTarget(request, { entry, admission, candidates });
        const closure = this.#findClosure(selection);
        if (selection.kind === "placed") {
            admission?.recordPlaced(entry, now);
        }
        else if (selection.kind !== "no-target") {
            if (
                now + (closure?.milliseconds ?? 0) < entry.latestAt || closure === undefined && admission !== undefined
            ) {
                return false;
            }
            if (admission !== undefined && closure !== undefined) {
                const fleet = this.#getFleetView(request.service, candidates);
                const inputs = admission.describeWait(entry, { fleet, ownSize: entry.size });
                const { reason } = closure;
                entry.settle(this.#refusePaced(request, { entry, admission, reason, closure, inputs, fleet }));
                return true;
            }
        }
        entry.settle(this.#applySelection(request, selection));
        return true;
    }

    #refuseWaiting(
        entry: QueueEntry,
        options: {
            admission: ServiceAdmission | undefined;
            fleet: FleetView;
            sizeAhead: number;
            estimateMilliseconds: number | undefined;
        },
    ): void {
        const { admission, fleet, sizeAhead, estimateMilliseconds } = options;
        const { request } = entry;
        if (admission === undefined) {
            entry.settle(this.#refuse(request, { kind: "full" }));
            return;
        }
        const inputs = { ...admission.describeWait(entry, { fleet, ownSize: sizeAhead }), estimateMilliseconds };
        entry.settle(
            this.#refusePaced(request, { entry, admission, reason: "full", closure: undefined, inputs, fleet }),
        );
    }

    /** Selects a target without reserving it; prefers the zone of this instance or, for a copy, that of the source. */
    chooseTarget(request: SelectionRequest): TargetSelection {
        const { service, promptPrefix } = request;
        return this.#chooseAmong(this.#options.state.listCandidates(service, promptPrefix), request);
    }

    #chooseAmong(
        candidates: readonly TargetCandidate[],
        request: SelectionRequest,
    ): TargetSelection {
        const { state, zone, random } = this.#options;
        const { isAllowed, observer } = request;
        if (isAllowed !== undefined) {
            candidates.filter(({ target }) => !isAllowed(target))
                .forEach(candidate => observer?.recordExclusion(candidate, "rollout"));
        }
        const allowed = isAllowed === undefined ? candidates : candidates.filter(({ target }) => isAllowed(target));
        return chooseLeastLoadedTarget(allowed, {
            requestLoad: request.requestLoad,
            headroomTokens: request.headroomTokens,
            engine: request.service.engine,
            zone: request.copyZone ?? zone,
            isCopy: request.copyZone !== undefined,
            instances: state.instances,
            avoid: request.avoid,
            softwareVersion: request.softwareVersion,
            objectives: {
                firstMilliseconds: request.objectiveMilliseconds ?? Infinity,
                gapMilliseconds: request.gapMilliseconds,
                strictestGapMilliseconds: state.table?.findStrictestGap(request.service.name),
            },
            random,
            observer,
        });
    }

    /** Selects a target that has room for the request and for what it has to leave free. */
    #choosePacedTarget(
        request: ReservationRequest & Pick<SelectionRequest, "observer">,
        options: { entry: AdmissionEntry; admission: ServiceAdmission; candidates: readonly TargetCandidate[]; },
    ): TargetSelection {
        const { entry, admission, candidates } = options;
        const now = this.#options.clock.getMonotonic();
        const headroomTokens = request.service.engine === undefined || !admission.isShort(entry.enqueuedAt)
            ? 0
            : admission.computeHeadroom(entry, {
                fleet: this.#getFleetView(request.service, candidates),
                random: this.#options.random,
            });
        const objectiveMilliseconds = Math.max(0, entry.objectiveAt - now);
        return this.#chooseAmong(candidates, { ...request, objectiveMilliseconds, headroomTokens });
    }

    #getFleetView({ engine }: ServiceDefinition, candidates: readonly TargetCandidate[]): FleetView {
        const { state, clock } = this.#options;
        return {
            now: clock.getMonotonic(),
            instances: state.instances,
            // Digests do not contain the load on targets that are no engines.
            runningSize: engine === undefined ? undefined : candidates.reduce((sum, { load }) => sum + load.tokens, 0),
            targets: candidates.length,
        };
    }

    /** Reserves the selected target, or refuses the request if none was selected. */
    #applySelection(request: ReservationRequest, selection: TargetSelection): ReservationResult {
        return selection.kind === "placed"
            ? { kind: "placed", reservation: this.#reserveSelected(request, selection) }
            : this.#refuse(request, selection);
    }

    #reserveSelected(
        request: ReservationRequest,
        { target, score, estimate, heldTokens }: Extract<TargetSelection, { kind: "placed"; }>,
    ): Reservation {
        const { origin } = request;
        const requestLoad = heldTokens === undefined ? request.requestLoad : { ...request.requestLoad, heldTokens };
        return this.#createReservation(target, { requestLoad, score, estimate, kind: origin.kind });
    }

    #createReservation(
        target: ServingTarget,
        options: {
            requestLoad: RequestLoad;
            score: number;
            estimate?: PlacementEstimate | undefined;
            kind?: string;
        },
    ): Reservation {
        const { state, clock } = this.#options;
        const { requestLoad, score, estimate, kind } = options;
        const loadReservation = state.loadTracker.addRequest(target.id, requestLoad);
        const startedAt = clock.getMonotonic();
        state.recentSends.recordSend(target.id, startedAt);
        const room = state.isFleetAdmitted(target.service) ? state.getAdmission(target.service).room : undefined;
        const size = Math.max(1, requestLoad.promptTokens + requestLoad.outputTokens);
        room?.recordStart(size, startedAt);
        let isReleased = false;
        let hasResponseStarted = false;
        const release = (): void => {
            if (!isReleased) {
                isReleased = true;
                loadReservation.release();
                room?.recordRelease(size, { now: clock.getMonotonic(), hasResponded: hasResponseStarted });
                this.#recordRelease(target.service);
                this.#wakeQueues(target.service);
            }
        };
        const markResponseStarted = (): void => {
            if (!hasResponseStarted && kind !== undefined) {
                room?.recordResponseTime(kind, clock.getMonotonic() - startedAt);
            }
            hasResponseStarted = true;
            loadReservation.markResponseStarted();
        };
        const { recordOutput } = loadReservation;
        const { heldTokens = 0 } = requestLoad;
        return { target, score, estimate, heldTokens, markResponseStarted, recordOutput, release };
    }

    /** Finds out why no target accepts requests; `undefined` if one does or there is none. */
    #findClosure(selection: TargetSelection): Closure | undefined {
        if (selection.kind !== "paused" && selection.kind !== "limited") {
            return undefined;
        }
        const milliseconds = Math.max(0, selection.until - this.#options.clock.getMonotonic());
        return { reason: selection.kind, milliseconds };
    }

    #refuse(
        request: ReservationRequest,
        selection: Exclude<TargetSelection, { kind: "placed"; }>,
    ): Extract<ReservationResult, { kind: "refused"; }> {
        const reason = selection.kind;
        const closure = this.#findClosure(selection);
        const releases = Math.max(1, this.#countReleases(request.service.name));
        const expectedMilliseconds = reason === "no-target" ? NO_TARGET_DELAY_MILLISECONDS : 1000 / releases;
        const retryAfterSeconds = chooseRetryAfter({
            expectedMilliseconds: Math.max(expectedMilliseconds, closure?.milliseconds ?? 0),
            closure,
            remainingMilliseconds: request.remainingMilliseconds,
            random: this.#options.random,
        });
        return { kind: "refused", reason, retryAfterSeconds };
    }

    #refusePaced(
        { service, origin }: ReservationRequest,
        options: {
            entry: AdmissionEntry;
            admission: ServiceAdmission;
            reason: "full" | Closure["reason"];
            closure: Closure | undefined;
            inputs: RefusalInputs;
            fleet: FleetView;
        },
    ): ReservationResult {
        const { entry, admission, reason, closure, inputs, fleet } = options;
        const { log, metrics, random } = this.#options;
        const retryAfterSeconds = admission.recordRefusal(entry, { closure, fleet, random });
        metrics.countRefusal(service.name, reason);
        log.record("trouble", "request not admitted", {
            service: service.name,
            account: origin.account,
            kind: origin.kind,
            reason,
            ...describeInputs(inputs),
            waitedMilliseconds: Math.round(fleet.now - entry.enqueuedAt),
            instances: fleet.instances,
            share: entry.share,
            returns: origin.returnKind,
            retryAfterSeconds: Number(retryAfterSeconds.toFixed(2)),
        });
        return { kind: "refused", reason, retryAfterSeconds };
    }

    /** Gets the queue of a service, or of one software version: its full targets must not delay requests for others. */
    #getQueue(request: ReservationRequest, admission: ServiceAdmission | undefined): Queue {
        const { service } = request;
        const key = getQueueKey(request, admission);
        const queue = this.#queues.get(key) ?? {
            service,
            line: admission === undefined
                ? new WaitingLine<QueueEntry>({ isHeadOnly: true })
                : admission.line as WaitingLine<QueueEntry>,
            admission,
            dueAt: Infinity,
            isWakeScheduled: false,
        };
        queue.service = service;
        this.#queues.set(key, queue);
        return queue;
    }

    #countWaiting(request: ReservationRequest, admission: ServiceAdmission | undefined): number {
        return this.#queues.get(getQueueKey(request, admission))?.line.length ?? 0;
    }

    /** Wakes all queues of a service, or of all services if none is given. */
    #wakeQueues(service?: string): void {
        for (const queue of this.#queues.values()) {
            if (service === undefined || queue.service.name === service) {
                this.#wakeQueue(queue);
            }
        }
    }

    /** Wakes a queue once for all events that are handled together. */
    #wakeQueue(queue: Queue): void {
        if (queue.line.length > 0 && !queue.isWakeScheduled) {
            queue.isWakeScheduled = true;
            queueMicrotask(() => {
                queue.isWakeScheduled = false;
                this.#stepQueue(queue);
            });
        }
    }

    #handlePeerLoadDecrease(): void {
        const now = this.#options.clock.getMonotonic();
        const nextAt = this.#wokenByDigestAt + DIGEST_WAKE_INTERVAL_MILLISECONDS;
        if (now >= nextAt) {
            this.#wokenByDigestAt = now;
            this.#wakeQueues();
            return;
        }
        for (const queue of this.#queues.values()) {
            queue.dueAt = queue.line.length === 0 ? Infinity : Math.min(queue.dueAt, nextAt);
        }
        this.#scheduleTimer();
    }

    /** Sets the one timer to the earliest time at which a queue has to be looked at; none runs while nothing waits. */
    #scheduleTimer(): void {
        const dueAt = Math.min(...[...this.#queues.values()].map(queue => queue.dueAt));
        if (dueAt === this.#timerDueAt) {
            return;
        }
        clearTimeout(this.#timer);
        this.#timerDueAt = dueAt;
        if (dueAt < Infinity) {
            this.#timer = setTimeout(
                () => this.#handleTimer(),
                Math.max(0, dueAt - this.#options.clock.getMonotonic()),
            );
        }
    }

    #handleTimer(): void {
        this.#timerDueAt = Infinity;
        // A timer may fire up to a millisecond early.
        const now = this.#options.clock.getMonotonic() + 1;
        for (const queue of this.#queues.values()) {
            if (queue.dueAt <= now) {
                this.#stepQueue(queue);
            }
        }
        this.#scheduleTimer();
    }

    #recordRelease(service: string): void {
        const releases = this.#releases.get(service) ?? new TimeWindow(RELEASE_WINDOW_MILLISECONDS);
        this.#releases.set(service, releases);
        releases.addEvent(this.#options.clock.getMonotonic());
    }

    #countReleases(service: string): number {
        return this.#releases.get(service)?.countEvents(this.#options.clock.getMonotonic()) ?? 0;
    }
}

function getQueueKey(
    { service, softwareVersion }: Pick<ReservationRequest, "service" | "softwareVersion">,
    admission: ServiceAdmission | undefined,
): string {
    if (admission !== undefined) {
        return service.name;
    }
    return softwareVersion === undefined ? `${service.name} unpaced` : `${service.name} ${softwareVersion} unpaced`;
}

function buildAdmissionEntry(
    request: ReservationRequest,
    { admission, now }: { admission: ServiceAdmission; now: number; },
): AdmissionEntry {
    const { service, priority, requestLoad, softwareVersion = "", allowedName = "", avoid } = request;
    return admission.buildEntry({
        origin: request.origin,
        priority,
        place: `${priority} ${softwareVersion} ${allowedName} ${[...avoid].join(" ")}`,
        size: service.engine === undefined ? 1 : requestLoad.promptTokens + requestLoad.outputTokens,
        objectiveMilliseconds: request.objectiveMilliseconds,
        remainingMilliseconds: request.remainingMilliseconds,
    }, now);
}

function describeInputs(inputs: RefusalInputs): Record<string, number | undefined> {
    return Object.fromEntries(
        Object.entries(inputs).map((
            [name, value]: [string, number | undefined],
        ) => [name, value === undefined ? undefined : Math.round(value)]),
    );
}
