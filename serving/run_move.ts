/**
 * Moves one running generation to another engine: a copy while it runs, then a short last copy, then the run goes on.
 *
 * @module
 */
import {
    decideMoveAction,
    type MoveStepResult,
    type PlannedMove,
    type ServiceDefinition,
    type ServingTarget,
    type WorkItem,
} from "../core/serving/mod.ts";
import { waitMilliseconds } from "../network/mod.ts";
import { type MemoryCopy, type MoveReply, moveRun, releaseCopy } from "../platform/mod.ts";
import type { ServingContext } from "./caller_exchange.ts";
import type { Reservation } from "./place_finder.ts";

/** Where a moved run goes on. */
export interface MovedRun {
    /** Place at the engine. */
    reservation: Reservation;
    /** Its memory. */
    copy: MemoryCopy;
    /** Takes a place at the engine that the run came from; absent where it goes on there. */
    returnToSource?: () => MovedRun;
}

/** Why and when a run moves. */
export interface MoveNotice {
    /** Time at which the engine's leaving was noticed, on the monotonic clock in milliseconds. */
    noticedAt: number;
    /** Steps of the move. */
    plan: PlannedMove;
}

/** A run to move. */
export interface MoveOperationOptions {
    /** Identity of the request. */
    requestId: string;
    /** Engine that leaves. */
    source: ServingTarget;
    /** Service of the engine. */
    service: ServiceDefinition;
    /** Size of the request. */
    item: WorkItem;
    /** Why and when the run moves. */
    notice: MoveNotice;
    /** Counts the events that have reached the caller. */
    countEvents: () => number;
}

/** Longest time for one step, in milliseconds: a copy that queues behind several others. */
const STEP_TIMEOUT_MILLISECONDS = 2500;
/** Pause before a step is tried again, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 80;
/** Time allowed for freeing a copy, in milliseconds. */
const RELEASE_TIMEOUT_MILLISECONDS = 1000;
/** Most destinations that are asked. */
const MAX_DESTINATIONS = 4;
/** Time after the notice at which no step is begun any more, in milliseconds: engines stay a few seconds at most. */
const MAX_MOVE_MILLISECONDS = 6000;

/** Moves one run. */
export class MoveOperation {
    readonly #context: ServingContext;
    readonly #options: MoveOperationOptions;
    readonly #excludedTargets = new Set<string>();
    readonly #end: Promise<MovedRun | undefined>;
    #resolveEnd: (run: MovedRun | undefined) => void = () => undefined;
    #isCancelled = false;
    #isRunStopping = false;
    #reservation: Reservation | undefined;
    #handle: string | undefined;
    /** Why the last step was not answered. */
    #unansweredReason: string | undefined;

    constructor(context: ServingContext, options: MoveOperationOptions) {
        this.#context = context;
        this.#options = options;
        this.#excludedTargets.add(options.source.id);
        this.#end = new Promise(resolve => {
            this.#resolveEnd = resolve;
        });
    }

    /** Waits for the end of a move that may have stopped the run; gives nothing where the run was left alone. */
    waitForEnd(): Promise<MovedRun | undefined> {
        if (!this.#isRunStopping) {
            this.cancel();
            return Promise.resolve(undefined);
        }
        return this.#end;
    }

    /** Waits until all steps are made, whether they stop the run or not. */
    async waitForSteps(): Promise<void> {
        await this.#end;
    }

    /** Gives the move up, unless the run goes on at the destination already. */
    cancel(): void {
        this.#isCancelled = true;
    }

    /** Makes the steps. */
    async run(): Promise<void> {
        const { notice } = this.#options;
        await waitMilliseconds(Math.max(0, notice.noticedAt + notice.plan.startAt - this.#now));
        const { end, run } = await this.#runSteps();
        if (run === undefined) {
            this.#reservation?.release();
            this.#releaseCopy();
        }
        this.#resolveEnd(run);
        this.#context.metrics.countMove(end);
        this.#context.log.record("trouble", "move ended", {
            request: this.#options.requestId,
            source: this.#options.source.id,
            destination: run?.reservation.target.id ?? this.#reservation?.target.id,
            end,
            reason: this.#unansweredReason,
            plan: notice.plan,
            sinceNoticeMilliseconds: Math.round(this.#now - notice.noticedAt),
            events: this.#options.countEvents(),
        });
    }

    async #runSteps(): Promise<{ end: string; run: MovedRun | undefined; }> {
        const { notice } = this.#options;
        let isFinal = false;
        for (let destinations = 0; destinations < MAX_DESTINATIONS;) {
            if (this.#isCancelled && !this.#isRunStopping) {
                return { end: "not needed", run: undefined };
            }
            if (this.#now >= this.#options.notice.noticedAt + MAX_MOVE_MILLISECONDS) {
                return { end: "too late", run: undefined };
            }
            const reservation = this.#reservation ?? this.#reserveDestination();
            if (reservation === undefined) {
                return { end: "no destination", run: undefined };
            }
            this.#reservation = reservation;
            this.#isRunStopping ||= isFinal;
            const reply = await this.#runStep(reservation, isFinal);
            const action = decideMoveAction(classifyReply(reply, isFinal), { isFinal });
            switch (action) {
                case "go-on":
                    return {
                        end: "moved",
                        run: { ...this.#buildMovedRun(reservation), returnToSource: () => this.#buildReturnToSource() },
                    };
                case "go-back":
                    return { end: "went back", run: this.#buildReturnToSource() };
                case "stay":
                    return { end: `left: ${reply.kind}`, run: undefined };
                case "copy-last":
                    isFinal = true;
                    await waitMilliseconds(Math.max(0, notice.noticedAt + notice.plan.finalAt - this.#now));
                    break;
                case "choose-another":
                    destinations += 1;
                    this.#excludedTargets.add(reservation.target.id);
                    reservation.release();
                    this.#reservation = undefined;
                    isFinal = false;
                    break;
                case "repeat":
                    await waitMilliseconds(RETRY_DELAY_MILLISECONDS);
                    break;
            }
        }
        return { end: "no room", run: undefined };
    }

    async #runStep(reservation: Reservation, isFinal: boolean): Promise<MoveReply> {
        const { source, requestId, notice } = this.#options;
        const startedAt = this.#now;
        const reply = await moveRun({
            source: source.address,
            destination: reservation.target.address,
            requestId,
            isFinal,
            timeoutMilliseconds: STEP_TIMEOUT_MILLISECONDS,
        });
        this.#unansweredReason = reply.kind === "unanswered" ? reply.reason : undefined;
        this.#context.log.record("trouble", "move step", {
            request: requestId,
            source: source.id,
            destination: reservation.target.id,
            isFinal,
            reply: reply.kind,
            isPlanned: reservation.target.id === notice.plan.destination,
            isInZone: reservation.target.zone === source.zone,
            load: reservation.score,
            sinceNoticeMilliseconds: Math.round(startedAt - notice.noticedAt),
            milliseconds: Math.round(this.#now - startedAt),
        });
        if ((reply.kind === "copied" || reply.kind === "no-room") && reply.handle !== undefined) {
            this.#handle = reply.handle;
        }
        return reply;
    }

    #reserveDestination(): Reservation | undefined {
        const { service, item, notice } = this.#options;
        const { directory } = this.#context.state;
        const planned = directory.findTarget(notice.plan.destination ?? "");
        if (planned !== undefined && !planned.isLeaving && !this.#excludedTargets.has(planned.id)) {
            return this.#context.scheduler.reserveGivenTarget(planned, item);
        }
        const result = this.#context.scheduler.chooseTarget({
            service,
            item: { ...item, promptTokens: 0 },
            avoid: new Set([...this.#excludedTargets, ...directory.listMissing()]),
            copyZone: this.#options.source.zone,
        });
        return result.kind === "placed" ? this.#context.scheduler.reserveGivenTarget(result.target, item) : undefined;
    }

    #buildMovedRun(reservation: Reservation): MovedRun {
        reservation.markAnswered();
        return { reservation, copy: { source: this.#options.source.address, handle: this.#handle ?? "" } };
    }

    /** The source has stopped the run and keeps its memory; it goes on there. */
    #buildReturnToSource(): MovedRun {
        const { source, item } = this.#options;
        this.#reservation?.release();
        return this.#buildMovedRun(this.#context.scheduler.reserveGivenTarget(source, item));
    }

    #releaseCopy(): void {
        if (this.#handle === undefined) {
            return;
        }
        void releaseCopy(this.#options.source.address, this.#handle, RELEASE_TIMEOUT_MILLISECONDS);
    }

    get #now(): number {
        return this.#context.clock.getMonotonic();
    }
}

function classifyReply(reply: MoveReply, isFinal: boolean): MoveStepResult {
    if (reply.kind === "no-room") {
        return isFinal && reply.handle !== undefined ? "stopped-without-room" : "no-room";
    }
    return reply.kind;
}
