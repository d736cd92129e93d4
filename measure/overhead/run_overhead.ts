/**
 * Measures the latency and processor time that the gateway adds to streams, compared with direct connections to the
 * engine in the same run.
 *
 * Flags: `--streams 1,16,64`, `--tokens 100`, `--rounds 3`.
 *
 * @module
 */
import { Command } from "commander";
import { randomUUID } from "node:crypto";
import { waitMilliseconds } from "../../network/mod.ts";
import { BAGMATI, createAccountKey } from "../../support/fixtures/inventories.ts";
import { callHttp, type Fleet, type FleetInstance, startFleet } from "../../support/processes/mod.ts";
import { pickPercentile } from "../placement/pick_percentile.ts";

/** Times of one stream from the start of its request. */
interface StreamTimes {
    firstTokenMilliseconds: number;
    totalMilliseconds: number;
}

/** Times of a batch of concurrent streams. */
interface Batch {
    /** Times to the first token, in ascending order. */
    firstTokenMilliseconds: number[];
    /** Duration of the batch, in seconds. */
    seconds: number;
}

/** Time after the start until the processes of the fleet are ready to be measured. */
const STARTUP_WAIT_MILLISECONDS = 4000;

async function runStream(
    call: { address: string; headers: Record<string, string>; body: string; },
): Promise<StreamTimes> {
    const startedAt = performance.now();
    let firstTokenMilliseconds = 0;
    let hasToken = false;
    await callHttp({
        ...call,
        method: "POST",
        path: "/v1/completions",
        onChunk: chunk => {
            if (!hasToken && chunk.includes("data: ")) {
                hasToken = true;
                firstTokenMilliseconds = performance.now() - startedAt;
            }
        },
    });
    return { firstTokenMilliseconds, totalMilliseconds: performance.now() - startedAt };
}

async function runBatch(streams: number, createCall: () => Parameters<typeof runStream>[0]): Promise<Batch> {
    const startedAt = performance.now();
    const times = await Promise.all(Array.from({ length: streams }, () => runStream(createCall())));
    return {
        firstTokenMilliseconds: times.map(time => time.firstTokenMilliseconds).sort((a, b) => a - b),
        seconds: (performance.now() - startedAt) / 1000,
    };
}

async function fetchProcessorSeconds(instance: FleetInstance): Promise<number> {
    const text = (await callHttp({ address: instance.gatewayAdmin, path: "/metrics" })).body.toString();
    return Number(/^process_cpu_seconds_total (\S+)/m.exec(text)?.[1] ?? 0);
}

async function measureStreams(
    fleet: Fleet,
    options: { streams: number; tokens: number; rounds: number; },
): Promise<string> {
    const { streams, tokens, rounds } = options;
    const [instance] = fleet.instances;
    const [engine] = fleet.engines;
    if (instance === undefined || engine === undefined) {
        throw new Error("Cannot measure overhead: the fleet needs at least one instance and one engine.");
    }
    const body = (): string =>
        JSON.stringify({ model: "furnace-narrator", prompt: randomUUID(), stream: true, output_tokens: tokens });
    const direct: number[] = [];
    const relayed: number[] = [];
    let directSeconds = 0;
    let relayedSeconds = 0;
    const before = await fetchProcessorSeconds(instance);
    for (let round = 0; round < rounds; round += 1) {
        const directBatch = await runBatch(streams, () => ({
            address: engine.address,
            headers: { "x-generation-id": randomUUID() },
            body: body(),
        }));
        const relayedBatch = await runBatch(streams, () => ({
            address: instance.address,
            headers: { authorization: `Bearer ${createAccountKey("metallurgy")}` },
            body: body(),
        }));
        direct.push(...directBatch.firstTokenMilliseconds);
        relayed.push(...relayedBatch.firstTokenMilliseconds);
        directSeconds += directBatch.seconds;
        relayedSeconds += relayedBatch.seconds;
    }
    const processor = await fetchProcessorSeconds(instance) - before;
    return describeRow({ streams, tokens, rounds, direct, relayed, directSeconds, relayedSeconds, processor });
}

function describeRow(row: {
    streams: number;
    tokens: number;
    rounds: number;
    direct: number[];
    relayed: number[];
    directSeconds: number;
    relayedSeconds: number;
    processor: number;
}): string {
    const { streams, tokens, rounds, direct, relayed, processor } = row;
    direct.sort((a, b) => a - b);
    relayed.sort((a, b) => a - b);
    const formatAddedMilliseconds = (share: number): string =>
        (pickPercentile(relayed, share) - pickPercentile(direct, share)).toFixed(1);
    const rate = (streams * tokens * rounds / processor).toFixed(0);
    const ratio = (row.relayedSeconds / row.directSeconds).toFixed(3);
    return `${String(streams).padStart(4)} streams: first token +${formatAddedMilliseconds(0.5)} ms (p50), +${
        formatAddedMilliseconds(0.95)
    } ms (p95);`
        + ` whole run ${ratio} of direct; ${rate} tokens for a second of the gateway's processor time`;
}

const command = new Command()
    .option("--streams <counts>", "numbers of concurrent streams", "1,16,64")
    .option("--tokens <count>", "tokens of each stream", "100")
    .option("--rounds <count>", "rounds, each with a direct and a relayed batch", "3")
    .parse();
const flags = command.opts<{ streams: string; tokens: string; rounds: string; }>();
const engineSpec = { memoryTokens: 4_000_000, maxBatch: 512, sequenceStepMilliseconds: 0, baseStepMilliseconds: 20 };
const fleet = await startFleet({
    plan: BAGMATI,
    instances: 1,
    engines: 1,
    services: 1,
    engineSpec,
    editInventory: inventory => ({
        ...inventory,
        targets: inventory.targets.map(target => ({ ...target, maxConcurrent: 512, memoryTokens: 4_000_000 })),
    }),
});
try {
    await waitMilliseconds(STARTUP_WAIT_MILLISECONDS);
    for (const streams of flags.streams.split(",").map(Number)) {
        const line = await measureStreams(fleet, {
            streams,
            tokens: Number(flags.tokens),
            rounds: Number(flags.rounds),
        });
        process.stdout.write(`${line}\n`);
    }
}
finally {
    await fleet.close();
}
process.exit(0);
