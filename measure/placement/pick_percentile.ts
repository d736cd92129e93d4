/**
 * Percentiles of measured values.
 *
 * @module
 */

/**
 * Picks a percentile.
 *
 * @param sorted Values in rising order.
 * @param share Share of the values at or below the percentile.
 * @returns The value; 0 where there are none.
 */
export function pickPercentile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}
