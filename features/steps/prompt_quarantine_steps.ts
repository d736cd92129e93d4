/**
 * Steps that check the decisions on parts of prompts that crash engines.
 *
 * @module
 */
import { Before, type DataTable, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { VirtualClock } from "../../core/clock/mod.ts";
import { type CrashEvidence, DigestReason, EMPTY_CRASH_EVIDENCE, RequestQuarantine } from "../../core/serving/mod.ts";
import { ServingState } from "../../serving/mod.ts";
import {
    buildSimulatedSettings,
    CRASHING_PART,
    type PromptQuarantineOutcome,
    simulatePromptQuarantine,
} from "../../support/platform/prompt_quarantine_simulation.ts";
import { DecisionLog } from "../../telemetry/mod.ts";

/** Name of the peer that tells of evidence. */
const PEER = "peer";

let quarantine = new RequestQuarantine();

Before({ tags: "@quarantine" }, () => {
    quarantine = new RequestQuarantine();
});

function splitNames(names: string): string[] {
    return names.split(" ").filter(name => name !== "");
}

function recordCrashes(table: DataTable, runMilliseconds: number): void {
    for (const { at, parts = "", engine = "", start } of table.hashes()) {
        const crash = { parts: splitNames(parts), target: engine, startedAt: Number(start), runMilliseconds };
        quarantine.recordCrash(crash, Number(at));
    }
}

When("engines crash on prompts", function(table: DataTable) {
    recordCrashes(table, 0);
});

When("engines run prompts for {int} ms and crash", function(milliseconds: number, table: DataTable) {
    recordCrashes(table, milliseconds);
});

When(
    "an engine crashes at {int} ms while it runs {int} prompts with parts of their own",
    function(at: number, count: number) {
        for (let index = 0; index < count; index += 1) {
            quarantine.recordCrash({ parts: [formatPart(index)], target: "e9", startedAt: 1 }, at);
        }
    },
);

Then("at {int} ms it tells of crashes on {string} at {int} engines", function(at: number, part: string, count: number) {
    assert.equal(quarantine.getEvidence(at).crashes.filter(crash => crash.part === part).length, count);
});

When("the parts {string} are answered at {int} ms", function(parts: string, at: number) {
    quarantine.recordAnswered(splitNames(parts), at);
});

When(
    "the parts {string} are answered at {int} ms to a request that was sent at {int} ms",
    function(parts: string, at: number, sentAt: number) {
        quarantine.recordAnswered(splitNames(parts), at, { sentAt });
    },
);

When(
    "{int} requests with the parts {string} are sent at {int} ms and run on",
    function(count: number, parts: string, at: number) {
        Array.from({ length: count }).forEach(() => quarantine.startAttempt(splitNames(parts), at));
    },
);

When(
    "a peer tells at {int} ms of {int} requests with the part {string} that run on",
    function(at: number, count: number, part: string) {
        quarantine.applyPeerEvidence(PEER, { ...EMPTY_CRASH_EVIDENCE, survivors: [{ part, count }] }, at);
    },
);

When(
    "a peer tells at {int} ms of a quarantine of {string} whose crashes began at {int} ms",
    function(at: number, part: string, beganAt: number) {
        const quarantined = [
            { part, remainingMilliseconds: 600_000, crashes: 5, firstCrashAgeMilliseconds: at - beganAt },
        ];
        quarantine.applyPeerEvidence(PEER, { ...EMPTY_CRASH_EVIDENCE, quarantined }, at);
    },
);

When("a peer tells at {int} ms of the crashes", function(at: number, table: DataTable) {
    const crashes = table.hashes().map(({ age, part = "", engine = "", start }) => ({
        part,
        position: 0,
        target: engine,
        startedAt: Number(start),
        ageMilliseconds: Number(age),
    }));
    quarantine.applyPeerEvidence(PEER, { ...EMPTY_CRASH_EVIDENCE, crashes }, at);
});

When("a peer tells at {int} ms of answers on {string}", function(at: number, parts: string) {
    quarantine.applyPeerEvidence(PEER, { ...EMPTY_CRASH_EVIDENCE, sound: splitNames(parts) }, at);
});

When(
    "a peer tells at {int} ms of a quarantine of {string} for {int} ms after {int} crashes",
    function(at: number, part: string, remainingMilliseconds: number, crashes: number) {
        const quarantined = [{ part, remainingMilliseconds, crashes }];
        quarantine.applyPeerEvidence(PEER, { ...EMPTY_CRASH_EVIDENCE, quarantined }, at);
    },
);

Then("the quarantined parts at {int} ms are {string}", function(at: number, expected: string) {
    const parts = quarantine.listQuarantined(at).map(({ part }) => part).sort();
    assert.equal(parts.join(" "), expected);
});

Then(
    "a prompt with the parts {string} is refused at {int} ms for {int} ms after {int} crashes",
    function(parts: string, at: number, milliseconds: number, crashes: number) {
        const found = quarantine.findQuarantined(splitNames(parts), at);
        assert.equal(found?.remainingMilliseconds, milliseconds);
        assert.equal(found.crashes, crashes);
    },
);

Then("a prompt with the parts {string} is not refused at {int} ms", function(parts: string, at: number) {
    assert.equal(quarantine.findQuarantined(splitNames(parts), at), undefined);
});

Then("the parts released by {int} ms are {string}", function(at: number, expected: string) {
    assert.equal(quarantine.takeReleased(at).map(({ part, reason }) => `${part}: ${reason}`).join(", "), expected);
});

Then(
    "at {int} ms it tells of crashes on {string}, of answers on {string} and of quarantines of {string}",
    function(at: number, crashed: string, answered: string, quarantined: string) {
        const evidence = quarantine.getEvidence(at);
        assert.deepEqual(evidence.crashes.map(({ part }) => part).sort(), splitNames(crashed));
        assert.deepEqual([...evidence.sound].sort(), splitNames(answered));
        assert.deepEqual(evidence.quarantined.map(({ part }) => part).sort(), splitNames(quarantined));
    },
);

/** State of the instance whose digests a scenario checks, and the reasons for digests since the scenario's event. */
let state: ServingState | undefined;
let digestReasons: DigestReason[] = [];

function getState(): ServingState {
    assert.ok(state !== undefined, "the scenario has no instance");
    return state;
}

function buildCrashes(part: string): CrashEvidence {
    const crash = { part, position: 0, target: "e1", startedAt: 1, ageMilliseconds: 0 };
    return { ...EMPTY_CRASH_EVIDENCE, crashes: [crash] };
}

Given("an instance for which the part {string} was answered", function(part: string) {
    const clock = new VirtualClock();
    const log = new DecisionLog({ name: "test", clock, writeLine: () => true });
    state = new ServingState({ settings: buildSimulatedSettings("one"), clock, log });
    state.recordAnswered([part]);
    digestReasons = [];
    state.loadTracker.onEngineLoadChange = reason => digestReasons.push(reason);
});

When("the instance observes a crash on the part {string}", function(part: string) {
    getState().recordTargetCrash({ parts: [part], target: "e1", startedAt: 1 });
});

When("a quarantined part is answered for the instance", function() {
    const quarantined = [{ part: "p", remainingMilliseconds: 1000, crashes: 3 }];
    getState().applyCrashEvidence(PEER, { ...EMPTY_CRASH_EVIDENCE, quarantined });
    getState().recordAnswered(["p"]);
});

When("the part {string} is answered for the instance", function(part: string) {
    getState().recordAnswered([part]);
});

When("a peer observes a crash on the part {string}", function(part: string) {
    getState().applyCrashEvidence(PEER, buildCrashes(part));
});

When("a peer observes a crash on the part {string} once more", function(part: string) {
    getState().applyCrashEvidence(PEER, buildCrashes(part));
    // The digest that this asked for is sent.
    getState().requestQuarantine.getEvidence(0);
    digestReasons = [];
    getState().applyCrashEvidence(PEER, buildCrashes(part));
});

When("a peer quarantines the part {string}", function(part: string) {
    const quarantined = [{ part, remainingMilliseconds: 1000, crashes: 3 }];
    getState().applyCrashEvidence(PEER, { ...EMPTY_CRASH_EVIDENCE, quarantined });
});

const DUE_BY_REASON: Record<DigestReason, string> = {
    [DigestReason.loadIncreased]: "soon",
    [DigestReason.storeChanged]: "soon",
    [DigestReason.loadDecreased]: "later",
};

Then("a digest is due {string}", function(expected: string) {
    assert.equal(digestReasons.map(reason => DUE_BY_REASON[reason]).join(" ") || "never", expected);
});

/** Time at which the long incident of a scenario ends, in milliseconds. */
const INCIDENT_MILLISECONDS = 50_000;
/** Length of the parts of that incident, in characters: the longest that can be under suspicion. */
const PART_CHARACTERS = 128;
let answeredParts: string[] = [];

function formatPart(index: number): string {
    return `${index}`.padStart(PART_CHARACTERS, "0");
}

When(
    "{int} engine starts end on prompts with {int} parts each, and {int} parts are answered",
    function(crashes: number, parts: number, answered: number) {
        for (let index = 0; index < crashes; index += 1) {
            quarantine.recordCrash({
                parts: Array.from({ length: parts }, (_, position) => formatPart((index % 10) * parts + position)),
                target: `engine-${index % 90}`,
                startedAt: index,
            }, index * INCIDENT_MILLISECONDS / crashes);
        }
        answeredParts = Array.from({ length: answered }, (_, index) => `answered-${index}`);
        answeredParts.forEach(part => quarantine.recordAnswered([part], INCIDENT_MILLISECONDS));
    },
);

Then("the message to peers has at most {int} bytes", function(limit: number) {
    const evidence = quarantine.getEvidence(INCIDENT_MILLISECONDS);
    assert.ok(evidence.crashes.length > 0 && evidence.quarantined.length > 0);
    const bytes = JSON.stringify(evidence).length;
    assert.ok(bytes <= limit, `${bytes} bytes`);
});

Then("at most {int} answered parts vouch", function(limit: number) {
    const vouching = answeredParts.filter(part => quarantine.isVouchedFor([part], INCIDENT_MILLISECONDS)).length;
    assert.ok(vouching > 0 && vouching <= limit, `${vouching} parts`);
});

/** Seeds of the simulated loads; a large fleet takes longer to simulate and gets the first one only. */
const SEEDS = [1, 2, 3];
const MAX_INSTANCES_WITH_ALL_SEEDS = 100;
/** Time with requests that crash engines: some seconds longer than until the time at which all is served again. */
const SIMULATED_SECONDS = 18;
let outcomes: PromptQuarantineOutcome[] = [];

When(
    /^(\d+) instances with (\d+) engines get requests with a crashing part, (after some sound ones|as soon as they have started)$/,
    { timeout: 60_000 },
    function(instances: string, engines: string, history: string) {
        const seeds = Number(instances) > MAX_INSTANCES_WITH_ALL_SEEDS ? SEEDS.slice(0, 1) : SEEDS;
        outcomes = seeds.map(seed =>
            simulatePromptQuarantine({
                instances: Number(instances),
                engines: Number(engines),
                seed,
                seconds: SIMULATED_SECONDS,
                soundSeconds: history === "as soon as they have started" ? 0 : 5,
            })
        );
    },
);

When(
    "{int} % of {int} engines crash at once, {int} times, while {int} instances serve sound requests",
    { timeout: 60_000 },
    function(percent: number, engines: number, times: number, instances: number) {
        outcomes = SEEDS.map(seed =>
            simulatePromptQuarantine({
                instances,
                engines,
                seed,
                soundSeconds: 2,
                crashingRequestsPerSecond: 0,
                simultaneousCrashes: { times, share: percent / 100 },
            })
        );
        for (const { crashes } of outcomes) {
            assert.equal(crashes.length, times * Math.round(engines * percent / 100));
        }
    },
);

/** Gets the time from which requests with the crashing part count as late, in milliseconds. */
function getContactTime({ crashes }: PromptQuarantineOutcome, seconds: number): number {
    const fifthCrashAt = crashes.slice(0, 5).at(-1);
    assert.ok(fifthCrashAt !== undefined, "no engine has crashed");
    return fifthCrashAt + seconds * 1000;
}

Then(
    "at most {int} requests with the part reach engines later than {int} seconds after the fifth crash",
    function(limit: number, seconds: number) {
        for (const outcome of outcomes) {
            const since = getContactTime(outcome, seconds);
            const late = outcome.crashingArrivals.filter(at => at > since).length;
            assert.ok(late <= limit, `${late} requests reached engines, after ${outcome.crashes.length} crashes`);
        }
    },
);

Then("only that part is quarantined at the end, by all instances", function() {
    for (const { quarantinedParts } of outcomes) {
        assert.deepEqual(quarantinedParts, quarantinedParts.map(() => [CRASHING_PART]));
    }
});

Then(
    "later than 2 times {int} seconds after the fifth crash {int} in {int} sound requests are served at the first attempt",
    function(seconds: number, served: number, total: number) {
        for (const outcome of outcomes) {
            const since = getContactTime(outcome, 2 * seconds);
            const requests = outcome.soundRequests.filter(({ sentAt }) => sentAt > since);
            const share = requests.filter(({ isServedAtOnce }) => isServedAtOnce).length / requests.length;
            assert.ok(share >= served / total, `${share} of ${requests.length} sound requests`);
        }
    },
);

Then("no instance has quarantined a part", function() {
    assert.deepEqual(outcomes.flatMap(({ everQuarantined }) => everQuarantined), []);
});
