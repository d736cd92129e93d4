/**
 * Learns the distribution of output lengths per client account, kind and model.
 *
 * @module
 */
import { LENGTH_PROBABILITIES, type LengthDistribution } from "./length_distribution.ts";

/** Properties of a request that are used to predict the output length. */
export interface LengthKey {
    /** Name of the client account. */
    account: string;
    /** Name of the request's kind. */
    kind: string;
    /** Name of the model. */
    model: string;
}

/** Options of a {@linkcode LengthPredictor}. */
export interface LengthPredictorOptions {
    /**
     * Distribution, in tokens, that is assumed until there are enough observations. Defaults to a heavy-tailed
     * distribution with a median of 256 tokens.
     */
    initialLengths?: LengthDistribution;
    /** Number of observations that a quantile sketch needs before it is used for predictions. Defaults to 24. */
    minObservations?: number;
    /** Maximum number of quantile sketches; the least recently updated one is evicted first. Defaults to 4096. */
    maxSketches?: number;
}

const DEFAULT_INITIAL_LENGTHS_TOKENS: LengthDistribution = [16, 64, 256, 768, 2048, 6144];
const DEFAULT_MIN_OBSERVATIONS = 24;
const DEFAULT_MAX_SKETCHES = 4096;
/** Initial step size of the quantile estimates, in log space. */
const INITIAL_STEP = 1;
/** Minimum step size of the quantile estimates, which keeps recent observations more important than old ones. */
const MIN_STEP = 0.08;

/** Estimates quantiles by stochastic approximation in log space, so that old observations lose weight over time. */
class QuantileSketch {
    count = 0;
    readonly #lengths: number[];

    constructor(initialLengths: LengthDistribution) {
        this.#lengths = [...initialLengths];
    }

    observeLength(tokens: number): void {
        this.count += 1;
        const step = Math.max(MIN_STEP, INITIAL_STEP / Math.sqrt(this.count));
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

/** Predicts output lengths from past ones, with a less specific key while there are too few observations. */
export class LengthPredictor {
    readonly #initialLengths: LengthDistribution;
    readonly #minObservations: number;
    readonly #maxSketches: number;
    readonly #sketches = new Map<string, QuantileSketch>();

    constructor(options: LengthPredictorOptions = {}) {
        this.#initialLengths = options.initialLengths ?? DEFAULT_INITIAL_LENGTHS_TOKENS;
        this.#minObservations = options.minObservations ?? DEFAULT_MIN_OBSERVATIONS;
        this.#maxSketches = options.maxSketches ?? DEFAULT_MAX_SKETCHES;
    }

    /** Records the length of a complete output for `key`. */
    observeLength(key: LengthKey, tokens: number): void {
        for (const name of this.#listSketchNames(key)) {
            const sketch = this.#getOrCreateSketch(name);
            sketch.observeLength(Math.max(1, tokens));
        }
    }

    /** Estimates the distribution of output lengths for `key`, in tokens. */
    estimateLengths(key: LengthKey): LengthDistribution {
        for (const name of this.#listSketchNames(key)) {
            const sketch = this.#sketches.get(name);
            if (sketch !== undefined && sketch.count >= this.#minObservations) {
                return sketch.getLengths().map(Math.round);
            }
        }
        return this.#initialLengths;
    }

    /** Lists the names of the sketches for `key`, the most specific first. */
    #listSketchNames(key: LengthKey): string[] {
        return [`${key.account}|${key.kind}|${key.model}`, `${key.kind}|${key.model}`, key.model];
    }

    /** Gets the sketch with `name`, or creates it, and marks it as the most recently used. */
    #getOrCreateSketch(name: string): QuantileSketch {
        const found = this.#sketches.get(name);
        const sketch = found ?? new QuantileSketch(this.#initialLengths);
        this.#sketches.delete(name);
        this.#sketches.set(name, sketch);
        if (this.#sketches.size > this.#maxSketches) {
            const oldest = this.#sketches.keys().next().value;
            this.#sketches.delete(oldest ?? name);
        }
        return sketch;
    }
}
