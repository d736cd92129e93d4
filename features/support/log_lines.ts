/**
 * Waits for the log lines of a site's instances.
 *
 * @module
 */
import assert from "node:assert/strict";
import { waitMilliseconds } from "../../network/mod.ts";
import type { SiteInstance } from "../../support/platform/mod.ts";

/** Interval at which the lines are searched, in milliseconds. */
const POLL_MILLISECONDS = 20;
/** Time within which a change is logged, in milliseconds: a few intervals at which an instance looks for ends. */
const LOG_MILLISECONDS = 500;

/** Waits until one of the instances has logged a line with certain fields, and returns it. */
export async function waitForLine(
    instances: readonly SiteInstance[],
    expected: Record<string, unknown>,
): Promise<Record<string, unknown>> {
    const findLine = (): Record<string, unknown> | undefined =>
        instances.flatMap(({ lines }) => lines).find(line =>
            Object.entries(expected).every(([name, value]) => line[name] === value)
        );
    const deadline = performance.now() + LOG_MILLISECONDS;
    while (findLine() === undefined && performance.now() < deadline) {
        await waitMilliseconds(POLL_MILLISECONDS);
    }
    const line = findLine();
    assert.ok(line !== undefined, `no line has ${JSON.stringify(expected)}`);
    return line;
}
