/**
 * Records what callers and targets see in a soak, and finds broken promises.
 *
 * @module
 */
import type { HttpResult } from "../../processes/mod.ts";

/** A span of time in which a fault was in force; times are on the monotonic clock in milliseconds. */
export interface FaultSpan {
    /** Name of the fault. */
    name: string;
    /** Its begin. */
    from: number;
    /** Its end; `Infinity` while it lasts. */
    until: number;
}

/** A request with its end. */
export interface SoakRequest {
    /** Identity of the attempt. */
    id: string;
    /** Kind of the request. */
    kind: string;
    /** Time at which it was sent. */
    sentAt: number;
    /** Time of its end. */
    endedAt: number;
    /** Answer; `undefined` where the connection ended without one. */
    result: HttpResult | undefined;
}

/** Faults that are planned work: none of them may cut a request. */
const PLANNED = new Set(["term", "hup", "configuration", "leaving", "emptied zone"]);
/** Time after a fault in which its traces are still allowed for, in milliseconds. */
const AFTERMATH = 1500;
/** Events of a whole stream. */
const STREAM_EVENTS = 12;

/** Keeps a soak's records. */
export class SoakLedger {
    readonly faults: FaultSpan[] = [];
    readonly requests: SoakRequest[] = [];

    /** Notes the begin of a fault; the function returned notes its end. */
    startFault(name: string): () => void {
        const span = { name, from: performance.now(), until: Infinity };
        this.faults.push(span);
        return () => {
            span.until = performance.now();
        };
    }

    /** Finds the promises that were broken. @param runs Number of runs from the start, by request. */
    findBroken(runs: ReadonlyMap<string, number>): string[] {
        return this.requests.flatMap(request => [
            ...this.#checkRuns(request, runs.get(request.id) ?? 0),
            ...checkAnswer(request),
            ...this.#checkPlanned(request),
        ]);
    }

    #checkRuns(request: SoakRequest, runs: number): string[] {
        const { id, kind, result } = request;
        const broken: string[] = [];
        const isOnce = kind === "stamp" || kind === "narrative";
        if (isOnce && runs > 1) {
            broken.push(`${kind} ${id} ran ${runs} times`);
        }
        if (isOnce && runs > 0 && result !== undefined && [408, 421, 429, 503].includes(result.status)) {
            broken.push(`${kind} ${id} was answered ${result.status} and ran`);
        }
        return broken;
    }

    /** A request that met nothing but planned work is never cut. */
    #checkPlanned(request: SoakRequest): string[] {
        const { id, kind, sentAt, endedAt, result } = request;
        const met = this.faults.filter(({ from, until }) => from <= endedAt && until + AFTERMATH >= sentAt);
        if (met.some(({ name }) => !PLANNED.has(name)) || result?.isComplete === true) {
            return [];
        }
        const names = met.map(({ name }) => name).join(", ");
        return [`${kind} ${id} was cut by planned work alone: ${names === "" ? "none" : names}`];
    }
}

function checkAnswer({ id, kind, result }: SoakRequest): string[] {
    if (result?.status !== 200) {
        return [];
    }
    const broken: string[] = [];
    if (result.headers["attempt-id"] !== id || result.headers["response-seal"] === undefined) {
        broken.push(`${kind} ${id} got an answer that is not its own`);
    }
    if (kind === "narrative" || kind === "verdict") {
        const events = [...result.body.toString().matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
        if (events.some((event, index) => event !== index + 1)) {
            broken.push(`${kind} ${id} got the events ${events.join(",")}`);
        }
        if (result.isComplete && events.length !== STREAM_EVENTS) {
            broken.push(`${kind} ${id} ended as whole after ${events.length} events`);
        }
    }
    else if (result.isComplete && result.body.toString() !== "the whole answer") {
        broken.push(`${kind} ${id} got the body "${result.body}"`);
    }
    return broken;
}
