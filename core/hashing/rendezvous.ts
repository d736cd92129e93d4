/**
 * Rendezvous hashing: every node that knows the same members makes the same choice.
 *
 * @module
 */
import loadXxhash from "xxhash-wasm";

const { h32 } = await loadXxhash();

/**
 * Hashes `text` to an unsigned 32-bit number.
 *
 * @param text Text to hash.
 * @param seed Seed of the hash. Defaults to 0.
 * @returns A number from 0 to 2³² − 1.
 */
export function hashText(text: string, seed = 0): number {
    return h32(text, seed);
}

/** Computes the score of a pair from the hashes of its two sides. */
function computeScore(first: number, second: number): number {
    let mixed = first ^ second;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

interface HashedMember {
    name: string;
    hash: number;
}

/**
 * Chooses owners among a set of members.
 *
 * The members are hashed once, so that thousands of keys are placed in a few milliseconds.
 *
 * @example
 * ```ts
 * new Rendezvous(["a"]).chooseOwner("target-1"); // "a"
 * ```
 */
export class Rendezvous {
    readonly #members: HashedMember[];

    /** @param members Names of the candidates. */
    constructor(members: Iterable<string>) {
        this.#members = [...members].sort().map(name => ({ name, hash: hashText(name) }));
    }

    /** Chooses the member that owns `key`, or `undefined` where there are no members. */
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

    /** Lists the members by falling score for `key`. */
    listByScore(key: string): string[] {
        const keyHash = hashText(key);
        const scored = this.#members.map(({ name, hash }) => ({ name, score: computeScore(keyHash, hash) }));
        scored.sort((a, b) => b.score - a.score);
        return scored.map(entry => entry.name);
    }
}
