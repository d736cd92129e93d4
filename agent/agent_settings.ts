/**
 * Settings of the agent.
 *
 * @module
 */
import {
    createAddressSetting,
    createChoiceSetting,
    createNameSetting,
    createNumberSetting,
    type SettingValues,
} from "../settings/mod.ts";

/** Definitions of the agent's settings. */
export const AGENT_SETTINGS = {
    instance: createNameSetting("Name of this instance"),
    zone: createNameSetting("Availability zone of this instance"),
    peerAddress: createAddressSetting("Address that other agents reach this one at"),
    gatewayAddress: createAddressSetting("Address that the gateways of this instance reach this agent at"),
    adminAddress: createAddressSetting("Address of metrics, health and dumps"),
    platform: createAddressSetting("Address of the platform's store"),
    claimShards: createNumberSetting({
        description: "Shards of the claim log; the same on every instance",
        fallback: 8,
        min: 1,
        max: 256,
    }),
    claimHorizonSeconds: createNumberSetting({
        description: "Seconds for which an idempotency key is remembered",
        fallback: 86_400,
        min: 60,
        max: 604_800,
    }),
    gossipMilliseconds: createNumberSetting({
        description: "Milliseconds between rounds of gossip; the same on every instance",
        fallback: 300,
        min: 50,
        max: 5000,
    }),
    pollMilliseconds: createNumberSetting({
        description: "Milliseconds between polls of a target's load",
        fallback: 500,
        min: 50,
        max: 10_000,
    }),
    settleMilliseconds: createNumberSetting({
        description: "Milliseconds for which a new owner of a target grants nothing",
        fallback: 3000,
        min: 500,
        max: 60_000,
    }),
    maxLoads: createNumberSetting({
        description: "Loads from the weight store that may run at one time; the same on every instance",
        fallback: 2,
        min: 1,
        max: 1000,
    }),
    drainSeconds: createNumberSetting({
        description: "Seconds that a stopping agent waits for its gateways to finish",
        fallback: 86_400,
        min: 1,
        max: 604_800,
    }),
    logFormat: createChoiceSetting("Form of the log lines", { choices: ["json", "pretty", "hidden"] }),
};

/** Validated settings of the agent. */
export type AgentSettings = SettingValues<typeof AGENT_SETTINGS>;
