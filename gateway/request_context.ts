/**
 * Authenticates a request, and builds its context: client account, deadline, and signals for its cancellation.
 *
 * @module
 */
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Account, RoutingTable } from "../core/inventory/mod.ts";
import { LinkedSignal } from "../network/mod.ts";
import { ServingError } from "../network/serving_error.ts";

/** A request with its client account and cancellation signals. */
export interface RequestContext {
    /** Request as received. */
    request: IncomingMessage;
    /** Response to write. */
    response: ServerResponse;
    /** Client account of the caller. */
    account: Account;
    /** Monotonic time by which the response must be complete, in milliseconds; infinite if no deadline is set. */
    deadline: number;
    /** Aborted with a {@linkcode ServingError} when the deadline passes. */
    deadlineSignal: AbortSignal;
    /** Aborted when the caller closes its connection before the response is complete. */
    callerSignal: AbortSignal;
    /** Aborted when either of the two is. */
    signal: AbortSignal;
    /** Clears the deadline timer. */
    close: () => void;
}

/**
 * Hashes an API key into the form in which the configuration stores it.
 *
 * @param key API key as the caller sends it.
 * @returns SHA-256 of the key in hexadecimal.
 */
export function hashApiKey(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}

/**
 * Finds the client account to which the API key of a request belongs.
 *
 * @param request Request that carries the API key as a bearer token in its `authorization` header.
 * @param table Routing table of the configuration in force.
 * @returns The client account.
 * @throws {ServingError} If the key is missing or unknown.
 */
export function findAccount(request: IncomingMessage, table: RoutingTable): Account {
    const [, key = ""] = /^Bearer (\S{1,512})$/.exec(request.headers.authorization ?? "") ?? [];
    const hash = hashApiKey(key);
    const account = table.accountsByKeyHash.get(hash);
    // The lookup uses the key's hash, so its duration reveals nothing about the key. The constant-time comparison
    // protects the hashes stored in the table.
    if (account === undefined || !timingSafeEqual(Buffer.from(account.keyHash), Buffer.from(hash))) {
        throw new ServingError("Cannot serve the request: its bearer key is missing or unknown.", {
            code: "unauthorized",
            verdict: "not-run",
        });
    }
    return account;
}

/** Maximum deadline that a caller may set: seven days, in milliseconds. */
const MAX_DEADLINE_MILLISECONDS = 7 * 24 * 3600 * 1000;

/**
 * Builds the context of a request, and starts its deadline timer.
 *
 * @param exchange Request and response.
 * @param account Client account of the caller.
 * @returns The context; the caller of this function must close it.
 * @throws {ServingError} If the deadline header is not an integer in the allowed range.
 */
export function buildContext(
    exchange: { request: IncomingMessage; response: ServerResponse; },
    account: Account,
): RequestContext {
    const milliseconds = parseDeadline(exchange.request.headers["x-deadline-milliseconds"]);
    const deadlineController = new AbortController();
    const callerController = new AbortController();
    const timer = milliseconds === undefined ? undefined : setTimeout(() => {
        const message = `Cannot finish the request in the ${milliseconds} ms that its caller allowed.`;
        deadlineController.abort(new ServingError(message, { code: "deadline", verdict: "not-run" }));
    }, milliseconds);
    exchange.response.once("close", () => {
        if (!exchange.response.writableFinished) {
            callerController.abort();
        }
    });
    const linked = new LinkedSignal([callerController.signal, deadlineController.signal]);
    return {
        ...exchange,
        account,
        deadline: milliseconds === undefined ? Infinity : performance.now() + milliseconds,
        deadlineSignal: deadlineController.signal,
        callerSignal: callerController.signal,
        signal: linked.signal,
        close: () => {
            clearTimeout(timer);
            linked.close();
        },
    };
}

function parseDeadline(header: string | string[] | undefined): number | undefined {
    if (header === undefined) {
        return undefined;
    }
    const value = Number(header);
    if (!Number.isInteger(value) || value < 1 || value > MAX_DEADLINE_MILLISECONDS) {
        throw new ServingError(`Cannot read x-deadline-milliseconds: received "${header}".`, {
            code: "bad_request",
            verdict: "not-run",
        });
    }
    return value;
}
