/**
 * Steps that check the decision on the end of a response, without input or output.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { decideResponseOutcome, type ResponseOutcome, type TargetPresence } from "../../core/serving/mod.ts";

let outcome: ResponseOutcome | undefined;

When(
    /^a response with (\d+)\/(\d+) and the traits "([^"]*)" ends, and its target is "(\w+)" afterwards$/,
    function(events: string, unfinishedBytes: string, traitText: string, presence: TargetPresence) {
        const traits = traitText.split(" ");
        outcome = decideResponseOutcome({
            isFramed: traits.includes("framed"),
            isClosedInOrder: traits.includes("in-order"),
            events: Number(events),
            unfinishedBytes: Number(unfinishedBytes),
            mayBeEmpty: traits.includes("rest"),
            hasAllTokens: traits.includes("full"),
            mayBeStopped: traits.includes("stopped"),
        }, presence);
    },
);

Then("the decision on its end is {string}", function(expected: string) {
    assert.equal(outcome, expected);
});
