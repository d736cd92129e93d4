/**
 * Logs the objects of the platform's store that cannot be used.
 *
 * @module
 */
import type { DecisionLog } from "../telemetry/mod.ts";

/** An object that cannot be used. */
export interface UnusableObject {
    /** Kind of the object. */
    kind: string;
    /** Name of the object; `undefined` if it has none. */
    name: string | undefined;
    /** Revision at which the object was last changed; 0 if it has none. */
    revision: number;
    /** Why it cannot be used; `undefined` if its content does not match the schema of its kind. */
    reason?: string;
}

/** Number of objects whose line is remembered. */
const MAX_REMEMBERED_OBJECTS = 1000;
/** Length to which names are truncated in lines. */
const MAX_NAME_CHARACTERS = 100;

/** Logs one line for each revision of an object, however often the object is listed. */
export class MalformedObjectLog {
    readonly #log: DecisionLog;
    /** Latest logged revision of each object, by kind, name and reason. */
    readonly #logged = new Map<string, number>();

    /** @param log Decision log. */
    constructor(log: DecisionLog) {
        this.#log = log;
    }

    /** Logs an object, unless this revision of it was the last one that was logged. */
    record({ kind, name, revision, reason }: UnusableObject): void {
        const shownName = name?.slice(0, MAX_NAME_CHARACTERS);
        const key = JSON.stringify([kind, shownName, reason]);
        if (this.#logged.get(key) === revision) {
            return;
        }
        if (this.#logged.size >= MAX_REMEMBERED_OBJECTS) {
            this.#logged.clear();
        }
        this.#logged.set(key, revision);
        this.#log.record("belief", "store object unusable", { kind, name: shownName, revision, reason });
    }
}
