/**
 * Steps of the contracts of the engine's adapter and of the link to the agent.
 *
 * @module
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AgentToGateway, GatewayToAgent } from "../../core/agent/mod.ts";
import type { ClaimResult } from "../../core/claims/mod.ts";
import { buildRoutingTable } from "../../core/inventory/mod.ts";
import { type AcquireResult, AgentClient } from "../../gateway/agent_client.ts";
import { EngineStreamError, openEngineStream } from "../../gateway/engine_client.ts";
import { type FrameClient, FrameServer, parseAddress, waitMilliseconds } from "../../network/mod.ts";
import { BAGMATI, createInventory } from "../../support/fixtures/inventories.ts";
import { findAddresses, waitUntil } from "../../support/processes/mod.ts";

const HEADERS = { "content-type": "text/event-stream", "x-generation-id": "g" };

/** Writes the token with `index`. */
function writeToken(response: ServerResponse, index: number): void {
    response.write(`id: ${index}\ndata: {}\n\n`);
}

/** What an engine does, by the words of the table; it accepts no connection where nothing stands here. */
const ENGINE_FAULTS: Record<string, (response: ServerResponse) => void> = {
    "sends two tokens and the end": response => {
        response.writeHead(200, HEADERS);
        writeToken(response, 0);
        writeToken(response, 1);
        response.end("data: [DONE]\n\n");
    },
    "refuses the request": response => void response.writeHead(503).end(),
    "does not know the generation": response => void response.writeHead(404).end(),
    "fails": response => void response.writeHead(500).end(),
    "cuts the connection after one": response => {
        response.writeHead(200, HEADERS);
        response.write("id: 0\ndata: {}\n\n", () => response.destroy());
    },
    "ends without the last event": response => {
        response.writeHead(200, HEADERS);
        writeToken(response, 0);
        response.end();
    },
    "goes silent after one": response => {
        response.writeHead(200, HEADERS);
        writeToken(response, 0);
    },
    "accepts and never answers": () => undefined,
    "sends nonsense and then a token": response => {
        response.writeHead(200, HEADERS);
        response.write(": note\nnonsense\n\n");
        writeToken(response, 0);
        response.end("data: [DONE]\n\n");
    },
};

let engine: Server | undefined;
let stream = { tokens: 0, end: "", progress: "none" };

After(() => {
    engine?.close();
    engine?.closeAllConnections();
    engine = undefined;
});

async function readEngine(address: string): Promise<void> {
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
    /^an engine (sends two tokens and the end|refuses the connection|refuses the request|does not know the generation|fails|cuts the connection after one|ends without the last event|goes silent after one|accepts and never answers|sends nonsense and then a token)$/,
    async function(fault: string) {
        const [address = ""] = await findAddresses(1);
        const act = ENGINE_FAULTS[fault];
        if (act !== undefined) {
            const opened = createServer((_request, response) => act(response));
            await new Promise<void>(resolve => opened.listen(parseAddress(address).port, "127.0.0.1", resolve));
            engine = opened;
        }
        await readEngine(address);
    },
);

Then(
    "the stream gives {int} tokens and ends as {string} with the progress {string}",
    function(tokens: number, end: string, progress: string) {
        assert.deepEqual(stream, { tokens, end, progress });
    },
);

/** Time that a grant spends on its way where it is too long, in milliseconds. */
const LONG_WAY = 600;

/** How an agent answers, by the words of the table. */
const AGENT_FAULTS: Record<string, (client: FrameClient, permitId: string) => void | Promise<void>> = {
    "grants": (client, permitId) => sendGrant(client, permitId),
    "grants twice": (client, permitId) => {
        sendGrant(client, permitId);
        sendGrant(client, permitId);
    },
    "refuses": (client, permitId) =>
        client.connection.send({ kind: "refused", permitId, reason: "busy" } as AgentToGateway),
    "grants after a long way": async (client, permitId) => {
        await waitMilliseconds(LONG_WAY);
        sendGrant(client, permitId);
    },
    "closes the link": client => client.connection.close(),
    "answers about another request": client => sendGrant(client, "another"),
    "says nothing": () => undefined,
};

function sendGrant(client: FrameClient, permitId: string): void {
    const headroom = { target: "engine-1", share: 1, waiting: 0, isCold: false, isOpen: true };
    client.connection.send({ kind: "granted", permitId, headroom, heldMilliseconds: 0 } as AgentToGateway);
}

let server: FrameServer | undefined;
let link: AgentClient | undefined;
let received: GatewayToAgent[] = [];
let permit: AcquireResult | undefined;
let claim: ClaimResult | undefined;

After(() => {
    link?.close();
    server?.close();
    link = undefined;
    server = undefined;
});

Given(/^an agent that (.+)$/, async function(fault: string) {
    const [text = ""] = await findAddresses(1);
    received = [];
    server = new FrameServer({
        onMessage: (client, message) => {
            const known = message as GatewayToAgent;
            received.push(known);
            if (known.kind === "acquire") {
                void AGENT_FAULTS[fault]?.(client, known.request.permitId);
            }
        },
    });
    await server.open(parseAddress(text));
    link = new AgentClient({
        instance: "entry-1",
        address: parseAddress(text),
        onMessage: () => undefined,
        onDisconnect: () => undefined,
    });
    await waitUntil(() => received.some(message => message.kind === "hold"), { label: "the link" });
});

When("the gateway asks it for a permit", async function() {
    permit = await link?.requestPermit({
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

Then(/^the permit is (granted|refused|refused and given back)$/, async function(result: string) {
    assert.equal(permit?.kind, result.split(" ")[0]);
    const isReleased = (): boolean =>
        received.some(message => message.kind === "release" && message.permitId === "p-1");
    if (result === "refused and given back") {
        await waitUntil(isReleased, { label: "the release" });
    }
    assert.deepEqual(link?.listHeldPermits().map(held => held.permitId), result === "granted" ? ["p-1"] : []);
});

When("the gateway asks it for a claim", async function() {
    claim = await link?.requestClaim({ key: "k", holder: "h-1", fingerprint: "f" });
});

Then("the claim is unavailable", function() {
    assert.equal(claim?.kind, "unavailable");
});

Then("the agent was told that it is void", async function() {
    const isVoid = (message: GatewayToAgent): boolean =>
        message.kind === "settle" && message.holder === "h-1" && message.outcome === undefined;
    await waitUntil(() => received.some(isVoid), { label: "the settlement" });
});
