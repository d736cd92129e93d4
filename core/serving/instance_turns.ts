/**
 * Divides time into turns, in which one instance after the other may send requests to a target.
 *
 * Load pattern: a limit that holds for all instances together allows less than one request per instance in the time for
 * which it holds. Turns need no messages: instances that know the same number of instances agree on them by the clock.
 *
 * @module
 */
import { hashText } from "../hashing/mod.ts";

/** Position of an instance among all instances that share the limits. */
export interface SharePosition {
    /** Number of instances. */
    instances: number;
    /** Number of instances whose names sort before this one's. */
    rank: number;
}

/** Input of {@linkcode computeTimeSinceTurn}. */
export interface TurnInput extends SharePosition {
    /** Identifier of the target; the instance that starts the cycle differs between targets. */
    target: string;
    /** Unix time in milliseconds; the instances' clocks agree except for small errors. */
    wallTime: number;
    /** Time in which each instance has one turn, in milliseconds. */
    cycleMilliseconds: number;
}

/** Computes the time since the start of this instance's last turn, in milliseconds: less than one cycle. */
export function computeTimeSinceTurn(input: TurnInput): number {
    const { target, wallTime, cycleMilliseconds, instances, rank } = input;
    const interval = cycleMilliseconds / instances;
    const position = (rank + hashText(target)) % instances;
    const currentTurn = Math.floor(wallTime / interval);
    return (currentTurn + instances - position) % instances * interval + wallTime % interval;
}
