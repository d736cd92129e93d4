/**
 * A small test site within one Node.js process: stand-ins for the store and the targets, and serving processes in front
 * of them.
 *
 * @module
 */
import type { RolloutBounds } from "../../core/serving/mod.ts";
import { type OpenConnection, parseAddress, waitMilliseconds } from "../../network/mod.ts";
import { DEFAULT_MACHINE, type InstanceSettings } from "../../platform/mod.ts";
import { ServingProcess } from "../../serving/mod.ts";
import { DecisionLog, systemClock } from "../../telemetry/mod.ts";
import { callHttp, findAddresses, type HttpResult } from "../processes/mod.ts";
import { type OpenedStandIn, openStandIn } from "../stand_ins/mod.ts";
import { PeerNetwork } from "./peer_network.ts";
import { StoreStandIn } from "./store_stand_in.ts";
import { TargetLink } from "./target_link.ts";
import { type KvCopies, TargetStandIn } from "./target_stand_in.ts";

/** A target of the site. */
export interface SiteTarget {
    /** Identifier of the target. */
    id: string;
    /** Service that the target belongs to. */
    service: string;
    /** Address, as `IP:port`. */
    address: string;
    /** Stand-in that serves as the target. */
    standIn: TargetStandIn;
    /** Server of the stand-in. */
    opened: OpenedStandIn;
}

/** An instance of the site. */
export interface SiteInstance {
    /** Settings of the instance. */
    settings: InstanceSettings;
    /** The process under test. */
    process: ServingProcess;
    /** Log lines of the instance, decoded from JSON. */
    lines: Record<string, unknown>[];
    /** Link of the instance to all targets. */
    targetLink: TargetLink;
}

/** A caller's request. */
export interface SiteCall {
    /** Kind of request: `lookup`, `stamp`, `narrative`, `verdict` or `summary`. */
    kind: string;
    /** HTTP method. Defaults to `GET` for a `lookup` and `POST` otherwise. */
    method?: string;
    /** Path. Defaults to one of a route of the kind. */
    path?: string | undefined;
    /** Body. Defaults to a short text; a `lookup` has none. */
    body?: string | undefined;
    /** Identifier of the request, sent in the `attempt-id` header. */
    id: string;
    /** Deadline that the caller sets, in milliseconds from the start of the request. Defaults to 3000. */
    deadlineMilliseconds?: number;
    /** Additional headers. Defaults to none. */
    headers?: Record<string, string>;
    /** Index of the instance to call. Defaults to 0. */
    instance?: number;
    /** Called with each chunk of the response body. */
    onChunk?: (chunk: Buffer) => void;
    /** Aborts the call. */
    signal?: AbortSignal;
}

/** Time from the crash of a target until it accepts connections again, in milliseconds. */
const RESTART_MILLISECONDS = 2000;

/** API key of the site's only account. */
export const SITE_API_KEY = "key-of-the-night-shift";

const REQUEST_PATHS: Record<string, string> = {
    lookup: "/lookup/1",
    stamp: "/stamp/1",
    narrative: "/narrative/1",
    verdict: "/verdict/1",
    summary: "/summary/1",
    bulletin: "/bulletin/1",
};

/** Builds a configuration in the format in which the platform's store holds it. */
export function buildSiteConfiguration(
    version: number,
    options: {
        keys?: string[];
        omittedRoute?: string;
        timeoutMilliseconds?: number;
        accountPriority?: number | undefined;
    } = {},
): Record<string, unknown> {
    const { keys = [SITE_API_KEY], omittedRoute = "", timeoutMilliseconds = 5000, accountPriority } = options;
    const shared = { host: "site.example", timeout_ms: timeoutMilliseconds, priority: 1, public: false };
    const engineRoute = {
        ...shared,
        kind: "streaming",
        service: "engines",
        target_latency_ms: 800,
        target_gap_ms: 100,
    };
    const plainRoute = { ...shared, service: "ledger", target_latency_ms: 200 };
    const routes = [
        { ...plainRoute, name: "lookup", path_prefix: "/lookup/", kind: "safe", max_attempts: 2 },
        { ...plainRoute, name: "stamp", path_prefix: "/stamp/", kind: "unsafe", max_attempts: 1 },
        { ...plainRoute, name: "summary", path_prefix: "/summary/", kind: "safe", service: "engines", max_attempts: 2 },
        { ...engineRoute, name: "narrative", path_prefix: "/narrative/", max_attempts: 1, stream_resume: false },
        {
            ...engineRoute,
            name: "bulletin",
            path_prefix: "/bulletin/",
            service: "ledger",
            max_attempts: 1,
            stream_resume: false,
        },
        { ...engineRoute, name: "verdict", path_prefix: "/verdict/", max_attempts: 2, stream_resume: true },
    ];
    const engine = { slots: 8, kv_capacity: 30_000, kv_token_bytes: 1, link_mbps: 24_000, moves: true, stride: 4 };
    return {
        version,
        routes: routes.filter(route => route.name !== omittedRoute),
        services: [
            { name: "ledger", max_connections: 100, cold_per_s: 0 },
            { name: "engines", max_connections: 200, cold_per_s: 20, engine },
        ],
        limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
        tenants: [{
            name: "night-shift",
            api_keys: keys,
            ...accountPriority === undefined ? {} : { priority: accountPriority },
        }],
    };
}

/** Builds the headers of a caller's request to the site. */
export function buildSiteHeaders(call: SiteCall): Record<string, string> {
    const isStream = ["narrative", "verdict", "bulletin"].includes(call.kind);
    return {
        host: "site.example",
        "attempt-id": call.id,
        "deadline-ms": String(call.deadlineMilliseconds ?? 3000),
        authorization: `Bearer ${SITE_API_KEY}`,
        ...isStream ? { model: "m", "token-counts": "100,48", "prompt-prefix": "aa:50,bb:50" } : {},
        ...call.headers,
    };
}

/** Builds a target's entry in the store; `changes` replace fields of the default entry. */
export function buildTargetEntry(
    target: { service: string; address: string; },
    changes: Record<string, unknown> = {},
): Record<string, unknown> {
    return {
        ...target,
        zone: "zone-a",
        version: "v1",
        slots: 8,
        state: "ready",
        cold_remaining_ms: 0,
        sequence: 1,
        born: 1000,
        ...changes,
    };
}

/** Options of {@linkcode startServingSite}. */
export interface ServingSiteOptions {
    /** Number of instances. Defaults to 1. */
    instances?: number;
    /** Number of targets of the plain service `ledger`. Defaults to 2. */
    plainTargets?: number;
    /** Number of targets of the service `engines`. Defaults to 2. */
    engines?: number;
    /** Versions of the software of further targets of the service `engines`. Defaults to none. */
    softwareVersions?: readonly string[];
    /** Priority of the site's only account. Defaults to none. */
    accountPriority?: number | undefined;
    /** Interval between the events of a stream, in milliseconds. Defaults to 15. */
    eventMilliseconds?: number;
    /** Limits on rollouts. Defaults to none, so that orders are not read. */
    rollout?: RolloutBounds;
}

/** A running test site. */
export class ServingSite {
    readonly store = new StoreStandIn();
    readonly targets: SiteTarget[] = [];
    readonly instances: SiteInstance[] = [];
    readonly kvCopies: KvCopies = new Map();
    readonly #peerNetwork = new PeerNetwork();
    readonly #openedStores: OpenedStandIn[] = [];
    #storeAddress = "";
    #isClosed = false;
    readonly #rollout: RolloutBounds | undefined;

    /** @param options Options of the instances. */
    constructor({ rollout }: Pick<ServingSiteOptions, "rollout"> = {}) {
        this.#rollout = rollout;
    }

    /** Address of the store, as `IP:port`. */
    get storeAddress(): string {
        return this.#storeAddress;
    }

    /** Starts the store with an initial configuration. */
    async openStore(accountPriority?: number): Promise<void> {
        this.#storeAddress = await this.#openStoreAddress();
        this.store.putObject("config", "main", buildSiteConfiguration(5, { accountPriority }));
    }

    /** Opens an address of the store; each instance has one of its own, by which the store can tell who calls it. */
    async #openStoreAddress(): Promise<string> {
        const [address = ""] = await findAddresses(1);
        this.#openedStores.push(await openStandIn(this.store, { address }));
        return address;
    }

    /** Starts a target and writes its entry to the store. */
    async addTarget(
        service: string,
        options: { eventMilliseconds?: number; softwareVersion?: string; } = {},
    ): Promise<SiteTarget> {
        const [address = ""] = await findAddresses(1);
        const id = `${service}-${this.targets.length + 1}`;
        const closeServer = (): void => void this.#restartTarget(target, address);
        const standIn = new TargetStandIn({ id, kvCopies: this.kvCopies, closeServer, ...options });
        const opened = await openStandIn(standIn, { address });
        const target: SiteTarget = { id, service, address, standIn, opened };
        this.targets.push(target);
        this.writeTarget(target);
        return target;
    }

    /** Writes the store's entry for a target; `changes` replace fields of the default entry. */
    writeTarget({ id, service, address, standIn }: SiteTarget, changes: Record<string, unknown> = {}): void {
        const version = standIn.softwareVersion ?? "v1";
        this.store.putObject("servers", id, buildTargetEntry({ service, address }, { version, ...changes }));
    }

    /** Starts an instance, with all earlier instances as seeds. */
    async addInstance(): Promise<SiteInstance> {
        const [caller, ready, peer, admin] = (await findAddresses(4)).map(parseAddress);
        if (caller === undefined || ready === undefined || peer === undefined || admin === undefined) {
            throw new Error("Cannot start an instance: no free ports were found.");
        }
        const settings: InstanceSettings = {
            instance: `instance-${this.instances.length + 1}`,
            zone: "zone-a",
            callerAddress: caller,
            readinessAddress: ready,
            peerAddress: peer,
            adminAddress: admin,
            seedAddresses: this.instances.map(({ settings: { peerAddress } }) =>
                `${peerAddress.host}:${peerAddress.port}`
            ),
            storeAddress: parseAddress(await this.#openStoreAddress()),
            stopGraceMilliseconds: 3000,
            bounds: {
                retryRatio: 0.2,
                retryWindowMilliseconds: 10_000,
                retrySlack: 50,
                coldOverage: 1.5,
                coldSlack: 5,
            },
            rollout: this.#rollout,
            machine: DEFAULT_MACHINE,
        };
        const targetLink = new TargetLink();
        const instance = { settings, targetLink, ...await this.#startProcess(settings, targetLink) };
        this.instances.push(instance);
        return instance;
    }

    /** Ends all instances at once, without a graceful stop, and starts them again with the same settings. */
    async restartInstances(options: { downMilliseconds?: number; } = {}): Promise<void> {
        this.instances.forEach(({ process }) => process.close());
        await waitMilliseconds(options.downMilliseconds ?? 0);
        await Promise.all(this.instances.map(async instance => {
            Object.assign(instance, await this.#startProcess(instance.settings, instance.targetLink));
        }));
    }

    /** Cuts an instance off from the store and from all other instances. */
    dropInstance(index: number): void {
        const { storeAddress, peerAddress } = this.#getInstance(index).settings;
        this.store.refusePorts([storeAddress.port], { isSilent: true });
        this.#peerNetwork.dropInstance(peerAddress.port);
    }

    async #startProcess(
        settings: InstanceSettings,
        targetLink: TargetLink,
    ): Promise<Pick<SiteInstance, "process" | "lines">> {
        const lines: Record<string, unknown>[] = [];
        const log = new DecisionLog({
            name: "knapweed-serve",
            clock: systemClock,
            writeLine: line => lines.push(JSON.parse(line) as Record<string, unknown>) > 0,
        });
        const openTargetConnection: OpenConnection = address => targetLink.openConnection(address);
        const openPeerConnection: OpenConnection = address =>
            this.#peerNetwork.openConnection(settings.peerAddress.port, address);
        const process = new ServingProcess({ settings, log, openTargetConnection, openPeerConnection });
        await process.start();
        return { process, lines };
    }

    /** Polls an instance's readiness endpoint until it responds with 200. @throws {Error} After 400 attempts. */
    async waitUntilReady(index = 0): Promise<void> {
        for (let tries = 0; tries < 400; tries += 1) {
            if (await this.isReady(index)) {
                return;
            }
            await waitMilliseconds(10);
        }
        throw new Error(`Cannot continue: instance ${index + 1} has not become ready.`);
    }

    /** Tells whether an instance's readiness endpoint responds with 200. */
    async isReady(index = 0): Promise<boolean> {
        const address = this.#getInstance(index).settings.readinessAddress;
        const response = await callHttp({ address: `${address.host}:${address.port}`, path: "/readyz" });
        return response.status === 200;
    }

    /** Sends a request to an instance, as a caller does. */
    async call(call: SiteCall): Promise<HttpResult> {
        const { callerAddress } = this.#getInstance(call.instance ?? 0).settings;
        return callHttp({
            address: `${callerAddress.host}:${callerAddress.port}`,
            method: call.method ?? (call.kind === "lookup" ? "GET" : "POST"),
            path: call.path ?? REQUEST_PATHS[call.kind] ?? "/nowhere/",
            headers: buildSiteHeaders(call),
            ...call.kind === "lookup" || call.method === "HEAD" ? {} : { body: call.body ?? "the body" },
            ...call.onChunk === undefined ? {} : { onChunk: call.onChunk },
            ...call.signal === undefined ? {} : { signal: call.signal },
        });
    }

    /** Stops all instances, targets and the store. */
    close(): void {
        this.#isClosed = true;
        for (const target of this.targets) {
            target.opened.close();
        }
        this.#openedStores.forEach(store => store.close());
        for (const instance of this.instances) {
            instance.process.close();
        }
    }

    /**
     * Closes the server of a target that has crashed, and opens it again with a new start time at the address at which it
     * listens; a proxy's may be listed.
     */
    async #restartTarget(target: SiteTarget, address: string): Promise<void> {
        target.opened.close();
        await waitMilliseconds(RESTART_MILLISECONDS);
        if (!this.#isClosed) {
            target.opened = await openStandIn(target.standIn, { address });
            this.writeTarget(target, { born: 1000 + target.standIn.crashes.length });
        }
    }

    #getInstance(index: number): SiteInstance {
        const instance = this.instances[index];
        if (instance === undefined) {
            throw new Error(`Cannot continue: instance ${index + 1} does not exist.`);
        }
        return instance;
    }
}

/** Starts a test site and waits until all its instances are ready. */
export async function startServingSite(options: ServingSiteOptions = {}): Promise<ServingSite> {
    const { instances = 1, plainTargets = 2, engines = 2, softwareVersions = [], eventMilliseconds = 15 } = options;
    const site = new ServingSite(options);
    await site.openStore(options.accountPriority);
    for (let index = 0; index < plainTargets; index += 1) {
        await site.addTarget("ledger", { eventMilliseconds });
    }
    for (let index = 0; index < engines; index += 1) {
        await site.addTarget("engines", { eventMilliseconds });
    }
    for (const softwareVersion of softwareVersions) {
        await site.addTarget("engines", { eventMilliseconds, softwareVersion });
    }
    for (let index = 0; index < instances; index += 1) {
        await site.addInstance();
        await site.waitUntilReady(index);
    }
    return site;
}
