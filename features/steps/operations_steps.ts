/**
 * Steps that find the cause of a failed request in recorded log lines, by the procedure of docs/OPERATIONS.md.
 *
 * @module
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";

interface LogLine {
    instance: string;
    time: string;
    event: string;
    request?: string;
    target?: string;
    end?: string;
    code?: string;
    kind?: string;
    configuration?: number;
    version?: number;
    sinceNoticeMilliseconds?: number;
    plan?: { startAt: number; };
    attempts?: { target: string; result: string; }[];
}

let logLines: LogLine[] = [];
let failedLine: LogLine | undefined;

function getFailedLine(): LogLine {
    if (failedLine === undefined) {
        throw new Error("Cannot run the step: the recorded log lines do not contain the request.");
    }
    return failedLine;
}

function isStoreLostAt(line: LogLine, kind: string): boolean {
    const stateChanges = logLines.filter(candidate => candidate.instance === line.instance && candidate.kind === kind);
    const earlierChanges = stateChanges.filter(candidate => candidate.time <= line.time);
    return earlierChanges.at(-1)?.event === "store lost";
}

/** Functions that check that the log lines show a cause, by the cause's name in the feature file. */
const CAUSE_CHECKS: Record<string, (line: LogLine) => void> = {
    "its engine shut down before its planned move": line => {
        const target = line.attempts?.at(-1)?.target;
        assert.ok(logLines.some(candidate => candidate.event === "target leaving" && candidate.target === target));
        const move = logLines.find(candidate => candidate.event === "move ended" && candidate.request === line.request);
        assert.equal(move?.end, "not needed");
        assert.ok(
            (move.plan?.startAt ?? 0) >= 1900,
            "the move was planned for a time before the engines of the recorded run shut down",
        );
    },
    "its targets had shut down during a store outage": line => {
        assert.ok(line.attempts?.every(attempt => attempt.result.includes("ECONNREFUSED")));
        const storeLostLines = logLines.filter(candidate =>
            candidate.event === "store lost" && candidate.instance === line.instance
        );
        assert.ok(storeLostLines.length > 0 && storeLostLines.every(candidate => candidate.time < line.time));
    },
    "the configuration was outdated in a store outage": line => {
        assert.ok(isStoreLostAt(line, "config"));
        const adoptionLine = logLines.find(candidate => candidate.event === "configuration adopted");
        assert.ok((adoptionLine?.version ?? 0) > (line.configuration ?? 0));
    },
};

Given("the recorded log lines {string}", async function(file: string) {
    const text = await readFile(`features/platform/recorded/${file}.jsonl`, "utf8");
    logLines = text.split("\n").filter(line => line !== "").map(line => JSON.parse(line) as LogLine);
});

When("an operator looks up the log line of the request {string}", function(request: string) {
    failedLine = logLines.find(line => line.request === request && line.event.startsWith("request "));
});

Then("the line has the result {string}", function(expected: string) {
    assert.equal(getFailedLine().end ?? getFailedLine().code, expected);
});

Then("the related lines show {string}", function(cause: string) {
    const check = CAUSE_CHECKS[cause];
    assert.ok(check !== undefined, `there is no check for the cause "${cause}"`);
    check(getFailedLine());
});
