/**
 * Tracks which parts of prompts crash engines and which requests crash targets, and quarantines them for a time.
 *
 * Load pattern: each engine that begins to answer a request whose prompt has a certain part crashes and is back after
 * some seconds. Such requests arrive at any instance, no two alike, and share their other parts with sound requests.
 * Each crash also ends the other requests of the engine. Instances tell each other of the crashes that they observe and
 * of the parts under suspicion that were answered. A part on which several engines have crashed, and on which none has
 * answered, is quarantined: requests with it are refused until the quarantine ends.
 *
 * Load pattern: each target, engine or not, that runs a certain request crashes, and the same request arrives again and
 * again, at any instance. Its fingerprint counts as the last of its parts, and is its only one if it has no prompt.
 *
 * @module
 */

import {
    countIndependentEnds,
    CRASH_WINDOW_MILLISECONDS,
    type CrashObservation,
    CrashObservations,
    formatStart,
} from "./crash_observations.ts";
import { type PartAttempt, PartAttempts } from "./part_attempts.ts";
import { removeOldest } from "./remove_oldest.ts";

/** A target start that ended under a request. */
export interface TargetCrash {
    /** What is under suspicion: parts of the request's prompt that others may share, and the request's fingerprint. */
    parts: readonly string[];
    /** Identifier of the target. */
    target: string;
    /** Start time of the target. */
    startedAt: number;
    /** Time for which the request had been at the target, in milliseconds. Defaults to 0. */
    runMilliseconds?: number;
    /** Time of the end. Defaults to the time at which it is recorded. */
    endedAt?: number;
}

/** A part of prompts, or the fingerprint of a request, that is quarantined. */
export interface QuarantinedPart {
    /** The part. */
    part: string;
    /** Time until the quarantine ends, in milliseconds. */
    remainingMilliseconds: number;
    /** Number of engine starts that are known to have ended on the part. */
    crashes: number;
    /** Time since the first of these ends; absent if it is not known. */
    firstCrashAgeMilliseconds?: number;
}

/** What one instance tells the others. */
export interface CrashEvidence {
    /** Crashes that the instance has observed itself, one entry for each part and engine start. */
    crashes: {
        part: string;
        position: number;
        target: string;
        startedAt: number;
        ageMilliseconds: number;
        /** Longest time for which a request with the part had been at the target. Defaults to 0. */
        runMilliseconds?: number;
        /** Number of earlier ends of the target that are known with the same start time. Defaults to 0. */
        repetition?: number;
    }[];
    /** Parts under suspicion that an engine has recently answered for the instance. */
    sound: string[];
    /** Time since the latest of these requests was sent, by the same index. Defaults to 0 for each. */
    soundAges?: number[];
    /** Attempts of the instance with parts under suspicion that have outlived the first crash. Defaults to none. */
    survivors?: { part: string; count: number; }[];
    /** Parts that the instance holds in quarantine. */
    quarantined: QuarantinedPart[];
}

/** Reason why a quarantine has ended. */
export const ReleaseReason = {
    /** An engine has answered a request with the part that was sent after the part's first crash. */
    answered: "answered",
    /** Another quarantined part was in all prompts on which the engines crashed, and in further ones. */
    explained: "explained by another part",
    /** Its time has passed. */
    expired: "expired",
} as const;

/** One of the values of {@linkcode ReleaseReason}. */
export type ReleaseReason = (typeof ReleaseReason)[keyof typeof ReleaseReason];

/** A part whose quarantine has ended. */
export interface ReleasedPart {
    /** The part. */
    part: string;
    /** Why the quarantine has ended. */
    reason: ReleaseReason;
}

/** Evidence of an instance that has observed nothing. */
export const EMPTY_CRASH_EVIDENCE: CrashEvidence = { crashes: [], sound: [], quarantined: [] };

/** Independent ends of target starts that quarantine a part: two may coincide with crashes of other causes. */
const MIN_CRASHES = 3;
/** Independent ends that quarantine a part which was answered lately: it may have begun to crash engines since. */
const MIN_CRASHES_AFTER_ANSWER = 5;
/** Number of independent ends that each attempt that outlives such ends outweighs. */
const CRASHES_PER_SURVIVOR = 2;
/** Time for which an answer counts as recent, in milliseconds. */
const ANSWER_RETENTION_MILLISECONDS = 30_000;
/**
 * Time for which a peer's statement holds without a newer one, in milliseconds: some intervals of the digests of a
 * large fleet.
 */
const STATEMENT_RETENTION_MILLISECONDS = 10_000;
/** Duration of a part's first quarantine, in milliseconds; it doubles with each further one. */
const QUARANTINE_MILLISECONDS = 600_000;
/** Longest duration of a quarantine, in milliseconds. */
const MAX_QUARANTINE_MILLISECONDS = 86_400_000;
/** Number of answered parts that are remembered, which bounds the memory. */
const MAX_ANSWERED_PARTS = 20_000;
/** Number of present and past quarantines that are remembered, and of releases. */
const MAX_QUARANTINES = 256;
/** Number of engine starts that are remembered with a quarantine. */
const MAX_STARTS_PER_QUARANTINE = 256;
/** Number of a prompt's parts that a crash puts under suspicion; the later ones are shared less widely. */
const MAX_PARTS_PER_CRASH = 64;
/** Length up to which a part can be under suspicion: that of the longest usual hashes. */
const MAX_PART_CHARACTERS = 128;
/** Number of entries in each list of a message, which bounds its size. */
const MAX_TOLD_CRASHES = 128;
const MAX_TOLD_PARTS = 64;

/** A part with enough crashes for a quarantine. */
interface Suspect {
    part: string;
    /** Number of engine starts that are known to have ended on the part. */
    crashes: number;
    /** Number of independent ones among them. */
    independentEnds: number;
    /** Sum of the longest times for which requests with the part had been at them. */
    runMilliseconds: number;
    /** Latest index of the part in a prompt. */
    position: number;
    observations: readonly CrashObservation[];
}

/** A present or past quarantine of a part. */
interface Quarantine {
    until: number;
    durationMilliseconds: number;
    crashes: number;
    firstCrashAt: number;
    lastCrashAt: number;
    /** Known engine starts that ended on the part. */
    starts: Set<string>;
    /** True once the end of the present quarantine has been reported. */
    isEndReported: boolean;
}

/** Latest evidence of a peer, apart from its crashes. */
interface PeerStatement {
    receivedAt: number;
    quarantined: ReadonlySet<string>;
    /** Number of surviving attempts, by part. */
    survivors: ReadonlyMap<string, number>;
}

/** Latest answer to a request with a part. */
interface PartAnswer {
    /** Time at which the request was sent. */
    sentAt: number;
    /** Time of the answer, or at which a peer has told of it. */
    at: number;
}

/** Decides which parts of prompts are quarantined. All times are on the monotonic clock in milliseconds. */
export class RequestQuarantine {
    /** Answers of this instance and of peers, by part; the least recently answered part comes first. */
    readonly #answers = new Map<string, PartAnswer>();
    readonly #peerAnswers = new Map<string, PartAnswer>();
    readonly #attempts = new PartAttempts();
    readonly #observations = new CrashObservations();
    readonly #quarantines = new Map<string, Quarantine>();
    /** Time of the release of parts that peers may still hold in quarantine. */
    readonly #releasedAt = new Map<string, number>();
    readonly #statements = new Map<string, PeerStatement>();
    /** Answered parts in the latest evidence for peers. */
    #toldSound: ReadonlySet<string> = new Set();
    /** Releases that have not been taken yet. */
    #released: ReleasedPart[] = [];

    /** Records that an attempt at a target starts; the result is updated when it ends. */
    startAttempt(parts: readonly string[], now: number): PartAttempt {
        return this.#attempts.start(parts, now);
    }

    /**
     * Records that an engine has answered a request with these parts to the end, which ends quarantines that began with
     * crashes before the request was sent.
     */
    recordAnswered(parts: readonly string[], now: number, { sentAt = now }: { sentAt?: number; } = {}): void {
        parts.forEach(part => this.#addAnswer(this.#answers, part, { sentAt, at: now }));
    }

    /**
     * Records a crash that this instance has observed.
     *
     * @returns The parts that are quarantined because of it.
     */
    recordCrash(crash: TargetCrash, now: number): QuarantinedPart[] {
        const { target, startedAt, runMilliseconds = 0, endedAt = now } = crash;
        const end = { target, startedAt, at: endedAt, runMilliseconds, isOwn: true };
        const observed = crash.parts.map((part, position) => ({ part, position }))
            .filter(({ part }) => part.length <= MAX_PART_CHARACTERS)
            .slice(-MAX_PARTS_PER_CRASH)
            .filter(({ part, position }) => {
                const sentAt = endedAt - runMilliseconds;
                const repetition = this.#observations.countRepetitions({ part, target, startedAt }, sentAt);
                return this.#addObservation({ part, position, repetition, ...end });
            });
        return this.#quarantineSuspects(observed.map(({ part }) => part), now);
    }

    /**
     * Merges what a peer has told; the peer's earlier statement about quarantined parts and surviving attempts is replaced.
     *
     * @returns The parts that are quarantined because of it.
     */
    applyPeerEvidence(peer: string, evidence: CrashEvidence, now: number): QuarantinedPart[] {
        const sound = evidence.sound.slice(0, MAX_TOLD_PARTS);
        const quarantined = evidence.quarantined.slice(0, MAX_TOLD_PARTS);
        const survivors = evidence.survivors?.slice(0, MAX_TOLD_PARTS) ?? [];
        if (survivors.length === 0 && quarantined.length === 0) {
            this.#statements.delete(peer);
        }
        else {
            this.#statements.set(peer, {
                receivedAt: now,
                quarantined: new Set(quarantined.map(({ part }) => part)),
                survivors: new Map(survivors.map(({ part, count }) => [part, count])),
            });
        }
        const observed = evidence.crashes.slice(0, MAX_TOLD_CRASHES).filter(({ ageMilliseconds, ...crash }) =>
            ageMilliseconds <= CRASH_WINDOW_MILLISECONDS
            && this.#addObservation({
                runMilliseconds: 0,
                repetition: 0,
                ...crash,
                at: now - Math.max(0, ageMilliseconds),
                isOwn: false,
            })
        );
        sound.forEach((part, index) => {
            const sentAt = now - Math.max(0, evidence.soundAges?.[index] ?? 0);
            this.#addAnswer(this.#peerAnswers, part, { sentAt, at: now });
        });
        const adopted = this.applyQuarantined(quarantined, now);
        return [...adopted, ...this.#quarantineSuspects(observed.map(({ part }) => part), now)];
    }

    /**
     * Adopts quarantines that a peer holds or the store lists, unless this instance knows better.
     *
     * @returns The parts that were not quarantined before.
     */
    applyQuarantined(quarantined: readonly QuarantinedPart[], now: number): QuarantinedPart[] {
        // A part with more crashes may explain those of the others.
        const adopted = quarantined.slice(0, MAX_QUARANTINES)
            .sort((a, b) => b.crashes - a.crashes)
            .filter(entry => this.#adoptQuarantine(entry, now));
        if (adopted.length > 0) {
            this.#releaseExplained(now);
        }
        return adopted.filter(({ part }) => this.#isQuarantined(part, now));
    }

    /** Gets what the other instances need to know. */
    getEvidence(now: number): CrashEvidence {
        this.#expireEvidence(now);
        // Many requests may end with a target: the parts with most ends are told of first.
        const crashes = this.#observations.listParts()
            .flatMap(part => this.#listUnansweredCrashes(part).filter(({ isOwn }) => isOwn))
            .slice(0, MAX_TOLD_CRASHES)
            .map(({ part, position, target, startedAt, repetition, at, runMilliseconds }) => ({
                part,
                position,
                target,
                startedAt,
                ...repetition === 0 ? {} : { repetition },
                ageMilliseconds: Math.round(now - at),
                runMilliseconds: Math.round(runMilliseconds),
            }));
        const suspects = this.#listSuspects();
        const sound = suspects.filter(part => this.#isAnswered(part, now) && !this.#isQuarantined(part, now))
            .slice(0, MAX_TOLD_PARTS);
        this.#toldSound = new Set(sound);
        const survivors = suspects.map(part => ({ part, count: this.#countOwnSurvivors(part, now) }))
            .filter(({ count }) => count > 0)
            .slice(0, MAX_TOLD_PARTS);
        return {
            crashes,
            sound,
            soundAges: sound.map(part => Math.round(now - (this.#answers.get(part)?.sentAt ?? now))),
            quarantined: this.listQuarantined(now).reverse().slice(0, MAX_TOLD_PARTS),
            ...survivors.length === 0 ? {} : { survivors },
        };
    }

    /** Checks whether a peer suspects a part of whose answers {@linkcode getEvidence} has not told yet. */
    hasUntoldAnswer(evidence: CrashEvidence, now: number): boolean {
        return [...evidence.crashes, ...evidence.quarantined].some(({ part }) =>
            this.#isAnswered(part, now) && !this.#toldSound.has(part)
        );
    }

    /** Finds a quarantined part among the parts of a prompt; of several, the one whose quarantine ends last. */
    findQuarantined(parts: readonly string[], now: number): QuarantinedPart | undefined {
        if (this.#quarantines.size === 0) {
            return undefined;
        }
        return parts.filter(part => this.#isQuarantined(part, now))
            .map(part => this.#describeQuarantine(part, now))
            .sort((a, b) => b.remainingMilliseconds - a.remainingMilliseconds)[0];
    }

    /** Checks whether engines have recently answered requests with each of the parts. */
    isVouchedFor(parts: readonly string[], now: number): boolean {
        return parts.every(part => this.#isPartVouchedFor(part, now));
    }

    /** Counts the target starts that are known to have ended lately on a part, after its latest answer. */
    countCrashes(part: string): number {
        return this.#listUnansweredCrashes(part).length;
    }

    /** Checks whether a crash of the same target start on one of the parts is known. */
    hasKnownEnd({ parts, target, startedAt }: TargetCrash): boolean {
        return parts.some(part =>
            this.#observations.list(part).some(other => other.target === target && other.startedAt === startedAt)
        );
    }

    /** Checks whether a target start is known to have ended after a request had been sent to it. */
    hasEndedSince({ target, startedAt, endedAt = 0, runMilliseconds = 0 }: TargetCrash): boolean {
        const at = this.#observations.findEnd({ target, startedAt });
        return at !== undefined && at >= endedAt - runMilliseconds;
    }

    /** Counts the attempts with a part, of this instance and of peers, that have outlived its first crash. */
    countSurvivors(part: string, now: number): number {
        const told = [...this.#statements.values()].map(({ survivors }) => survivors.get(part) ?? 0);
        return told.reduce((sum, count) => sum + count, this.#countOwnSurvivors(part, now));
    }

    /** Lists the quarantined parts. */
    listQuarantined(now: number): QuarantinedPart[] {
        return [...this.#quarantines.keys()]
            .filter(part => this.#isQuarantined(part, now))
            .map(part => this.#describeQuarantine(part, now));
    }

    /** True if a part has been quarantined or released, so that the store may list it. */
    get hasHistory(): boolean {
        return this.#quarantines.size > 0 || this.#releasedAt.size > 0;
    }

    /** Takes the parts whose quarantine has ended since the last call. */
    takeReleased(now: number): ReleasedPart[] {
        for (const [part, quarantine] of this.#quarantines) {
            if (quarantine.until <= now && !quarantine.isEndReported) {
                quarantine.isEndReported = true;
                this.#released.push({ part, reason: ReleaseReason.expired });
            }
        }
        return this.#released.splice(0);
    }

    /** Adds an observation unless it is known; returns whether it did. */
    #addObservation(observation: CrashObservation): boolean {
        const { part, at } = observation;
        if (!this.#observations.add(observation)) {
            return false;
        }
        const start = formatStart(observation);
        const quarantine = this.#quarantines.get(part);
        if (quarantine !== undefined) {
            quarantine.lastCrashAt = Math.max(quarantine.lastCrashAt, at);
            if (quarantine.starts.size < MAX_STARTS_PER_QUARANTINE) {
                quarantine.starts.add(start);
            }
        }
        return true;
    }

    #expireEvidence(now: number): void {
        this.#observations.expire(now);
        for (const [peer, { receivedAt }] of this.#statements) {
            if (now - receivedAt > STATEMENT_RETENTION_MILLISECONDS) {
                this.#statements.delete(peer);
            }
        }
    }

    /**
     * Quarantines the parts of newly observed crashes that have enough of them: the one with most independent ones
     * first, on a tie the one whose requests had been at their targets for the shortest time, and then the latest in its
     * prompt. Crashes on prompts with a part that is quarantined by then show nothing about their other parts.
     */
    #quarantineSuspects(parts: readonly string[], now: number): QuarantinedPart[] {
        const quarantined: QuarantinedPart[] = [];
        if (parts.length === 0) {
            return quarantined;
        }
        this.#expireEvidence(now);
        for (let remaining = [...new Set(parts)]; remaining.length > 0;) {
            const suspects = remaining.flatMap(part => this.#findSuspect(part, now) ?? []);
            const [worst] = suspects.sort((a, b) =>
                b.independentEnds - a.independentEnds || a.runMilliseconds - b.runMilliseconds
                || b.position - a.position
            );
            if (worst === undefined) {
                break;
            }
            this.#addQuarantine(worst, now);
            remaining = remaining.filter(part => part !== worst.part);
            quarantined.push(this.#describeQuarantine(worst.part, now));
        }
        this.#releaseExplained(now);
        return quarantined;
    }

    /** Finds the evidence against a part; `undefined` if it does not suffice for a quarantine. */
    #findSuspect(part: string, now: number): Suspect | undefined {
        if (this.#isQuarantined(part, now)) {
            return undefined;
        }
        const previous = this.#quarantines.get(part);
        const newCrashes = this.#listUnansweredCrashes(part)
            .filter(({ at }) => previous === undefined || at > previous.until);
        const unexplained = newCrashes.filter(crash => !this.#isExplained(crash, now));
        const isAnswered = this.#isPartVouchedFor(part, now);
        const independentEnds = countIndependentEnds(isAnswered ? unexplained : newCrashes);
        const minCrashes = isAnswered ? MIN_CRASHES_AFTER_ANSWER : previous === undefined ? MIN_CRASHES : 1;
        if (
            independentEnds < minCrashes || unexplained.length === 0
            || this.countSurvivors(part, now) * CRASHES_PER_SURVIVOR > independentEnds
        ) {
            return undefined;
        }
        return {
            part,
            crashes: (previous?.crashes ?? 0) + newCrashes.length,
            independentEnds,
            runMilliseconds: newCrashes.reduce((sum, { runMilliseconds }) => sum + runMilliseconds, 0),
            position: Math.max(...newCrashes.map(({ position }) => position)),
            observations: newCrashes,
        };
    }

    /** Lists the known ends of targets under a part after the latest answered request with it was sent. */
    #listUnansweredCrashes(part: string): CrashObservation[] {
        const answeredAt = Math.max(
            this.#answers.get(part)?.sentAt ?? Number.NEGATIVE_INFINITY,
            this.#peerAnswers.get(part)?.sentAt ?? Number.NEGATIVE_INFINITY,
        );
        return this.#observations.list(part).filter(({ at }) => at > answeredAt);
    }

    #countOwnSurvivors(part: string, now: number): number {
        const since = Math.min(...this.#listUnansweredCrashes(part).map(({ at }) => at));
        return this.#attempts.countSurvivors(part, { since, now });
    }

    /** Checks whether the engine start ended on a prompt with a quarantined part. */
    #isExplained(crash: CrashObservation, now: number): boolean {
        const start = formatStart(crash);
        return [...this.#quarantines].some(([part, { starts }]) => this.#isQuarantined(part, now) && starts.has(start));
    }

    #addQuarantine({ part, crashes, observations }: Suspect, now: number): void {
        const previous = this.#quarantines.get(part);
        const durationMilliseconds = previous === undefined
            ? QUARANTINE_MILLISECONDS
            : Math.min(MAX_QUARANTINE_MILLISECONDS, previous.durationMilliseconds * 2);
        this.#setQuarantine(part, {
            until: now + durationMilliseconds,
            durationMilliseconds,
            crashes,
            firstCrashAt: Math.min(...observations.map(({ at }) => at)),
            lastCrashAt: Math.max(...observations.map(({ at }) => at)),
            starts: new Set([...previous?.starts ?? [], ...observations.map(formatStart)]),
            isEndReported: false,
        });
    }

    /** Adopts a quarantine that another instance holds; returns whether the part was not quarantined before. */
    #adoptQuarantine(
        { part, remainingMilliseconds, crashes, firstCrashAgeMilliseconds }: QuarantinedPart,
        now: number,
    ): boolean {
        const known = this.#quarantines.get(part);
        // Each new quarantine has a higher count. An instance that still holds one that has ended must not renew it.
        const isOutdated = known !== undefined && crashes <= known.crashes;
        const firstCrashAt = firstCrashAgeMilliseconds === undefined ? undefined : now - firstCrashAgeMilliseconds;
        const isSound = firstCrashAt === undefined
            ? this.#isPartVouchedFor(part, now)
            : this.#isAnsweredSince(part, firstCrashAt);
        if (isOutdated || remainingMilliseconds <= 0 || isSound) {
            return false;
        }
        const observations = this.#observations.list(part);
        const lastCrashAt = Math.max(
            known?.lastCrashAt ?? Number.NEGATIVE_INFINITY,
            ...observations.map(({ at }) => at),
        );
        const releasedAt = this.#releasedAt.get(part);
        const starts = new Set([...known?.starts ?? [], ...observations.map(formatStart)]);
        if (releasedAt !== undefined && lastCrashAt <= releasedAt || this.#isExplainedByAnother(starts, now)) {
            return false;
        }
        const wasQuarantined = this.#isQuarantined(part, now);
        const milliseconds = Math.min(remainingMilliseconds, MAX_QUARANTINE_MILLISECONDS);
        const until = wasQuarantined ? Math.max(known?.until ?? 0, now + milliseconds) : now + milliseconds;
        this.#setQuarantine(part, {
            until,
            durationMilliseconds: computeDuration(until - now),
            crashes,
            firstCrashAt: firstCrashAt ?? Math.min(now, ...observations.map(({ at }) => at)),
            lastCrashAt,
            starts,
            isEndReported: false,
        });
        return !wasQuarantined;
    }

    #setQuarantine(part: string, quarantine: Quarantine): void {
        this.#releasedAt.delete(part);
        this.#quarantines.delete(part);
        this.#quarantines.set(part, quarantine);
        removeOldest(this.#quarantines, MAX_QUARANTINES);
    }

    /**
     * Adds an answer, and ends a quarantine of the part whose crashes came before the request was sent; it then counts as
     * never quarantined.
     */
    #addAnswer(answers: Map<string, PartAnswer>, part: string, answer: PartAnswer): void {
        const sentAt = Math.max(answer.sentAt, answers.get(part)?.sentAt ?? answer.sentAt);
        answers.delete(part);
        answers.set(part, { sentAt, at: answer.at });
        const quarantine = this.#quarantines.get(part);
        if (quarantine !== undefined && answer.sentAt >= quarantine.firstCrashAt) {
            this.#release(part, { reason: ReleaseReason.answered, now: answer.at });
        }
        for (const [oldest, { at }] of answers) {
            if (answers.size <= MAX_ANSWERED_PARTS && answer.at - at <= ANSWER_RETENTION_MILLISECONDS) {
                break;
            }
            answers.delete(oldest);
        }
    }

    /** Ends the quarantines of parts if another quarantined part was in all their crashes and in further ones. */
    #releaseExplained(now: number): void {
        for (const [part, { starts }] of [...this.#quarantines]) {
            if (this.#isQuarantined(part, now) && this.#isExplainedByAnother(starts, now)) {
                this.#release(part, { reason: ReleaseReason.explained, now });
            }
        }
    }

    /** Checks whether another quarantined part was in all these crashes and in further ones. */
    #isExplainedByAnother(starts: ReadonlySet<string>, now: number): boolean {
        return starts.size > 0
            && [...this.#quarantines].some(([part, other]) =>
                this.#isQuarantined(part, now) && other.starts.size > starts.size
                && [...starts].every(start => other.starts.has(start))
            );
    }

    #release(part: string, { reason, now }: { reason: ReleaseReason; now: number; }): void {
        if (this.#isQuarantined(part, now)) {
            this.#released.push({ part, reason });
        }
        this.#quarantines.delete(part);
        this.#releasedAt.delete(part);
        this.#releasedAt.set(part, now);
        removeOldest(this.#releasedAt, MAX_QUARANTINES);
    }

    #isQuarantined(part: string, now: number): boolean {
        return (this.#quarantines.get(part)?.until ?? Number.NEGATIVE_INFINITY) > now;
    }

    #describeQuarantine(part: string, now: number): QuarantinedPart {
        const { until = now, crashes = 0, firstCrashAt = now } = this.#quarantines.get(part) ?? {};
        return {
            part,
            remainingMilliseconds: Math.ceil(until - now),
            crashes,
            firstCrashAgeMilliseconds: Math.round(now - firstCrashAt),
        };
    }

    #isAnswered(part: string, now: number): boolean {
        return isRecent(this.#answers.get(part), now);
    }

    #isAnsweredSince(part: string, time: number): boolean {
        return [this.#answers.get(part), this.#peerAnswers.get(part)]
            .some(answer => answer !== undefined && answer.sentAt > time);
    }

    #isPartVouchedFor(part: string, now: number): boolean {
        return this.#isAnswered(part, now) || isRecent(this.#peerAnswers.get(part), now);
    }

    /** Lists the parts for which other instances need to know whether this one has had answers. */
    #listSuspects(): string[] {
        const told = [...this.#statements.values()].flatMap(({ quarantined }) => [...quarantined]);
        return [...new Set([...told, ...this.#quarantines.keys(), ...this.#observations.listParts()])];
    }
}

function isRecent(answer: PartAnswer | undefined, now: number): boolean {
    return answer !== undefined && now - answer.at <= ANSWER_RETENTION_MILLISECONDS;
}

/** Computes the duration of a quarantine of which only the remaining time is known. */
function computeDuration(remainingMilliseconds: number): number {
    let duration = QUARANTINE_MILLISECONDS;
    while (duration < remainingMilliseconds) {
        duration *= 2;
    }
    return duration;
}
