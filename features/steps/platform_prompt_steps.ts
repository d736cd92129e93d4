/**
 * Steps about the parts of prompts, and about prompts that crash engines.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createRequestId, formatRequestId, getSite, siteContext } from "../support/site_context.ts";

/** An attempt as the log line of its request describes it. */
interface LoggedAttempt {
    headMilliseconds?: number;
    events: number;
}

/** Log line of a finished request. */
interface RequestLine {
    attempts: LoggedAttempt[];
    promptParts: string[];
    promptPartCount?: number;
}

function getLastRequestLine(): RequestLine {
    const request = formatRequestId(siteContext.requestCount);
    const line = getSite().instances.flatMap(({ lines }) => lines).find(candidate =>
        candidate["event"] === "request ended" && candidate["request"] === request
    );
    assert.ok(line !== undefined, `no instance has logged the end of the request ${request}`);
    return line as unknown as RequestLine;
}

function buildPromptPrefix(parts: readonly string[]): string {
    return parts.map(part => `${part}:10`).join(",");
}

When("a caller sends a {string} whose prompt has {int} parts", async function(kind: string, count: number) {
    const parts = Array.from({ length: count }, (_, index) => index.toString(16));
    const headers = { "prompt-prefix": buildPromptPrefix(parts) };
    siteContext.responses.push(await getSite().call({ kind, id: createRequestId(), headers }));
});

Then("the log line of the request lists the prompt parts {string}", function(parts: string) {
    assert.deepEqual(getLastRequestLine().promptParts, parts.split(","));
});

Then("the log line of the request lists {int} prompt parts of {int}", function(listed: number, count: number) {
    const { promptParts, promptPartCount } = getLastRequestLine();
    assert.equal(promptParts.length, listed);
    assert.equal(promptPartCount, count);
});

Then("it says of its attempts {string}", function(expected: string) {
    const attempts = getLastRequestLine().attempts.map(({ headMilliseconds, events }) =>
        `${headMilliseconds === undefined ? "no head" : "head"}, ${events} events`
    );
    assert.equal(attempts.join("; "), expected);
});
