/**
 * Edits of single rules. An edit is retried on the new configuration if another change was accepted first.
 *
 * @module
 */
import { checkInventory, type Inventory, type Rule } from "../core/inventory/mod.ts";
import type { PlatformClient } from "../platform/mod.ts";
import { applyInventory, type ApplyResult, fetchConfiguration } from "./configuration_store.ts";

/** Attributes by which a rule selects targets; all given attributes must match. */
export type Selector = Partial<Record<"zone" | "batch" | "target" | "instance" | "model", string>>;

/**
 * Edit of the rules. `withdraw` and `drain` add a rule in place of any withdraw or drain rule with the same selector;
 * `return` only removes such rules.
 */
export type RuleEdit =
    | { kind: "withdraw"; selector: Selector; }
    | { kind: "drain"; selector: Selector; }
    | { kind: "return"; selector: Selector; };

const MAX_ATTEMPTS = 8;

/**
 * Applies an edit, and retries it on the new configuration if another change was accepted first.
 *
 * @param platform Platform whose store holds the configuration.
 * @param change Edit to apply, and its author.
 * @returns The outcome; a conflict if every attempt met one.
 * @throws {Error} If the edit makes the inventory invalid, for instance because it selects an unknown target.
 */
export async function applyRuleEdit(
    platform: PlatformClient,
    change: { edit: RuleEdit; author: string; },
): Promise<ApplyResult> {
    let result: ApplyResult = { kind: "unknown" };
    for (let attemptCount = 0; attemptCount < MAX_ATTEMPTS; attemptCount += 1) {
        const base = await fetchConfiguration(platform);
        const inventory = { ...base.inventory, rules: applyEdit(base.inventory.rules, change.edit) };
        validateRules(inventory);
        result = await applyInventory(platform, { inventory, author: change.author, base });
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
