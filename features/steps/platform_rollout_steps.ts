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
import { createRequestId, getSite, listTargets, siteContext } from "../support/site_context.ts";

const BOUNDS = { exposureShare: 0.1, exposureSlack: 50, rollbackMilliseconds: 5000 };
/** Longest time in which a scenario waits for the end of a rollout, in milliseconds. */
const MAX_WAIT_MILLISECONDS = 40_000;
/** Time from a rollback until the new targets leave, in milliseconds. */
const LEAVING_MILLISECONDS = 2000;

/** The rollout of the scenario. */
let rollout = { service: "", version: "", orderedAt: 0, endedAt: 0 };

Given("a serving site with {int} instances that take rollouts", async function(instances: number) {
    rollout = { service: "", version: "", orderedAt: 0, endedAt: 0 };
    siteContext.responses = [];
    siteContext.site = await startServingSite({ instances, engines: 0, rollout: BOUNDS });
});

function putOrder(version: string, service: string, spec: Record<string, unknown>): void {
    getSite().store.putObject("rollouts", service, { service, target: version, ...spec });
    rollout = { service, version, orderedAt: performance.now(), endedAt: 0 };
}

When("an operator orders the version {string} of {string} within {int} s", function(
    version: string,
    service: string,
    seconds: number,
) {
    putOrder(version, service, { duration_s: seconds });
});

When(
    /^(\d+) targets of the version "(.+)" of "(.+)" start(?: that answer with "(.+)")?$/,
    async function(count: string, softwareVersion: string, service: string, answer?: string) {
        for (let index = 0; index < Number(count); index += 1) {
            const { standIn } = await getSite().addTarget(service, { softwareVersion });
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

function listVersionTargets(isNew: boolean): ReturnType<typeof listTargets> {
    return listTargets(rollout.service).filter(({ standIn }) =>
        (standIn.softwareVersion === rollout.version) === isNew
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

When(
    "callers send {int} requests a second until the rollout has ended",
    { timeout: MAX_WAIT_MILLISECONDS + 10_000 },
    async function(rate: number) {
        const calls: Promise<unknown>[] = [];
        const { instances } = getSite();
        const startedAt = performance.now();
        let stopped: Promise<void> | undefined;
        while (performance.now() - startedAt < MAX_WAIT_MILLISECONDS) {
            calls.push(
                getSite().call({ kind: "lookup", id: createRequestId(), instance: calls.length % instances.length })
                    .then(response => siteContext.responses.push(response)),
            );
            await waitMilliseconds(startedAt + calls.length * 1000 / rate - performance.now());
            if (stopped === undefined && ["completed", "rolled_back"].includes(getState())) {
                rollout.endedAt = performance.now();
                stopped = stopTargets();
            }
            if (stopped !== undefined && performance.now() - rollout.endedAt > LEAVING_MILLISECONDS) {
                break;
            }
        }
        await Promise.all([...calls, stopped]);
    },
);

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
    assert.equal(version, rollout.version);
    const got = listVersionTargets(true).flatMap(({ standIn }) => standIn.arrivals)
        .filter(({ at }) => rollout.endedAt === 0 || getState() !== "completed" || at <= rollout.endedAt).length;
    const all = siteContext.responses.length;
    assert.ok(got > 0 && got <= share * all + slack, `${got} of ${all}`);
});

Then("the version {string} gets nothing more", async function(version: string) {
    assert.equal(version, rollout.version);
    const count = (): number =>
        listVersionTargets(true).flatMap(({ standIn }) => standIn.arrivals)
            .filter(({ at }) => at > rollout.endedAt + 500).length;
    assert.equal(count(), 0);
    await Promise.resolve();
});
