/**
 * Caches parsed configuration parts by their content hash.
 *
 * @module
 */
import { type Inventory, mergeParsedParts } from "../inventory/mod.ts";

/** A configuration part as it is sent in messages. */
export interface ConfigurationPart {
    /** Content hash of the text. */
    hash: string;
    /** JSON text of the part. */
    text: string;
}

interface StoredPart {
    text: string;
    parsed: Partial<Inventory>;
}

/** Caches parsed parts, so that a change of configuration parses only the parts that are new. */
export class PartStore {
    readonly #parts = new Map<string, StoredPart>();

    /** Adds a part. @throws {SyntaxError} If its text is not valid JSON. */
    addPart(part: ConfigurationPart): void {
        if (!this.#parts.has(part.hash)) {
            this.#parts.set(part.hash, { text: part.text, parsed: JSON.parse(part.text) as Partial<Inventory> });
        }
    }

    /** Checks whether the part with `hash` is cached. */
    hasPart(hash: string): boolean {
        return this.#parts.has(hash);
    }

    /** Gets the texts of those parts among `hashes` that are cached. */
    getTexts(hashes: readonly string[]): string[] {
        return hashes.flatMap(hash => this.#parts.get(hash)?.text ?? []);
    }

    /** Builds the inventory from the parts with `hashes`, and removes all others from the cache. */
    buildInventory(hashes: readonly string[]): Inventory {
        const used = new Set(hashes);
        for (const hash of [...this.#parts.keys()]) {
            if (!used.has(hash)) {
                this.#parts.delete(hash);
            }
        }
        return mergeParsedParts(hashes.flatMap(hash => this.#parts.get(hash)?.parsed ?? []));
    }
}
