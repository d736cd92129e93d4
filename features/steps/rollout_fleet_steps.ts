/**
 * Steps that simulate rollouts over a fleet in virtual time, and compare versions.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createTally, RolloutEvidence, Rollouts, type RolloutVerdict } from "../../core/serving/mod.ts";
import {
    type RolloutOutcome,
    simulateRollout,
    type VersionBehaviour,
} from "../../support/platform/rollout_simulation.ts";

const BEHAVIOURS: Record<string, VersionBehaviour> = {
    "is good": {},
    "fails at once": { portion: 0.3 },
    "is slow at once": { portion: 0.4, kind: "slow" },
    "fails after 15 s": { portion: 0.3, from: 15_000 },
    "fails always after 4 s": { portion: 1, from: 4000 },
    "fails under load": { portion: 0.5, load: 2 },
    "fails on one route": { portion: 0.5, route: "check" },
};

let outcome: RolloutOutcome | undefined;
let seconds = 0;
let verdict: RolloutVerdict | undefined;
let rollouts: Rollouts | undefined;

When(
    /^65 instances roll out a version of "(plain|pool)" that (.+) within (\d+) s while (.+)$/,
    { timeout: 60_000 },
    function(service: "plain" | "pool", behaviour: string, limit: string, situation: string) {
        seconds = Number(limit);
        const { route, ...rest } = BEHAVIOURS[behaviour] ?? {};
        const badRoute = route !== undefined && service === "plain" ? "lookup" : route;
        outcome = simulateRollout({
            seed: 1,
            service,
            seconds,
            situation,
            behaviour: badRoute === undefined ? rest : { ...rest, route: badRoute },
        });
    },
);

When(
    "65 instances send requests to all targets of {string} although a new version fails at once",
    { timeout: 60_000 },
    function(service: "plain" | "pool") {
        outcome = simulateRollout({ seed: 1, service, seconds: 10, behaviour: { portion: 0.3 }, isUnlimited: true });
    },
);

function getOutcome(): RolloutOutcome {
    assert.ok(outcome !== undefined);
    return outcome;
}

Then("the rollout ends as {string} by its time limit", function(state: string) {
    assert.equal(getOutcome().state, state, JSON.stringify(outcome));
    assert.ok(getOutcome().endedAt <= seconds * 1000, `after ${getOutcome().endedAt} ms`);
});

Then("the new version got at most {float} of the requests and {int}", function(share: number, slack: number) {
    const { sent, requests } = getOutcome();
    assert.ok(sent > 0 && sent <= share * requests + slack, `${sent} of ${requests}`);
});

Then("the new version got more than {float} of the requests and {int}", function(share: number, slack: number) {
    const { sent, requests } = getOutcome();
    assert.ok(sent > share * requests + slack, `${sent} of ${requests}`);
});

Then("it got nothing later than {int} ms after its 50th bad answer", function(milliseconds: number) {
    assert.ok(getOutcome().lateMilliseconds <= milliseconds, `${getOutcome().lateMilliseconds} ms`);
});

When(
    /^a version gives (\d+) (failed|slow) answers of (\d+) on a route where the old one gave (\d+) of 400$/,
    function(count: string, kind: string, answers: string, old: string) {
        const evidence = new RolloutEvidence();
        const recordAnswers = (isNew: boolean, { bad, all }: { bad: number; all: number; }): void => {
            for (let index = 0; index < all; index += 1) {
                const isBad = index >= all - bad;
                const end = { route: "route", target: "target", isNew, now: index * 100 };
                evidence.recordEnd({ ...end, kind: isBad && kind === "failed" ? "failed" : "answered" });
                const milliseconds = isBad && kind === "slow" ? 400 : 100;
                evidence.recordTime({ route: "route", isNew, milliseconds });
            }
        };
        recordAnswers(false, { bad: Number(old), all: 400 });
        recordAnswers(true, { bad: Number(count), all: Number(answers) });
        verdict = evidence.decideVerdict(40_000);
    },
);

When("10 connections to a target of the new version are lost within a second", function() {
    const evidence = new RolloutEvidence();
    for (let index = 0; index < 100; index += 1) {
        evidence.recordEnd({ route: "route", target: "old", isNew: false, kind: "answered", now: index });
    }
    for (let index = 0; index < 10; index += 1) {
        evidence.recordEnd({ route: "route", target: "new", isNew: true, kind: "lost", now: index * 90 });
    }
    verdict = evidence.decideVerdict(1000);
});

Then("the verdict is {string}", function(expected: string) {
    assert.equal(verdict?.isBad, expected === "bad", verdict?.reason);
});

const TARGET = {
    service: "ledger",
    address: "192.0.2.1:80",
    zone: "zone-a",
    slots: 8,
    isLeaving: false,
    coldMilliseconds: 0,
    startedAt: 1,
};
const OLD_TARGET = { ...TARGET, id: "old", softwareVersion: "v1" };
const NEW_TARGET = { ...TARGET, id: "new", softwareVersion: "v2" };

/** Counts those of 100 requests that an instance prefers to send to the new version. */
function countSends(now: number): number {
    const request = { service: "ledger", route: "lookup", isLong: false, softwareVersion: undefined };
    const input = { ...request, isFirst: true, isCounted: true, now };
    const targets = { others: [OLD_TARGET, NEW_TARGET], baseline: "v1" };
    return Array.from({ length: 100 }, () => rollouts?.chooseVersions(input, targets))
        .filter(choice => choice?.isPreferred?.(NEW_TARGET) ?? choice?.isAllowed(NEW_TARGET) ?? true).length;
}

When("a peer tells an instance that the new version is bad", function() {
    const order = {
        name: "ledger",
        revision: 1,
        service: "ledger",
        softwareVersion: "v2",
        durationMilliseconds: 30_000,
        ageMilliseconds: 0,
    };
    const bounds = { exposureShare: 0.1, exposureSlack: 50, rollbackMilliseconds: 5000 };
    rollouts = new Rollouts({ bounds, random: () => 0.5, now: 0 });
    rollouts.applySnapshot({ era: 1, revision: 1, changeRevision: 1, orders: [order] }, 0);
    const findTargets = () => ({
        available: [OLD_TARGET, NEW_TARGET],
        cold: new Set<string>(),
        countOldRunning: () => 0,
    });
    rollouts.update({ now: 100, isConnected: true, findTargets });
    assert.ok(countSends(100) > 0);
    rollouts.applyPeerReport("peer", { name: "ledger", softwareVersion: "v2", isBad: true, ...createTally() });
});

Then("the instance sends the new version nothing of 100 requests", function() {
    assert.equal(countSends(200), 0);
});
