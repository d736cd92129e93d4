/**
 * Reads and replaces the configuration in the platform's store.
 *
 * The configuration is stored in parts that are addressed by the hash of their content, and in a manifest that lists
 * the parts. A change first writes the new parts and then replaces the manifest with a conditional write, so that
 * readers never see an incomplete configuration and concurrent changes are detected.
 *
 * @module
 */
import { createHash, randomUUID } from "node:crypto";
import { type Manifest, MANIFEST_KEY, parseManifest, PART_KEY_PREFIX } from "../core/configuration/mod.ts";
import { type Inventory, mergeParts, splitInventory } from "../core/inventory/mod.ts";
import type { PlatformReply } from "../core/platform/mod.ts";
import { waitMilliseconds } from "../network/mod.ts";
import type { PlatformClient } from "../platform/mod.ts";
import { pushConfiguration } from "./push_configuration.ts";

/** Configuration as read from the platform's store. */
export interface StoredConfiguration {
    /** Manifest; `undefined` if no configuration has been accepted yet. */
    manifest: Manifest | undefined;
    /** Version of the object that holds the manifest; 0 if there is none. */
    version: number;
    /** Complete inventory. */
    inventory: Inventory;
}

/** Outcome of an attempt to replace the configuration. */
export type ApplyResult =
    | { kind: "accepted"; generation: number; }
    /** Another change was accepted first; `current` is the configuration that is stored now. */
    | { kind: "conflict"; current: StoredConfiguration; }
    /** The platform did not reply, and it could not be determined whether the change took effect. */
    | { kind: "unknown"; };

/** Thrown if the platform does not reply to a read. */
export class PlatformUnavailableError extends Error {
    override name = "PlatformUnavailableError";
}

const MAX_CALL_ATTEMPTS = 5;
const RETRY_DELAY_MILLISECONDS = 300;
/** Reads after a write without a definite result, before its outcome counts as unknown. */
const MAX_READBACK_ATTEMPTS = 10;

/**
 * Computes the content address of a part of the configuration.
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
 * @throws {PlatformUnavailableError} If the platform does not reply.
 * @throws {Error} If the manifest is invalid, or a part is missing.
 */
export async function fetchConfiguration(platform: PlatformClient): Promise<StoredConfiguration> {
    const reply = await readObject(platform, MANIFEST_KEY);
    if (reply.kind !== "object") {
        return { manifest: undefined, version: 0, inventory: mergeParts([]) };
    }
    const manifest = parseManifest(reply.object.value);
    if (manifest === undefined) {
        throw new Error(
            `Cannot read the manifest: the object at version ${reply.object.version} is not a valid manifest.`,
        );
    }
    const texts: string[] = [];
    for (const hash of Object.values(manifest.parts)) {
        const part = await readObject(platform, PART_KEY_PREFIX + hash);
        if (part.kind !== "object") {
            throw new Error(`Cannot read the configuration: part "${hash}" is missing.`);
        }
        texts.push(part.object.value);
    }
    return { manifest, version: reply.object.version, inventory: mergeParts(texts) };
}

/**
 * Replaces the configuration, unless it has changed since `change.base` was read.
 *
 * @param platform Platform to write to.
 * @param change New inventory, its author, and the configuration that it is based on.
 * @returns The outcome. If the reply is lost, the configuration is read back to determine it.
 */
export async function applyInventory(
    platform: PlatformClient,
    change: { inventory: Inventory; author: string; base: StoredConfiguration; },
): Promise<ApplyResult> {
    const { base, author } = change;
    const parts: Record<string, string> = {};
    const partTexts = splitInventory(change.inventory);
    const instancesReply = await platform.call({ kind: "instances" });
    for (const [name, text] of partTexts) {
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
        : await resolveApplyResult(platform, { manifest, isConflict: reply.kind === "conflict", base });
    if (result.kind === "accepted" && instancesReply.kind === "instances") {
        await pushConfiguration(instancesReply.instances, { manifest, texts: [...partTexts.values()] });
    }
    return result;
}

/** Reads the configuration back to determine whether the change took effect. */
async function resolveApplyResult(
    platform: PlatformClient,
    attempt: { manifest: Manifest; isConflict: boolean; base: StoredConfiguration; },
): Promise<ApplyResult> {
    for (let attemptCount = 0; attemptCount < MAX_READBACK_ATTEMPTS; attemptCount += 1) {
        const current = await fetchConfiguration(platform).catch(() => undefined);
        if (current?.manifest?.editId === attempt.manifest.editId) {
            return { kind: "accepted", generation: attempt.manifest.generation };
        }
        const hasNewerVersion = current !== undefined && current.version > attempt.base.version;
        if (current !== undefined && (hasNewerVersion || attempt.isConflict)) {
            return { kind: "conflict", current };
        }
        await waitMilliseconds(RETRY_DELAY_MILLISECONDS);
    }
    return { kind: "unknown" };
}

async function writePart(platform: PlatformClient, part: { hash: string; text: string; }): Promise<PlatformReply> {
    let reply: PlatformReply = { kind: "unavailable" };
    for (let attemptCount = 0; attemptCount < MAX_CALL_ATTEMPTS && reply.kind === "unavailable"; attemptCount += 1) {
        // A conflict means that the part is stored already, since its key is the hash of its content.
        reply = await platform.call({ kind: "create", key: PART_KEY_PREFIX + part.hash, value: part.text });
    }
    return reply;
}

async function readObject(platform: PlatformClient, key: string): Promise<PlatformReply> {
    for (let attemptCount = 0; attemptCount < MAX_CALL_ATTEMPTS; attemptCount += 1) {
        const reply = await platform.call({ kind: "read", key });
        if (reply.kind !== "unavailable") {
            return reply;
        }
        await waitMilliseconds(RETRY_DELAY_MILLISECONDS);
    }
    throw new PlatformUnavailableError(`Cannot read "${key}": the platform does not respond.`);
}
