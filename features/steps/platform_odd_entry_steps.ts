/**
 * Steps that write odd objects to the store, and that send an instance odd values.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TargetSnapshot } from "../../core/serving/mod.ts";
import { waitMilliseconds } from "../../network/mod.ts";
import type { SiteTarget } from "../../support/platform/mod.ts";
import { createRequestId, getInstance, getSite, getTarget, siteContext } from "../support/site_context.ts";

/** Name of the odd entry; it sorts between those of the services `engines` and `ledger`. */
const ENTRY_NAME = "f-odd";
/** Depth of nested values: above it, neither a recursive walk nor an encoder of JSON has enough stack. */
const DEPTH = 200_000;
const DEEP_TEXT = `${"[".repeat(DEPTH)}${"]".repeat(DEPTH)}`;
/** Time within which the first line about an odd entry is logged, in milliseconds. */
const LOG_WAIT_MILLISECONDS = 500;

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
