/**
 * Many requests at once at targets that send bytes without end, through one instance that runs as a process of its own
 * with the memory of the smallest machine.
 *
 * @module
 */
import { mkdtemp, readFile, rm } from "node:fs/promises";
import { request as startRequest } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseAddress, waitMilliseconds } from "../../network/mod.ts";
import { callHttp, type HttpCall, startOwnTimer } from "../processes/mod.ts";
import { SERVE_PROGRAM, startInstanceProcess } from "./instance_process.ts";
import { buildSiteHeaders, ServingSite } from "./serving_site.ts";

/** Description of the load. */
export interface EndlessLoad {
    /** Response of the targets, by the name that `TargetStandIn` uses. */
    fault: string;
    /** Kind of the requests. */
    kind: string;
    /** Number of requests. */
    count: number;
    /** True if the callers read the responses, rather than take nothing of them. Defaults to true. */
    isRead?: boolean;
    /** Kind of the requests beside them, to targets of another service that respond as usual. */
    probeKind: string;
}

/** What callers and the system have seen. */
export interface EndlessLoadResult {
    /** Most memory that the process has used, in MB; 0 if it has ended. */
    peakMegabytes: number;
    /** Time until each request of the second burst had ended, in milliseconds. */
    requestMilliseconds: number[];
    /** Statuses of the requests beside them; `undefined` for one without a response. */
    probeStatuses: (number | undefined)[];
    /** Durations of the requests beside the second burst, in milliseconds. */
    probeMilliseconds: number[];
}

/** Deadline of all requests, in milliseconds. */
export const ENDLESS_LOAD_DEADLINE_MILLISECONDS = 3000;
/** Memory of the smallest machine, in MB. */
export const SMALLEST_MACHINE_MEGABYTES = 178;
/** Flags of the deployed program. */
const NODE_FLAGS = ["--max-old-space-size=140", "--max-semi-space-size=4"];
const TARGETS_PER_SERVICE = 12;
const PROBE_INTERVAL_MILLISECONDS = 50;
/** Time after its deadline for which a caller keeps a response that it does not read, in milliseconds. */
const UNREAD_MILLISECONDS = 1000;
const SERVICE_BY_KIND: Record<string, string> = { lookup: "ledger", stamp: "ledger" };
const KILOBYTES_PER_MEGABYTE = 1024;

async function readPeakMegabytes(pid: number): Promise<number> {
    const text = await readFile(`/proc/${pid}/status`, "utf8").catch(() => "");
    return Number(/VmHWM:\s+(\d+)/.exec(text)?.[1] ?? 0) / KILOBYTES_PER_MEGABYTE;
}

/** Sends a request and takes nothing of its response, until its deadline and some more time have passed. */
async function callWithoutReading(call: Pick<HttpCall, "address" | "path" | "headers">): Promise<void> {
    const request = startRequest({
        ...parseAddress(call.address),
        method: "POST",
        path: call.path,
        headers: call.headers,
    });
    request.on("error", () => undefined);
    request.on("response", response => response.on("error", () => undefined));
    request.end();
    await waitMilliseconds(ENDLESS_LOAD_DEADLINE_MILLISECONDS + UNREAD_MILLISECONDS);
    request.destroy();
}

/** Sends the requests of a load at once, twice, and probes until all have ended. */
export async function runEndlessLoad(load: EndlessLoad): Promise<EndlessLoadResult> {
    const { fault, kind, count, isRead = true, probeKind } = load;
    const directory = await mkdtemp(join(tmpdir(), "knapweed-endless-"));
    const site = new ServingSite();
    await site.openStore();
    for (let index = 0; index < TARGETS_PER_SERVICE; index += 1) {
        await site.addTarget("ledger");
        await site.addTarget("engines");
    }
    const instance = await startInstanceProcess(SERVE_PROGRAM, {
        directory,
        index: 0,
        store: site.storeAddress,
        settings: { "limits.memory_mb": String(SMALLEST_MACHINE_MEGABYTES), "limits.max_fds": "4100" },
        nodeFlags: NODE_FLAGS,
    });
    try {
        await instance.waitUntilReady();
        for (const { service, standIn } of site.targets) {
            const isFaulty = service === (SERVICE_BY_KIND[kind] ?? "engines");
            Object.assign(standIn.faults, { answer: fault, faultyAnswers: isFaulty ? Infinity : 0 });
        }
        let requests = 0;
        const buildCall = (callKind: string): HttpCall => {
            requests += 1;
            const id = requests.toString(16).padStart(16, "0");
            return {
                address: instance.callerAddress,
                method: callKind === "lookup" ? "GET" : "POST",
                path: `/${callKind}/1`,
                headers: buildSiteHeaders({
                    kind: callKind,
                    id,
                    deadlineMilliseconds: ENDLESS_LOAD_DEADLINE_MILLISECONDS,
                }),
                ...callKind === "lookup" ? {} : { body: `the body of ${id}` },
            };
        };
        const call = async (callKind: string): Promise<number | undefined> => {
            const result = await callHttp(buildCall(callKind)).catch(() => undefined);
            return result?.isComplete === true ? result.status : undefined;
        };
        const probeStatuses: (number | undefined)[] = [];
        let probeMilliseconds: number[] = [];
        const sendBurst = async (): Promise<number[]> => {
            let isRunning = true;
            const requestMilliseconds = Promise.all(Array.from({ length: count }, async () => {
                const readDuration = startOwnTimer();
                await (isRead ? call(kind) : callWithoutReading(buildCall(kind)));
                return readDuration();
            })).finally(() => {
                isRunning = false;
            });
            probeMilliseconds = [];
            while (isRunning) {
                const readDuration = startOwnTimer();
                probeStatuses.push(await call(probeKind));
                probeMilliseconds.push(readDuration());
                await waitMilliseconds(PROBE_INTERVAL_MILLISECONDS);
            }
            return requestMilliseconds;
        };
        // Most memory is used by an instance that has just started. It also compiles its code then, so that sound requests
        // take as long; the time is measured afterwards.
        await sendBurst();
        const requestMilliseconds = await sendBurst();
        const peakMegabytes = await readPeakMegabytes(instance.child.pid);
        return { peakMegabytes, requestMilliseconds, probeStatuses, probeMilliseconds };
    }
    finally {
        instance.child.sendSignal("SIGKILL");
        site.close();
        await rm(directory, { recursive: true, force: true });
    }
}
