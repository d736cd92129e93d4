/**
 * Steps that observe which instances watch the platform's store, and that take a watcher's place in their order away.
 *
 * @module
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { VirtualClock } from "../../core/clock/mod.ts";
import { waitMilliseconds } from "../../network/mod.ts";
import { StoreClient, StoreKind } from "../../platform/mod.ts";
import { ServingState, StoreWatcher } from "../../serving/mod.ts";
import { buildIdleMetrics, startServingSite } from "../../support/platform/mod.ts";
import { DecisionLog, systemClock } from "../../telemetry/mod.ts";
import { getSite, siteContext } from "../support/site_context.ts";

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

let watcher: { storeWatcher: StoreWatcher; store: StoreClient; clock: VirtualClock; isElected: boolean; } | undefined;

After(() => {
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
    const storeWatcher = new StoreWatcher({
        store,
        state: new ServingState({ settings, clock, log }),
        log,
        metrics: buildIdleMetrics(),
        clock,
        random: () => 0.5,
        decideWatching: () => watcher?.isElected === true,
        waitForPeerState: () => Promise.resolve(),
        isFirstWatcher: () => false,
        hasWatchingPeer: () => true,
    });
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
