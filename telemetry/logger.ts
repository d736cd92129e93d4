/**
 * Logs lines for changes of state.
 *
 * @module
 */
import { type ILogObj, Logger } from "tslog";

/** Logs changes of state. */
export interface ChangeLogger {
    /** Logs one change with the fields that describe it. */
    logChange(message: string, fields?: Record<string, unknown>): void;
    /** Logs a fault that an operator should look at. */
    logFault(message: string, fields?: Record<string, unknown>): void;
}

/** Options of {@linkcode createLogger}. */
export interface CreateLoggerOptions {
    /** Name of the process. */
    name: string;
    /** Form of the lines. Defaults to "json". */
    format?: "json" | "pretty" | "hidden";
}

/**
 * Creates a logger.
 *
 * @param options Name and form.
 * @returns The logger.
 */
export function createLogger(options: CreateLoggerOptions): ChangeLogger {
    const logger = new Logger<ILogObj>({ name: options.name, type: options.format ?? "json" });
    return {
        logChange: (message, fields = {}) => void logger.info(message, fields),
        logFault: (message, fields = {}) => void logger.error(message, fields),
    };
}
