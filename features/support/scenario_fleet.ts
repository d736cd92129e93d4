/**
 * Starts fleets of processes with short time-outs, to keep the scenarios short.
 *
 * @module
 */
import { BAGMATI } from "../../support/fixtures/inventories.ts";
import { type Fleet, type FleetOptions, startFleet } from "../../support/processes/mod.ts";

/** Flags of agents: a short settling period, in which a new owner of a target grants nothing. */
const AGENT_FLAGS = ["--settle-milliseconds", "1500"];

/** Flags of gateways: a short drain delay, and a short time without data after which a stream counts as broken. */
const GATEWAY_FLAGS = ["--drain-delay-milliseconds", "500", "--silence-milliseconds", "1200"];

/**
 * Starts a fleet for a scenario.
 *
 * @param options Numbers and properties of the fleet's processes.
 * @returns The running fleet.
 */
export function startScenarioFleet(options: Omit<FleetOptions, "plan">): Promise<Fleet> {
    return startFleet({ plan: BAGMATI, agentFlags: AGENT_FLAGS, gatewayFlags: GATEWAY_FLAGS, ...options });
}
