/**
 * A simulated fleet in virtual time, with the rules of its operators.
 *
 * @module
 */
import { hashText, RendezvousHash } from "../../core/hashing/mod.ts";
import type { Inventory, Rule } from "../../core/inventory/mod.ts";
import { BAGMATI, createInventory } from "../../support/fixtures/inventories.ts";
import {
    CoreSimulation,
    type SimulatedNode,
    type SimulatedTarget,
    type SimulatedTargetOptions,
} from "../../support/simulation/mod.ts";

/** Options of a {@linkcode SimulatedFleet}. */
export interface SimulatedFleetOptions {
    /** Number of instances; a node of the simulation is one instance. */
    nodes: number;
    /** Number of engines. */
    engines: number;
    /** Seed of all random numbers. */
    seed: number;
    /** Options of targets that accept orders to load models. Defaults to targets that accept no orders. */
    targetOptions?: Pick<SimulatedTargetOptions, "models" | "checksFencing" | "loadMilliseconds">;
    /** Time for which a target is cold after a restart, in milliseconds. Defaults to 6000. */
    coldMilliseconds?: number;
}

/** Time after which all instances of a new simulation serve, in milliseconds. */
const WARM_UP_MILLISECONDS = 9000;
/** Number of claim shards; the default of the agents. */
const CLAIM_SHARDS = 8;
/** Durations of the leases that allow instances to send orders; short, to keep the scenarios short. */
const ORDER_LEASE_OPTIONS = { leaseMilliseconds: 6000, maxPauseMilliseconds: 8000 };
/** Maximum number of requests that a cold target of the simulation may hold. */
export const MAX_COLD_REQUESTS = 2;

/** Simulated instances and targets, with the inventory and the rules that were applied to them. */
export class SimulatedFleet {
    readonly simulation: CoreSimulation;
    readonly inventory: Inventory;
    /** Rules of the operators that apply now. */
    rules: Rule[] = [];
    /** Virtual time at which the last change of the configuration was accepted, in milliseconds. */
    acceptedAt = 0;

    constructor(options: SimulatedFleetOptions) {
        const { nodes, seed, coldMilliseconds = 6000 } = options;
        const engines = Array.from({ length: options.engines }, (_unused, index) => `10.0.0.${index + 1}:80`);
        const inventory = createInventory(BAGMATI, { engines, services: [] });
        const checksFencing = options.targetOptions?.checksFencing ?? false;
        this.inventory = { ...inventory, targets: inventory.targets.map(each => ({ ...each, checksFencing })) };
        const target = {
            coldConcurrent: MAX_COLD_REQUESTS,
            coldMilliseconds,
            lagMilliseconds: 1000,
            ...options.targetOptions,
        };
        this.simulation = new CoreSimulation({
            nodes,
            seed,
            inventory: this.inventory,
            target,
            orders: ORDER_LEASE_OPTIONS,
        });
        this.simulation.runFor(WARM_UP_MILLISECONDS);
    }

    /** Gets the node of the instance with `number`, counted from 1. @throws {Error} If there is none. */
    getNode(number: number): SimulatedNode {
        const node = this.simulation.nodes[number - 1];
        if (node === undefined) {
            throw new Error(`Cannot run the step: there is no instance ${number}.`);
        }
        return node;
    }

    /** Gets the engine with `number`, counted from 1. @throws {Error} If there is none. */
    getEngine(number: number): SimulatedTarget {
        const target = this.simulation.targets.get(`10.0.0.${number}:80`);
        if (target === undefined) {
            throw new Error(`Cannot run the step: there is no engine ${number}.`);
        }
        return target;
    }

    /** Finds the node that owns the engine with `number`. @throws {Error} If no node is up. */
    findEngineOwner(number: number): SimulatedNode {
        return this.#findOwner(`engine-${number}`);
    }

    /** Finds the node that owns the claim shard of `key`. @throws {Error} If no node is up. */
    findShardOwner(key: string): SimulatedNode {
        const shard = String(hashText(key) % CLAIM_SHARDS).padStart(3, "0");
        return this.#findOwner(`claims/${shard}`);
    }

    /** Gets the nodes that a list of instance numbers such as "1,2" names. @throws {Error} If one does not exist. */
    listNodes(text: string): SimulatedNode[] {
        return text.split(",").filter(part => part !== "").map(part => this.getNode(Number(part)));
    }

    /** Adds a rule to the configuration, as an operator would. */
    applyRule(rule: Rule): void {
        this.rules.push(rule);
        this.applyRules();
    }

    /** Applies the inventory with the current rules, as an operator would. */
    applyRules(): void {
        if (this.simulation.applyInventory({ ...this.inventory, rules: this.rules }) > 0) {
            this.acceptedAt = this.simulation.now;
        }
    }

    #findOwner(name: string): SimulatedNode {
        const up = this.simulation.nodes.filter(node => node.isUp).map(node => node.id);
        const owner = new RendezvousHash(up).chooseOwner(name);
        const node = this.simulation.nodes.find(each => each.id === owner);
        if (node === undefined) {
            throw new Error(`Cannot run the step: no instance owns "${name}".`);
        }
        return node;
    }
}
