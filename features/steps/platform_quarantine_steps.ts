/**
 * Steps that check how instances share and keep the quarantine of prompt parts.
 *
 * @module
 */
import { After, type DataTable, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type CrashEvidence, EMPTY_CRASH_EVIDENCE, type QuarantinedPart } from "../../core/serving/mod.ts";
import { PeerConnectionPool, waitMilliseconds } from "../../network/mod.ts";
import { StoreKind } from "../../platform/mod.ts";
import { parsePeerMessage, type PeerMessage } from "../../serving/mod.ts";
import { ServingSite, type SiteInstance } from "../../support/platform/mod.ts";
import { findAddresses } from "../../support/processes/mod.ts";
import { waitForLine } from "../support/log_lines.ts";
import { getInstance, getSite, siteContext } from "../support/site_context.ts";

/** Interval at which a step checks whether its condition holds, in milliseconds. */
const POLL_MILLISECONDS = 20;
/** Interval between the crashes of two engines, in milliseconds. */
const CRASH_INTERVAL_MILLISECONDS = 200;

let connections: PeerConnectionPool | undefined;

After({ tags: "@quarantine" }, () => {
    connections?.close();
    connections = undefined;
});

/** Sends the digest of a peer that is not part of the site. */
async function sendEvidence(peer: string, instances: readonly SiteInstance[], evidence: CrashEvidence): Promise<void> {
    const [address = ""] = await findAddresses(1);
    connections ??= new PeerConnectionPool({ self: "peer" });
    for (const { settings: { peerAddress } } of instances) {
        const digest = {
            kind: "digest",
            instance: peer,
            address,
            work: {},
            unreachable: [],
            versions: { configuration: -1, targets: 0, zones: -1 },
            isWatching: false,
            promptEvidence: evidence,
        };
        connections.send(`${peerAddress.host}:${peerAddress.port}`, digest);
    }
}

/** Builds what a peer tells of engines that have crashed one after the other, in the order of their numbers. */
function buildCrashes(part: string, engines: readonly string[]): CrashEvidence {
    const crashes = engines.map(target => ({
        part,
        position: 0,
        target,
        startedAt: 1,
        ageMilliseconds: CRASH_INTERVAL_MILLISECONDS * (9 - Number(target.slice(1))),
    }));
    return { ...EMPTY_CRASH_EVIDENCE, crashes };
}

function listQuarantined(instance: SiteInstance): QuarantinedPart[] {
    return instance.process.dumpState().quarantined as QuarantinedPart[];
}

/** Waits until a list of names is as expected. */
async function waitForNames(
    find: () => string[],
    options: { expected: string[]; milliseconds: number; },
): Promise<void> {
    const deadline = performance.now() + options.milliseconds;
    while (find().join(" ") !== options.expected.join(" ") && performance.now() < deadline) {
        await waitMilliseconds(POLL_MILLISECONDS);
    }
    assert.deepEqual(find(), options.expected);
}

When("{int} ms have passed", async function(milliseconds: number) {
    await waitMilliseconds(milliseconds);
});

When(
    "the peer {string} tells instance {int} of crashes on the part {string} at the engines {string}",
    async function(peer: string, number: number, part: string, engines: string) {
        await sendEvidence(peer, [getInstance(number)], buildCrashes(part, engines.split(" ")));
        await waitMilliseconds(100);
    },
);

When("{int} engines have crashed on the part {string}", async function(count: number, part: string) {
    const engines = Array.from({ length: count }, (_, index) => `e${index}`);
    await sendEvidence("a", [getInstance(1)], buildCrashes(part, engines));
});

When(
    "the peer {string} tells all instances of answers on the part {string}",
    async function(peer: string, part: string) {
        await sendEvidence(peer, getSite().instances, { ...EMPTY_CRASH_EVIDENCE, sound: [part] });
    },
);

Then("all instances hold {string} in quarantine within {int} ms", async function(part: string, milliseconds: number) {
    const find = (): string[] =>
        getSite().instances.map(instance => listQuarantined(instance).map(entry => entry.part).join(","));
    await waitForNames(find, { expected: getSite().instances.map(() => part), milliseconds });
});

Then("no instance holds a part in quarantine", function() {
    assert.deepEqual(getSite().instances.flatMap(listQuarantined), []);
});

Then("no instance holds a part in quarantine after {int} ms", async function(milliseconds: number) {
    await waitMilliseconds(milliseconds);
    assert.deepEqual(getSite().instances.flatMap(listQuarantined), []);
});

Then(
    "instance {int} has logged that {string} is quarantined after {int} crashes, because of {string}",
    async function(number: number, part: string, crashes: number, source: string) {
        await waitForLine([getInstance(number)], { event: "prompt part quarantined", part, crashes, source });
    },
);

Then(
    "instance {int} has logged that {string} is released, because it was {string}",
    async function(number: number, part: string, reason: string) {
        await waitForLine([getInstance(number)], { event: "prompt part released", part, reason });
    },
);

Then("instance {int} has logged {string} for {string}", async function(number: number, event: string, name: string) {
    await waitForLine([getInstance(number)], { event, name });
});

Then("an instance has logged {string}", async function(event: string) {
    await waitForLine(getSite().instances, { event });
});

Then("the store has the quarantined part {string} within {int} ms", async function(part: string, milliseconds: number) {
    const find = (): string[] => getSite().store.listNames(StoreKind.quarantinedParts);
    await waitForNames(find, { expected: [part], milliseconds });
});

Then("the store has no quarantined part within {int} ms", async function(milliseconds: number) {
    await waitForNames(() => getSite().store.listNames(StoreKind.quarantinedParts), { expected: [], milliseconds });
});

Then(
    "the quarantined parts were listed at most {int} times, and written or removed at most {int} times",
    function(listed: number, changed: number) {
        const calls = getSite().store.calls.filter(call => call.endsWith(` ${StoreKind.quarantinedParts}`));
        const lists = calls.filter(call => call.startsWith("GET ")).length;
        assert.ok(lists >= 1 && lists <= listed, `listed ${lists} times`);
        assert.ok(calls.length - lists <= changed, calls.join(", "));
    },
);

When("all instances stop, and {int} others start", async function(count: number) {
    const site = getSite();
    site.instances.splice(0).forEach(instance => instance.process.close());
    for (let index = 0; index < count; index += 1) {
        await site.addInstance();
    }
});

Then(
    "the remaining time of the quarantine is between {int} and {int} seconds",
    function(minSeconds: number, maxSeconds: number) {
        for (const { remainingMilliseconds } of getSite().instances.flatMap(listQuarantined)) {
            assert.ok(remainingMilliseconds >= minSeconds * 1000 && remainingMilliseconds <= maxSeconds * 1000);
        }
    },
);

Given("a store with the quarantined parts", async function(table: DataTable) {
    const site = new ServingSite();
    siteContext.site = site;
    await site.openStore();
    await site.addTarget("ledger");
    for (const { part = "", crashes, "remaining ms": remaining } of table.hashes()) {
        const count = Number(crashes);
        site.store.putObject(StoreKind.quarantinedParts, part, {
            ends_at: Date.now() + Number(remaining),
            crashes: Number.isNaN(count) ? crashes : count,
        });
    }
});

When(/^the store (loses the reply to|refuses) its next write$/, function(fault: string) {
    getSite().store.faults[fault === "refuses" ? "refusedWrites" : "lostResponses"] = 1;
});

let messages: (PeerMessage | undefined)[] = [];

When("a digest and a state without prompt parts are received", function() {
    messages = [
        parsePeerMessage({
            kind: "digest",
            instance: "older",
            address: "127.0.0.1:1",
            work: {},
            unreachable: [],
            versions: { configuration: 5, targets: 20, zones: 7 },
            isWatching: true,
        }),
        parsePeerMessage({ kind: "belief", instance: "older", peers: {} }),
    ];
});

Then("they count as ones without evidence", function() {
    const [digest, state] = messages;
    assert.ok(digest?.kind === "digest" && state?.kind === "belief");
    assert.deepEqual(digest.promptEvidence, EMPTY_CRASH_EVIDENCE);
    assert.equal(state.quarantined, undefined);
});
