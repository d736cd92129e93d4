/**
 * The platform's store without input or output.
 *
 * @module
 */
import type { ListedInstance } from "../../core/membership/mod.ts";
import type { PlatformObject, PlatformReply, PlatformRequest } from "../../core/platform/mod.ts";

const PAGE_SIZE = 200;

/** Keeps objects with versions, and answers calls. */
export class PlatformStore {
    readonly #objects = new Map<string, PlatformObject>();
    readonly #previous = new Map<string, PlatformObject>();
    readonly #listeners = new Set<(key: string) => void>();
    readonly callCounts: Record<string, number> = {};
    instances: ListedInstance[] = [];
    #version = 0;

    /** Version of the last change. */
    get version(): number {
        return this.#version;
    }

    /** Calls `listener` with the key of each change. @returns A function that ends this. */
    addListener(listener: (key: string) => void): () => void {
        this.#listeners.add(listener);
        return () => void this.#listeners.delete(listener);
    }

    /** Answers a call; a watch is answered as a read would be. */
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
                // A read may come from a replica that is behind; a watch gives every change.
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
