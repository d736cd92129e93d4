/**
 * Splits an inventory into parts that change independently, and merges the parts into an inventory again.
 *
 * @module
 */
import { hashText } from "../hashing/mod.ts";
import type { Inventory } from "./inventory_schema.ts";

/** Maximum average number of client accounts in one part. */
const ACCOUNTS_PER_PART = 1000;

/**
 * Splits `inventory` into parts.
 *
 * There is one part for the targets of each zone, one for about every thousand accounts, one for zones, models and
 * kinds, and one for rules.
 *
 * @param inventory Inventory to split.
 * @returns The JSON text of each part, by the part's name.
 */
export function splitInventory(inventory: Inventory): Map<string, string> {
    const parts = new Map<string, Partial<Inventory>>();
    parts.set("catalog", { zones: inventory.zones, models: inventory.models, kinds: inventory.kinds });
    parts.set("rules", { rules: inventory.rules });
    for (const zone of inventory.zones) {
        parts.set(`zone:${zone.name}`, { targets: inventory.targets.filter(target => target.zone === zone.name) });
    }
    const accountPartCount = Math.max(1, Math.ceil(inventory.accounts.length / ACCOUNTS_PER_PART));
    for (const account of inventory.accounts) {
        const name = `accounts:${hashText(account.name) % accountPartCount}`;
        const part = parts.get(name) ?? { accounts: [] };
        part.accounts?.push(account);
        parts.set(name, part);
    }
    return new Map([...parts].map(([name, part]) => [name, JSON.stringify(part)]));
}

/**
 * Parses the texts of parts and merges them into one inventory.
 *
 * @param texts JSON texts of the parts.
 * @returns The whole inventory.
 */
export function mergeParts(texts: Iterable<string>): Inventory {
    return mergeParsedParts([...texts].map(text => JSON.parse(text) as Partial<Inventory>));
}

/**
 * Merges parsed parts into one inventory.
 *
 * @param parts Parsed parts.
 * @returns The whole inventory.
 */
export function mergeParsedParts(parts: readonly Partial<Inventory>[]): Inventory {
    return {
        zones: parts.flatMap(part => part.zones ?? []),
        models: parts.flatMap(part => part.models ?? []),
        targets: parts.flatMap(part => part.targets ?? []),
        kinds: parts.flatMap(part => part.kinds ?? []),
        accounts: parts.flatMap(part => part.accounts ?? []),
        rules: parts.flatMap(part => part.rules ?? []),
    };
}
