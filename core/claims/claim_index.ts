/**
 * The claims of one shard, as its log tells them.
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

/** Knows who holds each key and how its request ended. */
export class ClaimIndex {
    readonly #claims = new Map<string, ClaimState>();

    get size(): number {
        return this.#claims.size;
    }

    /** Applies an entry of the log; entries come in the log's order. */
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

    /** Answers `request` from the index, or gives `undefined` where the key is free. */
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

    /** Forgets claims made before `horizon`, in milliseconds since the epoch. */
    removeOlder(horizon: number): void {
        for (const [key, state] of this.#claims) {
            if (state.at >= horizon) {
                return;
            }
            this.#claims.delete(key);
        }
    }
}
