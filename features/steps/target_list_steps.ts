/**
 * Steps about the lists of targets that instances hand to each other after a pause or an outage of the store.
 *
 * @module
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type ServingTarget, TargetDirectory } from "../../core/serving/mod.ts";
import { parsePeerMessage, type StateMessage } from "../../serving/peer_messages.ts";
import { createTarget } from "../support/serving_target.ts";

const GRACE_MILLISECONDS = 2000;
/** Revisions of the store: of all entries, of the removal, and of a later change of another kind. */
const LISTED_REVISION = 10;
const REMOVED_REVISION = 11;
const LATER_REVISION = 20;

function createTargets(...ids: string[]): ServingTarget[] {
    return ids.map(id => createTarget(id, { revision: LISTED_REVISION }));
}

function createDirectory(): TargetDirectory {
    const directory = new TargetDirectory();
    directory.applySnapshot({ revision: LISTED_REVISION, targets: createTargets("a", "b", "c", "d") }, 0);
    return directory;
}

/** Hands the list of one instance to another as a message, if it is newer. */
function sendList(from: TargetDirectory, to: TargetDirectory, now: number): void {
    const state: StateMessage = { kind: "belief", instance: "sender", targets: from.getSnapshot(now), peers: {} };
    const message = parsePeerMessage(JSON.parse(JSON.stringify(state))) as StateMessage;
    if (message.targets !== undefined && (!to.isLoaded || from.changeRevision >= to.changeRevision)) {
        to.applySnapshot(message.targets, now);
    }
}

function listUsed(directory: TargetDirectory, now: number): string {
    directory.expireMissing(now);
    return directory.listAvailable("engines").map(({ id }) => id).sort().join("");
}

let paused = createDirectory();
let pausedToo = createDirectory();
let undisturbed = createDirectory();
/** Time at which the pause ends. */
let wokenAt = 0;

Given(
    "an instance is paused for {int} ms, and a target is removed {int} ms after the start of the pause",
    function(pause: number, removal: number) {
        [paused, pausedToo, undisturbed] = [createDirectory(), createDirectory(), createDirectory()];
        const startedAt = 10_000;
        wokenAt = startedAt + pause;
        undisturbed.applyEvents({ revision: REMOVED_REVISION, changed: [], removed: ["d"] }, startedAt + removal);
    },
);

When("it takes the pause for an outage, lists the store, and hands its list to the others", function() {
    paused.markStoreRecovered(wokenAt);
    paused.applySnapshot({ revision: LATER_REVISION, targets: createTargets("a", "b", "c") }, wokenAt);
    for (const directory of [undisturbed, pausedToo]) {
        sendList(paused, directory, wokenAt + 250);
    }
});

Then("no instance that has removed the target uses it again", function() {
    for (let now = wokenAt + 250; now < wokenAt + 3 * GRACE_MILLISECONDS; now += 250) {
        assert.equal(listUsed(undisturbed, now), "abc", `${now - wokenAt} ms after the pause`);
    }
});

Then("one that was paused too drops it when the first one does, also if they exchange their lists again", function() {
    const endsAt = wokenAt + GRACE_MILLISECONDS;
    for (let now = wokenAt + 500; now < endsAt + GRACE_MILLISECONDS; now += 250) {
        sendList(pausedToo, paused, now);
        sendList(paused, pausedToo, now);
        sendList(pausedToo, undisturbed, now);
        for (const directory of [paused, pausedToo]) {
            assert.equal(listUsed(directory, now).includes("d"), now < endsAt, `${now - wokenAt} ms after the pause`);
        }
        assert.equal(listUsed(undisturbed, now), "abc");
    }
});

let fleet: TargetDirectory[] = [];
const RECOVERED_AT = 30_000;

When(
    "one instance lists the store after an outage without half of the targets, and hands its list to others",
    function() {
        const watcher = createDirectory();
        fleet = [watcher, createDirectory(), new TargetDirectory()];
        watcher.markStoreRecovered(RECOVERED_AT);
        watcher.applySnapshot({ revision: LATER_REVISION, targets: createTargets("a", "b") }, RECOVERED_AT);
        fleet.slice(1).forEach(directory => sendList(watcher, directory, RECOVERED_AT + 300));
    },
);

Then(
    "all instances use all targets until {int} ms after the recovery, also one that has just started",
    function(milliseconds: number) {
        for (const now of [RECOVERED_AT + 300, RECOVERED_AT + milliseconds - 1]) {
            assert.deepEqual(fleet.map(directory => listUsed(directory, now)), ["abcd", "abcd", "abcd"]);
        }
    },
);

Then("targets that are listed again by then are used everywhere afterwards, and the others nowhere", function() {
    const revision = LATER_REVISION + 1;
    const events = { revision, changed: [createTarget("c", { revision })], removed: [] };
    fleet.forEach(directory => directory.applyEvents(events, RECOVERED_AT + GRACE_MILLISECONDS - 1));
    const usedAfter = fleet.map(directory => listUsed(directory, RECOVERED_AT + GRACE_MILLISECONDS));
    assert.deepEqual(usedAfter, ["abc", "abc", "abc"]);
});

When(
    "an instance has removed a target and gets a list that has its old entry, without its missing targets",
    function() {
        undisturbed = createDirectory();
        undisturbed.applyEvents({ revision: REMOVED_REVISION, changed: [], removed: ["d"] }, 1000);
        const targets = createTargets("a", "b", "c", "d");
        undisturbed.applySnapshot({ revision: LATER_REVISION, changeRevision: LATER_REVISION, targets }, 5000);
    },
);

Then("it does not use the target until a newer entry is listed", function() {
    assert.equal(listUsed(undisturbed, 5000), "abc");
    const revision = LATER_REVISION + 1;
    undisturbed.applyEvents({ revision, changed: [createTarget("d", { revision })], removed: [] }, 6000);
    assert.equal(listUsed(undisturbed, 6000), "abcd");
});
