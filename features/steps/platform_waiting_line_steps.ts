/**
 * Steps that check in which order waiting requests are served, and which are refused.
 *
 * @module
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    type LineEntry,
    RefusedCallers,
    RoomEstimate,
    ServiceAdmission,
    type ServingTarget,
    WaitingLine,
} from "../../core/serving/mod.ts";
import { waitMilliseconds } from "../../network/mod.ts";
import { type DigestMessage, parsePeerMessage } from "../../serving/peer_messages.ts";
import { RequestScheduler, type Reservation, type ReservationRequest } from "../../serving/request_scheduler.ts";
import { ServingState } from "../../serving/serving_state.ts";
import { buildIdleMetrics } from "../../support/platform/idle_metrics.ts";
import {
    simulateWaitingLines,
    type WaitingLineOutcome,
    type WaitingLineSimulationOptions,
} from "../../support/platform/waiting_line_simulation.ts";
import { DecisionLog, systemClock } from "../../telemetry/mod.ts";

/** Outcomes of the scenario's simulations with the present and the former decision, one for each seed. */
let outcomes: WaitingLineOutcome[] = [];
let formerOutcomes: WaitingLineOutcome[] = [];

function runSimulations(options: WaitingLineSimulationOptions, seeds = [1, 2]): void {
    outcomes = seeds.map(seed => simulateWaitingLines({ ...options, seed }));
    formerOutcomes = seeds.map(seed => simulateWaitingLines({ ...options, seed, isFormer: true }));
}

/** Computes the share of a group's requests that were served in time. */
function computeRatio(results: readonly WaitingLineOutcome[], group: string): number {
    const groups = results.map(({ groups }) => groups[group] ?? { asked: 0, servedInTime: 0 });
    return groups.reduce((sum, { servedInTime }) => sum + servedInTime, 0)
        / groups.reduce((sum, { asked }) => sum + asked, 0);
}

When(
    "{int} instances get {float} times what the engines process, for {int} s and the seeds {string}",
    { timeout: 120_000 },
    function(instances: number, overload: number, seconds: number, seeds: string) {
        const margins = instances > 100 ? { marginSeconds: [6, 3] as const } : {};
        runSimulations({ instances, overload, seconds, ...margins }, seeds.split(",").map(Number));
    },
);

When(
    "{int} instances get {float} times what the engines process, {float} of it from one account",
    function(instances: number, overload: number, largeAccountShare: number) {
        runSimulations({ instances, overload, largeAccountShare, seconds: 5 }, [1, 2, 3, 4]);
    },
);

When(
    "{int} instances get {float} times what the engines process, and {float} of the callers return at once three times",
    function(instances: number, overload: number, hastyShare: number) {
        runSimulations({ instances, overload, hastyShare, seconds: 5 }, [1, 2, 3, 4]);
    },
);

When(
    "{int} instances get {float} times what the engines process, {float} of it in one zone",
    function(instances: number, overload: number, zoneShare: number) {
        runSimulations({ instances, overload, zoneShare, seconds: 5 }, [1, 2, 3, 4]);
    },
);

When(
    "{int} instances get {float} times what the engines process, and no statements of their peers",
    function(instances: number, overload: number) {
        runSimulations({ instances, overload, areStatementsLost: true, seconds: 5 }, [1, 2, 3, 4]);
    },
);

Then(
    /^"([^"]*)" requests are served in time at least ([\d.]+) times as often as "([^"]*)" requests(, but not before)?$/,
    function(group: string, factor: string, other: string, suffix: unknown) {
        const ratio = computeRatio(outcomes, group) / computeRatio(outcomes, other);
        assert.ok(ratio >= Number(factor), `${group} ${ratio.toFixed(2)} times as often`);
        if (suffix === ", but not before") {
            const formerRatio = computeRatio(formerOutcomes, group) / computeRatio(formerOutcomes, other);
            assert.ok(formerRatio < Number(factor), `before, ${group} ${formerRatio.toFixed(2)} times as often`);
        }
    },
);

Then("as many requests are served in time as before, less {float} of all", function(tolerance: number) {
    const ratios = [outcomes, formerOutcomes].map(results => computeRatio(results, "all"));
    assert.ok((ratios[0] ?? 0) >= (ratios[1] ?? 1) - tolerance, ratios.join(", "));
});

/** Computes the share of the refused requests that were held for long. */
function computeHeldShare(results: readonly WaitingLineOutcome[]): number {
    return results.reduce((sum, { heldAndRefused }) => sum + heldAndRefused, 0)
        / results.reduce((sum, { refused }) => sum + refused, 0);
}

Then(
    /^at most ([\d.]+) of the refused requests were held beyond an eighth of their objective(, but not before)?$/,
    function(maxShare: string, suffix: unknown) {
        const [share, formerShare] = [computeHeldShare(outcomes), computeHeldShare(formerOutcomes)];
        assert.ok(share <= Number(maxShare), `${share.toFixed(2)} were held`);
        if (suffix === ", but not before") {
            assert.ok(formerShare > Number(maxShare), `before, ${formerShare.toFixed(2)} were held`);
        }
    },
);

/** Builds a request that waits from time 0 on. */
function buildEntry(name: string, size: number): LineEntry & { name: string; } {
    const times = { enqueuedAt: 0, objectiveAt: 1000, latestAt: 500 };
    return { name, priority: 0, place: "", size, isPreferred: false, share: 1, ...times };
}

let placed: string[][] = [];

When("a large and a small request wait, and only the small one fits", function() {
    placed = [false, true].map(isHeadOnly => {
        const line = new WaitingLine<ReturnType<typeof buildEntry>>({ isHeadOnly });
        const names: string[] = [];
        line.add(buildEntry("large", 4000), 0);
        line.add(buildEntry("small", 2000), 0);
        const tryPlace = ({ name, size }: { name: string; size: number; }): boolean =>
            size < 3000 && !!names.push(name);
        line.step({ now: 10, tryPlace, estimateWait: () => undefined });
        return names;
    });
});

Then("the small request is placed, but not where the head alone is served", function() {
    assert.deepEqual(placed, [["small"], []]);
});

When("a large request waits and {int} small ones arrive that fit", function(count: number) {
    const line = new WaitingLine<ReturnType<typeof buildEntry>>();
    const names: string[] = [];
    line.add(buildEntry("large", 4000), 0);
    for (let now = 1; now <= count; now += 1) {
        line.add(buildEntry(`small ${now}`, 2000), now);
        const tryPlace = ({ name, size }: { name: string; size: number; }): boolean =>
            size < 3000 && !!names.push(name);
        line.step({ now, tryPlace, estimateWait: () => undefined });
    }
    placed = [names];
});

Then("{int} of the small requests are placed before the large one", function(count: number) {
    assert.equal(placed[0]?.length, count);
});

let estimatedPerSecond = 0;

When(
    "an instance of {int} releases one of its requests every {int} ms, and each holds its engine for {int} s",
    function(instances: number, intervalMilliseconds: number, seconds: number) {
        const room = new RoomEstimate(0);
        for (let now = intervalMilliseconds; now < 60_000; now += intervalMilliseconds) {
            room.recordStart(1, now);
            if (now > seconds * 1000) {
                room.recordRelease(1, { now, hasResponded: true });
            }
        }
        const runningSize = instances * seconds * 1000 / intervalMilliseconds;
        estimatedPerSecond = room.estimateRate({ now: 60_000, instances, runningSize })?.sizePerSecond ?? 0;
    },
);

Then("it estimates the releases of the fleet within a factor of {float}, although it sees none in a second", function(
    factor: number,
) {
    const actual = 84 / 1.4;
    assert.ok(estimatedPerSecond > actual / factor && estimatedPerSecond < actual * factor, `${estimatedPerSecond}`);
});

/** Creates the memory of an instance that has refused a caller at time 0. */
let refuseCaller = (): RefusedCallers => new RefusedCallers();

When("a caller is refused and told to return after {int} ms", function(retryAfterMilliseconds: number) {
    refuseCaller = () => {
        const callers = new RefusedCallers();
        callers.recordRefusal(7, { now: 0, retryAfterMilliseconds, size: 100 });
        return callers;
    };
});

Then(
    "it counts as {string} after {int} ms, as {string} after {int} ms and as {string} after {int} ms",
    function(first: string, firstAt: number, second: string, secondAt: number, third: string, thirdAt: number) {
        const kinds = [firstAt, secondAt, thirdAt].map(now => refuseCaller().classifyReturn(7, now));
        assert.deepEqual(kinds, [first, second, third]);
    },
);

Then(
    "at an instance that a digest has told, it counts as {string} after {int} ms",
    function(kind: string, now: number) {
        const peer = new RefusedCallers();
        refuseCaller().takeTold(200).forEach(told => peer.applyToldRefusal(told, 203));
        assert.equal(peer.classifyReturn(7, now), kind);
    },
);

Then("of {int} refused callers at most {int} are remembered", function(count: number, limit: number) {
    const callers = new RefusedCallers();
    for (let caller = 0; caller < count; caller += 1) {
        callers.recordRefusal(caller, { now: 0, retryAfterMilliseconds: 1000, size: 100 });
    }
    assert.ok(callers.count <= limit);
});

let retryTimes: number[] = [];

When(
    "{int} callers with {int} ms left are refused, at {int} requests per second",
    function(count: number, remainingMilliseconds: number, perSecond: number) {
        const admission = new ServiceAdmission(0);
        for (let now = 0; now < 5000; now += 1000 / perSecond) {
            admission.room.recordStart(1, now);
            admission.room.recordRelease(1, { now, hasResponded: true });
        }
        retryTimes = Array.from({ length: count }, (_, caller) => {
            const origin = { account: "a", kind: "k", zone: "z", session: undefined, getCaller: () => caller };
            const entry = admission.buildEntry({
                origin: { ...origin, returnKind: undefined },
                priority: 0,
                place: "",
                size: 1,
                objectiveMilliseconds: 1500,
                remainingMilliseconds,
            }, 5000);
            const fleet = { now: 5000, instances: 1, runningSize: undefined, targets: 4 };
            return admission.recordRefusal(entry, { closure: undefined, fleet, random: () => caller / count });
        });
    },
);

Then("they are told at least {int} different times, none above {int} ms", function(least: number, latest: number) {
    assert.ok(new Set(retryTimes).size >= least, `${new Set(retryTimes).size} times`);
    assert.ok(Math.max(...retryTimes) * 1000 <= latest, `${Math.max(...retryTimes)} s`);
});

Then("a digest without and one with malformed statements on waiting requests are understood", function() {
    const plain = {
        kind: "digest",
        instance: "one",
        address: "127.0.0.1:1",
        work: {},
        unreachable: [],
        versions: { configuration: 1, targets: 1, zones: 1 },
        isWatching: false,
    };
    for (const lines of [undefined, { engines: { pressure: "none" } }, { engines: { shares: [["a", -1, 0]] } }]) {
        const digest = parsePeerMessage({ ...plain, lines }) as DigestMessage | undefined;
        assert.deepEqual(digest?.lines, {});
    }
});

const SERVICE = {
    name: "engines",
    maxConnections: 100,
    coldRequestsPerSecond: 0,
    engine: { slots: 1, memoryTokens: 1000, tokensPerEvent: 4, copyMillisecondsPerToken: 1, canMove: false },
};
const TARGET: ServingTarget = {
    id: "engine-1",
    service: SERVICE.name,
    address: "127.0.0.1:1",
    zone: "a",
    slots: 1,
    isLeaving: false,
    coldMilliseconds: 0,
    startedAt: 1,
};

let scheduler: RequestScheduler;
let occupant: Reservation;
let countedLooks = 0;
let placedAfterMilliseconds = Infinity;

function buildReservationRequest(): ReservationRequest {
    return {
        service: SERVICE,
        requestLoad: { promptTokens: 900, outputTokens: 50 },
        origin: {
            account: "a",
            kind: "k",
            zone: "a",
            session: undefined,
            getCaller: () => 1,
            returnKind: undefined,
        },
        priority: 0,
        avoid: new Set(),
        objectiveMilliseconds: 1800,
        remainingMilliseconds: 6000,
        signal: new AbortController().signal,
    };
}

Given(/^a scheduler whose only target is full, of a service (with|without) pace\s*$/, function(paced: string) {
    const clock = systemClock;
    const log = new DecisionLog({ name: "test", clock, writeLine: () => true });
    const bounds = { coldOverage: 1, coldSlack: 1, retryRatio: 0.1, retryWindowMilliseconds: 1000, retrySlack: 1 };
    const state = new ServingState({
        isFleetAdmissionEnabled: true,
        settings: { bounds } as unknown as ConstructorParameters<typeof ServingState>[0]["settings"],
        clock,
        log,
    });
    state.applySnapshot({ revision: 1, changeRevision: 1, targets: [TARGET] }, "store");
    if (paced === "with") {
        state.targetPace.recordStatedLoad(TARGET, { running: 0, waiting: 0, slots: 1, pace: 100 }, 0);
    }
    const listCandidates = state.listCandidates.bind(state);
    state.listCandidates = service => {
        countedLooks += 1;
        return listCandidates(service);
    };
    scheduler = new RequestScheduler({ state, zone: "a", log, metrics: buildIdleMetrics(), clock, random: () => 0.5 });
    occupant = scheduler.reserveGivenTarget(TARGET, { promptTokens: 900, outputTokens: 50 });
});

When("a request waits for {int} ms until the target has room", async function(milliseconds: number) {
    countedLooks = 0;
    const reserved = scheduler.reserveTarget(buildReservationRequest());
    await waitMilliseconds(milliseconds);
    const releasedAt = systemClock.getMonotonic();
    occupant.release();
    const result = await reserved;
    placedAfterMilliseconds = result.kind === "placed" ? systemClock.getMonotonic() - releasedAt : Infinity;
});

Then(
    "it is placed within {int} ms, and the targets were looked at no more than {int} times",
    function(milliseconds: number, looks: number) {
        assert.ok(placedAfterMilliseconds <= milliseconds, `${placedAfterMilliseconds} ms`);
        assert.ok(countedLooks <= looks, `${countedLooks} looks`);
    },
);

Then("no timer is left", async function() {
    await waitMilliseconds(0);
    assert.equal(scheduler.waiting, 0);
    assert.equal(scheduler.hasTimer, false);
});
