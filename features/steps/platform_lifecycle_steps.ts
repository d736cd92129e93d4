/**
 * Steps that start, reload and stop the serving process, and that check the limits of its log.
 *
 * @module
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { type IncomingMessage, request as startRequest } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import { VirtualClock } from "../../core/clock/mod.ts";
import { parseAddress, waitMilliseconds } from "../../network/mod.ts";
import { formatSettingsText, LONG_RESPONSE_BODY, ServingSite, SITE_API_KEY } from "../../support/platform/mod.ts";
import {
    callHttp,
    findAddresses,
    type HttpResult,
    type RunningChild,
    startChild,
    waitUntil,
} from "../../support/processes/mod.ts";
import { DecisionLog, DEFAULT_LINES_PER_SECOND, LineClass } from "../../telemetry/mod.ts";
import { callUntilEnded, type ClingingRequest } from "../support/platform_clinging_callers.ts";

interface ServingProcessState {
    site: ServingSite;
    child: RunningChild;
    /** Temporary folder of the settings file. */
    folder: string;
    /** Path of the settings file. */
    path: string;
    /** Address that callers reach. */
    caller: string;
    /** Address of the readiness check. */
    ready: string;
}

const PROGRAM_PATH = "dist/bin/knapweed_serve.js";
const BUNDLE_PATH = "target/bin/knapweed_serve.js";
let servingProcess: ServingProcessState | undefined;
let stream: Promise<HttpResult | undefined> | undefined;
let response: HttpResult | undefined;
let clingingRequests: Promise<ClingingRequest[][]> | undefined;
/** Time at which the serving process handled SIGTERM, on the monotonic clock in milliseconds. */
let stoppingAt = 0;
let checkResult: { code: number; output: string; } | undefined;
let clock = new VirtualClock();
let logLines: string[] = [];
let log = new DecisionLog({ name: "test", clock, writeLine: () => true });
let elapsedMilliseconds = 0;

function getServingProcess(): ServingProcessState {
    if (servingProcess === undefined) {
        throw new Error("Cannot run the step: the scenario has not started a serving process.");
    }
    return servingProcess;
}

After(async () => {
    servingProcess?.child.sendSignal("SIGKILL");
    servingProcess?.site.close();
    if (servingProcess !== undefined) {
        await rm(servingProcess.folder, { recursive: true, force: true });
    }
    servingProcess = undefined;
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

Given("a running serving process", () => startServingProcess(PROGRAM_PATH));

Given("a running serving process that has {int} s to stop", async function(seconds: number) {
    await startServingProcess(PROGRAM_PATH, { "bounds.grace_s": String(seconds) });
});

// A bundle that runs its modules in another order than their imports ends at its start.
Given("a running serving process from the bundle", async function() {
    await promisify(execFile)("npm", ["run", "--silent", "bundle"]);
    await startServingProcess(BUNDLE_PATH);
});

async function startServingProcess(program: string, settings: Record<string, string> = {}): Promise<void> {
    const site = new ServingSite();
    await site.openStore();
    await site.addTarget("ledger");
    await site.addTarget("engines", { eventMilliseconds: 80 });
    const file = await createSettingsFile(settings, site.storeAddress);
    const child = startChild(program, { arguments: ["--settings", file.path] });
    servingProcess = { site, child, ...file };
    await waitUntil(async () => await isReady(), { label: "the serving process is ready" });
}

async function isReady(): Promise<boolean> {
    const result = await callHttp({ address: getServingProcess().ready, path: "/readyz" }).catch(() => undefined);
    return result?.status === 200;
}

/** Deadline of requests for which a scenario states none, in milliseconds. */
const DEFAULT_DEADLINE_MILLISECONDS = 5000;

/** Kinds of requests that scenarios send to the serving process. */
type RequestKind = "stamp" | "lookup" | "narrative";

/** Options of a request to the serving process. */
interface CallerOptions {
    /** Largest number of tokens of a narrative. Defaults to 48. */
    maxTokens?: number;
    /** Deadline, in milliseconds. Defaults to 5000. */
    deadlineMilliseconds?: number;
}

function callServingProcess(
    kind: RequestKind,
    options: CallerOptions & { id?: string; } = {},
): Promise<HttpResult> {
    const { id = "00000000000000aa" } = options;
    return callHttp({
        address: getServingProcess().caller,
        method: "POST",
        path: `/${kind}/1`,
        headers: { ...buildCallerHeaders(kind, options), "attempt-id": id },
        body: "the body",
    });
}

/** Builds the headers of a caller's request, without its identifier. */
function buildCallerHeaders(
    kind: string,
    { maxTokens = 48, deadlineMilliseconds = DEFAULT_DEADLINE_MILLISECONDS }: CallerOptions = {},
): Record<string, string> {
    return {
        host: "site.example",
        "deadline-ms": String(deadlineMilliseconds),
        authorization: `Bearer ${SITE_API_KEY}`,
        connection: "keep-alive",
        ...kind === "narrative" ? { model: "m", "token-counts": `100,${maxTokens}` } : {},
    };
}

When("a caller starts a {string} at the serving process", async function(kind: "stamp" | "narrative") {
    stream = callServingProcess(kind).catch(() => undefined);
    await waitMilliseconds(200);
});

/** Time between two reads of a caller that limits its rate, in milliseconds. */
const READ_INTERVAL_MILLISECONDS = 20;
let slowAnswer: Promise<{ bytes: number; isComplete: boolean; }> | undefined;

async function readSlowly(incoming: IncomingMessage, bytesPerSecond: number): Promise<number> {
    const startedAt = performance.now();
    let bytes = 0;
    for await (const chunk of incoming as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        while (bytes > (performance.now() - startedAt) / 1000 * bytesPerSecond) {
            await waitMilliseconds(READ_INTERVAL_MILLISECONDS);
        }
    }
    return bytes;
}

/** Has all targets answer in a way, by the name that `TargetStandIn` uses. */
function setAnswer(answer: string): void {
    for (const { standIn } of getServingProcess().site.targets) {
        Object.assign(standIn.faults, { answer, faultyAnswers: Infinity });
    }
}

let answer: Promise<HttpResult | undefined> | undefined;

When("a {string} is answered without a length, and its connection ends after 500 ms", async function(kind: "stamp") {
    setAnswer("an unframed answer that ends later");
    answer = callServingProcess(kind).catch(() => undefined);
    await waitMilliseconds(200);
});

When("the serving process is paused for {int} ms meanwhile", async function(milliseconds: number) {
    if (milliseconds > 0) {
        getServingProcess().child.sendSignal("SIGSTOP");
        await waitMilliseconds(milliseconds);
        getServingProcess().child.sendSignal("SIGCONT");
    }
});

Then(/^the caller has received (the whole answer|no success)$/, async function(result: string) {
    const received = await answer;
    const isWhole = received?.status === 200 && received.isComplete;
    assert.equal(isWhole, result === "the whole answer", `status ${received?.status}`);
});

When("a caller reads a long answer at {int} KB a second", async function(kilobytes: number) {
    const { caller } = getServingProcess();
    setAnswer("a long unframed answer");
    const request = startRequest({
        ...parseAddress(caller),
        method: "POST",
        path: "/stamp/1",
        headers: { ...buildCallerHeaders("stamp"), "attempt-id": "00000000000000aa" },
    });
    request.end();
    const [incoming] = await once(request, "response") as [IncomingMessage];
    slowAnswer = readSlowly(incoming, kilobytes * 1024).then(
        bytes => ({ bytes, isComplete: incoming.complete }),
        () => ({ bytes: 0, isComplete: false }),
    );
});

Then("the caller has received the whole long answer", async function() {
    assert.deepEqual(await slowAnswer, { bytes: LONG_RESPONSE_BODY.length, isComplete: true });
});

When(
    "a caller sends a {string} of at most {int} tokens to the serving process",
    async function(kind: "stamp" | "narrative", tokens: number) {
        response = await callServingProcess(kind, { maxTokens: tokens });
    },
);

Then("the caller is told to retry soon, and no engine has received the request", function() {
    const retryAfter = Number(response?.headers["retry-after"]);
    assert.ok(retryAfter > 0 && retryAfter < 1, `retry-after is "${response?.headers["retry-after"]}"`);
    assert.deepEqual(getServingProcess().site.targets.flatMap(({ standIn }) => standIn.arrivals), []);
});

When("a caller sends a {string} to the serving process", async function(kind: "stamp" | "narrative") {
    response = await callServingProcess(kind);
});

/** Waits until the serving process has written a line about an event. */
async function waitForEvent(event: string): Promise<void> {
    await waitUntil(async () => getServingProcess().child.getOutput().includes(`"event":"${event}"`), {
        label: `the serving process logs ${event}`,
    });
}

// A request that is sent at once could be read before the signal has been handled.
When("the serving process receives SIGTERM", async function() {
    getServingProcess().child.sendSignal("SIGTERM");
    await waitForEvent("stopping");
    stoppingAt = performance.now();
});

When(
    /^the serving process receives (SIGTERM|SIGINT) (\d+) more times$/,
    async function(signal: NodeJS.Signals, times: string) {
        for (let count = 0; count < Number(times); count += 1) {
            getServingProcess().child.sendSignal(signal);
            await waitMilliseconds(100);
        }
        await waitForEvent("already stopping");
    },
);

/** Identifier of a request that is sent after SIGTERM. */
const LATE_REQUEST_ID = "00000000000000bb";

When(
    /^a caller sends a "(stamp|lookup)"(?: with a deadline of (\d+) ms)? to the serving process (\d+) ms after SIGTERM$/,
    async function(kind: RequestKind, deadline: string | undefined, milliseconds: string) {
        await waitMilliseconds(Math.max(0, stoppingAt + Number(milliseconds) - performance.now()));
        const deadlineMilliseconds = Number(deadline ?? DEFAULT_DEADLINE_MILLISECONDS);
        response = await callServingProcess(kind, { id: LATE_REQUEST_ID, deadlineMilliseconds });
    },
);

Then("no target has received that request", function() {
    assert.ok(!listArrivals().includes(LATE_REQUEST_ID));
});

When("the targets take {int} ms to answer a request", function(milliseconds: number) {
    for (const { standIn: { faults } } of getServingProcess().site.targets) {
        faults.serviceMilliseconds = milliseconds;
    }
});

When("the targets answer nothing", function() {
    for (const { standIn: { faults } } of getServingProcess().site.targets) {
        faults.answer = "silence";
        faults.faultyAnswers = Infinity;
    }
});

/** Kinds of the requests that clinging callers send, in turn. */
const CLINGING_KINDS = ["stamp", "lookup", "narrative"] as const;
/** Time within which a caller whose connection was closed without an answer may have sent its request. */
const CLOSE_SLACK_MILLISECONDS = 200;

When(
    "{int} callers cling to the serving process for {int} ms",
    async function(callers: number, milliseconds: number) {
        const { caller, child } = getServingProcess();
        clingingRequests = Promise.all(Array.from({ length: callers }, (_, index) => {
            const kind = CLINGING_KINDS[index % CLINGING_KINDS.length] ?? "stamp";
            return callUntilEnded({
                ...parseAddress(caller),
                path: `/${kind}/1`,
                headers: buildCallerHeaders(kind),
                prefix: `c${index}`,
            }, () => !child.isRunning());
        }));
        await waitMilliseconds(milliseconds);
    },
);

function listArrivals(): string[] {
    return getServingProcess().site.targets.flatMap(({ standIn }) => standIn.arrivals).map(({ requestId }) =>
        requestId
    );
}

Then("the clinging callers were served after SIGTERM", async function() {
    const served = (await clingingRequests ?? []).map(requests =>
        requests.filter(({ status, endedAt }) => status === 200 && endedAt > stoppingAt).length
    );
    assert.ok(served.every(count => count > 0), `the callers were served ${served.join(", ")} times`);
});

Then("each of their requests that reached a target was answered completely", async function() {
    const arrived = new Set(listArrivals());
    const cut = (await clingingRequests ?? []).flat().filter(({ id, isComplete, end, milliseconds }) =>
        !isComplete && (arrived.has(id) || end === "answered" || milliseconds > CLOSE_SLACK_MILLISECONDS)
    );
    assert.deepEqual(cut, []);
});

Then("none of their requests ran twice, or although its caller was told that it had not run", async function() {
    const arrivals = listArrivals();
    const arrived = new Set(arrivals);
    assert.equal(arrived.size, arrivals.length);
    const refused = (await clingingRequests ?? []).flat().filter(({ status, verdict }) =>
        status === 503 || verdict === "not-run"
    );
    assert.ok(refused.length > 0, "no request was refused");
    assert.deepEqual(refused.filter(({ id, status }) => status !== 503 || arrived.has(id)), []);
});

Then("the serving process is not ready after {int} ms", async function(milliseconds: number) {
    await waitMilliseconds(milliseconds);
    assert.equal(await isReady(), false);
});

Then("the caller has received the whole stream", async function() {
    const result = await stream;
    assert.ok(result?.isComplete, "the stream is incomplete");
    assert.match(result.body.toString(), /id: 12\n/);
});

Then("the serving process exits with code {int} within {int} ms", async function(code: number, milliseconds: number) {
    const exitCode = await Promise.race([getServingProcess().child.waitForExit(), waitMilliseconds(milliseconds)]);
    assert.equal(exitCode, code);
});

Then("the response of the serving process has the status {int}", function(status: number) {
    assert.equal(response?.status, status);
    assert.ok(response?.isComplete);
});

Then("the response announces that its connection is closed", function() {
    assert.equal(response?.headers["connection"], "close");
});

When("the settings file changes and the serving process receives SIGHUP", async function() {
    const { path, child } = getServingProcess();
    const text = await readFile(path, "utf8");
    await writeFile(path, text.replace("bounds.budget_slack=56", "bounds.budget_slack=60"));
    child.sendSignal("SIGHUP");
});

When("the settings file becomes invalid and the serving process receives SIGHUP", async function() {
    await writeFile(getServingProcess().path, "nothing\n");
    getServingProcess().child.sendSignal("SIGHUP");
});

Then("the serving process logs {string}", async function(event: string) {
    await waitForEvent(event);
    assert.ok(await isReady());
});

/** Changes that make a settings file invalid, by the fault's name in the feature file. */
const SETTINGS_FAULTS: Record<string, Record<string, string | undefined>> = {
    "no node_name": { node_name: undefined },
    "an invalid address": { "listen.front": "somewhere" },
    "a negative bound": { "bounds.grace_s": "-1" },
};

When(/^the serving process checks a settings file with (.+)$/, async function(fault: string) {
    const { folder, path } = await createSettingsFile(SETTINGS_FAULTS[fault] ?? {});
    const child = startChild(PROGRAM_PATH, { arguments: ["--settings", path, "--check"] });
    const code = await child.waitForExit();
    await waitMilliseconds(50);
    checkResult = { code, output: child.getOutput() };
    await rm(folder, { recursive: true, force: true });
});

Then("it exits with code {int} and one line that names {string}", function(code: number, name: string) {
    assert.equal(checkResult?.code, code, checkResult?.output);
    assert.match(checkResult?.output ?? "", new RegExp(`^knapweed-serve: Cannot use the setting "${name}": .+\\.\n$`));
});

When(
    "{int} lines of each class a second are logged for {int} seconds",
    function(linesPerSecond: number, seconds: number) {
        clock = new VirtualClock();
        logLines = [];
        log = new DecisionLog({ name: "test", clock, writeLine: line => logLines.push(line) > 0 });
        for (let index = 0; index < linesPerSecond * seconds; index += 1) {
            clock.setTime(index * 1000 / linesPerSecond);
            for (const lineClass of Object.values(LineClass)) {
                log.record(lineClass, "something happened", { index });
            }
        }
    },
);

Then("no more lines are written than the limit, and the others are counted", function() {
    // In 10 seconds a class may log its sustained rate and the 3 seconds of it that its token bucket holds.
    const maxLines = Object.values(DEFAULT_LINES_PER_SECOND).reduce((sum, rate) => sum + rate * (10 + 3), 0);
    assert.ok(logLines.length <= maxLines, `${logLines.length} lines were written, and the limit is ${maxLines}`);
    assert.equal(logLines.length + log.droppedTotal, 4 * 150 * 10);
});

Then("a line of each class has the number of lines dropped before it", function() {
    for (const lineClass of Object.values(LineClass)) {
        const droppedLines = logLines
            .map(line => JSON.parse(line) as { class: string; droppedLines?: number; })
            .filter(line => line.class === lineClass)
            .reduce((sum, line) => sum + (line.droppedLines ?? 0), 0);
        assert.ok(droppedLines > 0, lineClass);
    }
});

When("a process logs and its output is not read", async function() {
    // The child's standard output is a pipe from which this process does not read while the child runs.
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
    let errorOutput = "";
    child.stderr.on("data", (chunk: Buffer) => {
        errorOutput += chunk.toString();
    });
    await new Promise<void>(resolve => child.on("exit", () => resolve()));
    elapsedMilliseconds = Number(errorOutput);
});

Then("recording {int} lines takes less than {int} ms", function(_lines: number, milliseconds: number) {
    assert.ok(
        elapsedMilliseconds > 0 && elapsedMilliseconds < milliseconds,
        `recording the lines took ${elapsedMilliseconds} ms`,
    );
});
