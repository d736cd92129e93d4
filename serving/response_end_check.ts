/**
 * Finds out whether the response of a target is its whole answer, and records the decision.
 *
 * @module
 */
import {
    buildBodyEnd,
    decideResponseOutcome,
    isRepeatable,
    type ResponseEnd,
    ResponseOutcome,
    type ServingTarget,
    TargetPresence,
} from "../core/serving/mod.ts";
import { hasEmbeddedHead } from "../platform/mod.ts";
import type { CallerExchange, ServingContext } from "./caller_exchange.ts";
import type { TargetResponse } from "./target_connections.ts";

/** A response that has ended. */
export interface EndedResponse {
    /** Target that sent the response. */
    target: ServingTarget;
    /** How the response ended. */
    end: ResponseEnd;
    /** Time since which its connection may have ended, in milliseconds. */
    endAge: number;
    /** Error that ended the response; `undefined` if there was none. */
    reason?: string | undefined;
}

/** Reasons for which an attempt fails whose response is not known to be complete. */
export const INCOMPLETE_REASONS: Record<Exclude<ResponseOutcome, "complete">, string> = {
    "broken off": "answer broke off",
    unknown: "answer may have broken off",
};

/**
 * Finds out whether a response is a whole answer. If only its target can show it, the target is called.
 *
 * The decision is counted, and logged unless the response itself shows that it is complete.
 */
export async function checkResponseEnd(
    context: ServingContext,
    exchange: Pick<CallerExchange, "request" | "route" | "service" | "signal">,
    { target, end, endAge, reason }: EndedResponse,
): Promise<ResponseOutcome> {
    let presence: TargetPresence | undefined;
    let outcome = decideResponseOutcome(end);
    if (outcome === ResponseOutcome.unknown) {
        presence = await findPresence(context, exchange, { target, endAge });
        outcome = decideResponseOutcome(end, presence);
    }
    const isShown = end.isFramed && end.events > 0 && outcome === ResponseOutcome.complete;
    context.metrics.countResponseEnd({ isFramed: end.isFramed, outcome });
    if (!isShown) {
        context.log.record(outcome === ResponseOutcome.complete ? "request" : "trouble", "response ended", {
            request: exchange.request.id,
            target: target.id,
            outcome,
            presence,
            endAge: Math.round(endAge),
            ...end,
            reason,
        });
    }
    return outcome;
}

/** Finds out whether a body that has been read is the whole body of a response that is no stream of events. */
export async function checkBodyEnd(
    context: ServingContext,
    exchange: Pick<CallerExchange, "request" | "route" | "service" | "signal">,
    { target, targetResponse, body }: { target: ServingTarget; targetResponse: TargetResponse; body: Buffer; },
): Promise<ResponseOutcome> {
    const isMixed = hasEmbeddedHead(body, { trailing: targetResponse.getTrailingBytes() });
    return checkResponseEnd(context, exchange, {
        target,
        end: buildBodyEnd({
            isFramed: targetResponse.head.hasOwnEnd,
            isClosedInOrder: targetResponse.isComplete() && !isMixed,
        }),
        endAge: targetResponse.computeEndAge(),
        reason: isMixed ? "the body holds the head of another response" : undefined,
    });
}

/** Finds out whether a target still runs; not known if the caller leaves or the deadline passes meanwhile. */
async function findPresence(
    { targetProbe }: ServingContext,
    { route, service, signal }: Pick<CallerExchange, "route" | "service" | "signal">,
    { target, endAge }: Pick<EndedResponse, "target" | "endAge">,
): Promise<TargetPresence> {
    if (signal.aborted) {
        return TargetPresence.unknown;
    }
    const finished = new AbortController();
    const aborted = new Promise<TargetPresence>(resolve => {
        signal.addEventListener("abort", () => resolve(TargetPresence.unknown), { signal: finished.signal });
    });
    const presence = targetProbe.findPresence(target, { service, isPatient: !isRepeatable(route), endAge });
    return Promise.race([presence, aborted]).finally(() => finished.abort());
}
