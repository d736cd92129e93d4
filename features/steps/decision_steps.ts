/**
 * Steps that replay loads against the decisions of the serving process, without input or output.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { RendezvousHash } from "../../core/hashing/mod.ts";
import {
    chooseLeastLoadedTarget,
    ColdRateShare,
    decideQueueAdmission,
    decideSilenceAction,
    EventSplitter,
    isElectedWatcher,
    isSentInFull,
    type LeavingEngine,
    type LoadDigest,
    LoadTracker,
    planMoves,
    type QueueAdmission,
    RetryBudgetShare,
    RouteKind,
    RouteTable,
    type ServingTarget,
    type TargetChange,
    TargetDirectory,
    TargetHealth,
    type TargetLoad,
} from "../../core/serving/mod.ts";
import { createRandom } from "../../support/fixtures/random.ts";
import { createDeparture, type MoveOutcome, replayMoves } from "../../support/platform/move_replay.ts";
import { FixedPace, type PlaceOutcome, replayPlaces } from "../../support/platform/place_replay.ts";

function createTarget(id: string, changes: Partial<ServingTarget> = {}): ServingTarget {
    return {
        id,
        service: "engines",
        address: "127.0.0.1:1",
        zone: "zone-a",
        slots: 24,
        isLeaving: false,
        coldMilliseconds: 0,
        startedAt: 1,
        ...changes,
    };
}

const ENGINE = { slots: 24, memoryTokens: 34_000, tokensPerEvent: 4, copyMillisecondsPerToken: 0.055, canMove: true };
const SEEDS = 20;

let planned: MoveOutcome[] = [];
let naive: MoveOutcome[] = [];
/** Notice that the plan is told, in milliseconds; engines stay a little longer. */
const PROMISED_NOTICE = 1500;
/** Runs that any order of copies within their zone could save within the promised notice. */
let savable = 0;

/** Counts the runs whose copies fit one after the other on their engine's link before it is gone. */
function countSavable(source: LeavingEngine, notice: number): number {
    const lengths = source.runs.map(run => run.tokens * 0.055).sort((a, b) => a - b);
    let used = 25;
    return lengths.filter(length => {
        used += length + 6;
        return used <= notice;
    }).length;
}

When(
    "{int} engines with {int} runs each get {int} ms of notice",
    function(engineCount: number, runCount: number, notice: number) {
        planned = [];
        naive = [];
        savable = 0;
        for (let seed = 0; seed < SEEDS; seed += 1) {
            const { sources, destinations } = createDeparture(seed, { engines: engineCount, runs: runCount });
            const question = {
                sources,
                destinations,
                millisecondsPerToken: 0.055,
                noticeMilliseconds: PROMISED_NOTICE,
            };
            planned.push(...replayMoves({ sources, destinations, plan: planMoves(question), notice }));
            savable += sources.reduce((sum, source) => sum + countSavable(source, PROMISED_NOTICE), 0);
            naive.push(...replayMoves({ sources, destinations, plan: undefined, notice }));
        }
    },
);

Then(
    "planned moves save at least {float} of the runs that fit, and more in time than copies all at once",
    function(share: number) {
        const saved = planned.filter(outcome => outcome.isSaved).length / savable;
        const timely = (outcomes: MoveOutcome[]): number =>
            outcomes.filter(outcome => outcome.isSaved && outcome.pause <= 180).length / outcomes.length;
        assert.ok(saved >= share, `saved ${saved} of ${savable}`);
        assert.ok(timely(planned) > timely(naive), `timely ${timely(planned)} beside ${timely(naive)}`);
    },
);

Then("9 in 10 pauses of planned moves are under {int} ms", function(most: number) {
    const pauses = planned.filter(outcome => outcome.isSaved).map(outcome => outcome.pause).sort((a, b) => a - b);
    const pause = pauses[Math.floor(pauses.length * 0.9)] ?? Infinity;
    assert.ok(pause < most, `9 in 10 pauses are under ${pause}`);
});

let timely = { knowing: 0, alone: 0 };

When(
    "{int} engines with {int} runs each leave {int} others, and each is planned by another instance",
    function(engines: number, runs: number, others: number) {
        const replay = (isKnown: boolean): number => {
            const outcomes = Array.from({ length: SEEDS }, (_, seed) => {
                const departure = createDeparture(seed, { engines, runs, others });
                const plans = departure.sources.map(source =>
                    planMoves({
                        sources: [source],
                        ...isKnown ? { leaving: departure.sources } : {},
                        destinations: departure.destinations,
                        millisecondsPerToken: 0.055,
                        noticeMilliseconds: PROMISED_NOTICE,
                    })
                );
                const plan = new Map(plans.flatMap(single => [...single]));
                return replayMoves({ ...departure, plan, notice: 1700 });
            }).flat();
            return outcomes.filter(({ isSaved, pause }) => isSaved && pause <= 180).length / outcomes.length;
        };
        timely = { knowing: replay(true), alone: replay(false) };
    },
);

Then(
    "9 in 10 runs go on in time where the planners know of all engines, and fewer where they do not",
    function() {
        assert.ok(timely.knowing >= 0.9 && timely.alone < 0.9, JSON.stringify(timely));
    },
);

/** Memory of the fullest engine after a burst, by policy. */
let fullest: Record<"memory" | "requests", number> = { memory: 0, requests: 0 };

When("{int} generations come at once to {int} engines", function(count: number, engines: number) {
    fullest = { memory: 0, requests: 0 };
    for (const policy of ["memory", "requests"] as const) {
        const random = createRandom(7);
        const ledger = new LoadTracker();
        const targets = Array.from({ length: engines }, (_, index) => createTarget(`engine-${index}`));
        for (let index = 0; index < count; index += 1) {
            const item = { promptTokens: 500 + Math.floor(random() * 5500), outputTokens: Math.floor(random() * 2000) };
            const candidates = targets.map(target => ({
                target,
                held: ledger.computeTotalLoad(target.id, 0),
                penalty: 0,
                isLimited: false,
            }));
            const byRequests = [...candidates].sort((a, b) => a.held.requests - b.held.requests)[0]?.target;
            const question = { item, engine: ENGINE, zone: "zone-a", instances: 1, avoid: new Set<string>(), random };
            const chosen = chooseLeastLoadedTarget(candidates, question);
            const target = policy === "requests" ? byRequests : chosen.kind === "placed" ? chosen.target : undefined;
            ledger.addRequest(target?.id ?? "", item);
        }
        fullest[policy] = Math.max(...targets.map(target => ledger.computeTotalLoad(target.id, 0).tokens));
    }
});

Then("the fullest engine by memory holds less than by fewest requests", function() {
    assert.ok(fullest.memory < fullest.requests, JSON.stringify(fullest));
});

let paced: PlaceOutcome = { firstTokens: [], preemptions: 0, digests: 0 };
let spaced: PlaceOutcome = { firstTokens: [], preemptions: 0, digests: 0 };

function findQuantile(values: readonly number[], share: number): number {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length * share)] ?? Infinity;
}

When(
    "{int} instances place {int} generations a second on {int} engines",
    function(instances: number, rate: number, engines: number) {
        paced = replayPlaces({ instances, rate, engines });
        spaced = replayPlaces({ instances, rate, engines, createPace: () => new FixedPace() });
    },
);

Then(
    "9 in 10 first tokens come within {float} of the time that digests at fixed spaces give",
    function(share: number) {
        const [own, other] = [findQuantile(paced.firstTokens, 0.9), findQuantile(spaced.firstTokens, 0.9)];
        assert.ok(own <= other * share, `${own} ms beside ${other} ms`);
    },
);

Then("no more than {float} of the first tokens come after {int} ms", function(share: number, most: number) {
    const late = paced.firstTokens.filter(time => time > most).length / paced.firstTokens.length;
    assert.ok(late <= share, `${late} of the first tokens are late`);
});

Then("no more than {float} times as many digests are sent", function(factor: number) {
    assert.ok(paced.digests <= spaced.digests * factor, `${paced.digests} beside ${spaced.digests} digests`);
});

let preempted = { counted: 0, estimated: 0 };

When(
    "{int} generations a second are placed, with outputs counted as they grow and without",
    function(rate: number) {
        const countPreemptions = (isOutputCounted: boolean): number =>
            [1, 2, 3, 4]
                .map(seed => replayPlaces({ seed, rate, isOutputCounted }).preemptions)
                .reduce((sum, count) => sum + count, 0);
        preempted = { counted: countPreemptions(true), estimated: countPreemptions(false) };
    },
);

Then("fewer runs are preempted where they are counted", function() {
    assert.ok(preempted.counted < preempted.estimated, JSON.stringify(preempted));
});

let counted = { tokens: 0, digests: 0 };

When(
    "a request of {int} tokens with an estimate of {int} has made {int} tokens",
    function(promptTokens: number, outputTokens: number, made: number) {
        const ledger = new LoadTracker();
        const hold = ledger.addRequest("engine", { promptTokens, outputTokens });
        let digests = 0;
        ledger.onEngineLoadChange = () => void (digests += 1);
        hold.recordOutput(made);
        counted = { tokens: ledger.getDigest().engine?.[1] ?? 0, digests };
    },
);

Then(
    "its engine counts at least {int} tokens and peers are told with the next digest",
    function(least: number) {
        assert.ok(counted.tokens >= least, `${counted.tokens} tokens are counted`);
        assert.equal(counted.digests, 0);
    },
);

let summed: { ledger: LoadTracker; latest: Map<string, { work: LoadDigest; receivedAt: number; }>; } | undefined;
/** Time of the last look at the counts, and lifetime of a digest, in milliseconds. */
const COUNTED_AT = 20_000;
const DIGEST_LIFETIME = 6000;

When(
    "{int} peers send {int} digests of {int} engines, some are lost and some go silent",
    function(peers: number, digests: number, engines: number) {
        const random = createRandom(11);
        const pick = (most: number): number => Math.floor(random() * most);
        const ledger = new LoadTracker();
        const latest = new Map<string, { work: LoadDigest; receivedAt: number; }>();
        for (let index = 0; index < digests; index += 1) {
            const peer = `peer-${pick(peers)}`;
            const receivedAt = index * COUNTED_AT / digests;
            const targets = Array.from({ length: pick(4) }, () => `engine-${pick(engines)}`);
            const work = Object.fromEntries(
                targets.map(target => [target, [1 + pick(5), pick(9000), pick(3000)] as LoadDigest[string]]),
            );
            ledger.applyDigest(peer, { work, receivedAt });
            latest.set(peer, { work, receivedAt });
            ledger.computeTotalLoad("engine-0", receivedAt);
            if (random() < 0.1) {
                ledger.dropPeer(peer);
                latest.delete(peer);
            }
        }
        summed = { ledger, latest };
    },
);

Then("each engine counts the sum of the digests that still hold", function() {
    assert.ok(summed !== undefined);
    const holding = [...summed.latest.values()].filter(digest => COUNTED_AT - digest.receivedAt <= DIGEST_LIFETIME);
    for (let index = 0; index < 40; index += 1) {
        const target = `engine-${index}`;
        const sum = [0, 1, 2].map(field =>
            holding.reduce((total, { work }) => total + (work[target]?.[field] ?? 0), 0)
        );
        const counts: TargetLoad = summed.ledger.computeTotalLoad(target, COUNTED_AT);
        assert.deepEqual([counts.requests, counts.tokens, counts.waitingPromptTokens], sum, target);
    }
});

/** Chooses the zone that a run of zone-a is copied to while that zone's engine is fuller than the other's by `share`. */
function chooseCopyZone(share: number): string | undefined {
    const candidates = ["zone-a", "zone-b"].map(zone => ({
        target: createTarget(zone, { zone }),
        held: { requests: 0, tokens: zone === "zone-a" ? share * ENGINE.memoryTokens : 0, waitingPromptTokens: 0 },
        penalty: 0,
        isLimited: false,
    }));
    const result = chooseLeastLoadedTarget(candidates, {
        item: { promptTokens: 0, outputTokens: 2000 },
        engine: ENGINE,
        zone: "zone-a",
        isCopy: true,
        instances: 7,
        avoid: new Set(),
        random: () => 0,
    });
    return result.kind === "placed" ? result.target.zone : undefined;
}

When("a run is copied from {string} with engines of 2 zones", function(_zone: string) {
    // The choices below are made on their own.
});

Then(
    "it goes to {string} while that engine is fuller by {float}, and to {string} by {float}",
    function(near: string, less: number, far: string, more: number) {
        assert.equal(chooseCopyZone(less), near);
        assert.equal(chooseCopyZone(more), far);
    },
);

let placed = new Map<string, number>();

When(
    "{int} instances place {int} plain requests on {int} targets with digests that are {int} second old",
    function(instanceCount: number, requestCount: number, targetCount: number, age: number) {
        const random = createRandom(5);
        placed = new Map();
        const targets = Array.from({ length: targetCount }, (_, index) => createTarget(`t-${index}`, { slots: 6 }));
        const ledgers = Array.from({ length: instanceCount }, () => new LoadTracker());
        const work: { end: number; release: () => void; }[] = [];
        let sharedAt = Number.NEGATIVE_INFINITY;
        for (let index = 0; index < requestCount; index += 1) {
            const now = index * 11;
            work.filter(({ end }) => end <= now).forEach(({ release }) => release());
            if (now - sharedAt >= age * 1000) {
                sharedAt = now;
                const digests = ledgers.map(ledger => ledger.getDigest());
                ledgers.forEach(ledger =>
                    digests.forEach((digest, peer) => ledger.applyDigest(`${peer}`, { work: digest, receivedAt: now }))
                );
            }
            const ledger = ledgers[Math.floor(random() * instanceCount)] ?? new LoadTracker();
            const candidates = targets.map(target => ({
                target,
                held: ledger.computeTotalLoad(target.id, now),
                penalty: 0,
                isLimited: false,
            }));
            const item = { promptTokens: 0, outputTokens: 0 };
            const question = {
                item,
                engine: undefined,
                zone: "zone-a",
                instances: instanceCount,
                avoid: new Set<string>(),
            };
            const result = chooseLeastLoadedTarget(candidates, { ...question, random });
            if (result.kind === "placed") {
                const { id } = result.target;
                placed.set(id, (placed.get(id) ?? 0) + 1);
                work.push({ end: now + 60, release: ledger.addRequest(id, item).release });
            }
        }
    },
);

Then("no target gets more than a third of them", function() {
    assert.ok(Math.max(...placed.values()) <= 200, JSON.stringify([...placed]));
});

let drawn = new Map<string, number>();
const health = { current: new TargetHealth() };

function runPlainLoad(options: { from: number; count: number; failing: string; }): Map<string, number> {
    const random = createRandom(3);
    const targets = ["a", "b", "c"].map(id => createTarget(id, { service: "ledger", slots: 6 }));
    const counts = new Map<string, number>();
    const busyUntil = new Map<string, number[]>();
    for (let index = 0; index < options.count; index += 1) {
        const now = options.from + index * 10;
        const candidates = targets.map(target => {
            const busy = (busyUntil.get(target.id) ?? []).filter(until => until > now);
            busyUntil.set(target.id, busy);
            const held = { requests: busy.length, tokens: 0, waitingPromptTokens: 0 };
            return { target, held, penalty: health.current.computePenalty(target.id, now), isLimited: false };
        });
        const result = chooseLeastLoadedTarget(candidates, {
            item: { promptTokens: 0, outputTokens: 0 },
            engine: undefined,
            zone: "zone-a",
            instances: 1,
            avoid: new Set(),
            random,
        });
        const id = result.kind === "placed" ? result.target.id : "none";
        counts.set(id, (counts.get(id) ?? 0) + 1);
        if (id === options.failing) {
            health.current.recordFailure(id, { now });
        }
        else {
            health.current.recordSuccess(id, now);
            busyUntil.get(id)?.push(now + 85);
        }
    }
    return counts;
}

When("one of 3 targets fails at once for {int} requests", function(count: number) {
    health.current = new TargetHealth();
    drawn = runPlainLoad({ from: 0, count, failing: "b" });
});

Then("it gets less than a sixth of them", function() {
    assert.ok((drawn.get("b") ?? 0) < 100, JSON.stringify([...drawn]));
});

Then("it gets its share again {int} seconds after it recovered", function(seconds: number) {
    const after = runPlainLoad({ from: 6000 + seconds * 1000, count: 600, failing: "" });
    assert.ok((after.get("b") ?? 0) > 150, JSON.stringify([...after]));
});

const BUDGET = { ratio: 0.2, windowMilliseconds: 10_000, slack: 56 };
let repeats: number[] = [];
const INTERVAL = 40;

When("{int} instances see every request fail for {int} seconds", function(instances: number, seconds: number) {
    repeats = [];
    const shares = Array.from({ length: instances }, () => new RetryBudgetShare(BUDGET));
    for (let now = 0; now < seconds * 1000; now += INTERVAL) {
        for (const share of shares) {
            share.recordRequest(now);
            if (share.takeRetry(now, instances)) {
                repeats.push(now);
            }
        }
    }
});

Then("no window of 10 seconds has more repeats than the budget", function() {
    const requestsInWindow = 8 * BUDGET.windowMilliseconds / INTERVAL;
    for (const start of repeats) {
        const count = repeats.filter(time => time >= start && time < start + BUDGET.windowMilliseconds).length;
        assert.ok(count <= BUDGET.ratio * requestsInWindow + BUDGET.slack, `${count} repeats after ${start} ms`);
    }
    assert.ok(repeats.length > 0);
});

let coldSends: number[] = [];

When("{int} instances place a burst on 1 cold target", function(instances: number) {
    coldSends = [];
    const shares = Array.from({ length: instances }, () => new ColdRateShare({ overage: 1.5, slack: 5 }));
    for (const share of shares) {
        share.markCold("cold", { now: 0, milliseconds: 4000 });
    }
    for (let now = 0; now < 4000; now += 5) {
        for (const [rank, share] of shares.entries()) {
            if (!share.isUsedUp("cold", { now, wallTime: now, ratePerSecond: 26, instances, rank })) {
                share.recordSend("cold", now);
                coldSends.push(now);
            }
        }
    }
});

Then("it gets no more in any second than the common bound", function() {
    for (const start of coldSends) {
        const count = coldSends.filter(time => time >= start && time < start + 1000).length;
        assert.ok(count <= 26 * 1.5 + 5, `${count} in the second after ${start} ms`);
    }
    assert.ok(coldSends.length > 50, `only ${coldSends.length} sent`);
});

let directory = new TargetDirectory();

function listOpenIds(): string[] {
    return directory.listAvailable("engines").map(target => target.id);
}

When("the store returns without half of the targets", function() {
    directory = new TargetDirectory();
    const targets = ["a", "b", "c", "d"].map(id => createTarget(id));
    directory.applySnapshot({ revision: 1, targets }, 0);
    directory.markStoreRecovered(10_000);
    directory.applySnapshot({ revision: 2, targets: targets.slice(0, 2) }, 10_000);
});

Then("they are in use until {int} ms later and not after", function(milliseconds: number) {
    directory.expireMissing(10_000 + milliseconds - 1);
    assert.deepEqual(listOpenIds(), ["a", "b", "c", "d"]);
    directory.expireMissing(10_000 + milliseconds);
    assert.deepEqual(listOpenIds(), ["a", "b"]);
});

When(
    "one target is no longer listed by an event {int} ms after the store was regained",
    function(milliseconds: number) {
        directory = new TargetDirectory();
        directory.applySnapshot({ revision: 1, targets: [createTarget("a"), createTarget("b")] }, 0);
        directory.markStoreRecovered(10_000);
        directory.applyEvents({ revision: 2, changed: [], removed: ["a"] }, 10_000 + milliseconds);
    },
);

When("half of {int} targets are no longer listed", function(count: number) {
    directory = new TargetDirectory();
    const targets = Array.from({ length: count }, (_, index) => createTarget(`target-${index}`));
    directory.applySnapshot({ revision: 1, targets }, 0);
    const removed = targets.slice(count / 2).map(target => target.id);
    directory.applyEvents({ revision: 2, changed: [], removed }, 20_000);
});

Then("they are all in use for {int} ms and gone before {int} ms", function(kept: number, gone: number) {
    directory.expireMissing(20_000 + kept);
    assert.equal(listOpenIds().length, 8);
    directory.expireMissing(20_000 + gone - 1);
    assert.equal(listOpenIds().length, 4);
});

let missing: TargetChange[] = [];

When("{int} of {int} targets are no longer listed by one event", function(gone: number, count: number) {
    directory = new TargetDirectory();
    const targets = Array.from({ length: count }, (_, index) => createTarget(`target-${index}`));
    directory.applySnapshot({ revision: 1, targets }, 0);
    const removed = targets.slice(0, gone).map(target => target.id);
    missing = directory.applyEvents({ revision: 2, changed: [], removed }, 20_000);
});

Then("each of them is told as missing at once, and a quarter is missing", function() {
    assert.deepEqual(missing.map(change => change.kind), ["missing", "missing", "missing"]);
    assert.equal(directory.computeMissingShare("engines"), 0.25);
});

When("a target says that it leaves", function() {
    directory = new TargetDirectory();
    directory.applySnapshot({ revision: 1, targets: [createTarget("a"), createTarget("b")] }, 0);
    const changed = [createTarget("a", { isLeaving: true })];
    const changes = directory.applyEvents({ revision: 2, changed, removed: [] }, 5000);
    assert.deepEqual(changes.map(change => change.kind), ["leaving"]);
});

When("one target is no longer listed", function() {
    directory = new TargetDirectory();
    directory.applySnapshot({ revision: 1, targets: [createTarget("a"), createTarget("b")] }, 0);
    const changes = directory.applyEvents({ revision: 2, changed: [], removed: ["a"] }, 5000);
    assert.deepEqual(changes.map(change => change.kind), ["removed"]);
});

Then("it is not open", function() {
    assert.deepEqual(listOpenIds(), ["b"]);
});

let objective = 0;
let returns: number[] = [];

When("it has an objective of {int} ms", function(milliseconds: number) {
    objective = milliseconds;
});

Then(
    /^it is told to (wait|refuse) with (\d+) waiting and (\d+) freed$/,
    function(kind: string, waiting: string, freed: string) {
        const decision = decideQueueAdmission({
            waiting: Number(waiting),
            freedPerSecond: Number(freed),
            objectiveMilliseconds: objective,
            remainingMilliseconds: 6000,
            random: () => 0.5,
        });
        assert.equal(decision.kind, kind);
    },
);

let isWhole = false;

When("a configuration of {int} routes is told to {int} peers", function(count: number, peers: number) {
    isWhole = isSentInFull({ routes: count, peers });
});

Then(/^it is sent (whole|as version)$/, function(how: string) {
    assert.equal(isWhole, how === "whole");
});

let routes: RouteTable | undefined;

When("a route has the rank {int} and the account's rank is {string}", function(route: number, account: string) {
    routes = new RouteTable({
        version: 1,
        routes: [{
            name: "audit",
            host: "site.example",
            pathPrefix: "/",
            kind: RouteKind.once,
            timeoutMilliseconds: undefined,
            objectiveMilliseconds: 1000,
            priority: route,
            services: [],
            maxAttempts: 1,
            isPublic: false,
            isResumable: false,
            maxGapMilliseconds: undefined,
        }],
        services: [],
        limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
        accounts: [{ name: "night-shift", keys: ["k"], priority: account === "none" ? undefined : Number(account) }],
    });
});

Then("a request of the account has the rank {int}", function(rank: number) {
    const result = routes?.findRoute({ host: "site.example", path: "/1", key: "k" });
    assert.ok(result?.kind === "routed");
    assert.equal(result.priority, rank);
});

When(
    "{int} callers with {int} ms are refused with {int} waiting",
    function(count: number, remaining: number, waiting: number) {
        const random = createRandom(1);
        const decide = (): QueueAdmission =>
            decideQueueAdmission({
                waiting,
                freedPerSecond: 20,
                objectiveMilliseconds: 1000,
                remainingMilliseconds: remaining,
                random,
            });
        returns = Array.from({ length: count }, decide)
            .flatMap(decision => decision.kind === "refuse" ? [decision.retryAfterSeconds] : []);
        assert.equal(returns.length, count);
    },
);

Then("their times to come back differ and none is over {int} seconds", function(seconds: number) {
    assert.ok(Math.max(...returns) <= seconds, `the latest comes back after ${Math.max(...returns)} s`);
    assert.ok(new Set(returns.map(time => time.toFixed(3))).size > returns.length / 4);
});

/** What an engine tells of a silent stream of which 10 events have arrived, by the words of the table. */
const SILENT_ENGINES: Record<string, { isEngineHeard: boolean; waitingRequests: number; engineEvents?: number; }> = {
    "does not answer": { isEngineHeard: false, waitingRequests: 0 },
    "has the request in its queue": { isEngineHeard: true, waitingRequests: 2 },
    "does not know the request": { isEngineHeard: true, waitingRequests: 0 },
    "is as far as what has arrived": { isEngineHeard: true, waitingRequests: 0, engineEvents: 11 },
    "is far ahead of what has arrived": { isEngineHeard: true, waitingRequests: 0, engineEvents: 30 },
};
let silent = SILENT_ENGINES["does not answer"];

When(/^a stream is silent and its engine (.+)$/, function(engine: string) {
    silent = SILENT_ENGINES[engine];
});

Then(/^a stream that (may|may not) repeat is told to (\w+)$/, function(may: string, action: string) {
    assert.ok(silent !== undefined);
    const { engineEvents, ...engine } = silent;
    const question = { ...engine, engineEvents, arrivedEvents: 10, mayRepeat: may === "may", canMove: true };
    assert.equal(decideSilenceAction(question), action);
});

let watching = 0;

When(/^(\d+) instances decide who watches and (.+)$/, function(count: string, situation: string) {
    const names = Array.from({ length: Number(count) }, (_, index) => `instance-${index}`);
    const ranked = new RendezvousHash(names).listByScore("watch-store");
    const isHealthy = !situation.includes("nobody hears of a healthy");
    const lonely = situation === "one hears nobody" ? ranked.at(-1) : undefined;
    const isCut = (a: string, b: string): boolean => situation === "none hears another" || a === lonely || b === lonely;
    watching = names.filter(instance => {
        const peers = names
            .filter(name => name !== instance && !isCut(instance, name))
            .map(name => ({
                instance: name,
                isWatching: isHealthy && ranked.slice(0, 3).includes(name),
                silenceMilliseconds: 200,
            }));
        return isElectedWatcher({ instance, peers });
    }).length;
});

Then("{int} of them watch", function(count: number) {
    assert.equal(watching, count);
});

let cutEvents: string[] = [];
let sentEvents: string[] = [];

When("a stream of {int} events is cut into random pieces", function(count: number) {
    const random = createRandom(11);
    sentEvents = Array.from({ length: count }, (_, index) => `id: ${index + 1}\ndata: é${index}\r\n\n`);
    const bytes = Buffer.from(sentEvents.join(""));
    const splitter = new EventSplitter();
    cutEvents = [];
    for (let at = 0; at < bytes.length;) {
        const end = at + 1 + Math.floor(random() * 9);
        const events = splitter.handleChunk(bytes.subarray(at, end));
        cutEvents.push(...events.map(event => Buffer.from(event.bytes).toString()));
        at = end;
    }
    assert.equal(splitter.getPendingBytes().length, 0);
});

Then("the events come out as they were", function() {
    assert.deepEqual(cutEvents, sentEvents);
});
