/**
 * Decides whether a new configuration is sent to peers, or only its version.
 *
 * Load pattern: a change to a long configuration in a large fleet. Sent whole by each watcher to all others, it fills the
 * links that requests come by; read from the store, it is one short call of each instance.
 *
 * @module
 */

/**
 * Most routes that are sent to all peers together, about 200 KB: a narrow link of 7 Mbit/s takes a quarter of a second for
 * it.
 */
const MAX_SENT_ROUTES = 400;

/** Tells whether a configuration is sent whole to so many peers. */
export function isSentWhole({ routes, peers }: { routes: number; peers: number; }): boolean {
    return routes * peers <= MAX_SENT_ROUTES;
}
