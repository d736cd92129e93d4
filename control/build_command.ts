/**
 * Defines the commands of the operators' command-line tool, `knapweedctl`.
 *
 * @module
 */
import { Command, Option } from "commander";
import { userInfo } from "node:os";
import { stringify } from "yaml";
import { type Address, parseAddress } from "../network/mod.ts";
import { KeyValueStore, type PlatformClient } from "../platform/mod.ts";
import type { RequestExplanation } from "../serving/mod.ts";
import {
    applyInventory,
    type ApplyResult,
    fetchConfiguration,
    type StoredConfiguration,
} from "./configuration_store.ts";
import { diffInventories } from "./diff_inventory.ts";
import { readInventoryFiles } from "./document_file.ts";
import { fetchAdminPage } from "./fetch_admin_page.ts";
import { formatExplanation } from "./format_explanation.ts";
import { applyRuleEdit, type RuleEdit, type Selector } from "./rule_edits.ts";

/** Exit codes of `knapweedctl`. */
export const EXIT_CODE = {
    /** The command succeeded. */
    ok: 0,
    /** A document or an argument is invalid. */
    invalid: 2,
    /** Another change was accepted first, so that this change was not applied. */
    conflict: 3,
    /** The platform does not reply, or a process does not respond. */
    unavailable: 4,
} as const;

/** Output streams and exit code of the command. */
export interface CommandOutput {
    /** Writes one line to standard output. */
    print: (line: string) => void;
    /** Writes one line to standard error. */
    printError: (line: string) => void;
    /** Sets the exit code of the process. */
    setExitCode: (code: number) => void;
}

interface PlatformOption {
    platform: Address;
}

/**
 * Builds the root command with all subcommands.
 *
 * @param options Version of the program, and the output of the command.
 * @returns The command, ready to parse arguments.
 */
export function buildCommand(options: { version: string; output: CommandOutput; }): Command {
    const { output } = options;
    const command = new Command("knapweedctl")
        .description("Checks, applies and shows configuration, and shows the state of processes.")
        .version(options.version);
    addDocumentCommands(command, output);
    addRuleCommands(command, output);
    addStateCommands(command, output);
    return command;
}

function createPlatformOption(): Option {
    return new Option("--platform <address>", "address of the platform's store, as IP:port")
        .env("KNAPWEED_PLATFORM")
        .argParser(parseAddress)
        .makeOptionMandatory();
}

function createPlatform(options: PlatformOption): PlatformClient {
    return new KeyValueStore({ address: options.platform });
}

function addDocumentCommands(command: Command, output: CommandOutput): void {
    command.command("check")
        .description("checks documents without applying them")
        .argument("<files...>", "YAML or JSON documents")
        .action(async (files: string[]) => {
            const { targets, accounts, rules } = await readInventoryFiles(files);
            output.print(`valid: ${targets.length} targets, ${accounts.length} accounts, ${rules.length} rules`);
        });
    command.command("diff")
        .description("shows what applying documents would change")
        .argument("<files...>", "YAML or JSON documents")
        .addOption(createPlatformOption())
        .action(async (files: string[], options: PlatformOption) => {
            const inventory = await readInventoryFiles(files);
            const stored = await fetchConfiguration(createPlatform(options));
            diffInventories(stored.inventory, inventory).forEach(line => output.print(line));
        });
    command.command("apply")
        .description("replaces the configuration, unless someone else has changed it")
        .argument("<files...>", "YAML or JSON documents")
        .addOption(createPlatformOption())
        .option("--base <generation>", "generation that the documents are based on (default: the newest)", Number)
        .option("--author <name>", "who makes the change", userInfo().username)
        .action(async (files: string[], options: PlatformOption & { base?: number; author: string; }) => {
            const inventory = await readInventoryFiles(files);
            const platform = createPlatform(options);
            const base = await fetchConfiguration(platform);
            const currentGeneration = base.manifest?.generation ?? 0;
            const isOutdated = options.base !== undefined && options.base !== currentGeneration;
            const result: ApplyResult = isOutdated
                ? { kind: "conflict", current: base }
                : await applyInventory(platform, { inventory, author: options.author, base });
            printResult(result, { output, requestedChanges: diffInventories(base.inventory, inventory), base });
        });
    command.command("get")
        .description("prints the configuration as YAML")
        .addOption(createPlatformOption())
        .action(async (options: PlatformOption) => {
            const stored = await fetchConfiguration(createPlatform(options));
            output.print(`# generation ${stored.manifest?.generation ?? 0} by ${stored.manifest?.author ?? "nobody"}`);
            output.print(stringify(stored.inventory).trimEnd());
        });
}

function addRuleCommands(command: Command, output: CommandOutput): void {
    const descriptions: Record<RuleEdit["kind"], string> = {
        withdraw: "stops sending new requests to the selected targets, because they are recalled or unfit",
        drain: "stops sending new requests to the selected targets, because they are about to shut down",
        return: "removes the withdraw and drain rules that have exactly this selection",
    };
    for (const [kind, description] of Object.entries(descriptions) as [RuleEdit["kind"], string][]) {
        command.command(kind)
            .description(description)
            .addOption(createPlatformOption())
            .option("--zone <name>", "availability zone")
            .option("--batch <name>", "batch")
            .option("--target <name>", "target")
            .option("--instance <name>", "instance that carries targets")
            .option("--model <name>", "model")
            .option("--author <name>", "who makes the change", userInfo().username)
            .action(async (options: PlatformOption & Selector & { author: string; }) => {
                const { platform, author, ...selector } = options;
                if (Object.keys(selector).length === 0) {
                    throw new Error(`Cannot ${kind}: name a zone, batch, target, instance or model.`);
                }
                const edit = { kind, selector } as RuleEdit;
                const result = await applyRuleEdit(createPlatform({ platform }), { edit, author });
                printResult(result, { output, requestedChanges: [] });
            });
    }
}

function addStateCommands(command: Command, output: CommandOutput): void {
    const createAdminOption = (): Option =>
        new Option("--admin <addresses>", "administrative addresses, as IP:port, separated by commas")
            .env("KNAPWEED_ADMIN")
            .argParser(text => text.split(",").map(parseAddress))
            .makeOptionMandatory();
    command.command("status")
        .description("shows the configuration generation and the serving state of each process")
        .addOption(createAdminOption())
        .action(async (options: { admin: Address[]; }) => {
            for (const address of options.admin) {
                const state = await fetchAdminPage(address, "/dump").catch(() => undefined);
                output.print(`${address.host}:${address.port} ${describeStatus(state)}`);
            }
        });
    addExplainCommand(command, { output, createAdminOption });
    command.command("dump")
        .description("prints the complete state of each process as JSON")
        .addOption(createAdminOption())
        .action(async (options: { admin: Address[]; }) => {
            for (const address of options.admin) {
                output.print(JSON.stringify(await fetchAdminPage(address, "/dump"), undefined, 2));
            }
        });
}

/** Options of the command `explain`; all but the addresses are sent to the process. */
interface ExplainOptions {
    admin: Address[];
    json?: true;
    host: string;
    path: string;
    account?: string;
    model?: string;
    prompt?: string;
    output?: string;
    parts?: string;
    deadline?: string;
}

function addExplainCommand(
    command: Command,
    { output, createAdminOption }: { output: CommandOutput; createAdminOption: () => Option; },
): void {
    command.command("explain")
        .description("shows where each serving process would send a request now, and why, without sending it")
        .addOption(createAdminOption())
        .requiredOption("--host <name>", "host that the request names")
        .requiredOption("--path <path>", "path of the request")
        .option("--account <name>", "account of the caller")
        .option("--model <name>", "model that the request names")
        .option("--prompt <tokens>", "tokens of the prompt")
        .option("--output <tokens>", "maximum number of output tokens")
        .option("--parts <list>", "parts of the prompt in order, as ID:TOKENS,ID:TOKENS")
        .option("--deadline <milliseconds>", "timeout of the caller, in milliseconds")
        .option("--json", "prints JSON instead of tables")
        .action(async ({ admin, json, ...parameters }: ExplainOptions) => {
            const path = `/explain?${new URLSearchParams(parameters as Record<string, string>).toString()}`;
            for (const address of admin) {
                const explanation = await fetchAdminPage(address, path) as Partial<RequestExplanation>;
                if (explanation.inputs === undefined) {
                    throw new Error(`Cannot explain: ${address.host}:${address.port} is no serving process.`);
                }
                const name = `${address.host}:${address.port}`;
                const lines = json === true
                    ? [JSON.stringify({ address: name, ...explanation }, undefined, 2)]
                    : [name, ...formatExplanation(explanation as RequestExplanation)];
                lines.forEach(line => output.print(line));
            }
        });
}

interface DumpSummary {
    self?: { id: string; zone: string; };
    instance?: string;
    serving?: string;
    configuration?: { generation: number; };
    routing?: { generation: number; notServing: string; };
}

function describeStatus(state: unknown): string {
    if (state === undefined) {
        return "gives no answer";
    }
    const { self, instance, serving, configuration, routing } = state as DumpSummary;
    const generation = configuration?.generation ?? routing?.generation ?? 0;
    const servingState = serving ?? (routing?.notServing === "" ? "serving" : routing?.notServing);
    return `${self === undefined ? "gateway" : "agent"} ${
        self?.id ?? instance
    } generation ${generation}: ${servingState}`;
}

function printResult(
    result: ApplyResult,
    context: { output: CommandOutput; requestedChanges: string[]; base?: StoredConfiguration; },
): void {
    const { output, requestedChanges, base } = context;
    if (result.kind === "accepted") {
        output.print(`accepted as generation ${result.generation}`);
        return;
    }
    if (result.kind === "unknown") {
        output.printError(
            "Cannot determine whether the change was accepted: the platform does not respond. Check with 'knapweedctl get'.",
        );
        output.setExitCode(EXIT_CODE.unavailable);
        return;
    }
    const { manifest, inventory } = result.current;
    output.printError(`Cannot apply: generation ${manifest?.generation} by ${manifest?.author} was accepted first.`);
    const acceptedChanges = base === undefined ? [] : diffInventories(base.inventory, inventory);
    output.printError(["their change:", ...acceptedChanges, "this change:", ...requestedChanges].join("\n  "));
    output.setExitCode(EXIT_CODE.conflict);
}
