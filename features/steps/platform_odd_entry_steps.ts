/**
 * Steps that write odd objects to the store, and that send an instance odd values.
 *
 * @module
 */
import { After, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { connect } from "node:net";
import type { RunningGeneration, ServingTarget, TargetSnapshot } from "../../core/serving/mod.ts";
import { FrameServer, openHttpServer, parseAddress, PeerConnectionPool, waitMilliseconds } from "../../network/mod.ts";
import {
    type CallerRequest,
    decodeCallerRequest,
    decodeTargetNotice,
    type EngineReport,
    fetchReport,
    type MoveStepResponse,
    sendMoveStep,
    StoreClient,
    type TargetNotice,
} from "../../platform/mod.ts";
import { encodeFrame } from "../../protocol/mod.ts";
import { parsePeerMessage, type PeerMessage, ServingState, StoreWatcher } from "../../serving/mod.ts";
import { TargetCallError, TargetConnections } from "../../serving/target_connections.ts";
import { buildIdleMetrics, buildSiteConfiguration, type SiteTarget } from "../../support/platform/mod.ts";
import { findAddresses } from "../../support/processes/mod.ts";
import { DecisionLog, systemClock } from "../../telemetry/mod.ts";
import { createRequestId, getInstance, getSite, getTarget, siteContext } from "../support/site_context.ts";

/** Name of the odd entry; it sorts between those of the services `engines` and `ledger`. */
const ENTRY_NAME = "f-odd";
/** Depth of nested values: above it, neither a recursive walk nor an encoder of JSON has enough stack. */
const DEPTH = 200_000;
const DEEP_TEXT = `${"[".repeat(DEPTH)}${"]".repeat(DEPTH)}`;
/** Time within which the first line about an odd entry is logged, in milliseconds. */
const LOG_WAIT_MILLISECONDS = 500;

/** Time within which an instance has applied the limits of a configuration, in milliseconds. */
const LIMITS_WAIT_MILLISECONDS = 200;

/** JSON texts of the parts of an object. */
interface ObjectTexts {
    name: string;
    revision: string;
    fields: Record<string, string>;
}

/** Formats the text of an object, by the fault that it has. */
const FAULTS: Record<string, (object: ObjectTexts) => string> = {
    "a very deep value": ({ name, revision }) => formatObject({ name, revision, spec: DEEP_TEXT }),
    "a very deep address": object => formatEntry(object, { address: DEEP_TEXT }),
    "a port out of range": object => formatEntry(object, { address: "\"127.0.0.1:99999\"" }),
    "port 0": object => formatEntry(object, { address: "\"127.0.0.1:0\"" }),
    "an address out of range": object => formatEntry(object, { address: "\"300.1.1.1:80\"" }),
    "an infinite number of slots": object => formatEntry(object, { slots: "1e999" }),
    "more slots than a target has": object => formatEntry(object, { slots: "1e15" }),
    "a part of a slot": object => formatEntry(object, { slots: "1.5" }),
    "an infinite cold time": object => formatEntry(object, { cold_remaining_ms: "1e999" }),
    "a negative cold time": object => formatEntry(object, { cold_remaining_ms: "-1" }),
    "a cold time of years": object => formatEntry(object, { cold_remaining_ms: "1e12" }),
    "an infinite start time": object => formatEntry(object, { born: "1e999" }),
    "a start time before all times": object => formatEntry(object, { born: "-1e300" }),
    "a service of 2000 characters": object => formatEntry(object, { service: JSON.stringify("s".repeat(2000)) }),
    "a line break in its name": object => formatEntry({ ...object, name: "\"f-odd\\r\\nx: y\"" }, {}),
    "a name that is no Unicode text": object => formatEntry({ ...object, name: "\"f-odd\\ud800\"" }, {}),
    "no name": object => formatEntry({ ...object, name: "7" }, {}),
    "a deep value in place of metadata": () => `{"metadata":${DEEP_TEXT},"spec":{}}`,
    "an infinite revision": object => formatEntry({ ...object, revision: "1e999" }, {}),
};

function formatObject({ name, revision, spec }: { name: string; revision: string; spec: string; }): string {
    return `{"metadata":{"name":${name},"revision":${revision}},"spec":${spec}}`;
}

function formatEntry({ name, revision, fields }: ObjectTexts, changes: Record<string, string>): string {
    const members = Object.entries({ ...fields, ...changes }).map(([key, value]) => `"${key}":${value}`);
    return formatObject({ name, revision, spec: `{${members.join()}}` });
}

/** Writes an entry with a fault, whose other values are those of a target that serves. */
function writeOddEntry(name: string, { fault, target }: { fault: string; target: SiteTarget; }): void {
    const formatText = FAULTS[fault];
    assert.ok(formatText !== undefined, `no fault is called "${fault}"`);
    getSite().store.putText("servers", name, metadata =>
        formatText({
            name: JSON.stringify(metadata.name),
            revision: String(metadata.revision),
            fields: {
                service: JSON.stringify(target.service),
                address: JSON.stringify(target.address),
                zone: "\"zone-a\"",
                version: "\"v1\"",
                slots: "8",
                state: "\"ready\"",
                cold_remaining_ms: "0",
                born: "1000",
            },
        }));
}

function listTargetIds(number = 1): string[] {
    const { targets } = getInstance(number).process.dumpState().targets as TargetSnapshot;
    return targets.map(({ id }) => id).sort();
}

function countOddLines(): number {
    const events = ["store object unusable", "store object unreadable"];
    return getInstance(1).lines.filter(({ event }) => events.includes(event as string)).length;
}

async function waitUntil(
    condition: () => boolean,
    { milliseconds, message }: { milliseconds: number; message: () => string; },
): Promise<void> {
    const deadline = performance.now() + milliseconds;
    while (!condition()) {
        assert.ok(performance.now() < deadline, message());
        await waitMilliseconds(10);
    }
}

/** Waits until exactly the targets of the site, except `left`, are listed. */
async function waitForTargets(milliseconds: number, left: readonly string[] = []): Promise<void> {
    const expected = getSite().targets.map(({ id }) => id).filter(id => !left.includes(id)).sort().join();
    await waitUntil(() => listTargetIds().join() === expected, {
        milliseconds,
        message: () => `the targets ${listTargetIds().join()} are listed, not ${expected}`,
    });
}

When(/^another writer writes a target entry with (?!.* first page$)(.+)$/, function(fault: string) {
    writeOddEntry(ENTRY_NAME, { fault, target: getTarget("ledger", 1) });
});

When(
    /^another writer writes a target entry with (.+) that is the last one of the first page$/,
    function(fault: string) {
        const { store } = getSite();
        writeOddEntry(ENTRY_NAME, { fault, target: getTarget("ledger", 1) });
        store.faults.pageSize = store.listNames("servers").indexOf(ENTRY_NAME) + 1;
    },
);

Then("the entry names no target and one line of the log tells of it", async function() {
    await waitUntil(() => countOddLines() > 0, {
        milliseconds: LOG_WAIT_MILLISECONDS,
        message: () => `no line tells of the entry; listed: ${listTargetIds().join()}`,
    });
    await waitForTargets(0);
    assert.equal(countOddLines(), 1);
});

When("the list of targets is read again", async function() {
    const { store } = getSite();
    const lists = store.calls.length;
    store.breakWatches();
    await waitUntil(() => store.calls.slice(lists).filter(call => call === "GET servers").length >= 2, {
        milliseconds: 2000,
        message: () => "the list was not read again",
    });
});

Then("a further target is listed within {int} ms", async function(milliseconds: number) {
    await getSite().addTarget("ledger");
    await waitForTargets(milliseconds);
});

Then("one line of the log tells of the entry", function() {
    const lines = getInstance(1).lines.filter(({ event }) => String(event).startsWith("store object"));
    assert.equal(countOddLines(), 1);
    assert.ok(JSON.stringify(lines).length < 1000, "the line is longer than 1000 characters");
});

When(/^the entry of a target gets (.+)$/, function(fault: string) {
    const target = getTarget("ledger", 1);
    writeOddEntry(target.id, { fault, target });
});

Then(
    "that target is not listed, and {int} callers of a {string} are served by the others",
    async function(count: number, kind: string) {
        await waitForTargets(LOG_WAIT_MILLISECONDS, [getTarget("ledger", 1).id]);
        const runs = getTarget("ledger", 1).standIn.arrivals.length;
        const calls = Array.from({ length: count }, () => getSite().call({ kind, id: createRequestId() }));
        siteContext.responses.push(...await Promise.all(calls));
        assert.ok(siteContext.responses.every(({ status }) => status === 200));
        assert.equal(getTarget("ledger", 1).standIn.arrivals.length, runs);
    },
);

When("its entry is sound again", function() {
    getSite().writeTarget(getTarget("ledger", 1));
});

Then("that target is listed within {int} ms", async function(milliseconds: number) {
    await waitForTargets(milliseconds);
});

When("the instances are restarted", async function() {
    await getSite().restartInstances();
});

Then("all targets but that entry's are listed within {int} ms", async function(milliseconds: number) {
    await waitForTargets(milliseconds);
});

/** Name of the peer with the odd address, and of one that listens. */
const ODD_PEER = "instance-7";
const SOUND_PEER = "instance-8";
const NO_VERSIONS = { configuration: -1, targets: 0, zones: -1 };

let peerConnections: PeerConnectionPool | undefined;
let peerServer: FrameServer | undefined;
/** Kinds of the messages that the sound peer has received. */
let receivedKinds: string[] = [];

After(() => {
    peerConnections?.close();
    peerServer?.close();
    peerConnections = undefined;
    peerServer = undefined;
});

function buildDigest(instance: string, address: string): { kind: string; } {
    return {
        kind: "digest",
        instance,
        address,
        work: {},
        unreachable: [],
        versions: NO_VERSIONS,
        isWatching: false,
    } as { kind: string; };
}

/** Builds the message that tells an instance an address, by its source. */
const MESSAGES: Record<string, (address: string, soundAddress: string) => { kind: string; }> = {
    digest: address => buildDigest(ODD_PEER, address),
    "request of state": address => ({ kind: "ask", address, versions: NO_VERSIONS }) as { kind: string; },
    "list of peers": address =>
        ({ kind: "belief", instance: SOUND_PEER, peers: { [ODD_PEER]: address } }) as { kind: string; },
    "relay address": (address, soundAddress) => ({
        ...buildDigest(SOUND_PEER, soundAddress),
        relayAddress: address,
    }),
};

When(
    /^an instance receives a (registration|digest|request of state|list of peers|relay address) with the address "(.*)"$/,
    async function(source: string, address: string) {
        const [soundAddress = ""] = await findAddresses(1);
        receivedKinds = [];
        peerServer = new FrameServer({ onMessage: (_, { kind }) => receivedKinds.push(kind) });
        await peerServer.open(parseAddress(soundAddress));
        if (source === "registration") {
            getSite().store.putObject("knapweed-instances", ODD_PEER, { address });
            await getSite().restartInstances();
            await getSite().waitUntilReady();
        }
        const { host, port } = getInstance(1).settings.peerAddress;
        peerConnections = new PeerConnectionPool({ self: SOUND_PEER });
        peerConnections.send(`${host}:${port}`, buildDigest(SOUND_PEER, soundAddress));
        const message = MESSAGES[source]?.(address, soundAddress);
        if (message !== undefined) {
            peerConnections.send(`${host}:${port}`, message);
        }
    },
);

Then("the instance sends digests to its other peers for {int} ms", async function(milliseconds: number) {
    await waitMilliseconds(milliseconds);
    const count = receivedKinds.length;
    await waitUntil(() => receivedKinds.length > count, {
        milliseconds: 1000,
        message: () => `no digest has arrived after the first ${count}`,
    });
});

When("a peer sends an instance a message of {int} levels", async function(levels: number) {
    const { host, port } = getInstance(1).settings.peerAddress;
    const body = Buffer.concat([Buffer.alloc(levels, 0x81), Buffer.of(0)]);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(body.length);
    const socket = connect({ host, port });
    socket.on("error", () => undefined);
    socket.end(Buffer.concat([encodeFrame({ kind: "hello", from: ODD_PEER }), length, body]));
    await waitMilliseconds(100);
});

Then("one line of the log tells of the failed connection", function() {
    assert.equal(getInstance(1).lines.filter(({ event }) => event === "peer connection failed").length, 1);
});

const SOUND_TARGET: ServingTarget = {
    id: "ledger-1",
    service: "ledger",
    address: "127.0.0.1:80",
    zone: "zone-a",
    slots: 8,
    isLeaving: false,
    coldMilliseconds: 0,
    startedAt: 1000,
    softwareVersion: "v1",
    revision: 12,
};
const SOUND_LIMITS = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMilliseconds: 1,
    idleTimeoutMilliseconds: 1,
};
const SOUND_STATE = {
    kind: "belief",
    instance: "instance-2",
    configuration: { version: 5, routes: [], services: [], limits: SOUND_LIMITS, accounts: undefined },
    targets: { era: 1, revision: 12, changeRevision: 12, targets: [SOUND_TARGET] },
    peers: { "instance-3": "127.0.0.1:81" },
};

function addToSnapshot(changes: Partial<ServingTarget>): unknown {
    const odd = { ...SOUND_TARGET, id: "ledger-2", ...changes };
    return { ...SOUND_STATE, targets: { ...SOUND_STATE.targets, targets: [odd, SOUND_TARGET] } };
}

const PEER_MESSAGES: Record<string, unknown> = {
    "no fault": SOUND_STATE,
    "an odd address of a peer": { ...SOUND_STATE, peers: { ...SOUND_STATE.peers, "instance-4": "127.0.0.1:99999" } },
    "a target with an odd address": addToSnapshot({ address: "300.1.1.1:80" }),
    "a target with infinite slots": addToSnapshot({ slots: Infinity }),
    "a changed target without end": {
        kind: "news",
        instance: "instance-2",
        targets: {
            from: 1,
            changeRevision: 2,
            revision: 2,
            changed: [{ ...SOUND_TARGET, id: "ledger-2", coldMilliseconds: Infinity }, SOUND_TARGET],
            removed: [],
        },
    },
    "an infinite load of a target": { ...buildDigest("instance-2", "127.0.0.1:80"), work: { a: [1, Infinity, 2] } },
    "an infinite revision of targets": { ...SOUND_STATE, targets: { ...SOUND_STATE.targets, revision: Infinity } },
    "a digest of an infinite era": {
        ...buildDigest("instance-2", "127.0.0.1:80"),
        versions: { ...NO_VERSIONS, targetsEra: Infinity },
    },
    "no targets where a list belongs": { ...SOUND_STATE, targets: JSON.parse("null") as unknown },
    "a configuration of infinite limits": {
        ...SOUND_STATE,
        configuration: {
            ...SOUND_STATE.configuration,
            limits: { ...SOUND_LIMITS, idleTimeoutMilliseconds: Infinity },
        },
    },
};

/** Checks what is used of a message, by the result in the feature file. */
const USED: Record<string, (message: PeerMessage | undefined) => void> = {
    everything: message => assert.deepEqual(message, SOUND_STATE),
    "all but that peer": message => assert.deepEqual(message, SOUND_STATE),
    "all but that target": message => assert.deepEqual(message, SOUND_STATE),
    "the target's removal": message => {
        assert.ok(message?.kind === "news");
        assert.deepEqual(message.targets?.changed, [SOUND_TARGET]);
        assert.deepEqual(message.targets?.removed, ["ledger-2"]);
    },
    "no load of that target": message => {
        assert.ok(message?.kind === "digest");
        assert.deepEqual(message.work, { a: [0, 0, 0] });
    },
    nothing: message => assert.equal(message, undefined),
};

let parsed: PeerMessage | undefined;

When(/^a peer's message with (.+) is parsed$/, function(fault: string) {
    assert.ok(fault in PEER_MESSAGES, `no fault is called "${fault}"`);
    parsed = parsePeerMessage(PEER_MESSAGES[fault]);
});

Then(/^of the message (.+) is used$/, function(rest: string) {
    const check = USED[rest];
    assert.ok(check !== undefined, `no result is called "${rest}"`);
    check(parsed);
});

/** Text in the JSON of a configuration that a value replaces, by the value. */
const CONFIGURATION_PATTERNS: Record<string, { pattern: RegExp; format: (text: string) => string; }> = {
    "idle timeout": { pattern: /"idle_timeout_ms":\d+/, format: text => `"idle_timeout_ms":${text}` },
    "time to read headers": { pattern: /"header_timeout_ms":\d+/, format: text => `"header_timeout_ms":${text}` },
    "largest body": { pattern: /"max_body_bytes":\d+/, format: text => `"max_body_bytes":${text}` },
    "version": { pattern: /"version":\d+/, format: text => `"version":${text}` },
    "list of routes": { pattern: /"routes":\[/, format: text => `"routes":[${text},` },
    "number of engine slots": { pattern: /"slots":\d+/, format: text => `"slots":${text}` },
    "timeout of the routes": { pattern: /"timeout_ms":\d+/g, format: text => `"timeout_ms":${text}` },
    "weight of a split": {
        pattern: /"service":"ledger"/,
        format: text => `"split":[{"service":"ledger","weight":${text}}]`,
    },
};

When(
    /^another writer writes configuration version (\d+) whose (.+) is (.+)$/,
    function(version: string, value: string, text: string) {
        const replacement = CONFIGURATION_PATTERNS[value];
        assert.ok(replacement !== undefined, `no value is called "${value}"`);
        const sound = JSON.stringify(buildSiteConfiguration(Number(version)));
        const odd = replacement.format(text === "a very deep value" ? DEEP_TEXT : text);
        const spec = sound.replace(replacement.pattern, odd);
        assert.notEqual(spec, sound);
        getSite().store.putText(
            "config",
            "main",
            ({ name, revision }) => formatObject({ name: JSON.stringify(name), revision: String(revision), spec }),
        );
    },
);

Then("one line of the log tells of the configuration", async function() {
    await waitUntil(() => countOddLines() === 1, {
        milliseconds: LOG_WAIT_MILLISECONDS,
        message: () => `${countOddLines()} lines tell of the configuration`,
    });
});

Then(
    "{int} callers of a {string} are served, and the version in force is {int}",
    async function(count: number, kind: string, version: number) {
        // The limits of a configuration are applied periodically.
        await waitMilliseconds(LIMITS_WAIT_MILLISECONDS);
        for (let index = 0; index < count; index += 1) {
            const { status } = await getSite().call({ kind, id: createRequestId() });
            assert.equal(status, 200);
        }
        assert.equal(getInstance(1).process.dumpState().configuration, version);
    },
);

const SOUND_REPORT = "{\"leaves_ms\":900,\"queued\":100,\"active\":1,\"runs\":[[\"a\",30,2,5]]}";
const SOUND_GENERATION: RunningGeneration = { requestId: "a", tokens: 30, events: 2 };

const REPORTS: Record<string, string> = {
    "no fault": SOUND_REPORT,
    "a very deep value": SOUND_REPORT.replace("{", `{"models":${DEEP_TEXT},`),
    "an infinite time until it ends": SOUND_REPORT.replace("900", "1e999"),
    "a negative time until it ends": SOUND_REPORT.replace("900", "-1"),
    "infinite waiting requests": SOUND_REPORT.replace("100", "1e999"),
    "a deep value in place of runs": SOUND_REPORT.replace(/\[\[.*\]\]/, "{\"a\":7}"),
    "a generation of infinite size": SOUND_REPORT.replace("30", "1e999"),
    "a generation that is a number": SOUND_REPORT.replace(/\[\[.*\]\]/, "[7]"),
};

const SOUND_STEP = "{\"handle\":\"h-1\",\"created\":3}";
const STEPS: Record<string, string> = {
    "no fault": SOUND_STEP,
    "a handle with a line break": SOUND_STEP.replace("h-1", "h\\r\\nx: y"),
    "a handle that is no Unicode text": SOUND_STEP.replace("h-1", "h\\ud800"),
    "a very deep handle": SOUND_STEP.replace("\"h-1\"", DEEP_TEXT),
    "infinite events": SOUND_STEP.replace("3", "1e999"),
    "a negative number of events": SOUND_STEP.replace("3", "-3"),
};

/** Calls an engine that answers with a text. */
async function callEngine<Result>(text: string, call: (address: string) => Promise<Result>): Promise<Result> {
    const [address = ""] = await findAddresses(1);
    const server = await openHttpServer({
        address: parseAddress(address),
        handler: (_, response) => {
            response.writeHead(200, { "content-type": "application/json" });
            response.end(text);
        },
    });
    const result = await call(address);
    server.close();
    server.closeAllConnections();
    return result;
}

let report: EngineReport | undefined;
let stepResponse: MoveStepResponse | undefined;
let notice: TargetNotice | undefined;
let callerRequest: CallerRequest | undefined;

When(/^an engine answers a call for its report with (.+)$/, async function(fault: string) {
    const text = REPORTS[fault];
    assert.ok(text !== undefined, `no fault is called "${fault}"`);
    report = await callEngine(text, address => fetchReport(address, { timeoutMilliseconds: 2000 }));
});

Then(/^the report counts as (.+)$/, function(result: string) {
    const sound = { isLeaving: false, waitingRequests: 100, leavesInMilliseconds: 900, runs: [SOUND_GENERATION] };
    const expected: Record<string, EngineReport | undefined> = {
        "sound": sound,
        "one without a time until it ends": { ...sound, leavesInMilliseconds: undefined },
        "one that ends at once": { ...sound, leavesInMilliseconds: 0 },
        // The generation still occupies a slot.
        "one without that generation": { ...sound, runs: [] },
        "none": undefined,
    };
    assert.ok(result in expected, `no result is called "${result}"`);
    assert.deepEqual(report, expected[result]);
});

When(/^an engine answers a step of a move with (.+)$/, async function(fault: string) {
    const text = STEPS[fault];
    assert.ok(text !== undefined, `no fault is called "${fault}"`);
    const step = { destination: "127.0.0.1:80", requestId: "a", isFinal: false, timeoutMilliseconds: 2000 };
    stepResponse = await callEngine(text, source => sendMoveStep({ ...step, source }));
});

Then("the step counts as {string}", function(kind: string) {
    assert.equal(stepResponse?.kind, kind);
});

function buildMessage(name: string, value: string): IncomingMessage {
    const headers = { [name]: value === "400 digits" ? "9".repeat(400) : value };
    return { statusCode: 503, headers, rawHeaders: [] } as unknown as IncomingMessage;
}

When("a response of a target with the header {string} of {string} is decoded", function(name: string, value: string) {
    notice = decodeTargetNotice(buildMessage(name, value));
});

Then(/^the target has stated (.+)$/, function(result: string) {
    const { backpressureMilliseconds: pause, requestsPerSecond: limit } = notice ?? {};
    const stated = [
        pause === undefined ? "no pause" : `a pause of ${pause} ms`,
        limit === undefined ? "no limit" : `a limit of ${limit}`,
    ];
    assert.ok(stated.includes(result), `it has stated ${stated.join()}`);
});

When("a caller's request with the header {string} of {string} is decoded", function(name: string, value: string) {
    callerRequest = decodeCallerRequest(buildMessage(name, value), Buffer.alloc(0));
});

Then(/^of the caller's header (.+) is used$/, function(result: string) {
    const { size, timeoutMilliseconds } = callerRequest ?? {};
    const used = timeoutMilliseconds !== undefined
        ? `a timeout of ${timeoutMilliseconds} ms`
        : size === undefined
        ? "no size"
        : `a size of ${size.promptTokens} and ${size.maxOutputTokens}`;
    assert.equal(used, result);
});

let sendError: unknown;

When(/^a request to a target is sent with an odd (address|header)$/, async function(part: string) {
    const connections = new TargetConnections();
    sendError = await connections.sendRequest({
        targetId: "ledger-1",
        address: part === "address" ? "127.0.0.1:99999" : "127.0.0.1:9",
        requestId: "a",
        method: "GET",
        path: "/",
        headers: part === "header" ? [["Tenant", "a\r\nb"]] : [],
        body: Buffer.alloc(0),
        signal: new AbortController().signal,
    }).catch((error: unknown) => error);
    connections.close();
});

Then("the request failed before it was connected", function() {
    assert.ok(sendError instanceof TargetCallError, String(sendError));
    assert.equal(sendError.progress, "not-connected");
});

/** A watcher of the store outside of the site's instances. */
let watcher: { storeWatcher: StoreWatcher; store: StoreClient; state: ServingState; events: string[]; } | undefined;

After(() => {
    watcher?.storeWatcher.stop();
    watcher?.store.close();
    watcher = undefined;
});

When("a listener of a watcher fails once while a target entry is applied", async function() {
    const { settings } = getInstance(1);
    const events: string[] = [];
    const log = new DecisionLog({
        name: "test",
        clock: systemClock,
        writeLine: line => events.push((JSON.parse(line) as { event: string; }).event) > 0,
    });
    const store = new StoreClient({ address: settings.storeAddress });
    const state = new ServingState({ settings, clock: systemClock, log });
    const storeWatcher = new StoreWatcher({
        store,
        state,
        log,
        metrics: buildIdleMetrics(),
        clock: systemClock,
        random: () => 0.5,
        decideWatching: () => true,
        waitForPeerState: () => Promise.resolve(),
        isFirstWatcher: () => true,
        onWatchLost: () => undefined,
        hasWatchingPeer: () => false,
    });
    watcher = { storeWatcher, store, state, events };
    storeWatcher.start();
    await waitUntil(() => state.unreadyReason === "", { milliseconds: 1000, message: () => state.unreadyReason });
    state.targetListeners.push(() => {
        state.targetListeners.pop();
        throw new Error("the listener has failed");
    });
    await getSite().addTarget("ledger");
    await waitMilliseconds(100);
    await getSite().addTarget("ledger");
});

Then(
    "the watcher has logged the failed update and knows all targets within {int} ms",
    async function(milliseconds: number) {
        assert.ok(watcher !== undefined);
        const { state, events } = watcher;
        const count = getSite().targets.length;
        await waitUntil(() => state.directory.listTargets().length === count, {
            milliseconds,
            message: () => `${state.directory.listTargets().length} of ${count} targets are known`,
        });
        assert.ok(events.includes("store update failed"), events.join());
    },
);
