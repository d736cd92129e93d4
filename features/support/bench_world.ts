/**
 * What the steps in virtual time share.
 *
 * @module
 */
import { hashText, RendezvousHash } from "../../core/hashing/mod.ts";
import type { Inventory, Rule } from "../../core/inventory/mod.ts";
import { type BenchNode, type BenchTarget, type BenchTargetOptions, CoreBench } from "../../support/bench/mod.ts";
import { BAGMATI, createInventory } from "../../support/fixtures/inventories.ts";

/** Options of a {@linkcode BenchWorld}. */
export interface BenchWorldOptions {
    /** Number of instances. */
    nodes: number;
    /** Number of engines. */
    engines: number;
    /** Seed of all random numbers. */
    seed: number;
    /** What the targets hold and check, where they take orders. Defaults to targets that take none. */
    orders?: Pick<BenchTargetOptions, "models" | "checksFencing" | "loadMilliseconds">;
    /** Time for which a target is cold after a restart, in milliseconds. Defaults to 6000. */
    coldMilliseconds?: number;
}

/** Time in which all instances of a new bench serve, in milliseconds. */
const WARM_UP = 9000;
const CLAIM_SHARDS = 8;
/** Times of the leases on orders; short, so that scenarios end soon. */
const ORDER_TIMES = { leaseMilliseconds: 6000, maxPauseMilliseconds: 8000 };
/** Requests that a cold target of the bench bears. */
export const BENCH_COLD_CONCURRENT = 2;

/** A bench with what was done to it. */
export class BenchWorld {
    readonly bench: CoreBench;
    readonly inventory: Inventory;
    rules: Rule[] = [];
    acceptedAt = 0;

    constructor(options: BenchWorldOptions) {
        const { nodes, seed, coldMilliseconds = 6000 } = options;
        const engines = Array.from({ length: options.engines }, (_unused, index) => `10.0.0.${index + 1}:80`);
        const inventory = createInventory(BAGMATI, { engines, services: [] });
        const checksFencing = options.orders?.checksFencing ?? false;
        this.inventory = { ...inventory, targets: inventory.targets.map(each => ({ ...each, checksFencing })) };
        const target = {
            coldConcurrent: BENCH_COLD_CONCURRENT,
            coldMilliseconds,
            lagMilliseconds: 1000,
            ...options.orders,
        };
        this.bench = new CoreBench({ nodes, seed, inventory: this.inventory, target, orders: ORDER_TIMES });
        this.bench.runFor(WARM_UP);
    }

    /** Gets the instance with `number`, counted from 1. */
    getNode(number: number): BenchNode {
        const node = this.bench.nodes[number - 1];
        if (node === undefined) {
            throw new Error(`Cannot go on: there is no instance ${number}.`);
        }
        return node;
    }

    /** Gets the engine with `number`, counted from 1. */
    getEngine(number: number): BenchTarget {
        const target = this.bench.targets.get(`10.0.0.${number}:80`);
        if (target === undefined) {
            throw new Error(`Cannot go on: there is no engine ${number}.`);
        }
        return target;
    }

    /** Finds the instance that owns the engine with `number`. */
    findEngineOwner(number: number): BenchNode {
        return this.#findOwner(`engine-${number}`);
    }

    /** Finds the instance that owns the shard of `key`. */
    findShardOwner(key: string): BenchNode {
        const shard = String(hashText(key) % CLAIM_SHARDS).padStart(3, "0");
        return this.#findOwner(`claims/${shard}`);
    }

    /** Parses a list of instances such as "1,2". */
    listNodes(text: string): BenchNode[] {
        return text.split(",").filter(part => part !== "").map(part => this.getNode(Number(part)));
    }

    /** Adds a rule, as an operator would. */
    applyRule(rule: Rule): void {
        this.rules.push(rule);
        this.applyRules();
    }

    /** Applies the rules as they are. */
    applyRules(): void {
        if (this.bench.applyInventory({ ...this.inventory, rules: this.rules }) > 0) {
            this.acceptedAt = this.bench.now;
        }
    }

    #findOwner(name: string): BenchNode {
        const up = this.bench.nodes.filter(node => node.isUp).map(node => node.id);
        const owner = new RendezvousHash(up).chooseOwner(name);
        const node = this.bench.nodes.find(each => each.id === owner);
        if (node === undefined) {
            throw new Error(`Cannot go on: nobody owns "${name}".`);
        }
        return node;
    }
}
