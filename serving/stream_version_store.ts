/**
 * Keeps the software versions of streams in the platform's store, so that a stream goes on at its version even if all
 * instances were killed.
 *
 * The beginnings of streams at the baseline of a service are not written. Those of one instance at other versions are
 * written in batches, into a few objects that it uses in turn. The records of all instances are read when a caller resumes a
 * stream that is not known here.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import {
    decideResumption,
    type Resumption,
    RESUMPTION_WINDOW_MILLISECONDS,
    type SoftwareVersions,
    type StreamBeginning,
} from "../core/serving/mod.ts";
import { waitMilliseconds } from "../network/mod.ts";
import {
    decodeBaseline,
    decodeStreamBeginnings,
    encodeBaseline,
    encodeStreamBeginnings,
    type StoreClient,
    StoreKind,
    type StoreObject,
    type StoreReply,
} from "../platform/mod.ts";
import type { DecisionLog } from "../telemetry/mod.ts";
import type { ServingMetrics } from "./serving_metrics.ts";
import type { ServingState } from "./serving_state.ts";

/** Options of a {@linkcode StreamVersionStore}. */
export interface StreamVersionStoreOptions {
    /** Name of this instance. */
    instance: string;
    /** Client of the store. */
    store: Pick<StoreClient, "listObjects" | "createObject" | "updateObject" | "putObject">;
    /** State with the targets and the versions of streams. */
    state: ServingState;
    /** Decision log. */
    log: DecisionLog;
    /** Metrics, which count calls to the store. */
    metrics: ServingMetrics;
    /** Source of time. */
    clock: Clock;
    /** Checks whether this instance writes to the store on behalf of all. */
    isWriter: () => boolean;
    /** Reads the list of targets from the store; resolves to true on success. */
    readTargets: () => Promise<boolean>;
    /** Checks whether peers have shown since a time that this instance has not missed a change of the list of targets. */
    isInStepSince: (time: number) => boolean;
}

/** Time for which the first event of a stream waits for its record, in milliseconds; the store answers in a few. */
const MAX_RECORD_WAIT_MILLISECONDS = 600;
/** Time for which a resumption waits for the records of other instances, in milliseconds. */
const MAX_READ_WAIT_MILLISECONDS = 600;
/** Time for which a resumption waits for the peers if the store can't be read, in milliseconds: one of their digests. */
const MAX_PEER_WAIT_MILLISECONDS = 1600;
/** Time after a request within which messages may arrive that are older than it, since this process was paused. */
const PAUSE_BACKLOG_MILLISECONDS = 250;
/** Interval at which a waiting resumption checks what the peers have shown, in milliseconds. */
const PEER_POLL_MILLISECONDS = 25;
/** Time over which beginnings go into the same object, in milliseconds. */
const OBJECT_PERIOD_MILLISECONDS = 30_000;
/** Number of objects that an instance uses in turn: they cover the window of resumptions, and the current period. */
const OBJECTS_PER_INSTANCE = Math.ceil(RESUMPTION_WINDOW_MILLISECONDS / OBJECT_PERIOD_MILLISECONDS) + 1;
/** Minimum interval between two batches, for each instance of the system, in milliseconds: it bounds their calls together. */
const BATCH_INTERVAL_PER_INSTANCE_MILLISECONDS = 1;
/** Delay after a failed call, in milliseconds. */
const RETRY_MILLISECONDS = 300;
/** Delay after a failed read for which a resumption waits, in milliseconds. */
const READ_RETRY_MILLISECONDS = 50;
/** Minimum interval between two readings of the baselines, in milliseconds. */
const BASELINE_INTERVAL_MILLISECONDS = 1000;

/** An object of this instance, as this instance knows it. */
interface OwnObject {
    revision: number;
    beginnings: StreamBeginning[];
}

/** Reads and writes the baselines and the beginnings of streams. */
export class StreamVersionStore {
    readonly #options: StreamVersionStoreOptions;
    readonly #versions: SoftwareVersions;
    /** Objects of this instance by name; `undefined` until they were listed, and after a write with an unknown result. */
    #ownObjects: Map<string, OwnObject> | undefined;
    /** Beginnings that are not written yet. */
    #unwritten: StreamBeginning[] = [];
    /** Called when a batch has been written that was taken after the call was added. */
    #batchListeners: (() => void)[] = [];
    #isWriting = false;
    /** True if the latest write of a batch failed. */
    #hasFailed = false;
    #reading: Promise<boolean> | undefined;
    #baselineCall: Promise<void> | undefined;
    #baselineRetryAt = Number.NEGATIVE_INFINITY;
    #isClosed = false;
    readonly #startedAt: number;

    constructor(options: StreamVersionStoreOptions) {
        this.#options = options;
        this.#startedAt = options.clock.getMonotonic();
        this.#versions = options.state.softwareVersions;
    }

    /** Stops writing. */
    close(): void {
        this.#isClosed = true;
    }

    /** Finds or writes the baselines that are not known, if this instance is the writer, and forgets old beginnings. */
    update(): void {
        const { state, clock, isWriter } = this.#options;
        state.recordListedVersions();
        this.#versions.expireBeginnings(clock.getWallTime());
        const isMissing = this.#versions.listServices().some(service =>
            this.#versions.findBaseline(service) === undefined
        );
        if (isMissing && isWriter()) {
            void this.#readBaselines();
        }
    }

    /**
     * Gets the version at which new streams of a service should begin, although targets of others are listed: while no
     * beginning can be recorded, only streams of the baseline can be resumed later. `undefined` for any.
     */
    getPreferredVersion(service: string): string | undefined {
        return this.#hasFailed ? this.#versions.findBaseline(service) : undefined;
    }

    /** Records the beginning of a stream; resolves once the store has the record, or after some time without it. */
    async recordBeginning(
        requestId: string,
        { service, softwareVersion }: Pick<StreamBeginning, "service" | "softwareVersion">,
    ): Promise<void> {
        const beganAt = this.#options.clock.getWallTime();
        const beginning: StreamBeginning = { requestId, service, softwareVersion, beganAt };
        if (!this.#versions.recordBeginning(beginning)) {
            return;
        }
        if (this.#versions.findBaseline(service) === undefined) {
            await waitAtMost(this.#readBaselines(), MAX_RECORD_WAIT_MILLISECONDS);
        }
        if (this.#versions.findBaseline(service) === softwareVersion) {
            return;
        }
        this.#unwritten.push(beginning);
        const hadFailed = this.#hasFailed;
        const written = new Promise<boolean>(resolve => this.#batchListeners.push(() => resolve(true)));
        void this.#writeBatches();
        // The store is known not to take records: the stream is served, and written as soon as it takes them again.
        if (hadFailed || await waitAtMost(written, MAX_RECORD_WAIT_MILLISECONDS) !== true) {
            this.#options.log.record("belief", "stream served without a record", {
                request: requestId,
                service,
                softwareVersion,
                unwritten: this.#unwritten.length,
            });
        }
    }

    /** Finds the software version at which a resumed stream began, and remembers it. */
    async findVersion(
        request: { id: string; resumedRequestId: string | undefined; },
        service: string,
    ): Promise<Resumption> {
        const { state, log, clock } = this.#options;
        const { id, resumedRequestId = "" } = request;
        const isAttemptNamed = resumedRequestId !== "";
        const arrivedAt = clock.getMonotonic();
        state.recordListedVersions();
        let hasReadRecords = false;
        let isInStep = false;
        if (this.#versions.findBaseline(service) === undefined) {
            await waitAtMost(this.#readBaselines(), MAX_READ_WAIT_MILLISECONDS);
        }
        if (isAttemptNamed && this.#versions.findVersion(resumedRequestId, service) === undefined) {
            hasReadRecords = await this.#readInTime(() => this.#readNewerRecords());
        }
        const isRecordMissing = this.#versions.findVersion(resumedRequestId, service) === undefined;
        if (isRecordMissing && !hasReadRecords && this.#versions.isBaselineAlone(service)) {
            isInStep = await this.#waitUntilInStep(arrivedAt, { isAttemptNamed });
            state.recordListedVersions();
        }
        const input = {
            recordedVersion: this.#versions.findVersion(resumedRequestId, service),
            baseline: this.#versions.findBaseline(service),
            isAttemptNamed,
            hasReadRecords,
            isBaselineAlone: this.#versions.isBaselineAlone(service),
            isInStep,
        };
        const resumption = decideResumption(input);
        log.record("trouble", "resumption decided", {
            request: id,
            resumedRequest: resumedRequestId,
            ...input,
            ...resumption,
        });
        if (resumption.kind === "bound" && isAttemptNamed) {
            const { softwareVersion } = resumption;
            const beganAt = clock.getWallTime();
            this.#versions.recordBeginning({ requestId: resumedRequestId, service, softwareVersion, beganAt });
        }
        return resumption;
    }

    /**
     * Waits until it is known that this instance has not missed a new version: if the records could not be read, most
     * peers have to show that they know of no newer list of targets; otherwise the list is read from the store.
     */
    async #waitUntilInStep(arrivedAt: number, { isAttemptNamed }: { isAttemptNamed: boolean; }): Promise<boolean> {
        const { clock, isInStepSince, readTargets } = this.#options;
        if (!isAttemptNamed && await this.#readInTime(readTargets)) {
            return true;
        }
        while (!this.#isClosed && clock.getMonotonic() - arrivedAt < MAX_PEER_WAIT_MILLISECONDS) {
            if (isInStepSince(arrivedAt + PAUSE_BACKLOG_MILLISECONDS)) {
                return true;
            }
            await waitMilliseconds(PEER_POLL_MILLISECONDS);
        }
        return false;
    }

    /** Reads from the store, again after a failure: the connections of a process that was paused may be lost. */
    async #readInTime(read: () => Promise<boolean>): Promise<boolean> {
        const { clock } = this.#options;
        const deadline = clock.getMonotonic() + MAX_READ_WAIT_MILLISECONDS;
        while (!this.#isClosed) {
            const remaining = deadline - clock.getMonotonic();
            if (remaining <= 0) {
                break;
            }
            if (await waitAtMost(read(), remaining) === true) {
                return true;
            }
            await waitMilliseconds(Math.min(READ_RETRY_MILLISECONDS, Math.max(0, deadline - clock.getMonotonic())));
        }
        return false;
    }

    /** Has everything written again that a restored store may lack. */
    handleRestore(): void {
        const written = [...this.#ownObjects?.values() ?? []].flatMap(({ beginnings }) => beginnings);
        this.#ownObjects = undefined;
        this.#unwritten = [...written, ...this.#unwritten];
        const baselines = this.#options.isWriter() ? Object.entries(this.#versions.listBaselines()) : [];
        for (const [service, softwareVersion] of baselines) {
            void this.#options.store.putObject(StoreKind.baselines, encodeBaseline({ service, softwareVersion }))
                .then(reply => this.#checkReply(reply, { kind: StoreKind.baselines, call: "write" }));
        }
        void this.#writeBatches();
    }

    /** Reads the baselines, and writes those of services that have none, unless this was done lately. */
    async #readBaselines(): Promise<void> {
        const { clock } = this.#options;
        if (this.#baselineCall === undefined && clock.getMonotonic() < this.#baselineRetryAt) {
            return;
        }
        this.#baselineCall ??= this.#readAndCreateBaselines().then(isRead => {
            this.#baselineCall = undefined;
            this.#baselineRetryAt = clock.getMonotonic()
                + (isRead ? BASELINE_INTERVAL_MILLISECONDS : RETRY_MILLISECONDS);
        });
        await this.#baselineCall;
    }

    async #readAndCreateBaselines(): Promise<boolean> {
        const { store, clock } = this.#options;
        const reply = await store.listObjects(StoreKind.baselines);
        if (!this.#checkReply(reply, { kind: StoreKind.baselines, call: "list" }) || reply.kind !== "ok") {
            return false;
        }
        for (const object of reply.value.objects) {
            const stored = decodeBaseline(object);
            if (stored === undefined) {
                this.#logUnusable(StoreKind.baselines, object);
            }
            else if (!await this.#replaceBaseline(object, stored)) {
                this.#versions.setBaseline(stored.service, { ...stored, now: clock.getMonotonic() });
            }
        }
        const stored = new Set(reply.value.objects.map(({ name }) => name));
        const calls = this.#versions.listServices().filter(service => !stored.has(service))
            .map(service => this.#createBaseline(service));
        return (await Promise.all(calls)).every(isCreated => isCreated);
    }

    /** Writes the first baseline of a service. Any version will do: until then the streams of all were recorded. */
    async #createBaseline(service: string): Promise<boolean> {
        const [softwareVersion] = this.#versions.listVersions(service);
        if (softwareVersion === undefined) {
            return true;
        }
        const object = encodeBaseline({ service, softwareVersion });
        const reply = await this.#options.store.createObject(StoreKind.baselines, object);
        const isCreated = this.#checkReply(reply, { kind: StoreKind.baselines, call: "create" });
        if (isCreated) {
            this.#setNewBaseline(service, softwareVersion);
        }
        return isCreated;
    }

    /**
     * Replaces a baseline that has had no targets within the window of resumptions by the only version that has had some;
     * returns whether it did. Its streams have been recorded so far, and those of the former baseline can't be resumed.
     */
    async #replaceBaseline(
        object: StoreObject,
        { service, softwareVersion: former }: { service: string; softwareVersion: string; },
    ): Promise<boolean> {
        const { store, clock, isWriter } = this.#options;
        const [softwareVersion, ...others] = this.#versions.listVersions(service);
        const hasObservedWindow = clock.getMonotonic() - this.#startedAt > RESUMPTION_WINDOW_MILLISECONDS;
        const isReplaceable = others.length === 0 && softwareVersion !== former && hasObservedWindow;
        if (softwareVersion === undefined || !isReplaceable || !isWriter()) {
            return false;
        }
        const { name, spec } = encodeBaseline({ service, softwareVersion });
        const reply = await store.updateObject(StoreKind.baselines, { name, spec, revision: object.revision });
        if (!this.#checkReply(reply, { kind: StoreKind.baselines, call: "write" })) {
            return false;
        }
        this.#setNewBaseline(service, softwareVersion);
        return true;
    }

    #setNewBaseline(service: string, softwareVersion: string): void {
        this.#versions.setBaseline(service, { softwareVersion, now: this.#options.clock.getMonotonic() });
        this.#options.log.record("belief", "baseline set", { service, softwareVersion });
    }

    /** Writes the unwritten beginnings, batch by batch, until there are none. */
    async #writeBatches(): Promise<void> {
        if (this.#isWriting) {
            return;
        }
        this.#isWriting = true;
        while (this.#unwritten.length > 0 && !this.#isClosed) {
            const batch = this.#unwritten;
            const listeners = this.#batchListeners;
            this.#unwritten = [];
            this.#batchListeners = [];
            const isWritten = await this.#writeBatch(batch);
            this.#hasFailed = !isWritten;
            if (isWritten) {
                listeners.forEach(listener => listener());
            }
            else {
                this.#unwritten = [...batch, ...this.#unwritten];
                this.#batchListeners = [...listeners, ...this.#batchListeners];
            }
            const interval = BATCH_INTERVAL_PER_INSTANCE_MILLISECONDS * this.#options.state.instances;
            await waitMilliseconds(isWritten ? interval : RETRY_MILLISECONDS);
        }
        this.#isWriting = false;
    }

    async #writeBatch(batch: readonly StreamBeginning[]): Promise<boolean> {
        // Objects of an earlier life of this instance may hold beginnings within the window.
        if (this.#ownObjects === undefined && !await this.#readRecords() || this.#ownObjects === undefined) {
            return false;
        }
        const { instance, store, clock } = this.#options;
        const now = clock.getWallTime();
        const name = `${instance}.${Math.floor(now / OBJECT_PERIOD_MILLISECONDS) % OBJECTS_PER_INSTANCE}`;
        const previous = this.#ownObjects.get(name);
        const current = previous?.beginnings.filter(({ beganAt }) => now - beganAt <= RESUMPTION_WINDOW_MILLISECONDS);
        const beginnings = [...current ?? [], ...batch];
        const object = encodeStreamBeginnings(name, beginnings);
        // A call without a reply may be carried out late; the revision keeps it from undoing a later one.
        const reply = previous === undefined
            ? await store.createObject(StoreKind.streamBeginnings, object)
            : await store.updateObject(StoreKind.streamBeginnings, { ...object, revision: previous.revision });
        if (!this.#checkReply(reply, { kind: StoreKind.streamBeginnings, call: "write" }) || reply.kind !== "ok") {
            this.#ownObjects = undefined;
            return false;
        }
        this.#ownObjects?.set(name, { revision: reply.value.revision, beginnings });
        return true;
    }

    /** Reads the records as they are now; a reading that has begun before may lack the latest ones. */
    async #readNewerRecords(): Promise<boolean> {
        await this.#reading;
        return this.#readRecords();
    }

    #readRecords(): Promise<boolean> {
        this.#reading ??= this.#listRecords().finally(() => {
            this.#reading = undefined;
        });
        return this.#reading;
    }

    async #listRecords(): Promise<boolean> {
        const { store, instance } = this.#options;
        const reply = await store.listObjects(StoreKind.streamBeginnings);
        if (!this.#checkReply(reply, { kind: StoreKind.streamBeginnings, call: "list" }) || reply.kind !== "ok") {
            return false;
        }
        const ownObjects = new Map<string, OwnObject>();
        for (const object of reply.value.objects) {
            const beginnings = decodeStreamBeginnings(object);
            if (beginnings === undefined) {
                this.#logUnusable(StoreKind.streamBeginnings, object);
                continue;
            }
            beginnings.forEach(beginning => this.#versions.recordBeginning(beginning));
            if (object.name.startsWith(`${instance}.`)) {
                ownObjects.set(object.name, { revision: object.revision, beginnings });
            }
        }
        this.#ownObjects ??= ownObjects;
        return true;
    }

    #logUnusable(kind: string, { name, revision }: StoreObject): void {
        this.#options.log.record("belief", "store object unusable", { kind, name, revision });
    }

    /** Counts a call, and logs it if it failed; returns whether it succeeded. */
    #checkReply(reply: StoreReply<unknown>, { kind, call }: { kind: string; call: string; }): boolean {
        this.#options.metrics.countStoreCall(kind, reply.kind);
        if (reply.kind !== "ok") {
            this.#options.log.record("process", "stream versions not stored", {
                ...reply,
                kind,
                call,
                failure: reply.kind,
            });
        }
        return reply.kind === "ok";
    }
}

/** Waits for a result for up to `milliseconds`; resolves to `undefined` if there is none by then. */
async function waitAtMost<Result>(result: Promise<Result>, milliseconds: number): Promise<Result | undefined> {
    return Promise.race([result, waitMilliseconds(milliseconds).then(() => undefined)]);
}
