/**
 * Today's policy: the real placement, prediction and admission cores, joined with the delays of a fleet.
 *
 * @module
 */
import {
    FairQueue,
    type Headroom,
    type PermitDecision,
    type PermitRequest,
    TargetAdmission,
    type TargetAdmissionOptions,
    type WorkOutcome,
} from "../../core/admission/mod.ts";
import { chooseTarget, computeOwnerWait } from "../../core/placement/mod.ts";
import { LengthPredictor } from "../../core/prediction/mod.ts";
import type { Work } from "./deployments.ts";
import type { PlacementPolicy, PolicyBuilder, PolicyContext } from "./placement_policy.ts";

const LINK_DELAY = 1.5;
const DIGEST_INTERVAL = 300;
const POLL_INTERVAL = 500;
const ANNOUNCE_INTERVAL = 1500;
const TICK_INTERVAL = 50;
const LANE_CONCURRENCY = 64;
const MIN_ROUND_PAUSE = 40;
const ROUND_PAUSE_SPREAD = 80;

interface Lane {
    queue: FairQueue<Work>;
    asking: number;
}

interface Gateway {
    /** Lanes by priority. */
    lanes: Map<number, Lane>;
    headroom: Map<string, Headroom>;
    predictor: LengthPredictor;
}

interface Asked {
    work: Work;
    gateway: Gateway;
    tried: Set<string>;
    /** Owners asked before. */
    attempts: number;
    permitId: string;
}

class MemoryPolicy implements PlacementPolicy {
    readonly #context: PolicyContext;
    readonly #admissions = new Map<string, TargetAdmission>();
    readonly #gateways: Gateway[];
    readonly #asked = new Map<string, Asked>();
    readonly #permits = new Map<string, { permitId: string; target: string; produced: number; gateway: Gateway; }>();
    #count = 0;

    constructor(context: PolicyContext, options: TargetAdmissionOptions) {
        this.#context = context;
        const { targets, memoryTokens, coldConcurrent, maxConcurrent } = context;
        for (const name of targets) {
            const spec = { name, memoryTokens, maxConcurrent, coldConcurrent };
            const admission = new TargetAdmission(spec, {
                ...options,
                createdAt: context.getNow() - POLL_INTERVAL * 10,
            });
            this.#admissions.set(name, admission);
            this.#applyReport(name, admission);
            admission.setScope({ extent: "full", share: 1, isOpen: true }, context.getNow());
        }
        this.#gateways = Array.from({ length: context.gateways }, () => ({
            lanes: new Map<number, Lane>(),
            headroom: new Map<string, Headroom>(),
            predictor: new LengthPredictor(),
        }));
        this.#startTimer(TICK_INTERVAL, () => this.#runTick());
        this.#startTimer(POLL_INTERVAL, () => this.#runPolls());
        this.#startTimer(DIGEST_INTERVAL, () => this.#publishDigests());
        this.#startTimer(ANNOUNCE_INTERVAL, () => this.#announcePermits());
    }

    handleArrival(work: Work): void {
        const { account, kind } = work;
        this.#getLane(work).queue.enqueue(work, {
            account,
            priority: kind.priority,
            cost: this.#estimateLengths(work)[2] ?? 1,
        });
        this.#askNext(this.#getLane(work));
    }

    handleProgress(work: Work, produced: number): void {
        const permit = this.#permits.get(work.id);
        if (permit !== undefined) {
            permit.produced = produced;
        }
    }

    handleEnd(work: Work, end: { target: string; outcome: WorkOutcome; }): void {
        const permit = this.#permits.get(work.id);
        this.#permits.delete(work.id);
        if (permit === undefined) {
            return;
        }
        const { account, kind, outputTokens } = work;
        if (end.outcome === "finished") {
            permit.gateway.predictor.observeLength({ account, kind: kind.name, model: "m" }, outputTokens);
        }
        this.#delay(() => {
            const now = this.#context.getNow();
            const admission = this.#admissions.get(end.target);
            this.#answer(admission?.releasePermit(permit.permitId, { outcome: end.outcome, now }) ?? []);
        });
    }

    handleClosed(target: string): void {
        this.#delay(() => this.#admissions.get(target)?.handleConnectionClosed(this.#context.getNow()));
    }

    #startTimer(interval: number, run: () => void): void {
        this.#context.queue.addEvent(this.#context.getNow() + interval, () => {
            run();
            this.#startTimer(interval, run);
        });
    }

    #delay(run: () => void): void {
        this.#context.queue.addEvent(this.#context.getNow() + LINK_DELAY, run);
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

    #getLane(work: Work): Lane {
        const { lanes } = this.#getGateway(work);
        const lane = lanes.get(work.kind.priority) ?? { queue: new FairQueue<Work>(), asking: 0 };
        lanes.set(work.kind.priority, lane);
        return lane;
    }

    #askNext(lane: Lane): void {
        while (lane.asking < LANE_CONCURRENCY && lane.queue.size > 0) {
            const work = lane.queue.dequeue();
            if (work !== undefined) {
                lane.asking += 1;
                this.#ask({ work, gateway: this.#getGateway(work), tried: new Set(), attempts: 0 });
            }
        }
    }

    #ask(asking: Omit<Asked, "permitId">): void {
        const { work, gateway, tried, attempts } = asking;
        const now = this.#context.getNow();
        if (now >= work.arrivedAt + work.kind.patience) {
            this.#finishAsking(work);
            this.#context.refuseWork(work);
            return;
        }
        const candidates = this.#context.targets
            .filter(name => this.#context.isOpen(name) && !tried.has(name))
            .map(name => ({ name, share: gateway.headroom.get(name)?.share, isLocal: false }));
        const choice = chooseTarget(candidates, { random: this.#context.random, prefix: work.prefix });
        if (choice === undefined) {
            const pause = MIN_ROUND_PAUSE + this.#context.random() * ROUND_PAUSE_SPREAD;
            this.#context.queue.addEvent(now + pause, () => this.#ask({ work, gateway, tried: new Set(), attempts }));
            return;
        }
        this.#sendRequest({ work, gateway, tried, attempts, permitId: "" }, choice.name);
    }

    #sendRequest(asked: Asked, target: string): void {
        const { work } = asked;
        this.#count += 1;
        const permitId = `permit-${this.#count}`;
        this.#asked.set(permitId, { ...asked, permitId });
        const remaining = work.arrivedAt + work.kind.patience - this.#context.getNow();
        const request: PermitRequest = {
            permitId,
            target,
            origin: String(work.gateway),
            account: work.account,
            weight: 1,
            priority: work.kind.priority,
            promptTokens: this.#context.memoryTokens === 0 ? 0 : work.promptTokens,
            lengths: this.#estimateLengths(work),
            waitMilliseconds: Math.min(computeOwnerWait(asked.attempts), remaining),
        };
        this.#delay(() => {
            this.#answer(this.#admissions.get(target)?.handleRequest(request, this.#context.getNow()) ?? []);
        });
    }

    #answer(decisions: readonly PermitDecision[]): void {
        for (const decision of decisions) {
            this.#delay(() => this.#handleDecision(decision));
        }
    }

    #handleDecision(decision: PermitDecision): void {
        const { request, headroom } = decision;
        const asked = this.#asked.get(request.permitId);
        this.#asked.delete(request.permitId);
        if (asked === undefined) {
            return;
        }
        const { work, gateway, tried, attempts, permitId } = asked;
        gateway.headroom.set(headroom.target, headroom);
        if (decision.kind === "refused") {
            this.#ask({ work, gateway, tried: tried.add(request.target), attempts: attempts + 1 });
            return;
        }
        this.#finishAsking(work);
        this.#permits.set(work.id, { permitId, target: request.target, produced: 0, gateway });
        this.#context.startWork(work, request.target);
    }

    #finishAsking(work: Work): void {
        const lane = this.#getLane(work);
        lane.asking -= 1;
        this.#askNext(lane);
    }

    #runTick(): void {
        const now = this.#context.getNow();
        for (const [name, admission] of this.#admissions) {
            this.#answer(admission.setScope({ extent: "full", share: 1, isOpen: this.#context.isOpen(name) }, now));
            this.#answer(admission.handleTick(now));
        }
    }

    #runPolls(): void {
        for (const [name, admission] of this.#admissions) {
            this.#applyReport(name, admission);
        }
    }

    #applyReport(name: string, admission: TargetAdmission): void {
        const now = this.#context.getNow();
        this.#answer(admission.handleReport(this.#context.getReport(name), { askedAt: now - LINK_DELAY, now }));
    }

    #publishDigests(): void {
        for (const admission of this.#admissions.values()) {
            const headroom = admission.estimateHeadroom(this.#context.getNow());
            this.#delay(() => this.#gateways.forEach(gateway => gateway.headroom.set(headroom.target, headroom)));
        }
    }

    #announcePermits(): void {
        const now = this.#context.getNow();
        for (const admission of this.#admissions.values()) {
            const held = new Map(admission.listPermits().map(permit => [permit.permitId, permit]));
            for (const { permitId, produced } of this.#permits.values()) {
                const permit = held.get(permitId);
                if (permit !== undefined) {
                    admission.recordPermit({ ...permit, produced }, now);
                }
            }
        }
    }
}

/**
 * Creates today's policy.
 *
 * @param options Options of admission. Defaults to those of the product.
 * @returns A builder of the policy.
 */
export function createMemoryPolicy(options: TargetAdmissionOptions = {}): PolicyBuilder {
    return context => new MemoryPolicy(context, options);
}
