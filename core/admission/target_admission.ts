/**
 * Admission control of one target, run by the instance that owns the target.
 *
 * Grants permits within the target's concurrency limit and predicted KV cache demand, queues requests that do not fit,
 * and tracks permits as leases so that those of failed gateways expire.
 *
 * @module
 */
import type {
    AttemptOutcome,
    Headroom,
    LoadReport,
    Permit,
    PermitDecision,
    PermitRequest,
    RefusalReason,
    TargetSpec,
} from "./admission_types.ts";
import { ColdStartLimit, type ColdStartOptions } from "./cold_start_limit.ts";
import { FairQueue } from "./fair_queue.ts";
import { computePeakMemory, hasMemoryFor, type Sequence } from "./memory_demand.ts";

/** Options of a {@linkcode TargetAdmission}. */
export interface TargetAdmissionOptions extends ColdStartOptions {
    /** Time after which a permit that was not renewed expires, in milliseconds. Defaults to 6000. */
    leaseMilliseconds?: number;
    /**
     * Time of creation, in milliseconds of the monotonic clock. Load reports requested soon after it may describe the
     * target before a restart. Defaults to 0.
     */
    createdAt?: number;
    /** Maximum number of queued requests. Defaults to 256. */
    maxWaiting?: number;
    /** Initial and minimum share of the KV cache that is kept free. Defaults to 0.02. */
    minReserveShare?: number;
    /** Number of standard deviations added to the mean KV cache demand. Defaults to 1. */
    deviations?: number;
    /** Assumed output rate of a sequence since its permit was last renewed, in tokens per second. Defaults to 25. */
    tokensPerSecond?: number;
}

/** The part of a target's concurrency limit that its owner may grant. */
export const GrantExtent = {
    /** Nothing: the owner's settling period has not ended, or its instance may not start new requests. */
    none: "none",
    /** A share of a warm target's limit, and nothing of a cold one's, because another instance may also be an owner. */
    share: "share",
    /** The whole limit. */
    full: "full",
} as const;

/** One of the values of {@linkcode GrantExtent}. */
export type GrantExtent = (typeof GrantExtent)[keyof typeof GrantExtent];

/** What the owner of a target may grant, given the state of the other instances and the configuration. */
export interface GrantScope {
    /** The part of the limit that may be granted. */
    extent: GrantExtent;
    /** Share of a warm target's limit that may be granted if `extent` is `share`, from 0 to 1. */
    share: number;
    /** False if the target is withdrawn, drained or leaving. */
    isOpen: boolean;
}

interface HeldPermit extends Permit {
    renewedAt: number;
    expiresAt: number;
}

interface WaitingRequest {
    request: PermitRequest;
    queuedAt: number;
    expiresAt: number;
    /** Number of times that a request behind this one in the queue was granted first. */
    bypassCount: number;
}

/** Number of permits held from the time `at` until the next sample. */
interface PermitCountSample {
    at: number;
    count: number;
}

const DEFAULT_LEASE_MILLISECONDS = 6000;
const DEFAULT_MAX_WAITING_REQUESTS = 256;
const DEFAULT_MIN_RESERVE_SHARE = 0.02;
const DEFAULT_DEVIATIONS = 1;
const DEFAULT_TOKENS_PER_SECOND = 25;
const DEFAULT_REPORT_LAG_MILLISECONDS = 1500;
/** Age of the last load report above which the target is treated as cold, in milliseconds. */
const MAX_REPORT_AGE_MILLISECONDS = 3000;
/** Share of the KV cache by which each preemption increases the reserve. */
const RESERVE_SHARE_PER_PREEMPTION = 0.01;
const MAX_RESERVE_SHARE = 0.35;
/** Half-life of the part of the reserve that preemptions have added, in milliseconds. */
const RESERVE_HALF_LIFE_MILLISECONDS = 180_000;
/** Share of the KV cache that is reserved for requests of priority 0. */
const TOP_PRIORITY_RESERVE_SHARE = 0.04;
/** Maximum number of times that a queued request may be bypassed by requests behind it that fit. */
const MAX_BYPASSES = 24;
/** Maximum number of queued requests that are examined to find one that fits. */
const MAX_EXAMINED_REQUESTS = 8;

/** Decides which permit requests for one target are granted, and when. */
export class TargetAdmission {
    readonly #options: TargetAdmissionOptions;
    readonly #coldStartLimit: ColdStartLimit;
    readonly #permits = new Map<string, HeldPermit>();
    #waiting = new FairQueue<WaitingRequest>();
    #spec: TargetSpec;
    #scope: GrantScope = { extent: GrantExtent.none, share: 0, isOpen: true };
    #report: LoadReport | undefined;
    #reportReceivedAt = -Infinity;
    #reserveShare: number;
    #reserveUpdatedAt = 0;
    #permitCounts: PermitCountSample[] = [];
    /** Number of requests at the target for which this owner knows no permit. */
    #unaccounted = 0;
    /** Earliest request time of a load report that may lower the number of unaccounted requests. */
    #trustReportsFrom = 0;

    constructor(spec: TargetSpec, options: TargetAdmissionOptions = {}) {
        this.#spec = spec;
        this.#options = options;
        this.#coldStartLimit = new ColdStartLimit(spec, options);
        this.#coldStartLimit.markCold(options.createdAt ?? 0);
        this.#reserveShare = options.minReserveShare ?? DEFAULT_MIN_RESERVE_SHARE;
    }

    /** Applies a changed target specification. */
    setSpec(spec: TargetSpec): void {
        this.#spec = spec;
        this.#coldStartLimit.setSpec(spec);
    }

    /** Changes what the owner may grant. @returns Decisions on queued requests that the change makes possible. */
    setScope(scope: GrantScope, now: number): PermitDecision[] {
        this.#scope = scope;
        return this.#decideWaiting(now);
    }

    /** Refuses a permit request, or queues it and grants the queued requests that fit. @returns The decisions. */
    handleRequest(request: PermitRequest, now: number): PermitDecision[] {
        if (!this.#scope.isOpen) {
            return [this.#refuse(request, "closed", now)];
        }
        if (this.#scope.extent === GrantExtent.none) {
            return [this.#refuse(request, "settling", now)];
        }
        if (this.#waiting.size >= (this.#options.maxWaiting ?? DEFAULT_MAX_WAITING_REQUESTS)) {
            return [this.#refuse(request, "queue-full", now)];
        }
        const item = { request, queuedAt: now, expiresAt: now + request.waitMilliseconds, bypassCount: 0 };
        // The cost is in output tokens: eight prompt tokens count as one, and `lengths[2]` is the median output length.
        this.#waiting.enqueue(item, {
            id: request.permitId,
            account: request.account,
            weight: request.weight,
            priority: request.priority,
            cost: request.promptTokens / 8 + (request.lengths[2] ?? 1),
        });
        return this.#decideWaiting(now);
    }

    /** Removes a queued request that its gateway has cancelled. */
    cancelRequest(permitId: string): void {
        this.#waiting.remove(permitId);
    }

    /** Releases a permit, and adapts the limit to the outcome. @returns Decisions on queued requests. */
    releasePermit(permitId: string, end: { outcome: AttemptOutcome; now: number; }): PermitDecision[] {
        const { outcome, now } = end;
        const running = this.#permits.size;
        const wasHeld = this.#permits.delete(permitId);
        this.#waiting.remove(permitId);
        this.#recordPermitCount(now);
        if (outcome === "broken") {
            this.#coldStartLimit.markCold(now);
            this.#recordUnaccounted(wasHeld ? 1 : 0, now);
        }
        else if (outcome === "finished" && wasHeld) {
            this.#coldStartLimit.recordSuccess(running);
        }
        return this.#decideWaiting(now);
    }

    /** Renews the lease of a permit, or records a permit that a previous owner granted. */
    recordPermit(permit: Permit, now: number): void {
        const lease = this.#options.leaseMilliseconds ?? DEFAULT_LEASE_MILLISECONDS;
        this.#permits.set(permit.permitId, { ...permit, renewedAt: now, expiresAt: now + lease });
        this.#recordPermitCount(now);
    }

    /** Handles a load report, or `undefined` if the target returned none. @returns Decisions on queued requests. */
    handleReport(report: LoadReport | undefined, times: { askedAt: number; now: number; }): PermitDecision[] {
        if (report === undefined) {
            return this.#decideWaiting(times.now);
        }
        this.#updateReserve(report, times.now);
        this.#updateUnaccounted(report, times);
        this.#report = report;
        this.#reportReceivedAt = times.now;
        this.#coldStartLimit.handleReport(report, times);
        return this.#decideWaiting(times.now);
    }

    /** Treats the target as cold after it closed a connection unexpectedly, because it may have restarted. */
    handleConnectionClosed(now: number): void {
        this.#coldStartLimit.markCold(now);
    }

    /** Removes expired leases, and refuses queued requests that have expired. @returns Decisions on queued requests. */
    handleTick(now: number): PermitDecision[] {
        if (now - this.#reportReceivedAt > MAX_REPORT_AGE_MILLISECONDS && !this.#coldStartLimit.isCold) {
            this.#coldStartLimit.markCold(now);
        }
        for (const permit of [...this.#permits.values()]) {
            if (permit.expiresAt <= now) {
                this.#permits.delete(permit.permitId);
                this.#recordPermitCount(now);
                this.#recordUnaccounted(1, now);
            }
        }
        const expired = this.#waiting.removeMatching(item => item.expiresAt <= now);
        const refusals = expired.map(item => this.#refuse(item.request, "busy", now));
        return [...refusals, ...this.#decideWaiting(now)];
    }

    /** Refuses all queued requests, because this instance no longer owns the target. */
    refuseWaiting(now: number): PermitDecision[] {
        const items = this.#waiting.removeMatching(() => true);
        return items.map(item => this.#refuse(item.request, "no-owner", now));
    }

    /** Lists the current permits, for transfer to a new owner or for a state dump. */
    listPermits(): Permit[] {
        return [...this.#permits.values()].map(({ renewedAt: _a, expiresAt: _e, ...permit }) => permit);
    }

    /** Counts the requests at the target that the owner knows or infers from load reports. */
    countRunning(): number {
        return this.#permits.size + this.#unaccounted;
    }

    /** Computes the maximum number of concurrent requests at the target, within what the owner may grant. */
    computeLimit(): number {
        const { extent, share, isOpen } = this.#scope;
        if (extent === GrantExtent.none || !isOpen || this.#report === undefined) {
            return 0;
        }
        if (extent === GrantExtent.full) {
            return this.#coldStartLimit.limit;
        }
        return this.#coldStartLimit.isCold ? 0 : Math.floor(this.#coldStartLimit.limit * share);
    }

    /** Estimates the spare capacity of the target. */
    estimateHeadroom(now: number): Headroom {
        const limit = Math.max(1, this.computeLimit());
        const freeSlotShare = 1 - (this.countRunning() + this.#waiting.size) / limit;
        const freeMemoryShare = this.#spec.memoryTokens === 0 ? 1 : this.#computeFreeMemoryShare(now);
        const waitingPenalty = this.#waiting.size / limit;
        return {
            target: this.#spec.name,
            share: Math.min(freeSlotShare, freeMemoryShare - waitingPenalty),
            waiting: this.#waiting.size,
            isCold: this.#coldStartLimit.isCold,
            isOpen: this.#scope.isOpen,
        };
    }

    /** Describes the whole state, for a state dump. */
    dumpState(now: number): Record<string, unknown> {
        return {
            spec: this.#spec,
            scope: this.#scope,
            limit: this.#coldStartLimit.limit,
            isCold: this.#coldStartLimit.isCold,
            reserve: this.#reserveShare,
            unaccounted: this.#unaccounted,
            report: this.#report,
            reportAgeMilliseconds: now - this.#reportReceivedAt,
            waiting: this.#waiting.filter().map(item => item.request.permitId),
            permits: this.listPermits(),
        };
    }

    /** Grants queued requests while the limit and the KV cache allow it, or refuses all if no permit may be granted. */
    #decideWaiting(now: number): PermitDecision[] {
        const decisions: PermitDecision[] = [];
        if (!this.#scope.isOpen || this.#scope.extent === GrantExtent.none) {
            const reason: RefusalReason = this.#scope.isOpen ? "settling" : "closed";
            const items = this.#waiting.removeMatching(() => true);
            return items.map(item => this.#refuse(item.request, reason, now));
        }
        while (this.#waiting.size > 0 && this.countRunning() < this.computeLimit()) {
            const item = this.#dequeueFitting(now);
            if (item === undefined) {
                break;
            }
            decisions.push(this.#grant(item, now));
        }
        return decisions;
    }

    /** Dequeues the first request that fits; one before it that does not may be bypassed a limited number of times. */
    #dequeueFitting(now: number): WaitingRequest | undefined {
        const running = this.#listSequences(now);
        const skipped: WaitingRequest[] = [];
        for (const item of this.#waiting.filter().slice(0, MAX_EXAMINED_REQUESTS)) {
            if (this.#hasMemoryFor(item.request, running)) {
                for (const other of skipped) {
                    other.bypassCount += 1;
                }
                return this.#waiting.remove(item.request.permitId);
            }
            if (item.bypassCount >= MAX_BYPASSES) {
                return undefined;
            }
            skipped.push(item);
        }
        return undefined;
    }

    #hasMemoryFor(request: PermitRequest, running: Sequence[]): boolean {
        if (this.#spec.memoryTokens === 0 || this.countRunning() === 0) {
            return true;
        }
        const priorityReserve = request.priority === 0 ? 0 : TOP_PRIORITY_RESERVE_SHARE;
        const capacity = this.#spec.memoryTokens * (1 - this.#reserveShare - priorityReserve);
        const { promptTokens, lengths } = request;
        const deviations = this.#options.deviations ?? DEFAULT_DEVIATIONS;
        return hasMemoryFor({ promptTokens, lengths, produced: 0 }, { running, capacity }, { deviations });
    }

    #computeFreeMemoryShare(now: number): number {
        const deviations = this.#options.deviations ?? DEFAULT_DEVIATIONS;
        const peak = computePeakMemory(this.#listSequences(now), { deviations });
        return 1 - this.#reserveShare - peak / this.#spec.memoryTokens;
    }

    #listSequences(now: number): Sequence[] {
        const rate = this.#options.tokensPerSecond ?? DEFAULT_TOKENS_PER_SECOND;
        const sequences: Sequence[] = [];
        for (const permit of this.#permits.values()) {
            const produced = permit.produced + rate * (now - permit.renewedAt) / 1000;
            sequences.push({ promptTokens: permit.promptTokens, lengths: permit.lengths, produced });
        }
        return sequences;
    }

    #grant(item: WaitingRequest, now: number): PermitDecision {
        const { request } = item;
        const { permitId, target, origin, promptTokens, lengths } = request;
        this.recordPermit({ permitId, target, origin, promptTokens, lengths, produced: 0 }, now);
        const heldMilliseconds = now - item.queuedAt;
        return { kind: "granted", request, headroom: this.estimateHeadroom(now), heldMilliseconds };
    }

    #refuse(request: PermitRequest, reason: RefusalReason, now: number): PermitDecision {
        return { kind: "refused", request, reason, headroom: this.estimateHeadroom(now) };
    }

    /** Decays the KV cache reserve to its minimum, and increases it for each preemption since the last load report. */
    #updateReserve(report: LoadReport, now: number): void {
        const elapsed = Math.max(0, now - this.#reserveUpdatedAt);
        const minReserveShare = this.#options.minReserveShare ?? DEFAULT_MIN_RESERVE_SHARE;
        this.#reserveUpdatedAt = now;
        this.#reserveShare = minReserveShare
            + (this.#reserveShare - minReserveShare) * 2 ** (-elapsed / RESERVE_HALF_LIFE_MILLISECONDS);
        const isSameIncarnation = this.#report?.incarnation === report.incarnation;
        const newPreemptions = isSameIncarnation ? report.preemptions - (this.#report?.preemptions ?? 0) : 0;
        this.#reserveShare = Math.min(
            MAX_RESERVE_SHARE,
            this.#reserveShare + RESERVE_SHARE_PER_PREEMPTION * Math.max(0, newPreemptions),
        );
    }

    /** Counts requests as still at the target, although their permits are gone, until a recent load report arrives. */
    #recordUnaccounted(count: number, now: number): void {
        this.#unaccounted += count;
        this.#trustReportsFrom = now + (this.#options.reportLagMilliseconds ?? DEFAULT_REPORT_LAG_MILLISECONDS);
    }

    /** Updates the number of unaccounted requests from a load report; an outdated report can only raise the number. */
    #updateUnaccounted(report: LoadReport, times: { askedAt: number; now: number; }): void {
        const unexplained = Math.max(0, report.running - this.#computeRecentMaxPermits(times.now));
        const isNewIncarnation = this.#report !== undefined && this.#report.incarnation !== report.incarnation;
        const isTrusted = isNewIncarnation || times.askedAt >= this.#trustReportsFrom;
        this.#unaccounted = isTrusted ? unexplained : Math.max(this.#unaccounted, unexplained);
    }

    #recordPermitCount(now: number): void {
        const cutoff = now - 2 * (this.#options.reportLagMilliseconds ?? DEFAULT_REPORT_LAG_MILLISECONDS);
        this.#permitCounts.push({ at: now, count: this.#permits.size });
        while (this.#permitCounts.length > 1 && (this.#permitCounts[1]?.at ?? now) < cutoff) {
            this.#permitCounts.shift();
        }
    }

    /** Computes the maximum number of permits held at any time that the last load report may describe. */
    #computeRecentMaxPermits(now: number): number {
        const cutoff = now - (this.#options.reportLagMilliseconds ?? DEFAULT_REPORT_LAG_MILLISECONDS);
        let maximum = this.#permits.size;
        for (const [index, sample] of this.#permitCounts.entries()) {
            const nextAt = this.#permitCounts[index + 1]?.at ?? now;
            if (nextAt >= cutoff) {
                maximum = Math.max(maximum, sample.count);
            }
        }
        return maximum;
    }
}
