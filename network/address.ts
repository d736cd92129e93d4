/**
 * Addresses as IP number and port.
 *
 * @module
 */

/** An address to connect to or to listen on. */
export interface Address {
    /** IP number. */
    host: string;
    /** Port number. */
    port: number;
}

/**
 * Parses an address.
 *
 * @param text Address as `IP:port`.
 * @returns The address.
 * @throws {SyntaxError} Where `text` is no such address.
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
