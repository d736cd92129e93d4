/**
 * The state of one response whose tokens are relayed from one generation.
 *
 * If the connection to the target fails, the stream is resumed over a new one. Token indices show which tokens are
 * duplicates and whether any are missing.
 *
 * @module
 */

/** How to handle a received token. */
export const TokenDecision = {
    /** The token is the next one: deliver it to the caller. */
    deliver: "deliver",
    /** The token was delivered before: drop it. */
    duplicate: "duplicate",
    /** Tokens are missing before this one: resume from the next one. */
    gap: "gap",
    /** The token belongs to another generation: drop the connection and resume. */
    foreign: "foreign",
} as const;

/** One of the values of {@linkcode TokenDecision}. */
export type TokenDecision = (typeof TokenDecision)[keyof typeof TokenDecision];

/** How to continue after the stream was interrupted: the connection failed, or no data arrived in time. */
export const RecoveryDecision = {
    /** Request the same generation from the same target again, starting at the next token. */
    resume: "resume",
    /** Start a new generation, because no token has been sent to the caller. */
    restart: "restart",
    /** End the response with an error, because tokens of different generations must not be mixed in one response. */
    fail: "fail",
} as const;

/** One of the values of {@linkcode RecoveryDecision}. */
export type RecoveryDecision = (typeof RecoveryDecision)[keyof typeof RecoveryDecision];

/** Options of a {@linkcode RelayState}. */
export interface RelayStateOptions {
    /** True if the response is buffered and delivered whole. Defaults to false. */
    isBuffered?: boolean;
    /** Index of the first token to deliver. Defaults to 0. */
    firstIndex?: number;
    /**
     * Maximum number of consecutive resumptions without a new token, after which the generation is treated as lost.
     * Defaults to 5.
     */
    maxConsecutiveResumptions?: number;
}

/** Tracks which token a response needs next, so that it contains each token of one generation once and in order. */
export class RelayState {
    readonly #isBuffered: boolean;
    readonly #maxConsecutiveResumptions: number;
    readonly #generation: string;
    #nextIndex: number;
    #consecutiveResumptions = 0;

    /** @param generation Identifier of the generation. */
    constructor(generation: string, options: RelayStateOptions = {}) {
        this.#generation = generation;
        this.#isBuffered = options.isBuffered ?? false;
        this.#nextIndex = options.firstIndex ?? 0;
        this.#maxConsecutiveResumptions = options.maxConsecutiveResumptions ?? 5;
    }

    get generation(): string {
        return this.#generation;
    }

    /** Index of the next token to deliver. */
    get nextIndex(): number {
        return this.#nextIndex;
    }

    /** True once a token has been sent to the caller; always false for a buffered response. */
    get hasReachedCaller(): boolean {
        return !this.#isBuffered && this.#nextIndex > 0;
    }

    /** Decides how to handle token `index` of `generation`. */
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
        this.#consecutiveResumptions = 0;
        return TokenDecision.deliver;
    }

    /** Decides how to continue after the connection failed or no data arrived in time. */
    handleInterruption(): RecoveryDecision {
        this.#consecutiveResumptions += 1;
        return this.#consecutiveResumptions <= this.#maxConsecutiveResumptions
            ? RecoveryDecision.resume
            : this.handleLoss();
    }

    /** Decides how to continue after the target has lost the generation. */
    handleLoss(): RecoveryDecision {
        return this.hasReachedCaller ? RecoveryDecision.fail : RecoveryDecision.restart;
    }
}
