/**
 * Starts instances and stand-ins for targets and the platform as child processes, and applies a configuration.
 *
 * @module
 */
import { fileURLToPath } from "node:url";
import { applyInventory, fetchConfiguration } from "../../control/mod.ts";
import type { Inventory } from "../../core/inventory/mod.ts";
import { parseAddress } from "../../network/mod.ts";
import { INSTANCES_KIND, KeyValueStore, StoreClient } from "../../platform/mod.ts";
import { createInventory, type DeploymentPlan } from "../fixtures/inventories.ts";
import type { EngineSpec } from "../stand_ins/mod.ts";
import { type RunningChild, startChild } from "./child_process.ts";
import { findAddresses } from "./find_addresses.ts";
import { callHttp } from "./http_call.ts";
import { waitUntil } from "./wait_until.ts";

/** Options of {@linkcode startFleet}. */
export interface FleetOptions {
    /** Deployment whose inventory is applied. */
    plan: DeploymentPlan;
    /** Number of instances. Defaults to 3. */
    instances?: number;
    /** Number of engines. Defaults to 3. */
    engines?: number;
    /** Number of targets of the plain service. Defaults to 2. */
    services?: number;
    /** Properties of the engines that differ from the stand-in's defaults. Defaults to none. */
    engineSpec?: Partial<EngineSpec>;
    /** Additional command-line flags of every gateway. Defaults to none. */
    gatewayFlags?: string[];
    /** Additional command-line flags of every agent. Defaults to none. */
    agentFlags?: string[];
    /** Returns the inventory to apply in place of the deployment's. Defaults to no change. */
    editInventory?: (inventory: Inventory) => Inventory;
}

/** An instance of the fleet, which consists of an agent and a gateway. */
export interface FleetInstance {
    /** Name of the instance. */
    name: string;
    /** Availability zone. */
    zone: string;
    /** Address that callers connect to. */
    address: string;
    /** Administrative address of the gateway. */
    gatewayAdmin: string;
    /** Administrative address of the agent. */
    agentAdmin: string;
    /** Gateway process. */
    gateway: RunningChild;
    /** Agent process. */
    agent: RunningChild;
}

/** A target of the fleet. */
export interface FleetTarget {
    /** Address of the target. */
    address: string;
    /** Target process. */
    child: RunningChild;
}

/** A running fleet. */
export interface Fleet {
    /** Address of the platform stand-in. */
    platform: string;
    /** Process of the platform stand-in. */
    platformChild: RunningChild;
    /** Instances. */
    instances: FleetInstance[];
    /** Engines, in the inventory's order. */
    engines: FleetTarget[];
    /** Targets of the plain service, in the inventory's order. */
    services: FleetTarget[];
    /** Starts the processes of the instance at `index` again, and waits until it serves requests. */
    restartInstance: (index: number) => Promise<void>;
    /** Kills all processes, and waits until they have exited. */
    close: () => Promise<void>;
}

/** Resolves a path below the build directory. */
function resolveProgram(path: string): string {
    return fileURLToPath(new URL(`../../${path}`, import.meta.url));
}

/**
 * Starts a stand-in as a child process.
 *
 * @param kind Kind of stand-in.
 * @param options Address to listen on, and the properties of an engine.
 * @returns The running child.
 */
export function startStandIn(
    kind: "engine" | "platform" | "service",
    options: { address: string; spec?: Partial<EngineSpec> | undefined; },
): RunningChild {
    const specification = JSON.stringify(options.spec ?? {});
    return startChild(resolveProgram("support/stand_ins/run_stand_in.js"), {
        arguments: [kind, options.address, specification],
    });
}

/**
 * Starts the agent and the gateway of an instance.
 *
 * @param instance Name, zone and five addresses: the agent's peer, gateway and administrative addresses, then the
 *     gateway's caller and administrative addresses.
 * @param options Address of the platform, and additional command-line flags.
 * @returns The instance.
 */
export function startInstance(
    instance: { name: string; zone: string; addresses: string[]; },
    options: { platform: string; gatewayFlags: string[]; agentFlags: string[]; },
): FleetInstance {
    const [peer = "", agentLinkAddress = "", agentAdmin = "", listen = "", gatewayAdmin = ""] = instance.addresses;
    const { name, zone } = instance;
    const common = ["--instance", name, "--zone", zone];
    const agent = startChild(resolveProgram("bin/knapweed_agent.js"), {
        arguments: [
            ...common,
            ...["--peer-address", peer, "--gateway-address", agentLinkAddress, "--admin-address", agentAdmin],
            ...["--platform", options.platform],
            ...options.agentFlags,
        ],
    });
    const gateway = startChild(resolveProgram("bin/knapweed_gateway.js"), {
        arguments: [
            ...common,
            ...["--listen-address", listen, "--agent-address", agentLinkAddress, "--admin-address", gatewayAdmin],
            ...options.gatewayFlags,
        ],
    });
    return { name, zone, address: listen, gatewayAdmin, agentAdmin, gateway, agent };
}

/**
 * Starts a fleet, applies its initial configuration, and waits until every instance serves requests.
 *
 * @param options Composition of the fleet.
 * @returns The running fleet.
 */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
    const { plan, instances: instanceCount = 3, engines = 3, services = 2 } = options;
    const addresses = await findAddresses(1 + engines + services + 5 * instanceCount);
    const [platform = ""] = addresses.splice(0, 1);
    const engineAddresses = addresses.splice(0, engines);
    const serviceAddresses = addresses.splice(0, services);
    const platformChild = startStandIn("platform", { address: platform });
    const engineTargets = engineAddresses.map(address => ({
        address,
        child: startStandIn("engine", { address, spec: options.engineSpec }),
    }));
    const serviceTargets = serviceAddresses.map(address => ({ address, child: startStandIn("service", { address }) }));
    const instanceSpecs = Array.from({ length: instanceCount }, (_unused, index) => ({
        name: `entry-${index + 1}`,
        zone: plan.zones[index % plan.zones.length] ?? "",
        addresses: addresses.splice(0, 5),
    }));
    await waitUntil(() => isResponding(platform), { label: "the platform" });
    await publishInstances(platform, instanceSpecs);
    const editInventory = options.editInventory ?? (inventory => inventory);
    await applyInitialInventory(
        platform,
        editInventory(createInventory(plan, { engines: engineAddresses, services: serviceAddresses })),
    );
    const flags = { gatewayFlags: options.gatewayFlags ?? [], agentFlags: options.agentFlags ?? [] };
    const instances = instanceSpecs.map(instanceSpec => startInstance(instanceSpec, { platform, ...flags }));
    const fleet: Fleet = {
        platform,
        platformChild,
        instances,
        engines: engineTargets,
        services: serviceTargets,
        restartInstance: async index => {
            const instanceSpec = instanceSpecs[index];
            if (instanceSpec !== undefined) {
                const instance = startInstance(instanceSpec, { platform, ...flags });
                instances[index] = instance;
                await waitUntilServing(instance);
            }
        },
        close: () => closeFleet(fleet),
    };
    await Promise.all(instances.map(instance => waitUntilServing(instance)));
    return fleet;
}

async function isResponding(address: string): Promise<boolean> {
    return (await callHttp({ address, path: "/state" })).status === 200;
}

/**
 * Waits until an instance's gateway reports that it is ready.
 *
 * @param instance Instance to wait for.
 */
export async function waitUntilServing(instance: FleetInstance): Promise<void> {
    await waitUntil(async () => (await callHttp({ address: instance.gatewayAdmin, path: "/ready" })).status === 200, {
        label: `instance ${instance.name}`,
    });
}

/** Writes the entries of the instances to the store. */
async function publishInstances(
    platform: string,
    instanceSpecs: { name: string; zone: string; addresses: string[]; }[],
): Promise<void> {
    const store = new StoreClient({ address: parseAddress(platform) });
    for (const { name, zone, addresses: [address = ""] } of instanceSpecs) {
        const spec = { address, zone, role: "entry", isLeaving: false };
        const reply = await store.putObject(INSTANCES_KIND, { name, spec });
        if (reply.kind !== "ok") {
            throw new Error(`Cannot register the instance ${name}: the store replied "${reply.kind}".`);
        }
    }
    store.close();
}

async function applyInitialInventory(platform: string, inventory: Inventory): Promise<void> {
    const client = new KeyValueStore({ address: parseAddress(platform) });
    const base = await fetchConfiguration(client);
    const result = await applyInventory(client, { inventory, author: "fixture", base });
    if (result.kind !== "accepted") {
        throw new Error(`Cannot apply the initial configuration: ${result.kind}.`);
    }
}

async function closeFleet(fleet: Fleet): Promise<void> {
    const children = [
        fleet.platformChild,
        ...fleet.engines.map(target => target.child),
        ...fleet.services.map(target => target.child),
        ...fleet.instances.flatMap(instance => [instance.agent, instance.gateway]),
    ];
    children.forEach(child => child.sendSignal("SIGKILL"));
    await Promise.all(children.map(child => child.waitForExit()));
}

/**
 * Turns faults of a stand-in on or off.
 *
 * @param address Address of the stand-in.
 * @param faults New values of the faults to change, by name.
 */
export async function setFaults(address: string, faults: Record<string, number | boolean>): Promise<void> {
    await callHttp({ address, method: "PUT", path: "/faults", body: JSON.stringify(faults) });
}
