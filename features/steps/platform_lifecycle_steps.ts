/**
 * Steps of the serving program's life and of its log.
 *
 * @module
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { VirtualClock } from "../../core/clock/mod.ts";
import { waitMilliseconds } from "../../network/mod.ts";
import { formatSettingsText, ServingSite, SITE_KEY } from "../../support/platform/mod.ts";
import {
    callHttp,
    findAddresses,
    type HttpResult,
    type RunningChild,
    startChild,
    waitUntil,
} from "../../support/processes/mod.ts";
import { DecisionLog, DEFAULT_LINES_PER_SECOND, LineClass } from "../../telemetry/mod.ts";

interface ProgramState {
    site: ServingSite;
    child: RunningChild;
    folder: string;
    path: string;
    caller: string;
    ready: string;
}

const PROGRAM = "dist/bin/knapweed_serve.js";
let program: ProgramState | undefined;
let stream: Promise<HttpResult | undefined> | undefined;
let answer: HttpResult | undefined;
let checked: { code: number; output: string; } | undefined;
let clock = new VirtualClock();
let lines: string[] = [];
let log = new DecisionLog({ name: "test", clock, writeLine: () => true });
let elapsed = 0;

function getProgram(): ProgramState {
    if (program === undefined) {
        throw new Error("Cannot go on: the scenario has no program.");
    }
    return program;
}

After(async () => {
    program?.child.send("SIGKILL");
    program?.site.close();
    if (program !== undefined) {
        await rm(program.folder, { recursive: true, force: true });
    }
    program = undefined;
});

async function createSettingsFile(changes: Record<string, string | undefined>, store = "127.0.0.1:1"): Promise<{
    folder: string;
    path: string;
    caller: string;
    ready: string;
}> {
    const [caller = "", ready = "", peer = "", internal = ""] = await findAddresses(4);
    const folder = await mkdtemp(join(tmpdir(), "knapweed-serve-"));
    const path = join(folder, "node.conf");
    const internalPort = Number(internal.split(":")[1]);
    await writeFile(path, formatSettingsText({ caller, ready, peer, internalPort, store }, changes));
    return { folder, path, caller, ready };
}

Given("the serving program", async function() {
    const site = new ServingSite();
    await site.openStore();
    await site.addTarget("ledger");
    await site.addTarget("engines", { eventMilliseconds: 80 });
    const file = await createSettingsFile({}, site.storeAddress);
    const child = startChild(PROGRAM, { arguments: ["--settings", file.path] });
    program = { site, child, ...file };
    await waitUntil(async () => await isReady(), { label: "the serving program is ready" });
});

async function isReady(): Promise<boolean> {
    const result = await callHttp({ address: getProgram().ready, path: "/readyz" }).catch(() => undefined);
    return result?.status === 200;
}

function callProgram(kind: "stamp" | "narrative", maxTokens = 48): Promise<HttpResult> {
    const isStream = kind === "narrative";
    return callHttp({
        address: getProgram().caller,
        method: "POST",
        path: `/${kind}/1`,
        headers: {
            host: "site.example",
            "attempt-id": "00000000000000aa",
            "deadline-ms": "5000",
            authorization: `Bearer ${SITE_KEY}`,
            connection: "keep-alive",
            ...isStream ? { model: "m", "token-counts": `100,${maxTokens}` } : {},
        },
        body: "the body",
    });
}

When("a caller begins a {string} of the program", async function(kind: "stamp" | "narrative") {
    stream = callProgram(kind).catch(() => undefined);
    await waitMilliseconds(200);
});

When(
    "a caller of the program sends a {string} of at most {int} tokens",
    async function(kind: "stamp" | "narrative", tokens: number) {
        answer = await callProgram(kind, tokens);
    },
);

Then("the caller is told to come back soon, and no engine has seen the request", function() {
    const retryAfter = Number(answer?.headers["retry-after"]);
    assert.ok(retryAfter > 0 && retryAfter < 1, `retry-after is "${answer?.headers["retry-after"]}"`);
    assert.deepEqual(getProgram().site.targets.flatMap(({ standIn }) => standIn.arrivals), []);
});

When("a caller of the program sends a {string}", async function(kind: "stamp" | "narrative") {
    answer = await callProgram(kind);
});

When("the program gets SIGTERM", function() {
    getProgram().child.send("SIGTERM");
});

Then("it is not ready within {int} ms", async function(milliseconds: number) {
    await waitMilliseconds(milliseconds);
    assert.equal(await isReady(), false);
});

Then("the caller's stream is whole", async function() {
    const result = await stream;
    assert.ok(result?.isComplete, "the stream is not whole");
    assert.match(result.body.toString(), /id: 12\n/);
});

Then("the program ends with code {int} within {int} ms", async function(code: number, milliseconds: number) {
    const ended = await Promise.race([getProgram().child.waitForExit(), waitMilliseconds(milliseconds)]);
    assert.equal(ended, code);
});

Then("the program's answer is {int}", function(status: number) {
    assert.equal(answer?.status, status);
    assert.ok(answer?.isComplete);
});

Then("the answer says that its connection closes", function() {
    assert.equal(answer?.headers["connection"], "close");
});

When("the settings file changes and the program gets SIGHUP", async function() {
    const { path, child } = getProgram();
    const text = await readFile(path, "utf8");
    await writeFile(path, text.replace("bounds.budget_slack=56", "bounds.budget_slack=60"));
    child.send("SIGHUP");
});

When("the settings file is spoiled and the program gets SIGHUP", async function() {
    await writeFile(getProgram().path, "nothing\n");
    getProgram().child.send("SIGHUP");
});

Then("the program logs {string}", async function(event: string) {
    await waitUntil(async () => getProgram().child.getOutput().includes(`"event":"${event}"`), {
        label: `the program logs ${event}`,
    });
    assert.ok(await isReady());
});

/** Faults of a settings file, by the words of the table. */
const SETTINGS_FAULTS: Record<string, Record<string, string | undefined>> = {
    "no node_name": { node_name: undefined },
    "a bad address": { "listen.front": "somewhere" },
    "a negative bound": { "bounds.grace_s": "-1" },
};

When(/^the serving program checks a settings file with (.+)$/, async function(fault: string) {
    const { folder, path } = await createSettingsFile(SETTINGS_FAULTS[fault] ?? {});
    const child = startChild(PROGRAM, { arguments: ["--settings", path, "--check"] });
    const code = await child.waitForExit();
    await waitMilliseconds(50);
    checked = { code, output: child.getOutput() };
    await rm(folder, { recursive: true, force: true });
});

Then("it ends with code {int} and a line that names {string}", function(code: number, name: string) {
    assert.equal(checked?.code, code, checked?.output);
    assert.match(checked?.output ?? "", new RegExp(`^knapweed-serve: Cannot use the setting "${name}": .+\\.\n$`));
});

When(
    "a log gets {int} lines of each class a second for {int} seconds",
    function(perSecond: number, seconds: number) {
        clock = new VirtualClock();
        lines = [];
        log = new DecisionLog({ name: "test", clock, writeLine: line => lines.push(line) > 0 });
        for (let index = 0; index < perSecond * seconds; index += 1) {
            clock.setTime(index * 1000 / perSecond);
            for (const lineClass of Object.values(LineClass)) {
                log.record(lineClass, "something happened", { index });
            }
        }
    },
);

Then("it has written no more than its bound and counted the rest", function() {
    const bound = Object.values(DEFAULT_LINES_PER_SECOND).reduce((sum, rate) => sum + rate * (10 + 3), 0);
    assert.ok(lines.length <= bound, `${lines.length} lines beside a bound of ${bound}`);
    assert.equal(lines.length + log.droppedTotal, 4 * 150 * 10);
});

Then("a line of each class tells how many were dropped", function() {
    for (const lineClass of Object.values(LineClass)) {
        const told = lines
            .map(line => JSON.parse(line) as { class: string; droppedLines?: number; })
            .filter(line => line.class === lineClass)
            .reduce((sum, line) => sum + (line.droppedLines ?? 0), 0);
        assert.ok(told > 0, lineClass);
    }
});

When("a log's reader takes nothing", async function() {
    // The child's output is a pipe that nobody reads until it has ended.
    const script = `
        import { DecisionLog, systemClock } from "${process.cwd()}/dist/telemetry/mod.js";
        const rates = { process: 1e6, belief: 1e6, request: 1e6, trouble: 1e6 };
        const log = new DecisionLog({ name: "test", clock: systemClock, rates });
        const startedAt = performance.now();
        for (let index = 0; index < 2000; index += 1) {
            log.record("request", "something happened", { text: "x".repeat(500) });
        }
        process.stderr.write(String(performance.now() - startedAt), () => process.exit(0));
    `;
    const { spawn } = await import("node:child_process");
    const child = spawn(process.execPath, ["--input-type=module", "--eval", script], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    let told = "";
    child.stderr.on("data", (chunk: Buffer) => {
        told += chunk.toString();
    });
    await new Promise<void>(resolve => child.on("exit", () => resolve()));
    elapsed = Number(told);
});

Then("recording {int} lines takes less than {int} ms", function(_lines: number, milliseconds: number) {
    assert.ok(elapsed > 0 && elapsed < milliseconds, `it took ${elapsed} ms`);
});
