/**
 * Looks at the stand-ins of engines.
 *
 * @module
 */
import { callHttp } from "../../support/processes/mod.ts";

/** What an engine's stand-in tells of itself. */
export interface EngineState {
    falls: number;
    preemptions: number;
    held: number;
    greatestCold: number;
    generations: { id: string; tokens: number; starts: number; }[];
}

/** Fetches the state of the engine at `address`. */
export async function fetchEngineState(address: string): Promise<EngineState> {
    return JSON.parse((await callHttp({ address, path: "/state" })).body.toString()) as EngineState;
}
