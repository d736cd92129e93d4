/**
 * Relays one generation from its engine, resuming it on new connections while it lives.
 *
 * @module
 */
import type { RoutedTarget } from "../core/inventory/mod.ts";
import type { BreakDecision, StreamRelay } from "../core/relay/mod.ts";
import { waitMilliseconds } from "../network/mod.ts";
import type { ResponseSink } from "./answer_sink.ts";
import { type EngineEvent, EngineStreamError, openEngineStream } from "./engine_client.ts";

/** A generation to relay. */
export interface RelayRequest {
    /** Engine that generates. */
    target: RoutedTarget;
    /** State of the answer. */
    relay: StreamRelay;
    /** Where the tokens go. */
    sink: ResponseSink;
    /** Path of a new generation. */
    path: string;
    /** Body of a new generation; `undefined` to resume one. */
    body: Buffer | undefined;
    /** Priority that the engine is told. */
    priority: number;
    /** Time in which the engine must accept a connection, in milliseconds. */
    connectMilliseconds: number;
    /** Silence after which the stream is resumed, in milliseconds. */
    silenceMilliseconds: number;
    /** Ends the relay. */
    signal: AbortSignal;
    /** Called after each token with the count so far. */
    onToken: (producedTokens: number) => void;
    /** Called at each resume. */
    onResume: () => void;
}

/** How a relay ended. */
export type RelayResult =
    | { kind: "finished"; }
    | { kind: "stopped"; }
    /** The engine refused the generation before running it. */
    | { kind: "refused"; error: EngineStreamError; }
    /** The generation is lost; `decision` tells whether another may begin. */
    | { kind: "lost"; decision: BreakDecision; error: EngineStreamError; };

const RESUME_PAUSE_MILLISECONDS = 150;
const STATUS_NOT_FOUND = 404;

/**
 * Relays a generation to its end.
 *
 * @param request Generation to relay.
 * @returns How it ended; it never rejects for a fault of the engine.
 */
export async function relayGeneration(request: RelayRequest): Promise<RelayResult> {
    const { relay, signal } = request;
    let isNewGeneration = request.body !== undefined;
    for (;;) {
        const error = await relayConnection(request, { isNewGeneration });
        if (error === undefined) {
            return { kind: "finished" };
        }
        if (signal.aborted) {
            return { kind: "stopped" };
        }
        const isRefused = error.progress === "refused" || error.progress === "not-connected";
        if (isNewGeneration && isRefused) {
            return { kind: "refused", error };
        }
        isNewGeneration = false;
        const decision = error.status === STATUS_NOT_FOUND ? relay.handleLoss() : relay.handleBreak();
        if (decision !== "resume") {
            return { kind: "lost", decision, error };
        }
        request.onResume();
        await waitMilliseconds(RESUME_PAUSE_MILLISECONDS);
    }
}

/** Relays one connection's events; gives the reason where it ended before the answer was whole. */
async function relayConnection(
    request: RelayRequest,
    options: { isNewGeneration: boolean; },
): Promise<EngineStreamError | undefined> {
    const { relay, target } = request;
    const path = options.isNewGeneration
        ? request.path
        : `/v1/generations/${encodeURIComponent(relay.generation)}/events`;
    try {
        const events = openEngineStream({
            target,
            path,
            generation: relay.generation,
            body: options.isNewGeneration ? request.body : undefined,
            afterIndex: relay.nextIndex - 1,
            priority: request.priority,
            connectMilliseconds: request.connectMilliseconds,
            silenceMilliseconds: request.silenceMilliseconds,
            signal: request.signal,
        });
        for await (const event of events) {
            if (event.kind === "done") {
                return undefined;
            }
            await handleToken(event, request);
        }
    }
    catch (error) {
        if (error instanceof EngineStreamError) {
            return error;
        }
        throw error;
    }
    return new EngineStreamError("The engine's stream ended early.", { progress: "answering" });
}

async function handleToken(event: Extract<EngineEvent, { kind: "token"; }>, request: RelayRequest): Promise<void> {
    const { relay, target, sink } = request;
    const { generation, index, data } = event;
    const decision = relay.handleToken(generation, index);
    if (decision === "deliver") {
        await sink.writeToken({ target: target.name, generation, index, data });
        request.onToken(relay.nextIndex);
    }
    else if (decision !== "duplicate") {
        const message = `The engine sent token ${index} of "${generation}", which is a ${decision}.`;
        throw new EngineStreamError(message, { progress: "answering" });
    }
}
