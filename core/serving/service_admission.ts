/**
 * Admits the requests of one paced service: who waits, who is refused, and when a refused caller returns.
 *
 * Every instance decides by itself, from what it has seen and what its peers state in digests; without their statements
 * it takes itself as typical of the fleet.
 *
 * @module
 */
import {
    chooseRetryAfter,
    type Closure,
    computeAllowedWait,
    decideTimedAdmission,
    estimateReturnTime,
} from "./queue_admission.ts";
import { RefusedCallers, ReturnKind, type ToldRefusal } from "./refused_callers.ts";
import { type ReleaseRate, RoomEstimate } from "./room_estimate.ts";
import { listShareGroups, ServiceShares, type ToldShare } from "./service_shares.ts";
import { type LineEntry, WaitingLine } from "./waiting_line.ts";

/** Who sent a request, as far as it matters for the order in which requests are served. */
export interface RequestOrigin {
    /** Name of the account; empty if the request needs none. */
    account: string;
    /** Kind of the request: the name of its route. */
    kind: string;
    /** Zone in which the caller has reached this system. */
    zone: string;
    /** Hash of the last part of the prompt, which the requests of a session share; `undefined` if there is none. */
    session: number | undefined;
    /** Computes a hash of what a caller repeats when it returns: account, path and prompt. */
    getCaller: () => number;
    /** Whether the caller returns after a refusal; `undefined` until the request has been recorded. */
    returnKind: ReturnKind | undefined;
}

/** A request that asks for admission. */
export interface AdmissionRequest {
    /** Who sent it. */
    origin: RequestOrigin;
    /** Priority; 0 is the highest. */
    priority: number;
    /** Version and excluded targets; requests with the same ones fit the same targets. */
    place: string;
    /** Size: tokens of KV cache for an engine, 1 for a plain service. */
    size: number;
    /** Time until the latency objective is missed, in milliseconds. */
    objectiveMilliseconds: number;
    /** Time until the deadline, in milliseconds. */
    remainingMilliseconds: number;
}

/** A waiting request with its origin. */
export interface AdmissionEntry extends LineEntry {
    /** Who sent it. */
    origin: RequestOrigin;
    /** Groups in which it is counted. */
    groups: readonly string[];
    /** Time of its deadline, on the monotonic clock in milliseconds. */
    deadline: number;
}

/** What an instance knows of the fleet. */
export interface FleetView {
    /** Time on the monotonic clock, in milliseconds. */
    now: number;
    /** Number of known instances. */
    instances: number;
    /** Size of all running requests of the service; `undefined` if it is not known. */
    runningSize: number | undefined;
    /** Number of targets of the service. */
    targets: number;
}

/** Inputs of a refusal, for the decision log. */
export interface RefusalInputs {
    /** Estimated time until there was capacity, in milliseconds; `undefined` if it was not known. */
    estimateMilliseconds: number | undefined;
    /** Time that the request could still have waited, in milliseconds. */
    allowedMilliseconds: number;
    /** Size of the waiting requests before it and of itself, at all instances. */
    sizeAhead: number;
    /** Size that all instances free per second; `undefined` if it was not known. */
    sizePerSecond: number | undefined;
    /** Time since this instance's last release, in milliseconds; `undefined` if there was none. */
    rateAgeMilliseconds: number | undefined;
}

/** What requests of one priority lack, as instances tell each other of it. */
export type ToldPressure = [
    priority: number,
    waiting: number,
    preferred: number,
    sizeWaiting: number,
    refusedAgoMilliseconds: number,
    meanSize: number,
    largestUnderservedSize: number,
    underserved: number,
];

/** What an instance states of one service in a digest. */
export interface LineStatement {
    /** Waiting and refused requests by priority. */
    pressure: ToldPressure[];
    /** How often groups of requests are served; empty if it was sent lately. */
    shares: ToldShare[];
    /** Callers that were refused. */
    refused: ToldRefusal[];
    /** Hashes of sessions with a refusal, for each of {@linkcode LineStatement.refused}. */
    sessions: number[];
}

interface PriorityPressure {
    refusedAt: number;
    meanSize: number;
}

/** Time after a refusal or a wait for which there counts as no room, in milliseconds. */
const SHORT_MILLISECONDS = 2000;
/** Interval at which the counters of groups are stated, in milliseconds. */
const SHARES_INTERVAL_MILLISECONDS = 1000;
/** Age of a peer's statement at which it no longer counts, in milliseconds. */
const PRESSURE_LIFETIME_MILLISECONDS = 2500;
/** Interval at which what all instances lack is added up, in milliseconds. */
const PRESSURE_SUM_INTERVAL_MILLISECONDS = 50;
/** Latest return of a caller that returned early, as a share of the time until its deadline, as for other callers. */
const MAX_RETURN_SHARE = 0.3;
/** Number of refusals of a session after which its next request goes first. */
const MAX_SESSION_REFUSALS = 2;
/** Time after its last refusal for which a session is remembered, in milliseconds: several requests of a session. */
const SESSION_LIFETIME_MILLISECONDS = 60_000;
/** Number of sessions that are remembered. */
const MAX_SESSIONS = 2048;
/** Number of sessions in one statement. */
const MAX_TOLD_SESSIONS = 12;
/** Share, relative to all, below which a request goes before others of its priority. */
const UNDERSERVED_SHARE = 0.8;
/**
 * Lead in the served ratio that a higher priority may have before lower ones need leave nothing free for it. Peers'
 * counters are old: without a lead, 84 instances served the higher priority 0.69 times as often as the lower one, with
 * this one 0.80 times.
 */
const PRIORITY_LEAD = 0.04;
/** Steps in which shares are compared; smaller differences are chance. */
const SHARE_STEP = 0.1;
/** Share of a new value in the share of placed requests that had waited, and the least value that is used of it. */
const WAITED_WEIGHT = 0.1;
const MIN_WAITED_SHARE = 0.05;
/** Share of a new value in the mean size of a priority's requests. */
const MEAN_SIZE_WEIGHT = 0.1;

/** Admission of one service at one instance. All times are on the monotonic clock in milliseconds. */
export class ServiceAdmission<Entry extends AdmissionEntry = AdmissionEntry> {
    /** Requests that wait for capacity. */
    readonly line = new WaitingLine<Entry>();
    /** Estimate of the time until there is capacity. */
    readonly room: RoomEstimate;
    /** Callers that were refused. */
    readonly refusedCallers = new RefusedCallers();
    readonly #shares = new ServiceShares();
    readonly #pressure = new Map<number, PriorityPressure>();
    readonly #peerPressure = new Map<string, { pressure: readonly ToldPressure[]; receivedAt: number; }>();
    readonly #sessionRefusals = new Map<number, { count: number; refusedAt: number; }>();
    #untoldSessions: number[] = [];
    #shortAt = Number.NEGATIVE_INFINITY;
    #sharesToldAt = Number.NEGATIVE_INFINITY;
    /** Smoothed share of the placed requests that had waited, while there was no room. */
    #waitedShare = 1;
    #pressureSum: ToldPressure[] = [];
    #pressureSummedAt = Number.NEGATIVE_INFINITY;

    /** @param now Current time. */
    constructor(now: number) {
        this.room = new RoomEstimate(now);
    }

    /** Checks whether a request had to wait or was refused lately, at this instance or, as far as is known, at another. */
    isShort(now: number): boolean {
        return now - this.#shortAt < SHORT_MILLISECONDS;
    }

    /** Builds the entry of a request; its first one counts as asked for, unless the caller returns after a refusal. */
    buildEntry(request: AdmissionRequest, now: number): AdmissionEntry {
        const { origin, priority, place, size, objectiveMilliseconds, remainingMilliseconds } = request;
        const groups = listShareGroups({ ...origin, priority, size });
        const isShort = this.isShort(now);
        if (origin.returnKind === undefined) {
            origin.returnKind = this.refusedCallers.count === 0
                ? ReturnKind.newcomer
                : this.refusedCallers.classifyReturn(origin.getCaller(), now);
            if (origin.returnKind === ReturnKind.newcomer) {
                this.#shares.recordAsked(groups, now);
            }
        }
        const share = isShort ? Math.round(this.#shares.computeShare(groups, now) / SHARE_STEP) * SHARE_STEP : 1;
        const responseMilliseconds = this.room.estimateResponseTime(origin.kind);
        return {
            priority,
            place,
            size,
            origin,
            groups,
            share,
            isPreferred: isShort && this.#isPreferred(origin, { share, now }),
            enqueuedAt: now,
            objectiveAt: now + objectiveMilliseconds,
            latestAt: now + computeAllowedWait({ objectiveMilliseconds, remainingMilliseconds, responseMilliseconds }),
            deadline: now + remainingMilliseconds,
        };
    }

    /** Decides whether a request that fits nowhere waits: the reason for refusing it, or `undefined` if it waits. */
    decideAdmission(entry: Entry, { closure, fleet }: { closure: Closure | undefined; fleet: FleetView; }): {
        reason: "full" | Closure["reason"] | undefined;
        inputs: RefusalInputs;
    } {
        const inputs = this.describeWait(entry, { fleet, ownSize: this.line.computeSizeAhead(entry) + entry.size });
        const { allowedMilliseconds, estimateMilliseconds } = inputs;
        this.#shortAt = fleet.now;
        if (entry.origin.returnKind === ReturnKind.early) {
            return { reason: "full", inputs };
        }
        return { reason: decideTimedAdmission({ closure, allowedMilliseconds, estimateMilliseconds }), inputs };
    }

    /** Describes how long a request has to wait behind a size at this instance, and what that follows from. */
    describeWait(entry: Entry, { fleet, ownSize }: { fleet: FleetView; ownSize: number; }): RefusalInputs {
        const rate = this.room.estimateRate(fleet);
        const sizeAhead = ownSize + this.#computePeerSize(entry, fleet);
        return {
            estimateMilliseconds: this.#estimateWait(sizeAhead, rate),
            allowedMilliseconds: entry.latestAt - fleet.now,
            sizeAhead,
            sizePerSecond: rate?.sizePerSecond,
            rateAgeMilliseconds: rate?.ageMilliseconds,
        };
    }

    /** Creates the function that estimates the wait behind a size at this instance; the rate is computed once. */
    createWaitEstimate(fleet: FleetView): (size: number, entry: LineEntry) => number | undefined {
        const rate = this.room.estimateRate(fleet);
        return (size, entry) => this.#estimateWait(size + this.#computePeerSize(entry, fleet), rate);
    }

    /**
     * Computes the size that a request has to leave free at its target, beside its own, since others need it more: those
     * of a higher priority while they lack room and are not served more often, and preferred ones that wait. Of the
     * latter there may be fewer than targets, so that only as many targets keep room for them. A caller that returns early
     * leaves room for another request in any case: it has its turn when it was told to return.
     */
    computeHeadroom(entry: AdmissionEntry, { fleet, random }: { fleet: FleetView; random: () => number; }): number {
        if (!this.isShort(fleet.now)) {
            return 0;
        }
        const { priority, isPreferred, origin, share } = entry;
        const pressure = this.#listPressure(fleet.now);
        const ownRatio = this.#shares.computeServedRatio(`p:${priority}`, fleet.now);
        let headroom = 0;
        for (const [other, waiting, preferred, , refusedAgo, meanSize, largestSize, underserved] of pressure) {
            const isHigher = other < priority
                && (waiting > 0 || refusedAgo < SHORT_MILLISECONDS)
                && this.#shares.computeServedRatio(`p:${other}`, fleet.now) < ownRatio + PRIORITY_LEAD;
            const isForPreferred = other === priority && !isPreferred
                    && (origin.returnKind === ReturnKind.early || random() * Math.max(1, fleet.targets) < preferred)
                || other === priority && share >= UNDERSERVED_SHARE
                    && random() * Math.max(1, fleet.targets) < underserved;
            headroom = Math.max(
                headroom,
                isHigher ? meanSize : 0,
                isForPreferred ? Math.max(meanSize, largestSize) : 0,
            );
        }
        return headroom;
    }

    /** Records that a request was sent to a target. */
    recordPlaced(entry: AdmissionEntry, now: number): void {
        this.#shares.recordServed(entry.groups, now);
        if (this.isShort(now)) {
            this.#waitedShare += WAITED_WEIGHT * (Number(now > entry.enqueuedAt) - this.#waitedShare);
        }
        const { session } = entry.origin;
        if (session !== undefined) {
            this.#sessionRefusals.delete(session);
        }
        this.#updateMeanSize(entry);
    }

    /** Records that a request is refused, and chooses the time after which its caller returns, in seconds. */
    recordRefusal(
        entry: AdmissionEntry,
        options: { closure: Closure | undefined; fleet: FleetView; random: () => number; },
    ): number {
        const { now } = options.fleet;
        const retryAfterSeconds = this.chooseReturnTime(entry, options);
        if (entry.origin.returnKind === ReturnKind.early) {
            return retryAfterSeconds;
        }
        const { origin, size, priority } = entry;
        this.refusedCallers.recordRefusal(origin.getCaller(), {
            now,
            retryAfterMilliseconds: retryAfterSeconds * 1000,
            size,
        });
        if (origin.session !== undefined) {
            this.#addSessionRefusal(origin.session, now);
            this.#untoldSessions = [...this.#untoldSessions, origin.session].slice(-MAX_TOLD_SESSIONS);
        }
        this.#shortAt = now;
        this.#updateMeanSize(entry);
        this.#setPressure(priority, { refusedAt: now });
        return retryAfterSeconds;
    }

    /** Chooses the time after which the caller of a refused request returns, in seconds. */
    chooseReturnTime(
        entry: AdmissionEntry,
        options: { closure: Closure | undefined; fleet: FleetView; random: () => number; },
    ): number {
        const { closure, fleet, random } = options;
        const { now } = fleet;
        if (entry.origin.returnKind === ReturnKind.early) {
            const returnAt = this.refusedCallers.findReturnTime(entry.origin.getCaller()) ?? now;
            return Math.max(0, Math.min(returnAt - now, MAX_RETURN_SHARE * (entry.deadline - now))) / 1000;
        }
        const rate = this.room.estimateRate(fleet);
        const backlogSize = entry.size + this.refusedCallers.computeBacklogSize(now, fleet.instances)
            + this.line.estimateMeanSize(now) + this.#computePeerSize(entry, fleet);
        const returnMilliseconds = estimateReturnTime({ backlogSize, sizePerSecond: rate?.sizePerSecond });
        return chooseRetryAfter({
            closure,
            expectedMilliseconds: Math.max(returnMilliseconds, closure?.milliseconds ?? 0),
            remainingMilliseconds: entry.deadline - now,
            random,
        });
    }

    /** Builds the statement for a digest; `undefined` while there is room. */
    takeStatement(now: number): LineStatement | undefined {
        if (!this.isShort(now)) {
            return undefined;
        }
        const areSharesDue = now - this.#sharesToldAt >= SHARES_INTERVAL_MILLISECONDS;
        if (areSharesDue) {
            this.#sharesToldAt = now;
        }
        const sessions = this.#untoldSessions;
        this.#untoldSessions = [];
        return {
            pressure: this.#listOwnPressure(now),
            shares: areSharesDue ? this.#shares.listTold(now) : [],
            refused: this.refusedCallers.takeTold(now),
            sessions,
        };
    }

    /** Applies what a peer states. */
    applyStatement(peer: string, statement: LineStatement, now: number): void {
        const { pressure, shares, refused, sessions } = statement;
        this.#peerPressure.set(peer, { pressure, receivedAt: now });
        if (shares.length > 0) {
            this.#shares.applyToldShares(peer, shares, now);
        }
        refused.forEach(refusal => this.refusedCallers.applyToldRefusal(refusal, now));
        sessions.forEach(session => this.#addSessionRefusal(session, now));
        this.#shortAt = Math.max(this.#shortAt, now - SHORT_MILLISECONDS / 2);
    }

    #isPreferred(
        { session, returnKind }: RequestOrigin,
        { share, now }: { share: number; now: number; },
    ): boolean {
        const refusals = session === undefined ? 0 : this.#countSessionRefusals(session, now);
        return returnKind === ReturnKind.onTime
            || returnKind !== ReturnKind.early && share < UNDERSERVED_SHARE
            || returnKind === ReturnKind.newcomer && refusals > MAX_SESSION_REFUSALS;
    }

    /**
     * Estimates the time until a size is free for waiting requests; what newcomers take at other instances, which find it
     * first, is not.
     */
    #estimateWait(size: number, rate: ReleaseRate | undefined): number | undefined {
        return rate === undefined
            ? undefined
            : 1000 * size / (rate.sizePerSecond * Math.max(MIN_WAITED_SHARE, this.#waitedShare));
    }

    /** Computes the size that waits at peers and goes before a request, or is taken to, if they state nothing. */
    #computePeerSize({ priority, isPreferred }: LineEntry, { now, instances }: FleetView): number {
        if (this.#peerPressure.size === 0) {
            return this.line.estimateMeanSize(now) * Math.max(0, instances - 1);
        }
        let size = 0;
        for (const [other, waiting, preferred, sizeWaiting] of this.#listPeerPressure(now)) {
            const share = other < priority ? 1 : other > priority ? 0 : isPreferred ? preferred / (waiting || 1) : 1;
            size += share * sizeWaiting;
        }
        return size;
    }

    #listOwnPressure(now: number): ToldPressure[] {
        const waiting = this.line.listWaiting();
        return [...this.#pressure].map(([priority, { refusedAt, meanSize }]): ToldPressure => {
            const entries = waiting.filter(entry => entry.priority === priority);
            const preferred = entries.filter(({ isPreferred }) => isPreferred);
            const underserved = entries.filter(({ share }) => share < UNDERSERVED_SHARE);
            return [
                priority,
                entries.length,
                preferred.length,
                Math.round(entries.reduce((sum, { size }) => sum + size, 0)),
                Math.round(Math.min(now - refusedAt, PRESSURE_LIFETIME_MILLISECONDS)),
                Math.round(meanSize),
                Math.round(Math.max(0, ...underserved.map(({ size }) => size))),
                underserved.length,
            ];
        });
    }

    /** Lists what all instances lack by priority. */
    #listPressure(now: number): ToldPressure[] {
        return mergePressure([...this.#listOwnPressure(now), ...this.#listPeerPressure(now)]);
    }

    /** Lists what the peers lack by priority; there may be hundreds, so that it is added up at intervals only. */
    #listPeerPressure(now: number): ToldPressure[] {
        if (now - this.#pressureSummedAt >= PRESSURE_SUM_INTERVAL_MILLISECONDS) {
            this.#pressureSummedAt = now;
            const told: ToldPressure[] = [];
            for (const [peer, { pressure, receivedAt }] of this.#peerPressure) {
                if (now - receivedAt > PRESSURE_LIFETIME_MILLISECONDS) {
                    this.#peerPressure.delete(peer);
                    continue;
                }
                for (const [priority, waiting, preferred, size, refusedAgo, ...sizes] of pressure) {
                    told.push([priority, waiting, preferred, size, refusedAgo + now - receivedAt, ...sizes]);
                }
            }
            this.#pressureSum = mergePressure(told);
        }
        return this.#pressureSum;
    }

    #updateMeanSize({ priority, size }: AdmissionEntry): void {
        const meanSize = this.#pressure.get(priority)?.meanSize ?? size;
        this.#setPressure(priority, { meanSize: meanSize + MEAN_SIZE_WEIGHT * (size - meanSize) });
    }

    #setPressure(priority: number, change: Partial<PriorityPressure>): void {
        const known = this.#pressure.get(priority) ?? { refusedAt: Number.NEGATIVE_INFINITY, meanSize: 0 };
        this.#pressure.set(priority, { ...known, ...change });
    }

    #countSessionRefusals(session: number, now: number): number {
        const refusals = this.#sessionRefusals.get(session);
        return refusals === undefined || now - refusals.refusedAt > SESSION_LIFETIME_MILLISECONDS ? 0 : refusals.count;
    }

    #addSessionRefusal(session: number, now: number): void {
        const count = this.#countSessionRefusals(session, now) + 1;
        this.#sessionRefusals.delete(session);
        this.#sessionRefusals.set(session, { count, refusedAt: now });
        if (this.#sessionRefusals.size > MAX_SESSIONS) {
            const [oldest] = this.#sessionRefusals.keys();
            this.#sessionRefusals.delete(oldest ?? session);
        }
    }
}

/** Adds up what several instances lack, by priority. */
function mergePressure(told: readonly ToldPressure[]): ToldPressure[] {
    const merged = new Map<number, ToldPressure>();
    for (const pressure of told) {
        const [priority, waiting, preferred, size, refusedAgo, meanSize, largestSize, underserved] = pressure;
        const sum = merged.get(priority);
        merged.set(
            priority,
            sum === undefined ? pressure : [
                priority,
                sum[1] + waiting,
                sum[2] + preferred,
                sum[3] + size,
                Math.min(sum[4], refusedAgo),
                Math.max(sum[5], meanSize),
                Math.max(sum[6], largestSize),
                sum[7] + underserved,
            ],
        );
    }
    return [...merged.values()];
}
