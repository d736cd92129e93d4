/**
 * Command that runs soak tests with consecutive seeds and prints the violations that they found.
 *
 * @module
 */
import { Command } from "commander";
import PQueue from "p-queue";
import { runSoak } from "./soak_run.ts";

const program = new Command("soak")
    .description("Runs serving processes under random faults and checks their guarantees.")
    .option("--first <seed>", "first seed", String(Date.now() % 1_000_000))
    .option("--seeds <count>", "number of seeds", "5")
    .option("--seconds <seconds>", "duration of the faults for each seed, in seconds", "10")
    .option("--jobs <count>", "number of soak tests that run at the same time", "2");
program.parse();
const options = program.opts<{ first: string; seeds: string; seconds: string; jobs: string; }>();

const queue = new PQueue({ concurrency: Number(options.jobs) });
let failed = 0;
const runs = Array.from({ length: Number(options.seeds) }, (_, index) =>
    queue.add(async () => {
        const seed = Number(options.first) + index;
        const result = await runSoak({ seed, milliseconds: Number(options.seconds) * 1000 });
        failed += result.violations.length > 0 ? 1 : 0;
        const { requests, served, violations } = result;
        process.stdout.write(
            `seed ${seed}: ${requests} requests, ${served} served, ${violations.length} violations\n`,
        );
        for (const violation of violations.slice(0, 8)) {
            process.stdout.write(`    ${violation}\n`);
        }
    }));
await Promise.all(runs);
process.stdout.write(`${runs.length - failed} passed, ${failed} failed\n`);
process.exit(failed > 0 ? 1 : 0);
