/**
 * A simulated model engine that performs no I/O: continuous batching, a KV cache of limited size, preemption
 * and cold start.
 *
 * The caller runs one step at a time, and waits for its duration in real or virtual time before the next step.
 *
 * @module
 */
import type { LoadReport } from "../../core/admission/mod.ts";

/** Capacity and speed of an engine. */
export interface EngineSpec {
    /** Size of the KV cache, in tokens. */
    memoryTokens: number;
    /** Maximum number of sequences in one batch. */
    maxBatch: number;
    /** Maximum number of requests that the engine can hold while cold; with one more it crashes and restarts. */
    coldConcurrent: number;
    /** Time after a start for which the engine is cold, in milliseconds. */
    coldMilliseconds: number;
    /** Fixed duration of a step, in milliseconds. */
    baseStepMilliseconds: number;
    /** Additional duration of a step for each decoding sequence, in milliseconds. */
    sequenceStepMilliseconds: number;
    /** Maximum number of tokens that one step prefills in addition to decoding. */
    prefillChunk: number;
    /** Additional duration of a step for each prefilled token, in milliseconds. */
    prefillMilliseconds: number;
    /** Maximum number of prompt prefixes in the prefix cache. */
    cachedPrefixes: number;
}

/** A request for one generation. */
export interface EngineRequest {
    /** Identifier of the generation. */
    id: string;
    /** Length of the prompt, in tokens. */
    promptTokens: number;
    /** Length of the output, in tokens; the gateway and its agent do not know it. */
    outputTokens: number;
    /** Priority; 0 is the highest. */
    priority: number;
    /** Hash of the prompt's prefix. */
    prefix: string;
}

/** An event of a step: a token was decoded, or a sequence was preempted. */
export type EngineCoreEvent =
    | { kind: "token"; id: string; index: number; isLast: boolean; }
    | { kind: "preempted"; id: string; };

/** A generation in the queue or in the running batch. */
interface Sequence {
    request: EngineRequest;
    /** Number of tokens decoded so far. */
    produced: number;
    /** Prompt and output tokens that must be prefilled before decoding can start or continue. */
    pendingPrefillTokens: number;
    /** KV cache that the sequence occupies, in tokens. */
    memoryTokens: number;
    /** Position in the order of arrival. */
    arrivalNumber: number;
}

/** Share of a prompt that is not prefilled if its prefix is in the cache. */
const CACHED_PREFIX_SHARE = 0.7;
/** Share of the KV cache that stays free when a waiting sequence joins the batch. */
const ADMISSION_RESERVE_SHARE = 0.01;

/** A simulated engine that decodes a batch step by step. */
export class EngineCore {
    readonly #spec: EngineSpec;
    #running: Sequence[] = [];
    #waiting: Sequence[] = [];
    #cachedPrefixes: string[] = [];
    #startedAt: number;
    #incarnationNumber = 1;
    #lastArrivalNumber = 0;
    #preemptions = 0;
    #lastStepMilliseconds = 0;
    #crashes = 0;

    /** @param now Start time of the engine, in milliseconds. */
    constructor(spec: EngineSpec, now: number) {
        this.#spec = spec;
        this.#startedAt = now;
    }

    /** Number of crashes that were caused by too many requests while the engine was cold. */
    get crashes(): number {
        return this.#crashes;
    }

    /** Number of preemptions. */
    get preemptions(): number {
        return this.#preemptions;
    }

    /** Number of running and waiting requests. */
    get activeRequests(): number {
        return this.#running.length + this.#waiting.length;
    }

    /** Identifier that changes with every restart. */
    get incarnation(): string {
        return `life-${this.#incarnationNumber}`;
    }

    /** Tells whether the engine is cold. */
    isCold(now: number): boolean {
        return now - this.#startedAt < this.#spec.coldMilliseconds;
    }

    /** Restarts the engine: it is cold again. @returns Identifiers of the generations that were lost. */
    restart(now: number): string[] {
        const lost = [...this.#running, ...this.#waiting].map(sequence => sequence.request.id);
        this.#running = [];
        this.#waiting = [];
        this.#cachedPrefixes = [];
        this.#startedAt = now;
        this.#incarnationNumber += 1;
        return lost;
    }

    /** Adds a request to the queue. @returns Identifiers of the generations that were lost if the engine crashed. */
    handleRequest(request: EngineRequest, now: number): string[] {
        this.#lastArrivalNumber += 1;
        const pendingPrefillTokens = this.#computePrefillTokens(request);
        this.#waiting.push({
            request,
            produced: 0,
            pendingPrefillTokens,
            memoryTokens: 0,
            arrivalNumber: this.#lastArrivalNumber,
        });
        this.#waiting.sort((a, b) => a.request.priority - b.request.priority || a.arrivalNumber - b.arrivalNumber);
        if (this.isCold(now) && this.activeRequests > this.#spec.coldConcurrent) {
            this.#crashes += 1;
            return this.restart(now);
        }
        return [];
    }

    /** Cancels a generation. @returns False if the engine does not have it. */
    cancelRequest(id: string): boolean {
        const before = this.activeRequests;
        this.#running = this.#running.filter(sequence => sequence.request.id !== id);
        this.#waiting = this.#waiting.filter(sequence => sequence.request.id !== id);
        return this.activeRequests < before;
    }

    /** Runs one step. @returns Events of the step, and its duration in milliseconds; 0 if the engine is idle. */
    runStep(): { events: EngineCoreEvent[]; duration: number; } {
        this.#scheduleWaiting();
        const events = this.#preemptExcess();
        const prefilled = this.#runPrefill();
        const decoding = this.#running.filter(sequence => sequence.pendingPrefillTokens === 0);
        for (const sequence of decoding) {
            events.push(this.#decodeToken(sequence));
        }
        this.#running = this.#running.filter(sequence => sequence.produced < sequence.request.outputTokens);
        if (decoding.length === 0 && prefilled === 0) {
            this.#lastStepMilliseconds = 0;
            return { events, duration: 0 };
        }
        const { baseStepMilliseconds, sequenceStepMilliseconds, prefillMilliseconds } = this.#spec;
        this.#lastStepMilliseconds = baseStepMilliseconds + sequenceStepMilliseconds * decoding.length
            + prefillMilliseconds * prefilled;
        return { events, duration: this.#lastStepMilliseconds };
    }

    /** Returns the current load; the caller adds any delay of the report. */
    getReport(now: number): LoadReport {
        return {
            incarnation: this.incarnation,
            isCold: this.isCold(now),
            isLeaving: false,
            running: this.activeRequests,
            memoryUsed: this.#countMemoryTokens(),
            preemptions: this.#preemptions,
            stepMilliseconds: this.#lastStepMilliseconds,
        };
    }

    #computePrefillTokens(request: EngineRequest): number {
        const isCached = this.#cachedPrefixes.includes(request.prefix);
        return Math.max(1, Math.round(request.promptTokens * (isCached ? 1 - CACHED_PREFIX_SHARE : 1)));
    }

    #countMemoryTokens(): number {
        return this.#running.reduce((sum, sequence) => sum + sequence.memoryTokens, 0);
    }

    /** Adds waiting sequences to the batch as far as KV cache and batch size allow; an empty batch takes any sequence. */
    #scheduleWaiting(): void {
        let used = this.#countMemoryTokens();
        const capacity = this.#spec.memoryTokens * (1 - ADMISSION_RESERVE_SHARE);
        while (this.#running.length < this.#spec.maxBatch) {
            const [next] = this.#waiting;
            const neededTokens = next === undefined ? 0 : next.request.promptTokens + next.produced;
            if (next === undefined || (used + neededTokens > capacity && this.#running.length > 0)) {
                return;
            }
            this.#waiting.shift();
            next.memoryTokens = neededTokens;
            used += neededTokens;
            this.#running.push(next);
        }
    }

    /** Preempts sequences of the lowest priority, newest first, until the KV cache holds the next step's tokens. */
    #preemptExcess(): EngineCoreEvent[] {
        const events: EngineCoreEvent[] = [];
        while (this.#running.length > 1 && this.#countMemoryTokens() + this.#running.length > this.#spec.memoryTokens) {
            this.#running.sort((a, b) => a.request.priority - b.request.priority || a.arrivalNumber - b.arrivalNumber);
            const victim = this.#running.pop();
            if (victim === undefined) {
                break;
            }
            victim.memoryTokens = 0;
            victim.pendingPrefillTokens = victim.request.promptTokens + victim.produced;
            this.#waiting.unshift(victim);
            this.#preemptions += 1;
            events.push({ kind: "preempted", id: victim.request.id });
        }
        return events;
    }

    /** Prefills up to the limit of one step. @returns Number of prefilled tokens. */
    #runPrefill(): number {
        let remainingTokens = this.#spec.prefillChunk;
        for (const sequence of this.#running) {
            const chunkTokens = Math.min(remainingTokens, sequence.pendingPrefillTokens);
            sequence.pendingPrefillTokens -= chunkTokens;
            remainingTokens -= chunkTokens;
            if (chunkTokens > 0 && sequence.pendingPrefillTokens === 0) {
                this.#recordPrefix(sequence.request.prefix);
            }
        }
        return this.#spec.prefillChunk - remainingTokens;
    }

    #recordPrefix(prefix: string): void {
        this.#cachedPrefixes = [...this.#cachedPrefixes.filter(each => each !== prefix), prefix].slice(
            -this.#spec.cachedPrefixes,
        );
    }

    #decodeToken(sequence: Sequence): EngineCoreEvent {
        const index = sequence.produced;
        sequence.produced += 1;
        sequence.memoryTokens += 1;
        return {
            kind: "token",
            id: sequence.request.id,
            index,
            isLast: sequence.produced >= sequence.request.outputTokens,
        };
    }
}
