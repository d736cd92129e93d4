/**
 * Network addresses that consist of an IPv4 address and a port.
 *
 * @module
 */

/** Address to connect to or to listen on. */
export interface Address {
    /** IPv4 address. */
    host: string;
    /** TCP port. */
    port: number;
}

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
    const match = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/.exec(text);
    const port = Number(match?.[2]);
    if (match?.[1] === undefined || port > 65_535) {
        throw new SyntaxError(`Cannot parse address: received "${text}", expected IP:port.`);
    }
    return { host: match[1], port };
}
