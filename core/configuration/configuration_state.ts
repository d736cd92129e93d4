/**
 * Holds the configuration in force, and only ever moves to a higher generation.
 *
 * @module
 */
import { type Inventory, mergeParts } from "../inventory/mod.ts";
import type { Manifest } from "./manifest.ts";
import { PartStore } from "./part_store.ts";

/** Options of a {@linkcode ConfigurationState}. */
export interface ConfigurationStateOptions {
    /** Computes the content address of a part. */
    hashContent: (text: string) => string;
    /** Age above which a proof of newness no longer counts, in milliseconds. Defaults to 3000. */
    maxConfirmedAge?: number;
}

/** What a manifest led to. */
export type ManifestOutcome =
    | { kind: "ignored"; }
    | { kind: "adopted"; manifest: Manifest; }
    | { kind: "missing"; hashes: string[]; };

const DEFAULT_MAX_CONFIRMED_AGE = 3000;

/** Knows which generation is in force here, and how lately it was proved to be the newest. */
export class ConfigurationState {
    readonly #options: ConfigurationStateOptions;
    readonly #parts = new PartStore();
    #manifest: Manifest | undefined;
    #pending: Manifest | undefined;
    #inventory: Inventory = mergeParts([]);
    #confirmedAt = -Infinity;

    constructor(options: ConfigurationStateOptions) {
        this.#options = options;
    }

    /** Generation in force; 0 where there is none yet. */
    get generation(): number {
        return this.#manifest?.generation ?? 0;
    }

    get manifest(): Manifest | undefined {
        return this.#manifest;
    }

    get inventory(): Inventory {
        return this.#inventory;
    }

    /** Takes a manifest from anywhere; an older or equal generation changes nothing. */
    handleManifest(manifest: Manifest): ManifestOutcome {
        const newest = Math.max(this.generation, this.#pending?.generation ?? 0);
        if (manifest.generation < newest || manifest.generation === this.generation) {
            return { kind: "ignored" };
        }
        this.#pending = manifest;
        return this.#settlePending();
    }

    /** Takes parts from anywhere; a part that does not match its address is dropped. */
    handleParts(texts: Iterable<string>): ManifestOutcome {
        for (const text of texts) {
            this.#parts.addPart({ hash: this.#options.hashContent(text), text });
        }
        return this.#settlePending();
    }

    /**
     * Records that `generation` was the newest `age` milliseconds ago.
     *
     * A proof for an older generation counts too: nothing newer than the one in force existed then.
     */
    recordConfirmation(generation: number, proof: { age: number; now: number; }): void {
        if (generation <= this.generation && this.#manifest !== undefined) {
            this.#confirmedAt = Math.max(this.#confirmedAt, proof.now - proof.age);
        }
    }

    /** Age of the last proof that the generation in force is the newest, in milliseconds. */
    getConfirmedAge(now: number): number {
        return now - this.#confirmedAt;
    }

    /** Tells whether the last proof is new enough. */
    isConfirmed(now: number): boolean {
        return this.getConfirmedAge(now) <= (this.#options.maxConfirmedAge ?? DEFAULT_MAX_CONFIRMED_AGE);
    }

    /** Lists the addresses of parts that the pending generation lacks. */
    listMissing(): string[] {
        return Object.values(this.#pending?.parts ?? {}).filter(hash => !this.#parts.hasPart(hash));
    }

    /** Gets the parts among `hashes` that are known here. */
    getParts(hashes: readonly string[]): string[] {
        return this.#parts.getTexts(hashes);
    }

    #settlePending(): ManifestOutcome {
        const pending = this.#pending;
        if (pending === undefined) {
            return { kind: "ignored" };
        }
        const missing = this.listMissing();
        if (missing.length > 0) {
            return { kind: "missing", hashes: missing };
        }
        this.#pending = undefined;
        this.#manifest = pending;
        this.#inventory = this.#parts.buildInventory(Object.values(pending.parts));
        return { kind: "adopted", manifest: pending };
    }
}
