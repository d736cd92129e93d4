/**
 * Starts moves for the streams of engines that leave.
 *
 * @module
 */
import type { TargetChange } from "../core/serving/mod.ts";
import { fetchReport } from "../platform/mod.ts";
import type { ServingContext } from "./caller_exchange.ts";
import type { ActiveStream } from "./stream_call.ts";

/** Time allowed for a report, in milliseconds; a move does not wait longer to learn how long its engine stays. */
const REPORT_TIMEOUT = 150;

/** Starts the moves of all streams that run on a target that leaves. */
export function handleTargetChange(
    context: ServingContext,
    options: { change: TargetChange; active: ReadonlySet<ActiveStream>; },
): void {
    const { change, active } = options;
    if (change.kind === "added") {
        return;
    }
    const streams = [...active].filter(stream => stream.targetId === change.target.id);
    if (streams.length === 0) {
        return;
    }
    const noticedAt = context.clock.getMonotonic();
    let report: Promise<number | undefined> | undefined;
    const leavesInMilliseconds = (): Promise<number | undefined> => {
        report ??= fetchReport(change.target.address, REPORT_TIMEOUT).then(answer => answer?.leavesInMilliseconds);
        return report;
    };
    for (const stream of streams) {
        stream.startMove({ noticedAt, leavesInMilliseconds });
    }
}
