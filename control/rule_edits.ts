/**
 * Small edits of the rules, which are made again when another change was accepted first.
 *
 * @module
 */
import { checkInventory, type Inventory, type Rule } from "../core/inventory/mod.ts";
import type { PlatformClient } from "../platform/mod.ts";
import { applyInventory, type ApplyResult, fetchConfiguration } from "./configuration_store.ts";

/** What a rule selects by. */
export type Selector = Partial<Record<"zone" | "batch" | "target" | "instance" | "model", string>>;

/** An edit of the rules. */
export type RuleEdit =
    | { kind: "withdraw"; selector: Selector; }
    | { kind: "drain"; selector: Selector; }
    | { kind: "return"; selector: Selector; };

const MAX_TRIES = 8;

/**
 * Makes an edit, again and again until no other change comes between.
 *
 * @param platform Platform that keeps the configuration.
 * @param edit Edit to make, and its author.
 * @returns How it ended.
 * @throws {Error} Where the edit selects what is not in the inventory.
 */
export async function applyRuleEdit(
    platform: PlatformClient,
    edit: { rule: RuleEdit; author: string; },
): Promise<ApplyResult> {
    let result: ApplyResult = { kind: "unknown" };
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
        const base = await fetchConfiguration(platform);
        const inventory = { ...base.inventory, rules: applyEdit(base.inventory.rules, edit.rule) };
        validateRules(inventory);
        result = await applyInventory(platform, { inventory, author: edit.author, base });
        if (result.kind !== "conflict") {
            return result;
        }
    }
    return result;
}

function validateRules(inventory: Inventory): void {
    const [problem] = checkInventory(inventory);
    if (problem !== undefined) {
        throw new Error(problem.message);
    }
}

function applyEdit(rules: readonly Rule[], edit: RuleEdit): Rule[] {
    const others = rules.filter(rule => rule.action === "prioritize" || !isSameSelector(rule, edit.selector));
    if (edit.kind === "return") {
        return others;
    }
    const name = [edit.kind, ...Object.entries(edit.selector).flat()].join("-").slice(0, 64);
    return [...others, { name, action: edit.kind, ...edit.selector }];
}

function isSameSelector(rule: Rule, selector: Selector): boolean {
    const fields = ["zone", "batch", "target", "instance", "model"] as const;
    return fields.every(field => rule[field] === selector[field]);
}
