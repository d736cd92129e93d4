/**
 * Logger for state changes and faults of a process.
 *
 * @module
 */
import { type ILogObj, Logger } from "tslog";

/** Logs state changes and faults. */
export interface ChangeLogger {
    /** Logs a state change at level `info`. */
    logChange(message: string, fields?: Record<string, unknown>): void;
    /** Logs a fault that an operator should investigate, at level `error`. */
    logFault(message: string, fields?: Record<string, unknown>): void;
}

/** Options of {@linkcode createLogger}. */
export interface CreateLoggerOptions {
    /** Name of the process. */
    name: string;
    /** Output format; `hidden` prints nothing. Defaults to `json`. */
    format?: "json" | "pretty" | "hidden";
}

/**
 * Creates a logger.
 *
 * @param options Name of the process, and output format.
 * @returns The logger.
 */
export function createLogger(options: CreateLoggerOptions): ChangeLogger {
    const logger = new Logger<ILogObj>({ name: options.name, type: options.format ?? "json" });
    return {
        logChange: (message, fields = {}) => void logger.info(message, fields),
        logFault: (message, fields = {}) => void logger.error(message, fields),
    };
}
