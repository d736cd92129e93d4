/**
 * Targets whose first stream ends in a described way, in processes of their own: what the system does with the connections
 * of a process that is killed or stopped is part of the description.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { openHttpServer, readBody, sendJson, waitMilliseconds } from "../../network/mod.ts";
import { type RunningChild, startChild } from "../processes/mod.ts";

/** What shows the end of a response. */
export const ResponseFraming = {
    /** Its length. */
    length: "length",
    /** Its last chunk. */
    chunks: "chunks",
    /** Nothing but the end of its connection. */
    none: "none",
} as const;

/** One of the values of {@linkcode ResponseFraming}. */
export type ResponseFraming = (typeof ResponseFraming)[keyof typeof ResponseFraming];

/** How a target ends a stream. */
export const TargetEnd = {
    /** The response ends in order, and the target runs on. */
    orderly: "orderly",
    /** The connection is reset, and the target runs on. */
    reset: "reset",
    /** The process is killed. */
    killed: "killed",
    /** The process is stopped with its connections open. */
    stopped: "stopped",
    /** The process has ended, and another target listens at its address at once. */
    replaced: "replaced",
    /** The process has ended, and runs again at its address under its identifier at once. */
    restarted: "restarted",
    /** The connection is closed in order, and the process is stopped right after that. */
    silent: "silent",
} as const;

/** One of the values of {@linkcode TargetEnd}. */
export type TargetEnd = (typeof TargetEnd)[keyof typeof TargetEnd];

/** Description of an {@linkcode EndingTarget}. */
export interface EndingTargetOptions {
    /** Identifier of the target. */
    id: string;
    /** What shows the end of its responses. */
    framing: ResponseFraming;
    /** How its first stream ends. */
    end: TargetEnd;
    /** Number of events in the first response, unless fewer are left of the stream. */
    events: number;
    /** Time until the first event of each response, in milliseconds. Defaults to 60. */
    startMilliseconds?: number;
    /** Interval between events, in milliseconds. Defaults to 10. */
    eventMilliseconds?: number;
}

/** Number of events of each whole stream. */
export const STREAM_EVENTS = 12;
/** Start of the process as reports and the list of targets state it, in Unix milliseconds. */
export const FIRST_BORN = 1000;
/** Start of the process that follows at the same address, in Unix milliseconds. */
export const SECOND_BORN = 2000;
const HOST = "127.0.0.1";
const MAX_BODY_BYTES = 65_536;
const MAX_HEADER_BYTES = 65_536;

/** Lists the events of a whole stream, as targets send them. */
export function listStreamEvents(): string[] {
    return Array.from({ length: STREAM_EVENTS }, (_, index) => `id: ${index + 1}\ndata: piece ${index + 1}\n\n`);
}

/** Ends a response after its last event, by the value of {@linkcode TargetEnd}. */
const HANDLERS: Record<TargetEnd, (target: EndingTarget, response: ServerResponse) => void> = {
    orderly: (_, response) => void response.end(),
    reset: (_, response) => void response.socket?.resetAndDestroy(),
    killed: () => void process.kill(process.pid, "SIGKILL"),
    stopped: () => void process.kill(process.pid, "SIGSTOP"),
    replaced: (target, response) => {
        target.restart(`${target.id}-next`);
        response.socket?.end();
    },
    restarted: (target, response) => {
        target.restart(target.id);
        response.socket?.end();
    },
    silent: (_, response) => void response.socket?.end(() => process.kill(process.pid, "SIGSTOP")),
};

/** Serves streams as a target does; the first one ends as described, and later ones in order. */
export class EndingTarget {
    readonly #options: EndingTargetOptions;
    #id: string;
    #born = FIRST_BORN;
    #streams = 0;
    readonly #report: (line: string) => void;

    /**
     * @param options Description of the target.
     * @param report Called with "listening" and the port, "arrived" and "ended".
     */
    constructor(options: EndingTargetOptions, report: (line: string) => void) {
        this.#options = options;
        this.#id = options.id;
        this.#report = report;
    }

    /** Identifier of the process that listens at the address. */
    get id(): string {
        return this.#id;
    }

    /** Starts to listen at a port that the system chooses. */
    async open(): Promise<void> {
        const server = await openHttpServer({
            address: { host: HOST, port: 0 },
            maxHeaderSize: MAX_HEADER_BYTES,
            handler: (request, response) => this.#handleRequest(request, response),
        });
        this.#report(`listening ${(server.address() as AddressInfo).port}`);
    }

    /** Goes on as a process that has just been started. */
    restart(id: string): void {
        this.#id = id;
        this.#born = SECOND_BORN;
    }

    async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        await readBody(request, { maxBytes: MAX_BODY_BYTES });
        if (request.url === "/report") {
            sendJson(response, { status: 200, value: { stage: "both", runs: [], state: "ready", born: this.#born } });
            return;
        }
        if (request.headers["token-counts"] === undefined) {
            sendJson(response, { status: 404, value: {} });
            return;
        }
        const requestId = String(request.headers["attempt-id"]);
        if (request.headers["expected-instance"] !== this.#id) {
            sendJson(response, { status: 421, value: {}, headers: { "attempt-id": requestId, "not-executed": "1" } });
            return;
        }
        await this.#sendStream(response, { requestId, after: Number(request.headers["last-event-id"] ?? 0) });
    }

    async #sendStream(response: ServerResponse, stream: { requestId: string; after: number; }): Promise<void> {
        const { framing, end, events, startMilliseconds = 60, eventMilliseconds = 10 } = this.#options;
        this.#streams += 1;
        const isFirst = this.#streams === 1;
        const rest = listStreamEvents().slice(stream.after);
        const sent = isFirst ? rest.slice(0, events) : rest;
        // A target that ends its stream in order has made no further events.
        const stated = isFirst && end === TargetEnd.orderly ? sent : rest;
        if (framing === ResponseFraming.none) {
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
        }
        this.#report("arrived");
        if (framing === ResponseFraming.length && stated.length === 0) {
            // Its head is the whole response.
            await waitMilliseconds(startMilliseconds);
        }
        response.writeHead(200, {
            "attempt-id": stream.requestId,
            "response-seal": "seal",
            "content-type": "text/event-stream",
            ...framing === ResponseFraming.length ? { "content-length": String(stated.join("").length) } : {},
        });
        response.flushHeaders();
        await waitMilliseconds(startMilliseconds);
        for (const event of sent) {
            await new Promise<void>(resolve => void response.write(event, () => resolve()));
            await waitMilliseconds(eventMilliseconds);
        }
        if (isFirst) {
            this.#report("ended");
        }
        HANDLERS[isFirst ? end : TargetEnd.orderly](this, response);
    }
}

/** An {@linkcode EndingTarget} in another process. */
export interface EndingTargetProcess {
    /** Identifier of the target. */
    id: string;
    /** Address of the target, as `IP:port`. */
    address: string;
    /** Its process, which it may share with others. */
    child: RunningChild;
    /** Checks whether the target has reported a line. */
    hasReported: (line: "arrived" | "ended") => boolean;
    /** Waits until the target has reported a line. @throws {Error} If it has not within some seconds. */
    waitForReport: (line: "arrived" | "ended") => Promise<void>;
}

/** Ends that take the whole process with them. */
const PROCESS_ENDS: ReadonlySet<TargetEnd> = new Set([TargetEnd.killed, TargetEnd.stopped, TargetEnd.silent]);
const REPORT_TIMEOUT_MILLISECONDS = 20_000;
const MAX_PRINTED_CHARACTERS = 500;
const REPORT_POLL_MILLISECONDS = 5;

async function startProcess(targets: readonly EndingTargetOptions[]): Promise<EndingTargetProcess[]> {
    const program = new URL("./run_ending_target.js", import.meta.url).pathname;
    const child = startChild(program, { arguments: [JSON.stringify(targets)] });
    const waitForReport = async (pattern: RegExp): Promise<string> => {
        const deadline = performance.now() + REPORT_TIMEOUT_MILLISECONDS;
        for (;;) {
            const match = child.getOutput().match(pattern) ?? undefined;
            if (match !== undefined) {
                return match[1] ?? "";
            }
            if (performance.now() > deadline) {
                const output = child.getOutput().slice(-MAX_PRINTED_CHARACTERS);
                throw new Error(`Cannot continue: no line of a target matches ${String(pattern)}: ${output}`);
            }
            await waitMilliseconds(REPORT_POLL_MILLISECONDS);
        }
    };
    return Promise.all(targets.map(async ({ id }) => ({
        id,
        address: `${HOST}:${await waitForReport(new RegExp(`^${id} listening (\\d+)$`, "m"))}`,
        child,
        hasReported: (line: string) => child.getOutput().includes(`${id} ${line}\n`),
        waitForReport: async (line: string) => void await waitForReport(new RegExp(`^${id} ${line}$`, "m")),
    })));
}

/**
 * Starts targets, and waits until they listen. Each whose process is killed or stopped has a process of its own, and the
 * others share one.
 */
export async function startEndingTargets(targets: readonly EndingTargetOptions[]): Promise<EndingTargetProcess[]> {
    const shared = targets.filter(({ end }) => !PROCESS_ENDS.has(end));
    const alone = targets.filter(({ end }) => PROCESS_ENDS.has(end)).map(target => [target]);
    const processes = [...shared.length === 0 ? [] : [shared], ...alone].map(startProcess);
    return (await Promise.all(processes)).flat();
}
