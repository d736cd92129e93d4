/**
 * Measures how many writes to the platform's store claims need, compared with one write for each claim and each outcome.
 *
 * @module
 */
import { CoreSimulation } from "../../support/simulation/mod.ts";

const NODES = 8;
/** Time until all instances serve. */
const WARM_UP_MILLISECONDS = 9000;
/** Length of the measurement at each rate. */
const SECONDS = 5;

/**
 * Measures the writes per second at several rates of claims.
 *
 * @param seed Seed of all random numbers.
 * @returns Lines of a table.
 */
export function measureClaims(seed: number): string[] {
    const lines = ["", "claims: platform writes a second, beside one object for each claim and each outcome"];
    for (const rate of [5, 50, 200, 600]) {
        lines.push(measureRate(rate, seed));
    }
    return lines;
}

/** Measures the writes at one rate of claims per second. */
function measureRate(rate: number, seed: number): string {
    const simulation = new CoreSimulation({ nodes: NODES, seed });
    simulation.applyInventory({ zones: [], models: [], targets: [], kinds: [], accounts: [], rules: [] });
    simulation.runFor(WARM_UP_MILLISECONDS);
    const before = simulation.platform.store.callCounts["create"] ?? 0;
    const requestedAt = new Map<string, number>();
    const outcome = { status: 200, headers: {}, body: "" };
    for (let number = 0; number < rate * SECONDS; number += 1) {
        const node = simulation.nodes[number % NODES];
        simulation.addEvent(number * 1000 / rate, () => {
            if (node !== undefined) {
                const key = `key-${number}`;
                requestedAt.set(key, simulation.now);
                const holder = simulation.requestClaim(node, key);
                simulation.addEvent(
                    100,
                    () => simulation.sendFromGateway(node, { kind: "settle", key, holder, outcome }),
                );
            }
        });
    }
    simulation.runFor(SECONDS * 1000 + 2000);
    const writes = ((simulation.platform.store.callCounts["create"] ?? 0) - before) / SECONDS;
    const latencies = simulation.dispatches.map(dispatch => dispatch.at - (requestedAt.get(dispatch.key) ?? 0)).sort((
        a,
        b,
    ) => a - b);
    const p95 = latencies[Math.floor(latencies.length * 0.95)] ?? 0;
    const share = `${simulation.dispatches.length} of ${rate * SECONDS} claimed`;
    return `  ${rate} claims/s: ${writes.toFixed(0)} writes/s beside ${2 * rate}; p95 ${p95.toFixed(0)} ms; ${share}`;
}
