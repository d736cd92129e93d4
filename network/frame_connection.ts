/**
 * One TCP connection that carries frames and notices when the other end goes silent.
 *
 * @module
 */
import type { Socket } from "node:net";
import { encodeFrame, FrameDecoder } from "../protocol/mod.ts";

/** Options of a {@linkcode FrameConnection}. */
export interface FrameConnectionOptions {
    /** Called with each message. */
    onMessage: (message: { kind: string; }) => void;
    /** Called once when the connection is closed. */
    onClose: () => void;
    /**
     * True where heartbeats only answer messages, so that an idle connection costs nothing. Silence is then counted from
     * the first message that was not answered. Defaults to false.
     */
    isQuietWhenIdle?: boolean;
    /** Time between heartbeats, in milliseconds. Defaults to 500. */
    heartbeatMilliseconds?: number;
    /** Silence after which the connection is closed, in milliseconds. Defaults to 2000. */
    silenceMilliseconds?: number;
    /** Bytes that may wait to be sent before the connection is closed. Defaults to 32 MiB. */
    maxBufferedBytes?: number;
}

const HEARTBEAT = "heartbeat";
const DEFAULT_HEARTBEAT = 500;
const DEFAULT_SILENCE = 2000;
const DEFAULT_MAX_BUFFERED = 32 * 1024 * 1024;

/** Sends and receives messages; both ends send heartbeats. */
export class FrameConnection {
    readonly #socket: Socket;
    readonly #options: FrameConnectionOptions;
    readonly #decoder = new FrameDecoder();
    #timer: NodeJS.Timeout | undefined;
    /** Time since which an answer is waited for; `undefined` where none is due. */
    #waitingSince: number | undefined = performance.now();
    #owesHeartbeat = false;
    #isClosed = false;

    /** @param socket Connected, or connecting, socket. */
    constructor(socket: Socket, options: FrameConnectionOptions) {
        this.#socket = socket;
        this.#options = options;
        socket.setNoDelay(true);
        socket.on("data", chunk => this.#handleData(chunk));
        socket.on("error", () => this.close());
        socket.on("close", () => this.close());
        this.#startTimer();
    }

    get isClosed(): boolean {
        return this.#isClosed;
    }

    /** Sends `message`; one on a closed connection is dropped. */
    send(message: { kind: string; }): void {
        if (this.#isClosed) {
            return;
        }
        this.#waitingSince ??= performance.now();
        this.#write(message);
        this.#startTimer();
    }

    /** Closes the connection at once. */
    close(): void {
        if (this.#isClosed) {
            return;
        }
        this.#isClosed = true;
        clearTimeout(this.#timer);
        this.#socket.destroy();
        this.#options.onClose();
    }

    #write(message: { kind: string; }): void {
        this.#socket.write(encodeFrame(message));
        if (this.#socket.writableLength > (this.#options.maxBufferedBytes ?? DEFAULT_MAX_BUFFERED)) {
            this.close();
        }
    }

    #handleData(chunk: Buffer): void {
        this.#waitingSince = this.#isQuiet ? undefined : performance.now();
        try {
            for (const message of this.#decoder.handleChunk(chunk)) {
                if (message.kind !== HEARTBEAT) {
                    this.#owesHeartbeat = true;
                    this.#options.onMessage(message);
                }
            }
        }
        catch {
            this.close();
        }
        this.#startTimer();
    }

    get #isQuiet(): boolean {
        return this.#options.isQuietWhenIdle ?? false;
    }

    /** Starts the timer where something is due. */
    #startTimer(): void {
        const isDue = !this.#isQuiet || this.#owesHeartbeat || this.#waitingSince !== undefined;
        if (this.#timer === undefined && isDue && !this.#isClosed) {
            this.#timer = setTimeout(
                () => this.#handleTimer(),
                this.#options.heartbeatMilliseconds ?? DEFAULT_HEARTBEAT,
            );
        }
    }

    #handleTimer(): void {
        this.#timer = undefined;
        const silence = performance.now() - (this.#waitingSince ?? Infinity);
        if (silence > (this.#options.silenceMilliseconds ?? DEFAULT_SILENCE)) {
            this.close();
            return;
        }
        if (!this.#isQuiet || this.#owesHeartbeat) {
            this.#owesHeartbeat = false;
            this.#write({ kind: HEARTBEAT });
        }
        this.#startTimer();
    }
}
