/**
 * Predicts the total KV cache demand of an engine's sequences, whose output lengths are not known in advance.
 *
 * At each horizon (a number of tokens ahead), the demand is the expected size of the sequences that are still running
 * then, plus a number of standard deviations.
 *
 * @module
 */
import { computeConditionalSurvival, type LengthDistribution } from "../prediction/mod.ts";

/** A running sequence, or one that may be admitted. */
export interface Sequence {
    /** Length of the prompt, in tokens. */
    promptTokens: number;
    /** Number of output tokens produced so far. */
    produced: number;
    /** Predicted distribution of the output length, in tokens. */
    lengths: LengthDistribution;
}

/** Options of {@linkcode computePeakMemory}. */
export interface PeakMemoryOptions {
    /** Number of standard deviations added to the mean demand. Defaults to 1. */
    deviations?: number;
    /** Numbers of tokens ahead for which the demand is computed. Defaults to seven values from 0 to 6144. */
    horizons?: readonly number[];
}

const DEFAULT_DEVIATIONS = 1;
const DEFAULT_HORIZONS_TOKENS: readonly number[] = [0, 32, 128, 384, 1024, 2560, 6144];
/** Share of the capacity that a candidate may add to the demand at a horizon at which the demand exceeds it. */
const NEGLIGIBLE_DEMAND_SHARE = 0.002;

/**
 * Computes the maximum KV cache demand over all horizons, as the mean plus a number of standard deviations.
 *
 * @param sequences Sequences that share the KV cache.
 * @param options Horizons and safety margin.
 * @returns The peak demand, in tokens.
 *
 * @example
 * ```ts
 * computePeakMemory([{ promptTokens: 10, produced: 0, lengths: [1, 1, 1, 1, 1, 1] }]); // about 10
 * ```
 */
export function computePeakMemory(sequences: readonly Sequence[], options: PeakMemoryOptions = {}): number {
    const { deviations = DEFAULT_DEVIATIONS, horizons = DEFAULT_HORIZONS_TOKENS } = options;
    let peak = 0;
    for (const ahead of horizons) {
        peak = Math.max(peak, computeDemandBound(computeDemand(sequences, ahead), deviations));
    }
    return peak;
}

/**
 * Checks whether the KV cache has enough room to admit `candidate` beside the running sequences.
 *
 * If the demand already exceeds the capacity at some horizon, a candidate that will almost certainly have ended by then
 * can still be admitted.
 *
 * @param candidate Sequence to admit.
 * @param context Running sequences, and the capacity of the KV cache in tokens.
 * @param options Horizons and safety margin.
 * @returns True if the candidate fits.
 */
export function hasMemoryFor(
    candidate: Sequence,
    context: { running: readonly Sequence[]; capacity: number; },
    options: PeakMemoryOptions = {},
): boolean {
    const { deviations = DEFAULT_DEVIATIONS, horizons = DEFAULT_HORIZONS_TOKENS } = options;
    const { running, capacity } = context;
    return horizons.every(ahead => {
        const before = computeDemand(running, ahead);
        const added = computeDemand([candidate], ahead);
        const after = { mean: before.mean + added.mean, variance: before.variance + added.variance };
        const bound = computeDemandBound(after, deviations);
        return bound <= capacity
            || bound - computeDemandBound(before, deviations) <= NEGLIGIBLE_DEMAND_SHARE * capacity;
    });
}

/** Mean and variance of the KV cache demand at one horizon, in tokens and tokens squared. */
interface MemoryDemand {
    mean: number;
    variance: number;
}

function computeDemand(sequences: readonly Sequence[], ahead: number): MemoryDemand {
    let mean = 0;
    let variance = 0;
    for (const sequence of sequences) {
        const { produced } = sequence;
        const probability = computeConditionalSurvival(sequence.lengths, { produced, ahead });
        const sequenceTokens = sequence.promptTokens + produced + ahead;
        mean += probability * sequenceTokens;
        variance += probability * (1 - probability) * sequenceTokens * sequenceTokens;
    }
    return { mean, variance };
}

function computeDemandBound(demand: MemoryDemand, deviations: number): number {
    return demand.mean + deviations * Math.sqrt(demand.variance);
}
