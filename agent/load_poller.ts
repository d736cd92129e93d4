/**
 * Asks targets for their load.
 *
 * @module
 */
import { request as startRequest } from "node:http";
import * as v from "valibot";
import type { LoadReport } from "../core/admission/mod.ts";
import { parseAddress, readBody } from "../network/mod.ts";

const POLL_TIMEOUT = 1000;
const MAX_REPORT_BYTES = 65_536;

const LoadReportSchema = v.object({
    incarnation: v.string(),
    isCold: v.boolean(),
    isLeaving: v.boolean(),
    running: v.number(),
    memoryUsed: v.number(),
    preemptions: v.number(),
    stepMilliseconds: v.number(),
});

/**
 * Asks the target at `address` for its load, on a connection of its own.
 *
 * @param address Address of the target, as `IP:port`.
 * @returns The report, or `undefined` where none came in time.
 */
export async function requestLoad(address: string): Promise<LoadReport | undefined> {
    try {
        return await new Promise<LoadReport>((resolve, reject) => {
            const request = startRequest({
                ...parseAddress(address),
                agent: false,
                path: "/load",
                signal: AbortSignal.timeout(POLL_TIMEOUT),
            }, response => {
                readBody(response, { maxBytes: MAX_REPORT_BYTES })
                    .then(body => resolve(v.parse(LoadReportSchema, JSON.parse(body.toString()))))
                    .catch(reject);
            });
            request.on("error", reject);
            request.end();
        });
    }
    catch {
        return undefined;
    }
}
