/**
 * Keeps the parts of configurations by their content address, parsed once.
 *
 * @module
 */
import { type Inventory, mergeParsed } from "../inventory/mod.ts";

/** A part as it travels. */
export interface ConfigurationPart {
    /** Content address. */
    hash: string;
    /** JSON text. */
    text: string;
}

interface StoredPart {
    text: string;
    parsed: Partial<Inventory>;
}

/** Keeps parts; a change of configuration costs only the parsing of the parts that are new. */
export class PartStore {
    readonly #parts = new Map<string, StoredPart>();

    /** Adds a part. @throws {SyntaxError} Where its text is no JSON. */
    addPart(part: ConfigurationPart): void {
        if (!this.#parts.has(part.hash)) {
            this.#parts.set(part.hash, { text: part.text, parsed: JSON.parse(part.text) as Partial<Inventory> });
        }
    }

    /** Tells whether the part with `hash` is known. */
    hasPart(hash: string): boolean {
        return this.#parts.has(hash);
    }

    /** Gets the texts of the parts among `hashes` that are known. */
    getTexts(hashes: readonly string[]): string[] {
        return hashes.flatMap(hash => this.#parts.get(hash)?.text ?? []);
    }

    /** Builds the inventory of the parts with `hashes`, and forgets all others. */
    buildInventory(hashes: readonly string[]): Inventory {
        const used = new Set(hashes);
        for (const hash of [...this.#parts.keys()]) {
            if (!used.has(hash)) {
                this.#parts.delete(hash);
            }
        }
        return mergeParsed(hashes.flatMap(hash => this.#parts.get(hash)?.parsed ?? []));
    }
}
