/**
 * Decides when an instance finds out whether it reaches any target, and whether it is partitioned from all of them.
 *
 * Load pattern: some instances lose their links to all targets for seconds, while callers, the store and the other
 * instances still reach them. Connections are refused, are reset, hang, or live on while new ones are refused. What an
 * attempt shows is slow or ambiguous: a sound target may be silent for a second, and a refused connection may mean that
 * its target has ended. New connections to a few targets at once show it within a fraction of a second. When the links are
 * back, all requests at once would fall on cold connections: a share of them that grows in steps goes to targets again.
 *
 * @module
 */

/** A request that a target has not answered yet; times are on the monotonic clock in milliseconds. */
export interface WaitingRequest {
    /** Identifier of the target. */
    targetId: string;
    /** Time at which the request was sent. */
    sentAt: number;
}

/** Number of targets whose failures or silence are needed for a doubt. */
const MIN_SUSPECT_TARGETS = 2;
/** Time for which a failed connection counts, in milliseconds. */
const FAILURE_RETENTION_MILLISECONDS = 1000;
/** Silence of all targets that have requests to answer, from which reachability is in doubt, in milliseconds. */
const SILENCE_MILLISECONDS = 500;
/** Minimum interval between two checks, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 500;
/** Number of checks in a row that have to reach a target for a partition to have ended. */
const CHECKS_TO_RECOVER = 2;
/** Time after a partition in which all requests go to targets again, in milliseconds, and the number of steps. */
const RETURN_MILLISECONDS = 2000;
const RETURN_STEPS = 8;

/** Tracks whether an instance reaches any target. */
export class TargetReachability {
    /** Time of the latest failed connection, by target. */
    readonly #failures = new Map<string, number>();
    #lastDataAt = Number.NEGATIVE_INFINITY;
    #checkedAt = Number.NEGATIVE_INFINITY;
    #isPartitioned = false;
    #successes = 0;
    #regainedAt = Number.NEGATIVE_INFINITY;

    /** True while this instance reaches no target. */
    get isPartitioned(): boolean {
        return this.#isPartitioned;
    }

    /** Records that data arrived from a target. */
    recordData(now: number): void {
        this.#lastDataAt = now;
    }

    /** Records that a target has accepted no connection. */
    recordConnectFailure(targetId: string, now: number): void {
        this.#failures.set(targetId, now);
    }

    /**
     * Decides whether a request goes to a target, and not through another instance.
     *
     * After a partition the share of these requests grows to all in steps; if connections to several targets fail again, it
     * is none until a check has shown whether the partition goes on.
     *
     * @param random Random number from 0 (inclusive) to 1 (exclusive).
     */
    decideDirect(now: number, random: number): boolean {
        const sinceRegained = now - this.#regainedAt;
        if (this.#isPartitioned || sinceRegained < RETURN_MILLISECONDS && this.#hasRecentFailures(now)) {
            return false;
        }
        const step = Math.floor(sinceRegained / RETURN_MILLISECONDS * RETURN_STEPS) + 1;
        return random < step / RETURN_STEPS;
    }

    /** Decides whether to check now whether any target accepts a connection. */
    decideCheck(waiting: readonly WaitingRequest[], now: number): boolean {
        if (now - this.#checkedAt < CHECK_INTERVAL_MILLISECONDS) {
            return false;
        }
        return this.#isPartitioned || this.#hasRecentFailures(now) || this.#isSilent(waiting, now);
    }

    /** Records the result of a check; returns whether the state has changed. */
    recordCheck(hasReachedTarget: boolean, now: number): boolean {
        const wasPartitioned = this.#isPartitioned;
        this.#checkedAt = now;
        this.#successes = hasReachedTarget ? this.#successes + 1 : 0;
        if (!hasReachedTarget) {
            this.#isPartitioned = true;
        }
        else if (this.#successes >= CHECKS_TO_RECOVER) {
            this.#regainedAt = this.#isPartitioned ? now : this.#regainedAt;
            this.#isPartitioned = false;
        }
        this.#failures.clear();
        return wasPartitioned !== this.#isPartitioned;
    }

    #hasRecentFailures(now: number): boolean {
        const recent = [...this.#failures.values()].filter(time => now - time <= FAILURE_RETENTION_MILLISECONDS);
        return recent.length >= MIN_SUSPECT_TARGETS;
    }

    #isSilent(waiting: readonly WaitingRequest[], now: number): boolean {
        const overdue = waiting.filter(({ sentAt }) => now - sentAt >= SILENCE_MILLISECONDS);
        return now - this.#lastDataAt >= SILENCE_MILLISECONDS
            && new Set(overdue.map(({ targetId }) => targetId)).size >= MIN_SUSPECT_TARGETS;
    }
}
