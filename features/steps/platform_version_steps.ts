/**
 * Steps about streams at targets of several software versions.
 *
 * @module
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { decideResumption, type Resumption } from "../../core/serving/mod.ts";
import { waitMilliseconds } from "../../network/mod.ts";
import { createRandom } from "../../support/fixtures/random.ts";
import {
    measureVersionRecords,
    type SiteTarget,
    startServingSite,
    type VersionRecordResult,
} from "../../support/platform/mod.ts";
import type { HttpResult } from "../../support/processes/mod.ts";
import { closeCallerConnections } from "../support/caller_connections.ts";
import { createRequestId, getSite, listTargets, siteContext } from "../support/site_context.ts";

/** A stream of a caller, over all of the caller's attempts. */
interface CallerStream {
    kind: string;
    /** Identifier of the attempt that brought the first event, or of the latest one before the first event. */
    requestId: string;
    /** Instance of the latest attempt. */
    instance: number;
    /** Text of all attempts, as the caller joins it. */
    text: string;
    /** Closes the connection of the latest attempt. */
    disconnect: () => void;
    /** Response to the latest attempt; `undefined` if none has arrived. */
    result: Promise<HttpResult | undefined>;
}

/** Interval between events, in milliseconds. */
const EVENT_MILLISECONDS = 80;
/** Interval at which events are counted, in milliseconds. */
const POLL_MILLISECONDS = 5;
/** Time in which the instances learn of new targets, in milliseconds. */
const UPDATE_MILLISECONDS = 200;
/** Number of events in a whole stream. */
const STREAM_EVENTS = 12;

/** Streams of the scenario. */
let streams: CallerStream[] = [];

Given(
    /^a serving site with (\d+) instances? and engines at the software versions "(.+)"$/,
    async function(instances: string, versions: string) {
        streams = [];
        siteContext.site = await startServingSite({
            instances: Number(instances),
            engines: 0,
            softwareVersions: versions.split(", "),
            eventMilliseconds: EVENT_MILLISECONDS,
        });
    },
);

/** Lists the events that a caller has received: the number and the software version of each. */
function listEvents({ text }: CallerStream): { number: number; version: string; }[] {
    return [...text.matchAll(/data: piece (\d+) of (\S+)\n\n/g)].map(([, number, version = ""]) => ({
        number: Number(number),
        version,
    }));
}

/** Sends an attempt of a caller, which resumes the stream if it has events. */
function sendAttempt(stream: CallerStream, options: { namesAttempt?: boolean; } = {}): void {
    const { namesAttempt = true } = options;
    const id = createRequestId();
    const eventCount = listEvents(stream).length;
    const headers = {
        ...eventCount === 0 ? {} : { "last-event-id": String(eventCount) },
        ...eventCount === 0 || !namesAttempt ? {} : { resumes: stream.requestId },
    };
    if (eventCount === 0) {
        stream.requestId = id;
    }
    const controller = new AbortController();
    stream.disconnect = () => controller.abort();
    const onChunk = (chunk: Buffer): void => {
        stream.text += chunk.toString();
    };
    const { kind, instance } = stream;
    stream.result = getSite().call({ kind, id, instance, headers, onChunk, signal: controller.signal }).catch(() =>
        undefined
    );
}

function startStreams(kind: string, { count, instances }: { count: number; instances: number; }): void {
    for (let index = 0; index < count; index += 1) {
        const instance = index % instances;
        const result = Promise.resolve(undefined);
        const stream: CallerStream = { kind, requestId: "", instance, text: "", result, disconnect: () => undefined };
        streams.push(stream);
        sendAttempt(stream);
    }
}

When("callers start {int} streams of the kind {string}", function(count: number, kind: string) {
    startStreams(kind, { count, instances: getSite().instances.length });
});

When(
    "callers start {int} streams of the kind {string} at the first {int} instances",
    function(count: number, kind: string, instances: number) {
        startStreams(kind, { count, instances });
    },
);

When("the store and all other instances lose their connections to instance {int}", function(number: number) {
    getSite().dropInstance(number - 1);
});

When("{int} engines at the software version {string} start", async function(count: number, version: string) {
    await startEngines(count, version);
    // The instances have to know of them before streams begin.
    await waitMilliseconds(UPDATE_MILLISECONDS);
});

When("all instances know the baseline of the engines", async function() {
    const isKnown = (): boolean =>
        getSite().instances.every(({ process }) => "engines" in (process.dumpState().baselines as object));
    for (let tries = 0; tries < 400 && !isKnown(); tries += 1) {
        await waitMilliseconds(POLL_MILLISECONDS);
    }
    assert.ok(isKnown(), "an instance knows no baseline of the engines");
});

/** Waits until each stream has a number of events. */
async function waitForEvents(count: number): Promise<void> {
    const hasEvents = (): boolean => streams.every(stream => listEvents(stream).length >= count);
    for (let tries = 0; tries < 400 && !hasEvents(); tries += 1) {
        await waitMilliseconds(POLL_MILLISECONDS);
    }
    assert.ok(hasEvents(), `a stream has fewer than ${count} events`);
}

/** Lists the first engine of each software version. */
function listFirstEngines(): SiteTarget[] {
    const engines = listTargets("engines");
    return engines.filter(({ standIn }, index) =>
        engines.findIndex(other => other.standIn.softwareVersion === standIn.softwareVersion) === index
    );
}

When(
    "the first engine of each software version breaks off its streams after {int} events",
    async function(events: number) {
        await waitForEvents(events);
        listFirstEngines().forEach(({ standIn }) => standIn.abortGenerations());
    },
);

When(
    "the first engine of each software version announces its shutdown after {int} events",
    async function(events: number) {
        await waitForEvents(events);
        listFirstEngines().forEach(target => getSite().writeTarget(target, { state: "draining" }));
    },
);

async function startEngines(count: number, softwareVersion: string): Promise<void> {
    for (let index = 0; index < count; index += 1) {
        await getSite().addTarget("engines", { softwareVersion, eventMilliseconds: EVENT_MILLISECONDS });
    }
}

When(
    "{int} engines at the software version {string} start after {int} events",
    async function(count: number, version: string, events: number) {
        await waitForEvents(events);
        await startEngines(count, version);
    },
);

When(
    "{int} engines at the software version {string} start and those at {string} leave after {int} events",
    async function(count: number, version: string, previous: string, events: number) {
        await waitForEvents(events);
        await startEngines(count, version);
        for (const { id, standIn } of listTargets("engines")) {
            if (standIn.softwareVersion === previous) {
                getSite().store.removeObject("servers", id);
            }
        }
    },
);

/** Resumes all streams whose latest attempt has not brought their end, each at the instance after its last one. */
async function resumeStreams(options: { namesAttempt?: boolean; instance?: number; } = {}): Promise<void> {
    await Promise.all(streams.map(({ result }) => result));
    const brokenStreams = streams.filter(stream => listEvents(stream).length < STREAM_EVENTS);
    assert.ok(brokenStreams.length > 0, "all streams have ended");
    for (const stream of brokenStreams) {
        stream.instance = options.instance ?? (stream.instance + 1) % getSite().instances.length;
        // An event whose last bytes are lost comes again.
        stream.text = stream.text.slice(0, stream.text.lastIndexOf("\n\n") + 2);
        sendAttempt(stream, options);
    }
}

When(
    /^callers lose their connections after (\d+) events and resume their streams (at other instances|without naming an attempt)$/,
    async function(events: string, how: string) {
        await waitForEvents(Number(events));
        streams.forEach(({ disconnect }) => disconnect());
        await resumeStreams({ namesAttempt: how === "at other instances" });
    },
);

When(
    /^callers lose their connections after (\d+) events and resume their streams at instance (\d+)(, without naming an attempt)?$/,
    async function(events: string, number: string, unnamed: string | undefined) {
        await waitForEvents(Number(events));
        streams.forEach(({ disconnect }) => disconnect());
        await resumeStreams({ namesAttempt: (unnamed ?? "") === "", instance: Number(number) - 1 });
    },
);

When("all instances are killed after {int} events and callers resume their streams", async function(events: number) {
    await waitForEvents(events);
    closeCallerConnections(getSite().instances);
    await getSite().restartInstances();
    for (const index of getSite().instances.keys()) {
        await getSite().waitUntilReady(index);
    }
    await resumeStreams();
});

Then("all resumptions are refused as not run", async function() {
    for (const { result } of streams) {
        const response = await result;
        assert.equal(response?.status, 503, response?.body.toString());
        assert.equal(response.headers["x-verdict"], "not-run");
        assert.ok(Number(response.headers["retry-after"]) > 0, "no time to return is named");
    }
});

Then("no stream holds events of two software versions", async function() {
    await Promise.all(streams.map(({ result }) => result));
    for (const stream of streams) {
        const events = listEvents(stream);
        assert.ok(new Set(events.map(({ version }) => version)).size <= 1, stream.text);
        assert.deepEqual(events.map(({ number }) => number), events.map((_, index) => index + 1), stream.text);
    }
});

Then("all streams are whole", async function() {
    for (const stream of streams) {
        const result = await stream.result;
        assert.equal(result?.status, 200, result?.body.toString());
        assert.equal(listEvents(stream).length, STREAM_EVENTS, stream.text);
        assert.ok(result.isComplete, "a stream does not look complete");
    }
});

/** Result of the load that the scenario has run. */
let records: VersionRecordResult | undefined;

When(
    "{int} instances begin {int} streams a second at a second software version for {int} ms",
    async function(instances: number, streamsPerSecond: number, milliseconds: number) {
        records = await measureVersionRecords({ instances, streamsPerSecond, milliseconds, random: createRandom(1) });
    },
);

Then(
    "the store gets at most {int} write for each stream, and at most {int} list for each instance",
    function(writes: number, lists: number) {
        assert.ok(records !== undefined && records.streams > 0, "no stream has begun");
        assert.ok(records.writes <= records.streams * writes, `${records.writes} writes, ${records.streams} streams`);
        assert.ok(records.lists <= records.instances * lists, `${records.lists} lists`);
    },
);

Then("{int} in {int} first events wait less than {int} ms", function(count: number, all: number, bound: number) {
    const { waits = [] } = records ?? {};
    const wait = waits[Math.ceil(waits.length * count / all) - 1] ?? Infinity;
    assert.ok(wait < bound, `the first events waited ${wait.toFixed(1)} ms`);
});

/** Decision of the scenario. */
let resumption: Resumption | undefined;

When(
    /^a stream is resumed whose record is "(.*)", with the baseline "(.*)", (.+), (.+), (.+)$/,
    function(record: string, baseline: string, named: string, read: string, alone: string) {
        resumption = decideResumption({
            recordedVersion: record === "" ? undefined : record,
            baseline: baseline === "" ? undefined : baseline,
            isAttemptNamed: named === "with its attempt named",
            hasReadRecords: read === "with records read",
            isBaselineAlone: alone.startsWith("without another version"),
            isInStep: !alone.endsWith("but out of step"),
        });
    },
);

Then("it is bound to {string}", function(softwareVersion: string) {
    assert.deepEqual(resumption, { kind: "bound", softwareVersion });
});

Then("it is unknown", function() {
    assert.equal(resumption?.kind, "unknown");
});
