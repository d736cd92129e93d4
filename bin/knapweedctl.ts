#!/usr/bin/env node
/**
 * Entry point of the operators' command-line tool.
 *
 * @module
 */
import { buildCommand, DocumentError, EXIT_CODE, PlatformUnavailableError } from "../control/mod.ts";
import { VERSION } from "./run_program.ts";

const command = buildCommand({
    version: VERSION,
    output: {
        print: line => void process.stdout.write(`${line}\n`),
        printError: line => void process.stderr.write(`${line}\n`),
        setExitCode: code => {
            process.exitCode = code;
        },
    },
});

try {
    await command.parseAsync(process.argv);
    // Without this, idle keep-alive connections to the platform would delay the exit by some seconds.
    process.exit();
}
catch (error) {
    const lines = error instanceof DocumentError
        ? error.problems
        : [error instanceof Error ? error.message : String(error)];
    lines.forEach(line => process.stderr.write(`${line}\n`));
    process.exit(error instanceof PlatformUnavailableError ? EXIT_CODE.unavailable : EXIT_CODE.invalid);
}
