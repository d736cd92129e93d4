/**
 * Learns how long a decode step takes at each engine, from the events of its streams.
 *
 * Load pattern: engines of one service differ in speed by a factor of two and more. At a slow one, the gaps between the
 * events of a stream exceed the caller's objective as soon as its machine turns slower for a moment. Each instance relays
 * a few streams only, so the instances tell each other what they have measured.
 *
 * @module
 */
import type { TargetStart } from "./serving_types.ts";

/** One start of an engine. */
export interface EngineStart extends TargetStart {
    /** Service that the engine belongs to. */
    service: string;
}

/** Mean duration of the events of one stream over a window. */
export interface EventSample {
    /** Time per token, in milliseconds. */
    millisecondsPerToken: number;
    /** Requests that the engine ran meanwhile. */
    requests: number;
    /** Pace that the engine has stated for its machine; 1 if unknown. */
    pace: number;
    /** Number of events. Defaults to those of a whole window. */
    events?: number;
}

/**
 * What an instance has measured since it last told its peers, by the engine's identifier: a number that stands for the
 * engine's start, the duration of a step in percent of the usual one, and the weight of the evidence.
 */
export type ToldSpeeds = Record<string, [start: number, percent: number, weight: number]>;

/** Weighted sum of the measured durations of a step, as multiples of the usual one. */
interface Evidence {
    sum: number;
    weight: number;
}

interface SpeedRecord {
    service: string;
    startedAt: number;
    /** Evidence of this instance and its peers. */
    total: Evidence;
    /** Evidence of this instance that its peers have not been told of. */
    untold: Evidence;
    /** Shortest step that was measured while the machine was not slow; nothing makes a step shorter than it is. */
    shortestFactor: number;
}

/** Duration of a step without requests, in milliseconds. */
const STEP_MILLISECONDS = 7;
/** Additional duration of a step for each running request, in milliseconds. */
const STEP_MILLISECONDS_PER_REQUEST = 0.12;
/** Events over which one sample is measured; a shorter one, of a stream that has ended, has a smaller weight. */
const EVENTS_PER_SAMPLE = 8;
/**
 * Weight of a sample above the estimate, relative to one below it: slow moments of a machine and prompts that are read
 * beside the stream lengthen events, and nothing shortens them.
 */
const LONG_SAMPLE_WEIGHT = 0.2;
/** Largest sample, as a multiple of the estimate. */
const MAX_SAMPLE_RATIO = 2;
/** Bounds of the duration of a step, as a multiple of the usual one. */
const MIN_FACTOR = 0.1;
const MAX_FACTOR = 10;
/** Weight of the evidence on one engine beyond which older evidence counts less. */
const MAX_WEIGHT = 60;
/** Weight of the assumption that an engine is as fast as the service's median. */
const PRIOR_WEIGHT = 2;
/** Weight of the evidence with which an engine counts for the median. */
const MIN_MEDIAN_WEIGHT = 2;
/** Largest stated pace of a machine that is not slow. */
const USUAL_PACE = 1.1;
/** Factor by which a usual step may be longer than the shortest one that was measured. */
const SHORTEST_STEP_MARGIN = 1.1;
/**
 * Share of the service's engines that are no slower than a new engine is assumed to be where a slow one would do most
 * harm: a new engine is idle, and would otherwise get the next long streams although it may be slow.
 */
const CAUTIOUS_QUANTILE = 0.8;
/** Engines with evidence from which that share is computed. */
const MIN_QUANTILE_ENGINES = 4;
/** Interval at which the median is computed, and at which peers are told, in milliseconds. */
const MEDIAN_INTERVAL_MILLISECONDS = 1000;
const TELLING_INTERVAL_MILLISECONDS = 1000;
/** Weight of the evidence from which peers are told of it. */
const MIN_TOLD_WEIGHT = 0.25;
/** Number of engines in a message, which bounds its size. */
const MAX_TOLD_ENGINES = 24;
const PERCENT = 100;
/** Number of the values that stand for an engine's start in messages. */
const START_VALUES = 65_536;

/** Computes the usual duration of a decode step beside a number of requests, in milliseconds. */
export function computeStepMilliseconds(requests: number): number {
    return STEP_MILLISECONDS + STEP_MILLISECONDS_PER_REQUEST * requests;
}

/** Measures the events of one stream; holds two numbers and allocates nothing for an event. */
export class EventWindow {
    #startedAt = Number.NaN;
    #events = 0;

    /**
     * Adds events that have arrived together.
     *
     * @returns The time per event in milliseconds if the window is complete, and 0 otherwise.
     */
    addEvents(count: number, now: number): number {
        if (Number.isNaN(this.#startedAt)) {
            this.#startedAt = now;
            return 0;
        }
        this.#events += count;
        if (this.#events < EVENTS_PER_SAMPLE) {
            return 0;
        }
        const milliseconds = (now - this.#startedAt) / this.#events;
        this.#startedAt = now;
        this.#events = 0;
        return milliseconds;
    }

    /**
     * Ends the window with its stream.
     *
     * @returns The number of its events, and the time per event in milliseconds; `undefined` if it holds none.
     */
    finishWindow(now: number): { events: number; milliseconds: number; } | undefined {
        const events = this.#events;
        const milliseconds = (now - this.#startedAt) / events;
        this.restart();
        return events === 0 ? undefined : { events, milliseconds };
    }

    /** Discards the window: the time since its start is not the engine's, as the caller has not read. */
    restart(): void {
        this.#startedAt = Number.NaN;
        this.#events = 0;
    }
}

/** Keeps the duration of a decode step at each engine, as a multiple of the usual one. */
export class EngineSpeeds {
    readonly #records = new Map<string, SpeedRecord>();
    #medians = new Map<string, number>();
    #cautiousFactors = new Map<string, number>();
    #mediansComputedAt = Number.NEGATIVE_INFINITY;
    #toldAt = Number.NEGATIVE_INFINITY;

    /** Records a sample of the events that an engine has sent to this instance. */
    recordSample(
        engine: EngineStart,
        { millisecondsPerToken, requests, pace, events = EVENTS_PER_SAMPLE }: EventSample,
    ): void {
        const measured = millisecondsPerToken / computeStepMilliseconds(requests) / pace;
        if (!(measured >= MIN_FACTOR && measured <= MAX_FACTOR)) {
            return;
        }
        const record = this.#getRecord(engine);
        const { total, untold } = record;
        const estimate = total.weight > 0 ? total.sum / total.weight : measured;
        const weight = (measured > estimate ? LONG_SAMPLE_WEIGHT : 1) * events / EVENTS_PER_SAMPLE;
        const factor = Math.min(measured, estimate * MAX_SAMPLE_RATIO);
        if (pace <= USUAL_PACE) {
            record.shortestFactor = Math.min(record.shortestFactor, measured);
        }
        addEvidence(total, factor, weight);
        addEvidence(untold, factor, weight);
    }

    /** Merges what a peer has measured at an engine; evidence on another start of it is ignored. */
    applyTold(engine: EngineStart, [start, percent, weight]: ToldSpeeds[string]): void {
        const factor = percent / PERCENT;
        if (start !== getStartValue(engine) || !(weight > 0) || !(factor >= MIN_FACTOR && factor <= MAX_FACTOR)) {
            return;
        }
        const record = this.#getRecord(engine);
        record.shortestFactor = Math.min(record.shortestFactor, factor);
        addEvidence(record.total, factor, Math.min(weight, MAX_WEIGHT));
    }

    /** Takes what peers have not been told of, at most once a second; `undefined` if there is nothing. */
    takeTold(now: number): ToldSpeeds | undefined {
        if (now - this.#toldAt < TELLING_INTERVAL_MILLISECONDS) {
            return undefined;
        }
        const told: ToldSpeeds = {};
        let count = 0;
        for (const [id, { startedAt, untold }] of this.#records) {
            if (untold.weight >= MIN_TOLD_WEIGHT && count < MAX_TOLD_ENGINES) {
                const percent = Math.round(PERCENT * untold.sum / untold.weight);
                told[id] = [getStartValue({ id, startedAt }), percent, Number(untold.weight.toFixed(2))];
                untold.sum = 0;
                untold.weight = 0;
                count += 1;
            }
        }
        if (count === 0) {
            return undefined;
        }
        this.#toldAt = now;
        return told;
    }

    /**
     * Estimates the duration of a step at an engine as a multiple of the usual one; with little evidence, it is close to
     * the median of the service's engines.
     */
    estimateStepFactor(engine: EngineStart, now: number): number {
        this.#updateMedians(now);
        return this.#estimateFactor(engine, this.#medians.get(engine.service) ?? 1);
    }

    /** Estimates the same; with little evidence, it is close to that of the service's slower engines. */
    estimateCautiousFactor(engine: EngineStart, now: number): number {
        this.#updateMedians(now);
        const prior = this.#cautiousFactors.get(engine.service) ?? this.#medians.get(engine.service) ?? 1;
        const record = this.#records.get(engine.id);
        const isSameStart = record?.startedAt === engine.startedAt;
        return this.#estimateFactor(
            engine,
            isSameStart ? Math.min(prior, SHORTEST_STEP_MARGIN * record.shortestFactor) : prior,
        );
    }

    #estimateFactor(engine: EngineStart, prior: number): number {
        const record = this.#records.get(engine.id);
        if (record === undefined || record.startedAt !== engine.startedAt) {
            return prior;
        }
        const { sum, weight } = record.total;
        return (sum + prior * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT);
    }

    /** Counts the engines with enough evidence. */
    countKnown(): number {
        let count = 0;
        for (const { total } of this.#records.values()) {
            count += total.weight >= MIN_MEDIAN_WEIGHT ? 1 : 0;
        }
        return count;
    }

    /** Removes what is known of an engine that is gone. */
    removeTarget(engine: string): void {
        this.#records.delete(engine);
    }

    #getRecord({ id, service, startedAt }: EngineStart): SpeedRecord {
        const known = this.#records.get(id);
        if (known?.startedAt === startedAt) {
            return known;
        }
        const record = {
            service,
            startedAt,
            total: { sum: 0, weight: 0 },
            untold: { sum: 0, weight: 0 },
            shortestFactor: Infinity,
        };
        this.#records.set(id, record);
        return record;
    }

    #updateMedians(now: number): void {
        if (now - this.#mediansComputedAt < MEDIAN_INTERVAL_MILLISECONDS) {
            return;
        }
        this.#mediansComputedAt = now;
        const factors = new Map<string, number[]>();
        for (const { service, total } of this.#records.values()) {
            if (total.weight >= MIN_MEDIAN_WEIGHT) {
                const list = factors.get(service) ?? [];
                list.push(total.sum / total.weight);
                factors.set(service, list);
            }
        }
        this.#medians = new Map();
        this.#cautiousFactors = new Map();
        for (const [service, list] of factors) {
            list.sort((a, b) => a - b);
            this.#medians.set(service, list[Math.floor(list.length / 2)] ?? 1);
            const cautious = list[Math.floor(list.length * CAUTIOUS_QUANTILE)];
            if (list.length >= MIN_QUANTILE_ENGINES && cautious !== undefined) {
                this.#cautiousFactors.set(service, cautious);
            }
        }
    }
}

/** Adds evidence; beyond the largest weight, older evidence is reduced. */
function addEvidence(evidence: Evidence, factor: number, weight: number): void {
    evidence.sum += factor * weight;
    evidence.weight += weight;
    if (evidence.weight > MAX_WEIGHT) {
        evidence.sum *= MAX_WEIGHT / evidence.weight;
        evidence.weight = MAX_WEIGHT;
    }
}

/** Gets the number that stands for an engine's start in messages. */
function getStartValue({ startedAt }: TargetStart): number {
    return startedAt % START_VALUES;
}
