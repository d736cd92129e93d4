/**
 * Keeps the quarantined parts of prompts in the platform's store, so that they last when all instances restart.
 *
 * One instance reads and writes the objects on behalf of all; the others learn of quarantines from their peers. The
 * store is called when the fleet starts, when a quarantine begins or ends, and after a restoration.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import type { QuarantinedPart } from "../core/serving/mod.ts";
import {
    decodeQuarantine,
    encodeQuarantine,
    type StoreClient,
    type StoredQuarantine,
    StoreKind,
    type StoreObject,
    type StoreReply,
} from "../platform/mod.ts";
import type { DecisionLog } from "../telemetry/mod.ts";
import type { ServingMetrics } from "./serving_metrics.ts";
import type { ServingState } from "./serving_state.ts";

/** Options of a {@linkcode QuarantineStore}. */
export interface QuarantineStoreOptions {
    /** Client of the store. */
    store: StoreClient;
    /** State with the quarantines. */
    state: ServingState;
    /** Decision log. */
    log: DecisionLog;
    /** Metrics, which count calls to the store. */
    metrics: ServingMetrics;
    /** Source of time. */
    clock: Clock;
    /** Checks whether this instance writes to the store on behalf of all. */
    isWriter: () => boolean;
}

/** Delay after a failed call, in milliseconds. */
const RETRY_MILLISECONDS = 1000;
/**
 * Difference from which an end of a quarantine is written again, in milliseconds: more than instances differ that have
 * learnt of the same quarantine from each other.
 */
const END_TOLERANCE_MILLISECONDS = 10_000;

/** Reads and writes the objects of quarantined parts. */
export class QuarantineStore {
    readonly #options: QuarantineStoreOptions;
    /** Ends of the quarantines that the store has, in Unix milliseconds by part; `undefined` until they were listed. */
    #stored: Map<string, number> | undefined;
    /** True if the store was restored since the objects were last listed. */
    #isRestored = false;
    #isCalling = false;
    #retryAt = Number.NEGATIVE_INFINITY;

    constructor(options: QuarantineStoreOptions) {
        this.#options = options;
    }

    /**
     * Makes the objects agree with the state if this instance is the writer; first lists them, and adopts their
     * quarantines, unless a peer knows that there are none. Does nothing while a call is pending.
     */
    async update(): Promise<void> {
        const { clock, state, isWriter } = this.#options;
        const hasWork = this.#stored === undefined
            ? this.#isRestored || !state.isQuarantineListKnown || state.requestQuarantine.hasHistory
            : this.#listChanges(this.#stored).length > 0;
        if (this.#isCalling || !hasWork || clock.getMonotonic() < this.#retryAt || !isWriter()) {
            return;
        }
        this.#isCalling = true;
        const isDone = await this.#listObjects() && await this.#writeChanges();
        this.#isCalling = false;
        this.#retryAt = isDone ? Number.NEGATIVE_INFINITY : clock.getMonotonic() + RETRY_MILLISECONDS;
    }

    /** Has the objects listed again, since the store was restored from a copy that may lack or still have some. */
    handleRestore(): void {
        this.#stored = undefined;
        this.#isRestored = true;
    }

    async #listObjects(): Promise<boolean> {
        if (this.#stored !== undefined) {
            return true;
        }
        const { store, state } = this.#options;
        const reply = await store.listObjects(StoreKind.quarantinedParts);
        if (!this.#checkReply(reply, "list") || reply.kind !== "ok") {
            return false;
        }
        this.#isRestored = false;
        const listed = reply.value.objects.flatMap(object => this.#decode(object) ?? []);
        this.#stored = new Map(listed.map(({ part, endsAt }) => [part, endsAt]));
        const now = this.#options.clock.getWallTime();
        const quarantined = listed.map(({ part, endsAt, crashes }) => ({
            part,
            remainingMilliseconds: endsAt - now,
            crashes,
        }));
        state.applyQuarantined(quarantined, "store list");
        return true;
    }

    #decode(object: StoreObject): StoredQuarantine | undefined {
        const quarantine = decodeQuarantine(object);
        if (quarantine === undefined) {
            this.#options.log.record("belief", "store object unusable", {
                kind: StoreKind.quarantinedParts,
                name: object.name,
                revision: object.revision,
            });
        }
        return quarantine;
    }

    /** Lists what has to be written: a quarantined part, or the name of an object whose part is not quarantined. */
    #listChanges(stored: ReadonlyMap<string, number>): (QuarantinedPart | string)[] {
        const { state, clock } = this.#options;
        const quarantined = state.requestQuarantine.listQuarantined(clock.getMonotonic());
        const parts = new Set(quarantined.map(({ part }) => part));
        const now = clock.getWallTime();
        return [
            ...quarantined.filter(({ part, remainingMilliseconds }) =>
                Math.abs((stored.get(part) ?? 0) - now - remainingMilliseconds) > END_TOLERANCE_MILLISECONDS
            ),
            ...[...stored.keys()].filter(name => !parts.has(name)),
        ];
    }

    /** Writes all changes; resolves to false if one was not written, or the store was restored meanwhile. */
    async #writeChanges(): Promise<boolean> {
        const stored = this.#stored;
        for (const change of stored === undefined ? [] : this.#listChanges(stored)) {
            const isWritten = typeof change === "string" ? await this.#remove(change) : await this.#put(change);
            if (!isWritten || this.#stored !== stored) {
                return false;
            }
        }
        return stored !== undefined;
    }

    async #put({ part, crashes, remainingMilliseconds }: QuarantinedPart): Promise<boolean> {
        const endsAt = Math.round(this.#options.clock.getWallTime() + remainingMilliseconds);
        const object = encodeQuarantine({ part, endsAt, crashes });
        const reply = await this.#options.store.putObject(StoreKind.quarantinedParts, object);
        if (!this.#checkReply(reply, "write")) {
            return false;
        }
        this.#stored?.set(part, endsAt);
        return true;
    }

    async #remove(part: string): Promise<boolean> {
        const reply = await this.#options.store.removeObject(StoreKind.quarantinedParts, part);
        if (reply.kind !== "missing" && !this.#checkReply(reply, "removal")) {
            return false;
        }
        this.#stored?.delete(part);
        return true;
    }

    /** Counts a call, and logs it if it failed; returns whether it succeeded. */
    #checkReply(reply: StoreReply<unknown>, call: string): boolean {
        this.#options.metrics.countStoreCall(StoreKind.quarantinedParts, reply.kind);
        if (reply.kind !== "ok") {
            this.#options.log.record("process", "quarantine not stored", {
                ...reply,
                kind: StoreKind.quarantinedParts,
                call,
                failure: reply.kind,
            });
        }
        return reply.kind === "ok";
    }
}
