/**
 * Encodes and decodes the messages in which relays forward the digests of many instances.
 *
 * A digest consists of two encoded parts, its load and its notices, which relays pass on as they are. Most digests repeat
 * the notices of the one before, so that a receiver decodes them only if they have changed.
 *
 * @module
 */
import { type DigestPosition, type DigestScope, isDigestScope, type LoadDigest } from "../core/serving/mod.ts";
import { decodeValue, encodeFrame, encodeValue } from "../protocol/mod.ts";
import { type DigestMessage, parsePeerMessage } from "./peer_messages.ts";

/** Digest of one instance on its way through relays. */
export interface ForwardedDigest extends DigestPosition {
    /** Name of the instance. */
    instance: string;
    /** Address at which peers reach the instance. */
    address: string;
    /** Availability zone of the instance. */
    zone: string;
    /** Encoded load that the instance's requests put on each engine. */
    load: Uint8Array;
    /** Encoded rest of the digest. */
    notices: Uint8Array;
}

/** Message with the digests of several instances. */
export interface DigestBundle {
    /** Type of the message on the wire. */
    kind: "digests";
    /** Name of the sender. */
    from: string;
    /** How far the digests are forwarded. */
    scope: DigestScope;
    /** The digests. */
    digests: ForwardedDigest[];
}

/** Parts of a digest that a forwarded digest does not carry by itself. */
type DigestNotices = Omit<DigestMessage, "kind" | "instance" | "address" | "zone" | "work">;

/** Encodes the digest of this instance for its relays. */
export function encodeForwardedDigest(
    digest: DigestMessage,
    { zone, start, sequence }: DigestPosition & { zone: string; },
): ForwardedDigest {
    const { kind: _kind, instance, address, zone: _zone, work, ...notices } = digest;
    return { instance, address, zone, start, sequence, load: encodeValue(work), notices: encodeValue(notices) };
}

/** Encodes a message with several digests as a frame. */
export function encodeDigestBundle(bundle: Omit<DigestBundle, "kind">): Buffer {
    return encodeFrame({
        kind: "digests",
        from: bundle.from,
        scope: bundle.scope,
        digests: bundle.digests.map(({ instance, address, zone, start, sequence, load, notices }) => [
            instance,
            address,
            zone,
            start,
            sequence,
            load,
            notices,
        ]),
    });
}

/** Parses a message with several digests; digests that are malformed are left out. */
export function parseDigestBundle(message: { kind: string; }): DigestBundle | undefined {
    const { kind, from, scope, digests } = message as Partial<Record<keyof DigestBundle, unknown>>;
    if (kind !== "digests" || typeof from !== "string" || !isDigestScope(scope) || !Array.isArray(digests)) {
        return undefined;
    }
    return { kind, from, scope, digests: digests.flatMap(parseForwardedDigest) };
}

function parseForwardedDigest(value: unknown): ForwardedDigest[] {
    if (!Array.isArray(value)) {
        return [];
    }
    const [instance, address, zone, start, sequence, load, notices] = value as unknown[];
    const isUsable = typeof instance === "string" && typeof address === "string" && typeof zone === "string"
        && typeof start === "string" && typeof sequence === "number" && load instanceof Uint8Array
        && notices instanceof Uint8Array;
    return isUsable ? [{ instance, address, zone, start, sequence, load, notices }] : [];
}

/** Decodes the load of a forwarded digest; `undefined` if it is malformed. */
export function decodeLoad({ load }: ForwardedDigest): LoadDigest | undefined {
    const value = decodeValue(load);
    if (typeof value !== "object" || !value) {
        return undefined;
    }
    const isCount = (count: unknown): boolean => typeof count === "number" && count >= 0 && count < Infinity;
    const entries = Object.entries(value as Record<string, unknown>);
    const areLoads = entries.every(([, counts]) =>
        Array.isArray(counts) && counts.length === 3 && counts.every(isCount)
    );
    return areLoads ? value as LoadDigest : undefined;
}

/** Decodes a forwarded digest as a whole; `undefined` if it is malformed. */
export function decodeForwardedDigest(digest: ForwardedDigest): DigestMessage | undefined {
    const notices = decodeValue(digest.notices) as DigestNotices;
    const { instance, address, zone } = digest;
    const message = parsePeerMessage({
        ...notices,
        kind: "digest",
        instance,
        address,
        zone,
        work: decodeValue(digest.load),
    });
    return message?.kind === "digest" ? message : undefined;
}
