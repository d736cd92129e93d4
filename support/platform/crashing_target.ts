/**
 * Engines in processes of their own, each of which ends itself whenever it runs a prompt with a certain part.
 *
 * What the system does with the connections of a process that ends is part of the description: bytes that it has sent
 * may never reach their receiver.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { openHttpServer, parseAddress, readBody, sendJson, waitMilliseconds } from "../../network/mod.ts";
import { listStreamEvents } from "./ending_target.ts";

/** How a process ends under a prompt with the part. Times are in milliseconds. */
export interface PartEnd {
    /** Time from the arrival of the request to the head of the response. Defaults to none, so that there is no head. */
    headMilliseconds?: number;
    /** Number of whole events after the head. Defaults to 0. */
    events?: number;
    /** Interval between them. Defaults to 0. */
    eventMilliseconds?: number;
    /** Time from the arrival of the request to the end of the process. */
    endMilliseconds: number;
}

/** Description of a {@linkcode CrashingTarget}. */
export interface CrashingTargetOptions {
    /** Identifier of the target. */
    id: string;
    /** Address to listen at, as `IP:port`. */
    address: string;
    /** Start of the process as its reports state it, in Unix milliseconds. */
    born: number;
    /** Part of prompts under which the process ends. */
    part: string;
    /** Time from which it does, in Unix milliseconds; the part is sound before. */
    crashesFrom: number;
    /** How the process ends. */
    end: PartEnd;
}

/** Times from the arrival of a sound request to its first event, and between its events, in milliseconds. */
const START_MILLISECONDS = 20;
const EVENT_MILLISECONDS = 15;
const MAX_BODY_BYTES = 65_536;

/** Serves streams as an engine does, until a prompt ends it. */
export class CrashingTarget {
    readonly #options: CrashingTargetOptions;
    readonly #report: (line: string) => void;

    /**
     * @param options Description of the target.
     * @param report Called with "listening", and with "arrived", the identifier of a request and its Unix milliseconds.
     */
    constructor(options: CrashingTargetOptions, report: (line: string) => void) {
        this.#options = options;
        this.#report = report;
    }

    /** Starts to listen. */
    async open(): Promise<void> {
        await openHttpServer({
            address: parseAddress(this.#options.address),
            handler: (request, response) => this.#handleRequest(request, response),
        });
        this.#report("listening");
    }

    async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { id, born, part, crashesFrom, end } = this.#options;
        await readBody(request, { maxBytes: MAX_BODY_BYTES });
        if (request.url === "/report") {
            sendJson(response, { status: 200, value: { stage: "both", runs: [], state: "ready", born } });
            return;
        }
        const requestId = String(request.headers["attempt-id"]);
        if (request.headers["expected-instance"] !== id) {
            sendJson(response, { status: 421, value: {}, headers: { "attempt-id": requestId, "not-executed": "1" } });
            return;
        }
        this.#report(`arrived ${requestId} ${Date.now()}`);
        const hasPart = String(request.headers["prompt-prefix"]).split(",").some(text => text.split(":")[0] === part);
        const isCrashing = hasPart && Date.now() >= crashesFrom;
        if (isCrashing) {
            setTimeout(() => process.kill(process.pid, "SIGKILL"), end.endMilliseconds);
            if (end.headMilliseconds === undefined) {
                return;
            }
        }
        await waitMilliseconds(isCrashing ? end.headMilliseconds ?? 0 : START_MILLISECONDS);
        response.writeHead(200, {
            "attempt-id": requestId,
            "response-seal": "seal",
            "content-type": "text/event-stream",
        });
        response.flushHeaders();
        const rest = listStreamEvents().slice(Number(request.headers["last-event-id"] ?? 0));
        for (const event of isCrashing ? rest.slice(0, end.events ?? 0) : rest) {
            response.write(event);
            await waitMilliseconds(isCrashing ? end.eventMilliseconds ?? 0 : EVENT_MILLISECONDS);
        }
        if (!isCrashing) {
            response.end();
        }
    }
}
