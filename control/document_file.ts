/**
 * Reads inventory documents from YAML or JSON files and reports problems with file and line.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import { type Document, isNode, LineCounter, parseDocument } from "yaml";
import { type DocumentPath, type Inventory, type InventoryProblem, parseInventory } from "../core/inventory/mod.ts";

/** Thrown if documents cannot be read or are invalid. */
export class DocumentError extends Error {
    override name = "DocumentError";
    /** One line for each problem, with the file and, if known, the line number. */
    readonly problems: string[];

    constructor(problems: string[]) {
        super(problems.join("\n"));
        this.problems = problems;
    }
}

interface ParsedDocument {
    file: string;
    document: Document;
    lineCounter: LineCounter;
    value: Record<string, unknown>;
}

/**
 * Reads `files` and merges them into one inventory. Lists of the same section are concatenated.
 *
 * @param files Paths of the files.
 * @returns The inventory.
 * @throws {DocumentError} If a file cannot be read, or the documents are invalid or inconsistent.
 */
export async function readInventoryFiles(files: readonly string[]): Promise<Inventory> {
    const documents = await Promise.all(files.map(readDocument));
    const merged: Record<string, unknown> = {};
    const sources = new Map<string, { document: ParsedDocument; index: number; }[]>();
    for (const document of documents) {
        for (const [section, value] of Object.entries(document.value)) {
            const items = Array.isArray(value) ? value as unknown[] : [value];
            const previousSources = sources.get(section) ?? [];
            sources.set(section, [...previousSources, ...items.map((_item, index) => ({ document, index }))]);
            merged[section] = Array.isArray(value)
                ? [...(merged[section] as unknown[] | undefined) ?? [], ...items]
                : value;
        }
    }
    const result = parseInventory(merged);
    if (result.isValid) {
        return result.inventory;
    }
    throw new DocumentError(result.problems.map(problem => describeProblem(problem, { sources, documents })));
}

async function readDocument(file: string): Promise<ParsedDocument> {
    const lineCounter = new LineCounter();
    const text = await readFile(file, "utf8").catch((error: Error) => {
        throw new DocumentError([`${file}: Cannot read the file: ${error.message}.`]);
    });
    const document = parseDocument(text, { lineCounter });
    const [error] = document.errors;
    if (error !== undefined) {
        const line = lineCounter.linePos(error.pos[0]).line;
        throw new DocumentError([`${file}:${line}: ${error.message.split("\n")[0]}`]);
    }
    const value: unknown = document.toJS() ?? {};
    if (typeof value !== "object" || !value || Array.isArray(value)) {
        throw new DocumentError([`${file}:1: Cannot accept the document: expected a mapping of sections.`]);
    }
    return { file, document, lineCounter, value: value as Record<string, unknown> };
}

function describeProblem(
    problem: InventoryProblem,
    context: {
        sources: Map<string, { document: ParsedDocument; index: number; }[]>;
        documents: readonly ParsedDocument[];
    },
): string {
    const [section = "", index, ...rest] = problem.path;
    const source = context.sources.get(String(section))?.[typeof index === "number" ? index : 0];
    const document = source?.document ?? context.documents[0];
    if (document === undefined) {
        return problem.message;
    }
    const path: DocumentPath = source === undefined || index === undefined
        ? [section]
        : [section, source.index, ...rest];
    return `${document.file}:${findLine(document, path)}: ${problem.message}`;
}

/** Finds the line of the longest prefix of `path` that exists in the document. */
function findLine(document: ParsedDocument, path: DocumentPath): number {
    for (let length = path.length; length > 0; length -= 1) {
        const node = document.document.getIn(path.slice(0, length), true);
        if (isNode(node) && node.range) {
            return document.lineCounter.linePos(node.range[0]).line;
        }
    }
    return 1;
}
