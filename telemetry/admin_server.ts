/**
 * Serves metrics, health and a dump of a process's state.
 *
 * @module
 */
import type { Server } from "node:http";
import type { Registry } from "prom-client";
import { type Address, openHttpServer, sendJson } from "../network/mod.ts";

/** Options of {@linkcode openAdminServer}. */
export interface AdminServerOptions {
    /** Address to listen on. */
    address: Address;
    /** Counters of the process. */
    registry: Registry;
    /** Describes the whole state without secrets. */
    dumpState: () => unknown;
    /** Says why the process is not ready; empty where it is. */
    describeReadiness: () => string;
}

/**
 * Opens the administrative server, with `/metrics`, `/dump`, `/ready` and `/live`.
 *
 * A `SIGUSR2` writes the dump to the standard error stream, too.
 *
 * @param options What to serve and where.
 * @returns The listening server.
 */
export async function openAdminServer(options: AdminServerOptions): Promise<Server> {
    const printDump = (): void => {
        process.stderr.write(`${JSON.stringify(options.dumpState())}\n`);
    };
    process.on("SIGUSR2", printDump);
    const server = await openHttpServer({
        address: options.address,
        handler: async (request, response) => {
            const path = (request.url ?? "").split("?")[0] ?? "";
            if (path === "/metrics") {
                const text = await options.registry.metrics();
                response.writeHead(200, { "content-type": options.registry.contentType });
                response.end(text);
                return;
            }
            if (path === "/ready") {
                const reason = options.describeReadiness();
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
    server.on("close", () => process.off("SIGUSR2", printDump));
    return server;
}
