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

/** State that a run tracks beside the simulated instances, to check the guarantees. */
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

/** Builds a bench whose instances all serve, and the model of a run without faults yet. */
export function createFaultBench(seed: number): { bench: CoreSimulation; model: FaultModel; } {
    const engines = Array.from({ length: ENGINE_COUNT }, (_unused, index) => `10.0.0.${index + 1}:80`);
    const inventory = createInventory(BAGMATI, { engines, services: [] });
    const bench = new CoreSimulation({ nodes: NODE_COUNT, seed, inventory, target: TARGET_OPTIONS });
    bench.runFor(9000);
    return { bench, model: { withdrawnZone: "", withdrawnAt: 0, inventory } };
}

function pickNode(bench: CoreSimulation, index: number): SimulatedNode {
    const node = bench.nodes[index % bench.nodes.length];
    if (node === undefined) {
        throw new Error("Cannot pick a node: the bench has none.");
    }
    return node;
}

/** Checks the guarantees. @throws {Error} With the violations and the trace, if a guarantee is violated. */
export function checkGuarantees(model: FaultModel, bench: CoreSimulation): void {
    const problems = [...bench.violations];
    if (model.withdrawnZone !== "") {
        for (const target of model.inventory.targets.filter(each => each.zone === model.withdrawnZone)) {
            const lastStart = bench.targets.get(target.address)?.lastRequestStartedAt ?? 0;
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
        throw new Error([...problems, "trace:", ...bench.trace.slice(-60)].join("\n"));
    }
}

/** A fault, or another action on the simulated fleet. */
interface BenchAction {
    /** Description for the trace and for the report of a failing sequence. */
    label: string;
    /** Carries out the action. */
    apply: (model: FaultModel, bench: CoreSimulation) => void;
}

/** Builds a command that applies `action` and then lets `delay` milliseconds pass. */
function createCommand(action: BenchAction, delay: number): FaultCommand {
    const label = `${action.label}, then ${delay} ms`;
    return {
        check: () => true,
        run: (model, bench) => {
            bench.recordTrace(action.label);
            action.apply(model, bench);
            bench.runFor(delay);
            checkGuarantees(model, bench);
        },
        toString: () => label,
    };
}

/** Sends `count` requests from every instance to one engine. */
function runBurst(bench: CoreSimulation, burst: { target: number; count: number; duration: number; }): void {
    for (const node of bench.nodes) {
        for (let count = 0; count < burst.count; count += 1) {
            bench.requestPermit(node, {
                target: `engine-${burst.target % ENGINE_COUNT + 1}`,
                duration: burst.duration,
            });
        }
    }
}

/** Withdraws only `zone`, or no zone if it is empty; does nothing if the platform is down. */
function applyWithdrawal(model: FaultModel, options: { bench: CoreSimulation; zone: string; }): void {
    const { bench, zone } = options;
    if (bench.platform.isDown) {
        return;
    }
    const rules = zone === "" ? [] : [{ name: "withdraw-zone", action: "withdraw" as const, zone }];
    if (bench.applyInventory({ ...model.inventory, rules }) > 0) {
        model.withdrawnZone = zone;
        model.withdrawnAt = bench.now;
    }
}

/** Partitions the nodes with `indices` from the others, and ends the partition before. */
function applyPartition(bench: CoreSimulation, indices: readonly number[]): void {
    bench.network.removePartitions();
    indices.forEach(index => bench.network.setPartition(pickNode(bench, index).id, 1));
}

const nodeIndex = fc.integer({ min: 0, max: NODE_COUNT - 1 });
const minority = fc.uniqueArray(nodeIndex, { maxLength: 3 });
const zoneName = fc.constantFrom("", ...BAGMATI.zones);

/** Builds the actions of one kind on any one node. */
function createNodeAction(
    name: string,
    apply: (bench: CoreSimulation, node: SimulatedNode) => void,
): fc.Arbitrary<BenchAction> {
    return nodeIndex.map(index => ({
        label: `${name} ${index}`,
        apply: (_model, bench) => apply(bench, pickNode(bench, index)),
    }));
}

/** Builds the actions that set one property of the platform or the network to one of `values`. */
function createSettingAction<Value>(
    name: string,
    options: { values: readonly Value[]; apply: (bench: CoreSimulation, value: Value) => void; },
): fc.Arbitrary<BenchAction> {
    return fc.constantFrom(...options.values).map(value => ({
        label: `${name} ${String(value)}`,
        apply: (_model, bench) => options.apply(bench, value),
    }));
}

const engineIndex = fc.integer({ min: 0, max: ENGINE_COUNT - 1 });

const claims = fc.tuple(nodeIndex, fc.integer({ min: 0, max: 9 })).map(([index, key]) => ({
    label: `claim key-${key} through ${index}`,
    apply: (_model: FaultModel, bench: CoreSimulation) => void bench.requestClaim(pickNode(bench, index), `key-${key}`),
}));

const bursts = fc.record({
    target: engineIndex,
    count: fc.integer({ min: 1, max: 4 }),
    duration: fc.integer({ min: 50, max: 9000 }),
}).map(burst => ({
    label: `burst ${JSON.stringify(burst)}`,
    apply: (_model: FaultModel, bench: CoreSimulation) => runBurst(bench, burst),
}));

const targetRestarts = engineIndex.map(index => ({
    label: `restart target ${index}`,
    apply: (_model: FaultModel, bench: CoreSimulation) => bench.restartTarget(`10.0.0.${index + 1}:80`),
}));

/** Faults in which a target returns no load reports. */
const reportOutages = fc.tuple(engineIndex, fc.boolean()).map(([index, isMute]) => ({
    label: `load reports of target ${index} suppressed: ${isMute}`,
    apply: (_model: FaultModel, bench: CoreSimulation) => {
        const target = bench.targets.get(`10.0.0.${index + 1}:80`);
        if (target !== undefined) {
            target.suppressesReports = isMute;
        }
    },
}));

const withdrawals = zoneName.map(name => ({
    label: `withdraw "${name}"`,
    apply: (model: FaultModel, bench: CoreSimulation) => applyWithdrawal(model, { bench, zone: name }),
}));

const partitions = minority.map(indices => ({
    label: `partition ${indices.join(",")}`,
    apply: (_model: FaultModel, bench: CoreSimulation) => applyPartition(bench, indices),
}));

const platformOutages = minority.map(indices => ({
    label: `platform unreachable from ${indices.join(",")}`,
    apply: (_model: FaultModel, bench: CoreSimulation) => {
        bench.platform.disconnectedNodes.clear();
        indices.forEach(index => bench.platform.disconnectedNodes.add(pickNode(bench, index).id));
    },
}));

const nodeStarts = createNodeAction("start", (bench, node) => {
    if (!node.isUp) {
        bench.startNode(node);
    }
});

/** All actions, each kind with the weight with which it is chosen. */
const ACTIONS: fc.Arbitrary<BenchAction> = fc.oneof(
    { weight: 10, arbitrary: claims },
    { weight: 10, arbitrary: bursts },
    { weight: 3, arbitrary: targetRestarts },
    { weight: 1, arbitrary: reportOutages },
    { weight: 3, arbitrary: withdrawals },
    { weight: 3, arbitrary: createNodeAction("kill", (bench, node) => bench.stopNode(node)) },
    { weight: 4, arbitrary: nodeStarts },
    { weight: 3, arbitrary: createNodeAction("pause", (bench, node) => bench.pauseNode(node)) },
    { weight: 4, arbitrary: createNodeAction("resume", (bench, node) => bench.resumeNode(node)) },
    { weight: 3, arbitrary: partitions },
    { weight: 2, arbitrary: platformOutages },
    {
        weight: 2,
        arbitrary: createSettingAction("platform down", {
            values: [true, false, false],
            apply: (bench, isDown) => void (bench.platform.isDown = isDown),
        }),
    },
    {
        weight: 2,
        arbitrary: createSettingAction("share of lost responses to writes", {
            values: [0, 0.3, 0.9],
            apply: (bench, share) => void (bench.platform.lostShare = share),
        }),
    },
    {
        weight: 2,
        arbitrary: createSettingAction("greatest platform delay", {
            values: [8, 400, 1500],
            apply: (bench, maxDelay) => void (bench.platform.maxDelay = maxDelay),
        }),
    },
    {
        weight: 1,
        arbitrary: createSettingAction("stale reads", {
            values: [true, false],
            apply: (bench, isStale) => void (bench.platform.isStale = isStale),
        }),
    },
    {
        weight: 1,
        arbitrary: createSettingAction("share of dropped messages", {
            values: [0, 0, 0.1, 0.4],
            apply: (bench, share) => void (bench.network.dropProbability = share),
        }),
    },
    {
        weight: 1,
        arbitrary: createSettingAction("share of duplicated messages", {
            values: [0, 0.3],
            apply: (bench, share) => void (bench.network.duplicateProbability = share),
        }),
    },
    {
        weight: 1,
        arbitrary: createSettingAction("greatest message delay", {
            values: [5, 5, 300, 3000],
            apply: (bench, maxDelay) => void (bench.network.maxDelay = maxDelay),
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
        (benchSeed, commands) => {
            fc.modelRun(() => {
                const { bench, model } = createFaultBench(benchSeed);
                return { model, real: bench };
            }, commands);
        },
    );
    fc.assert(property, { seed, numRuns: runs, endOnFailure: false });
}
