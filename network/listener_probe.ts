/**
 * Finds out whether a process listens at an address.
 *
 * @module
 */
import type { Address } from "./address.ts";
import { type OpenConnection, openObservedConnection } from "./reset_detection.ts";

/** Result of {@linkcode checkListener}; `unknown` if the address does not respond in time. */
export type ListenerState = "listening" | "refused" | "unknown";

/** Checks whether a process accepts connections at an address, by opening one. The promise never rejects. */
export function checkListener(
    address: Address,
    options: { timeoutMilliseconds: number; openConnection?: OpenConnection; },
): Promise<ListenerState> {
    return new Promise(resolve => {
        const { openConnection = openObservedConnection } = options;
        const socket = openConnection(address);
        const finish = (state: ListenerState): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(state);
        };
        // After a stall of this process the timer is handled before the connections that were accepted meanwhile.
        const timer = setTimeout(() => setImmediate(finish, "unknown"), options.timeoutMilliseconds);
        socket.on("connect", () => finish("listening"));
        socket.on("error", (error: NodeJS.ErrnoException) => {
            finish(error.code === "ECONNREFUSED" ? "refused" : "unknown");
        });
    });
}
