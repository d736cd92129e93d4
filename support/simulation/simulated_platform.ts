/**
 * A simulated platform in virtual time, with faults.
 *
 * @module
 */
import type { PlatformReply, PlatformRequest } from "../../core/platform/mod.ts";
import { PlatformStore } from "../stand_ins/platform_store.ts";

/** When a call to the platform takes effect and when its reply arrives. */
export interface PlannedReply {
    /** Time after which the call takes effect, in milliseconds. */
    effectAfterMilliseconds: number;
    /** Time after which the caller gets the reply or times out, in milliseconds. */
    replyAfterMilliseconds: number;
    /** Executes the call and returns its reply; `undefined` if the call never reaches the platform. */
    execute: (() => PlatformReply) | undefined;
    /** True if the reply is lost and the caller times out. */
    isReplyLost: boolean;
}

const CALL_TIMEOUT_MILLISECONDS = 1000;

/** The platform's store with delayed and lost replies, stale reads and outages. */
export class SimulatedPlatform {
    readonly store = new PlatformStore();
    /** True while the platform is unavailable: no call takes effect or gets a reply. */
    isDown = false;
    /** Maximum delay of a reply, in milliseconds; a reply later than the timeout of 1000 ms is lost. */
    maxDelay = 8;
    /** Probability that a change takes effect but its reply is lost, from 0 to 1. */
    lostShare = 0;
    /** True while reads return the version before the newest one. */
    isStale = false;
    /** Nodes that cannot reach the platform. */
    readonly disconnectedNodes = new Set<string>();
    readonly #random: () => number;

    /** @param random Source of random numbers from 0 up to 1. */
    constructor(random: () => number) {
        this.#random = random;
    }

    /** Plans when a call from `node` takes effect and when its reply arrives. */
    planReply(node: string, request: PlatformRequest): PlannedReply {
        if (this.isDown || this.disconnectedNodes.has(node)) {
            return {
                effectAfterMilliseconds: 0,
                replyAfterMilliseconds: CALL_TIMEOUT_MILLISECONDS,
                execute: undefined,
                isReplyLost: true,
            };
        }
        const delay = 1 + this.#random() * this.maxDelay;
        const isChange = request.kind === "create" || request.kind === "replace" || request.kind === "remove";
        const isLost = (isChange && this.#random() < this.lostShare) || delay > CALL_TIMEOUT_MILLISECONDS;
        return {
            effectAfterMilliseconds: delay / 2,
            replyAfterMilliseconds: isLost ? CALL_TIMEOUT_MILLISECONDS : delay,
            execute: () => this.store.handleCall(request, { isStale: this.isStale }),
            isReplyLost: isLost,
        };
    }
}
