/**
 * Steps about the parts of prompts, and about prompts that crash engines.
 *
 * @module
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type AttemptEnd, type AttemptEvidence, classifyAttemptEnd } from "../../core/serving/mod.ts";
import { waitMilliseconds } from "../../network/mod.ts";
import { type ServingSiteOptions, startServingSite } from "../../support/platform/mod.ts";
import type { HttpResult } from "../../support/processes/mod.ts";
import { waitForLine } from "../support/log_lines.ts";
import {
    createRequestId,
    formatRequestId,
    getSite,
    listCrashes,
    listTargets,
    siteContext,
} from "../support/site_context.ts";

/** An attempt as the log line of its request describes it. */
interface LoggedAttempt {
    headMilliseconds?: number;
    events: number;
    hasCrashedTarget?: boolean;
}

/** Log line of a finished request. */
interface RequestLine {
    attempts: LoggedAttempt[];
    reason?: string;
    promptParts: string[];
    promptPartCount?: number;
}

function findRequestLine(request: string): RequestLine | undefined {
    const line = getSite().instances.flatMap(({ lines }) => lines).find(candidate =>
        candidate["event"] === "request ended" && candidate["request"] === request
    );
    return line as unknown as RequestLine | undefined;
}

function getLastRequestLine(): RequestLine {
    const request = formatRequestId(siteContext.requestCount);
    const line = findRequestLine(request);
    assert.ok(line !== undefined, `no instance has logged the end of the request ${request}`);
    return line;
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

Then("the log line of the request says that its only attempt has crashed the engine", function() {
    assert.deepEqual(getLastRequestLine().attempts.map(({ hasCrashedTarget }) => hasCrashedTarget), [true]);
});

Then(
    "an instance has logged a lost connection with the evidence {string} and the presence {string}",
    async function(evidence: string, presence: string) {
        const request = formatRequestId(siteContext.requestCount);
        const line = await waitForLine(getSite().instances, { event: "connection to target lost", request });
        assert.deepEqual({ evidence: line["evidence"], presence: line["presence"] }, { evidence, presence });
        assert.deepEqual(line["parts"], [{ part: "aa", earlierCrashes: 0, isVouchedFor: false, survivors: 0 }]);
    },
);

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

async function startSite(options: ServingSiteOptions): Promise<void> {
    siteContext.site = await startServingSite(options);
    soundRequests = [];
    crashingRequests = [];
}

Given("a serving site with {int} instances and {int} engines", async function(instances: number, engines: number) {
    await startSite({ instances, engines });
});

Given(
    "a serving site with {int} instance and {int} engines, and no other targets",
    async function(instances: number, engines: number) {
        await startSite({ instances, engines, plainTargets: 0 });
    },
);

/** Sends requests to all instances in turn and waits for their responses; `parts` are the prompt's parts but the last. */
async function sendRequests(
    requests: SentRequest[],
    options: { count: number; interval?: number; instances?: number[]; parts: (index: number) => string[]; },
): Promise<void> {
    const { count, interval = 0, instances = getSite().instances.map((_, index) => index) } = options;
    const startedAt = performance.now();
    const calls: Promise<void>[] = [];
    for (let index = 0; index < count; index += 1) {
        const id = createRequestId();
        const sent: SentRequest = { id, sentAt: performance.now(), result: undefined };
        requests.push(sent);
        const call = getSite().call({
            kind: "verdict",
            id,
            instance: instances[index % instances.length] ?? 0,
            body: `the body of ${id}`,
            headers: { "prompt-prefix": buildPromptPrefix([...options.parts(index), `e${id}`]) },
        });
        calls.push(call.then(result => {
            sent.result = result;
        }, () => undefined));
        await waitMilliseconds(startedAt + (index + 1) * interval - performance.now());
    }
    await Promise.all(calls);
}

function chooseSecondPart(index: number): string {
    return SECOND_PARTS[index % SECOND_PARTS.length] ?? "";
}

function sendSoundRequests(milliseconds: number): Promise<void> {
    return sendRequests(soundRequests, {
        count: milliseconds / SOUND_INTERVAL_MILLISECONDS,
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
        count: duration / CRASHING_INTERVAL_MILLISECONDS,
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

Then(/^(at most )?(\d+) engines? (?:has|have) ended$/, function(bound: string | undefined, count: string) {
    const crashes = listCrashes().length;
    assert.ok((bound ?? "") === "" ? crashes === Number(count) : crashes <= Number(count), `${crashes} engines ended`);
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
    return result?.status === 200 && result.isComplete && findRequestLine(id)?.attempts.length === 1;
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

/** Time after which an engine that has crashed is back, and instances know it, in milliseconds. */
const RETURN_MILLISECONDS = 2500;

When(
    "{int} requests with a part that crashes engines are sent at once, {int} times, each time when all engines are back",
    async function(count: number, times: number) {
        startCrashing();
        for (let time = 0; time < times; time += 1) {
            await sendRequests(crashingRequests, { count, parts: () => [FIRST_PART, CRASHING_PART] });
            await waitMilliseconds(RETURN_MILLISECONDS);
        }
    },
);

Then("the last {int} of these requests were refused because of the quarantine", function(count: number) {
    for (const { result } of crashingRequests.slice(-count)) {
        assert.match(result?.body.toString() ?? "", /"code":"prompt_quarantined"/);
    }
});

/** Requests of the current scenario that wait for room. */
let waitingRequests: SentRequest[] = [];

When(
    "{int} requests with a part that crashes engines wait at instance 1 for the end of these pauses, while {int} crash engines at instance 2",
    async function(waiting: number, crashing: number) {
        const parts = (): string[] => [FIRST_PART, CRASHING_PART];
        const refused = sendRequests(soundRequests, { count: 1, parts: () => [FIRST_PART] });
        await waitUntil(() => listTargets("engines").every(({ standIn }) => standIn.faults.faultyAnswers === 0));
        startCrashing();
        waitingRequests = [];
        const waited = sendRequests(waitingRequests, { count: waiting, instances: [0], parts });
        for (let index = 0; index < crashing; index += 1) {
            await sendRequests(crashingRequests, { count: 1, instances: [1], parts });
        }
        await Promise.all([refused, waited]);
    },
);

Then("the waiting requests were refused because of the quarantine and reached no engine", function() {
    const arrived = new Set(listArrivals().map(({ requestId }) => requestId));
    for (const { id, result } of waitingRequests) {
        assert.match(result?.body.toString() ?? "", /"code":"prompt_quarantined"/);
        assert.match(findRequestLine(id)?.reason ?? "", /quarantined part "bad"/, "the request did not wait");
        assert.ok(!arrived.has(id), `the request ${id} reached an engine`);
    }
});

When(
    "a sound request runs on each engine when a request with a part that crashes engines reaches one",
    async function() {
        startCrashing();
        const engines = listTargets("engines");
        // More than one for each engine, because requests are not spread evenly.
        const sound = Promise.all(
            SECOND_PARTS.flatMap(part =>
                engines.map(() => sendRequests(soundRequests, { count: 1, parts: () => [FIRST_PART, part] }))
            ),
        );
        await waitUntil(() => engines.every(({ standIn }) => standIn.activeGenerations > 0));
        await sendRequests(crashingRequests, { count: 1, parts: () => [FIRST_PART, CRASHING_PART] });
        await sound;
    },
);

async function waitUntil(isReached: () => boolean): Promise<void> {
    for (let attempt = 0; attempt < 100 && !isReached(); attempt += 1) {
        await waitMilliseconds(2);
    }
    assert.ok(isReached(), "the state that the step needs was not reached");
}

Then("all sound requests were served", function() {
    const failed = soundRequests.filter(({ result }) => result?.status !== 200 || !result.isComplete);
    assert.deepEqual(failed.map(({ id }) => findRequestLine(id)), []);
    const retried = soundRequests.filter(({ id }) => (findRequestLine(id)?.attempts.length ?? 0) > 1);
    assert.ok(retried.length > 0, "no sound request was running on the engine that crashed");
});

let attemptEnd: Omit<AttemptEnd, "startedAt"> = {
    kind: "other",
    headAt: undefined,
    lastEventAt: undefined,
    endedAt: 0,
};

When(
    /^an attempt has the end "(\w+)" at (\d+), the head at (\d+|-) and the last event at (\d+|-)$/,
    function(kind: AttemptEnd["kind"], end: string, head: string, event: string) {
        const [headAt, lastEventAt] = [head, event].map(text => text === "-" ? undefined : Number(text));
        attemptEnd = { kind, headAt, lastEventAt, endedAt: Number(end) };
    },
);

Then("it is evidence {string}", function(evidence: AttemptEvidence) {
    assert.equal(classifyAttemptEnd(attemptEnd), evidence);
});
