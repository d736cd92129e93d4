/**
 * Limits how many model loads run at one time in the whole fleet, which loads from one weight store.
 *
 * The slots are a counting semaphore in one stored object that instances replace conditionally. A slot expires, so that
 * one whose holder has failed becomes free.
 *
 * @module
 */
import { parseBySchema, type PlatformReply, type PlatformRequest } from "../platform/mod.ts";
import { ModelLoadsSchema, type ModelLoadsState, type OrderTimes } from "./order_types.ts";

/** Key of the stored object that lists the slots in use. */
export const MODEL_LOADS_KEY = "orders/weight-store";

/** Options of a {@linkcode ModelLoadSlot}. */
export interface ModelLoadSlotOptions {
    /** Maximum number of model loads that may run at one time in the fleet. */
    maxLoads: number;
    /** Time after which a slot that was not released expires, in milliseconds. Defaults to 10 minutes. */
    slotMilliseconds?: number;
}

/** Result of one step of acquiring or releasing a slot. */
export type SlotStep =
    /** The caller must send this request to the platform's store. */
    | { kind: "call"; request: PlatformRequest; }
    /** The target holds a slot. */
    | { kind: "acquired"; }
    /** The target holds no slot any more. */
    | { kind: "released"; }
    /** All slots are in use, another instance changed the object first, or the platform did not reply: retry later. */
    | { kind: "retry"; };

const DEFAULT_SLOT_MILLISECONDS = 600_000;

/** Acquires and releases one slot for one target. */
export class ModelLoadSlot {
    readonly #target: string;
    readonly #options: ModelLoadSlotOptions;
    #isReleasing = false;
    #isWriting = false;

    /** @param target Name of the target that loads models. */
    constructor(target: string, options: ModelLoadSlotOptions) {
        this.#target = target;
        this.#options = options;
    }

    /** Starts to acquire the slot. */
    startAcquiring(): SlotStep {
        this.#isReleasing = false;
        return this.#readLoads();
    }

    /** Starts to release the slot. */
    startReleasing(): SlotStep {
        this.#isReleasing = true;
        return this.#readLoads();
    }

    /** Handles the platform's reply to the last call. */
    handleReply(reply: PlatformReply, times: OrderTimes): SlotStep {
        if (this.#isWriting) {
            this.#isWriting = false;
            const end: SlotStep = { kind: this.#isReleasing ? "released" : "acquired" };
            return reply.kind === "done" ? end : { kind: "retry" };
        }
        if (reply.kind === "missing") {
            return this.#isReleasing ? { kind: "released" } : this.#writeLoads([], { times, version: 0 });
        }
        if (reply.kind !== "object") {
            return { kind: "retry" };
        }
        const state = parseBySchema(ModelLoadsSchema, reply.object.value) ?? { loads: [] };
        return this.#writeLoads(state.loads, { times, version: reply.object.version });
    }

    #readLoads(): SlotStep {
        this.#isWriting = false;
        return { kind: "call", request: { kind: "read", key: MODEL_LOADS_KEY } };
    }

    #writeLoads(loads: ModelLoadsState["loads"], context: { times: OrderTimes; version: number; }): SlotStep {
        const { times, version } = context;
        const others = loads.filter(load => load.until > times.wallTime && load.target !== this.#target);
        if (!this.#isReleasing && others.length >= this.#options.maxLoads) {
            return { kind: "retry" };
        }
        const until = times.wallTime + (this.#options.slotMilliseconds ?? DEFAULT_SLOT_MILLISECONDS);
        const own = this.#isReleasing ? [] : [{ target: this.#target, until }];
        const value = JSON.stringify({ loads: [...others, ...own] });
        this.#isWriting = true;
        const request: PlatformRequest = version === 0
            ? { kind: "create", key: MODEL_LOADS_KEY, value }
            : { kind: "replace", key: MODEL_LOADS_KEY, value, version };
        return { kind: "call", request };
    }
}
