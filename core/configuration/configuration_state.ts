/**
 * Holds the configuration in force. The generation is the number of a configuration; only a configuration with a higher
 * generation can replace the one in force.
 *
 * @module
 */
import { type Inventory, mergeParts } from "../inventory/mod.ts";
import type { Manifest } from "./manifest.ts";
import { PartStore } from "./part_store.ts";

/** Options of a {@linkcode ConfigurationState}. */
export interface ConfigurationStateOptions {
    /** Computes the content hash of a part. */
    hashContent: (text: string) => string;
    /** Maximum time for which a confirmation of the newest generation is valid, in milliseconds. Defaults to 3000. */
    maxConfirmedAgeMilliseconds?: number;
}

/** Result of receiving a manifest or parts. */
export type ManifestOutcome =
    /** Nothing has changed. */
    | { kind: "ignored"; }
    /** The generation of `manifest` is now in force. */
    | { kind: "adopted"; manifest: Manifest; }
    /** The pending generation still lacks the parts with these hashes. */
    | { kind: "missing"; hashes: string[]; };

const DEFAULT_MAX_CONFIRMED_AGE_MILLISECONDS = 3000;

/** The generation in force at this instance, and the time at which it was last confirmed to be the newest. */
export class ConfigurationState {
    readonly #options: ConfigurationStateOptions;
    readonly #parts = new PartStore();
    #manifest: Manifest | undefined;
    /** Newer manifest that is adopted when all its parts are known. */
    #pendingManifest: Manifest | undefined;
    #inventory: Inventory = mergeParts([]);
    #confirmedAt = -Infinity;

    constructor(options: ConfigurationStateOptions) {
        this.#options = options;
    }

    /** Generation in force; 0 before the first. */
    get generation(): number {
        return this.#manifest?.generation ?? 0;
    }

    get manifest(): Manifest | undefined {
        return this.#manifest;
    }

    get inventory(): Inventory {
        return this.#inventory;
    }

    /** Handles a manifest from any source; one with an older or equal generation is ignored. */
    handleManifest(manifest: Manifest): ManifestOutcome {
        const newest = Math.max(this.generation, this.#pendingManifest?.generation ?? 0);
        if (manifest.generation < newest || manifest.generation === this.generation) {
            return { kind: "ignored" };
        }
        this.#pendingManifest = manifest;
        return this.#adoptPending();
    }

    /**
     * Adds parts from any source, and adopts the pending generation once it is complete.
     *
     * Each part is stored under the hash computed from its text, so a corrupted part is never used.
     */
    handleParts(texts: Iterable<string>): ManifestOutcome {
        for (const text of texts) {
            this.#parts.addPart({ hash: this.#options.hashContent(text), text });
        }
        return this.#adoptPending();
    }

    /**
     * Records that `generation` was the newest one `age` milliseconds before `now`.
     *
     * An older generation than the one in force counts too: at that time nothing newer than the one in force existed.
     */
    recordConfirmation(generation: number, confirmation: { age: number; now: number; }): void {
        if (generation <= this.generation && this.#manifest !== undefined) {
            this.#confirmedAt = Math.max(this.#confirmedAt, confirmation.now - confirmation.age);
        }
    }

    /** Gets the time since the generation in force was last confirmed to be the newest, in milliseconds. */
    getConfirmedAge(now: number): number {
        return now - this.#confirmedAt;
    }

    /** Checks whether the last confirmation is recent enough. */
    isConfirmed(now: number): boolean {
        return this.getConfirmedAge(now)
            <= (this.#options.maxConfirmedAgeMilliseconds ?? DEFAULT_MAX_CONFIRMED_AGE_MILLISECONDS);
    }

    /** Lists the content hashes of the parts that the pending generation lacks. */
    listMissing(): string[] {
        return Object.values(this.#pendingManifest?.parts ?? {}).filter(hash => !this.#parts.hasPart(hash));
    }

    /** Gets the texts of those parts among `hashes` that are known here. */
    getParts(hashes: readonly string[]): string[] {
        return this.#parts.getTexts(hashes);
    }

    #adoptPending(): ManifestOutcome {
        const pending = this.#pendingManifest;
        if (pending === undefined) {
            return { kind: "ignored" };
        }
        const missing = this.listMissing();
        if (missing.length > 0) {
            return { kind: "missing", hashes: missing };
        }
        this.#pendingManifest = undefined;
        this.#manifest = pending;
        this.#inventory = this.#parts.buildInventory(Object.values(pending.parts));
        return { kind: "adopted", manifest: pending };
    }
}
