/**
 * Steps that restore the platform's store from a copy.
 *
 * @module
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { PlatformReply } from "../../core/platform/mod.ts";
import { EvacuatedZones } from "../../core/serving/mod.ts";
import { parseAddress, waitMilliseconds } from "../../network/mod.ts";
import { KeyValueStore, StoreClient, StoreKind, type StoreReply } from "../../platform/mod.ts";
import { parsePeerMessage, type PeerMessage } from "../../serving/mod.ts";
import { ServingSite, type SiteTarget, StoreStandIn } from "../../support/platform/mod.ts";
import { findAddresses } from "../../support/processes/mod.ts";
import { type OpenedStandIn, openStandIn } from "../../support/stand_ins/mod.ts";
import { createRequestId, getSite, siteContext } from "../support/site_context.ts";

/** Time within which instances without a watch learn of a restoration from their peers, in milliseconds. */
const SPREAD_MILLISECONDS = 600;

let openedStore: OpenedStandIn | undefined;

async function openStore(): Promise<{ store: StoreStandIn; client: StoreClient; }> {
    const [address = ""] = await findAddresses(1);
    const store = new StoreStandIn();
    openedStore = await openStandIn(store, { address });
    return { store, client: new StoreClient({ address: parseAddress(address), timeoutMilliseconds: 500 }) };
}

let watchedClient: StoreClient | undefined;
let listedPosition = { era: 0, revision: 0 };

Given("a store with {int} objects that was listed, changed, restored and changed again", async function(count: number) {
    const { store, client } = await openStore();
    for (let index = 0; index < count; index += 1) {
        store.putObject("things", `thing-${index}`, {});
    }
    store.takeCopy();
    store.putObject("things", "later", {});
    const reply = await client.listObjects("things");
    assert.ok(reply.kind === "ok");
    listedPosition = { era: reply.value.era, revision: reply.value.revision };
    store.loadCopy();
    store.putObject("things", "another", {});
    store.putObject("things", "one more", {});
    watchedClient = client;
});

When("the listed kind is watched from the revision before the restoration", async function() {
    assert.ok(watchedClient !== undefined);
    siteContext.storeReply = await watchedClient.watchObjects("things", { ...listedPosition, waitMilliseconds: 20 });
    watchedClient.close();
    openedStore?.close();
});

let delayedReply: StoreReply<unknown> | undefined;
let laterReply: StoreReply<unknown> | undefined;

When("a reply of the store is delayed until the store was restored and listed again", async function() {
    const { store, client } = await openStore();
    store.putObject("things", "one", {});
    store.takeCopy();
    await client.listObjects("things");
    store.faults.delayMilliseconds = 100;
    const delayed = client.listObjects("things");
    await waitMilliseconds(30);
    store.faults.delayMilliseconds = 0;
    store.loadCopy();
    laterReply = await client.listObjects("things");
    delayedReply = await delayed;
    client.close();
    openedStore?.close();
});

Then("the delayed reply is dropped and the later one is used", function() {
    assert.equal(delayedReply?.kind, "unanswered");
    assert.equal(laterReply?.kind, "ok");
});

When("the store is copied", function() {
    getSite().store.takeCopy();
});

When(
    /^the store is restored from the copy (\d+) times (without an outage|after an outage|with the reply to a write lost)$/,
    async function(times: string, fault: string) {
        const { store } = getSite();
        store.faults.isReset = fault === "after an outage";
        store.faults.lostResponses = fault === "with the reply to a write lost" ? 1 : 0;
        for (let count = 0; count < Number(times); count += 1) {
            store.loadCopy();
            await waitMilliseconds(100);
        }
        await waitMilliseconds(store.faults.isReset ? 500 : 0);
        store.faults.isReset = false;
    },
);

When("the instances have seen the restored store", async function() {
    await waitMilliseconds(SPREAD_MILLISECONDS);
});

Then(
    "a {string} of each instance still gets the status {int} after {int} ms",
    async function(kind: string, status: number, milliseconds: number) {
        await waitMilliseconds(milliseconds);
        for (const instance of getSite().instances.keys()) {
            const response = await getSite().call({ kind, id: createRequestId(), instance });
            assert.equal(response.status, status);
        }
    },
);

Then("the new instance has configuration version {int}", function(version: number) {
    assert.equal(getSite().instances.at(-1)?.process.dumpState().configuration, version);
});

function getTarget(number: number): SiteTarget {
    const target = getSite().targets[number - 1];
    assert.ok(target !== undefined, `there is no target ${number}`);
    return target;
}

/** Functions that let a target depart, by the name of the event in the feature file. */
const DEPARTURES: Record<string, (target: SiteTarget) => Promise<void> | void> = {
    "reports its shutdown to the store": target => getSite().writeTarget(target, { state: "draining" }),
    "is removed from the store": target => getSite().store.removeObject("servers", target.id),
    "announces its shutdown in its answers": async target => {
        target.standIn.faults.announcesLeaving = true;
        for (let count = 0; target.standIn.arrivals.length === 0 && count < 40; count += 1) {
            await getSite().call({ kind: "stamp", id: createRequestId() });
        }
    },
};

When(
    /^target (\d+) of "\w+" (reports its shutdown to the store|is removed from the store|announces its shutdown in its answers)$/,
    async function(number: string, change: string) {
        await DEPARTURES[change]?.(getTarget(Number(number)));
        await waitMilliseconds(100);
        getTarget(Number(number)).standIn.arrivals.length = 0;
    },
);

Then(/^target (\d+) of "\w+" has received (none|some) of them$/, function(number: string, count: string) {
    assert.equal(getTarget(Number(number)).standIn.arrivals.length > 0, count === "some");
});

When("target {int} of {string} starts again and writes its entry", async function(number: number, _service: string) {
    getTarget(number).standIn.faults.announcesLeaving = false;
    getSite().writeTarget(getTarget(number), { born: 2000 });
    await waitMilliseconds(100);
});

When("target {int} of {string} writes its entry again", function(number: number, _service: string) {
    getSite().writeTarget(getTarget(number), { sequence: 2 });
});

When("a further target of {string} starts", async function(service: string) {
    await getSite().addTarget(service);
    await waitMilliseconds(100);
});

Then(
    "all instances use {int} targets of {string} after {int} ms",
    async function(count: number, service: string, milliseconds: number) {
        await waitMilliseconds(milliseconds);
        for (const instance of getSite().instances) {
            const { targets } = instance.process.dumpState().targets as { targets: { service: string; }[]; };
            assert.equal(targets.filter(target => target.service === service).length, count);
        }
    },
);

let evacuatedUntil = 0;

When("zones are evacuated, and a restored store does not list them", function() {
    const zones = new EvacuatedZones();
    zones.applySnapshot({ era: 1, revision: 50, changeRevision: 50, zones: ["zone-a", "zone-b"] }, 0);
    zones.applySnapshot({ era: 2, revision: 20, changeRevision: 20, zones: ["zone-b"] }, 1000);
    assert.ok(!zones.applySnapshot({ era: 1, revision: 60, changeRevision: 60, zones: [] }, 1100));
    evacuatedUntil = 1000;
    while (zones.listZones().includes("zone-a")) {
        evacuatedUntil += 100;
        zones.expireHolds(evacuatedUntil);
    }
    assert.deepEqual(zones.listZones(), ["zone-b"]);
});

Then("they stay evacuated for {int} ms and not longer", function(milliseconds: number) {
    assert.equal(evacuatedUntil - 1000, milliseconds);
});

Given("a serving site without an instance", async function() {
    siteContext.site = new ServingSite();
    await siteContext.site.openStore();
});

When("{int} instances start", async function(count: number) {
    for (let index = 0; index < count; index += 1) {
        await getSite().addInstance();
        await getSite().waitUntilReady(index);
    }
    await waitMilliseconds(100);
});

Then("both instances are registered within {int} ms", async function(milliseconds: number) {
    const { store, instances } = getSite();
    const deadline = performance.now() + milliseconds;
    const listMissing = (): string[] =>
        instances.map(({ settings }) => settings.instance).filter(name => !store.hasObject(StoreKind.instances, name));
    while (listMissing().length > 0) {
        assert.ok(performance.now() < deadline, `not registered: ${listMissing().join(", ")}`);
        await waitMilliseconds(50);
    }
});

let keyValueReplies: Record<"first" | "other" | "update" | "watch", PlatformReply> | undefined;

When(
    "a value is written, the store is restored from a copy, and another value gets the same revision",
    async function() {
        const [address = ""] = await findAddresses(1);
        const store = new StoreStandIn();
        const server = await openStandIn(store, { address });
        const client = new KeyValueStore({ address: parseAddress(address), timeoutMilliseconds: 500 });
        store.takeCopy();
        const first = await client.call({ kind: "create", key: "things/one", value: "first" });
        store.loadCopy();
        const other = await client.call({ kind: "create", key: "things/one", value: "other" });
        assert.ok(first.kind === "done");
        const update = await client.call({
            kind: "replace",
            key: "things/one",
            value: "third",
            version: first.version,
        });
        const watch = await client.call({
            kind: "watch",
            key: "things/one",
            version: first.version,
            waitMilliseconds: 50,
        });
        keyValueReplies = { first, other, update, watch };
        server.close();
    },
);

Then(
    "an update with the first version conflicts, a watch from it returns the other value, and its version is greater",
    function() {
        const { first, other, update, watch } = keyValueReplies ?? {};
        assert.ok(first?.kind === "done" && other?.kind === "done" && other.version > first.version);
        assert.equal(update?.kind, "conflict");
        assert.ok(watch?.kind === "object" && watch.object.value === "other");
    },
);

let parsedMessage: PeerMessage | undefined;

When("a digest without eras and leaving targets is received", function() {
    parsedMessage = parsePeerMessage({
        kind: "digest",
        instance: "older",
        address: "127.0.0.1:1",
        work: {},
        unreachable: [],
        versions: { configuration: 5, targets: 20, zones: 7 },
        isWatching: true,
    });
});

Then("it counts as one of era 0 without leaving targets", function() {
    assert.ok(parsedMessage?.kind === "digest");
    assert.deepEqual(parsedMessage.leaving, []);
    assert.deepEqual(parsedMessage.versions, { configuration: 5, targets: 20, targetsEra: 0, zones: 7, zonesEra: 0 });
});
