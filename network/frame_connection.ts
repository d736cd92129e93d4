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

const HEARTBEAT_KIND = "heartbeat";
const DEFAULT_HEARTBEAT_MILLISECONDS = 500;
const DEFAULT_SILENCE_MILLISECONDS = 2000;
const DEFAULT_MAX_BUFFERED_BYTES = 32 * 1024 * 1024;

/** Sends and receives messages; both ends send heartbeats. */
export class FrameConnection {
    readonly #socket: Socket;
    readonly #options: FrameConnectionOptions;
    readonly #decoder = new FrameDecoder();
    #heartbeatTimer: NodeJS.Timeout | undefined;
    /** Time since which an answer is waited for; `undefined` where none is due. */
    #awaitingDataSince: number | undefined = performance.now();
    #isHeartbeatDue = false;
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
        this.#awaitingDataSince ??= performance.now();
        this.#write(message);
        this.#startTimer();
    }

    /** Closes the connection at once. */
    close(): void {
        if (this.#isClosed) {
            return;
        }
        this.#isClosed = true;
        clearTimeout(this.#heartbeatTimer);
        this.#socket.destroy();
        this.#options.onClose();
    }

    #write(message: { kind: string; }): void {
        this.#socket.write(encodeFrame(message));
        if (this.#socket.writableLength > (this.#options.maxBufferedBytes ?? DEFAULT_MAX_BUFFERED_BYTES)) {
            this.close();
        }
    }

    #handleData(chunk: Buffer): void {
        this.#awaitingDataSince = this.#isQuietWhenIdle ? undefined : performance.now();
        try {
            for (const message of this.#decoder.handleChunk(chunk)) {
                if (message.kind !== HEARTBEAT_KIND) {
                    this.#isHeartbeatDue = true;
                    this.#options.onMessage(message);
                }
            }
        }
        catch {
            this.close();
        }
        this.#startTimer();
    }

    get #isQuietWhenIdle(): boolean {
        return this.#options.isQuietWhenIdle ?? false;
    }

    /** Starts the timer where something is due. */
    #startTimer(): void {
        const isTimerNeeded = !this.#isQuietWhenIdle || this.#isHeartbeatDue || this.#awaitingDataSince !== undefined;
        if (this.#heartbeatTimer === undefined && isTimerNeeded && !this.#isClosed) {
            this.#heartbeatTimer = setTimeout(
                () => this.#handleTimer(),
                this.#options.heartbeatMilliseconds ?? DEFAULT_HEARTBEAT_MILLISECONDS,
            );
        }
    }

    #handleTimer(): void {
        this.#heartbeatTimer = undefined;
        const silenceMilliseconds = performance.now() - (this.#awaitingDataSince ?? Infinity);
        if (silenceMilliseconds > (this.#options.silenceMilliseconds ?? DEFAULT_SILENCE_MILLISECONDS)) {
            this.close();
            return;
        }
        if (!this.#isQuietWhenIdle || this.#isHeartbeatDue) {
            this.#isHeartbeatDue = false;
            this.#write({ kind: HEARTBEAT_KIND });
        }
        this.#startTimer();
    }
}
