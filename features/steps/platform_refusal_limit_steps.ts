/**
 * Steps that check how targets that fall over when they refuse too many requests are treated.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { RecentSends, TargetRefusalLimits } from "../../core/serving/mod.ts";
import { decodeResponseHead } from "../../platform/mod.ts";
import { type DigestMessage, parsePeerMessage } from "../../serving/peer_messages.ts";
import {
    type RefusalLimitOutcome,
    type RefusalLimitSimulationOptions,
    simulateRefusalLimits,
} from "../../support/platform/refusal_limit_simulation.ts";
import { listTargets } from "../support/site_context.ts";

/** Head of the response that the scenario has decoded. */
let decodedHead: ReturnType<typeof decodeResponseHead> | undefined;

When(
    "a target answers with the status {int} and the bound on refusals {string}",
    function(statusCode: number, bound: string) {
        const headers = bound === "" ? {} : { "server-brittle": bound };
        const rawHeaders = Object.entries(headers).flat();
        decodedHead = decodeResponseHead({ statusCode, headers, rawHeaders } as unknown as IncomingMessage, "GET");
    },
);

Then("it states the bound on refusals {string}, and no header of it is forwarded", function(expected: string) {
    assert.equal(String(decodedHead?.refusalsPerSecond ?? "none"), expected);
    assert.deepEqual(decodedHead?.headers, []);
});

/** Digest of an instance that tells nothing but what it must. */
const PLAIN_DIGEST = {
    kind: "digest",
    instance: "one",
    address: "127.0.0.1:1",
    work: {},
    unreachable: [],
    versions: { configuration: 1, targets: 1, zones: 1 },
    isWatching: false,
};

Then("a digest without statements on refusals is understood", function() {
    const digest = parsePeerMessage(PLAIN_DIGEST) as DigestMessage | undefined;
    assert.deepEqual(digest?.refusalStatements, []);
});

Then("the statements on refusals of a digest are understood, with and without a refusal", function() {
    const statement = {
        id: "a",
        startedAt: 1,
        requestsPerSecond: 3,
        sentAgoMilliseconds: 20,
        heardAgoMilliseconds: 10,
    };
    const refusalStatements = [statement, { ...statement, id: "b", refusedAgoMilliseconds: 5 }];
    const digest = parsePeerMessage({ ...PLAIN_DIGEST, refusalStatements }) as DigestMessage | undefined;
    assert.deepEqual(digest?.refusalStatements, refusalStatements);
});

When(
    "targets of {string} have room for {int} requests of {int} ms and survive {int} refusals in a second",
    function(service: string, room: number, serviceMilliseconds: number, refusals: number) {
        for (const { standIn } of listTargets(service)) {
            Object.assign(standIn.faults, { room, serviceMilliseconds, statedRefusals: String(refusals) });
        }
    },
);

Then("no target of {string} has fallen over", function(service: string) {
    for (const { id, standIn } of listTargets(service)) {
        assert.equal(standIn.crashes.length, 0, `${id} has fallen over after ${standIn.refusals.length} refusals`);
    }
});

/** Numbers of requests that the scenario's instance has sent in a second: before the refusal, after it, and later. */
let sentCounts: number[] = [];

When("a target refuses a request of a peer", function() {
    const sends = new RecentSends();
    const limits = new TargetRefusalLimits(sends);
    const statement = { requestsPerSecond: 4, sentAgoMilliseconds: 20, heardAgoMilliseconds: 10 };
    const countSent = (start: number): number => {
        let count = 0;
        for (let now = start; now < start + 1000; now += 20) {
            const share = { now, wallTime: now, instances: 20, rank: 3 };
            const isOpen = limits.computeDelay("one", { ...share, ownRequests: 0, slots: 8 }) === 0
                && (limits.findCrowdedDelay("one", share) ?? 0) === 0;
            if (isOpen) {
                sends.recordSend("one", now);
                count += 1;
            }
        }
        return count;
    };
    limits.applyToldStatement({ id: "one", startedAt: 1, ...statement }, 0);
    const before = countSent(3000);
    limits.applyToldStatement({ id: "one", startedAt: 1, ...statement, refusedAgoMilliseconds: 5 }, 4000);
    sentCounts = [before, countSent(4000), countSent(11_100)];
});

Then("this instance sends it at most half as many requests in a second, and all again 7 seconds later", function() {
    const [before = 0, after = 0, later = 0] = sentCounts;
    assert.ok(after > 0 && after <= before / 2, `${before} requests before, ${after} after the refusal`);
    assert.equal(later, before);
});

/** Options of the scenario's simulations. */
let simulated: RefusalLimitSimulationOptions = {};
/** Outcome of each simulated seed. */
let outcomes: RefusalLimitOutcome[] = [];

When(
    /^(\d+) instances get ([\d.]+) times what targets process that survive (\d+) refusals in a second(, and ignore that)?$/,
    { timeout: 30_000 },
    function(instances: string, overload: string, refusals: string, ignored?: string) {
        simulated = {
            instances: Number(instances),
            overload: Number(overload),
            refusalsPerSecond: Number(refusals),
            isKept: (ignored ?? "") === "",
        };
        const seeds = simulated.isKept === true ? [1, 2, 3, 4, 5] : [1];
        outcomes = seeds.map(seed => simulateRefusalLimits({ ...simulated, seed }));
    },
);

Then("no target refuses more than it survives, for all of 5 seeds", function() {
    for (const { peakShare } of outcomes) {
        assert.ok(peakShare <= 1, `a target refused ${peakShare} of what it survives`);
    }
});

Then("a target refuses more than it survives", function() {
    assert.ok(outcomes.some(({ peakShare }) => peakShare > 1));
});

Then("the targets process at least {float} of what they can, for all of 5 seeds", function(share: number) {
    for (const { usedShare } of outcomes) {
        assert.ok(usedShare >= share, `the targets processed ${usedShare} of what they can`);
    }
});
