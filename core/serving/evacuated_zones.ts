/**
 * Keeps the list of availability zones that operators have closed to new requests.
 *
 * Load pattern: an operator evacuates a zone, and then the store is restored from a copy that does not have the entry
 * yet. Until the operator has written it again, the zone would receive requests although its targets are about to be
 * shut down. An entry that is back in the copy after the operator removed it costs capacity for a moment only, so it is
 * obeyed.
 *
 * @module
 */
import { comparePositions, type StorePosition } from "./store_position.ts";

/** Evacuated zones at one position of the store; instances send it to each other with these field names. */
export interface ZoneSnapshot {
    /** Era of the store; absent in messages of instances that do not know of eras, which counts as 0. */
    era?: number | undefined;
    /** Revision of the store up to which the list is current. */
    revision: number;
    /** Revision of the latest change to the list. */
    changeRevision: number;
    /** Names of the zones that the store lists. */
    zones: string[];
    /** Names of the zones that stay evacuated although the restored store does not list them. */
    held?: string[];
}

/** Time for which a zone stays evacuated if a restored store does not list it, in milliseconds. */
const HOLD_MILLISECONDS = 10_000;

/** Keeps the evacuated zones across restorations of the store. */
export class EvacuatedZones {
    #snapshot: ZoneSnapshot | undefined;
    /** End of the hold of each zone, on the monotonic clock in milliseconds. */
    readonly #heldUntil = new Map<string, number>();

    /** Latest list, with the zones that are held; `undefined` until one has been received. */
    get snapshot(): ZoneSnapshot | undefined {
        return this.#snapshot === undefined ? undefined : { ...this.#snapshot, held: [...this.#heldUntil.keys()] };
    }

    /** Lists all evacuated zones, sorted by name. */
    listZones(): string[] {
        return [...new Set([...this.#snapshot?.zones ?? [], ...this.#heldUntil.keys()])].sort();
    }

    /** Applies a list; returns false if it is older than the latest one, which stays. */
    applySnapshot(snapshot: ZoneSnapshot, now: number): boolean {
        const known = this.#snapshot;
        if (known !== undefined && comparePositions(getPosition(snapshot), getPosition(known)) < 0) {
            return false;
        }
        const isRestored = known !== undefined && getPosition(snapshot).era > getPosition(known).era;
        const unlisted = isRestored ? known.zones.filter(zone => !snapshot.zones.includes(zone)) : [];
        const heldByPeer = known === undefined || isRestored ? snapshot.held ?? [] : [];
        for (const zone of [...unlisted, ...heldByPeer]) {
            this.#heldUntil.set(zone, now + HOLD_MILLISECONDS);
        }
        for (const zone of snapshot.zones) {
            this.#heldUntil.delete(zone);
        }
        this.#snapshot = snapshot;
        return true;
    }

    /** Ends the holds whose time has passed; returns true if there were any. */
    expireHolds(now: number): boolean {
        const expired = [...this.#heldUntil].filter(([, until]) => until <= now);
        expired.forEach(([zone]) => this.#heldUntil.delete(zone));
        return expired.length > 0;
    }
}

function getPosition({ era, revision }: ZoneSnapshot): StorePosition {
    return { era: era ?? 0, revision };
}
