/**
 * Measures the cost of coordination between agents (gossip, permits, claims and configuration) on each node of simulated
 * fleets of several sizes, and the size of its state.
 *
 * Flags: `--sizes 8,40,120,340`, `--seconds 12`, `--seed 1`.
 *
 * @module
 */
import { Command } from "commander";
import { encodeFrame } from "../../protocol/mod.ts";
import { BAGMATI, createInventory, type DeploymentPlan } from "../../support/fixtures/inventories.ts";
import { CoreSimulation } from "../../support/simulation/mod.ts";
import { pickPercentile } from "../placement/pick_percentile.ts";
import { measureClaims } from "./measure_claims.ts";
import { measureState } from "./measure_state.ts";

const TARGETS_PER_NODE = 1300 / 340;
const REQUESTS_PER_NODE_PER_SECOND = 5600 / 340;
/** Duration of a request. */
const REQUEST_MILLISECONDS = 4000;
/** Number of targets for which the gateway of a node requests permits. */
const TARGETS_CALLED_PER_NODE = 16;
/** Time until all instances serve. */
const WARM_UP_MILLISECONDS = 9000;
const ZONES = 8;

function printLine(text: string): void {
    process.stdout.write(`${text}\n`);
}

/** Creates a simulated fleet whose number of targets is proportional to its number of nodes. */
function createFleet(
    size: number,
    seed: number,
): { simulation: CoreSimulation; inventory: ReturnType<typeof createInventory>; } {
    const zones = Array.from({ length: ZONES }, (_unused, index) => `zone-${index + 1}`);
    const plan: DeploymentPlan = { ...BAGMATI, zones };
    const count = Math.round(size * TARGETS_PER_NODE);
    const engines = Array.from(
        { length: count },
        (_unused, index) => `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:80`,
    );
    const inventory = createInventory(plan, { engines, services: [] });
    const target = { coldConcurrent: 32, coldMilliseconds: 0, lagMilliseconds: 1000 };
    const simulation = new CoreSimulation({ nodes: size, seed, inventory, zones: ZONES, target });
    return { simulation, inventory };
}

/** Schedules permit requests of every node at a constant rate. */
function addLoad(simulation: CoreSimulation, options: { targets: number; milliseconds: number; }): void {
    const interval = 1000 / REQUESTS_PER_NODE_PER_SECOND;
    for (const [index, node] of simulation.nodes.entries()) {
        for (let at = simulation.random() * interval; at < options.milliseconds; at += interval) {
            const number = (index * TARGETS_CALLED_PER_NODE + Math.floor(simulation.random() * TARGETS_CALLED_PER_NODE))
                % options.targets;
            simulation.addEvent(
                at,
                () =>
                    simulation.requestPermit(node, { target: `engine-${number + 1}`, duration: REQUEST_MILLISECONDS }),
            );
        }
    }
}

/** Measures the time until a change of the configuration is in effect on all nodes, in milliseconds. */
function measureChangePropagation(simulation: CoreSimulation, inventory: ReturnType<typeof createInventory>): number {
    const generation = simulation.applyInventory({
        ...inventory,
        rules: [{ name: "r", action: "withdraw", zone: "zone-1" }],
    });
    const startedAt = simulation.now;
    while (simulation.nodes.some(node => node.generation < generation) && simulation.now - startedAt < 30_000) {
        simulation.runFor(10);
    }
    return simulation.now - startedAt;
}

/** Measures a fleet of one size and prints the results. */
function measureFleetSize(size: number, options: { seconds: number; seed: number; }): void {
    const { simulation, inventory } = createFleet(size, options.seed);
    simulation.runFor(WARM_UP_MILLISECONDS);
    simulation.countBytes = message => encodeFrame(message).length;
    const before = { ...simulation.platform.store.callCounts };
    const milliseconds = options.seconds * 1000;
    simulation.coreMilliseconds = 0;
    addLoad(simulation, { targets: inventory.targets.length, milliseconds });
    simulation.runFor(milliseconds);
    const nodeSeconds = size * options.seconds;
    const coreMilliseconds = simulation.coreMilliseconds;
    const ages = simulation.nodes.flatMap(node =>
        (node.core.dumpState()["members"] as { age: number; }[]).map(member => member.age)
    );
    ages.sort((a, b) => a - b);
    const traffic = [...simulation.traffic];
    const bytes = traffic.reduce((sum, [, count]) => sum + count.bytes, 0);
    const messages = traffic.reduce((sum, [, count]) => sum + count.messages, 0);
    const calls = Object.entries(simulation.platform.store.callCounts).map(([kind, count]) => {
        const rate = (count - (before[kind] ?? 0)) / options.seconds;
        return `${kind} ${rate.toFixed(1)}/s`;
    });
    simulation.countBytes = undefined;
    const change = measureChangePropagation(simulation, inventory);
    printLine(`\n${size} nodes, ${inventory.targets.length} targets, ${options.seconds} s, seed ${options.seed}`);
    printLine(
        `  sent per node: ${(messages / nodeSeconds).toFixed(1)} messages/s, ${
            (bytes / nodeSeconds / 1000).toFixed(2)
        } KB/s`,
    );
    for (const [kind, count] of traffic.sort(([, a], [, b]) => b.bytes - a.bytes)) {
        const rate = (count.messages / nodeSeconds).toFixed(2);
        printLine(
            `    ${kind.padEnd(18)} ${rate.padStart(7)} messages/s ${
                (count.bytes / nodeSeconds / 1000).toFixed(3).padStart(8)
            } KB/s`,
        );
    }
    printLine(
        `  core time per node: ${(coreMilliseconds / nodeSeconds).toFixed(2)} ms/s (${
            (coreMilliseconds / nodeSeconds / 10).toFixed(2)
        } % of a core)`,
    );
    printLine(`  platform, whole fleet: ${calls.join(", ")}`);
    printLine(
        `  age of members' last signs: p50 ${pickPercentile(ages, 0.5)} ms, p99 ${
            pickPercentile(ages, 0.99)
        } ms, greatest ${ages.at(-1)} ms`,
    );
    printLine(`  a change in force on all nodes after ${Math.round(change)} ms`);
}

const command = new Command()
    .option("--sizes <sizes>", "numbers of nodes in the fleets", "8,40,120,340")
    .option("--seconds <seconds>", "length of each run, in virtual seconds", "12")
    .option("--seed <seed>", "seed of all runs", "1")
    .parse();
const flags = command.opts<{ sizes: string; seconds: string; seed: string; }>();
for (const size of flags.sizes.split(",").map(Number)) {
    measureFleetSize(size, { seconds: Number(flags.seconds), seed: Number(flags.seed) });
}
measureClaims(Number(flags.seed)).forEach(printLine);
measureState().forEach(printLine);
