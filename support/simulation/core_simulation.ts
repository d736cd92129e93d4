/**
 * Simulates a small fleet in virtual time: real agent cores, each with a simplified gateway, on a simulated network,
 * platform and set of targets.
 *
 * A seed determines the whole run, so that a failing run can be repeated. The simulation checks at each event that the
 * generation of a configuration never decreases on an instance, that no claimed request is dispatched twice, and that
 * no cold target runs more requests than it can handle.
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
import { EventQueue } from "./event_queue.ts";
import { SimulatedNetwork } from "./simulated_network.ts";
import { SimulatedPlatform } from "./simulated_platform.ts";
import { SimulatedTarget, type SimulatedTargetOptions } from "./simulated_target.ts";

/** Options of a {@linkcode CoreSimulation}. */
export interface CoreSimulationOptions {
    /** Number of simulated instances (nodes). */
    nodes: number;
    /** Seed of all random numbers. */
    seed: number;
    /** Inventory at the start; each of its targets is simulated. Defaults to none: no configuration and no targets. */
    inventory?: Inventory;
    /** Options of each target. Defaults to warm targets whose load reports are one second old. */
    target?: SimulatedTargetOptions;
    /** Durations of the leases on orders. Defaults to those of the agent core. */
    orders?: NonNullable<AgentOptions["orders"]>;
    /** Number of zones over which the instances are distributed. Defaults to 3. */
    zones?: number;
    /** Time between ticks of a core, in milliseconds. Defaults to 50. */
    tickMilliseconds?: number;
    /** Time for which a new owner of a target grants no permits, in milliseconds. Defaults to the agent core's. */
    settleMilliseconds?: number;
}

/** A request that a gateway dispatched because it had obtained the claim on the request's idempotency key. */
export interface ClaimedDispatch {
    /** Idempotency key. */
    key: string;
    /** Identifier of the claim's holder. */
    holder: string;
    /** Time of the dispatch, in milliseconds of virtual time. */
    at: number;
}

/** A simulated instance: its agent core and the state of its gateway. */
export interface SimulatedNode {
    id: string;
    core: AgentCore;
    zone: string;
    /** True while the process runs; it may be paused. */
    isUp: boolean;
    /** Events that arrived while the process is paused; `undefined` if it is not paused. */
    deferredEvents: AgentEvent[] | undefined;
    /** Number that increases with every start and stop of the process. */
    incarnation: number;
    /** Parts of the configuration that the gateway has received. */
    parts: PartStore;
    /** Routing table of the gateway. */
    routingTable: RoutingTable;
    /** Generation of the configuration that the gateway uses. */
    generation: number;
    /** True if the agent has told the gateway to serve. */
    isServing: boolean;
    /** Results of claims, by holder. */
    claimResults: Map<string, string>;
    /** Claimed idempotency keys, by holder. */
    keysByHolder: Map<string, string>;
    /** Requests that wait for a permit or run under one, by permit, with their durations in milliseconds. */
    requestsByPermit: Map<string, { target: string; duration: number; requestedAt: number; }>;
}

const DEFAULT_TARGET: SimulatedTargetOptions = { coldConcurrent: 2, coldMilliseconds: 0, lagMilliseconds: 1000 };
const DEFAULT_TICK_MILLISECONDS = 50;
/** Longest time for which an owner may queue a permit request. */
const PERMIT_WAIT_MILLISECONDS = 500;
/** Interval at which a pending watch checks the store for changes. */
const WATCH_POLL_MILLISECONDS = 20;
/** Number of instances to which `knapweedctl` sends an accepted configuration. */
const OPERATOR_RECEIVERS = 12;
/** Time for which the connection of a load poll stays open, in milliseconds. */
const POLL_CONNECTION_MILLISECONDS = 2000;

/** A simulated fleet in virtual time. */
export class CoreSimulation {
    /** Virtual clock of all agent cores. */
    readonly clock = new VirtualClock(1000);
    readonly network: SimulatedNetwork;
    readonly platform: SimulatedPlatform;
    readonly nodes: SimulatedNode[] = [];
    /** Simulated targets by address. */
    readonly targets = new Map<string, SimulatedTarget>();
    /** Claimed requests that were dispatched, in the order of dispatch. */
    readonly dispatches: ClaimedDispatch[] = [];
    /** Log of the run, which is printed if a check fails. */
    readonly trace: string[] = [];
    /** Violations of the invariants that are checked at each event. */
    readonly violations: string[] = [];
    readonly random: Random;
    /** Highest number of models that the targets loaded from the weight store at the same time. */
    peakModelLoads = 0;
    /** Numbers of messages and bytes between agents by kind of message, if {@linkcode countBytes} is set. */
    readonly traffic = new Map<string, { messages: number; bytes: number; }>();
    /** Real time that all agent cores have spent on events, in milliseconds. */
    coreMilliseconds = 0;
    /** Computes the encoded size of a message, in bytes; `undefined` turns the counting of traffic off. */
    countBytes: ((message: unknown) => number) | undefined;
    /** Last load poll of each target by each node. */
    readonly #lastPolls = new Map<string, { node: SimulatedNode; address: string; at: number; }>();
    readonly #nodesById = new Map<string, SimulatedNode>();
    readonly #queue = new EventQueue();
    readonly #options: CoreSimulationOptions;
    #lastId = 0;

    constructor(options: CoreSimulationOptions) {
        this.#options = options;
        this.random = createRandom(options.seed);
        this.network = new SimulatedNetwork({ random: this.random });
        this.platform = new SimulatedPlatform(this.random);
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

    /** Current virtual time, in milliseconds. */
    get now(): number {
        return this.clock.getMonotonic();
    }

    /** Advances the virtual time by `milliseconds` and runs all events in that time. */
    runFor(milliseconds: number): void {
        const end = this.now + milliseconds;
        for (let event = this.#queue.takeEvent(end); event !== undefined; event = this.#queue.takeEvent(end)) {
            this.clock.setTime(event.at);
            event.run();
        }
        this.clock.setTime(end);
    }

    /** Schedules an event `delay` milliseconds from now. */
    addEvent(delay: number, run: () => void): void {
        this.#queue.addEvent(this.now + delay, run);
    }

    /** Adds a line to the log of the run. */
    recordTrace(text: string): void {
        this.trace.push(`${Math.round(this.now)}: ${text}`);
    }

    /** Publishes the nodes in the platform's list of instances. */
    publishInstances(): void {
        this.platform.store.instances = this.nodes.map(({ id, zone }) => ({
            id,
            address: id,
            zone,
            role: "entry",
            isLeaving: false,
        }));
    }

    /** Starts a node's process without any state from an earlier process. */
    startNode(node: SimulatedNode): void {
        node.incarnation += 1;
        node.isUp = true;
        node.deferredEvents = undefined;
        node.core = this.#createCore(node.id, node.zone);
        node.parts = new PartStore();
        node.routingTable = buildRoutingTable(mergeParts([]));
        node.generation = 0;
        node.isServing = false;
        node.requestsByPermit.clear();
        const { incarnation } = node;
        this.addEvent(this.random() * DEFAULT_TICK_MILLISECONDS, () => {
            this.handleEvent(node, { kind: "gateway-opened", connection: "gateway" });
            this.#runTicks(node, incarnation);
        });
    }

    /** Kills a node's process. */
    stopNode(node: SimulatedNode): void {
        node.isUp = false;
        node.incarnation += 1;
    }

    /** Pauses a node's process: events are deferred until it resumes, and ticks are dropped. */
    pauseNode(node: SimulatedNode): void {
        node.deferredEvents ??= [];
    }

    /** Resumes a paused process and handles the deferred events. */
    resumeNode(node: SimulatedNode): void {
        const events = node.deferredEvents ?? [];
        node.deferredEvents = undefined;
        events.forEach(event => this.handleEvent(node, event));
    }

    /** Restarts the target at `address` and closes all connections to it. */
    restartTarget(address: string): void {
        this.targets.get(address)?.restart(this.now);
        for (const poll of this.#lastPolls.values()) {
            if (poll.address === address && this.now - poll.at < POLL_CONNECTION_MILLISECONDS) {
                this.addEvent(2, () => this.handleEvent(poll.node, { kind: "target-closed", address }));
            }
        }
    }

    /** Passes an event to a node's agent core and applies the effects that it returns. */
    handleEvent(node: SimulatedNode, event: AgentEvent): void {
        if (!node.isUp) {
            return;
        }
        if (node.deferredEvents !== undefined) {
            if (event.kind !== "tick") {
                node.deferredEvents.push(event);
            }
            return;
        }
        const startedAt = performance.now();
        const effects = node.core.handle(event);
        this.coreMilliseconds += performance.now() - startedAt;
        for (const effect of effects) {
            this.#applyEffect(node, effect);
        }
    }

    /** Publishes a configuration, as `knapweedctl` does. @returns Its generation; 0 for a conflict. */
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
        this.#pushConfiguration(manifest);
        return manifest.generation;
    }

    /** Sends a message from a node's gateway to its agent. */
    sendFromGateway(node: SimulatedNode, message: GatewayToAgent): void {
        this.handleEvent(node, { kind: "gateway-message", connection: "gateway", message });
    }

    /** Requests a claim through a node's gateway, which dispatches if it obtains it. @returns The claim's holder. */
    requestClaim(node: SimulatedNode, key: string): string {
        const holder = this.createId();
        node.keysByHolder.set(holder, key);
        this.sendFromGateway(node, { kind: "claim", request: { key, holder, fingerprint: "same" } });
        return holder;
    }

    /** Requests a permit through a node's gateway, and runs a request of `duration` milliseconds if it is granted. */
    requestPermit(node: SimulatedNode, work: { target: string; duration: number; }): void {
        if (!node.isUp || !node.isServing || node.routingTable.targets.get(work.target)?.closedBy !== undefined) {
            return;
        }
        const permitId = this.createId();
        node.requestsByPermit.set(permitId, { ...work, requestedAt: this.now });
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
                waitMilliseconds: PERMIT_WAIT_MILLISECONDS,
            },
        });
    }

    /** Creates a unique identifier. */
    createId(): string {
        this.#lastId += 1;
        return `id-${this.#lastId}`;
    }

    /** Sends an accepted configuration directly to instances, as `knapweedctl` does. */
    #pushConfiguration(manifest: Manifest): void {
        const { store } = this.platform;
        const texts = Object.values(manifest.parts).flatMap(hash => {
            const reply = store.handleCall({ kind: "read", key: PART_KEY_PREFIX + hash });
            return reply.kind === "object" ? [reply.object.value] : [];
        });
        for (const node of this.nodes.slice(0, OPERATOR_RECEIVERS)) {
            for (const message of [{ kind: "parts" as const, texts }, { kind: "manifest" as const, manifest }]) {
                for (const delay of this.network.computeDeliveryDelays("operator", node.id)) {
                    this.addEvent(
                        delay,
                        () => this.handleEvent(node, { kind: "peer-message", from: "operator", message }),
                    );
                }
            }
        }
    }

    #createNode(id: string, zone: string): SimulatedNode {
        return {
            id,
            zone,
            core: this.#createCore(id, zone),
            isUp: false,
            deferredEvents: undefined,
            incarnation: 0,
            parts: new PartStore(),
            routingTable: buildRoutingTable(mergeParts([])),
            generation: 0,
            isServing: false,
            claimResults: new Map(),
            keysByHolder: new Map(),
            requestsByPermit: new Map(),
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
            this.targets.set(target.address, new SimulatedTarget(this.#options.target ?? DEFAULT_TARGET, this.now));
        }
    }

    #runTicks(node: SimulatedNode, incarnation: number): void {
        if (node.incarnation !== incarnation) {
            return;
        }
        this.handleEvent(node, { kind: "tick" });
        this.addEvent(
            this.#options.tickMilliseconds ?? DEFAULT_TICK_MILLISECONDS,
            () => this.#runTicks(node, incarnation),
        );
    }

    #applyEffect(node: SimulatedNode, effect: AgentEffect): void {
        switch (effect.kind) {
            case "send-peer":
                this.#countTraffic(effect.message);
                for (const delay of this.network.computeDeliveryDelays(node.id, effect.to)) {
                    const receiver = this.#nodesById.get(effect.to);
                    this.addEvent(delay, () => {
                        if (receiver !== undefined) {
                            this.handleEvent(receiver, {
                                kind: "peer-message",
                                from: node.id,
                                message: effect.message,
                            });
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
                this.#lastPolls.set(`${node.id} ${effect.address}`, { node, address: effect.address, at: this.now });
                this.addEvent(
                    2,
                    () => this.handleEvent(node, { kind: "target-report", callId: effect.callId, report }),
                );
                return;
            }
            case "order-target": {
                const { callId, address, order } = effect;
                const reply = this.targets.get(address)?.handleOrder(order, { from: node.id, now: this.now })
                    ?? "failed";
                this.#recordPeakModelLoads();
                this.addEvent(2, () => this.handleEvent(node, { kind: "order-reply", callId, reply }));
                return;
            }
            case "log":
                this.recordTrace(`${node.id} ${effect.message} ${JSON.stringify(effect.fields)}`);
                return;
        }
    }

    #callPlatform(node: SimulatedNode, call: { callId: number; request: PlatformRequest; }): void {
        const { incarnation } = node;
        const plan = this.platform.planReply(node.id, call.request);
        const sendReply = (reply: ReturnType<NonNullable<typeof plan.execute>>): void => {
            if (node.incarnation === incarnation) {
                this.handleEvent(node, { kind: "platform-reply", callId: call.callId, reply });
            }
        };
        if (plan.execute === undefined) {
            this.addEvent(plan.replyAfterMilliseconds, () => sendReply({ kind: "unavailable" }));
            return;
        }
        const { execute } = plan;
        this.addEvent(plan.effectAfterMilliseconds, () => {
            const reply = execute();
            const remaining = plan.replyAfterMilliseconds - plan.effectAfterMilliseconds;
            if (call.request.kind === "watch" && reply.kind === "unchanged") {
                const { waitMilliseconds } = call.request;
                this.#waitForChange(execute, {
                    until: this.now + waitMilliseconds,
                    version: this.platform.store.version,
                    node,
                    sendReply,
                });
                return;
            }
            this.addEvent(remaining, () => sendReply(plan.isReplyLost ? { kind: "unavailable" } : reply));
        });
    }

    /** Replies to a watch once the store has changed, its waiting time is over or the node is disconnected. */
    #waitForChange(
        execute: () => ReturnType<SimulatedPlatform["store"]["handleCall"]>,
        wait: {
            until: number;
            version: number;
            node: SimulatedNode;
            sendReply: (reply: ReturnType<typeof execute>) => void;
        },
    ): void {
        this.addEvent(WATCH_POLL_MILLISECONDS, () => {
            const isDisconnected = this.platform.isDown || this.platform.disconnectedNodes.has(wait.node.id);
            if (isDisconnected) {
                this.addEvent(1000, () => wait.sendReply({ kind: "unavailable" }));
                return;
            }
            if (this.platform.store.version === wait.version && this.now < wait.until) {
                this.#waitForChange(execute, wait);
                return;
            }
            wait.sendReply(execute());
        });
    }

    #handleGatewayMessage(node: SimulatedNode, message: AgentToGateway): void {
        switch (message.kind) {
            case "configuration":
                this.#checkGeneration(node, message.generation);
                message.parts.forEach(part => node.parts.addPart(part));
                node.routingTable = buildRoutingTable(node.parts.buildInventory(message.hashes));
                return;
            case "serving":
                node.isServing = message.isServing;
                return;
            case "granted":
                this.#startRequest(node, message);
                return;
            case "refused":
                node.requestsByPermit.delete(message.permitId);
                return;
            case "claim-result":
                this.#handleClaimResult(node, { holder: message.holder, result: message.result.kind });
                return;
            default:
                return;
        }
    }

    #checkGeneration(node: SimulatedNode, generation: number): void {
        if (generation < node.generation) {
            this.violations.push(`${node.id} went from generation ${node.generation} back to ${generation}`);
        }
        node.generation = generation;
    }

    #startRequest(node: SimulatedNode, grant: { permitId: string; heldMilliseconds: number; }): void {
        const { permitId, heldMilliseconds } = grant;
        const request = node.requestsByPermit.get(permitId);
        const routedTarget = request === undefined ? undefined : node.routingTable.targets.get(request.target);
        const isUsable = request !== undefined
            && routedTarget !== undefined
            && routedTarget.closedBy === undefined
            && node.isServing
            && this.now - request.requestedAt - heldMilliseconds <= MAX_GRANT_TRANSIT_MILLISECONDS;
        if (!isUsable) {
            const target = request?.target ?? "";
            node.requestsByPermit.delete(permitId);
            this.sendFromGateway(node, { kind: "release", permitId, target, outcome: "cancelled" });
            return;
        }
        const target = this.targets.get(routedTarget.address);
        if (target?.isBooting(this.now) === true) {
            node.requestsByPermit.delete(permitId);
            this.sendFromGateway(node, { kind: "release", permitId, target: request.target, outcome: "broken" });
            return;
        }
        target?.startRequest(permitId, this.now);
        this.#checkColdLimit(request.target, target);
        const { incarnation } = node;
        const finish = (): void => {
            const isCompleted = target?.finishRequest(permitId) ?? false;
            if (node.incarnation === incarnation && node.requestsByPermit.has(permitId)) {
                node.requestsByPermit.delete(permitId);
                const outcome = isCompleted ? "finished" : "broken";
                this.sendFromGateway(node, { kind: "release", permitId, target: request.target, outcome });
            }
        };
        this.addEvent(request.duration, finish);
        target?.addLossListener(permitId, () => this.addEvent(2, finish));
    }

    #checkColdLimit(name: string, target: SimulatedTarget | undefined): void {
        const limit = (this.#options.target ?? DEFAULT_TARGET).coldConcurrent;
        if (target !== undefined && target.isCold(this.now) && target.activeRequests > limit) {
            this.violations.push(
                `${Math.round(this.now)}: cold ${name} runs ${target.activeRequests} requests, more than ${limit}`,
            );
        }
    }

    #recordPeakModelLoads(): void {
        const loads = [...this.targets.values()].reduce((sum, target) => sum + target.countLoadingModels(this.now), 0);
        this.peakModelLoads = Math.max(this.peakModelLoads, loads);
    }

    #handleClaimResult(node: SimulatedNode, claim: { holder: string; result: string; }): void {
        const key = node.keysByHolder.get(claim.holder) ?? "";
        node.claimResults.set(claim.holder, claim.result);
        if (claim.result !== "claimed") {
            return;
        }
        if (this.dispatches.some(dispatch => dispatch.key === key)) {
            this.violations.push(`${Math.round(this.now)}: "${key}" dispatched twice, again by ${node.id}`);
        }
        this.dispatches.push({ key, holder: claim.holder, at: this.now });
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
