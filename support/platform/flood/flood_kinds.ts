/**
 * What misbehaving clients send: for each kind, the bytes of one connection and how they are sent.
 *
 * @module
 */
import { SITE_API_KEY } from "../serving_site.ts";

/** Largest body that the test site accepts, in bytes. */
const MAX_BODY_BYTES = 65_536;
/** Size of the headers of a request with many fields, in bytes: below the limit of the test site. */
const FIELD_HEADER_BYTES = 15_500;
const PIPELINED_REQUESTS = 600;

/** What one connection of a misbehaving client does. */
export interface FloodKind {
    /** Bytes that are sent at once; the rest of the behaviour follows them. */
    bytes: (path: string) => Buffer;
    /** Bytes sent again and again, at an interval in milliseconds; absent if nothing more is sent. */
    repeated?: { bytes: Buffer; milliseconds: number; };
    /** True if the client does not read. Defaults to false. */
    isReadPaused?: boolean;
    /** Connections that are open at the same time. */
    connections: number;
}

function buildHead(path: string, headers: string, method = "POST"): string {
    return `${method} ${path} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: 00000000000f100d\r\n`
        + `Authorization: Bearer ${SITE_API_KEY}\r\n${headers}\r\n`;
}

/** Formats many short header fields with different names. */
function formatFields(bytes: number): string {
    const count = Math.floor(bytes / "xaaa: 1\r\n".length);
    return Array.from({ length: count }, (_, index) => `x${(index + 46_656).toString(36).slice(1)}: 1\r\n`).join("");
}

function formatQuery(path: string): string {
    return `${path}?${"a=1&".repeat(3500)}`;
}

const SHORT_HEADERS = `Content-Length: ${MAX_BODY_BYTES}\r\n`;
const BODY_WITHOUT_END = Buffer.alloc(MAX_BODY_BYTES - 1, "b");
const CHUNKED_HEADERS = "Transfer-Encoding: chunked\r\n";

/** Kinds of misbehaving clients by name. */
export const FLOOD_KINDS: Record<string, FloodKind> = {
    "bodies without their last byte": {
        bytes: path => Buffer.concat([Buffer.from(buildHead(path, SHORT_HEADERS)), BODY_WITHOUT_END]),
        connections: 2000,
    },
    "bodies in chunks of one byte": {
        bytes: path => Buffer.from(buildHead(path, CHUNKED_HEADERS) + "1\r\nb\r\n".repeat(MAX_BODY_BYTES - 1)),
        connections: 300,
    },
    "bodies in small pieces": {
        bytes: path => Buffer.from(buildHead(path, SHORT_HEADERS)),
        repeated: { bytes: Buffer.alloc(24, "b"), milliseconds: 5 },
        connections: 500,
    },
    "bodies over the limit": {
        bytes: path => Buffer.from(buildHead(path, CHUNKED_HEADERS) + "10000\r\n" + "b".repeat(65_536) + "\r\n"),
        repeated: { bytes: Buffer.from("10000\r\n" + "b".repeat(65_536) + "\r\n"), milliseconds: 50 },
        connections: 100,
    },
    "many header fields": {
        bytes: path => Buffer.from(buildHead(path, formatFields(FIELD_HEADER_BYTES) + SHORT_HEADERS)),
        connections: 1500,
    },
    "many header fields without end": {
        bytes: path => Buffer.from(buildHead(path, formatFields(FIELD_HEADER_BYTES)).slice(0, -2)),
        connections: 1500,
    },
    "many query fields": {
        bytes: path => Buffer.from(buildHead(formatQuery(path), SHORT_HEADERS)),
        connections: 1500,
    },
    "pipelined requests that are not read": {
        bytes: path => Buffer.from(buildHead(path, "", "GET").repeat(PIPELINED_REQUESTS)),
        isReadPaused: true,
        connections: 100,
    },
    "heads that trickle": {
        bytes: () => Buffer.from("GET / HT"),
        repeated: { bytes: Buffer.from("x"), milliseconds: 500 },
        connections: 2000,
    },
    "connections without a request": { bytes: () => Buffer.alloc(0), connections: 2000 },
};
