/**
 * Fixture of a target as the directory of targets keeps it.
 *
 * @module
 */
import type { ServingTarget } from "../../core/serving/mod.ts";

/** Creates a ready engine; `changes` replace its fields. */
export function createTarget(id: string, changes: Partial<ServingTarget> = {}): ServingTarget {
    return {
        id,
        service: "engines",
        address: "127.0.0.1:1",
        zone: "zone-a",
        slots: 24,
        isLeaving: false,
        coldMilliseconds: 0,
        startedAt: 1,
        ...changes,
    };
}
