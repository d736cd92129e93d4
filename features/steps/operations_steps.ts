/**
 * Steps that follow a failed request through the lines of a played day, as docs/OPERATIONS.md does.
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

let lines: LogLine[] = [];
let failed: LogLine | undefined;

function getFailed(): LogLine {
    if (failed === undefined) {
        throw new Error("Cannot go on: the lines hold no such request.");
    }
    return failed;
}

function isOutageAt(line: LogLine, kind: string): boolean {
    const own = lines.filter(candidate => candidate.instance === line.instance && candidate.kind === kind);
    const before = own.filter(candidate => candidate.time <= line.time);
    return before.at(-1)?.event === "store lost";
}

/** Checks of the causes, by the words of the table. */
const CAUSES: Record<string, (line: LogLine) => void> = {
    "its engine left, and its move was due too late": line => {
        const target = line.attempts?.at(-1)?.target;
        assert.ok(lines.some(candidate => candidate.event === "target leaving" && candidate.target === target));
        const move = lines.find(candidate => candidate.event === "move ended" && candidate.request === line.request);
        assert.equal(move?.end, "not needed");
        assert.ok((move.plan?.startAt ?? 0) >= 1900, "the move was due before engines of that day had gone");
    },
    "its targets were gone while the store was lost": line => {
        assert.ok(line.attempts?.every(attempt => attempt.result.includes("ECONNREFUSED")));
        const lost = lines.filter(candidate =>
            candidate.event === "store lost" && candidate.instance === line.instance
        );
        assert.ok(lost.length > 0 && lost.every(candidate => candidate.time < line.time));
    },
    "the configuration was old while the store was lost": line => {
        assert.ok(isOutageAt(line, "config"));
        const next = lines.find(candidate => candidate.event === "configuration adopted");
        assert.ok((next?.version ?? 0) > (line.configuration ?? 0));
    },
};

Given("the recorded lines {string}", async function(file: string) {
    const text = await readFile(`features/platform/recorded/${file}.jsonl`, "utf8");
    lines = text.split("\n").filter(line => line !== "").map(line => JSON.parse(line) as LogLine);
});

When("an operator follows the request {string}", function(request: string) {
    failed = lines.find(line => line.request === request && line.event.startsWith("request "));
});

Then("its line tells that it {string}", function(end: string) {
    assert.equal(getFailed().end ?? getFailed().code, end);
});

Then("the next lines tell {string}", function(cause: string) {
    const check = CAUSES[cause];
    assert.ok(check !== undefined, `nothing is known as "${cause}"`);
    check(getFailed());
});
