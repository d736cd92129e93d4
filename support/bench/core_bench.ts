/**
 * Drives a handful of agent cores, each with a plain gateway, in virtual time.
 *
 * @module
 */
import { MAX_GRANT_TRANSIT_MILLISECONDS } from "../../core/admission/mod.ts";
import {
    AgentCore,
    type AgentEffect,
    type AgentEvent,
    type AgentOptions,
    type AgentToGateway,
    type GatewayToAgent,
} from "../../core/agent/mod.ts";
import { VirtualClock } from "../../core/clock/mod.ts";
import {
    type Manifest,
    MANIFEST_KEY,
    parseManifest,
    PART_KEY_PREFIX,
    PartStore,
} from "../../core/configuration/mod.ts";
import { hashText } from "../../core/hashing/mod.ts";
import { type Inventory, mergeParts, splitInventory } from "../../core/inventory/mod.ts";
import { buildRoutingTable, type RoutingTable } from "../../core/inventory/mod.ts";
import type { PlatformRequest } from "../../core/platform/mod.ts";
import { createRandom, type Random } from "../fixtures/random.ts";
import { BenchTarget, type BenchTargetOptions } from "./bench_target.ts";
import { EventQueue } from "./event_queue.ts";
import { LinkFake } from "./link_fake.ts";
import { PlatformFake } from "./platform_fake.ts";

/** Options of a {@linkcode CoreBench}. */
export interface CoreBenchOptions {
    /** Number of instances. */
    nodes: number;
    /** Seed of all random numbers. */
    seed: number;
    /** First inventory; its targets are set up by their addresses. Defaults to an empty one. */
    inventory?: Inventory;
    /** Behaviour of each target. Defaults to warm ones whose reports lag a second. */
    target?: BenchTargetOptions;
    /** Times of the leases on orders. Defaults to the core's. */
    orders?: NonNullable<AgentOptions["orders"]>;
    /** Zones that the instances are spread over. Defaults to 3. */
    zones?: number;
    /** Time between ticks of a core, in milliseconds. Defaults to 50. */
    tickMilliseconds?: number;
    /** Time for which a new owner grants nothing, in milliseconds. Defaults to the core's. */
    settleMilliseconds?: number;
}

/** One dispatch of a claimed request. */
export interface BenchDispatch {
    key: string;
    holder: string;
    at: number;
}

/** One instance: its core, and what its gateway knows. */
export interface BenchNode {
    id: string;
    core: AgentCore;
    zone: string;
    isUp: boolean;
    /** Events that wait while the process is paused; `undefined` while it runs. */
    paused: AgentEvent[] | undefined;
    /** Number of the process's life. */
    life: number;
    parts: PartStore;
    table: RoutingTable;
    generation: number;
    isServing: boolean;
    /** Answers to claims, by holder. */
    claimResults: Map<string, string>;
    keysByHolder: Map<string, string>;
    /** Time of work that runs under a permit, by permit. */
    work: Map<string, { target: string; duration: number; askedAt: number; }>;
}

const DEFAULT_TARGET: BenchTargetOptions = { coldConcurrent: 2, coldMilliseconds: 0, lagMilliseconds: 1000 };
const DEFAULT_TICK = 50;
const PERMIT_WAIT = 500;
const WATCH_POLL = 20;
/** Instances that the operators' command sends an accepted configuration to. */
const OPERATOR_RECEIVERS = 12;
/** Time for which a poller keeps its connection, in milliseconds. */
const POLL_KEPT = 2000;

/** Cores in virtual time. */
export class CoreBench {
    readonly clock = new VirtualClock(1000);
    readonly link: LinkFake;
    readonly platform: PlatformFake;
    readonly nodes: BenchNode[] = [];
    readonly targets = new Map<string, BenchTarget>();
    readonly dispatches: BenchDispatch[] = [];
    /** What happened, for the report of a failing seed. */
    readonly trace: string[] = [];
    /** Problems with the promises that are checked at each event. */
    readonly violations: string[] = [];
    readonly random: Random;
    /** Most loads from the weight store at one time. */
    greatestLoads = 0;
    /** Messages and bytes that each kind of message cost, where counting is on. */
    readonly traffic = new Map<string, { messages: number; bytes: number; }>();
    /** Time that all cores have spent in handling events, in milliseconds. */
    handleMilliseconds = 0;
    /** Gives the bytes of a message, where traffic is counted. */
    countBytes: ((message: unknown) => number) | undefined;
    readonly #pollers = new Map<string, { node: BenchNode; address: string; at: number; }>();
    readonly #nodesById = new Map<string, BenchNode>();
    readonly #queue = new EventQueue();
    readonly #options: CoreBenchOptions;
    #ids = 0;

    constructor(options: CoreBenchOptions) {
        this.#options = options;
        this.random = createRandom(options.seed);
        this.link = new LinkFake({ random: this.random });
        this.platform = new PlatformFake(this.random);
        const zones = options.zones ?? 3;
        for (let index = 0; index < options.nodes; index += 1) {
            this.nodes.push(this.#createNode(`node-${index + 1}`, `zone-${index % zones + 1}`));
        }
        this.nodes.forEach(node => this.#nodesById.set(node.id, node));
        this.publishInstances();
        if (options.inventory !== undefined) {
            this.applyInventory(options.inventory);
            this.#createTargets(options.inventory);
        }
        this.nodes.forEach(node => this.startNode(node));
    }

    get now(): number {
        return this.clock.getMonotonic();
    }

    /** Runs all events up to `milliseconds` from now. */
    runFor(milliseconds: number): void {
        const end = this.now + milliseconds;
        for (let event = this.#queue.takeEvent(end); event !== undefined; event = this.#queue.takeEvent(end)) {
            this.clock.setTime(event.at);
            event.run();
        }
        this.clock.setTime(end);
    }

    /** Adds an event `delay` milliseconds from now. */
    addEvent(delay: number, run: () => void): void {
        this.#queue.addEvent(this.now + delay, run);
    }

    /** Notes what is done to the fleet. */
    recordTrace(text: string): void {
        this.trace.push(`${Math.round(this.now)}: ${text}`);
    }

    /** Lists the nodes as the platform does. */
    publishInstances(): void {
        this.platform.store.instances = this.nodes.map(({ id, zone }) => ({
            id,
            address: id,
            zone,
            role: "entry",
            isLeaving: false,
        }));
    }

    /** Starts a node's process with empty hands. */
    startNode(node: BenchNode): void {
        node.life += 1;
        node.isUp = true;
        node.paused = undefined;
        node.core = this.#createCore(node.id, node.zone);
        node.parts = new PartStore();
        node.table = buildRoutingTable(mergeParts([]));
        node.generation = 0;
        node.isServing = false;
        node.work.clear();
        const { life } = node;
        this.addEvent(this.random() * DEFAULT_TICK, () => {
            this.handle(node, { kind: "gateway-opened", connection: "gateway" });
            this.#runTicks(node, life);
        });
    }

    /** Ends a node's process at once. */
    stopNode(node: BenchNode): void {
        node.isUp = false;
        node.life += 1;
    }

    /** Pauses a node's process: nothing runs, and what arrives waits. */
    pauseNode(node: BenchNode): void {
        node.paused ??= [];
    }

    /** Lets a paused process go on. */
    resumeNode(node: BenchNode): void {
        const events = node.paused ?? [];
        node.paused = undefined;
        events.forEach(event => this.handle(node, event));
    }

    /** Restarts the target at `address`; all connections to it break. */
    restartTarget(address: string): void {
        this.targets.get(address)?.startLife(this.now);
        for (const poller of this.#pollers.values()) {
            if (poller.address === address && this.now - poller.at < POLL_KEPT) {
                this.addEvent(2, () => this.handle(poller.node, { kind: "target-closed", address }));
            }
        }
    }

    /** Gives an event to a node's core and carries out the effects. */
    handle(node: BenchNode, event: AgentEvent): void {
        if (!node.isUp) {
            return;
        }
        if (node.paused !== undefined) {
            if (event.kind !== "tick") {
                node.paused.push(event);
            }
            return;
        }
        const startedAt = performance.now();
        const effects = node.core.handle(event);
        this.handleMilliseconds += performance.now() - startedAt;
        for (const effect of effects) {
            this.#apply(node, effect);
        }
    }

    /** Replaces the configuration in the platform, as an operator would. @returns The generation, or 0 for a conflict. */
    applyInventory(inventory: Inventory): number {
        const { store } = this.platform;
        const current = store.handleCall({ kind: "read", key: MANIFEST_KEY });
        const old = current.kind === "object" ? parseManifest(current.object.value) : undefined;
        const parts: Record<string, string> = {};
        for (const [name, text] of splitInventory(inventory)) {
            const hash = hashContent(text);
            parts[name] = hash;
            store.handleCall({ kind: "create", key: PART_KEY_PREFIX + hash, value: text });
        }
        const manifest: Manifest = {
            generation: (old?.generation ?? 0) + 1,
            author: "bench",
            editId: this.createId(),
            parts,
        };
        const value = JSON.stringify(manifest);
        const request: PlatformRequest = current.kind === "object"
            ? { kind: "replace", key: MANIFEST_KEY, value, version: current.object.version }
            : { kind: "create", key: MANIFEST_KEY, value };
        const reply = store.handleCall(request);
        if (reply.kind !== "done") {
            return 0;
        }
        this.#pushFromOperator(manifest);
        return manifest.generation;
    }

    /** Sends a message from a node's gateway to its agent. */
    sendFromGateway(node: BenchNode, message: GatewayToAgent): void {
        this.handle(node, { kind: "gateway-message", connection: "gateway", message });
    }

    /** Lets a node's gateway ask for a claim, and dispatch where it gets it. */
    requestClaim(node: BenchNode, key: string): string {
        const holder = this.createId();
        node.keysByHolder.set(holder, key);
        this.sendFromGateway(node, { kind: "claim", request: { key, holder, fingerprint: "same" } });
        return holder;
    }

    /** Lets a node's gateway ask for a permit, and work for `duration` milliseconds where it gets it. */
    requestWork(node: BenchNode, work: { target: string; duration: number; }): void {
        if (!node.isUp || !node.isServing || node.table.targets.get(work.target)?.closedBy !== undefined) {
            return;
        }
        const permitId = this.createId();
        node.work.set(permitId, { ...work, askedAt: this.now });
        this.sendFromGateway(node, {
            kind: "acquire",
            request: {
                permitId,
                target: work.target,
                origin: node.id,
                account: "a",
                weight: 1,
                priority: 1,
                promptTokens: 0,
                lengths: [],
                waitMilliseconds: PERMIT_WAIT,
            },
        });
    }

    /** Makes a name that nothing else has. */
    createId(): string {
        this.#ids += 1;
        return `id-${this.#ids}`;
    }

    /** Sends an accepted configuration straight to the instances, as the operators' command does. */
    #pushFromOperator(manifest: Manifest): void {
        const { store } = this.platform;
        const texts = Object.values(manifest.parts).flatMap(hash => {
            const reply = store.handleCall({ kind: "read", key: PART_KEY_PREFIX + hash });
            return reply.kind === "object" ? [reply.object.value] : [];
        });
        for (const node of this.nodes.slice(0, OPERATOR_RECEIVERS)) {
            for (const message of [{ kind: "parts" as const, texts }, { kind: "manifest" as const, manifest }]) {
                for (const delay of this.link.computeArrivals("operator", node.id)) {
                    this.addEvent(delay, () => this.handle(node, { kind: "peer-message", from: "operator", message }));
                }
            }
        }
    }

    #createNode(id: string, zone: string): BenchNode {
        return {
            id,
            zone,
            core: this.#createCore(id, zone),
            isUp: false,
            paused: undefined,
            life: 0,
            parts: new PartStore(),
            table: buildRoutingTable(mergeParts([])),
            generation: 0,
            isServing: false,
            claimResults: new Map(),
            keysByHolder: new Map(),
            work: new Map(),
        };
    }

    #createCore(id: string, zone: string): AgentCore {
        const { settleMilliseconds } = this.#options;
        return new AgentCore({
            self: { id, address: id, zone, incarnation: Math.round(this.now), isLeaving: false },
            clock: this.clock,
            random: this.random,
            createId: () => this.createId(),
            hashContent,
            ...this.#options.orders === undefined ? {} : { orders: this.#options.orders },
            ...settleMilliseconds === undefined ? {} : { settleMilliseconds },
        });
    }

    #createTargets(inventory: Inventory): void {
        for (const target of inventory.targets) {
            this.targets.set(target.address, new BenchTarget(this.#options.target ?? DEFAULT_TARGET, this.now));
        }
    }

    #runTicks(node: BenchNode, life: number): void {
        if (node.life !== life) {
            return;
        }
        this.handle(node, { kind: "tick" });
        this.addEvent(this.#options.tickMilliseconds ?? DEFAULT_TICK, () => this.#runTicks(node, life));
    }

    #apply(node: BenchNode, effect: AgentEffect): void {
        switch (effect.kind) {
            case "send-peer":
                this.#countTraffic(effect.message);
                for (const delay of this.link.computeArrivals(node.id, effect.to)) {
                    const receiver = this.#nodesById.get(effect.to);
                    this.addEvent(delay, () => {
                        if (receiver !== undefined) {
                            this.handle(receiver, { kind: "peer-message", from: node.id, message: effect.message });
                        }
                    });
                }
                return;
            case "send-gateway":
                this.#handleGatewayMessage(node, effect.message);
                return;
            case "call-platform":
                this.#callPlatform(node, { callId: effect.callId, request: effect.request });
                return;
            case "poll-target": {
                const report = this.targets.get(effect.address)?.getReport(this.now);
                this.#pollers.set(`${node.id} ${effect.address}`, { node, address: effect.address, at: this.now });
                this.addEvent(2, () => this.handle(node, { kind: "target-report", callId: effect.callId, report }));
                return;
            }
            case "order-target": {
                const { callId, address, order } = effect;
                const reply = this.targets.get(address)?.handleOrder(order, { from: node.id, now: this.now })
                    ?? "failed";
                this.#checkLoads();
                this.addEvent(2, () => this.handle(node, { kind: "order-reply", callId, reply }));
                return;
            }
            case "log":
                this.recordTrace(`${node.id} ${effect.message} ${JSON.stringify(effect.fields)}`);
                return;
        }
    }

    #callPlatform(node: BenchNode, call: { callId: number; request: PlatformRequest; }): void {
        const { life } = node;
        const plan = this.platform.decideAnswer(node.id, call.request);
        const answer = (reply: ReturnType<NonNullable<typeof plan.compute>>): void => {
            if (node.life === life) {
                this.handle(node, { kind: "platform-reply", callId: call.callId, reply });
            }
        };
        if (plan.compute === undefined) {
            this.addEvent(plan.answerAfter, () => answer({ kind: "unavailable" }));
            return;
        }
        const { compute } = plan;
        this.addEvent(plan.effectAfter, () => {
            const reply = compute();
            const rest = plan.answerAfter - plan.effectAfter;
            if (call.request.kind === "watch" && reply.kind === "unchanged") {
                const { waitMilliseconds } = call.request;
                this.#waitForChange(compute, {
                    until: this.now + waitMilliseconds,
                    version: this.platform.store.version,
                    node,
                    answer,
                });
                return;
            }
            this.addEvent(rest, () => answer(plan.isLost ? { kind: "unavailable" } : reply));
        });
    }

    #waitForChange(
        compute: () => ReturnType<PlatformFake["store"]["handleCall"]>,
        wait: { until: number; version: number; node: BenchNode; answer: (reply: ReturnType<typeof compute>) => void; },
    ): void {
        this.addEvent(WATCH_POLL, () => {
            const isCut = this.platform.isDown || this.platform.unreachable.has(wait.node.id);
            if (isCut) {
                this.addEvent(1000, () => wait.answer({ kind: "unavailable" }));
                return;
            }
            if (this.platform.store.version === wait.version && this.now < wait.until) {
                this.#waitForChange(compute, wait);
                return;
            }
            wait.answer(compute());
        });
    }

    #handleGatewayMessage(node: BenchNode, message: AgentToGateway): void {
        switch (message.kind) {
            case "configuration":
                this.#checkGeneration(node, message.generation);
                message.parts.forEach(part => node.parts.addPart(part));
                node.table = buildRoutingTable(node.parts.buildInventory(message.hashes));
                return;
            case "serving":
                node.isServing = message.isServing;
                return;
            case "granted":
                this.#startWork(node, message);
                return;
            case "refused":
                node.work.delete(message.permitId);
                return;
            case "claim-result":
                this.#handleClaimResult(node, { holder: message.holder, result: message.result.kind });
                return;
            default:
                return;
        }
    }

    #checkGeneration(node: BenchNode, generation: number): void {
        if (generation < node.generation) {
            this.violations.push(`${node.id} went from generation ${node.generation} back to ${generation}`);
        }
        node.generation = generation;
    }

    #startWork(node: BenchNode, grant: { permitId: string; heldMilliseconds: number; }): void {
        const { permitId, heldMilliseconds } = grant;
        const work = node.work.get(permitId);
        const routed = work === undefined ? undefined : node.table.targets.get(work.target);
        const isUsable = work !== undefined
            && routed !== undefined
            && routed.closedBy === undefined
            && node.isServing
            && this.now - work.askedAt - heldMilliseconds <= MAX_GRANT_TRANSIT_MILLISECONDS;
        if (!isUsable) {
            const target = work?.target ?? "";
            node.work.delete(permitId);
            this.sendFromGateway(node, { kind: "release", permitId, target, outcome: "cancelled" });
            return;
        }
        const target = this.targets.get(routed.address);
        if (target?.isBooting(this.now) === true) {
            node.work.delete(permitId);
            this.sendFromGateway(node, { kind: "release", permitId, target: work.target, outcome: "broken" });
            return;
        }
        target?.startWork(permitId, this.now);
        this.#checkCold(work.target, target);
        const { life } = node;
        const finish = (): void => {
            const isWhole = target?.finishWork(permitId) ?? false;
            if (node.life === life && node.work.has(permitId)) {
                node.work.delete(permitId);
                const outcome = isWhole ? "finished" : "broken";
                this.sendFromGateway(node, { kind: "release", permitId, target: work.target, outcome });
            }
        };
        this.addEvent(work.duration, finish);
        target?.addLossListener(permitId, () => this.addEvent(2, finish));
    }

    #checkCold(name: string, target: BenchTarget | undefined): void {
        const bears = (this.#options.target ?? DEFAULT_TARGET).coldConcurrent;
        if (target !== undefined && target.isCold(this.now) && target.held > bears) {
            this.violations.push(`${Math.round(this.now)}: cold ${name} holds ${target.held}, more than ${bears}`);
        }
    }

    #checkLoads(): void {
        const loads = [...this.targets.values()].reduce((sum, target) => sum + target.countLoading(this.now), 0);
        this.greatestLoads = Math.max(this.greatestLoads, loads);
    }

    #handleClaimResult(node: BenchNode, answer: { holder: string; result: string; }): void {
        const key = node.keysByHolder.get(answer.holder) ?? "";
        node.claimResults.set(answer.holder, answer.result);
        if (answer.result !== "claimed") {
            return;
        }
        if (this.dispatches.some(dispatch => dispatch.key === key)) {
            this.violations.push(`${Math.round(this.now)}: "${key}" dispatched twice, again by ${node.id}`);
        }
        this.dispatches.push({ key, holder: answer.holder, at: this.now });
    }

    #countTraffic(message: { kind: string; }): void {
        if (this.countBytes === undefined) {
            return;
        }
        const count = this.traffic.get(message.kind) ?? { messages: 0, bytes: 0 };
        count.messages += 1;
        count.bytes += this.countBytes(message);
        this.traffic.set(message.kind, count);
    }
}

function hashContent(text: string): string {
    return `${hashText(text).toString(16)}-${hashText(text, 1).toString(16)}`;
}
