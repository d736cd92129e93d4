/**
 * Decision log of a process, as structured JSON lines.
 *
 * A token bucket for each class of lines limits the volume. If the reader of standard output is slow, lines are dropped
 * instead of blocking the process.
 *
 * @module
 */
import { createWriteStream, fstatSync } from "node:fs";
import { Socket } from "node:net";
import type { Writable } from "node:stream";
import { type ILogObj, Logger } from "tslog";
import type { Clock } from "../core/clock/mod.ts";

/**
 * Classes of log lines. Each class has its own rate limit, so that many lines of one class do not suppress the others.
 */
export const LineClass = {
    /** Start, stop and reload of the process, and dependencies that become unreachable or reachable again. */
    process: "process",
    /** Change to the process's state: the configuration, the targets or the peers. */
    stateChange: "belief",
    /** Request that completed normally. */
    request: "request",
    /** Request that was refused, failed or moved to another target. */
    abnormalRequest: "trouble",
} as const;

/** One of the values of {@linkcode LineClass}. */
export type LineClass = (typeof LineClass)[keyof typeof LineClass];

/** Options of a {@linkcode DecisionLog}. */
export interface DecisionLogOptions {
    /** Name of the process. */
    name: string;
    /** Source of the current time. */
    clock: Clock;
    /** Writes one line; returns false if the line was dropped. Defaults to standard output. */
    writeLine?: (line: string) => boolean;
    /** Maximum sustained rate of each class, in lines per second. Defaults to {@linkcode DEFAULT_LINES_PER_SECOND}. */
    rates?: Record<LineClass, number>;
}

/** Maximum sustained rate of each class, in lines per second: a few times the usual load of an instance. */
export const DEFAULT_LINES_PER_SECOND: Record<LineClass, number> = {
    process: 20,
    belief: 20,
    request: 15,
    trouble: 40,
};
/** Capacity of a token bucket, as the seconds of the sustained rate that it can hold. */
const BURST_SECONDS = 3;
/** Size of the output buffer above which lines are dropped because the reader is slow. */
const MAX_BACKLOG_BYTES = 262_144;

interface TokenBucket {
    tokens: number;
    updatedAt: number;
    droppedLines: number;
}

/** Writes JSON lines with the keys `level`, `process`, `time`, `class`, `event` and the fields of the event. */
export class DecisionLog {
    readonly #options: DecisionLogOptions;
    readonly #linesPerSecond: Record<LineClass, number>;
    readonly #buckets = new Map<LineClass, TokenBucket>();
    readonly #logger: Logger<ILogObj>;
    #droppedTotal = 0;

    constructor(options: DecisionLogOptions) {
        this.#options = options;
        this.#linesPerSecond = options.rates ?? DEFAULT_LINES_PER_SECOND;
        const writeLine = options.writeLine ?? createStandardOutputWriter();
        this.#logger = new Logger<ILogObj>({
            name: options.name,
            type: "hidden",
            hideLogPositionForProduction: true,
            attachedTransports: [line => {
                const { _meta: meta, ...fields } = line as ILogObj & {
                    _meta: { logLevelName: string; name?: string; };
                };
                const commonFields = { level: meta.logLevelName.toLowerCase(), process: meta.name };
                if (!writeLine(`${JSON.stringify({ ...commonFields, ...fields })}\n`)) {
                    this.#droppedTotal += 1;
                }
            }],
        });
    }

    /** Number of lines dropped since the start. */
    get droppedTotal(): number {
        return this.#droppedTotal;
    }

    /**
     * Logs one line, or drops it if its class exceeds its rate limit. The next line of that class that is logged has
     * the number of dropped lines in `droppedLines`.
     */
    record(lineClass: LineClass, event: string, fields: Record<string, unknown> = {}): void {
        const bucket = this.#refillBucket(lineClass);
        if (bucket.tokens < 1) {
            bucket.droppedLines += 1;
            this.#droppedTotal += 1;
            return;
        }
        bucket.tokens -= 1;
        const droppedField = bucket.droppedLines > 0 ? { droppedLines: bucket.droppedLines } : {};
        bucket.droppedLines = 0;
        const time = new Date(this.#options.clock.getWallTime()).toISOString();
        this.#logger.info({ time, class: lineClass, event, ...fields, ...droppedField });
    }

    #refillBucket(lineClass: LineClass): TokenBucket {
        const now = this.#options.clock.getMonotonic();
        const rate = this.#linesPerSecond[lineClass];
        const capacity = rate * BURST_SECONDS;
        const bucket = this.#buckets.get(lineClass) ?? { tokens: capacity, updatedAt: now, droppedLines: 0 };
        bucket.tokens = Math.min(capacity, bucket.tokens + rate * (now - bucket.updatedAt) / 1000);
        bucket.updatedAt = now;
        this.#buckets.set(lineClass, bucket);
        return bucket;
    }
}

/** Creates a function that writes lines to standard output and drops them while the reader is slow. */
function createStandardOutputWriter(): (line: string) => boolean {
    const output = openStandardOutput();
    // If the reader closes its end, logging stops but the process continues.
    output.on("error", () => undefined);
    return line => {
        if (output.destroyed || output.writableLength > MAX_BACKLOG_BYTES) {
            return false;
        }
        output.write(line);
        return true;
    };
}

/** Opens standard output so that writes never block the event loop; `process.stdout` writes synchronously to pipes. */
function openStandardOutput(): Writable {
    const fileStatus = fstatSync(1);
    return fileStatus.isFIFO() || fileStatus.isSocket()
        ? new Socket({ fd: 1, readable: false, writable: true })
        : createWriteStream("", { fd: 1, autoClose: false });
}
