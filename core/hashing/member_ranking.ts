/**
 * Ranks the members of a set by rendezvous hashing, and keeps the result until the set changes.
 *
 * @module
 */
import { RendezvousHash } from "./rendezvous.ts";

/** Ranks members for one key; the ranking is needed several times a second, and the members rarely change. */
export class MemberRanking {
    readonly #key: string;
    #members = "";
    #ranked: readonly string[] = [];

    /** @param key Key for which the members are ranked. */
    constructor(key: string) {
        this.#key = key;
    }

    /** Lists the members by descending score. */
    listMembers(names: readonly string[]): readonly string[] {
        const members = names.join("\n");
        if (members !== this.#members) {
            this.#members = members;
            this.#ranked = new RendezvousHash(names).listByScore(this.#key);
        }
        return this.#ranked;
    }
}
