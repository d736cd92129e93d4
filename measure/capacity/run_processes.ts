/**
 * Measures the memory and processor time of real agents and gateways, idle and under load.
 *
 * Flags: `--instances 8`, `--seconds 10`.
 *
 * @module
 */
import { Command } from "commander";
import { waitMilliseconds } from "../../network/mod.ts";
import { BAGMATI, createAccountKey } from "../../support/fixtures/inventories.ts";
import { callHttp, type Fleet, startFleet } from "../../support/processes/mod.ts";

const ENGINES = 13;
const SERVICES = 3;
const CALLERS = 24;
const OUTPUT_TOKENS = 40;

/** Resources that a process uses. */
interface Usage {
    /** Resident memory. */
    megabytes: number;
    /** Processor time since the start of the process. */
    processorSeconds: number;
}

async function fetchUsage(address: string): Promise<Usage> {
    const text = (await callHttp({ address, path: "/metrics" })).body.toString();
    const readMetric = (name: string): number => Number(new RegExp(`^${name} (\\S+)`, "m").exec(text)?.[1] ?? 0);
    return {
        megabytes: readMetric("process_resident_memory_bytes") / 1e6,
        processorSeconds: readMetric("process_cpu_seconds_total"),
    };
}

function computeMean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Measures all processes of one kind while `run` is running. */
async function measureKind(
    fleet: Fleet,
    options: { kind: "agentAdmin" | "gatewayAdmin"; run: () => Promise<void>; },
): Promise<string> {
    const addresses = fleet.instances.map(instance => instance[options.kind]);
    const before = await Promise.all(addresses.map(fetchUsage));
    const startedAt = performance.now();
    await options.run();
    const seconds = (performance.now() - startedAt) / 1000;
    const after = await Promise.all(addresses.map(fetchUsage));
    const shares = after.map((usage, index) =>
        (usage.processorSeconds - (before[index]?.processorSeconds ?? 0)) / seconds
    );
    const memory = computeMean(after.map(usage => usage.megabytes));
    return `${(computeMean(shares) * 100).toFixed(2)} % of a core, ${memory.toFixed(0)} MB resident`;
}

/** Sends completions from concurrent callers for a time. */
async function runLoad(fleet: Fleet, milliseconds: number): Promise<void> {
    const end = performance.now() + milliseconds;
    await Promise.all(Array.from({ length: CALLERS }, async (_unused, caller) => {
        for (let number = 0; performance.now() < end; number += 1) {
            const instance = fleet.instances[(caller + number) % fleet.instances.length];
            const body = JSON.stringify({
                model: "furnace-narrator",
                prompt: `${caller}.${number}`,
                output_tokens: OUTPUT_TOKENS,
            });
            const headers = { authorization: `Bearer ${createAccountKey("audit")}` };
            await callHttp({
                address: instance?.address ?? "",
                method: "POST",
                path: "/v1/completions",
                headers,
                body,
            });
        }
    }));
}

const command = new Command().option("--instances <count>", "number of instances", "8").option(
    "--seconds <seconds>",
    "length of each measurement, in seconds",
    "10",
).parse();
const flags = command.opts<{ instances: string; seconds: string; }>();
const milliseconds = Number(flags.seconds) * 1000;
const fleet = await startFleet({
    plan: BAGMATI,
    instances: Number(flags.instances),
    engines: ENGINES,
    services: SERVICES,
});
try {
    await waitMilliseconds(5000);
    for (const kind of ["agentAdmin", "gatewayAdmin"] as const) {
        const idle = await measureKind(fleet, { kind, run: () => waitMilliseconds(milliseconds) });
        process.stdout.write(`${kind.replace("Admin", "")}, idle: ${idle}\n`);
        const loaded = await measureKind(fleet, { kind, run: () => runLoad(fleet, milliseconds) });
        process.stdout.write(`${kind.replace("Admin", "")}, ${CALLERS} callers: ${loaded}\n`);
    }
}
finally {
    await fleet.close();
}
process.exit(0);
