/**
 * A TCP connection that carries framed messages, and closes itself when the remote end stops responding.
 *
 * Heartbeats detect a remote process that hangs or is unreachable without having closed its socket.
 *
 * @module
 */
import type { Socket } from "node:net";
import { encodeFrame, FrameDecoder } from "../protocol/mod.ts";

/** Options of a {@linkcode FrameConnection}. */
export interface FrameConnectionOptions {
    /** Called with each received message; heartbeats are not passed on. */
    onMessage: (message: { kind: string; }) => void;
    /** Called when received data or the handling of a message has failed, before the connection is closed. */
    onError?: ((error: Error) => void) | undefined;
    /** Called once, when the connection is closed by either end. */
    onClose: () => void;
    /**
     * True if heartbeats are only sent in reply to messages, so that an idle connection causes no traffic. The timeout
     * then runs from the first sent message that has not been followed by received data. Defaults to false: heartbeats
     * are sent at every interval, and the timeout runs from the last received data.
     */
    suppressesIdleHeartbeats?: boolean;
    /** Interval between heartbeats, in milliseconds. Defaults to 500. */
    heartbeatMilliseconds?: number;
    /** Time without received data after which the connection is closed, in milliseconds. Defaults to 2000. */
    silenceMilliseconds?: number;
    /** Maximum number of unsent bytes in the send buffer; above it the connection is closed. Defaults to 32 MiB. */
    maxBufferedBytes?: number;
    /** Maximum length of the first received message, in bytes. Defaults to that of all messages, 16 MiB. */
    maxFirstMessageBytes?: number;
}

const HEARTBEAT_KIND = "heartbeat";
const HEARTBEAT_FRAME = encodeFrame({ kind: HEARTBEAT_KIND });
const DEFAULT_HEARTBEAT_MILLISECONDS = 500;
const DEFAULT_SILENCE_MILLISECONDS = 2000;
const DEFAULT_MAX_BUFFERED_BYTES = 32 * 1024 * 1024;

/** Sends and receives messages over one socket; both ends send heartbeats. */
export class FrameConnection {
    readonly #socket: Socket;
    readonly #options: FrameConnectionOptions;
    readonly #decoder: FrameDecoder;
    #heartbeatTimer: NodeJS.Timeout | undefined;
    /** Monotonic time from which the timeout runs; `undefined` while no data is expected from the remote end. */
    #awaitingDataSince: number | undefined = performance.now();
    /** True if a message was received that no heartbeat has acknowledged yet. */
    #isHeartbeatDue = false;
    #isClosed = false;

    /** @param socket Socket that is connected or connecting. */
    constructor(socket: Socket, options: FrameConnectionOptions) {
        this.#socket = socket;
        this.#options = options;
        const { maxFirstMessageBytes } = options;
        this.#decoder = new FrameDecoder(
            maxFirstMessageBytes === undefined ? {} : { maxFirstFrameBytes: maxFirstMessageBytes },
        );
        socket.setNoDelay(true);
        socket.on("data", chunk => this.#handleData(chunk));
        socket.on("error", () => this.close());
        socket.on("close", () => this.close());
        this.#startTimer();
    }

    get isClosed(): boolean {
        return this.#isClosed;
    }

    /** Sends `message`, or drops it if the connection is closed. */
    send(message: { kind: string; }): void {
        this.sendFrame(encodeFrame(message));
    }

    /** Sends a message that is encoded already, since it goes to several peers, or drops it likewise. */
    sendFrame(frame: Buffer): void {
        if (this.#isClosed) {
            return;
        }
        this.#awaitingDataSince ??= performance.now();
        this.#write(frame);
        this.#startTimer();
    }

    /** Closes the connection immediately; unsent messages are lost. */
    close(): void {
        if (this.#isClosed) {
            return;
        }
        this.#isClosed = true;
        clearTimeout(this.#heartbeatTimer);
        this.#socket.destroy();
        this.#options.onClose();
    }

    #write(frame: Buffer): void {
        this.#socket.write(frame);
        if (this.#socket.writableLength > (this.#options.maxBufferedBytes ?? DEFAULT_MAX_BUFFERED_BYTES)) {
            this.close();
        }
    }

    #handleData(chunk: Buffer): void {
        this.#awaitingDataSince = this.#suppressesIdleHeartbeats ? undefined : performance.now();
        try {
            for (const message of this.#decoder.handleChunk(chunk)) {
                if (message.kind !== HEARTBEAT_KIND) {
                    this.#isHeartbeatDue = true;
                    this.#options.onMessage(message);
                }
            }
        }
        catch (error) {
            this.#options.onError?.(error instanceof Error ? error : new Error(String(error)));
            this.close();
        }
        this.#startTimer();
    }

    get #suppressesIdleHeartbeats(): boolean {
        return this.#options.suppressesIdleHeartbeats ?? false;
    }

    /** Starts the timer if a heartbeat has to be sent or the timeout is running. */
    #startTimer(): void {
        const isTimerNeeded = !this.#suppressesIdleHeartbeats || this.#isHeartbeatDue
            || this.#awaitingDataSince !== undefined;
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
        if (!this.#suppressesIdleHeartbeats || this.#isHeartbeatDue) {
            this.#isHeartbeatDue = false;
            this.#write(HEARTBEAT_FRAME);
        }
        this.#startTimer();
    }
}
