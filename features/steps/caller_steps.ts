/**
 * Steps that send requests of callers to real processes.
 *
 * @module
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { callHttp } from "../../support/processes/mod.ts";
import { startScenarioFleet } from "../support/scenario_fleet.ts";
import type { ScenarioWorld } from "../support/scenario_world.ts";
import { parseStream } from "../support/sse.ts";

/** Builds the body of a request for a generation of `tokens` tokens. */
export function buildGenerationBody(tokens: number, options: { isStream: boolean; prompt?: string; }): string {
    return JSON.stringify({
        model: "furnace-narrator",
        prompt: options.prompt ?? "Charge 4411.",
        stream: options.isStream,
        output_tokens: tokens,
    });
}

Given(
    "a fleet of {int} instance(s), {int} engine(s) and {int} service(s)",
    async function(this: ScenarioWorld, instances: number, engines: number, services: number) {
        this.fleet = await startScenarioFleet({ instances, engines, services });
    },
);

When(
    "a caller streams a generation of {int} tokens through instance {int}",
    async function(this: ScenarioWorld, tokens: number, instance: number) {
        const body = buildGenerationBody(tokens, { isStream: true });
        this.results.push(await this.call(instance, { method: "POST", path: "/v1/completions", body }));
    },
);

When(
    "a caller requests a non-streamed generation of {int} tokens through instance {int}",
    async function(this: ScenarioWorld, tokens: number, instance: number) {
        const body = buildGenerationBody(tokens, { isStream: false });
        this.results.push(await this.call(instance, { method: "POST", path: "/v1/completions", body }));
    },
);

When(
    "a caller posts a stamp with the key {string} through instance {int}",
    async function(this: ScenarioWorld, key: string, instance: number) {
        const headers = { "idempotency-key": key };
        this.results.push(
            await this.call(instance, {
                method: "POST",
                path: "/services/ledger/stamps",
                headers,
                body: "certificate",
            }),
        );
    },
);

Then("the caller has received {int} tokens of one generation in order", function(this: ScenarioWorld, tokens: number) {
    const stream = parseStream(this.lastResult.body);
    assert.deepEqual(stream.indices, Array.from({ length: tokens }, (_unused, index) => index));
    assert.equal(new Set(stream.generations).size, 1);
    assert.equal(stream.isDone, true);
});

Then("the response holds {int} tokens", function(this: ScenarioWorld, tokens: number) {
    const response = JSON.parse(this.lastResult.body.toString()) as { choices: { text: string; }[]; };
    const words = response.choices[0]?.text.trim().split(" ") ?? [];
    assert.equal(words.length, tokens);
    assert.equal(new Set(words.map(word => word.split(".")[0])).size, 1);
});

Then("both stamps have the same number", function(this: ScenarioWorld) {
    const [first, second] = this.results.slice(-2);
    assert.equal(first?.status, 201);
    assert.equal(second?.status, 201);
    assert.equal(first.headers["x-number"], second.headers["x-number"]);
});

Then("the services ran {int} stamp(s)", async function(this: ScenarioWorld, count: number) {
    assert.equal(await countStamps(this), count);
});

/** Counts the stamps that all services together ran. */
export async function countStamps(world: ScenarioWorld): Promise<number> {
    const states = await Promise.all(
        world.fleet.services.map(service => callHttp({ address: service.address, path: "/state" })),
    );
    const runs = states.flatMap(state => (JSON.parse(state.body.toString()) as { runs: { method: string; }[]; }).runs);
    return runs.filter(run => run.method === "POST").length;
}
