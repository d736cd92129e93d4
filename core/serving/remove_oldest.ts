/**
 * Bounds the size of a map whose entries are added in the order in which they may be forgotten.
 *
 * @module
 */

/** Removes the entries that were added first until at most `count` are left. */
export function removeOldest(entries: Map<string, unknown>, count: number): void {
    for (const key of entries.keys()) {
        if (entries.size <= count) {
            return;
        }
        entries.delete(key);
    }
}
