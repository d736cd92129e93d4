/**
 * Which targets may get new work, from the platform's list, its gaps and the zones that operators have emptied.
 *
 * Load pattern: the platform's store goes down and its entries lapse, then come back while requests keep coming. Dropping
 * every lapsed target would refuse all of them, although the targets still serve.
 *
 * @module
 */
import type { ServingTarget } from "./serving_types.ts";

/** A change to a target that running work has to know of. */
export interface TargetChange {
    /** The target as it was last listed. */
    target: ServingTarget;
    /** What happened to it; one that is missing is no longer listed but may be back. */
    kind: "added" | "leaving" | "removed" | "missing";
}

/** A list of all targets at one revision of the store. */
export interface TargetSnapshot {
    /** Revision of the store up to which the list holds. */
    revision: number;
    /** Revision of the latest change to the list; `undefined` where only its reader can tell. */
    changeRevision?: number | undefined;
    /** Targets. */
    targets: ServingTarget[];
}

/** Options of a {@linkcode TargetDirectory}. */
export interface TargetDirectoryOptions {
    /** Time for which a lapsed target stays in use after the store's return, in milliseconds. Defaults to 2000. */
    lapseMilliseconds?: number;
}

/** Entries that lapsed are back within about two seconds of the store's return (platform's service discovery). */
const DEFAULT_LAPSE = 2000;
/** Removals without notice in one answer from which on they count as lapsed: a planned release removes one or two. */
const MASS_REMOVAL = 3;
/** Time for which so many stay in use where no outage was seen, in milliseconds: less than the time to stop sending. */
const MASS_REMOVAL_TIME = 1200;

/** Keeps the list of targets. */
export class TargetDirectory {
    readonly #lapseMilliseconds: number;
    readonly #targets = new Map<string, ServingTarget>();
    /** Time until which a lapsed target stays in use, by target. */
    readonly #lapsedUntil = new Map<string, number>();
    #emptiedZones = new Set<string>();
    #isKnown = false;
    #revision = 0;
    #changeRevision = 0;
    #regainedAt = Number.NEGATIVE_INFINITY;

    constructor(options: TargetDirectoryOptions = {}) {
        this.#lapseMilliseconds = options.lapseMilliseconds ?? DEFAULT_LAPSE;
    }

    /** True once a whole list has come. */
    get isKnown(): boolean {
        return this.#isKnown;
    }

    /** Revision of the store up to which the list is known. */
    get revision(): number {
        return this.#revision;
    }

    /** Revision of the latest change that is in the list. */
    get changeRevision(): number {
        return this.#changeRevision;
    }

    /** Zones that get no new work. */
    get emptiedZones(): ReadonlySet<string> {
        return this.#emptiedZones;
    }

    /** Notes that the store answers again after an outage. */
    markRegained(now: number): void {
        this.#regainedAt = now;
    }

    /** Sets the zones that get no new work. */
    setEmptiedZones(zones: Iterable<string>): void {
        this.#emptiedZones = new Set(zones);
    }

    /** Replaces the list by a newer snapshot and tells what changed; an older snapshot changes nothing. */
    applySnapshot(snapshot: TargetSnapshot, now: number): TargetChange[] {
        if (snapshot.revision < this.#revision) {
            return [];
        }
        const previous = this.#isKnown ? this.#changeRevision : undefined;
        this.#isKnown = true;
        const listed = new Set(snapshot.targets.map(target => target.id));
        const removed = [...this.#targets.keys()].filter(id => !listed.has(id));
        const { revision, changeRevision, targets } = snapshot;
        // What went while the store was away comes back soon after its return, if it lives.
        const lapsedUntil = this.#regainedAt + this.#lapseMilliseconds;
        const changes = this.#apply({ revision, changed: targets, removed }, { now, lapsedUntil });
        if (changeRevision !== undefined) {
            this.#changeRevision = changeRevision;
        }
        else if (changes.length === 0 && previous !== undefined) {
            this.#changeRevision = previous;
        }
        return changes;
    }

    /** Applies changes up to a revision and tells what they mean for running work. */
    applyEvents(
        events: { revision: number; changeRevision?: number; changed: ServingTarget[]; removed: string[]; },
        now: number,
    ): TargetChange[] {
        return this.#apply(events, { now, lapsedUntil: now });
    }

    #apply(
        events: { revision: number; changeRevision?: number; changed: ServingTarget[]; removed: string[]; },
        time: { now: number; lapsedUntil: number; },
    ): TargetChange[] {
        const { now } = time;
        this.#revision = Math.max(this.#revision, events.revision);
        if (events.changed.length > 0 || events.removed.length > 0) {
            this.#changeRevision = Math.max(this.#changeRevision, events.changeRevision ?? events.revision);
        }
        const changes = events.changed.flatMap(target => this.#applyTarget(target));
        const unannounced = events.removed.filter(id => this.#targets.get(id)?.isLeaving === false);
        const massUntil = unannounced.length >= MASS_REMOVAL ? now + MASS_REMOVAL_TIME : now;
        const until = Math.max(massUntil, time.lapsedUntil);
        for (const id of events.removed) {
            const isLapsed = until > now && unannounced.includes(id);
            if (isLapsed && !this.#lapsedUntil.has(id)) {
                this.#lapsedUntil.set(id, until);
                changes.push(...this.#listTarget(id).map(target => ({ kind: "missing" as const, target })));
            }
            else if (!isLapsed) {
                changes.push(...this.#removeTarget(id));
            }
        }
        return [...changes, ...this.expireLapsed(now)];
    }

    /** Notes that a target says itself that it leaves, before the store does. */
    markLeaving(id: string): TargetChange[] {
        const known = this.#targets.get(id);
        return known === undefined ? [] : this.#applyTarget({ ...known, isLeaving: true });
    }

    /** Tells whether a target that is in use is no longer listed. */
    isMissing(id: string): boolean {
        return this.#lapsedUntil.has(id);
    }

    /** Lists the identities of targets that are in use and no longer listed. */
    listMissing(): string[] {
        return [...this.#lapsedUntil.keys()];
    }

    /** Computes the share of a service's targets that are no longer listed, of those in use. */
    computeMissingShare(service: string): number {
        const targets = [...this.#targets.values()].filter(target => target.service === service);
        return targets.filter(target => this.isMissing(target.id)).length / Math.max(1, targets.length);
    }

    /** Removes lapsed targets that did not come back in time. */
    expireLapsed(now: number): TargetChange[] {
        const expired = [...this.#lapsedUntil].filter(([, until]) => until <= now);
        return expired.flatMap(([id]) => this.#removeTarget(id));
    }

    /** Finds a target, whether it takes new work or not. */
    findTarget(id: string): ServingTarget | undefined {
        return this.#targets.get(id);
    }

    /** Lists the targets of `service` that take new work. */
    listOpen(service: string): ServingTarget[] {
        return [...this.#targets.values()].filter(target =>
            target.service === service && !target.isLeaving && !this.#emptiedZones.has(target.zone)
        );
    }

    /** Gives the whole list, for peers that are behind. */
    getSnapshot(): TargetSnapshot {
        return { revision: this.#revision, changeRevision: this.#changeRevision, targets: [...this.#targets.values()] };
    }

    #applyTarget(target: ServingTarget): TargetChange[] {
        const known = this.#targets.get(target.id);
        this.#targets.set(target.id, target);
        this.#lapsedUntil.delete(target.id);
        if (known !== undefined && known.startedAt !== target.startedAt) {
            return [{ kind: "removed", target: known }, { kind: "added", target }];
        }
        if (known === undefined) {
            return [{ kind: target.isLeaving ? "leaving" : "added", target }];
        }
        return target.isLeaving && !known.isLeaving ? [{ kind: "leaving", target }] : [];
    }

    #listTarget(id: string): ServingTarget[] {
        const target = this.#targets.get(id);
        return target === undefined ? [] : [target];
    }

    #removeTarget(id: string): TargetChange[] {
        const known = this.#listTarget(id);
        this.#targets.delete(id);
        this.#lapsedUntil.delete(id);
        return known.map(target => ({ kind: "removed", target }));
    }
}
