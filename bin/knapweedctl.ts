#!/usr/bin/env node
/**
 * The operators' program.
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
    // Kept connections to the platform would hold the process for some seconds.
    process.exit();
}
catch (error) {
    const lines = error instanceof DocumentError
        ? error.problems
        : [error instanceof Error ? error.message : String(error)];
    lines.forEach(line => process.stderr.write(`${line}\n`));
    process.exit(error instanceof PlatformUnavailableError ? EXIT_CODE.unavailable : EXIT_CODE.invalid);
}
