/**
 * Reads streams as callers see them.
 *
 * @module
 */
import { createParser } from "eventsource-parser";
import { parseEventId } from "../../core/relay/mod.ts";

/** A stream as its caller has received it. */
export interface ReceivedStream {
    /** Indices of the tokens in the order of their arrival. */
    indices: number[];
    /** Names of the generations that the tokens belong to. */
    generations: string[];
    /** Texts of the tokens. */
    texts: string[];
    /** True where the stream ended with its last event. */
    isDone: boolean;
    /** Last event id; empty where there was none. */
    lastId: string;
    /** Code of the error that ended the stream; empty where there was none. */
    errorCode: string;
}

/**
 * Reads the body of a stream.
 *
 * @param body Body as received.
 * @returns What the stream held.
 */
export function readStream(body: Buffer): ReceivedStream {
    const stream: ReceivedStream = {
        indices: [],
        generations: [],
        texts: [],
        isDone: false,
        lastId: "",
        errorCode: "",
    };
    const parser = createParser({
        onEvent: event => {
            if (event.data === "[DONE]") {
                stream.isDone = true;
            }
            else if (event.event === "error") {
                stream.errorCode = (JSON.parse(event.data) as { error: { code: string; }; }).error.code;
            }
            else {
                const position = parseEventId(event.id ?? "");
                stream.lastId = event.id ?? "";
                stream.indices.push(position?.index ?? -1);
                stream.generations.push(position?.generation ?? "");
                stream.texts.push((JSON.parse(event.data) as { choices: { text: string; }[]; }).choices[0]?.text ?? "");
            }
        },
    });
    parser.feed(body.toString());
    return stream;
}
