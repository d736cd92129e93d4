/**
 * Lookup tables for routing, derived from the inventory and its rules, and the classification of requests.
 *
 * @module
 */
import type { Account, Inventory, Kind, Rule, Target } from "./inventory_schema.ts";

/** A target with its state under the rules. */
export interface RoutedTarget extends Target {
    /** Why the target is closed to new requests; `undefined` if it is open. */
    closedBy: "withdraw" | "drain" | "leaving" | undefined;
}

/** Options of {@linkcode buildRoutingTable}. */
export interface RoutingTableOptions {
    /** Names of the leaving targets and instances. Defaults to none. */
    leaving?: ReadonlySet<string>;
}

/** The inventory, indexed for lookups when requests are routed. */
export interface RoutingTable {
    /** Targets by name. */
    targets: Map<string, RoutedTarget>;
    /** Names of engine targets by model. */
    enginesByModel: Map<string, string[]>;
    /** Names of service targets by service. */
    targetsByService: Map<string, string[]>;
    /** Kinds by name. */
    kinds: Map<string, Kind>;
    /** Accounts by the hash of their API key. */
    accountsByKeyHash: Map<string, Account>;
    /** Rules that change priorities. */
    priorityRules: Rule[];
}

/**
 * Builds the routing table of an inventory.
 *
 * @param inventory Current inventory.
 * @param options Names of the leaving targets and instances.
 * @returns The routing table.
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
            appendToList(table.enginesByModel, model, target.name);
        }
        if (target.service !== undefined) {
            appendToList(table.targetsByService, target.service, target.name);
        }
    }
    return table;
}

function appendToList(lists: Map<string, string[]>, key: string, value: string): void {
    const list = lists.get(key) ?? [];
    list.push(value);
    lists.set(key, list);
}

/**
 * Determines why `target` is closed to new requests.
 *
 * @param target Target to check.
 * @param context The rules, and the names of the leaving targets and instances.
 * @returns `"leaving"`, the action of the first matching rule, or `undefined` if the target is open.
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

/** The properties of a request that determine its kind and priority. */
export interface RequestDescription {
    /** Name of the service; `undefined` for a generation, which an engine runs. */
    service: string | undefined;
    /** HTTP method. */
    method: string;
    /** Path relative to the service. */
    path: string;
    /** Name of the kind that the caller requests; `undefined` if it requests none. */
    kind: string | undefined;
}

/** HTTP methods that are safe to repeat, because they do not change state. */
const SAFE_METHODS = new Set(["GET", "HEAD", "OPTIONS"]);

/**
 * Classifies a request.
 *
 * @param request Request to classify.
 * @param context Current routing table, and the caller's account.
 * @returns The request's kind, with its priority changed by the first priority rule that matches.
 */
export function classifyRequest(
    request: RequestDescription,
    context: { table: RoutingTable; account: Account; },
): Kind {
    const { table, account } = context;
    const kind = request.service === undefined
        ? findGenerationKind(request, context)
        : findServiceKind(request, table);
    const rule = table.priorityRules.find(each =>
        (each.kind === undefined || each.kind === kind.name)
        && (each.account === undefined || each.account === account.name)
    );
    return { ...kind, priority: rule?.priority ?? kind.priority };
}

function findGenerationKind(request: RequestDescription, context: { table: RoutingTable; account: Account; }): Kind {
    const name = request.kind ?? context.account.defaultKind;
    const namedKind = name === undefined ? undefined : context.table.kinds.get(name);
    return namedKind?.service === undefined && namedKind !== undefined
        ? namedKind
        : buildDefaultKind("generation", { isRepeatable: true });
}

function findServiceKind(request: RequestDescription, table: RoutingTable): Kind {
    for (const kind of table.kinds.values()) {
        const isMethodMatching = kind.methods.length === 0 || kind.methods.includes(request.method);
        if (kind.service === request.service && isMethodMatching && request.path.startsWith(kind.pathPrefix)) {
            return kind;
        }
    }
    return buildDefaultKind("plain", { isRepeatable: SAFE_METHODS.has(request.method) });
}

/** Builds the kind of a request that matches no kind of the inventory. */
function buildDefaultKind(name: string, options: { isRepeatable: boolean; }): Kind {
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
