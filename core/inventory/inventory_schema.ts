/**
 * The schema of the inventory documents in which operators configure the system.
 *
 * @module
 */
import * as v from "valibot";

const Name = v.pipe(v.string(), v.regex(/^[A-Za-z0-9][\w.-]{0,63}$/, "a name of letters, digits, '.', '_' and '-'"));
const Address = v.pipe(v.string(), v.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "an address as IP:port"));
const Count = v.pipe(v.number(), v.integer(), v.minValue(0));
const PositiveCount = v.pipe(v.number(), v.integer(), v.minValue(1));

/** The types of target: an engine, which runs models, or a service, which handles other HTTP requests. */
export const TargetType = { engine: "engine", service: "service" } as const;

/** One of the values of {@linkcode TargetType}. */
export type TargetType = (typeof TargetType)[keyof typeof TargetType];

/** How a response is delivered to its caller: streamed as it is produced, or buffered and delivered whole. */
export const Delivery = { streamed: "streamed", whole: "whole" } as const;

/** One of the values of {@linkcode Delivery}. */
export type Delivery = (typeof Delivery)[keyof typeof Delivery];

/**
 * The effect of a rule.
 *
 * `withdraw` and `drain` close the selected targets to new requests; `prioritize` sets the priority of the requests of
 * an account or of a kind.
 */
export const RuleAction = { withdraw: "withdraw", drain: "drain", prioritize: "prioritize" } as const;

/** One of the values of {@linkcode RuleAction}. */
export type RuleAction = (typeof RuleAction)[keyof typeof RuleAction];

/** Schema of an availability zone. */
export const ZoneSchema = v.strictObject({
    name: Name,
    region: v.optional(Name, "default"),
});

/** Schema of a target. */
export const TargetSchema = v.strictObject({
    name: Name,
    type: v.picklist(["engine", "service"]),
    address: Address,
    zone: Name,
    batch: Name,
    instance: v.optional(Name),
    models: v.optional(v.array(Name), []),
    service: v.optional(Name),
    /** Size of the KV cache of an engine, in tokens. */
    memoryTokens: v.optional(Count, 0),
    /** Maximum number of concurrent requests while the target is warm. */
    maxConcurrent: v.optional(PositiveCount, 32),
    /** Maximum number of concurrent requests while the target is cold, that is, just started. */
    coldConcurrent: v.optional(PositiveCount, 2),
    /** True if the target refuses orders with a lower fencing token than it has seen. */
    checksFencing: v.optional(v.boolean(), false),
    /**
     * Path at which a service reports the outcome of the request with an idempotency key: status 404 if it has none, and
     * otherwise the headers and the body of its response, with the response's status in the header `x-outcome-status`.
     */
    outcomePath: v.optional(v.pipe(v.string(), v.regex(/^\/.*\{key\}/, "a path that contains {key}"))),
});

/** Schema of a kind: a class of requests with common delivery, retry and priority settings. */
export const KindSchema = v.strictObject({
    name: Name,
    service: v.optional(Name),
    methods: v.optional(v.array(v.string()), []),
    pathPrefix: v.optional(v.string(), "/"),
    /** True if running a request twice does no harm. */
    isRepeatable: v.boolean(),
    priority: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(9)), 1),
    /** Maximum time for which a request waits for a target, in milliseconds. */
    patienceMilliseconds: v.optional(PositiveCount, 60_000),
    delivery: v.optional(v.picklist(["streamed", "whole"]), "streamed"),
});

/** Schema of a client account; API keys are stored as SHA-256 hashes. */
export const AccountSchema = v.strictObject({
    name: Name,
    keyHash: v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/, "a SHA-256 hash in hexadecimal")),
    weight: v.optional(v.pipe(v.number(), v.minValue(0.01), v.maxValue(1000)), 1),
    /** Name of the kind of this account's generations for which the request names none. */
    defaultKind: v.optional(Name),
});

/** Schema of a rule, which selects targets by the fields up to `model`, and requests by `account` and `kind`. */
export const RuleSchema = v.strictObject({
    name: Name,
    action: v.picklist(["withdraw", "drain", "prioritize"]),
    zone: v.optional(Name),
    batch: v.optional(Name),
    target: v.optional(Name),
    instance: v.optional(Name),
    model: v.optional(Name),
    account: v.optional(Name),
    kind: v.optional(Name),
    priority: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(9))),
});

/** Schema of a complete inventory document. */
export const InventorySchema = v.strictObject({
    zones: v.optional(v.array(ZoneSchema), []),
    models: v.optional(v.array(Name), []),
    targets: v.optional(v.array(TargetSchema), []),
    kinds: v.optional(v.array(KindSchema), []),
    accounts: v.optional(v.array(AccountSchema), []),
    rules: v.optional(v.array(RuleSchema), []),
});

/** An availability zone. */
export type Zone = v.InferOutput<typeof ZoneSchema>;
/** A target: an engine or a service. */
export type Target = v.InferOutput<typeof TargetSchema>;
/** A kind: a class of requests. */
export type Kind = v.InferOutput<typeof KindSchema>;
/** A client account. */
export type Account = v.InferOutput<typeof AccountSchema>;
/** A rule set by an operator. */
export type Rule = v.InferOutput<typeof RuleSchema>;
/** A complete inventory. */
export type Inventory = v.InferOutput<typeof InventorySchema>;
