/**
 * Remembers which target starts have ended under requests with a part, and how many independent ends these are.
 *
 * Load pattern: targets may end together for a cause of their own, and all requests that they run are lost with them,
 * some of which have parts in common.
 *
 * @module
 */
import { removeOldest } from "./remove_oldest.ts";

/** A target start that has ended under a request with a part. Times are in milliseconds. */
export interface CrashObservation {
    /** The part, or the fingerprint of the request. */
    part: string;
    /** Index of the part in the prompt. */
    position: number;
    /** Identifier of the target. */
    target: string;
    /** Start time of the target, as far as it was known. */
    startedAt: number;
    /** Number of earlier ends of the target that are known with the same start time. */
    repetition: number;
    /** Time of the end. */
    at: number;
    /** Longest time for which a request with the part had been at the target. */
    runMilliseconds: number;
    /** True if this instance has observed the end itself. */
    isOwn: boolean;
}

/** Time within which ends are remembered, in milliseconds. */
export const CRASH_WINDOW_MILLISECONDS = 60_000;
/** Number of parts that are remembered, and of ends for each. */
const MAX_PARTS = 2048;
const MAX_OBSERVATIONS_PER_PART = 64;
/** Number of target starts whose end is remembered. */
const MAX_ENDED_STARTS = 512;
/** Time within which ends may have one cause in common, in milliseconds: instances learn of one end at different times. */
const COINCIDENCE_MILLISECONDS = 100;
/** Run time up to which a request was just sent when its target ended. */
const BRIEF_RUN_MILLISECONDS = 40;
/** Time that a peer's message may have taken, by which the ends that it tells of appear to be later. */
const TRANSIT_MILLISECONDS = 60;
/** Shortest time after an end from which requests are taken to be at a new start, in milliseconds. */
const MIN_RESTART_MILLISECONDS = 500;

/** Remembers ends of target starts, by part. */
export class CrashObservations {
    /** The part whose latest end was added first comes first. */
    readonly #byPart = new Map<string, CrashObservation[]>();
    /** Time of the latest known end, by target start. */
    readonly #endTimes = new Map<string, number>();

    /** Adds an observation, or merges it with what is known of the same end; returns true if the end is new. */
    add(observation: CrashObservation): boolean {
        const { part, runMilliseconds, isOwn, at } = observation;
        const key = formatStart({ ...observation, repetition: 0 });
        const latestAt = Math.max(at, this.#endTimes.get(key) ?? at);
        this.#endTimes.delete(key);
        this.#endTimes.set(key, latestAt);
        removeOldest(this.#endTimes, MAX_ENDED_STARTS);
        const known = this.#byPart.get(part) ?? [];
        const start = formatStart(observation);
        const same = known.find(other => formatStart(other) === start);
        if (same !== undefined) {
            same.runMilliseconds = Math.max(same.runMilliseconds, runMilliseconds);
            same.isOwn ||= isOwn;
            return false;
        }
        known.push({ ...observation });
        this.#byPart.delete(part);
        this.#byPart.set(part, known.slice(-MAX_OBSERVATIONS_PER_PART));
        removeOldest(this.#byPart, MAX_PARTS);
        return true;
    }

    /**
     * Finds the number of earlier ends with the same start time, for an end under an attempt that was sent at `sentAt`: a
     * target that was sent requests after its end has started again, even if its new start is not known yet.
     */
    countRepetitions(
        { part, target, startedAt }: Pick<CrashObservation, "part" | "target" | "startedAt">,
        sentAt: number,
    ): number {
        const known = this.list(part).filter(other => other.target === target && other.startedAt === startedAt);
        const earlier = known.filter(({ at }) => sentAt >= at + MIN_RESTART_MILLISECONDS);
        return Math.max(0, ...earlier.map(({ repetition }) => repetition + 1));
    }

    /** Finds the time of the latest known end of a target start, under whatever part. */
    findEnd(start: Pick<CrashObservation, "target" | "startedAt">): number | undefined {
        return this.#endTimes.get(formatStart({ ...start, repetition: 0 }));
    }

    /** Lists what is known of a part. */
    list(part: string): readonly CrashObservation[] {
        return this.#byPart.get(part) ?? [];
    }

    /** Lists the parts, those under which most target starts have ended first. */
    listParts(): string[] {
        return [...this.#byPart].sort(([, first], [, second]) => second.length - first.length).map(([part]) => part);
    }

    /** Forgets ends that are older than the window. */
    expire(now: number): void {
        for (const [part, observations] of this.#byPart) {
            const recent = observations.filter(({ at }) => now - at <= CRASH_WINDOW_MILLISECONDS);
            if (recent.length === 0) {
                this.#byPart.delete(part);
            }
            else if (recent.length < observations.length) {
                this.#byPart.set(part, recent);
            }
        }
    }
}

/** Formats the name of an end of a target. */
export function formatStart(
    { target, startedAt, repetition }: Pick<CrashObservation, "target" | "startedAt" | "repetition">,
): string {
    return `${target} ${startedAt}${repetition === 0 ? "" : ` ${repetition}`}`;
}

/**
 * Counts the independent ends among observations of one part. Ends that come together may have one cause in common, unless
 * the requests of the later one were sent after the earlier one, or just before they ended.
 */
export function countIndependentEnds(observations: readonly CrashObservation[]): number {
    let count = 0;
    let latestAt = Number.NEGATIVE_INFINITY;
    for (const { at, runMilliseconds, isOwn } of [...observations].sort((first, second) => first.at - second.at)) {
        const sentAt = at - runMilliseconds - (isOwn ? 0 : TRANSIT_MILLISECONDS);
        if (
            at - latestAt >= COINCIDENCE_MILLISECONDS || runMilliseconds < BRIEF_RUN_MILLISECONDS || sentAt > latestAt
        ) {
            count += 1;
            latestAt = at;
        }
    }
    return count;
}
