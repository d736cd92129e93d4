/**
 * Predicts the memory that sequences of unknown length will need together.
 *
 * @module
 */
import { computeConditionalSurvival, type LengthDistribution } from "../prediction/mod.ts";

/** One sequence that holds, or will hold, memory. */
export interface Sequence {
    /** Length of the prompt, in tokens. */
    promptTokens: number;
    /** Tokens produced so far. */
    produced: number;
    /** Expected output lengths, in tokens. */
    lengths: LengthDistribution;
}

/** Options of {@linkcode computePeakMemory}. */
export interface PeakMemoryOptions {
    /** Standard deviations added to the expected need. Defaults to 1. */
    deviations?: number;
    /** Tokens ahead at which the need is computed. Defaults to powers of four up to 4096. */
    horizons?: readonly number[];
}

const DEFAULT_DEVIATIONS = 1;
const DEFAULT_HORIZONS: readonly number[] = [0, 32, 128, 384, 1024, 2560, 6144];
/** Share of the capacity that a candidate may add where the need is above the capacity already. */
const NEGLIGIBLE_SHARE = 0.002;

/**
 * Computes the largest memory need over the horizons, as a mean plus some standard deviations.
 *
 * @param sequences Sequences that share the memory.
 * @param options How far ahead and how cautiously to look.
 * @returns The need, in tokens.
 *
 * @example
 * ```ts
 * computePeakMemory([{ promptTokens: 10, produced: 0, lengths: [1, 1, 1, 1, 1, 1] }]); // about 10
 * ```
 */
export function computePeakMemory(sequences: readonly Sequence[], options: PeakMemoryOptions = {}): number {
    const { deviations = DEFAULT_DEVIATIONS, horizons = DEFAULT_HORIZONS } = options;
    let peak = 0;
    for (const ahead of horizons) {
        peak = Math.max(peak, computeNeed(computeSum(sequences, ahead), deviations));
    }
    return peak;
}

/**
 * Tells whether `candidate` fits beside `running`.
 *
 * Where the need is above the capacity at some horizon already, a candidate that will have ended by then still fits.
 *
 * @param candidate Sequence that would be added.
 * @param context Sequences that hold memory, and the capacity in tokens.
 * @param options How far ahead and how cautiously to look.
 * @returns True where the candidate fits.
 */
export function isFittingMemory(
    candidate: Sequence,
    context: { running: readonly Sequence[]; capacity: number; },
    options: PeakMemoryOptions = {},
): boolean {
    const { deviations = DEFAULT_DEVIATIONS, horizons = DEFAULT_HORIZONS } = options;
    const { running, capacity } = context;
    return horizons.every(ahead => {
        const before = computeSum(running, ahead);
        const added = computeSum([candidate], ahead);
        const after = { mean: before.mean + added.mean, variance: before.variance + added.variance };
        const need = computeNeed(after, deviations);
        return need <= capacity || need - computeNeed(before, deviations) <= NEGLIGIBLE_SHARE * capacity;
    });
}

interface NeedSum {
    mean: number;
    variance: number;
}

function computeSum(sequences: readonly Sequence[], ahead: number): NeedSum {
    let mean = 0;
    let variance = 0;
    for (const sequence of sequences) {
        const { produced } = sequence;
        const probability = computeConditionalSurvival(sequence.lengths, { produced, ahead });
        const memory = sequence.promptTokens + produced + ahead;
        mean += probability * memory;
        variance += probability * (1 - probability) * memory * memory;
    }
    return { mean, variance };
}

function computeNeed(sum: NeedSum, deviations: number): number {
    return sum.mean + deviations * Math.sqrt(sum.variance);
}
