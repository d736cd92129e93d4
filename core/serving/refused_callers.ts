/**
 * Remembers which callers were refused, and when they were told to return.
 *
 * Load pattern: an overload in which refused callers return, some at once and several times. One that returns when it was
 * told to goes before newcomers; one that returns early gets nothing by it.
 *
 * @module
 */

/** Standing of a request among those that ask for the same capacity. */
export const ReturnKind = {
    /** The caller was not refused, as far as is known. */
    newcomer: "newcomer",
    /** The caller was refused and returns before it was told to. */
    early: "early",
    /** The caller was refused and returns when it was told to. */
    onTime: "on time",
} as const;

/** One of the values of {@linkcode ReturnKind}. */
export type ReturnKind = (typeof ReturnKind)[keyof typeof ReturnKind];

/** A refusal as instances tell each other of it. */
export type ToldRefusal = [caller: number, millisecondsUntilReturn: number, millisecondsTold: number, size: number];

interface RefusalRecord {
    refusedAt: number;
    returnAt: number;
    size: number;
    isOwn: boolean;
}

/** Number of refused callers that are remembered; with some 50 bytes each this takes 200 kB. */
const MAX_CALLERS = 4096;
/** Time after the told return for which a caller is remembered, in milliseconds. */
const RETENTION_MILLISECONDS = 5000;
/** Share of the told time after which a return counts as on time; callers' timers and networks are not exact. */
const ON_TIME_SHARE = 0.8;
/** Number of refusals in one digest, and of digests that contain each, since one may be lost. */
const MAX_TOLD = 12;
const TIMES_TOLD = 2;

/** Refused callers, by a hash of what identifies their request. All times are on the monotonic clock in milliseconds. */
export class RefusedCallers {
    /** Refusals by caller, in the order of the refusals. */
    readonly #refusals = new Map<number, RefusalRecord>();
    #untold: { caller: number; timesTold: number; }[] = [];

    /** Records that this instance refuses a caller. */
    recordRefusal(caller: number, refusal: { now: number; retryAfterMilliseconds: number; size: number; }): void {
        const { now, retryAfterMilliseconds, size } = refusal;
        this.#setRecord(caller, { refusedAt: now, returnAt: now + retryAfterMilliseconds, size, isOwn: true });
        this.#untold = this.#untold.filter(told => told.caller !== caller).slice(1 - MAX_TOLD);
        this.#untold.push({ caller, timesTold: 0 });
    }

    /** Records a refusal that a peer has told of. */
    applyToldRefusal([caller, untilReturn, told, size]: ToldRefusal, now: number): void {
        const returnAt = now + untilReturn;
        if ((this.#refusals.get(caller)?.returnAt ?? Number.NEGATIVE_INFINITY) < returnAt) {
            this.#setRecord(caller, { refusedAt: returnAt - told, returnAt, size, isOwn: false });
        }
    }

    /** Classifies a request; a caller that returns on time is forgotten. */
    classifyReturn(caller: number, now: number): ReturnKind {
        this.#expire(now);
        const record = this.#refusals.get(caller);
        if (record === undefined) {
            return ReturnKind.newcomer;
        }
        if (now - record.refusedAt < ON_TIME_SHARE * (record.returnAt - record.refusedAt)) {
            return ReturnKind.early;
        }
        this.#refusals.delete(caller);
        return ReturnKind.onTime;
    }

    /** Finds the time at which a refused caller was told to return; `undefined` if it is not known. */
    findReturnTime(caller: number): number | undefined {
        return this.#refusals.get(caller)?.returnAt;
    }

    /**
     * Computes the size of the requests of all instances that were refused and have not been told to return yet. Without
     * word from peers, they are taken to have refused as many as this instance.
     */
    computeBacklogSize(now: number, instances: number): number {
        let ownSize = 0;
        let toldSize = 0;
        for (const { returnAt, size, isOwn } of this.#refusals.values()) {
            ownSize += isOwn && returnAt > now ? size : 0;
            toldSize += isOwn || returnAt <= now ? 0 : size;
        }
        return toldSize > 0 ? ownSize + toldSize : ownSize * Math.max(1, instances);
    }

    /** Number of callers that are remembered. */
    get count(): number {
        return this.#refusals.size;
    }

    /** Takes the refusals for the next digest: the newest ones of this instance, each for a few digests. */
    takeTold(now: number): ToldRefusal[] {
        this.#untold.forEach(told => {
            told.timesTold += 1;
        });
        const told = this.#untold.flatMap(({ caller }): ToldRefusal[] => {
            const record = this.#refusals.get(caller);
            return record === undefined ? [] : [[
                caller,
                Math.round(record.returnAt - now),
                Math.round(record.returnAt - record.refusedAt),
                Math.round(record.size),
            ]];
        });
        this.#untold = this.#untold.filter(({ timesTold }) => timesTold < TIMES_TOLD);
        return told;
    }

    #setRecord(caller: number, record: RefusalRecord): void {
        this.#refusals.delete(caller);
        this.#refusals.set(caller, record);
        if (this.#refusals.size > MAX_CALLERS) {
            const [oldest] = this.#refusals.keys();
            this.#refusals.delete(oldest ?? caller);
        }
    }

    /** Forgets callers that did not return in time; the oldest are the first in the map. */
    #expire(now: number): void {
        for (const [caller, { returnAt }] of this.#refusals) {
            if (now - returnAt <= RETENTION_MILLISECONDS) {
                return;
            }
            this.#refusals.delete(caller);
        }
    }
}
