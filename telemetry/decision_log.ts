/**
 * Logs decisions as structured lines, bounded in volume and never blocking.
 *
 * @module
 */
import { createWriteStream, fstatSync } from "node:fs";
import { Socket } from "node:net";
import type { Writable } from "node:stream";
import { type ILogObj, Logger } from "tslog";
import type { Clock } from "../core/clock/mod.ts";

/** Classes of lines; each has a bound of its own, so that none crowds out another. */
export const LineClass = {
    /** Start, stop, reload, and dependencies that are lost or regained. */
    process: "process",
    /** A change of what the process believes. */
    belief: "belief",
    /** A request that ended well. */
    request: "request",
    /** A request that was refused, failed or moved. */
    trouble: "trouble",
} as const;

/** One of the values of {@linkcode LineClass}. */
export type LineClass = (typeof LineClass)[keyof typeof LineClass];

/** Options of a {@linkcode DecisionLog}. */
export interface DecisionLogOptions {
    /** Name of the process. */
    name: string;
    /** Source of time. */
    clock: Clock;
    /** Writes one line; false where it was dropped. Defaults to standard output. */
    writeLine?: (line: string) => boolean;
    /** Lines a second of each class. Defaults to {@linkcode DEFAULT_RATES}. */
    rates?: Record<LineClass, number>;
}

/** Lines a second of each class: a few times the usual load of an instance. */
export const DEFAULT_RATES: Record<LineClass, number> = { process: 20, belief: 20, request: 15, trouble: 40 };
/** Seconds' worth of lines that may come at once. */
const BURST_SECONDS = 3;
/** Bytes that may wait for a slow reader before lines are dropped. */
const MAX_BACKLOG = 262_144;

interface Bucket {
    tokens: number;
    updatedAt: number;
    dropped: number;
}

/** Writes lines of the form `{"time", "level", "event", ...fields}`. */
export class DecisionLog {
    readonly #options: DecisionLogOptions;
    readonly #rates: Record<LineClass, number>;
    readonly #buckets = new Map<LineClass, Bucket>();
    readonly #logger: Logger<ILogObj>;
    #droppedTotal = 0;

    constructor(options: DecisionLogOptions) {
        this.#options = options;
        this.#rates = options.rates ?? DEFAULT_RATES;
        const writeLine = options.writeLine ?? createLineWriter();
        this.#logger = new Logger<ILogObj>({
            name: options.name,
            type: "hidden",
            hideLogPositionForProduction: true,
            attachedTransports: [line => {
                const { _meta: meta, ...fields } = line as ILogObj & {
                    _meta: { logLevelName: string; name?: string; };
                };
                const head = { level: meta.logLevelName.toLowerCase(), process: meta.name };
                if (!writeLine(`${JSON.stringify({ ...head, ...fields })}\n`)) {
                    this.#droppedTotal += 1;
                }
            }],
        });
    }

    /** Lines dropped since the start. */
    get droppedTotal(): number {
        return this.#droppedTotal;
    }

    /** Logs one line, unless its class is over its bound; the next line of the class then tells how many were dropped. */
    record(lineClass: LineClass, event: string, fields: Record<string, unknown> = {}): void {
        const bucket = this.#takeBucket(lineClass);
        if (bucket.tokens < 1) {
            bucket.dropped += 1;
            this.#droppedTotal += 1;
            return;
        }
        bucket.tokens -= 1;
        const dropped = bucket.dropped > 0 ? { droppedLines: bucket.dropped } : {};
        bucket.dropped = 0;
        const time = new Date(this.#options.clock.getWallTime()).toISOString();
        this.#logger.info({ time, class: lineClass, event, ...fields, ...dropped });
    }

    #takeBucket(lineClass: LineClass): Bucket {
        const now = this.#options.clock.getMonotonic();
        const rate = this.#rates[lineClass];
        const capacity = rate * BURST_SECONDS;
        const bucket = this.#buckets.get(lineClass) ?? { tokens: capacity, updatedAt: now, dropped: 0 };
        bucket.tokens = Math.min(capacity, bucket.tokens + rate * (now - bucket.updatedAt) / 1000);
        bucket.updatedAt = now;
        this.#buckets.set(lineClass, bucket);
        return bucket;
    }
}

/** Creates a writer to standard output that drops lines while the reader is slow. */
function createLineWriter(): (line: string) => boolean {
    const output = openOutput();
    // A reader that has gone takes the log with it, not the process.
    output.on("error", () => undefined);
    return line => {
        if (output.destroyed || output.writableLength > MAX_BACKLOG) {
            return false;
        }
        output.write(line);
        return true;
    };
}

/** Opens standard output so that writes never block the event loop: Node's own stream blocks on pipes. */
function openOutput(): Writable {
    const status = fstatSync(1);
    return status.isFIFO() || status.isSocket()
        ? new Socket({ fd: 1, readable: false, writable: true })
        : createWriteStream("", { fd: 1, autoClose: false });
}
