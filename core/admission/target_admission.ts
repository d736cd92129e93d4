/**
 * Grants permits for one target, on behalf of the instance that owns it.
 *
 * @module
 */
import type {
    Headroom,
    LoadReport,
    Permit,
    PermitDecision,
    PermitRequest,
    RefusalReason,
    TargetSpec,
    WorkOutcome,
} from "./admission_types.ts";
import { ColdStartLimit, type ColdStartOptions } from "./cold_start.ts";
import { FairQueue } from "./fair_queue.ts";
import { computePeakMemory, isFittingMemory, type Sequence } from "./memory_profile.ts";

/** Options of a {@linkcode TargetAdmission}. */
export interface TargetAdmissionOptions extends ColdStartOptions {
    /** Time after which a permit that is not announced again lapses, in milliseconds. Defaults to 6000. */
    leaseMilliseconds?: number;
    /** Time of creation; reports asked for soon after it may predate a restart of the target. Defaults to 0. */
    createdAt?: number;
    /** Most requests that wait. Defaults to 256. */
    maxWaiting?: number;
    /** Share of memory kept free at first. Defaults to 0.02. */
    initialReserve?: number;
    /** Standard deviations of memory need that are kept free. Defaults to 1. */
    deviations?: number;
    /** Tokens a sequence is taken to produce in a second until told otherwise. Defaults to 25. */
    tokensPerSecond?: number;
}

/** How much of a target's limit its owner may grant. */
export const GrantExtent = {
    /** Nothing, because the previous owner's grants are not accounted for. */
    none: "none",
    /** A share of a warm target's limit and nothing of a cold one, because another instance may own the target too. */
    share: "share",
    /** All of it. */
    full: "full",
} as const;

/** One of the values of {@linkcode GrantExtent}. */
export type GrantExtent = (typeof GrantExtent)[keyof typeof GrantExtent];

/** What the owner may grant for a target, from what it knows of the other instances. */
export interface GrantScope {
    /** How much of the limit may be granted. */
    extent: GrantExtent;
    /** Share of a warm target's limit that may be granted with the extent `share`, from 0 to 1. */
    share: number;
    /** False where the target is withdrawn, drained or leaving. */
    isOpen: boolean;
}

interface HeldPermit extends Permit {
    announcedAt: number;
    expiresAt: number;
}

interface WaitingRequest {
    request: PermitRequest;
    queuedAt: number;
    expiresAt: number;
    bypasses: number;
}

interface CountSample {
    at: number;
    count: number;
}

const DEFAULT_LEASE = 6000;
const DEFAULT_MAX_WAITING = 256;
const DEFAULT_RESERVE = 0.02;
const DEFAULT_DEVIATIONS = 1;
const DEFAULT_TOKENS_PER_SECOND = 25;
const DEFAULT_REPORT_LAG = 1500;
/** Age of the last load report above which the target may be cold, in milliseconds. */
const MAX_REPORT_AGE = 3000;
/** Share of memory that one preemption adds to the reserve. */
const RESERVE_STEP = 0.01;
const MAX_RESERVE = 0.35;
/** Time in which the learnt reserve halves, in milliseconds. */
const RESERVE_HALF_LIFE = 180_000;
/** Share of memory that only work of priority 0 may use. */
const URGENT_SHARE = 0.04;
/** How often a waiting request may be passed by shorter ones. */
const MAX_BYPASSES = 24;
/** How many waiting requests are looked at for one that fits. */
const MAX_LOOKAHEAD = 8;

/** Decides how much work one target is given. */
export class TargetAdmission {
    readonly #options: TargetAdmissionOptions;
    readonly #limit: ColdStartLimit;
    readonly #permits = new Map<string, HeldPermit>();
    #waiting = new FairQueue<WaitingRequest>();
    #spec: TargetSpec;
    #scope: GrantScope = { extent: GrantExtent.none, share: 0, isOpen: true };
    #report: LoadReport | undefined;
    #reportAt = -Infinity;
    #reserve: number;
    #reserveAt = 0;
    #counts: CountSample[] = [];
    /** Requests that the target holds beyond the permits known here. */
    #unaccounted = 0;
    #lostUntil = 0;

    constructor(spec: TargetSpec, options: TargetAdmissionOptions = {}) {
        this.#spec = spec;
        this.#options = options;
        this.#limit = new ColdStartLimit(spec, options);
        this.#limit.markCold(options.createdAt ?? 0);
        this.#reserve = options.initialReserve ?? DEFAULT_RESERVE;
    }

    /** Takes over a changed specification. */
    setSpec(spec: TargetSpec): void {
        this.#spec = spec;
        this.#limit.setSpec(spec);
    }

    /** Takes over what the owner may grant, and answers requests that can be decided by it. */
    setScope(scope: GrantScope, now: number): PermitDecision[] {
        this.#scope = scope;
        return this.#decideWaiting(now);
    }

    /** Takes a request for a permit. */
    handleRequest(request: PermitRequest, now: number): PermitDecision[] {
        if (!this.#scope.isOpen) {
            return [this.#refuse(request, "closed", now)];
        }
        if (this.#scope.extent === GrantExtent.none) {
            return [this.#refuse(request, "settling", now)];
        }
        if (this.#waiting.size >= (this.#options.maxWaiting ?? DEFAULT_MAX_WAITING)) {
            return [this.#refuse(request, "queue-full", now)];
        }
        const item = { request, queuedAt: now, expiresAt: now + request.waitMilliseconds, bypasses: 0 };
        this.#waiting.enqueue(item, {
            id: request.permitId,
            account: request.account,
            weight: request.weight,
            priority: request.priority,
            cost: request.promptTokens / 8 + (request.lengths[2] ?? 1),
        });
        return this.#decideWaiting(now);
    }

    /** Drops a request that its gateway no longer wants. */
    cancelRequest(permitId: string): void {
        this.#waiting.remove(permitId);
    }

    /** Takes a permit back. */
    releasePermit(permitId: string, end: { outcome: WorkOutcome; now: number; }): PermitDecision[] {
        const { outcome, now } = end;
        const running = this.#permits.size;
        const wasHeld = this.#permits.delete(permitId);
        this.#waiting.remove(permitId);
        this.#recordCount(now);
        if (outcome === "broken") {
            this.#limit.markCold(now);
            this.#recordLost(wasHeld ? 1 : 0, now);
        }
        else if (outcome === "finished" && wasHeld) {
            this.#limit.recordSuccess(running);
        }
        return this.#decideWaiting(now);
    }

    /** Renews a permit, or counts one that a previous owner granted. */
    announcePermit(permit: Permit, now: number): void {
        const lease = this.#options.leaseMilliseconds ?? DEFAULT_LEASE;
        this.#permits.set(permit.permitId, { ...permit, announcedAt: now, expiresAt: now + lease });
        this.#recordCount(now);
    }

    /** Takes a load report, or `undefined` where the target did not give one. */
    handleReport(report: LoadReport | undefined, times: { askedAt: number; now: number; }): PermitDecision[] {
        if (report === undefined) {
            return this.#decideWaiting(times.now);
        }
        this.#updateReserve(report, times.now);
        this.#updateUnaccounted(report, times);
        this.#report = report;
        this.#reportAt = times.now;
        this.#limit.handleReport(report, times);
        return this.#decideWaiting(times.now);
    }

    /** Notes that the target has closed a connection that it would have kept: it may have restarted. */
    handleClosed(now: number): void {
        this.#limit.markCold(now);
    }

    /** Lets leases and waits run out. */
    handleTick(now: number): PermitDecision[] {
        if (now - this.#reportAt > MAX_REPORT_AGE && !this.#limit.isCold) {
            this.#limit.markCold(now);
        }
        for (const permit of [...this.#permits.values()]) {
            if (permit.expiresAt <= now) {
                this.#permits.delete(permit.permitId);
                this.#recordCount(now);
                this.#recordLost(1, now);
            }
        }
        const expired = this.#waiting.takeMatching(item => item.expiresAt <= now);
        const refusals = expired.map(item => this.#refuse(item.request, "busy", now));
        return [...refusals, ...this.#decideWaiting(now)];
    }

    /** Refuses all that waits, because this instance no longer owns the target. */
    closeWaiting(now: number): PermitDecision[] {
        const items = this.#waiting.takeMatching(() => true);
        return items.map(item => this.#refuse(item.request, "no-owner", now));
    }

    /** Lists the permits held, for a new owner or for a dump. */
    listPermits(): Permit[] {
        return [...this.#permits.values()].map(({ announcedAt: _a, expiresAt: _e, ...permit }) => permit);
    }

    /** Requests that the target holds, as far as the owner can tell. */
    countRunning(): number {
        return this.#permits.size + this.#unaccounted;
    }

    /** Most requests the target may hold now, within what the owner may grant. */
    computeLimit(): number {
        const { extent, share, isOpen } = this.#scope;
        if (extent === GrantExtent.none || !isOpen || this.#report === undefined) {
            return 0;
        }
        if (extent === GrantExtent.full) {
            return this.#limit.limit;
        }
        return this.#limit.isCold ? 0 : Math.floor(this.#limit.limit * share);
    }

    /** Estimates how much more the target can take. */
    estimateHeadroom(now: number): Headroom {
        const limit = Math.max(1, this.computeLimit());
        const slots = 1 - (this.countRunning() + this.#waiting.size) / limit;
        const memory = this.#spec.memoryTokens === 0 ? 1 : this.#computeFreeMemory(now);
        const waitingPenalty = this.#waiting.size / limit;
        return {
            target: this.#spec.name,
            share: Math.min(slots, memory - waitingPenalty),
            waiting: this.#waiting.size,
            isCold: this.#limit.isCold,
            isOpen: this.#scope.isOpen,
        };
    }

    /** Describes the whole state, for a dump. */
    dumpState(now: number): Record<string, unknown> {
        return {
            spec: this.#spec,
            scope: this.#scope,
            limit: this.#limit.limit,
            isCold: this.#limit.isCold,
            reserve: this.#reserve,
            unaccounted: this.#unaccounted,
            report: this.#report,
            reportAgeMilliseconds: now - this.#reportAt,
            waiting: this.#waiting.filter().map(item => item.request.permitId),
            permits: this.listPermits(),
        };
    }

    #decideWaiting(now: number): PermitDecision[] {
        const decisions: PermitDecision[] = [];
        if (!this.#scope.isOpen || this.#scope.extent === GrantExtent.none) {
            const reason: RefusalReason = this.#scope.isOpen ? "settling" : "closed";
            const items = this.#waiting.takeMatching(() => true);
            return items.map(item => this.#refuse(item.request, reason, now));
        }
        while (this.#waiting.size > 0 && this.countRunning() < this.computeLimit()) {
            const item = this.#takeFitting(now);
            if (item === undefined) {
                break;
            }
            decisions.push(this.#grant(item, now));
        }
        return decisions;
    }

    /** Takes the first waiting request that fits; a longer one may be passed a bounded number of times. */
    #takeFitting(now: number): WaitingRequest | undefined {
        const running = this.#listSequences(now);
        const passed: WaitingRequest[] = [];
        for (const item of this.#waiting.filter().slice(0, MAX_LOOKAHEAD)) {
            if (this.#isFitting(item.request, running)) {
                for (const other of passed) {
                    other.bypasses += 1;
                }
                return this.#waiting.remove(item.request.permitId);
            }
            if (item.bypasses >= MAX_BYPASSES) {
                return undefined;
            }
            passed.push(item);
        }
        return undefined;
    }

    #isFitting(request: PermitRequest, running: Sequence[]): boolean {
        if (this.#spec.memoryTokens === 0 || this.countRunning() === 0) {
            return true;
        }
        const urgent = request.priority === 0 ? 0 : URGENT_SHARE;
        const capacity = this.#spec.memoryTokens * (1 - this.#reserve - urgent);
        const { promptTokens, lengths } = request;
        const deviations = this.#options.deviations ?? DEFAULT_DEVIATIONS;
        return isFittingMemory({ promptTokens, lengths, produced: 0 }, { running, capacity }, { deviations });
    }

    #computeFreeMemory(now: number): number {
        const deviations = this.#options.deviations ?? DEFAULT_DEVIATIONS;
        const peak = computePeakMemory(this.#listSequences(now), { deviations });
        return 1 - this.#reserve - peak / this.#spec.memoryTokens;
    }

    #listSequences(now: number): Sequence[] {
        const rate = this.#options.tokensPerSecond ?? DEFAULT_TOKENS_PER_SECOND;
        const sequences: Sequence[] = [];
        for (const permit of this.#permits.values()) {
            const produced = permit.produced + rate * (now - permit.announcedAt) / 1000;
            sequences.push({ promptTokens: permit.promptTokens, lengths: permit.lengths, produced });
        }
        return sequences;
    }

    #grant(item: WaitingRequest, now: number): PermitDecision {
        const { request } = item;
        const { permitId, target, origin, promptTokens, lengths } = request;
        this.announcePermit({ permitId, target, origin, promptTokens, lengths, produced: 0 }, now);
        const heldMilliseconds = now - item.queuedAt;
        return { kind: "granted", request, headroom: this.estimateHeadroom(now), heldMilliseconds };
    }

    #refuse(request: PermitRequest, reason: RefusalReason, now: number): PermitDecision {
        return { kind: "refused", request, reason, headroom: this.estimateHeadroom(now) };
    }

    #updateReserve(report: LoadReport, now: number): void {
        const elapsed = Math.max(0, now - this.#reserveAt);
        const floor = this.#options.initialReserve ?? DEFAULT_RESERVE;
        this.#reserveAt = now;
        this.#reserve = floor + (this.#reserve - floor) * 2 ** (-elapsed / RESERVE_HALF_LIFE);
        const isSameLife = this.#report?.incarnation === report.incarnation;
        const fresh = isSameLife ? report.preemptions - (this.#report?.preemptions ?? 0) : 0;
        this.#reserve = Math.min(MAX_RESERVE, this.#reserve + RESERVE_STEP * Math.max(0, fresh));
    }

    /** Goes on counting work whose end is not known, until a report that is new enough tells. */
    #recordLost(count: number, now: number): void {
        this.#unaccounted += count;
        this.#lostUntil = now + (this.#options.reportLagMilliseconds ?? DEFAULT_REPORT_LAG);
    }

    #updateUnaccounted(report: LoadReport, times: { askedAt: number; now: number; }): void {
        const computed = Math.max(0, report.running - this.#computeRecentMaximum(times.now));
        const isNewLife = this.#report !== undefined && this.#report.incarnation !== report.incarnation;
        const isTrusted = isNewLife || times.askedAt >= this.#lostUntil;
        this.#unaccounted = isTrusted ? computed : Math.max(this.#unaccounted, computed);
    }

    #recordCount(now: number): void {
        const horizon = now - 2 * (this.#options.reportLagMilliseconds ?? DEFAULT_REPORT_LAG);
        this.#counts.push({ at: now, count: this.#permits.size });
        while (this.#counts.length > 1 && (this.#counts[1]?.at ?? now) < horizon) {
            this.#counts.shift();
        }
    }

    /** Largest number of permits held while the last report may have been taken. */
    #computeRecentMaximum(now: number): number {
        const horizon = now - (this.#options.reportLagMilliseconds ?? DEFAULT_REPORT_LAG);
        let maximum = this.#permits.size;
        for (const [index, sample] of this.#counts.entries()) {
            const nextAt = this.#counts[index + 1]?.at ?? now;
            if (nextAt >= horizon) {
                maximum = Math.max(maximum, sample.count);
            }
        }
        return maximum;
    }
}
