/**
 * Formats the settings file with which the platform starts an instance.
 *
 * @module
 */

/** Addresses of an instance, each as `IP:port`. */
export interface SettingsAddresses {
    /** Address that callers connect to. */
    caller: string;
    /** Address of the readiness endpoint. */
    ready: string;
    /** Address that peers connect to. */
    peer: string;
    /** First port of the range that is reserved for internal use, which spans 16 ports. */
    internalPort: number;
    /** Address of the store. */
    store: string;
}

/**
 * Formats a settings file from addresses and default values.
 *
 * @param addresses Addresses of the instance.
 * @param changes Values that replace the defaults, by key; `undefined` leaves the key out.
 * @returns The content of the file.
 */
export function formatSettingsText(
    addresses: SettingsAddresses,
    changes: Record<string, string | undefined> = {},
): string {
    const values: Record<string, string | undefined> = {
        node_name: "front-a-1",
        role: "serve",
        ip: "127.0.0.1",
        zone: "zone-a",
        "listen.front": addresses.caller,
        "listen.ready": addresses.ready,
        "listen.control": addresses.peer,
        internal_ports: `${addresses.internalPort},${addresses.internalPort + 15}`,
        seeds: "",
        "platform.address": addresses.store,
        "bounds.grace_s": "3",
        "bounds.retry_budget_ratio": "0.2",
        "bounds.budget_window_s": "10",
        "bounds.budget_slack": "56",
        "bounds.cold_overage": "1.5",
        "bounds.cold_slack": "5",
        ...changes,
    };
    return Object.entries(values).flatMap(([key, value]) => value === undefined ? [] : [`${key}=${value}\n`]).join("");
}
