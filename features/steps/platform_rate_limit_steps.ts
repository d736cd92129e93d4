/**
 * Steps that check how targets that limit their request rate are treated.
 *
 * @module
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { RecentSends, TargetRateLimits } from "../../core/serving/mod.ts";
import { waitMilliseconds } from "../../network/mod.ts";
import { decodeTargetNotice } from "../../platform/mod.ts";
import { type SiteTarget, startServingSite } from "../../support/platform/mod.ts";
import {
    type RateLimitOutcome,
    type RateLimitSimulationOptions,
    simulateRateLimits,
} from "../../support/platform/rate_limit_simulation.ts";
import type { HttpResult } from "../../support/processes/mod.ts";
import { waitForLine } from "../support/log_lines.ts";
import { createRequestId, getInstance, getSite, getTarget, listTargets, siteContext } from "../support/site_context.ts";

/** Length of the windows in which a limit holds, in milliseconds. */
const WINDOW_MILLISECONDS = 4000;
/** Factor by which a target may get more requests in a window than its limit allows, and requests beyond that. */
const ALLOWED_FACTOR = 1.5;
const ALLOWED_SLACK = 5;

/** Limit that the scenario has found, or `none`. */
let foundLimit = "";

function formatLimit(requestsPerSecond: number | undefined): string {
    return requestsPerSecond === undefined ? "none" : String(requestsPerSecond);
}

When("a target answers with the status {int} and the limit {string}", function(statusCode: number, limit: string) {
    const headers = limit === "" ? {} : { "server-limit": limit };
    const { requestsPerSecond } = decodeTargetNotice({ statusCode, headers } as unknown as IncomingMessage);
    foundLimit = formatLimit(requestsPerSecond);
});

When("a target gives the answers {string}", function(answers: string) {
    const limits = new TargetRateLimits(new RecentSends());
    for (const answer of answers.split(" ")) {
        const [, limit, sentAt, heardAt, startedAt] = /^(.+):(\d+)-(\d+)@(\d+)$/.exec(answer) ?? [];
        limits.recordStatement({ id: "one", startedAt: Number(startedAt) }, {
            requestsPerSecond: limit === "none" ? undefined : Number(limit),
            sentAt: Number(sentAt),
            heardAt: Number(heardAt),
        });
    }
    foundLimit = formatLimit(limits.findLimit("one"));
});

Then(/^(?:it states the limit|its limit is) "(.*)"$/, function(expected: string) {
    assert.equal(foundLimit, expected);
});

/** A limit that a target states. */
interface StatedLimit {
    requestsPerSecond: number;
    statedAt: number;
}

/** Limits that the targets of the scenario have stated, by target. */
const statedLimits = new Map<string, StatedLimit>();

function setLimit({ id, standIn }: SiteTarget, limit: string): void {
    standIn.faults.statedLimit = limit;
    statedLimits.set(id, { requestsPerSecond: Number(limit), statedAt: performance.now() });
}

When(
    "target {int} of {string} states a limit of {string} requests per second",
    function(number: number, service: string, limit: string) {
        setLimit(getTarget(service, number), limit);
    },
);

When("all targets of {string} state a limit of {string} requests per second", function(service: string, limit: string) {
    listTargets(service).forEach(target => setLimit(target, limit));
});

When("target {int} of {string} states no limit", function(number: number, service: string) {
    getTarget(service, number).standIn.faults.statedLimit = "";
});

Then(
    "instance {int} has logged {string} for target {int} of {string}",
    async function(instance: number, event: string, number: number, service: string) {
        await waitForLine([getInstance(instance)], { event, target: getTarget(service, number).id });
    },
);

Then(
    "instance {int} has logged {string} for target {int} of {string} with {float} requests per second",
    async function(instance: number, event: string, number: number, service: string, requestsPerSecond: number) {
        await waitForLine([getInstance(instance)], {
            event,
            target: getTarget(service, number).id,
            requestsPerSecond,
        });
    },
);

Given(
    "a serving site with {int} instances and {int} targets of each service",
    async function(instances: number, targets: number) {
        siteContext.site = await startServingSite({ instances, plainTargets: targets, engines: targets });
        sentRequests = [];
    },
);

/** A request of the scenario, with its response. */
interface SentRequest {
    sentAt: number;
    milliseconds: number;
    result: HttpResult;
}

let sentRequests: SentRequest[] = [];

async function sendRequest(kind: string, instance: number): Promise<void> {
    const sentAt = performance.now();
    const result = await getSite().call({ kind, id: createRequestId(), instance });
    sentRequests.push({ sentAt, milliseconds: performance.now() - sentAt, result });
    siteContext.responses.push(result);
}

When(
    "{int} requests of the kind {string} per second are sent to all instances for {int} ms",
    async function(rate: number, kind: string, milliseconds: number) {
        const startedAt = performance.now();
        const calls: Promise<void>[] = [];
        for (let index = 0; index < rate * milliseconds / 1000; index += 1) {
            await waitMilliseconds(startedAt + index * 1000 / rate - performance.now());
            calls.push(sendRequest(kind, index % getSite().instances.length));
        }
        await Promise.all(calls);
    },
);

Then(
    "target {int} of {string} got no more than its limit allows later than {int} seconds after its first statement",
    function(number: number, service: string, seconds: number) {
        const { id, standIn } = getTarget(service, number);
        const { requestsPerSecond = 0, statedAt = 0 } = statedLimits.get(id) ?? {};
        const allowed = ALLOWED_FACTOR * requestsPerSecond * WINDOW_MILLISECONDS / 1000 + ALLOWED_SLACK;
        const times = standIn.arrivals.map(({ at }) => at);
        for (const end of times.filter(at => at >= statedAt + seconds * 1000)) {
            const count = times.filter(at => at > end - WINDOW_MILLISECONDS && at <= end).length;
            assert.ok(count <= allowed, `${id} got ${count} requests in 4 s, ${allowed} allowed`);
        }
    },
);

Then(
    "target {int} of {string} got at least {int} requests in the last {int} ms",
    function(number: number, service: string, count: number, milliseconds: number) {
        const since = performance.now() - milliseconds;
        const arrived = getTarget(service, number).standIn.arrivals.filter(({ at }) => at >= since).length;
        assert.ok(arrived >= count, `${arrived} requests arrived`);
    },
);

/** Lists the requests that were sent in the last `milliseconds` of the scenario. */
function listLast(milliseconds: number): SentRequest[] {
    const lastSentAt = Math.max(...sentRequests.map(({ sentAt }) => sentAt));
    return sentRequests.filter(({ sentAt }) => sentAt > lastSentAt - milliseconds);
}

Then("in the last {int} ms at least {int} requests were served", function(milliseconds: number, count: number) {
    const served = listLast(milliseconds).filter(({ result }) => result.status === 200).length;
    assert.ok(served >= count, `${served} requests were served`);
});

Then(
    "the others of the last {int} ms were refused within {int} ms, as not run and with a time for the retry",
    function(milliseconds: number, limit: number) {
        for (const request of listLast(milliseconds).filter(({ result }) => result.status !== 200)) {
            assert.equal(request.result.status, 503);
            assert.match(request.result.body.toString(), /"verdict":"not-run"/);
            assert.ok(Number(request.result.headers["retry-after"]) > 0);
            assert.ok(request.milliseconds <= limit, `refused after ${request.milliseconds} ms`);
        }
    },
);

/** Options of the scenario's simulations. */
let simulated: RateLimitSimulationOptions = {};

When(
    /^(\d+) instances get (\d+) requests per second for targets with the limits "(.+)"(, and none tells the others)?$/,
    function(instances: string, rate: string, limits: string, untold?: string) {
        simulated = {
            instances: Number(instances),
            requestsPerSecond: Number(rate),
            limits: limits.split(" ").map(limit => limit === "-" ? undefined : Number(limit)),
            isTold: (untold ?? "") === "",
        };
    },
);

/** Simulates the scenario with each seed. */
function simulateSeeds(contactMilliseconds = 0): RateLimitOutcome[] {
    return [1, 2, 3, 4, 5].flatMap(seed => simulateRateLimits({ ...simulated, contactMilliseconds, seed }));
}

Then(
    "no target gets more than its limit allows later than {int} ms after its first statement",
    function(contactMilliseconds: number) {
        for (const { limit, peakShare } of simulateSeeds(contactMilliseconds)) {
            assert.ok(peakShare <= 1, `a target with the limit ${limit} got ${peakShare} of what is allowed`);
        }
    },
);

Then(
    "a target gets more than its limit allows later than {int} ms after its first statement",
    function(contactMilliseconds: number) {
        assert.ok(simulateSeeds(contactMilliseconds).some(({ peakShare }) => peakShare > 1));
    },
);

Then("the targets get at least {float} of what their limits allow, for all of 5 seeds", function(share: number) {
    for (const { limit, usedShare } of simulateSeeds()) {
        assert.ok(usedShare >= share, `a target with the limit ${limit} got ${usedShare} of it`);
    }
});

Then(
    "each target gets 5 requests per second again within {int} seconds after the end of its limit",
    function(seconds: number) {
        for (const { limit, recoveryMilliseconds } of simulateSeeds()) {
            assert.ok(
                recoveryMilliseconds <= seconds * 1000,
                `a target with the limit ${limit} is used again after ${recoveryMilliseconds} ms`,
            );
        }
    },
);
