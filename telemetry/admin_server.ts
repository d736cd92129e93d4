/**
 * HTTP server for metrics, health checks and a state dump of the process.
 *
 * @module
 */
import type { Server } from "node:http";
import type { Registry } from "prom-client";
import { type Address, type ClientGuard, openHttpServer, sendJson } from "../network/mod.ts";

/** Options of {@linkcode openAdminServer}. */
export interface AdminServerOptions {
    /** Address to listen on. */
    address: Address;
    /** Registry of the process's metrics. */
    registry: Registry;
    /** Returns the complete state of the process, without secrets. */
    dumpState: () => unknown;
    /** Further read-only pages of the process by path; each gets the parameters of the request. Defaults to none. */
    pages?: Record<string, (parameters: URLSearchParams) => unknown>;
    /** Returns the reason why the process is not ready; empty if it is ready. */
    getUnreadyReason: () => string;
    /** Limits on the clients of the server. Defaults to none. */
    guard?: ClientGuard;
}

/**
 * Opens the administrative server, which serves `/metrics`, `/dump`, `/ready`, `/live` and the process's
 * further pages. They change nothing; other methods than `GET` and `HEAD` are refused.
 *
 * On `SIGUSR2`, the process also writes the state dump to standard error.
 *
 * @param options Address, and the sources of the response bodies.
 * @returns The listening server.
 */
export async function openAdminServer(options: AdminServerOptions): Promise<Server> {
    const writeDump = (): void => {
        process.stderr.write(`${JSON.stringify(options.dumpState())}\n`);
    };
    process.on("SIGUSR2", writeDump);
    const server = await openHttpServer({
        address: options.address,
        ...options.guard === undefined ? {} : { guard: options.guard },
        handler: async (request, response) => {
            const [path = "", query = ""] = (request.url ?? "").split("?", 2);
            if (request.method !== "GET" && request.method !== "HEAD") {
                sendJson(response, { status: 405, value: {}, headers: { allow: "GET, HEAD" } });
                return;
            }
            if (path === "/metrics") {
                const text = await options.registry.metrics();
                response.writeHead(200, { "content-type": options.registry.contentType });
                response.end(text);
                return;
            }
            if (path === "/ready") {
                const reason = options.getUnreadyReason();
                sendJson(response, { status: reason === "" ? 200 : 503, value: { isReady: reason === "", reason } });
                return;
            }
            const pages: AdminServerOptions["pages"] = {
                ...options.pages,
                "/dump": options.dumpState,
                "/live": () => ({ isLive: true }),
            };
            const page = pages[path];
            sendJson(
                response,
                page === undefined
                    ? { status: 404, value: {} }
                    : { status: 200, value: page(new URLSearchParams(query)) },
            );
        },
    });
    server.on("close", () => process.off("SIGUSR2", writeDump));
    return server;
}
