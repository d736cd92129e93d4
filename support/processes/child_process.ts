/**
 * A child process that is ended with its parent.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";

const children = new Set<ChildProcess>();

process.on("exit", () => children.forEach(child => child.kill("SIGKILL")));

/** A running child process. */
export interface RunningChild {
    /** Sends a signal to the child. */
    send: (signal: NodeJS.Signals) => void;
    /** Waits until the child has ended. @returns Its exit code; -1 where a signal ended it. */
    waitForExit: () => Promise<number>;
    /** True while the child runs. */
    isRunning: () => boolean;
    /** What the child has written to its streams, the last 64 KiB. */
    getOutput: () => string;
}

const MAX_OUTPUT = 65_536;

/**
 * Starts a Node.js program.
 *
 * @param file Path of the program.
 * @param options Its arguments.
 * @returns The running child.
 */
export function startChild(file: string, options: { arguments: readonly string[]; }): RunningChild {
    const child = spawn(process.execPath, [file, ...options.arguments], { stdio: ["ignore", "pipe", "pipe"] });
    children.add(child);
    let output = "";
    const collect = (chunk: Buffer): void => {
        output = (output + chunk.toString()).slice(-MAX_OUTPUT);
    };
    child.stdout.on("data", collect);
    child.stderr.on("data", collect);
    const exited = new Promise<number>(resolve => {
        child.on("exit", code => {
            children.delete(child);
            resolve(code ?? -1);
        });
    });
    return {
        send: signal => void child.kill(signal),
        waitForExit: () => exited,
        isRunning: () => children.has(child),
        getOutput: () => output,
    };
}
