/**
 * Runs the scenarios and counts them; those in KNOWN-RED.txt may fail, and are printed.
 *
 * Arguments are tags; without any, all scenarios run.
 *
 * @module
 */
import { loadConfiguration, runCucumber } from "@cucumber/cucumber/api";
import type { Envelope } from "@cucumber/messages";
import { readFile } from "node:fs/promises";
import { PassThrough } from "node:stream";

interface ScenarioCounts {
    passed: number;
    failed: number;
    known: string[];
}

/** Reads the names of scenarios that may fail. */
async function readKnownRed(): Promise<Set<string>> {
    const text = await readFile("KNOWN-RED.txt", "utf8").catch(() => "");
    const lines = text.split("\n").filter(line => line.trim() !== "" && !line.startsWith("#"));
    return new Set(lines.map(line => line.split("|")[0]?.trim() ?? ""));
}

/** Most characters of a failure that are printed. */
const MAX_FAILURE = 1500;

/** Collects the result of each scenario from cucumber's messages. */
class ScenarioCollector {
    readonly counts: ScenarioCounts = { passed: 0, failed: 0, known: [] };
    readonly #knownRed: ReadonlySet<string>;
    readonly #names = new Map<string, string>();
    readonly #cases = new Map<string, string>();
    readonly #failures = new Map<string, string>();

    constructor(knownRed: ReadonlySet<string>) {
        this.#knownRed = knownRed;
    }

    handleMessage(message: Envelope): void {
        if (message.pickle !== undefined) {
            this.#names.set(message.pickle.id, message.pickle.name);
        }
        if (message.testCase !== undefined) {
            this.#cases.set(message.testCase.id, this.#names.get(message.testCase.pickleId) ?? "");
        }
        if (message.testCaseStarted !== undefined) {
            const { id, testCaseId } = message.testCaseStarted;
            this.#cases.set(id, this.#cases.get(testCaseId) ?? "");
        }
        const result = message.testStepFinished?.testStepResult;
        if (result !== undefined && result.status !== "PASSED" && message.testStepFinished !== undefined) {
            const { testCaseStartedId } = message.testStepFinished;
            const known = this.#failures.get(testCaseStartedId) ?? "";
            this.#failures.set(testCaseStartedId, known || `${result.status}: ${result.message ?? ""}`);
        }
        if (message.testCaseFinished !== undefined) {
            this.#handleEnd(message.testCaseFinished.testCaseStartedId);
        }
    }

    #handleEnd(id: string): void {
        const name = this.#cases.get(id) ?? "";
        const failure = this.#failures.get(id);
        if (failure === undefined) {
            this.counts.passed += 1;
            process.stdout.write(`passed  ${name}\n`);
            return;
        }
        process.stdout.write(`FAILED  ${name}\n${failure.slice(0, MAX_FAILURE)}\n`);
        if (this.#knownRed.has(name)) {
            this.counts.known.push(name);
        }
        else {
            this.counts.failed += 1;
        }
    }
}

const collector = new ScenarioCollector(await readKnownRed());
const tags = process.argv.slice(2).join(" or ");
const { runConfiguration } = await loadConfiguration({ provided: { format: [], ...tags === "" ? {} : { tags } } });
runConfiguration.formats = { stdout: "summary", files: {}, publish: false, options: {} };
await runCucumber(
    runConfiguration,
    { stdout: new PassThrough().resume() },
    message => collector.handleMessage(message),
);
const { passed, failed, known } = collector.counts;
known.forEach(name => process.stdout.write(`known red: ${name}\n`));
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exit(failed === 0 ? 0 : 1);
