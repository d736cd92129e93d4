/**
 * Starts child processes that are killed when their parent exits.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";

const children = new Set<ChildProcess>();

process.on("exit", () => children.forEach(child => child.kill("SIGKILL")));

/** A running child process. */
export interface RunningChild {
    /** Identifier of the process. */
    pid: number;
    /** Sends a signal to the child. */
    sendSignal: (signal: NodeJS.Signals) => void;
    /** Waits until the child has exited. @returns Its exit code; -1 if a signal terminated it. */
    waitForExit: () => Promise<number>;
    /** Tells whether the child is running. */
    isRunning: () => boolean;
    /** Returns the end of what the child has written to stdout and stderr, 65,536 characters at most. */
    getOutput: () => string;
}

/** Maximum length of the output that is kept of each child. */
const MAX_OUTPUT_CHARACTERS = 65_536;

/**
 * Starts a Node.js program as a child process.
 *
 * @param file Path of the program.
 * @param options Command-line arguments, and flags for Node.js, which default to none.
 * @returns The running child.
 */
export function startChild(
    file: string,
    options: { arguments: readonly string[]; nodeFlags?: readonly string[]; },
): RunningChild {
    const { arguments: programArguments, nodeFlags = [] } = options;
    const child = spawn(process.execPath, [...nodeFlags, file, ...programArguments], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    children.add(child);
    let output = "";
    const appendOutput = (chunk: Buffer): void => {
        output = (output + chunk.toString()).slice(-MAX_OUTPUT_CHARACTERS);
    };
    child.stdout.on("data", appendOutput);
    child.stderr.on("data", appendOutput);
    const exited = new Promise<number>(resolve => {
        child.on("exit", code => {
            children.delete(child);
            resolve(code ?? -1);
        });
    });
    return {
        pid: child.pid ?? -1,
        sendSignal: signal => void child.kill(signal),
        waitForExit: () => exited,
        isRunning: () => children.has(child),
        getOutput: () => output,
    };
}
