/**
 * The product's placement policy: its own placement, prediction and admission code, connected by messages with the
 * delays of a fleet.
 *
 * @module
 */
import {
    type AttemptOutcome,
    FairQueue,
    type Headroom,
    type PermitDecision,
    type PermitRequest,
    TargetAdmission,
    type TargetAdmissionOptions,
} from "../../core/admission/mod.ts";
import { chooseTarget, computeOwnerWait } from "../../core/placement/mod.ts";
import { LengthPredictor } from "../../core/prediction/mod.ts";
import type { Work } from "./deployments.ts";
import type { PlacementPolicy, PolicyBuilder, PolicyContext } from "./placement_policy.ts";

/** Time that a message between a gateway and the owner of a target takes, in milliseconds. */
const LINK_DELAY_MILLISECONDS = 1.5;
/** Interval at which owners publish the headroom of their targets, in milliseconds. */
const HEADROOM_INTERVAL_MILLISECONDS = 300;
/** Interval at which owners poll the load of their targets, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 500;
/** Interval at which gateways announce the progress of their permits, in milliseconds. */
const ANNOUNCE_INTERVAL_MILLISECONDS = 1500;
/** Interval between ticks of the owners, in milliseconds. */
const TICK_INTERVAL_MILLISECONDS = 50;
/** Maximum number of concurrent permit requests of one priority on a gateway. */
const MAX_PERMIT_REQUESTS = 64;
/** Shortest pause before a gateway that was refused by all targets tries them again, in milliseconds. */
const MIN_ROUND_PAUSE_MILLISECONDS = 40;
/** Greatest random addition to the pause, in milliseconds. */
const ROUND_PAUSE_SPREAD_MILLISECONDS = 80;

/** The requests of one priority on one gateway. */
interface PriorityClass {
    /** Requests that wait to request a permit. */
    queue: FairQueue<Work>;
    /** Number of requests that currently request a permit. */
    permitRequests: number;
}

/** The state of a gateway. */
interface Gateway {
    /** Priority classes by priority. */
    priorityClasses: Map<number, PriorityClass>;
    /** Last known headroom of each target. */
    headroom: Map<string, Headroom>;
    predictor: LengthPredictor;
}

/** A request for a permit that has not been decided. */
interface PendingPermit {
    work: Work;
    gateway: Gateway;
    /** Targets that have refused in this round. */
    tried: Set<string>;
    /** Number of refused permit requests so far. */
    attempts: number;
    permitId: string;
}

/** Places work by its predicted KV cache demand: gateways request permits from the owners of targets. */
class MemoryPolicy implements PlacementPolicy {
    readonly #context: PolicyContext;
    readonly #admissions = new Map<string, TargetAdmission>();
    readonly #gateways: Gateway[];
    readonly #pendingPermits = new Map<string, PendingPermit>();
    readonly #permits = new Map<string, { permitId: string; target: string; produced: number; gateway: Gateway; }>();
    #lastPermitNumber = 0;

    constructor(context: PolicyContext, options: TargetAdmissionOptions) {
        this.#context = context;
        const { targets, memoryTokens, coldConcurrent, maxConcurrent } = context;
        for (const name of targets) {
            const spec = { name, memoryTokens, maxConcurrent, coldConcurrent };
            const admission = new TargetAdmission(spec, {
                ...options,
                createdAt: context.getNow() - POLL_INTERVAL_MILLISECONDS * 10,
            });
            this.#admissions.set(name, admission);
            this.#applyReport(name, admission);
            admission.setScope({ extent: "full", share: 1, isOpen: true }, context.getNow());
        }
        this.#gateways = Array.from({ length: context.gateways }, () => ({
            priorityClasses: new Map<number, PriorityClass>(),
            headroom: new Map<string, Headroom>(),
            predictor: new LengthPredictor(),
        }));
        this.#startTimer(TICK_INTERVAL_MILLISECONDS, () => this.#runTick());
        this.#startTimer(POLL_INTERVAL_MILLISECONDS, () => this.#runPolls());
        this.#startTimer(HEADROOM_INTERVAL_MILLISECONDS, () => this.#publishHeadroom());
        this.#startTimer(ANNOUNCE_INTERVAL_MILLISECONDS, () => this.#announcePermits());
    }

    handleArrival(work: Work): void {
        const { account, kind } = work;
        this.#getPriorityClass(work).queue.enqueue(work, {
            account,
            priority: kind.priority,
            cost: this.#estimateLengths(work)[2] ?? 1,
        });
        this.#requestPermits(this.#getPriorityClass(work));
    }

    handleProgress(work: Work, produced: number): void {
        const permit = this.#permits.get(work.id);
        if (permit !== undefined) {
            permit.produced = produced;
        }
    }

    handleEnd(work: Work, end: { target: string; outcome: AttemptOutcome; }): void {
        const permit = this.#permits.get(work.id);
        this.#permits.delete(work.id);
        if (permit === undefined) {
            return;
        }
        const { account, kind, outputTokens } = work;
        if (end.outcome === "finished") {
            permit.gateway.predictor.observeLength({ account, kind: kind.name, model: "m" }, outputTokens);
        }
        this.#scheduleMessage(() => {
            const now = this.#context.getNow();
            const admission = this.#admissions.get(end.target);
            this.#deliverDecisions(admission?.releasePermit(permit.permitId, { outcome: end.outcome, now }) ?? []);
        });
    }

    handleConnectionClosed(target: string): void {
        this.#scheduleMessage(() => this.#admissions.get(target)?.handleConnectionClosed(this.#context.getNow()));
    }

    #startTimer(interval: number, run: () => void): void {
        this.#context.queue.addEvent(this.#context.getNow() + interval, () => {
            run();
            this.#startTimer(interval, run);
        });
    }

    /** Delivers a message after the delay of a link. */
    #scheduleMessage(run: () => void): void {
        this.#context.queue.addEvent(this.#context.getNow() + LINK_DELAY_MILLISECONDS, run);
    }

    #getGateway(work: Work): Gateway {
        const gateway = this.#gateways[work.gateway];
        if (gateway === undefined) {
            throw new Error(`Cannot place work: there is no gateway ${work.gateway}.`);
        }
        return gateway;
    }

    #estimateLengths(work: Work): readonly number[] {
        const { account, kind } = work;
        return this.#context.memoryTokens === 0
            ? []
            : this.#getGateway(work).predictor.estimateLengths({ account, kind: kind.name, model: "m" });
    }

    #getPriorityClass(work: Work): PriorityClass {
        const { priorityClasses } = this.#getGateway(work);
        const priorityClass = priorityClasses.get(work.kind.priority)
            ?? { queue: new FairQueue<Work>(), permitRequests: 0 };
        priorityClasses.set(work.kind.priority, priorityClass);
        return priorityClass;
    }

    /** Requests permits for waiting work, up to the limit of concurrent permit requests. */
    #requestPermits(priorityClass: PriorityClass): void {
        while (priorityClass.permitRequests < MAX_PERMIT_REQUESTS && priorityClass.queue.size > 0) {
            const work = priorityClass.queue.dequeue();
            if (work !== undefined) {
                priorityClass.permitRequests += 1;
                this.#requestPermit({ work, gateway: this.#getGateway(work), tried: new Set(), attempts: 0 });
            }
        }
    }

    /**
     * Requests a permit for a target that has not refused yet; once all have refused, starts a new round after a pause.
     *
     * Refuses the work if its caller has waited too long.
     */
    #requestPermit(pending: Omit<PendingPermit, "permitId">): void {
        const { work, gateway, tried, attempts } = pending;
        const now = this.#context.getNow();
        if (now >= work.arrivedAt + work.kind.maxWaitMilliseconds) {
            this.#finishPermitRequest(work);
            this.#context.refuseWork(work);
            return;
        }
        const candidates = this.#context.targets
            .filter(name => this.#context.isOpen(name) && !tried.has(name))
            .map(name => ({ name, share: gateway.headroom.get(name)?.share, isLocal: false }));
        const choice = chooseTarget(candidates, { random: this.#context.random, prefix: work.prefix });
        if (choice === undefined) {
            const pause = MIN_ROUND_PAUSE_MILLISECONDS + this.#context.random() * ROUND_PAUSE_SPREAD_MILLISECONDS;
            this.#context.queue.addEvent(
                now + pause,
                () => this.#requestPermit({ work, gateway, tried: new Set(), attempts }),
            );
            return;
        }
        this.#sendRequest({ work, gateway, tried, attempts, permitId: "" }, choice.name);
    }

    #sendRequest(pending: PendingPermit, target: string): void {
        const { work } = pending;
        this.#lastPermitNumber += 1;
        const permitId = `permit-${this.#lastPermitNumber}`;
        this.#pendingPermits.set(permitId, { ...pending, permitId });
        const remaining = work.arrivedAt + work.kind.maxWaitMilliseconds - this.#context.getNow();
        const request: PermitRequest = {
            permitId,
            target,
            origin: String(work.gateway),
            account: work.account,
            weight: 1,
            priority: work.kind.priority,
            promptTokens: this.#context.memoryTokens === 0 ? 0 : work.promptTokens,
            lengths: this.#estimateLengths(work),
            waitMilliseconds: Math.min(computeOwnerWait(pending.attempts), remaining),
        };
        this.#scheduleMessage(() => {
            this.#deliverDecisions(this.#admissions.get(target)?.handleRequest(request, this.#context.getNow()) ?? []);
        });
    }

    /** Sends decisions of an owner to the gateways. */
    #deliverDecisions(decisions: readonly PermitDecision[]): void {
        for (const decision of decisions) {
            this.#scheduleMessage(() => this.#handleDecision(decision));
        }
    }

    #handleDecision(decision: PermitDecision): void {
        const { request, headroom } = decision;
        const pending = this.#pendingPermits.get(request.permitId);
        this.#pendingPermits.delete(request.permitId);
        if (pending === undefined) {
            return;
        }
        const { work, gateway, tried, attempts, permitId } = pending;
        gateway.headroom.set(headroom.target, headroom);
        if (decision.kind === "refused") {
            this.#requestPermit({ work, gateway, tried: tried.add(request.target), attempts: attempts + 1 });
            return;
        }
        this.#finishPermitRequest(work);
        this.#permits.set(work.id, { permitId, target: request.target, produced: 0, gateway });
        this.#context.startWork(work, request.target);
    }

    #finishPermitRequest(work: Work): void {
        const priorityClass = this.#getPriorityClass(work);
        priorityClass.permitRequests -= 1;
        this.#requestPermits(priorityClass);
    }

    #runTick(): void {
        const now = this.#context.getNow();
        for (const [name, admission] of this.#admissions) {
            this.#deliverDecisions(
                admission.setScope({ extent: "full", share: 1, isOpen: this.#context.isOpen(name) }, now),
            );
            this.#deliverDecisions(admission.handleTick(now));
        }
    }

    #runPolls(): void {
        for (const [name, admission] of this.#admissions) {
            this.#applyReport(name, admission);
        }
    }

    #applyReport(name: string, admission: TargetAdmission): void {
        const now = this.#context.getNow();
        this.#deliverDecisions(
            admission.handleReport(this.#context.getReport(name), { askedAt: now - LINK_DELAY_MILLISECONDS, now }),
        );
    }

    #publishHeadroom(): void {
        for (const admission of this.#admissions.values()) {
            const headroom = admission.estimateHeadroom(this.#context.getNow());
            this.#scheduleMessage(() =>
                this.#gateways.forEach(gateway => gateway.headroom.set(headroom.target, headroom))
            );
        }
    }

    #announcePermits(): void {
        const now = this.#context.getNow();
        for (const admission of this.#admissions.values()) {
            const heldPermits = new Map(admission.listPermits().map(permit => [permit.permitId, permit]));
            for (const { permitId, produced } of this.#permits.values()) {
                const permit = heldPermits.get(permitId);
                if (permit !== undefined) {
                    admission.recordPermit({ ...permit, produced }, now);
                }
            }
        }
    }
}

/**
 * Creates the product's placement policy.
 *
 * @param options Options of admission control. Defaults to those of the product.
 * @returns A builder of the policy.
 */
export function createMemoryPolicy(options: TargetAdmissionOptions = {}): PolicyBuilder {
    return context => new MemoryPolicy(context, options);
}
