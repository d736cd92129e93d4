/**
 * Moves one running generation to another engine.
 *
 * The first copy transfers the KV cache while the generation continues. The short final copy stops the generation and
 * transfers the remainder, so that the generation is paused only briefly before it resumes at the destination.
 *
 * @module
 */
import {
    decideMoveAction,
    getSoftwareVersion,
    type MoveStepResult,
    type PlannedMove,
    type RequestLoad,
    type ServiceDefinition,
    type ServingTarget,
} from "../core/serving/mod.ts";
import { waitMilliseconds } from "../network/mod.ts";
import { type KvCacheCopy, type MoveStepResponse } from "../platform/mod.ts";
import type { ServingContext } from "./caller_exchange.ts";
import type { Reservation } from "./request_scheduler.ts";

/** Reservation and copy of the KV cache with which a moved generation resumes. */
export interface MovedGeneration {
    /** Reservation at the engine that resumes the generation. */
    reservation: Reservation;
    /** Copy of the generation's KV cache. */
    copy: KvCacheCopy;
    /**
     * Returns the generation to its source if the destination refuses it; absent if it resumes at the source already.
     */
    returnToSource?: () => MovedGeneration;
}

/** Notice that an engine is leaving, with the planned move of one of its generations. */
export interface MoveNotice {
    /** Time of the notice, on the monotonic clock in milliseconds. */
    noticedAt: number;
    /** Destination and times of the move. */
    plan: PlannedMove;
}

/** Options of a {@linkcode MoveOperation}. */
export interface MoveOperationOptions {
    /** Identifier of the request. */
    requestId: string;
    /** Leaving engine that the generation is moved from. */
    source: ServingTarget;
    /** Service of the engine. */
    service: ServiceDefinition;
    /** Load that the request adds to its target, with the current estimate of its output. */
    requestLoad: RequestLoad;
    /** Notice that the engine is leaving, with the planned move. */
    notice: MoveNotice;
    /** Counts the events sent to the caller. */
    countEvents: () => number;
}

/** Timeout of one step, in milliseconds; long enough for a copy that queues behind several others. */
const STEP_TIMEOUT_MILLISECONDS = 2500;
/** Delay before a step is retried, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 80;
/** Timeout for releasing a copy at the source, in milliseconds. */
const RELEASE_TIMEOUT_MILLISECONDS = 1000;
/** Maximum number of destinations that are tried. */
const MAX_DESTINATIONS = 4;
/** Time after the notice from which no further step starts, in milliseconds: engines stay a few seconds at most. */
const MAX_MOVE_MILLISECONDS = 6000;

/** Moves one generation from a leaving engine to another engine. */
export class MoveOperation {
    readonly #context: ServingContext;
    readonly #options: MoveOperationOptions;
    readonly #excludedTargets = new Set<string>();
    readonly #end: Promise<MovedGeneration | undefined>;
    #resolveEnd: (moved: MovedGeneration | undefined) => void = () => undefined;
    #isCancelled = false;
    #isGenerationStopping = false;
    #reservation: Reservation | undefined;
    #handle: string | undefined;
    #finalCopyLostAt: number | undefined;
    /** Reason why the last step received no usable response; `undefined` if it received one. */
    #unansweredReason: string | undefined;

    constructor(context: ServingContext, options: MoveOperationOptions) {
        this.#context = context;
        this.#options = options;
        this.#excludedTargets.add(options.source.id);
        this.#end = new Promise(resolve => {
            this.#resolveEnd = resolve;
        });
    }

    /**
     * Time at which the result of a final copy was lost, on the monotonic clock in milliseconds; `undefined` if none was.
     * The copy may have stopped the generation.
     */
    get finalCopyLostAt(): number | undefined {
        return this.#finalCopyLostAt;
    }

    /**
     * Waits for the end of the move if it may have stopped the generation at the source; cancels it otherwise.
     *
     * @returns The moved generation; `undefined` if the generation does not resume elsewhere.
     */
    finishOrCancel(): Promise<MovedGeneration | undefined> {
        if (!this.#isGenerationStopping) {
            this.cancel();
            return Promise.resolve(undefined);
        }
        return this.#end;
    }

    /** Waits until the move has ended, without cancelling it. */
    async waitForEnd(): Promise<void> {
        await this.#end;
    }

    /** Cancels the move, unless its final copy has started, which may have stopped the generation. */
    cancel(): void {
        this.#isCancelled = true;
    }

    /** Runs the steps of the move, and logs its result. */
    async run(): Promise<void> {
        const { notice } = this.#options;
        await waitMilliseconds(Math.max(0, notice.noticedAt + notice.plan.startAt - this.#now));
        const { end, moved } = await this.#runSteps();
        if (moved === undefined) {
            this.#reservation?.release();
            this.#releaseCopy();
        }
        this.#resolveEnd(moved);
        this.#context.metrics.countMove(end);
        this.#context.log.record("trouble", "move ended", {
            request: this.#options.requestId,
            source: this.#options.source.id,
            destination: moved?.reservation.target.id ?? this.#reservation?.target.id,
            end,
            reason: this.#unansweredReason,
            plan: notice.plan,
            sinceNoticeMilliseconds: Math.round(this.#now - notice.noticedAt),
            events: this.#options.countEvents(),
        });
    }

    async #runSteps(): Promise<{ end: string; moved: MovedGeneration | undefined; }> {
        const { notice } = this.#options;
        let isFinal = false;
        for (let destinations = 0; destinations < MAX_DESTINATIONS;) {
            if (this.#isCancelled && !this.#isGenerationStopping) {
                return { end: "not needed", moved: undefined };
            }
            if (this.#now >= this.#options.notice.noticedAt + MAX_MOVE_MILLISECONDS) {
                return { end: "too late", moved: undefined };
            }
            const reservation = this.#reservation ?? this.#reserveDestination();
            if (reservation === undefined) {
                return { end: "no destination", moved: undefined };
            }
            this.#reservation = reservation;
            this.#isGenerationStopping ||= isFinal;
            const response = await this.#runStep(reservation, isFinal);
            const action = decideMoveAction(classifyResponse(response, isFinal), { isFinal });
            // The cases are the values of `MoveAction`.
            switch (action) {
                case "go-on":
                    return {
                        end: "moved",
                        moved: {
                            ...this.#buildMovedGeneration(reservation),
                            returnToSource: () => this.#buildReturnToSource(),
                        },
                    };
                case "go-back":
                    return { end: "went back", moved: this.#buildReturnToSource() };
                case "stay":
                    return { end: `left: ${response.kind}`, moved: undefined };
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
        return { end: "no room", moved: undefined };
    }

    async #runStep(reservation: Reservation, isFinal: boolean): Promise<MoveStepResponse> {
        const { source, requestId, notice } = this.#options;
        const startedAt = this.#now;
        const response = await this.#context.engines.sendMoveStep(source, {
            destination: reservation.target.address,
            requestId,
            isFinal,
            timeoutMilliseconds: STEP_TIMEOUT_MILLISECONDS,
        });
        this.#unansweredReason = response.kind === "unanswered" ? response.reason : undefined;
        if (isFinal && response.kind === "unanswered") {
            this.#finalCopyLostAt = this.#now;
        }
        this.#context.log.record("trouble", "move step", {
            request: requestId,
            source: source.id,
            destination: reservation.target.id,
            isFinal,
            reply: response.kind,
            isPlanned: reservation.target.id === notice.plan.destination,
            isInZone: reservation.target.zone === source.zone,
            load: reservation.score,
            sinceNoticeMilliseconds: Math.round(startedAt - notice.noticedAt),
            milliseconds: Math.round(this.#now - startedAt),
        });
        if ((response.kind === "copied" || response.kind === "no-room") && response.handle !== undefined) {
            this.#handle = response.handle;
        }
        return response;
    }

    #reserveDestination(): Reservation | undefined {
        const { service, requestLoad, notice, source } = this.#options;
        const { directory } = this.#context.state;
        const softwareVersion = getSoftwareVersion(source);
        const planned = directory.findTarget(notice.plan.destination ?? "");
        const isUsable = planned !== undefined && !planned.isLeaving
            && getSoftwareVersion(planned) === softwareVersion
            && this.#context.state.isMoveDestination(planned.id);
        if (isUsable && !this.#excludedTargets.has(planned.id)) {
            return this.#context.scheduler.reserveGivenTarget(planned, requestLoad);
        }
        const result = this.#context.scheduler.chooseTarget({
            service,
            requestLoad: { ...requestLoad, promptTokens: 0 },
            avoid: new Set([...this.#excludedTargets, ...directory.listMissing()]),
            copyZone: source.zone,
            gapMilliseconds: this.#context.state.table?.findStrictestGap(service.name),
            softwareVersion,
        });
        return result.kind === "placed"
            ? this.#context.scheduler.reserveGivenTarget(result.target, requestLoad)
            : undefined;
    }

    #buildMovedGeneration(reservation: Reservation): MovedGeneration {
        reservation.markResponseStarted();
        return { reservation, copy: { source: this.#options.source.address, handle: this.#handle ?? "" } };
    }

    /** Builds the return of the generation to its source, which has stopped it and still holds its KV cache. */
    #buildReturnToSource(): MovedGeneration {
        const { source, requestLoad } = this.#options;
        this.#reservation?.release();
        return this.#buildMovedGeneration(this.#context.scheduler.reserveGivenTarget(source, requestLoad));
    }

    #releaseCopy(): void {
        if (this.#handle === undefined) {
            return;
        }
        void this.#context.engines.releaseCopy(this.#options.source, {
            handle: this.#handle,
            timeoutMilliseconds: RELEASE_TIMEOUT_MILLISECONDS,
        });
    }

    get #now(): number {
        return this.#context.clock.getMonotonic();
    }
}

function classifyResponse(response: MoveStepResponse, isFinal: boolean): MoveStepResult {
    if (response.kind === "no-room") {
        return isFinal && response.handle !== undefined ? "stopped-without-room" : "no-room";
    }
    return response.kind;
}
