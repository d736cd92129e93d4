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
    toPrefill: number;
    held: number;
    order: number;
}

/** Share of a cached prompt that need not be taken in again. */
const CACHED_SHARE = 0.7;
/** Share of memory kept free when a waiting sequence is taken in. */
const ADMIT_RESERVE = 0.01;

/** Decodes batches step by step. */
export class EngineCore {
    readonly #spec: EngineSpec;
    #running: Sequence[] = [];
    #waiting: Sequence[] = [];
    #prefixes: string[] = [];
    #bornAt: number;
    #life = 1;
    #order = 0;
    #preemptions = 0;
    #lastStep = 0;
    #falls = 0;

    /** @param now Time of the engine's start, in milliseconds. */
    constructor(spec: EngineSpec, now: number) {
        this.#spec = spec;
        this.#bornAt = now;
    }

    /** Times that the engine fell over because it was given too much while cold. */
    get falls(): number {
        return this.#falls;
    }

    get preemptions(): number {
        return this.#preemptions;
    }

    /** Requests that the engine holds. */
    get held(): number {
        return this.#running.length + this.#waiting.length;
    }

    get incarnation(): string {
        return `life-${this.#life}`;
    }

    /** Tells whether the engine is cold. */
    isCold(now: number): boolean {
        return now - this.#bornAt < this.#spec.coldMilliseconds;
    }

    /** Starts a new, cold life. @returns Names of the generations that were lost. */
    startLife(now: number): string[] {
        const lost = [...this.#running, ...this.#waiting].map(sequence => sequence.request.id);
        this.#running = [];
        this.#waiting = [];
        this.#prefixes = [];
        this.#bornAt = now;
        this.#life += 1;
        return lost;
    }

    /** Takes a request. @returns Names of generations that were lost because the engine fell over. */
    handleRequest(request: EngineRequest, now: number): string[] {
        this.#order += 1;
        const toPrefill = this.#computePrefill(request);
        this.#waiting.push({ request, produced: 0, toPrefill, held: 0, order: this.#order });
        this.#waiting.sort((a, b) => a.request.priority - b.request.priority || a.order - b.order);
        if (this.isCold(now) && this.held > this.#spec.coldConcurrent) {
            this.#falls += 1;
            return this.startLife(now);
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
        this.#takeWaiting();
        const events = this.#preemptExcess();
        const prefilled = this.#prefill();
        const decoding = this.#running.filter(sequence => sequence.toPrefill === 0);
        for (const sequence of decoding) {
            events.push(this.#decodeToken(sequence));
        }
        this.#running = this.#running.filter(sequence => sequence.produced < sequence.request.outputTokens);
        if (decoding.length === 0 && prefilled === 0) {
            this.#lastStep = 0;
            return { events, duration: 0 };
        }
        const { baseStepMilliseconds, sequenceStepMilliseconds, prefillMilliseconds } = this.#spec;
        this.#lastStep = baseStepMilliseconds + sequenceStepMilliseconds * decoding.length
            + prefillMilliseconds * prefilled;
        return { events, duration: this.#lastStep };
    }

    /** Gives the load as it is now; whoever publishes it adds the lag. */
    getReport(now: number): LoadReport {
        return {
            incarnation: this.incarnation,
            isCold: this.isCold(now),
            isLeaving: false,
            running: this.held,
            memoryUsed: this.#countMemory(),
            preemptions: this.#preemptions,
            stepMilliseconds: this.#lastStep,
        };
    }

    #computePrefill(request: EngineRequest): number {
        const isCached = this.#prefixes.includes(request.prefix);
        return Math.max(1, Math.round(request.promptTokens * (isCached ? 1 - CACHED_SHARE : 1)));
    }

    #countMemory(): number {
        return this.#running.reduce((sum, sequence) => sum + sequence.held, 0);
    }

    #takeWaiting(): void {
        let used = this.#countMemory();
        const capacity = this.#spec.memoryTokens * (1 - ADMIT_RESERVE);
        while (this.#running.length < this.#spec.maxBatch) {
            const [next] = this.#waiting;
            const need = next === undefined ? 0 : next.request.promptTokens + next.produced;
            if (next === undefined || (used + need > capacity && this.#running.length > 0)) {
                return;
            }
            this.#waiting.shift();
            next.held = need;
            used += need;
            this.#running.push(next);
        }
    }

    /** Evicts the least urgent, youngest sequences until the next tokens fit. */
    #preemptExcess(): EngineCoreEvent[] {
        const events: EngineCoreEvent[] = [];
        while (this.#running.length > 1 && this.#countMemory() + this.#running.length > this.#spec.memoryTokens) {
            this.#running.sort((a, b) => a.request.priority - b.request.priority || a.order - b.order);
            const victim = this.#running.pop();
            if (victim === undefined) {
                break;
            }
            victim.held = 0;
            victim.toPrefill = victim.request.promptTokens + victim.produced;
            this.#waiting.unshift(victim);
            this.#preemptions += 1;
            events.push({ kind: "preempted", id: victim.request.id });
        }
        return events;
    }

    #prefill(): number {
        let budget = this.#spec.prefillChunk;
        for (const sequence of this.#running) {
            const taken = Math.min(budget, sequence.toPrefill);
            sequence.toPrefill -= taken;
            budget -= taken;
            if (taken > 0 && sequence.toPrefill === 0) {
                this.#recordPrefix(sequence.request.prefix);
            }
        }
        return this.#spec.prefillChunk - budget;
    }

    #recordPrefix(prefix: string): void {
        this.#prefixes = [...this.#prefixes.filter(each => each !== prefix), prefix].slice(-this.#spec.cachedPrefixes);
    }

    #decodeToken(sequence: Sequence): EngineCoreEvent {
        const index = sequence.produced;
        sequence.produced += 1;
        sequence.held += 1;
        return {
            kind: "token",
            id: sequence.request.id,
            index,
            isLast: sequence.produced >= sequence.request.outputTokens,
        };
    }
}
