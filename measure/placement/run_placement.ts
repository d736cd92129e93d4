/**
 * Compares placement policies in simulated runs, and prints a table for each deployment and load.
 *
 * Flags: `--deployments bagmati,signalis`, `--loads 0.6,1,1.3`, `--seeds 1,2,3,4,5`, `--seconds 240`.
 *
 * @module
 */
import { Command } from "commander";
import { createLeastOutstanding, createRoundRobin } from "./baseline_policies.ts";
import { DEPLOYMENTS } from "./deployments.ts";
import { createMemoryPolicy } from "./memory_policy.ts";
import { pickPercentile } from "./pick_percentile.ts";
import type { PolicyBuilder } from "./placement_policy.ts";
import { type PlacementResult, runPlacement } from "./placement_run.ts";

/** Functions that create the policies, by the policy's name in the table; each run gets a new policy. */
const POLICIES: Record<string, () => PolicyBuilder> = {
    "round-robin-32": () => createRoundRobin(32),
    "least-outstanding-32": () => createLeastOutstanding(32),
    "least-outstanding-20": () => createLeastOutstanding(20),
    "today": () => createMemoryPolicy(),
};

/** A column of the table. */
interface Column {
    title: string;
    /** Computes the value of the column from the result of a run. */
    compute: (result: PlacementResult) => number;
}

const COLUMNS: readonly Column[] = [
    { title: "preempt", compute: result => result.preemptions },
    { title: "stall s", compute: result => result.stallMilliseconds / 1000 },
    { title: "redone s", compute: result => result.lostMilliseconds / 1000 },
    { title: "falls", compute: result => result.engineCrashes },
    { title: "ttft p50", compute: result => pickPercentile(result.firstTokenMilliseconds, 0.5) },
    { title: "ttft p95", compute: result => pickPercentile(result.firstTokenMilliseconds, 0.95) },
    { title: "ttft p99", compute: result => pickPercentile(result.firstTokenMilliseconds, 0.99) },
    { title: "short p95", compute: result => pickPercentile(result.shortFirstTokenMilliseconds, 0.95) },
    { title: "gap p50", compute: result => pickPercentile(result.gapMilliseconds, 0.5) },
    { title: "gap p95", compute: result => pickPercentile(result.gapMilliseconds, 0.95) },
    { title: "gap p99", compute: result => pickPercentile(result.gapMilliseconds, 0.99) },
    { title: "refused", compute: result => result.refused },
    { title: "long ref", compute: result => result.refusedLong },
    { title: "finished", compute: result => result.finished },
    { title: "ktokens", compute: result => result.tokens / 1000 },
    { title: "reads %", compute: result => 100 * result.readsInTime / Math.max(1, result.reads) },
];

const CELL_WIDTH = 22;

/** Formats the median over all seeds, with the least and the greatest value. */
function formatCell(values: readonly number[]): string {
    const sorted = [...values].sort((a, b) => a - b);
    const format = (
        value: number,
    ): string => (value >= 100 || Number.isInteger(value) ? String(Math.round(value)) : value.toFixed(2));
    const median = pickPercentile(sorted, 0.5);
    return `${format(median)} [${format(sorted[0] ?? 0)}-${format(sorted.at(-1) ?? 0)}]`.padStart(CELL_WIDTH);
}

function printTable(deploymentName: string, options: { load: number; seeds: number[]; seconds: number; }): void {
    const deployment = DEPLOYMENTS.find(each => each.name === deploymentName);
    if (deployment === undefined) {
        throw new Error(`Cannot measure placement: unknown deployment "${deploymentName}".`);
    }
    const { load, seeds, seconds } = options;
    process.stdout.write(
        `\n${deploymentName}, load ${load}, ${seconds} s, seeds ${seeds.join(",")}: median [least-greatest]\n`,
    );
    process.stdout.write(
        `${"policy".padEnd(22)}${COLUMNS.map(column => column.title.padStart(CELL_WIDTH)).join("")}\n`,
    );
    for (const [name, createPolicy] of Object.entries(POLICIES)) {
        const results = seeds.map(seed =>
            runPlacement({ deployment, policy: createPolicy(), load, seed, milliseconds: seconds * 1000 })
        );
        const cells = COLUMNS.map(column => formatCell(results.map(result => column.compute(result))));
        process.stdout.write(`${name.padEnd(22)}${cells.join("")}\n`);
    }
}

const command = new Command()
    .option("--deployments <names>", "names of deployments", "bagmati,signalis")
    .option("--loads <loads>", "shares of the load that fills the engines' KV caches", "0.6,1,1.3")
    .option("--seeds <seeds>", "seeds of the runs", "1,2,3,4,5")
    .option("--seconds <seconds>", "length of each run, in virtual seconds", "240")
    .parse();
const options = command.opts<{ deployments: string; loads: string; seeds: string; seconds: string; }>();
for (const deployment of options.deployments.split(",")) {
    for (const load of options.loads.split(",").map(Number)) {
        printTable(deployment, { load, seeds: options.seeds.split(",").map(Number), seconds: Number(options.seconds) });
    }
}
