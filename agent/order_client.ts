/**
 * HTTP client that sends targets orders to load models.
 *
 * @module
 */
import { request as startRequest } from "node:http";
import type { ModelOrder, OrderResult } from "../core/orders/mod.ts";
import { observeRequestFailure, parseAddress } from "../network/mod.ts";

const ORDER_TIMEOUT_MILLISECONDS = 2000;
const STATUS_ACCEPTED = 202;
/** Status with which a target refuses an order because it has seen a higher fencing token. */
const STATUS_STALE = 409;

/**
 * Sends an order to the target at `address` over a new connection.
 *
 * @param address Address of the target, as `IP:port`.
 * @param order Order to send.
 * @returns The result; `failed` if the target did not respond in time or responded with any other status.
 */
export function sendOrder(address: string, order: ModelOrder): Promise<OrderResult> {
    return new Promise(resolve => {
        const body = JSON.stringify(order);
        const httpRequest = startRequest({
            ...parseAddress(address),
            agent: false,
            method: "POST",
            path: "/orders",
            headers: { "content-type": "application/json", "content-length": Buffer.byteLength(body) },
            signal: AbortSignal.timeout(ORDER_TIMEOUT_MILLISECONDS),
        }, response => {
            response.resume();
            const { statusCode } = response;
            resolve(statusCode === STATUS_ACCEPTED ? "accepted" : statusCode === STATUS_STALE ? "stale" : "failed");
        });
        observeRequestFailure(httpRequest, () => resolve("failed"));
        httpRequest.end(body);
    });
}
