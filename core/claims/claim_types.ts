/**
 * Entries and answers of the claim log.
 *
 * @module
 */
import * as v from "valibot";

/** Schema of the first answer to a claimed request, kept for those who repeat the key. */
export const ClaimOutcomeSchema = v.object({
    status: v.number(),
    headers: v.record(v.string(), v.string()),
    /** Base64 of the body; `undefined` where it was too large to keep. */
    body: v.optional(v.string()),
});

/** The first answer to a claimed request. */
export type ClaimOutcome = v.InferOutput<typeof ClaimOutcomeSchema>;

/** Schema of an entry of the log. */
export const ClaimEntrySchema = v.variant("kind", [
    v.object({
        kind: v.literal("claim"),
        key: v.string(),
        holder: v.string(),
        fingerprint: v.string(),
        at: v.number(),
    }),
    v.object({ kind: v.literal("outcome"), key: v.string(), holder: v.string(), outcome: ClaimOutcomeSchema }),
    v.object({ kind: v.literal("void"), key: v.string(), holder: v.string() }),
]);

/** An entry of the log. */
export type ClaimEntry = v.InferOutput<typeof ClaimEntrySchema>;

/** Schema of a segment: one object of the platform that holds many entries. */
export const ClaimSegmentSchema = v.object({
    nonce: v.string(),
    author: v.string(),
    at: v.number(),
    entries: v.array(ClaimEntrySchema),
});

/** A segment of the log. */
export type ClaimSegment = v.InferOutput<typeof ClaimSegmentSchema>;

/** A request for a claim. */
export interface ClaimRequest {
    /** Idempotency key, with the name of its client account before it. */
    key: string;
    /** Unique name of the attempt that asks. */
    holder: string;
    /** Hash of the request, so that a key used for another request is found out. */
    fingerprint: string;
}

/** The answer to a {@linkcode ClaimRequest}. */
export type ClaimResult =
    /** The attempt holds the key and may dispatch. */
    | { kind: "claimed"; }
    /** The request ran before; this is its answer. */
    | { kind: "answered"; outcome: ClaimOutcome; }
    /** Another attempt holds the key; it may run, or may have run. */
    | { kind: "held"; since: number; }
    /** The key was used for another request. */
    | { kind: "mismatch"; }
    /** The claim could not be made durable; the attempt may not dispatch. */
    | { kind: "unavailable"; };
