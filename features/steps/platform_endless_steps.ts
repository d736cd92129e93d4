/**
 * Steps that check the handling of responses without end.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { EventSplitter } from "../../core/serving/mod.ts";
import { waitMilliseconds } from "../../network/mod.ts";
import {
    ENDLESS_LOAD_DEADLINE_MILLISECONDS,
    type EndlessLoadResult,
    runEndlessLoad,
    SMALLEST_MACHINE_MEGABYTES,
} from "../../support/platform/mod.ts";
import { type HttpResult, startOwnTimer } from "../../support/processes/mod.ts";
import { createRequestId, getLastResponse, getSite, siteContext } from "../support/site_context.ts";

const BYTES_PER_MEGABYTE = 1024 * 1024;
/** Deadline of the request whose target is faulty, in milliseconds. */
const DEADLINE_MILLISECONDS = 1500;
/** Time within which a connection must be closed once its request has ended, in milliseconds. */
const CLOSE_MILLISECONDS = 500;

let probeMilliseconds: number[] = [];
/** Response to the request whose target is faulty; `undefined` if its connection failed before the response. */
let lastResult: Promise<HttpResult | undefined> = Promise.resolve(undefined);

When("a caller sends a {string} while others send a {string}", async function(kind: string, probe: string) {
    probeMilliseconds = [];
    const call = getSite().call({ kind, id: createRequestId(), deadlineMilliseconds: DEADLINE_MILLISECONDS });
    let isRunning = true;
    lastResult = call.catch(() => undefined).finally(() => {
        isRunning = false;
    });
    // The faulty response must go to the first request, so that the probes start a little later.
    await waitMilliseconds(20);
    for (let count = 0; isRunning && count < 40; count += 1) {
        const readDuration = startOwnTimer();
        const result = await getSite().call({ kind: probe, id: createRequestId() });
        assert.equal(result.status, 200);
        probeMilliseconds.push(readDuration());
        await waitMilliseconds(20);
    }
    const result = await lastResult;
    if (result !== undefined) {
        siteContext.responses.push(result);
    }
});

Then("the caller has received no complete response", async function() {
    const result = await lastResult;
    const isWhole = result?.status === 200 && result.isComplete;
    assert.ok(!isWhole, `the response has the status ${result?.status} and is whole`);
});

Then("the probes were answered within {int} ms", function(milliseconds: number) {
    assert.ok(Math.max(...probeMilliseconds, 0) <= milliseconds, probeMilliseconds.map(Math.round).join(", "));
});

Then(/^the last response has the status (\d+) and is (whole|broken off)$/, function(status: string, end: string) {
    const response = getLastResponse();
    assert.equal(response.status, Number(status), response.body.toString().slice(0, 200));
    assert.equal(response.isComplete, end === "whole");
});

Then(
    "the connection of each endless response is closed after at most {int} MB",
    async function(megabytes: number) {
        await waitMilliseconds(CLOSE_MILLISECONDS);
        const targets = getSite().targets.filter(({ standIn }) => standIn.endlessBytes > 0);
        assert.ok(targets.length > 0, "no target has sent an endless response");
        for (const { id, standIn } of targets) {
            assert.ok(standIn.endedEndlessResponses > 0, `the connection of ${id} is still open`);
            assert.ok(
                standIn.endlessBytes <= megabytes * BYTES_PER_MEGABYTE,
                `${id} sent ${standIn.endlessBytes} bytes`,
            );
        }
    },
);

let splitMilliseconds: { small: number; large: number; } = { small: 0, large: 0 };

function measureSplitting(kilobytes: number): number {
    const chunk = Buffer.from("data: 34567890123456789\n".repeat(4) + "data");
    const splitter = new EventSplitter();
    const startedAt = performance.now();
    for (let bytes = 0; bytes < kilobytes * 1024; bytes += chunk.length) {
        splitter.handleChunk(chunk);
    }
    return performance.now() - startedAt;
}

When("events of {int} KB and of {int} KB arrive in chunks of 100 bytes", function(small: number, large: number) {
    measureSplitting(small);
    const measureLeast = (kilobytes: number): number =>
        Math.min(...Array.from({ length: 5 }, () => measureSplitting(kilobytes)));
    splitMilliseconds = { small: measureLeast(small), large: measureLeast(large) };
});

Then("the larger one takes at most {int} times as long as the smaller one", function(factor: number) {
    const { small, large } = splitMilliseconds;
    assert.ok(large <= small * factor, `${large.toFixed(1)} ms beside ${small.toFixed(1)} ms`);
});

let load: EndlessLoadResult = { peakMegabytes: 0, requestMilliseconds: [], probeStatuses: [], probeMilliseconds: [] };

When(
    "{int} callers send a {string} at once to targets that send {string}, and others a {string}",
    async function(count: number, kind: string, fault: string, probeKind: string) {
        load = await runEndlessLoad({ count, kind, fault, probeKind });
    },
);

When(
    /^(\d+) callers that read (all|nothing) send a "([^"]*)" at once to targets that send "([^"]*)", and others a "([^"]*)"$/,
    async function(count: string, part: string, kind: string, fault: string, probeKind: string) {
        load = await runEndlessLoad({ count: Number(count), kind, fault, probeKind, isRead: part === "all" });
        ({ probeMilliseconds } = load);
    },
);

Then("the instance runs on and has used at most the memory of the smallest machine", function() {
    const { peakMegabytes } = load;
    assert.ok(peakMegabytes > 0 && peakMegabytes <= SMALLEST_MACHINE_MEGABYTES, `${peakMegabytes} MB were used`);
});

Then("each of these requests has ended at most {int} ms after its deadline", function(milliseconds: number) {
    const latest = Math.max(...load.requestMilliseconds);
    assert.ok(latest <= ENDLESS_LOAD_DEADLINE_MILLISECONDS + milliseconds, `the last one ended after ${latest} ms`);
});

Then("all others were answered", function() {
    assert.deepEqual(load.probeStatuses.filter(status => status !== 200), []);
});
