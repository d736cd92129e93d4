/**
 * Steps that observe which instances watch the platform's store, and that take a watcher's place in their order away.
 *
 * @module
 */
import { After, type DataTable, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { VirtualClock } from "../../core/clock/mod.ts";
import { createElectionRanking } from "../../core/serving/mod.ts";
import { waitMilliseconds } from "../../network/mod.ts";
import { decodeSettingsFile, StoreClient, type StoreEvents, StoreKind, type StoreObject } from "../../platform/mod.ts";
import { ServingState, StoreWatcher, type StoreWatcherOptions } from "../../serving/mod.ts";
import {
    buildIdleMetrics,
    buildTargetEntry,
    formatSettingsText,
    type SiteInstance,
    startServingSite,
} from "../../support/platform/mod.ts";
import { DecisionLog, systemClock } from "../../telemetry/mod.ts";
import { getSite, getTarget, siteContext } from "../support/site_context.ts";

/** Time for which a number of watches must stay the same, in milliseconds: longer than from one watch to the next. */
const STEADY_MILLISECONDS = 200;
/** Time within which the instances of a new site have taken their places in the order, in milliseconds. */
const SETTLING_MILLISECONDS = 3000;
/** Time after which a watcher that has regained its place has called the store, if it does, in milliseconds. */
const REGAINED_MILLISECONDS = 500;
const WATCHED_KINDS = [StoreKind.configuration, StoreKind.targets, StoreKind.evacuatedZones];

/** Waits until the store has had a number of pending watches of each kind for some time. */
async function waitForWatches(count: number, options: { withinMilliseconds: number; }): Promise<void> {
    const deadline = performance.now() + options.withinMilliseconds;
    let steadySince: number | undefined;
    for (;;) {
        const counts = WATCHED_KINDS.map(kind => getSite().store.countWatches(kind));
        const now = performance.now();
        steadySince = counts.every(pending => pending === count) ? steadySince ?? now : undefined;
        if (steadySince !== undefined && now - steadySince >= STEADY_MILLISECONDS) {
            return;
        }
        assert.ok(now < deadline, `the store has ${counts.join(", ")} pending watches by kind, not ${count} of each`);
        await waitMilliseconds(20);
    }
}

/** Step by which the virtual time of a watcher advances, each time after the same real time, in milliseconds. */
const STEP_MILLISECONDS = 100;

/** Instances that the store serves after others were turned away, and the number of lines that they had logged before. */
let servedInstances: (SiteInstance & { firstLine: number; })[] = [];

let watcher: { storeWatcher: StoreWatcher; store: StoreClient; clock: VirtualClock; isElected: boolean; } | undefined;

After(() => {
    servedInstances = [];
    watcher?.storeWatcher.stop();
    watcher?.store.close();
    watcher = undefined;
});

Given("{int} instances watch the store", async function(count: number) {
    await waitForWatches(count, { withinMilliseconds: SETTLING_MILLISECONDS });
});

Then("{int} instances watch the store within {int} ms", async function(count: number, withinMilliseconds: number) {
    await waitForWatches(count, { withinMilliseconds });
});

function createStoreWatcher(
    parts: Pick<StoreWatcherOptions, "store" | "state" | "clock" | "log">,
    decideWatching: () => boolean,
): StoreWatcher {
    return new StoreWatcher({
        ...parts,
        metrics: buildIdleMetrics(),
        random: () => 0.5,
        decideWatching,
        waitForPeerState: () => Promise.resolve(),
        isFirstWatcher: () => false,
        onWatchLost: () => undefined,
        hasWatchingPeer: () => true,
    });
}

Given("a watcher of the store whose watches are waiting", async function() {
    siteContext.site = await startServingSite();
    const [instance] = getSite().instances;
    assert.ok(instance !== undefined);
    const { settings } = instance;
    // The store must get no other calls than the watcher's.
    instance.process.close();
    await waitForWatches(0, { withinMilliseconds: SETTLING_MILLISECONDS });
    const log = new DecisionLog({ name: "test", clock: systemClock, writeLine: () => true });
    const clock = new VirtualClock();
    const store = new StoreClient({ address: settings.storeAddress });
    const state = new ServingState({ settings, clock, log });
    const storeWatcher = createStoreWatcher({ store, state, clock, log }, () => watcher?.isElected === true);
    watcher = { storeWatcher, store, clock, isElected: true };
    storeWatcher.start();
    await waitForWatches(1, { withinMilliseconds: SETTLING_MILLISECONDS });
    getSite().store.calls.length = 0;
});

When("the watcher loses its place in the order for {int} ms", async function(milliseconds: number) {
    assert.ok(watcher !== undefined);
    watcher.isElected = false;
    for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
        watcher.clock.setTime(watcher.clock.getMonotonic() + STEP_MILLISECONDS);
        await waitMilliseconds(STEP_MILLISECONDS);
    }
    watcher.isElected = true;
});

/** Calls for each kind that a watcher makes after it has regained its place, by the result in the feature file. */
const CALLS_PER_KIND: Record<string, number> = { "makes no further call": 0, "lists and watches again": 2 };

Then(/^the watcher (makes no further call|lists and watches again)$/, async function(result: string) {
    await waitMilliseconds(REGAINED_MILLISECONDS);
    await waitForWatches(1, { withinMilliseconds: SETTLING_MILLISECONDS });
    const expected = WATCHED_KINDS.flatMap(kind => Array<string>(CALLS_PER_KIND[result] ?? 0).fill(`GET ${kind}`));
    assert.deepEqual([...getSite().store.calls].sort(), expected.sort());
});

/** Lists the instances of the site in the order in which they watch the store. */
function listByElection(): SiteInstance[] {
    const { instances } = getSite();
    const names = createElectionRanking().listMembers(instances.map(({ settings }) => settings.instance));
    return names.flatMap(name => instances.filter(({ settings }) => settings.instance === name));
}

When(
    /^the store (answers with 503|is silent) to the first (\d+) of them right after a watch of the configuration has begun$/,
    async function(how: string, count: string) {
        const { store } = getSite();
        const ranked = listByElection();
        const ports = ranked.slice(0, Number(count)).map(({ settings }) => settings.storeAddress.port);
        const handleRequest = store.handleRequest.bind(store);
        await new Promise<void>(resolve => {
            store.handleRequest = (request, response, body) => {
                const isWatch = request.socket.localPort === ports[0]
                    && request.url?.includes("/config?watch=") === true;
                const answered = handleRequest(request, response, body);
                if (isWatch) {
                    store.handleRequest = handleRequest;
                    setImmediate(resolve);
                }
                return answered;
            };
        });
        store.refusePorts(ports, { isSilent: how === "is silent" });
        servedInstances = ranked.slice(Number(count)).map(instance => ({
            ...instance,
            firstLine: instance.lines.length,
        }));
    },
);

When("a target of each service announces to the store that it leaves", function() {
    for (const service of ["ledger", "engines"]) {
        getSite().writeTarget(getTarget(service, 1), { state: "draining" });
    }
});

Then("the other instances log these events within {int} ms", async function(milliseconds: number, table: DataTable) {
    const events = table.raw().flat();
    const deadline = performance.now() + milliseconds;
    for (const { settings: { instance }, lines, firstLine } of servedInstances) {
        const listMissing = (): string[] =>
            events.filter(event => !lines.slice(firstLine).some(line => line.event === event));
        while (listMissing().length > 0) {
            assert.ok(performance.now() < deadline, `${instance} has not logged "${listMissing().join("\", \"")}"`);
            await waitMilliseconds(10);
        }
    }
});

/** State of a watcher whose list of targets is ahead of its watch, and the function that ends its waiting watch. */
let lateWatcher: { state: ServingState; answerWatch: (events: StoreEvents) => void; } | undefined;
const TARGET_NAME = "ledger-1";

function buildStoredTarget(revision: number): StoreObject {
    const spec = buildTargetEntry({ service: "ledger", address: "127.0.0.1:1" });
    return { name: TARGET_NAME, revision, spec };
}

/** Creates a client whose lists have one target, and whose watches wait until `answerWatch` is called. */
function createScriptedStore(): { store: StoreClient; answerWatch: (events: StoreEvents) => void; } {
    const waiting = new Map<string, (events: StoreEvents) => void>();
    const store = {
        era: 0,
        listObjects: async (kind: string) => ({
            kind: "ok",
            value: { era: 0, revision: 10, objects: kind === StoreKind.targets ? [buildStoredTarget(5)] : [] },
        }),
        watchObjects: (kind: string) =>
            new Promise(resolve => {
                waiting.set(kind, value => resolve({ kind: "ok", value }));
            }),
    } as unknown as StoreClient;
    return { store, answerWatch: events => waiting.get(StoreKind.targets)?.(events) };
}

Given(
    "a watcher that knows a target, and a peer's list at revision 30 that has it again since revision 25",
    async function() {
        const settings = decodeSettingsFile(formatSettingsText({
            caller: "127.0.0.1:1",
            ready: "127.0.0.1:2",
            peer: "127.0.0.1:3",
            internalPort: 4,
            store: "127.0.0.1:5",
        }));
        const log = new DecisionLog({ name: "test", clock: systemClock, writeLine: () => true });
        const state = new ServingState({ settings, clock: systemClock, log });
        const { store, answerWatch } = createScriptedStore();
        const storeWatcher = createStoreWatcher({ store, state, clock: systemClock, log }, () => true);
        storeWatcher.start();
        await waitMilliseconds(20);
        const known = state.directory.findTarget(TARGET_NAME);
        assert.ok(known !== undefined);
        const targets = [{ ...known, startedAt: known.startedAt + 1, revision: 25 }];
        state.applySnapshot({ era: 0, revision: 30, changeRevision: 30, targets }, "peer other");
        lateWatcher = { state, answerWatch };
        storeWatcher.stop();
    },
);

When(/^its watch returns "removed(| and added), up to revision (\d+)"$/, async function(part: string, to: string) {
    const revision = Number(to);
    const removal = { object: buildStoredTarget(5), isDeleted: true };
    const addition = { object: buildStoredTarget(25), isDeleted: false };
    lateWatcher?.answerWatch({ era: 0, revision, events: part === "" ? [removal] : [removal, addition] });
    await waitMilliseconds(20);
});

Then(/^the watcher (uses the target|has no such target)$/, function(result: string) {
    const isUsed = lateWatcher?.state.directory.findTarget(TARGET_NAME) !== undefined;
    assert.equal(isUsed, result === "uses the target");
});
