/**
 * Checks the guarantees in random sequences of faults and requests, which fast-check generates and shrinks.
 *
 * Each command applies one fault or starts requests, lets virtual time pass, and then checks the guarantees.
 *
 * @module
 */
import fc from "fast-check";
import type { Inventory } from "../../core/inventory/mod.ts";
import { BAGMATI, createInventory } from "../../support/fixtures/inventories.ts";
import { CoreSimulation, type SimulatedNode } from "../../support/simulation/mod.ts";

/** State that a run tracks in addition to the simulation, to check the guarantees. */
export interface FaultModel {
    /** Zone that is withdrawn; empty if there is none. */
    withdrawnZone: string;
    /** Virtual time at which the withdrawal was accepted, in milliseconds. */
    withdrawnAt: number;
    /** Inventory without rules. */
    inventory: Inventory;
}

/** System under test, in fast-check's terms. */
type Real = CoreSimulation;
type FaultCommand = fc.Command<FaultModel, Real>;

const NODE_COUNT = 7;
const ENGINE_COUNT = 6;
/** Time after its withdrawal from which a zone must get no new requests, in milliseconds. */
const CONFIGURATION_DEADLINE_MILLISECONDS = 3000;
const TARGET_OPTIONS = { coldConcurrent: 2, coldMilliseconds: 6000, lagMilliseconds: 1000 };

/** Builds a simulation whose instances all serve, and the model of a run without faults. */
export function createFaultSimulation(seed: number): { simulation: CoreSimulation; model: FaultModel; } {
    const engines = Array.from({ length: ENGINE_COUNT }, (_unused, index) => `10.0.0.${index + 1}:80`);
    const inventory = createInventory(BAGMATI, { engines, services: [] });
    const simulation = new CoreSimulation({ nodes: NODE_COUNT, seed, inventory, target: TARGET_OPTIONS });
    simulation.runFor(9000);
    return { simulation, model: { withdrawnZone: "", withdrawnAt: 0, inventory } };
}

function pickNode(simulation: CoreSimulation, index: number): SimulatedNode {
    const node = simulation.nodes[index % simulation.nodes.length];
    if (node === undefined) {
        throw new Error("Cannot pick a node: the simulation has none.");
    }
    return node;
}

/** Checks the guarantees. @throws {Error} With the violations and the trace, if a guarantee is violated. */
export function checkGuarantees(model: FaultModel, simulation: CoreSimulation): void {
    const problems = [...simulation.violations];
    if (model.withdrawnZone !== "") {
        for (const target of model.inventory.targets.filter(each => each.zone === model.withdrawnZone)) {
            const lastStart = simulation.targets.get(target.address)?.lastRequestStartedAt ?? 0;
            if (lastStart > model.withdrawnAt + CONFIGURATION_DEADLINE_MILLISECONDS) {
                problems.push(
                    `${target.name} started a request ${
                        Math.round(lastStart - model.withdrawnAt)
                    } ms after its withdrawal`,
                );
            }
        }
    }
    if (problems.length > 0) {
        throw new Error([...problems, "trace:", ...simulation.trace.slice(-60)].join("\n"));
    }
}

/** A fault, or another action on the simulated fleet. */
interface SimulationAction {
    /** Description for the trace and for the report of a failing sequence. */
    label: string;
    /** Carries out the action. */
    apply: (model: FaultModel, simulation: CoreSimulation) => void;
}

/** Builds a command that applies `action` and then lets `delay` milliseconds pass. */
function createCommand(action: SimulationAction, delay: number): FaultCommand {
    const label = `${action.label}, then ${delay} ms`;
    return {
        check: () => true,
        run: (model, simulation) => {
            simulation.recordTrace(action.label);
            action.apply(model, simulation);
            simulation.runFor(delay);
            checkGuarantees(model, simulation);
        },
        toString: () => label,
    };
}

/** Sends `count` requests from every instance to one engine. */
function runBurst(simulation: CoreSimulation, burst: { target: number; count: number; duration: number; }): void {
    for (const node of simulation.nodes) {
        for (let count = 0; count < burst.count; count += 1) {
            simulation.requestPermit(node, {
                target: `engine-${burst.target % ENGINE_COUNT + 1}`,
                duration: burst.duration,
            });
        }
    }
}

/** Withdraws only `zone`, or no zone if `zone` is empty; does nothing if the platform is down. */
function applyWithdrawal(model: FaultModel, options: { simulation: CoreSimulation; zone: string; }): void {
    const { simulation, zone } = options;
    if (simulation.platform.isDown) {
        return;
    }
    const rules = zone === "" ? [] : [{ name: "withdraw-zone", action: "withdraw" as const, zone }];
    if (simulation.applyInventory({ ...model.inventory, rules }) > 0) {
        model.withdrawnZone = zone;
        model.withdrawnAt = simulation.now;
    }
}

/** Partitions the nodes with `indices` from the others, and removes the previous partition. */
function applyPartition(simulation: CoreSimulation, indices: readonly number[]): void {
    simulation.network.removePartitions();
    indices.forEach(index => simulation.network.setPartition(pickNode(simulation, index).id, 1));
}

const nodeIndex = fc.integer({ min: 0, max: NODE_COUNT - 1 });
const minority = fc.uniqueArray(nodeIndex, { maxLength: 3 });
const zoneName = fc.constantFrom("", ...BAGMATI.zones);

/** Builds the actions of one kind on any one node. */
function createNodeAction(
    name: string,
    apply: (simulation: CoreSimulation, node: SimulatedNode) => void,
): fc.Arbitrary<SimulationAction> {
    return nodeIndex.map(index => ({
        label: `${name} ${index}`,
        apply: (_model, simulation) => apply(simulation, pickNode(simulation, index)),
    }));
}

/** Builds the actions that set one property of the platform or the network to one of `values`. */
function createSettingAction<Value>(
    name: string,
    options: { values: readonly Value[]; apply: (simulation: CoreSimulation, value: Value) => void; },
): fc.Arbitrary<SimulationAction> {
    return fc.constantFrom(...options.values).map(value => ({
        label: `${name} ${String(value)}`,
        apply: (_model, simulation) => options.apply(simulation, value),
    }));
}

const engineIndex = fc.integer({ min: 0, max: ENGINE_COUNT - 1 });

const claims = fc.tuple(nodeIndex, fc.integer({ min: 0, max: 9 })).map(([index, key]) => ({
    label: `claim key-${key} through ${index}`,
    apply: (_model: FaultModel, simulation: CoreSimulation) =>
        void simulation.requestClaim(pickNode(simulation, index), `key-${key}`),
}));

const bursts = fc.record({
    target: engineIndex,
    count: fc.integer({ min: 1, max: 4 }),
    duration: fc.integer({ min: 50, max: 9000 }),
}).map(burst => ({
    label: `burst ${JSON.stringify(burst)}`,
    apply: (_model: FaultModel, simulation: CoreSimulation) => runBurst(simulation, burst),
}));

const targetRestarts = engineIndex.map(index => ({
    label: `restart target ${index}`,
    apply: (_model: FaultModel, simulation: CoreSimulation) => simulation.restartTarget(`10.0.0.${index + 1}:80`),
}));

/** Faults in which a target returns no load reports. */
const reportOutages = fc.tuple(engineIndex, fc.boolean()).map(([index, areReportsSuppressed]) => ({
    label: `load reports of target ${index} suppressed: ${areReportsSuppressed}`,
    apply: (_model: FaultModel, simulation: CoreSimulation) => {
        const target = simulation.targets.get(`10.0.0.${index + 1}:80`);
        if (target !== undefined) {
            target.suppressesReports = areReportsSuppressed;
        }
    },
}));

const withdrawals = zoneName.map(name => ({
    label: `withdraw "${name}"`,
    apply: (model: FaultModel, simulation: CoreSimulation) => applyWithdrawal(model, { simulation, zone: name }),
}));

const partitions = minority.map(indices => ({
    label: `partition ${indices.join(",")}`,
    apply: (_model: FaultModel, simulation: CoreSimulation) => applyPartition(simulation, indices),
}));

const platformOutages = minority.map(indices => ({
    label: `platform unreachable from ${indices.join(",")}`,
    apply: (_model: FaultModel, simulation: CoreSimulation) => {
        simulation.platform.disconnectedNodes.clear();
        indices.forEach(index => simulation.platform.disconnectedNodes.add(pickNode(simulation, index).id));
    },
}));

const nodeStarts = createNodeAction("start", (simulation, node) => {
    if (!node.isUp) {
        simulation.startNode(node);
    }
});

/** All actions, each kind with the weight with which it is chosen. */
const ACTIONS: fc.Arbitrary<SimulationAction> = fc.oneof(
    { weight: 10, arbitrary: claims },
    { weight: 10, arbitrary: bursts },
    { weight: 3, arbitrary: targetRestarts },
    { weight: 1, arbitrary: reportOutages },
    { weight: 3, arbitrary: withdrawals },
    { weight: 3, arbitrary: createNodeAction("kill", (simulation, node) => simulation.stopNode(node)) },
    { weight: 4, arbitrary: nodeStarts },
    { weight: 3, arbitrary: createNodeAction("pause", (simulation, node) => simulation.pauseNode(node)) },
    { weight: 4, arbitrary: createNodeAction("resume", (simulation, node) => simulation.resumeNode(node)) },
    { weight: 3, arbitrary: partitions },
    { weight: 2, arbitrary: platformOutages },
    {
        weight: 2,
        arbitrary: createSettingAction("platform down", {
            values: [true, false, false],
            apply: (simulation, isDown) => void (simulation.platform.isDown = isDown),
        }),
    },
    {
        weight: 2,
        arbitrary: createSettingAction("share of lost responses to writes", {
            values: [0, 0.3, 0.9],
            apply: (simulation, share) => void (simulation.platform.lostShare = share),
        }),
    },
    {
        weight: 2,
        arbitrary: createSettingAction("greatest platform delay", {
            values: [8, 400, 1500],
            apply: (simulation, maxDelay) => void (simulation.platform.maxDelay = maxDelay),
        }),
    },
    {
        weight: 1,
        arbitrary: createSettingAction("stale reads", {
            values: [true, false],
            apply: (simulation, isStale) => void (simulation.platform.isStale = isStale),
        }),
    },
    {
        weight: 1,
        arbitrary: createSettingAction("share of dropped messages", {
            values: [0, 0, 0.1, 0.4],
            apply: (simulation, share) => void (simulation.network.dropProbability = share),
        }),
    },
    {
        weight: 1,
        arbitrary: createSettingAction("share of duplicated messages", {
            values: [0, 0.3],
            apply: (simulation, share) => void (simulation.network.duplicateProbability = share),
        }),
    },
    {
        weight: 1,
        arbitrary: createSettingAction("greatest message delay", {
            values: [5, 5, 300, 3000],
            apply: (simulation, maxDelay) => void (simulation.network.maxDelay = maxDelay),
        }),
    },
);

/** Time from one action to the next, in milliseconds. */
const delays = fc.oneof(
    { weight: 4, arbitrary: fc.integer({ min: 0, max: 30 }) },
    { weight: 3, arbitrary: fc.integer({ min: 30, max: 800 }) },
    { weight: 2, arbitrary: fc.integer({ min: 800, max: 6000 }) },
);

const faultCommands = fc.tuple(ACTIONS, delays).map(([action, delay]) => createCommand(action, delay));

/** Options of {@linkcode checkFaultSequences}. */
export interface FaultSequenceOptions {
    /** Seed of the generated sequences. */
    seed: number;
    /** Number of sequences. */
    runs: number;
    /** Maximum number of commands in a sequence. Defaults to 60. */
    maxCommands?: number;
}

/**
 * Checks the guarantees after every command of many random sequences of faults.
 *
 * @throws {Error} With the seed, the shortest failing sequence, and its trace, if a guarantee is violated.
 */
export function checkFaultSequences(options: FaultSequenceOptions): void {
    const { seed, runs, maxCommands = 60 } = options;
    const property = fc.property(
        fc.integer(),
        fc.commands([faultCommands], { maxCommands, size: "max" }),
        (simulationSeed, commands) => {
            fc.modelRun(() => {
                const { simulation, model } = createFaultSimulation(simulationSeed);
                return { model, real: simulation };
            }, commands);
        },
    );
    fc.assert(property, { seed, numRuns: runs, endOnFailure: false });
}
