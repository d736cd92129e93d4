/**
 * Load balancing between targets: picks a few random candidates and chooses the one with the most predicted headroom,
 * with affinity between prompt prefixes and targets so that prefix caches are reused.
 *
 * @module
 */
import { RendezvousHash } from "../hashing/mod.ts";

/** A target that may be chosen. */
export interface Candidate {
    /** Name of the target. */
    name: string;
    /** Headroom: the predicted free share of the target's scarcest resource; `undefined` if unknown. */
    share: number | undefined;
    /** True if the target is in the gateway's own availability zone. */
    isLocal: boolean;
}

/** Options of {@linkcode chooseTarget}. */
export interface ChooseTargetOptions {
    /** Hash of the prompt's prefix; the target to which the hash maps is preferred. Defaults to none. */
    prefix?: string;
    /** Random number generator that returns numbers from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    /** Amount added to the headroom of the target to which the prefix maps. Defaults to 0.15. */
    prefixBonus?: number;
    /** Amount added to the headroom of a target in the gateway's own zone. Defaults to 0.02. */
    localBonus?: number;
}

/** Headroom that is assumed for a target whose headroom is unknown. */
const ASSUMED_HEADROOM_SHARE = 0.3;
/** Headroom below which prefix affinity is ignored. */
const MIN_AFFINITY_HEADROOM_SHARE = 0.05;
/** Number of candidates picked at random, in addition to the target to which the prefix maps. */
const RANDOM_CANDIDATE_COUNT = 4;

/**
 * Chooses one of `candidates`.
 *
 * Every gateway maps a prefix to the same target by rendezvous hashing, so prefix caches are reused although gateways
 * keep no state about them.
 *
 * @param candidates Targets that may be chosen.
 * @param options Prefix, amounts added to the headroom, and random number generator.
 * @returns The chosen candidate, or `undefined` if `candidates` is empty.
 *
 * @example
 * ```ts
 * chooseTarget([{ name: "a", share: 0.5, isLocal: true }], { random: () => 0 })?.name; // "a"
 * ```
 */
export function chooseTarget(candidates: readonly Candidate[], options: ChooseTargetOptions): Candidate | undefined {
    const { prefix, prefixBonus = 0.15, localBonus = 0.02 } = options;
    const affinityTarget = prefix === undefined
        ? undefined
        : new RendezvousHash(candidates.map(each => each.name)).chooseOwner(prefix);
    let best: Candidate | undefined;
    let bestScore = -Infinity;
    for (const candidate of pickCandidates(candidates, { affinityTarget, random: options.random })) {
        let score = candidate.share ?? ASSUMED_HEADROOM_SHARE;
        score += candidate.name === affinityTarget && score >= MIN_AFFINITY_HEADROOM_SHARE ? prefixBonus : 0;
        score += candidate.isLocal ? localBonus : 0;
        if (score > bestScore) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
}

function pickCandidates(
    candidates: readonly Candidate[],
    options: { affinityTarget: string | undefined; random: () => number; },
): Candidate[] {
    const picked = candidates.filter(candidate => candidate.name === options.affinityTarget);
    const others = candidates.filter(candidate => candidate.name !== options.affinityTarget);
    for (let count = 0; count < RANDOM_CANDIDATE_COUNT && others.length > 0; count += 1) {
        const index = Math.min(others.length - 1, Math.floor(options.random() * others.length));
        picked.push(...others.splice(index, 1));
    }
    return picked;
}

/**
 * Picks a stable subset of `names` that differs between instances, so that the state kept by each instance is bounded.
 *
 * @param names Names of the targets of one model or service.
 * @param options Name of the instance, and the maximum size of the subset.
 * @returns The subset.
 */
export function pickSubset(names: readonly string[], options: { instance: string; size: number; }): string[] {
    if (names.length <= options.size) {
        return [...names];
    }
    return new RendezvousHash(names).listByScore(options.instance).slice(0, options.size);
}
