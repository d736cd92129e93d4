/**
 * Keeps the list of targets and of evacuated zones, which operators have closed to new requests, and tells which
 * targets accept new requests.
 *
 * Load pattern: the platform's store goes down, and the targets' objects in it expire and reappear after its recovery,
 * while requests keep arriving. If every target whose object has expired were removed, all requests would be refused,
 * although the targets still serve.
 *
 * Load pattern: the store is restored from a copy that is some seconds old, so that targets which have announced their
 * shutdown, or are gone, are listed as ready again until they or the operators have written their objects again.
 *
 * Load pattern: an instance that was paused takes its pause for an outage of the store, and keeps a target that the others
 * have removed. They ask it for its list, since it has listed the store later than they have.
 *
 * @module
 */
import { getSoftwareVersion, type ServingTarget, type TargetStart } from "./serving_types.ts";
import { comparePositions, type StorePosition } from "./store_position.ts";

/** A change to a target that affects running requests. */
export interface TargetChange {
    /** The target as it was last listed. */
    target: ServingTarget;
    /**
     * What has changed; a missing target is no longer listed but remains in use for a grace period, as it may reappear.
     */
    kind: "added" | "leaving" | "removed" | "missing";
}

/** A target that the store does not list but that remains in use for a grace period. */
export interface MissingTarget {
    /** Identifier of the target. */
    id: string;
    /** Rest of the grace period, in milliseconds. */
    remainingMilliseconds: number;
}

/** All targets at one position of the store; instances send it to each other with these field names. */
export interface TargetSnapshot {
    /** Era of the store; absent in messages of instances that do not know of eras, which counts as 0. */
    era?: number | undefined;
    /** Revision of the store up to which the list is current. */
    revision: number;
    /**
     * Revision of the latest change to the list; `undefined` if the source does not report it, as the store does not.
     */
    changeRevision?: number | undefined;
    /** Targets, with those that are missing. */
    targets: ServingTarget[];
    /**
     * The missing ones among the targets; absent in lists of the store and in messages of builds that do not report them,
     * which counts as none.
     */
    missing?: MissingTarget[] | undefined;
}

/** Options of a {@linkcode TargetDirectory}. */
export interface TargetDirectoryOptions {
    /** Time after the store's recovery for which missing targets remain in use, in milliseconds. Defaults to 2000. */
    gracePeriodMilliseconds?: number;
}

/**
 * Expired objects reappear within about two seconds of the store's recovery, according to the platform's service
 * discovery.
 */
const DEFAULT_GRACE_PERIOD_MILLISECONDS = 2000;
/**
 * Minimum number of targets that one update has to remove without notice for them to be treated as missing: a planned
 * deployment removes one or two.
 */
const MASS_REMOVAL_COUNT = 3;
/**
 * Grace period after a mass removal without a known outage of the store. It is shorter than the time within which an
 * instance must stop sending requests to a removed target.
 */
const MASS_REMOVAL_GRACE_PERIOD_MILLISECONDS = 1200;
/** Time for which a departed target is remembered, in milliseconds: the copy of a restored store is younger. */
const DEPARTURE_RETENTION_MILLISECONDS = 60_000;

/** Changes to the list of targets up to a revision of the store. */
export interface TargetListEvents {
    /** Revision of the store up to which the list is current once these changes are applied. */
    revision: number;
    /** Revision of the latest of these changes; defaults to `revision`. */
    changeRevision?: number;
    /** Added and changed targets. */
    changed: ServingTarget[];
    /** Identifiers of removed targets. */
    removed: string[];
}

/** A target that has announced its shutdown or was removed. */
interface Departure {
    /** Start time of the target. */
    startedAt: number;
    /** Era of the store in which this became known. */
    era: number;
    /** True if the target itself has announced its shutdown. */
    isAnnouncedByTarget: boolean;
    /** Time at which this became known, on the monotonic clock in milliseconds. */
    recordedAt: number;
    /** Revision of the store up to which the list was current when the target was removed; `undefined` before. */
    removedRevision: number | undefined;
}

/** Keeps the list of targets and of evacuated zones. */
export class TargetDirectory {
    readonly #gracePeriodMilliseconds: number;
    readonly #targets = new Map<string, ServingTarget>();
    /** End of the grace period of each missing target, by identifier. */
    readonly #missingUntil = new Map<string, number>();
    #evacuatedZones = new Set<string>();
    readonly #departures = new Map<string, Departure>();
    #isLoaded = false;
    #era = 0;
    #revision = 0;
    #changeRevision = 0;
    /** Revision at which the store was first listed after its restoration; 0 if it was not restored. */
    #restoredRevision = 0;
    #storeRecoveredAt = Number.NEGATIVE_INFINITY;

    constructor(options: TargetDirectoryOptions = {}) {
        this.#gracePeriodMilliseconds = options.gracePeriodMilliseconds ?? DEFAULT_GRACE_PERIOD_MILLISECONDS;
    }

    /** True once a complete list has been received. */
    get isLoaded(): boolean {
        return this.#isLoaded;
    }

    /** Era of the store. */
    get era(): number {
        return this.#era;
    }

    /** Revision of the store up to which the list is current. */
    get revision(): number {
        return this.#revision;
    }

    /** Revision of the latest change to the list. */
    get changeRevision(): number {
        return this.#changeRevision;
    }

    /** Evacuated zones; their targets receive no new requests. */
    get evacuatedZones(): ReadonlySet<string> {
        return this.#evacuatedZones;
    }

    /** Records that the store responds again after an outage. */
    markStoreRecovered(now: number): void {
        this.#storeRecoveredAt = now;
    }

    /** Sets the evacuated zones. */
    setEvacuatedZones(zones: Iterable<string>): void {
        this.#evacuatedZones = new Set(zones);
    }

    /** Replaces the list by a snapshot and returns the changes; ignores a snapshot that is older than the list. */
    applySnapshot(snapshot: TargetSnapshot, now: number): TargetChange[] {
        const position: StorePosition = { era: snapshot.era ?? 0, revision: snapshot.revision };
        if (this.#isLoaded && comparePositions(position, { era: this.#era, revision: this.#revision }) < 0) {
            return [];
        }
        const isRestored = this.#isLoaded && position.era > this.#era;
        if (isRestored) {
            this.#restoredRevision = position.revision;
            this.#revision = 0;
            this.#changeRevision = 0;
            // Targets that are missing from the copy write their objects again if they are alive.
            this.markStoreRecovered(now);
        }
        this.#era = position.era;
        const previousChangeRevision = this.#isLoaded && !isRestored ? this.#changeRevision : undefined;
        const isFirst = !this.#isLoaded;
        this.#isLoaded = true;
        const { revision, changeRevision, missing = [] } = snapshot;
        const missingUntilById = new Map(
            missing.map(({ id, remainingMilliseconds }) =>
                [id, now + Math.min(remainingMilliseconds, this.#gracePeriodMilliseconds)] as const
            ),
        );
        // An instance that has a list has removed the missing targets that it does not know; they must not come back.
        const targets = isFirst ? snapshot.targets : snapshot.targets.filter(({ id }) => !missingUntilById.has(id));
        const listed = new Set(targets.map(target => target.id));
        const removed = [...this.#targets.keys()].filter(id => !listed.has(id));
        const hasChangedEntry = targets.some(target => !isSameEntry(target, this.#targets.get(target.id)));
        // Objects that expired during an outage reappear soon after the store's recovery if their targets are alive.
        const missingUntil = this.#storeRecoveredAt + this.#gracePeriodMilliseconds;
        const changes = this.#apply({ revision, changed: targets, removed }, { now, missingUntil, missingUntilById });
        if (isFirst) {
            changes.push(...[...missingUntilById].flatMap(([id, until]) => this.#markMissing(id, until)));
        }
        if (changeRevision !== undefined) {
            this.#changeRevision = changeRevision;
        }
        else if (changes.length === 0 && !hasChangedEntry && previousChangeRevision !== undefined) {
            this.#changeRevision = previousChangeRevision;
        }
        return changes;
    }

    /** Applies changes up to a revision of the store and returns those that affect running requests. */
    applyEvents(events: TargetListEvents, now: number): TargetChange[] {
        return this.#apply(events, { now, missingUntil: now });
    }

    /**
     * Applies changes; removed targets that were not leaving are missing until their time in `missingUntilById`, or else
     * until `missingUntil`, if that is in the future.
     */
    #apply(
        events: TargetListEvents,
        times: { now: number; missingUntil: number; missingUntilById?: ReadonlyMap<string, number>; },
    ): TargetChange[] {
        const { now, missingUntilById } = times;
        this.#revision = Math.max(this.#revision, events.revision);
        if (events.changed.length > 0 || events.removed.length > 0) {
            this.#changeRevision = Math.max(this.#changeRevision, events.changeRevision ?? events.revision);
        }
        const changes = events.changed.flatMap(target => this.#applyTarget(target, now));
        const unannounced = events.removed.filter(id => this.#targets.get(id)?.isLeaving === false);
        const massRemovalUntil = unannounced.length >= MASS_REMOVAL_COUNT
            ? now + MASS_REMOVAL_GRACE_PERIOD_MILLISECONDS
            : now;
        const missingUntil = Math.max(massRemovalUntil, times.missingUntil);
        for (const id of events.removed) {
            const until = missingUntilById?.get(id) ?? missingUntil;
            const isMissing = until > now && unannounced.includes(id);
            changes.push(...isMissing ? this.#markMissing(id, until) : this.#removeTarget(id, now));
        }
        return [...changes, ...this.expireMissing(now)];
    }

    /**
     * Records that a target has announced its shutdown itself, before the store reports it. The announcement holds for
     * this start of the target, whatever the store reports later.
     */
    markLeaving({ id, startedAt }: TargetStart, now: number): TargetChange[] {
        const known = this.#targets.get(id);
        if (known === undefined || known.startedAt !== startedAt) {
            return [];
        }
        this.#recordDeparture(known, { now, isAnnouncedByTarget: true });
        return this.#applyTarget({ ...known, isLeaving: true }, now);
    }

    /** Lists the targets in use that have announced their shutdown themselves. */
    listAnnouncedLeaving(): TargetStart[] {
        return [...this.#targets.values()]
            .filter(({ id, startedAt }) => {
                const departure = this.#departures.get(id);
                return departure?.isAnnouncedByTarget === true && departure.startedAt === startedAt;
            })
            .map(({ id, startedAt }) => ({ id, startedAt }));
    }

    /** Checks whether a target is no longer listed but still in use. */
    isMissing(id: string): boolean {
        return this.#missingUntil.has(id);
    }

    /** Lists the identifiers of targets that are no longer listed but still in use. */
    listMissing(): string[] {
        return [...this.#missingUntil.keys()];
    }

    /** Computes the share of a service's targets in use that are no longer listed. */
    computeMissingShare(service: string): number {
        const targets = [...this.#targets.values()].filter(target => target.service === service);
        return targets.filter(target => this.isMissing(target.id)).length / Math.max(1, targets.length);
    }

    /** Removes missing targets that did not reappear within their grace period. */
    expireMissing(now: number): TargetChange[] {
        const expired = [...this.#missingUntil].filter(([, until]) => until <= now);
        return expired.flatMap(([id]) => this.#removeTarget(id, now));
    }

    /** Finds a target, whether it accepts new requests or not. */
    findTarget(id: string): ServingTarget | undefined {
        return this.#targets.get(id);
    }

    /** Lists the targets of `service` that accept new requests. */
    listAvailable(service: string): ServingTarget[] {
        return [...this.#targets.values()].filter(target =>
            target.service === service && this.findUnavailability(target) === undefined
        );
    }

    /** Finds out why a target accepts no new requests; `undefined` if it does. */
    findUnavailability({ isLeaving, zone }: ServingTarget): "leaving" | "zone evacuated" | undefined {
        return isLeaving ? "leaving" : this.#evacuatedZones.has(zone) ? "zone evacuated" : undefined;
    }

    /** Lists the software versions of all targets, by service. */
    listSoftwareVersions(): Map<string, Set<string>> {
        const versions = new Map<string, Set<string>>();
        for (const target of this.#targets.values()) {
            versions.set(target.service, (versions.get(target.service) ?? new Set()).add(getSoftwareVersion(target)));
        }
        return versions;
    }

    /** Lists all targets, with those that are missing. */
    listTargets(): ServingTarget[] {
        return [...this.#targets.values()];
    }

    /** Returns the complete list, for peers whose list is outdated. */
    getSnapshot(now: number): TargetSnapshot {
        return {
            era: this.#era,
            revision: this.#revision,
            changeRevision: this.#changeRevision,
            targets: this.listTargets(),
            missing: [...this.#missingUntil].map(([id, until]) => ({
                id,
                remainingMilliseconds: Math.max(0, Math.round(until - now)),
            })),
        };
    }

    /** Adds or replaces a target; one with a new start time has restarted, and counts as removed and added. */
    #applyTarget(listed: ServingTarget, now: number): TargetChange[] {
        const known = this.#targets.get(listed.id);
        const hasDeparted = this.#hasDeparted(listed);
        if (known === undefined ? hasDeparted : listed.startedAt < known.startedAt && this.#isFromCopy(listed)) {
            return [];
        }
        const target = hasDeparted ? { ...listed, isLeaving: true } : listed;
        this.#targets.set(target.id, target);
        this.#missingUntil.delete(target.id);
        if (target.isLeaving) {
            this.#recordDeparture(target, { now, isAnnouncedByTarget: false });
        }
        else {
            this.#departures.delete(target.id);
        }
        if (known !== undefined && known.startedAt !== target.startedAt) {
            return [{ kind: "removed", target: known }, { kind: "added", target }];
        }
        if (known === undefined) {
            return [{ kind: target.isLeaving ? "leaving" : "added", target }];
        }
        return target.isLeaving && !known.isLeaving ? [{ kind: "leaving", target }] : [];
    }

    /** Keeps a target that is no longer listed until a time, unless it is missing already. */
    #markMissing(id: string, until: number): TargetChange[] {
        if (this.#missingUntil.has(id)) {
            return [];
        }
        this.#missingUntil.set(id, until);
        return this.#listTarget(id).map(target => ({ kind: "missing", target }));
    }

    /** Returns a list with the target, or an empty list if it is not known. */
    #listTarget(id: string): ServingTarget[] {
        const target = this.#targets.get(id);
        return target === undefined ? [] : [target];
    }

    /**
     * Checks whether a listed target is known to have departed: it announced this itself, the entry is older than its
     * removal, or the entry comes from the copy of a restored store and this became known before.
     */
    #hasDeparted(target: ServingTarget): boolean {
        const departure = this.#departures.get(target.id);
        if (departure === undefined || departure.startedAt !== target.startedAt) {
            return false;
        }
        const { era, isAnnouncedByTarget, removedRevision } = departure;
        return isAnnouncedByTarget || era < this.#era && this.#isFromCopy(target)
            || era === this.#era && removedRevision !== undefined && target.revision !== undefined
                && target.revision <= removedRevision;
    }

    /** Checks whether a target's object has not been written since the store was restored from a copy. */
    #isFromCopy(target: ServingTarget): boolean {
        return (target.revision ?? 0) <= this.#restoredRevision;
    }

    #recordDeparture(
        { id, startedAt }: ServingTarget,
        { now, isAnnouncedByTarget, removedRevision }: {
            now: number;
            isAnnouncedByTarget: boolean;
            removedRevision?: number;
        },
    ): void {
        for (const [other, { recordedAt }] of this.#departures) {
            if (now - recordedAt > DEPARTURE_RETENTION_MILLISECONDS && !this.#targets.has(other)) {
                this.#departures.delete(other);
            }
        }
        const known = this.#departures.get(id);
        const isSameStart = known?.startedAt === startedAt;
        this.#departures.set(id, {
            startedAt,
            era: isSameStart ? known.era : this.#era,
            isAnnouncedByTarget: isAnnouncedByTarget || isSameStart && known.isAnnouncedByTarget,
            recordedAt: now,
            removedRevision,
        });
    }

    #removeTarget(id: string, now: number): TargetChange[] {
        const known = this.#listTarget(id);
        const removal = { now, isAnnouncedByTarget: false, removedRevision: this.#revision };
        known.forEach(target => this.#recordDeparture(target, removal));
        this.#targets.delete(id);
        this.#missingUntil.delete(id);
        return known.map(target => ({ kind: "removed", target }));
    }
}

/** Checks whether two entries of a target agree in all that a selection of targets depends on. */
function isSameEntry(first: ServingTarget, second: ServingTarget | undefined): boolean {
    return second !== undefined && first.service === second.service && first.address === second.address
        && first.zone === second.zone && first.slots === second.slots && first.startedAt === second.startedAt
        && first.softwareVersion === second.softwareVersion
        && first.coldMilliseconds === second.coldMilliseconds;
}
