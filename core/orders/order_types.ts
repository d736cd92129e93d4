/**
 * Orders, leases and the weight store's budget as plain data.
 *
 * @module
 */
import * as v from "valibot";

/** An order to a target to load a model. */
export interface ModelOrder {
    kind: "load";
    /** Model to load. */
    model: string;
    /** Fencing number; a target that checks it refuses an order with a lower one than it has seen. */
    fence: number;
}

/** How a target answered an order. */
export const OrderReply = {
    /** The target will follow the order. */
    accepted: "accepted",
    /** The target has seen a higher fencing number. */
    stale: "stale",
    /** No answer came, or the target failed. */
    failed: "failed",
} as const;

/** One of the values of {@linkcode OrderReply}. */
export type OrderReply = (typeof OrderReply)[keyof typeof OrderReply];

/** Schema of the lease on orders to one target. */
export const OrderLeaseSchema = v.object({
    holder: v.string(),
    nonce: v.string(),
    fence: v.pipe(v.number(), v.integer(), v.minValue(1)),
});

/** The lease on orders to one target. */
export type OrderLease = v.InferOutput<typeof OrderLeaseSchema>;

/** Schema of the loads that draw on the weight store. */
export const WeightBudgetSchema = v.object({
    loads: v.array(v.object({ target: v.string(), until: v.number() })),
});

/** The loads that draw on the weight store. */
export type WeightBudgetState = v.InferOutput<typeof WeightBudgetSchema>;

/** Times that decisions on orders depend on, in milliseconds. */
export interface OrderTimes {
    /** Reading of the monotonic clock. */
    now: number;
    /** Milliseconds since the epoch. */
    wallTime: number;
}
