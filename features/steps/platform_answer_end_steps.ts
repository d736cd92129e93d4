/**
 * Steps about the ends of streams: callers read to the end, and compare with the list of events that targets make.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    type CaseTarget,
    countStreamEvents,
    type EndingCase,
    type EndingResult,
    type EndingSiteOptions,
    type ReadStream,
    ResponseFraming,
    runEndingCases,
    STREAM_EVENTS,
    TargetEnd,
} from "../../support/platform/mod.ts";

/** Number of events after which a stream breaks off that does not break off before its first event. */
const BROKEN_EVENTS = 3;

const BROKEN_TARGET: CaseTarget = { framing: ResponseFraming.chunks, end: TargetEnd.reset, events: BROKEN_EVENTS };
const WHOLE_TARGET: CaseTarget = { framing: ResponseFraming.chunks, end: TargetEnd.orderly, events: STREAM_EVENTS };

/** Targets in each way to end a stream after `BROKEN_EVENTS` events, or in order after the last one. */
const TARGETS_WITH_EVENTS: CaseTarget[] = Object.values(ResponseFraming).flatMap(framing =>
    Object.values(TargetEnd).map(end => ({
        framing,
        end,
        events: end === TargetEnd.orderly ? STREAM_EVENTS : BROKEN_EVENTS,
    }))
);

/** Targets that end a stream before its first event. */
const TARGETS_WITHOUT_EVENTS: CaseTarget[] = [
    ...Object.values(ResponseFraming).map(framing => ({ framing, end: TargetEnd.orderly, events: 0 })),
    ...Object.values(TargetEnd).filter(end => end !== TargetEnd.orderly)
        .map(end => ({ framing: ResponseFraming.none, end, events: 0 })),
];

/** Responses, other than the rest of a stream, of a target that is asked for it. */
const ANSWERS: CaseTarget[] = [
    "a failure",
    "a failure that looks like a promise",
    "a refusal",
    "an error that the request has no such path",
    "an answer that is no stream",
    "an answer that reads like an event",
    "an empty answer with a length",
    "an empty answer in chunks",
    "an error between two chunks",
    "an error between two events without a length",
    "a stream with an error in a chunk",
    "a stream with the text of an error in a chunk",
].map(answer => ({ answer }));

/** What callers do, for each of a list of targets. */
interface CallerPath {
    targets: readonly CaseTarget[];
    buildCase: (target: CaseTarget) => EndingCase;
    options?: EndingSiteOptions;
}

const buildNarrative = (target: CaseTarget): EndingCase => ({ kind: "narrative", targets: [target] });
const buildMove = (target: CaseTarget): EndingCase => ({ kind: "narrative", targets: [target], isMoved: true });
const buildSecondAttempt = (target: CaseTarget): EndingCase => ({ kind: "verdict", targets: [BROKEN_TARGET, target] });

/** What callers do, by the name in the feature file. */
const PATHS: Record<string, CallerPath> = {
    "read narratives": { targets: [...TARGETS_WITH_EVENTS, ...TARGETS_WITHOUT_EVENTS], buildCase: buildNarrative },
    "read verdicts that go on at another target": {
        targets: [...TARGETS_WITH_EVENTS, ...TARGETS_WITHOUT_EVENTS],
        buildCase: target => ({ kind: "verdict", targets: [target, WHOLE_TARGET] }),
    },
    "read verdicts that have broken off once": { targets: TARGETS_WITH_EVENTS, buildCase: buildSecondAttempt },
    "resume verdicts": {
        targets: [...TARGETS_WITH_EVENTS, ...TARGETS_WITHOUT_EVENTS],
        buildCase: target => ({ kind: "verdict", targets: [target, WHOLE_TARGET], resumeAfter: BROKEN_EVENTS }),
    },
    "read narratives that are moved": { targets: TARGETS_WITH_EVENTS, buildCase: buildMove },
    "read narratives through another instance": {
        targets: TARGETS_WITH_EVENTS,
        buildCase: buildNarrative,
        options: { isHandedOver: true },
    },
    "read verdicts that have broken off": { targets: ANSWERS, buildCase: buildSecondAttempt },
    "read verdicts that wait for a slow store": {
        targets: ANSWERS,
        buildCase: buildSecondAttempt,
        options: { storeDelayMilliseconds: 200 },
    },
    "read verdicts through another instance": {
        targets: ANSWERS,
        buildCase: buildSecondAttempt,
        options: { isHandedOver: true },
    },
    "read narratives that are moved to them": { targets: ANSWERS, buildCase: buildMove },
    "read narratives that do not begin": { targets: ANSWERS, buildCase: buildNarrative },
};

/** Results by path and target. All callers of a path read side by side; its scenarios check one each. */
const resultsByPath = new Map<string, Promise<Map<string, EndingResult>>>();

function formatTarget(target: CaseTarget): string {
    return "answer" in target ? target.answer : `${target.framing} ${target.end} ${target.events}`;
}

async function runPath(name: string): Promise<Map<string, EndingResult>> {
    const path = PATHS[name];
    assert.ok(path !== undefined, `there is no path "${name}"`);
    const { targets, buildCase, options } = path;
    const results = await runEndingCases(targets.map(buildCase), options);
    return new Map(results.map((result, index) => [formatTarget(targets[index] ?? BROKEN_TARGET), result]));
}

let results = new Map<string, EndingResult>();
let resumeAfter = 0;
let result: EndingResult | undefined;

When(/^callers (.*) to the end$/, async function(path: string) {
    resumeAfter = PATHS[path]?.buildCase(BROKEN_TARGET).resumeAfter ?? 0;
    const pending = resultsByPath.get(path) ?? runPath(path);
    resultsByPath.set(path, pending);
    results = await pending;
});

function getResult(): EndingResult {
    assert.ok(result !== undefined, "no caller has read from such a target");
    return result;
}

function checkStream(stream: ReadStream, expected: { after: number; isWhole: boolean; }): void {
    const { text, status, isComplete } = stream;
    const isStream = status === undefined || status === 200;
    const count = expected.after + (isStream ? countStreamEvents(text, expected.after) : 0);
    const seen = { isWhole: isStream && isComplete, isLastEventSeen: count === STREAM_EVENTS };
    const { isWhole } = expected;
    assert.deepEqual(
        seen,
        { isWhole, isLastEventSeen: isWhole },
        `status ${status}, ${count} events, complete: ${isComplete}: ${text.slice(-200)}`,
    );
}

const WHAT = "all events as a complete response|fewer events, not as a complete response";

Then(
    new RegExp(`^the caller whose target ends its (\\w+)-framed stream (\\w+) after (\\d+) events has got (${WHAT})$`),
    function(framing: string, end: string, events: string, what: string) {
        result = results.get(`${framing} ${end} ${events}`);
        checkStream(getResult().first, { after: resumeAfter, isWhole: what.startsWith("all") });
        assert.ok(getResult().hasReachedTargets, "a target has not received the request");
    },
);

Then(new RegExp(`^the caller whose target sends (.*) has got (${WHAT})$`), function(answer: string, what: string) {
    result = results.get(answer);
    checkStream(getResult().first, { after: 0, isWhole: what.startsWith("all") });
    assert.ok(getResult().hasReachedTargets, "a target has not received the request");
});

Then("the caller gets the rest when it resumes the stream", function() {
    const { first, resumed } = getResult();
    if (!first.isComplete) {
        assert.ok(resumed !== undefined);
        checkStream(resumed, { after: countStreamEvents(first.text, 0), isWhole: true });
    }
});

Then("the caller whose target sends {} has got the answer {string}", function(answer: string, text: string) {
    result = results.get(answer);
    assert.deepEqual(getResult().first, { text, status: 200, isComplete: true });
});
