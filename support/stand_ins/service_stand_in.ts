/**
 * A stand-in for a plain service that runs requests and records each run.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { LoadReport } from "../../core/admission/mod.ts";
import { sendJson, waitMilliseconds } from "../../network/mod.ts";
import type { StandIn } from "./stand_in_server.ts";

/** Faults that a test can set on a service; each count decreases with every request that it affects. */
export interface ServiceFaults extends Record<string, number | boolean | string> {
    /** Number of requests whose connections are closed without a response after they have run. */
    cutAfterRun: number;
    /** Number of requests whose connections are closed before they run. */
    cutBeforeRun: number;
    /** Number of responses without a length or chunks whose connections are reset with the first bytes of the body. */
    unframedResets: number;
    /** Number of whole responses without a length or chunks. */
    unframedResponses: number;
    /** Number of responses that carry the identifier of another request. */
    crossedAnswers: number;
    /** Number of requests that are refused before they run. */
    refusals: number;
    /** Delay of every response, in milliseconds. */
    delayMilliseconds: number;
    /** States in the load report that the service is cold. */
    isCold: boolean;
    /** Sends no more data on the connections that are open when the fault is set. */
    isSilent: boolean;
}

/** Names of the faults that are counts. */
type CountedFault =
    | "cutAfterRun"
    | "cutBeforeRun"
    | "unframedResets"
    | "unframedResponses"
    | "crossedAnswers"
    | "refusals";

/** Number of the body's bytes that are sent before a response is reset. */
const FIRST_BYTES = 4;

/** A record of one run of a request. */
export interface ServiceRun {
    /** HTTP method. */
    method: string;
    /** Path of the request. */
    path: string;
    /** Idempotency key; empty if the request had none. */
    key: string;
    /** Length of the body, in bytes. */
    bodyBytes: number;
}

const CONTENT_TYPE = "application/octet-stream";
/** Status of the response to a run of a request that is not a GET request. */
const RUN_STATUS = 201;

/**
 * A stand-in for a plain service.
 *
 * It stores outcomes by idempotency key but runs repeated requests again, so that a test can count the runs.
 */
export class ServiceStandIn implements StandIn<ServiceFaults> {
    readonly faults: ServiceFaults = {
        cutAfterRun: 0,
        cutBeforeRun: 0,
        unframedResets: 0,
        unframedResponses: 0,
        crossedAnswers: 0,
        refusals: 0,
        delayMilliseconds: 0,
        isCold: false,
        isSilent: false,
    };
    readonly runs: ServiceRun[] = [];
    /** Number and response body of each run, by idempotency key. */
    readonly #outcomes = new Map<string, { number: number; body: Buffer; }>();
    #running = 0;
    #peakRunning = 0;

    async handleRequest(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
        const path = request.url ?? "/";
        if (path === "/load") {
            sendJson(response, { status: 200, value: this.#getReport() });
            return;
        }
        if (path.startsWith("/outcomes/")) {
            this.#sendOutcome(response, decodeURIComponent(path.slice("/outcomes/".length)));
            return;
        }
        this.#running += 1;
        this.#peakRunning = Math.max(this.#peakRunning, this.#running);
        try {
            await this.#runRequest(request, response, body);
        }
        finally {
            this.#running -= 1;
        }
    }

    dumpState(): unknown {
        return { runs: this.runs, greatestRunning: this.#peakRunning };
    }

    close(): void {
        // There are no timers to stop.
    }

    async #runRequest(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
        if (this.#takeFault("refusals")) {
            sendJson(response, { status: 503, value: {}, headers: { "x-verdict": "not-run" } });
            return;
        }
        if (this.#takeFault("cutBeforeRun")) {
            request.socket.destroy();
            return;
        }
        const key = String(request.headers["idempotency-key"] ?? "");
        this.runs.push({ method: request.method ?? "", path: request.url ?? "", key, bodyBytes: body.length });
        const number = this.runs.length;
        if (key !== "") {
            this.#outcomes.set(key, { number, body });
        }
        if (this.#takeFault("cutAfterRun")) {
            request.socket.destroy();
            return;
        }
        await waitMilliseconds(this.faults.delayMilliseconds);
        const hasWrongId = this.#takeFault("crossedAnswers");
        const requestId = hasWrongId ? "another-request" : String(request.headers["x-request-id"] ?? "");
        const headers = { "x-request-id": requestId, "content-type": CONTENT_TYPE };
        if (request.method === "GET") {
            sendJson(response, { status: 200, value: { number, path: request.url }, headers });
            return;
        }
        const isReset = this.#takeFault("unframedResets");
        if (isReset || this.#takeFault("unframedResponses")) {
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
        }
        response.writeHead(RUN_STATUS, { ...headers, "x-number": String(number) });
        if (isReset) {
            response.write(body.subarray(0, FIRST_BYTES), () => request.socket.resetAndDestroy());
            return;
        }
        response.end(body);
    }

    /** Sends the response to the run with `key`, or status 404 if there was none. */
    #sendOutcome(response: ServerResponse, key: string): void {
        const outcome = this.#outcomes.get(key);
        if (outcome === undefined) {
            sendJson(response, { status: 404, value: {} });
            return;
        }
        response.writeHead(200, {
            "content-type": CONTENT_TYPE,
            "x-number": String(outcome.number),
            "x-outcome-status": String(RUN_STATUS),
        });
        response.end(outcome.body);
    }

    /** Tells whether a fault applies to the current request, and if so decrements its count. */
    #takeFault(name: CountedFault): boolean {
        if (this.faults[name] <= 0) {
            return false;
        }
        this.faults[name] -= 1;
        return true;
    }

    #getReport(): LoadReport {
        return {
            incarnation: "life-1",
            isCold: this.faults.isCold,
            isLeaving: false,
            running: this.#running,
            memoryUsed: 0,
            preemptions: 0,
            stepMilliseconds: 0,
        };
    }
}
