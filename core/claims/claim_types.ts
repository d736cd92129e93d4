/**
 * Entries of the claim log, claim requests and their results.
 *
 * @module
 */
import * as v from "valibot";

/** Schema of the response to a claimed request, stored so that repeated requests with the same key receive it too. */
export const ClaimOutcomeSchema = v.object({
    status: v.number(),
    headers: v.record(v.string(), v.string()),
    /** Body in Base64; `undefined` if it was too large to store. */
    body: v.optional(v.string()),
    /** False if the body had neither a length nor chunks; absent otherwise. */
    isFramed: v.optional(v.literal(false)),
});

/** The response to a claimed request. */
export type ClaimOutcome = v.InferOutput<typeof ClaimOutcomeSchema>;

/** Schema of a log entry: a claim of a key, the outcome of its request, or `void` if the request did not run. */
export const ClaimEntrySchema = v.variant("kind", [
    v.object({
        kind: v.literal("claim"),
        key: v.string(),
        holder: v.string(),
        fingerprint: v.string(),
        /** Time of the claim, in milliseconds since the epoch. */
        at: v.number(),
    }),
    v.object({ kind: v.literal("outcome"), key: v.string(), holder: v.string(), outcome: ClaimOutcomeSchema }),
    v.object({ kind: v.literal("void"), key: v.string(), holder: v.string() }),
]);

/** A log entry. */
export type ClaimEntry = v.InferOutput<typeof ClaimEntrySchema>;

/** Schema of a segment: one object in the platform's store that contains many entries. */
export const ClaimSegmentSchema = v.object({
    /** Unique identifier, by which the instance that appends the segment recognizes it. */
    nonce: v.string(),
    /** Name of the instance that appends the segment. */
    author: v.string(),
    /** Creation time, in milliseconds since the epoch. */
    at: v.number(),
    entries: v.array(ClaimEntrySchema),
});

/** A segment of the log. */
export type ClaimSegment = v.InferOutput<typeof ClaimSegmentSchema>;

/** A request to claim an idempotency key. */
export interface ClaimRequest {
    /** Idempotency key, prefixed with the names of the client account and the service. */
    key: string;
    /** Unique identifier of the attempt that requests the claim. */
    holder: string;
    /** Hash of the caller's request, to detect a key that is reused for a different request. */
    fingerprint: string;
}

/** The result of a {@linkcode ClaimRequest}. */
export type ClaimResult =
    /** The attempt holds the key and may dispatch the request. */
    | { kind: "claimed"; }
    /** The request has already run; `outcome` is its response. */
    | { kind: "answered"; outcome: ClaimOutcome; }
    /** Another attempt has held the key from `since` (milliseconds since the epoch), and may have run the request. */
    | { kind: "held"; since: number; }
    /** The key was used for a different request. */
    | { kind: "mismatch"; }
    /** The claim could not be made durable in time, so the attempt may not dispatch the request. */
    | { kind: "unavailable"; };
