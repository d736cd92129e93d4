/**
 * Rendezvous (highest random weight) hashing: nodes that know the same members choose the same owner for a key, without
 * coordination.
 *
 * @module
 */
import loadXxhash from "xxhash-wasm";

const { h32 } = await loadXxhash();

/**
 * Hashes `text` to an unsigned 32-bit integer with xxHash.
 *
 * @param text Text to hash.
 * @param seed Seed of the hash. Defaults to 0.
 * @returns An integer from 0 to 2³² − 1.
 */
export function hashText(text: string, seed = 0): number {
    return h32(text, seed);
}

/** Computes the score of a key for a member from their hashes, with the finalizer of MurmurHash3. */
function computeScore(keyHash: number, memberHash: number): number {
    let mixed = keyHash ^ memberHash;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

interface HashedMember {
    name: string;
    hash: number;
}

/**
 * Assigns keys to members of a set by rendezvous hashing.
 *
 * The members are hashed once, so that thousands of keys are assigned in a few milliseconds.
 *
 * @example
 * ```ts
 * new RendezvousHash(["a"]).chooseOwner("target-1"); // "a"
 * ```
 */
export class RendezvousHash {
    readonly #members: HashedMember[];

    /** @param members Names of the members. */
    constructor(members: Iterable<string>) {
        this.#members = [...members].sort().map(name => ({ name, hash: hashText(name) }));
    }

    /** Chooses the member that owns `key`; `undefined` if there are no members. */
    chooseOwner(key: string): string | undefined {
        const keyHash = hashText(key);
        let best: HashedMember | undefined;
        let bestScore = -1;
        for (const member of this.#members) {
            const score = computeScore(keyHash, member.hash);
            if (score > bestScore) {
                best = member;
                bestScore = score;
            }
        }
        return best?.name;
    }

    /** Lists the members by descending score for `key`; the first one is its owner. */
    listByScore(key: string): string[] {
        const keyHash = hashText(key);
        const scored = this.#members.map(({ name, hash }) => ({ name, score: computeScore(keyHash, hash) }));
        scored.sort((a, b) => b.score - a.score);
        return scored.map(entry => entry.name);
    }
}
