/**
 * Distributions of output lengths, and the survival probabilities computed from them.
 *
 * @module
 */

/** Quantiles of the output length, in tokens, at the probabilities of {@linkcode LENGTH_PROBABILITIES}. */
export type LengthDistribution = readonly number[];

/** Cumulative probabilities of the quantiles in a {@linkcode LengthDistribution}. */
export const LENGTH_PROBABILITIES: readonly number[] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.97];

/** Ratio of the assumed maximum output length to the last quantile. */
const TAIL_FACTOR = 1.6;

/**
 * Computes the probability that an output is longer than `tokens`.
 *
 * Interpolates linearly between the quantiles.
 *
 * @param distribution Quantiles of the output length.
 * @param tokens Output length, in tokens.
 * @returns A probability from 0 to 1.
 */
export function computeSurvival(distribution: LengthDistribution, tokens: number): number {
    let lowerLength = 0;
    let lowerProbability = 0;
    for (let index = 0; index <= LENGTH_PROBABILITIES.length; index += 1) {
        const isTail = index === LENGTH_PROBABILITIES.length;
        const upperLength = isTail ? lowerLength * TAIL_FACTOR + 1 : Math.max(distribution[index] ?? 0, lowerLength);
        const upperProbability = isTail ? 1 : LENGTH_PROBABILITIES[index] ?? 1;
        if (tokens < upperLength) {
            const fraction = (tokens - lowerLength) / (upperLength - lowerLength);
            return 1 - (lowerProbability + fraction * (upperProbability - lowerProbability));
        }
        lowerLength = upperLength;
        lowerProbability = upperProbability;
    }
    return 0;
}

/**
 * Computes the probability that an output of which `produced` tokens exist becomes longer than `produced + ahead`.
 *
 * For an output that is already longer than the distribution allows for, the probability decays exponentially with
 * `ahead`; the half-life is half the tokens produced, and at least 64 tokens.
 *
 * @param distribution Quantiles of the output length.
 * @param position Tokens produced so far, and tokens ahead.
 * @returns A probability from 0 to 1.
 */
export function computeConditionalSurvival(
    distribution: LengthDistribution,
    position: { produced: number; ahead: number; },
): number {
    const currentSurvival = computeSurvival(distribution, position.produced);
    if (currentSurvival > 0.001) {
        return computeSurvival(distribution, position.produced + position.ahead) / currentSurvival;
    }
    const halfLife = Math.max(64, position.produced / 2);
    return 2 ** (-position.ahead / halfLife);
}
