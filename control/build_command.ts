/**
 * Builds the operators' command line.
 *
 * @module
 */
import { Command, Option } from "commander";
import { userInfo } from "node:os";
import { stringify } from "yaml";
import { type Address, parseAddress } from "../network/mod.ts";
import { KeyedStore, type PlatformClient } from "../platform/mod.ts";
import {
    applyInventory,
    type ApplyResult,
    fetchConfiguration,
    type StoredConfiguration,
} from "./configuration_store.ts";
import { diffInventories } from "./diff_inventory.ts";
import { readInventoryFiles } from "./document_file.ts";
import { fetchAdminPage } from "./fetch_admin_page.ts";
import { applyRuleEdit, type RuleEdit, type Selector } from "./rule_edits.ts";

/** Exit codes of the command. */
export const EXIT_CODE = {
    /** All is well. */
    ok: 0,
    /** A document or an argument is wrong. */
    invalid: 2,
    /** Another change was accepted first. */
    conflict: 3,
    /** The platform or a process gives no answer. */
    unavailable: 4,
} as const;

/** Where the command writes, and how it ends. */
export interface CommandOutput {
    /** Writes one line to the standard output. */
    print: (line: string) => void;
    /** Writes one line to the standard error stream. */
    printError: (line: string) => void;
    /** Sets the exit code. */
    setExitCode: (code: number) => void;
}

interface PlatformOption {
    platform: Address;
}

/**
 * Builds the command line.
 *
 * @param options Version, and where the command writes.
 * @returns The command, to be parsed.
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
    return new KeyedStore({ address: options.platform });
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
        .description("replaces the configuration, if nobody else has changed it")
        .argument("<files...>", "YAML or JSON documents")
        .addOption(createPlatformOption())
        .option("--base <generation>", "generation that the documents are based on (default: the newest)", Number)
        .option("--author <name>", "who makes the change", userInfo().username)
        .action(async (files: string[], options: PlatformOption & { base?: number; author: string; }) => {
            const inventory = await readInventoryFiles(files);
            const platform = createPlatform(options);
            const base = await fetchConfiguration(platform);
            const current = base.manifest?.generation ?? 0;
            const isBehind = options.base !== undefined && options.base !== current;
            const result: ApplyResult = isBehind
                ? { kind: "conflict", theirs: base }
                : await applyInventory(platform, { inventory, author: options.author, base });
            printResult(result, { output, mine: diffInventories(base.inventory, inventory), base });
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
        withdraw: "gives the selected targets no new work, because they are recalled or unfit",
        drain: "gives the selected targets no new work, because they are about to leave",
        return: "removes the withdrawals and drains of exactly this selection",
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
                const rule = { kind, selector } as RuleEdit;
                const result = await applyRuleEdit(createPlatform({ platform }), { rule, author });
                printResult(result, { output, mine: [] });
            });
    }
}

function addStateCommands(command: Command, output: CommandOutput): void {
    const adminOption = (): Option =>
        new Option("--admin <addresses>", "administrative addresses, as IP:port, separated by commas")
            .env("KNAPWEED_ADMIN")
            .argParser(text => text.split(",").map(parseAddress))
            .makeOptionMandatory();
    command.command("status")
        .description("shows which generation is in force where")
        .addOption(adminOption())
        .action(async (options: { admin: Address[]; }) => {
            for (const address of options.admin) {
                const state = await fetchAdminPage(address, "/dump").catch(() => undefined);
                output.print(`${address.host}:${address.port} ${describeStatus(state)}`);
            }
        });
    command.command("dump")
        .description("prints a process's whole state as JSON")
        .addOption(adminOption())
        .action(async (options: { admin: Address[]; }) => {
            for (const address of options.admin) {
                output.print(JSON.stringify(await fetchAdminPage(address, "/dump"), undefined, 2));
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
    const service = serving ?? (routing?.notServing === "" ? "serving" : routing?.notServing);
    return `${self === undefined ? "gateway" : "agent"} ${self?.id ?? instance} generation ${generation}: ${service}`;
}

function printResult(
    result: ApplyResult,
    context: { output: CommandOutput; mine: string[]; base?: StoredConfiguration; },
): void {
    const { output, mine, base } = context;
    if (result.kind === "accepted") {
        output.print(`accepted as generation ${result.generation}`);
        return;
    }
    if (result.kind === "unknown") {
        output.printError(
            "Cannot tell whether the change was accepted: the platform gives no answer. Run get, then decide.",
        );
        output.setExitCode(EXIT_CODE.unavailable);
        return;
    }
    const { manifest, inventory } = result.theirs;
    output.printError(`Cannot apply: generation ${manifest?.generation} by ${manifest?.author} was accepted first.`);
    const theirs = base === undefined ? [] : diffInventories(base.inventory, inventory);
    output.printError(["their change:", ...theirs, "this change:", ...mine].join("\n  "));
    output.setExitCode(EXIT_CODE.conflict);
}
