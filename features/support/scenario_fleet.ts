/**
 * Starts fleets that are quick enough for scenarios.
 *
 * @module
 */
import { BAGMATI } from "../../support/fixtures/inventories.ts";
import { type Fleet, type FleetOptions, startFleet } from "../../support/processes/mod.ts";

/** Flags of agents. */
const AGENT_FLAGS = ["--settle-milliseconds", "1500"];

/** Flags of gateways. */
const GATEWAY_FLAGS = ["--drain-delay-milliseconds", "500", "--silence-milliseconds", "1200"];

/**
 * Starts a fleet for a scenario.
 *
 * @param options What the fleet consists of.
 * @returns The running fleet.
 */
export function startScenarioFleet(options: Omit<FleetOptions, "plan">): Promise<Fleet> {
    return startFleet({ plan: BAGMATI, agentFlags: AGENT_FLAGS, gatewayFlags: GATEWAY_FLAGS, ...options });
}
