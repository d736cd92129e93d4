/**
 * Parses the server-sent event streams that callers receive.
 *
 * @module
 */
import { createParser } from "eventsource-parser";
import { parseEventId } from "../../core/relay/mod.ts";

/** Content of a stream as its caller has received it. */
export interface ReceivedStream {
    /** Indices of the tokens in the order of their arrival. */
    indices: number[];
    /** Identifier of the generation of each token, in the order of arrival. */
    generations: string[];
    /** Texts of the tokens in the order of arrival. */
    texts: string[];
    /** True if the stream ended with the event `[DONE]`. */
    isDone: boolean;
    /** Event identifier of the last token; empty if there was no token. */
    lastEventId: string;
    /** Code of the error that ended the stream; empty if there was none. */
    errorCode: string;
}

/**
 * Parses the body of a stream.
 *
 * @param body Body of the response.
 * @returns Content of the stream.
 */
export function parseStream(body: Buffer): ReceivedStream {
    const stream: ReceivedStream = {
        indices: [],
        generations: [],
        texts: [],
        isDone: false,
        lastEventId: "",
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
                stream.lastEventId = event.id ?? "";
                stream.indices.push(position?.index ?? -1);
                stream.generations.push(position?.generation ?? "");
                stream.texts.push((JSON.parse(event.data) as { choices: { text: string; }[]; }).choices[0]?.text ?? "");
            }
        },
    });
    parser.feed(body.toString());
    return stream;
}
