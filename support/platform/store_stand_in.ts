/**
 * A stand-in for the platform's store: objects by kind and name, revisions, pages and watches.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { sendJson, waitMilliseconds } from "../../network/mod.ts";
import type { FaultTable, StandIn } from "../stand_ins/mod.ts";

/** Faults of a {@linkcode StoreStandIn}. */
export interface StoreFaults extends FaultTable {
    /** Resets every connection on which a call comes. */
    isReset: boolean;
    /** Never answers. */
    isMute: boolean;
    /** Status of every answer; 0 for the usual ones. */
    refuseWith: number;
    /** Changes that are made and not answered. */
    lostAnswers: number;
    /** Answers with text that is no JSON. */
    isNonsense: boolean;
    /** Objects in a page. */
    pageSize: number;
    /** Oldest revision from which a watch can go on. */
    historyFrom: number;
    /** Refuses every call with 503. */
    isDown: boolean;
    /** Delays every answer, in milliseconds. */
    delayMilliseconds: number;
}

interface StoredObject {
    metadata: { name: string; revision: number; };
    spec: unknown;
}

interface SentObject {
    metadata: { name: string; revision?: number; };
    spec: unknown;
}

interface StoredEvent {
    kind: string;
    object: StoredObject;
    deleted: boolean;
    revision: number;
}

/** Keeps objects in memory. */
export class StoreStandIn implements StandIn<StoreFaults> {
    readonly faults: StoreFaults = {
        isReset: false,
        isMute: false,
        refuseWith: 0,
        lostAnswers: 0,
        isNonsense: false,
        pageSize: 500,
        historyFrom: 0,
        isDown: false,
        delayMilliseconds: 0,
    };
    /** Calls that have come, by method and kind. */
    readonly calls: string[] = [];
    readonly #objects = new Map<string, Map<string, StoredObject>>();
    readonly #events: StoredEvent[] = [];
    readonly #waiting = new Set<() => void>();
    readonly #watches = new Set<ServerResponse>();
    #revision = 10;

    /** Writes an object as the operator or a target would. */
    putObject(kind: string, name: string, spec: unknown): void {
        this.#revision += 1;
        const object = { metadata: { name, revision: this.#revision }, spec };
        const objects = this.#objects.get(kind) ?? new Map<string, StoredObject>();
        objects.set(name, object);
        this.#objects.set(kind, objects);
        this.#publish({ kind, object, deleted: false, revision: this.#revision });
    }

    /** Cuts the watches that wait. */
    breakWatches(): void {
        for (const response of this.#watches) {
            response.destroy();
        }
    }

    /** Removes an object. */
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
        const [, , kind = "", name] = url.pathname.split("/").map(decodeURIComponent);
        this.calls.push(`${request.method} ${kind}`);
        await waitMilliseconds(this.faults.delayMilliseconds);
        if (this.faults.isReset) {
            request.socket.resetAndDestroy();
        }
        else if (this.faults.isDown || this.faults.refuseWith > 0) {
            sendJson(response, { status: this.faults.isDown ? 503 : this.faults.refuseWith, value: {} });
        }
        else if (this.faults.isNonsense) {
            response.end("{\"items\":");
        }
        else if (!this.faults.isMute) {
            await this.#answer(response, { method: request.method ?? "GET", kind, name, url, body });
        }
    }

    dumpState(): unknown {
        return { revision: this.#revision, calls: this.calls };
    }

    close(): void {
        this.#waiting.clear();
    }

    async #answer(
        response: ServerResponse,
        call: { method: string; kind: string; name: string | undefined; url: URL; body: Buffer; },
    ): Promise<void> {
        const { method, kind, name, url, body } = call;
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
            this.#answerChange(response, { method, kind, name, body });
        }
    }

    #answerObject(response: ServerResponse, { kind, name }: { kind: string; name: string; }): void {
        const object = this.#objects.get(kind)?.get(name);
        sendJson(response, object === undefined ? { status: 404, value: {} } : { status: 200, value: object });
    }

    #answerList(response: ServerResponse, list: { kind: string; after: string; }): void {
        const all = [...this.#objects.get(list.kind)?.values() ?? []];
        const sorted = all.sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
        const rest = sorted.filter(object => object.metadata.name > list.after);
        const items = rest.slice(0, this.faults.pageSize);
        const more = rest.length > items.length;
        sendJson(response, { status: 200, value: { items, more, as_of: this.#revision } });
    }

    async #answerWatch(response: ServerResponse, watch: { kind: string; url: URL; }): Promise<void> {
        const from = Number(watch.url.searchParams.get("watch"));
        if (from < this.faults.historyFrom) {
            sendJson(response, { status: 410, value: {} });
            return;
        }
        const list = (): StoredEvent[] =>
            this.#events.filter(event => event.kind === watch.kind && event.revision > from);
        if (list().length === 0) {
            this.#watches.add(response);
            response.on("close", () => this.#watches.delete(response));
            await this.#waitForChange(Number(watch.url.searchParams.get("wait_ms")));
        }
        if (response.destroyed) {
            return;
        }
        const events = list().map(({ object, deleted }) => ({ object, deleted }));
        sendJson(response, { status: 200, value: { events, as_of: this.#revision } });
    }

    #answerChange(
        response: ServerResponse,
        change: { method: string; kind: string; name: string | undefined; body: Buffer; },
    ): void {
        const { metadata, spec } = JSON.parse(change.body.toString()) as SentObject;
        const known = this.#objects.get(change.kind)?.get(metadata.name);
        const isOther = metadata.revision !== undefined && metadata.revision !== known?.metadata.revision;
        if (known !== undefined && (change.method === "POST" || isOther)) {
            sendJson(response, { status: 409, value: known });
            return;
        }
        if (change.method === "PUT" && known === undefined) {
            sendJson(response, { status: 404, value: {} });
            return;
        }
        this.putObject(change.kind, metadata.name, spec);
        if (this.faults.lostAnswers > 0) {
            this.faults.lostAnswers -= 1;
            return;
        }
        sendJson(response, { status: 200, value: this.#objects.get(change.kind)?.get(metadata.name) });
    }

    #publish(event: StoredEvent): void {
        this.#events.push(event);
        for (const wake of this.#waiting) {
            wake();
        }
    }

    /** Waits until something changes, for as long as `milliseconds`. */
    #waitForChange(milliseconds: number): Promise<void> {
        return new Promise(resolve => {
            const wake = (): void => {
                clearTimeout(timer);
                this.#waiting.delete(wake);
                setTimeout(resolve, 1);
            };
            const timer = setTimeout(wake, milliseconds);
            this.#waiting.add(wake);
        });
    }
}
