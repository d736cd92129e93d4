/**
 * Measures how many writes to the platform claims need, compared with one object for each claim and each outcome.
 *
 * @module
 */
import { CoreBench } from "../../support/bench/mod.ts";

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
    const bench = new CoreBench({ nodes: NODES, seed });
    bench.applyInventory({ zones: [], models: [], targets: [], kinds: [], accounts: [], rules: [] });
    bench.runFor(WARM_UP_MILLISECONDS);
    const before = bench.platform.store.callCounts["create"] ?? 0;
    const askedAt = new Map<string, number>();
    const outcome = { status: 200, headers: {}, body: "" };
    for (let number = 0; number < rate * SECONDS; number += 1) {
        const node = bench.nodes[number % NODES];
        bench.addEvent(number * 1000 / rate, () => {
            if (node !== undefined) {
                const key = `key-${number}`;
                askedAt.set(key, bench.now);
                const holder = bench.requestClaim(node, key);
                bench.addEvent(100, () => bench.sendFromGateway(node, { kind: "settle", key, holder, outcome }));
            }
        });
    }
    bench.runFor(SECONDS * 1000 + 2000);
    const writes = ((bench.platform.store.callCounts["create"] ?? 0) - before) / SECONDS;
    const latencies = bench.dispatches.map(dispatch => dispatch.at - (askedAt.get(dispatch.key) ?? 0)).sort((a, b) =>
        a - b
    );
    const p95 = latencies[Math.floor(latencies.length * 0.95)] ?? 0;
    const share = `${bench.dispatches.length} of ${rate * SECONDS} claimed`;
    return `  ${rate} claims/s: ${writes.toFixed(0)} writes/s beside ${2 * rate}; p95 ${p95.toFixed(0)} ms; ${share}`;
}
