/**
 * Cryptographic hash of a message, by which two messages are known to be the same.
 *
 * @module
 */
import { createHash } from "node:crypto";

/**
 * Hashes a message with SHA-256.
 *
 * @param head Text before the body; it must contain no line feed.
 * @param body Body of the message.
 * @returns The hash, 32 bytes.
 */
export function hashMessage(head: string, body: Uint8Array): Buffer {
    return createHash("sha256").update(`${head}\n`).update(body).digest();
}
