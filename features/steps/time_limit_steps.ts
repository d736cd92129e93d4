/**
 * Steps that collect garbage while a call waits for its response.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { promisify } from "node:util";

const PROGRAM_PATH = "dist/support/platform/run_time_limit_call.js";

/** How long the call has taken, as the program prints it. */
let result = "";

When(
    /^(.+) with a time limit of (\d+) ms gets no complete response and garbage is collected in between$/,
    async function(name: string, limitMilliseconds: string) {
        const flags = ["--expose-gc", "--always-turbofan"];
        const { stdout } = await promisify(execFile)(process.execPath, [
            ...flags,
            PROGRAM_PATH,
            name,
            limitMilliseconds,
        ]);
        result = stdout.trim();
    },
);

Then("the call has ended after at most {int} ms", function(milliseconds: number) {
    assert.ok(Number(result) <= milliseconds, `the call has ended after ${result} ms`);
});
