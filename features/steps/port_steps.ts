/**
 * Steps about the ports of test processes.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { startChild, waitUntil } from "../../support/processes/mod.ts";

const PROGRAM = "dist/support/processes/run_find_addresses.js";

let addresses: string[] = [];

When(
    "{int} test processes find {int} addresses each at the same time",
    async function(processes: number, count: number) {
        const children = Array.from({ length: processes }, () => startChild(PROGRAM, { arguments: [String(count)] }));
        const readOutput = (): string[] => children.map(child => child.getOutput());
        await waitUntil(() => readOutput().every(output => output.endsWith("\n")), { label: "the addresses" });
        children.forEach(child => child.sendSignal("SIGKILL"));
        addresses = readOutput().flatMap(output => JSON.parse(output) as string[]);
        assert.equal(addresses.length, processes * count);
    },
);

Then("no two of these addresses are the same", function() {
    assert.equal(new Set(addresses).size, addresses.length);
});
