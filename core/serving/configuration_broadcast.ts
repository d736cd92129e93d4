/**
 * Decides whether a new configuration is sent to peers in full, or only its version.
 *
 * Load pattern: a change to a large configuration in a large fleet. If every instance that watches the store sent the
 * configuration in full to all others, these messages would fill the network links that carry requests. If each
 * instance reads it from the store instead, the change costs one short call per instance.
 *
 * @module
 */

/**
 * Maximum number of routes times the number of peers for a configuration that is sent in full. It corresponds to about
 * 200 KB, whose transfer takes a quarter of a second on a slow link of 7 Mbit/s.
 */
const MAX_BROADCAST_ROUTE_COPIES = 400;

/** Checks whether a configuration with `routes` routes is sent in full to `peers` peers. */
export function isSentInFull({ routes, peers }: { routes: number; peers: number; }): boolean {
    return routes * peers <= MAX_BROADCAST_ROUTE_COPIES;
}
