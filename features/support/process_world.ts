/**
 * The world of all scenarios: real processes, or cores in virtual time.
 *
 * @module
 */
import { After, setDefaultTimeout, setWorldConstructor, World } from "@cucumber/cucumber";
import { createAccountKey } from "../../support/fixtures/inventories.ts";
import {
    callHttp,
    type Fleet,
    type FleetInstance,
    type HttpCall,
    type HttpResult,
} from "../../support/processes/mod.ts";
import type { BenchWorld } from "./bench_world.ts";

const STEP_TIMEOUT = 60_000;
setDefaultTimeout(STEP_TIMEOUT);

/** What the steps of one scenario share. */
export class ProcessWorld extends World {
    #fleet: Fleet | undefined;
    #bench: BenchWorld | undefined;
    /** Answers in the order in which they were asked for. */
    results: HttpResult[] = [];
    /** Stamp that was begun and not waited for. */
    stamp: Promise<HttpResult | undefined> | undefined;
    /** Time that the last timed call took, in milliseconds. */
    elapsed = 0;
    /** Problems that a step has found. */
    failures: string[] = [];
    /** Requests that a load had answered. */
    answeredCount = 0;
    /** Generations that each engine had begun at some time. */
    engineStarts: string[][] = [];
    /** Calls that have not been waited for. */
    pending: Promise<HttpResult>[] = [];

    get fleet(): Fleet {
        if (this.#fleet === undefined) {
            throw new Error("Cannot go on: the scenario has no fleet.");
        }
        return this.#fleet;
    }

    set fleet(fleet: Fleet) {
        this.#fleet = fleet;
    }

    get bench(): BenchWorld {
        if (this.#bench === undefined) {
            throw new Error("Cannot go on: the scenario has no bench.");
        }
        return this.#bench;
    }

    set bench(bench: BenchWorld) {
        this.#bench = bench;
    }

    get hasFleet(): boolean {
        return this.#fleet !== undefined;
    }

    get lastResult(): HttpResult {
        const result = this.results.at(-1);
        if (result === undefined) {
            throw new Error("Cannot go on: the scenario has no answer yet.");
        }
        return result;
    }

    /** Gets the instance with `number`, counted from 1. */
    getInstance(number: number): FleetInstance {
        const instance = this.fleet.instances[number - 1];
        if (instance === undefined) {
            throw new Error(`Cannot go on: there is no instance ${number}.`);
        }
        return instance;
    }

    /** Makes a call as the account "shift-a". */
    async call(instance: number, call: Omit<HttpCall, "address">): Promise<HttpResult> {
        const headers = { authorization: `Bearer ${createAccountKey("shift-a")}`, ...call.headers };
        return callHttp({ ...call, headers, address: this.getInstance(instance).address });
    }
}

setWorldConstructor(ProcessWorld);

After(async function(this: ProcessWorld) {
    if (this.hasFleet) {
        await this.fleet.close();
    }
});
