/**
 * Steps about requests that crash the targets that run them.
 *
 * @module
 */
import { type DataTable, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { waitMilliseconds } from "../../network/mod.ts";
import type { SiteTarget } from "../../support/platform/mod.ts";
import { type HttpResult, startOwnTimer } from "../../support/processes/mod.ts";
import { waitForLine } from "../support/log_lines.ts";
import {
    createRequestId,
    formatRequestId,
    getSite,
    getTarget,
    listCrashes,
    listTargets,
    siteContext,
} from "../support/site_context.ts";

/** Identifiers of the scenario's requests, in the order in which they were sent. */
let sentIds: string[] = [];

When("callers send these requests", async function(table: DataTable) {
    sentIds = [];
    for (const { kind = "", path, body } of table.hashes()) {
        const id = createRequestId();
        sentIds.push(id);
        await getSite().call({ kind, id, path, body });
    }
});

Then(
    "the log lines of the first {int} requests have the same fingerprint, and those of the others have others",
    async function(count: number) {
        const fingerprints: unknown[] = [];
        for (const request of sentIds) {
            const line = await waitForLine(getSite().instances, { event: "request ended", request });
            fingerprints.push(line["fingerprint"]);
        }
        assert.equal(new Set(fingerprints.slice(0, count)).size, 1);
        assert.equal(new Set(fingerprints).size, fingerprints.length - count + 1);
        assert.match(String(fingerprints[0]), /^request-[0-9a-f]{32}$/);
    },
);

/** Path prefixes of the routes, by kind. */
const PATH_PREFIXES: Record<string, string> = {
    lookup: "/lookup/",
    stamp: "/stamp/",
    narrative: "/narrative/",
    verdict: "/verdict/",
    summary: "/summary/",
};
/** Interval between the sound requests, in milliseconds. */
const SOUND_INTERVAL_MILLISECONDS = 50;

/** A request of a scenario, with its response. */
interface SentRequest {
    id: string;
    sentAt: number;
    milliseconds: number;
    /** Response; `undefined` if none has arrived. */
    result: HttpResult | undefined;
}

/** Requests of the scenario that crash targets, and the others. */
let crashingRequests: SentRequest[] = [];
let soundRequests: SentRequest[] = [];

/** Sends requests to all instances in turn until `milliseconds` have passed, and waits for their responses. */
async function sendRequests(
    requests: SentRequest[],
    options: { kind: string; interval: number; milliseconds: number; getPath: (index: number) => string; },
): Promise<void> {
    const { kind, interval, milliseconds, getPath } = options;
    const startedAt = performance.now();
    const calls: Promise<void>[] = [];
    for (let index = 0; index * interval < milliseconds; index += 1) {
        await waitMilliseconds(startedAt + index * interval - performance.now());
        const request: SentRequest = {
            id: createRequestId(),
            sentAt: performance.now(),
            milliseconds: 0,
            result: undefined,
        };
        requests.push(request);
        const instance = index % getSite().instances.length;
        const call = getSite().call({ kind, id: request.id, instance, path: getPath(index) });
        const readDuration = startOwnTimer();
        const recordResult = (result: HttpResult | undefined): void => {
            request.result = result;
            request.milliseconds = readDuration();
        };
        calls.push(call.then(recordResult, () => recordResult(undefined)));
    }
    await Promise.all(calls);
}

When(
    "a {string} that crashes targets comes every {int} ms for {int} ms, and sound ones beside it",
    async function(kind: string, interval: number, milliseconds: number) {
        const prefix = PATH_PREFIXES[kind] ?? "";
        crashingRequests = [];
        soundRequests = [];
        for (const { standIn } of getSite().targets) {
            standIn.faults.crashingRequest = `${prefix}bad ${kind === "lookup" ? "" : "the body"}`;
        }
        await Promise.all([
            sendRequests(crashingRequests, { kind, interval, milliseconds, getPath: () => `${prefix}bad` }),
            sendRequests(soundRequests, {
                kind,
                interval: SOUND_INTERVAL_MILLISECONDS,
                milliseconds,
                getPath: index => `${prefix}${index}`,
            }),
        ]);
    },
);

Then("at most {int} targets have ended", function(count: number) {
    const crashes = listCrashes().length;
    assert.ok(crashes >= 3 && crashes <= count, `${crashes} targets ended`);
});

Then(/^(\d+) targets? (?:has|have) ended$/, function(count: string) {
    assert.equal(listCrashes().length, Number(count));
});

function setCrashingPath({ standIn }: SiteTarget, path: string): void {
    standIn.faults.crashingRequest = `${path} ${path.startsWith("/lookup/") ? "" : "the body"}`;
}

When(
    "target {int} of {string} crashes under the path {string}",
    function(number: number, service: string, path: string) {
        setCrashingPath(getTarget(service, number), path);
    },
);

When("all targets of {string} crash under the path {string}", function(service: string, path: string) {
    listTargets(service).forEach(target => setCrashingPath(target, path));
});

When(
    "target {int} of {string} crashes {int} ms after it has begun to run such a request",
    function(number: number, service: string, milliseconds: number) {
        getTarget(service, number).standIn.faults.crashMilliseconds = milliseconds;
    },
);

/** Calls of the scenario that have not ended yet. */
let openCalls: Promise<HttpResult>[] = [];

When(
    "callers send a {string} every {int} ms until target {int} of {string} runs one and {int} targets have ended",
    async function(kind: string, interval: number, number: number, service: string, count: number) {
        const { standIn } = getTarget(service, number);
        const others = listTargets(service).filter(target => target.standIn !== standIn);
        // Otherwise these may have ended, and the request may be quarantined, before the target gets one.
        others.forEach(target =>
            Object.assign(target.standIn.faults, { answer: "a refusal", faultyAnswers: Infinity })
        );
        openCalls = [];
        while (standIn.started.length === 0 || listCrashes().length < count) {
            if (standIn.started.length > 0) {
                others.forEach(target => Object.assign(target.standIn.faults, { faultyAnswers: 0 }));
            }
            const instance = openCalls.length % getSite().instances.length;
            openCalls.push(getSite().call({ kind, id: createRequestId(), instance }));
            await waitMilliseconds(interval);
        }
    },
);

Then("each caller of them was told that it may have run, or that it was refused", async function() {
    const answers = (await Promise.all(openCalls)).map(({ status, body }) =>
        `${status} ${/"verdict":"([a-z-]+)"/.exec(body.toString())?.[1]}`
    );
    for (const answer of answers) {
        assert.ok(["502 may-have-run", "503 not-run"].includes(answer), answer);
    }
});

Then(
    "the log line of the request says that each of its {int} attempts has crashed the target",
    async function(count: number) {
        const request = formatRequestId(siteContext.requestCount);
        const line = await waitForLine(getSite().instances, { event: "request ended", request });
        const attempts = line["attempts"] as { hasCrashedTarget?: boolean; }[];
        assert.deepEqual(
            attempts.map(({ hasCrashedTarget }) => hasCrashedTarget),
            Array.from({ length: count }, () => true),
        );
    },
);

/** Interval at which a step sends requests until its target has received one, in milliseconds. */
const POLL_MILLISECONDS = 20;
/** Time from the beginning of a request's run to the end of its target, long enough for an announcement. */
const LONG_CRASH_MILLISECONDS = 250;

When(
    "target {int} of {string} announces its shutdown to the store while it runs a {string}",
    async function(number: number, service: string, kind: string) {
        const target = getTarget(service, number);
        const { standIn } = target;
        standIn.faults.crashMilliseconds = LONG_CRASH_MILLISECONDS;
        const calls: Promise<HttpResult>[] = [];
        while (standIn.started.length === 0) {
            calls.push(getSite().call({ kind, id: createRequestId() }));
            await waitMilliseconds(POLL_MILLISECONDS);
        }
        getSite().writeTarget(target, { state: "draining" });
        siteContext.responses.push(...await Promise.all(calls));
    },
);

Then("no instance has logged {string}", function(event: string) {
    assert.deepEqual(getSite().instances.flatMap(({ lines }) => lines).filter(line => line["event"] === event), []);
});

/** Lists the times at which requests that crash targets reached one. */
function listCrashingArrivals(since = 0): number[] {
    const ids = new Set(crashingRequests.filter(({ sentAt }) => sentAt >= since).map(({ id }) => id));
    return getSite().targets.flatMap(({ standIn }) => standIn.arrivals)
        .filter(({ requestId }) => ids.has(requestId))
        .map(({ at }) => at);
}

Then(
    "at most {int} sends of it reached targets later than {int} seconds after the third crash",
    function(count: number, seconds: number) {
        const since = (listCrashes()[2] ?? Infinity) + seconds * 1000;
        const late = listCrashingArrivals().filter(at => at > since).length;
        assert.ok(late <= count, `${late} sends reached targets`);
    },
);

/** Computes the time at which the last `milliseconds` of the scenario began. */
function computeLastPart(milliseconds: number): number {
    return Math.max(...crashingRequests.map(({ sentAt }) => sentAt)) - milliseconds;
}

Then(
    "it was refused as not run within {int} ms in the last {int} ms, and then reached no target",
    function(limit: number, milliseconds: number) {
        const since = computeLastPart(milliseconds);
        for (const { result, milliseconds: duration } of crashingRequests.filter(({ sentAt }) => sentAt >= since)) {
            assert.equal(result?.status, 503);
            assert.match(result?.body.toString() ?? "", /"verdict":"not-run"/);
            assert.ok(Number(result?.headers["retry-after"]) > 0);
            assert.ok(duration <= limit, `refused after ${duration} ms`);
        }
        assert.deepEqual(listCrashingArrivals(since), []);
    },
);

Then("all sound requests of the last {int} ms were served", function(milliseconds: number) {
    const since = computeLastPart(milliseconds);
    const results = soundRequests.filter(({ sentAt }) => sentAt >= since).map(({ result }) => result?.status);
    assert.deepEqual(results, results.map(() => 200));
});
