#!/usr/bin/env node
/**
 * Entry point of the gateway, which runs the data path of one instance.
 *
 * @module
 */
import { GATEWAY_SETTINGS, GatewayProcess } from "../gateway/mod.ts";
import { runProgram } from "./run_program.ts";

await runProgram({
    program: "knapweed-gateway",
    description: "Runs the data path of one instance.",
    table: GATEWAY_SETTINGS,
    build: (settings, logger) => new GatewayProcess({ settings, logger }),
});
