/**
 * An abort signal that follows other signals and a timeout.
 *
 * `AbortSignal.any` refers to its sources weakly. A timeout of `AbortSignal.timeout` that only such a combination uses is
 * removed by the next garbage collection, and the combination is never aborted. Here, timer and listeners hold
 * everything until the signal is closed.
 *
 * @module
 */

/** Options of a {@linkcode LinkedSignal}. */
export interface LinkedSignalOptions {
    /** Time after which the signal is aborted with a `TimeoutError`, in milliseconds. Defaults to none. */
    timeoutMilliseconds?: number;
}

/** Follows source signals and a timeout, until it is closed. */
export class LinkedSignal {
    readonly #controller = new AbortController();
    readonly #sources: readonly AbortSignal[];
    readonly #timer: NodeJS.Timeout | undefined;
    readonly #abort = ({ target }: Event): void => {
        this.close();
        this.#controller.abort((target as AbortSignal).reason);
    };
    #hasTimedOut = false;

    /** @param sources Signals to follow. */
    constructor(sources: readonly AbortSignal[], { timeoutMilliseconds }: LinkedSignalOptions = {}) {
        this.#sources = sources;
        const aborted = sources.find(source => source.aborted);
        if (aborted !== undefined) {
            this.#controller.abort(aborted.reason);
            return;
        }
        for (const source of sources) {
            source.addEventListener("abort", this.#abort, { once: true });
        }
        if (timeoutMilliseconds !== undefined) {
            this.#timer = setTimeout(() => {
                this.#hasTimedOut = true;
                this.close();
                this.#controller.abort(new DOMException("The operation has taken too long.", "TimeoutError"));
            }, timeoutMilliseconds);
            this.#timer.unref();
        }
    }

    /** Aborted with the reason of the first source that was aborted, or at the timeout. */
    get signal(): AbortSignal {
        return this.#controller.signal;
    }

    /** True if the timeout has aborted the signal. */
    get hasTimedOut(): boolean {
        return this.#hasTimedOut;
    }

    /** Stops following the sources and the timeout; further calls have no effect. */
    close(): void {
        clearTimeout(this.#timer);
        for (const source of this.#sources) {
            source.removeEventListener("abort", this.#abort);
        }
    }
}
