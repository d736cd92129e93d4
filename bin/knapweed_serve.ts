#!/usr/bin/env node
/**
 * Entry point of the server that relays callers' requests to the platform's targets.
 *
 * Handlers for `SIGHUP`, which requests a reload of the settings, and `SIGPIPE` are installed before any other module
 * is loaded, because the default action of these signals would end the process.
 *
 * @module
 */
process.on("SIGHUP", () => undefined);
process.on("SIGPIPE", () => undefined);

const { runServeProgram } = await import("./serve_program.ts");
await runServeProgram();
