/**
 * Faults and work that a property run mixes in any order.
 *
 * @module
 */
import fc from "fast-check";
import type { Inventory } from "../../core/inventory/mod.ts";
import { type BenchNode, CoreBench } from "../../support/bench/mod.ts";
import { BAGMATI, createInventory } from "../../support/fixtures/inventories.ts";

/** What the run knows beside the real cores. */
export interface FaultModel {
    /** Zone that is withdrawn; empty for none. */
    withdrawnZone: string;
    /** Time at which the withdrawal was accepted. */
    withdrawnAt: number;
    /** Inventory without rules. */
    inventory: Inventory;
}

type Real = CoreBench;
type FaultCommand = fc.Command<FaultModel, Real>;

const NODES = 7;
const ENGINES = 6;
/** Time after which a withdrawn zone must get no new work, in milliseconds. */
const IN_FORCE_MILLISECONDS = 3000;
const TARGET = { coldConcurrent: 2, coldMilliseconds: 6000, lagMilliseconds: 1000 };

/** Builds a bench with one inventory at a few targets. */
export function createFaultBench(seed: number): { bench: CoreBench; model: FaultModel; } {
    const engines = Array.from({ length: ENGINES }, (_unused, index) => `10.0.0.${index + 1}:80`);
    const inventory = createInventory(BAGMATI, { engines, services: [] });
    const bench = new CoreBench({ nodes: NODES, seed, inventory, target: TARGET });
    bench.runFor(9000);
    return { bench, model: { withdrawnZone: "", withdrawnAt: 0, inventory } };
}

function pickNode(bench: CoreBench, index: number): BenchNode {
    const node = bench.nodes[index % bench.nodes.length];
    if (node === undefined) {
        throw new Error("Cannot pick a node: the bench has none.");
    }
    return node;
}

/** Fails where a promise is broken. */
export function checkPromises(model: FaultModel, bench: CoreBench): void {
    const problems = [...bench.violations];
    if (model.withdrawnZone !== "") {
        for (const target of model.inventory.targets.filter(each => each.zone === model.withdrawnZone)) {
            const lastStart = bench.targets.get(target.address)?.lastStartAt ?? 0;
            if (lastStart > model.withdrawnAt + IN_FORCE_MILLISECONDS) {
                problems.push(
                    `withdrawn ${target.name} got work ${Math.round(lastStart - model.withdrawnAt)} ms later`,
                );
            }
        }
    }
    if (problems.length > 0) {
        throw new Error([...problems, "trace:", ...bench.trace.slice(-60)].join("\n"));
    }
}

/** Something that may happen, and how it is done. */
interface Happening {
    label: string;
    act: (model: FaultModel, bench: CoreBench) => void;
}

/** Builds a command that does something and then lets time pass. */
function createCommand(happening: Happening, pause: number): FaultCommand {
    const label = `${happening.label}, then ${pause} ms`;
    return {
        check: () => true,
        run: (model, bench) => {
            bench.recordTrace(happening.label);
            happening.act(model, bench);
            bench.runFor(pause);
            checkPromises(model, bench);
        },
        toString: () => label,
    };
}

function runBurst(bench: CoreBench, burst: { target: number; count: number; duration: number; }): void {
    for (const node of bench.nodes) {
        for (let count = 0; count < burst.count; count += 1) {
            bench.requestWork(node, { target: `engine-${burst.target % ENGINES + 1}`, duration: burst.duration });
        }
    }
}

function applyWithdrawal(model: FaultModel, options: { bench: CoreBench; zone: string; }): void {
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

/** Sets a minority of nodes apart. */
function applyPartition(bench: CoreBench, picks: readonly number[]): void {
    bench.link.closeCuts();
    picks.forEach(index => bench.link.setGroup(pickNode(bench, index).id, 1));
}

const nodeIndex = fc.integer({ min: 0, max: NODES - 1 });
const minority = fc.uniqueArray(nodeIndex, { maxLength: 3 });
const zone = fc.constantFrom("", ...BAGMATI.zones);

/** Names something that happens to one node. */
function describeNode(name: string, act: (bench: CoreBench, node: BenchNode) => void): fc.Arbitrary<Happening> {
    return nodeIndex.map(index => ({
        label: `${name} ${index}`,
        act: (_model, bench) => act(bench, pickNode(bench, index)),
    }));
}

/** Names something that takes one of a few settings. */
function describeSetting<Value>(
    name: string,
    options: { values: readonly Value[]; apply: (bench: CoreBench, value: Value) => void; },
): fc.Arbitrary<Happening> {
    return fc.constantFrom(...options.values).map(value => ({
        label: `${name} ${String(value)}`,
        act: (_model, bench) => options.apply(bench, value),
    }));
}

const engineIndex = fc.integer({ min: 0, max: ENGINES - 1 });

const claims = fc.tuple(nodeIndex, fc.integer({ min: 0, max: 9 })).map(([index, key]) => ({
    label: `claim key-${key} through ${index}`,
    act: (_model: FaultModel, bench: CoreBench) => void bench.requestClaim(pickNode(bench, index), `key-${key}`),
}));

const bursts = fc.record({
    target: engineIndex,
    count: fc.integer({ min: 1, max: 4 }),
    duration: fc.integer({ min: 50, max: 9000 }),
}).map(burst => ({
    label: `burst ${JSON.stringify(burst)}`,
    act: (_model: FaultModel, bench: CoreBench) => runBurst(bench, burst),
}));

const restarts = engineIndex.map(index => ({
    label: `restart target ${index}`,
    act: (_model: FaultModel, bench: CoreBench) => bench.restartTarget(`10.0.0.${index + 1}:80`),
}));

const mutes = fc.tuple(engineIndex, fc.boolean()).map(([index, isMute]) => ({
    label: `mute target ${index} ${isMute}`,
    act: (_model: FaultModel, bench: CoreBench) => {
        const target = bench.targets.get(`10.0.0.${index + 1}:80`);
        if (target !== undefined) {
            target.isMute = isMute;
        }
    },
}));

const withdrawals = zone.map(name => ({
    label: `withdraw "${name}"`,
    act: (model: FaultModel, bench: CoreBench) => applyWithdrawal(model, { bench, zone: name }),
}));

const parts = minority.map(picks => ({
    label: `part ${picks.join(",")}`,
    act: (_model: FaultModel, bench: CoreBench) => applyPartition(bench, picks),
}));

const cutsFromPlatform = minority.map(picks => ({
    label: `platform out of reach of ${picks.join(",")}`,
    act: (_model: FaultModel, bench: CoreBench) => {
        bench.platform.unreachable.clear();
        picks.forEach(index => bench.platform.unreachable.add(pickNode(bench, index).id));
    },
}));

const starts = describeNode("start", (bench, node) => {
    if (!node.isUp) {
        bench.startNode(node);
    }
});

/** Everything that may happen, with its weight. */
const HAPPENINGS: fc.Arbitrary<Happening> = fc.oneof(
    { weight: 10, arbitrary: claims },
    { weight: 10, arbitrary: bursts },
    { weight: 3, arbitrary: restarts },
    { weight: 1, arbitrary: mutes },
    { weight: 3, arbitrary: withdrawals },
    { weight: 3, arbitrary: describeNode("kill", (bench, node) => bench.stopNode(node)) },
    { weight: 4, arbitrary: starts },
    { weight: 3, arbitrary: describeNode("pause", (bench, node) => bench.pauseNode(node)) },
    { weight: 4, arbitrary: describeNode("resume", (bench, node) => bench.resumeNode(node)) },
    { weight: 3, arbitrary: parts },
    { weight: 2, arbitrary: cutsFromPlatform },
    {
        weight: 2,
        arbitrary: describeSetting("platform down", {
            values: [true, false, false],
            apply: (bench, isDown) => void (bench.platform.isDown = isDown),
        }),
    },
    {
        weight: 2,
        arbitrary: describeSetting("lost answers", {
            values: [0, 0.3, 0.9],
            apply: (bench, share) => void (bench.platform.lostShare = share),
        }),
    },
    {
        weight: 2,
        arbitrary: describeSetting("platform delay", {
            values: [8, 400, 1500],
            apply: (bench, delay) => void (bench.platform.maxDelay = delay),
        }),
    },
    {
        weight: 1,
        arbitrary: describeSetting("stale reads", {
            values: [true, false],
            apply: (bench, isStale) => void (bench.platform.isStale = isStale),
        }),
    },
    {
        weight: 1,
        arbitrary: describeSetting("drop", {
            values: [0, 0, 0.1, 0.4],
            apply: (bench, share) => void (bench.link.dropShare = share),
        }),
    },
    {
        weight: 1,
        arbitrary: describeSetting("duplicate", {
            values: [0, 0.3],
            apply: (bench, share) => void (bench.link.duplicateShare = share),
        }),
    },
    {
        weight: 1,
        arbitrary: describeSetting("link delay", {
            values: [5, 5, 300, 3000],
            apply: (bench, delay) => void (bench.link.maxDelay = delay),
        }),
    },
);

const pauses = fc.oneof(
    { weight: 4, arbitrary: fc.integer({ min: 0, max: 30 }) },
    { weight: 3, arbitrary: fc.integer({ min: 30, max: 800 }) },
    { weight: 2, arbitrary: fc.integer({ min: 800, max: 6000 }) },
);

const faultCommands = fc.tuple(HAPPENINGS, pauses).map(([happening, pause]) => createCommand(happening, pause));

/** Options of {@linkcode checkFaultMixes}. */
export interface FaultMixOptions {
    /** First seed. */
    seed: number;
    /** Number of mixes. */
    runs: number;
    /** Most commands in a mix. Defaults to 60. */
    maxCommands?: number;
}

/**
 * Checks the promises after every step of many mixes of faults.
 *
 * @throws {Error} With the seed, the shortest failing mix, and its trace.
 */
export function checkFaultMixes(options: FaultMixOptions): void {
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
