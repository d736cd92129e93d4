/**
 * What is known of a request before it is queued: its caller, its deadline, and when it is given up.
 *
 * @module
 */
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Account, RoutingTable } from "../core/inventory/mod.ts";
import { ServingError } from "../network/serving_error.ts";

/** A request and its caller. */
export interface RequestContext {
    /** Request as it came. */
    request: IncomingMessage;
    /** Answer to write. */
    response: ServerResponse;
    /** Client account of the caller. */
    account: Account;
    /** Time by which the caller wants the whole answer, on the monotonic clock; infinite where it names none. */
    deadline: number;
    /** Aborted with a {@linkcode ServingError} when the deadline passes. */
    deadlineSignal: AbortSignal;
    /** Aborted when the caller has gone. */
    callerSignal: AbortSignal;
    /** Releases the timers. */
    close: () => void;
}

/**
 * Hashes a caller's key as configuration keeps it.
 *
 * @param key Key as the caller sends it.
 * @returns SHA-256 in hexadecimal.
 */
export function hashKey(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}

/**
 * Finds the account that a request's bearer key belongs to.
 *
 * @param request Request with an `authorization` header.
 * @param table Configuration in force.
 * @returns The account.
 * @throws {ServingError} Where the key is missing or unknown.
 */
export function findAccount(request: IncomingMessage, table: RoutingTable): Account {
    const [, key = ""] = /^Bearer (\S{1,512})$/.exec(request.headers.authorization ?? "") ?? [];
    const hash = hashKey(key);
    const account = table.accountsByKeyHash.get(hash);
    // The look-up is by hash, so its time tells nothing of the key; the comparison guards the table's own keys.
    if (account === undefined || !timingSafeEqual(Buffer.from(account.keyHash), Buffer.from(hash))) {
        throw new ServingError("Cannot serve the request: its bearer key is missing or unknown.", {
            code: "unauthorized",
            verdict: "not-run",
        });
    }
    return account;
}

const MAX_DEADLINE_MILLISECONDS = 7 * 24 * 3600 * 1000;

/**
 * Builds the context of a request.
 *
 * @param exchange Request and answer.
 * @param account Account of the caller.
 * @returns The context; it must be closed.
 * @throws {ServingError} Where the deadline header is bad.
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
    return {
        ...exchange,
        account,
        deadline: milliseconds === undefined ? Infinity : performance.now() + milliseconds,
        deadlineSignal: deadlineController.signal,
        callerSignal: callerController.signal,
        close: () => clearTimeout(timer),
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
