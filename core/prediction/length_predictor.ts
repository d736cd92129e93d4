/**
 * Learns output lengths per client account, kind of work and model.
 *
 * @module
 */
import { LENGTH_PROBABILITIES, type LengthDistribution } from "./length_distribution.ts";

/** What an output's length depends on. */
export interface LengthKey {
    /** Name of the client account. */
    account: string;
    /** Name of the kind of work. */
    kind: string;
    /** Name of the model. */
    model: string;
}

/** Options of a {@linkcode LengthPredictor}. */
export interface LengthPredictorOptions {
    /** Lengths, in tokens, assumed while nothing is known. Defaults to a heavy-tailed guess. */
    initial?: LengthDistribution;
    /** Observations a sketch needs before it is used alone. Defaults to 24. */
    minObservations?: number;
    /** Most sketches kept; the least recently used go first. Defaults to 4096. */
    maxSketches?: number;
}

const DEFAULT_INITIAL: LengthDistribution = [16, 64, 256, 768, 2048, 6144];
const DEFAULT_MIN_OBSERVATIONS = 24;
const DEFAULT_MAX_SKETCHES = 4096;
/** First step of a quantile estimate, as a share of its value. */
const FIRST_STEP = 1;
/** Smallest step of a quantile estimate; it lets old observations fade. */
const LAST_STEP = 0.08;

/** Tracks quantiles by stochastic steps in log space, so that old observations fade. */
class QuantileSketch {
    count = 0;
    readonly #lengths: number[];

    constructor(initial: LengthDistribution) {
        this.#lengths = [...initial];
    }

    observeLength(tokens: number): void {
        this.count += 1;
        const step = Math.max(LAST_STEP, FIRST_STEP / Math.sqrt(this.count));
        for (const [index, probability] of LENGTH_PROBABILITIES.entries()) {
            const current = this.#lengths[index] ?? 1;
            const direction = tokens > current ? probability : probability - 1;
            this.#lengths[index] = Math.max(1, current * Math.exp(4 * step * direction));
        }
        this.#lengths.sort((a, b) => a - b);
    }

    getLengths(): LengthDistribution {
        return this.#lengths;
    }
}

/** Predicts output lengths from those seen before, falling back to coarser keys. */
export class LengthPredictor {
    readonly #initial: LengthDistribution;
    readonly #minObservations: number;
    readonly #maxSketches: number;
    readonly #sketches = new Map<string, QuantileSketch>();

    constructor(options: LengthPredictorOptions = {}) {
        this.#initial = options.initial ?? DEFAULT_INITIAL;
        this.#minObservations = options.minObservations ?? DEFAULT_MIN_OBSERVATIONS;
        this.#maxSketches = options.maxSketches ?? DEFAULT_MAX_SKETCHES;
    }

    /** Records that an output under `key` ended after `tokens` tokens. */
    observeLength(key: LengthKey, tokens: number): void {
        for (const name of this.#listNames(key)) {
            const sketch = this.#takeSketch(name);
            sketch.observeLength(Math.max(1, tokens));
        }
    }

    /** Estimates the distribution of output lengths under `key`, in tokens. */
    estimateLengths(key: LengthKey): LengthDistribution {
        for (const name of this.#listNames(key)) {
            const sketch = this.#sketches.get(name);
            if (sketch !== undefined && sketch.count >= this.#minObservations) {
                return sketch.getLengths().map(Math.round);
            }
        }
        return this.#initial;
    }

    #listNames(key: LengthKey): string[] {
        return [`${key.account}|${key.kind}|${key.model}`, `${key.kind}|${key.model}`, key.model];
    }

    #takeSketch(name: string): QuantileSketch {
        const found = this.#sketches.get(name);
        const sketch = found ?? new QuantileSketch(this.#initial);
        this.#sketches.delete(name);
        this.#sketches.set(name, sketch);
        if (this.#sketches.size > this.#maxSketches) {
            const oldest = this.#sketches.keys().next().value;
            this.#sketches.delete(oldest ?? name);
        }
        return sketch;
    }
}
