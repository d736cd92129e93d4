/**
 * The platform in virtual time.
 *
 * @module
 */
import type { PlatformReply, PlatformRequest } from "../../core/platform/mod.ts";
import { PlatformStore } from "../stand_ins/platform_store.ts";

/** How one call is answered. */
export interface PlatformAnswer {
    /** Time after which the call takes effect, in milliseconds. */
    effectAfter: number;
    /** Time after which the answer comes, in milliseconds. */
    answerAfter: number;
    /** Gives the answer at the time of the effect; `undefined` where the call has none. */
    compute: (() => PlatformReply) | undefined;
    /** True where the answer is lost. */
    isLost: boolean;
}

const CALL_TIMEOUT = 1000;

/** Answers calls with faults. */
export class PlatformFake {
    readonly store = new PlatformStore();
    /** True while no call is answered or takes effect. */
    isDown = false;
    /** Greatest delay of an answer, in milliseconds. */
    maxDelay = 8;
    /** Share of changes that take effect but whose answers are lost. */
    lostShare = 0;
    /** True while the version before the newest one is served. */
    isStale = false;
    /** Nodes that can't reach the platform. */
    readonly unreachable = new Set<string>();
    readonly #random: () => number;

    /** @param random Source of random numbers from 0 up to 1. */
    constructor(random: () => number) {
        this.#random = random;
    }

    /** Decides how a call from `node` is answered. */
    decideAnswer(node: string, request: PlatformRequest): PlatformAnswer {
        if (this.isDown || this.unreachable.has(node)) {
            return { effectAfter: 0, answerAfter: CALL_TIMEOUT, compute: undefined, isLost: true };
        }
        const delay = 1 + this.#random() * this.maxDelay;
        const isChange = request.kind === "create" || request.kind === "replace" || request.kind === "remove";
        const isLost = (isChange && this.#random() < this.lostShare) || delay > CALL_TIMEOUT;
        return {
            effectAfter: delay / 2,
            answerAfter: isLost ? CALL_TIMEOUT : delay,
            compute: () => this.store.handleCall(request, { isStale: this.isStale }),
            isLost,
        };
    }
}
