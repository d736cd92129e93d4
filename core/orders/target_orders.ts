/**
 * Gives orders to one target, on behalf of the instance that owns it.
 *
 * A conditional update of the target's lease gives each holder a higher fencing number. A target that checks numbers is
 * ordered at once. For one that ignores them the new holder waits until the lease before has lapsed and the longest
 * pause is over, and looks at the target again, before it orders.
 *
 * @module
 */
import { parseBySchema, type PlatformReply, type PlatformRequest } from "../platform/mod.ts";
import { type ModelOrder, type OrderLease, OrderLeaseSchema, type OrderReply, type OrderTimes } from "./order_types.ts";
import { type SlotStep, WeightSlot } from "./weight_budget.ts";

/** What the orders are for. */
export interface OrderSpec {
    /** Name of the target. */
    name: string;
    /** Models that the target should hold. */
    models: readonly string[];
    /** True where the target refuses old fencing numbers. */
    checksFencing: boolean;
}

/** Options of {@linkcode TargetOrders}. */
export interface TargetOrdersOptions {
    /** Name of this instance. */
    holder: string;
    /** Makes a name that no other lease has. */
    createNonce: () => string;
    /** Loads that may run at one time in the whole fleet. */
    maxLoads: number;
    /** Time for which a lease allows orders, in milliseconds. Defaults to 15 000. */
    leaseMilliseconds?: number;
    /** Longest pause of a process that is allowed for, in milliseconds. Defaults to 30 000. */
    maxPauseMilliseconds?: number;
}

/** What the orders want done. */
export type OrderEffect =
    | { kind: "platform"; request: PlatformRequest; }
    | { kind: "order"; order: ModelOrder; };

interface HeldLease {
    lease: OrderLease;
    /** Time until which orders may be given. */
    until: number;
    /** Time before which no order may be given, because the holder before may still give one. */
    notBefore: number;
}

type Stage = "idle" | "reading-lease" | "writing-lease" | "taking-slot" | "ordering" | "loading" | "releasing-slot";

const DEFAULT_LEASE = 15_000;
const DEFAULT_MAX_PAUSE = 30_000;
const RETRY_PAUSE = 1000;
/** Time after which an accepted order is given again, in milliseconds. */
const LOAD_TIMEOUT = 300_000;
/** Share of a lease that must be left when an order is given. */
const LEAST_LEASE_SHARE = 0.3;

/** Brings one target to the models that it should hold. */
export class TargetOrders {
    readonly #options: TargetOrdersOptions;
    readonly #slot: WeightSlot;
    #spec: OrderSpec;
    #loaded: ReadonlySet<string> | undefined;
    #reportAskedAt = -Infinity;
    #stage: Stage = "idle";
    #held: HeldLease | undefined;
    #attempt: { lease: OrderLease; startedAt: number; hadHolder: boolean; } | undefined;
    #hasSlot = false;
    #notBefore = 0;
    #loadingUntil = 0;

    constructor(spec: OrderSpec, options: TargetOrdersOptions) {
        this.#spec = spec;
        this.#options = options;
        this.#slot = new WeightSlot(spec.name, { maxLoads: options.maxLoads });
    }

    /** Takes over a changed specification. */
    setSpec(spec: OrderSpec): void {
        this.#spec = spec;
    }

    /** Takes the models that the target reports to hold. */
    handleReport(models: readonly string[], askedAt: number): void {
        this.#loaded = new Set(models);
        this.#reportAskedAt = askedAt;
    }

    /** Starts what is due. */
    handleTick(times: OrderTimes): OrderEffect[] {
        const model = this.#findMissing();
        if (this.#stage === "loading" && (model === undefined || times.now >= this.#loadingUntil)) {
            this.#stage = "idle";
        }
        if (this.#stage !== "idle" || times.now < this.#notBefore) {
            return [];
        }
        if (model === undefined) {
            return this.#hasSlot ? this.#follow("releasing-slot", { step: this.#slot.startReleasing(), times }) : [];
        }
        if (!this.#isLeaseUsable(times.now)) {
            this.#stage = "reading-lease";
            return [{ kind: "platform", request: { kind: "read", key: this.#leaseKey } }];
        }
        if (!this.#hasSlot) {
            return this.#follow("taking-slot", { step: this.#slot.startTaking(), times });
        }
        return this.#giveOrder(model, times);
    }

    /** Takes the platform's answer to the last call. */
    handleReply(reply: PlatformReply, times: OrderTimes): OrderEffect[] {
        if (this.#stage === "reading-lease") {
            return this.#handleLease(reply, times);
        }
        if (this.#stage === "writing-lease") {
            this.#handleLeaseWritten(reply, times);
            return [];
        }
        if (this.#stage === "taking-slot" || this.#stage === "releasing-slot") {
            return this.#follow(this.#stage, { step: this.#slot.handleReply(reply, times), times });
        }
        return [];
    }

    /** Takes the target's answer to an order. */
    handleOrderReply(reply: OrderReply, times: OrderTimes): void {
        if (reply === "accepted") {
            this.#stage = "loading";
            this.#loadingUntil = times.now + LOAD_TIMEOUT;
            return;
        }
        if (reply === "stale") {
            this.#held = undefined;
        }
        this.#pause(times);
    }

    /** Describes the orders, for a dump. */
    dumpState(): Record<string, unknown> {
        return {
            stage: this.#stage,
            fence: this.#held?.lease.fence,
            missing: this.#findMissing(),
            hasSlot: this.#hasSlot,
        };
    }

    get #leaseKey(): string {
        return `orders/leases/${this.#spec.name}`;
    }

    get #leaseMilliseconds(): number {
        return this.#options.leaseMilliseconds ?? DEFAULT_LEASE;
    }

    #findMissing(): string | undefined {
        const { models } = this.#spec;
        return this.#loaded === undefined ? undefined : models.find(model => this.#loaded?.has(model) !== true);
    }

    #isLeaseUsable(now: number): boolean {
        return this.#held !== undefined && now < this.#held.until - LEAST_LEASE_SHARE * this.#leaseMilliseconds;
    }

    #giveOrder(model: string, times: OrderTimes): OrderEffect[] {
        const held = this.#held;
        // The target's state must have been read after the holder before can have given its last order.
        if (held === undefined || times.now < held.notBefore || this.#reportAskedAt < held.notBefore) {
            return [];
        }
        this.#stage = "ordering";
        return [{ kind: "order", order: { kind: "load", model, fence: held.lease.fence } }];
    }

    #handleLease(reply: PlatformReply, times: OrderTimes): OrderEffect[] {
        if (reply.kind !== "object" && reply.kind !== "missing") {
            this.#pause(times);
            return [];
        }
        const old = reply.kind === "object" ? parseBySchema(OrderLeaseSchema, reply.object.value) : undefined;
        const isOwn = old !== undefined && old.nonce === this.#held?.lease.nonce;
        const lease: OrderLease = {
            holder: this.#options.holder,
            nonce: isOwn ? old.nonce : this.#options.createNonce(),
            fence: isOwn ? old.fence : (old?.fence ?? 0) + 1,
        };
        this.#attempt = { lease, startedAt: times.now, hadHolder: old !== undefined && !isOwn };
        this.#stage = "writing-lease";
        const value = JSON.stringify(lease);
        const request: PlatformRequest = reply.kind === "object"
            ? { kind: "replace", key: this.#leaseKey, value, version: reply.object.version }
            : { kind: "create", key: this.#leaseKey, value };
        return [{ kind: "platform", request }];
    }

    #handleLeaseWritten(reply: PlatformReply, times: OrderTimes): void {
        const attempt = this.#attempt;
        if (reply.kind !== "done" || attempt === undefined) {
            // A lost answer is settled by the next reading: the nonce is not this one's, so a higher number is taken.
            this.#pause(times);
            return;
        }
        const isSame = attempt.lease.nonce === this.#held?.lease.nonce;
        const wait = attempt.hadHolder && !this.#spec.checksFencing ? this.#computeWait() : 0;
        this.#held = {
            lease: attempt.lease,
            until: attempt.startedAt + this.#leaseMilliseconds,
            notBefore: isSame ? this.#held?.notBefore ?? 0 : times.now + wait,
        };
        this.#stage = "idle";
    }

    /** Time in which the holder before may still give an order, in milliseconds. */
    #computeWait(): number {
        return this.#leaseMilliseconds + (this.#options.maxPauseMilliseconds ?? DEFAULT_MAX_PAUSE);
    }

    #follow(stage: Stage, move: { step: SlotStep; times: OrderTimes; }): OrderEffect[] {
        const { step, times } = move;
        if (step.kind === "call") {
            this.#stage = stage;
            return [{ kind: "platform", request: step.request }];
        }
        if (step.kind === "later") {
            this.#pause(times);
            return [];
        }
        this.#hasSlot = step.kind === "taken";
        this.#stage = "idle";
        return [];
    }

    #pause(times: OrderTimes): void {
        this.#stage = "idle";
        this.#notBefore = times.now + RETRY_PAUSE;
    }
}
