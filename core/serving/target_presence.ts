/**
 * States what is known about whether a target still runs.
 *
 * @module
 */

/** What a call to a target shows about whether it still runs. */
export const TargetPresence = {
    /** It answers, or accepts connections. */
    running: "running",
    /** Nothing listens at its address. */
    gone: "gone",
    /** Another target, or a later start of it, answers at its address. */
    replaced: "replaced",
    /** It does not respond. */
    unknown: "unknown",
} as const;

/** One of the values of {@linkcode TargetPresence}. */
export type TargetPresence = (typeof TargetPresence)[keyof typeof TargetPresence];
