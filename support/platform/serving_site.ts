/**
 * A small site in one process: stand-ins for store and targets, and serving processes in front of them.
 *
 * @module
 */
import { parseAddress, waitMilliseconds } from "../../network/mod.ts";
import { type InstanceSettings } from "../../platform/mod.ts";
import { ServingProcess } from "../../serving/mod.ts";
import { DecisionLog, systemClock } from "../../telemetry/mod.ts";
import { callHttp, findAddresses, type HttpResult } from "../processes/mod.ts";
import { type OpenedStandIn, openStandIn } from "../stand_ins/mod.ts";
import { StoreStandIn } from "./store_stand_in.ts";
import { type CopyTable, TargetStandIn } from "./target_stand_in.ts";

/** A target with its stand-in. */
export interface SiteTarget {
    /** Identity. */
    id: string;
    /** Service that it belongs to. */
    service: string;
    /** Address. */
    address: string;
    /** Stand-in. */
    standIn: TargetStandIn;
    /** Its server. */
    opened: OpenedStandIn;
}

/** An instance with its log. */
export interface SiteInstance {
    /** Settings. */
    settings: InstanceSettings;
    /** The process under test. */
    process: ServingProcess;
    /** Lines that it has logged. */
    lines: Record<string, unknown>[];
}

/** A request of a caller, in the words of the scenarios. */
export interface SiteCall {
    /** Kind of request: `lookup`, `stamp`, `narrative` or `verdict`. */
    kind: string;
    /** Identity of the attempt. */
    id: string;
    /** Time that the caller waits, in milliseconds. Defaults to 3000. */
    patience?: number;
    /** Further headers. Defaults to none. */
    headers?: Record<string, string>;
    /** Instance to call. Defaults to the first. */
    instance?: number;
    /** Called with each piece of the answer. */
    onChunk?: (chunk: Buffer) => void;
    /** Ends the call. */
    signal?: AbortSignal;
}

/** Key that the site's only account holds. */
export const SITE_KEY = "key-of-the-night-shift";

const PATHS: Record<string, string> = {
    lookup: "/lookup/1",
    stamp: "/stamp/1",
    narrative: "/narrative/1",
    verdict: "/verdict/1",
};

/** Builds a desired state of the platform's form. */
export function buildSiteConfiguration(
    version: number,
    options: { keys?: string[]; withoutRoute?: string; timeout?: number; accountRank?: number | undefined; } = {},
): Record<string, unknown> {
    const { keys = [SITE_KEY], withoutRoute = "", timeout = 5000, accountRank } = options;
    const shared = { host: "site.example", timeout_ms: timeout, priority: 1, public: false };
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
        { ...engineRoute, name: "narrative", path_prefix: "/narrative/", max_attempts: 1, stream_resume: false },
        { ...engineRoute, name: "verdict", path_prefix: "/verdict/", max_attempts: 2, stream_resume: true },
    ];
    const engine = { slots: 8, kv_capacity: 30_000, kv_token_bytes: 1, link_mbps: 24_000, moves: true, stride: 4 };
    return {
        version,
        routes: routes.filter(route => route.name !== withoutRoute),
        services: [
            { name: "ledger", max_connections: 100, cold_per_s: 0 },
            { name: "engines", max_connections: 200, cold_per_s: 20, engine },
        ],
        limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
        tenants: [{
            name: "night-shift",
            api_keys: keys,
            ...accountRank === undefined ? {} : { priority: accountRank },
        }],
    };
}

/** Options of {@linkcode startServingSite}. */
export interface ServingSiteOptions {
    /** Number of instances. Defaults to 1. */
    instances?: number;
    /** Number of plain targets. Defaults to 2. */
    plainTargets?: number;
    /** Number of engines. Defaults to 2. */
    engines?: number;
    /** Rank of the only account. Defaults to none. */
    accountRank?: number | undefined;
    /** Time between two events of a stream, in milliseconds. Defaults to 15. */
    eventMilliseconds?: number;
}

/** A running site. */
export class ServingSite {
    readonly store = new StoreStandIn();
    readonly targets: SiteTarget[] = [];
    readonly instances: SiteInstance[] = [];
    readonly copies: CopyTable = new Map();
    #opened: OpenedStandIn | undefined;
    #storeAddress = "";

    /** Address of the store, as `IP:port`. */
    get storeAddress(): string {
        return this.#storeAddress;
    }

    /** Opens the store with its first configuration. */
    async openStore(accountRank?: number): Promise<void> {
        [this.#storeAddress = ""] = await findAddresses(1);
        this.#opened = await openStandIn(this.store, { address: this.#storeAddress });
        this.store.putObject("config", "main", buildSiteConfiguration(5, { accountRank }));
    }

    /** Adds a target and enters it into the store. */
    async addTarget(service: string, options: { eventMilliseconds?: number; } = {}): Promise<SiteTarget> {
        const [address = ""] = await findAddresses(1);
        const id = `${service}-${this.targets.length + 1}`;
        const standIn = new TargetStandIn({ id, copies: this.copies, ...options });
        const opened = await openStandIn(standIn, { address });
        const target = { id, service, address, standIn, opened };
        this.targets.push(target);
        this.writeTarget(target);
        return target;
    }

    /** Writes a target's entry. */
    writeTarget(target: SiteTarget, changes: Record<string, unknown> = {}): void {
        this.store.putObject("servers", target.id, {
            service: target.service,
            address: target.address,
            zone: "zone-a",
            version: "v1",
            slots: 8,
            state: "ready",
            cold_remaining_ms: 0,
            sequence: 1,
            born: 1000,
            ...changes,
        });
    }

    /** Starts an instance. */
    async addInstance(): Promise<SiteInstance> {
        const [caller, ready, peer, admin] = (await findAddresses(4)).map(parseAddress);
        if (caller === undefined || ready === undefined || peer === undefined || admin === undefined) {
            throw new Error("Cannot start an instance: no free ports.");
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
            storeAddress: parseAddress(this.#storeAddress),
            stopGraceMilliseconds: 3000,
            bounds: {
                retryRatio: 0.2,
                retryWindowMilliseconds: 10_000,
                retrySlack: 50,
                coldOverage: 1.5,
                coldSlack: 5,
            },
        };
        const lines: Record<string, unknown>[] = [];
        const log = new DecisionLog({
            name: "knapweed-serve",
            clock: systemClock,
            writeLine: line => lines.push(JSON.parse(line) as Record<string, unknown>) > 0,
        });
        const process = new ServingProcess({ settings, log });
        await process.start();
        const instance = { settings, process, lines };
        this.instances.push(instance);
        return instance;
    }

    /** Waits until an instance says that it is ready. */
    async waitUntilReady(index = 0): Promise<void> {
        for (let tries = 0; tries < 400; tries += 1) {
            if (await this.isReady(index)) {
                return;
            }
            await waitMilliseconds(10);
        }
        throw new Error(`Cannot go on: instance ${index + 1} is not ready.`);
    }

    /** Asks an instance whether it is ready. */
    async isReady(index = 0): Promise<boolean> {
        const address = this.#getInstance(index).settings.readinessAddress;
        const answer = await callHttp({ address: `${address.host}:${address.port}`, path: "/readyz" });
        return answer.status === 200;
    }

    /** Calls an instance as a caller does. */
    async call(call: SiteCall): Promise<HttpResult> {
        const { callerAddress } = this.#getInstance(call.instance ?? 0).settings;
        const isStream = call.kind === "narrative" || call.kind === "verdict";
        return callHttp({
            address: `${callerAddress.host}:${callerAddress.port}`,
            method: call.kind === "lookup" ? "GET" : "POST",
            path: PATHS[call.kind] ?? "/nowhere/",
            headers: {
                host: "site.example",
                "attempt-id": call.id,
                "deadline-ms": String(call.patience ?? 3000),
                authorization: `Bearer ${SITE_KEY}`,
                ...isStream ? { model: "m", "token-counts": "100,48", "prompt-prefix": "aa:50,bb:50" } : {},
                ...call.headers,
            },
            ...call.kind === "lookup" ? {} : { body: "the body" },
            ...call.onChunk === undefined ? {} : { onChunk: call.onChunk },
            ...call.signal === undefined ? {} : { signal: call.signal },
        });
    }

    /** Ends everything. */
    close(): void {
        for (const target of this.targets) {
            target.opened.close();
        }
        this.#opened?.close();
        for (const instance of this.instances) {
            instance.process.close();
        }
    }

    #getInstance(index: number): SiteInstance {
        const instance = this.instances[index];
        if (instance === undefined) {
            throw new Error(`Cannot go on: there is no instance ${index + 1}.`);
        }
        return instance;
    }
}

/** Starts a site and waits until its instances are ready. */
export async function startServingSite(options: ServingSiteOptions = {}): Promise<ServingSite> {
    const { instances = 1, plainTargets = 2, engines = 2, eventMilliseconds = 15 } = options;
    const site = new ServingSite();
    await site.openStore(options.accountRank);
    for (let index = 0; index < plainTargets; index += 1) {
        await site.addTarget("ledger");
    }
    for (let index = 0; index < engines; index += 1) {
        await site.addTarget("engines", { eventMilliseconds });
    }
    for (let index = 0; index < instances; index += 1) {
        await site.addInstance();
        await site.waitUntilReady(index);
    }
    return site;
}
