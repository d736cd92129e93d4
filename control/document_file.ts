/**
 * Reads documents from YAML or JSON files, and tells problems by file and line.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import { type Document, isNode, LineCounter, parseDocument } from "yaml";
import { type DocumentPath, type Inventory, type InventoryProblem, parseInventory } from "../core/inventory/mod.ts";

/** Thrown where documents cannot be accepted. */
export class DocumentError extends Error {
    override name = "DocumentError";
    /** One line for each problem, with file and line number. */
    readonly problems: string[];

    constructor(problems: string[]) {
        super(problems.join("\n"));
        this.problems = problems;
    }
}

interface ReadDocument {
    file: string;
    document: Document;
    lines: LineCounter;
    value: Record<string, unknown>;
}

/**
 * Reads `files` as one inventory; lists of the same section are joined.
 *
 * @param files Paths of the files.
 * @returns The inventory.
 * @throws {DocumentError} Where a file cannot be read or the documents contradict themselves.
 */
export async function readInventoryFiles(files: readonly string[]): Promise<Inventory> {
    const documents = await Promise.all(files.map(readDocument));
    const merged: Record<string, unknown> = {};
    const sources = new Map<string, { document: ReadDocument; index: number; }[]>();
    for (const document of documents) {
        for (const [section, value] of Object.entries(document.value)) {
            const items = Array.isArray(value) ? value as unknown[] : [value];
            const known = sources.get(section) ?? [];
            sources.set(section, [...known, ...items.map((_item, index) => ({ document, index }))]);
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

async function readDocument(file: string): Promise<ReadDocument> {
    const lines = new LineCounter();
    const text = await readFile(file, "utf8").catch((error: Error) => {
        throw new DocumentError([`${file}: Cannot read the file: ${error.message}.`]);
    });
    const document = parseDocument(text, { lineCounter: lines });
    const [error] = document.errors;
    if (error !== undefined) {
        const line = lines.linePos(error.pos[0]).line;
        throw new DocumentError([`${file}:${line}: ${error.message.split("\n")[0]}`]);
    }
    const value: unknown = document.toJS() ?? {};
    if (typeof value !== "object" || !value || Array.isArray(value)) {
        throw new DocumentError([`${file}:1: Cannot accept the document: expected a mapping of sections.`]);
    }
    return { file, document, lines, value: value as Record<string, unknown> };
}

function describeProblem(
    problem: InventoryProblem,
    context: {
        sources: Map<string, { document: ReadDocument; index: number; }[]>;
        documents: readonly ReadDocument[];
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

/** Finds the line of the innermost part of `path` that the document has. */
function findLine(document: ReadDocument, path: DocumentPath): number {
    for (let length = path.length; length > 0; length -= 1) {
        const node = document.document.getIn(path.slice(0, length), true);
        if (isNode(node) && node.range) {
            return document.lines.linePos(node.range[0]).line;
        }
    }
    return 1;
}
