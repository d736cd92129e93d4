/**
 * Compares two inventories.
 *
 * @module
 */
import type { Inventory } from "../core/inventory/mod.ts";

const SECTIONS = ["zones", "models", "targets", "kinds", "accounts", "rules"] as const;

/**
 * Lists what changes from `before` to `after`.
 *
 * @param before Inventory to start from.
 * @param after Inventory to go to.
 * @returns A line for each item that is added (`+`), removed (`-`) or changed (`~`).
 *
 * @example
 * ```ts
 * diffInventories(before, after); // ["+ rules withdraw-zone-b"]
 * ```
 */
export function diffInventories(before: Inventory, after: Inventory): string[] {
    return SECTIONS.flatMap(section => {
        const old = collectItems(before[section]);
        const fresh = collectItems(after[section]);
        const names = [...new Set([...old.keys(), ...fresh.keys()])].sort();
        return names.flatMap(name =>
            describeChange(`${section} ${name}`, { old: old.get(name), fresh: fresh.get(name) })
        );
    });
}

function collectItems(items: readonly (string | { name: string; })[]): Map<string, string> {
    return new Map(items.map(item => (typeof item === "string" ? [item, item] : [item.name, JSON.stringify(item)])));
}

function describeChange(label: string, change: { old: string | undefined; fresh: string | undefined; }): string[] {
    const { old, fresh } = change;
    if (old === fresh) {
        return [];
    }
    if (old === undefined) {
        return [`+ ${label}`];
    }
    return fresh === undefined ? [`- ${label}`] : [`~ ${label}: ${old} -> ${fresh}`];
}
