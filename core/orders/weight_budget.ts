/**
 * Slots for loads from the weight store, shared by the whole fleet through one object.
 *
 * @module
 */
import { parseBySchema, type PlatformReply, type PlatformRequest } from "../platform/mod.ts";
import { type OrderTimes, WeightBudgetSchema, type WeightBudgetState } from "./order_types.ts";

/** Key of the object that holds the slots. */
export const WEIGHT_BUDGET_KEY = "orders/weight-store";

/** Options of a {@linkcode WeightSlot}. */
export interface WeightSlotOptions {
    /** Loads that may run at one time in the whole fleet. */
    maxLoads: number;
    /** Time after which a slot that was not given back is free again, in milliseconds. Defaults to 10 minutes. */
    slotMilliseconds?: number;
}

/** What one step of taking or giving back a slot led to. */
export type SlotStep =
    | { kind: "call"; request: PlatformRequest; }
    | { kind: "taken"; }
    | { kind: "released"; }
    /** All slots are taken, another instance came first, or the platform gives no answer: try again later. */
    | { kind: "later"; };

const DEFAULT_SLOT = 600_000;

/** Takes and gives back one slot for one target. */
export class WeightSlot {
    readonly #target: string;
    readonly #options: WeightSlotOptions;
    #isReleasing = false;
    #isWriting = false;

    /** @param target Target that loads. */
    constructor(target: string, options: WeightSlotOptions) {
        this.#target = target;
        this.#options = options;
    }

    /** Begins to take the slot. */
    startTaking(): SlotStep {
        this.#isReleasing = false;
        return this.#read();
    }

    /** Begins to give the slot back. */
    startReleasing(): SlotStep {
        this.#isReleasing = true;
        return this.#read();
    }

    /** Takes the answer to the last call. */
    handleReply(reply: PlatformReply, times: OrderTimes): SlotStep {
        if (this.#isWriting) {
            this.#isWriting = false;
            const end: SlotStep = { kind: this.#isReleasing ? "released" : "taken" };
            return reply.kind === "done" ? end : { kind: "later" };
        }
        if (reply.kind === "missing") {
            return this.#isReleasing ? { kind: "released" } : this.#write([], { times, version: 0 });
        }
        if (reply.kind !== "object") {
            return { kind: "later" };
        }
        const state = parseBySchema(WeightBudgetSchema, reply.object.value) ?? { loads: [] };
        return this.#write(state.loads, { times, version: reply.object.version });
    }

    #read(): SlotStep {
        this.#isWriting = false;
        return { kind: "call", request: { kind: "read", key: WEIGHT_BUDGET_KEY } };
    }

    #write(loads: WeightBudgetState["loads"], context: { times: OrderTimes; version: number; }): SlotStep {
        const { times, version } = context;
        const others = loads.filter(load => load.until > times.wallTime && load.target !== this.#target);
        if (!this.#isReleasing && others.length >= this.#options.maxLoads) {
            return { kind: "later" };
        }
        const until = times.wallTime + (this.#options.slotMilliseconds ?? DEFAULT_SLOT);
        const own = this.#isReleasing ? [] : [{ target: this.#target, until }];
        const value = JSON.stringify({ loads: [...others, ...own] });
        this.#isWriting = true;
        const request: PlatformRequest = version === 0
            ? { kind: "create", key: WEIGHT_BUDGET_KEY, value }
            : { kind: "replace", key: WEIGHT_BUDGET_KEY, value, version };
        return { kind: "call", request };
    }
}
