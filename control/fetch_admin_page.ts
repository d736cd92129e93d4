/**
 * Fetches pages of a process's administrative HTTP server.
 *
 * @module
 */
import { request as startRequest } from "node:http";
import { type Address, observeRequestFailure, readBody } from "../network/mod.ts";

const TIMEOUT_MILLISECONDS = 3000;
const MAX_PAGE_BYTES = 256 * 1024 * 1024;

/**
 * Fetches a page and parses it as JSON.
 *
 * @param address Administrative address of the process.
 * @param path Path of the page.
 * @returns The parsed value.
 * @throws {Error} If the process does not respond, or the page is not JSON.
 */
export function fetchAdminPage(address: Address, path: string): Promise<unknown> {
    return new Promise((resolve, reject) => {
        const request = startRequest(
            { ...address, path, agent: false, signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS) },
            response => {
                readBody(response, { maxBytes: MAX_PAGE_BYTES })
                    .then(body => resolve(JSON.parse(body.toString())))
                    .catch(reject);
            },
        );
        observeRequestFailure(
            request,
            error => reject(new Error(`Cannot reach ${address.host}:${address.port}: ${error.message}.`)),
        );
        request.end();
    });
}
