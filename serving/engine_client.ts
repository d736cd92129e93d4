/**
 * Calls the control endpoints of engines on behalf of a serving process: sends nothing to an engine that wants no
 * requests, and records what an engine states about itself in its responses.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import { type ServingTarget, TargetPresence } from "../core/serving/mod.ts";
import {
    type EngineReport,
    fetchReport,
    type MoveStep,
    type MoveStepResponse,
    pollEngine,
    type PollResult,
    releaseCopy,
    sendMoveStep,
} from "../platform/mod.ts";
import { runUntilFinal } from "./run_until_final.ts";
import type { ServingState } from "./serving_state.ts";

/** Options of an {@linkcode EngineClient}. */
export interface EngineClientOptions {
    /** State in which the engines' notices are recorded. */
    state: ServingState;
    /** Source of time. */
    clock: Clock;
}

/** Time within which the call is repeated that finds out whether an engine has ended, in milliseconds. */
const REPEAT_POLL_MILLISECONDS = 100;

const PRESENCE_BY_POLL: Record<PollResult, TargetPresence> = {
    answered: TargetPresence.running,
    replaced: TargetPresence.replaced,
    gone: TargetPresence.gone,
    reset: TargetPresence.running,
    unanswered: TargetPresence.unknown,
};

/** How long the presence of a target is checked. */
export interface PresenceCheck {
    /** Timeout of one call, in milliseconds. */
    callMilliseconds: number;
    /** Time within which the call is repeated if the target does not respond, in milliseconds. */
    withinMilliseconds: number;
}

/** Calls the control endpoints of engines. */
export class EngineClient {
    readonly #options: EngineClientOptions;

    constructor(options: EngineClientOptions) {
        this.#options = options;
    }

    /** Fetches the report of an engine; resolves to `undefined` if there is no usable response. */
    async fetchReport(engine: ServingTarget, timeoutMilliseconds: number): Promise<EngineReport | undefined> {
        return this.isPaused(engine)
            ? undefined
            : fetchReport(engine.address, { timeoutMilliseconds, onNotice: this.#buildNoticeHandler(engine) });
    }

    /**
     * Finds out whether an engine still runs. One that does not respond is called again for `withinMilliseconds`, and in any
     * case for a moment: an engine that ends may close its connections before its port.
     */
    async findPresence(engine: ServingTarget, check: PresenceCheck): Promise<TargetPresence> {
        const poll = (): Promise<PollResult> =>
            this.isPaused(engine) ? Promise.resolve("unanswered") : pollEngine(engine.address, {
                startedAt: engine.startedAt,
                timeoutMilliseconds: check.callMilliseconds,
                onNotice: this.#buildNoticeHandler(engine),
            });
        const repeatMilliseconds: Partial<Record<PollResult, number>> = {
            reset: REPEAT_POLL_MILLISECONDS,
            unanswered: Math.max(REPEAT_POLL_MILLISECONDS, check.withinMilliseconds),
        };
        const result = await runUntilFinal(poll, {
            clock: this.#options.clock,
            getRepeatMilliseconds: latest => repeatMilliseconds[latest] ?? 0,
        });
        return PRESENCE_BY_POLL[result];
    }

    /** Requests one step of a move from the engine that runs the generation. */
    async sendMoveStep(engine: ServingTarget, step: Omit<MoveStep, "source" | "onNotice">): Promise<MoveStepResponse> {
        return this.isPaused(engine)
            ? { kind: "unanswered", reason: "the engine wants no requests" }
            : sendMoveStep({ ...step, source: engine.address, onNotice: this.#buildNoticeHandler(engine) });
    }

    /** Releases a KV cache copy at both engines; resolves to true if the source engine confirmed it. */
    async releaseCopy(
        engine: ServingTarget,
        copy: { handle: string; timeoutMilliseconds: number; },
    ): Promise<boolean> {
        return !this.isPaused(engine)
            && releaseCopy({ ...copy, source: engine.address, onNotice: this.#buildNoticeHandler(engine) });
    }

    /** Checks whether an engine has asked this instance for a pause, in which it gets no calls. */
    isPaused({ id }: ServingTarget): boolean {
        const { state, clock } = this.#options;
        return state.backpressure.findPauseEnd(id, clock.getMonotonic()) !== undefined;
    }

    #buildNoticeHandler(engine: ServingTarget): NonNullable<MoveStep["onNotice"]> {
        return notice => this.#options.state.applyTargetNotice(engine, notice);
    }
}
