/**
 * Sends model load orders to the targets that this instance owns.
 *
 * @module
 */
import type { RoutedTarget } from "../inventory/mod.ts";
import { type OrderEffect, type OrderTimes, TargetModelReconciler } from "../orders/mod.ts";
import type { AgentOptions } from "./agent_options.ts";
import type { Outbox } from "./outbox.ts";

/** Dependencies of {@linkcode OrderDispatcher} on the rest of the agent. */
export interface OrderDispatcherContext {
    /** Options of the agent. */
    options: AgentOptions;
    /** Collects the effects of the agent. */
    outbox: Outbox;
    /** Finds a target in the configuration in force. */
    findTarget: (name: string) => RoutedTarget | undefined;
}

const DEFAULT_MAX_LOADS = 2;

/** Runs a reconciler for each owned target that reports its models. */
export class OrderDispatcher {
    readonly #context: OrderDispatcherContext;
    readonly #reconcilers = new Map<string, TargetModelReconciler>();

    constructor(context: OrderDispatcherContext) {
        this.#context = context;
    }

    /** Handles the models that an owned target reports as loaded. */
    handleReport(target: RoutedTarget, report: { models: readonly string[]; askedAt: number; }): void {
        const { options } = this.#context;
        const reconciler = this.#reconcilers.get(target.name) ?? new TargetModelReconciler(target, {
            holder: options.self.id,
            createNonce: options.createId,
            maxLoads: options.maxLoads ?? DEFAULT_MAX_LOADS,
            ...options.orders,
        });
        this.#reconcilers.set(target.name, reconciler);
        reconciler.setSpec(target);
        reconciler.handleReport(report.models, report.askedAt);
    }

    /** Removes the reconcilers of targets that are no longer owned, and advances the others. */
    handleTick(owned: ReadonlySet<string>): void {
        for (const [name, reconciler] of this.#reconcilers) {
            if (!owned.has(name)) {
                this.#reconcilers.delete(name);
                continue;
            }
            this.#applyEffects(name, reconciler.handleTick(this.#times));
        }
    }

    /** Describes the reconcilers for a state dump. */
    dumpState(): Record<string, unknown> {
        return Object.fromEntries([...this.#reconcilers].map(([name, reconciler]) => [name, reconciler.dumpState()]));
    }

    get #times(): OrderTimes {
        const { clock } = this.#context.options;
        return { now: clock.getMonotonic(), wallTime: clock.getWallTime() };
    }

    #applyEffects(name: string, effects: readonly OrderEffect[]): void {
        const { outbox, findTarget } = this.#context;
        const reconciler = this.#reconcilers.get(name);
        const target = findTarget(name);
        if (reconciler === undefined || target === undefined) {
            return;
        }
        for (const effect of effects) {
            if (effect.kind === "platform") {
                outbox.callPlatform(
                    effect.request,
                    reply => this.#applyEffects(name, reconciler.handleReply(reply, this.#times)),
                );
            }
            else {
                outbox.logChange("order sent", { target: name, ...effect.order });
                outbox.orderTarget(
                    target.address,
                    effect.order,
                    result => reconciler.handleOrderResult(result, this.#times),
                );
            }
        }
    }
}
