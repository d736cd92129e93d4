/**
 * A stand-in for a target of the platform: a plain service, or a model engine whose running generations can be moved.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { sendJson, waitMilliseconds } from "../../network/mod.ts";
import type { FaultTable, StandIn } from "../stand_ins/mod.ts";

/** Faults of a {@linkcode TargetStandIn}. */
export interface TargetFaults extends FaultTable {
    /** Response to plain requests, and to new and resumed generations: a key of `RESPONSES`. */
    answer: string;
    /** Number of next requests that get the response `answer`; later requests get normal responses. */
    faultyAnswers: number;
    /** Step of a move to which `moveStatus` applies: `first` for the first copy, `last` for the final one, or empty. */
    moveStep: string;
    /** HTTP status of the response to that step; 0 to close the connection without a response. */
    moveStatus: number;
    /** Carries out the final copy of a move, which stops the generation, and closes the connection without a response. */
    isFinalCopyReplyLost: boolean;
    /** Sends streams without a length and without chunks; they end with their connection. */
    isUnframed: boolean;
    /**
     * How reports are answered: "" at once, "late" after 300 ms, "reset" by a reset of the connection, "gateway" by a 502
     * of what lies between, "missing" by a 404 of another service's target, or "silence" not at all.
     */
    reportFault: string;
    /** Number of events that a resumed generation leaves out at its beginning. */
    skippedEvents: number;
    /** Start of the process at this address, in Unix milliseconds, as reports state it; 0 to state none. */
    born: number;
    /** Reports the state `draining` instead of `ready`. */
    isLeaving: boolean;
    /** Announces its shutdown in a header of all responses. */
    announcesLeaving: boolean;
    /** Seconds that a refusal asks the sender to wait; 0 to ask for no pause. */
    pauseSeconds: number;
    /** Requests per second that the target states as its limit in all responses, as the header's text; empty for none. */
    statedLimit: string;
    /** Refusals per second beyond which the target crashes, as the header's text in all responses; empty for none. */
    statedRefusals: string;
    /** Load that the target states in all responses, as the header's text; empty for none. */
    statedLoad: string;
    /** Plain requests that the target takes at the same time; it refuses the others. 0 for any number. */
    room: number;
    /** Time in which the target answers a plain request, in milliseconds. */
    serviceMilliseconds: number;
    /** Part of prompts on which the target crashes when it begins to answer; empty for none. */
    crashingPart: string;
    /** Request that crashes the target when it runs, before the head of its answer: path and body; empty for none. */
    crashingRequest: string;
    /** Time from the beginning of a request's run to the crash that it causes, in milliseconds. */
    crashMilliseconds: number;
}

/** A running generation, or the copy of its KV cache. */
interface StandInGeneration {
    requestId: string;
    /** Events that have been sent, counted from the start of the generation. */
    sentEvents: number;
    /** Events of the whole stream. */
    totalEvents: number;
    /** Response that carries the stream; `undefined` in a copy. */
    response: ServerResponse | undefined;
}

/** Copied KV caches with the state of their generations, by handle. */
export type KvCopies = Map<string, StandInGeneration>;

/** Options of a {@linkcode TargetStandIn}. */
export interface TargetStandInOptions {
    /** Identifier of the target. */
    id: string;
    /** Copied KV caches, shared by all engines of a site. */
    kvCopies: KvCopies;
    /** Number of events in each stream. Defaults to 12. */
    streamEvents?: number;
    /** Interval between the events of a stream, in milliseconds. Defaults to 15. */
    eventMilliseconds?: number;
    /** Version of the target's software, which each event names. Defaults to none, so that events name no version. */
    softwareVersion?: string | undefined;
    /** Closes the server of the target, whose process has crashed. Defaults to no action. */
    closeServer?: () => void;
}

type SendResponse = (target: TargetStandIn, request: IncomingMessage, response: ServerResponse) => void;

/** Body of each complete response. */
const RESPONSE_BODY = "the whole answer";
/** Body that is longer than the head of its response. */
const REPEATED_BODY = "the whole answer ".repeat(50);
/** Body of a response that the connections take in several parts, and of which their buffers hold a part only. */
export const LONG_RESPONSE_BODY = "x".repeat(8_200_000);
/** First event of each stream. */
const FIRST_EVENT = formatEvent(1);

/** Text of an error, which reads like an event with an unknown field. */
const ERROR_TEXT = "error: the worker has failed\n\n";
/** An error response as a whole, which a faulty target writes in the middle of another response. */
const ERROR_RESPONSE = "HTTP/1.1 500 Internal Server Error\r\ncontent-type: text/plain\r\n"
    + `content-length: ${ERROR_TEXT.length}\r\n\r\n${ERROR_TEXT}`;

/** Size of one write of an endless response, in bytes. */
const ENDLESS_WRITE_BYTES = 16 * 1024;
/** Time after which an answer without a length ends that has been sent as a whole, in milliseconds. */
const LATE_END_MILLISECONDS = 500;
/** Interval between the bytes of a response that trickles, in milliseconds. */
const TRICKLE_MILLISECONDS = 50;

/** Builds a function that sends `start` and then `repeated`, as fast as the connection takes it, until it is closed. */
function buildEndlessResponse(start: (requestId: string) => string, repeated: string): SendResponse {
    return (target, request) => {
        const text = repeated.repeat(Math.ceil(ENDLESS_WRITE_BYTES / repeated.length));
        void target.sendWithoutEnd(request.socket, { start: start(readRequestId(request)), repeated: text });
    };
}

function formatSignedHead(requestId: string, headers: string): string {
    return `HTTP/1.1 200 OK\r\nattempt-id: ${requestId}\r\nresponse-seal: seal\r\n${headers}\r\n\r\n`;
}

const formatChunkedHead = (requestId: string): string => formatSignedHead(requestId, "transfer-encoding: chunked");
/** Header of a response that ends with its connection. */
const CLOSE_FRAME = "connection: close";
const formatUnframedHead = (requestId: string): string => formatSignedHead(requestId, CLOSE_FRAME);

/** Time between the part of a response that is broken off and its repetition, in milliseconds. */
const REPETITION_MILLISECONDS = 30;

/**
 * Builds a function that stops after some bytes of the body, and later sends the whole response on the same connection:
 * with a head that names the request or, if given, another one.
 */
function buildRepetition(
    { body, bytes, frame, namedRequest }: { body: string; bytes: number; frame: string; namedRequest?: string; },
): SendResponse {
    return (_, { socket, headers }) => {
        const requestId = String(headers["attempt-id"]);
        socket.write(formatSignedHead(requestId, frame) + body.slice(0, bytes));
        const repetition = formatSignedHead(namedRequest ?? requestId, frame) + body;
        setTimeout(
            () => void socket.write(repetition, () => frame === CLOSE_FRAME && socket.end()),
            REPETITION_MILLISECONDS,
        );
    };
}

/** Builds a function that runs the request, and sends a response and other bytes after it in one write. */
function buildTrailingBytes(
    response: { frame: string; body: string; trailing?: string; },
): SendResponse {
    const { frame, body, trailing = "no response\r\n\r\n" } = response;
    return (target, request) => {
        target.started.push(readRequestId(request));
        request.socket.write(formatSignedHead(readRequestId(request), frame) + body + trailing);
    };
}

const formatRefusal = ({ status, headers }: { status: number; headers: string; }): string =>
    `HTTP/1.1 ${status} Refused\r\n${headers}content-length: 0\r\n\r\n`;

/** Headers of a refusal of another request. */
const FOREIGN_REFUSAL = "attempt-id: 0000000000000000\r\nnot-executed: 1\r\n";

/** Builds a function that runs the request, but sends a refusal of an earlier one in place of the response. */
function buildEarlierRefusal(refusal: { status: number; headers: string; }): SendResponse {
    return (target, request) => {
        target.started.push(readRequestId(request));
        request.socket.write(formatRefusal(refusal));
    };
}

/** Statuses of the latest refusals, by the connection. */
const refusedStatuses = new WeakMap<Socket, number>();

/** Builds a function that refuses the request, and keeps the connection. */
function buildNamedRefusal(status: number): SendResponse {
    return (_, request, response) => {
        refusedStatuses.set(request.socket, status);
        sendJson(response, {
            status,
            value: {},
            headers: { "attempt-id": readRequestId(request), "not-executed": "1" },
        });
    };
}

/** Builds a function that runs the request, and sends a signed response with a status as the status line states it. */
function buildStatus(status: string): SendResponse {
    return (target, request) => {
        target.started.push(readRequestId(request));
        const head = formatSignedHead(readRequestId(request), `content-length: ${RESPONSE_BODY.length}`);
        request.socket.write(head.replace("200 OK", `${status} Odd`) + RESPONSE_BODY);
    };
}

/** Functions that send a normal or a faulty response, by the name that scenarios use. */
const RESPONSES: Record<string, SendResponse> = {
    "a status line without end": buildEndlessResponse(() => "HTTP/1.1 200 ", "o"),
    "a head without end": buildEndlessResponse(() => "HTTP/1.1 200 OK\r\n", "x-header: 1\r\n"),
    "a header without end": buildEndlessResponse(() => "HTTP/1.1 200 OK\r\nx-header: ", "1"),
    "interim answers without end": buildEndlessResponse(() => "", "HTTP/1.1 102 Processing\r\n\r\n"),
    "a body without end": buildEndlessResponse(formatUnframedHead, "x"),
    "chunks without end": buildEndlessResponse(formatChunkedHead, "4\r\nabcd\r\n"),
    "a chunk extension without end": buildEndlessResponse(id => `${formatChunkedHead(id)}4;x=`, "1"),
    "a chunk size without end": buildEndlessResponse(formatChunkedHead, "0"),
    "a trailer without end": buildEndlessResponse(id => `${formatChunkedHead(id)}0\r\n`, "x-trailer: 1\r\n"),
    "an event without end": buildEndlessResponse(id => `${formatUnframedHead(id)}id: 1\ndata: `, "x"),
    "lines without end": buildEndlessResponse(id => `${formatUnframedHead(id)}id: 1\n`, "data: x\n"),
    "an event id without end": buildEndlessResponse(id => `${formatUnframedHead(id)}id: `, "1"),
    "comments without end": buildEndlessResponse(id => formatUnframedHead(id) + FIRST_EVENT, ": keep-alive\n\n"),
    "empty events without end": buildEndlessResponse(id => formatUnframedHead(id) + FIRST_EVENT, "\n\n"),
    "repeated events without end": buildEndlessResponse(formatUnframedHead, FIRST_EVENT),
    "events without end": buildEndlessResponse(formatUnframedHead, "data: more\n\n"),
    "large events without end": buildEndlessResponse(formatUnframedHead, `data: ${"x".repeat(50_000)}\n\n`),
    "bytes that are no events": buildEndlessResponse(formatUnframedHead, "\u0001\u0002 nothing\n\n"),
    "comments now and then": (target, request) =>
        void target.sendWithoutEnd(request.socket, {
            start: formatUnframedHead(readRequestId(request)),
            repeated: ":\n\n",
            milliseconds: TRICKLE_MILLISECONDS,
        }),
    "a byte now and then": (target, request) =>
        void target.sendWithoutEnd(request.socket, {
            start: `${formatUnframedHead(readRequestId(request))}id: 1\ndata: `,
            repeated: "x",
            milliseconds: TRICKLE_MILLISECONDS,
        }),
    "a head that trickles": (target, request) =>
        void target.sendWithoutEnd(request.socket, {
            start: "HTTP/1.1 200 OK\r\n",
            repeated: "x: 1\r\n",
            milliseconds: TRICKLE_MILLISECONDS,
        }),
    // The copy arrives while the connection is idle, or while the next request is on it.
    "its answer twice": (target, request, response) => {
        target.sendResponse(request, response, { status: 200 });
        const head = formatSignedHead(readRequestId(request), `content-length: ${RESPONSE_BODY.length}`);
        setTimeout(() => request.socket.write(head + RESPONSE_BODY), 30);
    },
    // Accepts the request and runs it, but a copy of an earlier refusal arrives in place of the response.
    "an earlier refusal": buildEarlierRefusal({ status: 503, headers: "not-executed: 1\r\n" }),
    "an earlier refusal with another name": buildEarlierRefusal({ status: 503, headers: FOREIGN_REFUSAL }),
    "an earlier refusal with another name and a pause": buildEarlierRefusal({
        status: 503,
        headers: `${FOREIGN_REFUSAL}retry-after: 5\r\nserver-limit: 0.1\r\n`,
    }),
    "an earlier 503 with a pause": buildEarlierRefusal({ status: 503, headers: "retry-after: 5\r\n" }),
    "an earlier 421": buildEarlierRefusal({ status: 421, headers: "" }),
    "an earlier 429": buildEarlierRefusal({ status: 429, headers: "not-executed: 1\r\n" }),
    "an earlier 408": buildEarlierRefusal({ status: 408, headers: "not-executed: 1\r\n" }),
    "a 503 with its name": buildNamedRefusal(503),
    "a 421 with its name": buildNamedRefusal(421),
    "a 429 with its name": buildNamedRefusal(429),
    // Runs the request; on the connection of a refusal, a copy of that refusal arrives in place of the response.
    "the refusal once more": (target, request, response) => {
        const status = refusedStatuses.get(request.socket);
        if (status === undefined) {
            void target.runRequest(request, response);
            return;
        }
        (request.headers["kv-from"] === undefined ? target.started : target.resumed).push(readRequestId(request));
        request.socket.write(
            formatRefusal({ status, headers: `attempt-id: ${readRequestId(request)}\r\nnot-executed: 1\r\n` }),
        );
    },
    "its answer and a refusal at once": (target, request) => {
        target.started.push(readRequestId(request));
        request.socket.write(
            formatSignedHead(readRequestId(request), `content-length: ${RESPONSE_BODY.length}`) + RESPONSE_BODY
                + formatRefusal({ status: 503, headers: "not-executed: 1\r\n" }),
        );
    },
    "its answer and other bytes at once": buildTrailingBytes({
        frame: `content-length: ${RESPONSE_BODY.length}`,
        body: RESPONSE_BODY,
    }),
    "its answer in chunks and other bytes at once": buildTrailingBytes({
        frame: "transfer-encoding: chunked",
        body: `${formatChunk(RESPONSE_BODY)}0\r\n\r\n`,
    }),
    "a whole stream and other bytes at once": buildTrailingBytes({
        frame: "transfer-encoding: chunked",
        body: `${formatChunk(formatEvents(12))}0\r\n\r\n`,
    }),
    "a whole stream with a length and other bytes at once": buildTrailingBytes({
        frame: `content-length: ${formatEvents(12).length}`,
        body: formatEvents(12),
    }),
    "the start of its answer and all of it": buildRepetition({
        body: RESPONSE_BODY,
        bytes: 4,
        frame: `content-length: ${RESPONSE_BODY.length}`,
    }),
    "the start of a longer answer and all of it": buildRepetition({
        body: REPEATED_BODY,
        bytes: 300,
        frame: `content-length: ${REPEATED_BODY.length}`,
    }),
    "the start of a longer answer and an earlier one": buildRepetition({
        body: REPEATED_BODY,
        bytes: 300,
        frame: `content-length: ${REPEATED_BODY.length}`,
        namedRequest: "0000000000000000",
    }),
    "the start of an answer in chunks and all of it": buildRepetition({
        body: formatChunk(RESPONSE_BODY) + "0\r\n\r\n",
        bytes: 8,
        frame: "transfer-encoding: chunked",
    }),
    "the start of an unframed answer and all of it": buildRepetition({
        body: RESPONSE_BODY,
        bytes: 4,
        frame: CLOSE_FRAME,
    }),
    "the start of an unframed stream and all of it": buildRepetition({
        body: formatEvents(12),
        bytes: FIRST_EVENT.length + "id: 2\ndata: pie".length,
        frame: CLOSE_FRAME,
    }),
    "the start of a stream with a length and all of it": buildRepetition({
        body: formatEvents(12),
        bytes: FIRST_EVENT.length + "id: 2\ndata: pie".length,
        frame: `content-length: ${formatEvents(12).length}`,
    }),
    "the status 000": buildStatus("000"),
    "the status 001": buildStatus("001"),
    "the status 099": buildStatus("099"),
    "the status 600": buildStatus("600"),
    "the status 999": buildStatus("999"),
    ok: (target, request, response) => target.sendResponse(request, response, { status: 200 }),
    "a failure": (target, request, response) => target.sendResponse(request, response, { status: 500 }),
    "a failure that looks like a promise": (target, request, response) =>
        target.sendResponse(request, response, { status: 503 }),
    "a refusal": (_, __, response) => sendJson(response, { status: 503, value: {}, headers: { "not-executed": "1" } }),
    "a refusal with a pause": (target, request, response) =>
        sendJson(response, {
            status: 503,
            value: {},
            headers: {
                "attempt-id": readRequestId(request),
                "not-executed": "1",
                "retry-after": String(target.faults.pauseSeconds),
            },
        }),
    "a misdirection": (_, __, response) => sendJson(response, { status: 421, value: {} }),
    "another request's answer": (target, request, response) =>
        target.sendResponse(request, response, { status: 200, requestId: "0000000000000000" }),
    "no signature": (target, request, response) =>
        target.sendResponse(request, response, { status: 200, isSigned: false }),
    "an encoded body": (target, request, response) => {
        response.setHeader("content-encoding", "gzip");
        target.sendResponse(request, response, { status: 200 });
    },
    "half an answer": (target, request, response) => {
        target.writeHead(request, response, { "content-length": String(RESPONSE_BODY.length) });
        response.write(RESPONSE_BODY.slice(0, 4), () => response.destroy());
    },
    "an answer without content": (_, request) =>
        void request.socket.end(
            `HTTP/1.1 204 No Content\r\nattempt-id: ${
                readRequestId(request)
            }\r\nresponse-seal: seal\r\nconnection: close\r\n\r\n`,
        ),
    "an unframed answer": (target, request, response) =>
        target.sendUnframedResponse(request, response, { body: RESPONSE_BODY }),
    "an unframed answer and the end of its process": (target, request, response) =>
        void response.socket?.write(
            formatUnframedHead(readRequestId(request)) + RESPONSE_BODY,
            () => target.closeServer(),
        ),
    "a long unframed answer": (target, request, response) =>
        target.sendUnframedResponse(request, response, { body: LONG_RESPONSE_BODY }),
    "an unframed answer with a transfer encoding": (_, request) =>
        void request.socket.end(
            formatSignedHead(readRequestId(request), "transfer-encoding: identity\r\nconnection: close")
                + RESPONSE_BODY,
        ),
    "an unframed answer that ends later": (_, request) => {
        request.socket.write(formatUnframedHead(readRequestId(request)) + RESPONSE_BODY);
        setTimeout(() => request.socket.end(), LATE_END_MILLISECONDS);
    },
    "half an unframed answer": (target, request, response) =>
        target.sendUnframedResponse(request, response, { body: RESPONSE_BODY.slice(0, 4), resetAfter: 5 }),
    "half an unframed answer and a reset at once": (target, request, response) =>
        target.sendUnframedResponse(request, response, { body: RESPONSE_BODY.slice(0, 4), resetAfter: 0 }),
    "an unframed stream that ends before its first event": (target, request, response) =>
        target.sendUnframedResponse(request, response, { body: "" }),
    "an unframed stream that ends inside an event": (target, request, response) =>
        target.sendUnframedResponse(request, response, { body: FIRST_EVENT + "id: 2\ndata: pie" }),
    "an unframed stream that is reset after an event": (target, request, response) =>
        target.sendUnframedResponse(request, response, { body: FIRST_EVENT, resetAfter: 0 }),
    "a whole stream without its last chunk": (target, request) =>
        void request.socket.write(formatChunkedHead(readRequestId(request)) + formatChunk(formatEvents(12)), () => {
            target.started.push(readRequestId(request));
            request.socket.resetAndDestroy();
        }),
    "a whole stream without a length and a reset": (target, request, response) => {
        target.started.push(readRequestId(request));
        target.sendUnframedResponse(request, response, { body: formatEvents(12), resetAfter: 0 });
    },
    "a whole stream in chunks and a reset at once": (_, request) =>
        void request.socket.write(
            `${formatChunkedHead(readRequestId(request))}${formatChunk(formatEvents(12))}0\r\n\r\n`,
            () => request.socket.resetAndDestroy(),
        ),
    "a stream without chunks that names the encoding identity and ends before its first event": (_, request) =>
        void request.socket.end(
            formatSignedHead(readRequestId(request), "transfer-encoding: identity\r\nconnection: close"),
        ),
    "a response in chunks without an event": (_, request) =>
        void request.socket.write(`${formatChunkedHead(readRequestId(request))}0\r\n\r\n`),
    "a response with the length 0": (_, request) =>
        void request.socket.write(formatSignedHead(readRequestId(request), "content-length: 0")),
    "an error that the request has no such path": (target, request, response) =>
        target.sendResponse(request, response, { status: 404 }),
    "an answer that is no stream": (target, request, response) => {
        response.setHeader("content-type", "application/json");
        target.sendResponse(request, response, { status: 200 });
    },
    "an answer that reads like an event": (target, request, response) => {
        target.writeHead(request, response, { "content-type": "text/plain" });
        response.end(ERROR_TEXT);
    },
    "an empty answer with a length": (target, request, response) => {
        target.writeHead(request, response, { "content-type": "text/event-stream", "content-length": "0" });
        response.end();
    },
    "an empty answer in chunks": (target, request, response) => {
        target.writeHead(request, response, { "content-type": "text/event-stream" });
        response.end();
    },
    "an error between two chunks": (_, request) =>
        void request.socket.write(
            formatSignedHead(readRequestId(request), "content-type: text/event-stream\r\ntransfer-encoding: chunked")
                + formatChunk(formatEvent(Number(request.headers["last-event-id"] ?? 0) + 1)) + ERROR_RESPONSE,
        ),
    "an error between two events without a length": (_, request) =>
        void request.socket.end(
            formatSignedHead(readRequestId(request), "content-type: text/event-stream\r\nconnection: close")
                + formatEvent(Number(request.headers["last-event-id"] ?? 0) + 1) + ERROR_RESPONSE,
        ),
    "a stream with an error in a chunk": (target, request, response) => {
        target.writeHead(request, response, { "content-type": "text/event-stream" });
        response.end(formatEvent(Number(request.headers["last-event-id"] ?? 0) + 1) + ERROR_RESPONSE);
    },
    "a stream with the text of an error in a chunk": (target, request, response) => {
        target.writeHead(request, response, { "content-type": "text/event-stream" });
        response.end(formatEvent(Number(request.headers["last-event-id"] ?? 0) + 1) + ERROR_TEXT);
    },
    "an upgrade that nobody requested": (_, request) =>
        void request.socket.write(
            "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n",
        ),
    "no HTTP": (_, request) => void request.socket.end("nonsense\r\n\r\n"),
    "a reset": (_, request) => request.socket.resetAndDestroy(),
    silence: () => undefined,
};

/** Serves requests as a target does, and records which requests it has run. */
export class TargetStandIn implements StandIn<TargetFaults> {
    readonly faults: TargetFaults = {
        answer: "ok",
        faultyAnswers: 0,
        moveStep: "",
        moveStatus: 0,
        isFinalCopyReplyLost: false,
        isUnframed: false,
        reportFault: "",
        skippedEvents: 0,
        born: 0,
        isLeaving: false,
        announcesLeaving: false,
        pauseSeconds: 0,
        statedLimit: "",
        statedRefusals: "",
        statedLoad: "",
        room: 0,
        serviceMilliseconds: 0,
        crashingPart: "",
        crashingRequest: "",
        crashMilliseconds: 20,
    };
    /** Times of the crashes of the target, on the monotonic clock in milliseconds. */
    readonly crashes: number[] = [];
    readonly #options: TargetStandInOptions;
    /** Received requests, in order. */
    readonly arrivals: { requestId: string; headers: Record<string, unknown>; at: number; }[] = [];
    /** Identifiers of the requests that were run here from the start. */
    readonly started: string[] = [];
    /** Identifiers of the generations that were resumed here from a copied KV cache. */
    readonly resumed: string[] = [];
    /** Bytes of endless responses that the connections have taken. */
    endlessBytes = 0;
    /** Number of endless responses whose connection the receiver has closed. */
    endedEndlessResponses = 0;
    /** Times of the refusals for want of room, on the monotonic clock in milliseconds. */
    readonly refusals: number[] = [];
    #plainRequests = 0;
    readonly #generations = new Map<string, StandInGeneration>();
    /** Called right after the end of a whole stream was sent. */
    onStreamEnd: () => void = () => undefined;

    constructor(options: TargetStandInOptions) {
        this.#options = options;
    }

    /** Version of the target's software; `undefined` if events name none. */
    get softwareVersion(): string | undefined {
        return this.#options.softwareVersion;
    }

    /** Number of running generations. */
    get activeGenerations(): number {
        return this.#generations.size;
    }

    async handleRequest(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
        if (this.faults.announcesLeaving) {
            response.setHeader("server-leaving", "1");
        }
        if (this.faults.statedLimit !== "") {
            response.setHeader("server-limit", this.faults.statedLimit);
        }
        if (this.faults.statedRefusals !== "") {
            response.setHeader("server-brittle", this.faults.statedRefusals);
        }
        if (this.faults.statedLoad !== "") {
            response.setHeader("server-load", this.faults.statedLoad);
        }
        if (request.url === "/report") {
            if (this.faults.reportFault === "reset") {
                request.socket.resetAndDestroy();
                return;
            }
            if (this.faults.reportFault === "silence") {
                return;
            }
            if (this.faults.reportFault === "missing") {
                sendJson(response, { status: 404, value: {} });
                return;
            }
            if (this.faults.reportFault === "gateway") {
                sendJson(response, { status: 502, value: { error: "no upstream" } });
                return;
            }
            await waitMilliseconds(this.faults.reportFault === "late" ? 300 : 0);
            const runs = [...this.#generations.values()].map(
                generation => [generation.requestId, 100, generation.sentEvents, 5],
            );
            sendJson(response, {
                status: 200,
                value: {
                    stage: "both",
                    runs,
                    state: this.faults.isLeaving ? "draining" : "ready",
                    ...this.faults.born === 0 ? {} : { born: this.faults.born },
                },
            });
            return;
        }
        if (request.url === "/kv-move") {
            await this.#answerMoveStep(response, JSON.parse(body.toString()) as { id: string; last: boolean; });
            return;
        }
        if (request.url?.startsWith("/kv-handle/")) {
            sendJson(response, { status: 200, value: {} });
            return;
        }
        await this.#serveRequest(request, response, body);
    }

    dumpState(): unknown {
        return { arrivals: this.arrivals.length, started: this.started, resumed: this.resumed };
    }

    close(): void {
        this.#generations.clear();
    }

    /** Aborts all running generations and closes their connections, as in a crash of the target. */
    abortGenerations(): void {
        for (const generation of this.#generations.values()) {
            generation.response?.destroy();
        }
        this.#generations.clear();
    }

    /** Closes the server and its connections, as the system does when the process of the target ends. */
    closeServer(): void {
        this.#options.closeServer?.();
    }

    /** Writes status and headers of a signed response, which shows that this target has run the request. */
    writeHead(request: IncomingMessage, response: ServerResponse, headers: Record<string, string>): void {
        response.writeHead(200, { "attempt-id": readRequestId(request), "response-seal": "seal", ...headers });
    }

    /** Sends a complete response with the given status. */
    sendResponse(
        request: IncomingMessage,
        response: ServerResponse,
        options: { status: number; requestId?: string; isSigned?: boolean; },
    ): void {
        const { status, requestId = readRequestId(request), isSigned = true } = options;
        response.writeHead(status, {
            "attempt-id": requestId,
            ...isSigned ? { "response-seal": "seal" } : {},
            "content-length": String(RESPONSE_BODY.length),
        });
        response.end(RESPONSE_BODY);
    }

    /** Sends `start` and then `repeated` until the connection is closed, at intervals of `milliseconds` if given. */
    async sendWithoutEnd(
        socket: Socket,
        bytes: { start: string; repeated: string; milliseconds?: number; },
    ): Promise<void> {
        socket.on("error", () => socket.destroy());
        socket.write(bytes.start);
        while (socket.writable && !socket.destroyed) {
            this.endlessBytes += bytes.repeated.length;
            if (!socket.write(bytes.repeated)) {
                await new Promise<void>(resolve => {
                    const end = (): void => {
                        socket.off("drain", end);
                        socket.off("close", end);
                        resolve();
                    };
                    socket.once("drain", end);
                    socket.once("close", end);
                });
            }
            await waitMilliseconds(bytes.milliseconds ?? 0);
        }
        this.endedEndlessResponses += 1;
    }

    /**
     * Sends a response without a length, which ends with the connection; if `resetAfter` is given, with a reset after
     * that number of milliseconds.
     */
    sendUnframedResponse(
        request: IncomingMessage,
        response: ServerResponse,
        options: { body: string; resetAfter?: number; },
    ): void {
        const { body, resetAfter } = options;
        const { socket } = response;
        socket?.write(formatUnframedHead(readRequestId(request)) + body, () => {
            if (resetAfter === undefined) {
                socket.end();
            }
            else if (resetAfter === 0) {
                socket.resetAndDestroy();
            }
            else {
                setTimeout(() => socket.resetAndDestroy(), resetAfter);
            }
        });
    }

    async #serveRequest(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
        this.arrivals.push({
            requestId: readRequestId(request),
            headers: { ...request.headers },
            at: performance.now(),
        });
        if (this.faults.faultyAnswers > 0) {
            this.faults.faultyAnswers -= 1;
            RESPONSES[this.faults.answer]?.(this, request, response);
            return;
        }
        await this.runRequest(request, response, body);
    }

    /** Runs a request, and sends a normal response. */
    async runRequest(request: IncomingMessage, response: ServerResponse, body?: Buffer): Promise<void> {
        const handle = String(request.headers["kv-from"] ?? "").split("/")[1];
        if (handle !== undefined) {
            await this.#resumeGeneration(request, response, handle);
            return;
        }
        if (this.faults.room > 0 && this.#plainRequests >= this.faults.room) {
            this.#refuseForWantOfRoom(request, response);
            return;
        }
        this.started.push(readRequestId(request));
        if (this.faults.crashingPart !== "" && listPromptParts(request).includes(this.faults.crashingPart)) {
            this.writeHead(request, response, { "content-type": "text/event-stream" });
            response.write("id: 1\ndata: pie");
            await this.#crash(response);
            return;
        }
        if (this.faults.crashingRequest === `${request.url} ${body?.toString() ?? ""}`) {
            await this.#crash(response);
            return;
        }
        if (request.headers["token-counts"] === undefined) {
            this.#plainRequests += 1;
            await waitMilliseconds(this.faults.serviceMilliseconds);
            this.#plainRequests -= 1;
            this.sendResponse(request, response, { status: 200 });
            return;
        }
        const resumeAfter = request.headers["last-event-id"];
        const events = resumeAfter === undefined ? 0 : Number(resumeAfter) + this.faults.skippedEvents;
        await this.#sendEvents(request, response, {
            requestId: readRequestId(request),
            sentEvents: events,
            totalEvents: this.#options.streamEvents ?? 12,
            response,
        });
    }

    /** Refuses a request, and crashes if the refusals in a second exceed what the target states. */
    #refuseForWantOfRoom(request: IncomingMessage, response: ServerResponse): void {
        const now = performance.now();
        this.refusals.push(now);
        const { statedRefusals } = this.faults;
        if (
            statedRefusals !== "" && this.crashes.length === 0
            && this.refusals.filter(time => time > now - 1000).length > Number(statedRefusals)
        ) {
            this.crashes.push(now);
            this.closeServer();
            return;
        }
        sendJson(response, {
            status: 503,
            value: {},
            headers: { "attempt-id": readRequestId(request), "not-executed": "1" },
        });
    }

    /** Crashes after some time, unless the request's connection is closed before: a target drops such a request. */
    async #crash(response: ServerResponse): Promise<void> {
        const crashes = this.crashes.length;
        await waitMilliseconds(this.faults.crashMilliseconds);
        // Another request may have crashed the process in the meantime.
        if (this.crashes.length === crashes && !response.destroyed) {
            this.crashes.push(performance.now());
            this.abortGenerations();
            this.closeServer();
        }
    }

    async #resumeGeneration(request: IncomingMessage, response: ServerResponse, handle: string): Promise<void> {
        const generation = this.#options.kvCopies.get(handle);
        if (generation === undefined) {
            sendJson(response, { status: 503, value: {}, headers: { "not-executed": "1" } });
            return;
        }
        this.#options.kvCopies.delete(handle);
        this.resumed.push(generation.requestId);
        // Events that the source sent may be lost; the caller names the last one that it has.
        const sentEvents = Math.min(generation.sentEvents, Number(request.headers["last-event-id"] ?? 0))
            + this.faults.skippedEvents;
        await this.#sendEvents(request, response, { ...generation, sentEvents, response });
    }

    async #sendEvents(
        request: IncomingMessage,
        response: ServerResponse,
        generation: StandInGeneration,
    ): Promise<void> {
        this.#generations.set(generation.requestId, generation);
        if (this.faults.isUnframed) {
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
        }
        this.writeHead(request, response, { "content-type": "text/event-stream" });
        response.on("close", () => {
            if (this.#generations.get(generation.requestId)?.response === response) {
                this.#generations.delete(generation.requestId);
            }
        });
        while (
            generation.sentEvents < generation.totalEvents && this.#generations.get(generation.requestId) === generation
            && !response.destroyed
        ) {
            await waitMilliseconds(this.#options.eventMilliseconds ?? 15);
            if (this.#generations.get(generation.requestId) === generation) {
                generation.sentEvents += 1;
                response.write(formatEvent(generation.sentEvents, this.softwareVersion));
            }
        }
        if (this.#generations.get(generation.requestId) === generation) {
            this.#generations.delete(generation.requestId);
            response.end();
            this.onStreamEnd();
        }
    }

    async #answerMoveStep(response: ServerResponse, step: { id: string; last: boolean; }): Promise<void> {
        const generation = this.#generations.get(step.id);
        if (this.faults.moveStep === (step.last ? "last" : "first")) {
            this.#answerFaultyMoveStep(response, { generation, isFinalCopy: step.last });
            return;
        }
        if (generation === undefined) {
            sendJson(response, { status: 404, value: {} });
            return;
        }
        const handle = `copy-${step.id}`;
        if (step.last) {
            this.#stopGeneration(generation, handle);
            if (this.faults.isFinalCopyReplyLost) {
                response.destroy();
                return;
            }
        }
        sendJson(response, { status: 200, value: { handle, created: generation.sentEvents } });
    }

    #answerFaultyMoveStep(
        response: ServerResponse,
        move: { generation: StandInGeneration | undefined; isFinalCopy: boolean; },
    ): void {
        const { generation, isFinalCopy } = move;
        const status = this.faults.moveStatus;
        this.faults.moveStep = "";
        if (status === 0) {
            response.destroy();
            return;
        }
        const handle = generation === undefined ? undefined : `copy-${generation.requestId}`;
        if (isFinalCopy && generation !== undefined && handle !== undefined && status === 503) {
            this.#stopGeneration(generation, handle);
            sendJson(response, { status, value: { handle } });
            return;
        }
        sendJson(response, { status, value: {} });
    }

    /** Stops a generation, keeps the copy of its KV cache and closes its stream before the end. */
    #stopGeneration(generation: StandInGeneration, handle: string): void {
        this.#generations.delete(generation.requestId);
        this.#options.kvCopies.set(handle, { ...generation, response: undefined });
        generation.response?.destroy();
    }
}

function formatEvent(number: number, softwareVersion?: string): string {
    return `id: ${number}\ndata: piece ${number}${softwareVersion === undefined ? "" : ` of ${softwareVersion}`}\n\n`;
}

function listPromptParts(request: IncomingMessage): string[] {
    return String(request.headers["prompt-prefix"] ?? "").split(",").map(part => part.split(":")[0] ?? "");
}

function formatEvents(count: number): string {
    return Array.from({ length: count }, (_, index) => formatEvent(index + 1)).join("");
}

function formatChunk(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function readRequestId(request: IncomingMessage): string {
    return String(request.headers["attempt-id"]);
}
