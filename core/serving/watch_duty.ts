/**
 * Decides which instances watch the platform's store for all.
 *
 * Load pattern: a fleet in which every instance holds its own watches pays for each change once for every instance. A few
 * watch and tell the others; an instance that hears of no healthy watcher watches itself, so that neither the loss of the
 * watchers nor a cut between instances leaves it without news.
 *
 * @module
 */
import { Rendezvous } from "../hashing/mod.ts";

/** Another instance, as this one sees it. */
export interface WatchPeer {
    /** Name of the instance. */
    instance: string;
    /** True where it says that its watches work. */
    isWatching: boolean;
    /** Time since its last digest, in milliseconds. */
    silenceMilliseconds: number;
}

/** What the decision is made from. */
export interface WatchQuestion {
    /** Name of this instance. */
    instance: string;
    /** The other instances. */
    peers: readonly WatchPeer[];
    /** Number of instances that are to watch. Defaults to 3. */
    watchers?: number;
}

/** Loss of two watchers at once, one of them a zone's, leaves one; more would cost more and add little. */
const DEFAULT_WATCHERS = 3;
/** Silence after which a watcher no longer counts, in milliseconds: half of the time to apply a configuration. */
const MAX_SILENCE = 1000;
/** Key of the duty, by which instances are ranked. */
const DUTY = "watch-store";

/** Decides whether this instance watches the store. */
export function decideWatching(question: WatchQuestion): boolean {
    const { instance, peers, watchers = DEFAULT_WATCHERS } = question;
    const heard = peers.filter(peer => peer.silenceMilliseconds <= MAX_SILENCE);
    if (!heard.some(peer => peer.isWatching)) {
        return true;
    }
    const ranked = new Rendezvous([instance, ...heard.map(peer => peer.instance)]).listByScore(DUTY);
    return ranked.slice(0, watchers).includes(instance);
}
