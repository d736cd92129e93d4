/**
 * Steps that check the decision on the end of a response, without input or output.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    decideResponseOutcome,
    type ResponseOutcome,
    type ServingTarget,
    TargetPresence,
} from "../../core/serving/mod.ts";
import { openObservedConnection, waitMilliseconds } from "../../network/mod.ts";
import type { EngineClient } from "../../serving/engine_client.ts";
import { TargetProbe } from "../../serving/target_probe.ts";
import { systemClock } from "../../telemetry/mod.ts";
import { getInstance } from "../support/site_context.ts";

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

let presences: TargetPresence[] = [];

When("two responses of a target end one after the other, and the target ends between them", async function() {
    let presence: TargetPresence = TargetPresence.running;
    const engines = {
        isPaused: () => false,
        // The answer is on its way for a while.
        findPresence: async () => {
            const answer = presence;
            await waitMilliseconds(20);
            return answer;
        },
    } as unknown as EngineClient;
    const probe = new TargetProbe({
        engines,
        openConnection: openObservedConnection,
        findTarget: () => undefined,
        clock: systemClock,
    });
    const target = { id: "engine-1", startedAt: 1 } as ServingTarget;
    const service = { engine: {} } as Parameters<TargetProbe["findPresence"]>[1]["service"];
    const options = { service, isPatient: true, endAge: 0 };
    const first = probe.findPresence(target, options);
    presence = TargetPresence.gone;
    presences = await Promise.all([first, probe.findPresence(target, options)]);
});

Then(
    "the target was found {string} for the first and {string} for the second",
    function(first: string, second: string) {
        assert.deepEqual(presences, [first, second]);
    },
);

Then("no line tells of the end of a response", function() {
    assert.deepEqual(getInstance(1).lines.filter(({ event }) => event === "response ended"), []);
});
