/**
 * Validates an inventory document against the schema and checks that its parts are consistent.
 *
 * @module
 */
import * as v from "valibot";
import { type Inventory, InventorySchema, type Rule } from "./inventory_schema.ts";

/** Path to a value in a document: the keys and indices from the root to the value. */
export type DocumentPath = (string | number)[];

/** A validation error in a document. */
export interface InventoryProblem {
    /** Path to the invalid value. */
    path: DocumentPath;
    /** Description of the problem, as a full sentence. */
    message: string;
}

/** Result of {@linkcode parseInventory}. */
export type InventoryResult =
    | { isValid: true; inventory: Inventory; }
    | { isValid: false; problems: InventoryProblem[]; };

/**
 * Parses and validates an inventory document.
 *
 * @param input Plain data, as returned by a YAML or JSON parser.
 * @returns The inventory, or the problems found in the document.
 *
 * @example
 * ```ts
 * parseInventory({ zones: [{ name: "rennes" }] }).isValid; // true
 * ```
 */
export function parseInventory(input: unknown): InventoryResult {
    const parsed = v.safeParse(InventorySchema, input ?? {});
    if (!parsed.success) {
        return { isValid: false, problems: parsed.issues.map(describeIssue) };
    }
    const problems = checkInventory(parsed.output);
    return problems.length > 0 ? { isValid: false, problems } : { isValid: true, inventory: parsed.output };
}

function describeIssue(issue: v.BaseIssue<unknown>): InventoryProblem {
    const path = (issue.path ?? []).map(item => item.key as string | number);
    const expected = issue.type === "regex" ? issue.message : issue.expected ?? issue.message;
    return {
        path,
        message: `Cannot accept ${path.join(".") || "the document"}: received ${issue.received}, expected ${expected}.`,
    };
}

/**
 * Checks that names and addresses in `inventory` are unique, references resolve, and targets and rules are complete.
 *
 * @param inventory Inventory that conforms to the schema.
 * @returns All problems found.
 */
export function checkInventory(inventory: Inventory): InventoryProblem[] {
    return [
        ...checkUniqueNames(inventory),
        ...checkTargets(inventory),
        ...checkRules(inventory),
    ];
}

function checkUniqueNames(inventory: Inventory): InventoryProblem[] {
    const problems: InventoryProblem[] = [];
    for (const section of ["zones", "targets", "kinds", "accounts", "rules"] as const) {
        const seen = new Set<string>();
        for (const [index, { name }] of inventory[section].entries()) {
            if (seen.has(name)) {
                problems.push({
                    path: [section, index, "name"],
                    message: `Cannot accept ${section}: the name "${name}" occurs twice.`,
                });
            }
            seen.add(name);
        }
    }
    return problems;
}

function checkTargets(inventory: Inventory): InventoryProblem[] {
    const problems: InventoryProblem[] = [];
    const zones = new Set(inventory.zones.map(zone => zone.name));
    const models = new Set(inventory.models);
    const addresses = new Map<string, string>();
    for (const [index, target] of inventory.targets.entries()) {
        const addProblem = (field: string, reason: string): void => {
            problems.push({
                path: ["targets", index, field],
                message: `Cannot accept target "${target.name}": ${reason}.`,
            });
        };
        if (!zones.has(target.zone)) {
            addProblem("zone", `its zone "${target.zone}" is not listed`);
        }
        for (const model of target.models.filter(name => !models.has(name))) {
            addProblem("models", `its model "${model}" is not listed`);
        }
        if (target.type === "engine" && (target.models.length === 0 || target.memoryTokens === 0)) {
            addProblem("models", "an engine needs models and memoryTokens");
        }
        if (target.type === "service" && target.service === undefined) {
            addProblem("service", "a service target needs the name of its service");
        }
        if (target.coldConcurrent > target.maxConcurrent) {
            addProblem(
                "coldConcurrent",
                `coldConcurrent ${target.coldConcurrent} exceeds maxConcurrent ${target.maxConcurrent}`,
            );
        }
        const other = addresses.get(target.address);
        if (other !== undefined) {
            addProblem("address", `its address ${target.address} is also that of "${other}"`);
        }
        addresses.set(target.address, target.name);
    }
    return problems;
}

/** Fields of a rule that select targets. */
const SELECTOR_FIELDS = ["zone", "batch", "target", "instance", "model"] as const;

function checkRules(inventory: Inventory): InventoryProblem[] {
    const knownNames = collectNames(inventory);
    const problems: InventoryProblem[] = [];
    for (const [index, rule] of inventory.rules.entries()) {
        const reason = describeRuleProblem(rule, knownNames);
        if (reason !== undefined) {
            problems.push({ path: ["rules", index], message: `Cannot accept rule "${rule.name}": ${reason}.` });
        }
    }
    return problems;
}

type KnownNames = Record<(typeof SELECTOR_FIELDS)[number] | "account" | "kind", Set<string>>;

function collectNames(inventory: Inventory): KnownNames {
    const { targets } = inventory;
    return {
        zone: new Set(inventory.zones.map(zone => zone.name)),
        batch: new Set(targets.map(target => target.batch)),
        target: new Set(targets.map(target => target.name)),
        instance: new Set(targets.flatMap(target => target.instance ?? [])),
        model: new Set(inventory.models),
        account: new Set(inventory.accounts.map(account => account.name)),
        kind: new Set(inventory.kinds.map(kind => kind.name)),
    };
}

function describeRuleProblem(rule: Rule, knownNames: KnownNames): string | undefined {
    for (const field of [...SELECTOR_FIELDS, "account", "kind"] as const) {
        const value = rule[field];
        if (value !== undefined && !knownNames[field].has(value)) {
            return `its ${field} "${value}" is not in the inventory`;
        }
    }
    const hasSelector = SELECTOR_FIELDS.some(field => rule[field] !== undefined);
    if (rule.action === "prioritize") {
        return rule.priority === undefined || (rule.account === undefined && rule.kind === undefined)
            ? "prioritize needs a priority and an account or a kind"
            : undefined;
    }
    return hasSelector ? undefined : `${rule.action} needs a zone, batch, target, instance or model`;
}
