/**
 * Orders to targets, and the stored records of order leases and of running model loads.
 *
 * @module
 */
import * as v from "valibot";

/** An order that tells a target to load a model. */
export interface ModelOrder {
    kind: "load";
    /** Model to load. */
    model: string;
    /** Fencing token of the sender's lease; a target that checks it refuses a lower one than it has seen. */
    fence: number;
}

/** Result of sending an order to a target. */
export const OrderResult = {
    /** The target has accepted the order and will load the model. */
    accepted: "accepted",
    /** The target has refused the order, because it has seen a higher fencing token. */
    stale: "stale",
    /** The target did not respond, or responded with an error. */
    failed: "failed",
} as const;

/** One of the values of {@linkcode OrderResult}. */
export type OrderResult = (typeof OrderResult)[keyof typeof OrderResult];

/** Schema of the stored lease that allows one instance to send orders to a target. */
export const OrderLeaseSchema = v.object({
    /** Name of the instance that holds the lease. */
    holder: v.string(),
    /** Unique identifier of this lease, by which its holder recognizes it. */
    nonce: v.string(),
    /** Fencing token: greater than that of every earlier lease on the target. */
    fence: v.pipe(v.number(), v.integer(), v.minValue(1)),
});

/** The lease that allows one instance to send orders to a target. */
export type OrderLease = v.InferOutput<typeof OrderLeaseSchema>;

/** Schema of the stored list of running model loads; each one takes a slot. */
export const ModelLoadsSchema = v.object({
    /** Target that loads, and the time at which its slot expires, in milliseconds since the epoch. */
    loads: v.array(v.object({ target: v.string(), until: v.number() })),
});

/** The stored list of running model loads. */
export type ModelLoadsState = v.InferOutput<typeof ModelLoadsSchema>;

/** Readings of the two clocks that decisions on orders use, in milliseconds. */
export interface OrderTimes {
    /** Reading of the monotonic clock. */
    now: number;
    /** Reading of the wall clock, since the epoch. */
    wallTime: number;
}
