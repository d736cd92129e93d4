/**
 * Steps that check that this build and the build in production understand each other.
 *
 * @module
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { EMPTY_CRASH_EVIDENCE, type QuarantinedPart } from "../../core/serving/mod.ts";
import { FrameServer, parseAddress, PeerConnectionPool, waitMilliseconds } from "../../network/mod.ts";
import {
    decodeBaseline,
    decodeCallerRequest,
    decodePeer,
    decodeQuarantine,
    decodeSettingsFile,
    decodeStreamBeginnings,
    encodeBaseline,
    encodeHandedOverHeaders,
    encodePeer,
    encodeQuarantine,
    encodeStreamBeginnings,
    type StoreObject,
} from "../../platform/mod.ts";
import { parsePeerMessage, type PeerMessage } from "../../serving/mod.ts";
import { buildSiteConfiguration, formatSettingsText } from "../../support/platform/mod.ts";
import { findAddresses, waitUntil } from "../../support/processes/mod.ts";
import { waitForLine } from "../support/log_lines.ts";
import {
    buildProductionDigest,
    buildProductionState,
    buildProductionStateRequest,
    buildProductionUpdate,
    listChangedFields,
    PRODUCTION_HANDED_OVER_HEADERS,
    PRODUCTION_STORE_OBJECTS,
    type ProductionPeer,
} from "../support/platform_production_messages.ts";
import { createRequestId, getInstance, getSite, getTarget } from "../support/site_context.ts";

/** A peer of the build in production, which this process plays. */
interface PlayedPeer extends ProductionPeer {
    connections: PeerConnectionPool;
    server: FrameServer;
    /** Latest message of each kind, and of updates one with all that was sent. */
    received: Map<string, Record<string, unknown>>;
    /** Address of the instance under test. */
    target: string;
}

let peer: PlayedPeer | undefined;
let parsed: (PeerMessage | undefined)[] = [];

After({ tags: "@upgrade" }, () => {
    peer?.connections.close();
    peer?.server.close();
    peer = undefined;
});

function getPeer(): PlayedPeer {
    assert.ok(peer !== undefined, "no peer is played");
    return peer;
}

function send(message: { kind: string; }): void {
    const { connections, target } = getPeer();
    connections.send(target, message);
}

Given(
    /^the site has (\d+) targets? of "ledger" and (\d+) of "engines", and its store is (up|down)$/,
    async function(plain: string, engines: string, state: string) {
        const site = getSite();
        const services = [
            ...Array(Number(plain)).fill("ledger"),
            ...Array(Number(engines)).fill("engines"),
        ] as string[];
        for (const service of services) {
            await site.addTarget(service);
        }
        site.store.putObject("evacuations", "zone-c", {});
        site.store.faults.isDown = state === "down";
    },
);

Given("an instance starts beside a peer of the build in production", async function() {
    const { settings: { peerAddress } } = await getSite().addInstance();
    const [address = ""] = await findAddresses(1);
    const received = new Map<string, Record<string, unknown>>();
    const server = new FrameServer({
        onMessage: (_, message) => {
            const earlier = message.kind === "news" ? received.get("news") : undefined;
            received.set(message.kind, { ...earlier, ...message });
        },
    });
    await server.open(parseAddress(address));
    const connections = new PeerConnectionPool({ self: "older" });
    peer = {
        instance: "older",
        address,
        connections,
        server,
        received,
        target: `${peerAddress.host}:${peerAddress.port}`,
    };
});

When("the peer sends its state", async function() {
    send(buildProductionDigest(getPeer()));
    send(buildProductionState(getPeer(), getSite().targets));
    await getSite().waitUntilReady();
});

Then("the instance serves a stamp, a lookup and a verdict", async function() {
    for (const kind of ["stamp", "lookup", "verdict"]) {
        const result = await getSite().call({ kind, id: createRequestId() });
        assert.deepEqual([result.status, result.isComplete], [200, true], `${kind}: ${result.body.toString()}`);
    }
});

When(
    "the peer sends a configuration, and an update that removes target {int} of {string}",
    async function(number: number, service: string) {
        send(buildProductionUpdate(getPeer(), { changed: [], removed: [getTarget(service, number).id] }));
        await waitForLine([getInstance(1)], { event: "configuration adopted", version: 9 });
    },
);

Then(
    "the instance has configuration version {int}, the quarantines of the peer, and sends stamps only to target {int} of {string}",
    async function(version: number, number: number, service: string) {
        const { configuration, quarantined } = getInstance(1).process.dumpState();
        assert.equal(configuration, version);
        assert.deepEqual((quarantined as QuarantinedPart[]).map(({ part }) => part).sort(), ["cc", "dd"]);
        const { standIn } = getTarget(service, number);
        const before = standIn.arrivals.length;
        for (let count = 0; count < 6; count += 1) {
            assert.equal((await getSite().call({ kind: "stamp", id: createRequestId() })).status, 200);
        }
        assert.equal(standIn.arrivals.length - before, 6);
    },
);

When("the peer sends a digest and asks for the state", async function() {
    await getSite().waitUntilReady();
    send(buildProductionDigest(getPeer()));
    // An instance that has not read the quarantine from the store yet leaves it out.
    await waitUntil(async () => {
        send(buildProductionStateRequest(getPeer()));
        return getPeer().received.get("belief")?.["quarantined"] !== undefined;
    }, { label: "the peer gets the state" });
});

When("the operator writes another configuration and a target changes its entry", async function() {
    const { store, targets: [target] } = getSite();
    assert.ok(target !== undefined);
    store.putObject("config", "main", buildSiteConfiguration(9));
    getSite().writeTarget(target, { slots: 9 });
    store.putObject("evacuations", "zone-d", {});
    const hasAll = (): boolean => {
        const news = getPeer().received.get("news") ?? {};
        return ["configuration", "targets", "zones"].every(name => name in news);
    };
    await waitUntil(async () => hasAll(), { label: "the peer gets the update" });
    // An instance asks a peer whose state is newer than its own.
    const digest = { ...buildProductionDigest(getPeer()), versions: { configuration: 99, targets: 0, zones: -1 } };
    send(digest);
    await waitUntil(async () => getPeer().received.has("ask"), { label: "the peer is asked for its state" });
});

Then("the peer has received a message of each kind with all fields that it knows", function() {
    const recorded = [
        buildProductionDigest(getPeer()),
        buildProductionStateRequest(getPeer()),
        buildProductionState(getPeer(), getSite().targets),
        buildProductionUpdate(getPeer(), { changed: getSite().targets, removed: [] }),
    ];
    for (const message of recorded) {
        const { kind } = message;
        const current = getPeer().received.get(kind);
        assert.deepEqual(listChangedFields(message, current), [], `fields of "${kind}" have changed`);
    }
});

When(
    "the peer sends a message of the kind {string} and a digest with a field that is not known",
    async function(kind: string) {
        await getSite().waitUntilReady();
        send({ kind, instance: "newer" } as { kind: string; });
        send({ ...buildProductionDigest(getPeer()), forecast: { load: 1 } } as { kind: string; });
        await waitMilliseconds(50);
    },
);

Then("the instance has logged the kind {string}, and has reached the peer", async function(kind: string) {
    await waitForLine([getInstance(1)], { event: "peer message unusable", kind });
    await waitForLine([getInstance(1)], { event: "peer reached", peer: "older" });
});

When("a digest and a state of the first builds are parsed", function() {
    const versions = { configuration: 5, targets: 20, zones: 7 };
    parsed = [
        parsePeerMessage({
            kind: "digest",
            instance: "first",
            address: "127.0.0.1:1",
            work: {},
            unreachable: [],
            versions,
            isWatching: true,
        }),
        parsePeerMessage({ kind: "belief", instance: "first", peers: {} }),
    ];
});

Then("their missing fields have defaults", function() {
    assert.deepEqual(parsed, [
        {
            kind: "digest",
            instance: "first",
            address: "127.0.0.1:1",
            work: {},
            unreachable: [],
            leaving: [],
            paused: [],
            rateStatements: [],
            refusalStatements: [],
            promptEvidence: EMPTY_CRASH_EVIDENCE,
            baselines: {},
            lines: {},
            versions: { configuration: 5, targets: 20, targetsEra: 0, zones: 7, zonesEra: 0 },
            isWatching: true,
            relayAddress: "",
        },
        { kind: "belief", instance: "first", peers: {} },
    ]);
});

/** What the objects of the build in production hold, and the functions that write and read them, by kind. */
const STORE_CONTRACTS: Record<string, {
    value: unknown;
    encode: () => { name: string; spec: unknown; };
    decode: (object: StoreObject) => unknown;
}> = {
    "knapweed-instances": {
        value: { instance: "front-a-1", address: "10.0.0.1:7001" },
        encode: () => encodePeer({ instance: "front-a-1", address: "10.0.0.1:7001" }),
        decode: decodePeer,
    },
    "knapweed-quarantine": {
        value: { part: "aa", endsAt: 1_800_000_000_000, crashes: 3 },
        encode: () => encodeQuarantine({ part: "aa", endsAt: 1_800_000_000_000, crashes: 3 }),
        decode: decodeQuarantine,
    },
    "knapweed-baselines": {
        value: { service: "engines", softwareVersion: "v1" },
        encode: () => encodeBaseline({ service: "engines", softwareVersion: "v1" }),
        decode: decodeBaseline,
    },
    "knapweed-streams": {
        value: [{
            requestId: "00000000000000aa",
            service: "engines",
            softwareVersion: "v2",
            beganAt: 1_800_000_000_000,
        }],
        encode: () =>
            encodeStreamBeginnings("front-a-1-0", [{
                requestId: "00000000000000aa",
                service: "engines",
                softwareVersion: "v2",
                beganAt: 1_800_000_000_000,
            }]),
        decode: decodeStreamBeginnings,
    },
};

Then("this build writes the same objects as the build in production", function() {
    for (const [kind, { encode }] of Object.entries(STORE_CONTRACTS)) {
        assert.deepEqual(encode(), PRODUCTION_STORE_OBJECTS[kind], kind);
    }
});

Then("it reads them, also with a field that is not known", function() {
    for (const [kind, { decode, value }] of Object.entries(STORE_CONTRACTS)) {
        const { name = "", spec = {} } = PRODUCTION_STORE_OBJECTS[kind] ?? {};
        assert.deepEqual(decode({ name, spec, revision: 12 }), value, kind);
        assert.deepEqual(decode({ name, spec: { ...spec, forecast: 1 }, revision: 12 }), value, kind);
    }
});

/** Decodes a request with certain headers. */
function decodeRequest(headers: Readonly<Record<string, string>>): ReturnType<typeof decodeCallerRequest> {
    const incoming = new IncomingMessage(new Socket());
    incoming.method = "POST";
    incoming.url = "/verdict/1";
    incoming.rawHeaders = Object.entries(headers).flat();
    Object.assign(incoming.headers, headers);
    return decodeCallerRequest(incoming, Buffer.from("the body"));
}

const CALLER_HEADERS = { "host": "site.example", "attempt-id": "00000000000000aa", "resumes": "00000000000000ab" };

Then("this build hands a request over with the same headers as the build in production", function() {
    const { "x-knapweed-handed-over": _, connection: __, ...sent } = PRODUCTION_HANDED_OVER_HEADERS;
    const request = decodeRequest({ ...CALLER_HEADERS, ...sent });
    const pairs = encodeHandedOverHeaders(request, { remainingMilliseconds: 1500 });
    const headers = Object.fromEntries(pairs.map(([name, value]) => [name.toLowerCase(), value]));
    assert.deepEqual(headers, { ...CALLER_HEADERS, ...PRODUCTION_HANDED_OVER_HEADERS });
});

Then("it reads them as a request that is handed over", function() {
    const request = decodeRequest({ ...CALLER_HEADERS, ...PRODUCTION_HANDED_OVER_HEADERS });
    assert.deepEqual(
        [request.isHandedOver, request.timeoutMilliseconds, request.key, request.resumeAfter, request.resumedRequestId],
        [true, 1500, "key-of-the-night-shift", "3", "00000000000000ab"],
    );
});

Then("a settings file with the key {string} is read as one without it", function(key: string) {
    const addresses = { caller: "127.0.0.1:1", ready: "127.0.0.1:2", peer: "127.0.0.1:3", store: "127.0.0.1:4" };
    const settings = { ...addresses, internalPort: 7200 };
    assert.deepEqual(
        decodeSettingsFile(formatSettingsText(settings, { [key]: "1" })),
        decodeSettingsFile(formatSettingsText(settings)),
    );
});
