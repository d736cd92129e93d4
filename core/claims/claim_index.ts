/**
 * In-memory index of the claims of one shard, built from the entries of its log.
 *
 * @module
 */
import type { ClaimEntry, ClaimOutcome, ClaimRequest, ClaimResult } from "./claim_types.ts";

interface ClaimState {
    holder: string;
    fingerprint: string;
    at: number;
    outcome: ClaimOutcome | undefined;
}

/** Maps each key to the attempt that holds it and to the outcome of its request. */
export class ClaimIndex {
    readonly #claims = new Map<string, ClaimState>();

    get size(): number {
        return this.#claims.size;
    }

    /** Applies an entry of the log; entries must be applied in log order. */
    applyEntry(entry: ClaimEntry): void {
        const state = this.#claims.get(entry.key);
        if (entry.kind === "claim") {
            const { holder, fingerprint, at } = entry;
            if (state === undefined) {
                this.#claims.set(entry.key, { holder, fingerprint, at, outcome: undefined });
            }
            return;
        }
        if (state === undefined || state.holder !== entry.holder) {
            return;
        }
        if (entry.kind === "outcome") {
            state.outcome = entry.outcome;
        }
        else if (state.outcome === undefined) {
            this.#claims.delete(entry.key);
        }
    }

    /** Finds the result of `request` in the index. @returns The result, or `undefined` if the key is not claimed. */
    findResult(request: ClaimRequest): ClaimResult | undefined {
        const state = this.#claims.get(request.key);
        if (state === undefined) {
            return undefined;
        }
        if (state.fingerprint !== request.fingerprint) {
            return { kind: "mismatch" };
        }
        if (state.outcome !== undefined) {
            return { kind: "answered", outcome: state.outcome };
        }
        return state.holder === request.holder ? { kind: "claimed" } : { kind: "held", since: state.at };
    }

    /** Removes claims made before `cutoff`, in milliseconds since the epoch. */
    removeExpired(cutoff: number): void {
        for (const [key, state] of this.#claims) {
            if (state.at >= cutoff) {
                return;
            }
            this.#claims.delete(key);
        }
    }
}
