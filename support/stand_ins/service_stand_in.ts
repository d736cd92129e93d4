/**
 * A plain service that stamps, writes and reads.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { LoadReport } from "../../core/admission/mod.ts";
import { sendJson, waitMilliseconds } from "../../network/mod.ts";
import type { StandIn } from "./stand_in_server.ts";

/** Faults of a service. */
export interface ServiceFaults extends Record<string, number | boolean | string> {
    /** Number of requests after whose run the connection is cut without an answer. */
    cutAfterRun: number;
    /** Number of requests that are cut before they run. */
    cutBeforeRun: number;
    /** Number of answers that carry another request's id. */
    crossedAnswers: number;
    /** Number of requests that are refused before they run. */
    refusals: number;
    /** Delays every answer, in milliseconds. */
    delayMilliseconds: number;
    /** Says that it is cold. */
    isCold: boolean;
    /** Stops answering on the connections that are open now. */
    isSilent: boolean;
}

/** One run of a request. */
export interface ServiceRun {
    /** HTTP method. */
    method: string;
    /** Path. */
    path: string;
    /** Idempotency key; empty where there was none. */
    key: string;
    /** Length of the body, in bytes. */
    bodyBytes: number;
}

/** Stands in for a plain service; it keeps outcomes by idempotency key but does not check for repeats. */
export class ServiceStandIn implements StandIn<ServiceFaults> {
    readonly faults: ServiceFaults = {
        cutAfterRun: 0,
        cutBeforeRun: 0,
        crossedAnswers: 0,
        refusals: 0,
        delayMilliseconds: 0,
        isCold: false,
        isSilent: false,
    };
    readonly runs: ServiceRun[] = [];
    readonly #outcomes = new Map<string, number>();
    #running = 0;
    #peakRunning = 0;

    async handleRequest(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
        const path = request.url ?? "/";
        if (path === "/load") {
            sendJson(response, { status: 200, value: this.#getReport() });
            return;
        }
        if (path.startsWith("/outcomes/")) {
            const number = this.#outcomes.get(decodeURIComponent(path.slice("/outcomes/".length)));
            sendJson(response, number === undefined ? { status: 404, value: {} } : { status: 200, value: { number } });
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
        // Nothing runs by itself.
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
            this.#outcomes.set(key, number);
        }
        if (this.#takeFault("cutAfterRun")) {
            request.socket.destroy();
            return;
        }
        await waitMilliseconds(this.faults.delayMilliseconds);
        const hasWrongId = this.#takeFault("crossedAnswers");
        const requestId = hasWrongId ? "another-request" : String(request.headers["x-request-id"] ?? "");
        const headers = { "x-request-id": requestId, "content-type": "application/octet-stream" };
        if (request.method === "GET") {
            sendJson(response, { status: 200, value: { number, path: request.url }, headers });
            return;
        }
        response.writeHead(201, { ...headers, "x-number": String(number) });
        response.end(body);
    }

    #takeFault(name: "cutAfterRun" | "cutBeforeRun" | "crossedAnswers" | "refusals"): boolean {
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
