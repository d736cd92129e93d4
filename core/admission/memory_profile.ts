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

const DEFAULT_HORIZONS: readonly number[] = [0, 32, 128, 384, 1024, 2560, 6144];

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
    const { deviations = 1, horizons = DEFAULT_HORIZONS } = options;
    let peak = 0;
    for (const ahead of horizons) {
        peak = Math.max(peak, computeNeed(sequences, { ahead, deviations }));
    }
    return peak;
}

function computeNeed(sequences: readonly Sequence[], options: { ahead: number; deviations: number; }): number {
    let mean = 0;
    let variance = 0;
    for (const sequence of sequences) {
        const { produced } = sequence;
        const probability = computeConditionalSurvival(sequence.lengths, { produced, ahead: options.ahead });
        const memory = sequence.promptTokens + produced + options.ahead;
        mean += probability * memory;
        variance += probability * (1 - probability) * memory * memory;
    }
    return mean + options.deviations * Math.sqrt(variance);
}
