/**
 * Orders to move a service's traffic to another software version, as operators write them to the store.
 *
 * @module
 */

/** States of a rollout, as the store's object shows them. */
export const RolloutState = {
    /** The new version gets a small share of the requests. */
    running: "running",
    /** All requests go to the new version; the targets of other versions stop. */
    completed: "completed",
    /** No request goes to the new version; its targets stop. */
    rolledBack: "rolled_back",
} as const;

/** One of the values of {@linkcode RolloutState}. */
export type RolloutState = (typeof RolloutState)[keyof typeof RolloutState];

/** An order; instances send it to each other with these field names. */
export interface RolloutOrder {
    /** Name of the store's object. */
    name: string;
    /** Revision at which the object was last changed. */
    revision: number;
    /** Service whose traffic is to be moved. */
    service: string;
    /** Software version that the traffic is to be moved to. */
    softwareVersion: string;
    /** Time after the order by which the rollout has to be completed or rolled back, in milliseconds. */
    durationMilliseconds: number;
    /** State that the object shows for this version; `undefined` if it shows none. */
    state?: RolloutState | undefined;
    /** Time since the order was written, in milliseconds, as far as the sender knows. */
    ageMilliseconds: number;
}

/** All orders at one position of the store; instances send it to each other with these field names. */
export interface RolloutSnapshot {
    /** Era of the store. */
    era: number;
    /** Revision of the store up to which the list is current. */
    revision: number;
    /** Revision of the latest change to the list. */
    changeRevision: number;
    /** The orders. */
    orders: RolloutOrder[];
}

/** Limits that a rollout has to keep, over all instances. */
export interface RolloutBounds {
    /** Share of all requests between the order and its time limit that a bad version may get. */
    exposureShare: number;
    /** Requests that a bad version may get in addition. */
    exposureSlack: number;
    /** Time after its 50th bad answer from which a bad version may get no request, in milliseconds. */
    rollbackMilliseconds: number;
}

/** Checks whether a rollout has ended. */
export function isFinalState(state: RolloutState | undefined): boolean {
    return state === RolloutState.completed || state === RolloutState.rolledBack;
}
