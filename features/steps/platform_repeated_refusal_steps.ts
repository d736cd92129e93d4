/**
 * Steps about refusals that targets write once more on a kept connection.
 *
 * @module
 */
import { After, type DataTable, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { buildRoutingTable } from "../../core/inventory/mod.ts";
import { cancelGeneration, openEngineStream } from "../../gateway/engine_client.ts";
import { callService } from "../../gateway/service_client.ts";
import { waitMilliseconds } from "../../network/mod.ts";
import { fetchReport, pollEngine, releaseCopy, sendMoveStep } from "../../platform/mod.ts";
import { TargetCallError, TargetConnections } from "../../serving/mod.ts";
import { BAGMATI, createInventory } from "../../support/fixtures/inventories.ts";
import { waitForLine } from "../support/log_lines.ts";
import { type RawConnection, RawTarget, splitRequests } from "../support/raw_target.ts";
import { formatRequestId, getSite, siteContext } from "../support/site_context.ts";

When("the caller sends the same {string} again", async function(kind: string) {
    const id = formatRequestId(siteContext.requestCount);
    siteContext.responses.push(await getSite().call({ kind, id, deadlineMilliseconds: 1500 }));
});

Then(
    /^the instance has logged that the response proves nothing, since it names (no request|another request)$/,
    async function(named: string) {
        await waitForLine(getSite().instances, {
            event: "response proves nothing",
            request: formatRequestId(siteContext.requestCount),
            reason: `names ${named}`,
        });
    },
);

/** Time in which a connection becomes idle after its response, in milliseconds. */
const IDLE_MILLISECONDS = 20;
/** Time within which the rest of a body arrives, in milliseconds. */
const BODY_MILLISECONDS = 3000;
const MEGABYTE = 1024 * 1024;
/** Timeout of a call over a connection of its own. */
const CALL_TIMEOUT = { timeoutMilliseconds: 500 };

/** Connections under test, the target, and the results of the scenario's requests by identifier. */
interface RawSite {
    connections: TargetConnections;
    target: RawTarget;
    address: string;
    results: Map<string, Promise<string>>;
}

let rawSite: RawSite | undefined;

function getRawSite(): RawSite {
    if (rawSite === undefined) {
        throw new Error("Cannot run the step: the scenario has opened no connections.");
    }
    return rawSite;
}

/** Sends a request; its result is "refused", "answered", or the stage that it had reached and the reason. */
function startRequest(id: string, bodyBytes = 0): void {
    const { connections, address, results } = getRawSite();
    const result = connections.sendRequest({
        targetId: "target-1",
        address,
        requestId: id,
        method: "POST",
        path: `/${id}`,
        headers: [["Attempt-Id", id], ["Content-Length", String(bodyBytes)]],
        body: Buffer.alloc(bodyBytes, "x"),
        signal: new AbortController().signal,
    }).then(async targetResponse => {
        await connections.readResponseBody(targetResponse);
        return targetResponse.head.isRefusal ? "refused" : "answered";
    }, (error: unknown) => error instanceof TargetCallError ? `${error.progress}: ${error.message}` : String(error));
    results.set(id, result);
}

function formatResponse(status: number, name: string | undefined): string {
    const lines = [
        `HTTP/1.1 ${status} Status`,
        ...name === undefined ? [] : [`attempt-id: ${name}`],
        ...status === 200 ? [] : ["not-executed: 1"],
        "content-length: 0",
    ];
    return `${lines.join("\r\n")}\r\n\r\n`;
}

function getLastConnection(): RawConnection {
    const connection = getRawSite().target.connections.at(-1);
    assert.ok(connection !== undefined, "no connection was opened");
    return connection;
}

Given("connections to a target that is driven byte by byte", async function() {
    const target = new RawTarget();
    rawSite = { connections: new TargetConnections(), target, address: await target.open(), results: new Map() };
});

After(() => {
    rawSite?.connections.close();
    rawSite?.target.close();
    rawSite = undefined;
});

When("a request {string} is answered, and its connection is kept", async function(id: string) {
    const { target, results } = getRawSite();
    target.onData = connection => {
        if (splitRequests(connection).paths.at(-1) === `/${id}`) {
            target.onData = () => undefined;
            connection.socket.write(formatResponse(200, id));
        }
    };
    startRequest(id);
    assert.equal(await results.get(id), "answered");
    await waitMilliseconds(IDLE_MILLISECONDS);
});

When(
    /^a (\d+) (?:without a name|with the name "([^"]*)")(, and its answer)? arrives in the moment before a request "([^"]*)" is written$/,
    function(status: string, name: string | undefined, answer: string | undefined, id: string) {
        const { target } = getRawSite();
        // Both writes happen before the event loop reads from any socket.
        getLastConnection().socket.write(
            formatResponse(Number(status), name ?? undefined) + ((answer ?? "") === "" ? "" : formatResponse(200, id)),
        );
        startRequest(id);
        target.onData = () => undefined;
    },
);

When(
    /^a request "([^"]*)" with a body of (\d+) MB is refused with (its|another) name after the first bytes$/,
    function(id: string, megabytes: string, named: string) {
        const { target } = getRawSite();
        target.onData = ({ socket }) => {
            target.onData = () => undefined;
            socket.pause();
            socket.write(formatResponse(503, named === "its" ? id : "0"));
        };
        startRequest(id, Number(megabytes) * MEGABYTE);
    },
);

When("the target reads on after {int} ms", async function(milliseconds: number) {
    await waitMilliseconds(milliseconds);
    getLastConnection().socket.resume();
    await waitMilliseconds(milliseconds);
});

Then("the request {string} counts as refused", async function(id: string) {
    assert.equal(await getRawSite().results.get(id), "refused");
});

Then(
    /^the request "([^"]*)" counts as sent, and it is known that the response names (no request|another request)$/,
    async function(id: string, named: string) {
        const result = await getRawSite().results.get(id);
        assert.match(result ?? "", new RegExp(`^sent: response with \\d+ names ${named}$`));
    },
);

Then("each connection has brought whole requests, one after the other", async function() {
    const { connections } = getRawSite().target;
    const deadline = performance.now() + BODY_MILLISECONDS;
    while (connections.some(connection => splitRequests(connection).rest.length > 0) && performance.now() < deadline) {
        await waitMilliseconds(IDLE_MILLISECONDS);
    }
    const requests = connections.map(splitRequests);
    assert.deepEqual(requests.map(({ rest }) => rest.length), requests.map(() => 0));
    assert.deepEqual(requests.flatMap(({ paths }) => paths), ["/a", "/b"]);
});

Then("the first connection has brought nothing but a part of the request {string}", function(id: string) {
    const [first, ...others] = getRawSite().target.connections;
    const text = Buffer.concat(first?.received ?? []).toString("latin1");
    const body = text.slice(text.indexOf("\r\n\r\n") + 4);
    assert.ok(text.startsWith(`POST /${id} `), "another request came first");
    assert.ok(body.length < 12 * MEGABYTE && /^x*$/.test(body), "other bytes came behind the head");
    assert.deepEqual(others.map(connection => splitRequests(connection).paths), [["/b"]]);
});

When(
    "requests {string} and {string} are answered at the same time, and their connections are kept",
    async function(first: string, second: string) {
        const { target, results } = getRawSite();
        startRequest(first);
        startRequest(second);
        target.onData = ({ socket, received }) => {
            const [path = ""] = splitRequests({ socket, received }).paths;
            socket.write(formatResponse(200, path.slice(1)));
        };
        assert.deepEqual(await Promise.all([results.get(first), results.get(second)]), ["answered", "answered"]);
        await waitMilliseconds(IDLE_MILLISECONDS);
    },
);

When(
    "requests {string} and {string} are answered at the same time, {string} by a refusal that ends its connection",
    async function(first: string, second: string, refused: string) {
        const { target, results } = getRawSite();
        target.onData = ({ socket, received }) => {
            const id = splitRequests({ socket, received }).paths[0]?.slice(1);
            if (id === refused) {
                socket.end(formatResponse(503, id));
            }
            else {
                socket.write(formatResponse(200, id));
            }
        };
        startRequest(first);
        startRequest(second);
        const ends = await Promise.all([results.get(first), results.get(second)]);
        assert.deepEqual(ends, [first, second].map(id => id === refused ? "refused" : "answered"));
        await waitMilliseconds(IDLE_MILLISECONDS);
    },
);

Then("the request {string} is answered once its target answers", async function(id: string) {
    const { target, results } = getRawSite();
    await waitMilliseconds(IDLE_MILLISECONDS);
    target.connections.at(-1)?.socket.write(formatResponse(200, id));
    assert.equal(await results.get(id), "answered");
});

When("{int} requests are refused one after the other", async function(count: number) {
    const { target, results } = getRawSite();
    target.onData = ({ socket, received }) => {
        socket.write(formatResponse(503, splitRequests({ socket, received }).paths.at(-1)?.slice(1)));
    };
    for (let index = 0; index < count; index += 1) {
        startRequest(String(index));
        assert.equal(await results.get(String(index)), "refused");
        await waitMilliseconds(0);
    }
});

Then("the target has accepted {int} connections", function(count: number) {
    assert.equal(getRawSite().target.connections.length, count);
});

/** Builds a call of the own interface's gateway. */
function buildGatewayCall(address: string) {
    const [target] = buildRoutingTable(createInventory(BAGMATI, { engines: [], services: [address] })).targets.values();
    if (target === undefined) {
        throw new Error("Cannot run the step: the inventory has no target.");
    }
    const connectMilliseconds = CALL_TIMEOUT.timeoutMilliseconds;
    return {
        ...CALL_TIMEOUT,
        target,
        method: "POST",
        path: "/a",
        headers: {},
        body: Buffer.from("{}"),
        connectMilliseconds,
    };
}

/** Functions that send one call to a target, by the call's name in the feature file. */
const FRESH_CALLS: Record<string, (address: string) => Promise<unknown>> = {
    report: address => fetchReport(address, CALL_TIMEOUT),
    poll: address => pollEngine(address, { ...CALL_TIMEOUT, startedAt: 0 }),
    "move step": address =>
        sendMoveStep({ ...CALL_TIMEOUT, source: address, destination: "127.0.0.1:9", requestId: "a", isFinal: true }),
    release: address => releaseCopy({ ...CALL_TIMEOUT, source: address, handle: "copy" }),
    "service request": address => callService({ ...buildGatewayCall(address), maxResponseBytes: MEGABYTE }),
    "engine stream": async address => {
        const signal = AbortSignal.timeout(CALL_TIMEOUT.timeoutMilliseconds);
        const silenceMilliseconds = CALL_TIMEOUT.timeoutMilliseconds;
        const request = { ...buildGatewayCall(address), generation: "a", silenceMilliseconds, signal };
        await assert.rejects(async () => openEngineStream(request).next());
    },
    "engine cancelation": address =>
        cancelGeneration(buildGatewayCall(address).target, { ...CALL_TIMEOUT, generation: "a" }),
};

When("the target refuses each of these calls with a 503 and keeps its connection", async function(table: DataTable) {
    const { target, address } = getRawSite();
    target.onData = ({ socket }) => socket.write(formatResponse(503, undefined));
    for (const { call = "" } of table.hashes()) {
        await FRESH_CALLS[call]?.(address);
        await waitMilliseconds(IDLE_MILLISECONDS);
    }
});
