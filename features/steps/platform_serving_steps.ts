/**
 * Steps that run a serving site: serving processes with stand-ins for the platform's store and targets.
 *
 * @module
 */
import { After, type DataTable, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { waitMilliseconds } from "../../network/mod.ts";
import { parseAddress } from "../../network/mod.ts";
import { decodeConfiguration, StoreClient } from "../../platform/mod.ts";
import { ServingState, type StateSource, type StoreUpdate } from "../../serving/mod.ts";
import {
    buildSiteConfiguration,
    ServingSite,
    type SiteCall,
    type SiteTarget,
    startServingSite,
    StoreStandIn,
} from "../../support/platform/mod.ts";
import { findAddresses, type HttpResult } from "../../support/processes/mod.ts";
import { openStandIn } from "../../support/stand_ins/mod.ts";
import { DecisionLog, systemClock } from "../../telemetry/mod.ts";
import { closeCallerConnections } from "../support/caller_connections.ts";
import {
    closeSite,
    createRequestId,
    formatRequestId,
    getInstance,
    getLastResponse,
    getSite,
    siteContext,
} from "../support/site_context.ts";

/** A stream that a caller has started. */
interface StartedStream {
    result: Promise<HttpResult | undefined>;
    text: string;
    /** Time of the start, on the monotonic clock in milliseconds. */
    startedAt: number;
}

let stream: StartedStream | undefined;

function listEngines(): SiteTarget[] {
    return getSite().targets.filter(target => target.service === "engines");
}

After(() => {
    closeSite();
    stream = undefined;
});

Given("a serving site", async function() {
    siteContext.site = await startServingSite();
});

Given("a serving site with slow streams", async function() {
    siteContext.site = await startServingSite({ eventMilliseconds: 60 });
});

Given("a serving site whose engines send an event every {int} ms", async function(eventMilliseconds: number) {
    siteContext.site = await startServingSite({ eventMilliseconds });
});

Given(
    "a serving site with {int} engines that send an event every {int} ms",
    async function(engines: number, eventMilliseconds: number) {
        siteContext.site = await startServingSite({ engines, eventMilliseconds });
    },
);

Given("a serving site with {int} instances", async function(instances: number) {
    siteContext.site = await startServingSite({ instances });
});

Given("a serving site with {int} targets of each service", async function(count: number) {
    siteContext.site = await startServingSite({ plainTargets: count, engines: count });
});

When("{int} targets of each service shut down", function(count: number) {
    for (const service of ["ledger", "engines"]) {
        for (const target of getSite().targets.filter(candidate => candidate.service === service).slice(0, count)) {
            target.opened.close();
        }
    }
});

When("{int} callers send a {string} one after the other", async function(count: number, kind: string) {
    for (let index = 0; index < count; index += 1) {
        siteContext.responses.push(await getSite().call({ kind, id: createRequestId() }));
    }
});

When(
    "{int} callers send a {string} one after the other, at intervals of {int} ms",
    async function(count: number, kind: string, milliseconds: number) {
        for (let index = 0; index < count; index += 1) {
            siteContext.responses.push(await getSite().call({ kind, id: createRequestId() }));
            await waitMilliseconds(milliseconds);
        }
    },
);

Then(
    "each response with the status 200 is the caller's own, and the others do not claim that the request did not run",
    function() {
        const firstCount = siteContext.requestCount - siteContext.responses.length + 1;
        for (const [index, { status, headers, body }] of siteContext.responses.entries()) {
            if (status === 200) {
                assert.equal(headers["attempt-id"], formatRequestId(firstCount + index));
            }
            else {
                assert.ok(![408, 421, 429, 503].includes(status), body.toString());
            }
        }
        assert.ok(siteContext.responses.filter(({ status }) => status === 200).length >= 4, "too few were served");
    },
);

Then("the generation was moved once", function() {
    assert.equal(listEngines().flatMap(({ standIn }) => standIn.resumed).length, 1);
});

Given("a serving site whose store is down", async function() {
    const site = new ServingSite();
    siteContext.site = site;
    await site.openStore();
    site.store.faults.isReset = true;
    await site.addInstance();
});

When("the targets respond with {string} {int} times", function(fault: string, times: number) {
    // All targets share one counter, so that the fault affects the first requests whichever target gets them.
    let remainingFaults = times;
    for (const { standIn } of getSite().targets) {
        Object.defineProperty(standIn.faults, "faultyAnswers", {
            get: () => remainingFaults,
            set: (value: number) => {
                remainingFaults = value;
            },
        });
        standIn.faults.answer = fault;
    }
});

When("a caller sends a {string}", async function(kind: string) {
    siteContext.responses.push(await getSite().call({ kind, id: createRequestId(), deadlineMilliseconds: 1500 }));
});

When("{int} callers send a {string}", async function(count: number, kind: string) {
    const calls = Array.from({ length: count }, () => getSite().call({ kind, id: createRequestId() }));
    siteContext.responses.push(...await Promise.all(calls));
});

When("a caller sends a {string} with the headers", async function(kind: string, table: DataTable) {
    siteContext.responses.push(await getSite().call({ kind, id: createRequestId(), headers: table.rowsHash() }));
});

When("a caller sends a {string} with a header of {int} bytes", async function(kind: string, bytes: number) {
    const headers = { "x-padding": "x".repeat(bytes) };
    siteContext.responses.push(await getSite().call({ kind, id: createRequestId(), headers }));
});

Then(/^the response has the status (\d+) and is whole$/, function(status: string) {
    const response = getLastResponse();
    assert.equal(response.status, Number(status), response.body.toString());
    assert.ok(response.isComplete, "the response is incomplete");
    if (response.headers["response-seal"] === undefined && response.status === 200) {
        assert.fail("the response has the status 200 but not the target's signature");
    }
});

Then("the body of the response is the target's whole answer", function() {
    const body = getLastResponse().body.toString();
    const events = [...body.matchAll(/^id: (\d+)$/gm)].map(([, number]) => Number(number));
    assert.ok(
        body === "the whole answer" || events.join(",") === "1,2,3,4,5,6,7,8,9,10,11,12",
        `the body is "${body}"`,
    );
});

Then("all responses have the status {int}", function(status: number) {
    assert.deepEqual(siteContext.responses.map(response => response.status), siteContext.responses.map(() => status));
});

Then("the request ran {int} times and arrived at targets {int} times", function(runs: number, arrivals: number) {
    const lastRequestId = formatRequestId(siteContext.requestCount);
    const { targets } = getSite();
    assert.equal(
        targets.flatMap(({ standIn }) => standIn.started.filter(started => started === lastRequestId)).length,
        runs,
    );
    const arrived = targets.flatMap(({ standIn }) =>
        standIn.arrivals.filter(({ requestId }) => requestId === lastRequestId)
    );
    assert.equal(arrived.length, arrivals);
});

Then("the caller is told that the request did not run and to retry within {int} seconds", function(seconds: number) {
    const { headers, body } = getLastResponse();
    const retryAfter = Number(headers["retry-after"]);
    assert.ok(retryAfter > 0 && retryAfter <= seconds, `retry-after is "${headers["retry-after"]}"`);
    assert.match(body.toString(), /"verdict":"not-run"/);
});

Then("the response is whole, has chunks and no length", function() {
    const { headers, isComplete, body } = getLastResponse();
    assert.equal(headers["content-length"], undefined);
    assert.equal(headers["transfer-encoding"], "chunked");
    assert.equal(isComplete, true);
    assert.equal(body.toString(), "the whole answer");
});

function getForwardedHeaders(): Record<string, unknown> {
    const [arrival] = getSite().targets.flatMap(({ standIn }) => standIn.arrivals);
    return arrival?.headers ?? {};
}

Then("the target got these headers", function(table: DataTable) {
    const headers = getForwardedHeaders();
    for (const [name, value] of Object.entries(table.rowsHash())) {
        assert.equal(headers[name], value, name);
    }
    assert.notEqual(headers["expected-instance"], "elsewhere");
});

Given("a serving site whose account has the priority {string}", async function(priority: string) {
    siteContext.site = await startServingSite({ accountPriority: priority === "none" ? undefined : Number(priority) });
});

Then("the target got the priority {string}", function(priority: string) {
    assert.equal(getForwardedHeaders()["request-priority"] ?? "none", priority);
});

Then("the target got none of {string}", function(names: string) {
    const headers = getForwardedHeaders();
    assert.deepEqual(names.split(",").filter(name => headers[name] !== undefined), []);
});

Then("the target got a deadline of at most {int} ms", function(limit: number) {
    const remainingMilliseconds = Number(getForwardedHeaders()["deadline-ms"]);
    assert.ok(
        remainingMilliseconds > limit / 2 && remainingMilliseconds <= limit,
        `the target got a deadline of ${remainingMilliseconds} ms`,
    );
});

When("a caller starts a {string}", function(kind: string) {
    stream = startStream(kind);
});

When("a caller starts a {string} with a deadline of {int} ms", function(kind: string, deadlineMilliseconds: number) {
    stream = startStream(kind, { deadlineMilliseconds });
});

Then("the stream is broken off within {int} ms of its start", async function(milliseconds: number) {
    const result = await stream?.result;
    const elapsed = performance.now() - (stream?.startedAt ?? 0);
    assert.notEqual(result?.isComplete, true, "the stream looks complete");
    assert.ok(elapsed <= milliseconds, `it was broken off after ${elapsed} ms`);
});

function startStream(
    kind: string,
    options: Pick<SiteCall, "signal" | "deadlineMilliseconds"> = {},
): StartedStream {
    const startedStream: StartedStream = { result: Promise.resolve(undefined), text: "", startedAt: performance.now() };
    const onChunk = (chunk: Buffer): void => {
        startedStream.text += chunk.toString();
    };
    const call = getSite().call({
        kind,
        id: createRequestId(),
        deadlineMilliseconds: 6000,
        onChunk,
        ...options,
    });
    startedStream.result = call.catch(() => undefined);
    return startedStream;
}

async function waitForEvents(count: number): Promise<void> {
    for (let attempt = 0; attempt < 400 && (stream?.text.split("\n\n").length ?? 0) <= count; attempt += 1) {
        await waitMilliseconds(5);
    }
}

When("a caller sends a {string} and disconnects after {int} events", async function(kind: string, events: number) {
    const abortController = new AbortController();
    stream = startStream(kind, { signal: abortController.signal });
    await waitForEvents(events);
    abortController.abort();
});

Then("no engine is running a generation after {int} ms", async function(milliseconds: number) {
    await waitMilliseconds(milliseconds);
    assert.equal(listEngines().reduce((sum, { standIn }) => sum + standIn.activeGenerations, 0), 0);
});

When(/^(no|first|last) copy fails with the status (\d+)$/, function(step: string, status: string) {
    for (const { standIn } of listEngines()) {
        standIn.faults.moveStep = step === "no" ? "" : step;
        standIn.faults.moveStatus = Number(status);
    }
});

When("all targets send streams without a length", function() {
    for (const { standIn } of getSite().targets) {
        standIn.faults.isUnframed = true;
    }
});

When("its target ends after {int} events", async function(events: number) {
    await waitForEvents(events);
    const target = getSite().targets.find(({ standIn }) => standIn.activeGenerations > 0);
    assert.ok(target !== undefined, "no target sends the stream");
    target.standIn.abortGenerations();
    target.opened.close();
});

When("each engine ends right after its first stream", function() {
    for (const { standIn, opened } of listEngines()) {
        standIn.onStreamEnd = () => opened.close();
    }
});

When("the engines send streams without a length", function() {
    for (const { standIn } of listEngines()) {
        standIn.faults.isUnframed = true;
    }
});

When(/^the engines answer their reports (late|with a reset)$/, function(fault: string) {
    for (const { standIn } of listEngines()) {
        standIn.faults.reportFault = fault === "late" ? "late" : "reset";
    }
});

When("its engine refuses a verdict and asks for a pause of {int} s after {int} events", async function(
    seconds: number,
    events: number,
) {
    await waitForEvents(events);
    const engine = listEngines().find(({ standIn }) => standIn.activeGenerations > 0);
    assert.ok(engine !== undefined, "no engine runs the stream");
    Object.assign(engine.standIn.faults, {
        answer: "a refusal with a pause",
        faultyAnswers: 100,
        pauseSeconds: seconds,
    });
    for (let tries = 0; tries < 4; tries += 1) {
        void getSite().call({ kind: "verdict", id: createRequestId() }).catch(() => undefined);
    }
    for (let tries = 0; tries < 20 && engine.standIn.faults.faultyAnswers === 100; tries += 1) {
        await waitMilliseconds(5);
    }
    assert.ok(engine.standIn.faults.faultyAnswers < 100, "the engine refused nothing");
    assert.ok(engine.standIn.activeGenerations > 0, "the stream has ended before the pause");
});

When("a caller starts a {string} with the method {string}", function(kind: string, method: string) {
    const result = getSite().call({ kind, method, id: createRequestId() }).catch(() => undefined);
    stream = { result, text: "", startedAt: performance.now() };
});

When("a caller resumes a {string} after event {int}", function(kind: string, event: number) {
    const headers = { "last-event-id": String(event) };
    const result = getSite().call({ kind, headers, id: createRequestId() }).catch(() => undefined);
    stream = { result, text: "", startedAt: performance.now() };
});

Then("the response is complete within {int} ms", async function(milliseconds: number) {
    const startedAt = performance.now();
    const result = await stream?.result;
    assert.equal(result?.status, 200);
    assert.equal(result.isComplete, true, "the response is broken off");
    assert.ok(performance.now() - startedAt < milliseconds, `${performance.now() - startedAt} ms`);
});

When("the instance ends after {int} events", async function(events: number) {
    await waitForEvents(events);
    closeCallerConnections([getInstance(1)]);
});

When("a caller sends a {string} and the instance ends with the first bytes of the response", async function(
    kind: string,
) {
    let hasEnded = false;
    const onChunk = (): void => {
        if (!hasEnded) {
            hasEnded = true;
            closeCallerConnections([getInstance(1)]);
        }
    };
    siteContext.responses.push(await getSite().call({ kind, id: createRequestId(), onChunk }));
});

Then("the response has fewer than {int} bytes and is not complete", function(bytes: number) {
    const { body, isComplete } = getLastResponse();
    assert.ok(body.length < bytes, `the response has ${body.length} bytes`);
    assert.equal(isComplete, false, `${body.length} bytes look complete`);
});

When("the replies to final copies are lost", function() {
    for (const { standIn } of listEngines()) {
        standIn.faults.isFinalCopyReplyLost = true;
    }
});

Then("the stream reached its caller in chunks", async function() {
    const result = await stream?.result;
    assert.equal(result?.headers["transfer-encoding"], "chunked");
});

When("the other engine responds with {string} {int} times", async function(fault: string, times: number) {
    // Before its first event it is not known which engine runs the stream.
    await waitForEvents(1);
    const otherEngine = listEngines().find(({ standIn }) => standIn.activeGenerations === 0);
    assert.ok(otherEngine !== undefined, "both engines run the stream");
    otherEngine.standIn.faults.answer = fault;
    otherEngine.standIn.faults.faultyAnswers = times;
});

When("resumed generations leave out an event", function() {
    listEngines().forEach(({ standIn }) => {
        standIn.faults.skippedEvents = 1;
    });
});

Then("both engines have received the request", function() {
    const id = formatRequestId(siteContext.requestCount);
    for (const { id: engine, standIn } of listEngines()) {
        assert.ok(standIn.arrivals.some(({ requestId }) => requestId === id), `${engine} has not received it`);
    }
});

/** Functions that apply an event to the engine that runs the stream, by the event's name in the feature file. */
const ENGINE_EVENTS: Record<string, (engine: SiteTarget) => void> = {
    "announces its shutdown": engine => getSite().writeTarget(engine, { state: "draining" }),
    "announces its shutdown only in its own report": engine => void (engine.standIn.faults.isLeaving = true),
    "announces its shutdown only in its answers": engine => {
        engine.standIn.faults.announcesLeaving = true;
        // The instance learns of it from the answer to another request.
        for (let count = 0; count < 6; count += 1) {
            void getSite().call({ kind: "verdict", id: createRequestId() }).catch(() => undefined);
        }
    },
    "is removed from the store": engine => getSite().store.removeObject("servers", engine.id),
    crashes: engine => engine.standIn.abortGenerations(),
    "is replaced at its address": engine => {
        engine.standIn.abortGenerations();
        engine.standIn.faults.born = 2000;
    },
    "breaks off and falls silent": engine => {
        engine.standIn.abortGenerations();
        engine.standIn.faults.reportFault = "silence";
    },
    "is replaced by a target of another service": engine => {
        engine.standIn.abortGenerations();
        engine.standIn.faults.reportFault = "missing";
    },
    "ends behind a gateway that answers in its place": engine => {
        engine.standIn.abortGenerations();
        engine.standIn.faults.reportFault = "gateway";
    },
    "ends behind a proxy that accepts and resets connections": engine => {
        engine.standIn.abortGenerations();
        engine.standIn.faults.reportFault = "reset";
    },
    // The system closes the connections of a process that ends in an orderly way.
    ends: engine => {
        engine.standIn.abortGenerations();
        engine.opened.close();
    },
};

When(
    /^its engine (announces its shutdown|announces its shutdown only in its own report|announces its shutdown only in its answers|is removed from the store|crashes|is replaced at its address|breaks off and falls silent|is replaced by a target of another service|ends behind a gateway that answers in its place|ends behind a proxy that accepts and resets connections|ends) after (\d+) events$/,
    async function(event: string, events: string) {
        await waitForEvents(Number(events));
        const engine = listEngines().find(({ standIn }) => standIn.activeGenerations > 0);
        assert.ok(engine !== undefined, "no engine runs the stream");
        ENGINE_EVENTS[event]?.(engine);
    },
);

When(
    "its engine and two others are removed from the store after {int} events and crash {int} ms later",
    async function(events: number, milliseconds: number) {
        await waitForEvents(events);
        const engine = listEngines().find(({ standIn }) => standIn.activeGenerations > 0);
        assert.ok(engine !== undefined, "no engine runs the stream");
        const others = listEngines().filter(other => other !== engine).slice(0, 2);
        [engine, ...others].forEach(({ id }) => getSite().store.removeObject("servers", id));
        await waitMilliseconds(milliseconds);
        [engine, ...others].forEach(({ standIn }) => standIn.abortGenerations());
    },
);

Then(/^the stream is (whole|broken off) and its events are in order$/, async function(end: string) {
    const result = await stream?.result;
    const eventIds = [...stream?.text.matchAll(/^id: (\d+)$/gm) ?? []].map(match => Number(match[1]));
    assert.equal(
        result?.isComplete ?? false,
        end === "whole",
        `the stream ended after the events ${eventIds.join(",")}`,
    );
    assert.deepEqual(eventIds, eventIds.map((_, index) => index + 1));
    if (end === "whole") {
        assert.equal(eventIds.length, 12);
    }
});

Then("the request was started only once", function() {
    assert.equal(listEngines().flatMap(({ standIn }) => standIn.started).length, 1);
});

/** Functions that inject a fault into the store, by the fault's name in the feature file. */
const STORE_FAULTS: Record<string, (store: StoreStandIn) => void> = {
    works: () => undefined,
    "there is no fault": () => undefined,
    "each of its pages holds one object": store => void (store.faults.pageSize = 1),
    "it responds with 503": store => void (store.faults.refuseWith = 503),
    "it responds with 429": store => void (store.faults.refuseWith = 429),
    "it resets connections": store => void (store.faults.isReset = true),
    "it never responds": store => void (store.faults.isUnresponsive = true),
    "it sends other bytes after its reply": store => void (store.faults.hasTrailingBytes = true),
    "it sends an upgrade": store => void (store.faults.sendsUpgrade = true),
    "it responds with invalid JSON": store => void (store.faults.isNonsense = true),
    "the history for a watch is discarded": store => void (store.faults.historyFrom = 1000),
    "the response to a put is lost": store => void (store.faults.lostResponses = 1),
    "resets connections": store => {
        store.faults.isReset = true;
        store.breakWatches();
    },
    "responds with 503": store => void (store.faults.refuseWith = 503),
    "responds with invalid JSON": store => void (store.faults.isNonsense = true),
    "discards its history": store => void (store.faults.historyFrom = 1000),
};

When(/^the store is called while (.+)$/, async function(fault: string) {
    const [address = ""] = await findAddresses(1);
    const store = new StoreStandIn();
    const server = await openStandIn(store, { address });
    const client = new StoreClient({ address: parseAddress(address), timeoutMilliseconds: 200 });
    for (const name of ["a", "b", "c"]) {
        store.putObject("things", name, { name });
    }
    STORE_FAULTS[fault]?.(store);
    if (fault.includes("watch")) {
        siteContext.storeReply = await client.watchObjects("things", { revision: 1, waitMilliseconds: 20 });
    }
    else if (fault.includes("put")) {
        siteContext.storeReply = await client.putObject("things", { name: "d", spec: {} });
    }
    else {
        const list = await client.listObjects("things");
        assert.ok(
            list.kind !== "ok" || list.value.objects.length === 3,
            "the list does not have the objects of all pages",
        );
        siteContext.storeReply = list;
    }
    client.close();
    server.close();
});

Then("the result of the call is {string}", function(kind: string) {
    assert.equal(siteContext.storeReply?.kind, kind);
});

When(
    /^the store (works|resets connections|responds with 503|responds with invalid JSON|discards its history)$/,
    async function(fault: string) {
        STORE_FAULTS[fault]?.(getSite().store);
        await waitMilliseconds(50);
    },
);

When("the store recovers", async function() {
    await waitMilliseconds(150);
    Object.assign(getSite().store.faults, { isReset: false, refuseWith: 0, isNonsense: false, historyFrom: 0 });
});

When(
    "the operator writes configuration version {int} without the route {string}",
    function(version: number, withoutRoute: string) {
        getSite().store.putObject("config", "main", buildSiteConfiguration(version, { omittedRoute: withoutRoute }));
    },
);

When("the operator writes configuration version {int} with all routes", function(version: number) {
    getSite().store.putObject("config", "main", buildSiteConfiguration(version));
});

When("the operator evacuates {string}", function(zone: string) {
    getSite().store.putObject("evacuations", zone, {});
});

When("the operator ends the evacuation of {string}", function(zone: string) {
    getSite().store.removeObject("evacuations", zone);
});

async function waitForStatus(
    call: { kind: string; status: number; within: number; instance?: number; },
): Promise<void> {
    const deadline = performance.now() + call.within;
    for (;;) {
        const response = await getSite().call({ kind: call.kind, id: createRequestId(), instance: call.instance ?? 0 });
        if (response.status === call.status) {
            return;
        }
        assert.ok(performance.now() < deadline, `the status is still ${response.status}: ${response.body}`);
        await waitMilliseconds(20);
    }
}

Then(
    /^a "(\w+)" gets the status (\d+) within (\d+) ms$/,
    async function(kind: string, status: string, within: string) {
        await waitForStatus({ kind, status: Number(status), within: Number(within) });
    },
);

Then(
    "a {string} still gets the status {int} after {int} ms",
    async function(kind: string, status: number, milliseconds: number) {
        await waitMilliseconds(milliseconds);
        await waitForStatus({ kind, status, within: 0 });
    },
);

Then(
    "a {string} gets the status {int} from both instances within {int} ms",
    async function(kind: string, status: number, within: number) {
        await waitForStatus({ kind, status, within });
        await waitForStatus({ kind, status, within, instance: 1 });
    },
);

When("the watches of instance {int} stall", async function(instance: number) {
    // The store cannot tell which instance a watch belongs to. Every second watch call of each kind therefore stalls its
    // connection, on which the store no longer responds; changes arrive by another watch or from the other instance.
    const { store } = getSite();
    const handleRequest = store.handleRequest.bind(store);
    const instanceProcess = getSite().instances[instance - 1]?.process;
    assert.ok(instanceProcess !== undefined);
    const stalledSockets = new Set<unknown>();
    const watchCallCounts = new Map<string, number>();
    store.handleRequest = async (request, response, body) => {
        const [kind = "", query = ""] = request.url?.split("?") ?? [];
        if (query.includes("watch=")) {
            const count = (watchCallCounts.get(kind) ?? 0) + 1;
            watchCallCounts.set(kind, count);
            if (count % 2 === 0) {
                stalledSockets.add(request.socket);
            }
        }
        if (!stalledSockets.has(request.socket)) {
            await handleRequest(request, response, body);
        }
    };
});

When(
    "the connections of all watches go silent right after one of the configuration has begun",
    async function() {
        const { store } = getSite();
        const handleRequest = store.handleRequest.bind(store);
        const openSockets = new Set<unknown>();
        const silentSockets = new Set<unknown>();
        await new Promise<void>(resolve => {
            store.handleRequest = async (request, response, body) => {
                openSockets.add(request.socket);
                if (silentSockets.size === 0 && request.url?.includes("/config?watch=") === true) {
                    openSockets.forEach(socket => silentSockets.add(socket));
                    resolve();
                }
                if (!silentSockets.has(request.socket)) {
                    await handleRequest(request, response, body);
                }
            };
        });
    },
);

When("another instance starts", async function() {
    await getSite().addInstance();
});

Then("the new instance is ready within {int} ms", async function(milliseconds: number) {
    const deadline = performance.now() + milliseconds;
    const index = getSite().instances.length - 1;
    while (!await getSite().isReady(index)) {
        assert.ok(performance.now() < deadline, "the instance is not ready");
        await waitMilliseconds(20);
    }
});

When("these target entries are written to the store", async function(table: DataTable) {
    for (const { name = "", entry = "" } of table.hashes()) {
        getSite().store.putObject("servers", name, JSON.parse(entry));
    }
    await waitMilliseconds(100);
});

/** Time by which the instances that are not elected have ended their watches, in milliseconds. */
const ELECTION_MILLISECONDS = 3500;

Given("the instances have taken their places in the order of watchers", async function() {
    await waitMilliseconds(ELECTION_MILLISECONDS);
});

When(
    "the operator writes configuration version {int} with {int} additional routes",
    function(version: number, count: number) {
        const configuration = buildSiteConfiguration(version);
        const [first] = configuration.routes as Record<string, unknown>[];
        const additionalRoutes = Array.from({ length: count }, (_, index) => ({
            ...first,
            name: `further-${index}`,
            path_prefix: `/further-${index}/`,
        }));
        const routes = [...configuration.routes as unknown[], ...additionalRoutes];
        getSite().store.putObject("config", "main", { ...configuration, routes });
    },
);

function findAdoptionSource(lines: readonly Record<string, unknown>[], version: number): string | undefined {
    const line = lines.find(entry => entry.event === "configuration adopted" && entry.version === version);
    return line === undefined ? undefined : String(line.source);
}

Then(
    "each instance has adopted configuration version {int} within {int} ms",
    async function(version: number, milliseconds: number) {
        const deadline = performance.now() + milliseconds;
        while (getSite().instances.some(({ lines }) => findAdoptionSource(lines, version) === undefined)) {
            assert.ok(performance.now() < deadline, `not all instances have adopted configuration version ${version}`);
            await waitMilliseconds(20);
        }
    },
);

Then("the two that watch the store got it from there, and the others from a {string}", function(source: string) {
    const sources = getSite().instances.map(({ lines }) => findAdoptionSource(lines, 9) ?? "").sort();
    assert.equal(sources.filter(name => name === "store").length, 2, sources.join(", "));
    const otherSources = sources.filter(name => name !== "store");
    assert.ok(otherSources.every(name => name.startsWith(source)), sources.join(", "));
});

let publishedUpdates: StoreUpdate[] = [];

When("an instance adopts a configuration from the {string}", async function(source: string) {
    siteContext.site = await startServingSite();
    const configuration = decodeConfiguration({
        name: "main",
        revision: 1,
        spec: buildSiteConfiguration(9),
    });
    const [instance] = getSite().instances;
    assert.ok(configuration !== undefined && instance !== undefined);
    const state = new ServingState({
        settings: instance.settings,
        clock: systemClock,
        log: new DecisionLog({ name: "test", clock: systemClock, writeLine: () => true }),
    });
    publishedUpdates = [];
    state.storeUpdateListeners.push(update => publishedUpdates.push(update));
    assert.ok(state.adoptConfiguration(configuration, source as StateSource));
});

Then("the update to its peers is {string}", function(expected: string) {
    const content = publishedUpdates.length === 0
        ? "nobody"
        : publishedUpdates.some(update => update.configuration !== undefined)
        ? "all"
        : "nothing";
    assert.equal(content, expected);
});
