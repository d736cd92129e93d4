/**
 * Compares two inventories.
 *
 * @module
 */
import type { Inventory } from "../core/inventory/mod.ts";

const SECTIONS = ["zones", "models", "targets", "kinds", "accounts", "rules"] as const;

/**
 * Lists the changes from `before` to `after`.
 *
 * @param before Inventory before the change.
 * @param after Inventory after the change.
 * @returns One line for each added (`+`), removed (`-`) or changed (`~`) item.
 *
 * @example
 * ```ts
 * diffInventories(before, after); // ["+ rules withdraw-zone-b"]
 * ```
 */
export function diffInventories(before: Inventory, after: Inventory): string[] {
    return SECTIONS.flatMap(section => {
        const oldItems = collectItems(before[section]);
        const newItems = collectItems(after[section]);
        const names = [...new Set([...oldItems.keys(), ...newItems.keys()])].sort();
        return names.flatMap(name =>
            describeChange(`${section} ${name}`, { old: oldItems.get(name), updated: newItems.get(name) })
        );
    });
}

function collectItems(items: readonly (string | { name: string; })[]): Map<string, string> {
    return new Map(items.map(item => (typeof item === "string" ? [item, item] : [item.name, JSON.stringify(item)])));
}

function describeChange(label: string, change: { old: string | undefined; updated: string | undefined; }): string[] {
    const { old, updated } = change;
    if (old === updated) {
        return [];
    }
    if (old === undefined) {
        return [`+ ${label}`];
    }
    return updated === undefined ? [`- ${label}`] : [`~ ${label}: ${old} -> ${updated}`];
}
