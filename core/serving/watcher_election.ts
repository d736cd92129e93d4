/**
 * Elects the instances that watch the platform's store on behalf of the fleet.
 *
 * Load pattern: if every instance of a fleet watches the store, each change costs the store one reply per instance.
 * Instead, two instances watch the store and forward changes to the others. If they fail, or the store refuses them, the
 * next instances in a fixed order take over one after the other, so that neither an outage of the store nor the loss of
 * the watchers makes all instances call it at once.
 *
 * @module
 */
import { MemberRanking } from "../hashing/mod.ts";

/** State of another instance, as this one knows it. */
export interface PeerWatchState {
    /** Name of the instance. */
    instance: string;
    /** True if the instance reports that its watches work. */
    isWatching: boolean;
    /** Time since the instance's last digest, in milliseconds. */
    silenceMilliseconds: number;
}

/** Input of {@linkcode classifyWatcher}. */
export interface WatcherElectionInput {
    /** Name of this instance. */
    instance: string;
    /** The other instances, without those that have missed several digests. */
    peers: readonly PeerWatchState[];
    /** Number of instances that watch the store. Defaults to 2. */
    watchers?: number;
    /** Ranking that is kept between calls. Defaults to a new one. */
    ranking?: MemberRanking;
}

/** Place of an instance in the election. */
export interface WatcherElection {
    /** Number of instances that come before this one. */
    rank: number;
    /**
     * Time for which too few of the instances before this one have to watch the store before it does so itself, in
     * milliseconds; `undefined` while enough of them watch.
     */
    takeoverMilliseconds: number | undefined;
}

/** Two watchers see each change even if one of them fails; each further one would cost one more reply per change. */
const DEFAULT_WATCHER_COUNT = 2;
/**
 * Time without a digest after which an instance no longer counts as a watcher: half of the time within which all
 * instances have to apply a new configuration.
 */
const MAX_SILENCE_MILLISECONDS = 1000;
/**
 * Times after which the watchers and the first two substitutes take over, in milliseconds. The second one waits until the
 * first could have reported its success: a list and a digest. If the store answers neither, it is likely to be down.
 */
const EARLY_TAKEOVER_MILLISECONDS = [0, 50, 350];
/** Time after which the next substitute takes over, and what each further one adds to it, in milliseconds. */
const LATE_TAKEOVER_MILLISECONDS = 1050;
const LATE_TAKEOVER_STEP_MILLISECONDS = 400;
/** Longest time until the first instances take over together, in milliseconds, and what each rank adds to it. */
const MAX_TAKEOVER_MILLISECONDS = 1200;
const MAX_TAKEOVER_PER_RANK_MILLISECONDS = 10;
/** Key by which rendezvous hashing ranks the instances. */
const ELECTION_KEY = "watch-store";

/** Creates a ranking of instances for {@linkcode classifyWatcher}. */
export function createElectionRanking(): MemberRanking {
    return new MemberRanking(ELECTION_KEY);
}

/** Decides whether and after which time this instance watches the store. */
export function classifyWatcher(input: WatcherElectionInput): WatcherElection {
    const { instance, peers, watchers = DEFAULT_WATCHER_COUNT } = input;
    const ranking = input.ranking ?? createElectionRanking();
    const ranked = ranking.listMembers([instance, ...peers.map(peer => peer.instance)]);
    const rank = ranked.indexOf(instance);
    const ahead = new Set(ranked.slice(0, rank));
    const watchersAhead = peers.filter(peer =>
        peer.isWatching && peer.silenceMilliseconds <= MAX_SILENCE_MILLISECONDS && ahead.has(peer.instance)
    );
    if (watchersAhead.length >= watchers) {
        return { rank, takeoverMilliseconds: undefined };
    }
    const substitute = Math.max(0, rank - watchers + 1);
    const late = substitute - EARLY_TAKEOVER_MILLISECONDS.length;
    const takeoverMilliseconds = EARLY_TAKEOVER_MILLISECONDS[substitute] ?? Math.min(
        LATE_TAKEOVER_MILLISECONDS + LATE_TAKEOVER_STEP_MILLISECONDS * late,
        MAX_TAKEOVER_MILLISECONDS + MAX_TAKEOVER_PER_RANK_MILLISECONDS * rank,
    );
    return { rank, takeoverMilliseconds };
}
