/**
 * Reconciles the models that one target has loaded with those that it should have, on behalf of its owner.
 *
 * The owner sends an order for each missing model. It must hold the target's lease, a stored object whose conditional
 * update gives each new holder a higher fencing token. If the target checks fencing tokens, a new holder sends orders
 * at once. If it ignores them, the new holder first waits until the previous lease has expired and the longest expected
 * process pause has passed, and then reads the target's models again. Each load also needs a slot, because the whole
 * fleet loads from one weight store.
 *
 * @module
 */
import { parseBySchema, type PlatformReply, type PlatformRequest } from "../platform/mod.ts";
import { ModelLoadSlot, type SlotStep } from "./model_load_slot.ts";
import {
    type ModelOrder,
    type OrderLease,
    OrderLeaseSchema,
    type OrderResult,
    type OrderTimes,
} from "./order_types.ts";

/** The target to reconcile, and its desired state. */
export interface TargetModelSpec {
    /** Name of the target. */
    name: string;
    /** Models that the target should have loaded. */
    models: readonly string[];
    /** True if the target refuses orders with an outdated fencing token. */
    checksFencing: boolean;
}

/** Options of {@linkcode TargetModelReconciler}. */
export interface TargetModelReconcilerOptions {
    /** Name of this instance. */
    holder: string;
    /** Creates a unique identifier for a lease. */
    createNonce: () => string;
    /** Maximum number of model loads that may run at one time in the fleet. */
    maxLoads: number;
    /** Time for which a lease allows its holder to send orders, in milliseconds. Defaults to 15 000. */
    leaseMilliseconds?: number;
    /** Maximum process pause that a lease takeover allows for, in milliseconds. Defaults to 30 000. */
    maxPauseMilliseconds?: number;
}

/** An action that the caller carries out: a call to the platform's store, or an order to the target. */
export type OrderEffect =
    | { kind: "platform"; request: PlatformRequest; }
    | { kind: "order"; order: ModelOrder; };

interface HeldLease {
    lease: OrderLease;
    /** Time from which the lease no longer allows orders. */
    expiresAt: number;
    /** Time before which no order may be sent, because the previous holder may still send one. */
    notBefore: number;
}

/** Reply or event that the reconciler waits for; part of state dumps. */
type Stage = "idle" | "reading-lease" | "writing-lease" | "taking-slot" | "ordering" | "loading" | "releasing-slot";

const DEFAULT_LEASE_MILLISECONDS = 15_000;
const DEFAULT_MAX_PAUSE_MILLISECONDS = 30_000;
const RETRY_DELAY_MILLISECONDS = 1000;
/** Time after which an accepted order is sent again if its model is still missing, in milliseconds. */
const LOAD_TIMEOUT_MILLISECONDS = 300_000;
/** Share of a lease that must remain when an order is sent. */
const MIN_REMAINING_LEASE_SHARE = 0.3;

/** Reconciles the models of one target. */
export class TargetModelReconciler {
    readonly #options: TargetModelReconcilerOptions;
    readonly #slot: ModelLoadSlot;
    #spec: TargetModelSpec;
    /** Models of the target's last load report; `undefined` until one has arrived. */
    #loadedModels: ReadonlySet<string> | undefined;
    #reportRequestedAt = -Infinity;
    #stage: Stage = "idle";
    #heldLease: HeldLease | undefined;
    /** Write of the lease that the store has not confirmed yet. */
    #leaseWrite: { lease: OrderLease; startedAt: number; hadOtherHolder: boolean; } | undefined;
    #hasSlot = false;
    #nextAttemptAt = 0;
    #loadDeadline = 0;

    constructor(spec: TargetModelSpec, options: TargetModelReconcilerOptions) {
        this.#spec = spec;
        this.#options = options;
        this.#slot = new ModelLoadSlot(spec.name, { maxLoads: options.maxLoads });
    }

    /** Replaces the desired state of the target. */
    setSpec(spec: TargetModelSpec): void {
        this.#spec = spec;
    }

    /** Records the models that the target has reported as loaded, in response to a poll sent at `askedAt`. */
    handleReport(models: readonly string[], askedAt: number): void {
        this.#loadedModels = new Set(models);
        this.#reportRequestedAt = askedAt;
    }

    /** Starts the next action, unless a call, an order or a load is still in progress. */
    handleTick(times: OrderTimes): OrderEffect[] {
        const model = this.#findMissingModel();
        if (this.#stage === "loading" && (model === undefined || times.now >= this.#loadDeadline)) {
            this.#stage = "idle";
        }
        if (this.#stage !== "idle" || times.now < this.#nextAttemptAt) {
            return [];
        }
        if (model === undefined) {
            return this.#hasSlot
                ? this.#applySlotStep("releasing-slot", { step: this.#slot.startReleasing(), times })
                : [];
        }
        if (!this.#isLeaseUsable(times.now)) {
            this.#stage = "reading-lease";
            return [{ kind: "platform", request: { kind: "read", key: this.#leaseKey } }];
        }
        if (!this.#hasSlot) {
            return this.#applySlotStep("taking-slot", { step: this.#slot.startAcquiring(), times });
        }
        return this.#sendOrder(model, times);
    }

    /** Handles the platform's reply to the last call. */
    handleReply(reply: PlatformReply, times: OrderTimes): OrderEffect[] {
        if (this.#stage === "reading-lease") {
            return this.#handleLease(reply, times);
        }
        if (this.#stage === "writing-lease") {
            this.#handleLeaseWritten(reply, times);
            return [];
        }
        if (this.#stage === "taking-slot" || this.#stage === "releasing-slot") {
            return this.#applySlotStep(this.#stage, { step: this.#slot.handleReply(reply, times), times });
        }
        return [];
    }

    /** Handles the result of the last order. */
    handleOrderResult(result: OrderResult, times: OrderTimes): void {
        if (result === "accepted") {
            this.#stage = "loading";
            this.#loadDeadline = times.now + LOAD_TIMEOUT_MILLISECONDS;
            return;
        }
        if (result === "stale") {
            this.#heldLease = undefined;
        }
        this.#scheduleRetry(times);
    }

    /** Describes the reconciler for a state dump. */
    dumpState(): Record<string, unknown> {
        return {
            stage: this.#stage,
            fence: this.#heldLease?.lease.fence,
            missing: this.#findMissingModel(),
            hasSlot: this.#hasSlot,
        };
    }

    get #leaseKey(): string {
        return `orders/leases/${this.#spec.name}`;
    }

    get #leaseMilliseconds(): number {
        return this.#options.leaseMilliseconds ?? DEFAULT_LEASE_MILLISECONDS;
    }

    #findMissingModel(): string | undefined {
        const { models } = this.#spec;
        return this.#loadedModels === undefined
            ? undefined
            : models.find(model => this.#loadedModels?.has(model) !== true);
    }

    #isLeaseUsable(now: number): boolean {
        return this.#heldLease !== undefined
            && now < this.#heldLease.expiresAt - MIN_REMAINING_LEASE_SHARE * this.#leaseMilliseconds;
    }

    #sendOrder(model: string, times: OrderTimes): OrderEffect[] {
        const held = this.#heldLease;
        // The target's models must have been read after the previous holder can have sent its last order.
        if (held === undefined || times.now < held.notBefore || this.#reportRequestedAt < held.notBefore) {
            return [];
        }
        this.#stage = "ordering";
        return [{ kind: "order", order: { kind: "load", model, fence: held.lease.fence } }];
    }

    #handleLease(reply: PlatformReply, times: OrderTimes): OrderEffect[] {
        if (reply.kind !== "object" && reply.kind !== "missing") {
            this.#scheduleRetry(times);
            return [];
        }
        const storedLease = reply.kind === "object" ? parseBySchema(OrderLeaseSchema, reply.object.value) : undefined;
        const isOwnLease = storedLease !== undefined && storedLease.nonce === this.#heldLease?.lease.nonce;
        const lease: OrderLease = {
            holder: this.#options.holder,
            nonce: isOwnLease ? storedLease.nonce : this.#options.createNonce(),
            fence: isOwnLease ? storedLease.fence : (storedLease?.fence ?? 0) + 1,
        };
        this.#leaseWrite = { lease, startedAt: times.now, hadOtherHolder: storedLease !== undefined && !isOwnLease };
        this.#stage = "writing-lease";
        const value = JSON.stringify(lease);
        const request: PlatformRequest = reply.kind === "object"
            ? { kind: "replace", key: this.#leaseKey, value, version: reply.object.version }
            : { kind: "create", key: this.#leaseKey, value };
        return [{ kind: "platform", request }];
    }

    #handleLeaseWritten(reply: PlatformReply, times: OrderTimes): void {
        const leaseWrite = this.#leaseWrite;
        if (reply.kind !== "done" || leaseWrite === undefined) {
            // If only the reply was lost, the next read finds a nonce that is not held here and takes a higher fencing
            // token.
            this.#scheduleRetry(times);
            return;
        }
        const isSame = leaseWrite.lease.nonce === this.#heldLease?.lease.nonce;
        const delay = leaseWrite.hadOtherHolder && !this.#spec.checksFencing ? this.#computeTakeoverDelay() : 0;
        this.#heldLease = {
            lease: leaseWrite.lease,
            expiresAt: leaseWrite.startedAt + this.#leaseMilliseconds,
            notBefore: isSame ? this.#heldLease?.notBefore ?? 0 : times.now + delay,
        };
        this.#stage = "idle";
    }

    /** Computes the time for which the previous holder may still send an order, in milliseconds. */
    #computeTakeoverDelay(): number {
        return this.#leaseMilliseconds + (this.#options.maxPauseMilliseconds ?? DEFAULT_MAX_PAUSE_MILLISECONDS);
    }

    #applySlotStep(stage: Stage, context: { step: SlotStep; times: OrderTimes; }): OrderEffect[] {
        const { step, times } = context;
        if (step.kind === "call") {
            this.#stage = stage;
            return [{ kind: "platform", request: step.request }];
        }
        if (step.kind === "retry") {
            this.#scheduleRetry(times);
            return [];
        }
        this.#hasSlot = step.kind === "acquired";
        this.#stage = "idle";
        return [];
    }

    #scheduleRetry(times: OrderTimes): void {
        this.#stage = "idle";
        this.#nextAttemptAt = times.now + RETRY_DELAY_MILLISECONDS;
    }
}
