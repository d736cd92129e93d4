/**
 * Steps that simulate the election of the instances that watch the platform's store, in virtual time.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    simulateWatcherElection,
    type WatcherElectionOutcome,
} from "../../support/platform/watcher_election_simulation.ts";

let outcome: WatcherElectionOutcome | undefined;

When(
    /^(\d+) instances elect watchers of the store for (\d+) seconds while (.+)$/,
    function(instances: string, seconds: string, situation: string) {
        outcome = simulateWatcherElection({ instances: Number(instances), seconds: Number(seconds), situation });
    },
);

Then("{int} of them watch the store at the end", function(count: number) {
    assert.equal(outcome?.watchers, count);
});

Then("at most {int} of them have called it", function(count: number) {
    assert.ok(outcome !== undefined && outcome.callers <= count, `${outcome?.callers} have called it`);
});

Then("nobody watched for at most {int} ms", function(milliseconds: number) {
    assert.ok(
        outcome !== undefined && outcome.unwatchedMilliseconds <= milliseconds,
        `nobody watched for ${outcome?.unwatchedMilliseconds} ms`,
    );
});
