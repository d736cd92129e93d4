/**
 * Steps about the parts of prompts, and about prompts that crash engines.
 *
 * @module
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { waitMilliseconds } from "../../network/mod.ts";
import { startServingSite } from "../../support/platform/mod.ts";
import type { HttpResult } from "../../support/processes/mod.ts";
import { createRequestId, formatRequestId, getSite, siteContext } from "../support/site_context.ts";

/** An attempt as the log line of its request describes it. */
interface LoggedAttempt {
    headMilliseconds?: number;
    events: number;
}

/** Log line of a finished request. */
interface RequestLine {
    attempts: LoggedAttempt[];
    promptParts: string[];
    promptPartCount?: number;
}

function getLastRequestLine(): RequestLine {
    const request = formatRequestId(siteContext.requestCount);
    const line = getSite().instances.flatMap(({ lines }) => lines).find(candidate =>
        candidate["event"] === "request ended" && candidate["request"] === request
    );
    assert.ok(line !== undefined, `no instance has logged the end of the request ${request}`);
    return line as unknown as RequestLine;
}

function buildPromptPrefix(parts: readonly string[]): string {
    return parts.map(part => `${part}:10`).join(",");
}

When("a caller sends a {string} whose prompt has {int} parts", async function(kind: string, count: number) {
    const parts = Array.from({ length: count }, (_, index) => index.toString(16));
    const headers = { "prompt-prefix": buildPromptPrefix(parts) };
    siteContext.responses.push(await getSite().call({ kind, id: createRequestId(), headers }));
});

Then("the log line of the request lists the prompt parts {string}", function(parts: string) {
    assert.deepEqual(getLastRequestLine().promptParts, parts.split(","));
});

Then("the log line of the request lists {int} prompt parts of {int}", function(listed: number, count: number) {
    const { promptParts, promptPartCount } = getLastRequestLine();
    assert.equal(promptParts.length, listed);
    assert.equal(promptPartCount, count);
});

Then("it says of its attempts {string}", function(expected: string) {
    const attempts = getLastRequestLine().attempts.map(({ headMilliseconds, events }) =>
        `${headMilliseconds === undefined ? "no head" : "head"}, ${events} events`
    );
    assert.equal(attempts.join("; "), expected);
});

/** Part of prompts that crashes engines. */
const CRASHING_PART = "bad";
/** Part with which all prompts begin. */
const FIRST_PART = "a1";
/** Parts of which each prompt has one after the first. */
const SECOND_PARTS = ["d0", "d1", "d2"];
/** Interval between sound requests, and between requests that crash engines, in milliseconds. */
const SOUND_INTERVAL_MILLISECONDS = 50;
const CRASHING_INTERVAL_MILLISECONDS = 150;

/** A request of a scenario, with its response. */
interface SentRequest {
    id: string;
    sentAt: number;
    /** Response; `undefined` if none has arrived, or if the connection was reset before its head. */
    result: HttpResult | undefined;
}

/** Requests of the current scenario without and with the part that crashes engines. */
let soundRequests: SentRequest[] = [];
let crashingRequests: SentRequest[] = [];
/** Time at which the first request with that part was sent. */
let crashingSince = 0;

Given("a serving site with {int} instances and {int} engines", async function(instances: number, engines: number) {
    siteContext.site = await startServingSite({ instances, engines });
    soundRequests = [];
    crashingRequests = [];
});

/** Sends requests to all instances in turn and waits for their responses; `parts` are the prompt's parts but the last. */
async function sendRequests(
    requests: SentRequest[],
    options: { milliseconds: number; interval: number; parts: (index: number) => string[]; },
): Promise<void> {
    const startedAt = performance.now();
    const calls: Promise<void>[] = [];
    for (let index = 0; performance.now() < startedAt + options.milliseconds; index += 1) {
        const id = createRequestId();
        const sent: SentRequest = { id, sentAt: performance.now(), result: undefined };
        requests.push(sent);
        const call = getSite().call({
            kind: "verdict",
            id,
            instance: index % getSite().instances.length,
            headers: { "prompt-prefix": buildPromptPrefix([...options.parts(index), `e${id}`]) },
        });
        calls.push(call.then(result => {
            sent.result = result;
        }, () => undefined));
        await waitMilliseconds(startedAt + (index + 1) * options.interval - performance.now());
    }
    await Promise.all(calls);
}

function chooseSecondPart(index: number): string {
    return SECOND_PARTS[index % SECOND_PARTS.length] ?? "";
}

function sendSoundRequests(milliseconds: number): Promise<void> {
    return sendRequests(soundRequests, {
        milliseconds,
        interval: SOUND_INTERVAL_MILLISECONDS,
        parts: index => [FIRST_PART, chooseSecondPart(Math.floor(index / 4))],
    });
}

function startCrashing(): void {
    for (const { standIn } of getSite().targets) {
        standIn.faults.crashingPart = CRASHING_PART;
    }
    crashingSince = performance.now();
}

When("sound requests are sent to all instances for {int} ms", sendSoundRequests);

When("requests with a part that crashes engines are sent beside them for {int} ms", async function(duration: number) {
    startCrashing();
    const crashing = sendRequests(crashingRequests, {
        milliseconds: duration,
        interval: CRASHING_INTERVAL_MILLISECONDS,
        parts: index => [
            FIRST_PART,
            ...index % 2 === 0 ? [] : [chooseSecondPart(index)],
            CRASHING_PART,
            ...index % 3 === 0 ? [`f${index.toString(16)}`] : [],
        ],
    });
    await Promise.all([crashing, sendSoundRequests(duration)]);
});

When("a caller sends a {string} with a prompt part that crashes engines", async function(kind: string) {
    startCrashing();
    const headers = { "prompt-prefix": buildPromptPrefix([FIRST_PART, CRASHING_PART, "e1"]) };
    await getSite().call({ kind, id: createRequestId(), headers }).catch(() => undefined);
});

/** Lists the times of the engines' crashes in order. */
function listCrashes(): number[] {
    return getSite().targets.flatMap(({ standIn }) => standIn.crashes).sort((a, b) => a - b);
}

Then(/^(at most )?(\d+) engines? (?:has|have) ended$/, function(bound: string | undefined, count: string) {
    const crashes = listCrashes().length;
    assert.ok(bound === undefined ? crashes === Number(count) : crashes <= Number(count), `${crashes} engines ended`);
});

function listArrivals(): { requestId: string; at: number; }[] {
    return getSite().targets.flatMap(({ standIn }) => standIn.arrivals);
}

Then(
    "at most {int} requests with that part reached engines later than {int} seconds after the fifth crash",
    function(limit: number, seconds: number) {
        const ids = new Set(crashingRequests.map(({ id }) => id));
        const since = (listCrashes()[4] ?? Infinity) + seconds * 1000;
        const late = listArrivals().filter(({ requestId, at }) => ids.has(requestId) && at > since);
        assert.ok(late.length <= limit, `${late.length} requests reached engines`);
    },
);

/** Checks whether a request was served by the first target that it was sent to. */
function isServedAtFirstAttempt({ id, result }: SentRequest): boolean {
    const line = getSite().instances.flatMap(({ lines }) => lines).find(candidate =>
        candidate["event"] === "request ended" && candidate["request"] === id
    ) as unknown as RequestLine | undefined;
    return result?.status === 200 && result.isComplete && line?.attempts.length === 1;
}

Then(
    "from {int} seconds after the fifth or last crash on at least half as many sound requests as before were served at the first attempt",
    function(seconds: number) {
        const since = (listCrashes().slice(0, 5).at(-1) ?? Infinity) + seconds * 1000;
        const before = soundRequests.filter(({ sentAt }) => sentAt < crashingSince);
        const after = soundRequests.filter(({ sentAt }) => sentAt >= since);
        const shareBefore = before.filter(isServedAtFirstAttempt).length / before.length;
        const shareAfter = after.filter(isServedAtFirstAttempt).length / after.length;
        assert.ok(shareBefore > 0.9, `${shareBefore} of the sound requests were served before`);
        assert.ok(shareAfter >= shareBefore / 2, `${shareAfter} of ${after.length} sound requests were served`);
    },
);

Then(
    "the requests with that part were refused as not run in the last {int} seconds, and those refused reached no engine",
    function(seconds: number) {
        const lastSentAt = crashingRequests.at(-1)?.sentAt ?? 0;
        for (const { result } of crashingRequests.filter(({ sentAt }) => sentAt > lastSentAt - seconds * 1000)) {
            assert.match(result?.body.toString() ?? "", /"code":"prompt_quarantined"/);
        }
        const arrived = new Set(listArrivals().map(({ requestId }) => requestId));
        for (const { id, result } of crashingRequests.filter(request => request.result?.status === 503)) {
            assert.match(result?.body.toString() ?? "", /"verdict":"not-run"/);
            assert.ok(Number(result?.headers["retry-after"]) > 0, `retry-after is "${result?.headers["retry-after"]}"`);
            assert.ok(!arrived.has(id), `the request ${id} reached an engine`);
        }
    },
);
