/**
 * Gives orders to the targets that this instance owns.
 *
 * @module
 */
import type { RoutedTarget } from "../inventory/mod.ts";
import { type OrderEffect, type OrderTimes, TargetOrders } from "../orders/mod.ts";
import type { AgentOptions } from "./agent_options.ts";
import type { Outbox } from "./outbox.ts";

/** What the desk needs of the rest of the agent. */
export interface OrderDeskContext {
    /** Options of the agent. */
    options: AgentOptions;
    /** Collector of effects. */
    outbox: Outbox;
    /** Finds a target in the configuration in force. */
    findTarget: (name: string) => RoutedTarget | undefined;
}

const DEFAULT_MAX_LOADS = 2;

/** Keeps the orders of each owned target that reports its models. */
export class OrderDesk {
    readonly #context: OrderDeskContext;
    readonly #orders = new Map<string, TargetOrders>();

    constructor(context: OrderDeskContext) {
        this.#context = context;
    }

    /** Takes the models that an owned target reports to hold. */
    handleReport(target: RoutedTarget, report: { models: readonly string[]; askedAt: number; }): void {
        const { options } = this.#context;
        const orders = this.#orders.get(target.name) ?? new TargetOrders(target, {
            holder: options.self.id,
            createNonce: options.createId,
            maxLoads: options.maxLoads ?? DEFAULT_MAX_LOADS,
            ...options.orders,
        });
        this.#orders.set(target.name, orders);
        orders.setSpec(target);
        orders.handleReport(report.models, report.askedAt);
    }

    /** Drops the orders of targets that are no longer owned, and starts what is due for the others. */
    handleTick(owned: ReadonlySet<string>): void {
        for (const [name, orders] of this.#orders) {
            if (!owned.has(name)) {
                this.#orders.delete(name);
                continue;
            }
            this.#apply(name, orders.handleTick(this.#times));
        }
    }

    /** Describes the orders, for a dump. */
    dumpState(): Record<string, unknown> {
        return Object.fromEntries([...this.#orders].map(([name, orders]) => [name, orders.dumpState()]));
    }

    get #times(): OrderTimes {
        const { clock } = this.#context.options;
        return { now: clock.getMonotonic(), wallTime: clock.getWallTime() };
    }

    #apply(name: string, effects: readonly OrderEffect[]): void {
        const { outbox, findTarget } = this.#context;
        const orders = this.#orders.get(name);
        const target = findTarget(name);
        if (orders === undefined || target === undefined) {
            return;
        }
        for (const effect of effects) {
            if (effect.kind === "platform") {
                outbox.callPlatform(effect.request, reply => this.#apply(name, orders.handleReply(reply, this.#times)));
            }
            else {
                outbox.logChange("order given", { target: name, ...effect.order });
                outbox.orderTarget(target.address, effect.order, reply => orders.handleOrderReply(reply, this.#times));
            }
        }
    }
}
