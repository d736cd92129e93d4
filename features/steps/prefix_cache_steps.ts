/**
 * Steps about the estimates of what engines have cached, and their weight in the selection of a target.
 *
 * @module
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { hashText } from "../../core/hashing/mod.ts";
import {
    buildPromptPrefix,
    chooseLeastLoadedTarget,
    LoadTracker,
    PrefixCache,
    type PrefixPart,
    type ServiceDefinition,
    type ServingTarget,
    type TargetCandidate,
    type TargetSelection,
} from "../../core/serving/mod.ts";
import { ServingState } from "../../serving/mod.ts";
import { buildRequestPrefix } from "../../serving/prompt_prefix.ts";
import { createRandom } from "../../support/fixtures/random.ts";
import {
    type CacheKnowledge,
    type PrefixCacheOutcome,
    simulatePrefixCache,
} from "../../support/platform/prefix_cache_simulation.ts";
import { buildSimulatedSettings } from "../../support/platform/prompt_quarantine_simulation.ts";
import { DecisionLog } from "../../telemetry/mod.ts";

const ENGINE = { slots: 24, memoryTokens: 26_900, tokensPerEvent: 4, copyMillisecondsPerToken: 0.05, canMove: true };
const REQUEST_LOAD = { promptTokens: 3000, outputTokens: 700 };

function createEngine(id: string, changes: Partial<ServingTarget> = {}): ServingTarget {
    const listed = { isLeaving: false, coldMilliseconds: 0, startedAt: 1, ...changes };
    return { id, service: "engines", address: "127.0.0.1:1", zone: "zone-a", slots: 24, ...listed };
}

function createCandidate(id: string, changes: Partial<TargetCandidate> = {}): TargetCandidate {
    const load = { requests: 1, tokens: 0, waitingPromptTokens: 0 };
    return { target: createEngine(id), load, penalty: 0, isLimited: false, ...changes };
}

function chooseEngine(candidates: readonly TargetCandidate[], random: () => number): TargetSelection {
    const avoid = new Set(["tried"]);
    const place = { engine: ENGINE, zone: "zone-a", instances: 84, avoid, random };
    return chooseLeastLoadedTarget(candidates, { ...place, requestLoad: REQUEST_LOAD });
}

function parsePrefix(text: string, model = "engines"): PrefixPart[] {
    return buildPromptPrefix(
        model,
        text.split(",").map(part => ({ id: part.split(":")[0] ?? "", tokens: Number(part.split(":")[1]) })),
    );
}

let selection: TargetSelection;
let placements: string[] = [];
/** Hash of the targets and scores at commit f4f340a, which knew nothing of cached parts. */
const EARLIER_PLACEMENTS = 956_405_784;

When(
    "engine {string} has {int} tokens of a prompt cached, {int} prompt tokens waiting and {int} tokens running, and engine {string} is empty",
    function(first: string, heldTokens: number, waitingPromptTokens: number, tokens: number, second: string) {
        const load = { requests: 1, tokens, waitingPromptTokens };
        selection = chooseEngine([createCandidate(first, { load, heldTokens }), createCandidate(second)], () => 0.5);
    },
);

Then("engine {string} is selected, and {int} further prompt tokens wait there", function(id: string, waiting: number) {
    assert.ok(selection.kind === "placed" && selection.target.id === id, JSON.stringify(selection));
    const tracker = new LoadTracker();
    tracker.addRequest(id, { ...REQUEST_LOAD, heldTokens: selection.heldTokens });
    assert.deepEqual(tracker.computeOwnLoad(id), { requests: 1, tokens: 3700, waitingPromptTokens: waiting });
});

When(
    "{int} requests are placed without cached parts, with the random numbers of an earlier version",
    function(count: number) {
        const random = createRandom(7);
        placements = Array.from({ length: count }, () => {
            const candidates = ["0", "tried", "2", "3", "4", "5"].map(id => {
                const target = createEngine(id, { zone: random() < 0.5 ? "zone-a" : "b" });
                const [requests = 0, tokens = 0, waitingPromptTokens = 0] = [8, 20_000, 6000].map(limit =>
                    Math.floor(random() * limit)
                );
                const load = { requests, tokens, waitingPromptTokens };
                return createCandidate(id, {
                    target,
                    load,
                    penalty: random() < 0.2 ? 0.5 : 0,
                    isLimited: random() < 0.1,
                });
            });
            const chosen = chooseEngine(candidates, random);
            return chosen.kind === "placed" ? `${chosen.target.id} ${chosen.score.toFixed(6)}` : chosen.kind;
        });
    },
);

Then("the targets and scores are those of that version", function() {
    assert.equal(hashText(placements.join(",")), EARLIER_PLACEMENTS);
});

let cache = new PrefixCache();
const READ_AT = 1000;
const FIRST = "s:200,x:2500";
const SECOND = "s:200,y:2600";
const ROOMY = { now: READ_AT, freeTokens: 24_000, otherTokensPerMillisecond: 0 };

Given(
    "an engine has read the prompt {string} and {int} second later {string}",
    function(first: string, seconds: number, second: string) {
        cache = new PrefixCache();
        const engine = createEngine("a");
        cache.recordRead(engine, { prefix: parsePrefix(first), conditions: { ...ROOMY, now: 0 } });
        const conditions = { ...ROOMY, now: seconds * 1000 };
        cache.recordRead(engine, { prefix: parsePrefix(second), conditions });
    },
);

let conditions = ROOMY;

When(
    "it has {int} free tokens {int} ms later, and other instances make it read {int} tokens a second",
    function(freeTokens: number, milliseconds: number, others: number) {
        conditions = { now: READ_AT + milliseconds, freeTokens, otherTokensPerMillisecond: others / 1000 };
    },
);

function estimateHeld(prefix: readonly PrefixPart[], at = conditions): number {
    return cache.estimateHeldTokens(createEngine("a"), { prefix, conditions: at });
}

Then(
    "it is believed to have {int} tokens of the first prompt and {int} of the second",
    function(first: number, second: number) {
        assert.deepEqual([estimateHeld(parsePrefix(FIRST)), estimateHeld(parsePrefix(SECOND))], [first, second]);
    },
);

Then(
    "it is believed to have {int} tokens of {string}, {int} of {string} and {int} of {string} for another model",
    function(one: number, first: string, two: number, second: string, three: number, third: string) {
        const prefixes = [parsePrefix(first), parsePrefix(second), parsePrefix(third, "another")];
        assert.deepEqual(prefixes.map(prefix => estimateHeld(prefix, ROOMY)), [one, two, three]);
    },
);

const SERVICE: ServiceDefinition = {
    name: "engines",
    maxConnections: 100,
    coldRequestsPerSecond: 0,
    engine: ENGINE,
};
const REQUEST = { model: "m", promptParts: ["s", "x"], promptPartTokens: [200, 2800] };
let prompt: PrefixPart[] = [];
let state: ServingState;

Given("an instance has seen an engine of a paced service read a prompt of {int} tokens", function(tokens: number) {
    const clock = { getMonotonic: () => READ_AT, getWallTime: () => READ_AT };
    const log = new DecisionLog({ name: "test", clock, writeLine: () => true });
    state = new ServingState({ settings: buildSimulatedSettings("one"), clock, log });
    state.applySnapshot({ revision: 1, targets: [createEngine("a"), createEngine("b")] }, "store");
    assert.deepEqual(buildRequestPrefix(state, { service: SERVICE, request: REQUEST }), [], "no target states a pace");
    const load = { running: 1, waiting: 0, slots: 24, pace: 1 };
    state.targetPace.recordStatedLoad({ id: "b", service: "engines" }, load, READ_AT);
    prompt = buildRequestPrefix(state, { service: SERVICE, request: REQUEST });
    state.recordPromptRead(createEngine("a"), { service: SERVICE, prefix: prompt });
    const held = state.listCandidates(SERVICE, prompt).map(({ heldTokens }) => heldTokens);
    assert.deepEqual(held, [tokens, 0]);
});

const ENGINE_EVENTS: Record<string, () => void> = {
    "answers on": () => state.recordPromptRead(createEngine("a"), { service: SERVICE, prefix: prompt }),
    "restarts": () => listEngine({ startedAt: 2 }),
    "leaves the list": () => {
        state.applyEvents({ from: 1, changeRevision: 2, revision: 2, changed: [], removed: ["a"] }, "store");
        listEngine({});
    },
    "crashes": () => state.recordTargetCrash({ parts: ["s"], target: "a", startedAt: 1 }),
    "refuses for want of room": () => state.recordRefusal(createEngine("a")),
    "has no memory beside requests": () =>
        void state.loadTracker.addRequest("a", { promptTokens: 20_000, outputTokens: 6900 }),
    "is read late after a restart": () => {
        listEngine({ startedAt: 2 });
        state.recordPromptRead(createEngine("a"), { service: SERVICE, prefix: prompt });
    },
};

function listEngine(changes: Partial<ServingTarget>): void {
    const changed = [createEngine("a", changes)];
    state.applyEvents({ from: 2, changeRevision: 3, revision: 3, changed, removed: [] }, "store");
}

When(/^this happens to the engine: it (.+)$/, function(event: string) {
    assert.ok(event in ENGINE_EVENTS, event);
    ENGINE_EVENTS[event]?.();
});

Then("the instance believes that {int} tokens of the prompt are cached", function(tokens: number) {
    const candidate = state.listCandidates(SERVICE, prompt).find(({ target }) => target.id === "a");
    assert.equal(candidate?.heldTokens, tokens);
});

Then(
    "{int} prompts of {int} tokens to each of {int} engines let {int} instances add {int} tokens a second, and {int} a minute later",
    function(count: number, tokens: number, engines: number, instances: number, added: number, later: number) {
        cache = new PrefixCache();
        for (let index = 0; index < count * engines; index += 1) {
            const prefix = parsePrefix(`${index}:${tokens}`);
            cache.recordRead(createEngine(`${index % engines}`), { prefix, conditions: ROOMY });
        }
        const estimate = (now: number): number =>
            Math.round(1000 * cache.estimateOtherTokens("engines", { now, instances, engines }));
        assert.deepEqual([estimate(READ_AT), estimate(READ_AT + 60_000)], [added, later]);
    },
);

Then(
    "{int} engines that have each read {int} prompts of 20 parts of 1 token have at most {int} parts each",
    function(engines: number, count: number, limit: number) {
        cache = new PrefixCache();
        for (let index = 0; index < engines * count; index += 1) {
            const parts = Array.from({ length: 20 }, (_, part) => ({ id: `${index} ${part}`, tokens: 1 }));
            const prefix = buildPromptPrefix("engines", parts);
            cache.recordRead(createEngine(`${index % engines}`), { prefix, conditions: ROOMY });
        }
        assert.ok(cache.countParts() <= engines * limit, `${cache.countParts()} parts`);
    },
);

const SEEDS = [1, 2, 3, 4];
let former: PrefixCacheOutcome[] = [];
let estimated: PrefixCacheOutcome[] = [];

When(
    /^84 instances place prompts of which 28 % have a first part of (\d+) tokens, known to (each instance|all at once)$/,
    function(tokens: string, text: string) {
        const simulate = (knowledge: CacheKnowledge): PrefixCacheOutcome[] =>
            SEEDS.map(seed =>
                simulatePrefixCache({ knowledge, seed, hotShare: 0.28, hotTokens: Number(tokens), seconds: 10 })
            );
        former = simulate("none");
        estimated = simulate(text === "each instance" ? "own" : "all");
    },
);

/** Figures that estimates of the caches must not make worse. */
const FIGURES: Record<string, (outcomes: readonly PrefixCacheOutcome[]) => number> = {
    "number of requests at the busiest engine": outcomes =>
        outcomes.reduce((sum, { requests }) => sum + Math.max(...requests), 0),
    "95th percentile of first tokens": outcomes => {
        const times = outcomes.flatMap(outcome => outcome.firstTokenMilliseconds).sort((a, b) => a - b);
        return times[Math.floor(times.length * 0.95)] ?? Infinity;
    },
    "share of the tokens read": outcomes =>
        outcomes.reduce((sum, { readTokens, promptTokens }) => sum + readTokens / promptTokens, 0),
};

Then(/^the (.+) is at most ([\d.]+) times that without estimates$/, function(figure: string, limit: string) {
    const [before, after] = [FIGURES[figure]?.(former) ?? NaN, FIGURES[figure]?.(estimated) ?? NaN];
    assert.ok(after <= Number(limit) * before, `${after}, ${before} without estimates`);
});

Then("{int} % of the tokens that are believed to be cached are cached", function(percent: number) {
    const confirmed = estimated.reduce((sum, { confirmedTokens }) => sum + confirmedTokens, 0);
    const believed = estimated.reduce((sum, { believedTokens }) => sum + believedTokens, 0);
    assert.ok(believed > 0 && confirmed >= percent / 100 * believed, `${confirmed} of ${believed}`);
});
