/**
 * Keeps the orders to move services to other software versions, and decides to which version each request may go.
 *
 * Load patterns: targets of the new version are listed before the order is known, and for some seconds after it was taken
 * back; an instance loses its peers and hears of no verdict; a restored store shows an order as running that has ended.
 *
 * @module
 */
import { hashText } from "../hashing/mod.ts";
import { type AnswerKind, RolloutEvidence, type RolloutTally, type RolloutVerdict } from "./rollout_evidence.ts";
import { RolloutExposure } from "./rollout_exposure.ts";
import { planRollout, type RolloutPlan, RolloutStage } from "./rollout_plan.ts";
import {
    isFinalState,
    type RolloutBounds,
    type RolloutOrder,
    type RolloutSnapshot,
    RolloutState,
} from "./rollout_types.ts";
import { getSoftwareVersion, type ServingTarget } from "./serving_types.ts";
import { comparePositions } from "./store_position.ts";

/** An order that this instance knows, with what it has found out. */
export interface Rollout {
    /** The order. */
    order: RolloutOrder;
    /** Time of the order, on the monotonic clock in milliseconds. */
    orderedAt: number;
    /** Counts of all instances. */
    readonly evidence: RolloutEvidence;
    /** Share of this instance's requests. */
    readonly exposure: RolloutExposure;
    /** Latest comparison of the versions. */
    verdict: RolloutVerdict;
    /** Latest plan; `undefined` before the first. */
    plan: RolloutPlan | undefined;
    /** How the rollout ends, as decided here or by the store's object; `undefined` while it runs. */
    end: { state: RolloutState; reason: string; } | undefined;
    /** True if another order for the same service comes first. */
    isIgnored: boolean;
    /** Targets that get the share. */
    canaries: ReadonlySet<string>;
    /** Time since which no target of another version has been listed; `undefined` while one is. */
    oldGoneSince: number | undefined;
    /** True once a target of another version was listed. */
    hasHadOld: boolean;
}

/** Targets of a service, for {@linkcode Rollouts.update}. */
export interface RolloutTargets {
    /** Targets that accept requests. */
    available: readonly ServingTarget[];
    /** Identifiers of those that are cold. */
    cold: ReadonlySet<string>;
    /** Counts the requests that run at targets of other versions than the given one. */
    countOldRunning: (softwareVersion: string) => number;
}

/** A change that {@linkcode Rollouts} reports for the log. */
export interface RolloutEvent {
    /** Name of the event. */
    event: string;
    /** Fields of the log line. */
    fields: Record<string, unknown>;
}

/** Targets to which an attempt may go. */
export interface VersionChoice {
    /** Name of the accepted targets: choices for a service with the same name accept the same ones. */
    name: string;
    /** Accepts the targets that are tried first, without waiting for one; `undefined` for none. */
    isPreferred: ((target: ServingTarget) => boolean) | undefined;
    /** Accepts all targets that may be used. */
    isAllowed: (target: ServingTarget) => boolean;
}

/** Input of {@linkcode Rollouts.chooseVersions}. */
export interface VersionChoiceInput {
    /** Service that the request is for. */
    service: string;
    /** Name of the route. */
    route: string;
    /** True for a request that asks for a long stream. */
    isLong: boolean;
    /** True for the first attempt at the request. */
    isFirst: boolean;
    /** False if the attempt is not made, but explained. */
    isCounted: boolean;
    /** Version that began the stream; `undefined` before its first event. */
    softwareVersion: string | undefined;
    /** Time on the monotonic clock, in milliseconds. */
    now: number;
}

/** Longest time limit that is obeyed, in milliseconds; counts and targets are kept for that long. */
const MAX_DURATION_MILLISECONDS = 3_600_000;
/** Time for which the version of a withdrawn order gets no request while other targets serve, in milliseconds. */
const WITHDRAWN_MILLISECONDS = 60_000;
/**
 * Time after its first target is listed in which a version gets no request while other targets serve, in milliseconds: an
 * order that is written beside it arrives within that time.
 */
const NEWCOMER_MILLISECONDS = 1500;
/** Time for which the order may be unknown to an instance that has just started, in milliseconds. */
const UNKNOWN_ORDERS_MILLISECONDS = 3000;

const NO_VERDICT: RolloutVerdict = { isBad: false, reason: "", answers: 0, badAnswers: 0 };

/** Keeps the orders and decides about versions. */
export class Rollouts {
    readonly #bounds: RolloutBounds;
    readonly #random: () => number;
    readonly #rollouts = new Map<string, Rollout>();
    /** End of the time for which a version gets no request while others serve, by service and version. */
    readonly #withdrawnUntil = new Map<string, Map<string, number>>();
    /** Time at which a version was first listed, by service and version. */
    readonly #listedAt = new Map<string, Map<string, number>>();
    readonly #startedAt: number;
    #position: { era: number; revision: number; changeRevision: number; } | undefined;
    #isConnected = true;

    constructor(options: { bounds: RolloutBounds; random: () => number; now: number; }) {
        this.#bounds = options.bounds;
        this.#random = options.random;
        this.#startedAt = options.now;
    }

    /** Position of the latest list; `undefined` until one has been received. */
    get position(): { era: number; revision: number; changeRevision: number; } | undefined {
        return this.#position;
    }

    /** The latest list with the ages that this instance knows; `undefined` until one has been received. */
    getSnapshot(now: number): RolloutSnapshot | undefined {
        return this.#position === undefined ? undefined : {
            ...this.#position,
            orders: [...this.#rollouts.values()].map(({ order, orderedAt }) => ({
                ...order,
                ageMilliseconds: Math.max(0, Math.round(now - orderedAt)),
            })),
        };
    }

    /** Lists the orders. */
    listRollouts(): Rollout[] {
        return [...this.#rollouts.values()];
    }

    /** Finds the order that holds for a service. */
    findRollout(service: string): Rollout | undefined {
        return [...this.#rollouts.values()].find(rollout => rollout.order.service === service && !rollout.isIgnored);
    }

    /** Applies a list; returns what has changed, or `undefined` if the list is not newer than the latest one. */
    applySnapshot(snapshot: RolloutSnapshot, now: number): RolloutEvent[] | undefined {
        const known = this.#position;
        if (known !== undefined && comparePositions(snapshot, known) < 0) {
            return undefined;
        }
        const isRestored = known !== undefined && snapshot.era > known.era;
        const { era, revision, changeRevision, orders } = snapshot;
        this.#position = { era, revision, changeRevision };
        const events: RolloutEvent[] = [];
        const listed = new Set(orders.map(({ name }) => name));
        for (const [name, { order, end }] of this.#rollouts) {
            if (!listed.has(name)) {
                this.#rollouts.delete(name);
                this.#keepFrom(order, { end, now });
                events.push({ event: "rollout withdrawn", fields: describeOrder(order) });
            }
        }
        for (const order of orders) {
            events.push(...this.#applyOrder(order, { isRestored, now }));
        }
        this.#markIgnored(events);
        return events;
    }

    /**
     * Compares the versions, plans all running rollouts, and ends those whose end is decided. `isConnected` tells whether
     * this instance would hear of another one's verdict.
     */
    update(
        input: { now: number; isConnected: boolean; findTargets: (service: string) => RolloutTargets; },
    ): RolloutEvent[] {
        const { now, isConnected, findTargets } = input;
        const events: RolloutEvent[] = [];
        if (isConnected !== this.#isConnected && [...this.#rollouts.values()].some(({ end }) => end === undefined)) {
            events.push({ event: isConnected ? "rollout goes on" : "rollout paused without peers", fields: {} });
        }
        this.#isConnected = isConnected;
        for (const rollout of this.#rollouts.values()) {
            if (rollout.end === undefined && !rollout.isIgnored) {
                events.push(...this.#updateRollout(rollout, { now, targets: findTargets(rollout.order.service) }));
            }
        }
        return events;
    }

    /**
     * Records the versions that are listed, by service. Of the versions that are there when an instance starts, all but the
     * baseline count as new.
     */
    recordListed(
        versions: ReadonlyMap<string, ReadonlySet<string>>,
        { now, findBaseline }: { now: number; findBaseline: (service: string) => string | undefined; },
    ): void {
        for (const [service, listed] of versions) {
            const previous = this.#listedAt.get(service);
            const times = new Map<string, number>();
            for (const version of listed) {
                const isOld = previous === undefined && version === findBaseline(service);
                times.set(version, previous?.get(version) ?? (isOld ? Number.NEGATIVE_INFINITY : now));
            }
            this.#listedAt.set(service, times);
        }
    }

    /** Checks whether requests to a service may not go to all its targets; listing these costs time. */
    isConcerned(service: string, now: number): boolean {
        return this.findRollout(service) !== undefined
            || this.#areOrdersUnknown(now)
            || [...this.#listedAt.get(service)?.values() ?? []].some(time => now - time < NEWCOMER_MILLISECONDS)
            || [...this.#withdrawnUntil.get(service)?.values() ?? []].some(until => until > now);
    }

    /**
     * Chooses the targets to which an attempt may go. `others` are the targets of the service that accept requests, and
     * `baseline` the version that it has had for long, if it is known.
     */
    chooseVersions(
        input: VersionChoiceInput,
        { others, baseline }: { others: readonly ServingTarget[]; baseline: string | undefined; },
    ): VersionChoice | undefined {
        const rollout = this.findRollout(input.service);
        return rollout === undefined
            ? this.#chooseWithoutOrder(input, { others, baseline })
            : this.#chooseByOrder(rollout, { input, others });
    }

    /** Records that a request was sent to a target. */
    recordSend(route: string, target: ServingTarget): void {
        const rollout = this.findRollout(target.service);
        if (rollout !== undefined && isNewTarget(rollout, target)) {
            rollout.evidence.recordSend();
            rollout.exposure.recordSend(route);
        }
    }

    /** Records how an attempt has ended; returns whether it is a failure of a new version, which peers should know. */
    recordEnd(target: ServingTarget, end: { route: string; kind: AnswerKind; now: number; }): boolean {
        const rollout = this.findRollout(target.service);
        if (rollout === undefined || rollout.end !== undefined) {
            return false;
        }
        const isNew = isNewTarget(rollout, target);
        return rollout.evidence.recordEnd({ ...end, target: target.id, isNew }) && isNew;
    }

    /** Records how long an answer, or a part of it, has taken; returns whether it shows that a new version is slow. */
    recordTime(target: ServingTarget, answer: { route: string; milliseconds: number; }): boolean {
        const rollout = this.findRollout(target.service);
        if (rollout === undefined || rollout.end !== undefined) {
            return false;
        }
        const isNew = isNewTarget(rollout, target);
        return rollout.evidence.recordTime({ ...answer, isNew }) && isNew;
    }

    /** Records the state of an order that this instance has written to the store, or has read there. */
    recordState(rollout: Rollout, state: RolloutState, revision: number): RolloutEvent[] {
        rollout.order = { ...rollout.order, state, revision: Math.max(revision, rollout.order.revision) };
        return isFinalState(state) && rollout.end?.state !== state
            ? [this.#endRollout(rollout, { state, reason: "written to the store" })]
            : [];
    }

    /** Checks whether a target has a version that gets nothing more. */
    isStopped(target: ServingTarget): boolean {
        const rollout = this.findRollout(target.service);
        return rollout?.end?.state === RolloutState.rolledBack && isNewTarget(rollout, target);
    }

    /** Applies what a peer has counted and decided. */
    applyPeerReport(instance: string, report: RolloutReport): RolloutEvent[] {
        const rollout = this.#rollouts.get(report.name);
        if (rollout === undefined || rollout.order.softwareVersion !== report.softwareVersion) {
            return [];
        }
        const { requests, longRequests, sent, routes } = report;
        rollout.evidence.applyPeerTally(instance, { requests, longRequests, sent, routes });
        return report.isBad && rollout.end === undefined
            ? [this.#endRollout(rollout, { state: RolloutState.rolledBack, reason: `told by ${instance}` })]
            : [];
    }

    /** Lists what this instance has counted and decided, for its peers. */
    listReports(): RolloutReport[] {
        return [...this.#rollouts.values()]
            .filter(({ isIgnored, order }) => !isIgnored && !isFinalState(order.state))
            .map(({ order: { name, softwareVersion }, evidence, end }) => ({
                name,
                softwareVersion,
                isBad: end?.state === RolloutState.rolledBack,
                ...evidence.own,
            }));
    }

    #applyOrder(
        order: RolloutOrder,
        { isRestored, now }: { isRestored: boolean; now: number; },
    ): RolloutEvent[] {
        const known = this.#rollouts.get(order.name);
        const orderedAt = now - order.ageMilliseconds;
        const isSame = known !== undefined && known.order.service === order.service
            && known.order.softwareVersion === order.softwareVersion
            && (isRestored || !isFinalState(known.order.state) || isFinalState(order.state)
                || order.revision < known.order.revision);
        if (known === undefined || !isSame) {
            if (known !== undefined) {
                this.#keepFrom(known.order, { end: known.end, now });
            }
            this.#rollouts.set(order.name, this.#createRollout(order, orderedAt));
            const event = known === undefined ? "rollout ordered" : "rollout order replaced";
            return [{ event, fields: { ...describeOrder(order), previous: known?.order.softwareVersion } }];
        }
        const events: RolloutEvent[] = [];
        known.orderedAt = Math.min(known.orderedAt, orderedAt);
        // The reply to this instance's own write may be ahead of the watch.
        if (!isRestored && order.revision < known.order.revision) {
            return events;
        }
        if (known.order.durationMilliseconds !== order.durationMilliseconds) {
            events.push({ event: "rollout order changed", fields: describeOrder(order) });
        }
        known.order = order;
        // What the store shows holds: its targets stop accordingly. A restored store may show what was before.
        if (isFinalState(order.state) && order.state !== undefined && known.end?.state !== order.state) {
            events.push(this.#endRollout(known, { state: order.state, reason: "shown by the store" }));
        }
        return events;
    }

    #createRollout(order: RolloutOrder, orderedAt: number): Rollout {
        const { state } = order;
        return {
            order,
            orderedAt,
            evidence: new RolloutEvidence(),
            exposure: new RolloutExposure(this.#random),
            verdict: NO_VERDICT,
            plan: undefined,
            end: state !== undefined && isFinalState(state) ? { state, reason: "shown by the store" } : undefined,
            isIgnored: false,
            canaries: new Set(),
            oldGoneSince: undefined,
            hasHadOld: false,
        };
    }

    /** Keeps requests from the version of an order that holds no longer, unless it was completed. */
    #keepFrom(
        { service, softwareVersion }: RolloutOrder,
        { end, now }: { end: Rollout["end"]; now: number; },
    ): void {
        if (end?.state !== RolloutState.completed) {
            const versions = this.#withdrawnUntil.get(service) ?? new Map<string, number>();
            versions.set(softwareVersion, now + WITHDRAWN_MILLISECONDS);
            this.#withdrawnUntil.set(service, versions);
        }
    }

    #areOrdersUnknown(now: number): boolean {
        return this.#position === undefined && now - this.#startedAt < UNKNOWN_ORDERS_MILLISECONDS;
    }

    #isWithdrawn(target: ServingTarget, now: number): boolean {
        return (this.#withdrawnUntil.get(target.service)?.get(getSoftwareVersion(target)) ?? 0) > now;
    }

    /** Marks all orders of a service but one: the one named like the service, or else the first by name. */
    #markIgnored(events: RolloutEvent[]): void {
        const sorted = [...this.#rollouts.values()].sort((a, b) =>
            Number(b.order.name === b.order.service) - Number(a.order.name === a.order.service)
            || (a.order.name < b.order.name ? -1 : 1)
        );
        const services = new Set<string>();
        for (const rollout of sorted) {
            const { order } = rollout;
            const isIgnored = services.has(order.service);
            if (isIgnored && !rollout.isIgnored) {
                events.push({ event: "rollout ignored beside another", fields: describeOrder(order) });
            }
            rollout.isIgnored = isIgnored;
            services.add(order.service);
        }
    }

    #updateRollout(rollout: Rollout, { now, targets }: { now: number; targets: RolloutTargets; }): RolloutEvent[] {
        const { order, evidence } = rollout;
        const fresh = targets.available.filter(target => isNewTarget(rollout, target));
        const old = targets.available.filter(target =>
            !isNewTarget(rollout, target) && !this.#isWithdrawn(target, now)
        );
        const ready = fresh.filter(({ id }) => !targets.cold.has(id));
        rollout.verdict = evidence.decideVerdict(now);
        rollout.hasHadOld ||= old.length > 0;
        rollout.oldGoneSince = old.length > 0 ? undefined : rollout.oldGoneSince ?? now;
        const previous = rollout.plan;
        const plan = planRollout({
            ageMilliseconds: now - rollout.orderedAt,
            durationMilliseconds: Math.min(order.durationMilliseconds, MAX_DURATION_MILLISECONDS),
            bounds: this.#bounds,
            total: evidence.total,
            rates: evidence.computeRates(now),
            answers: rollout.verdict.answers,
            isBad: rollout.verdict.isBad,
            isDoubtful: evidence.decideVerdict(now, { isLast: true }).isBad,
            oldSlots: countSlots(old),
            newSlots: countSlots(ready),
            oldTargets: old.length,
            oldGoneMilliseconds: rollout.oldGoneSince === undefined ? 0 : now - rollout.oldGoneSince,
            oldRunning: targets.countOldRunning(order.softwareVersion),
        });
        rollout.plan = plan;
        rollout.canaries = chooseCanaries(fresh, plan.canaries);
        const events: RolloutEvent[] = [];
        if (previous === undefined || previous.stage !== plan.stage) {
            const fields = {
                ...describeOrder(order),
                ...describeEvidence(rollout),
                stage: plan.stage,
                share: Number(plan.share.toFixed(3)),
            };
            events.push({ event: "rollout share set", fields });
        }
        // What the evidence shows holds at once. What the time limit demands is decided by the one that writes the status,
        // since the counts of an instance may be incomplete.
        if (rollout.verdict.isBad) {
            const { reason } = rollout.verdict;
            events.push(this.#endRollout(rollout, { state: RolloutState.rolledBack, reason }));
        }
        return events;
    }

    #endRollout(rollout: Rollout, end: { state: RolloutState; reason: string; }): RolloutEvent {
        rollout.end = end;
        const fields = { ...describeOrder(rollout.order), ...describeEvidence(rollout), ...end };
        return { event: "rollout decided", fields };
    }

    #chooseWithoutOrder(
        { service, softwareVersion, now }: VersionChoiceInput,
        { others, baseline }: { others: readonly ServingTarget[]; baseline: string | undefined; },
    ): VersionChoice | undefined {
        if (softwareVersion !== undefined) {
            return undefined;
        }
        const listedAt = this.#listedAt.get(service);
        const areOrdersUnknown = this.#areOrdersUnknown(now);
        const isSettled = (target: ServingTarget): boolean => {
            const version = getSoftwareVersion(target);
            const isNewcomer = listedAt !== undefined && now - (listedAt.get(version) ?? now) < NEWCOMER_MILLISECONDS;
            const isUnknown = areOrdersUnknown && baseline !== undefined && version !== baseline;
            return !isNewcomer && !isUnknown && !this.#isWithdrawn(target, now);
        };
        const settled = others.filter(isSettled).length;
        return settled === 0 || settled === others.length
            ? undefined
            : { name: "settled", isPreferred: undefined, isAllowed: isSettled };
    }

    #chooseByOrder(
        rollout: Rollout,
        { input, others }: { input: VersionChoiceInput; others: readonly ServingTarget[]; },
    ): VersionChoice | undefined {
        const { route, isLong, isFirst, isCounted, softwareVersion, now } = input;
        const { plan, end, evidence, exposure, order, canaries } = rollout;
        const oldName = `old ${order.softwareVersion}`;
        const isNew = (target: ServingTarget): boolean => isNewTarget(rollout, target);
        const isOld = (target: ServingTarget): boolean =>
            !isNewTarget(rollout, target) && !this.#isWithdrawn(target, now);
        if (end?.state === RolloutState.completed) {
            return softwareVersion !== undefined || !others.some(isNew)
                ? undefined
                : { name: `new ${order.softwareVersion}`, isPreferred: undefined, isAllowed: isNew };
        }
        if (isFirst && isCounted && end === undefined) {
            evidence.recordRequest(isLong);
        }
        // Without a target of another version there is nothing to go back to; a rollout that had some waits for them once
        // its version is bad.
        if (!others.some(isOld) && (end === undefined || !rollout.hasHadOld)) {
            return softwareVersion === undefined || softwareVersion === order.softwareVersion
                ? undefined
                : { name: oldName, isPreferred: undefined, isAllowed: isOld };
        }
        if (end !== undefined || !this.#isConnected || plan === undefined) {
            return { name: oldName, isPreferred: undefined, isAllowed: isOld };
        }
        if (softwareVersion !== undefined) {
            const isNewStream = softwareVersion === order.softwareVersion;
            return {
                name: isNewStream ? `new ${order.softwareVersion}` : oldName,
                isPreferred: undefined,
                isAllowed: target => isNewTarget(rollout, target) === isNewStream,
            };
        }
        const isMoved = plan.stage === RolloutStage.all || plan.stage === RolloutStage.streams && isLong;
        if (isFirst && isMoved) {
            return { name: "any", isPreferred: isNew, isAllowed: target => isNew(target) || isOld(target) };
        }
        const isChosen = isFirst && isCounted && exposure.recordRequest(route, plan.share);
        return {
            name: oldName,
            isPreferred: isChosen ? target => isNew(target) && canaries.has(target.id) : undefined,
            isAllowed: isOld,
        };
    }
}

/** What an instance has counted about a rollout, and whether it has decided to roll it back; digests hold it. */
export interface RolloutReport extends RolloutTally {
    /** Name of the store's object. */
    name: string;
    /** Version that the traffic is to be moved to. */
    softwareVersion: string;
    /** True if the sender sends no more requests to it. */
    isBad: boolean;
}

/** Finds the state that the status of a rollout should show. */
export function findWantedState({ plan, end }: Pick<Rollout, "plan" | "end">): RolloutState {
    const planned = plan?.action === "complete"
        ? RolloutState.completed
        : plan?.action === "roll back"
        ? RolloutState.rolledBack
        : RolloutState.running;
    return end?.state ?? planned;
}

/** Describes an order for the log. */
export function describeOrder(order: RolloutOrder): Record<string, unknown> {
    const { name, revision, service, softwareVersion, durationMilliseconds, state, ageMilliseconds } = order;
    return { rollout: name, revision, service, softwareVersion, durationMilliseconds, state, ageMilliseconds };
}

/** Describes the counts of all instances for the log. */
export function describeEvidence({ evidence, verdict }: Rollout): Record<string, unknown> {
    const { requests, longRequests, sent } = evidence.total;
    return { requests, longRequests, sent, answers: verdict.answers, badAnswers: verdict.badAnswers };
}

function isNewTarget({ order }: Rollout, target: ServingTarget): boolean {
    return getSoftwareVersion(target) === order.softwareVersion;
}

function countSlots(targets: readonly ServingTarget[]): number {
    return targets.reduce((sum, { slots }) => sum + slots, 0);
}

/** Chooses the targets that get the share: the same ones at all instances, so that they get as much load as others. */
function chooseCanaries(targets: readonly ServingTarget[], count: number): Set<string> {
    const sorted = targets.map(({ id }) => ({ id, hash: hashText(id) })).sort((a, b) => a.hash - b.hash);
    return new Set(sorted.slice(0, count).map(({ id }) => id));
}
