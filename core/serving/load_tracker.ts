/**
 * Tracks the load of each target, from this instance's own requests and the load digests of its peers.
 *
 * Load pattern: a burst of requests that all instances send to the same target, because an outdated report shows it as
 * idle.
 *
 * @module
 */
import { DigestReason } from "./digest_rate_limiter.ts";

/** Load that outstanding requests put on one target. */
export interface TargetLoad {
    /** Number of requests that run or wait. */
    requests: number;
    /** KV cache that the requests are expected to need in total, in tokens. */
    tokens: number;
    /** Prompt tokens of requests whose response has not started yet. */
    waitingPromptTokens: number;
}

/** Load that one request adds to its target. */
export interface RequestLoad {
    /** Tokens of the prompt; 0 for a service whose targets are not engines. */
    promptTokens: number;
    /** Expected tokens of the output. */
    outputTokens: number;
    /** Tokens of the prompt that the target is believed to have cached; 0 if absent. */
    heldTokens?: number | undefined;
}

/** Load that the requests of one instance put on each engine, by identifier; sent to peers in this form. */
export type LoadDigest = Record<string, [requests: number, tokens: number, waitingPromptTokens: number]>;

/** Last digest of a peer, and the time of its receipt on the monotonic clock in milliseconds. */
interface PeerDigest {
    work: LoadDigest;
    receivedAt: number;
}

/** Load that is reserved on a target for one request. */
export interface LoadReservation {
    /** Records that the target has started to respond. */
    markResponseStarted: () => void;
    /** Records how many output tokens have been received so far. */
    recordOutput: (tokens: number) => void;
    /** Removes the request's load from the target. */
    release: () => void;
}

/**
 * Factor from the current to the expected total length of an output that has exceeded its estimate; estimates are often
 * far off.
 */
const OVERRUN_FACTOR = 1.3;

/** Estimates the total output tokens of a generation from the expected and the already generated tokens. */
export function estimateOutputTokens(expectedTokens: number, generatedTokens: number): number {
    return generatedTokens > expectedTokens ? generatedTokens * OVERRUN_FACTOR : expectedTokens;
}

/**
 * Share of the tokens believed to be cached that do not count as waiting. What an engine has cached is an estimate, and
 * a wait that is taken for too short draws more requests than one that is taken for too long keeps away.
 */
const TRUSTED_HELD_SHARE = 0.5;

/** Computes how many tokens of a waiting prompt its target has to read. */
function computeUnreadTokens({ promptTokens, heldTokens = 0 }: RequestLoad): number {
    return promptTokens - Math.floor(Math.min(promptTokens, heldTokens) * TRUSTED_HELD_SHARE);
}

/** Age at which a peer's digest is no longer counted: several times the interval between digests in a large fleet. */
const DIGEST_LIFETIME_MILLISECONDS = 6000;
/** Interval between checks for expired digests: short compared with their lifetime. */
const EXPIRY_INTERVAL_MILLISECONDS = 250;

/** Adds up the load of each target over this instance and its peers. */
export class LoadTracker {
    /**
     * Called when an engine's load changes. Load on other targets is not reported, because their requests are too
     * short.
     */
    onEngineLoadChange: (reason: DigestReason) => void = () => undefined;
    /** Called when a digest of a peer shows that its requests put less load on an engine than before. */
    onPeerLoadDecrease: () => void = () => undefined;
    readonly #ownRequests = new Map<string, Map<object, RequestLoad & { hasResponseStarted: boolean; }>>();
    readonly #peerDigests = new Map<string, PeerDigest>();
    /**
     * Sum of the peers' digests by target; kept because a selection reads many targets and there may be hundreds of
     * peers.
     */
    readonly #peerLoads = new Map<string, TargetLoad>();
    #lastExpiryAt = 0;

    /** Adds the load of one request to a target. */
    addRequest(target: string, request: RequestLoad): LoadReservation {
        const entry = { ...request, hasResponseStarted: false };
        const entries = this.#ownRequests.get(target) ?? new Map<object, typeof entry>();
        entries.set(entry, entry);
        this.#ownRequests.set(target, entries);
        const notifyChange = (reason: DigestReason): void => {
            if (request.promptTokens > 0) {
                this.onEngineLoadChange(reason);
            }
        };
        notifyChange(DigestReason.loadIncreased);
        return {
            markResponseStarted: () => {
                if (!entry.hasResponseStarted) {
                    entry.hasResponseStarted = true;
                    notifyChange(DigestReason.loadDecreased);
                }
            },
            recordOutput: tokens => {
                // Does not cause a digest: one digest per update would use up the rate limit that new requests need.
                entry.outputTokens = estimateOutputTokens(entry.outputTokens, tokens);
            },
            release: () => {
                entries.delete(entry);
                notifyChange(DigestReason.loadDecreased);
                if (entries.size === 0 && this.#ownRequests.get(target) === entries) {
                    this.#ownRequests.delete(target);
                }
            },
        };
    }

    /** Replaces the last digest of a peer. */
    applyDigest(peer: string, digest: { work: LoadDigest; receivedAt: number; }): void {
        const previous = this.#peerDigests.get(peer)?.work ?? {};
        this.#removeDigest(peer);
        this.#peerDigests.set(peer, digest);
        this.#addToPeerLoads(digest.work, 1);
        if (Object.entries(previous).some(([target, load]) => isLower(digest.work[target], load))) {
            this.onPeerLoadDecrease();
        }
    }

    /** Records that a peer has repeated its last digest. */
    recordRepeatedDigest(peer: string, receivedAt: number): void {
        const digest = this.#peerDigests.get(peer);
        if (digest !== undefined) {
            digest.receivedAt = receivedAt;
        }
    }

    /** Removes the digest of a peer. */
    removePeer(peer: string): void {
        if (this.#removeDigest(peer)) {
            this.onPeerLoadDecrease();
        }
    }

    #removeDigest(peer: string): boolean {
        const digest = this.#peerDigests.get(peer);
        if (digest === undefined) {
            return false;
        }
        this.#peerDigests.delete(peer);
        this.#addToPeerLoads(digest.work, -1);
        return true;
    }

    /**
     * Builds the digest of this instance's load on engines. Other targets are left out, because their requests end
     * before peers could use the digest.
     */
    getDigest(): LoadDigest {
        const digest: LoadDigest = {};
        for (const target of this.#ownRequests.keys()) {
            const { requests, tokens, waitingPromptTokens } = this.computeOwnLoad(target);
            if (tokens > 0) {
                digest[target] = [requests, tokens, waitingPromptTokens];
            }
        }
        return digest;
    }

    /** Computes the load that this instance's requests put on a target. */
    computeOwnLoad(target: string): TargetLoad {
        const load = { requests: 0, tokens: 0, waitingPromptTokens: 0 };
        for (const request of this.#ownRequests.get(target)?.values() ?? []) {
            load.requests += 1;
            load.tokens += request.promptTokens + request.outputTokens;
            load.waitingPromptTokens += request.hasResponseStarted ? 0 : computeUnreadTokens(request);
        }
        return load;
    }

    /** Computes the load that the requests of all instances put on a target. */
    computeTotalLoad(target: string, now: number): TargetLoad {
        this.#expireDigests(now);
        const own = this.computeOwnLoad(target);
        const peers = this.#peerLoads.get(target);
        return peers === undefined ? own : {
            requests: own.requests + peers.requests,
            tokens: own.tokens + peers.tokens,
            waitingPromptTokens: own.waitingPromptTokens + peers.waitingPromptTokens,
        };
    }

    /** Lists the ages of the peers' latest digests, or of those with load on one target, in milliseconds. */
    listDigestAges(now: number, target?: string): number[] {
        return [...this.#peerDigests.values()]
            .filter(({ work }) => target === undefined || work[target] !== undefined)
            .map(({ receivedAt }) => now - receivedAt);
    }

    /** Adds a digest to the sums of the peers' loads, or subtracts it if `sign` is -1. */
    #addToPeerLoads(work: LoadDigest, sign: 1 | -1): void {
        for (const [target, [requests, tokens, waitingPromptTokens]] of Object.entries(work)) {
            const sum = this.#peerLoads.get(target) ?? { requests: 0, tokens: 0, waitingPromptTokens: 0 };
            sum.requests += sign * requests;
            sum.tokens += sign * tokens;
            sum.waitingPromptTokens += sign * waitingPromptTokens;
            if (sum.requests === 0) {
                this.#peerLoads.delete(target);
            }
            else {
                this.#peerLoads.set(target, sum);
            }
        }
    }

    #expireDigests(now: number): void {
        if (now - this.#lastExpiryAt < EXPIRY_INTERVAL_MILLISECONDS) {
            return;
        }
        this.#lastExpiryAt = now;
        for (const [peer, { receivedAt }] of this.#peerDigests) {
            if (now - receivedAt > DIGEST_LIFETIME_MILLISECONDS) {
                this.removePeer(peer);
            }
        }
    }
}

/** Checks whether a load has fewer requests or tokens than a previous one. */
function isLower(load: LoadDigest[string] | undefined, previous: LoadDigest[string]): boolean {
    return load === undefined || load[0] < previous[0] || load[1] < previous[1];
}
