/**
 * Percentiles of measured values.
 *
 * @module
 */

/**
 * Returns a percentile of sorted values.
 *
 * @param sorted Values in ascending order.
 * @param share Percentile as a share from 0 to 1.
 * @returns The value at that percentile; 0 if there are no values.
 */
export function pickPercentile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}
