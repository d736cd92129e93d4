/**
 * A model engine without input or output: continuous batching, limited memory, preemption and cold start.
 *
 * @module
 */
import type { LoadReport } from "../../core/admission/mod.ts";

/** What an engine can do. */
export interface EngineSpec {
    /** Memory for sequences, in tokens. */
    memoryTokens: number;
    /** Most sequences in one batch. */
    maxBatch: number;
    /** Requests that a cold engine bears; one more and it falls over. */
    coldConcurrent: number;
    /** Time after a start for which the engine is cold, in milliseconds. */
    coldMilliseconds: number;
    /** Time of a decode step of an empty batch, in milliseconds. */
    baseStepMilliseconds: number;
    /** Further time of a step for each sequence, in milliseconds. */
    sequenceStepMilliseconds: number;
    /** Prompt tokens that one step takes in beside decoding. */
    prefillChunk: number;
    /** Further time of a step for each prompt token, in milliseconds. */
    prefillMilliseconds: number;
    /** Prompt prefixes that the cache holds. */
    cachedPrefixes: number;
}

/** A generation asked of an engine. */
export interface EngineRequest {
    /** Name of the generation. */
    id: string;
    /** Length of the prompt, in tokens. */
    promptTokens: number;
    /** Length of the output, in tokens; nobody else knows it. */
    outputTokens: number;
    /** Priority; 0 goes first. */
    priority: number;
    /** Hash of the prompt's prefix. */
    prefix: string;
}

/** Something that happened in a step. */
export type EngineCoreEvent =
    | { kind: "token"; id: string; index: number; isLast: boolean; }
    | { kind: "preempted"; id: string; };

interface Sequence {
    request: EngineRequest;
    produced: number;
    /** Prompt and output tokens that must still be taken in before decoding goes on. */
    pendingPrefillTokens: number;
    memoryTokens: number;
    arrivalNumber: number;
}

/** Share of a cached prompt that need not be taken in again. */
const CACHED_PREFIX_SHARE = 0.7;
/** Share of memory kept free when a waiting sequence is taken in. */
const ADMISSION_RESERVE_SHARE = 0.01;

/** Decodes batches step by step. */
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

    /** @param now Time of the engine's start, in milliseconds. */
    constructor(spec: EngineSpec, now: number) {
        this.#spec = spec;
        this.#startedAt = now;
    }

    /** Times that the engine fell over because it was given too much while cold. */
    get crashes(): number {
        return this.#crashes;
    }

    get preemptions(): number {
        return this.#preemptions;
    }

    /** Requests that the engine holds. */
    get held(): number {
        return this.#running.length + this.#waiting.length;
    }

    get incarnation(): string {
        return `life-${this.#incarnationNumber}`;
    }

    /** Tells whether the engine is cold. */
    isCold(now: number): boolean {
        return now - this.#startedAt < this.#spec.coldMilliseconds;
    }

    /** Starts a new, cold life. @returns Names of the generations that were lost. */
    restart(now: number): string[] {
        const lost = [...this.#running, ...this.#waiting].map(sequence => sequence.request.id);
        this.#running = [];
        this.#waiting = [];
        this.#cachedPrefixes = [];
        this.#startedAt = now;
        this.#incarnationNumber += 1;
        return lost;
    }

    /** Takes a request. @returns Names of generations that were lost because the engine fell over. */
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
        if (this.isCold(now) && this.held > this.#spec.coldConcurrent) {
            this.#crashes += 1;
            return this.restart(now);
        }
        return [];
    }

    /** Forgets a generation. @returns False where the engine does not hold it. */
    cancelRequest(id: string): boolean {
        const before = this.held;
        this.#running = this.#running.filter(sequence => sequence.request.id !== id);
        this.#waiting = this.#waiting.filter(sequence => sequence.request.id !== id);
        return this.held < before;
    }

    /** Runs one step. @returns What happened, and how long the step took in milliseconds; 0 where the engine is idle. */
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

    /** Gives the load as it is now; whoever publishes it adds the lag. */
    getReport(now: number): LoadReport {
        return {
            incarnation: this.incarnation,
            isCold: this.isCold(now),
            isLeaving: false,
            running: this.held,
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

    #scheduleWaiting(): void {
        let used = this.#countMemoryTokens();
        const capacity = this.#spec.memoryTokens * (1 - ADMISSION_RESERVE_SHARE);
        while (this.#running.length < this.#spec.maxBatch) {
            const [next] = this.#waiting;
            const need = next === undefined ? 0 : next.request.promptTokens + next.produced;
            if (next === undefined || (used + need > capacity && this.#running.length > 0)) {
                return;
            }
            this.#waiting.shift();
            next.memoryTokens = need;
            used += need;
            this.#running.push(next);
        }
    }

    /** Evicts the least urgent, youngest sequences until the next tokens fit. */
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

    #runPrefill(): number {
        let budget = this.#spec.prefillChunk;
        for (const sequence of this.#running) {
            const taken = Math.min(budget, sequence.pendingPrefillTokens);
            sequence.pendingPrefillTokens -= taken;
            budget -= taken;
            if (taken > 0 && sequence.pendingPrefillTokens === 0) {
                this.#recordPrefix(sequence.request.prefix);
            }
        }
        return this.#spec.prefillChunk - budget;
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
