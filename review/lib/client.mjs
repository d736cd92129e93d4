// A client with one connection that it keeps open for many requests, and opens anew after it was closed. The answer is read
// from the bytes of the connection, so that nothing is hidden by a library.
import { connect } from "node:net";

/** Sends one request over `connection`; resolves to what the client has seen. */
export class Client {
    #socket;
    #port;

    constructor(port) {
        this.#port = port;
    }

    /** Closes the connection. */
    close() {
        this.#socket?.destroy();
        this.#socket = undefined;
    }

    async #open() {
        if (this.#socket !== undefined && !this.#socket.destroyed && !this.#socket.readableEnded) {
            return { socket: this.#socket, isKept: true };
        }
        const socket = connect({ host: "127.0.0.1", port: this.#port, noDelay: true });
        socket.on("error", () => undefined);
        this.#socket = socket;
        await new Promise(resolve => {
            socket.once("connect", resolve);
            socket.once("close", resolve);
        });
        return { socket, isKept: false };
    }

    /**
     * Sends a request and waits for its answer, for `waitMs` at most. Resolves to `{ end, status, headers, body, sentAt,
     * endedAt, isKept }`, where `end` is "whole", "no connection", "closed without an answer", "cut in the answer" or "no
     * answer".
     */
    async send({ method, path, host, headers = {}, body = "", waitMs }) {
        const { socket, isKept } = await this.#open();
        const seen = { isKept, sentAt: performance.now(), localPort: socket.localPort };
        if (socket.destroyed) {
            return { ...seen, end: "no connection", endedAt: performance.now() };
        }
        const lines = [`${method} ${path} HTTP/1.1`, `Host: ${host}`];
        for (const [name, value] of Object.entries(headers)) {
            lines.push(`${name}: ${value}`);
        }
        if (method !== "GET") {
            lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
        }
        let received = Buffer.alloc(0);
        const answer = await new Promise(resolve => {
            const finish = result => {
                clearTimeout(timer);
                socket.off("data", handleData);
                socket.off("close", handleClose);
                resolve(result);
            };
            const handleData = chunk => {
                received = Buffer.concat([received, chunk]);
                const parsed = parseAnswer(received);
                if (parsed?.isWhole === true) {
                    finish({ end: "whole", ...parsed });
                }
            };
            const handleClose = () => {
                const parsed = parseAnswer(received);
                finish({ end: received.length === 0 ? "closed without an answer" : "cut in the answer", ...parsed });
            };
            const timer = setTimeout(
                () => finish({ end: received.length === 0 ? "no answer" : "answer not whole", ...parseAnswer(received) }),
                waitMs,
            );
            socket.on("data", handleData);
            socket.on("close", handleClose);
            socket.write(`${lines.join("\r\n")}\r\n\r\n${body}`);
        });
        if (answer.end !== "whole" || answer.headers?.connection === "close") {
            this.close();
        }
        return { ...seen, ...answer, endedAt: performance.now() };
    }
}

/** Parses what has arrived of an answer; `undefined` until its head is complete. */
function parseAnswer(bytes) {
    const headEnd = bytes.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return undefined;
    }
    const [statusLine, ...lines] = bytes.subarray(0, headEnd).toString("latin1").split("\r\n");
    const headers = Object.fromEntries(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const status = Number(statusLine.split(" ")[1]);
    const rest = bytes.subarray(headEnd + 4);
    if (headers["content-length"] !== undefined) {
        const length = Number(headers["content-length"]);
        return { status, headers, body: rest.subarray(0, length).toString("latin1"), isWhole: rest.length >= length };
    }
    if (/chunked/i.test(headers["transfer-encoding"] ?? "")) {
        return { status, headers, ...decodeChunks(rest) };
    }
    return { status, headers, body: rest.toString("latin1"), isWhole: false };
}

/** Decodes a chunked body as far as it has arrived. */
function decodeChunks(bytes) {
    const parts = [];
    let index = 0;
    for (;;) {
        const lineEnd = bytes.indexOf("\r\n", index);
        if (lineEnd < 0) {
            return { body: parts.join(""), isWhole: false };
        }
        const length = Number.parseInt(bytes.subarray(index, lineEnd).toString("latin1"), 16);
        const end = lineEnd + 2 + length;
        if (length === 0) {
            return { body: parts.join(""), isWhole: bytes.length >= end + 2 };
        }
        parts.push(bytes.subarray(lineEnd + 2, Math.min(end, bytes.length)).toString("latin1"));
        if (bytes.length < end + 2) {
            return { body: parts.join(""), isWhole: false };
        }
        index = end + 2;
    }
}
