/**
 * How much work each target holds, from this instance's own counts, its peers' digests and the targets' reports.
 *
 * Load pattern: a burst that all instances place at once on the target that a late report shows as free.
 *
 * @module
 */
import { DigestReason } from "./digest_pace.ts";

/** Work that a target holds. */
export interface HeldWork {
    /** Requests that run or wait. */
    requests: number;
    /** Tokens of memory that they will need. */
    tokens: number;
    /** Prompt tokens of requests that have not answered yet. */
    waitingPromptTokens: number;
}

/** One request's share of a target. */
export interface WorkItem {
    /** Tokens of the prompt; 0 for a plain service. */
    promptTokens: number;
    /** Expected tokens of the output. */
    outputTokens: number;
}

/** What one instance holds at each target, by target. */
export type WorkDigest = Record<string, [requests: number, tokens: number, waitingPromptTokens: number]>;

interface PeerDigest {
    work: WorkDigest;
    receivedAt: number;
}

/** A request's hold on a target. */
export interface WorkHold {
    /** Notes that the target has begun to answer. */
    markAnswered: () => void;
    /** Notes how many tokens the output has so far. */
    recordOutput: (tokens: number) => void;
    /** Takes the request off the target. */
    release: () => void;
}

/** Output that is expected once it is longer than the estimate, in multiples of what there is: estimates are often far off. */
const OVERRUN = 1.3;

/** Estimates the whole output from what was expected and what has come. */
export function estimateOutput(expectedTokens: number, madeTokens: number): number {
    return madeTokens > expectedTokens ? madeTokens * OVERRUN : expectedTokens;
}

/** Age at which a peer's digest is no longer counted, in milliseconds: several times the interval in a large fleet. */
const DIGEST_LIFETIME = 6000;
/** Time between two looks for old digests, in milliseconds: short beside their lifetime. */
const EXPIRY_INTERVAL = 250;

/** Adds up what is known of each target's work. */
export class LoadLedger {
    /** Called when an engine's work has changed; plain requests are too short to tell of each. */
    onEngineChange: (reason: DigestReason) => void = () => undefined;
    readonly #own = new Map<string, Map<object, WorkItem & { hasAnswered: boolean; }>>();
    readonly #peers = new Map<string, PeerDigest>();
    /** Sums of the peers' digests by target: a choice looks at many targets, and there may be hundreds of peers. */
    readonly #peerWork = new Map<string, HeldWork>();
    #expiredAt = 0;

    /** Adds one request to a target. */
    addWork(target: string, item: WorkItem): WorkHold {
        const entry = { ...item, hasAnswered: false };
        const entries = this.#own.get(target) ?? new Map<object, typeof entry>();
        entries.set(entry, entry);
        this.#own.set(target, entries);
        const announce = (reason: DigestReason): void => {
            if (item.promptTokens > 0) {
                this.onEngineChange(reason);
            }
        };
        announce(DigestReason.placed);
        return {
            markAnswered: () => {
                if (!entry.hasAnswered) {
                    entry.hasAnswered = true;
                    announce(DigestReason.eased);
                }
            },
            recordOutput: tokens => {
                // Peers are told with the next digest; one of its own would use up what placements need.
                entry.outputTokens = estimateOutput(entry.outputTokens, tokens);
            },
            release: () => {
                entries.delete(entry);
                announce(DigestReason.eased);
                if (entries.size === 0 && this.#own.get(target) === entries) {
                    this.#own.delete(target);
                }
            },
        };
    }

    /** Replaces what is known of a peer's work. */
    applyDigest(peer: string, digest: { work: WorkDigest; receivedAt: number; }): void {
        this.dropPeer(peer);
        this.#peers.set(peer, digest);
        this.#addToSums(digest.work, 1);
    }

    /** Drops what is known of a peer's work. */
    dropPeer(peer: string): void {
        const digest = this.#peers.get(peer);
        if (digest !== undefined) {
            this.#peers.delete(peer);
            this.#addToSums(digest.work, -1);
        }
    }

    /** Gives this instance's own counts at engines; plain requests are over before a peer could make use of them. */
    getDigest(): WorkDigest {
        const digest: WorkDigest = {};
        for (const target of this.#own.keys()) {
            const { requests, tokens, waitingPromptTokens } = this.countOwn(target);
            if (tokens > 0) {
                digest[target] = [requests, tokens, waitingPromptTokens];
            }
        }
        return digest;
    }

    /** Counts this instance's work at a target. */
    countOwn(target: string): HeldWork {
        const held = { requests: 0, tokens: 0, waitingPromptTokens: 0 };
        for (const item of this.#own.get(target)?.values() ?? []) {
            held.requests += 1;
            held.tokens += item.promptTokens + item.outputTokens;
            held.waitingPromptTokens += item.hasAnswered ? 0 : item.promptTokens;
        }
        return held;
    }

    /** Counts the work of all instances at a target. */
    countWork(target: string, now: number): HeldWork {
        this.#expireDigests(now);
        const own = this.countOwn(target);
        const others = this.#peerWork.get(target);
        return others === undefined ? own : {
            requests: own.requests + others.requests,
            tokens: own.tokens + others.tokens,
            waitingPromptTokens: own.waitingPromptTokens + others.waitingPromptTokens,
        };
    }

    #addToSums(work: WorkDigest, sign: 1 | -1): void {
        for (const [target, [requests, tokens, waitingPromptTokens]] of Object.entries(work)) {
            const sum = this.#peerWork.get(target) ?? { requests: 0, tokens: 0, waitingPromptTokens: 0 };
            sum.requests += sign * requests;
            sum.tokens += sign * tokens;
            sum.waitingPromptTokens += sign * waitingPromptTokens;
            if (sum.requests === 0) {
                this.#peerWork.delete(target);
            }
            else {
                this.#peerWork.set(target, sum);
            }
        }
    }

    #expireDigests(now: number): void {
        if (now - this.#expiredAt < EXPIRY_INTERVAL) {
            return;
        }
        this.#expiredAt = now;
        for (const [peer, { receivedAt }] of this.#peers) {
            if (now - receivedAt > DIGEST_LIFETIME) {
                this.dropPeer(peer);
            }
        }
    }
}
