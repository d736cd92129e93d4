/**
 * What the inventory and rules mean for routing.
 *
 * @module
 */
import type { Account, Inventory, Kind, Rule, Target } from "./inventory_schema.ts";

/** A target with what the rules make of it. */
export interface RoutedTarget extends Target {
    /** Action that closes the target to new work; `undefined` where it is open. */
    closedBy: "withdraw" | "drain" | "leaving" | undefined;
}

/** Options of {@linkcode buildRoutingTable}. */
export interface RoutingTableOptions {
    /** Names of targets and of instances that are leaving. Defaults to none. */
    leaving?: ReadonlySet<string>;
}

/** The inventory as the data path looks things up in it. */
export interface RoutingTable {
    /** Targets by name. */
    targets: Map<string, RoutedTarget>;
    /** Names of engines by model. */
    enginesByModel: Map<string, string[]>;
    /** Names of service targets by service. */
    targetsByService: Map<string, string[]>;
    /** Kinds by name. */
    kinds: Map<string, Kind>;
    /** Accounts by the hash of their key. */
    accountsByKeyHash: Map<string, Account>;
    /** Rules that change priorities. */
    priorityRules: Rule[];
}

/**
 * Builds the tables that requests are routed by.
 *
 * @param inventory Configuration in force.
 * @param options What else closes targets.
 * @returns The tables.
 */
export function buildRoutingTable(inventory: Inventory, options: RoutingTableOptions = {}): RoutingTable {
    const { leaving = new Set<string>() } = options;
    const table: RoutingTable = {
        targets: new Map(),
        enginesByModel: new Map(),
        targetsByService: new Map(),
        kinds: new Map(inventory.kinds.map(kind => [kind.name, kind])),
        accountsByKeyHash: new Map(inventory.accounts.map(account => [account.keyHash, account])),
        priorityRules: inventory.rules.filter(rule => rule.action === "prioritize"),
    };
    for (const target of inventory.targets) {
        const closedBy = findClosingAction(target, { rules: inventory.rules, leaving });
        table.targets.set(target.name, { ...target, closedBy });
        for (const model of target.models) {
            addToList(table.enginesByModel, model, target.name);
        }
        if (target.service !== undefined) {
            addToList(table.targetsByService, target.service, target.name);
        }
    }
    return table;
}

function addToList(lists: Map<string, string[]>, key: string, value: string): void {
    const list = lists.get(key) ?? [];
    list.push(value);
    lists.set(key, list);
}

/**
 * Finds what closes `target` to new work.
 *
 * @param target Target to judge.
 * @param context The rules, and the names of what is leaving.
 * @returns The action, or `undefined` where the target is open.
 */
export function findClosingAction(
    target: Target,
    context: { rules: readonly Rule[]; leaving: ReadonlySet<string>; },
): RoutedTarget["closedBy"] {
    const { rules, leaving } = context;
    if (leaving.has(target.name) || (target.instance !== undefined && leaving.has(target.instance))) {
        return "leaving";
    }
    for (const rule of rules) {
        if (rule.action !== "prioritize" && isSelected(target, rule)) {
            return rule.action;
        }
    }
    return undefined;
}

function isSelected(target: Target, rule: Rule): boolean {
    return (rule.zone === undefined || rule.zone === target.zone)
        && (rule.batch === undefined || rule.batch === target.batch)
        && (rule.target === undefined || rule.target === target.name)
        && (rule.instance === undefined || rule.instance === target.instance)
        && (rule.model === undefined || target.models.includes(rule.model));
}

/** A request as far as its kind and priority depend on it. */
export interface WorkDescription {
    /** Name of the service; `undefined` for a generation. */
    service: string | undefined;
    /** HTTP method. */
    method: string;
    /** Path below the service. */
    path: string;
    /** Kind that the caller names; `undefined` where it names none. */
    kind: string | undefined;
}

const SAFE_METHODS = new Set(["GET", "HEAD", "OPTIONS"]);

/**
 * Classifies a request.
 *
 * @param work Request to classify.
 * @param context Tables in force, and the caller's account.
 * @returns The kind of work, with the priority that the rules give it.
 */
export function classifyWork(work: WorkDescription, context: { table: RoutingTable; account: Account; }): Kind {
    const { table, account } = context;
    const kind = work.service === undefined
        ? findGenerationKind(work, context)
        : findServiceKind(work, table);
    const rule = table.priorityRules.find(each =>
        (each.kind === undefined || each.kind === kind.name)
        && (each.account === undefined || each.account === account.name)
    );
    return { ...kind, priority: rule?.priority ?? kind.priority };
}

function findGenerationKind(work: WorkDescription, context: { table: RoutingTable; account: Account; }): Kind {
    const name = work.kind ?? context.account.defaultKind;
    const named = name === undefined ? undefined : context.table.kinds.get(name);
    return named?.service === undefined && named !== undefined
        ? named
        : buildKind("generation", { isRepeatable: true });
}

function findServiceKind(work: WorkDescription, table: RoutingTable): Kind {
    for (const kind of table.kinds.values()) {
        const isMethod = kind.methods.length === 0 || kind.methods.includes(work.method);
        if (kind.service === work.service && isMethod && work.path.startsWith(kind.pathPrefix)) {
            return kind;
        }
    }
    return buildKind("plain", { isRepeatable: SAFE_METHODS.has(work.method) });
}

function buildKind(name: string, options: { isRepeatable: boolean; }): Kind {
    return {
        name,
        methods: [],
        pathPrefix: "/",
        isRepeatable: options.isRepeatable,
        priority: 1,
        patienceMilliseconds: 60_000,
        delivery: "streamed",
    };
}
