/**
 * Demonstrates the system with stand-ins: a streamed narrative, a stamp that is sent twice and run once, a lookup, and the
 * withdrawal of an availability zone.
 *
 * @module
 */
import { applyRuleEdit } from "../../control/mod.ts";
import { parseAddress, waitMilliseconds } from "../../network/mod.ts";
import { KeyValueStore } from "../../platform/mod.ts";
import { BAGMATI, createAccountKey } from "../fixtures/inventories.ts";
import { callHttp, type Fleet, type FleetInstance, startFleet } from "../processes/mod.ts";

function printLine(text: string): void {
    process.stdout.write(`${text}\n`);
}

function createHeaders(account: string, extra: Record<string, string> = {}): Record<string, string> {
    return { authorization: `Bearer ${createAccountKey(account)}`, "content-type": "application/json", ...extra };
}

async function runNarrative(instance: FleetInstance): Promise<void> {
    const result = await callHttp({
        address: instance.address,
        method: "POST",
        path: "/v1/completions",
        headers: createHeaders("metallurgy"),
        body: JSON.stringify({
            model: "furnace-narrator",
            prompt: "Charge 4411, full cycle.",
            stream: true,
            output_tokens: 40,
        }),
    });
    const events = result.body.toString().split("\n\n").filter(text => text.startsWith("id: "));
    printLine(`narrative through ${instance.name}: status ${result.status}, ${events.length} tokens, first event:`);
    printLine(`  ${events[0]?.replace("\n", " | ")}`);
}

async function runStamp(instance: FleetInstance): Promise<string> {
    const result = await callHttp({
        address: instance.address,
        method: "POST",
        path: "/services/ledger/stamps",
        headers: createHeaders("shift-a", { "idempotency-key": "batch-77" }),
        body: JSON.stringify({ batch: 77 }),
    });
    const replayed = result.headers["idempotent-replayed"] === "true"
        ? " (replayed response to the first request)"
        : "";
    return `status ${result.status}, certificate number ${result.headers["x-number"]}${replayed}`;
}

async function runLookup(instance: FleetInstance): Promise<void> {
    const result = await callHttp({
        address: instance.address,
        path: "/services/ledger/charges/4411",
        headers: createHeaders("shift-a"),
    });
    printLine(`lookup through ${instance.name}: status ${result.status}, ${result.body.toString()}`);
}

/** Counts the generations that each engine has started. */
async function countGenerations(fleet: Fleet): Promise<number[]> {
    return Promise.all(fleet.engines.map(async engine => {
        const state = await callHttp({ address: engine.address, path: "/state" });
        return (JSON.parse(state.body.toString()) as { generations: unknown[]; }).generations.length;
    }));
}

/** Withdraws a zone, and prints at which engines later generations start. */
async function runWithdrawal(fleet: Fleet, instance: FleetInstance): Promise<void> {
    const platform = new KeyValueStore({ address: parseAddress(fleet.platform) });
    const rule = { kind: "withdraw" as const, selector: { zone: "lalitpur-b" } };
    const result = await applyRuleEdit(platform, { edit: rule, author: "operator" });
    printLine(
        `zone lalitpur-b withdrawn: ${result.kind}${
            result.kind === "accepted" ? ` as generation ${result.generation}` : ""
        }`,
    );
    await waitMilliseconds(3000);
    const before = await countGenerations(fleet);
    await Promise.all(Array.from({ length: 12 }, () => runVerdict(instance)));
    const after = await countGenerations(fleet);
    const started = after.map((count, index) => `engine-${index + 1}: ${count - (before[index] ?? 0)}`);
    printLine(`12 more verdicts, started at ${started.join(", ")} (engine-2 is in the withdrawn zone lalitpur-b)`);
}

async function runVerdict(instance: FleetInstance): Promise<void> {
    const body = JSON.stringify({ model: "furnace-narrator", prompt: `Soak ${Math.random()}`, output_tokens: 5 });
    await callHttp({
        address: instance.address,
        method: "POST",
        path: "/v1/completions",
        headers: createHeaders("audit"),
        body,
    });
}

/** Runs the demonstration and stops all its processes. */
async function runDemo(): Promise<void> {
    printLine(
        "starting the platform, 3 engines, 2 targets of the service ledger, and 2 instances of agent and gateway ...",
    );
    const fleet = await startFleet({ plan: BAGMATI, instances: 2, engines: 3, services: 2 });
    try {
        const [first, second] = fleet.instances;
        if (first === undefined || second === undefined) {
            throw new Error("Cannot run the demonstration: two instances are needed.");
        }
        printLine(`instances: ${fleet.instances.map(each => `${each.name} in ${each.zone}`).join(", ")}`);
        await runNarrative(first);
        printLine(`stamp through ${first.name}: ${await runStamp(first)}`);
        printLine(`same stamp through ${second.name}: ${await runStamp(second)}`);
        await runLookup(second);
        await runWithdrawal(fleet, second);
    }
    finally {
        await fleet.close();
    }
    printLine("all processes have exited");
}

await runDemo();
process.exit(0);
