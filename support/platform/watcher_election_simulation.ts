/**
 * Simulates the election of the instances that watch the store, in virtual time.
 *
 * @module
 */
import { RendezvousHash } from "../../core/hashing/mod.ts";
import { classifyWatcher, type PeerWatchState } from "../../core/serving/mod.ts";

/** Options of {@linkcode simulateWatcherElection}. */
export interface WatcherElectionSimulationOptions {
    /** Number of instances. */
    instances: number;
    /** Simulated time, in seconds. */
    seconds: number;
    /** What happens after one second: a key of `SITUATIONS`. */
    situation: string;
    /** True if the next instances take over one after the other, false if all do at once. Defaults to true. */
    isStaggered?: boolean;
}

/** Result of {@linkcode simulateWatcherElection}. */
export interface WatcherElectionOutcome {
    /** Number of instances whose watches work at the end. */
    watchers: number;
    /** Number of instances that have called the store since the situation began. */
    callers: number;
    /** Longest time in which no instance had working watches since the situation began, in milliseconds. */
    unwatchedMilliseconds: number;
}

interface SimulatedInstance {
    name: string;
    isAlive: boolean;
    /** True if the store serves the instance. */
    isServed: boolean;
    /** True if other instances receive its digests. */
    isHeard: boolean;
    isWatching: boolean;
    missingSince: number | undefined;
    lastDigestAt: number;
    /** What its last digest says. */
    announcesWatching: boolean;
}

/** Functions that apply a situation, by its name; the instances are in the order of the election. */
const SITUATIONS: Record<string, (instances: SimulatedInstance[]) => void> = {
    "all work": () => undefined,
    "the store serves nobody": instances => instances.forEach(instance => (instance.isServed = false)),
    "the store refuses the first two": instances =>
        instances.slice(0, 2).forEach(instance => (instance.isServed = false)),
    "the store refuses a third": instances =>
        instances.filter((_, index) => index % 3 === 0).forEach(instance => (instance.isServed = false)),
    "the first two are killed": instances => instances.slice(0, 2).forEach(instance => (instance.isAlive = false)),
    "nobody hears the first one": instances => instances.slice(0, 1).forEach(instance => (instance.isHeard = false)),
    "no instance hears another": instances => instances.forEach(instance => (instance.isHeard = false)),
};

const STEP_MILLISECONDS = 50;
const SITUATION_AT_MILLISECONDS = 1000;
/** Intervals of digests without news, as in the peer exchange. */
const WATCHER_DIGEST_MILLISECONDS = 300;
const DIGEST_MILLISECONDS = 500;
const DIGEST_PER_PEER_MILLISECONDS = 15;
/** Digests that may be missed before an instance counts as lost. */
const MAX_MISSED_DIGESTS = 3;

/** Simulates an election that begins with two working watchers. */
export function simulateWatcherElection(options: WatcherElectionSimulationOptions): WatcherElectionOutcome {
    const { instances: count, seconds, situation, isStaggered = true } = options;
    const names = Array.from({ length: count }, (_, index) => `instance-${index}`);
    const instances = new RendezvousHash(names).listByScore("watch-store").map((name, index): SimulatedInstance => ({
        name,
        isAlive: true,
        isServed: true,
        isHeard: true,
        isWatching: index < 2,
        missingSince: undefined,
        lastDigestAt: 0,
        announcesWatching: index < 2,
    }));
    const callers = new Set<string>();
    let unwatchedMilliseconds = 0;
    let longestUnwatched = 0;
    for (let now = 0; now <= seconds * 1000; now += STEP_MILLISECONDS) {
        if (now === SITUATION_AT_MILLISECONDS) {
            SITUATIONS[situation]?.(instances);
        }
        for (const instance of instances.filter(({ isAlive }) => isAlive)) {
            stepInstance(instance, {
                instances,
                now,
                callers: now >= SITUATION_AT_MILLISECONDS ? callers : new Set(),
                isStaggered,
            });
        }
        const isWatched = instances.some(({ isAlive, isWatching }) => isAlive && isWatching);
        unwatchedMilliseconds = isWatched ? 0 : unwatchedMilliseconds + STEP_MILLISECONDS;
        longestUnwatched = Math.max(longestUnwatched, unwatchedMilliseconds);
    }
    return {
        watchers: instances.filter(({ isAlive, isWatching }) => isAlive && isWatching).length,
        callers: callers.size,
        unwatchedMilliseconds: longestUnwatched,
    };
}

function stepInstance(
    instance: SimulatedInstance,
    step: { instances: SimulatedInstance[]; now: number; callers: Set<string>; isStaggered: boolean; },
): void {
    const { instances, now, callers, isStaggered } = step;
    const keepAlive = DIGEST_MILLISECONDS + DIGEST_PER_PEER_MILLISECONDS * (instances.length - 1);
    const peers = instances.flatMap((peer): PeerWatchState[] => {
        const silenceMilliseconds = now - peer.lastDigestAt;
        return peer === instance || silenceMilliseconds > MAX_MISSED_DIGESTS * keepAlive
            ? []
            : [{ instance: peer.name, isWatching: peer.announcesWatching, silenceMilliseconds }];
    });
    const election = classifyWatcher({ instance: instance.name, peers });
    const takeoverMilliseconds = isStaggered || election.takeoverMilliseconds === undefined
        ? election.takeoverMilliseconds
        : 0;
    instance.missingSince = takeoverMilliseconds === undefined ? undefined : instance.missingSince ?? now;
    const isElected = takeoverMilliseconds !== undefined
        && now - (instance.missingSince ?? now) >= takeoverMilliseconds;
    if (isElected) {
        callers.add(instance.name);
    }
    instance.isWatching = isElected && instance.isServed;
    const interval = instance.isWatching ? WATCHER_DIGEST_MILLISECONDS : keepAlive;
    const hasChanged = instance.isWatching !== instance.announcesWatching;
    if (instance.isHeard && (hasChanged || now - instance.lastDigestAt >= interval)) {
        instance.lastDigestAt = now;
        instance.announcesWatching = instance.isWatching;
    }
}
