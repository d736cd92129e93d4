/**
 * Counts attempts with a part of a prompt that have outlived the ends of targets under such attempts.
 *
 * Load pattern: each target that runs a prompt with a certain part crashes. Parts that many sound requests share are in
 * the same prompts, but most attempts with them go on at other targets.
 *
 * @module
 */

/** An attempt at a target. */
export interface PartAttempt {
    /** Time at which the attempt started, in milliseconds. */
    readonly startedAt: number;
    /** Time at which it ended; `undefined` while it runs. */
    endedAt: number | undefined;
    /** True if its target has ended under it. */
    hasCrashed: boolean;
}

/** Time from which an attempt counts as a survivor, in milliseconds. */
const SURVIVAL_MILLISECONDS = 1000;
/** Time for which attempts are remembered after their start, in milliseconds. */
const RETENTION_MILLISECONDS = 10_000;
/** Number of parts that are remembered, and of attempts with each. */
const MAX_PARTS = 4096;
const MAX_ATTEMPTS_PER_PART = 32;

/** Remembers the latest attempts, by the parts of their prompts. */
export class PartAttempts {
    /** The part whose latest attempt started first comes first. */
    readonly #byPart = new Map<string, PartAttempt[]>();

    /** Adds an attempt that starts now. */
    start(parts: readonly string[], now: number): PartAttempt {
        const attempt: PartAttempt = { startedAt: now, endedAt: undefined, hasCrashed: false };
        for (const part of parts) {
            const attempts = this.#byPart.get(part) ?? [];
            attempts.push(attempt);
            this.#byPart.delete(part);
            this.#byPart.set(part, attempts);
            if (attempts.length > MAX_ATTEMPTS_PER_PART) {
                attempts.shift();
            }
        }
        for (const [oldest, attempts] of this.#byPart) {
            const latestAt = attempts.at(-1)?.startedAt ?? Number.NEGATIVE_INFINITY;
            if (this.#byPart.size <= MAX_PARTS && now - latestAt <= RETENTION_MILLISECONDS) {
                break;
            }
            this.#byPart.delete(oldest);
        }
        return attempt;
    }

    /** Counts the attempts with a part that have started after `since` and whose targets live on some time later. */
    countSurvivors(part: string, { since, now }: { since: number; now: number; }): number {
        return (this.#byPart.get(part) ?? []).filter(({ startedAt, endedAt = now, hasCrashed }) =>
            !hasCrashed && startedAt > since && now - startedAt <= RETENTION_MILLISECONDS
            && endedAt - startedAt >= SURVIVAL_MILLISECONDS
        ).length;
    }
}
