/**
 * Hands requests over to other instances while this one reaches no target, and relays their responses.
 *
 * The other instance admits, places and retries the request as its own. A request is handed over once: the instance that
 * gets it does not hand it over again.
 *
 * @module
 */
import { type ClientRequest, type IncomingMessage, request as startRequest } from "node:http";
import type { Verdict } from "../core/verdict/mod.ts";
import {
    applyInterimResponseLimit,
    hasFailed,
    hasOwnEnd,
    observeRequestFailure,
    openObservedConnection,
    parseAddress,
} from "../network/mod.ts";
import { encodeHandedOverHeaders, filterRelayedHeaders } from "../platform/mod.ts";
import {
    abortResponse,
    type CallerExchange,
    sendError,
    type ServingContext,
    writeBodyPart,
} from "./caller_exchange.ts";

/** Number of other instances that are tried while none of them can have read the request. */
const MAX_PEERS = 3;
/** Time within which an instance accepts a connection, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 250;

/** Result of one attempt at another instance. */
type RelayResult =
    /** The response was relayed, as far as it arrived. */
    | { kind: "relayed"; status: number; isComplete: boolean; }
    /** There was no response. */
    | { kind: "failed"; verdict: Verdict; reason: string; };

/**
 * Hands a request over to another instance that reaches targets.
 *
 * @returns False if there is none, or none has accepted the request; nothing was sent to the caller then.
 */
export async function sendThroughPeer(context: ServingContext, exchange: CallerExchange): Promise<boolean> {
    const { log, clock, metrics, random } = context;
    const { request, route } = exchange;
    if (request.isHandedOver) {
        return false;
    }
    const peers = context.listRelayPeers().map(peer => ({ peer, order: random() }))
        .sort((first, second) => first.order - second.order)
        .slice(0, MAX_PEERS);
    for (const { peer } of peers) {
        const result = await relayThroughPeer(exchange, {
            address: peer,
            remainingMilliseconds: exchange.deadline - clock.getMonotonic(),
        });
        log.record("trouble", "request handed over", {
            request: request.id,
            route: route.name,
            peer,
            milliseconds: Math.round(clock.getMonotonic() - exchange.arrivedAt),
            ...result,
        });
        metrics.countRequest(route.name, "handed over");
        if (result.kind === "failed" && result.verdict === "not-run") {
            continue;
        }
        if (result.kind === "failed" && !exchange.isCallerDisconnected()) {
            sendError(exchange, {
                message: `Cannot serve the request through another instance: ${result.reason}.`,
                code: "target_failed",
                verdict: result.verdict,
            });
        }
        return true;
    }
    return false;
}

function relayThroughPeer(
    exchange: CallerExchange,
    peer: { address: string; remainingMilliseconds: number; },
): Promise<RelayResult> {
    const { request, signal } = exchange;
    return new Promise(resolve => {
        let verdict: Verdict = "not-run";
        const peerRequest: ClientRequest = startRequest({
            createConnection: () => openObservedConnection(parseAddress(peer.address)),
            method: request.method,
            path: request.path,
            headers: encodeHandedOverHeaders(request, peer).flat() as unknown as Record<string, string>,
            setHost: false,
            signal,
        });
        const timer = setTimeout(
            () => peerRequest.destroy(new Error("the instance has not accepted the connection in time")),
            CONNECT_TIMEOUT_MILLISECONDS,
        );
        peerRequest.on("socket", socket =>
            socket.once("connect", () => {
                clearTimeout(timer);
                verdict = "may-have-run";
            }));
        peerRequest.on("response", response => void relayResponse(exchange, response).then(resolve));
        observeRequestFailure(peerRequest, error => {
            clearTimeout(timer);
            resolve({ kind: "failed", verdict, reason: error.message });
        });
        applyInterimResponseLimit(peerRequest);
        peerRequest.end(request.body.length === 0 ? undefined : request.body);
    });
}

/** Relays a response as it arrives; one that breaks off is reset, so that it does not look complete. */
async function relayResponse(exchange: CallerExchange, peerResponse: IncomingMessage): Promise<RelayResult> {
    const { response } = exchange;
    const status = peerResponse.statusCode ?? 0;
    const { socket } = peerResponse;
    let isComplete = false;
    try {
        response.writeHead(status, filterRelayedHeaders(peerResponse).flat());
        response.flushHeaders();
        for await (const chunk of peerResponse as AsyncIterable<Buffer>) {
            await writeBodyPart(response, chunk);
        }
        // An instance frames each response that it sends; without a frame nothing shows where the response ends.
        isComplete = peerResponse.complete && !hasFailed(socket) && hasOwnEnd(peerResponse, exchange.request.method);
    }
    catch {
        // The connection to the instance was lost; the result says so, and is logged.
        isComplete = false;
    }
    if (isComplete) {
        response.end();
    }
    else {
        abortResponse(response);
    }
    return { kind: "relayed", status, isComplete };
}

/**
 * Hands over a request that has not run, if no target has accepted a connection for it and none can be reached.
 *
 * @returns True if another instance has taken the request.
 */
export async function sendUnreachableThroughPeer(
    context: ServingContext,
    exchange: CallerExchange,
    attempts: { verdict: Verdict; connectFailures: number; },
): Promise<boolean> {
    const isDue = attempts.verdict === "not-run" && attempts.connectFailures > 0 && !exchange.signal.aborted
        && !exchange.response.headersSent;
    return isDue && !await context.partitionMonitor.checkTargets() && await sendThroughPeer(context, exchange);
}
