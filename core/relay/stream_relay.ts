/**
 * The state of one answer that is relayed from one generation.
 *
 * @module
 */

/** What the relay does with a token. */
export const TokenDecision = {
    /** The token is the next one: pass it on. */
    deliver: "deliver",
    /** The token was passed on before: drop it. */
    duplicate: "duplicate",
    /** Tokens are missing before this one: resume from the next one. */
    gap: "gap",
    /** The token belongs to another generation: drop the connection and resume. */
    foreign: "foreign",
} as const;

/** One of the values of {@linkcode TokenDecision}. */
export type TokenDecision = (typeof TokenDecision)[keyof typeof TokenDecision];

/** What follows when a stream broke or went silent. */
export const BreakDecision = {
    /** Ask the same target for the same generation from the next token. */
    resume: "resume",
    /** Start a new generation, because no token reached the caller. */
    restart: "restart",
    /** End the answer with an error, because a new generation may not be spliced in. */
    fail: "fail",
} as const;

/** One of the values of {@linkcode BreakDecision}. */
export type BreakDecision = (typeof BreakDecision)[keyof typeof BreakDecision];

/** Options of a {@linkcode StreamRelay}. */
export interface StreamRelayOptions {
    /** True where the answer is buffered and delivered whole. Defaults to false. */
    isWhole?: boolean;
    /** Index of the first token wanted. Defaults to 0. */
    firstIndex?: number;
    /** Resumes without a new token before the generation counts as lost. Defaults to 5. */
    maxResumes?: number;
}

/** Keeps an answer to one generation, whatever its connections do. */
export class StreamRelay {
    readonly #isWhole: boolean;
    readonly #maxResumes: number;
    readonly #generation: string;
    #nextIndex: number;
    #resumes = 0;

    /** @param generation Name of the generation. */
    constructor(generation: string, options: StreamRelayOptions = {}) {
        this.#generation = generation;
        this.#isWhole = options.isWhole ?? false;
        this.#nextIndex = options.firstIndex ?? 0;
        this.#maxResumes = options.maxResumes ?? 5;
    }

    get generation(): string {
        return this.#generation;
    }

    /** Index of the token that is wanted next. */
    get nextIndex(): number {
        return this.#nextIndex;
    }

    /** True once a token was passed on to the caller. */
    get hasReachedCaller(): boolean {
        return !this.#isWhole && this.#nextIndex > 0;
    }

    /** Decides what to do with token `index` of `generation`. */
    handleToken(generation: string, index: number): TokenDecision {
        if (generation !== this.#generation) {
            return TokenDecision.foreign;
        }
        if (index < this.#nextIndex) {
            return TokenDecision.duplicate;
        }
        if (index > this.#nextIndex) {
            return TokenDecision.gap;
        }
        this.#nextIndex += 1;
        this.#resumes = 0;
        return TokenDecision.deliver;
    }

    /** Decides what follows when the connection broke or went silent. */
    handleBreak(): BreakDecision {
        this.#resumes += 1;
        return this.#resumes <= this.#maxResumes ? BreakDecision.resume : this.handleLoss();
    }

    /** Decides what follows when the target has lost the generation. */
    handleLoss(): BreakDecision {
        return this.hasReachedCaller ? BreakDecision.fail : BreakDecision.restart;
    }
}
