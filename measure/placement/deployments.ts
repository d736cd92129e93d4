/**
 * The work of both deployments, as the measurement makes it.
 *
 * @module
 */
import { pickExponential, pickLogNormal, type Random } from "../../support/fixtures/random.ts";
import type { EngineSpec } from "../../support/stand_ins/mod.ts";

/** One kind of generation. */
export interface WorkKind {
    /** Name of the kind. */
    name: string;
    /** Priority; 0 goes first. */
    priority: number;
    /** Time for which a caller waits for a place, in milliseconds. */
    maxWaitMilliseconds: number;
    /** True for the long kind that must arrive. */
    isLong: boolean;
    /** Share of the requests before and after the mix shifts. */
    shares: readonly [number, number];
    /** Median and spread of the output's length, in tokens. */
    output: { median: number; spread: number; };
    /** Median and spread of the prompt's length, in tokens. */
    prompt: { median: number; spread: number; };
}

/** One deployment. */
export interface Deployment {
    /** Name of the deployment. */
    name: string;
    /** Number of engines. */
    engines: number;
    /** Number of workers of the plain service. */
    workers: number;
    /** Number of gateways. */
    gateways: number;
    /** Number of zones. */
    zones: number;
    /** Kinds of generation. */
    kinds: readonly WorkKind[];
    /** Idempotent reads of the plain service in a second. */
    readsPerSecond: number;
}

/** Longest output, in tokens. */
const MAX_OUTPUT_TOKENS = 16_000;
/** Longest prompt, in tokens. */
const MAX_PROMPT_TOKENS = 6000;
const ACCOUNTS = 10;
const PREFIXES_PER_ACCOUNT = 4;

/** What each engine of the measurement can do. */
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

/** Both deployments at today's sizes. */
export const DEPLOYMENTS: readonly Deployment[] = [
    {
        name: "bagmati",
        engines: 13,
        workers: 3,
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
        workers: 3,
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

/** A generation that a caller asks for. */
export interface Work {
    id: string;
    kind: WorkKind;
    account: string;
    promptTokens: number;
    outputTokens: number;
    prefix: string;
    gateway: number;
    arrivedAt: number;
}

/**
 * Computes the requests in a second that fill the engines' memory, for the mean of both mixes.
 *
 * @param deployment Deployment to fill.
 * @returns Requests in a second.
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
 * Draws the work of one run.
 *
 * @param deployment Deployment that is asked.
 * @param options Source of random numbers, requests in a second, and length of the run in milliseconds.
 * @returns Work in the order of arrival; the mix shifts half way.
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
        // The first accounts are the large ones.
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
        throw new Error(`Cannot draw work: deployment "${deployment.name}" has no kinds.`);
    }
    return first;
}
