/**
 * Fetches an administrative page of a process.
 *
 * @module
 */
import { request as startRequest } from "node:http";
import { type Address, readBody } from "../network/mod.ts";

const TIMEOUT = 3000;
const MAX_PAGE_BYTES = 256 * 1024 * 1024;

/**
 * Fetches a page and parses its JSON.
 *
 * @param address Administrative address of the process.
 * @param path Path of the page.
 * @returns The value.
 * @throws {Error} Where the process gives no answer.
 */
export function fetchAdminPage(address: Address, path: string): Promise<unknown> {
    return new Promise((resolve, reject) => {
        const call = startRequest(
            { ...address, path, agent: false, signal: AbortSignal.timeout(TIMEOUT) },
            response => {
                readBody(response, { maxBytes: MAX_PAGE_BYTES })
                    .then(body => resolve(JSON.parse(body.toString())))
                    .catch(reject);
            },
        );
        call.on("error", error => reject(new Error(`Cannot reach ${address.host}:${address.port}: ${error.message}.`)));
        call.end();
    });
}
