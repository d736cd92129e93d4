/**
 * Closes the connections of callers as the system does when the process of an instance ends.
 *
 * @module
 */
import { Socket } from "node:net";
import type { SiteInstance } from "../../support/platform/mod.ts";

/** Closes the callers' connections to instances; data that were not sent yet are lost. */
export function closeCallerConnections(instances: readonly SiteInstance[]): void {
    const ports = instances.map(({ settings }) => settings.callerAddress.port);
    const { _getActiveHandles: listHandles } = process as unknown as { _getActiveHandles: () => unknown[]; };
    for (const handle of listHandles.call(process)) {
        if (handle instanceof Socket && handle.localPort !== undefined && ports.includes(handle.localPort)) {
            handle.destroy();
        }
    }
}
