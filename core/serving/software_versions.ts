/**
 * Keeps the software version at which each stream began, and decides at which version a resumed stream goes on.
 *
 * Load pattern: targets of two software versions serve side by side for minutes, all instances are killed at once, and the
 * callers of all running streams resume them within a second at instances that know nothing of them. What two versions
 * generate does not fit together, and targets do not check it.
 *
 * One version of each service is its baseline: its streams are not recorded. The streams of all other versions are recorded
 * in the platform's store before their first event is sent to the caller. A stream without a record has therefore begun at
 * the baseline, and while a service has a single version nothing is recorded.
 *
 * @module
 */

/** Beginning of a stream. */
export interface StreamBeginning {
    /** Identifier of the caller's attempt that brought the first event. */
    requestId: string;
    /** Service that serves the stream. */
    service: string;
    /** Version of the software of the target that began it. */
    softwareVersion: string;
    /** Time of the first event, in Unix milliseconds. */
    beganAt: number;
}

/** Longest time after its beginning at which a stream is resumed, in milliseconds. */
export const RESUMPTION_WINDOW_MILLISECONDS = 120_000;
/**
 * Time without a listed target of the baseline after which an instance no longer relies on it, in milliseconds: shorter
 * than the time after which another version may become the baseline.
 */
const BASELINE_TRUST_MILLISECONDS = 60_000;

/** Stands for the version of a stream that may have begun at one of several versions; no target has it. */
export const SEVERAL_VERSIONS = "several versions";

/** Input of {@linkcode decideResumption}. */
export interface ResumptionInput {
    /** Version at which the stream began, by its record; `undefined` if there is no record. */
    recordedVersion: string | undefined;
    /** Baseline of the service; `undefined` if it is not known. */
    baseline: string | undefined;
    /** True if the caller names the attempt that brought the first event. */
    isAttemptNamed: boolean;
    /** True if the records in the store were read after the request arrived. */
    hasReadRecords: boolean;
    /** True if this instance knows of no other version than the baseline within the window of resumptions. */
    isBaselineAlone: boolean;
    /** True if this instance has not missed any other version: its list of targets was confirmed after the request arrived. */
    isInStep: boolean;
}

/** Result of {@linkcode decideResumption}. */
export type Resumption =
    /** The stream goes on at this version. */
    | { kind: "bound"; softwareVersion: string; }
    /** Two versions are possible. */
    | { kind: "unknown"; reason: string; };

/** Decides at which software version a resumed stream goes on. */
export function decideResumption(input: ResumptionInput): Resumption {
    const { recordedVersion, baseline, isAttemptNamed, hasReadRecords, isBaselineAlone, isInStep } = input;
    if (recordedVersion !== undefined) {
        return { kind: "bound", softwareVersion: recordedVersion };
    }
    if (baseline !== undefined && (isBaselineAlone && isInStep || isAttemptNamed && hasReadRecords)) {
        return { kind: "bound", softwareVersion: baseline };
    }
    const reason = baseline === undefined
        ? "no baseline of the service is known"
        : isAttemptNamed
        ? "the records of streams could not be read"
        : "the caller names no attempt";
    return { kind: "unknown", reason };
}

/** Baseline of a service, and the time at which one of its targets was last listed. */
interface Baseline {
    softwareVersion: string;
    listedAt: number;
}

/** Keeps the beginnings of streams, the baseline of each service, and the versions that were listed lately. */
export class SoftwareVersions {
    readonly #beginnings = new Map<string, StreamBeginning>();
    readonly #baselines = new Map<string, Baseline>();
    /** Time at which a target of a version was last listed, on the monotonic clock in milliseconds, by service. */
    readonly #listedAt = new Map<string, Map<string, number>>();

    /** Records the beginning of a stream; returns false if it is known already. */
    recordBeginning(beginning: StreamBeginning): boolean {
        const known = this.#beginnings.get(beginning.requestId);
        if (known !== undefined && known.softwareVersion === beginning.softwareVersion) {
            return false;
        }
        const softwareVersion = known === undefined ? beginning.softwareVersion : SEVERAL_VERSIONS;
        this.#beginnings.set(beginning.requestId, { ...beginning, softwareVersion });
        return true;
    }

    /** Finds the version at which a stream of a service began. */
    findVersion(requestId: string, service: string): string | undefined {
        const beginning = this.#beginnings.get(requestId);
        return beginning?.service === service ? beginning.softwareVersion : undefined;
    }

    /** Gets the baseline of a service; `undefined` if it is not known. */
    findBaseline(service: string): string | undefined {
        return this.#baselines.get(service)?.softwareVersion;
    }

    /** Sets the baseline of a service, as the store has it. */
    setBaseline(service: string, baseline: { softwareVersion: string; now: number; }): void {
        this.#baselines.set(service, { softwareVersion: baseline.softwareVersion, listedAt: baseline.now });
    }

    /**
     * Adopts a baseline that a peer relies on, if none is known for the service and a target of the version is listed:
     * otherwise instances would go on adopting from each other what none of them may rely on any more.
     */
    adoptBaseline(service: string, told: { softwareVersion: string; isListed: boolean; now: number; }): void {
        if (!this.#baselines.has(service) && told.isListed) {
            this.setBaseline(service, told);
        }
    }

    /** Lists the baselines that this instance relies on, by service. */
    listBaselines(): Record<string, string> {
        return Object.fromEntries(
            [...this.#baselines].map(([service, { softwareVersion }]) => [service, softwareVersion]),
        );
    }

    /** Records the versions that are listed now, by service, and drops the baselines that have not been listed for long. */
    recordListed(listed: ReadonlyMap<string, ReadonlySet<string>>, now: number): void {
        for (const [service, versions] of listed) {
            const listedAt = this.#listedAt.get(service) ?? new Map<string, number>();
            versions.forEach(version => listedAt.set(version, now));
            this.#listedAt.set(service, listedAt);
        }
        for (const listedAt of this.#listedAt.values()) {
            for (const [version, time] of listedAt) {
                if (now - time > RESUMPTION_WINDOW_MILLISECONDS) {
                    listedAt.delete(version);
                }
            }
        }
        for (const [service, baseline] of this.#baselines) {
            baseline.listedAt = this.#listedAt.get(service)?.get(baseline.softwareVersion) ?? baseline.listedAt;
            if (now - baseline.listedAt > BASELINE_TRUST_MILLISECONDS) {
                this.#baselines.delete(service);
            }
        }
    }

    /** Lists the versions of a service whose targets were listed within the window of resumptions, the oldest first. */
    listVersions(service: string): string[] {
        return [...this.#listedAt.get(service)?.keys() ?? []];
    }

    /** Lists the services with listed targets. */
    listServices(): string[] {
        return [...this.#listedAt.keys()];
    }

    /** Checks whether this instance knows of no other version of a service than its baseline. */
    isBaselineAlone(service: string): boolean {
        const baseline = this.findBaseline(service);
        return baseline !== undefined && this.listVersions(service).every(version => version === baseline)
            && [...this.#beginnings.values()].every(beginning =>
                beginning.service !== service || beginning.softwareVersion === baseline
            );
    }

    /** Forgets the streams that began before the window of resumptions; `wallTime` is in Unix milliseconds. */
    expireBeginnings(wallTime: number): void {
        for (const [requestId, { beganAt }] of this.#beginnings) {
            if (wallTime - beganAt > RESUMPTION_WINDOW_MILLISECONDS) {
                this.#beginnings.delete(requestId);
            }
        }
    }
}
