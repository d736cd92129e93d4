/**
 * HTTP client that sends orders, such as to load a model, to targets.
 *
 * @module
 */
import { request as startRequest } from "node:http";
import type { ModelOrder, OrderReply } from "../core/orders/mod.ts";
import { parseAddress } from "../network/mod.ts";

const ORDER_TIMEOUT_MILLISECONDS = 2000;
const STATUS_ACCEPTED = 202;
/** Status with which a target rejects an order because it has seen a higher fencing number. */
const STATUS_STALE = 409;

/**
 * Sends an order to the target at `address` over a new connection.
 *
 * @param address Address of the target, as `IP:port`.
 * @param order Order to send.
 * @returns The target's reply; `failed` if there was none in time.
 */
export function sendOrder(address: string, order: ModelOrder): Promise<OrderReply> {
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
        httpRequest.on("error", () => resolve("failed"));
        httpRequest.end(body);
    });
}
