/**
 * Callers that keep their connections to one instance and open new ones to it until its process has ended.
 *
 * @module
 */
import { Agent, request as startRequest } from "node:http";
import { waitMilliseconds } from "../../network/mod.ts";
import { collectResponse } from "../../support/processes/mod.ts";

/** A request of a clinging caller and how it ended. */
export interface ClingingRequest {
    /** Identifier of the request. */
    id: string;
    /** `answered` by a response, `closed` without one, or `unsent` because no connection was accepted. */
    end: "answered" | "closed" | "unsent";
    /** Status of the response; 0 without one. */
    status: number;
    /** Value of the response's `x-verdict` header; `undefined` without one. */
    verdict: string | undefined;
    /** True if the whole response arrived. */
    isComplete: boolean;
    /** Time from the first byte sent to the end, in milliseconds. */
    milliseconds: number;
    /** Time of the end, on the monotonic clock in milliseconds. */
    endedAt: number;
}

/** Request that a clinging caller sends again and again. */
export interface ClingingCall {
    /** Host of the instance. */
    host: string;
    /** Port of the instance. */
    port: number;
    /** Path of the requests. */
    path: string;
    /** Headers of the requests, without their identifier. */
    headers: Record<string, string>;
    /** First digits of the identifiers, which tell the callers apart. */
    prefix: string;
}

/** Time after a failure until the next request, in milliseconds. */
const RETRY_MILLISECONDS = 20;

/** Sends one request after the other until `isEnded` returns true. @returns All requests, in order. */
export async function callUntilEnded(call: ClingingCall, isEnded: () => boolean): Promise<ClingingRequest[]> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const requests: ClingingRequest[] = [];
    while (!isEnded()) {
        const id = call.prefix + requests.length.toString(16).padStart(16 - call.prefix.length, "0");
        const request = await sendClingingRequest(call, { agent, id });
        requests.push(request);
        await waitMilliseconds(request.end === "answered" && request.status < 500 ? 0 : RETRY_MILLISECONDS);
    }
    agent.destroy();
    return requests;
}

function sendClingingRequest(
    call: ClingingCall,
    { agent, id }: { agent: Agent; id: string; },
): Promise<ClingingRequest> {
    const startedAt = performance.now();
    const { host, port, path, headers } = call;
    return new Promise(resolve => {
        const settle = (end: Pick<ClingingRequest, "end" | "status" | "verdict" | "isComplete">): void => {
            const endedAt = performance.now();
            resolve({ id, ...end, milliseconds: endedAt - startedAt, endedAt });
        };
        const body = "the body";
        const request = startRequest({
            agent,
            host,
            port,
            path,
            method: "POST",
            headers: { ...headers, "attempt-id": id, "content-length": body.length },
        }, response => {
            void collectResponse(response).then(({ status, headers: { "x-verdict": verdict }, isComplete }) =>
                settle({ end: "answered", status, verdict, isComplete })
            );
        });
        request.on("error", error => {
            const isUnsent = (error as NodeJS.ErrnoException).code === "ECONNREFUSED";
            settle({ end: isUnsent ? "unsent" : "closed", status: 0, verdict: undefined, isComplete: false });
        });
        request.end(body);
    });
}
