/**
 * One shard of the claim log, an append-only log of segments in the platform's object store.
 *
 * Each append creates the segment with the next sequence number, on the condition that it does not exist. For an owner
 * that has not read every earlier segment the number is already taken and the append fails, so two owners cannot both
 * claim a key.
 *
 * @module
 */
import type { PlatformReply, PlatformRequest } from "../platform/mod.ts";
import { ClaimIndex } from "./claim_index.ts";
import type { ClaimShardEffect, ClaimShardOptions, ShardTimes } from "./claim_shard_types.ts";
import type { ClaimEntry, ClaimRequest, ClaimSegment } from "./claim_types.ts";
import { parseSegment, SegmentIndex } from "./segment_index.ts";

interface PendingClaim {
    request: ClaimRequest;
    expiresAt: number;
    /** True once the claim has timed out or its request has been settled, so that no result is to be sent. */
    isAbandoned: boolean;
}

type ShardCall = "list" | "append" | "read" | "remove";

interface PendingAppend {
    sequence: number;
    segment: ClaimSegment;
    claims: PendingClaim[];
    startedAt: ShardTimes;
    /** True if it is unknown whether the segment exists: no reply arrived, or its sequence number is taken. */
    isInDoubt: boolean;
}

const DEFAULT_RETENTION_MILLISECONDS = 24 * 3600 * 1000;
const DEFAULT_CLAIM_TIMEOUT_MILLISECONDS = 1500;
const DEFAULT_APPEND_PAUSE_MILLISECONDS = 15;
const DEFAULT_MAX_INDEX_AGE_MILLISECONDS = 600_000;
/** Maximum number of claims, and also of settlements, in one segment. */
const MAX_ENTRIES_PER_SEGMENT = 512;
/** Maximum number of queued settlements; further ones are dropped, and the instances that sent them send them again. */
const MAX_QUEUED_SETTLEMENTS = 20_000;
const MIN_BACKOFF_MILLISECONDS = 100;
const MAX_BACKOFF_MILLISECONDS = 1000;
/** Number of retention periods after which a segment is removed. */
const SEGMENT_RETENTION_FACTOR = 2;
/** Age of the index above which the log is read again before a key is reported as held, in milliseconds. */
const MAX_HELD_INDEX_AGE_MILLISECONDS = 500;

/** Appends the claims and settlements of one shard to its log, and reports the results once they are durable. */
export class ClaimShard {
    readonly #name: string;
    readonly #options: ClaimShardOptions;
    #index = new ClaimIndex();
    #state: "unloaded" | "loading" | "ready" = "unloaded";
    #segments: SegmentIndex;
    /** Time at which the index was last known to include every segment. */
    #verifiedAt: ShardTimes | undefined;
    #claims: PendingClaim[] = [];
    #settlements: ClaimEntry[] = [];
    #append: PendingAppend | undefined;
    #pendingCall: ShardCall | undefined;
    #backoffMilliseconds = 0;
    #nextCallAt = 0;

    /** @param name Name of the shard. */
    constructor(name: string, options: ClaimShardOptions) {
        this.#name = name;
        this.#options = options;
        this.#segments = new SegmentIndex(name);
    }

    /** True if no claim or settlement is pending. */
    get isIdle(): boolean {
        return this.#claims.length === 0 && this.#settlements.length === 0 && this.#append === undefined;
    }

    /** Handles a claim request; a repeated request of the same attempt is ignored while the first is pending. */
    handleClaim(request: ClaimRequest, times: ShardTimes): ClaimShardEffect[] {
        const isSameHolder = (claim: PendingClaim): boolean => claim.request.holder === request.holder;
        if (this.#claims.some(isSameHolder) || this.#append?.claims.some(isSameHolder)) {
            return [];
        }
        if (this.#backoffMilliseconds > 0) {
            return [{ kind: "result", holder: request.holder, result: { kind: "unavailable" } }];
        }
        if (this.#isHeldResultStale(request, times)) {
            this.#resumeLoading();
        }
        const timeout = this.#options.claimTimeoutMilliseconds ?? DEFAULT_CLAIM_TIMEOUT_MILLISECONDS;
        this.#claims.push({ request, expiresAt: times.now + timeout, isAbandoned: false });
        return this.#runStep(times);
    }

    /** Handles the settlement of a claimed request: its outcome, or `void` if the request did not run. */
    handleSettlement(entry: Exclude<ClaimEntry, { kind: "claim"; }>, times: ShardTimes): ClaimShardEffect[] {
        this.#abandonClaims(claim => claim.request.holder === entry.holder);
        if (this.#settlements.length < MAX_QUEUED_SETTLEMENTS) {
            this.#settlements.push(entry);
        }
        return this.#runStep(times);
    }

    /** Reports claims that timed out as unavailable, and starts the next call to the platform if one is due. */
    handleTick(times: ShardTimes): ClaimShardEffect[] {
        const expired: ClaimShardEffect[] = [];
        for (const claim of [...this.#claims, ...this.#append?.claims ?? []]) {
            if (claim.expiresAt <= times.now && !claim.isAbandoned) {
                claim.isAbandoned = true;
                expired.push({ kind: "result", holder: claim.request.holder, result: { kind: "unavailable" } });
            }
        }
        this.#claims = this.#claims.filter(claim => !claim.isAbandoned);
        this.#index.removeExpired(times.wallTime - this.#retentionMilliseconds);
        return [...expired, ...this.#runStep(times)];
    }

    /** Handles the platform's reply to the pending call. */
    handleReply(reply: PlatformReply, times: ShardTimes): ClaimShardEffect[] {
        const call = this.#pendingCall;
        this.#pendingCall = undefined;
        if (reply.kind === "unavailable") {
            this.#handleUnavailable(call, times);
            return this.#runStep(times);
        }
        this.#backoffMilliseconds = 0;
        const handlers: Record<ShardCall, (reply: PlatformReply, times: ShardTimes) => ClaimShardEffect[]> = {
            list: (pageReply, replyTimes) => this.#handlePage(pageReply, replyTimes),
            append: (appendReply, replyTimes) => this.#handleAppendReply(appendReply, replyTimes),
            read: (readReply, replyTimes) => this.#handleReadBackReply(readReply, replyTimes),
            remove: () => [],
        };
        const effects = call === undefined ? [] : handlers[call](reply, times);
        return [...effects, ...this.#runStep(times)];
    }

    /** Describes the shard, for a state dump. */
    dumpState(): Record<string, unknown> {
        return {
            name: this.#name,
            state: this.#state,
            keys: this.#index.size,
            nextSequence: this.#segments.nextSequence,
            waitingClaims: this.#claims.length,
            waitingSettlements: this.#settlements.length,
            isAppending: this.#append !== undefined,
            backoffMilliseconds: this.#backoffMilliseconds,
        };
    }

    get #retentionMilliseconds(): number {
        return this.#options.retentionMilliseconds ?? DEFAULT_RETENTION_MILLISECONDS;
    }

    /** Reports results that the index holds, and starts the next call unless one is pending or must wait. */
    #runStep(times: ShardTimes): ClaimShardEffect[] {
        if (this.#pendingCall !== undefined || times.now < this.#nextCallAt) {
            return [];
        }
        const results = this.#state === "ready" ? this.#reportFromIndex() : [];
        const request = this.#chooseNextCall(times);
        return request === undefined ? results : [...results, { kind: "platform", request }];
    }

    #chooseNextCall(times: ShardTimes): PlatformRequest | undefined {
        if (this.#append !== undefined) {
            return this.#append.isInDoubt ? this.#readBack() : this.#sendAppend();
        }
        const hasWork = this.#claims.length > 0 || this.#settlements.length > 0;
        if (!hasWork) {
            return this.#state === "ready" ? this.#removeOldest(times) : undefined;
        }
        if (this.#state !== "ready" || this.#isIndexStale(times)) {
            return this.#startLoading();
        }
        this.#append = this.#buildAppend(times);
        return this.#sendAppend();
    }

    /** Checks whether the index is so old that segments not read yet may have been appended and removed since. */
    #isIndexStale(times: ShardTimes): boolean {
        const maxAge = this.#options.maxIndexAgeMilliseconds ?? DEFAULT_MAX_INDEX_AGE_MILLISECONDS;
        const verifiedAt = this.#verifiedAt;
        return verifiedAt === undefined || times.now - verifiedAt.now > maxAge
            || times.wallTime - verifiedAt.wallTime > maxAge;
    }

    /** Requests the next page of segments; the index is first cleared unless loading is in progress. */
    #startLoading(): PlatformRequest {
        if (this.#state !== "loading") {
            this.#state = "loading";
            this.#index = new ClaimIndex();
            this.#segments = new SegmentIndex(this.#name);
        }
        this.#pendingCall = "list";
        return { kind: "list", prefix: this.#segments.prefix, after: this.#segments.lastKey };
    }

    /** Checks whether the key is held, but another owner may have logged its outcome since the last read. */
    #isHeldResultStale(request: ClaimRequest, times: ShardTimes): boolean {
        const isHeld = this.#index.findResult(request)?.kind === "held";
        const age = times.now - (this.#verifiedAt?.now ?? -Infinity);
        return this.#state === "ready" && this.#append === undefined && isHeld && age > MAX_HELD_INDEX_AGE_MILLISECONDS;
    }

    /** Makes the next call read the segments after the last known one; the index is kept. */
    #resumeLoading(): void {
        this.#state = "loading";
    }

    #handlePage(reply: PlatformReply, times: ShardTimes): ClaimShardEffect[] {
        if (reply.kind !== "page") {
            return [];
        }
        for (const object of reply.objects) {
            for (const entry of this.#segments.addObject(object)?.entries ?? []) {
                this.#index.applyEntry(entry);
            }
        }
        if (!reply.hasMore) {
            this.#state = "ready";
            this.#verifiedAt = times;
        }
        return [];
    }

    /** Reports the results of pending claims whose keys the index contains. */
    #reportFromIndex(): ClaimShardEffect[] {
        const effects: ClaimShardEffect[] = [];
        const remaining: PendingClaim[] = [];
        for (const claim of this.#claims) {
            const result = this.#index.findResult(claim.request);
            const isSettling = result?.kind === "held" && this.#isSettling(claim.request.key);
            if (result === undefined || isSettling) {
                remaining.push(claim);
            }
            else {
                effects.push({ kind: "result", holder: claim.request.holder, result });
            }
        }
        this.#claims = remaining;
        return effects;
    }

    /** Checks whether a settlement of `key` is not yet durable; repeated requests wait for it. */
    #isSettling(key: string): boolean {
        const entries = [...this.#settlements, ...this.#append?.segment.entries ?? []];
        return entries.some(entry => entry.kind !== "claim" && entry.key === key);
    }

    /** Builds a segment from pending claims and settlements; it claims each key at most once. */
    #buildAppend(times: ShardTimes): PendingAppend {
        const settlements = this.#settlements.splice(0, MAX_ENTRIES_PER_SEGMENT);
        const keys = new Set<string>();
        const claims: PendingClaim[] = [];
        const deferred: PendingClaim[] = [];
        for (const claim of this.#claims) {
            const isKnown = this.#index.findResult(claim.request) !== undefined;
            const isDeferred = isKnown || keys.has(claim.request.key) || claims.length >= MAX_ENTRIES_PER_SEGMENT;
            (isDeferred ? deferred : claims).push(claim);
            keys.add(claim.request.key);
        }
        this.#claims = deferred;
        const entries: ClaimEntry[] = [
            ...settlements,
            ...claims.map(({ request }) => ({ kind: "claim" as const, ...request, at: times.wallTime })),
        ];
        const { author } = this.#options;
        const segment = { nonce: this.#options.createNonce(), author, at: times.wallTime, entries };
        return { sequence: this.#segments.nextSequence, segment, claims, startedAt: times, isInDoubt: false };
    }

    #sendAppend(): PlatformRequest {
        const append = this.#append;
        if (append === undefined) {
            throw new Error("Cannot append to the claim log: no append is pending.");
        }
        this.#pendingCall = "append";
        return {
            kind: "create",
            key: this.#segments.formatKey(append.sequence),
            value: JSON.stringify(append.segment),
        };
    }

    #readBack(): PlatformRequest {
        this.#pendingCall = "read";
        return { kind: "read", key: this.#segments.formatKey(this.#append?.sequence ?? 0) };
    }

    #handleUnavailable(call: ShardCall | undefined, times: ShardTimes): void {
        if (call === "append" && this.#append !== undefined) {
            this.#append.isInDoubt = true;
        }
        this.#backoffMilliseconds = Math.min(
            MAX_BACKOFF_MILLISECONDS,
            Math.max(MIN_BACKOFF_MILLISECONDS, this.#backoffMilliseconds * 2),
        );
        this.#nextCallAt = times.now + this.#backoffMilliseconds;
    }

    #handleAppendReply(reply: PlatformReply, times: ShardTimes): ClaimShardEffect[] {
        if (reply.kind === "done") {
            return this.#finishAppend(times);
        }
        if (this.#append !== undefined) {
            // An earlier attempt at this append may have taken the sequence number if its reply was lost.
            this.#append.isInDoubt = true;
        }
        return [];
    }

    #handleReadBackReply(reply: PlatformReply, times: ShardTimes): ClaimShardEffect[] {
        const append = this.#append;
        if (append === undefined) {
            return [];
        }
        if (reply.kind === "missing") {
            // The retry creates the same bytes, so it does not matter which of the two creations takes effect first.
            append.isInDoubt = false;
            return [];
        }
        const isOwnSegment = reply.kind === "object"
            && parseSegment(reply.object.value)?.nonce === append.segment.nonce;
        if (isOwnSegment) {
            return this.#finishAppend(times);
        }
        this.#queueAgain(append);
        this.#resumeLoading();
        return [];
    }

    #finishAppend(times: ShardTimes): ClaimShardEffect[] {
        const append = this.#append;
        if (append === undefined) {
            return [];
        }
        this.#append = undefined;
        if (this.#isAppendStale(append, times)) {
            return this.#dropAppend(append);
        }
        for (const entry of append.segment.entries) {
            this.#index.applyEntry(entry);
        }
        this.#segments.addSegment(append.sequence, append.segment.at);
        this.#verifiedAt = append.startedAt;
        this.#nextCallAt = times.now + (this.#options.appendPauseMilliseconds ?? DEFAULT_APPEND_PAUSE_MILLISECONDS);
        return this.#buildAppendResults(append);
    }

    /** Checks whether the append took so long, because the process was paused for example, that it proves nothing. */
    #isAppendStale(append: PendingAppend, times: ShardTimes): boolean {
        const maxAge = this.#options.maxIndexAgeMilliseconds ?? DEFAULT_MAX_INDEX_AGE_MILLISECONDS;
        const { now, wallTime } = append.startedAt;
        return times.now - now > maxAge || times.wallTime - wallTime > maxAge;
    }

    /**
     * Discards a stale append: its claims are unavailable, and its settlements are queued again.
     *
     * Its sequence number may have been used by another segment that was removed since, so the append proves nothing.
     */
    #dropAppend(append: PendingAppend): ClaimShardEffect[] {
        this.#state = "unloaded";
        this.#settlements.unshift(...append.segment.entries.filter(entry => entry.kind !== "claim"));
        return append.claims.filter(claim => !claim.isAbandoned).map(({ request }) => ({
            kind: "result",
            holder: request.holder,
            result: { kind: "unavailable" },
        }));
    }

    /** Reports the results of a durable append, and queues a `void` entry for each claim abandoned in the meantime. */
    #buildAppendResults(append: PendingAppend): ClaimShardEffect[] {
        const effects: ClaimShardEffect[] = [];
        for (const { request, isAbandoned } of append.claims) {
            if (isAbandoned) {
                this.#settlements.push({ kind: "void", key: request.key, holder: request.holder });
            }
            else {
                effects.push({ kind: "result", holder: request.holder, result: { kind: "claimed" } });
            }
        }
        for (const entry of append.segment.entries) {
            if (entry.kind !== "claim") {
                effects.push({ kind: "settled", holder: entry.holder });
            }
        }
        return effects;
    }

    #queueAgain(append: PendingAppend): void {
        this.#append = undefined;
        this.#claims.unshift(...append.claims.filter(claim => !claim.isAbandoned));
        this.#settlements.unshift(...append.segment.entries.filter(entry => entry.kind !== "claim"));
    }

    #abandonClaims(isMatching: (claim: PendingClaim) => boolean): void {
        this.#claims = this.#claims.filter(claim => !isMatching(claim));
        for (const claim of this.#append?.claims ?? []) {
            claim.isAbandoned ||= isMatching(claim);
        }
    }

    /** Removes the oldest segment if it is past its retention period. */
    #removeOldest(times: ShardTimes): PlatformRequest | undefined {
        const key = this.#segments.takeExpired(times.wallTime - SEGMENT_RETENTION_FACTOR * this.#retentionMilliseconds);
        if (key === undefined) {
            return undefined;
        }
        this.#pendingCall = "remove";
        return { kind: "remove", key };
    }
}
