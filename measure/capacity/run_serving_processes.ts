/**
 * Measures the processor time of real `knapweed-serve` processes in front of stand-ins: for their start, idle, and under
 * a load of short calls and streams.
 *
 * Flags: `--instances 40`, `--seconds 10`, `--rate 80` (requests per second over all instances), `--program` (path of
 * the program, to compare builds), `--node-options` (flags for Node.js, separated by commas), `--profile <directory>`.
 *
 * @module
 */
import { Command } from "commander";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { waitMilliseconds } from "../../network/mod.ts";
import { buildSiteHeaders, formatSettingsText, ServingSite } from "../../support/platform/mod.ts";
import { callHttp, findAddresses } from "../../support/processes/mod.ts";

const PLAIN_TARGETS = 4;
const ENGINES = 20;
const TICKS_PER_SECOND = 100;
const EVENT_MILLISECONDS = 30;
const DEADLINE_MILLISECONDS = 8000;

interface MeasuredProcess {
    child: ChildProcess;
    callerAddress: string;
    readinessAddress: string;
}

/** Reads the processor time that a process has used, in seconds. */
async function readProcessorSeconds({ child }: MeasuredProcess): Promise<number> {
    const fields = (await readFile(`/proc/${child.pid}/stat`, "utf8")).split(") ")[1]?.split(" ") ?? [];
    return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

async function computeMeanSeconds(processes: readonly MeasuredProcess[]): Promise<number> {
    const seconds = await Promise.all(processes.map(readProcessorSeconds));
    return seconds.reduce((sum, value) => sum + value, 0) / seconds.length;
}

async function waitUntilReady(process: MeasuredProcess): Promise<void> {
    for (let tries = 0; tries < 1000; tries += 1) {
        const response = await callHttp({ address: process.readinessAddress, path: "/readyz" }).catch(() => undefined);
        if (response?.status === 200) {
            return;
        }
        await waitMilliseconds(50);
    }
    throw new Error("Cannot measure: an instance has not become ready.");
}

let calls = 0;

/** Sends one request: seven short calls to one stream. */
async function sendRequest(process: MeasuredProcess): Promise<void> {
    calls += 1;
    const isStream = calls % 8 === 0;
    await callHttp({
        address: process.callerAddress,
        method: isStream ? "POST" : "GET",
        path: isStream ? "/narrative/1" : "/lookup/1",
        headers: buildSiteHeaders({
            kind: isStream ? "narrative" : "lookup",
            id: calls.toString(16).padStart(16, "0"),
            deadlineMilliseconds: DEADLINE_MILLISECONDS,
        }),
        ...isStream ? { body: "the body" } : {},
    }).catch(() => undefined);
}

async function runLoad(
    processes: readonly MeasuredProcess[],
    { rate, milliseconds }: { rate: number; milliseconds: number; },
): Promise<void> {
    const active = new Set<Promise<void>>();
    const end = performance.now() + milliseconds;
    for (let next = performance.now(); next < end; next += 1000 / rate) {
        await waitMilliseconds(Math.max(0, next - performance.now()));
        const process = processes[calls % processes.length];
        if (process !== undefined) {
            const request = sendRequest(process).finally(() => active.delete(request));
            active.add(request);
        }
    }
    await Promise.all(active);
}

const flags = new Command()
    .option("--instances <count>", "number of instances", "40")
    .option("--seconds <seconds>", "length of each measurement, in seconds", "10")
    .option("--rate <rate>", "requests per second over all instances", "80")
    .option("--program <path>", "program of the instances", "target/bin/knapweed_serve.js")
    .option("--node-options <flags>", "flags for Node.js, separated by commas", "")
    .option("--profile <directory>", "writes processor profiles to a directory", "")
    .parse()
    .opts<Record<"instances" | "seconds" | "rate" | "program" | "nodeOptions" | "profile", string>>();
const directory = await mkdtemp(join(tmpdir(), "knapweed-measure-"));
const site = new ServingSite();
await site.openStore();
for (let index = 0; index < PLAIN_TARGETS; index += 1) {
    await site.addTarget("ledger");
}
for (let index = 0; index < ENGINES; index += 1) {
    await site.addTarget("engines", { eventMilliseconds: EVENT_MILLISECONDS });
}
const nodeFlags = ["--max-old-space-size=140", "--max-semi-space-size=4", ...flags.nodeOptions.split(",")];
if (flags.profile !== "") {
    nodeFlags.push("--cpu-prof", `--cpu-prof-dir=${flags.profile}`);
}
const processes: MeasuredProcess[] = [];
const seeds: string[] = [];
try {
    for (let index = 0; index < Number(flags.instances); index += 1) {
        const [caller = "", ready = "", peer = "", internal = ""] = await findAddresses(4);
        const path = join(directory, `instance-${index}.conf`);
        const addresses = { caller, ready, peer, internalPort: Number(internal.split(":")[1]) };
        await writeFile(
            path,
            formatSettingsText({ ...addresses, store: site.storeAddress }, {
                node_name: `instance-${index}`,
                seeds: seeds.slice(0, 3).join(","),
            }),
        );
        seeds.push(peer);
        const child = spawn(process.execPath, [
            ...nodeFlags.filter(flag => flag !== ""),
            flags.program,
            "--settings",
            path,
        ], {
            stdio: ["ignore", "ignore", "ignore"],
        });
        processes.push({ child, callerAddress: caller, readinessAddress: ready });
    }
    await Promise.all(processes.map(waitUntilReady));
    const atStart = await computeMeanSeconds(processes);
    process.stdout.write(`until all are ready: ${atStart.toFixed(3)} s of processor time each\n`);
    const milliseconds = Number(flags.seconds) * 1000;
    await waitMilliseconds(3000);
    const beforeIdle = await computeMeanSeconds(processes);
    await waitMilliseconds(milliseconds);
    const idle = await computeMeanSeconds(processes);
    process.stdout.write(`idle: ${((idle - beforeIdle) * 1e5 / milliseconds).toFixed(2)} % of a core each\n`);
    const startedAt = performance.now();
    await runLoad(processes, { rate: Number(flags.rate), milliseconds });
    const elapsed = performance.now() - startedAt;
    const loaded = await computeMeanSeconds(processes);
    process.stdout.write(
        `${flags.rate} requests per second: ${((loaded - idle) * 1e5 / elapsed).toFixed(2)} % of a core each, `
            + `${
                ((loaded - idle) * 1e6 * processes.length / (Number(flags.rate) * milliseconds / 1000) / 1000).toFixed(
                    2,
                )
            }`
            + " ms a request\n",
    );
}
finally {
    const exits = processes.map(({ child }) => new Promise(resolve => child.once("exit", resolve)));
    processes.forEach(({ child }) => child.kill("SIGTERM"));
    await Promise.race([Promise.all(exits), waitMilliseconds(10_000)]);
    processes.forEach(({ child }) => child.kill("SIGKILL"));
    site.close();
    await rm(directory, { recursive: true, force: true });
}
process.exit(0);
