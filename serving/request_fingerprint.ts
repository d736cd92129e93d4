/**
 * Fingerprints of requests, by which requests are known to be the same.
 *
 * @module
 */
import type { ClientAccount } from "../core/serving/mod.ts";
import { hashMessage } from "../network/mod.ts";
import type { CallerRequest } from "../platform/mod.ts";

/** Prefix of all fingerprints; identifiers of prompt parts are hexadecimal. */
const PREFIX = "request-";
/** Number of characters of a hash that are used: 128 bits. */
const HASH_CHARACTERS = 32;

/** Computes the fingerprint of a request: the same for one account, method, host, path and body. */
export function computeFingerprint(
    { method, host, path, body }: Pick<CallerRequest, "method" | "host" | "path" | "body">,
    account: Pick<ClientAccount, "name"> | undefined,
): string {
    const head = JSON.stringify([account?.name, method, host, path]);
    return PREFIX + hashMessage(head, body).toString("hex").slice(0, HASH_CHARACTERS);
}

/** Checks whether a quarantined part is the fingerprint of a whole request. */
export function isFingerprint(part: string): boolean {
    return part.startsWith(PREFIX);
}
