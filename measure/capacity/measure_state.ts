/**
 * Measures the memory that the state of an agent and a gateway needs, and the time that single decisions take.
 *
 * @module
 */
import { TargetAdmission } from "../../core/admission/mod.ts";
import { ClaimIndex } from "../../core/claims/mod.ts";
import { buildRoutingTable, type Inventory, mergeParts, splitInventory } from "../../core/inventory/mod.ts";
import { LengthPredictor } from "../../core/prediction/mod.ts";
import { BAGMATI, createInventory } from "../../support/fixtures/inventories.ts";

/** Size of the configuration that is measured. */
const ACCOUNTS = 43_000;
const TARGETS = 1300;

/** Measures the heap in use, in bytes, after a garbage collection if it is available. */
function measureHeap(): number {
    globalThis.gc?.();
    return process.memoryUsage().heapUsed;
}

/**
 * Measures the heap that the result of `build` occupies, in bytes for each of `count` items.
 *
 * The result is returned as well, so that it is not garbage-collected before the measurement.
 */
function measureBytes(count: number, build: () => unknown): { bytes: number; retained: unknown; } {
    const before = measureHeap();
    const retained = build();
    return { bytes: (measureHeap() - before) / count, retained };
}

/** Measures the mean time of `run` over `count` calls, in microseconds. */
function measureMicroseconds(count: number, run: (index: number) => void): number {
    const startedAt = performance.now();
    for (let index = 0; index < count; index += 1) {
        run(index);
    }
    return (performance.now() - startedAt) * 1000 / count;
}

/** Creates an inventory of the size that is measured. */
function createLargeInventory(): Inventory {
    const engines = Array.from({ length: TARGETS }, (_unused, index) => `10.0.${index >> 8}.${index & 255}:80`);
    const inventory = createInventory(BAGMATI, { engines, services: [] });
    const accounts = Array.from({ length: ACCOUNTS }, (_unused, index) => ({
        name: `account-${index}`,
        keyHash: index.toString(16).padStart(64, "0"),
        weight: 1,
    }));
    return { ...inventory, accounts };
}

/**
 * Measures the memory of state and the time of decisions.
 *
 * @returns Lines of a table.
 */
export function measureState(): string[] {
    const lines = [
        "",
        `state and single decisions${globalThis.gc === undefined ? " (heap figures need node --expose-gc)" : ""}`,
    ];
    const large = createLargeInventory();
    const parts = splitInventory(large);
    const sizes = [...parts.values()].map(text => text.length);
    const total = sizes.reduce((sum, size) => sum + size, 0);
    lines.push(
        `  configuration of ${ACCOUNTS} accounts and ${TARGETS} targets: ${parts.size} parts, ${total} bytes, greatest ${
            Math.max(...sizes)
        }`,
    );
    const merged = measureBytes(1, () => mergeParts(parts.values()));
    lines.push(
        `  parsed: ${(merged.bytes / 1e6).toFixed(1)} MB; parsing ${
            (measureMicroseconds(1, () => mergeParts(parts.values())) / 1000).toFixed(0)
        } ms`,
    );
    const table = measureBytes(1, () => buildRoutingTable(large));
    const tableTime = measureMicroseconds(3, () => buildRoutingTable(large)) / 1000;
    lines.push(`  routing table: ${(table.bytes / 1e6).toFixed(1)} MB; building ${tableTime.toFixed(0)} ms`);
    const index = measureBytes(100_000, () => buildClaimIndex(100_000));
    lines.push(`  claim index: ${index.bytes.toFixed(0)} bytes a key with an outcome of 100 bytes`);
    lines.push(`  sketches: ${measureBytes(4000, () => buildPredictor(4000)).bytes.toFixed(0)} bytes each`);
    lines.push(...measureAdmission());
    return lines;
}

function buildClaimIndex(count: number): ClaimIndex {
    const index = new ClaimIndex();
    for (let number = 0; number < count; number += 1) {
        const key = `account/ledger/key-${number}`;
        const holder = `entry-1-${number}`;
        index.applyEntry({
            kind: "claim",
            key,
            holder,
            fingerprint: `print-${number}-of-some-bytes-of-base64-text`,
            at: number,
        });
        const outcome = {
            status: 200,
            headers: { "content-type": "text/plain" },
            body: `${number}`.padStart(100, "x"),
        };
        index.applyEntry({ kind: "outcome", key, holder, outcome });
    }
    return index;
}

function buildPredictor(count: number): LengthPredictor {
    const predictor = new LengthPredictor();
    for (let number = 0; number < count; number += 1) {
        predictor.observeLength({ account: `account-${number}`, kind: "narrative", model: "m" }, 100);
    }
    return predictor;
}

/** Measures the time to grant and release a permit, for several numbers of permits that are already held. */
function measureAdmission(): string[] {
    return [0, 16, 48].map(running => {
        const spec = { name: "t", memoryTokens: 1e9, maxConcurrent: 1000, coldConcurrent: 1000 };
        const admission = new TargetAdmission(spec);
        const report = {
            incarnation: "a",
            isCold: false,
            isLeaving: false,
            running: 0,
            memoryUsed: 0,
            preemptions: 0,
            stepMilliseconds: 20,
        };
        admission.handleReport(report, { askedAt: 5000, now: 5000 });
        admission.setScope({ extent: "full", share: 1, isOpen: true }, 5000);
        const request = {
            target: "t",
            origin: "a",
            account: "a",
            weight: 1,
            priority: 1,
            promptTokens: 300,
            lengths: [10, 60, 200, 700, 2000, 5000],
            waitMilliseconds: 100,
        };
        for (let index = 0; index < running; index += 1) {
            admission.handleRequest({ ...request, permitId: `held-${index}` }, 5000);
        }
        const time = measureMicroseconds(2000, index => {
            admission.handleRequest({ ...request, permitId: `p-${index}` }, 5000);
            admission.releasePermit(`p-${index}`, { outcome: "finished", now: 5000 });
        });
        return `  a permit granted and released beside ${running} held: ${time.toFixed(0)} µs`;
    });
}
