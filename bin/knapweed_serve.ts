#!/usr/bin/env node
/**
 * The program that serves callers on the platform.
 *
 * The signals that ask for a reload are taken before anything else is loaded: until then they would end the process.
 *
 * @module
 */
process.on("SIGHUP", () => undefined);
process.on("SIGPIPE", () => undefined);

const { runServeProgram } = await import("./serve_program.ts");
await runServeProgram();
