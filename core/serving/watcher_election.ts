/**
 * Elects the instances that watch the platform's store on behalf of the fleet.
 *
 * Load pattern: if every instance of a fleet watches the store, each change costs the store one reply per instance.
 * Instead, a few instances watch the store and forward changes to the others. An instance that receives no digests from
 * a watcher watches the store itself, so that neither the loss of the watchers nor a network partition between
 * instances cuts it off from changes.
 *
 * @module
 */
import { RendezvousHash } from "../hashing/mod.ts";

/** State of another instance, as this one knows it. */
export interface PeerWatchState {
    /** Name of the instance. */
    instance: string;
    /** True if the instance reports that its watches work. */
    isWatching: boolean;
    /** Time since the instance's last digest, in milliseconds. */
    silenceMilliseconds: number;
}

/** Input of {@linkcode isElectedWatcher}. */
export interface WatcherElectionInput {
    /** Name of this instance. */
    instance: string;
    /** The other instances. */
    peers: readonly PeerWatchState[];
    /** Number of instances that watch the store. Defaults to 3. */
    watchers?: number;
}

/**
 * With three watchers, one remains if two fail at once, for instance one of them with its zone. More watchers would
 * cost more replies of the store and add little.
 */
const DEFAULT_WATCHER_COUNT = 3;
/**
 * Time without a digest after which an instance no longer counts as a watcher: half of the time within which all
 * instances have to apply a new configuration.
 */
const MAX_SILENCE_MILLISECONDS = 1000;
/** Key by which rendezvous hashing ranks the instances. */
const ELECTION_KEY = "watch-store";

/** Checks whether this instance watches the store. */
export function isElectedWatcher(input: WatcherElectionInput): boolean {
    const { instance, peers, watchers = DEFAULT_WATCHER_COUNT } = input;
    const responsive = peers.filter(peer => peer.silenceMilliseconds <= MAX_SILENCE_MILLISECONDS);
    if (!responsive.some(peer => peer.isWatching)) {
        return true;
    }
    const ranked = new RendezvousHash([instance, ...responsive.map(peer => peer.instance)]).listByScore(ELECTION_KEY);
    return ranked.slice(0, watchers).includes(instance);
}
