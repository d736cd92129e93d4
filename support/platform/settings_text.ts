/**
 * Writes the settings file that the platform gives to an instance.
 *
 * @module
 */

/** Addresses of an instance, each as `IP:port`. */
export interface SettingsAddresses {
    /** Address that callers reach. */
    caller: string;
    /** Address of readiness. */
    ready: string;
    /** Address that peers reach. */
    peer: string;
    /** First of the ports for the system's own use. */
    internalPort: number;
    /** Address of the store. */
    store: string;
}

/**
 * Formats a settings file.
 *
 * @param addresses Addresses of the instance.
 * @param changes Values to set or, where they are `undefined`, to leave out.
 * @returns The text of the file.
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
