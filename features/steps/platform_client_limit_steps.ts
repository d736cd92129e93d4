/**
 * Steps with clients that use up the memory, the descriptors or the processor time of an instance.
 *
 * @module
 */
import { After, type DataTable, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Server } from "node:http";
import { connect, type Socket } from "node:net";
import { type ClientConnection, ClientLimits } from "../../core/serving/mod.ts";
import { type Address, ClientGuard, openHttpServer, parseAddress, waitMilliseconds } from "../../network/mod.ts";
import { type FloodResult, FloodSite } from "../../support/platform/flood/flood_site.ts";
import { buildSiteConfiguration, SITE_API_KEY, startServingSite } from "../../support/platform/mod.ts";
import { findAddresses, waitUntil } from "../../support/processes/mod.ts";
import { createRequestId, getInstance, getSite, siteContext } from "../support/site_context.ts";

let floodSite: FloodSite | undefined;
let floodResult: FloodResult | undefined;
let client: { socket: Socket; text: string; isClosed: boolean; } | undefined;
let idleSocket: Socket | undefined;

function getFloodSite(): FloodSite {
    assert.ok(floodSite !== undefined, "the scenario has started no instance");
    return floodSite;
}

function getClient(): NonNullable<typeof client> {
    assert.ok(client !== undefined, "the scenario has no client");
    return client;
}

After(async () => {
    client?.socket.destroy();
    idleSocket?.destroy();
    guardedServer?.server.closeAllConnections();
    guardedServer?.server.close();
    guardedServer = undefined;
    await floodSite?.close();
    [client, idleSocket, floodSite] = [undefined, undefined, undefined];
});

Given("an instance on the smallest machine", async function() {
    floodSite = new FloodSite();
    await floodSite.start();
});

When(/^clients send (.*) to it for (\d+) ms$/, async function(kind: string, milliseconds: string) {
    floodResult = await getFloodSite().runFlood({ kind, milliseconds: Number(milliseconds) });
});

When(
    /^(\d+) clients send (.*) to its readiness port for (\d+) ms$/,
    async function(connections: string, kind: string, milliseconds: string) {
        floodResult = await getFloodSite().runFlood({
            kind,
            port: "ready",
            path: "/readyz",
            connections: Number(connections),
            milliseconds: Number(milliseconds),
        });
    },
);

Then("the instance runs and has used at most {int} MB", function(megabytes: number) {
    assert.ok(floodResult?.isRunning, getFloodSite().getOutput().slice(-500));
    assert.ok(floodResult.peakMegabytes <= megabytes, `the peak is ${floodResult.peakMegabytes} MB`);
});

Then("at least {float} of the requests on open connections were served in time", function(share: number) {
    assert.ok((floodResult?.servedShare.kept ?? 0) >= share, JSON.stringify(floodResult));
});

Then("a line of the instance tells that clients were closed", async function() {
    await waitUntil(() => getFloodSite().getOutput().includes("\"event\":\"clients closed\""));
});

Then("the instance has at most {int} open descriptors", function(descriptors: number) {
    const open = floodResult?.openDescriptors ?? Number.NaN;
    assert.ok(open > 0 && open <= descriptors, `${open} descriptors are open`);
});

/** Connects a client, which sends `text` and keeps what it receives. */
function sendText(text: string, address = getInstance(1).settings.callerAddress): Socket {
    const socket = connect(address);
    const opened = { socket, text: "", isClosed: false };
    socket.on("data", chunk => {
        opened.text += chunk.toString();
    });
    socket.on("error", () => undefined);
    socket.on("close", () => {
        opened.isClosed = true;
    });
    socket.write(text);
    client = opened;
    return socket;
}

function formatHead(headers: string, { path = "/stamp/1", method = "POST" } = {}): string {
    return `${method} ${path} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: ${createRequestId()}\r\n`
        + `Deadline-Ms: 20000\r\nAuthorization: Bearer ${SITE_API_KEY}\r\n${headers}\r\n`;
}

When("a client sends the largest body in chunks of one byte", function() {
    sendText(`${formatHead("Transfer-Encoding: chunked\r\n")}${"1\r\nb\r\n".repeat(65_536)}0\r\n\r\n`);
});

When("a client sends a body of which 1 KB arrives every 300 ms", async function() {
    const socket = sendText(formatHead("Content-Length: 6144\r\n"));
    for (let piece = 0; piece < 6; piece += 1) {
        await waitMilliseconds(300);
        socket.write("b".repeat(1024));
    }
});

When("a client sends {int} header fields", function(count: number) {
    const fields = Array.from({ length: count }, (_, index) => `${(index + 1296).toString(36)}:1\r\n`).join("");
    sendText(formatHead(fields, { method: "GET", path: "/lookup/1" }));
});

When("a client sends a query of {int} fields", function(count: number) {
    sendText(formatHead("", { method: "GET", path: `/lookup/1?${"a=1&".repeat(count)}` }));
});

When("a client pipelines {int} requests", function(count: number) {
    sendText(
        Array.from({ length: count }, () => formatHead("", { method: "GET", path: "/lookup/1" })).join(""),
    );
});

When("a client sends a body without end", function() {
    const socket = sendText(formatHead("Transfer-Encoding: chunked\r\n"));
    const timer = setInterval(() => socket.write(`4000\r\n${"b".repeat(16_384)}\r\n`), 20);
    socket.on("close", () => clearInterval(timer));
});

let guardedServer: { server: Server; address: Address; } | undefined;

Given("a server that answers with 64 KB and has closed a pipelining client", async function() {
    const address = parseAddress((await findAddresses(1))[0] ?? "");
    let drops = 0;
    const guard = new ClientGuard({
        capacity: { maxBytes: 1e8, maxConnections: 10 },
        timeouts: TIMEOUTS,
        onDrop: () => {
            drops += 1;
        },
    });
    const body = Buffer.alloc(65_536, "a");
    const server = await openHttpServer({ address, guard, handler: (_, response) => void response.end(body) });
    guardedServer = { server, address };
    const socket = connect(address);
    socket.on("error", () => undefined);
    socket.write("GET / HTTP/1.1\r\nHost: site.example\r\n\r\n".repeat(200));
    await waitUntil(() => drops > 0);
});

When("a client pipelines {int} requests of 1 KB to it", function(count: number) {
    const head = `GET / HTTP/1.1\r\nHost: site.example\r\nPadding: ${"p".repeat(1000)}\r\n\r\n`;
    sendText(head.repeat(count), guardedServer?.address);
});

/** Starts a site with changed limits, and waits until its instance has applied them. */
async function startLimitedSite(changes: Record<string, number>): Promise<void> {
    siteContext.site = await startServingSite();
    const configuration = buildSiteConfiguration(6);
    const limits = { ...configuration.limits as Record<string, number>, ...changes };
    getSite().store.putObject("config", "main", { ...configuration, limits });
    await waitUntil(() => getInstance(1).process.dumpState().configuration === 6);
    await waitMilliseconds(200);
}

Given("a serving site whose idle timeout is {int} ms", async function(milliseconds: number) {
    await startLimitedSite({ idle_timeout_ms: milliseconds });
});

Given("a serving site whose head timeout is {int} ms", async function(milliseconds: number) {
    await startLimitedSite({ header_timeout_ms: milliseconds });
});

When("a client keeps an idle connection", async function() {
    idleSocket = sendText(formatHead("", { method: "GET", path: "/lookup/1" }));
    await waitUntil(() => getClient().text.includes("200 OK"));
});

When("a client sends a body that stops", function() {
    sendText(`${formatHead("Content-Length: 100\r\n")}half`);
});

When("a client sends a stamp that takes {int} ms and half a head", async function(milliseconds: number) {
    getSite().targets.forEach(({ standIn }) => {
        standIn.faults.serviceMilliseconds = milliseconds;
    });
    sendText(formatHead("Content-Length: 1\r\n") + "b" + "GET /lookup/1 HTT");
    await waitMilliseconds(milliseconds + 300);
});

Then("the idle connection is open after {int} ms", async function(milliseconds: number) {
    await waitMilliseconds(milliseconds - 100);
    assert.equal(idleSocket?.destroyed || idleSocket?.readableEnded, false);
});

Then("the client gets no status 408", function() {
    assert.ok(!getClient().text.includes("408"), getClient().text);
});

Then("the client gets the status {int}", async function(status: number) {
    await waitUntil(() => getClient().text.startsWith(`HTTP/1.1 ${status} `), { label: getClient().text });
});

Then("the client gets the status {int} {int} times", async function(status: number, count: number) {
    await waitUntil(() => getClient().text.split(`HTTP/1.1 ${status} `).length === count + 1);
});

Then("the connection of the client is closed within {int} ms", async function(milliseconds: number) {
    await waitUntil(() => getClient().isClosed, { timeoutMilliseconds: milliseconds });
});

Then("no target has received the request", function() {
    const stamps = getSite().targets.flatMap(({ standIn }) => standIn.arrivals).slice(1);
    assert.deepEqual(stamps, []);
});

const NOW = 100_000;
const TIMEOUTS = { idleMilliseconds: 15_000, bodyMilliseconds: 60_000 };
let connections: (ClientConnection & { name: string; })[] = [];

function buildConnection(name: string, changes: Partial<ClientConnection>): ClientConnection & { name: string; } {
    return {
        name,
        beganAt: NOW,
        progressAt: NOW,
        heldBytes: 10_000,
        unsentBytes: 0,
        activeRequests: 0,
        isArriving: false,
        isDiscarding: false,
        isAccepted: true,
        smallPieces: 0,
        isDropped: false,
        ...changes,
    };
}

Given("clients that hold memory", function(table: DataTable) {
    connections = table.hashes().map(({ client: name = "", bytes, arriving, unsent, seconds }) => {
        const since = NOW - Number(seconds) * 1000;
        return buildConnection(name, {
            beganAt: since,
            progressAt: since,
            heldBytes: Number(bytes),
            unsentBytes: Number(unsent),
            activeRequests: 1,
            isArriving: arriving === "yes",
        });
    });
});

Then("{string} are dropped for a budget of {int} bytes", function(names: string, maxBytes: number) {
    const limits = new ClientLimits<(typeof connections)[number]>({ maxBytes, maxConnections: 100 });
    for (const connection of connections) {
        const { unsentBytes } = connection;
        connection.unsentBytes = 0;
        limits.addConnection(connection, NOW, TIMEOUTS);
        limits.updateUnsentBytes(connection, unsentBytes);
    }
    assert.ok(limits.isOverBudget());
    assert.equal(limits.chooseForMemory(NOW).map(({ connection }) => connection.name).join(", "), names);
});

const KEPT: Record<string, Partial<ClientConnection>> = {
    "a caller that has been idle for 12 s": { beganAt: NOW - 12_500, progressAt: NOW - 12_000 },
    "a request that runs": { beganAt: NOW - 20_000, progressAt: NOW - 20_000, activeRequests: 1 },
    "a stream that is read": { beganAt: NOW - 20_000, progressAt: NOW - 100, activeRequests: 1, unsentBytes: 20_000 },
};

Given(
    /^a full instance with an idle timeout of 15 s, a connection without a request and (.*)$/,
    function(kept: string) {
        assert.ok(KEPT[kept] !== undefined);
        connections = [
            buildConnection("kept", KEPT[kept]),
            buildConnection("unused", { beganAt: NOW - 20, isAccepted: false }),
        ];
    },
);

let droppedNames: string[] = [];

When("a new client connects", function() {
    const limits = new ClientLimits<(typeof connections)[number]>({ maxBytes: 1e9, maxConnections: 2 });
    connections.forEach(connection => limits.addConnection(connection, NOW, TIMEOUTS));
    const added = buildConnection("new", { isAccepted: false });
    droppedNames = limits.addConnection(added, NOW, TIMEOUTS).map(({ connection }) => connection.name);
});

Then("the connection without a request is closed", function() {
    assert.deepEqual(droppedNames, ["unused"]);
});
