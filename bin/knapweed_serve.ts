#!/usr/bin/env node
/**
 * Entry point of the server that relays callers' requests to the platform's targets.
 *
 * The signal handlers are installed before any other module is loaded.
 *
 * @module
 */
import "./signal_handlers.ts";

const { runServeProgram } = await import("./serve_program.ts");
await runServeProgram();
