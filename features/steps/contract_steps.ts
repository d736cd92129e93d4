/**
 * Steps of the contracts of the callers' interface, message frames, the platform client and the operators' command.
 *
 * @module
 */
import { After, type DataTable, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
    applyInventory,
    type ApplyResult,
    applyRuleEdit,
    DocumentError,
    fetchConfiguration,
    readInventoryFiles,
} from "../../control/mod.ts";
import type { PlatformReply, PlatformRequest } from "../../core/platform/mod.ts";
import { type Address, parseAddress } from "../../network/mod.ts";
import { KeyValueStore } from "../../platform/mod.ts";
import { encodeFrame, FrameDecoder } from "../../protocol/mod.ts";
import { BAGMATI, createAccountKey, createInventory } from "../../support/fixtures/inventories.ts";
import { StoreStandIn } from "../../support/platform/mod.ts";
import { callHttp, findAddresses, type HttpResult } from "../../support/processes/mod.ts";
import { type OpenedStandIn, openStandIn } from "../../support/stand_ins/mod.ts";
import type { ScenarioWorld } from "../support/scenario_world.ts";

/** State that the steps with a platform stand-in share. */
interface ContractState {
    platform: StoreStandIn;
    server: OpenedStandIn;
    address: Address;
    client: KeyValueStore;
    reply: PlatformReply | undefined;
    results: ApplyResult[];
}

let state: ContractState | undefined;
/** Messages that the decoder returned, or the error that it threw. */
let decoded: { kind: string; }[] | Error = [];
/** Problems that the check of an inventory found. */
let problems: string[] = [];

function getState(): ContractState {
    if (state === undefined) {
        throw new Error("Cannot run the step: the scenario has no platform stand-in.");
    }
    return state;
}

After(() => {
    state?.server.close();
    state = undefined;
});

const ACCOUNT_KEY = createAccountKey("shift-a");
const MODEL = "furnace-narrator";

/** Invalid requests by their names in the scenario. */
const INVALID_REQUESTS: Record<string, { path: string; headers?: Record<string, string>; body?: string; }> = {
    "no key": { path: "/v1/completions", headers: { authorization: "" }, body: "{}" },
    "unknown key": { path: "/v1/completions", headers: { authorization: "Bearer nobody" }, body: "{}" },
    "unknown path": { path: "/v2/nothing", body: "{}" },
    "body that is not JSON": { path: "/v1/completions", body: "{" },
    "body without a model": { path: "/v1/completions", body: JSON.stringify({ prompt: "a" }) },
    "body without a prompt": { path: "/v1/completions", body: JSON.stringify({ model: MODEL }) },
    "unknown model": { path: "/v1/completions", body: JSON.stringify({ model: "none", prompt: "a" }) },
    "unknown service": { path: "/services/none/a", body: "" },
    "invalid deadline": { path: "/services/ledger/stamps", headers: { "x-deadline-milliseconds": "soon" }, body: "" },
    "empty idempotency key": { path: "/services/ledger/stamps", headers: { "idempotency-key": "" }, body: "" },
    "oversize body": { path: "/v1/completions", body: "x".repeat(5 * 1024 * 1024) },
    "oversize headers": { path: "/v1/completions", headers: { "x-long": "x".repeat(20_000) }, body: "{}" },
    "malformed event id": { path: "/v1/events", headers: { "last-event-id": "nonsense" }, body: "" },
    "event id of another account": { path: "/v1/events", headers: { "last-event-id": "engine-1~abc-1~4" }, body: "" },
};

function sendInvalidRequest(world: ScenarioWorld, fault: string): Promise<HttpResult> {
    const request = INVALID_REQUESTS[fault];
    if (request === undefined) {
        throw new Error(`Cannot run the step: no invalid request is named "${fault}".`);
    }
    const headers = { authorization: `Bearer ${ACCOUNT_KEY}`, ...request.headers };
    const body = request.body ?? "";
    return callHttp({ address: world.getInstance(1).address, method: "POST", path: request.path, headers, body });
}

Then("these requests are refused", async function(this: ScenarioWorld, table: DataTable) {
    for (const row of table.hashes()) {
        const result = await sendInvalidRequest(this, row["fault"] ?? "");
        const { error } = JSON.parse(result.body.toString()) as {
            error: { code: string; message: string; verdict: string; };
        };
        const actual = { fault: row["fault"], status: String(result.status), code: error.code };
        assert.deepEqual(actual, { fault: row["fault"], status: row["status"], code: row["code"] });
        assert.match(error.message, /^[A-Z].*\.$/s);
    }
});

When("a caller sends part of a request body and keeps the connection open", function(this: ScenarioWorld) {
    const socket = connect(parseAddress(this.getInstance(1).address));
    socket.on("error", () => socket.destroy());
    socket.write("POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nhalf");
});

const FRAME = encodeFrame({ kind: "tick" });

/** Chunks that the decoder is given, by their names in the scenario. */
const FRAME_CHUNKS: Record<string, Buffer[]> = {
    "a whole frame": [FRAME],
    "two frames in one chunk": [Buffer.concat([FRAME, FRAME])],
    "a frame byte by byte": [...FRAME].map(byte => Buffer.from([byte])),
    "a truncated frame": [FRAME.subarray(0, FRAME.length - 1)],
    "a frame that is too long": [Buffer.from([0x7f, 0, 0, 0])],
    "a frame of invalid bytes": [Buffer.from([0, 0, 0, 2, 0xff, 0xff])],
    "a frame that holds no message": [encodeFrame([1, 2])],
};

When(/^a decoder is given (.+)$/, function(fault: string) {
    const decoder = new FrameDecoder();
    try {
        decoded = (FRAME_CHUNKS[fault] ?? []).flatMap(chunk => decoder.handleChunk(chunk));
    }
    catch (error) {
        decoded = error as Error;
    }
});

Then(/^it decodes (\d+) messages?$/, function(count: string) {
    assert.ok(Array.isArray(decoded), String(decoded));
    assert.equal(decoded.length, Number(count));
});

Then("it fails", function() {
    assert.ok(decoded instanceof Error);
});

When(
    "invalid bytes and messages are sent to the peer port of the agent of instance {int}",
    async function(this: ScenarioWorld, instance: number) {
        const dump = await callHttp({ address: this.getInstance(instance).agentAdmin, path: "/dump" });
        const { self } = JSON.parse(dump.body.toString()) as { self: { address: string; }; };
        const hello = encodeFrame({ kind: "hello", from: "stranger" });
        const payloads = [
            Buffer.from("GET / HTTP/1.1\r\n\r\n"),
            Buffer.concat([hello, encodeFrame({ kind: "no-such-kind" }), Buffer.alloc(64, 255)]),
        ];
        for (const bytes of payloads) {
            const socket = connect(parseAddress(self.address));
            socket.on("error", () => socket.destroy());
            await new Promise<void>(resolve => socket.write(bytes, () => resolve()));
        }
    },
);

Given("a platform stand-in", async function() {
    const [text = ""] = await findAddresses(1);
    const address = parseAddress(text);
    const platform = new StoreStandIn();
    const server = await openStandIn(platform, { address: text });
    const client = new KeyValueStore({ address, timeoutMilliseconds: 300 });
    state = { platform, server, address, client, reply: undefined, results: [] };
});

/** States and faults of the platform, by their names in the scenarios. */
const PLATFORM_SITUATIONS: Record<string, (contract: ContractState) => void> = {
    "there is no fault": () => undefined,
    "the key exists": ({ platform }) => void platform.putObject("knapweed-a", "1", { text: "text" }),
    "the platform fails": ({ platform }) => void (platform.faults.isDown = true),
    "the platform responds too late": ({ platform }) => void (platform.faults.delayMilliseconds = 1000),
    "the next response is lost": ({ platform }) => void (platform.faults.lostResponses = 1),
    "the platform sends invalid JSON": ({ platform }) => {
        platform.handleRequest = async (_request, response) => void response.writeHead(200).end("{\"nonsense\":");
    },
};

When(
    /^(there is no fault|the key exists|the platform fails|the platform responds too late|the next response is lost|the platform sends invalid JSON)$/,
    function(situation: string) {
        PLATFORM_SITUATIONS[situation]?.(getState());
    },
);

When("the open connections stop responding", async function() {
    const { address } = getState();
    await callHttp({
        address: `${address.host}:${address.port}`,
        method: "PUT",
        path: "/faults",
        body: JSON.stringify({ isSilent: true }),
    });
});

/** Calls of each kind for a key. The version of `replace` is not the object's, so that it conflicts. */
const PLATFORM_REQUESTS: Record<PlatformRequest["kind"], (key: string) => PlatformRequest> = {
    create: key => ({ kind: "create", key, value: "other" }),
    replace: key => ({ kind: "replace", key, value: "other", version: 99 }),
    read: key => ({ kind: "read", key }),
    // The stand-in gives its first object this revision in its first era, so that the object counts as unchanged.
    watch: key => ({ kind: "watch", key, version: 2 ** 40 + 11, waitMilliseconds: 50 }),
    list: () => ({ kind: "list", prefix: "a/", after: "" }),
    remove: key => ({ kind: "remove", key }),
    instances: () => ({ kind: "instances" }),
};

When("a {string} call is made for the key {string}", async function(kind: PlatformRequest["kind"], key: string) {
    const contract = getState();
    contract.reply = await contract.client.call(PLATFORM_REQUESTS[kind](key));
});

Then("the reply is {string}", function(kind: string) {
    assert.equal(getState().reply?.kind, kind);
});

When(
    "the example of {string} is checked with {string} replaced by {string}",
    async function(deployment: string, from: string, to: string) {
        const folder = await mkdtemp(join(tmpdir(), "knapweed-"));
        const file = join(folder, "inventory.yaml");
        const text = await readFile(`examples/${deployment}/inventory.yaml`, "utf8");
        await writeFile(file, text.replace(from, to));
        problems = await readInventoryFiles([file, `examples/${deployment}/rules.yaml`]).then(
            () => [],
            (error: unknown) => error instanceof DocumentError ? error.problems : [String(error)],
        );
        await rm(folder, { recursive: true });
    },
);

Then(/^the check fails at a line with "(.+)"$/, function(reason: string) {
    assert.match(problems[0] ?? "", /inventory\.yaml:\d+: /);
    assert.ok(problems[0]?.includes(reason), problems[0]);
});

Then("the check passes", function() {
    assert.deepEqual(problems, []);
});

function createSmallInventory(): ReturnType<typeof createInventory> {
    const engines = Array.from({ length: 6 }, (_unused, index) => `10.0.0.${index + 1}:80`);
    return createInventory(BAGMATI, { engines, services: [] });
}

async function applyFirstConfiguration(): Promise<void> {
    const { client } = getState();
    const base = await fetchConfiguration(client);
    const result = await applyInventory(client, { inventory: createSmallInventory(), author: "first", base });
    assert.equal(result.kind, "accepted");
}

When("the first configuration is applied", applyFirstConfiguration);

When("two operators apply changes based on the same configuration generation", async function() {
    await applyFirstConfiguration();
    const { client } = getState();
    const base = await fetchConfiguration(client);
    const changes = ["a", "b"].map(author =>
        applyInventory(client, { inventory: { ...base.inventory, rules: [] }, author, base })
    );
    getState().results = await Promise.all(changes);
});

Then("one change is accepted and the other is a conflict", function() {
    assert.deepEqual(getState().results.map(result => result.kind).sort(), ["accepted", "conflict"]);
});

When("{int} operators withdraw different targets concurrently", async function(count: number) {
    await applyFirstConfiguration();
    const { client } = getState();
    const edits = Array.from({ length: count }, (_unused, index) => {
        const rule = { kind: "withdraw" as const, selector: { target: `engine-${index + 1}` } };
        return applyRuleEdit(client, { edit: rule, author: `operator-${index}` });
    });
    getState().results = await Promise.all(edits);
});

Then("{int} withdrawals are in the configuration", async function(count: number) {
    assert.deepEqual(getState().results.map(result => result.kind), Array.from({ length: count }, () => "accepted"));
    assert.equal((await fetchConfiguration(getState().client)).inventory.rules.length, count);
});

When("an operator applies a change whose response is lost", async function() {
    const { client, platform } = getState();
    const base = await fetchConfiguration(client);
    const handle = platform.handleRequest.bind(platform);
    platform.handleRequest = async (request, response, body) => {
        const isManifest = request.method === "PUT" && request.url?.endsWith("/manifest") === true;
        platform.faults.lostResponses = isManifest ? 1 : 0;
        await handle(request, response, body);
    };
    const inventory = { ...base.inventory, rules: [{ name: "out", action: "withdraw" as const, target: "engine-1" }] };
    getState().results = [await applyInventory(client, { inventory, author: "lost", base })];
});

Then("the change is accepted", function() {
    assert.equal(getState().results[0]?.kind, "accepted");
});
