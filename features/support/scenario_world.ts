/**
 * Defines the state that the steps of a scenario share, in the terms of cucumber its world.
 *
 * A scenario runs a fleet of real processes or a simulated fleet in virtual time.
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
import type { SimulatedFleet } from "./simulated_fleet.ts";

const STEP_TIMEOUT_MILLISECONDS = 60_000;
setDefaultTimeout(STEP_TIMEOUT_MILLISECONDS);

/** State that the steps of one scenario share. */
export class ScenarioWorld extends World {
    #fleet: Fleet | undefined;
    #simulatedFleet: SimulatedFleet | undefined;
    /** Responses in the order of their requests. */
    results: HttpResult[] = [];
    /** Stamp request that the scenario has started and not yet awaited. */
    pendingStamp: Promise<HttpResult | undefined> | undefined;
    /** Time that the last timed call took, in milliseconds. */
    elapsedMilliseconds = 0;
    /** Problems that a step has found, for a later step to check. */
    failures: string[] = [];
    /** Number of responses that the requests of a load got. */
    responseCount = 0;
    /** Identifiers of the generations that each engine knew when a step recorded them, in the order of the engines. */
    earlierGenerationIds: string[][] = [];
    /** Calls that the scenario has started and not yet awaited. */
    pendingCalls: Promise<HttpResult>[] = [];

    get fleet(): Fleet {
        if (this.#fleet === undefined) {
            throw new Error("Cannot run the step: the scenario has no fleet of processes.");
        }
        return this.#fleet;
    }

    set fleet(fleet: Fleet) {
        this.#fleet = fleet;
    }

    get simulatedFleet(): SimulatedFleet {
        if (this.#simulatedFleet === undefined) {
            throw new Error("Cannot run the step: the scenario has no simulated fleet.");
        }
        return this.#simulatedFleet;
    }

    set simulatedFleet(simulatedFleet: SimulatedFleet) {
        this.#simulatedFleet = simulatedFleet;
    }

    get hasFleet(): boolean {
        return this.#fleet !== undefined;
    }

    get lastResult(): HttpResult {
        const result = this.results.at(-1);
        if (result === undefined) {
            throw new Error("Cannot run the step: no response has been received.");
        }
        return result;
    }

    /** Gets the instance with `number`, counted from 1. @throws {Error} If there is none. */
    getInstance(number: number): FleetInstance {
        const instance = this.fleet.instances[number - 1];
        if (instance === undefined) {
            throw new Error(`Cannot run the step: there is no instance ${number}.`);
        }
        return instance;
    }

    /** Calls the instance with the number `instance` with the key of the account "shift-a". */
    async call(instance: number, call: Omit<HttpCall, "address">): Promise<HttpResult> {
        const headers = { authorization: `Bearer ${createAccountKey("shift-a")}`, ...call.headers };
        return callHttp({ ...call, headers, address: this.getInstance(instance).address });
    }
}

setWorldConstructor(ScenarioWorld);

After(async function(this: ScenarioWorld) {
    if (this.hasFleet) {
        await this.fleet.close();
    }
});
