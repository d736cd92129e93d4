/**
 * A test site with the real program under the memory flags of the smallest machine, and crowds of misbehaving clients.
 *
 * @module
 */
import { mkdtemp, readdir, readFile, rm, writeFile } from "node:fs/promises";
import { Agent, request as startRequest } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseAddress, waitMilliseconds } from "../../../network/mod.ts";
import { callHttp, findAddresses, type RunningChild, startChild, waitUntil } from "../../processes/mod.ts";
import { ServingSite, SITE_API_KEY } from "../serving_site.ts";
import { formatSettingsText } from "../settings_text.ts";
import { FLOOD_KINDS } from "./flood_kinds.ts";

/** Ports of an instance that clients reach. */
export type FloodPort = "caller" | "ready" | "admin" | "peer";

/** A crowd of misbehaving clients. */
export interface Flood {
    /** Kind of the clients: a key of `FLOOD_KINDS`. */
    kind: string;
    /** Port that they connect to. Defaults to `caller`. */
    port?: FloodPort;
    /** Path of their requests. Defaults to one with a route. */
    path?: string;
    /** Connections at the same time. Defaults to those of the kind. */
    connections?: number;
    /** Duration, in milliseconds. */
    milliseconds: number;
}

/** What was measured during a flood. */
export interface FloodResult {
    /** Largest resident memory of the instance since its start, in MB. */
    peakMegabytes: number;
    /**
     * Share of the ordinary requests that were answered with 200 within the latency objective of their route, on
     * connections that are kept open and on new ones.
     */
    servedShare: { kept: number; fresh: number; };
    /** Number of ordinary requests. */
    requests: number;
    /** Number of ordinary requests by status, with 0 for a connection that was closed; late ones count as "late". */
    ends: Record<string, number>;
    /** True if the instance is running. */
    isRunning: boolean;
    /** Descriptors of the instance that were open at the end of the flood. */
    openDescriptors: number;
}

/** Memory and descriptors of the smallest machine. */
export const SMALLEST_MACHINE = { "limits.memory_mb": "178", "limits.max_fds": "2212" };
const NODE_FLAGS = ["--max-old-space-size=140", "--max-semi-space-size=4"];
const FLOOD_PROGRAM = "dist/support/platform/flood/run_flood_clients.js";
/** Latency objective of the ordinary requests, in milliseconds, as the site's configuration states it. */
const OBJECTIVE_MILLISECONDS = 200;
/** Time between the ordinary requests, in milliseconds. */
const REQUEST_INTERVAL_MILLISECONDS = 20;
/** Time from the start of a flood to the first ordinary request, in milliseconds. */
const FLOOD_LEAD_MILLISECONDS = 100;
const KILOBYTES_PER_MEGABYTE = 1024;

/** A site with one instance as a child process. */
export class FloodSite {
    readonly #site = new ServingSite();
    readonly #agent = new Agent({ keepAlive: true, maxSockets: 8 });
    readonly #children = new Set<RunningChild>();
    #folder = "";
    #addresses: Record<FloodPort, string> = { caller: "", ready: "", admin: "", peer: "" };
    #child: RunningChild | undefined;
    #requests = 0;

    /** Starts the site. @param program Path of the program, to compare builds. */
    async start(program = "dist/bin/knapweed_serve.js"): Promise<void> {
        await this.#site.openStore();
        await this.#site.addTarget("ledger");
        await this.#site.addTarget("ledger");
        const [caller = "", ready = "", peer = "", admin = ""] = await findAddresses(4);
        this.#addresses = { caller, ready, admin, peer };
        this.#folder = await mkdtemp(join(tmpdir(), "knapweed-flood-"));
        const path = join(this.#folder, "node.conf");
        const internalPort = parseAddress(admin).port;
        await writeFile(
            path,
            formatSettingsText({ caller, ready, peer, internalPort, store: this.#site.storeAddress }, SMALLEST_MACHINE),
        );
        this.#child = startChild(program, { arguments: ["--settings", path], nodeFlags: NODE_FLAGS });
        this.#children.add(this.#child);
        await waitUntil(async () => (await callHttp({ address: ready, path: "/readyz" })).status === 200);
    }

    /** Address of a port, as `IP:port`. */
    getAddress(port: FloodPort): string {
        return this.#addresses[port];
    }

    /** What the instance has written to standard output and standard error. */
    getOutput(): string {
        return this.#child?.getOutput() ?? "";
    }

    /** Sends ordinary requests beside a crowd of misbehaving clients. */
    async runFlood(flood: Flood): Promise<FloodResult> {
        const { kind, port = "caller", path = "/stamp/1", milliseconds } = flood;
        const { connections = FLOOD_KINDS[kind]?.connections ?? 0 } = flood;
        const clients = startChild(FLOOD_PROGRAM, {
            arguments: [kind, this.#addresses[port], path, String(connections), String(milliseconds)],
        });
        this.#children.add(clients);
        await waitMilliseconds(FLOOD_LEAD_MILLISECONDS);
        const results: Promise<string>[] = [];
        while (clients.isRunning() && this.#child?.isRunning() === true) {
            const isKept = results.length % 2 === 0;
            results.push(this.#callOrdinarily(isKept));
            await waitMilliseconds(REQUEST_INTERVAL_MILLISECONDS);
        }
        const isRunning = this.#child?.isRunning() === true;
        const ends: Record<string, number> = {};
        const served = { kept: 0, fresh: 0 };
        for (const [index, end] of (await Promise.all(results)).entries()) {
            ends[end] = (ends[end] ?? 0) + 1;
            served[index % 2 === 0 ? "kept" : "fresh"] += end === "200" ? 1 : 0;
        }
        return {
            peakMegabytes: await this.#readPeakMegabytes(),
            servedShare: {
                kept: served.kept / Math.ceil(results.length / 2),
                fresh: served.fresh / Math.max(1, Math.floor(results.length / 2)),
            },
            requests: results.length,
            ends,
            isRunning,
            openDescriptors: await this.countDescriptors(),
        };
    }

    /** Counts the open descriptors of the instance; -1 if it has ended. */
    async countDescriptors(): Promise<number> {
        return readdir(`/proc/${this.#child?.pid}/fd`).then(names => names.length, () => -1);
    }

    /** Stops the site. */
    async close(): Promise<void> {
        this.#children.forEach(child => child.sendSignal("SIGKILL"));
        this.#agent.destroy();
        this.#site.close();
        await rm(this.#folder, { recursive: true, force: true });
    }

    /** Sends one request, on a connection that is kept open or on a new one, and describes its end. */
    async #callOrdinarily(isKept: boolean): Promise<string> {
        this.#requests += 1;
        const startedAt = performance.now();
        const status = await new Promise<number>(resolve => {
            const request = startRequest({
                ...parseAddress(this.#addresses.caller),
                agent: isKept ? this.#agent : false,
                path: "/lookup/1",
                headers: {
                    "host": "site.example",
                    "attempt-id": this.#requests.toString(16).padStart(16, "0"),
                    "deadline-ms": "2000",
                    "authorization": `Bearer ${SITE_API_KEY}`,
                },
                signal: AbortSignal.timeout(2000),
            }, response => {
                response.resume();
                response.on("end", () => resolve(response.statusCode ?? 0));
                response.on("error", () => resolve(0));
            });
            request.on("error", () => resolve(0));
            request.end();
        });
        return status === 200 && performance.now() - startedAt > OBJECTIVE_MILLISECONDS ? "late" : String(status);
    }

    async #readPeakMegabytes(): Promise<number> {
        const status = await readFile(`/proc/${this.#child?.pid}/status`, "utf8").catch(() => "");
        return Math.round(Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? Number.NaN) / KILOBYTES_PER_MEGABYTE);
    }
}
