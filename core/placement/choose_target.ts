/**
 * Chooses a target by the best of a few random choices on predicted headroom, with affinity to a prompt's prefix.
 *
 * @module
 */
import { Rendezvous } from "../hashing/mod.ts";

/** A target that may be chosen. */
export interface Candidate {
    /** Name of the target. */
    name: string;
    /** Predicted free share of the target's scarcest resource; `undefined` where nothing is known. */
    share: number | undefined;
    /** True where the target is in the gateway's own availability zone. */
    isLocal: boolean;
}

/** Options of {@linkcode chooseTarget}. */
export interface ChooseTargetOptions {
    /** Hash of the prompt's prefix; targets that saw it before are preferred. Defaults to none. */
    prefix?: string;
    /** Source of random numbers from 0 up to 1. */
    random: () => number;
    /** Headroom that affinity to a prefix is worth. Defaults to 0.15. */
    prefixBonus?: number;
    /** Headroom that a target in the own zone is worth. Defaults to 0.02. */
    localBonus?: number;
}

/** Headroom assumed of a target that nothing is known of. */
const UNKNOWN_SHARE = 0.3;
/** Headroom below which affinity to a prefix does not count. */
const MIN_HOME_SHARE = 0.05;
/** Targets drawn at random beside the one that the prefix points to. */
const RANDOM_CHOICES = 4;

/**
 * Chooses one of `candidates`.
 *
 * Every gateway maps a prefix to the same target, so caches are met without any state about them.
 *
 * @param candidates Targets that may be chosen.
 * @param options How to choose.
 * @returns The chosen candidate, or `undefined` where there is none.
 *
 * @example
 * ```ts
 * chooseTarget([{ name: "a", share: 0.5, isLocal: true }], { random: () => 0 })?.name; // "a"
 * ```
 */
export function chooseTarget(candidates: readonly Candidate[], options: ChooseTargetOptions): Candidate | undefined {
    const { prefix, prefixBonus = 0.15, localBonus = 0.02 } = options;
    const home = prefix === undefined
        ? undefined
        : new Rendezvous(candidates.map(each => each.name)).chooseOwner(prefix);
    let best: Candidate | undefined;
    let bestScore = -Infinity;
    for (const candidate of pickChoices(candidates, { home, random: options.random })) {
        let score = candidate.share ?? UNKNOWN_SHARE;
        score += candidate.name === home && score >= MIN_HOME_SHARE ? prefixBonus : 0;
        score += candidate.isLocal ? localBonus : 0;
        if (score > bestScore) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
}

function pickChoices(
    candidates: readonly Candidate[],
    options: { home: string | undefined; random: () => number; },
): Candidate[] {
    const choices = candidates.filter(candidate => candidate.name === options.home);
    const rest = candidates.filter(candidate => candidate.name !== options.home);
    for (let count = 0; count < RANDOM_CHOICES && rest.length > 0; count += 1) {
        const index = Math.min(rest.length - 1, Math.floor(options.random() * rest.length));
        choices.push(...rest.splice(index, 1));
    }
    return choices;
}

/**
 * Limits `names` to a stable subset that differs from node to node, so that state per node stays bounded.
 *
 * @param names Names of the targets of one model.
 * @param options Node that asks, and the most names it wants.
 * @returns The subset.
 */
export function pickSubset(names: readonly string[], options: { node: string; size: number; }): string[] {
    if (names.length <= options.size) {
        return [...names];
    }
    return new Rendezvous(names).listByScore(options.node).slice(0, options.size);
}
