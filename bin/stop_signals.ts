/**
 * Handling of the signals that stop a program.
 *
 * @module
 */

/** Options of {@linkcode handleStopSignals}. */
export interface StopSignalOptions {
    /** Finishes the work of the program; its process exits afterwards. */
    drain: () => Promise<void>;
    /** Called for each further signal, which has no effect. Defaults to no action. */
    onRepeated?: (signal: NodeJS.Signals) => void;
}

/**
 * Drains the program at the first `SIGTERM` or `SIGINT`. Without a handler, a repeated signal would end the process in the
 * middle of its requests.
 */
export function handleStopSignals({ drain, onRepeated = () => undefined }: StopSignalOptions): void {
    let isStopping = false;
    const handleSignal = (signal: NodeJS.Signals): void => {
        if (isStopping) {
            onRepeated(signal);
            return;
        }
        isStopping = true;
        void drain().then(() => process.exit(0));
    };
    process.on("SIGTERM", handleSignal);
    process.on("SIGINT", handleSignal);
}
