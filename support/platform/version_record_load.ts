/**
 * Load of streams that begin at a second software version, at many instances within one process, in front of a store that
 * answers after a few milliseconds.
 *
 * @module
 */
import { waitMilliseconds } from "../../network/mod.ts";
import type { StoreObject, StoreReply } from "../../platform/mod.ts";
import { ServingState, StreamVersionStore } from "../../serving/mod.ts";
import { DecisionLog, systemClock } from "../../telemetry/mod.ts";
import { buildIdleMetrics } from "./idle_metrics.ts";

/** Result of {@linkcode measureVersionRecords}. */
export interface VersionRecordResult {
    /** Number of instances. */
    instances: number;
    /** Number of streams that have begun. */
    streams: number;
    /** Number of writes that the store got. */
    writes: number;
    /** Number of lists that the store got. */
    lists: number;
    /** Times for which the first events waited, in milliseconds, in ascending order. */
    waits: number[];
}

/** Time after which the store answers, in milliseconds. */
const STORE_MILLISECONDS = 4;
/** Version whose streams are not recorded, and the one that the streams of the load begin at. */
const BASELINE = "v1";
const SECOND_VERSION = "v2";

/** A store in memory that answers after a few milliseconds and counts its calls. */
class CountingStore {
    writes = 0;
    lists = 0;
    #revision = 0;
    readonly #objects = new Map<string, StoreObject & { kind: string; }>();

    async listObjects(kind: string): Promise<StoreReply<{ objects: StoreObject[]; era: number; revision: number; }>> {
        this.lists += 1;
        await waitMilliseconds(STORE_MILLISECONDS);
        const objects = [...this.#objects.values()].filter(object => object.kind === kind);
        return { kind: "ok", value: { objects, era: 0, revision: this.#revision } };
    }

    createObject(kind: string, object: { name: string; spec: unknown; }): Promise<StoreReply<StoreObject>> {
        return this.putObject(kind, object);
    }

    updateObject(kind: string, object: { name: string; spec: unknown; }): Promise<StoreReply<StoreObject>> {
        return this.putObject(kind, object);
    }

    async putObject(
        kind: string,
        { name, spec }: { name: string; spec: unknown; },
    ): Promise<StoreReply<StoreObject>> {
        this.writes += 1;
        await waitMilliseconds(STORE_MILLISECONDS);
        this.#revision += 1;
        const object = { kind, name, spec, revision: this.#revision };
        this.#objects.set(`${kind}/${name}`, object);
        return { kind: "ok", value: object };
    }
}

/** Begins streams at a second software version at random instances, and counts the calls to the store. */
export async function measureVersionRecords(
    load: { instances: number; streamsPerSecond: number; milliseconds: number; random: () => number; },
): Promise<VersionRecordResult> {
    const store = new CountingStore();
    const stores = Array.from(
        { length: load.instances },
        (_, index) => buildVersionStore(store, index, load.instances),
    );
    const calls: Promise<number>[] = [];
    const interval = 1000 / load.streamsPerSecond;
    const startedAt = performance.now();
    for (let count = 0; count * interval < load.milliseconds; count += 1) {
        await waitMilliseconds(Math.max(0, startedAt + count * interval - performance.now()));
        const sentAt = performance.now();
        const call = stores[Math.floor(load.random() * stores.length)]?.recordBeginning(`stream-${count}`, {
            service: "engines",
            softwareVersion: SECOND_VERSION,
        });
        calls.push(Promise.resolve(call).then(() => performance.now() - sentAt));
    }
    const waits = (await Promise.all(calls)).sort((a, b) => a - b);
    stores.forEach(versionStore => versionStore.close());
    return { instances: load.instances, streams: calls.length, writes: store.writes, lists: store.lists, waits };
}

function buildVersionStore(store: CountingStore, index: number, instances: number): StreamVersionStore {
    const clock = systemClock;
    const log = new DecisionLog({ name: "knapweed-serve", clock, writeLine: () => true });
    const bounds = { retryRatio: 0.2, retryWindowMilliseconds: 10_000, retrySlack: 50, coldOverage: 1.5, coldSlack: 5 };
    const state = new ServingState({ settings: { bounds }, clock, log });
    state.setPositionFinder(() => ({ instances, rank: index }));
    state.softwareVersions.setBaseline("engines", { softwareVersion: BASELINE, now: clock.getMonotonic() });
    const metrics = buildIdleMetrics();
    return new StreamVersionStore({
        instance: `instance-${index}`,
        store,
        state,
        log,
        metrics,
        clock,
        isWriter: () => false,
        readTargets: () => Promise.resolve(true),
        isInStepSince: () => true,
    });
}
