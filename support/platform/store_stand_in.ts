/**
 * A stand-in for the platform's store, which holds objects by kind and name, supports revisions, paged lists and
 * watches, and can be restored from a copy.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { sendJson, waitMilliseconds } from "../../network/mod.ts";
import type { FaultTable, StandIn } from "../stand_ins/mod.ts";

/** Faults of a {@linkcode StoreStandIn}. */
export interface StoreFaults extends FaultTable {
    /** Resets the connection of every call. */
    isReset: boolean;
    /** Keeps connections open without ever responding. */
    isUnresponsive: boolean;
    /** HTTP status of every response; 0 for normal responses. */
    refuseWith: number;
    /** Number of next writes that are applied but whose response is never sent. */
    lostResponses: number;
    /** Number of next writes that are refused with status 503. */
    refusedWrites: number;
    /** Sends other bytes right after every response to a list. */
    hasTrailingBytes: boolean;
    /** Sends the head of an upgrade as every response. */
    sendsUpgrade: boolean;
    /** Sends truncated JSON as every response. */
    isNonsense: boolean;
    /** Largest number of objects in a page of a list. */
    pageSize: number;
    /** Oldest revision from which a watch can resume; a watch from an older one gets status 410. */
    historyFrom: number;
    /** Refuses every call with status 503. */
    isDown: boolean;
    /** Delay of every response, in milliseconds. */
    delayMilliseconds: number;
}

interface StoredObject {
    metadata: { name: string; revision: number; };
    spec: unknown;
    /** State that is kept beside the content. */
    status?: unknown;
    /** JSON text with which lists and watches show the object; `undefined` for that of its metadata and content. */
    text?: string;
}

/** Body of a write; with a revision, the write succeeds only if that is the current one. */
interface SubmittedObject {
    metadata: { name: string; revision?: number; };
    spec: unknown;
    status?: unknown;
}

interface StoredChange {
    kind: string;
    object: StoredObject;
    deleted: boolean;
    revision: number;
}

/** Serves the store's HTTP interface from memory. */
export class StoreStandIn implements StandIn<StoreFaults> {
    readonly faults: StoreFaults = {
        isReset: false,
        isUnresponsive: false,
        refuseWith: 0,
        lostResponses: 0,
        refusedWrites: 0,
        hasTrailingBytes: false,
        sendsUpgrade: false,
        isNonsense: false,
        pageSize: 500,
        historyFrom: 0,
        isDown: false,
        delayMilliseconds: 0,
    };
    /** Method and object kind of each received call, in order. */
    readonly calls: string[] = [];
    readonly #objects = new Map<string, Map<string, StoredObject>>();
    readonly #changes: StoredChange[] = [];
    readonly #pendingWakeups = new Set<() => void>();
    /** Kind of each pending watch, by the watch's response. */
    readonly #pendingWatches = new Map<ServerResponse, string>();
    /** Ports whose callers are turned away. */
    readonly #closedPorts = new Set<number>();
    #isSilentAtClosedPorts = false;
    #revision = 10;
    #era = 1;
    #copy: { revision: number; objects: [kind: string, objects: Map<string, StoredObject>][]; } | undefined;

    /** Copies all objects; {@linkcode loadCopy} goes back to the latest copy. */
    takeCopy(): void {
        this.#copy = {
            revision: this.#revision,
            objects: [...this.#objects].map(([kind, objects]) => [kind, new Map(objects)]),
        };
    }

    /** Goes back to the latest copy: starts a new era, drops all later changes, and breaks the pending watches. */
    loadCopy(): void {
        if (this.#copy === undefined) {
            throw new Error("Cannot restore the store: no copy was taken.");
        }
        this.#era += 1;
        this.#revision = this.#copy.revision;
        this.#objects.clear();
        for (const [kind, objects] of this.#copy.objects) {
            this.#objects.set(kind, new Map(objects));
        }
        this.#changes.splice(0, Infinity, ...this.#changes.filter(change => change.revision <= this.#revision));
        this.breakWatches();
    }

    /** Checks whether an object exists. */
    hasObject(kind: string, name: string): boolean {
        return this.#objects.get(kind)?.has(name) === true;
    }

    /** Gets the status of an object; `undefined` if it has none. */
    getStatus(kind: string, name: string): unknown {
        return this.#objects.get(kind)?.get(name)?.status;
    }

    /** Lists the names of the objects of a kind. */
    listNames(kind: string): string[] {
        return [...this.#objects.get(kind)?.keys() ?? []].sort();
    }

    /** Writes an object, as an operator or a target does. */
    putObject(kind: string, name: string, spec: unknown): void {
        this.#put(kind, { metadata: { name, revision: this.#revision + 1 }, spec });
    }

    /** Writes an object whose text may be one that no encoder writes; `formatText` gets its metadata. */
    putText(
        kind: string,
        name: string,
        formatText: (metadata: { name: string; revision: number; }) => string,
    ): void {
        const metadata = { name, revision: this.#revision + 1 };
        this.#put(kind, { metadata, spec: {}, text: formatText(metadata) });
    }

    #put(kind: string, object: StoredObject): void {
        const { name } = object.metadata;
        this.#revision += 1;
        const objects = this.#objects.get(kind) ?? new Map<string, StoredObject>();
        objects.set(name, object);
        this.#objects.set(kind, objects);
        this.#publish({ kind, object, deleted: false, revision: this.#revision });
    }

    /** Counts the pending watches of a kind. */
    countWatches(kind: string): number {
        return [...this.#pendingWatches.values()].filter(watchedKind => watchedKind === kind).length;
    }

    /** Breaks the connections of all pending watches. */
    breakWatches(): void {
        for (const response of this.#pendingWatches.keys()) {
            response.destroy();
        }
    }

    /**
     * Turns the callers at some ports away from now on: with status 503 or, if `isSilent` is set, without an answer. Their
     * pending watches are never answered.
     */
    refusePorts(ports: readonly number[], { isSilent }: { isSilent: boolean; }): void {
        this.#isSilentAtClosedPorts = isSilent;
        ports.forEach(port => this.#closedPorts.add(port));
        const waiting = [...this.#pendingWatches.keys()].flatMap(({ socket }) => socket ?? []);
        waiting.filter(({ localPort = 0 }) => this.#closedPorts.has(localPort))
            .forEach(socket => (socket.write = () => true));
    }

    /** Removes an object; does nothing if there is none. */
    removeObject(kind: string, name: string): void {
        const object = this.#objects.get(kind)?.get(name);
        if (object !== undefined) {
            this.#revision += 1;
            this.#objects.get(kind)?.delete(name);
            this.#publish({ kind, object, deleted: true, revision: this.#revision });
        }
    }

    async handleRequest(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
        const url = new URL(request.url ?? "/", "http://store");
        const [, , kind = "", name, part = ""] = url.pathname.split("/").map(decodeURIComponent);
        this.calls.push(`${request.method} ${kind}`);
        response.setHeader("store-era", String(this.#era));
        await waitMilliseconds(this.faults.delayMilliseconds);
        if (this.#closedPorts.has(request.socket.localPort ?? 0)) {
            if (!this.#isSilentAtClosedPorts) {
                sendJson(response, { status: 503, value: {} });
            }
        }
        else if (this.faults.isReset) {
            request.socket.resetAndDestroy();
        }
        else if (this.faults.isDown || this.faults.refuseWith > 0) {
            sendJson(response, { status: this.faults.isDown ? 503 : this.faults.refuseWith, value: {} });
        }
        else if (this.faults.sendsUpgrade) {
            response.writeHead(101, { connection: "upgrade", upgrade: "other" }).end();
        }
        else if (this.faults.isNonsense) {
            response.end("{\"items\":");
        }
        else if (!this.faults.isUnresponsive) {
            await this.#answer(response, { method: request.method ?? "GET", kind, name, part, url, body });
        }
    }

    dumpState(): unknown {
        return { revision: this.#revision, calls: this.calls };
    }

    close(): void {
        this.#pendingWakeups.clear();
    }

    async #answer(
        response: ServerResponse,
        call: { method: string; kind: string; name: string | undefined; part: string; url: URL; body: Buffer; },
    ): Promise<void> {
        const { method, kind, name, part, url, body } = call;
        if (method === "GET" && url.searchParams.has("watch")) {
            await this.#answerWatch(response, { kind, url });
        }
        else if (method === "GET" && name !== undefined) {
            this.#answerObject(response, { kind, name });
        }
        else if (method === "DELETE") {
            this.#answerObject(response, { kind, name: name ?? "" });
            this.removeObject(kind, name ?? "");
        }
        else if (method === "GET") {
            this.#answerList(response, { kind, after: url.searchParams.get("after") ?? "" });
        }
        else {
            this.#answerChange(response, { method, kind, name, part, body });
        }
    }

    #answerObject(response: ServerResponse, { kind, name }: { kind: string; name: string; }): void {
        const object = this.#objects.get(kind)?.get(name);
        sendJson(response, object === undefined ? { status: 404, value: {} } : { status: 200, value: object });
    }

    #answerList(response: ServerResponse, list: { kind: string; after: string; }): void {
        const all = [...this.#objects.get(list.kind)?.values() ?? []];
        const sorted = all.sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
        const remaining = sorted.filter(object => object.metadata.name > list.after);
        const items = remaining.slice(0, this.faults.pageSize);
        const more = remaining.length > items.length;
        const text = `{"items":[${items.map(formatObject).join()}],"more":${more},"as_of":${this.#revision}}`;
        if (this.faults.hasTrailingBytes) {
            const head = `HTTP/1.1 200 OK\r\nstore-era: ${this.#era}\r\ncontent-length: ${Buffer.byteLength(text)}`;
            response.socket?.write(`${head}\r\n\r\n${text} and more\r\n\r\n`);
            return;
        }
        sendText(response, text);
    }

    async #answerWatch(response: ServerResponse, watch: { kind: string; url: URL; }): Promise<void> {
        const from = Number(watch.url.searchParams.get("watch"));
        if (from < this.faults.historyFrom || from > this.#revision) {
            sendJson(response, { status: 410, value: {} });
            return;
        }
        const listChanges = (): StoredChange[] =>
            this.#changes.filter(change => change.kind === watch.kind && change.revision > from);
        if (listChanges().length === 0) {
            this.#pendingWatches.set(response, watch.kind);
            response.on("close", () => this.#pendingWatches.delete(response));
            await this.#waitForChange(Number(watch.url.searchParams.get("wait_ms")));
        }
        if (response.destroyed) {
            return;
        }
        const events = listChanges().map(({ object, deleted }) =>
            `{"object":${formatObject(object)},"deleted":${deleted}}`
        );
        sendText(response, `{"events":[${events.join()}],"as_of":${this.#revision}}`);
    }

    #answerChange(
        response: ServerResponse,
        change: { method: string; kind: string; name: string | undefined; part: string; body: Buffer; },
    ): void {
        if (this.faults.refusedWrites > 0) {
            this.faults.refusedWrites -= 1;
            sendJson(response, { status: 503, value: {} });
            return;
        }
        const { metadata, spec, status } = JSON.parse(change.body.toString()) as SubmittedObject;
        const current = this.#objects.get(change.kind)?.get(metadata.name);
        const isOutdated = metadata.revision !== undefined && metadata.revision !== current?.metadata.revision;
        if (current !== undefined && (change.method === "POST" || isOutdated)) {
            sendJson(response, { status: 409, value: current });
            return;
        }
        if (change.method === "PUT" && current === undefined) {
            sendJson(response, { status: 404, value: {} });
            return;
        }
        if (change.part === "status") {
            this.#put(change.kind, {
                metadata: { name: metadata.name, revision: this.#revision + 1 },
                spec: current?.spec,
                status,
            });
        }
        else {
            this.putObject(change.kind, metadata.name, spec);
        }
        if (this.faults.lostResponses > 0) {
            this.faults.lostResponses -= 1;
            return;
        }
        sendJson(response, { status: 200, value: this.#objects.get(change.kind)?.get(metadata.name) });
    }

    #publish(change: StoredChange): void {
        this.#changes.push(change);
        for (const wake of this.#pendingWakeups) {
            wake();
        }
    }

    /** Waits until an object changes, for `milliseconds` at most. */
    #waitForChange(milliseconds: number): Promise<void> {
        return new Promise(resolve => {
            const wake = (): void => {
                clearTimeout(timer);
                this.#pendingWakeups.delete(wake);
                setTimeout(resolve, 1);
            };
            const timer = setTimeout(wake, milliseconds);
            this.#pendingWakeups.add(wake);
        });
    }
}

function formatObject({ text, ...object }: StoredObject): string {
    return text ?? JSON.stringify(object);
}

function sendText(response: ServerResponse, text: string): void {
    response.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}
