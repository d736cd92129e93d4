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
    /** Returns the reason why the process is not ready; empty if it is ready. */
    getUnreadyReason: () => string;
    /** Limits on the clients of the server. Defaults to none. */
    guard?: ClientGuard;
}

/**
 * Opens the administrative server, which serves `/metrics`, `/dump`, `/ready` and `/live`.
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
            const path = (request.url ?? "").split("?")[0] ?? "";
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
            const pages: Record<string, () => unknown> = {
                "/dump": options.dumpState,
                "/live": () => ({ isLive: true }),
            };
            const page = pages[path];
            sendJson(response, page === undefined ? { status: 404, value: {} } : { status: 200, value: page() });
        },
    });
    server.on("close", () => process.off("SIGUSR2", writeDump));
    return server;
}
