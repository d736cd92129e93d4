/**
 * Requests to the platform's key-value store and its replies, as plain data.
 *
 * @module
 */
import type { ListedInstance } from "../membership/mod.ts";

/** A request to the platform's store. */
export type PlatformRequest =
    /** Creates an object; conflicts if the key exists. */
    | { kind: "create"; key: string; value: string; }
    /** Replaces an object; conflicts if its version is not `version` or it does not exist. */
    | { kind: "replace"; key: string; value: string; version: number; }
    /** Reads an object. */
    | { kind: "read"; key: string; }
    /** Waits for up to `waitMilliseconds` until an object changes after `version`. */
    | { kind: "watch"; key: string; version: number; waitMilliseconds: number; }
    /** Lists the objects whose keys start with `prefix` and sort after `after`. */
    | { kind: "list"; prefix: string; after: string; }
    /** Removes an object; succeeds if it does not exist. */
    | { kind: "remove"; key: string; }
    /** Lists the instances of this system that are registered at the platform. */
    | { kind: "instances"; };

/** An object in the platform's store. */
export interface PlatformObject {
    /** Key of the object. */
    key: string;
    /** Text of the object. */
    value: string;
    /** Version, which increases with each change. */
    version: number;
}

/** Reply to a {@linkcode PlatformRequest}. */
export type PlatformReply =
    /** The change was made; `version` is the object's new version, and has no meaning after a removal. */
    | { kind: "done"; version: number; }
    /** The object exists already, or has another version than expected. */
    | { kind: "conflict"; }
    /** The current state of the object. */
    | { kind: "object"; object: PlatformObject; }
    /** The object does not exist. */
    | { kind: "missing"; }
    /** The watched object has not changed. */
    | { kind: "unchanged"; }
    /** Objects in the order of their keys, and whether more follow. */
    | { kind: "page"; objects: PlatformObject[]; hasMore: boolean; }
    /** The instances that the platform lists. */
    | { kind: "instances"; instances: ListedInstance[]; }
    /** No usable reply was received; a change may or may not have been made. */
    | { kind: "unavailable"; };
