/**
 * Steps on the selection of targets by their pace, in virtual time and without I/O.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    EngineSpeeds,
    estimateMeanPace,
    EventWindow,
    type PlacementEstimate,
    TargetPace,
} from "../../core/serving/mod.ts";
import { waitMilliseconds } from "../../network/mod.ts";
import { parsePeerMessage } from "../../serving/peer_messages.ts";
import {
    type PlainSelectionOptions,
    type PlainSelectionOutcome,
    simulatePlainSelection,
} from "../../support/platform/plain_selection_simulation.ts";
import {
    simulateTargetSelection,
    type TargetSelectionSimulationOptions,
    type UnevenLoad,
    type UnevenOutcome,
} from "../../support/platform/target_selection_simulation.ts";
import { waitForLine } from "../support/log_lines.ts";
import { createRequestId, formatRequestId, getInstance, getSite, siteContext } from "../support/site_context.ts";

/** Long streams and checks that arrive at each engine in a second. */
const REQUESTS_PER_ENGINE = 1.15;
const SEEDS = [1, 2, 3];

/** Figures of engines and of plain targets that fail in some way, by their description in the feature file. */
const ENGINE_FIGURES: Record<string, Partial<UnevenLoad>> = {
    "are lost for peers": { lostShare: 1 },
    "state a pace of 1e12": { statePace: () => 1e12 },
    "state a pace of 0.01": { statePace: () => 0.01 },
};
const PLAIN_FIGURES: Record<string, Partial<PlainSelectionOptions>> = {
    "are 0.5 s old": { delayMilliseconds: 500 },
    "are 2 s old": { delayMilliseconds: 2000 },
    "are lost for peers": { lostShare: 1 },
    "state 1e12 requests": { stateRequests: () => 1e12 },
    "state no requests": { stateRequests: () => 0 },
};

let streams: Record<"former" | "paced", UnevenOutcome[]> = { former: [], paced: [] };
let calls: Record<"former" | "paced", PlainSelectionOutcome[]> = { former: [], paced: [] };

function simulateStreams(options: TargetSelectionSimulationOptions, load: Partial<UnevenLoad> = {}): void {
    const generationsPerSecond = REQUESTS_PER_ENGINE * (options.engines ?? 0);
    const seeds = (options.instances ?? 0) > 50 ? SEEDS.slice(0, 1) : SEEDS;
    const run = (isPaced: boolean): UnevenOutcome[] =>
        seeds.flatMap(seed => {
            const uneven = { ...load, isPaced };
            return simulateTargetSelection({ ...options, generationsPerSecond, seed, uneven }).uneven ?? [];
        });
    streams = { former: run(false), paced: run(true) };
}

function simulateCalls(options: Omit<PlainSelectionOptions, "isPaced">): void {
    const run = (isPaced: boolean): PlainSelectionOutcome[] =>
        SEEDS.map(seed => simulatePlainSelection({ ...options, isPaced, seed }));
    calls = { former: run(false), paced: run(true) };
}

function computeGapShare(outcomes: readonly UnevenOutcome[]): number {
    const started = outcomes.reduce((sum, { long }) => sum + long.started, 0);
    return outcomes.reduce((sum, { long }) => sum + long.gaps, 0) / started;
}

function computeLateShare(outcomes: readonly UnevenOutcome[]): number {
    const started = outcomes.reduce((sum, { long, checks }) => sum + long.started + checks.started, 0);
    return outcomes.reduce((sum, { long, checks }) => sum + long.lateFirsts + checks.lateFirsts, 0) / started;
}

function computeMean(outcomes: readonly PlainSelectionOutcome[], field: "late" | "refusals"): number {
    const total = outcomes.reduce((sum, outcome) => sum + outcome.calls, 0);
    const counts = outcomes.map(({ timely, refusals, calls: all }) => field === "late" ? all - timely : refusals);
    return counts.reduce((sum, count) => sum + count, 0) / total;
}

When(
    "{int} instances place long streams and checks on {int} engines for {int} s",
    { timeout: 120_000 },
    function(instances: number, engines: number, seconds: number) {
        simulateStreams({ instances, engines, seconds });
    },
);

When(
    /^(\d+) instances place requests on (\d+) engines whose figures (.+)$/,
    function(instances: string, engines: string, figures: string) {
        simulateStreams({ instances: Number(instances), engines: Number(engines) }, ENGINE_FIGURES[figures]);
    },
);

When("24 instances place requests on 16 engines that state no pace, with either decision", function() {
    simulateStreams({ instances: 24, engines: 16, seconds: 6 }, { statePace: () => undefined });
});

Then("both decisions have the same outcome", function() {
    const [former, paced] = [streams.former, streams.paced].map(outcomes =>
        outcomes.map(({ long, checks, refused, atSlowEngines }) => ({ long, checks, refused, atSlowEngines }))
    );
    assert.deepEqual(paced, former);
});

Then(
    "at most {float} times as many long streams have a gap above 180 ms as with the former decision",
    function(factor: number) {
        const [former, paced] = [computeGapShare(streams.former), computeGapShare(streams.paced)];
        assert.ok(paced <= factor * former, `gaps in a share of ${paced}, formerly of ${former}`);
    },
);

Then("fewer long streams have a gap above 180 ms than with the former decision", function() {
    const [former, paced] = [computeGapShare(streams.former), computeGapShare(streams.paced)];
    assert.ok(paced < former, `gaps in a share of ${paced}, formerly of ${former}`);
});

Then("the share of late first events grows by at most {float}", function(growth: number) {
    const [former, paced] = [computeLateShare(streams.former), computeLateShare(streams.paced)];
    assert.ok(paced <= former + growth, `late first events: a share of ${paced}, formerly of ${former}`);
});

When("{int} instances send plain calls to 4 targets", function(instances: number) {
    simulateCalls({ instances });
});

When(/^(\d+) instances send plain calls to targets whose figures (.+)$/, function(instances: string, figures: string) {
    simulateCalls({ instances: Number(instances), ...PLAIN_FIGURES[figures] });
});

Then("at most {float} times as many calls are late as with the former decision", function(factor: number) {
    const [former, paced] = [computeMean(calls.former, "late"), computeMean(calls.paced, "late")];
    assert.ok(paced <= factor * former, `late: a share of ${paced}, formerly of ${former}`);
});

Then(
    /^at most ([\d.]+) times as many (?:calls )?are refused(?: as with the former decision)?$/,
    function(factor: string) {
        const [former, paced] = [computeMean(calls.former, "refusals"), computeMean(calls.paced, "refusals")];
        assert.ok(paced <= Number(factor) * former, `refusals: a share of ${paced}, formerly of ${former}`);
    },
);

Then("no target gets more than {float} of the calls", function(share: number) {
    const largest = Math.max(...calls.paced.map(({ largestShare }) => largestShare));
    assert.ok(largest <= share, `one target gets a share of ${largest}`);
});

let speeds = new EngineSpeeds();
const engine = { id: "a", service: "engines", startedAt: 1_700_000_000_123 };

When("a peer tells of an engine that takes twice as long, and the engine restarts", function() {
    const peer = new EngineSpeeds();
    for (let count = 0; count < 100; count += 1) {
        peer.recordSample(engine, { millisecondsPerToken: 14, requests: 0, pace: 1 });
    }
    speeds = new EngineSpeeds();
    speeds.applyTold(engine, peer.takeTold(0)?.[engine.id] ?? [0, 0, 0]);
    assert.equal(peer.takeTold(1000), undefined, "a peer tells of the same evidence twice");
});

Then("its steps are expected to take twice as long before the restart, and as long as usual after it", function() {
    assert.ok(speeds.estimateStepFactor(engine, 0) > 1.9);
    const restarted = { ...engine, startedAt: engine.startedAt + 5000 };
    speeds.applyTold(restarted, [engine.startedAt % 65_536, 200, 50]);
    const another = new EngineSpeeds();
    another.applyTold(restarted, [engine.startedAt % 65_536, 200, 50]);
    assert.equal(another.estimateStepFactor(restarted, 0), 1);
});

const newEngine = { id: "new", service: "engines", startedAt: 1 };

/** Step of an idle engine of the usual speed, in milliseconds. */
const USUAL_STEP_MILLISECONDS = 7;

When(
    /^(\d+) of 10 engines have shown that their steps take ([\d.]+) times as long as usual, and 2 that they take ([\d.]+) times as long$/,
    (count: string, usual: string, slow: string) => {
        speeds = new EngineSpeeds();
        for (let index = 0; index < 10; index += 1) {
            const factor = Number(index < Number(count) ? usual : slow);
            const known = { id: `known-${index}`, service: "engines", startedAt: 1 };
            for (let sample = 0; sample < 10; sample += 1) {
                speeds.recordSample(known, {
                    millisecondsPerToken: USUAL_STEP_MILLISECONDS * factor,
                    requests: 0,
                    pace: 1,
                });
            }
        }
    },
);

Then(
    /^the step of a new engine is expected to take ([\d.]+) times as long, and ([\d.]+) times as long where gaps count$/,
    (usual: string, cautious: string) => {
        assert.equal(speeds.estimateStepFactor(newEngine, 2000).toFixed(1), Number(usual).toFixed(1));
        assert.equal(speeds.estimateCautiousFactor(newEngine, 2000).toFixed(1), Number(cautious).toFixed(1));
    },
);

Then(
    "after the two events of {int} checks at the usual speed, less than {float} times as long where gaps count",
    (checks: number, factor: number) => {
        for (let check = 0; check < checks; check += 1) {
            const window = new EventWindow();
            window.addEvents(1, 0);
            window.addEvents(1, 4 * USUAL_STEP_MILLISECONDS);
            const { events = 0, milliseconds = 0 } = window.finishWindow(4 * USUAL_STEP_MILLISECONDS) ?? {};
            speeds.recordSample(newEngine, {
                millisecondsPerToken: milliseconds / 4,
                requests: 0,
                pace: 1,
                events,
            });
        }
        assert.ok(speeds.estimateCautiousFactor(newEngine, 4000) < factor);
    },
);

const targetPace = new TargetPace();

When("a target states a pace of {float}", function(pace: number) {
    const load = { running: 1, waiting: 0, slots: 6, pace };
    targetPace.recordStatedLoad({ id: "a", service: "stamps" }, load, 1000);
});

Then(
    "the mean pace of the next {int} ms is above {float}, and that of the next {int} ms below {float}",
    function(short: number, lowest: number, long: number, highest: number) {
        const estimate = targetPace.getEstimate("a", 1000);
        assert.ok(estimateMeanPace(estimate, short) > lowest, `${estimateMeanPace(estimate, short)}`);
        assert.ok(estimateMeanPace(estimate, long) < highest, `${estimateMeanPace(estimate, long)}`);
    },
);

When("all targets state the load {string}", function(load: string) {
    getSite().targets.forEach(({ standIn }) => Object.assign(standIn.faults, { statedLoad: load }));
});

When(
    "{int} narratives are sent to instance 1, and after {int} ms {int} to instance 2",
    async function(first: number, milliseconds: number, second: number) {
        const sendNarratives = async (count: number, instance: number): Promise<void> => {
            for (let sent = 0; sent < count; sent += 1) {
                const response = await getSite().call({ kind: "narrative", id: createRequestId(), instance });
                assert.equal(response.status, 200);
            }
        };
        await sendNarratives(first, 0);
        await waitMilliseconds(milliseconds);
        await sendNarratives(second, 1);
    },
);

Then(
    "instance 2 has placed the last one by a step factor below {float}, and by a pace of {int} that is not old",
    async function(factor: number, pace: number) {
        const request = formatRequestId(siteContext.requestCount);
        const line = await waitForLine([getInstance(2)], { event: "request ended", request });
        const [attempt] = line["attempts"] as { estimate: PlacementEstimate; }[];
        assert.ok(attempt !== undefined && attempt.estimate.stepFactor < factor, JSON.stringify(attempt));
        assert.equal(attempt.estimate.pace, pace);
        assert.ok((attempt.estimate.ageMilliseconds ?? Infinity) < 2000, JSON.stringify(attempt));
    },
);

Then("a digest without figures on pace, one with them and one with unusable ones are understood", function() {
    const versions = { configuration: 1, targets: 1, targetsEra: 0, zones: 1, zonesEra: 0 };
    const digest = { kind: "digest", instance: "i", address: "127.0.0.1:1", work: {}, unreachable: [], versions };
    const parse = (fields: object): unknown => {
        const message = parsePeerMessage({ ...digest, isWatching: false, relayAddress: "", ...fields });
        assert.equal(message?.kind, "digest");
        return [message.speeds, message.loads];
    };
    assert.deepEqual(parse({}), [undefined, undefined]);
    const [speed, load] = [{ a: [1, 120, 9] }, { b: [6, 2, 250, 40] }];
    assert.deepEqual(parse({ speeds: speed, loads: load }), [speed, load]);
    assert.deepEqual(parse({ speeds: { a: "fast" }, loads: { b: [-1, 0, 0, 0] } }), [undefined, undefined]);
});
