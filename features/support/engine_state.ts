/**
 * Fetches the state of engine stand-ins, for checks.
 *
 * @module
 */
import { callHttp } from "../../support/processes/mod.ts";

/** State that an engine stand-in returns at `/state`. */
export interface EngineState {
    /** Number of crashes because the engine got more requests than it can take while cold. */
    falls: number;
    /** Number of sequences that were evicted from the batch because memory was full. */
    preemptions: number;
    /** Number of requests that the engine holds now. */
    held: number;
    /** Greatest number of requests that the engine held at one time while cold. */
    greatestCold: number;
    /** Generations that the engine knows, with the tokens that it has produced and how often each was started. */
    generations: { id: string; tokens: number; starts: number; }[];
}

/** Fetches the state of the engine stand-in at `address`. */
export async function fetchEngineState(address: string): Promise<EngineState> {
    return JSON.parse((await callHttp({ address, path: "/state" })).body.toString()) as EngineState;
}
