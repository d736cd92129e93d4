/**
 * Network addresses that consist of an IPv4 address and a port.
 *
 * @module
 */

import { isIPv4 } from "node:net";

/** Address to connect to or to listen on. */
export interface Address {
    /** IPv4 address. */
    host: string;
    /** TCP port. */
    port: number;
}

const MAX_PORT = 65_535;
/** Length to which a text that is no address is truncated in an error message. */
const MAX_SHOWN_CHARACTERS = 64;

/**
 * Parses an address.
 *
 * @param text Address as `IP:port`.
 * @returns The parsed address.
 * @throws {SyntaxError} If `text` is not an address of that form.
 *
 * @example
 * ```ts
 * parseAddress("127.0.0.1:80").port; // 80
 * ```
 */
export function parseAddress(text: string): Address {
    const address = findAddress(text);
    if (address === undefined) {
        const shown = text.slice(0, MAX_SHOWN_CHARACTERS);
        throw new SyntaxError(`Cannot parse address: received "${shown}", expected IP:port.`);
    }
    return address;
}

/** Checks whether a text is an address, as `IP:port`, to which connections can be opened. */
export function isTargetAddress(text: string): boolean {
    return (findAddress(text)?.port ?? 0) > 0;
}

function findAddress(text: string): Address | undefined {
    const [, host = "", portText = ""] = /^([\d.]{7,15}):(\d{1,5})$/.exec(text) ?? [];
    const port = Number(portText);
    return isIPv4(host) && port <= MAX_PORT ? { host, port } : undefined;
}
