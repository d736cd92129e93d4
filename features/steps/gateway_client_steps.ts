/**
 * Steps of the contracts of the gateway's clients of engines and of its agent.
 *
 * @module
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AgentToGateway, GatewayToAgent } from "../../core/agent/mod.ts";
import type { ClaimResult } from "../../core/claims/mod.ts";
import { buildRoutingTable } from "../../core/inventory/mod.ts";
import { AgentClient, type PermitResult } from "../../gateway/agent_client.ts";
import { EngineStreamError, openEngineStream } from "../../gateway/engine_client.ts";
import { type FrameClient, FrameServer, parseAddress, waitMilliseconds } from "../../network/mod.ts";
import { BAGMATI, createInventory } from "../../support/fixtures/inventories.ts";
import { findAddresses, waitUntil } from "../../support/processes/mod.ts";

const STREAM_HEADERS = { "content-type": "text/event-stream", "x-generation-id": "g" };

/** Sends the event of the token with `index`. */
function writeToken(response: ServerResponse, index: number): void {
    response.write(`id: ${index}\ndata: {}\n\n`);
}

/** Sends a token, and then a text again and again as fast as the connection takes it, until it is closed. */
function sendWithoutEnd(response: ServerResponse, text: string): void {
    response.writeHead(200, STREAM_HEADERS);
    writeToken(response, 0);
    const repeated = text.repeat(1024);
    const send = (): void => {
        if (!response.destroyed) {
            response.write(repeated, () => setImmediate(send));
        }
    };
    send();
}

/** How an engine responds, by the names in the scenario. For a name that is missing here no engine is started. */
const ENGINE_RESPONSES: Record<string, (response: ServerResponse) => void> = {
    "sends two tokens and the end": response => {
        response.writeHead(200, STREAM_HEADERS);
        writeToken(response, 0);
        writeToken(response, 1);
        response.end("data: [DONE]\n\n");
    },
    "refuses the request": response => void response.writeHead(503).end(),
    "refuses another generation": response => void response.writeHead(503, { "x-generation-id": "other" }).end(),
    "does not know the generation": response => void response.writeHead(404).end(),
    "fails": response => void response.writeHead(500).end(),
    "closes the connection after one token": response => {
        response.writeHead(200, STREAM_HEADERS);
        response.write("id: 0\ndata: {}\n\n", () => response.destroy());
    },
    "ends the stream without the last event": response => {
        response.writeHead(200, STREAM_HEADERS);
        writeToken(response, 0);
        response.end();
    },
    "stops sending after one token": response => {
        response.writeHead(200, STREAM_HEADERS);
        writeToken(response, 0);
    },
    "accepts the request and never responds": () => undefined,
    "sends an upgrade that nobody requested": response =>
        void response.writeHead(101, { connection: "upgrade", upgrade: "other" }).end(),
    "sends comments without end": response => sendWithoutEnd(response, ": keep-alive\n\n"),
    "sends a line without end": response => sendWithoutEnd(response, "data data data "),
    "sends invalid lines and then a token": response => {
        response.writeHead(200, STREAM_HEADERS);
        response.write(": note\nnonsense\n\n");
        writeToken(response, 0);
        response.end("data: [DONE]\n\n");
    },
};

let engine: Server | undefined;
/** Number of tokens, end and progress that the client reported for the engine's stream. */
let stream = { tokens: 0, end: "", progress: "none" };

After(() => {
    engine?.close();
    engine?.closeAllConnections();
    engine = undefined;
});

/** Reads the stream of the engine at `address` to its end or failure. */
async function readEngineStream(address: string): Promise<void> {
    const table = buildRoutingTable(createInventory(BAGMATI, { engines: [address], services: [] }));
    const [target] = table.targets.values();
    assert.ok(target !== undefined);
    stream = { tokens: 0, end: "", progress: "none" };
    try {
        const events = openEngineStream({
            target,
            path: "/v1/completions",
            generation: "g",
            body: Buffer.from("{}"),
            connectMilliseconds: 500,
            silenceMilliseconds: 400,
            signal: new AbortController().signal,
        });
        for await (const event of events) {
            stream.tokens += event.kind === "token" ? 1 : 0;
            stream.end = event.kind === "done" ? "done" : "";
        }
    }
    catch (error) {
        assert.ok(error instanceof EngineStreamError, String(error));
        stream.end = "broken";
        stream.progress = error.progress;
    }
}

When(
    /^an engine (sends two tokens and the end|refuses the connection|refuses the request|refuses another generation|does not know the generation|fails|closes the connection after one token|ends the stream without the last event|stops sending after one token|accepts the request and never responds|sends an upgrade that nobody requested|sends invalid lines and then a token|sends comments without end|sends a line without end)$/,
    async function(fault: string) {
        const [address = ""] = await findAddresses(1);
        const respond = ENGINE_RESPONSES[fault];
        if (respond !== undefined) {
            const server = createServer((_request, response) => respond(response));
            await new Promise<void>(resolve => server.listen(parseAddress(address).port, "127.0.0.1", resolve));
            engine = server;
        }
        await readEngineStream(address);
    },
);

Then(
    "the stream yields {int} tokens and ends as {string} with the progress {string}",
    function(tokens: number, end: string, progress: string) {
        assert.deepEqual(stream, { tokens, end, progress });
    },
);

/** Delay of a grant that arrives too late, in milliseconds; longer than the client accepts. */
const LATE_GRANT_MILLISECONDS = 600;

/** How an agent replies to a request for a permit, by the names in the scenarios. */
const AGENT_REPLIES: Record<string, (client: FrameClient, permitId: string) => void | Promise<void>> = {
    "grants": (client, permitId) => sendGrant(client, permitId),
    "grants twice": (client, permitId) => {
        sendGrant(client, permitId);
        sendGrant(client, permitId);
    },
    "refuses": (client, permitId) =>
        client.connection.send({ kind: "refused", permitId, reason: "busy" } as AgentToGateway),
    "grants too late": async (client, permitId) => {
        await waitMilliseconds(LATE_GRANT_MILLISECONDS);
        sendGrant(client, permitId);
    },
    "closes the connection": client => client.connection.close(),
    "grants another permit": client => sendGrant(client, "another"),
    "does not reply": () => undefined,
};

function sendGrant(client: FrameClient, permitId: string): void {
    const headroom = { target: "engine-1", share: 1, waiting: 0, isCold: false, isOpen: true };
    client.connection.send({ kind: "granted", permitId, headroom, heldMilliseconds: 0 } as AgentToGateway);
}

let agentServer: FrameServer | undefined;
let agentClient: AgentClient | undefined;
/** Messages that the agent received from the gateway. */
let received: GatewayToAgent[] = [];
let permit: PermitResult | undefined;
let claim: ClaimResult | undefined;

After(() => {
    agentClient?.close();
    agentServer?.close();
    agentClient = undefined;
    agentServer = undefined;
});

Given(/^an agent that (.+)$/, async function(fault: string) {
    const [text = ""] = await findAddresses(1);
    received = [];
    agentServer = new FrameServer({
        onMessage: (client, message) => {
            const gatewayMessage = message as GatewayToAgent;
            received.push(gatewayMessage);
            if (gatewayMessage.kind === "acquire") {
                void AGENT_REPLIES[fault]?.(client, gatewayMessage.request.permitId);
            }
        },
    });
    await agentServer.open(parseAddress(text));
    agentClient = new AgentClient({
        instance: "entry-1",
        address: parseAddress(text),
        onMessage: () => undefined,
        onDisconnect: () => undefined,
    });
    await waitUntil(() => received.some(message => message.kind === "hold"), {
        label: "the gateway's connection to the agent",
    });
});

When("the gateway requests a permit", async function() {
    permit = await agentClient?.requestPermit({
        permitId: "p-1",
        target: "engine-1",
        origin: "entry-1",
        account: "a",
        weight: 1,
        priority: 1,
        promptTokens: 1,
        lengths: [],
        waitMilliseconds: 300,
    });
});

Then(/^the permit is (granted|refused|refused and released)$/, async function(result: string) {
    assert.equal(permit?.kind, result.split(" ")[0]);
    const isReleased = (): boolean =>
        received.some(message => message.kind === "release" && message.permitId === "p-1");
    if (result === "refused and released") {
        await waitUntil(isReleased, { label: "the release of the permit" });
    }
    assert.deepEqual(agentClient?.listHeldPermits().map(held => held.permitId), result === "granted" ? ["p-1"] : []);
});

When("the gateway requests a claim", async function() {
    claim = await agentClient?.requestClaim({ key: "k", holder: "h-1", fingerprint: "f" });
});

Then("the claim is unavailable", function() {
    assert.equal(claim?.kind, "unavailable");
});

Then("the gateway has settled the claim without an outcome", async function() {
    const isSettlementWithoutOutcome = (message: GatewayToAgent): boolean =>
        message.kind === "settle" && message.holder === "h-1" && message.outcome === undefined;
    await waitUntil(() => received.some(isSettlementWithoutOutcome), { label: "the settlement of the claim" });
});
