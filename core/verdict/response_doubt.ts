/**
 * Decides whether a response belongs to the request that was sent over its connection last.
 *
 * A target may write an earlier response once more on a kept connection. A response that may be such a copy proves nothing:
 * neither that the request ran, nor that it was refused, nor what the target states about itself.
 *
 * @module
 */

/** What is known about a response once its head has arrived. */
export interface ResponseOrigin {
    /** HTTP status code. */
    status: number;
    /** Identifier of the request that was sent over the connection last. */
    requestId: string;
    /** Identifier of the request that the response names; `undefined` if it names none. */
    namedRequestId: string | undefined;
    /** True if the connection has brought an earlier response. */
    isReusedConnection: boolean;
}

/** Why a response proves nothing about the request. */
export const ResponseDoubt = {
    /** The response has no status of a final response, so that it is no answer. */
    invalidStatus: "has no valid status",
    /** The response names another request. */
    otherRequest: "names another request",
    /** The response names no request, and may be a copy of an earlier response on its connection. */
    unnamed: "names no request",
} as const;

/** One of the values of {@linkcode ResponseDoubt}. */
export type ResponseDoubt = (typeof ResponseDoubt)[keyof typeof ResponseDoubt];

const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

const DOUBT_CONDITIONS: Record<ResponseDoubt, (origin: ResponseOrigin) => boolean> = {
    "has no valid status": ({ status }) => !isFinalStatus(status),
    "names another request": ({ requestId, namedRequestId }) =>
        namedRequestId !== undefined && namedRequestId !== requestId,
    "names no request": ({ namedRequestId, isReusedConnection }) => namedRequestId === undefined && isReusedConnection,
};

/** Checks whether a number is the status code of a final response: not an interim one, and of a defined class. */
export function isFinalStatus(status: number): boolean {
    return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}

/**
 * Finds the reason for which a response proves nothing about the request.
 *
 * The request must not have been refused on the connection before: a copy of that refusal cannot be told apart.
 *
 * @param origin What is known about the response.
 * @returns The reason; `undefined` if the response belongs to the request.
 *
 * @example
 * ```ts
 * findResponseDoubt({ status: 200, requestId: "b", namedRequestId: "a", isReusedConnection: true });
 * // "names another request"
 * ```
 */
export function findResponseDoubt(origin: ResponseOrigin): ResponseDoubt | undefined {
    return Object.values(ResponseDoubt).find(doubt => DOUBT_CONDITIONS[doubt](origin));
}
