/**
 * Reads and replaces the configuration in the platform.
 *
 * @module
 */
import { createHash, randomUUID } from "node:crypto";
import { type Manifest, MANIFEST_KEY, parseManifest, PART_PREFIX } from "../core/configuration/mod.ts";
import { type Inventory, mergeParts, splitInventory } from "../core/inventory/mod.ts";
import type { PlatformReply } from "../core/platform/mod.ts";
import { waitMilliseconds } from "../network/mod.ts";
import type { PlatformClient } from "../platform/mod.ts";
import { pushConfiguration } from "./push_configuration.ts";

/** The configuration that the platform keeps. */
export interface StoredConfiguration {
    /** Manifest; `undefined` where nothing was accepted yet. */
    manifest: Manifest | undefined;
    /** Version of the manifest's object; 0 where there is none. */
    version: number;
    /** Whole inventory. */
    inventory: Inventory;
}

/** How an attempt to replace the configuration ended. */
export type ApplyResult =
    | { kind: "accepted"; generation: number; }
    /** Another change was accepted first. */
    | { kind: "conflict"; theirs: StoredConfiguration; }
    /** The platform gave no answer, and it could not be found out whether the change took effect. */
    | { kind: "unknown"; };

/** Thrown where the platform gives no answer to a read. */
export class PlatformUnavailableError extends Error {
    override name = "PlatformUnavailableError";
}

const READ_TRIES = 5;
const RETRY_PAUSE = 300;
/** Times that a write without an answer is looked up before the result counts as unknown. */
const SETTLE_TRIES = 10;

/**
 * Computes the content address of a part.
 *
 * @param text Text of the part.
 * @returns SHA-256 in hexadecimal.
 */
export function hashPart(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}

/**
 * Reads the configuration.
 *
 * @param platform Platform to read from.
 * @returns The configuration.
 * @throws {PlatformUnavailableError} Where the platform gives no answer.
 */
export async function fetchConfiguration(platform: PlatformClient): Promise<StoredConfiguration> {
    const reply = await readObject(platform, MANIFEST_KEY);
    if (reply.kind !== "object") {
        return { manifest: undefined, version: 0, inventory: mergeParts([]) };
    }
    const manifest = parseManifest(reply.object.value);
    if (manifest === undefined) {
        throw new Error(`Cannot read the manifest: version ${reply.object.version} is no manifest.`);
    }
    const texts: string[] = [];
    for (const hash of Object.values(manifest.parts)) {
        const part = await readObject(platform, PART_PREFIX + hash);
        if (part.kind !== "object") {
            throw new Error(`Cannot read the configuration: its part "${hash}" is missing.`);
        }
        texts.push(part.object.value);
    }
    return { manifest, version: reply.object.version, inventory: mergeParts(texts) };
}

/**
 * Replaces the configuration, if it is still the one that `change.base` tells.
 *
 * @param platform Platform to write to.
 * @param change New inventory, its author, and the configuration that it is based on.
 * @returns How it ended; a lost answer is settled by reading back.
 */
export async function applyInventory(
    platform: PlatformClient,
    change: { inventory: Inventory; author: string; base: StoredConfiguration; },
): Promise<ApplyResult> {
    const { base, author } = change;
    const parts: Record<string, string> = {};
    const split = splitInventory(change.inventory);
    const listed = await platform.call({ kind: "instances" });
    for (const [name, text] of split) {
        const hash = hashPart(text);
        parts[name] = hash;
        const reply = await writePart(platform, { hash, text });
        if (reply.kind === "unavailable") {
            return { kind: "unknown" };
        }
    }
    const generation = (base.manifest?.generation ?? 0) + 1;
    const manifest: Manifest = { generation, author, editId: randomUUID(), parts };
    const value = JSON.stringify(manifest);
    const reply = await platform.call(
        base.version === 0
            ? { kind: "create", key: MANIFEST_KEY, value }
            : { kind: "replace", key: MANIFEST_KEY, value, version: base.version },
    );
    const result: ApplyResult = reply.kind === "done"
        ? { kind: "accepted", generation }
        : await settleApply(platform, { manifest, isConflict: reply.kind === "conflict", base });
    if (result.kind === "accepted" && listed.kind === "instances") {
        await pushConfiguration(listed.instances, { manifest, texts: [...split.values()] });
    }
    return result;
}

/** Finds out by reading whether the change took effect. */
async function settleApply(
    platform: PlatformClient,
    attempt: { manifest: Manifest; isConflict: boolean; base: StoredConfiguration; },
): Promise<ApplyResult> {
    for (let tries = 0; tries < SETTLE_TRIES; tries += 1) {
        const theirs = await fetchConfiguration(platform).catch(() => undefined);
        if (theirs?.manifest?.editId === attempt.manifest.editId) {
            return { kind: "accepted", generation: attempt.manifest.generation };
        }
        const hasMoved = theirs !== undefined && theirs.version > attempt.base.version;
        if (theirs !== undefined && (hasMoved || attempt.isConflict)) {
            return { kind: "conflict", theirs };
        }
        await waitMilliseconds(RETRY_PAUSE);
    }
    return { kind: "unknown" };
}

async function writePart(platform: PlatformClient, part: { hash: string; text: string; }): Promise<PlatformReply> {
    let reply: PlatformReply = { kind: "unavailable" };
    for (let tries = 0; tries < READ_TRIES && reply.kind === "unavailable"; tries += 1) {
        // A conflict means that the same bytes are kept already.
        reply = await platform.call({ kind: "create", key: PART_PREFIX + part.hash, value: part.text });
    }
    return reply;
}

async function readObject(platform: PlatformClient, key: string): Promise<PlatformReply> {
    for (let tries = 0; tries < READ_TRIES; tries += 1) {
        const reply = await platform.call({ kind: "read", key });
        if (reply.kind !== "unavailable") {
            return reply;
        }
        await waitMilliseconds(RETRY_PAUSE);
    }
    throw new PlatformUnavailableError(`Cannot read "${key}": the platform gives no answer.`);
}
