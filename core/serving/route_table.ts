/**
 * Finds the route and the client account of a request.
 *
 * @module
 */
import {
    type ClientAccount,
    type Route,
    RouteKind,
    type ServiceDefinition,
    type ServingConfiguration,
} from "./serving_types.ts";

/** What the router needs to know of a request. */
export interface RoutedRequest {
    /** Host that the caller named. */
    host: string;
    /** Path, with or without a query. */
    path: string;
    /** Bearer key; `undefined` where none came. */
    key: string | undefined;
}

/** The router's answer. */
export type RouteResult =
    | { kind: "routed"; route: Route; account: ClientAccount | undefined; priority: number; }
    | { kind: "no-route"; }
    | { kind: "unknown-key"; };

/** An index of one configuration. */
export class RouteTable {
    readonly configuration: ServingConfiguration;
    readonly #routesByHost = new Map<string, Route[]>();
    readonly #accountByKey = new Map<string, ClientAccount>();
    readonly #services = new Map<string, ServiceDefinition>();

    /** @param configuration Configuration to index. */
    constructor(configuration: ServingConfiguration) {
        this.configuration = configuration;
        for (const route of configuration.routes) {
            const host = route.host.toLowerCase();
            const routes = this.#routesByHost.get(host) ?? [];
            routes.push(route);
            this.#routesByHost.set(host, routes);
        }
        for (const routes of this.#routesByHost.values()) {
            routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
        }
        for (const account of configuration.accounts ?? []) {
            for (const key of account.keys) {
                this.#accountByKey.set(key, account);
            }
        }
        for (const service of configuration.services) {
            this.#services.set(service.name, service);
        }
    }

    /** Finds the route with the longest prefix of the path, then the account that holds the key. */
    findRoute(request: RoutedRequest): RouteResult {
        const host = request.host.toLowerCase().replace(/:\d+$/, "");
        const path = request.path.split("?", 1)[0] ?? "";
        const route = this.#routesByHost.get(host)?.find(candidate => path.startsWith(candidate.pathPrefix));
        if (route === undefined) {
            return { kind: "no-route" };
        }
        if (this.configuration.accounts === undefined || route.isPublic) {
            return { kind: "routed", route, account: undefined, priority: route.priority };
        }
        const account = request.key === undefined ? undefined : this.#accountByKey.get(request.key);
        return account === undefined
            ? { kind: "unknown-key" }
            : { kind: "routed", route, account, priority: account.priority ?? route.priority };
    }

    /** Finds a service by its name. */
    findService(name: string): ServiceDefinition | undefined {
        return this.#services.get(name);
    }
}

/**
 * Picks a service of a route by weight.
 *
 * @param route Route of the request.
 * @param random Source of a number from 0 up to 1.
 * @returns Name of the service; empty where the route has none.
 */
export function pickService(route: Route, random: () => number): string {
    const total = route.services.reduce((sum, entry) => sum + Math.max(0, entry.weight), 0);
    let point = random() * total;
    for (const entry of route.services) {
        point -= Math.max(0, entry.weight);
        if (point < 0) {
            return entry.service;
        }
    }
    return route.services[0]?.service ?? "";
}

/** Tells whether a second run of a request on `route` does no harm. */
export function isRepeatable(route: Route): boolean {
    return route.kind === RouteKind.idempotent || (route.kind === RouteKind.stream && route.isResumable);
}
