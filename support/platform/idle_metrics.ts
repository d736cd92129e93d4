/**
 * Metrics of a part of a serving process that runs without the others.
 *
 * @module
 */
import { ServingMetrics } from "../../serving/mod.ts";

/** Builds metrics whose gauges are 0. */
export function buildIdleMetrics(): ServingMetrics {
    return new ServingMetrics({
        countActive: () => 0,
        countDroppedLines: () => 0,
        getConfigurationVersion: () => 0,
        countLimitedTargets: () => 0,
        countWaiting: () => 0,
        countClientConnections: () => 0,
        countClientBytes: () => 0,
    });
}
