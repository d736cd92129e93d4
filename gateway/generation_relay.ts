/**
 * Relays the tokens of one generation from its engine to the caller's response, and resumes the stream over a new
 * connection when the current one fails.
 *
 * @module
 */
import type { RoutedTarget } from "../core/inventory/mod.ts";
import type { RecoveryDecision, RelayState } from "../core/relay/mod.ts";
import { waitMilliseconds } from "../network/mod.ts";
import { type EngineEvent, EngineStreamError, openEngineStream } from "./engine_client.ts";
import type { ResponseSink } from "./response_sink.ts";

/** A generation to relay. */
export interface RelayRequest {
    /** Engine that runs the generation. */
    target: RoutedTarget;
    /** State of the relay: the next expected token, and the number of consecutive resumptions. */
    relay: RelayState;
    /** Sink that the tokens are written to. */
    sink: ResponseSink;
    /** Path of the request that starts a new generation. */
    path: string;
    /** Request body that starts a new generation; `undefined` to resume an existing one. */
    body: Buffer | undefined;
    /** Priority to pass to the engine; 0 is the highest. */
    priority: number;
    /** Time within which a connection must be established, in milliseconds. */
    connectMilliseconds: number;
    /** Time without received data after which the stream is resumed, in milliseconds. */
    silenceMilliseconds: number;
    /** Ends the relay when aborted. */
    signal: AbortSignal;
    /** Called after each token with the number of tokens so far. */
    onToken: (producedTokens: number) => void;
    /** Called before each resumption. */
    onResume: () => void;
}

/** How a relay ended. */
export type RelayResult =
    /** The generation is complete. */
    | { kind: "finished"; }
    /** The request's signal was aborted. */
    | { kind: "stopped"; }
    /** The engine refused the generation before running it. */
    | { kind: "refused"; error: EngineStreamError; }
    /** The generation is lost; `decision` states whether a new one may be started in its place. */
    | { kind: "lost"; decision: RecoveryDecision; error: EngineStreamError; };

/** Pause before a resumption, in milliseconds. */
const RESUME_PAUSE_MILLISECONDS = 150;
/** Status with which an engine states that it does not know the generation. */
const STATUS_NOT_FOUND = 404;

/**
 * Relays a generation to its end.
 *
 * @param request Generation to relay.
 * @returns How the relay ended. Failures of the engine are returned as results and never thrown.
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
        const decision = error.status === STATUS_NOT_FOUND ? relay.handleLoss() : relay.handleInterruption();
        if (decision !== "resume") {
            return { kind: "lost", decision, error };
        }
        request.onResume();
        await waitMilliseconds(RESUME_PAUSE_MILLISECONDS);
    }
}

/** Relays the events of one connection. Returns the error if the connection ended before the generation did. */
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

/** Writes a token to the sink, ignoring duplicates. @throws {EngineStreamError} If it is not the expected token. */
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
