/**
 * Steps of the serving process against stand-ins for the platform.
 *
 * @module
 */
import { After, type DataTable, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { waitMilliseconds } from "../../network/mod.ts";
import { parseAddress } from "../../network/mod.ts";
import { decodeConfiguration, StoreClient, type StoreReply } from "../../platform/mod.ts";
import { ServingState, type StateSource, type StoreUpdate } from "../../serving/mod.ts";
import {
    buildSiteConfiguration,
    ServingSite,
    type SiteTarget,
    startServingSite,
    StoreStandIn,
} from "../../support/platform/mod.ts";
import { findAddresses, type HttpResult } from "../../support/processes/mod.ts";
import { openStandIn } from "../../support/stand_ins/mod.ts";
import { DecisionLog, systemClock } from "../../telemetry/mod.ts";

let site: ServingSite | undefined;
let answers: HttpResult[] = [];
let stream: { result: Promise<HttpResult | undefined>; text: string; } | undefined;
let reply: StoreReply<unknown> | undefined;
let sentCount = 0;

function getSite(): ServingSite {
    if (site === undefined) {
        throw new Error("Cannot go on: the scenario has no site.");
    }
    return site;
}

function getAnswer(): HttpResult {
    const answer = answers.at(-1);
    if (answer === undefined) {
        throw new Error("Cannot go on: no answer has come.");
    }
    return answer;
}

function createId(): string {
    sentCount += 1;
    return sentCount.toString(16).padStart(16, "0");
}

function listEngines(): SiteTarget[] {
    return getSite().targets.filter(target => target.service === "engines");
}

After(() => {
    site?.close();
    site = undefined;
    answers = [];
    stream = undefined;
});

Given("a serving site", async function() {
    site = await startServingSite();
});

Given("a serving site with slow streams", async function() {
    site = await startServingSite({ eventMilliseconds: 60 });
});

Given("a serving site whose streams take {int} ms an event", async function(eventMilliseconds: number) {
    site = await startServingSite({ eventMilliseconds });
});

Given(
    "a serving site with {int} engines whose streams take {int} ms an event",
    async function(engines: number, eventMilliseconds: number) {
        site = await startServingSite({ engines, eventMilliseconds });
    },
);

Given("a serving site with {int} instances", async function(instances: number) {
    site = await startServingSite({ instances });
});

Given("a serving site with {int} targets of each service", async function(count: number) {
    site = await startServingSite({ plainTargets: count, engines: count });
});

When("{int} targets of each service are gone", function(count: number) {
    for (const service of ["ledger", "engines"]) {
        for (const target of getSite().targets.filter(candidate => candidate.service === service).slice(0, count)) {
            target.opened.close();
        }
    }
});

When("{int} callers send a {string} one after the other", async function(count: number, kind: string) {
    for (let index = 0; index < count; index += 1) {
        answers.push(await getSite().call({ kind, id: createId() }));
    }
});

Then("the request moved once", function() {
    assert.equal(listEngines().flatMap(({ standIn }) => standIn.resumed).length, 1);
});

Given("a site whose store is down", async function() {
    site = new ServingSite();
    await site.openStore();
    site.store.faults.isReset = true;
    await site.addInstance();
});

When("the targets give {string} {int} times", function(fault: string, times: number) {
    // A fault that is to strike once must strike whichever target is asked first.
    let left = times;
    for (const { standIn } of getSite().targets) {
        Object.defineProperty(standIn.faults, "faultyAnswers", {
            get: () => left,
            set: (value: number) => {
                left = value;
            },
        });
        standIn.faults.answer = fault;
    }
});

When("a caller sends a {string}", async function(kind: string) {
    answers.push(await getSite().call({ kind, id: createId(), patience: 1500 }));
});

When("{int} callers send a {string}", async function(count: number, kind: string) {
    const calls = Array.from({ length: count }, () => getSite().call({ kind, id: createId() }));
    answers.push(...await Promise.all(calls));
});

When("a caller sends a {string} with the headers", async function(kind: string, table: DataTable) {
    answers.push(await getSite().call({ kind, id: createId(), headers: table.rowsHash() }));
});

Then(/^the answer is (\d+) and whole$/, function(status: string) {
    const answer = getAnswer();
    assert.equal(answer.status, Number(status), answer.body.toString());
    assert.ok(answer.isComplete, "the answer is not whole");
    if (answer.headers["response-seal"] === undefined && answer.status === 200) {
        assert.fail("a success without the target's signature");
    }
});

Then("all answers are {int}", function(status: number) {
    assert.deepEqual(answers.map(answer => answer.status), answers.map(() => status));
});

Then("the request ran {int} times and arrived {int} times", function(runs: number, arrivals: number) {
    const id = sentCount.toString(16).padStart(16, "0");
    const { targets } = getSite();
    assert.equal(targets.flatMap(({ standIn }) => standIn.started.filter(started => started === id)).length, runs);
    const arrived = targets.flatMap(({ standIn }) => standIn.arrivals.filter(({ requestId }) => requestId === id));
    assert.equal(arrived.length, arrivals);
});

Then("the caller may come back within {int} seconds", function(seconds: number) {
    const { headers, body } = getAnswer();
    const retryAfter = Number(headers["retry-after"]);
    assert.ok(retryAfter > 0 && retryAfter <= seconds, `retry-after is "${headers["retry-after"]}"`);
    assert.match(body.toString(), /"verdict":"not-run"/);
});

Then("the answer has no length of its own", function() {
    const { headers, body } = getAnswer();
    assert.equal(headers["content-length"], undefined);
    assert.equal(headers["transfer-encoding"], undefined);
    assert.equal(body.toString(), "the whole answer");
});

function getArrivedHeaders(): Record<string, unknown> {
    const [arrival] = getSite().targets.flatMap(({ standIn }) => standIn.arrivals);
    return arrival?.headers ?? {};
}

Then("the target got these headers", function(table: DataTable) {
    const headers = getArrivedHeaders();
    for (const [name, value] of Object.entries(table.rowsHash())) {
        assert.equal(headers[name], value, name);
    }
    assert.notEqual(headers["expected-instance"], "elsewhere");
});

Given("a serving site whose account has the rank {string}", async function(rank: string) {
    site = await startServingSite({ accountRank: rank === "none" ? undefined : Number(rank) });
});

Then("the target got the rank {string}", function(rank: string) {
    assert.equal(getArrivedHeaders()["request-priority"] ?? "none", rank);
});

Then("the target got none of {string}", function(names: string) {
    const headers = getArrivedHeaders();
    assert.deepEqual(names.split(",").filter(name => headers[name] !== undefined), []);
});

Then("the target got at most {int} ms", function(most: number) {
    const left = Number(getArrivedHeaders()["deadline-ms"]);
    assert.ok(left > most / 2 && left <= most, `the target got ${left} ms`);
});

When("a caller begins a {string}", function(kind: string) {
    stream = startStream(kind);
});

function startStream(kind: string, signal?: AbortSignal): { result: Promise<HttpResult | undefined>; text: string; } {
    const begun = { result: Promise.resolve<HttpResult | undefined>(undefined), text: "" };
    const onChunk = (chunk: Buffer): void => {
        begun.text += chunk.toString();
    };
    const call = getSite().call({
        kind,
        id: createId(),
        patience: 6000,
        onChunk,
        ...signal === undefined ? {} : { signal },
    });
    begun.result = call.catch(() => undefined);
    return begun;
}

async function waitForEvents(count: number): Promise<void> {
    for (let tries = 0; tries < 400 && (stream?.text.split("\n\n").length ?? 0) <= count; tries += 1) {
        await waitMilliseconds(5);
    }
}

When("a caller sends a {string} and leaves after {int} events", async function(kind: string, events: number) {
    const leaving = new AbortController();
    stream = startStream(kind, leaving.signal);
    await waitForEvents(events);
    leaving.abort();
});

Then("no run is at work within {int} ms", async function(milliseconds: number) {
    await waitMilliseconds(milliseconds);
    assert.equal(listEngines().reduce((sum, { standIn }) => sum + standIn.activeRuns, 0), 0);
});

When(/^the (no|first|last) copy is answered with (\d+)$/, function(step: string, status: string) {
    for (const { standIn } of listEngines()) {
        standIn.faults.moveStep = step === "no" ? "" : step;
        standIn.faults.moveAnswer = Number(status);
    }
});

When("the other engine gives {string} {int} times", function(fault: string, times: number) {
    const other = listEngines().find(({ standIn }) => standIn.activeRuns === 0);
    if (other !== undefined) {
        other.standIn.faults.answer = fault;
        other.standIn.faults.faultyAnswers = times;
    }
});

/** What happens to the engine that runs the stream, by the words of the table. */
const ENGINE_EVENTS: Record<string, (engine: SiteTarget) => void> = {
    "says that it leaves": engine => getSite().writeTarget(engine, { state: "draining" }),
    "tells only itself that it leaves": engine => void (engine.standIn.faults.isLeaving = true),
    "is no longer listed": engine => getSite().store.removeObject("servers", engine.id),
    crashes: engine => engine.standIn.failRuns(),
};

When(
    /^its engine (says that it leaves|tells only itself that it leaves|is no longer listed|crashes) after (\d+) events$/,
    async function(event: string, events: string) {
        await waitForEvents(Number(events));
        const engine = listEngines().find(({ standIn }) => standIn.activeRuns > 0);
        assert.ok(engine !== undefined, "no engine runs the stream");
        ENGINE_EVENTS[event]?.(engine);
    },
);

When(
    "its engine and two others are no longer listed after {int} events and crash {int} ms later",
    async function(events: number, milliseconds: number) {
        await waitForEvents(events);
        const engine = listEngines().find(({ standIn }) => standIn.activeRuns > 0);
        assert.ok(engine !== undefined, "no engine runs the stream");
        const others = listEngines().filter(other => other !== engine).slice(0, 2);
        [engine, ...others].forEach(({ id }) => getSite().store.removeObject("servers", id));
        await waitMilliseconds(milliseconds);
        [engine, ...others].forEach(({ standIn }) => standIn.failRuns());
    },
);

Then(/^the stream is (whole|broken off) and its events are in order$/, async function(end: string) {
    const result = await stream?.result;
    const ids = [...stream?.text.matchAll(/^id: (\d+)$/gm) ?? []].map(match => Number(match[1]));
    assert.equal(result?.isComplete ?? false, end === "whole", `the stream ended after the events ${ids.join(",")}`);
    assert.deepEqual(ids, ids.map((_, index) => index + 1));
    if (end === "whole") {
        assert.equal(ids.length, 12);
    }
});

Then("the request started once", function() {
    assert.equal(listEngines().flatMap(({ standIn }) => standIn.started).length, 1);
});

/** What the store can do wrong, by the words of the table. */
const STORE_FAULTS: Record<string, (store: StoreStandIn) => void> = {
    works: () => undefined,
    "nothing is wrong": () => undefined,
    "its pages hold one object": store => void (store.faults.pageSize = 1),
    "it refuses with 503": store => void (store.faults.refuseWith = 503),
    "it refuses with 429": store => void (store.faults.refuseWith = 429),
    "it resets connections": store => void (store.faults.isReset = true),
    "it never answers": store => void (store.faults.isMute = true),
    "it answers nonsense": store => void (store.faults.isNonsense = true),
    "a watch's history is gone": store => void (store.faults.historyFrom = 1000),
    "the answer to a put is lost": store => void (store.faults.lostAnswers = 1),
    "resets connections": store => {
        store.faults.isReset = true;
        store.breakWatches();
    },
    "refuses with 503": store => void (store.faults.refuseWith = 503),
    "answers nonsense": store => void (store.faults.isNonsense = true),
    "forgets its history": store => void (store.faults.historyFrom = 1000),
};

When(/^the store is asked while (.+)$/, async function(fault: string) {
    const [address = ""] = await findAddresses(1);
    const store = new StoreStandIn();
    const opened = await openStandIn(store, { address });
    const client = new StoreClient({ address: parseAddress(address), timeoutMilliseconds: 200 });
    for (const name of ["a", "b", "c"]) {
        store.putObject("things", name, { name });
    }
    STORE_FAULTS[fault]?.(store);
    if (fault.includes("watch")) {
        reply = await client.watchObjects("things", { revision: 1, waitMilliseconds: 20 });
    }
    else if (fault.includes("put")) {
        reply = await client.putObject("things", { name: "d", spec: {} });
    }
    else {
        const listed = await client.listObjects("things");
        assert.ok(listed.kind !== "ok" || listed.value.objects.length === 3, "a page is missing");
        reply = listed;
    }
    client.close();
    opened.close();
});

Then("the store's reply is {string}", function(kind: string) {
    assert.equal(reply?.kind, kind);
});

When(
    /^the store (works|resets connections|refuses with 503|answers nonsense|forgets its history)$/,
    async function(fault: string) {
        STORE_FAULTS[fault]?.(getSite().store);
        await waitMilliseconds(50);
    },
);

When("the store recovers", async function() {
    await waitMilliseconds(150);
    Object.assign(getSite().store.faults, { isReset: false, refuseWith: 0, isNonsense: false, historyFrom: 0 });
});

When("the operator writes version {int} without the route {string}", function(version: number, withoutRoute: string) {
    getSite().store.putObject("config", "main", buildSiteConfiguration(version, { withoutRoute }));
});

When("the operator writes version {int} with all routes", function(version: number) {
    getSite().store.putObject("config", "main", buildSiteConfiguration(version));
});

When("the operator empties {string}", function(zone: string) {
    getSite().store.putObject("evacuations", zone, {});
});

When("the operator returns {string}", function(zone: string) {
    getSite().store.removeObject("evacuations", zone);
});

async function waitForStatus(
    call: { kind: string; status: number; within: number; instance?: number; },
): Promise<void> {
    const until = performance.now() + call.within;
    for (;;) {
        const answer = await getSite().call({ kind: call.kind, id: createId(), instance: call.instance ?? 0 });
        if (answer.status === call.status) {
            return;
        }
        assert.ok(performance.now() < until, `still answered with ${answer.status}: ${answer.body}`);
        await waitMilliseconds(20);
    }
}

Then(
    /^a "(\w+)" is (?:answered|refused) with (\d+) within (\d+) ms$/,
    async function(kind: string, status: string, within: string) {
        await waitForStatus({ kind, status: Number(status), within: Number(within) });
    },
);

Then(
    "a {string} is still answered with {int} after {int} ms",
    async function(kind: string, status: number, milliseconds: number) {
        await waitMilliseconds(milliseconds);
        await waitForStatus({ kind, status, within: 0 });
    },
);

Then(
    "a {string} is answered with {int} by both instances within {int} ms",
    async function(kind: string, status: number, within: number) {
        await waitForStatus({ kind, status, within });
        await waitForStatus({ kind, status, within, instance: 1 });
    },
);

When("the watches of instance {int} go silent", async function(instance: number) {
    // From now on the store answers no watch of this instance; the other one's peer link is the way left.
    const { store } = getSite();
    const handle = store.handleRequest.bind(store);
    const source = getSite().instances[instance - 1]?.process;
    assert.ok(source !== undefined);
    const silent = new Set<unknown>();
    let seen = 0;
    store.handleRequest = async (request, response, body) => {
        if (request.url?.includes("watch=") === true) {
            seen += 1;
            if (seen % 2 === 0) {
                silent.add(request.socket);
            }
        }
        if (!silent.has(request.socket)) {
            await handle(request, response, body);
        }
    };
});

When("another instance starts", async function() {
    await getSite().addInstance();
});

Then("it is ready within {int} ms", async function(milliseconds: number) {
    const until = performance.now() + milliseconds;
    const index = getSite().instances.length - 1;
    while (!await getSite().isReady(index)) {
        assert.ok(performance.now() < until, "the instance is not ready");
        await waitMilliseconds(20);
    }
});

When("the store gets these entries of targets", async function(table: DataTable) {
    for (const { name = "", entry = "" } of table.hashes()) {
        getSite().store.putObject("servers", name, JSON.parse(entry));
    }
    await waitMilliseconds(100);
});

/** Longest wait of one watch, and some time for the call. */
const WATCH_END = 3500;

Given("the first watch of each instance has ended", async function() {
    await waitMilliseconds(WATCH_END);
});

When("the operator writes version {int} with {int} further routes", function(version: number, count: number) {
    const configuration = buildSiteConfiguration(version);
    const [first] = configuration.routes as Record<string, unknown>[];
    const further = Array.from({ length: count }, (_, index) => ({
        ...first,
        name: `further-${index}`,
        path_prefix: `/further-${index}/`,
    }));
    const routes = [...configuration.routes as unknown[], ...further];
    getSite().store.putObject("config", "main", { ...configuration, routes });
});

function findAdoption(lines: readonly Record<string, unknown>[], version: number): string | undefined {
    const line = lines.find(entry => entry.event === "configuration adopted" && entry.version === version);
    return line === undefined ? undefined : String(line.source);
}

Then(
    "each instance has adopted version {int} within {int} ms",
    async function(version: number, milliseconds: number) {
        const until = performance.now() + milliseconds;
        while (getSite().instances.some(({ lines }) => findAdoption(lines, version) === undefined)) {
            assert.ok(performance.now() < until, `not all instances have adopted version ${version}`);
            await waitMilliseconds(20);
        }
    },
);

Then("the instances that do not watch got it from the {string}", function(source: string) {
    const sources = getSite().instances.map(({ lines }) => findAdoption(lines, 9) ?? "").sort();
    assert.equal(sources.filter(name => name === "store").length, 3, sources.join(", "));
    // An instance that hears late of a version reads it from the store before the peer's message comes.
    const allowed = source.split(" or ");
    const others = sources.filter(name => name !== "store");
    assert.ok(others.every(name => allowed.some(start => name.startsWith(start))), sources.join(", "));
});

let told: StoreUpdate[] = [];

When("an instance learns a configuration from the {string}", async function(source: string) {
    site = await startServingSite();
    const configuration = decodeConfiguration({
        name: "main",
        revision: 1,
        spec: buildSiteConfiguration(9),
    });
    const [instance] = site.instances;
    assert.ok(configuration !== undefined && instance !== undefined);
    const state = new ServingState({
        settings: instance.settings,
        clock: systemClock,
        log: new DecisionLog({ name: "test", clock: systemClock, writeLine: () => true }),
    });
    told = [];
    state.storeUpdateListeners.push(news => told.push(news));
    assert.ok(state.adoptConfiguration(configuration, source as StateSource));
});

Then("it tells its peers {string}", function(what: string) {
    const name = told.length === 0 ? "nobody" : told.some(news => news.configuration !== undefined) ? "all" : "nothing";
    assert.equal(name, what);
});
