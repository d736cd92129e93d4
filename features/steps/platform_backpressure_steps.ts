/**
 * Steps that check how targets that ask for a pause or announce their shutdown are treated.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { TargetBackpressure, TargetDirectory } from "../../core/serving/mod.ts";
import { FrameServer, parseAddress, PeerConnectionPool, waitMilliseconds } from "../../network/mod.ts";
import { decodeTargetNotice } from "../../platform/mod.ts";
import { parsePeerMessage } from "../../serving/mod.ts";
import type { SiteInstance, SiteTarget } from "../../support/platform/mod.ts";
import { findAddresses, type HttpResult, startOwnTimer } from "../../support/processes/mod.ts";
import { createRequestId, getSite, listTargets, siteContext } from "../support/site_context.ts";

/** Time after a refusal from which requests count that were sent after it, in milliseconds. */
const TRANSIT_MILLISECONDS = 500;
/** Time within which instances have told each other of a notice, in milliseconds. */
const SPREAD_MILLISECONDS = 250;
/** Time for which a new peer waits for a digest, in milliseconds: longer than the interval of the digests. */
const PEER_WAIT_MILLISECONDS = 1500;

let noticeText = "";

When(/^a target answers with the status (\d+) and the headers "(.*)"$/, function(status: string, header: string) {
    const [name = "", value = ""] = header.split(/: (.*)/);
    const response = { statusCode: Number(status), headers: name === "" ? {} : { [name]: value } };
    const { isLeaving, backpressureMilliseconds } = decodeTargetNotice(response as unknown as IncomingMessage);
    noticeText = isLeaving
        ? "leaving"
        : backpressureMilliseconds === undefined
        ? "nothing"
        : `pause ${backpressureMilliseconds} ms`;
});

Then("its notice is {string}", function(expected: string) {
    assert.equal(noticeText, expected);
});

let backpressure = new TargetBackpressure();

When(
    "a target asks at {int} ms for {int} ms, at {int} ms for {int} ms and at {int} ms for {int} ms",
    function(first: number, pause1: number, second: number, pause2: number, third: number, pause3: number) {
        backpressure = new TargetBackpressure();
        backpressure.recordPause("one", { now: first, milliseconds: pause1 });
        backpressure.recordPause("one", { now: second, milliseconds: pause2 });
        backpressure.recordPause("one", { now: third, milliseconds: pause3 });
    },
);

Then("it is paused until {int} ms", function(until: number) {
    assert.equal(backpressure.findPauseEnd("one", until - 1), until);
    assert.equal(backpressure.findPauseEnd("one", until), undefined);
});

/** Targets that refuse requests, and when the pauses end. */
let refusing: { targets: SiteTarget[]; startedAt: number; pauseMilliseconds: number; } = {
    targets: [],
    startedAt: 0,
    pauseMilliseconds: 0,
};

function startRefusing(targets: SiteTarget[], options: { seconds: number; times: number; }): void {
    for (const { standIn } of targets) {
        standIn.arrivals.length = 0;
        standIn.faults.answer = "a refusal with a pause";
        standIn.faults.faultyAnswers = options.times;
        standIn.faults.pauseSeconds = options.seconds;
    }
    refusing = { targets, startedAt: performance.now(), pauseMilliseconds: options.seconds * 1000 };
}

When(
    "target 1 of {string} refuses its requests and asks for a pause of {float} seconds",
    function(service: string, seconds: number) {
        startRefusing(listTargets(service).slice(0, 1), { seconds, times: Infinity });
    },
);

When(
    /^all targets of "(\w+)" refuse their requests and ask for a pause of ([\d.]+) seconds(, once)?$/,
    function(service: string, seconds: string, once?: string) {
        startRefusing(listTargets(service), {
            seconds: Number(seconds),
            times: (once ?? "") === "" ? Infinity : 1,
        });
    },
);

interface TimedResult {
    result: HttpResult;
    endedAt: number;
    milliseconds: number;
}

let timedResults: TimedResult[] = [];

When(
    "{int} callers send a {string} within {int} ms",
    async function(count: number, kind: string, milliseconds: number) {
        const calls = Array.from({ length: count }, async (_, index) => {
            await waitMilliseconds(index * milliseconds / count);
            const readDuration = startOwnTimer();
            const result = await getSite().call({ kind, id: createRequestId() });
            return { result, endedAt: performance.now(), milliseconds: readDuration() };
        });
        timedResults = await Promise.all(calls);
        siteContext.responses.push(...timedResults.map(({ result }) => result));
    },
);

function checkArrivals({ id, standIn }: SiteTarget, limit: number): void {
    const [first] = standIn.arrivals;
    const pauseEnd = (first?.at ?? 0) + refusing.pauseMilliseconds;
    const early = standIn.arrivals.filter(({ at }) =>
        first !== undefined && at > first.at + TRANSIT_MILLISECONDS && at < pauseEnd
    );
    assert.ok(first !== undefined, `${id} has received no request`);
    assert.ok(early.length <= limit, `${id} has received ${early.length} requests in its pause`);
}

Then(
    /^target 1 of "(\w+)" has received at most (\d+) requests later than 500 ms after its first refusal$/,
    function(service: string, limit: string) {
        listTargets(service).slice(0, 1).forEach(target => checkArrivals(target, Number(limit)));
    },
);

Then(
    /^no target of "(\w+)" has received more than (\d+) requests later than 500 ms after its first refusal$/,
    function(service: string, limit: string) {
        listTargets(service).forEach(target => checkArrivals(target, Number(limit)));
    },
);

async function finishPauses(): Promise<void> {
    const lastRefusalAt = Math.max(...refusing.targets.flatMap(({ standIn }) => standIn.arrivals.map(({ at }) => at)));
    for (const { standIn } of refusing.targets) {
        standIn.faults.faultyAnswers = 0;
        standIn.arrivals.length = 0;
    }
    await waitMilliseconds(lastRefusalAt + refusing.pauseMilliseconds - performance.now() + 50);
}

When("its pause has ended and it accepts requests", finishPauses);

When("the pauses of {string} have ended and its targets accept requests", async function(_service: string) {
    await finishPauses();
});

Then("it has received some of them", function() {
    refusing.targets.forEach(({ standIn }) => assert.ok(standIn.arrivals.length > 0));
});

Then(
    "the last {int} of them were refused within {int} ms, as not run, with a retry after the end of the pause",
    function(count: number, limit: number) {
        const firstArrival = Math.min(
            ...refusing.targets.flatMap(({ standIn }) => standIn.arrivals.map(({ at }) => at)),
        );
        for (const { result, endedAt, milliseconds } of timedResults.slice(-count)) {
            assert.equal(result.status, 503);
            assert.match(result.body.toString(), /"verdict":"not-run"/);
            assert.ok(milliseconds <= limit, `refused after ${milliseconds} ms`);
            const retryAt = endedAt + Number(result.headers["retry-after"]) * 1000;
            assert.ok(
                retryAt >= firstArrival + refusing.pauseMilliseconds - 20,
                "the retry comes before the pause ends",
            );
        }
    },
);

Then("the last {int} of them have the status {int}", function(count: number, status: number) {
    const statuses = timedResults.slice(-count).map(({ result }) => result.status);
    assert.deepEqual(statuses, statuses.map(() => status));
});

When("the instances have told each other", async function() {
    await waitMilliseconds(SPREAD_MILLISECONDS);
});

When("{int} callers send a {string} to all instances in turn", async function(count: number, kind: string) {
    for (let index = 0; index < count; index += 1) {
        const instance = index % getSite().instances.length;
        siteContext.responses.push(await getSite().call({ kind, id: createRequestId(), instance }));
    }
});

let directory = new TargetDirectory();

function buildTarget(startedAt: number): Parameters<TargetDirectory["markLeaving"]>[0] & { id: string; } {
    return { id: "one", startedAt };
}

When("a target that announced its shutdown at start 1 is listed with start 2", function() {
    directory = new TargetDirectory();
    const target = {
        ...buildTarget(1),
        service: "ledger",
        address: "127.0.0.1:1",
        zone: "zone-a",
        slots: 6,
        isLeaving: false,
        coldMilliseconds: 0,
    };
    directory.applySnapshot({ era: 1, revision: 1, targets: [target] }, 0);
    directory.markLeaving(buildTarget(1), 10);
    directory.applyEvents({ revision: 2, changed: [{ ...target, slots: 7 }], removed: [] }, 20);
    assert.deepEqual(directory.listAvailable("ledger"), [], "an entry of the same start ends the announcement");
    directory.applyEvents({ revision: 3, changed: [{ ...target, startedAt: 2 }], removed: [] }, 30);
});

Then("it accepts requests, and a late announcement of start 1 changes nothing", function() {
    assert.equal(directory.listAvailable("ledger").length, 1);
    directory.markLeaving(buildTarget(1), 40);
    assert.equal(directory.listAvailable("ledger").length, 1);
});

/** What peers of the site's instance have been told, in the order in which the peers sent their first digests. */
let toldPeers: { leaving: string[] | undefined; milliseconds: number; }[] = [];

/** Sends the first digest of a peer that is not part of the site, and waits for the digest that it gets in return. */
async function callAsNewPeer(instance: string): Promise<void> {
    const [address = ""] = await findAddresses(1);
    const connections = new PeerConnectionPool({ self: instance });
    let leaving: string[] | undefined;
    const server = new FrameServer({
        onMessage: (_, raw) => {
            const message = parsePeerMessage(raw);
            leaving ??= message?.kind === "digest" ? message.leaving.map(({ id }) => id) : undefined;
        },
    });
    await server.open(parseAddress(address));
    const { peerAddress } = getFirstInstance().settings;
    const sentAt = performance.now();
    connections.send(`${peerAddress.host}:${peerAddress.port}`, {
        kind: "digest",
        instance,
        address,
        work: {},
        unreachable: [],
        versions: { configuration: -1, targets: 0, zones: -1 },
        isWatching: false,
    } as { kind: string; });
    while (leaving === undefined && performance.now() - sentAt < PEER_WAIT_MILLISECONDS) {
        await waitMilliseconds(2);
    }
    toldPeers.push({ leaving, milliseconds: performance.now() - sentAt });
    connections.close();
    server.close();
}

function getFirstInstance(): SiteInstance {
    const instance = getSite().instances[0];
    assert.ok(instance !== undefined, "the site has no instance");
    return instance;
}

When("{int} peers send their first digests one after the other", async function(count: number) {
    toldPeers = [];
    for (let index = 0; index < count; index += 1) {
        await callAsNewPeer(`peer-${index}`);
    }
});

Then(
    "each of them has been told within {int} ms that target {int} of {string} leaves",
    function(milliseconds: number, number: number, _service: string) {
        const id = getSite().targets[number - 1]?.id;
        for (const told of toldPeers) {
            assert.deepEqual(told.leaving, [id]);
            assert.ok(told.milliseconds <= milliseconds, `told after ${told.milliseconds} ms`);
        }
    },
);
