/**
 * Orders states of the platform's store.
 *
 * Load pattern: the store is restored from a copy that is some seconds old. Its revisions go back and are given out
 * again, so that a revision alone does not tell which of two states is newer. Each restoration starts a new era.
 *
 * @module
 */

/** A state of the store. */
export interface StorePosition {
    /** Number of the era, which increases each time the store is restored from a copy; 0 if the store reports none. */
    era: number;
    /** Revision within the era. */
    revision: number;
}

/** Compares two positions: negative if `first` is older, positive if it is newer, 0 if they are equal. */
export function comparePositions(first: StorePosition, second: StorePosition): number {
    return first.era === second.era ? first.revision - second.revision : first.era - second.era;
}
