/**
 * Steps of the contracts of the client of plain services and of the fair queue.
 *
 * @module
 */
import { After, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { FairQueue } from "../../core/admission/mod.ts";
import { buildRoutingTable, type RoutedTarget } from "../../core/inventory/mod.ts";
import { decideVerdict } from "../../core/verdict/mod.ts";
import { callService, type ServiceAttempt } from "../../gateway/service_client.ts";
import { parseAddress } from "../../network/mod.ts";
import { BAGMATI, createInventory } from "../../support/fixtures/inventories.ts";
import { findAddresses } from "../../support/processes/mod.ts";

const STATUS_LINE = "HTTP/1.1 200 OK\r\n";
/** Length of the body of each request, in bytes. */
const BODY_BYTES = 4096;
/** Bytes that end the headers of a request. */
const HEADERS_END = Buffer.from("\r\n\r\n");
/** Number of received body bytes after which a service closes the connection during the body. */
const PARTIAL_BODY_BYTES = 1000;

/**
 * How a service handles the bytes received so far, by the names in the scenario. For a name that is missing here no
 * service is started.
 */
const SERVICE_RESPONSES: Record<string, (socket: Socket, received: Buffer) => void> = {
    "closes the connection after it is accepted": socket => socket.destroy(),
    "closes the connection during the headers": (socket, received) => void (received.length > 0 && socket.destroy()),
    "closes the connection during the body": (socket, received) =>
        void (countBodyBytes(received) > PARTIAL_BODY_BYTES && socket.destroy()),
    "closes the connection after the body": (socket, received) =>
        void (countBodyBytes(received) >= BODY_BYTES && socket.destroy()),
    "closes the connection during its response": (socket, received) => {
        if (countBodyBytes(received) >= BODY_BYTES) {
            socket.write(`${STATUS_LINE}content-length: 100\r\n\r\nhalf`, () => socket.destroy());
        }
    },
    "resets an unframed response with its first bytes": (socket, received) =>
        sendAfterBody(socket, received, { response: `${STATUS_LINE}\r\nhalf`, resetMilliseconds: 0 }),
    "resets an unframed response with its head": (socket, received) =>
        sendAfterBody(socket, received, { response: `${STATUS_LINE}\r\n`, resetMilliseconds: 0 }),
    "resets an unframed response with its first bytes after a transfer encoding": (socket, received) => {
        const response = `${STATUS_LINE}transfer-encoding: identity\r\n\r\nhalf`;
        sendAfterBody(socket, received, { response, resetMilliseconds: 0 });
    },
    "resets an unframed response 20 ms after its first bytes": (socket, received) =>
        sendAfterBody(socket, received, { response: `${STATUS_LINE}\r\nhalf`, resetMilliseconds: 20 }),
    "is unframed and ends with an orderly close": (socket, received) =>
        sendAfterBody(socket, received, { response: `${STATUS_LINE}\r\nwhole` }),
    "has a length and is reset with its last byte": (socket, received) => {
        const response = `${STATUS_LINE}content-length: 5\r\n\r\nwhole`;
        sendAfterBody(socket, received, { response, resetMilliseconds: 0 });
    },
    "has chunks and is reset with its last chunk": (socket, received) => {
        const response = `${STATUS_LINE}transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`;
        sendAfterBody(socket, received, { response, resetMilliseconds: 0 });
    },
    "has a length and comes with other bytes": (socket, received) =>
        sendAfterBody(socket, received, { response: `${STATUS_LINE}content-length: 5\r\n\r\nwhole and more\r\n\r\n` }),
    "has no content and is reset with its head": (socket, received) =>
        sendAfterBody(socket, received, { response: "HTTP/1.1 204 No Content\r\n\r\n", resetMilliseconds: 0 }),
    "never responds": () => undefined,
    "sends an upgrade that nobody requested": (socket, received) => {
        if (countBodyBytes(received) >= BODY_BYTES) {
            socket.write("HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n");
        }
    },
    "refuses the request as not run": (socket, received) => {
        if (countBodyBytes(received) >= BODY_BYTES) {
            socket.end("HTTP/1.1 503 Busy\r\nx-verdict: not-run\r\ncontent-length: 0\r\n\r\n");
        }
    },
    "refuses it as not run, and resets with the head": (socket, received) => {
        const response = "HTTP/1.1 503 Busy\r\nx-verdict: not-run\r\n\r\n";
        sendAfterBody(socket, received, { response, resetMilliseconds: 0 });
    },
    "responds with another request's identifier": (socket, received) => {
        if (countBodyBytes(received) >= BODY_BYTES) {
            socket.end(`${STATUS_LINE}x-request-id: another\r\ncontent-length: 0\r\n\r\n`);
        }
    },
    "responds with the status 000": (socket, received) => {
        if (countBodyBytes(received) >= BODY_BYTES) {
            socket.end("HTTP/1.1 000 Odd\r\ncontent-length: 0\r\n\r\n");
        }
    },
};

let server: Server | undefined;
let attempt: ServiceAttempt | undefined;
/** Items in the order in which the queue returned them. */
let dequeued: { account: string; priority: number; }[] = [];

After(() => {
    server?.close();
    server = undefined;
});

/** Counts the body bytes among the bytes that a service has received. */
function countBodyBytes(received: Buffer): number {
    const end = received.indexOf(HEADERS_END);
    return end < 0 ? 0 : received.length - end - HEADERS_END.length;
}

/**
 * Sends `response` once the whole request body has been received. The connection is reset `resetMilliseconds` later, or
 * closed in order if that is `undefined`.
 */
function sendAfterBody(
    socket: Socket,
    received: Buffer,
    { response, resetMilliseconds }: { response: string; resetMilliseconds?: number; },
): void {
    if (countBodyBytes(received) < BODY_BYTES) {
        return;
    }
    if (resetMilliseconds === undefined) {
        socket.end(response);
    }
    else if (resetMilliseconds === 0) {
        socket.write(response, () => socket.resetAndDestroy());
    }
    else {
        socket.write(response, () => setTimeout(() => socket.resetAndDestroy(), resetMilliseconds));
    }
}

/** Starts a service that calls `respond` when a connection opens and whenever bytes have arrived. */
async function openService(respond: (socket: Socket, received: Buffer) => void): Promise<RoutedTarget> {
    const [address = ""] = await findAddresses(1);
    const tcpServer = createServer(socket => {
        let received = Buffer.alloc(0);
        socket.on("error", () => socket.destroy());
        respond(socket, received);
        socket.on("data", chunk => {
            received = Buffer.concat([received, chunk]);
            respond(socket, received);
        });
    });
    await new Promise<void>(resolve => tcpServer.listen(parseAddress(address).port, "127.0.0.1", resolve));
    server = tcpServer;
    return createServiceTarget(address);
}

function createServiceTarget(address: string): RoutedTarget {
    const table = buildRoutingTable(createInventory(BAGMATI, { engines: [], services: [address] }));
    const [target] = table.targets.values();
    if (target === undefined) {
        throw new Error("Cannot run the step: the inventory has no target.");
    }
    return target;
}

function callTarget(target: RoutedTarget): Promise<ServiceAttempt> {
    return callService({
        target,
        method: "POST",
        path: "/stamps",
        headers: { "x-request-id": "own" },
        body: Buffer.alloc(BODY_BYTES, "x"),
        connectMilliseconds: 300,
        timeoutMilliseconds: 400,
        maxResponseBytes: 1_000_000,
    });
}

When(/^a call is made to a service (?:that|whose response) (.+)$/, async function(fault: string) {
    const respond = SERVICE_RESPONSES[fault];
    const [unusedAddress = ""] = await findAddresses(1);
    attempt = await callTarget(respond === undefined ? createServiceTarget(unusedAddress) : await openService(respond));
});

Then("the attempt fails with the verdict {string}", function(verdict: string) {
    assert.equal(attempt?.kind, "failed");
    assert.equal(decideVerdict(attempt.progress), verdict);
});

Then("the attempt returns the body {string}", function(body: string) {
    assert.equal(attempt?.kind, "answered");
    assert.equal(attempt.response.body.toString(), body);
});

const ALL_BYTES = Buffer.from(Array.from({ length: 256 }, (_unused, index) => index));

When("a service responds with all bytes from 0 to 255", async function() {
    const target = await openService((socket, received) => {
        if (countBodyBytes(received) >= BODY_BYTES) {
            socket.end(Buffer.concat([Buffer.from(`${STATUS_LINE}content-length: 256\r\n\r\n`), ALL_BYTES]));
        }
    });
    attempt = await callTarget(target);
});

Then("the attempt returns these bytes", function() {
    assert.equal(attempt?.kind, "answered");
    assert.ok(attempt.response.body.equals(ALL_BYTES));
});

/** Enqueues `batches` in a new fair queue, and then dequeues all items. */
function runQueue(batches: { count: number; account: string; priority?: number; weight?: number; }[]): void {
    const queue = new FairQueue<{ account: string; priority: number; }>();
    for (const { count, account, priority = 1, weight = 1 } of batches) {
        for (let number = 0; number < count; number += 1) {
            queue.enqueue({ account, priority }, { account, priority, weight });
        }
    }
    dequeued = [];
    for (let item = queue.dequeue(); item !== undefined; item = queue.dequeue()) {
        dequeued.push(item);
    }
}

When(
    "account {string} queues {int} items of cost 1 and then account {string} queues {int}",
    function(large: string, many: number, small: string, few: number) {
        runQueue([{ account: large, count: many }, { account: small, count: few }]);
    },
);

Then("both items of {string} are among the first {int} dequeued", function(account: string, count: number) {
    assert.equal(dequeued.slice(0, count).filter(item => item.account === account).length, 2);
});

When(
    "account {string} with weight {int} and account {string} with weight {int} queue {int} items each",
    function(heavy: string, heavyWeight: number, light: string, lightWeight: number, count: number) {
        runQueue([{ account: heavy, weight: heavyWeight, count }, { account: light, weight: lightWeight, count }]);
    },
);

Then(
    "of the first {int} dequeued items between {int} and {int} belong to {string}",
    function(count: number, least: number, most: number, account: string) {
        const { length } = dequeued.slice(0, count).filter(item => item.account === account);
        assert.ok(length >= least && length <= most, `${length} belong to "${account}"`);
    },
);

When(
    "{int} item(s) of priority {int} is/are queued and then {int} items of priority {int}",
    function(first: number, firstPriority: number, second: number, secondPriority: number) {
        runQueue([{ account: "a", count: first, priority: firstPriority }, {
            account: "b",
            count: second,
            priority: secondPriority,
        }]);
    },
);

Then("the item of priority {int} is among the first {int} dequeued", function(priority: number, count: number) {
    assert.ok(dequeued.slice(0, count).some(item => item.priority === priority));
});

Then("the first {int} dequeued items have the priority {int}", function(count: number, priority: number) {
    assert.deepEqual(
        dequeued.slice(0, count).map(item => item.priority),
        Array.from({ length: count }, () => priority),
    );
});
