/**
 * The gateway's view of targets and configuration, built from its agent's messages.
 *
 * @module
 */
import type { Headroom } from "../core/admission/mod.ts";
import type { AgentToGateway } from "../core/agent/mod.ts";
import { PartStore } from "../core/configuration/mod.ts";
import {
    buildRoutingTable,
    type Inventory,
    mergeParts,
    type RoutedTarget,
    type RoutingTable,
} from "../core/inventory/mod.ts";
import { type Candidate, pickSubset } from "../core/placement/mod.ts";

/** Options of a {@linkcode RoutingState}. */
export interface RoutingStateOptions {
    /** Name of this instance. */
    instance: string;
    /** Availability zone of this instance. */
    zone: string;
    /** Maximum number of targets of one model or service that this gateway uses. Defaults to 16. */
    subsetSize?: number;
}

const DEFAULT_SUBSET_SIZE = 16;

/** Holds the configuration in force, the headroom of targets, and whether new requests may be started. */
export class RoutingState {
    readonly #options: RoutingStateOptions;
    readonly #parts = new PartStore();
    /** Latest known headroom by target name. */
    readonly #headroom = new Map<string, Headroom>();
    #inventory: Inventory = mergeParts([]);
    /** Names of the leaving targets and instances. */
    #leavingNames: ReadonlySet<string> = new Set();
    #table: RoutingTable = buildRoutingTable(mergeParts([]));
    #generation = 0;
    #notServingReason = "the agent has not been reached yet";

    constructor(options: RoutingStateOptions) {
        this.#options = options;
    }

    get table(): RoutingTable {
        return this.#table;
    }

    get generation(): number {
        return this.#generation;
    }

    /** Reason why no new request may be started; empty if it may. */
    get notServingReason(): string {
        return this.#notServingReason;
    }

    /** Applies a message from the agent. */
    handleMessage(message: AgentToGateway): void {
        if (message.kind === "configuration" && message.generation >= this.#generation) {
            this.#generation = message.generation;
            message.parts.forEach(part => this.#parts.addPart(part));
            this.#inventory = this.#parts.buildInventory(message.hashes);
            this.#updateTable();
        }
        else if (message.kind === "leaving") {
            this.#leavingNames = new Set(message.names);
            this.#updateTable();
        }
        else if (message.kind === "serving") {
            this.#notServingReason = message.isServing ? "" : message.reason;
        }
        else if (message.kind === "headroom") {
            message.items.forEach(item => this.#headroom.set(item.target, item));
        }
        else if ((message.kind === "granted" || message.kind === "refused") && message.headroom !== undefined) {
            this.#headroom.set(message.headroom.target, message.headroom);
        }
    }

    /** Stops new requests because the connection to the agent is lost. */
    handleDisconnect(): void {
        this.#notServingReason = "the agent is out of reach";
    }

    /** Finds a target by name. */
    findTarget(name: string): RoutedTarget | undefined {
        return this.#table.targets.get(name);
    }

    /**
     * Lists the targets among `names` that accept new requests, limited to this gateway's subset.
     *
     * The subset is stable and differs between instances; it bounds the state that each of them holds.
     */
    listCandidates(names: readonly string[]): Candidate[] {
        const open = names.filter(name => this.#table.targets.get(name)?.closedBy === undefined);
        const { instance, zone, subsetSize = DEFAULT_SUBSET_SIZE } = this.#options;
        return pickSubset(open, { instance, size: subsetSize }).map(name => ({
            name,
            share: this.#headroom.get(name)?.share,
            isLocal: this.#table.targets.get(name)?.zone === zone,
        }));
    }

    /** Describes the state for a state dump, without the hashes of API keys. */
    dumpState(): Record<string, unknown> {
        return {
            generation: this.#generation,
            notServing: this.#notServingReason,
            leaving: [...this.#leavingNames],
            closedTargets: [...this.#table.targets.values()]
                .filter(target => target.closedBy !== undefined)
                .map(({ name, closedBy }) => ({ name, closedBy })),
            headroom: [...this.#headroom.values()],
        };
    }

    #updateTable(): void {
        this.#table = buildRoutingTable(this.#inventory, { leaving: this.#leavingNames });
    }
}
