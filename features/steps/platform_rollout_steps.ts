/**
 * Steps about rollouts at a site of real processes.
 *
 * @module
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { performance } from "node:perf_hooks";
import { waitMilliseconds } from "../../network/mod.ts";
import { startServingSite } from "../../support/platform/mod.ts";
import { waitForLine } from "../support/log_lines.ts";
import { createRequestId, getSite, listTargets, siteContext } from "../support/site_context.ts";

const BOUNDS = { exposureShare: 0.1, exposureSlack: 50, rollbackMilliseconds: 5000 };
/** Longest time in which a scenario waits for the end of a rollout, in milliseconds. */
const MAX_WAIT_MILLISECONDS = 40_000;
/** Time from a rollback until the new targets leave, in milliseconds. */
const LEAVING_MILLISECONDS = 2000;

/** Number of events in a whole stream. */
const STREAM_EVENTS = 12;

/** The rollout of the scenario. */
let rollout = { service: "", version: "", orderedAt: 0, endedAt: 0, milliseconds: 0 };
/** Time at which the latest target was listed, on the monotonic clock in milliseconds. */
let startedAt = 0;

Given("a serving site with {int} instance(s) that take rollouts", (instances: number) => startSite(instances));

Given(
    "a serving site with {int} instance(s) and {int} engines that take rollouts",
    (instances: number, engines: number) => startSite(instances, engines),
);

async function startSite(instances: number, engines = 0): Promise<void> {
    rollout = { service: "", version: "", orderedAt: 0, endedAt: 0, milliseconds: 0 };
    siteContext.responses = [];
    siteContext.site = await startServingSite({
        instances,
        engines,
        rollout: BOUNDS,
    });
}

function putOrder(version: string, service: string, spec: Record<string, unknown>): void {
    getSite().store.putObject("rollouts", service, spec);
    const milliseconds = Number(spec.duration_s) * 1000;
    rollout = { service, version, orderedAt: performance.now(), endedAt: 0, milliseconds };
}

When("an operator orders the version {string} of {string} within {int} s", function(
    version: string,
    service: string,
    seconds: number,
) {
    putOrder(version, service, { service, target: version, duration_s: seconds });
});

When(
    /^(\d+) targets of the version "(.+)" of "(.+)" start(?: that answer with "(.+)")?$/,
    async function(count: string, softwareVersion: string, service: string, answer?: string) {
        for (let index = 0; index < Number(count); index += 1) {
            const { standIn } = await getSite().addTarget(service, { softwareVersion });
            startedAt = performance.now();
            const fault = answer ?? "";
            standIn.faults.answer = fault === "" ? "ok" : fault;
            standIn.faults.faultyAnswers = fault === "" ? 0 : Infinity;
        }
    },
);

function getState(): string {
    const status = getSite().store.getStatus("rollouts", rollout.service) as { state?: string; } | undefined;
    return status?.state ?? "";
}

/** Lists the requests that targets of a version have received, with their times. */
function listArrivals(version: string): { at: number; }[] {
    return getSite().targets.filter(({ standIn }) => standIn.softwareVersion === version)
        .flatMap(({ standIn }) => standIn.arrivals);
}

function listVersionTargets(isNew: boolean): ReturnType<typeof listTargets> {
    return listTargets(rollout.service).filter(({ standIn }) =>
        ((standIn.softwareVersion ?? "v1") === rollout.version) === isNew
    );
}

/** Stops the targets that a rollout no longer needs, as the platform does. */
async function stopTargets(): Promise<void> {
    const isCompleted = getState() === "completed";
    await waitMilliseconds(isCompleted ? 0 : LEAVING_MILLISECONDS);
    for (const target of listVersionTargets(!isCompleted)) {
        getSite().store.removeObject("servers", target.id);
        target.opened.close();
    }
}

/** Sends requests to the instances in turn until `isOver` or the longest wait has passed, and waits for the responses. */
async function sendRequests(rate: number, isOver: () => boolean, kind = "lookup"): Promise<void> {
    const calls: Promise<unknown>[] = [];
    const beganAt = performance.now();
    while (performance.now() - beganAt < MAX_WAIT_MILLISECONDS && !isOver()) {
        const instance = calls.length % getSite().instances.length;
        calls.push(
            getSite().call({ kind, id: createRequestId(), instance })
                .then(response => siteContext.responses.push(response), () => undefined),
        );
        await waitMilliseconds(beganAt + calls.length * 1000 / rate - performance.now());
    }
    await Promise.all(calls);
}

When(
    /^callers send (\d+) (request|verdict)s a second until the rollout has ended$/,
    { timeout: MAX_WAIT_MILLISECONDS + 10_000 },
    async function(rate: string, kind: string) {
        let stopped: Promise<void> | undefined;
        await sendRequests(Number(rate), () => {
            if (stopped === undefined && ["completed", "rolled_back"].includes(getState())) {
                rollout.endedAt = performance.now();
                stopped = stopTargets();
            }
            return stopped !== undefined && performance.now() - rollout.endedAt > LEAVING_MILLISECONDS;
        }, kind === "verdict" ? kind : "lookup");
        await stopped;
    },
);

When("callers send {int} requests a second for {int} s", async function(rate: number, seconds: number) {
    const end = performance.now() + seconds * 1000;
    await sendRequests(rate, () => performance.now() >= end);
});

When(/^an operator writes the order (\{.+\})$/, function(text: string) {
    const spec = JSON.parse(text) as Record<string, unknown>;
    putOrder(typeof spec.target === "string" ? spec.target : "v2", "ledger", spec);
});

When("the operator withdraws the order", function() {
    getSite().store.removeObject("rollouts", rollout.service);
});

When("the store is down for {int} s", function(seconds: number) {
    getSite().store.faults.isDown = true;
    setTimeout(() => (getSite().store.faults.isDown = false), seconds * 1000);
});

When("the store loses the replies to its {int} writes", function(count: number) {
    getSite().store.faults.lostResponses = count;
});

When("all instances restart after {int} s", function(seconds: number) {
    setTimeout(() => void getSite().restartInstances(), seconds * 1000);
});

When("the store is copied after {int} ms", async function(milliseconds: number) {
    await waitMilliseconds(milliseconds);
    getSite().store.takeCopy();
});

When("the store goes back to the copy", function() {
    getSite().store.loadCopy();
});

Then("no response holds events of two versions", function() {
    for (const { body } of siteContext.responses) {
        const versions = [...body.toString().matchAll(/data: piece \d+(?: of (\S+))?/g)].map(([, version]) => version);
        assert.ok(versions.length === STREAM_EVENTS && new Set(versions).size === 1, versions.join());
    }
});

Then("the first instance logs {string}", async function(event: string) {
    await waitForLine(getSite().instances.slice(0, 1), { event });
});

Then("the version {string} has got nothing in the last {int} ms", function(version: string, milliseconds: number) {
    assert.equal(listArrivals(version).filter(({ at }) => at > performance.now() - milliseconds).length, 0);
});

Then("the version {string} has got nothing in the first {int} ms", function(version: string, milliseconds: number) {
    assert.ok(listArrivals(version).every(({ at }) => at > startedAt + milliseconds));
});

Then(/^the version "(.+)" has got (none|some) of the requests$/, function(version: string, amount: string) {
    assert.equal(listArrivals(version).length > 0, amount === "some");
});

Then("the status of the rollout is {string} for {string}", function(state: string, version: string) {
    assert.deepEqual(getSite().store.getStatus("rollouts", rollout.service), { state, target: version });
});

Then("the rollout has ended within {int} s", function(seconds: number) {
    assert.ok(rollout.endedAt - rollout.orderedAt <= seconds * 1000, `${rollout.endedAt - rollout.orderedAt} ms`);
});

Then("all requests are answered with {int}", function(status: number) {
    const others = siteContext.responses.filter(response => response.status !== status);
    assert.deepEqual(others.map(response => response.status), []);
});

Then("the version {string} has got at most {float} of the requests and {int}", function(
    version: string,
    share: number,
    slack: number,
) {
    const got = listArrivals(version).filter(({ at }) => at <= rollout.orderedAt + rollout.milliseconds).length;
    const all = siteContext.responses.length;
    assert.ok(got > 0 && got <= share * all + slack, `${got} of ${all}`);
});

Then("the version {string} gets nothing more", function(version: string) {
    // The watch, and then the request in transit, take some time.
    assert.equal(listArrivals(version).filter(({ at }) => at > rollout.endedAt + 500).length, 0);
});
