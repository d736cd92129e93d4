/**
 * Records the requests and faults of a soak test, and finds violations of the serving processes' guarantees: requests
 * that may not be repeated run at most once, responses are unaltered, planned operations interrupt no request, and a
 * target that limits its request rate gets no more than it allows.
 *
 * @module
 */
import type { HttpResult } from "../../processes/mod.ts";

/** The period in which a fault was in effect; times are on the monotonic clock in milliseconds. */
export interface FaultSpan {
    /** Name of the fault. */
    name: string;
    /** Start of the fault. */
    startedAt: number;
    /** End of the fault; `Infinity` while it lasts. */
    endedAt: number;
}

/** A finished request. */
export interface SoakRequest {
    /** Identifier of the request. */
    id: string;
    /** Kind of the request. */
    kind: string;
    /** Index of the instance that got it. */
    instance: number;
    /** Time at which it was sent. */
    sentAt: number;
    /** Time at which its response or its connection ended. */
    endedAt: number;
    /** Response; `undefined` if the connection ended before a response began. */
    result: HttpResult | undefined;
}

/** Faults that are planned operations: none of them may interrupt a request. */
const PLANNED_OPERATIONS = new Set(["SIGTERM", "SIGHUP", "configuration", "leaving", "evacuated zone"]);
/** Time after the end of a fault in which a request may still be affected by it. */
const FAULT_EFFECT_MILLISECONDS = 1500;
/** Number of events in a complete stream. */
const EVENTS_PER_STREAM = 12;

/** A target that limits its request rate during a soak test; times are on the monotonic clock in milliseconds. */
export interface LimitedTarget {
    /** Limit that the target states. */
    requestsPerSecond: number;
    /** Time of its first statement, and of its last one. */
    statedFrom: number;
    statedUntil: number;
    /** Times at which requests arrived. */
    arrivals: readonly number[];
}

/** Time after a target's first statement from which its limit holds, and length of its windows, in milliseconds. */
const LIMIT_CONTACT_MILLISECONDS = 3000;
const LIMIT_WINDOW_MILLISECONDS = 4000;
/** Faults after which an instance does not know of the limit, and requests that it may send before it does. */
const FORGETTING_FAULTS = new Set(["SIGKILL", "SIGTERM", "SIGSTOP"]);
const REQUESTS_PER_FORGETTING_FAULT = 4;

/** The period in which an instance was cut off from all targets. */
interface CutSpan extends FaultSpan {
    /** Index of the instance. */
    instance: number;
}

/** Time after the beginning of a cut from which requests are served through a peer, in milliseconds. */
const CUT_CONTACT_MILLISECONDS = 1500;
/** Requests at an instance from which its share of served ones is compared with that of the others. */
const MIN_COMPARED_REQUESTS = 10;
/** Share of the others' share of served requests that an instance must serve while it is cut off. */
const CUT_SERVED_SHARE = 2 / 3;

/** Records the requests and faults of a soak test. */
export class SoakRecorder {
    readonly faults: FaultSpan[] = [];
    readonly requests: SoakRequest[] = [];
    readonly #cuts: CutSpan[] = [];
    /** Streams that broke off and were resumed by their callers, with their text as the caller joins it. */
    readonly joinedStreams: { id: string; text: string; }[] = [];

    /** Records the start of a fault. @returns A function that records the end of the fault. */
    recordFault(name: string): () => void {
        const span = { name, startedAt: performance.now(), endedAt: Infinity };
        this.faults.push(span);
        return () => {
            span.endedAt = performance.now();
        };
    }

    /** Records that an instance is cut off from all targets. @returns A function that records the end of the cut. */
    recordCut(instance: number, kind: string): () => void {
        const cut = { instance, name: kind, startedAt: performance.now(), endedAt: Infinity };
        this.#cuts.push(cut);
        return () => {
            cut.endedAt = performance.now();
        };
    }

    /**
     * Finds cuts during which an instance has served fewer of its requests than the others have, beside other faults that
     * affect all of them alike. A cut during which an instance was killed, stopped or paused is not compared.
     */
    findCutViolations(): string[] {
        return this.#cuts.flatMap(({ instance, name, startedAt, endedAt }) => {
            const isAffected = this.faults.some(fault =>
                FORGETTING_FAULTS.has(fault.name) && fault.startedAt <= endedAt
                && fault.endedAt + FAULT_EFFECT_MILLISECONDS >= startedAt
            );
            const during = this.requests.filter(request =>
                request.sentAt >= startedAt + CUT_CONTACT_MILLISECONDS && request.sentAt <= endedAt
            );
            const own = during.filter(request => request.instance === instance);
            const others = during.filter(request => request.instance !== instance);
            const [ownShare, othersShare] = [own, others].map(requests =>
                requests.filter(({ result }) => result?.status === 200 && result.isComplete).length / requests.length
            );
            return isAffected || Math.min(own.length, others.length) < MIN_COMPARED_REQUESTS
                    || (ownShare ?? 0) >= (othersShare ?? 0) * CUT_SERVED_SHARE
                ? []
                : [
                    `an instance that was cut off (${name}) served ${ownShare} of ${own.length} requests, the others ${othersShare}`,
                ];
        });
    }

    /** Finds violations. @param runs How often targets have run each request from the start, by identifier. */
    findViolations(runs: ReadonlyMap<string, number>): string[] {
        const violations = this.requests.flatMap(request => [
            ...this.#checkRuns(request, runs.get(request.id) ?? 0),
            ...checkResponse(request),
            ...this.#checkInterruption(request),
        ]);
        return [...violations, ...this.joinedStreams.flatMap(({ id, text }) => checkStreamText(`resumed ${id}`, text))];
    }

    /** Finds windows in which a target got more requests than its limit allows. */
    findLimitViolations({ requestsPerSecond, statedFrom, statedUntil, arrivals }: LimitedTarget): string[] {
        const ends = arrivals.filter(at => at >= statedFrom + LIMIT_CONTACT_MILLISECONDS && at <= statedUntil);
        return ends.flatMap(end => {
            const start = end - LIMIT_WINDOW_MILLISECONDS;
            const count = arrivals.filter(at => at > start && at <= end).length;
            const forgettingFaults = this.faults.filter(({ name, startedAt, endedAt }) =>
                FORGETTING_FAULTS.has(name) && startedAt <= end && endedAt >= start
            );
            const allowed = 1.5 * requestsPerSecond * LIMIT_WINDOW_MILLISECONDS / 1000 + 5
                + REQUESTS_PER_FORGETTING_FAULT * forgettingFaults.length;
            return count <= allowed ? [] : [`a target that allows ${allowed} requests in 4 s got ${count}`];
        });
    }

    /** Checks that a stamp or a narrative was run at most once, and not at all if it was refused. */
    #checkRuns(request: SoakRequest, runs: number): string[] {
        const { id, kind, result } = request;
        const violations: string[] = [];
        const isAtMostOnce = kind === "stamp" || kind === "narrative";
        if (isAtMostOnce && runs > 1) {
            violations.push(`${kind} ${id} ran ${runs} times`);
        }
        if (isAtMostOnce && runs > 0 && result !== undefined && [408, 421, 429, 503].includes(result.status)) {
            violations.push(`${kind} ${id} got status ${result.status} although it ran`);
        }
        return violations;
    }

    /** Checks that a request got a complete response if no faults other than planned operations were in effect. */
    #checkInterruption(request: SoakRequest): string[] {
        const { id, kind, sentAt, endedAt, result } = request;
        const concurrentFaults = this.faults.filter(({ startedAt: faultStartedAt, endedAt: faultEndedAt }) =>
            faultStartedAt <= endedAt && faultEndedAt + FAULT_EFFECT_MILLISECONDS >= sentAt
        );
        if (concurrentFaults.some(({ name }) => !PLANNED_OPERATIONS.has(name)) || result?.isComplete === true) {
            return [];
        }
        const names = concurrentFaults.map(({ name }) => name).join(", ");
        return [`${kind} ${id} was interrupted during planned operations only: ${names === "" ? "none" : names}`];
    }
}

/** Checks that a response with status 200 is the request's own, unaltered and in order. */
function checkResponse({ id, kind, result }: SoakRequest): string[] {
    if (result?.status !== 200) {
        return [];
    }
    const violations: string[] = [];
    if (result.headers["attempt-id"] !== id || result.headers["response-seal"] === undefined) {
        violations.push(`${kind} ${id} got an unsigned response or that of another request`);
    }
    if (kind === "narrative" || kind === "verdict") {
        const events = listEventNumbers(result.body.toString());
        violations.push(...checkStreamText(`${kind} ${id}`, result.body.toString()));
        if (result.isComplete && events.length !== EVENTS_PER_STREAM) {
            violations.push(`${kind} ${id} ended as complete after ${events.length} events`);
        }
    }
    else if (result.isComplete && result.body.toString() !== "the whole answer") {
        violations.push(`${kind} ${id} got the body "${result.body}"`);
    }
    return violations;
}

/** Lists the numbers of the events in a stream's text. */
export function listEventNumbers(text: string): number[] {
    return [...text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
}

/** Checks that a stream's events are in order and of a single software version. */
function checkStreamText(name: string, text: string): string[] {
    const events = listEventNumbers(text);
    const versions = new Set([...text.matchAll(/ of (v\d+)$/gm)].map(match => match[1]));
    return [
        ...events.some((event, index) => event !== index + 1)
            ? [`${name} got the wrong event sequence ${events.join(",")}`]
            : [],
        ...versions.size > 1 ? [`${name} holds events of ${[...versions].join(" and ")}`] : [],
    ];
}
