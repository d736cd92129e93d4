#!/usr/bin/env node
/**
 * Entry point of the agent, which runs the control path of one instance.
 *
 * @module
 */
import { AGENT_SETTINGS, AgentProcess } from "../agent/mod.ts";
import { runProgram } from "./run_program.ts";

await runProgram({
    program: "knapweed-agent",
    description: "Runs the control path of one instance.",
    table: AGENT_SETTINGS,
    build: (settings, logger) => new AgentProcess({ settings, logger }),
});
