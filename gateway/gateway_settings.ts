/**
 * Settings of the gateway.
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

/** Definitions of the gateway's settings. */
export const GATEWAY_SETTINGS = {
    instance: createNameSetting("Name of this instance; the same as its agent's"),
    zone: createNameSetting("Availability zone of this instance"),
    listenAddress: createAddressSetting("Address that callers reach this gateway at"),
    agentAddress: createAddressSetting("Address of this instance's agent for gateways"),
    adminAddress: createAddressSetting("Address of metrics, health and dumps"),
    maxBodyBytes: createNumberSetting({
        description: "Most bytes of a request's body",
        fallback: 4_194_304,
        min: 1024,
        max: 67_108_864,
    }),
    maxHeaderBytes: createNumberSetting({
        description: "Most bytes of a request's headers",
        fallback: 16_384,
        min: 2048,
        max: 1_048_576,
    }),
    maxQueue: createNumberSetting({
        description: "Most requests that wait for one model or service",
        fallback: 512,
        min: 1,
        max: 100_000,
    }),
    bodyTimeoutMilliseconds: createNumberSetting({
        description: "Milliseconds in which a request's body must be complete",
        fallback: 30_000,
        min: 100,
        max: 600_000,
    }),
    memoryMegabytes: createNumberSetting({
        description: "Megabytes of memory that this process may use, from which the limits on callers follow",
        fallback: 1024,
        min: 64,
        max: 1_048_576,
    }),
    maxDescriptors: createNumberSetting({
        description: "File descriptors that this process may use, from which the limit of callers' connections follows",
        fallback: 10_250,
        min: 256,
        max: 1_048_576,
    }),
    connectMilliseconds: createNumberSetting({
        description: "Milliseconds in which a target must accept a connection",
        fallback: 1000,
        min: 50,
        max: 30_000,
    }),
    silenceMilliseconds: createNumberSetting({
        description: "Milliseconds of silence after which an engine's stream is resumed on a new connection",
        fallback: 2000,
        min: 100,
        max: 60_000,
    }),
    serviceMilliseconds: createNumberSetting({
        description: "Milliseconds that one attempt at a plain service may take",
        fallback: 1500,
        min: 50,
        max: 600_000,
    }),
    graceMilliseconds: createNumberSetting({
        description: "Milliseconds for which a stream waits for a caller that has gone",
        fallback: 4000,
        min: 0,
        max: 60_000,
    }),
    drainDelayMilliseconds: createNumberSetting({
        description: "Milliseconds that a stopping gateway still takes new work, until the balancer has noticed",
        fallback: 3000,
        min: 0,
        max: 120_000,
    }),
    logFormat: createChoiceSetting("Form of the log lines", { choices: ["json", "pretty", "hidden"] }),
};

/** Validated settings of the gateway. */
export type GatewaySettings = SettingValues<typeof GATEWAY_SETTINGS>;
