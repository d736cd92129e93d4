/**
 * Steps about prompt parts that crash engines, with real processes.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    type CrashingCase,
    type CrashingCaseResult,
    type CrashingSiteRequest,
    runCrashingCases,
} from "../../support/platform/mod.ts";

/** Time from the end of an engine until it is started again, in milliseconds. */
const RESTART_MILLISECONDS = 1500;
const LATE_RESTART_MILLISECONDS = 4500;

function buildCase(changes: Partial<CrashingCase> & Pick<CrashingCase, "end">): CrashingCase {
    return {
        kind: "verdict",
        place: "middle",
        restartMilliseconds: RESTART_MILLISECONDS,
        isAnsweredBefore: false,
        isBehindProxy: false,
        ...changes,
    };
}

const EVENTS_FOR_A_WHILE = { headMilliseconds: 20, events: 10, eventMilliseconds: 60, endMilliseconds: 500 };

/** Cases by the name in the feature file. */
const CASES: Record<string, CrashingCase> = {
    "before the head": buildCase({ end: { endMilliseconds: 20 } }),
    "long before the head": buildCase({ place: "first", end: { endMilliseconds: 700 } }),
    "with the head": buildCase({ place: "last", end: { headMilliseconds: 20, endMilliseconds: 20 } }),
    "after the head, without an event": buildCase({ end: { headMilliseconds: 20, endMilliseconds: 400 } }),
    "after one event": buildCase({ place: "last", end: { headMilliseconds: 20, events: 1, endMilliseconds: 400 } }),
    "in the middle of its events": buildCase({ place: "first", end: EVENTS_FOR_A_WHILE }),
    "before the head, and they are back at once": buildCase({ end: { endMilliseconds: 20 }, restartMilliseconds: 0 }),
    "before the head of a narrative": buildCase({ kind: "narrative", end: { endMilliseconds: 20 } }),
    "before the head, after it was answered": buildCase({ end: { endMilliseconds: 20 }, isAnsweredBefore: true }),
    "in the middle of its events, after it was answered": buildCase({
        place: "last",
        end: EVENTS_FOR_A_WHILE,
        isAnsweredBefore: true,
    }),
};

/** Cases of engines behind proxies, by the name in the feature file. They run at instances of their own. */
const PROXIED_CASES: Record<string, CrashingCase> = {
    "before the head, behind a proxy": buildCase({ end: { endMilliseconds: 20 }, isBehindProxy: true }),
    "in the middle of its events, behind a proxy, and they are back late": buildCase({
        end: EVENTS_FOR_A_WHILE,
        restartMilliseconds: LATE_RESTART_MILLISECONDS,
        isBehindProxy: true,
    }),
};

/** Cases of callers that leave before the engine ends, by the name in the feature file. */
const LEFT_CASES: Record<string, CrashingCase> = {
    "after their callers have left": buildCase({ end: { endMilliseconds: 700 }, patienceMilliseconds: 100 }),
    "after the head, when their callers have left": buildCase({
        place: "last",
        end: EVENTS_FOR_A_WHILE,
        patienceMilliseconds: 100,
    }),
};

const CASES_BY_CIRCUMSTANCE: Record<string, Record<string, CrashingCase>> = {
    "": CASES,
    " behind proxies": PROXIED_CASES,
    " and whose callers leave": LEFT_CASES,
};

/** Results by name. The cases of a list run side by side; the scenarios check one each. */
const pendingResults = new Map<Record<string, CrashingCase>, Promise<Map<string, CrashingCaseResult>>>();
let results = new Map<string, CrashingCaseResult>();
let result: CrashingCaseResult | undefined;

async function runCases(cases: Record<string, CrashingCase>): Promise<Map<string, CrashingCaseResult>> {
    const names = Object.keys(cases);
    const values = await runCrashingCases(Object.values(cases));
    return new Map(values.map((value, index) => [names[index] ?? "", value]));
}

When(
    /^real processes serve requests with parts that crash engines( behind proxies| and whose callers leave|), and sound ones beside them$/,
    async function(circumstance: string) {
        const cases = CASES_BY_CIRCUMSTANCE[circumstance] ?? {};
        const pending = pendingResults.get(cases) ?? runCases(cases);
        pendingResults.set(cases, pending);
        results = await pending;
    },
);

function getResult(): CrashingCaseResult {
    assert.ok(result !== undefined, "the case has not run");
    return result;
}

/** Gets the time some seconds after the fifth crash, or the last one if there are fewer. */
function getTimeAfterCrashes({ crashes }: CrashingCaseResult, seconds: number): number {
    const at = crashes.slice(0, 5).at(-1);
    assert.ok(at !== undefined, "no engine has crashed");
    return at + seconds * 1000;
}

function isServed({ result: response }: CrashingSiteRequest): boolean {
    return response?.status === 200 && response.isComplete;
}

Then(
    "at most {int} requests with the part that ends engines {string} reached engines later than {int} seconds after the fifth crash",
    function(limit: number, name: string, seconds: number) {
        result = results.get(name);
        const { arrivals, crashes } = getResult();
        assert.ok(crashes.length > 0, "no engine has crashed");
        const since = (crashes[4] ?? Infinity) + seconds * 1000;
        const late = arrivals.filter(at => at > since).length;
        assert.ok(late <= limit, `${late} of ${arrivals.length} arrivals were late; ${crashes.length} engines ended`);
    },
);

Then(
    "{int} in {int} sound requests beside them were served from {int} seconds after the fifth or last crash on",
    function(served: number, total: number, seconds: number) {
        const since = getTimeAfterCrashes(getResult(), seconds);
        const sound = getResult().soundRequests.filter(({ sentAt }) => sentAt >= since);
        const count = sound.filter(isServed).length;
        assert.ok(sound.length > 0, "no sound request was sent after that");
        assert.ok(count >= sound.length * served / total, `${count} of ${sound.length} sound requests were served`);
    },
);

Then("those with the part were refused as not run in the last {int} seconds", function(seconds: number) {
    const { crashingRequests } = getResult();
    const since = (crashingRequests.at(-1)?.sentAt ?? 0) - seconds * 1000;
    for (const { result: response } of crashingRequests.filter(({ sentAt }) => sentAt >= since)) {
        assert.equal(response?.status, 503);
        assert.match(response.body.toString(), /"code":"prompt_quarantined".*"verdict":"not-run"/);
    }
});
