/**
 * Runs the cucumber scenarios and prints the result of each one, followed by the counts.
 *
 * Scenarios that KNOWN-RED.txt lists may fail: their failures are printed but not counted. The other failures are
 * printed again before the counts. The command-line arguments are tags, and scenarios with any of them run; without
 * arguments all scenarios run.
 *
 * @module
 */
import { loadConfiguration, runCucumber } from "@cucumber/cucumber/api";
import type { Envelope } from "@cucumber/messages";
import { readFile } from "node:fs/promises";
import { PassThrough } from "node:stream";

interface ScenarioCounts {
    passed: number;
    /** Names of failed scenarios that KNOWN-RED.txt lists. */
    knownFailures: string[];
    /** Names and messages of the other failed scenarios. */
    failures: string[];
}

/** Reads the names of the scenarios that may fail from KNOWN-RED.txt. */
async function readKnownFailures(): Promise<Set<string>> {
    const text = await readFile("KNOWN-RED.txt", "utf8").catch(() => "");
    const lines = text.split("\n").filter(line => line.trim() !== "" && !line.startsWith("#"));
    return new Set(lines.map(line => line.split("|")[0]?.trim() ?? ""));
}

/** Length to which a printed failure message is truncated. */
const MAX_FAILURE_CHARACTERS = 1500;

/** Collects the result of each scenario from the message stream of cucumber. */
class ScenarioCollector {
    readonly counts: ScenarioCounts = { passed: 0, knownFailures: [], failures: [] };
    readonly #knownFailures: ReadonlySet<string>;
    /** Scenario names by pickle identifier; cucumber calls a scenario with filled-in example values a pickle. */
    readonly #scenarioNames = new Map<string, string>();
    /** Scenario names by the identifier of a test case, and by that of each attempt to run it. */
    readonly #testCaseNames = new Map<string, string>();
    /** First failure of each attempt, by the attempt's identifier. */
    readonly #failures = new Map<string, string>();

    constructor(knownFailures: ReadonlySet<string>) {
        this.#knownFailures = knownFailures;
    }

    handleMessage(message: Envelope): void {
        if (message.pickle !== undefined) {
            this.#scenarioNames.set(message.pickle.id, message.pickle.name);
        }
        if (message.testCase !== undefined) {
            this.#testCaseNames.set(message.testCase.id, this.#scenarioNames.get(message.testCase.pickleId) ?? "");
        }
        if (message.testCaseStarted !== undefined) {
            const { id, testCaseId } = message.testCaseStarted;
            this.#testCaseNames.set(id, this.#testCaseNames.get(testCaseId) ?? "");
        }
        const result = message.testStepFinished?.testStepResult;
        if (result !== undefined && result.status !== "PASSED" && message.testStepFinished !== undefined) {
            const { testCaseStartedId } = message.testStepFinished;
            const firstFailure = this.#failures.get(testCaseStartedId) ?? "";
            this.#failures.set(testCaseStartedId, firstFailure || `${result.status}: ${result.message ?? ""}`);
        }
        if (message.testCaseFinished !== undefined) {
            this.#recordResult(message.testCaseFinished.testCaseStartedId);
        }
    }

    #recordResult(id: string): void {
        const name = this.#testCaseNames.get(id) ?? "";
        const failure = this.#failures.get(id);
        if (failure === undefined) {
            this.counts.passed += 1;
            process.stdout.write(`passed  ${name}\n`);
            return;
        }
        const message = failure.slice(0, MAX_FAILURE_CHARACTERS);
        if (this.#knownFailures.has(name)) {
            process.stdout.write(`known red  ${name}\n${message}\n`);
            this.counts.knownFailures.push(name);
            return;
        }
        process.stdout.write(`FAILED  ${name}\n${message}\n`);
        this.counts.failures.push(`${name}\n${message}`);
    }
}

const collector = new ScenarioCollector(await readKnownFailures());
const tags = process.argv.slice(2).join(" or ");
const { runConfiguration } = await loadConfiguration({ provided: { format: [], ...tags === "" ? {} : { tags } } });
runConfiguration.formats = { stdout: "summary", files: {}, publish: false, options: {} };
await runCucumber(
    runConfiguration,
    { stdout: new PassThrough().resume() },
    message => collector.handleMessage(message),
);
const { passed, knownFailures, failures } = collector.counts;
knownFailures.forEach(name => process.stdout.write(`known red: ${name}\n`));
failures.forEach(failure => process.stdout.write(`FAILED  ${failure}\n`));
process.stdout.write(`${passed} passed, ${failures.length} failed\n`);
process.exit(failures.length === 0 ? 0 : 1);
