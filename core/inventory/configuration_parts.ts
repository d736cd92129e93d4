/**
 * Splits an inventory into parts that change independently, and merges them again.
 *
 * @module
 */
import { hashText } from "../hashing/mod.ts";
import type { Inventory } from "./inventory_schema.ts";

/** Client accounts that one part holds at most, on average. */
const ACCOUNTS_PER_PART = 1000;

/**
 * Splits `inventory` into parts: one per zone, one per thousand accounts, one for kinds and models, one for rules.
 *
 * @param inventory Inventory to split.
 * @returns The text of each part by the part's name.
 */
export function splitInventory(inventory: Inventory): Map<string, string> {
    const parts = new Map<string, Partial<Inventory>>();
    parts.set("catalog", { zones: inventory.zones, models: inventory.models, kinds: inventory.kinds });
    parts.set("rules", { rules: inventory.rules });
    for (const zone of inventory.zones) {
        parts.set(`zone:${zone.name}`, { targets: inventory.targets.filter(target => target.zone === zone.name) });
    }
    const buckets = Math.max(1, Math.ceil(inventory.accounts.length / ACCOUNTS_PER_PART));
    for (const account of inventory.accounts) {
        const name = `accounts:${hashText(account.name) % buckets}`;
        const part = parts.get(name) ?? { accounts: [] };
        part.accounts?.push(account);
        parts.set(name, part);
    }
    return new Map([...parts].map(([name, part]) => [name, JSON.stringify(part)]));
}

/**
 * Merges the texts of parts into one inventory.
 *
 * @param texts JSON texts of the parts.
 * @returns The whole inventory.
 */
export function mergeParts(texts: Iterable<string>): Inventory {
    return mergeParsed([...texts].map(text => JSON.parse(text) as Partial<Inventory>));
}

/**
 * Joins parsed parts into one inventory.
 *
 * @param parts Parsed parts.
 * @returns The whole inventory.
 */
export function mergeParsed(parts: readonly Partial<Inventory>[]): Inventory {
    return {
        zones: parts.flatMap(part => part.zones ?? []),
        models: parts.flatMap(part => part.models ?? []),
        targets: parts.flatMap(part => part.targets ?? []),
        kinds: parts.flatMap(part => part.kinds ?? []),
        accounts: parts.flatMap(part => part.accounts ?? []),
        rules: parts.flatMap(part => part.rules ?? []),
    };
}
