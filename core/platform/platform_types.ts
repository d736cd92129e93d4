/**
 * Calls to the platform's store and their answers, as plain data.
 *
 * @module
 */
import type { ListedInstance } from "../membership/mod.ts";

/** One call to the platform. */
export type PlatformRequest =
    | { kind: "create"; key: string; value: string; }
    | { kind: "replace"; key: string; value: string; version: number; }
    | { kind: "read"; key: string; }
    | { kind: "watch"; key: string; version: number; waitMilliseconds: number; }
    | { kind: "list"; prefix: string; after: string; }
    | { kind: "remove"; key: string; }
    | { kind: "instances"; };

/** An object that the platform keeps. */
export interface PlatformObject {
    /** Key of the object. */
    key: string;
    /** Text of the object. */
    value: string;
    /** Version, which grows with each change. */
    version: number;
}

/** The answer to a {@linkcode PlatformRequest}. */
export type PlatformReply =
    /** The change took effect. */
    | { kind: "done"; version: number; }
    /** The object exists already, or its version is another. */
    | { kind: "conflict"; }
    /** The object as it is. */
    | { kind: "object"; object: PlatformObject; }
    /** There is no such object. */
    | { kind: "missing"; }
    /** The watched object has not changed. */
    | { kind: "unchanged"; }
    /** Objects in the order of their keys, and whether more follow. */
    | { kind: "page"; objects: PlatformObject[]; hasMore: boolean; }
    /** The instances that the platform lists. */
    | { kind: "instances"; instances: ListedInstance[]; }
    /** No answer came; a change may or may not have taken effect. */
    | { kind: "unavailable"; };
