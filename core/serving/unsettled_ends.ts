/**
 * Remembers attempts of which it is not known yet whether their targets have ended under them.
 *
 * Load pattern: a target may be back before it is checked, or not respond to the check; all targets may end together,
 * which looks like a partition to the instance. A caller may leave, or the instance may give up a silent attempt, some
 * time before the target ends. The list of targets, or a peer, shows it later.
 *
 * @module
 */
import type { TargetCrash } from "./request_quarantine.ts";
import { TargetPresence } from "./target_presence.ts";

/** What shows whether a target has ended. */
export interface EndEvidence {
    /** Finds a target in the list. */
    findTarget: (id: string) => { startedAt: number; } | undefined;
    /** Checks whether another observation has shown that a target start has ended. */
    hasKnownEnd: (crash: TargetCrash) => boolean;
}

interface UnsettledEnd {
    crash: TargetCrash;
    presence: TargetPresence;
    expiresAt: number;
}

/** Time within which a new start shows the end of a target that did not respond, in milliseconds. */
const RETENTION_MILLISECONDS = 10_000;
/** The same for a target that did respond: it may be the new start, or have closed a connection and be restarted later. */
const RUNNING_RETENTION_MILLISECONDS = 3000;
/** Number of ends that are remembered. */
const MAX_ENDS = 256;

/** Remembers possible ends of targets until something shows whether they have ended. */
export class UnsettledEnds {
    #ends: UnsettledEnd[] = [];

    /** Adds an attempt that was lost or given up, with what a check of its target has shown; unknown without a check. */
    add(crash: TargetCrash, { presence, now }: { presence: TargetPresence; now: number; }): void {
        const isRunning = presence === TargetPresence.running;
        const expiresAt = now + (isRunning ? RUNNING_RETENTION_MILLISECONDS : RETENTION_MILLISECONDS);
        this.#ends.push({ crash, presence, expiresAt });
        this.#ends = this.#ends.slice(-MAX_ENDS);
    }

    /** Takes the crashes that are known by now, and forgets attempts whose targets have not been shown to have ended. */
    takeSettled(evidence: EndEvidence, now: number): TargetCrash[] {
        const hasEnded = ({ crash, presence }: UnsettledEnd): boolean => {
            const listed = evidence.findTarget(crash.target);
            const isRemoved = listed === undefined && presence === TargetPresence.gone;
            const isRestarted = crash.startedAt !== 0 && (listed?.startedAt ?? 0) > crash.startedAt;
            return isRemoved || isRestarted || evidence.hasKnownEnd(crash);
        };
        const settled = this.#ends.filter(hasEnded);
        this.#ends = this.#ends.filter(end => end.expiresAt > now && !settled.includes(end));
        return settled.map(({ crash }) => crash);
    }
}
