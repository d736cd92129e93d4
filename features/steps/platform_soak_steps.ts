/**
 * Steps that run soak tests: serving processes under load and random faults, from a seed.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { runSoak, type SoakResult } from "../../support/platform/soak/soak_run.ts";

let result: SoakResult | undefined;

When(
    "a soak test runs for {int} seconds with the seed {int}",
    async function(seconds: number, seed: number) {
        result = await runSoak({ seed, milliseconds: seconds * 1000 });
    },
);

Then("no guarantee is violated and at least {int} in 10 requests are served", function(tenths: number) {
    assert.ok(result !== undefined);
    assert.deepEqual(result.violations, []);
    assert.ok(result.served >= result.requests * tenths / 10, JSON.stringify(result));
});
