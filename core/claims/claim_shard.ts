/**
 * One shard of the claim log.
 *
 * A segment is created conditionally at the next sequence number. Whoever has not read every earlier segment finds its
 * number taken, so two owners can't both claim a key.
 *
 * @module
 */
import type { PlatformReply, PlatformRequest } from "../platform/mod.ts";
import { ClaimIndex } from "./claim_index.ts";
import type { ClaimShardEffect, ClaimShardOptions, ShardTimes } from "./claim_shard_types.ts";
import type { ClaimEntry, ClaimRequest, ClaimSegment } from "./claim_types.ts";
import { parseSegment, SegmentTrail } from "./segment_trail.ts";

interface PendingClaim {
    request: ClaimRequest;
    expiresAt: number;
    isAbandoned: boolean;
}

type ShardCall = "list" | "append" | "read" | "remove";

interface Append {
    sequence: number;
    segment: ClaimSegment;
    claims: PendingClaim[];
    startedAt: ShardTimes;
    /** True once an answer was lost, so that the object may or may not exist. */
    isInDoubt: boolean;
}

const DEFAULT_HORIZON = 24 * 3600 * 1000;
const DEFAULT_CLAIM_TIMEOUT = 1500;
const DEFAULT_LINGER = 15;
const DEFAULT_MAX_QUIET = 600_000;
const MAX_ENTRIES_PER_SEGMENT = 512;
const MAX_QUEUED_SETTLEMENTS = 20_000;
const MIN_BACKOFF = 100;
const MAX_BACKOFF = 1000;
/** Horizons after which a segment is removed. */
const RETENTION_FACTOR = 2;
/** Age of the index above which the log is read before a key is called held, in milliseconds. */
const MAX_HELD_AGE = 500;

/** Claims keys of one shard, durably. */
export class ClaimShard {
    readonly #name: string;
    readonly #options: ClaimShardOptions;
    #index = new ClaimIndex();
    #state: "unloaded" | "loading" | "ready" = "unloaded";
    #trail: SegmentTrail;
    #verifiedAt: ShardTimes | undefined;
    #claims: PendingClaim[] = [];
    #settlements: ClaimEntry[] = [];
    #append: Append | undefined;
    #call: ShardCall | undefined;
    #backoff = 0;
    #notBefore = 0;

    /** @param name Name of the shard. */
    constructor(name: string, options: ClaimShardOptions) {
        this.#name = name;
        this.#options = options;
        this.#trail = new SegmentTrail(name);
    }

    /** True where nothing is being claimed or settled. */
    get isIdle(): boolean {
        return this.#claims.length === 0 && this.#settlements.length === 0 && this.#append === undefined;
    }

    /** Takes a request for a claim. */
    handleClaim(request: ClaimRequest, times: ShardTimes): ClaimShardEffect[] {
        const isSame = (claim: PendingClaim): boolean => claim.request.holder === request.holder;
        if (this.#claims.some(isSame) || this.#append?.claims.some(isSame)) {
            return [];
        }
        if (this.#backoff > 0) {
            return [{ kind: "result", holder: request.holder, result: { kind: "unavailable" } }];
        }
        if (this.#isHeldLongAgo(request, times)) {
            this.#startCatchingUp();
        }
        const timeout = this.#options.claimTimeout ?? DEFAULT_CLAIM_TIMEOUT;
        this.#claims.push({ request, expiresAt: times.now + timeout, isAbandoned: false });
        return this.#continue(times);
    }

    /** Takes the end of a claimed request: its outcome, or that it did not run. */
    handleSettlement(entry: Exclude<ClaimEntry, { kind: "claim"; }>, times: ShardTimes): ClaimShardEffect[] {
        this.#abandonClaims(claim => claim.request.holder === entry.holder);
        if (this.#settlements.length < MAX_QUEUED_SETTLEMENTS) {
            this.#settlements.push(entry);
        }
        return this.#continue(times);
    }

    /** Lets claims time out and starts what is due. */
    handleTick(times: ShardTimes): ClaimShardEffect[] {
        const expired: ClaimShardEffect[] = [];
        for (const claim of [...this.#claims, ...this.#append?.claims ?? []]) {
            if (claim.expiresAt <= times.now && !claim.isAbandoned) {
                claim.isAbandoned = true;
                expired.push({ kind: "result", holder: claim.request.holder, result: { kind: "unavailable" } });
            }
        }
        this.#claims = this.#claims.filter(claim => !claim.isAbandoned);
        this.#index.removeOlder(times.wallTime - this.#horizon);
        return [...expired, ...this.#continue(times)];
    }

    /** Takes the answer to the call that this shard has made. */
    handleReply(reply: PlatformReply, times: ShardTimes): ClaimShardEffect[] {
        const call = this.#call;
        this.#call = undefined;
        if (reply.kind === "unavailable") {
            this.#handleUnavailable(call, times);
            return this.#continue(times);
        }
        this.#backoff = 0;
        const handlers: Record<ShardCall, (reply: PlatformReply, times: ShardTimes) => ClaimShardEffect[]> = {
            list: (page, at) => this.#handlePage(page, at),
            append: (done, at) => this.#handleAppended(done, at),
            read: (object, at) => this.#handleReadBack(object, at),
            remove: () => [],
        };
        const effects = call === undefined ? [] : handlers[call](reply, times);
        return [...effects, ...this.#continue(times)];
    }

    /** Describes the shard, for a dump. */
    dumpState(): Record<string, unknown> {
        return {
            name: this.#name,
            state: this.#state,
            keys: this.#index.size,
            nextSequence: this.#trail.nextSequence,
            waitingClaims: this.#claims.length,
            waitingSettlements: this.#settlements.length,
            isAppending: this.#append !== undefined,
            backoffMilliseconds: this.#backoff,
        };
    }

    get #horizon(): number {
        return this.#options.horizonMilliseconds ?? DEFAULT_HORIZON;
    }

    #continue(times: ShardTimes): ClaimShardEffect[] {
        if (this.#call !== undefined || times.now < this.#notBefore) {
            return [];
        }
        const answers = this.#state === "ready" ? this.#answerKnown() : [];
        const request = this.#chooseRequest(times);
        return request === undefined ? answers : [...answers, { kind: "platform", request }];
    }

    #chooseRequest(times: ShardTimes): PlatformRequest | undefined {
        if (this.#append !== undefined) {
            return this.#append.isInDoubt ? this.#readBack() : this.#sendAppend();
        }
        const hasWork = this.#claims.length > 0 || this.#settlements.length > 0;
        if (!hasWork) {
            return this.#state === "ready" ? this.#removeOldest(times) : undefined;
        }
        if (this.#state !== "ready" || this.#isStale(times)) {
            return this.#startLoading();
        }
        this.#append = this.#buildAppend(times);
        return this.#sendAppend();
    }

    /** Tells whether so much time has passed that earlier segments may have been removed. */
    #isStale(times: ShardTimes): boolean {
        const quiet = this.#options.maxQuietMilliseconds ?? DEFAULT_MAX_QUIET;
        const since = this.#verifiedAt;
        return since === undefined || times.now - since.now > quiet || times.wallTime - since.wallTime > quiet;
    }

    #startLoading(): PlatformRequest {
        if (this.#state !== "loading") {
            this.#state = "loading";
            this.#index = new ClaimIndex();
            this.#trail = new SegmentTrail(this.#name);
        }
        this.#call = "list";
        return { kind: "list", prefix: this.#trail.prefix, after: this.#trail.lastKey };
    }

    /** Tells whether another owner may have recorded how the request ended since the log was last read. */
    #isHeldLongAgo(request: ClaimRequest, times: ShardTimes): boolean {
        const isHeld = this.#index.findResult(request)?.kind === "held";
        const age = times.now - (this.#verifiedAt?.now ?? -Infinity);
        return this.#state === "ready" && this.#append === undefined && isHeld && age > MAX_HELD_AGE;
    }

    #startCatchingUp(): void {
        this.#state = "loading";
    }

    #handlePage(reply: PlatformReply, times: ShardTimes): ClaimShardEffect[] {
        if (reply.kind !== "page") {
            return [];
        }
        for (const object of reply.objects) {
            for (const entry of this.#trail.addObject(object)?.entries ?? []) {
                this.#index.applyEntry(entry);
            }
        }
        if (!reply.hasMore) {
            this.#state = "ready";
            this.#verifiedAt = times;
        }
        return [];
    }

    /** Answers the claims whose keys the index knows. */
    #answerKnown(): ClaimShardEffect[] {
        const effects: ClaimShardEffect[] = [];
        const free: PendingClaim[] = [];
        for (const claim of this.#claims) {
            const result = this.#index.findResult(claim.request);
            const isSettling = result?.kind === "held" && this.#isSettling(claim.request.key);
            if (result === undefined || isSettling) {
                free.push(claim);
            }
            else {
                effects.push({ kind: "result", holder: claim.request.holder, result });
            }
        }
        this.#claims = free;
        return effects;
    }

    /** Tells whether the end of the request with `key` is on its way into the log; its repeats wait for it. */
    #isSettling(key: string): boolean {
        const entries = [...this.#settlements, ...this.#append?.segment.entries ?? []];
        return entries.some(entry => entry.kind !== "claim" && entry.key === key);
    }

    /** Takes waiting claims and settlements into one segment; a key is claimed at most once in it. */
    #buildAppend(times: ShardTimes): Append {
        const settlements = this.#settlements.splice(0, MAX_ENTRIES_PER_SEGMENT);
        const keys = new Set<string>();
        const claims: PendingClaim[] = [];
        const later: PendingClaim[] = [];
        for (const claim of this.#claims) {
            const isKnown = this.#index.findResult(claim.request) !== undefined;
            const isTaken = isKnown || keys.has(claim.request.key) || claims.length >= MAX_ENTRIES_PER_SEGMENT;
            (isTaken ? later : claims).push(claim);
            keys.add(claim.request.key);
        }
        this.#claims = later;
        const entries: ClaimEntry[] = [
            ...settlements,
            ...claims.map(({ request }) => ({ kind: "claim" as const, ...request, at: times.wallTime })),
        ];
        const { author } = this.#options;
        const segment = { nonce: this.#options.createNonce(), author, at: times.wallTime, entries };
        return { sequence: this.#trail.nextSequence, segment, claims, startedAt: times, isInDoubt: false };
    }

    #sendAppend(): PlatformRequest {
        const append = this.#append;
        if (append === undefined) {
            throw new Error("Cannot append to the claim log: nothing is waiting.");
        }
        this.#call = "append";
        return { kind: "create", key: this.#trail.formatKey(append.sequence), value: JSON.stringify(append.segment) };
    }

    #readBack(): PlatformRequest {
        this.#call = "read";
        return { kind: "read", key: this.#trail.formatKey(this.#append?.sequence ?? 0) };
    }

    #handleUnavailable(call: ShardCall | undefined, times: ShardTimes): void {
        if (call === "append" && this.#append !== undefined) {
            this.#append.isInDoubt = true;
        }
        this.#backoff = Math.min(MAX_BACKOFF, Math.max(MIN_BACKOFF, this.#backoff * 2));
        this.#notBefore = times.now + this.#backoff;
    }

    #handleAppended(reply: PlatformReply, times: ShardTimes): ClaimShardEffect[] {
        if (reply.kind === "done") {
            return this.#finishAppend(times);
        }
        if (this.#append !== undefined) {
            // The number may be taken by this very append, whose first answer was lost.
            this.#append.isInDoubt = true;
        }
        return [];
    }

    #handleReadBack(reply: PlatformReply, times: ShardTimes): ClaimShardEffect[] {
        const append = this.#append;
        if (append === undefined) {
            return [];
        }
        if (reply.kind === "missing") {
            // The same bytes are created again, so it does not matter which of the two creations comes first.
            append.isInDoubt = false;
            return [];
        }
        const isOwn = reply.kind === "object" && parseSegment(reply.object.value)?.nonce === append.segment.nonce;
        if (isOwn) {
            return this.#finishAppend(times);
        }
        this.#requeue(append);
        this.#startCatchingUp();
        return [];
    }

    #finishAppend(times: ShardTimes): ClaimShardEffect[] {
        const append = this.#append;
        if (append === undefined) {
            return [];
        }
        this.#append = undefined;
        if (this.#isPausedTooLong(append, times)) {
            return this.#distrustAppend(append);
        }
        for (const entry of append.segment.entries) {
            this.#index.applyEntry(entry);
        }
        this.#trail.addSegment(append.sequence, append.segment.at);
        this.#verifiedAt = append.startedAt;
        this.#notBefore = times.now + (this.#options.lingerMilliseconds ?? DEFAULT_LINGER);
        return this.#answerAppended(append);
    }

    #isPausedTooLong(append: Append, times: ShardTimes): boolean {
        const quiet = this.#options.maxQuietMilliseconds ?? DEFAULT_MAX_QUIET;
        const { now, wallTime } = append.startedAt;
        return times.now - now > quiet || times.wallTime - wallTime > quiet;
    }

    /** The segment may stand where an earlier one was removed, so nothing in it counts. */
    #distrustAppend(append: Append): ClaimShardEffect[] {
        this.#state = "unloaded";
        this.#settlements.unshift(...append.segment.entries.filter(entry => entry.kind !== "claim"));
        return append.claims.filter(claim => !claim.isAbandoned).map(({ request }) => ({
            kind: "result",
            holder: request.holder,
            result: { kind: "unavailable" },
        }));
    }

    #answerAppended(append: Append): ClaimShardEffect[] {
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

    #requeue(append: Append): void {
        this.#append = undefined;
        this.#claims.unshift(...append.claims.filter(claim => !claim.isAbandoned));
        this.#settlements.unshift(...append.segment.entries.filter(entry => entry.kind !== "claim"));
    }

    #abandonClaims(isWanted: (claim: PendingClaim) => boolean): void {
        this.#claims = this.#claims.filter(claim => !isWanted(claim));
        for (const claim of this.#append?.claims ?? []) {
            claim.isAbandoned ||= isWanted(claim);
        }
    }

    /** Removes the oldest segment once its claims are forgotten. */
    #removeOldest(times: ShardTimes): PlatformRequest | undefined {
        const key = this.#trail.takeOlder(times.wallTime - RETENTION_FACTOR * this.#horizon);
        if (key === undefined) {
            return undefined;
        }
        this.#call = "remove";
        return { kind: "remove", key };
    }
}
