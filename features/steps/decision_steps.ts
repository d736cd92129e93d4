/**
 * Steps that check the scheduling decisions of the serving process in virtual time and without I/O.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    chooseLeastLoadedTarget,
    ColdRateShare,
    decideQueueAdmission,
    decideStallAction,
    EventSplitter,
    isSentInFull,
    type LeavingEngine,
    type LoadDigest,
    LoadTracker,
    planMoves,
    type QueueAdmission,
    RecentSends,
    RetryBudgetShare,
    RouteKind,
    RouteTable,
    type TargetChange,
    TargetDirectory,
    TargetHealth,
    type TargetLoad,
} from "../../core/serving/mod.ts";
import { createRandom } from "../../support/fixtures/random.ts";
import { createMoveEngines, type MoveOutcome, simulateMoves } from "../../support/platform/move_simulation.ts";
import {
    FixedIntervalLimiter,
    simulateTargetSelection,
    type TargetSelectionOutcome,
} from "../../support/platform/target_selection_simulation.ts";
import { createTarget } from "../support/serving_target.ts";

const ENGINE_LIMITS = {
    slots: 24,
    memoryTokens: 34_000,
    tokensPerEvent: 4,
    copyMillisecondsPerToken: 0.055,
    canMove: true,
};
const SEED_COUNT = 20;

let plannedOutcomes: MoveOutcome[] = [];
let simultaneousOutcomes: MoveOutcome[] = [];
/** Notice that the plan assumes; the engines of the scenarios shut down slightly later. */
const ANNOUNCED_NOTICE_MILLISECONDS = 1500;
/** Largest number of generations that any order of copies within a zone can save within the announced notice. */
let savableCount = 0;

/**
 * Counts the generations whose copies, one after the other, fit on their engine's link before it shuts down.
 *
 * A copy takes 6 ms in addition to its transfer, and the destination sends its first event 25 ms after the last copy.
 */
function countSavable(source: LeavingEngine, notice: number): number {
    const durations = source.generations.map(generation => generation.tokens * 0.055).sort((a, b) => a - b);
    let finishAt = 25;
    return durations.filter(duration => {
        finishAt += duration + 6;
        return finishAt <= notice;
    }).length;
}

When(
    "{int} engines with {int} generations each get {int} ms of notice",
    function(engineCount: number, generationCount: number, notice: number) {
        plannedOutcomes = [];
        simultaneousOutcomes = [];
        savableCount = 0;
        for (let seed = 0; seed < SEED_COUNT; seed += 1) {
            const { sources, destinations } = createMoveEngines(seed, {
                engines: engineCount,
                generations: generationCount,
            });
            const input = {
                sources,
                destinations,
                millisecondsPerToken: 0.055,
                noticeMilliseconds: ANNOUNCED_NOTICE_MILLISECONDS,
            };
            plannedOutcomes.push(
                ...simulateMoves({ sources, destinations, plan: planMoves(input), noticeMilliseconds: notice }),
            );
            savableCount += sources.reduce(
                (sum, source) => sum + countSavable(source, ANNOUNCED_NOTICE_MILLISECONDS),
                0,
            );
            simultaneousOutcomes.push(
                ...simulateMoves({ sources, destinations, plan: undefined, noticeMilliseconds: notice }),
            );
        }
    },
);

Then(
    "planned moves save at least {float} of the generations that can be saved, and more in time than simultaneous copies",
    function(share: number) {
        const savedShare = plannedOutcomes.filter(outcome => outcome.isMovedInTime).length / savableCount;
        const computeTimelyShare = (outcomes: MoveOutcome[]): number =>
            outcomes.filter(outcome => outcome.isMovedInTime && outcome.pauseMilliseconds <= 180).length
            / outcomes.length;
        assert.ok(savedShare >= share, `saved a share of ${savedShare} of ${savableCount} generations`);
        assert.ok(
            computeTimelyShare(plannedOutcomes) > computeTimelyShare(simultaneousOutcomes),
            `moved in time: a share of ${computeTimelyShare(plannedOutcomes)} with the plan and of ${
                computeTimelyShare(simultaneousOutcomes)
            } without`,
        );
    },
);

Then("9 in 10 pauses of planned moves are under {int} ms", function(limit: number) {
    const pauses = plannedOutcomes.filter(outcome => outcome.isMovedInTime).map(outcome => outcome.pauseMilliseconds)
        .sort((a, b) => a - b);
    const percentile = pauses[Math.floor(pauses.length * 0.9)] ?? Infinity;
    assert.ok(percentile < limit, `9 in 10 pauses are up to ${percentile} ms`);
});

let timelyShares = { allKnown: 0, ownKnown: 0 };

When(
    "{int} engines with {int} generations each leave, {int} others stay, and a different instance plans for each",
    function(engines: number, generations: number, others: number) {
        const computeTimelyShare = (isAllKnown: boolean): number => {
            const outcomes = Array.from({ length: SEED_COUNT }, (_, seed) => {
                const moveEngines = createMoveEngines(seed, { engines, generations, destinationCount: others });
                const plans = moveEngines.sources.map(source =>
                    planMoves({
                        sources: [source],
                        ...isAllKnown ? { leaving: moveEngines.sources } : {},
                        destinations: moveEngines.destinations,
                        millisecondsPerToken: 0.055,
                        noticeMilliseconds: ANNOUNCED_NOTICE_MILLISECONDS,
                    })
                );
                const plan = new Map(plans.flatMap(enginePlan => [...enginePlan]));
                return simulateMoves({ ...moveEngines, plan, noticeMilliseconds: 1700 });
            }).flat();
            return outcomes.filter(({ isMovedInTime, pauseMilliseconds }) => isMovedInTime && pauseMilliseconds <= 180)
                .length / outcomes.length;
        };
        timelyShares = { allKnown: computeTimelyShare(true), ownKnown: computeTimelyShare(false) };
    },
);

Then(
    "9 in 10 generations move in time if the planners know all leaving engines, and fewer if they do not",
    function() {
        assert.ok(timelyShares.allKnown >= 0.9 && timelyShares.ownKnown < 0.9, JSON.stringify(timelyShares));
    },
);

/** Tokens on the fullest engine after a burst, by placement policy; a fuller engine preempts more generations. */
let peakTokens: Record<"memory" | "requests", number> = { memory: 0, requests: 0 };

When("{int} generations arrive at once for {int} engines", function(count: number, engines: number) {
    peakTokens = { memory: 0, requests: 0 };
    for (const policy of ["memory", "requests"] as const) {
        const random = createRandom(7);
        const tracker = new LoadTracker();
        const targets = Array.from({ length: engines }, (_, index) => createTarget(`engine-${index}`));
        for (let index = 0; index < count; index += 1) {
            const request = {
                promptTokens: 500 + Math.floor(random() * 5500),
                outputTokens: Math.floor(random() * 2000),
            };
            const candidates = targets.map(target => ({
                target,
                load: tracker.computeTotalLoad(target.id, 0),
                penalty: 0,
                isLimited: false,
            }));
            const fewestRequestsTarget = [...candidates].sort((a, b) => a.load.requests - b.load.requests)[0]?.target;
            const input = {
                requestLoad: request,
                engine: ENGINE_LIMITS,
                zone: "zone-a",
                instances: 1,
                avoid: new Set<string>(),
                random,
            };
            const chosen = chooseLeastLoadedTarget(candidates, input);
            const target = policy === "requests"
                ? fewestRequestsTarget
                : chosen.kind === "placed"
                ? chosen.target
                : undefined;
            tracker.addRequest(target?.id ?? "", request);
        }
        peakTokens[policy] = Math.max(...targets.map(target => tracker.computeTotalLoad(target.id, 0).tokens));
    }
});

Then("the fullest engine holds fewer tokens with placement by memory use than by number of requests", function() {
    assert.ok(peakTokens.memory < peakTokens.requests, JSON.stringify(peakTokens));
});

let limiterOutcome: TargetSelectionOutcome = { firstTokenMilliseconds: [], preemptions: 0, digests: 0 };
let fixedIntervalOutcome: TargetSelectionOutcome = { firstTokenMilliseconds: [], preemptions: 0, digests: 0 };

function findQuantile(values: readonly number[], share: number): number {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length * share)] ?? Infinity;
}

When(
    "{int} instances place {int} generations a second on {int} engines",
    function(instances: number, rate: number, engines: number) {
        limiterOutcome = simulateTargetSelection({ instances, generationsPerSecond: rate, engines });
        fixedIntervalOutcome = simulateTargetSelection({
            instances,
            generationsPerSecond: rate,
            engines,
            createRateLimiter: () => new FixedIntervalLimiter(),
        });
    },
);

Then(
    "9 in 10 first tokens arrive within {float} of the time that digests at fixed intervals give",
    function(share: number) {
        const [limiterTime, fixedIntervalTime] = [
            findQuantile(limiterOutcome.firstTokenMilliseconds, 0.9),
            findQuantile(fixedIntervalOutcome.firstTokenMilliseconds, 0.9),
        ];
        assert.ok(
            limiterTime <= fixedIntervalTime * share,
            `9 in 10 first tokens arrive within ${limiterTime} ms, and within ${fixedIntervalTime} ms with fixed intervals`,
        );
    },
);

Then("no more than {float} of the first tokens arrive after {int} ms", function(share: number, limit: number) {
    const lateShare = limiterOutcome.firstTokenMilliseconds.filter(time => time > limit).length
        / limiterOutcome.firstTokenMilliseconds.length;
    assert.ok(lateShare <= share, `a share of ${lateShare} of the first tokens arrives too late`);
});

Then("no more than {float} times as many digests are sent as at fixed intervals", function(factor: number) {
    assert.ok(
        limiterOutcome.digests <= fixedIntervalOutcome.digests * factor,
        `${limiterOutcome.digests} digests were sent, and ${fixedIntervalOutcome.digests} with fixed intervals`,
    );
});

let preemptionCounts = { withCounting: 0, withoutCounting: 0 };

When(
    "{int} generations a second are placed, with and without counting output tokens as they arrive",
    function(rate: number) {
        const countPreemptions = (isOutputTracked: boolean): number =>
            [1, 2, 3, 4]
                .map(seed =>
                    simulateTargetSelection({ seed, generationsPerSecond: rate, isOutputTracked })
                        .preemptions
                )
                .reduce((sum, count) => sum + count, 0);
        preemptionCounts = { withCounting: countPreemptions(true), withoutCounting: countPreemptions(false) };
    },
);

Then("fewer generations are preempted if output tokens are counted", function() {
    assert.ok(preemptionCounts.withCounting < preemptionCounts.withoutCounting, JSON.stringify(preemptionCounts));
});

let loadAfterOutput = { tokens: 0, loadChanges: 0 };

When(
    "a request with {int} prompt tokens and an estimate of {int} output tokens has generated {int} tokens",
    function(promptTokens: number, outputTokens: number, generatedTokens: number) {
        const tracker = new LoadTracker();
        const reservation = tracker.addRequest("engine", { promptTokens, outputTokens });
        let loadChanges = 0;
        tracker.onEngineLoadChange = () => void (loadChanges += 1);
        reservation.recordOutput(generatedTokens);
        loadAfterOutput = { tokens: tracker.getDigest().engine?.[1] ?? 0, loadChanges };
    },
);

Then(
    "the load of its engine is at least {int} tokens, and peers learn it from the next regular digest",
    function(minimum: number) {
        assert.ok(loadAfterOutput.tokens >= minimum, `the load of the engine is ${loadAfterOutput.tokens} tokens`);
        assert.equal(loadAfterOutput.loadChanges, 0);
    },
);

let digestReplay:
    | { tracker: LoadTracker; latestDigests: Map<string, { work: LoadDigest; receivedAt: number; }>; }
    | undefined;
/** Time at which the loads are read, when the last digest has just arrived. */
const READ_AT_MILLISECONDS = 20_000;
/** Age at which the load tracker no longer counts a digest. */
const DIGEST_LIFETIME_MILLISECONDS = 6000;

When(
    "{int} peers send {int} digests of {int} engines, and some peers are lost or stop sending",
    function(peers: number, digests: number, engines: number) {
        const random = createRandom(11);
        const pickInteger = (limit: number): number => Math.floor(random() * limit);
        const tracker = new LoadTracker();
        const latestDigests = new Map<string, { work: LoadDigest; receivedAt: number; }>();
        for (let index = 0; index < digests; index += 1) {
            const peer = `peer-${pickInteger(peers)}`;
            const receivedAt = index * READ_AT_MILLISECONDS / digests;
            const targets = Array.from({ length: pickInteger(4) }, () => `engine-${pickInteger(engines)}`);
            const work = Object.fromEntries(
                targets.map(
                    target => [
                        target,
                        [1 + pickInteger(5), pickInteger(9000), pickInteger(3000)] as LoadDigest[string],
                    ],
                ),
            );
            tracker.applyDigest(peer, { work, receivedAt });
            latestDigests.set(peer, { work, receivedAt });
            tracker.computeTotalLoad("engine-0", receivedAt);
            if (random() < 0.1) {
                tracker.removePeer(peer);
                latestDigests.delete(peer);
            }
        }
        digestReplay = { tracker, latestDigests };
    },
);

Then("the load of each engine is the sum of the digests that have not expired", function() {
    assert.ok(digestReplay !== undefined);
    const validDigests = [...digestReplay.latestDigests.values()].filter(digest =>
        READ_AT_MILLISECONDS - digest.receivedAt <= DIGEST_LIFETIME_MILLISECONDS
    );
    for (let index = 0; index < 40; index += 1) {
        const target = `engine-${index}`;
        const sum = [0, 1, 2].map(field =>
            validDigests.reduce((total, { work }) => total + (work[target]?.[field] ?? 0), 0)
        );
        const load: TargetLoad = digestReplay.tracker.computeTotalLoad(target, READ_AT_MILLISECONDS);
        assert.deepEqual([load.requests, load.tokens, load.waitingPromptTokens], sum, target);
    }
});

/**
 * Chooses the zone to which a generation in zone-a is copied if the engine there is fuller than that of zone-b by the
 * share `share` of its memory.
 */
function chooseCopyZone(share: number): string | undefined {
    const candidates = ["zone-a", "zone-b"].map(zone => ({
        target: createTarget(zone, { zone }),
        load: {
            requests: 0,
            tokens: zone === "zone-a" ? share * ENGINE_LIMITS.memoryTokens : 0,
            waitingPromptTokens: 0,
        },
        penalty: 0,
        isLimited: false,
    }));
    const result = chooseLeastLoadedTarget(candidates, {
        requestLoad: { promptTokens: 0, outputTokens: 2000 },
        engine: ENGINE_LIMITS,
        zone: "zone-a",
        isCopy: true,
        instances: 7,
        avoid: new Set(),
        random: () => 0,
    });
    return result.kind === "placed" ? result.target.zone : undefined;
}

When("a generation is copied from {string} and there are engines in 2 zones", function(_zone: string) {
    // Each choice of the next step has its own load, so that step creates the candidates and chooses.
});

Then(
    "it is copied to {string} if the engine there is fuller by {float}, and to {string} if it is fuller by {float}",
    function(nearZone: string, smallerDifference: number, farZone: string, largerDifference: number) {
        assert.equal(chooseCopyZone(smallerDifference), nearZone);
        assert.equal(chooseCopyZone(largerDifference), farZone);
    },
);

let placedCounts = new Map<string, number>();

When(
    "{int} instances place {int} plain requests on {int} targets with digests that are up to {int} second old",
    function(instanceCount: number, requestCount: number, targetCount: number, digestAgeSeconds: number) {
        const random = createRandom(5);
        placedCounts = new Map();
        const targets = Array.from({ length: targetCount }, (_, index) => createTarget(`t-${index}`, { slots: 6 }));
        const trackers = Array.from({ length: instanceCount }, () => new LoadTracker());
        const activeRequests: { end: number; release: () => void; }[] = [];
        let digestsSentAt = Number.NEGATIVE_INFINITY;
        for (let index = 0; index < requestCount; index += 1) {
            const now = index * 11;
            activeRequests.filter(({ end }) => end <= now).forEach(({ release }) => release());
            if (now - digestsSentAt >= digestAgeSeconds * 1000) {
                digestsSentAt = now;
                const digests = trackers.map(tracker => tracker.getDigest());
                trackers.forEach(tracker =>
                    digests.forEach((digest, peer) => tracker.applyDigest(`${peer}`, { work: digest, receivedAt: now }))
                );
            }
            const tracker = trackers[Math.floor(random() * instanceCount)] ?? new LoadTracker();
            const candidates = targets.map(target => ({
                target,
                load: tracker.computeTotalLoad(target.id, now),
                penalty: 0,
                isLimited: false,
            }));
            const request = { promptTokens: 0, outputTokens: 0 };
            const input = {
                requestLoad: request,
                engine: undefined,
                zone: "zone-a",
                instances: instanceCount,
                avoid: new Set<string>(),
            };
            const result = chooseLeastLoadedTarget(candidates, { ...input, random });
            if (result.kind === "placed") {
                const { id } = result.target;
                placedCounts.set(id, (placedCounts.get(id) ?? 0) + 1);
                activeRequests.push({ end: now + 60, release: tracker.addRequest(id, request).release });
            }
        }
    },
);

Then("no target gets more than a third of the requests", function() {
    assert.ok(Math.max(...placedCounts.values()) <= 200, JSON.stringify([...placedCounts]));
});

let attractedCounts = new Map<string, number>();
const health = { current: new TargetHealth() };

/**
 * Places plain requests on three targets and counts them by target.
 *
 * The target `failingTarget` fails without delay, and the others are busy with each request for 85 ms.
 */
function runPlainLoad(options: { from: number; count: number; failingTarget: string; }): Map<string, number> {
    const random = createRandom(3);
    const targets = ["a", "b", "c"].map(id => createTarget(id, { service: "ledger", slots: 6 }));
    const counts = new Map<string, number>();
    const busyUntil = new Map<string, number[]>();
    for (let index = 0; index < options.count; index += 1) {
        const now = options.from + index * 10;
        const candidates = targets.map(target => {
            const busy = (busyUntil.get(target.id) ?? []).filter(until => until > now);
            busyUntil.set(target.id, busy);
            const load = { requests: busy.length, tokens: 0, waitingPromptTokens: 0 };
            return { target, load, penalty: health.current.computePenalty(target.id, now), isLimited: false };
        });
        const result = chooseLeastLoadedTarget(candidates, {
            requestLoad: { promptTokens: 0, outputTokens: 0 },
            engine: undefined,
            zone: "zone-a",
            instances: 1,
            avoid: new Set(),
            random,
        });
        const id = result.kind === "placed" ? result.target.id : "none";
        counts.set(id, (counts.get(id) ?? 0) + 1);
        if (id === options.failingTarget) {
            health.current.recordFailure(id, { now });
        }
        else {
            health.current.recordSuccess(id, now);
            busyUntil.get(id)?.push(now + 85);
        }
    }
    return counts;
}

When("one of 3 targets fails without delay during {int} requests", function(count: number) {
    health.current = new TargetHealth();
    attractedCounts = runPlainLoad({ from: 0, count, failingTarget: "b" });
});

Then("the failing target gets less than a sixth of the requests", function() {
    assert.ok((attractedCounts.get("b") ?? 0) < 100, JSON.stringify([...attractedCounts]));
});

Then("it gets its share of the requests again {int} seconds after its recovery", function(seconds: number) {
    const countsAfterRecovery = runPlainLoad({ from: 6000 + seconds * 1000, count: 600, failingTarget: "" });
    assert.ok((countsAfterRecovery.get("b") ?? 0) > 150, JSON.stringify([...countsAfterRecovery]));
});

const RETRY_BUDGET = { ratio: 0.2, windowMilliseconds: 10_000, slack: 56 };
let retryTimes: number[] = [];
const REQUEST_INTERVAL_MILLISECONDS = 40;

When("all requests of {int} instances fail for {int} seconds", function(instances: number, seconds: number) {
    retryTimes = [];
    const shares = Array.from({ length: instances }, () => new RetryBudgetShare(RETRY_BUDGET));
    for (let now = 0; now < seconds * 1000; now += REQUEST_INTERVAL_MILLISECONDS) {
        for (const share of shares) {
            share.recordRequest(now);
            if (share.takeRetry(now, instances)) {
                retryTimes.push(now);
            }
        }
    }
});

Then("no window of 10 seconds has more retries than the budget", function() {
    const requestsInWindow = 8 * RETRY_BUDGET.windowMilliseconds / REQUEST_INTERVAL_MILLISECONDS;
    for (const start of retryTimes) {
        const count = retryTimes.filter(time => time >= start && time < start + RETRY_BUDGET.windowMilliseconds).length;
        assert.ok(
            count <= RETRY_BUDGET.ratio * requestsInWindow + RETRY_BUDGET.slack,
            `${count} retries in the window that starts at ${start} ms`,
        );
    }
    assert.ok(retryTimes.length > 0);
});

let retryShare = new RetryBudgetShare(RETRY_BUDGET);
let lastRequestAt = 0;

function recordRequests(count: number, intervalMilliseconds: number): void {
    for (let index = 0; index < count; index += 1) {
        lastRequestAt += intervalMilliseconds;
        retryShare.recordRequest(lastRequestAt);
    }
}

When("a service has served {int} requests in {int} hours without a retry", function(count: number, hours: number) {
    retryShare = new RetryBudgetShare(RETRY_BUDGET);
    lastRequestAt = 0;
    recordRequests(count, hours * 3_600_000 / count);
});

Then("its next retry is decided within {int} ms", function(milliseconds: number) {
    const startedAt = performance.now();
    assert.ok(retryShare.takeRetry(lastRequestAt, 1));
    const elapsed = performance.now() - startedAt;
    assert.ok(elapsed <= milliseconds, `it took ${Math.round(elapsed)} ms`);
});

Then("a million further requests take at most {int} MB", function(megabytes: number) {
    const usedBefore = process.memoryUsage().heapUsed;
    recordRequests(1_000_000, 100);
    const used = (process.memoryUsage().heapUsed - usedBefore) / 2 ** 20;
    assert.ok(used <= megabytes, `they take ${Math.round(used)} MB`);
});

let coldSendTimes: number[] = [];

When("{int} instances send a burst of requests to 1 cold target", function(instances: number) {
    coldSendTimes = [];
    const fleet = Array.from({ length: instances }, () => {
        const sends = new RecentSends();
        const share = new ColdRateShare({ overage: 1.5, slack: 5 }, sends);
        share.markCold("cold", { now: 0, milliseconds: 4000 });
        return { share, sends };
    });
    for (let now = 0; now < 4000; now += 5) {
        for (const [rank, { share, sends }] of fleet.entries()) {
            if (!share.isUsedUp("cold", { now, wallTime: now, ratePerSecond: 26, instances, rank })) {
                sends.recordSend("cold", now);
                coldSendTimes.push(now);
            }
        }
    }
});

Then("the target gets no more requests in any second than the shared limit", function() {
    for (const start of coldSendTimes) {
        const count = coldSendTimes.filter(time => time >= start && time < start + 1000).length;
        assert.ok(count <= 26 * 1.5 + 5, `${count} requests in the second that starts at ${start} ms`);
    }
    assert.ok(coldSendTimes.length > 50, `only ${coldSendTimes.length} requests were sent`);
});

let directory = new TargetDirectory();

function listAvailableIds(): string[] {
    return directory.listAvailable("engines").map(target => target.id);
}

When("the store recovers without the entries of half of the targets", function() {
    directory = new TargetDirectory();
    const targets = ["a", "b", "c", "d"].map(id => createTarget(id));
    directory.applySnapshot({ revision: 1, targets }, 0);
    directory.markStoreRecovered(10_000);
    directory.applySnapshot({ revision: 2, targets: targets.slice(0, 2) }, 10_000);
});

Then(
    "all targets are available until {int} ms after the recovery, and then only the listed ones",
    function(milliseconds: number) {
        directory.expireMissing(10_000 + milliseconds - 1);
        assert.deepEqual(listAvailableIds(), ["a", "b", "c", "d"]);
        directory.expireMissing(10_000 + milliseconds);
        assert.deepEqual(listAvailableIds(), ["a", "b"]);
    },
);

When(
    "an event removes one target {int} ms after the store's recovery",
    function(milliseconds: number) {
        directory = new TargetDirectory();
        directory.applySnapshot({ revision: 1, targets: [createTarget("a"), createTarget("b")] }, 0);
        directory.markStoreRecovered(10_000);
        directory.applyEvents({ revision: 2, changed: [], removed: ["a"] }, 10_000 + milliseconds);
    },
);

When("one event removes half of {int} targets without notice", function(count: number) {
    directory = new TargetDirectory();
    const targets = Array.from({ length: count }, (_, index) => createTarget(`target-${index}`));
    directory.applySnapshot({ revision: 1, targets }, 0);
    const removed = targets.slice(count / 2).map(target => target.id);
    directory.applyEvents({ revision: 2, changed: [], removed }, 20_000);
});

Then(
    "all targets are available for {int} ms, and the removed ones for less than {int} ms",
    function(availableMilliseconds: number, removedMilliseconds: number) {
        directory.expireMissing(20_000 + availableMilliseconds);
        assert.equal(listAvailableIds().length, 8);
        directory.expireMissing(20_000 + removedMilliseconds - 1);
        assert.equal(listAvailableIds().length, 4);
    },
);

let removalChanges: TargetChange[] = [];

When("one event removes {int} of {int} targets without notice", function(removedCount: number, count: number) {
    directory = new TargetDirectory();
    const targets = Array.from({ length: count }, (_, index) => createTarget(`target-${index}`));
    directory.applySnapshot({ revision: 1, targets }, 0);
    const removed = targets.slice(0, removedCount).map(target => target.id);
    removalChanges = directory.applyEvents({ revision: 2, changed: [], removed }, 20_000);
});

Then("each removed target is reported as missing at once, and a quarter of the targets is missing", function() {
    assert.deepEqual(removalChanges.map(change => change.kind), ["missing", "missing", "missing"]);
    assert.equal(directory.computeMissingShare("engines"), 0.25);
});

When("a target announces its shutdown", function() {
    directory = new TargetDirectory();
    directory.applySnapshot({ revision: 1, targets: [createTarget("a"), createTarget("b")] }, 0);
    const changed = [createTarget("a", { isLeaving: true })];
    const changes = directory.applyEvents({ revision: 2, changed, removed: [] }, 5000);
    assert.deepEqual(changes.map(change => change.kind), ["leaving"]);
});

When("an event removes one target without notice", function() {
    directory = new TargetDirectory();
    directory.applySnapshot({ revision: 1, targets: [createTarget("a"), createTarget("b")] }, 0);
    const changes = directory.applyEvents({ revision: 2, changed: [], removed: ["a"] }, 5000);
    assert.deepEqual(changes.map(change => change.kind), ["removed"]);
});

Then("only the other target is available", function() {
    assert.deepEqual(listAvailableIds(), ["b"]);
});

let latencyObjective = 0;
let retryDelays: number[] = [];

When("a request has a latency objective of {int} ms", function(milliseconds: number) {
    latencyObjective = milliseconds;
});

Then(
    /^the decision is to (wait|refuse) with (\d+) queued and (\d+) finished a second$/,
    function(expectedKind: string, queued: string, finished: string) {
        const decision = decideQueueAdmission({
            closure: undefined,
            waiting: Number(queued),
            freedPerSecond: Number(finished),
            objectiveMilliseconds: latencyObjective,
            remainingMilliseconds: 6000,
            random: () => 0.5,
        });
        assert.equal(decision.kind, expectedKind);
    },
);

let isFullConfigurationSent = false;

When("an instance announces a configuration of {int} routes to {int} peers", function(count: number, peers: number) {
    isFullConfigurationSent = isSentInFull({ routes: count, peers });
});

Then(/^the configuration is sent (whole|as version)$/, function(form: string) {
    assert.equal(isFullConfigurationSent, form === "whole");
});

let routeTable: RouteTable | undefined;

When(
    "a route has the priority {int} and the account has the priority {string}",
    function(routePriority: number, accountPriority: string) {
        routeTable = new RouteTable({
            version: 1,
            routes: [{
                name: "audit",
                host: "site.example",
                pathPrefix: "/",
                kind: RouteKind.once,
                timeoutMilliseconds: undefined,
                objectiveMilliseconds: 1000,
                priority: routePriority,
                services: [],
                maxAttempts: 1,
                isPublic: false,
                isResumable: false,
                maxGapMilliseconds: undefined,
            }],
            services: [],
            limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
            accounts: [{
                name: "night-shift",
                keys: ["k"],
                priority: accountPriority === "none" ? undefined : Number(accountPriority),
            }],
        });
    },
);

Then("a request of the account gets the priority {int}", function(priority: number) {
    const result = routeTable?.findRoute({ host: "site.example", path: "/1", key: "k" });
    assert.ok(result?.kind === "routed");
    assert.equal(result.priority, priority);
});

When(
    "{int} callers with {int} ms left are refused while {int} requests are queued",
    function(count: number, remaining: number, waiting: number) {
        const random = createRandom(1);
        const decide = (): QueueAdmission =>
            decideQueueAdmission({
                closure: undefined,
                waiting,
                freedPerSecond: 20,
                objectiveMilliseconds: 1000,
                remainingMilliseconds: remaining,
                random,
            });
        retryDelays = Array.from({ length: count }, decide)
            .flatMap(decision => decision.kind === "refuse" ? [decision.retryAfterSeconds] : []);
        assert.equal(retryDelays.length, count);
    },
);

Then("their retry times differ and none is over {int} seconds", function(seconds: number) {
    assert.ok(Math.max(...retryDelays) <= seconds, `the latest retry is after ${Math.max(...retryDelays)} s`);
    assert.ok(new Set(retryDelays.map(time => time.toFixed(3))).size > retryDelays.length / 4);
});

/** State of an engine, by its name in the feature file, for a silent stream of which 10 events have arrived. */
const ENGINE_STATES: Record<string, { hasEngineReport: boolean; waitingRequests: number; engineEvents?: number; }> = {
    "does not respond": { hasEngineReport: false, waitingRequests: 0 },
    "has the request in its queue": { hasEngineReport: true, waitingRequests: 2 },
    "does not know the request": { hasEngineReport: true, waitingRequests: 0 },
    "has generated about as much as has arrived": { hasEngineReport: true, waitingRequests: 0, engineEvents: 11 },
    "has generated far more than has arrived": { hasEngineReport: true, waitingRequests: 0, engineEvents: 30 },
};
let engineState = ENGINE_STATES["does not respond"];

When(/^a stream is silent and its engine (.+)$/, function(engine: string) {
    engineState = ENGINE_STATES[engine];
});

Then(/^a stream that (may|may not) be retried gets the action (\w+)$/, function(permission: string, action: string) {
    assert.ok(engineState !== undefined);
    const { engineEvents, ...engine } = engineState;
    const state = { ...engine, engineEvents, arrivedEvents: 10, mayRetry: permission === "may", canMove: true };
    assert.equal(decideStallAction(state), action);
});

let listedDirectory = new TargetDirectory();

When("a target changes only its address, and the store is listed", function() {
    listedDirectory = new TargetDirectory();
    listedDirectory.applySnapshot({ era: 1, revision: 10, targets: [createTarget("one")] }, 0);
    listedDirectory.applySnapshot({ era: 1, revision: 20, targets: [createTarget("one")] }, 100);
    assert.equal(listedDirectory.changeRevision, 10);
    const changed = createTarget("one", { address: "127.0.0.1:2" });
    listedDirectory.applySnapshot({ era: 1, revision: 30, targets: [changed] }, 200);
});

Then("the revision of the latest change is that of the list", function() {
    assert.equal(listedDirectory.changeRevision, 30);
});

let splitEvents: string[] = [];
let sentEvents: string[] = [];

When("a stream of {int} events arrives in random chunks", function(count: number) {
    const random = createRandom(11);
    sentEvents = Array.from({ length: count }, (_, index) => `id: ${index + 1}\ndata: é${index}\r\n\n`);
    const bytes = Buffer.from(sentEvents.join(""));
    const splitter = new EventSplitter();
    splitEvents = [];
    for (let offset = 0; offset < bytes.length;) {
        const end = offset + 1 + Math.floor(random() * 9);
        const events = splitter.handleChunk(bytes.subarray(offset, end));
        splitEvents.push(...events.map(event => Buffer.from(event.bytes).toString()));
        offset = end;
    }
    assert.equal(splitter.getPendingBytes().length, 0);
});

Then("the chunks are split into the events that were sent", function() {
    assert.deepEqual(splitEvents, sentEvents);
});
