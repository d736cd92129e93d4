/**
 * Steps about explanations of where a request would go.
 *
 * @module
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { buildCommand } from "../../control/mod.ts";
import { computePacedScore, estimateMeanPace } from "../../core/serving/mod.ts";
import { waitMilliseconds } from "../../network/mod.ts";
import type { RequestExplanation, ServiceExplanation, TargetExplanation } from "../../serving/mod.ts";
import { startServingSite } from "../../support/platform/mod.ts";
import { callHttp } from "../../support/processes/mod.ts";
import {
    createRequestId,
    formatRequestId,
    getInstance,
    getSite,
    listTargets,
    siteContext,
} from "../support/site_context.ts";

function getAdminAddress(): string {
    const { host, port } = getInstance(1).settings.adminAddress;
    return `${host}:${port}`;
}

let printed: string[] = [];
let sentBefore = 0;

function countReceived(): number {
    return getSite().targets.reduce((sum, { standIn }) => sum + standIn.arrivals.length, 0);
}

async function runExplain(args: readonly string[]): Promise<void> {
    printed = [];
    sentBefore = countReceived();
    const output = {
        print: (line: string): void => void printed.push(line),
        printError: (line: string): void => void printed.push(line),
        setExitCode: (): void => undefined,
    };
    const command = buildCommand({ version: "test", output });
    const request = ["--admin", getAdminAddress(), "--host", "site.example", ...args];
    await command.parseAsync(["node", "knapweedctl", "explain", ...request]);
}

function getService(): ServiceExplanation {
    const { services } = JSON.parse(printed.join("\n")) as RequestExplanation;
    assert.ok(services[0] !== undefined, printed.join("\n"));
    return services[0];
}

Given("a serving site whose engines state the load {string}", async function(load: string) {
    siteContext.site = await startServingSite();
    listTargets("engines").forEach(({ standIn }) => standIn.faults.statedLoad = load);
});

When("an operator asks for {string} as JSON, with the parts {string}", async function(path: string, parts: string) {
    const request = ["--path", path, "--account", "night-shift", "--parts", parts, "--model", "m"];
    await runExplain(["--json", ...request, "--prompt", "100", "--output", "48"]);
});

Then("the engine with the lowest score would get the request, and each score is the sum of its parts", function() {
    const { isPaced, share, decision, targets } = getService();
    assert.deepEqual([isPaced, share, targets.length], [true, 1, 2]);
    assert.ok(decision.kind === "placed" && decision.target === targets[0]?.target, printed.join("\n"));
    assert.equal(decision.score, Math.min(...targets.map(({ score }) => score ?? NaN)));
    for (const { score = NaN, parts } of targets) {
        const { load = NaN, penalty = NaN, zone = NaN, jitter = NaN, saving = NaN } = parts ?? {};
        assert.ok(Math.abs(load + penalty + zone + jitter - saving - score) < 1e-9, printed.join("\n"));
    }
    const stated = targets.filter(({ agesMilliseconds }) => agesMilliseconds?.pace !== undefined);
    assert.ok(stated.length > 0, printed.join("\n"));
    for (const target of stated) {
        const { ageMilliseconds, meanPace } = getStatedPace(target);
        assert.ok(ageMilliseconds >= 0 && meanPace > 1.2 && meanPace < 1.5, printed.join("\n"));
        const expected = estimateMeanPace({ pace: 1.5, ageMilliseconds, meanPace }, 0);
        assert.ok(Math.abs((target.pace ?? 0) - expected) < 1e-3, printed.join("\n"));
    }
});

/** Gets what the explanation says of the pace of a target that states 1.5; ages are rounded to milliseconds. */
function getStatedPace(
    { agesMilliseconds, meanPace = 0, stepFactor = 0 }: TargetExplanation,
): { pace: number; ageMilliseconds: number; meanPace: number; stepFactor: number; othersRequests: number; } {
    return { pace: 1.5, ageMilliseconds: agesMilliseconds?.pace ?? Infinity, meanPace, stepFactor, othersRequests: 0 };
}

/** Computes the score of an idle engine for the explained request. */
function computeIdleScore(target: TargetExplanation, { tokens, isHeld }: { tokens: number; isHeld: boolean; }): number {
    const load = { requests: 0, tokens: 0, waitingPromptTokens: 0 };
    const { route } = JSON.parse(printed.join("\n")) as RequestExplanation;
    const objectives = {
        firstMilliseconds: route?.objectiveMilliseconds ?? 0,
        gapMilliseconds: undefined,
        strictestGapMilliseconds: undefined,
    };
    const engine = { slots: 8, memoryTokens: 30_000, tokensPerEvent: 4, copyMillisecondsPerToken: 1, canMove: false };
    return computePacedScore(
        { slots: 8, load, pace: getStatedPace(target), heldTokens: isHeld ? tokens : 0 },
        { requestLoad: { promptTokens: tokens, outputTokens: 48 }, engine, objectives },
    ).score;
}

Then(
    "one engine is believed to have {int} tokens of the prompt cached, which weighs as much as a wait for them",
    function(tokens: number) {
        const holders = getService().targets.filter(({ heldTokens }) => heldTokens === tokens);
        assert.equal(holders.length, 1, printed.join("\n"));
        const [holder] = holders;
        assert.ok(holder !== undefined);
        const expected = computeIdleScore(holder, { tokens, isHeld: false })
            - computeIdleScore(holder, { tokens, isHeld: true });
        const { saving = 0 } = holder.parts ?? {};
        assert.ok(expected > 0 && Math.abs(saving - expected) < 1e-4, `${saving} instead of ${expected}`);
        assert.ok((holder.agesMilliseconds?.cache ?? -1) >= 0);
    },
);

Then("no target has received a request for it, and none has load", async function() {
    await runExplain(["--json", "--path", "/verdict/1", "--account", "night-shift", "--prompt", "100"]);
    assert.equal(countReceived(), sentBefore);
    assert.deepEqual(getService().targets.map(({ load }) => load?.requests), [0, 0]);
});

/** Lists the tokens that the attempts of the last request were believed to find cached. */
function listHeldTokens(): unknown[] {
    const request = formatRequestId(siteContext.requestCount);
    const line = getInstance(1).lines.find(entry => entry["event"] === "request ended" && entry["request"] === request);
    return (line?.["attempts"] as { heldTokens?: number; }[] | undefined)?.map(({ heldTokens }) => heldTokens) ?? [];
}

When("callers send a {string} until one goes to an engine that has its prompt cached", async function(kind: string) {
    for (let calls = 0; calls < 40 && listHeldTokens()[0] === undefined; calls += 1) {
        siteContext.responses.push(await getSite().call({ kind, id: createRequestId() }));
    }
});

Then("its log line and the metrics say that {int} tokens were believed to be cached", async function(tokens: number) {
    assert.deepEqual(listHeldTokens(), [tokens]);
    const body = (await callHttp({ address: getAdminAddress(), path: "/metrics" })).body.toString();
    assert.ok(body.includes(`knapweed_serving_prefix_cache_tokens_total{service="engines"} ${tokens}\n`));
    assert.ok(body.includes(`knapweed_serving_prefix_cache_requests_total{service="engines"} 1\n`));
});

const EVENTS: Record<string, () => unknown> = {
    "nothing special": () => undefined,
    "the engine leaves": () =>
        listTargets("engines").forEach(target => getSite().writeTarget(target, { state: "draining" })),
    "the zone is evacuated": () => getSite().store.putObject("evacuations", "zone-a", {}),
    "the engine has a request": () =>
        void getSite().call({ kind: "verdict", id: createRequestId() }).catch(() => undefined),
    "the engine states its pace and has a request": () => {
        listTargets("engines").forEach(({ standIn }) => standIn.faults.statedLoad = "1,0,8,150");
        void getSite().call({ kind: "verdict", id: createRequestId() }).catch(() => undefined);
    },
};

Given(/^this is so: (.+)$/, async function(event: string) {
    assert.ok(event in EVENTS, event);
    EVENTS[event]?.();
    await waitMilliseconds(300);
});

When(
    "an operator asks for {string} with {int} tokens and the account {string}",
    async function(path: string, tokens: number, account: string) {
        const caller = account === "-" ? [] : ["--account", account];
        await runExplain(["--path", path, "--prompt", String(tokens), "--output", "48", ...caller]);
    },
);

Then("the tables have {string}", function(text: string) {
    assert.ok(printed.join("\n").includes(text), printed.join("\n"));
});

Then(
    "a {string} of {string} gets the status {int}, and a {string} {int}",
    async function(refused: string, path: string, status: number, read: string, readStatus: number) {
        const call = async (method: string): Promise<number> =>
            (await callHttp({ address: getAdminAddress(), method, path })).status;
        assert.deepEqual([await call(refused), await call(read)], [status, readStatus]);
    },
);
