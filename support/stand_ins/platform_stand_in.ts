/**
 * The platform over HTTP.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ListedInstance } from "../../core/membership/mod.ts";
import type { PlatformReply, PlatformRequest } from "../../core/platform/mod.ts";
import { sendJson, waitMilliseconds } from "../../network/mod.ts";
import { PlatformStore } from "./platform_store.ts";
import type { StandIn } from "./stand_in_server.ts";

/** Faults of the platform. */
export interface PlatformFaults extends Record<string, number | boolean | string> {
    /** Answers every call with 500. */
    isDown: boolean;
    /** Delays every answer, in milliseconds. */
    delayMilliseconds: number;
    /** Number of changes that take effect but whose answers are lost. */
    lostAnswers: number;
    /** Serves the version before the newest one. */
    isStale: boolean;
    /** Stops answering on the connections that are open now. */
    isSilent: boolean;
}

/** Stands in for the platform. */
export class PlatformStandIn implements StandIn<PlatformFaults> {
    readonly faults: PlatformFaults = {
        isDown: false,
        delayMilliseconds: 0,
        lostAnswers: 0,
        isStale: false,
        isSilent: false,
    };
    readonly store = new PlatformStore();

    async handleRequest(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
        await waitMilliseconds(this.faults.delayMilliseconds);
        if (request.url === "/instances" && request.method === "PUT") {
            this.store.instances = JSON.parse(body.toString()) as ListedInstance[];
            sendJson(response, { status: 200, value: {} });
            return;
        }
        const call = parseCall(request, body);
        if (this.faults.isDown || call === undefined) {
            response.writeHead(this.faults.isDown ? 500 : 404).end();
            return;
        }
        const reply = call.kind === "watch" ? await this.#watch(call) : this.#handle(call);
        const isChange = call.kind === "create" || call.kind === "replace";
        if (isChange && this.faults.lostAnswers > 0) {
            this.faults.lostAnswers -= 1;
            response.destroy();
            return;
        }
        sendReply(response, reply);
    }

    dumpState(): unknown {
        return { counts: this.store.counts, keys: this.store.listKeys("") };
    }

    close(): void {
        // Nothing runs by itself.
    }

    #handle(call: PlatformRequest): PlatformReply {
        return this.store.handleCall(call, { isStale: this.faults.isStale });
    }

    #watch(call: Extract<PlatformRequest, { kind: "watch"; }>): Promise<PlatformReply> {
        const first = this.#handle(call);
        if (first.kind !== "unchanged") {
            return Promise.resolve(first);
        }
        return new Promise(resolve => {
            const settle = (): void => {
                clearTimeout(timer);
                stop();
                resolve(this.#handle(call));
            };
            const timer = setTimeout(settle, call.waitMilliseconds);
            const stop = this.store.addListener(key => {
                if (key === call.key) {
                    settle();
                }
            });
        });
    }
}

function parseCall(request: IncomingMessage, body: Buffer): PlatformRequest | undefined {
    const url = new URL(request.url ?? "/", "http://platform");
    if (url.pathname === "/instances") {
        return { kind: "instances" };
    }
    if (url.pathname === "/objects") {
        const { searchParams } = url;
        return { kind: "list", prefix: searchParams.get("prefix") ?? "", after: searchParams.get("after") ?? "" };
    }
    const key = decodeURIComponent(url.pathname.replace(/^\/objects\//, ""));
    if (key === url.pathname) {
        return undefined;
    }
    if (request.method === "DELETE") {
        return { kind: "remove", key };
    }
    if (request.method === "PUT") {
        const version = request.headers["if-match"];
        const value = body.toString();
        return version === undefined
            ? { kind: "create", key, value }
            : { kind: "replace", key, value, version: Number(version) };
    }
    const watched = url.searchParams.get("watch");
    const waitMilliseconds = Number(url.searchParams.get("wait") ?? 0);
    return !watched ? { kind: "read", key } : { kind: "watch", key, version: Number(watched), waitMilliseconds };
}

const STATUS_BY_REPLY: Record<PlatformReply["kind"], number> = {
    done: 200,
    object: 200,
    page: 200,
    instances: 200,
    unchanged: 304,
    missing: 404,
    conflict: 412,
    unavailable: 500,
};

function sendReply(response: ServerResponse, reply: PlatformReply): void {
    const status = STATUS_BY_REPLY[reply.kind];
    if (status !== 200) {
        response.writeHead(status).end();
        return;
    }
    const { kind: _kind, ...rest } = reply;
    sendJson(response, { status, value: reply.kind === "object" ? reply.object : rest });
}
