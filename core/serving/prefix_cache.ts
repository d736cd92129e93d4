/**
 * Estimates which parts of prompts each engine still has cached, from the prompts that this instance has seen it read.
 *
 * Load pattern: prompts share their leading parts, and those of a session more than the others. An engine does not read
 * a part again that is cached behind the same leading parts. Its KV cache holds running requests first, and the least
 * recently used parts in what they leave, so that a part stays for some seconds under load. Other instances send their
 * prompts to the same engines, and their parts displace those that this instance knows of.
 *
 * @module
 */
import { hashText } from "../hashing/mod.ts";
import type { ServingTarget, TargetStart } from "./serving_types.ts";

/** A part of a prompt as its request lists it. */
export interface PromptPart {
    /** Identifier of the part's content. */
    id: string;
    /** Tokens of the part. */
    tokens: number;
}

/** A part of a prompt behind certain leading parts, for one model. */
export interface PrefixPart {
    /** Hash of the model and of all parts up to this one. */
    key: number;
    /** Tokens of the part. */
    tokens: number;
}

/** Conditions at an engine under which cached parts stay. */
export interface CacheConditions {
    /** Present time, on the monotonic clock in milliseconds. */
    now: number;
    /** KV cache that running requests leave, in tokens. */
    freeTokens: number;
    /** Prompt tokens that the requests of other instances are estimated to add to the engine in a millisecond. */
    otherTokensPerMillisecond: number;
}

/** A cached part, as estimated. */
interface CachedPart {
    tokens: number;
    usedAt: number;
}

/** Estimated content of the cache of one engine start. */
interface EngineCache {
    startedAt: number;
    /** Parts by key; the least recently used one comes first. */
    readonly parts: Map<number, CachedPart>;
    /** Tokens of all parts. */
    tokens: number;
    /** Time of the last use of the least recently used part, or earlier. */
    oldestAt: number;
}

/** Decaying sum of the tokens that engines of a service have read for this instance. */
interface ReadRate {
    tokens: number;
    updatedAt: number;
}

/** Maximum number of a prompt's leading parts that are looked at; prompts usually have three. */
const MAX_PROMPT_PARTS = 16;
/** Maximum number of parts of an engine: twice those of the ten usual prompts that fill its KV cache. */
const MAX_ENGINE_PARTS = 64;
/** Maximum number of tokens of a part, so that the sums stay exact. */
const MAX_PART_TOKENS = 1_000_000;
/** Time over which the rate of read tokens is averaged, in milliseconds: some requests of one instance. */
const RATE_WINDOW_MILLISECONDS = 10_000;
/**
 * Time after its last use at which a part no longer counts, in milliseconds. The rate of other instances is estimated
 * from this instance's own, which is too low while callers prefer another zone.
 */
const PART_LIFETIME_MILLISECONDS = 20_000;

/**
 * Builds the keys of a prompt's leading parts.
 *
 * @param model Name of what the engines run; parts cached for another model are of no use.
 * @param parts Parts of the prompt, in order.
 * @returns One entry for each of the leading parts.
 */
export function buildPromptPrefix(model: string, parts: readonly PromptPart[]): PrefixPart[] {
    let key = hashText(model);
    return parts.slice(0, MAX_PROMPT_PARTS).map(part => {
        key = hashText(part.id, key);
        return { key, tokens: Math.min(MAX_PART_TOKENS, part.tokens) };
    });
}

/** Keeps the estimated cache of each engine. */
export class PrefixCache {
    readonly #engines = new Map<string, EngineCache>();
    readonly #readRates = new Map<string, ReadRate>();

    /** Records that an engine has read a prompt, so that all its parts are cached and have just been used. */
    recordRead(
        target: Pick<ServingTarget, "id" | "startedAt" | "service">,
        { prefix, conditions }: { prefix: readonly PrefixPart[]; conditions: CacheConditions; },
    ): void {
        const { now } = conditions;
        const engine = this.#getEngine(target, now);
        this.#expireParts(engine, conditions);
        let addedTokens = 0;
        // The leading parts are used by more prompts, and an engine frees the parts behind them first.
        for (const { key, tokens } of prefix.toReversed()) {
            const known = engine.parts.get(key);
            engine.parts.delete(key);
            engine.parts.set(key, { tokens, usedAt: now });
            engine.tokens += tokens - (known?.tokens ?? 0);
            addedTokens += known === undefined ? tokens : 0;
        }
        const rate = this.#getReadRate(target.service, now);
        this.#readRates.set(target.service, { tokens: rate.tokens + addedTokens, updatedAt: now });
        this.#expireParts(engine, conditions);
    }

    /** Estimates how many tokens of a prompt's leading parts an engine still has cached. */
    estimateHeldTokens(
        { id, startedAt }: TargetStart,
        { prefix, conditions }: { prefix: readonly PrefixPart[]; conditions: CacheConditions; },
    ): number {
        const engine = this.#engines.get(id);
        // Most engines have never read the first part, and are done with that.
        const first = prefix[0]?.key;
        if (engine === undefined || engine.startedAt !== startedAt || first === undefined || !engine.parts.has(first)) {
            return 0;
        }
        this.#expireParts(engine, conditions);
        let heldTokens = 0;
        for (const { key } of prefix) {
            const part = engine.parts.get(key);
            if (part === undefined) {
                break;
            }
            heldTokens += part.tokens;
        }
        return heldTokens;
    }

    /**
     * Estimates the prompt tokens that other instances have each engine of a service read in a millisecond, as if they
     * sent as much as this one.
     */
    estimateOtherTokens(service: string, fleet: { now: number; instances: number; engines: number; }): number {
        const { tokens } = this.#getReadRate(service, fleet.now);
        const ownTokensPerMillisecond = tokens / RATE_WINDOW_MILLISECONDS;
        return ownTokensPerMillisecond * Math.max(0, fleet.instances - 1) / Math.max(1, fleet.engines);
    }

    /** Finds the time of the last prompt that this instance has seen an engine read; `undefined` if none is known. */
    findLastRead({ id, startedAt }: TargetStart): number | undefined {
        const engine = this.#engines.get(id);
        return engine?.startedAt === startedAt ? [...engine.parts.values()].at(-1)?.usedAt : undefined;
    }

    /** Removes what is known of an engine that has ended, restarted, crashed or run out of KV cache. */
    removeTarget(id: string): void {
        this.#engines.delete(id);
    }

    /** Counts the parts that are kept for all engines. */
    countParts(): number {
        return [...this.#engines.values()].reduce((sum, { parts }) => sum + parts.size, 0);
    }

    #getEngine({ id, startedAt }: TargetStart, now: number): EngineCache {
        const known = this.#engines.get(id);
        if (known?.startedAt === startedAt) {
            return known;
        }
        const engine: EngineCache = { startedAt, parts: new Map(), tokens: 0, oldestAt: now };
        this.#engines.set(id, engine);
        return engine;
    }

    /** Removes the least recently used parts that no longer fit behind those used later by this and other instances. */
    #expireParts(engine: EngineCache, { now, freeTokens, otherTokensPerMillisecond }: CacheConditions): void {
        const isHeld = (usedAt: number): boolean =>
            engine.parts.size <= MAX_ENGINE_PARTS && now - usedAt <= PART_LIFETIME_MILLISECONDS
            && engine.tokens + (now - usedAt) * otherTokensPerMillisecond <= freeTokens;
        // Finding the first entry of a map from which many were deleted takes some microseconds.
        if (isHeld(engine.oldestAt)) {
            return;
        }
        for (const [key, { tokens, usedAt }] of engine.parts) {
            if (isHeld(usedAt)) {
                engine.oldestAt = usedAt;
                return;
            }
            engine.parts.delete(key);
            engine.tokens -= tokens;
        }
        engine.oldestAt = now;
    }

    #getReadRate(service: string, now: number): ReadRate {
        const rate = this.#readRates.get(service) ?? { tokens: 0, updatedAt: now };
        const decay = Math.exp(-Math.max(0, now - rate.updatedAt) / RATE_WINDOW_MILLISECONDS);
        return { tokens: rate.tokens * decay, updatedAt: now };
    }
}
