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
import type { HeldPlace } from "./place_finder.ts";

/** Where a moved run goes on. */
export interface MovedRun {
    /** Place at the engine. */
    place: HeldPlace;
    /** Its memory. */
    copy: MemoryCopy;
    /** Takes a place at the engine that the run came from; absent where it goes on there. */
    takeBack?: () => MovedRun;
}

/** Why and when a run moves. */
export interface MoveNotice {
    /** Time at which the engine's leaving was noticed, on the monotonic clock in milliseconds. */
    noticedAt: number;
    /** Steps of the move. */
    plan: PlannedMove;
}

/** A run to move. */
export interface RunMoveOptions {
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
const STEP_TIMEOUT = 2500;
/** Pause before a step is tried again, in milliseconds. */
const REPEAT_PAUSE = 80;
/** Time allowed for freeing a copy, in milliseconds. */
const RELEASE_TIMEOUT = 1000;
/** Most destinations that are asked. */
const MAX_DESTINATIONS = 4;
/** Time after the notice at which no step is begun any more, in milliseconds: engines stay a few seconds at most. */
const MAX_MOVE_TIME = 6000;

/** Moves one run. */
export class RunMove {
    readonly #context: ServingContext;
    readonly #options: RunMoveOptions;
    readonly #refused = new Set<string>();
    readonly #end: Promise<MovedRun | undefined>;
    #resolveEnd: (run: MovedRun | undefined) => void = () => undefined;
    #isCancelled = false;
    #isStopping = false;
    #place: HeldPlace | undefined;
    #handle: string | undefined;
    /** Why the last step was not answered. */
    #reason: string | undefined;

    constructor(context: ServingContext, options: RunMoveOptions) {
        this.#context = context;
        this.#options = options;
        this.#refused.add(options.source.id);
        this.#end = new Promise(resolve => {
            this.#resolveEnd = resolve;
        });
    }

    /** Waits for the end of a move that may have stopped the run; gives nothing where the run was left alone. */
    waitForEnd(): Promise<MovedRun | undefined> {
        if (!this.#isStopping) {
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
        const { end, run } = await this.#makeSteps();
        if (run === undefined) {
            this.#place?.release();
            this.#releaseCopy();
        }
        this.#resolveEnd(run);
        this.#context.metrics.countMove(end);
        this.#context.log.record("trouble", "move ended", {
            request: this.#options.requestId,
            source: this.#options.source.id,
            destination: run?.place.target.id ?? this.#place?.target.id,
            end,
            reason: this.#reason,
            plan: notice.plan,
            sinceNoticeMilliseconds: Math.round(this.#now - notice.noticedAt),
            events: this.#options.countEvents(),
        });
    }

    async #makeSteps(): Promise<{ end: string; run: MovedRun | undefined; }> {
        const { notice } = this.#options;
        let isFinal = false;
        for (let destinations = 0; destinations < MAX_DESTINATIONS;) {
            if (this.#isCancelled && !this.#isStopping) {
                return { end: "not needed", run: undefined };
            }
            if (this.#now >= this.#options.notice.noticedAt + MAX_MOVE_TIME) {
                return { end: "too late", run: undefined };
            }
            const place = this.#place ?? this.#takePlace();
            if (place === undefined) {
                return { end: "no destination", run: undefined };
            }
            this.#place = place;
            this.#isStopping ||= isFinal;
            const reply = await this.#step(place, isFinal);
            const action = decideMoveAction(classifyReply(reply, isFinal), { isFinal });
            switch (action) {
                case "go-on":
                    return { end: "moved", run: { ...this.#buildRun(place), takeBack: () => this.#buildReturn() } };
                case "go-back":
                    return { end: "went back", run: this.#buildReturn() };
                case "stay":
                    return { end: `left: ${reply.kind}`, run: undefined };
                case "copy-last":
                    isFinal = true;
                    await waitMilliseconds(Math.max(0, notice.noticedAt + notice.plan.finalAt - this.#now));
                    break;
                case "choose-another":
                    destinations += 1;
                    this.#refused.add(place.target.id);
                    place.release();
                    this.#place = undefined;
                    isFinal = false;
                    break;
                case "repeat":
                    await waitMilliseconds(REPEAT_PAUSE);
                    break;
            }
        }
        return { end: "no room", run: undefined };
    }

    async #step(place: HeldPlace, isFinal: boolean): Promise<MoveReply> {
        const { source, requestId, notice } = this.#options;
        const startedAt = this.#now;
        const reply = await moveRun({
            source: source.address,
            destination: place.target.address,
            requestId,
            isFinal,
            timeoutMilliseconds: STEP_TIMEOUT,
        });
        this.#reason = reply.kind === "unanswered" ? reply.reason : undefined;
        this.#context.log.record("trouble", "move step", {
            request: requestId,
            source: source.id,
            destination: place.target.id,
            isFinal,
            reply: reply.kind,
            isPlanned: place.target.id === notice.plan.destination,
            isInZone: place.target.zone === source.zone,
            load: place.score,
            sinceNoticeMilliseconds: Math.round(startedAt - notice.noticedAt),
            milliseconds: Math.round(this.#now - startedAt),
        });
        if ((reply.kind === "copied" || reply.kind === "no-room") && reply.handle !== undefined) {
            this.#handle = reply.handle;
        }
        return reply;
    }

    #takePlace(): HeldPlace | undefined {
        const { service, item, notice } = this.#options;
        const { directory } = this.#context.state;
        const planned = directory.findTarget(notice.plan.destination ?? "");
        if (planned !== undefined && !planned.isLeaving && !this.#refused.has(planned.id)) {
            return this.#context.finder.takePlace(planned, item);
        }
        const result = this.#context.finder.chooseTarget({
            service,
            item: { ...item, promptTokens: 0 },
            avoid: new Set([...this.#refused, ...directory.listMissing()]),
            copyZone: this.#options.source.zone,
        });
        return result.kind === "placed" ? this.#context.finder.takePlace(result.target, item) : undefined;
    }

    #buildRun(place: HeldPlace): MovedRun {
        place.markAnswered();
        return { place, copy: { source: this.#options.source.address, handle: this.#handle ?? "" } };
    }

    /** The source has stopped the run and keeps its memory; it goes on there. */
    #buildReturn(): MovedRun {
        const { source, item } = this.#options;
        this.#place?.release();
        return this.#buildRun(this.#context.finder.takePlace(source, item));
    }

    #releaseCopy(): void {
        if (this.#handle === undefined) {
            return;
        }
        void releaseCopy(this.#options.source.address, this.#handle, RELEASE_TIMEOUT);
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
