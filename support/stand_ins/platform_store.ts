/**
 * An in-memory version of the platform's store that performs no I/O.
 *
 * @module
 */
import type { ListedInstance } from "../../core/membership/mod.ts";
import type { PlatformObject, PlatformReply, PlatformRequest } from "../../core/platform/mod.ts";

/** Maximum number of objects in one page of a list. */
const PAGE_SIZE = 200;

/** An in-memory store of versioned objects that executes the calls of the platform's interface. */
export class PlatformStore {
    readonly #objects = new Map<string, PlatformObject>();
    /** Version of each object before the newest one, for stale reads. */
    readonly #previous = new Map<string, PlatformObject>();
    readonly #listeners = new Set<(key: string) => void>();
    /** Number of calls by kind. */
    readonly callCounts: Record<string, number> = {};
    /** Instances that the platform lists. */
    instances: ListedInstance[] = [];
    #version = 0;

    /** Version of the store after the last change. */
    get version(): number {
        return this.#version;
    }

    /** Adds a listener that is called with the key of each change. @returns A function that removes it. */
    addListener(listener: (key: string) => void): () => void {
        this.#listeners.add(listener);
        return () => void this.#listeners.delete(listener);
    }

    /** Executes a call and returns its reply; the reply to a watch is `unchanged` if there is no newer version. */
    handleCall(request: PlatformRequest, options: { isStale?: boolean; } = {}): PlatformReply {
        this.callCounts[request.kind] = (this.callCounts[request.kind] ?? 0) + 1;
        switch (request.kind) {
            case "create":
                return this.#objects.has(request.key) ? { kind: "conflict" } : this.#write(request.key, request.value);
            case "replace":
                return this.#objects.get(request.key)?.version === request.version
                    ? this.#write(request.key, request.value)
                    : { kind: "conflict" };
            case "read":
                return this.#read(request.key, options.isStale ?? false);
            case "watch": {
                // A read may come from a replica with old data; a watch reports every change.
                const reply = this.#read(request.key, false);
                const isNewer = reply.kind === "object" && reply.object.version > request.version;
                return isNewer ? reply : { kind: "unchanged" };
            }
            case "list":
                return this.#list(request.prefix, request.after);
            case "remove":
                this.#objects.delete(request.key);
                return { kind: "done", version: this.#version };
            case "instances":
                return { kind: "instances", instances: this.instances };
        }
    }

    /** Lists the keys that begin with `prefix`. */
    listKeys(prefix: string): string[] {
        return [...this.#objects.keys()].filter(key => key.startsWith(prefix)).sort();
    }

    #write(key: string, value: string): PlatformReply {
        const old = this.#objects.get(key);
        if (old !== undefined) {
            this.#previous.set(key, old);
        }
        this.#version += 1;
        this.#objects.set(key, { key, value, version: this.#version });
        this.#listeners.forEach(listener => listener(key));
        return { kind: "done", version: this.#version };
    }

    #read(key: string, isStale: boolean): PlatformReply {
        const object = isStale ? this.#previous.get(key) ?? this.#objects.get(key) : this.#objects.get(key);
        return object === undefined ? { kind: "missing" } : { kind: "object", object };
    }

    #list(prefix: string, after: string): PlatformReply {
        const keys = this.listKeys(prefix).filter(key => key > after);
        const objects = keys.slice(0, PAGE_SIZE).flatMap(key => this.#objects.get(key) ?? []);
        return { kind: "page", objects, hasMore: keys.length > PAGE_SIZE };
    }
}
