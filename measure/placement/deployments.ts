/**
 * The two deployments of the measurement, and the requests that they receive.
 *
 * @module
 */
import { pickExponential, pickLogNormal, type Random } from "../../support/fixtures/random.ts";
import type { EngineSpec } from "../../support/stand_ins/mod.ts";

/** A kind of request. */
export interface WorkKind {
    /** Name of the kind. */
    name: string;
    /** Priority; 0 is the highest. */
    priority: number;
    /** Longest time for which a caller waits until the request starts on a target, in milliseconds. */
    maxWaitMilliseconds: number;
    /** True for long generations, whose refusals are counted separately because they should always be delivered. */
    isLong: boolean;
    /** Share of the requests in the first and in the second half of a run. */
    shares: readonly [number, number];
    /** Log-normal distribution of the output length: median in tokens, and spread of the logarithm. */
    output: { median: number; spread: number; };
    /** Log-normal distribution of the prompt length: median in tokens, and spread of the logarithm. */
    prompt: { median: number; spread: number; };
}

/** The size and the load of a deployment. */
export interface Deployment {
    /** Name of the deployment. */
    name: string;
    /** Number of engines. */
    engines: number;
    /** Number of targets of the plain service. */
    serviceTargets: number;
    /** Number of gateways. */
    gateways: number;
    /** Number of zones. */
    zones: number;
    /** Kinds of generation. */
    kinds: readonly WorkKind[];
    /** Rate of idempotent reads of the plain service, in reads per second. */
    readsPerSecond: number;
}

/** Longest output, in tokens. */
const MAX_OUTPUT_TOKENS = 16_000;
/** Longest prompt, in tokens. */
const MAX_PROMPT_TOKENS = 6000;
const ACCOUNTS = 10;
const PREFIXES_PER_ACCOUNT = 4;

/** Specification of each engine of the measurement. */
export const ENGINE_SPEC: EngineSpec = {
    memoryTokens: 40_000,
    maxBatch: 64,
    coldConcurrent: 3,
    coldMilliseconds: 10_000,
    baseStepMilliseconds: 16,
    sequenceStepMilliseconds: 0.4,
    prefillChunk: 512,
    prefillMilliseconds: 0.03,
    cachedPrefixes: 64,
};

/** The two deployments, with their numbers of engines, service targets, gateways and zones. */
export const DEPLOYMENTS: readonly Deployment[] = [
    {
        name: "bagmati",
        engines: 13,
        serviceTargets: 3,
        gateways: 7,
        zones: 3,
        readsPerSecond: 20,
        kinds: [
            {
                name: "narrative",
                priority: 2,
                maxWaitMilliseconds: 600_000,
                isLong: true,
                shares: [0.35, 0.55],
                output: { median: 900, spread: 0.9 },
                prompt: { median: 700, spread: 0.5 },
            },
            {
                name: "verdict",
                priority: 1,
                maxWaitMilliseconds: 30_000,
                isLong: false,
                shares: [0.65, 0.45],
                output: { median: 60, spread: 0.7 },
                prompt: { median: 300, spread: 0.4 },
            },
        ],
    },
    {
        name: "signalis",
        engines: 13,
        serviceTargets: 3,
        gateways: 7,
        zones: 3,
        readsPerSecond: 60,
        kinds: [
            {
                name: "study",
                priority: 2,
                maxWaitMilliseconds: 600_000,
                isLong: true,
                shares: [0.25, 0.4],
                output: { median: 1500, spread: 0.8 },
                prompt: { median: 500, spread: 0.5 },
            },
            {
                name: "phase-check",
                priority: 1,
                maxWaitMilliseconds: 30_000,
                isLong: false,
                shares: [0.75, 0.6],
                output: { median: 80, spread: 0.6 },
                prompt: { median: 200, spread: 0.4 },
            },
        ],
    },
];

/** A request of a caller: a generation, or a read of the plain service. */
export interface Work {
    id: string;
    kind: WorkKind;
    account: string;
    promptTokens: number;
    outputTokens: number;
    /** Identifier of the prompt prefix, which requests of one kind and account can share. */
    prefix: string;
    /** Index of the gateway that receives the request. */
    gateway: number;
    /** Time of arrival, in milliseconds. */
    arrivedAt: number;
}

/**
 * Computes the request rate that fills the KV caches of all engines, for the mean of the two mixes of kinds.
 *
 * A request occupies KV cache for its whole prompt during every step, and for half of its output on average.
 *
 * @param deployment Deployment to saturate.
 * @returns Requests per second.
 */
export function computeSaturationRate(deployment: Deployment): number {
    const stepSeconds = (ENGINE_SPEC.baseStepMilliseconds + ENGINE_SPEC.sequenceStepMilliseconds * 30) / 1000;
    let meanTokenSeconds = 0;
    for (const kind of deployment.kinds) {
        const share = (kind.shares[0] + kind.shares[1]) / 2;
        const meanOutput = kind.output.median * Math.exp(kind.output.spread ** 2 / 2);
        const meanSquaredOutput = kind.output.median ** 2 * Math.exp(2 * kind.output.spread ** 2);
        const prompt = kind.prompt.median * Math.exp(kind.prompt.spread ** 2 / 2);
        meanTokenSeconds += share * stepSeconds * (prompt * meanOutput + meanSquaredOutput / 2);
    }
    return deployment.engines * ENGINE_SPEC.memoryTokens / meanTokenSeconds;
}

/**
 * Creates the requests of one run.
 *
 * @param deployment Deployment that receives the requests.
 * @param options Source of random numbers, requests per second, and length of the run in milliseconds.
 * @returns Requests in the order of arrival; the mix of kinds changes after half of the run.
 */
export function createWork(
    deployment: Deployment,
    options: { random: Random; ratePerSecond: number; milliseconds: number; },
): Work[] {
    const { random, ratePerSecond, milliseconds } = options;
    const work: Work[] = [];
    let now = 0;
    for (let number = 0;; number += 1) {
        now += pickExponential(random, 1000 / ratePerSecond);
        if (now >= milliseconds) {
            return work;
        }
        const kind = pickKind(deployment, { random, phase: now < milliseconds / 2 ? 0 : 1 });
        // Accounts with lower numbers send more requests.
        const account = Math.floor(ACCOUNTS * random() ** 2);
        const output = Math.min(MAX_OUTPUT_TOKENS, Math.round(pickLogNormal(random, kind.output)));
        const prompt = Math.min(MAX_PROMPT_TOKENS, Math.round(pickLogNormal(random, kind.prompt)));
        work.push({
            id: `work-${number}`,
            kind,
            account: `account-${account}`,
            promptTokens: Math.max(16, prompt),
            outputTokens: Math.max(2, output),
            prefix: `${kind.name}-${account}-${Math.floor(random() * PREFIXES_PER_ACCOUNT)}`,
            gateway: Math.floor(random() * deployment.gateways),
            arrivedAt: now,
        });
    }
}

function pickKind(deployment: Deployment, options: { random: Random; phase: 0 | 1; }): WorkKind {
    let remainingShare = options.random();
    for (const kind of deployment.kinds) {
        remainingShare -= kind.shares[options.phase];
        if (remainingShare < 0) {
            return kind;
        }
    }
    const [first] = deployment.kinds;
    if (first === undefined) {
        throw new Error(`Cannot create requests: deployment "${deployment.name}" has no kinds.`);
    }
    return first;
}
