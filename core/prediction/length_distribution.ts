/**
 * A distribution of output lengths, and what remains of it after some tokens.
 *
 * @module
 */

/** Output lengths, in tokens, at the probabilities of {@linkcode LENGTH_PROBABILITIES}. */
export type LengthDistribution = readonly number[];

/** Probabilities at which a {@linkcode LengthDistribution} gives its lengths. */
export const LENGTH_PROBABILITIES: readonly number[] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.97];

/** Factor by which the longest output exceeds the last quantile. */
const TAIL_FACTOR = 1.6;

/**
 * Computes the probability that an output is longer than `tokens`.
 *
 * @param distribution Lengths at the known probabilities.
 * @param tokens Length to ask about.
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
            const share = (tokens - lowerLength) / (upperLength - lowerLength);
            return 1 - (lowerProbability + share * (upperProbability - lowerProbability));
        }
        lowerLength = upperLength;
        lowerProbability = upperProbability;
    }
    return 0;
}

/**
 * Computes the probability that an output which has reached `produced` tokens also passes `produced + ahead`.
 *
 * @param distribution Lengths at the known probabilities.
 * @param position Tokens produced so far, and tokens ahead.
 * @returns A probability from 0 to 1; an output past the known tail is taken to end soon.
 */
export function computeConditionalSurvival(
    distribution: LengthDistribution,
    position: { produced: number; ahead: number; },
): number {
    const now = computeSurvival(distribution, position.produced);
    if (now > 0.001) {
        return computeSurvival(distribution, position.produced + position.ahead) / now;
    }
    const halfLife = Math.max(64, position.produced / 2);
    return 2 ** (-position.ahead / halfLife);
}
